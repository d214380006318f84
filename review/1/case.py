"""LOST: a node that is stopped as planned while the store is down drops requests that it has passed on to a server."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import kit  # noqa: E402

CLIENTS = 60
# The store is down from this time before the signal on, for less than the 8 s of the site's days.
DOWN_BEFORE_S, DOWN_FOR_S = 0.3, 5.0
# The last requests of the clients: each one's follows the one before by this time.
FIRST_S, STEP_S = 3.07, 0.003
CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "lookup", "host": "h.example", "pathPrefix": "/a/", "kind": "unsafe", "timeoutMs": 5000,
         "targetLatencyMs": 150, "maxAttempts": 1, "priority": 2, "service": "counter"},
        {"name": "check", "host": "h.example", "pathPrefix": "/b/", "kind": "safe", "timeoutMs": 5000,
         "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2, "service": "counter"},
        {"name": "generate", "host": "h.example", "pathPrefix": "/c/", "kind": "streaming", "timeoutMs": 6000,
         "targetLatencyMs": 1000, "maxAttempts": 1, "priority": 1, "service": "llm"}],
    "services": [
        {"name": "counter", "healthPath": "/health", "maxConnections": 96},
        {"name": "llm", "healthPath": "/health", "maxConnections": 360,
         "engine": {"adapterSlots": 7, "loadsPerS": 2, "models": [{"name": "m", "mb": 72700, "loadS": 0.6}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Engine(kit.PlainService):
    """A model engine that gets no requests here: a node holds the lease of its zone."""

    def entry(self, state="ready"):
        return {**super().entry(state), "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def respond(self, request, reader, writer):
        if request.target == "/-/report":
            writer.write(kit.json_response(200, {"stage": "both", "busy": False, "seq": 0, "coming": [],
                                                 "models": [{"name": "m", "version": 1, "adapters": []}]}))
            return True
        return await super().respond(request, reader, writer)


async def case(record, scratch, nodes):
    store = kit.Store(record)
    await store.start()
    services = [kit.PlainService(record, store, f"i-c{number}", "counter", zone)
                for number, zone in enumerate(("z1", "z2", "z3"))]
    engines = [Engine(record, store, f"i-e{number}", "llm", zone) for number, zone in enumerate(("z1", "z2", "z3"))]
    for server in [*services, *engines]:
        await server.start()
        await server.publish()
    await store.put("config", "main", CONFIGURATION)
    for number, zone in enumerate(("z1", "z2", "z3")):
        nodes.append(kit.Node(scratch, store, f"n{number}", zone, [nodes[0].control] if nodes else None))
    for node in nodes:
        await kit.eventually(node.is_ready, f"{node.name} is ready")

    def holder():
        lease = store.objects.get(("load-leases", "z1"))
        return next((node for node in nodes if lease and node.name == lease["spec"]["holder"]), None)

    stopped = await kit.eventually(holder, "a node holds a lease")
    await asyncio.sleep(4)
    stopped = holder()
    record.write(f"{stopped.name} is going to be stopped")
    clients = [kit.Client(record, stopped, "h.example") for _ in range(CLIENTS)]
    for number, client in enumerate(clients):
        first = await client.send(f"first{number:04x}", deadline_ms=1000)
        if first is None or first[0] != 200:
            raise kit.CannotRun(f"a request before the stop was answered {first}")
    if kit.TROUBLE:
        record.write("store down")
        store.down = "busy"
    await asyncio.sleep(DOWN_BEFORE_S)
    record.write(f"SIGTERM {stopped.name}")
    stopped.process.send_signal(signal.SIGTERM)
    signalled = time.monotonic()

    async def send_later(number, client):
        await asyncio.sleep(max(signalled + FIRST_S + number * STEP_S - time.monotonic(), 0))
        method, target = ("POST", "/a/1") if number % 2 else ("GET", "/b/1")
        identity = f"last{number:04x}"
        return identity, await client.send(identity, method, target, b"x" if number % 2 else b"")

    async def end_outage():
        await asyncio.sleep(DOWN_FOR_S - DOWN_BEFORE_S)
        store.down = None
        record.write("store back")

    outage = asyncio.create_task(end_outage())
    answers = await asyncio.gather(*(send_later(number, client) for number, client in enumerate(clients)))
    await kit.eventually(lambda: stopped.process.poll() is not None, "the node has ended", 8)
    await outage
    record.write(f"{stopped.name} ended with {stopped.process.poll()}")
    run = {identity for service in services for identity in service.runs}
    lost = [identity for identity, answer in answers if answer is None and identity in run]
    served = sum(answer is not None and answer[0] == 200 for _, answer in answers)
    record.write(f"served {served}, not read {len(answers) - served - len(lost)}, "
                 f"passed on and not answered {len(lost)}: {' '.join(lost)}")
    return kit.BROKEN if lost else kit.HELD


kit.run_case(pathlib.Path(__file__).parent, case)
