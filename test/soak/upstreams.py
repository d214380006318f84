"""The engines and services of the soak test, which can crash, drain, spoil their answers and state limits."""

import collections
import contextlib
import itertools
import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform_node"))

import links  # noqa: E402
import standin  # noqa: E402

EVENTS_PER_STREAM = 5
EVENT_INTERVAL_S = 0.02
ENTRY_EXPIRY_S = 3.0
RETRY_AFTER_S = 1.5
PART_CRASH_S = 1.0
ENDLESS_PIECE = b"x" * 16_384
SECOND_COPY_DELAY_S = 0.03
# Ways in which an engine spoils the answers that it has begun.
ANSWER_FAULTS = ("half_event", "unframed", "unframed_half_event", "unframed_empty", "endless", "second_copy", "trickle")
ANSWER_FAULT_SHARE = 0.3
SOFTWARE_VERSIONS = ("v1", "v2")
# A brittle engine lets fewer requests in some time after it has begun to say so, and falls over after more refusals.
BRITTLE_DELAY_S = 3.0
BRITTLE_ROOM = 2
BRITTLE_REFUSALS_PER_S = 5
BRITTLE_EVENT_INTERVAL_S = 0.1
FALL_S = 1.0
CLOSE_POLL_S = 0.02
# A run whose connection was closed before its continuation arrived ends within this time.
CONTINUATION_WAIT_S = 0.1
# The field in which a caller asks for a run of this length; upstreams alone know it.
RUN_LENGTH_FIELD = "Run-Seconds"


def chunk(data):
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class LimitPeriod:
    """A time in which an upstream names a limit."""

    def __init__(self, per_second):
        self.per_second, self.begin, self.end = per_second, time.monotonic(), None


class Run:
    """The work of an upstream on one request, until its answer is complete or its connection is found closed."""

    def __init__(self, upstream, handler, seconds):
        self.upstream, self.request_id = upstream, handler.headers["X-Attempt-Id"]
        self.stream = handler.headers.get("Resumes") or self.request_id
        self.begin, self.end = time.monotonic(), None
        # When it ends if nothing holds it up or breaks it off.
        self.planned_end = self.begin + seconds


def is_closed(connection):
    """Returns whether the peer has closed a connection on which it sends nothing."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def work(handler, seconds, is_silent=lambda: False):
    """Works for some time, and until a silence ends; raises when the connection is found closed."""
    end = time.monotonic() + seconds
    while (remaining_s := end - time.monotonic()) > 0 or is_silent():
        if is_closed(handler.connection):
            raise ConnectionAbortedError
        time.sleep(min(max(remaining_s, 0.001), CLOSE_POLL_S))


class Upstream:
    """Base of engines and services: a fault link, and records of arrivals and executions with their times."""

    def init_records(self, cluster, name):
        self.cluster, self.label = cluster, name
        self.arrivals, self.executions, self.work = [], [], []
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
        self.link = links.FaultLink(f"link-{self.label}", f"127.0.0.1:{self.server_address[1]}", self.cluster.directory)

    def record_arrival(self, request_id):
        with self.lock:
            self.arrivals.append((time.monotonic(), request_id))

    def record_execution(self, request_id, path):
        with self.lock:
            self.executions.append((time.monotonic(), request_id, path, self.draining_since))

    @contextlib.contextmanager
    def recorded_run(self, handler, seconds):
        """Records an execution and the time that the upstream is at work on it."""
        self.record_execution(handler.headers["X-Attempt-Id"], handler.path)
        run = Run(self, handler, seconds)
        with self.lock:
            self.work.append(run)
        try:
            yield
        finally:
            run.end = time.monotonic()


class Engine(Upstream, standin.Engine):
    """An engine that can crash, restart with the same or a new instance id, drain and be slow."""

    def __init__(self, cluster, number):
        self.init_records(cluster, f"engine-{number}")
        self.number, self.id_suffixes, self.running = number, itertools.count(), True
        self.software_version = SOFTWARE_VERSIONS[number % len(SOFTWARE_VERSIONS)]
        self.incarnation, self.state = 1, "ready"
        self.runs, self.unloading = collections.Counter(), set()
        self.answer_fault, self.rng = "", random.Random(number)
        self.order_times = []
        # Time, request, adapter and its version of each run.
        self.adapter_runs = []
        # Nothing unless the engine is brittle; refusals for want of room within a second, with the ids of the requests.
        self.brittle_period, self.refusals = None, collections.deque()
        self.silent_until = 0.0
        standin.Engine.__init__(self, cluster.store, f"i-{number}", f"z{number % 2}", slots=3)
        self.event_interval_s = EVENT_INTERVAL_S

    def publish_entry(self, state):
        """Writes the entry with the address of the link; the base constructor calls this before the link exists."""
        if not hasattr(self, "link"):
            self.start_link()
        self.state = state
        entry = {"service": "llm", "address": self.link.address, "zone": self.zone, "slots": 8, "state": state,
                 "born": self.incarnation, "seq": self.order_count, "version": self.software_version,
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
        if handler.path.startswith("/-/"):
            # It answers late also those who have closed the connection.
            while self.is_silent():
                time.sleep(CLOSE_POLL_S)
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
        is_free = self.wait_for_end(handler.headers.get("Resumes"))
        with self.lock:
            can_serve = (handler.headers.get("X-Expect-Instance") == self.name and adapter in self.resident and
                         adapter not in self.unloading)
            version = self.resident.get(adapter)
            # An engine that is still at work on the stream has no room for its continuation.
            has_room = self.has_room() and is_free
            self.runs[adapter] += 1 if can_serve and has_room else 0
        if not can_serve:
            handler.reply(421, headers={"X-Instance-Id": self.name, "X-Attempt-Id": request_id, **self.statements()})
            return
        if not has_room:
            self.refuse_for_room(handler, request_id)
            return
        self.adapter_runs.append((time.monotonic(), request_id, adapter, version))
        events = EVENTS_PER_STREAM - int(handler.headers.get("Last-Event-Id", 0))
        try:
            with self.recorded_run(handler, events * self.event_pause(handler)):
                if parts & self.cluster.crashing_parts:
                    self.crash_on_request(handler, request_id)
                else:
                    self.send_stream(handler, request_id, adapter, version)
        finally:
            self.end_run(adapter)

    def wait_for_end(self, stream):
        """Waits until no run of a stream is under way; returns whether that was within CONTINUATION_WAIT_S."""
        end = time.monotonic() + CONTINUATION_WAIT_S
        while stream and any(run.stream == stream and not run.end for run in self.work):
            if time.monotonic() > end:
                return False
            time.sleep(CLOSE_POLL_S)
        return True

    def statements(self):
        fields = super().statements()
        if self.brittle_period:
            fields["Server-Brittle"] = str(BRITTLE_REFUSALS_PER_S)
        return fields

    def has_room(self):
        """Returns whether the engine admits a request; only a brittle engine limits them."""
        period = self.brittle_period
        return (not period or time.monotonic() < period.begin + BRITTLE_DELAY_S or
                sum(self.runs.values()) < BRITTLE_ROOM)

    def refuse_for_room(self, handler, request_id):
        """Refuses a request for want of room; falls over after too many refusals within a second."""
        now, period = time.monotonic(), self.brittle_period
        with self.lock:
            self.refusals.append((now, request_id))
            while self.refusals[0][0] <= now - 1.0:
                self.refusals.popleft()
            if period and self.running and len(self.refusals) > BRITTLE_REFUSALS_PER_S:
                period.falls.append((now, [refused for _, refused in self.refusals]))
                self.refusals.clear()
                self.crash(same_id=True)
                self.cluster.call_later(FALL_S, self.restart)
        handler.reply(503, headers={"X-Not-Executed": "1", "X-Attempt-Id": request_id, **self.statements()})

    def fall_silent(self, seconds):
        """Sends nothing for some time, and goes on."""
        self.silent_until = time.monotonic() + seconds

    def is_silent(self):
        return time.monotonic() < self.silent_until

    def event_pause(self, handler):
        """Returns the seconds between the events of an answer."""
        return max(self.event_interval_s, BRITTLE_EVENT_INTERVAL_S if self.brittle_period else 0.0,
                   float(handler.headers.get(RUN_LENGTH_FIELD, 0)) / EVENTS_PER_STREAM)

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
        work(handler, 0.0, self.is_silent)
        handler.wfile.write(sent[0])
        if fault == "unframed_empty":
            return False
        # A stream that is resumed names its first request; its events tell that request and the version that made them.
        origin = f"{handler.headers.get('Resumes') or request_id} {self.software_version}"
        for number in range(int(handler.headers.get("Last-Event-Id", 0)) + 1, EVENTS_PER_STREAM + 1):
            if not self.running or self.incarnation != incarnation:
                handler.close_connection = True
                return False
            event = f"id: {number}\ndata: {adapter} {origin}\n\n".encode()
            if number == EVENTS_PER_STREAM and fault.endswith("half_event"):
                event = event[:-4]
            sent.append(chunk(event) if framed else event)
            handler.wfile.write(sent[-1])
            handler.wfile.flush()
            work(handler, self.event_pause(handler), self.is_silent)
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

    def restart(self, version=None):
        """Starts without adapters, under the id that `crash` has set and at a version; does nothing when it runs."""
        if self.running:
            return
        with self.lock:
            self.software_version = version or self.software_version
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
            seconds = float(handler.headers.get(RUN_LENGTH_FIELD, EVENT_INTERVAL_S))
            with self.recorded_run(handler, seconds):
                work(handler, seconds)
            if self.failure_mode == "cut":
                handler.close_connection = True
                return
            handler.reply(500 if self.failure_mode == "status" else 200, body + request_id.encode(),
                          {**id_header, "X-Response-Stamp": "s"})
