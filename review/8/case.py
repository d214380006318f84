"""The holder of the lease freezes, then its successor, while two new versions of an adapter are announced."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit-2"))

import kit  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "z1"
NODES = 5
# Bounds of the deployment.
VERSION_S = 5.0
STABLE_S = 3.0
# Length of each freeze; the second one begins when the first one has ended.
FREEZE_S = 4.0
# When the second version is announced, after the first one.
SECOND_S = 4.6
ADAPTERS = ["a1", "a2", "a3"]


async def client(node, number, record):
    """Asks for the adapters in turn, all the time."""
    count = 0
    while True:
        count += 1
        request = f"{number:04x}{count:012x}"
        SENDERS[request] = node.name
        fields = {"Host": "shop.example", "X-Attempt-Id": request, "X-Model": f"m0/{ADAPTERS[count % len(ADAPTERS)]}",
                  "X-Token-Count": "50,20", "X-Prompt-Prefix": f"{number:08x}:30,{count:08x}:20", "X-Deadline-Ms": "2000"}
        try:
            answer = await kit.call(node.ip, node.ports[0], "POST", "/a/x", fields, b"hello", 4)
            record.add("answer", id=request, node=node.name, status=answer.status, complete=answer.complete)
        except (OSError, kit.Closed, asyncio.TimeoutError) as failure:
            record.add("no_answer", id=request, node=node.name, what=type(failure).__name__)
        await asyncio.sleep(0.15)


SENDERS = {}


async def announce(store, engines, version, record):
    """Announces a version of all adapters; returns when the store has acknowledged it."""
    for engine in engines:
        engine.newest.update(dict.fromkeys(ADAPTERS, version))
    for adapter in ADAPTERS:
        await store.put("versions", f"m0.{adapter}", {"model": "m0", "adapter": adapter, "version": version})
    record.add("announced", version=version)
    return kit.now()


async def freeze(store, nodes, record, frozen):
    """Freezes the holder of the lease for FREEZE_S."""
    holder = next(node for node in nodes if node.name == store.objects["load-leases", ZONE]["spec"]["holder"])
    begun = kit.now()
    if TROUBLE:
        holder.signal(signal.SIGSTOP)
        record.add("freeze", node=holder.name)
    try:
        await asyncio.sleep(FREEZE_S)
    finally:
        holder.signal(signal.SIGCONT)
    if TROUBLE:
        record.add("wake", node=holder.name)
        frozen.append((holder.name, begun, kit.now()))


async def main(record, folder):
    store = kit.Store(record)
    await store.start()
    await store.put("config", "main", kit.configuration(
        3, [kit.route("r1", "/a/", "streaming", "llm", resumable=False, gapTargetMs=600, sessionAffinity=True)],
        [kit.MODEL_SERVICE]))
    engines = [kit.Engine(store, record, f"i-{number}", ZONE, "llm") for number in range(3)]
    for engine in engines:
        await engine.start()
    ports = kit.free_ports(5)
    nodes = [kit.Node(number, ports, [], store.address, ZONE, folder) for number in range(NODES)]
    for node in nodes:
        node.seeds = [other.ip for other in nodes[:3]]
    clients, frozen, acknowledged = [], [], {}
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await kit.wait_until(node.is_ready, 15):
                return 2
        clients = [asyncio.ensure_future(client(node, number, record)) for number, node in enumerate(nodes)]
        await announce(store, engines, 1, record)
        await asyncio.sleep(8)
        first = asyncio.ensure_future(freeze(store, nodes, record, frozen))
        await asyncio.sleep(0.05)
        acknowledged[2] = await announce(store, engines, 2, record)
        await first
        second = asyncio.ensure_future(freeze(store, nodes, record, frozen))
        await asyncio.sleep(acknowledged[2] + SECOND_S - kit.now())
        acknowledged[3] = await announce(store, engines, 3, record)
        await second
        await asyncio.sleep(2)
        broken = []
        for engine in engines:
            for at, request, version in engine.runs:
                sender = SENDERS.get(request)
                late = [newer for newer, when in acknowledged.items() if version < newer and at > when + VERSION_S]
                touched = all(name != sender or at < begin or at >= end + STABLE_S for name, begin, end in frozen)
                if late and touched:
                    broken.append((at, request, version, sender))
                    record.add("broken", rule="VERSION", id=request, node=sender, version=version, newer=late,
                               after_s=f"{at - acknowledged[late[0]]:.3f}")
        print(f"{len(broken)} requests began on a version that a newer one had replaced for longer than {VERSION_S} s")
        return 1 if broken else 0
    finally:
        for task in clients:
            task.cancel()
        for node in nodes:
            await node.end()


if __name__ == "__main__":
    sys.exit(kit.run(main, pathlib.Path(__file__).resolve().parent))
