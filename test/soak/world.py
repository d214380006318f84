"""The node processes, fault links, upstreams, object store and callers of the soak test."""

import collections
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "platform_node"))
sys.path.insert(0, str(ROOT / "tools"))

import fleet  # noqa: E402
import standin  # noqa: E402

BINARIES = pathlib.Path(os.environ["LAGOONSADDLE_BUILD"]) / "bin"
ADAPTERS = 14
EVENTS_PER_STREAM = 5
EVENT_INTERVAL_S = 0.02
DEADLINE_MS = 4_000
TIMEOUT_MS = 5_000
STOP_LIMIT_S = 8.0
LEASE_S = 3
CALLERS = 12
START_LIMIT_S = 30.0
# Signals sent earlier after the start may arrive before the process has installed its signal handlers.
STARTUP_GRACE_S = 1.0
ENTRY_EXPIRY_S = 3.0
RETRY_SLACK = 50
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10
RETRY_AFTER_S = 1.5
PART_CRASH_S = 1.0
FIRST_PARTS = 2
PROMPT_PARTS = 6
ENDLESS_PIECE = b"x" * 16_384
SECOND_COPY_DELAY_S = 0.03
# Ways in which an engine spoils the answers that it has begun.
ANSWER_FAULTS = ("half_event", "unframed", "unframed_half_event", "unframed_empty", "endless", "second_copy", "trickle")


ANSWER_FAULT_SHARE = 0.3
CRASHING_SHARE = 0.15


def chunk(data):
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def free_ports(count):
    """Returns distinct free ports of 127.0.0.1; other processes may take them before they are used."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Disturbances:
    """Time intervals in which a fault was active. Faults may overlap; an interval ends with the last of them."""

    def __init__(self):
        self.intervals, self.active_count = [], 0
        self.active_since = 0.0

    def begin(self):
        self.active_since = self.active_since if self.active_count else time.monotonic()
        self.active_count += 1

    def end(self):
        self.active_count = max(0, self.active_count - 1)
        if not self.active_count:
            self.intervals.append((self.active_since, time.monotonic()))

    def overlaps(self, begin, end):
        """Returns whether a fault was active at any time from `begin` to `end`."""
        return (any(start <= end and stop >= begin for start, stop in self.intervals) or
                bool(self.active_count and self.active_since <= end))


class FaultLink:
    """A fault proxy process in front of one address."""

    def __init__(self, name, target, directory):
        options = {"listen": "127.0.0.1:0", "target": target, "control": "127.0.0.1:0"}
        self.proxy = fleet.Standin(name, "fault_proxy", options, BINARIES, directory)
        self.address = f"127.0.0.1:{self.proxy.port}"
        self.disturbances = Disturbances()

    def inject_fault(self, fault):
        self.disturbances.begin()
        self.proxy.set_faults(**fault)

    def clear_faults(self):
        self.proxy.set_faults(cut=False, freeze=False, half_open=False, drop_answers=False, delay_ms=0)
        self.disturbances.end()

    def close(self):
        self.proxy.kill()


class Node:
    """An entry node process with its own loopback address and fault link to the store.

    It is killed, paused and terminated by signals to its process id only.
    """

    def __init__(self, cluster, number):
        self.cluster, self.name, self.ip = cluster, f"n{number}", f"127.0.1.{number + 1}"
        self.store_link = FaultLink(f"store-link-{number}", cluster.store.address, cluster.directory)
        self.disturbances = Disturbances()
        self.shutdown_failures = []
        self.sigterm_times = []
        self.state = "none"
        seeds = json.dumps([f"127.0.1.{other + 1}:1" for other in range(min(3, cluster.node_count))])
        ports = cluster.ports
        self.settings = cluster.directory / f"{self.name}-settings.json"
        self.settings.write_text(f"""// Settings of the soak.
{{"name": "{self.name}", "availability_zone": "z{number % 2}", "listen_callers": "{self.ip}:{ports[0]}",
 "listen_readiness": "{self.ip}:{ports[1]}", "peer_port": {ports[2]}, "seeds": {seeds},
 "store": "{self.store_link.address}", "upstreams_check_tokens": true, "lease_time_s": {LEASE_S},
 "retry_ratio": {RETRY_RATIO}, "retry_slack": {RETRY_SLACK}, "retry_window_s": {RETRY_WINDOW_S},
 "stop_timeout_s": {STOP_LIMIT_S}}}""")

    def start(self):
        log = open(self.cluster.directory / f"{self.name}.log", "a", encoding="utf-8")
        with log:
            self.process = subprocess.Popen([BINARIES / "lagoonsaddled", "entry", f"--settings={self.settings}"],
                                            stdout=log, stderr=log)
        if self.state != "none":
            self.disturbances.end()
        self.state = "running"
        self.started_at = time.monotonic()

    def begin_disturbance(self, state):
        self.disturbances.begin()
        self.state = state

    def kill(self):
        self.begin_disturbance("killed")
        self.process.kill()
        self.process.wait()

    def pause(self):
        self.begin_disturbance("paused")
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)
        self.state = "running"
        self.disturbances.end()

    def terminate(self):
        self.sigterm_times.append(time.monotonic())
        self.begin_disturbance("stopping")
        self.process.send_signal(signal.SIGTERM)

    def restart_after_termination(self):
        remaining_s = self.sigterm_times[-1] + STOP_LIMIT_S - time.monotonic()
        try:
            status = self.process.wait(max(remaining_s, 0.0))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            status = None
        if status != 0:
            self.shutdown_failures.append(f"{self.name}: exit status {status} {STOP_LIMIT_S} s after SIGTERM")
        self.start()

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.store_link.close()


class LimitPeriod:
    """A time in which an upstream names a limit."""

    def __init__(self, per_second):
        self.per_second, self.begin, self.end = per_second, time.monotonic(), None


class Upstream:
    """Base of engines and services: a fault link, and records of arrivals and executions with their times."""

    def init_records(self, cluster, name):
        self.cluster, self.label = cluster, name
        self.arrivals, self.executions = [], []
        self.draining_since = None
        self.states_leaving = False
        self.limit_periods = []

    def name_limit(self, per_second):
        self.limit_periods.append(LimitPeriod(per_second))

    def end_limit(self):
        for period in self.limit_periods:
            period.end = period.end or time.monotonic()

    def statements(self):
        """Returns the header fields in which the upstream states its limit and that it is leaving."""
        fields = {}
        if self.limit_periods and not self.limit_periods[-1].end:
            fields["Server-Limit"] = str(self.limit_periods[-1].per_second)
        if self.states_leaving and self.draining_since is None:
            self.draining_since = time.monotonic()
        if self.draining_since is not None:
            fields["Server-Leaving"] = "1"
        return fields

    def start_link(self):
        self.link = FaultLink(f"link-{self.label}", f"127.0.0.1:{self.server_address[1]}", self.cluster.directory)

    def record_arrival(self, request_id):
        with self.lock:
            self.arrivals.append((time.monotonic(), request_id))

    def record_execution(self, request_id, path):
        with self.lock:
            self.executions.append((time.monotonic(), request_id, path, self.draining_since))


class Engine(Upstream, standin.Engine):
    """An engine that can crash, restart with the same or a new instance id, drain and be slow."""

    def __init__(self, cluster, number):
        self.init_records(cluster, f"engine-{number}")
        self.number, self.id_suffixes, self.running = number, itertools.count(), True
        self.incarnation, self.state = 1, "ready"
        self.runs, self.unloading = collections.Counter(), set()
        self.answer_fault, self.rng = "", random.Random(number)
        self.order_times = []
        standin.Engine.__init__(self, cluster.store, f"i-{number}", f"z{number % 2}", slots=3)
        self.event_interval_s = EVENT_INTERVAL_S

    def publish_entry(self, state):
        """Writes the entry with the address of the link; the base constructor calls this before the link exists."""
        if not hasattr(self, "link"):
            self.start_link()
        self.state = state
        entry = {"service": "llm", "address": self.link.address, "zone": self.zone, "slots": 8, "state": state,
                 "born": self.incarnation, "seq": self.order_count,
                 "models": [{"name": "m", "version": 1, "adapters": self.resident_versions()}]}
        self.store.put("servers", self.name, entry)

    def resident_versions(self):
        return [f"{name}@{version}" for name, version in sorted(self.resident.items())]

    def report(self):
        with self.lock:
            return {"models": [{"name": "m", "version": 1, "adapters": self.resident_versions()}],
                    "seq": self.order_count,
                    "coming": [f"m/{name}@{version}" for name, (_, version) in self.loading.items()], "busy": False}

    def finish_loads(self):
        for adapter, (end, version) in list(self.loading.items()):
            if end <= time.monotonic():
                self.resident[adapter] = version
                del self.loading[adapter]

    def apply_order(self, order):
        """Applies an order as the platform's engines do; returns the HTTP status."""
        if not self.running or order.get("fence") is None:
            return 400
        if order["fence"] < self.highest_fence:
            return 412
        self.highest_fence = order["fence"]
        self.order_holders.append((order["holder"], order["fence"]))
        self.order_times.append((time.monotonic(), order["holder"]))
        adapter, version = order["adapter"], order.get("version") or self.cluster.versions[order["adapter"]]
        if order["operation"] == "load":
            if self.resident.get(adapter) == version and adapter not in self.unloading:
                return 200
            if adapter in self.loading:
                return 202
        elif adapter not in self.resident:
            return 200
        if adapter in self.unloading:
            return 202 if order["operation"] == "unload" else 409
        if order.get("precondition") not in (None, self.order_count):
            return 409
        self.order_count += 1
        if order["operation"] == "unload":
            return self.unload(adapter)
        self.loading[adapter] = (time.monotonic() + standin.LOAD_DURATION_S, version)
        if len(set(self.resident) | set(self.loading)) > self.slots:
            self.violations.append("ordered to load more adapters than it has slots")
        return 202

    def unload(self, adapter):
        """Drops an adapter, at the end of its runs if there are any; returns the HTTP status."""
        if self.runs[adapter]:
            self.unloading.add(adapter)
            return 202
        self.resident.pop(adapter)
        return 200

    def end_run(self, adapter):
        """Ends a run, and drops its adapter if it is the last one of an adapter that is being unloaded."""
        with self.lock:
            self.runs[adapter] -= 1
            if adapter in self.unloading and not self.runs[adapter]:
                self.unloading.discard(adapter)
                self.resident.pop(adapter, None)

    def respond(self, handler, body):
        if not self.running:
            handler.close_connection = True
            return
        with self.lock:
            self.finish_loads()
        if handler.path == "/-/report":
            handler.reply(200, self.report())
            return
        super().respond(handler, body)

    def execute(self, handler):
        request_id, adapter = handler.headers["X-Attempt-Id"], handler.headers["X-Model"].partition("/")[2]
        self.record_arrival(request_id)
        parts = {part.partition(":")[0] for part in handler.headers["X-Prompt-Prefix"].split(",")}
        with self.lock:
            can_serve = (handler.headers.get("X-Expect-Instance") == self.name and adapter in self.resident and
                         adapter not in self.unloading)
            version = self.resident.get(adapter)
            self.runs[adapter] += 1 if can_serve else 0
        if not can_serve:
            handler.reply(421, headers={"X-Instance-Id": self.name, "X-Attempt-Id": request_id, **self.statements()})
            return
        self.record_execution(request_id, handler.path)
        try:
            if parts & self.cluster.crashing_parts:
                self.crash_on_request(handler, request_id)
            else:
                self.send_stream(handler, request_id, adapter, version)
        finally:
            self.end_run(adapter)

    def crash_on_request(self, handler, request_id):
        """Crashes for PART_CRASH_S, as each engine does that begins to answer a request with a crashing part."""
        handler.close_connection = True
        with self.lock:
            if not self.running:
                return
            self.cluster.part_arrivals.append((time.monotonic(), request_id))
            self.crash(same_id=True)
        self.cluster.part_crash_times.append(time.monotonic())
        self.cluster.call_later(PART_CRASH_S, self.restart)

    def send_stream(self, handler, request_id, adapter, version):
        """Streams a response; ends it early when the engine stops, without a mark when it has no length or chunks."""
        fault = self.answer_fault if self.rng.random() < ANSWER_FAULT_SHARE else ""
        framed = not fault.startswith("unframed")
        is_whole = False
        try:
            is_whole = self.send_events(handler, request_id, adapter, version, fault)
        finally:
            if not is_whole and not framed:
                self.cluster.unmarked_ends.add(request_id)

    def send_events(self, handler, request_id, adapter, version, fault):
        """Streams a response with a fault; returns whether all of it was sent."""
        incarnation, framed = self.incarnation, not fault.startswith("unframed")
        fields = {"X-Attempt-Id": request_id, "X-Response-Stamp": "s", "X-Weight-Versions": str(version),
                  "Content-Type": "text/event-stream", **self.statements()}
        if framed:
            fields["Transfer-Encoding"] = "chunked"
        else:
            handler.close_connection = True
        sent = [("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) +
                 "\r\n").encode()]
        handler.wfile.write(sent[0])
        if fault == "unframed_empty":
            return False
        for number in range(1, EVENTS_PER_STREAM + 1):
            if not self.running or self.incarnation != incarnation:
                handler.close_connection = True
                return False
            event = f"id: {number}\ndata: {adapter} {request_id}\n\n".encode()
            if number == EVENTS_PER_STREAM and fault.endswith("half_event"):
                event = event[:-4]
            sent.append(chunk(event) if framed else event)
            handler.wfile.write(sent[-1])
            handler.wfile.flush()
            time.sleep(self.event_interval_s)
            if fault in ("endless", "trickle") and number == 2:
                self.send_without_end(handler, ENDLESS_PIECE if fault == "endless" else b"x",
                                      0.0 if fault == "endless" else EVENT_INTERVAL_S)
                return False
        if framed:
            sent.append(b"0\r\n\r\n")
            handler.wfile.write(sent[-1])
        if fault == "second_copy":
            self.cluster.call_later(SECOND_COPY_DELAY_S, lambda: self.send_late(handler, b"".join(sent)))
        return True

    @staticmethod
    def send_without_end(handler, piece, interval_s):
        """Sends bytes that are no event until the node closes the connection."""
        handler.close_connection = True
        with contextlib.suppress(OSError):
            while True:
                handler.wfile.write(chunk(piece))
                handler.wfile.flush()
                time.sleep(interval_s)

    @staticmethod
    def send_late(handler, answer):
        """Sends a second copy of an answer on its connection, which may be in use again."""
        with contextlib.suppress(OSError, ValueError):
            handler.wfile.write(answer)

    def crash(self, same_id):
        """Cuts all connections; unless `same_id`, the entry is removed ENTRY_EXPIRY_S later and the id changes."""
        if not self.running:
            return
        self.running = False
        self.link.inject_fault({"cut": True})
        if not same_id:
            self.cluster.call_later(ENTRY_EXPIRY_S, lambda name=self.name: self.store.put("servers", name, None))
            self.name = f"i-{self.number}-{next(self.id_suffixes)}"

    def restart(self):
        """Starts without adapters, under the id that `crash` has set; does nothing when the engine runs."""
        if self.running:
            return
        with self.lock:
            self.resident, self.loading, self.order_count, self.highest_fence = {}, {}, 0, 0
            self.unloading.clear()
            self.incarnation += 1
            self.draining_since = None
            self.states_leaving = False
            self.running = True
        self.link.clear_faults()
        self.publish_entry("ready")

    def drain(self, announce):
        """Starts to drain, which only the responses show without `announce`; returns whether it was running and ready."""
        if not self.running or self.state != "ready" or self.states_leaving:
            return False
        if not announce:
            self.states_leaving = True
            return True
        self.publish_entry("draining")
        self.draining_since = time.monotonic()
        return True

    def replace(self):
        """Replaces the engine by a new one with the same address and a new id."""
        if not self.running:
            return
        self.crash(same_id=False)
        self.restart()


class Service(Upstream, standin.Server):
    """A plain service for idempotent and non-idempotent requests."""

    def __init__(self, cluster, number):
        self.init_records(cluster, f"service-{number}")
        self.name, self.failure_mode, self.refusal_times = f"s-{number}", "", []
        super().__init__()
        self.start_link()
        self.publish_entry()

    def publish_entry(self):
        number = int(self.name.removeprefix("s-"))
        self.cluster.store.put("servers", self.name, {
            "service": "plain", "address": self.link.address, "zone": f"z{number % 2}", "slots": 8, "state": "ready",
            "born": 1, "seq": 0})

    def respond(self, handler, body):
        request_id = handler.headers["X-Attempt-Id"]
        id_header = {"X-Attempt-Id": request_id, **self.statements()}
        self.record_arrival(request_id)
        if handler.headers.get("X-Expect-Instance") != self.name:
            handler.reply(421, headers={**id_header, "X-Instance-Id": self.name})
        elif self.failure_mode == "full":
            handler.reply(503, headers={**id_header, "X-Not-Executed": "1", "Retry-After": str(RETRY_AFTER_S)})
            self.refusal_times.append(time.monotonic())
        else:
            self.record_execution(request_id, handler.path)
            time.sleep(EVENT_INTERVAL_S)
            if self.failure_mode == "cut":
                handler.close_connection = True
                return
            handler.reply(500 if self.failure_mode == "status" else 200, body + request_id.encode(),
                          {**id_header, "X-Response-Stamp": "s"})


class Cluster:
    """The store, links, engines, services and nodes of one seed."""

    def __init__(self, directory, nodes, engines):
        self.directory, self.node_count, self.engine_count = directory, nodes, engines
        self.nodes, self.engines, self.services = [], [], []
        self.versions = collections.defaultdict(lambda: 1)
        self.store_disturbances = Disturbances()
        self.ports = free_ports(3)
        self.configurations = []
        self.probes = set()
        self.timers = []
        self.crashing_parts = set()
        # Requests whose answers without length and chunks ended early: nothing shows that when it is between two events.
        self.unmarked_ends = set()
        # When requests with a crashing part reached an engine, with their ids, and when engines crashed on them.
        self.part_arrivals, self.part_crash_times = [], []

    @property
    def upstreams(self):
        return self.engines + self.services

    def start(self):
        """Starts all parts and waits until all nodes are ready."""
        self.store = standin.Store()
        self.engines = [Engine(self, number) for number in range(self.engine_count)]
        self.services = [Service(self, number) for number in range(3)]
        self.write_next_configuration()
        for number in range(self.node_count):
            self.nodes.append(Node(self, number))
            self.nodes[-1].start()
        end = time.monotonic() + START_LIMIT_S
        while not all(self.is_ready(node) for node in self.nodes):
            if time.monotonic() > end:
                raise RuntimeError(f"the nodes are not ready after {START_LIMIT_S} s; logs in {self.directory}")
            time.sleep(0.1)

    def is_ready(self, node):
        """Returns whether the readiness endpoint of a node answers 200."""
        connection = http.client.HTTPConnection(node.ip, self.ports[1], timeout=2)
        try:
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def write_next_configuration(self):
        """Writes the next configuration; the path of the route `moving` differs in each one."""
        version = len(self.configurations) * 3 + 1
        moving_path = f"/v{version}/"
        base = {"host": "h", "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 1000, "maxAttempts": 2}
        routes = [{**base, "name": "stream", "pathPrefix": "/stream/", "kind": "streaming", "service": "llm"},
                  {**base, "name": "safe", "pathPrefix": "/safe/", "kind": "safe", "service": "plain"},
                  {**base, "name": "unsafe", "pathPrefix": "/unsafe/", "kind": "unsafe", "service": "plain"},
                  {**base, "name": "moving", "pathPrefix": moving_path, "kind": "safe", "service": "plain"}]
        services = [{"name": "llm", "maxConnections": 64, "engine": {
            "adapterSlots": 3, "loadsPerS": 2, "models": [{"name": "m", "loadS": 1}]}},
                    {"name": "plain", "maxConnections": 64}]
        self.configuration = {"version": version, "routes": routes, "services": services}
        self.put_configuration()
        self.configurations.append((time.monotonic(), moving_path))

    def put_configuration(self):
        self.store.put("config", "main", self.configuration)

    def put_version(self, name, version):
        self.store.put("versions", f"m.{name}", {"model": "m", "adapter": name, "version": version})

    def announce_next_version(self, number):
        """Announces the next version of the adapter with this number."""
        name = f"a{number}"
        self.versions[name] += 1
        self.put_version(name, self.versions[name])

    def set_store_unavailable(self, unavailable):
        """Makes the store answer 503, or serve again."""
        self.store.unavailable = unavailable
        if unavailable:
            self.store_disturbances.begin()
        else:
            self.store_disturbances.end()

    def restore_store(self, copy, outage_s, rewrite_s):
        """Takes the store away and brings it back from a copy; operator and upstreams write again `rewrite_s` later."""
        self.store_disturbances.begin()
        self.store.unavailable = True
        self.call_later(outage_s, lambda: self.finish_restore(copy))
        self.call_later(outage_s + rewrite_s, self.write_lost_objects)

    def finish_restore(self, copy):
        self.store.restore(copy)
        self.store.unavailable = False
        self.call_later(ENTRY_EXPIRY_S, self.expire_entries)

    def expire_entries(self):
        """Removes the entries of upstreams that are gone and that the restored store has again."""
        alive = {upstream.name for upstream in self.upstreams}
        for kind, name in list(self.store.objects):
            if kind == "servers" and name not in alive:
                self.store.put(kind, name, None)

    def write_lost_objects(self):
        """Writes what the operator and the upstreams have written last, as the store may have lost it."""
        for engine in self.engines:
            if engine.running:
                engine.publish_entry(engine.state)
        for service in self.services:
            service.publish_entry()
        for name, version in dict(self.versions).items():
            if version > 1:
                self.put_version(name, version)
        self.put_configuration()
        self.store_disturbances.end()

    def call_later(self, seconds, action):
        """Calls `action` after some seconds, unless the cluster is closed before."""
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def restore(self):
        """Ends the store outage, restarts crashed engines and replaces draining ones."""
        self.store.unavailable = False
        for upstream in self.upstreams:
            upstream.end_limit()
        self.crashing_parts.clear()
        for engine in self.engines:
            engine.answer_fault = ""
            engine.restart()
            if engine.state != "ready" or engine.states_leaving:
                engine.replace()

    def out_of_touch(self, begin, end, node):
        """Returns whether a fault affected the store or the node, engines apart."""
        return any(item.overlaps(begin, end) for item in
                   (self.store_disturbances, node.disturbances, node.store_link.disturbances))

    def disturbed(self, begin, end, node=None):
        """Returns whether a fault affected the store, an upstream link or the node (any node without `node`)."""
        nodes = [node] if node else self.nodes
        disturbances = [self.store_disturbances, *(upstream.link.disturbances for upstream in self.upstreams)]
        disturbances += [item for each in nodes for item in (each.disturbances, each.store_link.disturbances)]
        return any(item.overlaps(begin, end) for item in disturbances)

    def close(self):
        """Stops the timers, node processes, links, upstreams and the store."""
        for timer in self.timers:
            timer.cancel()
        for node in self.nodes:
            node.close()
        for upstream in self.upstreams:
            upstream.link.close()
            upstream.shutdown()
            upstream.server_close()
        self.store.shutdown()
        self.store.server_close()


class Call:
    """One request of a caller and its result: status 0 without a response, no body when it was truncated."""

    def __init__(self, request_id, node, kind, adapter):
        self.id, self.node, self.kind, self.adapter = request_id, node, kind, adapter
        self.parts = []
        self.begin = self.end = time.monotonic()
        self.status, self.body, self.path = 0, None, ""
        self.sent = False

    @property
    def complete(self):
        """Returns whether the complete response body arrived."""
        return self.body is not None


class Callers:
    """Threads that send random requests, partly over persistent connections."""

    def __init__(self, cluster, seed):
        self.cluster, self.calls, self.lock, self.running = cluster, [], threading.Lock(), True
        self.request_numbers = itertools.count(1)
        self.threads = [threading.Thread(target=self.run_caller, args=(random.Random(f"{seed}/{number}"),),
                                         daemon=True) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def run_caller(self, rng):
        open_connections = {}
        while self.running:
            kind = rng.choice(["stream", "stream", "safe", "unsafe", "moving"])
            parts = [f"f{rng.randrange(FIRST_PARTS)}", f"p{rng.randrange(PROMPT_PARTS)}"]
            if rng.random() < CRASHING_SHARE:
                parts += sorted(self.cluster.crashing_parts)
            self.send_request(rng.choice(self.cluster.nodes), kind, f"a{rng.randrange(ADAPTERS)}", open_connections,
                              rng.random() < 0.7, parts)
            time.sleep(rng.uniform(0.0, 0.15))

    def send_request(self, node, kind, adapter, open_connections=None, keep_open=False, parts=()):
        """Sends one request and returns the finished call; with `keep_open`, keeps its connection for later calls."""
        with self.lock:
            call = Call(f"{next(self.request_numbers):016x}", node, kind, adapter)
            self.calls.append(call)
        open_connections = {} if open_connections is None else open_connections
        call.path = (self.cluster.configurations[-1][1] if kind == "moving" else f"/{kind}/") + "x"
        headers = {"Host": "h", "X-Attempt-Id": call.id, "X-Deadline-Ms": str(DEADLINE_MS)}
        if kind == "stream":
            call.parts = list(parts)
            headers.update({"X-Model": f"m/{adapter}", "X-Token-Count": "10,4",
                            "X-Prompt-Prefix": ",".join(f"{part}:5" for part in [*parts, call.id])})
        connection = open_connections.pop(node.name, None) or http.client.HTTPConnection(
            node.ip, self.cluster.ports[0], timeout=(DEADLINE_MS + 4_000) / 1000)
        try:
            connection.request("POST", call.path, f"body{call.id}".encode(), headers)
            call.sent = True
            response = connection.getresponse()
            call.status = response.status
            call.body = response.read()
            if keep_open and not response.will_close:
                open_connections[node.name] = connection
                connection = None
        except (OSError, http.client.HTTPException):
            pass
        finally:
            call.end = time.monotonic()
            if connection:
                connection.close()
        return call
