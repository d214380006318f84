"""Invariants over the calls and executions of a soak run, which must hold under all injected faults."""

import collections
import concurrent.futures
import itertools
import threading
import time

import callers
import upstreams
import world

# Bounds in seconds. Most checks skip calls with a fault active within STABILIZATION_S before them.
STABILIZATION_S = 3.0
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
VERSION_BOUND_S = 5.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
HOLD_TOLERANCE_S = 0.5
HOLD_REQUESTS_PER_NODE = 2
LATENESS_TOLERANCE_S = 0.5
LATE_CALLS_MAX = 8
LATE_SHARE_MAX = 0.25
LOST_S = 0.2
PART_CRASHES_MAX = 5
PART_REQUESTS_MAX = 3
MIXED_STREAMS_MAX = 2
# Streams that are taken up, from which on the share of those that go on counts, relative to new streams that begin.
RESUMED_MIN = 12
RESUMED_SHARE_MIN = 0.5
PARTITIONED_SHARE_MIN = 2 / 3
PARTITIONED_FAILURES_MAX = 10
PARTITIONED_FAILURE_SHARE_MAX = 1 / 50
FALLS_MAX = 2
FALLS_PER_ENGINE = 0.1
# An engine may be at work so long after the request has gone on elsewhere, and after its caller has left.
MOVED_TOLERANCE_S = 0.4
LEFT_TOLERANCE_S = 0.5
LEFT_ARRIVALS_MAX = 3
LEFT_RUNS_MIN = 4
LEFT_SHARE_MAX = 0.25
DENIED_MAX = 5
DENIED_SHARE_MAX = 1 / 500
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# The recovery check calls all nodes repeatedly; each call may wait for a load.
PROBE_INTERVAL_S = 0.1


class OrderRun:
    """Orders of one holder to one engine without orders of others between them."""

    def __init__(self, holder, begin):
        self.holder, self.begin, self.end = holder, begin, begin


def check(cluster, calls):
    """Returns one line for each violated invariant."""
    return (check_at_most_once(cluster, calls) + check_refusals(cluster, calls) + check_response_bodies(cluster, calls) +
            check_deadlines(cluster, calls) + check_adapter_slots(cluster) + check_fencing_tokens(cluster) +
            check_order_turns(cluster) + check_route_changes(cluster, calls) + check_draining(cluster) + check_shutdowns(cluster, calls) +
            check_retry_budget(cluster, calls) + check_limits(cluster) + check_times_to_return(cluster) +
            check_crashing_parts(cluster, calls) + check_software_versions(cluster, calls) +
            check_adapter_versions(cluster, calls) +
            check_resumed_share(cluster, calls) + check_partitions(cluster, calls) + check_falls(cluster, calls) +
            check_moved_streams(cluster, calls) + check_left_requests(cluster, calls) + check_denied(calls))


def executions_by_id(cluster):
    """Returns the time, upstream and path of each execution, by request id."""
    executions = collections.defaultdict(list)
    for upstream in cluster.upstreams:
        for at, request_id, path, _ in upstream.executions:
            executions[request_id].append((at, upstream.label, path))
    return executions


def check_at_most_once(cluster, calls):
    """A non-idempotent request is executed at most once, and no request is executed that was not sent."""
    executions, calls_by_id = executions_by_id(cluster), {call.id: call for call in calls}
    violations = [f"duplicate execution: {call.id} {call.kind} was executed on {executions[call.id]}"
                  for call in calls if call.kind in ("stream", "unsafe") and len(executions.get(call.id, [])) > 1]
    violations += [f"unknown request: {request_id} was executed but not sent" for request_id in executions
                   if request_id not in calls_by_id and request_id not in cluster.probes]
    return violations + [f"wrong path: {call.id} {call.path} was executed as {execution[2]}" for call in calls
                         for execution in executions.get(call.id, []) if execution[2] != call.path]


def check_refusals(cluster, calls):
    """A status that means 'not executed' is returned only for requests that were never executed."""
    executions = executions_by_id(cluster)
    return [f"refused but executed: {call.id} {call.kind} status {call.status} was executed on {executions[call.id]}"
            for call in calls
            if call.status in NOT_EXECUTED_STATUSES and call.kind in ("stream", "unsafe") and executions.get(call.id)]


def check_response_bodies(cluster, calls):
    """A complete response is exactly what the upstream sends for this request.

    The caller of an answer that ended early without a mark may get its complete events."""
    violations = []
    for call in calls:
        if call.status != 200 or not call.complete:
            continue
        if not (is_whole_stream(cluster, call) if call.kind in callers.STREAM_KINDS else
                call.body == f"body{call.id}{call.id}".encode()):
            violations.append(f"wrong body: {call.id} {call.kind} got {call.body[:120]!r}")
    return violations


def is_whole_stream(cluster, call):
    """Returns whether a complete response has all events of its stream, or as many as its engine sent without a mark."""
    events = call.events
    expected = list(range(call.last_event + 1, upstreams.EVENTS_PER_STREAM + 1))
    unmarked = call.id in cluster.unmarked_ends and call.body.endswith(b"\n\n")
    first_request = call.resumes.id if call.resumes else call.id
    labelled = all(event.adapter == call.adapter and event.first_request == first_request for event in events)
    numbers = [event.number for event in events]
    only_events = callers.EVENT.sub(b"", call.body) == b""
    return labelled and only_events and (numbers == expected or unmarked and numbers == expected[:len(numbers)])


def in_touch(cluster, call, upstream, begin, end):
    """Returns whether the store, the node of a call and its links to an upstream were undisturbed for some time."""
    links_up = not any(item.overlaps(begin - STABILIZATION_S, end)
                       for item in (call.node.partitions, upstream.link.disturbances))
    return links_up and not cluster.out_of_touch(begin - STABILIZATION_S, end, call.node)


def check_moved_streams(cluster, calls):
    """No stream goes on at another engine while the one before is still at work on it MOVED_TOLERANCE_S later."""
    calls_by_id, runs = {call.id: call for call in calls}, collections.defaultdict(list)
    for run in sorted((run for engine in cluster.engines for run in engine.work), key=lambda run: run.begin):
        runs[run.stream].append(run)
    violations = []
    for stream, own in runs.items():
        for before, after in itertools.combinations(own, 2):
            overlap_s = (before.end or time.monotonic()) - after.begin
            call = calls_by_id.get(before.request_id)
            if call and before.upstream is not after.upstream and overlap_s > MOVED_TOLERANCE_S and in_touch(
                    cluster, call, before.upstream, after.begin, after.begin + MOVED_TOLERANCE_S):
                violations.append(f"moved stream: {stream} went on at {after.upstream.label} as {after.request_id}; "
                                  f"{before.upstream.label} worked on {before.request_id} for {overlap_s:.2f} s more; "
                                  f"{call.node.name}, {call.way_to_leave or 'stays'}, early {call.early_bytes[:8]!r}")
    return violations


def check_left_requests(cluster, calls):
    """From LEFT_TOLERANCE_S after callers left, few of their requests reach upstreams, and few are still worked on."""
    left = {call.id: call for call in calls if call.left_at}
    late, lasting, at_work = [], [], []
    for upstream in cluster.upstreams:
        late += [request_id for at, request_id in upstream.arrivals if request_id in left and
                 at > left[request_id].left_at + LEFT_TOLERANCE_S and
                 in_touch(cluster, left[request_id], upstream, left[request_id].left_at, at)]
        for run in upstream.work:
            call = left.get(run.request_id)
            bound = call and call.left_at + LEFT_TOLERANCE_S
            end = run.end or time.monotonic()
            if call and call.kind != "unsafe" and max(end, run.planned_end) > bound and in_touch(
                    cluster, call, upstream, call.left_at, bound):
                lasting.append(run)
                at_work += [call] if end > bound else []
    violations = []
    if len(late) > LEFT_ARRIVALS_MAX:
        violations.append(f"left: {len(late)} requests reached upstreams late after their callers left, "
                          f"first {late[0]}")
    if len(lasting) >= LEFT_RUNS_MIN and len(at_work) > LEFT_SHARE_MAX * len(lasting):
        violations.append(
            f"left: {len(at_work)} of {len(lasting)} runs went on after their callers left, of them "
            f"{sum(bool(call.early_bytes) for call in at_work)} with bytes sent early, first {at_work[0].id}")
    return violations


def check_denied(calls):
    """Few requests are refused as malformed; the callers send none that is."""
    denied = [call for call in calls if call.status == 400]
    if len(denied) <= DENIED_MAX + DENIED_SHARE_MAX * len(calls):
        return []
    return [f"denied: {len(denied)} of {len(calls)} requests were refused as malformed, first {denied[0].id}"]


def check_software_versions(cluster, calls):
    """At most MIXED_STREAMS_MAX streams hold events of two software versions, in one answer or over a caller's tries."""
    versions = collections.defaultdict(set)
    for call in calls:
        if call.kind == "resumable":
            versions[call.resumes.id if call.resumes else call.id].update(event.version for event in call.events)
    mixed = [request_id for request_id, seen in versions.items() if len(seen) > 1]
    if len(mixed) <= MIXED_STREAMS_MAX:
        return []
    return [f"software versions: {len(mixed)} streams hold events of two versions, first {mixed[0]}"]


def check_adapter_versions(cluster, calls):
    """No run begins at a version of its adapter later than VERSION_BOUND_S after a newer one was announced."""
    calls_by_id, violations = {call.id: call for call in calls}, []
    for engine in cluster.engines:
        for at, request_id, adapter, version in engine.adapter_runs:
            outdated = [(announced_at, newer) for announced_at, name, newer in cluster.announcements
                        if name == adapter and newer > version and announced_at + VERSION_BOUND_S < at]
            call = calls_by_id.get(request_id)
            touched = [(announced_at, newer) for announced_at, newer in outdated
                       if call and in_touch(cluster, call, engine, announced_at, at)]
            if touched:
                announced_at, newer = touched[0]
                violations.append(f"adapter version: {request_id} of {call.node.name} began at {adapter}@{version} on "
                                  f"{engine.label} {at - announced_at:.2f} s after version {newer}")
    return violations


def check_resumed_share(cluster, calls):
    """Of the streams that are taken up where two engines of their version serve, the share that goes on is at least
    RESUMED_SHARE_MIN of the share of new streams that begin."""
    sent = [call for call in calls if call.kind == "resumable" and call.sent and not call.left_at and
            not cluster.disturbed(call.begin - STABILIZATION_S, call.end, call.node)]
    resumed = [call for call in sent if call.resumes and call.engines_of_version >= 2]
    begun = [call for call in sent if not call.resumes]
    if len(resumed) < RESUMED_MIN or not begun:
        return []
    share, new_share = (sum(bool(call.events) for call in group) / len(group) for group in (resumed, begun))
    if share >= RESUMED_SHARE_MIN * new_share:
        return []
    return [f"resumed streams: {share:.2f} of {len(resumed)} go on, {new_share:.2f} of {len(begun)} new ones begin"]


def check_partitions(cluster, calls):
    """From STABILIZATION_S after some nodes were partitioned from all upstreams, they serve nearly as well as others."""
    violations = []
    for partition in cluster.partitions:
        begin, end = partition.begin + STABILIZATION_S, partition.end or time.monotonic()
        tries = [call for call in calls if begin <= call.begin <= end and not call.resumes and
                 not call.left_at and
                 not cluster.disturbed(call.begin - STABILIZATION_S, call.end)]
        own = [call for call in tries if call.node in partition.nodes]
        others = [call for call in tries if not call.node.partitions.overlaps(call.begin, call.end)]
        failed = sum(not call.served for call in own)
        if failed <= PARTITIONED_FAILURES_MAX + PARTITIONED_FAILURE_SHARE_MAX * len(own) or not others:
            continue
        share, others_share = (sum(call.served for call in group) / len(group) for group in (own, others))
        if share < PARTITIONED_SHARE_MIN * others_share:
            violations.append(f"partition: {share:.2f} of {len(own)} requests were served, {others_share:.2f} of "
                              f"{len(others)} on other nodes")
    return violations


def check_falls(cluster, calls):
    """While engines state that they are brittle, few fall over because of what undisturbed nodes sent."""
    nodes, violations = {call.id: call.node for call in calls}, []
    for period in cluster.brittle_periods:
        counted = 0
        for at, refused in period.falls:
            in_touch = [request_id for request_id in refused if request_id in nodes and
                        not cluster.out_of_touch(at - STABILIZATION_S, at, nodes[request_id])]
            counted += len(in_touch) > len(refused) / 2
        if counted > FALLS_MAX + FALLS_PER_ENGINE * len(cluster.engines):
            violations.append(f"brittle engines: {counted} of {len(period.falls)} falls count")
    return violations


def check_deadlines(cluster, calls):
    """Requests that reach their deadline are answered at the deadline, up to a small share of late ones."""
    limit = callers.DEADLINE_MS / 1000
    expired = [call for call in calls if call.sent and call.end - call.begin >= limit and
               not cluster.disturbed(call.begin - STABILIZATION_S, call.end, call.node)]
    late = [call for call in expired if call.end - call.begin > limit + LATENESS_TOLERANCE_S]
    if len(late) >= LATE_CALLS_MAX and len(late) > LATE_SHARE_MAX * len(expired):
        return [f"late: {len(late)} of {len(expired)} calls that reached their deadline were answered late, "
                f"first {late[0].id}"]
    return []


def check_adapter_slots(cluster):
    """No engine is ordered to load more adapters than it has slots."""
    return [f"adapter slots: {engine.label} {violation}" for engine in cluster.engines
            for violation in engine.violations]


def check_fencing_tokens(cluster):
    """No two nodes send orders with the same fencing token."""
    violations, holders = [], {}
    for engine in cluster.engines:
        for holder, token in engine.order_holders:
            first = holders.setdefault((engine.zone, token), holder)
            if first != holder:
                violations.append(f"fencing: {first} and {holder} both sent orders with token {token} of {engine.zone}")
    return sorted(set(violations))


def check_order_turns(cluster):
    """Holders of a lease do not take turns in ordering one engine within the lease time, as far as they are undisturbed."""
    violations = []
    for engine in cluster.engines:
        # Runs of orders by one holder: the begin of a run and the end of the one before the last must be apart.
        runs = []
        for at, holder in engine.order_times:
            if not runs or runs[-1].holder != holder:
                runs.append(OrderRun(holder, at))
            runs[-1].end = at
        for before, after in zip(runs, runs[2:]):
            begin, end = before.end - STABILIZATION_S, after.begin
            if before.holder == after.holder and after.begin - before.end < world.LEASE_S and not (
                    cluster.disturbed(begin, end) or cluster.partitioned(begin, end)):
                violations.append(f"turns: {before.holder} and another node both ordered {engine.label}")
    return violations


def check_route_changes(cluster, calls):
    """CONFIGURATION_BOUND_S after a configuration was written, its routes are served and dropped ones are not."""
    violations, calls_by_id = [], {call.id: call for call in calls}
    drop_times = {path: after for (_, path), (after, _) in zip(cluster.configurations, cluster.configurations[1:])}
    for service in cluster.services:
        for _, request_id, path, _ in service.executions:
            dropped_at, call = drop_times.get(path.removesuffix("x")), calls_by_id.get(request_id)
            if dropped_at is None or call is None or call.begin <= dropped_at + CONFIGURATION_BOUND_S:
                continue
            if not cluster.disturbed(dropped_at - STABILIZATION_S, call.begin, call.node):
                violations.append(f"configuration: {call.id} was executed on a route "
                                  f"dropped {call.begin - dropped_at:.1f} s before")
    for call in calls:
        written_at = next((at for at, path in cluster.configurations if path + "x" == call.path), None)
        if call.kind == "moving" and call.status == 404 and call.begin > written_at + CONFIGURATION_BOUND_S:
            ends = drop_times.get(call.path.removesuffix("x"), float("inf"))
            if call.end < ends and not cluster.disturbed(written_at - STABILIZATION_S, call.begin, call.node):
                violations.append(f"configuration: {call.id} got 404 on a route "
                                  f"added {call.begin - written_at:.1f} s before")
    return violations


def check_draining(cluster):
    """An engine gets no new requests later than DRAIN_BOUND_S after it announced, or first stated, that it drains."""
    return [f"drain: {request_id} was executed on {engine.label} {at - since:.1f} s after it began to drain"
            for engine in cluster.engines for at, request_id, _, since in engine.executions
            if since is not None and at > since + DRAIN_BOUND_S and not cluster.disturbed(since - STABILIZATION_S, at)]


def check_shutdowns(cluster, calls):
    """A terminated node exits in time and truncates no request, unless another fault disturbed that request.

    A request that crosses the close of its connection, and that no upstream has executed, may go without an answer."""
    violations = [failure for node in cluster.nodes for failure in node.shutdown_failures]
    executions = executions_by_id(cluster)
    for call in calls:
        stops = [at for at in call.node.sigterm_times if call.begin <= at + world.STOP_LIMIT_S and at <= call.end]
        if not stops or call.complete or not call.sent or call.left_at:
            continue
        crosses_close = call.begin > stops[-1] and call.end - call.begin <= LOST_S
        if crosses_close and not executions.get(call.id):
            continue
        others = [node for node in cluster.nodes if node is not call.node]
        links = [upstream.link.disturbances for upstream in cluster.upstreams]
        disturbances = [cluster.store_disturbances, call.node.store_link.disturbances, *links]
        disturbances += [item for node in others for item in (node.disturbances, node.store_link.disturbances)]
        disturbances += [node.partitions for node in cluster.nodes]
        crashed = any(service.failure_mode for service in cluster.services)
        if not crashed and not any(item.overlaps(call.begin - STABILIZATION_S, call.end) for item in disturbances):
            violations.append(f"truncated: {call.id} {call.kind} was cut off by the shutdown of {call.node.name}")
    return violations


def check_retry_budget(cluster, calls):
    """Retries of all nodes together stay within the retry budget."""
    violations = []
    services = {"llm": (cluster.engines, callers.STREAM_KINDS), "plain": (cluster.services, ("safe", "unsafe", "moving"))}
    for name, (servers, kinds) in services.items():
        seen, retries = set(), []
        for at, request_id in sorted(arrival for upstream in servers for arrival in upstream.arrivals):
            if request_id in seen:
                retries.append(at)
            seen.add(request_id)
        call_times = sorted(call.begin for call in calls if call.kind in kinds)
        for first in retries:
            window = [at for at in retries if first <= at < first + world.RETRY_WINDOW_S]
            starts = [first - world.RETRY_WINDOW_S * fraction for fraction in (0.0, 0.5, 1.0)]
            requests = max(sum(start <= at < start + world.RETRY_WINDOW_S for at in call_times) for start in starts)
            if len(window) > world.RETRY_RATIO * requests + world.RETRY_SLACK:
                violations.append(f"retry budget: {len(window)} retries at {name} in {world.RETRY_WINDOW_S} s")
                break
    return violations


def check_limits(cluster):
    """From STABILIZATION_S after an upstream named a limit, all nodes together keep to it."""
    violations = []
    for upstream in cluster.upstreams:
        for period in upstream.limit_periods:
            begin, end = period.begin + STABILIZATION_S, period.end or time.monotonic()
            arrivals = [at for at, _ in upstream.arrivals if begin <= at <= end]
            allowed = LIMIT_FACTOR * period.per_second * LIMIT_WINDOW_S + LIMIT_SLACK
            for first in arrivals:
                count = sum(first <= at < first + LIMIT_WINDOW_S for at in arrivals)
                if count > allowed and not cluster.disturbed(period.begin - STABILIZATION_S, first + LIMIT_WINDOW_S):
                    violations.append(f"limit: {upstream.label} named {period.per_second} a second and got {count} "
                                      f"requests in {LIMIT_WINDOW_S} s")
                    break
    return violations


def check_times_to_return(cluster):
    """A service that names a time to return gets few requests until then."""
    violations = []
    for service in cluster.services:
        arrivals = sorted(at for at, _ in service.arrivals)
        for refused_at in service.refusal_times:
            begin, end = refused_at + HOLD_TOLERANCE_S, refused_at + upstreams.RETRY_AFTER_S
            count = sum(begin < at < end for at in arrivals)
            if count > HOLD_REQUESTS_PER_NODE * len(cluster.nodes) and not cluster.disturbed(
                    refused_at - STABILIZATION_S, end):
                violations.append(f"time to return: {service.label} got {count} requests before it")
                break
    return violations


def check_crashing_parts(cluster, calls):
    """From STABILIZATION_S after PART_CRASHES_MAX engines crashed on a prompt part, few requests with it reach engines."""
    if len(cluster.part_crash_times) < PART_CRASHES_MAX:
        return []
    begin = sorted(cluster.part_crash_times)[PART_CRASHES_MAX - 1] + STABILIZATION_S
    nodes = {call.id: call.node for call in calls}
    late = [request_id for at, request_id in cluster.part_arrivals if at > begin and request_id in nodes and
            not cluster.out_of_touch(at - STABILIZATION_S, at, nodes[request_id])]
    if len(late) <= PART_REQUESTS_MAX:
        return []
    return [f"prompt part: {len(late)} requests reached engines from {STABILIZATION_S} s after {PART_CRASHES_MAX} "
            f"crashes, first {late[0]}"]


def check_recovery(cluster, limit_s):
    """Sends requests until each node serves each kind; returns a line for each that fails for limit_s."""
    probes = callers.Callers.__new__(callers.Callers)
    probes.cluster, probes.calls, probes.lock = cluster, [], threading.Lock()
    probes.request_numbers = iter(range(1 << 60, 1 << 61))
    end = time.monotonic() + limit_s

    def find_unserved(node):
        pending = ["stream", "safe", "unsafe"]
        while pending and time.monotonic() < end:
            pending = [kind for kind in pending if not probes.send_request(node, kind, "a0").served]
            time.sleep(PROBE_INTERVAL_S)
        return [f"recovery: {node.name} does not serve {kind} {limit_s} s after the last fault" for kind in pending]

    # One after the other, hundreds of nodes would not get a turn within the limit.
    with concurrent.futures.ThreadPoolExecutor(len(cluster.nodes)) as pool:
        violations = list(itertools.chain.from_iterable(pool.map(find_unserved, cluster.nodes)))
    cluster.probes = {call.id for call in probes.calls}
    return violations
