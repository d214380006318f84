"""Starved: a node that starts with stale seeds takes the leases of all zones in turns with the others, for good.

No holder keeps a lease for long enough to order a load, so that no adapter is loaded on any engine.
"""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import engine  # noqa: E402
import kit  # noqa: E402

NODES, SEEDS, ENGINES_PER_ZONE = 6, 3, 3
# The new machine starts this long after the loss of the seeds: less than `seedLagS` (3 s).
STARTS_AFTER_S = 1.0
# Its settings name living machines from then on, and it gets SIGHUP.
SETTINGS_AFTER_S = 3.0
# `recoverS` of the site is 12 s.
RECOVERY_S = 13.0
# Adapters that are asked for ROUNDS times each, over more than 8 s.
ADAPTERS, ROUNDS, ROUND_S = 30, 5, 2.5
# The rule: more than 1 + 10 in 100 of the adapters that are asked for are never served.
STARVED_MAX = 1 + ADAPTERS * 10 // 100
CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "generate", "host": "h.example", "pathPrefix": "/c/", "kind": "streaming", "timeoutMs": 4000,
         "targetLatencyMs": 1000, "maxAttempts": 1, "priority": 1, "service": "llm", "sessionAffinity": True,
         "gapTargetMs": 500}],
    "services": [
        {"name": "llm", "healthPath": "/health", "maxConnections": 360,
         "engine": {"mb": 74600, "adapterSlots": 7, "loadsPerS": 2.1, "models": [
             {"name": "m", "mb": 72700, "loadS": 0.6, "adapters": 3000, "adapterMb": 66}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


async def ask(record, node, identity, adapter):
    """Sends one request for an adapter; returns whether the whole stream came back."""
    client = kit.Client(record, node, "h.example")
    headers = {"X-Model": f"m/{adapter}", "X-Token-Count": "100,42", "X-Prompt-Prefix": "5c1e:100"}
    answer = None
    try:
        async with asyncio.timeout(4.5):
            answer = await client.send(identity, target="/c/1", deadline_ms=4000, headers=headers)
    except (asyncio.TimeoutError, OSError):
        record.write(f"no answer to {identity}")
    client.close()
    return answer is not None and answer[0] == 200 and answer[1].count(b"data: ") == engine.EVENTS


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
    seeds = [f"{kit.loopback(11 + number)}:{kit.Node.choose_ports() + 2}" for number in range(SEEDS)]
    for number in range(NODES):
        nodes.append(kit.Node(scratch, store, f"n{number}", zones[number % 3], seeds))
    for node in nodes:
        await kit.eventually(node.is_ready, f"{node.name} is ready")
    await asyncio.sleep(5)
    for node in nodes:
        if not await ask(record, node, f"before{node.name}", "a1"):
            raise kit.CannotRun("an adapter was not served before the trouble")
    record.write(f"lost for good: {[node.name for node in nodes[:SEEDS]]}, the machines that the seeds name")
    for node in nodes[:SEEDS]:
        node.process.kill()
    living = nodes[SEEDS:]
    living_seeds = [node.control for node in living]
    await asyncio.sleep(STARTS_AFTER_S)
    added = kit.Node(scratch, store, f"n{NODES}", "z1", seeds if kit.TROUBLE else living_seeds)
    nodes.append(added)
    living.append(added)
    record.write(f"{added.name} starts with the seeds {seeds if kit.TROUBLE else living_seeds}")
    await asyncio.sleep(SETTINGS_AFTER_S)
    added.settings.write_text(added.settings.read_text().replace(json.dumps(seeds), json.dumps(living_seeds)))
    added.process.send_signal(signal.SIGHUP)
    record.write(f"the settings of {added.name} name the seeds {living_seeds}, and it gets SIGHUP")
    await asyncio.sleep(RECOVERY_S)
    served = {number: False for number in range(100, 100 + ADAPTERS)}
    changes_before = store.revision

    async def ask_once(round_number, number):
        await asyncio.sleep((number - 100) * ROUND_S / ADAPTERS)
        node = living[(number + round_number) % len(living)]
        served[number] |= await ask(record, node, f"a{number}r{round_number}", f"a{number}")

    for round_number in range(ROUNDS):
        await asyncio.gather(*(ask_once(round_number, number) for number in served))
    changes = [event["object"]["spec"]["holder"] for revision, kind, event in store.history
               if kind == "load-leases" and revision > changes_before]
    starved = [f"a{number}" for number, was_served in served.items() if not was_served]
    record.write(f"ready: {[(node.name, await node.is_ready()) for node in living]}")
    record.write(f"changes of holders while the adapters were asked for: {len(changes)}, to {sorted(set(changes))}")
    record.write(f"never served: {len(starved)} of {ADAPTERS} adapters")
    return kit.BROKEN if len(starved) > STARVED_MAX else kit.HELD


kit.run_case(pathlib.Path(__file__).parent, case)
