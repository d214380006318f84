"""A planned stop of a node on which requests wait for a free adapter slot: are they answered before the node ends?"""

import os
import pathlib
import signal
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))
from standins import Client, Engine, Node, Store, free_ports, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES, SLOTS, NODES = 8, 4, 3
# 73 events, one every 0.2 s: a stream of 14.6 s, within its deadline and with pauses below 600 ms.
LONG_EVENTS, DEADLINE_MS = 73, 15000
WAITING = 6
SIGTERM_LEAD_S = 1.0
GRACE_S, LOST_S = 8.0, 0.2
CONFIGURATION = {
    "version": 1, "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
    "routes": [{"name": "triage", "host": "shop.example", "pathPrefix": "/triage/", "kind": "streaming", "timeoutMs": 15000,
                "targetLatencyMs": 800, "gapTargetMs": 600, "maxAttempts": 1, "priority": 0, "service": "llm",
                "sessionAffinity": True}],
    "services": [{"name": "llm", "healthPath": "/health", "maxConnections": 370, "engine": {
        "mb": 67000, "adapterSlots": SLOTS, "loadsPerS": 2.8,
        "models": [{"name": "m", "mb": 65500, "loadS": 1.9, "adapters": 3000, "adapterMb": 40}]}}]}


def play(folder, record):
    store = Store()
    store.write("config", "main", CONFIGURATION)
    engines = [Engine(store, number, SLOTS) for number in range(ENGINES)]
    ports = free_ports("127.0.0.1", 4)
    nodes = []
    try:
        for number in range(NODES):
            nodes.append(Node(store, number, ports, [nodes[0].ip] if nodes else [], folder))
        if not wait_until(lambda: all(node.is_ready() for node in nodes), 20):
            return 2
        lease = lambda: (store.spec("load-leases", "z1") or {}).get("holder")
        if not wait_until(lease, 20):
            return 2
        time.sleep(3.0)
        stopped = next(node for node in nodes if node.name != lease())
        others = [node for node in nodes if node is not stopped]
        record(f"lease holder {lease()}, stopped node {stopped.name}")
        if Client(stopped).send("f" * 16, "a1", 2, DEADLINE_MS)["status"] != 200:
            return 2
        calls, lock, threads = [], threading.Lock(), []

        def send(client, request, adapter, events):
            call = client.send(request, adapter, events, DEADLINE_MS)
            with lock:
                calls.append(call)

        def begin(node, request, adapter, events):
            thread = threading.Thread(target=send, args=(Client(node), request, adapter, events))
            thread.start()
            threads.append(thread)

        # As many long streams as there are adapter slots, each of an adapter of its own, through the other nodes.
        for number in range(ENGINES * SLOTS):
            begin(others[number % len(others)], f"{number:016x}", f"a{100 + number}", LONG_EVENTS)
            time.sleep(0.03)
        full = lambda: sum(sum(engine.held.values()) for engine in engines) == ENGINES * SLOTS
        if not wait_until(full, 6):
            record(f"only {sum(sum(engine.held.values()) for engine in engines)} streams run")
            return 2
        waiting = [f"{0x1000 + number:016x}" for number in range(WAITING)]
        signalled = time.monotonic()
        if TROUBLE:
            stopped.signal(signal.SIGTERM)
        time.sleep(SIGTERM_LEAD_S)
        for number, request in enumerate(waiting):
            begin(stopped, request, f"a{500 + number}", 4)
        if TROUBLE:
            stopped.process.wait(timeout=20)
            record(f"{stopped.name} ended {time.monotonic() - signalled:.2f} s after SIGTERM, status {stopped.process.returncode}")
        for thread in threads:
            thread.join()
        ran = {run["request"] for engine in engines for run in engine.runs}
        broken = 0
        for call in sorted(calls, key=lambda call: call["request"]):
            held_s = call["answered"] - call["sent"]
            lost = (call["request"] in waiting and not call["complete"] and held_s > LOST_S and
                    call["request"] not in ran and held_s < DEADLINE_MS / 1000 - 0.5)
            broken += lost
            record(f"{call['request']} at {call['node']}: sent {call['sent'] - signalled:+.2f} s, status {call['status']}, "
                   f"complete {call['complete']}, events {call['events']}, ended after {held_s:.2f} s, "
                   f"ran {call['request'] in ran}{', LOST' if lost else ''} {call.get('error', '')}")
        for engine in engines:
            for fault in engine.faults:
                record(fault)
        record(f"{broken} of {WAITING} requests were read and their connections ended without an answer")
        return 1 if broken else 0
    finally:
        for node in nodes:
            node.close()


def end(*_):
    raise SystemExit(2)


def main():
    signal.signal(signal.SIGTERM, end)
    with open(HERE / "record.txt", "w", encoding="utf-8") as file, tempfile.TemporaryDirectory() as folder:
        def record(line):
            file.write(line + "\n")
            file.flush()
        try:
            status = play(folder, record)
        except (SystemExit, Exception) as failure:
            record(f"not run: {failure!r}")
            status = 2
        if os.environ.get("KEEP"):
            os.system(f"cp {folder}/*.log {os.environ['KEEP']}")
    sys.stdout.flush()
    os._exit(status)


main()
