"""What callers and upstreams must have seen, whatever was disturbed."""

import collections
import threading
import time

import world

# Bounds of the platform's rules, in seconds.
STABLE_S = 3.0
CONFIGURATION_S = 2.0
DRAIN_S = 2.0
LATE_S = 0.5
LATE_CALLS_MAX = 8
LATE_SHARE_MAX = 0.25
PROMISES_NOT_RUN = (408, 421, 429, 503)
# The recovery check calls all nodes at once; each call may wait for a load.
PROBE_PAUSE_S = 0.1


def check(scene, calls):
    """Returns a line for each broken promise."""
    return (runs_once(scene, calls) + refusals_are_true(scene, calls) + answers_are_whole(calls) +
            answers_are_in_time(scene, calls) + places_are_kept(scene) + tokens_are_unique(scene) +
            configurations_hold(scene, calls) + draining_is_respected(scene) + stops_are_clean(scene, calls) +
            budget_is_kept(scene, calls))


def runs_by_id(scene):
    """Returns the runs of each request."""
    runs = collections.defaultdict(list)
    for upstream in scene.upstreams:
        for at, request_id, path, _ in upstream.runs:
            runs[request_id].append((at, upstream.given_name, path))
    return runs


def runs_once(scene, calls):
    """A request that may not be repeated runs once at most; no request runs that nobody sent."""
    runs, known = runs_by_id(scene), {call.id: call for call in calls}
    broken = [f"twice: {call.id} {call.kind} ran on {runs[call.id]}" for call in calls
              if call.kind in ("stream", "unsafe") and len(runs.get(call.id, [])) > 1]
    broken += [f"unasked: {request_id} ran" for request_id in runs if request_id not in known and
               request_id not in scene.probes]
    return broken + [f"changed: {call.id} {call.path} ran as {run[2]}" for call in calls
                     for run in runs.get(call.id, []) if run[2] != call.path]


def refusals_are_true(scene, calls):
    """A status that says not run is given only to requests that never ran."""
    runs = runs_by_id(scene)
    return [f"refused but ran: {call.id} {call.kind} status {call.status} ran on {runs[call.id]}" for call in calls
            if call.status in PROMISES_NOT_RUN and call.kind in ("stream", "unsafe") and runs.get(call.id)]


def answers_are_whole(calls):
    """An answer that looks complete is the upstream's own whole answer to this request."""
    broken = []
    for call in calls:
        if call.status != 200 or not call.complete:
            continue
        expected = f"body{call.id}"
        if call.kind == "stream":
            expected = "".join(f"id: {number}\ndata: {call.adapter} {call.id}\n\n"
                               for number in range(1, world.EVENTS + 1))
        if call.body != expected.encode():
            broken.append(f"mixed: {call.id} {call.kind} got {call.body[:120]!r}")
    return broken


def answers_are_in_time(scene, calls):
    """Requests that reach their deadline are answered then."""
    limit = world.DEADLINE_MS / 1000
    long = [call for call in calls if call.sent and call.end - call.begin >= limit and
            not scene.disturbed(call.begin - STABLE_S, call.end, call.node)]
    late = [call for call in long if call.end - call.begin > limit + LATE_S]
    if len(late) >= LATE_CALLS_MAX and len(late) > LATE_SHARE_MAX * len(long):
        return [f"late: {len(late)} of {len(long)} calls past their deadline, first {late[0].id}"]
    return []


def places_are_kept(scene):
    """No upstream is ordered to load more than it has places."""
    return [f"places: {engine.given_name} {fault}" for engine in scene.engines for fault in engine.faults]


def tokens_are_unique(scene):
    """No two nodes order under one fencing token."""
    broken, holders = [], {}
    for engine in scene.engines:
        for holder, token in engine.holders:
            first = holders.setdefault((engine.zone, token), holder)
            if first != holder:
                broken.append(f"one: {first} and {holder} ordered under token {token} of {engine.zone}")
    return sorted(set(broken))


def configurations_hold(scene, calls):
    """A dropped route is not served later than the bound after its successor was acknowledged."""
    broken, known = [], {call.id: call for call in calls}
    dropped = {path: after for (_, path), (after, _) in zip(scene.configurations, scene.configurations[1:])}
    for service in scene.services:
        for _, request_id, path, _ in service.runs:
            since, call = dropped.get(path.removesuffix("x")), known.get(request_id)
            if since is None or call is None or call.begin <= since + CONFIGURATION_S:
                continue
            if not scene.disturbed(since - STABLE_S, call.begin, call.node):
                broken.append(f"configuration: {call.id} ran on a route dropped {call.begin - since:.1f} s before")
    for call in calls:
        written = next((at for at, path in scene.configurations if path + "x" == call.path), None)
        if call.kind == "moving" and call.status == 404 and call.begin > written + CONFIGURATION_S:
            ends = dropped.get(call.path.removesuffix("x"), float("inf"))
            if call.end < ends and not scene.disturbed(written - STABLE_S, call.begin, call.node):
                broken.append(f"configuration: {call.id} got 404 on a route of {call.begin - written:.1f} s before")
    return broken


def draining_is_respected(scene):
    """An upstream that leaves gets no new requests later than the bound."""
    return [f"drain: {request_id} ran on {engine.given_name} {at - since:.1f} s after it announced to leave"
            for engine in scene.engines for at, request_id, _, since in engine.runs
            if since is not None and at > since + DRAIN_S and not scene.disturbed(since - STABLE_S, at)]


def stops_are_clean(scene, calls):
    """A stopped node ends in time, and cuts no request that only its stop touches."""
    broken = [failure for node in scene.nodes for failure in node.stop_failures]
    for call in calls:
        stops = [at for at in call.node.stop_times if call.begin <= at <= call.end]
        if not stops or call.complete or not call.sent:
            continue
        others = [node for node in scene.nodes if node is not call.node]
        links = [upstream.link.spans for upstream in scene.upstreams]
        spans = [scene.store_spans, call.node.store_link.spans, *links]
        spans += [span for node in others for span in (node.spans, node.store_link.spans)]
        crashed = any(service.failing for service in scene.services)
        if not crashed and not any(span.touches(call.begin - STABLE_S, call.end) for span in spans):
            broken.append(f"lost: {call.id} {call.kind} was cut by the stop of {call.node.name}")
    return broken


def budget_is_kept(scene, calls):
    """Sends beyond the first of each request stay within the fleet's budget."""
    broken = []
    services = {"llm": (scene.engines, ("stream",)), "plain": (scene.services, ("safe", "unsafe", "moving"))}
    for name, (upstreams, kinds) in services.items():
        seen, repeats = set(), []
        for at, request_id in sorted(arrival for upstream in upstreams for arrival in upstream.arrivals):
            if request_id in seen:
                repeats.append(at)
            seen.add(request_id)
        asked = sorted(call.begin for call in calls if call.kind in kinds)
        for first in repeats:
            window = [at for at in repeats if first <= at < first + world.RETRY_WINDOW_S]
            starts = [first - world.RETRY_WINDOW_S * part for part in (0.0, 0.5, 1.0)]
            requests = max(sum(start <= at < start + world.RETRY_WINDOW_S for at in asked) for start in starts)
            if len(window) > world.RETRY_RATIO * requests + world.RETRY_SLACK:
                broken.append(f"budget: {len(window)} repeats at {name} in {world.RETRY_WINDOW_S} s")
                break
    return broken


def recovers(scene, limit_s):
    """After the last fault, each node serves each kind of request within the limit."""
    callers = world.Callers.__new__(world.Callers)
    callers.scene, callers.calls, callers.lock = scene, [], threading.Lock()
    callers.numbers = iter(range(1 << 60, 1 << 61))
    pending = {(node.name, kind): node for node in scene.nodes for kind in ("stream", "safe", "unsafe")}
    end = time.monotonic() + limit_s
    while pending and time.monotonic() < end:
        for (name, kind), node in list(pending.items()):
            call = callers.call(node, kind, "a0")
            if call.status == 200 and call.complete:
                del pending[(name, kind)]
        time.sleep(PROBE_PAUSE_S)
    scene.probes = {call.id for call in callers.calls}
    return [f"recovery: {name} does not serve {kind} {limit_s} s after the last fault" for name, kind in pending]
