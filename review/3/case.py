"""A request for an adapter that does not exist ends the loads of adapters on every engine that it is placed at, for good.

The coroutine that orders the loads of an engine ends, while its holder lives on and keeps the lease. Adapters that are
not resident are never served again, as long as the process lives.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import engine  # noqa: E402
import kit  # noqa: E402

# The name that the client asks for: 'café' in Latin-1, as an HTTP field may hold it.
ADAPTER = b"caf\xe9" if kit.TROUBLE else b"cafe"
ENGINES_PER_ZONE = 3
# Adapters that are asked for ROUNDS times each, over more than 8 s.
ADAPTERS, ROUNDS, ROUND_S = 30, 5, 2.5
# The rule: more than 1 + 10 in 100 of the adapters that are asked for are never served.
STARVED_MAX = 1 + ADAPTERS * 10 // 100
CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "generate", "host": "h.example", "pathPrefix": "/c/", "kind": "streaming", "timeoutMs": 6000,
         "targetLatencyMs": 1000, "maxAttempts": 1, "priority": 1, "service": "llm", "sessionAffinity": True,
         "gapTargetMs": 500}],
    "services": [
        {"name": "llm", "healthPath": "/health", "maxConnections": 360,
         "engine": {"mb": 74600, "adapterSlots": 7, "loadsPerS": 2.1, "models": [
             {"name": "m", "mb": 72700, "loadS": 0.6, "adapters": 3000, "adapterMb": 66}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


async def ask(record, node, identity, adapter):
    """Sends one request for an adapter; returns whether the whole stream came back."""
    reader, writer = await asyncio.open_connection(node.ip, node.front)
    record.write(f"send {node.name} {identity} for m/{adapter!r}")
    writer.write(b"POST /c/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + identity.encode() +
                 b"\r\nX-Deadline-Ms: 6000\r\nX-Model: m/" + adapter + b"\r\nX-Token-Count: 100,42\r\n"
                 b"X-Prompt-Prefix: 5c1e:100\r\nContent-Length: 2\r\n\r\nhi")
    status, complete = 0, False
    try:
        async with asyncio.timeout(6.5):
            head = await kit.read_head(reader)
            if head is not None:
                status = int(head[0].split(" ")[1])
                body = await kit.read_body(reader, head[1])
                complete = status == 200 and body.count(b"data: ") == engine.EVENTS
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        pass
    record.write(f"answer {identity} {status}{' complete' if complete else ''}")
    writer.close()
    return complete


async def case(record, scratch, nodes):
    store = kit.Store(record)
    await store.start()
    zones = ("z1", "z2", "z3")
    engines = [engine.ModelEngine(record, store, f"i-{zone}-{number}", "llm", zone)
               for zone in zones for number in range(ENGINES_PER_ZONE)]
    for server in engines:
        await server.start()
        await server.publish()
    await store.put("config", "main", CONFIGURATION)
    for number, zone in enumerate(zones):
        nodes.append(kit.Node(scratch, store, f"n{number}", zone, [nodes[0].control] if nodes else None))
    for node in nodes:
        await kit.eventually(node.is_ready, f"{node.name} is ready")
    await kit.eventually(lambda: all(("load-leases", zone) in store.objects for zone in zones), "leases are held")
    await asyncio.sleep(4)
    if not await ask(record, nodes[0], "before0001", b"a1"):
        raise kit.CannotRun("an adapter was not served before the trouble")
    # A client that retries once, as the clients of the site do, at each of three nodes.
    for attempt in range(2):
        await asyncio.gather(*(ask(record, node, f"cafe{attempt}{node.name}", ADAPTER) for node in nodes))
    await asyncio.sleep(3)
    record.write("the client is gone; from now on others ask for adapters that exist")
    served = {number: False for number in range(100, 100 + ADAPTERS)}

    async def ask_once(round_number, number):
        await asyncio.sleep((number - 100) * ROUND_S / ADAPTERS)
        node = nodes[(number + round_number) % len(nodes)]
        identity = f"a{number}r{round_number}"
        served[number] |= await ask(record, node, identity, f"a{number}".encode())

    for round_number in range(ROUNDS):
        await asyncio.gather(*(ask_once(round_number, number) for number in served))
    starved = [f"a{number}" for number, was_served in served.items() if not was_served]
    record.write(f"never served: {len(starved)} of {ADAPTERS} adapters: {starved}")
    record.write(f"processes that ended: {[node.name for node in nodes if node.process.poll() is not None]}")
    return kit.BROKEN if len(starved) > STARVED_MAX else kit.HELD


kit.run_case(pathlib.Path(__file__).parent, case)
