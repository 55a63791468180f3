"""Deployment of real nodes on loopback addresses, with stand-ins for engines, callers and the platform."""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

TOP = pathlib.Path(__file__).resolve().parents[2]
NODE = TOP / "target" / "release" / "burdockcleat-node"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "n2ctnfzs989anu6wsjnb"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text, at=None):
        with self.lock:
            self.file.write(f"{(at or time.monotonic()) - self.began:8.3f} s  {text}\n")


class Deployment:
    """Nodes and engines of one small deployment. The first `disks` nodes have a disk."""

    def __init__(self, record, disks, others=0, zones=3, grace_s=8, memory_mb=110):
        if not NODE.exists():
            raise CannotRun("the node is not built: see review/build.sh")
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.path = pathlib.Path(self.folder.name)
        self.disks, self.count, self.zones = disks, disks + others, zones
        self.grace_s, self.memory_mb = grace_s, memory_mb
        self.network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.ports = self.free_ports()
        self.nodes = [None] * self.count
        self.engines = {}
        self.started = set()

    def ip(self, node):
        return f"{self.network}.{node + 1}"

    def free_ports(self):
        """Returns a base port such that the ports of a node are free on all addresses."""
        for _ in range(200):
            base = random.randint(20_000, 29_000)
            try:
                for node in range(self.count):
                    for port in (base, base + 1, base + 2, base + 10, base + 11):
                        with socket.socket() as probe:
                            probe.bind((self.ip(node), port))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def zone(self, node):
        return f"zone-{node % self.zones}"

    def frontend(self, node):
        return self.ip(node), self.ports

    def ready(self, node):
        return self.ip(node), self.ports + 1

    def control(self, node):
        return self.ip(node), self.ports + 2

    def start(self, node, first_start):
        ip, base = self.ip(node), self.ports
        seeds = ",".join(f"{self.ip(seed)}:{base + 2}" for seed in range(min(3, self.count)))
        zones = "\n".join(f"zones.zone-{zone}=area" for zone in range(self.zones))
        disk = self.path / f"disk-{node}"
        store = ""
        if node < self.disks:
            disk.mkdir(exist_ok=True)
            store = f"data_directory={disk}\nlimits.disk_capacity_mb=64\n"
        text = f"""node_name=edge-{node}
role=node
machine_class=edge
served_roles=edge,controller
ip_address={ip}
zone={self.zone(node)}
region=area
{zones}
listen_addresses.frontend={ip}:{base}
listen_addresses.ready={ip}:{base + 1}
listen_addresses.control_plane={ip}:{base + 2}
internal_port_range={base + 10},{base + 25}
seed_nodes={seeds}
first_start={str(first_start).lower()}
failure_counted={str(node < self.disks).lower()}
limits.cpu_fraction=0.45
limits.core_count=1
limits.memory_limit_mb={self.memory_mb}
limits.file_descriptor_limit=4100
limits.link_bandwidth_mbps=1000.0
{store}discovery_source=registration
entry_kind=virtual_ip
heartbeat_interval_ms=1200
active_contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota
fault_tolerance.machine_failures=1
fault_tolerance.zones=0
fault_tolerance.region_failures=0
contract_parameters.seed_lag_s=3
contract_parameters.address_reuse_s=2
contract_parameters.contact_timeout_ms=3000
contract_parameters.ack_timeout_ms=4000
contract_parameters.catch_up_s=4
contract_parameters.drain_timeout_ms=2000
contract_parameters.grace_period_s={self.grace_s}
contract_parameters.loss_slack_ms=200
contract_parameters.config_apply_ms=2000
contract_parameters.downgrade_slack_ms=250
contract_parameters.max_extension_ms=5000
contract_parameters.strict_revocation=false
contract_parameters.revocation_ms=5000
contract_parameters.retry_budget_ratio=0.2
contract_parameters.budget_window_s=10
contract_parameters.retry_budget_extra=64
contract_parameters.quota_window_s=8
contract_parameters.quota_overshoot=0.1
contract_parameters.quota_tolerance=110000
contract_parameters.recovery_s=12
contract_parameters.forward_pass_ms=120
contract_parameters.retry_after_s=7.1
configuration_mode=highest
"""
        settings = self.path / f"settings-{node}"
        settings.write_text(text, encoding="utf-8")
        log = open(self.path / f"log-{node}", "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.path), "LANG": "C.UTF-8",
                       "BURDOCKCLEAT_NODE_FILE": str(settings)}
        self.nodes[node] = subprocess.Popen([str(NODE)], cwd=TOP, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        log.close()

    def start_all(self):
        for node in range(self.count):
            self.start(node, True)

    def signal(self, node, number):
        self.nodes[node].send_signal(number)

    def kill(self, node):
        self.nodes[node].kill()
        self.nodes[node].wait()

    def start_engine(self, name, number, version="v1", service="hinge", slots=5, first_beat_s=0.0, **work):
        """Starts engine `name` at address `number`, which stays that of the name."""
        config = {
            "id": name, "ip": f"{self.network}.{100 + number}", "port": self.ports + 5, "service": service,
            "version": version, "zone": f"zone-{number % self.zones}", "slots": slots, "event_tokens": 4,
            "first_ms": 60, "gap_ms": 40, "work_ms": 15, "beat_s": 1.2, "first_beat_s": first_beat_s,
            "controls": ["%s:%d" % self.control(node) for node in self.order(number)],
            "log": str(self.path / "engines.log"), **work}
        path = self.path / f"engine-{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        script = pathlib.Path(__file__).with_name("engine.py")
        self.engines[name] = subprocess.Popen([sys.executable, str(script), str(path)], stdin=subprocess.DEVNULL)

    def order(self, number):
        return [(number + step) % self.count for step in range(self.count)]

    def kill_engine(self, name):
        self.engines[name].kill()
        self.engines[name].wait()

    def engine_log(self):
        path = self.path / "engines.log"
        if not path.exists():
            return []
        lines = path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def put_document(self, document, node=0, limit_s=15):
        """Sends a configuration until a node acknowledges it, as the operator does. Returns the time."""
        end = time.monotonic() + limit_s
        body = json.dumps(document).encode()
        while time.monotonic() < end:
            answer = call(self.control(node), "PUT", "/api/configuration", {"Content-Type": "application/json"}, body)
            if answer and answer.status == 200:
                self.record.add(f"node {node} acknowledges configuration {document['version']}")
                return time.monotonic()
            if answer and 400 <= answer.status < 500:
                raise CannotRun(f"the configuration was refused: {answer.status} {answer.body!r}")
            node = (node + 1) % self.count
            time.sleep(0.2)
        raise CannotRun("no node acknowledged the configuration")

    def is_ready(self, node):
        answer = call(self.ready(node), "GET", "/api/readiness", {}, b"", timeout=1)
        return answer is not None and answer.status == 200

    def wait(self, what, condition, limit_s=20):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"timed out waiting for {what}")
            time.sleep(0.05)

    def wait_ready(self):
        self.wait("ready nodes", lambda: all(self.is_ready(node) for node in range(self.count)))

    def close(self):
        for process in list(self.engines.values()) + [node for node in self.nodes if node]:
            if process.poll() is None:
                process.kill()
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            subprocess.run(["cp", "-r", str(self.path), keep], check=False)
        self.folder.cleanup()


class Answer:
    def __init__(self, status, headers):
        self.status, self.headers, self.body, self.complete = status, headers, b"", False


class Channel:
    """Channel of a caller to a node."""

    def __init__(self, address, timeout=20.0):
        self.stream = socket.create_connection(address, timeout=1)
        self.stream.settimeout(timeout)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.stream.makefile("rb", buffering=1 << 16)

    def send(self, method, path, headers, body=b""):
        headers = {"Host": "ficu95.example", "Content-Length": str(len(body)), **headers}
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        self.stream.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        if body:
            self.stream.sendall(body)

    def receive(self, on_chunk=None):
        """Reads an answer. Returns None if the channel ends before its head is complete."""
        line = self.reader.readline()
        if not line:
            return None
        status = int(line.split()[1])
        headers = {}
        while True:
            line = self.reader.readline()
            if not line:
                return None
            if line == b"\r\n":
                break
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        answer = Answer(status, headers)
        try:
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    line = self.reader.readline()
                    if not line.endswith(b"\r\n"):
                        return answer
                    size = int(line, 16)
                    data = self.reader.read(size + 2)
                    if len(data) < size + 2:
                        return answer
                    if size == 0:
                        answer.complete = True
                        return answer
                    answer.body += data[:-2]
                    if on_chunk:
                        on_chunk(data[:-2])
            else:
                size = int(headers.get("content-length", "0"))
                answer.body = self.reader.read(size)
                answer.complete = len(answer.body) == size
        except OSError:
            pass
        return answer

    def close(self):
        self.reader.close()
        self.stream.close()


def call(address, method, path, headers, body, timeout=2.0):
    """Sends one call on a new channel. Returns None if there is no answer."""
    try:
        channel = Channel(address, timeout)
    except OSError:
        return None
    try:
        channel.send(method, path, {"Connection": "close", **headers}, body)
        return channel.receive()
    except (OSError, ValueError):
        return None
    finally:
        channel.close()


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def route(name, kind, timeout_ms, target_ms, service="hinge", **more):
    return {"name": f"r-{name}", "hostname": "ficu95.example", "path_prefix": f"/{name}/", "route_kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 0, "service": service,
            "max_attempts": 1, "auth_exempt": False, "session_affinity": kind == "streaming", **more}


def document(version, routes, tenants=None, services=("hinge",)):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/health", "connection_limit": 390, "protocol": "h1",
                      "tls_enabled": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants or [{"name": "hule930", "api_keys": [KEY], "priority": 1}]}


def play(folder, case):
    """Plays a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    # So that a script that is stopped ends what it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder))
    record.add(f"TROUBLE={int(TROUBLE)}")
    try:
        broken = case(record)
    except CannotRun as error:
        record.add(f"the case could not run: {error}")
        print(f"the case could not run: {error}")
        sys.exit(2)
    record.add("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
