"""A machine of the core freezes. Meanwhile an engine leaves: it sends DELETE first and serves on. The machine
wakes, has been in touch again for a while, and sends the engine new requests."""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from harness import KEY, TROUBLE, Channel, Deployment, attempt_id, document, play, route

DRAIN_S, CONTACT_S = 2.0, 3.0
FREEZE_S = 5.0
# Time from the freeze to the leave. The core is stable again by then, so the machine that acknowledges is in touch.
LEAVE_S = 3.3
LINGER_S = 12.0
DEADLINE_MS = 2_500


class Caller(threading.Thread):
    """Sends one request after the other to a node on a kept channel."""

    def __init__(self, deployment, node, end):
        super().__init__(daemon=True)
        self.deployment, self.node, self.end, self.sent = deployment, node, end, []

    def run(self):
        channel = None
        while time.monotonic() < self.end:
            attempt, began, status = attempt_id(), time.monotonic(), "no answer"
            headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": str(DEADLINE_MS), "Authorization": f"Bearer {KEY}"}
            try:
                channel = channel or Channel(self.deployment.frontend(self.node), timeout=10)
                channel.send("POST", "/order/1", headers, b"kit")
                answer = channel.receive()
                status = answer.status if answer else status
                if answer is None:
                    channel = None
            except OSError as error:
                status, channel = str(error), None
            self.sent.append((began, attempt, status))
            time.sleep(0.1)


def case(record):
    deployment = Deployment(record, disks=3, others=1)
    try:
        return play_day(deployment, record)
    finally:
        if deployment.nodes[0]:
            deployment.signal(0, signal.SIGCONT)
        deployment.close()


def entries(deployment, what, engine=None):
    return [e for e in deployment.engine_log() if e["what"] == what and engine in (None, e["engine"])]


def play_day(deployment, record):
    deployment.start_all()
    deployment.put_document(document(1, [route("order", "non_idempotent", DEADLINE_MS, 150)]))
    for number in range(3):
        # The engines announce themselves to the other nodes first, since node 0 is to freeze.
        deployment.start_engine(f"i-{number}", number + 1, slots=6, work_ms=60, linger_s=LINGER_S)
    deployment.wait("heartbeats", lambda: len({e["engine"] for e in entries(deployment, "beat")}) == 3)
    deployment.wait_ready()
    time.sleep(4)
    # The freeze begins shortly before a heartbeat of the engine that is to leave, which node 0 reads when it wakes.
    beats = len(entries(deployment, "beat", "i-0"))
    deployment.wait("a heartbeat", lambda: len(entries(deployment, "beat", "i-0")) > beats)
    time.sleep(max(0.0, entries(deployment, "beat", "i-0")[-1]["t"] + 0.7 - time.monotonic()))
    frozen = time.monotonic()
    if TROUBLE:
        record.add("node 0 freezes")
        deployment.signal(0, signal.SIGSTOP)
    time.sleep(LEAVE_S)
    deployment.engines["i-0"].send_signal(signal.SIGUSR1)
    time.sleep(max(0.0, frozen + FREEZE_S - time.monotonic()))
    if TROUBLE:
        record.add("node 0 wakes")
        deployment.signal(0, signal.SIGCONT)
    woke = time.monotonic()
    left = entries(deployment, "left", "i-0")[0]
    record.add(f"engine i-0 sent DELETE and node {left['to']} acknowledged it", left["t"])
    # Few requests come to the node before it is in touch again.
    in_touch = woke + CONTACT_S
    time.sleep(CONTACT_S + 0.1)
    callers = [Caller(deployment, 0, woke + 8) for _ in range(12)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(30)
    runs = {e["attempt"]: e for e in entries(deployment, "run", "i-0")}
    broken = 0
    for began, attempt, status in sorted(entry for caller in callers for entry in caller.sent):
        run = runs.get(attempt)
        if run is None:
            continue
        counted = began > in_touch + 0.05 and run["t"] > left["t"] + DRAIN_S
        broken += counted
        record.add(f"{attempt}, sent to node 0 {began - woke:.2f} s after it woke, reaches i-0 {run['t'] - left['t']:.2f} s "
                   f"after the acknowledgement and is answered {status}, counted: {counted}", began)
    total = sum(len(caller.sent) for caller in callers)
    record.add(f"{total} requests to node 0, {len(runs)} runs at i-0 in all, {broken} against the rule, which allows none")
    return broken > 0


play(HERE, case)
