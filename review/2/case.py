"""UNASKED: a request that is smuggled inside the body of another one is run by a server."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import kit  # noqa: E402

# Transfer codings that do not end with "chunked": they state no length, so that the request has to be rejected.
CODINGS = ("xchunked", "gzip", "chunked, identity")
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "lookup", "host": "h.example", "pathPrefix": "/a/", "kind": "unsafe", "timeoutMs": 5000,
                "targetLatencyMs": 150, "maxAttempts": 1, "priority": 2, "service": "counter"}],
    "services": [{"name": "counter", "healthPath": "/health", "maxConnections": 96}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def smuggled(identity):
    """Returns a body that reads like a request."""
    return (f"POST /a/inside HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {identity}\r\nX-Deadline-Ms: 1000\r\n"
            "Content-Length: 0\r\n\r\n").encode()


async def exchange(node, data):
    """Sends bytes on a new connection and returns what comes back within a second."""
    reader, writer = await asyncio.open_connection(node.ip, node.front)
    writer.write(data)
    received = b""
    try:
        async with asyncio.timeout(1):
            while piece := await reader.read(65536):
                received += piece
    except asyncio.TimeoutError:
        pass
    writer.close()
    return received


async def case(record, scratch, nodes):
    store = kit.Store(record)
    await store.start()
    services = [kit.PlainService(record, store, f"i-c{number}", "counter", f"z{number}") for number in (1, 2)]
    for server in services:
        await server.start()
        await server.publish()
    await store.put("config", "main", CONFIGURATION)
    for number in (1, 2):
        nodes.append(kit.Node(scratch, store, f"n{number}", f"z{number}", [nodes[0].control] if nodes else None))
    for node in nodes:
        await kit.eventually(node.is_ready, f"{node.name} is ready")
    await asyncio.sleep(1)
    asked, inside = set(), set()
    for number, coding in enumerate(CODINGS):
        for node in nodes:
            identity = f"outer{number}{node.name}"
            body = smuggled(f"inner{number}{node.name}")
            asked.add(identity)
            inside.add(f"inner{number}{node.name}")
            framing = f"Transfer-Encoding: {coding}" if kit.TROUBLE else f"Content-Length: {len(body)}"
            head = (f"POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {identity}\r\nX-Deadline-Ms: 1000\r\n"
                    f"{framing}\r\n\r\n").encode()
            record.write(f"send {node.name} one request {identity}, framed by {framing!r}, with the body {body!r}")
            received = await exchange(node, head + body)
            record.write(f"answers to {identity}: {received.count(b'HTTP/1.1 ')}: {received[:80]!r}")
    run = {identity for service in services for identity in service.runs}
    unasked = sorted(run - asked)
    record.write(f"run {sorted(run)}")
    record.write(f"run, but sent by no client as a request: {unasked}")
    if not kit.TROUBLE and run != asked:
        raise kit.CannotRun("the requests with a length were not run")
    return kit.BROKEN if unasked else kit.HELD


kit.run_case(pathlib.Path(__file__).parent, case)
