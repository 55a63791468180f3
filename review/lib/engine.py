"""Stand-in of an engine: one process, which the harness may kill and start again.

It speaks what PROTOCOL.md says of engines: it announces itself with heartbeats, runs `slot_count`
requests at once and queues a few more, rejects the others with 503 and X-Not-Executed, answers 421 to
a request that names another instance, echoes X-Attempt-Id, and streams events with increasing ids from
Last-Event-Id on. It stops a run whose channel closes. Each run is a line of its log.
"""

import json
import os
import signal
import socket
import sys
import threading
import time

with open(sys.argv[1], encoding="utf-8") as file:
    CONFIG = json.load(file)

IDENTITY = CONFIG["id"]
BORN = int(time.time() * 1000)
LOG = open(CONFIG["log"], "a", encoding="utf-8", buffering=1)
LOCK = threading.Lock()
SLOTS = threading.Semaphore(CONFIG["slots"])
QUEUE = 30
waiting = 0
leaving = threading.Event()


def note(what, **more):
    with LOCK:
        entry = {"t": time.monotonic(), "what": what, "engine": IDENTITY, "version": CONFIG["version"], "born": BORN}
        LOG.write(json.dumps({**entry, **more}) + "\n")


def read_request(reader):
    line = reader.readline(65536)
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = reader.readline(65536)
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = 0
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(reader.readline(100).strip() or b"0", 16)
            body += size
            skip(reader, size + 2)
            if size == 0:
                break
    else:
        body = int(headers.get("content-length", "0"))
        skip(reader, body)
    return method, path, headers, body


def skip(reader, size):
    while size > 0:
        data = reader.read(min(size, 1 << 20))
        if not data:
            raise ConnectionError("the request ended early")
        size -= len(data)


def head(status, headers, more):
    lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {headers.get('x-attempt-id', '')}"]
    if leaving.is_set():
        lines += ["Server-Leaving: 1", "Connection: close"]
    return ("\r\n".join(lines + more) + "\r\n\r\n").encode()


def reject(connection, headers, status):
    connection.sendall(head(status, headers, ["X-Not-Executed: 1", "Content-Length: 0"]))


def closed(connection):
    """Returns whether the other side has closed the channel."""
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def signature(headers):
    return f"X-Server-Signature: {IDENTITY}.{headers['x-attempt-id']}"


def run_stream(connection, headers, attempt):
    counts = headers.get("x-token-counts", "0,0").split(",")
    events = max(1, int(counts[1]) // CONFIG["event_tokens"])
    begin = int(headers.get("last-event-id", "0")) + 1
    time.sleep(CONFIG["first_ms"] / 1000)
    more = [signature(headers), "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    connection.sendall(head("200 OK", headers, more))
    for number in range(begin, events + 1):
        event = f"id: {number}\ndata: {json.dumps({'version': CONFIG['version'], 'engine': IDENTITY})}\n\n".encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(CONFIG["gap_ms"] / 1000)
        if closed(connection):
            raise ConnectionError("the channel was closed")
    connection.sendall(b"0\r\n\r\n")
    note("end", attempt=attempt, events=events)


def run_plain(connection, headers, attempt):
    time.sleep(CONFIG["work_ms"] / 1000)
    body = f"answer to {attempt}".encode()
    connection.sendall(head("200 OK", headers, [signature(headers), f"Content-Length: {len(body)}"]) + body)
    note("end", attempt=attempt)


def serve(connection):
    global waiting
    reader = connection.makefile("rb", buffering=1 << 16)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while True:
            request = read_request(reader)
            if request is None:
                return
            _, path, headers, body = request
            if path == "/health":
                connection.sendall(head("200 OK", headers, [f"X-Instance-Id: {IDENTITY}", "Content-Length: 0"]))
                continue
            attempt = headers.get("x-attempt-id")
            if attempt is None:
                reject(connection, headers, "400 Bad Request")
                continue
            if headers.get("x-expected-instance", IDENTITY) != IDENTITY:
                reject(connection, headers, "421 Misdirected Request")
                continue
            if not SLOTS.acquire(blocking=False):
                with LOCK:
                    full = waiting >= QUEUE
                    waiting += 0 if full else 1
                if full:
                    reject(connection, headers, "503 Service Unavailable")
                    continue
                SLOTS.acquire()
                with LOCK:
                    waiting -= 1
            try:
                if closed(connection):
                    return
                note("run", attempt=attempt, path=path, body=body, last=headers.get("last-event-id"),
                     resumes=headers.get("resumes"), peer=connection.getpeername()[0])
                if path.split("/")[1].startswith("stream"):
                    run_stream(connection, headers, attempt)
                else:
                    run_plain(connection, headers, attempt)
            finally:
                SLOTS.release()
            if leaving.is_set():
                return
    except (OSError, ValueError, ConnectionError):
        pass
    finally:
        connection.close()


def beat():
    time.sleep(CONFIG.get("first_beat_s", 0))
    sequence = 0
    controls = list(CONFIG["controls"])
    own = None
    while not leaving.is_set():
        sequence += 1
        body = json.dumps({
            "service": CONFIG["service"], "address": f"{CONFIG['ip']}:{CONFIG['port']}", "zone": CONFIG["zone"],
            "version": CONFIG["version"], "slot_count": CONFIG["slots"], "state": "ready", "cold_remaining_ms": 0,
            "inference_stage": "prefill_decode", "model_names": [{"name": "m", "version": 1, "adapter_names": []}],
            "sequence_number": sequence, "born": BORN}).encode()
        for _ in range(len(controls) + 1):
            address = own or controls[0]
            answer = tell(address, "PUT", body)
            if answer is not None:
                own = answer or address
                note("beat", sequence=sequence, to=address)
                break
            own = None
            controls.append(controls.pop(0))
        leaving.wait(CONFIG["beat_s"])


def leave():
    """Leaves as some engines do: sends DELETE first, serves on for drain_timeout_ms and longer, and exits."""
    leaving.set()
    controls = list(CONFIG["controls"])
    while tell(controls[0], "DELETE", b"") is None:
        controls.append(controls.pop(0))
        time.sleep(0.1)
    note("left", to=controls[0])
    time.sleep(CONFIG["linger_s"])
    note("exit")
    os._exit(0)


def tell(address, method, body):
    """Sends a heartbeat or a leave. Returns the address for the next one, "" if none is named, or None."""
    ip, port = address.split(":")
    try:
        with socket.create_connection((ip, int(port)), timeout=1) as stream:
            stream.sendall(
                f"{method} /api/instances/{IDENTITY} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            answer = b""
            while data := stream.recv(4096):
                answer += data
    except OSError:
        return None
    top, _, text = answer.partition(b"\r\n\r\n")
    if not top.startswith(b"HTTP/1.1 2"):
        return None
    try:
        return json.loads(text).get("heartbeat_address", "")
    except ValueError:
        return ""


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((CONFIG["ip"], CONFIG["port"]))
    listener.listen(512)
    note("start")
    signal.signal(signal.SIGUSR1, lambda *_: threading.Thread(target=leave, daemon=True).start())
    threading.Thread(target=beat, daemon=True).start()
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
