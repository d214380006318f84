"""Measures how the costs of nodes grow with the load and the fleet size, and prints a linear fit of each.

Each part starts its own fleets of at most 8 nodes and 40 processes, for about a minute at most. CPU time is the median
of three windows. The parts add their results to one JSON file, so that they can be run separately.
"""

import argparse
import itertools
import json
import os
import pathlib
import re
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

import fleet  # noqa: E402

REPEATS = 3
WINDOW_S = 4.0
STORE_LATENCY_MS = 5
JOURNAL_RATES = (40, 160, 400)
SETTLE_S = 3.0


def linear_fit(xs, ys):
    """Returns the least-squares fit y = intercept + slope x and the root mean square of its residuals."""
    mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
    x_variation = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / x_variation
    intercept = mean_y - slope * mean_x
    squares = [(y - intercept - slope * x) ** 2 for x, y in zip(xs, ys)]
    return {"intercept": intercept, "slope": slope, "residual": statistics.fmean(squares) ** 0.5}


class Results:
    """Measured points and fits, written to a JSON file on each addition."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.values = json.loads(self.path.read_text()) if self.path.exists() else {}

    def add_fit(self, part, quantity, x_name, unit, xs, ys):
        """Fits the points; prints and stores the fitted line."""
        line = linear_fit(xs, ys)
        line.update(x=x_name, unit=unit, points=[list(point) for point in zip(xs, ys)], load=os.getloadavg()[0])
        self.values.setdefault(part, {})[quantity] = line
        points = " ".join(f"{x:g}:{y:.4g}" for x, y in zip(xs, ys))
        print(f"{part}: {quantity} [{unit}] = {line['intercept']:.4g} + {line['slope']:.4g} * {x_name}, "
              f"residual {line['residual']:.3g}; points {points}", flush=True)
        self._write()

    def add_value(self, part, quantity, unit, value):
        """Prints and stores a value without a fit."""
        self.values.setdefault(part, {})[quantity] = {"unit": unit, "value": value, "load": os.getloadavg()[0]}
        shown = f"{value:.4g}" if isinstance(value, (int, float)) else json.dumps(value)
        print(f"{part}: {quantity} [{unit}] = {shown}", flush=True)
        self._write()

    def _write(self):
        self.path.write_text(json.dumps(self.values, indent=1) + "\n")


def cpu_seconds(process):
    """Returns the CPU time of the live threads of a process in seconds, with nanosecond resolution."""
    total = 0
    for entry in pathlib.Path(f"/proc/{process.popen.pid}/task").iterdir():
        total += int((entry / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_bytes(process):
    """Returns the resident memory of a process in bytes."""
    text = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) * 1024


def connection_bytes(port):
    """Returns the bytes received and the bytes sent on the open connections of a local TCP port."""
    text = subprocess.run(["ss", "-tinH", f"sport = :{port}"], capture_output=True, text=True, check=True).stdout
    received = sum(int(value) for value in re.findall(r"bytes_received:(\d+)", text))
    return received, sum(int(value) for value in re.findall(r"bytes_sent:(\d+)", text))


def node_state(running_fleet, node):
    """Returns the state dump of a node (/debug/state)."""
    headers = {"authorization": f"Bearer {running_fleet.token}"}
    return fleet.request_json(node.operator_port, "GET", "/debug/state", headers=headers)[2]


def cpu_shares(processes, window_s=WINDOW_S):
    """Returns the share of a core that each process uses, as the median of REPEATS windows."""
    shares = []
    for _ in range(REPEATS):
        started_at = time.monotonic()
        before = [cpu_seconds(process) for process in processes]
        time.sleep(window_s)
        spent = [cpu_seconds(process) - value for process, value in zip(processes, before)]
        shares.append([value / (time.monotonic() - started_at) for value in spent])
    return [statistics.median(values) for values in zip(*shares)]


def empty_fleet(zones, nodes_per_zone, **options):
    """Returns a fleet without upstreams, to be used as a context manager."""
    return fleet.Fleet(fleet.FleetOptions(
        zones=zones, nodes_per_zone=nodes_per_zone, engines_per_zone=0, services_per_zone=0, **options))


def run_load(running_fleet, nodes, **options):
    """Runs the load driver and returns its summary; prints a note when it fails or serves less than 99%."""
    command = [str(running_fleet.binaries / "lagoonsaddle_load"), "--json", "--threads=1",
               "--nodes=" + ",".join(f"127.0.0.1:{node.port}" for node in nodes)]
    command += [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
    finished = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    summary = json.loads(finished.stdout)
    served = summary["by_reason"].get("ok", 0)
    if finished.returncode != 0 or served < 0.99 * summary["requests"]:
        print(f"note: exit status {finished.returncode}, {summary['by_verdict']} {summary['by_reason']}", flush=True)
    return summary


def add_upstream_rows(running_fleet, zone, first, count, standin, kind="engine"):
    """Adds rows of one stand-in under many names to the VM list, so that idle upstreams need one process."""
    labels = ({"base_model": "base", "checks_fencing_token": "true"} if kind == "engine"
              else {"service": "scheduling"})
    for index in range(first, first + count):
        running_fleet.put_vm(f"upstream-{zone}-{index:05}", standin.port, zone, kind, labels)


def owned_upstreams(running_fleet, zone):
    """Returns the number of upstreams of a zone that have an owner, and the size of the ownership object in bytes."""
    status, _, text = fleet.request(running_fleet.object_store.port, "GET", f"/objects/ownership/{zone}")
    return (text.count('"upstream-'), len(text)) if status == 200 else (0, 0)


def put_config(running_fleet, name, value):
    """Writes a configuration object through the object API; returns its version and the size of the body in bytes."""
    body = {"value": json.dumps(value), "author": "bench", "changed_at_ms": 0, "change_id": f"{time.time_ns():x}",
            "history": []}
    status, _, answer = fleet.request_json(running_fleet.object_store.port, "PUT", f"/objects/config/{name}", body)
    if status != 200:
        raise RuntimeError(f"the object API refused {name}: {answer}")
    return answer["version"], len(json.dumps(body))


def measure_membership(results):
    """Measures one membership instance by the number of members, with and without reports of applied versions."""
    for applied, name in ((0, "versions only"), (1, "with applied reports")):
        sizes = [60, 120, 240, 480]
        runs = {}
        for size in sizes:
            build_directory = pathlib.Path(fleet.FleetOptions().build_directory)
            command = [str(build_directory / "bench" / "capacity" / "capacity_membership"),
                       str(size), "42", str(applied)]
            repeats = [json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout)
                       for _ in range(REPEATS if size < 240 else 1)]
            runs[size] = {key: statistics.median(run[key] for run in repeats) for key in repeats[0]}
            if runs[size]["smallest_view"] != size:
                print(f"note: with {size} members, a view holds only {runs[size]['smallest_view']}", flush=True)
        for key, unit in (("bytes_per_s", "B/s"), ("datagrams_per_s", "1/s"), ("over_budget_per_s", "1/s"),
                          ("cpu_share", "core"), ("memory_bytes", "B")):
            results.add_fit("membership", f"{key}, {name}", "members", unit, sizes, [runs[size][key] for size in sizes])
        # A version that did not reach all members within 21 s is reported as -1, so these points are not fitted.
        results.add_value("membership", f"spread, {name}", "s", {size: runs[size]["spread_s"] for size in sizes})


def measure_catalogue(results):
    """Measures memory and CPU time of an idle node by the number of adapters in the catalogue."""
    sizes = [0, 3000, 10000, 29000]
    cpu, memory, body = [], [], []
    for size in sizes:
        with empty_fleet(("a",), 1) as running_fleet:
            node = running_fleet.nodes["node-a-0"]
            length = 0
            if size:
                _, length = put_config(
                    running_fleet, "catalogue-base", {f"adapter-{index:05}": ["1"] for index in range(size)})
                fleet.wait_until(lambda: node_state(running_fleet, node)["catalogue"].get("base") == size, 60.0,
                                 "the catalogue")
            time.sleep(SETTLE_S)
            cpu += cpu_shares([node])
            memory.append(resident_bytes(node))
            body.append(length)
    results.add_fit("catalogue", "memory", "adapters", "B", sizes, memory)
    results.add_fit("catalogue", "idle cpu", "adapters", "core", sizes, cpu)
    results.add_fit("catalogue", "object body", "adapters", "B", sizes, body)


def measure_upstreams(results):
    """Measures an idle owner (zone b) and an idle entry node (zone a) by the number of upstreams in zone b."""
    for kind, sizes in (("engine", [0, 20, 80, 240, 600]), ("service", [0, 80, 240, 600])):
        rows = {"owner cpu": [], "owner memory": [], "entry cpu": [], "entry memory": [], "report bytes": [],
                "ownership object": [], "vm list": []}
        with empty_fleet(("a", "b"), 1) as running_fleet:
            entry, owner = running_fleet.nodes["node-a-0"], running_fleet.nodes["node-b-0"]
            options = {"name": "engine", "threads": 4} if kind == "engine" else {}
            standin = running_fleet.start_standin("upstream", kind, options)
            listed_count = 0
            for size in sizes:
                add_upstream_rows(running_fleet, "b", listed_count, size - listed_count, standin, kind)
                listed_count = size
                fleet.wait_until(lambda: owned_upstreams(running_fleet, "b")[0] >= size, 30.0, "ownership")
                time.sleep(SETTLE_S)
                started_at, before = time.monotonic(), connection_bytes(entry.peer_port)[0]
                shares = cpu_shares([owner, entry], 3.0)
                rows["report bytes"].append(
                    (connection_bytes(entry.peer_port)[0] - before) / (time.monotonic() - started_at))
                rows["owner cpu"].append(shares[0])
                rows["entry cpu"].append(shares[1])
                rows["owner memory"].append(resident_bytes(owner))
                rows["entry memory"].append(resident_bytes(entry))
                rows["ownership object"].append(owned_upstreams(running_fleet, "b")[1])
                rows["vm list"].append(len(fleet.request(running_fleet.vm_list.port, "GET", "/vms")[2]))
        units = {"owner cpu": "core", "entry cpu": "core", "report bytes": "B/s"}
        for name, values in rows.items():
            results.add_fit("upstreams", f"{name}, {kind}s", "upstreams", units.get(name, "B"), sizes, values)


def measure_idle_fleet(results):
    """Measures reports, membership and object API calls of an idle fleet by the number of nodes and zones."""
    upstreams = 24
    shapes = [(2, 1), (2, 2), (2, 3), (1, 6), (3, 2), (2, 4)]
    points = {}
    for zones, nodes_per_zone in shapes:
        names = tuple("abc"[:zones])
        with empty_fleet(names, nodes_per_zone) as running_fleet:
            engine = running_fleet.start_standin("engine", "engine", {"name": "engine"})
            for zone in names:
                add_upstream_rows(running_fleet, zone, 0, upstreams // zones, engine)
            fleet.wait_until(
                lambda: sum(owned_upstreams(running_fleet, zone)[0] for zone in names) == upstreams, 30.0, "ownership")
            time.sleep(SETTLE_S + 2.0)
            nodes = list(running_fleet.nodes.values())
            before = running_fleet.object_store.counters()
            store_before = connection_bytes(running_fleet.object_store.port)
            peers_before = sum(connection_bytes(node.peer_port)[0] for node in nodes)
            sent_before = sum(node_state(running_fleet, node)["membership"]["bytes_sent"] for node in nodes)
            started_at = time.monotonic()
            shares = cpu_shares(nodes, 3.0)
            elapsed_s = time.monotonic() - started_at
            after = running_fleet.object_store.counters()
            store_after = connection_bytes(running_fleet.object_store.port)
            peers_after = sum(connection_bytes(node.peer_port)[0] for node in nodes)
            sent_after = sum(node_state(running_fleet, node)["membership"]["bytes_sent"] for node in nodes)
        calls = {key: (after[key] - before[key]) / elapsed_s for key in ("reads", "writes", "watches", "unchanged")}
        count = zones * nodes_per_zone
        points[(zones, count)] = {
            **calls,
            "report bytes": (peers_after - peers_before) / elapsed_s,
            "membership bytes per node": (sent_after - sent_before) / elapsed_s / count,
            "cpu per node": statistics.median(shares),
            "store bytes per call": (store_after[0] + store_after[1] - store_before[0] - store_before[1])
            / max(1.0, (calls["reads"] + calls["watches"] + calls["writes"]) * elapsed_s),
        }
        print(f"{count} nodes in {zones} zones: " + json.dumps(points[(zones, count)]), flush=True)
    for key, unit in (("reads", "1/s"), ("watches", "1/s"), ("unchanged", "1/s"), ("report bytes", "B/s"),
                      ("membership bytes per node", "B/s"), ("cpu per node", "core"),
                      ("store bytes per call", "B")):
        by_nodes = sorted((count, value[key]) for (zones, count), value in points.items() if zones == 2)
        results.add_fit("idle fleet", f"{key}, 2 zones", "nodes", unit, *map(list, zip(*by_nodes)))
    for key in ("reads", "watches"):
        by_zones = sorted((zones, value[key]) for (zones, count), value in points.items() if count == 6)
        results.add_fit("idle fleet", f"{key}, 6 nodes", "zones", "1/s", *map(list, zip(*by_zones)))
    pairs = [(upstreams * (count - 1), value["report bytes"]) for (_, count), value in points.items()]
    results.add_fit("idle fleet", "report bytes by pair", "upstreams x (nodes - 1)", "B/s", *map(list, zip(*pairs)))


def measure_config(results):
    """Measures the time until a change made by the operator interface or the object API is in force on all nodes."""
    shapes = [(3, 1), (3, 2), (2, 4)]
    save_times, write_times, catalogue_times, wire_bytes, counts = [], [], [], [], []
    rules = [{"name": f"rule-{index}", "when": {"caller": [f"caller-{index}-*"]}, "then": {"action": "allow"}}
             for index in range(50)]
    body_length = len(json.dumps({"rules": rules}))
    for zones, nodes_per_zone in shapes:
        with empty_fleet(tuple("abc"[:zones]), nodes_per_zone) as running_fleet:
            time.sleep(SETTLE_S)
            nodes = list(running_fleet.nodes.values())

            def in_force(name, version):
                return all(node_state(running_fleet, node)["config"].get(name, 0) >= version for node in nodes)

            headers = {"authorization": f"Bearer {running_fleet.token}"}
            times, version = [], 0
            before = sum(connection_bytes(node.peer_port)[1] for node in nodes)
            for attempt in range(5):
                body = {"rules": rules, "expected_version": version, "author": f"bench {attempt}"}
                started_at = time.monotonic()
                status, _, answer = fleet.request_json(nodes[attempt % len(nodes)].operator_port, "PUT", "/rules",
                                                       body, headers)
                if status != 200:
                    raise RuntimeError(f"the rules were refused: {answer['error']}")
                # The response can hold the previous version when the watch applies the change at the same time.
                fields = fleet.request(running_fleet.object_store.port, "GET", "/objects/config/rules")[1]
                if answer["version"] != int(fields["etag"].strip('"')):
                    print(f"note: the answer to a change names version {answer['version']}, the object is "
                          f"{fields['etag']}", flush=True)
                version = int(fields["etag"].strip('"'))
                fleet.wait_until(lambda: in_force("rules", version), 30.0, "the rules")
                times.append(time.monotonic() - started_at)
            wire_bytes.append((sum(connection_bytes(node.peer_port)[1] for node in nodes) - before) / 5)
            save_times.append(statistics.median(times))
            times = []
            for attempt in range(3):
                started_at = time.monotonic()
                version, _ = put_config(running_fleet, "rules", {"rules": rules})
                fleet.wait_until(lambda: in_force("rules", version), 30.0, "the rules")
                times.append(time.monotonic() - started_at)
            write_times.append(statistics.median(times))
            started_at = time.monotonic()
            version, _ = put_config(running_fleet, "catalogue-base",
                                    {f"adapter-{index}": ["1"] for index in range(3000)})
            fleet.wait_until(lambda: in_force("catalogue-base", version), 40.0, "the catalogue")
            catalogue_times.append(time.monotonic() - started_at)
            counts.append(len(nodes))
    results.add_value("config", "rules document", "B", body_length)
    results.add_fit("config", "rules saved at a node", "nodes", "s", counts, save_times)
    results.add_fit("config", "rules written to the object API", "nodes", "s", counts, write_times)
    results.add_fit("config", "catalogue written to the object API", "nodes", "s", counts, catalogue_times)
    results.add_fit("config", "bytes between nodes per change", "nodes", "B", counts, wire_bytes)


LOAD_OPTIONS = {"adapters": 2, "zipf": 0, "chat_share": 0, "service_share": 0}
ENGINE_OPTIONS = {"batch-limit": 128, "slots": 4, "load-ms": 10, "loads-per-second": 100}


def hop_fleet(hops):
    """Returns a fleet whose last node is the entry node; with two hops, the other node owns the engine."""
    return empty_fleet(("a",) if hops == 1 else ("a", "b"), 1)


def add_bench_engine(running_fleet, step_ms=2):
    """Adds one fast engine in zone a and loads its adapters by a short load; returns it."""
    running_fleet.options.engine = {}
    engine = running_fleet.start_standin(
        "engine", "engine", {"name": "engine", "threads": 4, "step-ms": step_ms, **ENGINE_OPTIONS})
    engine.zone = "a"
    running_fleet.engines["engine"] = engine
    running_fleet.put_vm("engine", engine.port, "a", "engine", {"base_model": "base", "checks_fencing_token": "true"})
    running_fleet.wait_until_ready()
    time.sleep(SETTLE_S)
    run_load(running_fleet, [list(running_fleet.nodes.values())[-1]], requests=50, concurrency=2, streamed_share=0,
             tokens_min=1, tokens_max=1, **LOAD_OPTIONS)
    return engine


def measure_requests(results):
    """Measures CPU time of the entry node and the owner by the rate of requests and of streamed tokens."""
    window_s = 3
    for hops in (1, 2):
        rates, tokens = [50, 150, 300], [4, 32, 96]
        for part, xs in (("rate", rates), ("tokens", tokens)):
            columns = []
            measured = []
            with hop_fleet(hops) as running_fleet:
                # With longer steps each token arrives in its own chunk, as in a fleet of the design size.
                add_bench_engine(running_fleet, 2 if part == "rate" else 20)
                nodes = list(running_fleet.nodes.values())
                for x in xs:
                    options = ({"rate": x, "streamed_share": 0, "tokens_min": 1, "tokens_max": 1} if part == "rate"
                               else {"rate": 40, "streamed_share": 1, "tokens_min": x, "tokens_max": x})
                    repeats, rate = [], []
                    for repeat in range(REPEATS):
                        started_at = time.monotonic()
                        before = [cpu_seconds(node) for node in nodes]
                        summary = run_load(running_fleet, nodes[-1:], duration_s=window_s, seed=repeat + 1, **options,
                                           **LOAD_OPTIONS)
                        elapsed_s = time.monotonic() - started_at
                        repeats.append([(cpu_seconds(node) - value) / elapsed_s for node, value in zip(nodes, before)])
                        rate.append(summary["requests"] * (1 if part == "rate" else x) / elapsed_s)
                    columns.append([statistics.median(values) for values in zip(*repeats)])
                    measured.append(statistics.median(rate))
            names = ["entry and owner"] if hops == 1 else ["owner", "entry"]
            for name, values in zip(names, zip(*columns)):
                results.add_fit("requests", f"{name} cpu, {hops} hop(s), {part}",
                                "requests/s" if part == "rate" else "tokens/s", "core", measured, list(values))


def measure_latency(results):
    """Measures the latency of one and two hops to a plain service with one call in flight, and the saturated cost."""
    # A plain service responds immediately; the steps of an engine would hide the added latency.
    one_call = {"concurrency": 1, "duration_s": 3, **LOAD_OPTIONS, "service_share": 1, "non_idempotent_share": 0}
    with hop_fleet(2) as running_fleet:
        add_bench_engine(running_fleet)
        service = running_fleet.add_service("scheduling-a-0", "a")
        running_fleet.wait_until_ready()
        time.sleep(SETTLE_S)
        owner, entry = running_fleet.nodes["node-a-0"], running_fleet.nodes["node-b-0"]
        rows = {"service": [], "one hop": [], "two hops": []}
        for repeat in range(REPEATS):
            for name, target in (("service", service), ("one hop", owner), ("two hops", entry)):
                summary = run_load(running_fleet, [target], seed=repeat + 1, **one_call)
                rows[name].append((summary["total_ms"]["p50"], summary["total_ms"]["p99"], summary["requests_per_s"]))
        for name, values in rows.items():
            p50, p99, rate = (statistics.median(column) for column in zip(*values))
            results.add_value("latency", name, "ms, ms, 1/s", {"p50": p50, "p99": p99, "requests_per_s": rate})
        saturating_load = {"concurrency": 64, "duration_s": 4, "streamed_share": 0, "tokens_min": 1, "tokens_max": 1}
        for name, target in (("one hop", owner), ("two hops", entry)):
            before = [cpu_seconds(node) for node in (owner, entry)]
            summary = run_load(running_fleet, [target], **saturating_load, **LOAD_OPTIONS)
            spent = [cpu_seconds(node) - value for node, value in zip((owner, entry), before)]
            results.add_value("saturation", name, "requests/s, core s per request", {
                "requests_per_s": summary["requests_per_s"], "p50_ms": summary["total_ms"]["p50"],
                "p99_ms": summary["total_ms"]["p99"], "owner_cpu_s": spent[0] / summary["requests"],
                "entry_cpu_s": spent[1] / summary["requests"],
                "requests_per_core": summary["requests"] / sum(spent)})


def measure_journal(results):
    """Measures object API calls per claim by the rate of claims and the number of shards, and bytes per entry."""
    load = {"service_share": 1, "non_idempotent_share": 1, "duration_s": 4}
    bytes_points = []
    for nodes_per_zone, shards in ((1, 4), (1, 16), (1, 64), (3, 16)):
        xs, calls, conflicts, cpu = [], [], [], []
        with empty_fleet(("a",), nodes_per_zone, node_settings={"journal": {"shards": shards}}) as running_fleet:
            running_fleet.object_store.set_faults(latency_ms=STORE_LATENCY_MS)
            running_fleet.add_service("scheduling-a-0", "a")
            running_fleet.wait_until_ready()
            time.sleep(SETTLE_S)
            nodes = list(running_fleet.nodes.values())
            for repeat, rate in enumerate(JOURNAL_RATES):
                before = running_fleet.object_store.counters()
                cpu_before = [cpu_seconds(node) for node in nodes]
                summary = run_load(running_fleet, nodes, rate=rate, seed=repeat + 1, **load)
                time.sleep(1.0)
                cpu.append(sum(cpu_seconds(node) - value for node, value in zip(nodes, cpu_before)) / 5.0)
                after = running_fleet.object_store.counters()
                claims = summary["requests"]
                writes = after["writes"] - before["writes"]
                xs.append(claims / summary["elapsed_s"])
                calls.append(writes / claims)
                conflicts.append((after["conflicts"] - before["conflicts"]) / claims)
                reads = (after["reads"] - before["reads"]) / claims
                print(f"journal: {nodes_per_zone} node(s), {shards} shards, {xs[-1]:.1f} claims/s: writes per claim "
                      f"{calls[-1]:.3f}, reads per claim {reads:.3f}, conflicts per claim {conflicts[-1]:.3f}, "
                      f"{json.dumps(summary['by_reason'])} p50 {summary['total_ms']['p50']} ms", flush=True)
            journal_objects = fleet.request_json(
                running_fleet.object_store.port, "GET", "/objects?prefix=journal/")[2]["objects"]
            size = 0
            for entry in journal_objects:
                connection = fleet.http.client.HTTPConnection("127.0.0.1", running_fleet.object_store.port)
                connection.request("GET", f"/objects/{entry['name']}")
                size += len(connection.getresponse().read())
                connection.close()
            total = sum(4 * rate for rate in JOURNAL_RATES)
            bytes_points.append((nodes_per_zone, shards, size / total))
        name = f"{nodes_per_zone} node(s), {shards} shards"
        results.add_fit("journal", f"writes per claim, {name}", "claims/s", "1", xs, calls)
        results.add_fit("journal", f"conflicts per claim, {name}", "claims/s", "1", xs, conflicts)
        results.add_fit("journal", f"cpu of all nodes, {name}", "claims/s", "core", xs, cpu)
    results.add_value("journal", "bytes per entry", "B", [list(point) for point in bytes_points])


DEPLOYMENTS = {
    "Beaudry-Lachance": {
        "zones": ("trois-rivieres", "shawinigan", "louiseville"), "engines_per_zone": 4, "service": "scheduling",
        "engine": {"step-ms": 20}, "weight_store": {"loads-per-second": 3, "load-ms": 330},
        "node_settings": {"policy": {"stall_weight": 2.0, "loads_per_second": 3}}},
    "Colombo": {
        "zones": ("maradana", "dehiwala", "kotte"), "engines_per_zone": 3, "service": "counter",
        "engine": {"step-ms": 20}, "weight_store": {"loads-per-second": 2, "load-ms": 500},
        "node_settings": {"policy": {"batch_weight": 2.0, "loads_per_second": 2}}},
}


DEPLOYMENT_RATES = (5, 40)


def measure_deployments(results):
    """Measures both deployments with six nodes at two rates: requests served, latency and control work per node."""
    for (name, options), rate in itertools.product(DEPLOYMENTS.items(), DEPLOYMENT_RATES):
        with fleet.Fleet(fleet.FleetOptions(nodes_per_zone=2, services_per_zone=1, **options)) as running_fleet:
            time.sleep(SETTLE_S)
            nodes = list(running_fleet.nodes.values())
            idle = cpu_shares(nodes, 2.0)
            before = running_fleet.object_store.counters()
            cpu_before = [cpu_seconds(node) for node in nodes]
            peers = sum(connection_bytes(node.peer_port)[0] for node in nodes)
            sent = sum(node_state(running_fleet, node)["membership"]["bytes_sent"] for node in nodes)
            started_at = time.monotonic()
            engines = ",".join(f"127.0.0.1:{engine.port}" for engine in running_fleet.engines.values())
            services = ",".join(f"127.0.0.1:{service.port}" for service in running_fleet.services.values())
            summary = run_load(running_fleet, nodes, adapters=3000, rate=rate, duration_s=12,
                               services=options["service"], engine_counters=engines, service_counters=services)
            elapsed_s = time.monotonic() - started_at
            after = running_fleet.object_store.counters()
            busy = [(cpu_seconds(node) - value) / elapsed_s for node, value in zip(nodes, cpu_before)]
            summary_keys = ("requests", "by_verdict", "by_reason", "first_token_ms", "total_ms", "load_stall_ms",
                            "engines", "duplicates", "false_not_run", "wrong_adapters", "incomplete_answers")
            results.add_value("today", f"{name}, {rate} requests/s", "see keys", {
                **{key: summary[key] for key in summary_keys if key in summary},
                "idle_cpu_per_node": statistics.median(idle), "busy_cpu_per_node": statistics.median(busy),
                "memory_per_node": statistics.median(resident_bytes(node) for node in nodes),
                "peer_bytes_per_s_per_node":
                    (sum(connection_bytes(node.peer_port)[0] for node in nodes) - peers) / elapsed_s / len(nodes),
                "membership_bytes_per_s_per_node":
                    (sum(node_state(running_fleet, node)["membership"]["bytes_sent"] for node in nodes) - sent)
                    / elapsed_s / len(nodes),
                "object_api_per_s": {key: (after[key] - before[key]) / elapsed_s
                                     for key in ("reads", "writes", "watches", "conflicts")}})


PARTS = {
    "today": measure_deployments,
    "membership": measure_membership,
    "catalogue": measure_catalogue,
    "upstreams": measure_upstreams,
    "idle": measure_idle_fleet,
    "config": measure_config,
    "requests": measure_requests,
    "latency": measure_latency,
    "journal": measure_journal,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", help="parts to run; all when none is given")
    parser.add_argument("--output", default="capacity.json", help="JSON file to add the results to")
    options = parser.parse_args()
    results = Results(options.output)
    for part in options.parts or PARTS:
        print(f"{part}: load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores", flush=True)
        PARTS[part](results)


if __name__ == "__main__":
    main()
