"""Tests the planned stop of an entry node whose callers keep using their open connections until the process is gone."""

import contextlib
import errno
import http.client
import io
import itertools
import signal
import socket
import threading
import time
import unittest

import standin
from entry_node_case import COMPLETE_STREAM, CONDITION_TIMEOUT_S, CONFIGURATION, EntryNodeCase

BEFORE_STOP_S = 1.0
# A request may go without an answer only when it crosses the close of its connection: when it was sent less than LOST_S
# before the end and reached no engine.
LOST_S = 0.2
# Time for which a balancer may send requests to a stopping node, and the time that it has in all.
IN_USE_S = 3.0
GRACE_S = 8.0
PROBE_INTERVAL_S = 0.005
# More than a process takes to end once its sockets are closed.
REFUSED_S = 0.04
# Longer than a node waits for an answer of the store.
SLOW_STORE_S = 2.0


class Call:
    """One request of a caller and its result."""

    def __init__(self, request_id):
        self.id, self.begin, self.duration = request_id, time.monotonic(), 0.0
        self.status, self.body = 0, None


class LoadingEngine(standin.Engine):
    """An engine with places for many adapters."""

    def __init__(self, store, name, zone):
        super().__init__(store, name, zone, slots=400)


class SlowBodyTest(EntryNodeCase):
    """One node that is terminated while a caller sends the body of a request."""

    def test_request_whose_body_is_still_sent_is_answered(self):
        """A request that began before the end of the use of a node must be answered within its grace."""
        self.start_fleet(1)
        node, request_id = self.nodes[0], next(self.ids)
        head = (f"POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {request_id}\r\nX-Model: m/a0\r\n"
                f"X-Token-Count: 10,4\r\nX-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\n")
        with contextlib.closing(socket.create_connection((node.ip, node.ports[0]), timeout=GRACE_S)) as connection:
            connection.sendall(head.encode() + b"ab")
            node.process.send_signal(signal.SIGTERM)
            time.sleep((IN_USE_S + GRACE_S) / 2)
            connection.sendall(b"cd")
            answer = b""
            while piece := connection.recv(65_536):
                answer += piece
        # It has run, or it is refused as not run: it may not be left without an answer.
        self.assertRegex(answer.decode(), r"\AHTTP/1\.1 (200|503) ")
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))


class PlainService(standin.Engine):
    """An upstream without models that works on each request for WORK_S."""

    WORK_S = 0.3

    def entry(self, state):
        return {**super().entry(state), "service": "plain", "models": []}

    def respond(self, handler, body):
        request_id = handler.headers["X-Attempt-Id"]
        with self.lock:
            self.executed.append((request_id, ""))
        time.sleep(self.WORK_S)
        handler.reply(200, b"done", {"X-Attempt-Id": request_id, "X-Response-Stamp": "s"})


class TroubledStore(standin.Store):
    """A store that answers late or whose answers are lost, as `trouble` says; what it is asked takes effect."""

    trouble = None

    def respond(self, handler, body):
        if self.trouble == "slow":
            time.sleep(SLOW_STORE_S)
        if self.trouble == "lost":
            handler.wfile, handler.close_connection = io.BytesIO(), True
        super().respond(handler, body)


class StoppedHolderCase(EntryNodeCase):
    """The holder of a lease is terminated while the store is in trouble, so that it cannot give the lease back."""

    STORE_TYPE = TroubledStore
    CONFIGURATION = {**CONFIGURATION,
                     "routes": [*CONFIGURATION["routes"], {"name": "b", "host": "h", "pathPrefix": "/b/", "kind": "unsafe",
                                                           "timeoutMs": 4000, "targetLatencyMs": 1000, "maxAttempts": 1,
                                                           "service": "plain"}],
                     "services": [*CONFIGURATION["services"], {"name": "plain", "maxConnections": 64}]}

    def setUp(self):
        super().setUp()
        self.service = PlainService(self.store, "i-p", "z")
        self.engines.append(self.service)

    def holder(self):
        """Returns the running node that has acquired the lease, or None."""
        return next((node for node in self.nodes if node.process.poll() is None
                     and "event=lease_acquired zone=z" in self.read_log(node)), None)


class LastRequestsTest(StoppedHolderCase):
    """Callers keep using their open connections."""

    CONNECTIONS = 60
    # The node decides to exit at the end of its use, within the interval at which it looks at its requests.
    DECIDED_S = IN_USE_S + 0.07

    def call(self, connection, request_id, results, at=0.0):
        """Sends a request on an open connection at a time; records the body of its answer, or None without one."""
        time.sleep(max(0.0, at - time.monotonic()))
        results[request_id] = None
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", "/b/1", b"x", {"Host": "h", "X-Attempt-Id": request_id})
            results[request_id] = connection.getresponse().read()

    def connect(self, node):
        """Opens connections to a node, of which one has been used."""
        connections = [http.client.HTTPConnection(node.ip, node.ports[0], timeout=GRACE_S)
                       for _ in range(self.CONNECTIONS)]
        results = {}
        self.eventually(lambda: self.call(connections[0], next(self.ids), results) or b"done" in results.values(),
                        "the service is reached")
        for connection in connections[1:]:
            connection.connect()
        return connections

    def check_last_requests(self, node, connections):
        """Terminates a node and uses the open connections around the moment at which it decides to exit."""
        results = {}
        begin = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        callers = [threading.Thread(target=self.call, args=(connection, f"late{number}", results,
                                                            begin + self.DECIDED_S + 0.003 * number))
                   for number, connection in enumerate(connections)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        executed = {request_id for request_id, _ in self.service.executed}
        self.assertEqual([], [request_id for request_id, body in results.items()
                              if request_id in executed and body is None])
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))

    def test_request_in_the_last_moment_is_not_sent_on_and_cut_off(self):
        """From the decision to exit on, a node must not read requests any more that it cannot answer."""
        self.start_fleet(2)
        connections = self.connect(self.holder())
        self.store.unavailable = True
        self.check_last_requests(self.holder(), connections)

    def test_request_in_the_last_moment_beside_a_slow_store_is_not_cut_off(self):
        """The same while the node waits for the answer to the release of its lease."""
        self.start_fleet(2)
        connections = self.connect(self.holder())
        self.store.trouble = "slow"
        self.check_last_requests(self.holder(), connections)

    def test_request_in_the_last_moment_beside_lost_answers_is_not_cut_off(self):
        """The same for a node that does not learn that it has released its lease."""
        self.start_fleet(2)
        connections = self.connect(self.holder())
        self.store.trouble = "lost"
        self.check_last_requests(self.holder(), connections)

    def test_node_stopped_in_its_first_second_cuts_nothing_off(self):
        """A node that is told to stop just after its start must answer what it has sent on."""
        self.start_fleet(2)
        node = self.holder()
        node.process.kill()
        node.process.wait()
        node.start()
        self.eventually(node.is_listening, "the node listens")
        self.check_last_requests(node, [http.client.HTTPConnection(node.ip, node.ports[0], timeout=GRACE_S)
                                        for _ in range(self.CONNECTIONS)])


class LastRelayedConnectionTest(StoppedHolderCase):
    """Peers open connections through the node."""

    def refused_span(self, node):
        """Terminates a node; returns the time for which it ran while its relay port refused connections."""
        unused = {*self.ports, self.ports[2] + 1}
        relay_port = next(port for port in itertools.count(self.ports[2] + 2) if port not in unused)
        refused = []
        node.process.send_signal(signal.SIGTERM)
        while node.process.poll() is None:
            with socket.socket() as probe:
                if probe.connect_ex((node.ip, relay_port)) == errno.ECONNREFUSED:
                    refused.append(time.monotonic())
            time.sleep(PROBE_INTERVAL_S)
        return refused[-1] - refused[0] if refused else 0.0

    def test_relayed_connection_in_the_last_moment_is_refused(self):
        """From the decision to exit on, a node must not accept connections of peers that it would cut off."""
        self.start_fleet(3)
        # A busy machine may pass over the 0.2 s for which a node waits for its lease; it does not do so each time.
        spans = []
        while len(spans) < len(self.nodes) and max(spans, default=0.0) < REFUSED_S:
            self.eventually(self.holder, "a node holds the lease")
            self.store.unavailable = True
            spans.append(self.refused_span(self.holder()))
            self.store.unavailable = False
        self.assertGreaterEqual(max(spans), REFUSED_S)


class LastNodeTest(EntryNodeCase):
    """The only node is terminated; callers ask for adapters that are not resident yet."""

    ENGINE_TYPE = LoadingEngine

    def test_only_node_loads_adapters_while_it_is_in_use(self):
        """A node without a successor must keep its leases for as long as it gets requests."""
        self.start_fleet(1)
        node, refused = self.nodes[0], []
        node.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + IN_USE_S - 1.0
        for number in itertools.count():
            if time.monotonic() > end:
                break
            status, body = node.send_request(next(self.ids), f"cold{number}", deadline_ms=2_000)
            if (status, body) != (200, COMPLETE_STREAM.format(f"cold{number}")):
                refused.append((number, status, body))
        self.assertEqual([], refused)
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))
        self.assertEqual("", self.store.objects[("load-leases", "z")]["spec"]["holder"])


class PlannedStopCase(EntryNodeCase):
    """One node that is terminated under load."""

    CALLERS = 24
    EVENT_INTERVAL_S = 0.01
    # What a caller may get; 0 stands for a connection that ends without an answer.
    STATUSES = {0, 200, 503}

    def start_fleet(self, size):
        super().start_fleet(size)
        for engine in self.engines:
            engine.event_interval_s = self.EVENT_INTERVAL_S

    def call_until_gone(self, node, calls):
        """Sends requests, on the open connection while there is one, until the node refuses connections."""
        connection = None
        while True:
            call = Call(next(self.ids))
            try:
                if not connection:
                    connection = http.client.HTTPConnection(node.ip, node.ports[0], timeout=10)
                    connection.connect()
                calls.append(call)
                connection.request("POST", "/a/1", call.id.encode(), {
                    "Host": "h", "X-Attempt-Id": call.id, "X-Model": "m/a0", "X-Token-Count": "10,4",
                    "X-Deadline-Ms": "3000"})
                response = connection.getresponse()
                call.status, call.body = response.status, response.read().decode()
                if response.will_close:
                    connection.close()
                    connection = None
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                connection = None
            finally:
                call.duration = time.monotonic() - call.begin

    def stop_under_load(self, node, load_s):
        """Terminates a node that has been under load for a time; checks its answers and returns the served calls."""
        calls = []
        callers = [threading.Thread(target=self.call_until_gone, args=(node, calls)) for _ in range(self.CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(load_s)
        node.process.send_signal(signal.SIGTERM)
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))
        for caller in callers:
            caller.join()
        executed = {request_id for engine in self.engines for request_id, _ in engine.executed}
        unanswered = [call for call in calls if call.status == 0 or call.body is None]
        cut_off = [(call.id, call.id in executed, round(call.duration, 3)) for call in unanswered
                   if call.id in executed or call.duration > LOST_S]
        self.assertEqual([], cut_off)
        self.assertLessEqual({call.status for call in calls}, self.STATUSES)
        self.assertEqual([], [call.id for call in calls if call.status == 503 and call.id in executed])
        served = [call for call in calls if call.status == 200]
        self.assertEqual({COMPLETE_STREAM.format("a0")}, {call.body for call in served})
        return served


class PlannedStopTest(PlannedStopCase):
    """Engines have places for all requests."""

    def test_stop_under_load_answers_each_accepted_request(self):
        """A request that was accepted shortly before the process ends must not be cut off without an answer."""
        self.start_fleet(1)
        self.assertGreater(len(self.stop_under_load(self.nodes[0], BEFORE_STOP_S)), self.CALLERS)

    def test_stop_in_first_second_under_load_answers_each_accepted_request(self):
        """The same for a node that is told to stop while it is still learning what serves."""
        self.start_fleet(1)
        node = self.nodes[0]
        for load_s in (0.1, 0.4, 0.8):
            with self.subTest(load_s=load_s):
                node.process.kill()
                node.process.wait()
                node.start()
                self.eventually(node.is_listening, "the node listens")
                self.stop_under_load(node, load_s)


class FullEnginesStopTest(PlannedStopCase):
    """More callers than places at the engines."""

    CALLERS = 60
    EVENT_INTERVAL_S = 0.25

    def test_request_that_waits_for_a_place_is_answered(self):
        """A request that waits for a place when the end comes must be refused, not cut off."""
        self.start_fleet(1)
        self.assertGreater(len(self.stop_under_load(self.nodes[0], BEFORE_STOP_S)), 0)


class RefusingEngine(standin.Engine):
    """An engine that answers two of three requests 408, every second time without stating that it has not run them."""

    def execute(self, handler):
        with self.lock:
            self.refusals = getattr(self, "refusals", 0) + 1
            number = self.refusals
        if number % 3 == 0:
            return super().execute(handler)
        fields = {"X-Attempt-Id": handler.headers["X-Attempt-Id"]}
        return handler.reply(408, headers={**fields, "X-Not-Executed": "1"} if number % 3 == 1 else fields)


class RefusingEnginesStopTest(PlannedStopCase):
    """Engines that time requests out."""

    ENGINE_TYPE = RefusingEngine
    # 502: the request may have run.
    STATUSES = {0, 200, 502, 503}

    def test_request_that_engines_answer_408_is_answered(self):
        """A request that is sent again when the end comes must be answered or refused, not cut off."""
        self.start_fleet(1)
        self.assertGreater(len(self.stop_under_load(self.nodes[0], BEFORE_STOP_S)), 0)


class OneAdapterEngine(standin.Engine):
    """An engine with a place for one adapter."""

    def __init__(self, store, name, zone):
        super().__init__(store, name, zone, slots=1)


class WaitingRequestsStopTest(EntryNodeCase):
    """All nodes but the lease holder are terminated while requests wait for adapter slots that are in use until later."""

    ENGINE_TYPE = OneAdapterEngine
    # As many as placements are tried: with fewer, a request is refused before its node ends.
    ENGINE_COUNT = 8
    EVENT_INTERVAL_S = 4.0
    KINDS = {"once": {"kind": "streaming"}, "resumable": {"kind": "streaming", "resumable": True},
             "safe": {"kind": "safe"}, "unsafe": {"kind": "unsafe"}}
    CONFIGURATION = {
        "version": 1,
        "routes": [{**CONFIGURATION["routes"][0], "name": name, "pathPrefix": f"/{name}/", "maxAttempts": 2, **kind}
                   for name, kind in KINDS.items()] + CONFIGURATION["routes"],
        "services": [{"name": "llm", "maxConnections": 64, "engine": {
            "adapterSlots": 1, "loadsPerS": 2, "models": [{"name": "m", "loadS": 1}]}}]}
    # Time after the signal at which requests are sent, and their deadlines.
    SENT_AT_S = (-0.6, 0.05, 1.0, 2.0, 2.25, 2.6)
    DEADLINES_MS = (15_000, 8_200, 3_000)

    def busy_engines(self):
        """Returns the number of engines that run a stream of `use_all_slots`."""
        return sum(any(adapter.startswith("busy") for _, adapter in engine.executed) for engine in self.engines)

    def use_all_slots(self, node):
        """Runs a stream at each engine, through a node, that lasts longer than a stopping node."""
        for engine in self.engines:
            engine.event_interval_s = self.EVENT_INTERVAL_S
        streams = []
        while (busy := self.busy_engines()) < self.ENGINE_COUNT:
            streams.append(threading.Thread(target=self.call, args=(node, "a", f"busy{len(streams)}", 20_000, 0.0, {})))
            streams[-1].start()
            # It may be refused, as an engine keeps the adapter that it has served last for a moment.
            self.eventually(lambda: self.busy_engines() > busy or not streams[-1].is_alive(), "a stream runs or is refused")
        return streams

    def call(self, node, path, adapter, deadline_ms, at, results):
        """Sends a request at a time; records its status, 0 when its connection ends without a whole answer."""
        time.sleep(max(0.0, at - time.monotonic()))
        request_id = next(self.ids)
        results[request_id] = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, body = node.send_request(request_id, adapter, path=f"/{path}/1", deadline_ms=deadline_ms)
            results[request_id] = status if body is not None else 0

    def test_request_that_waits_for_an_adapter_slot_is_refused_before_the_end(self):
        """A request that its node has not sent to any engine must not be cut off when the process ends."""
        self.start_fleet(3)
        holder = next(node for node in self.nodes if "event=lease_acquired zone=z" in self.read_log(node))
        stopped = [node for node in self.nodes if node is not holder]
        streams = self.use_all_slots(holder)
        results, begin = {}, time.monotonic() + 1.0
        forms = itertools.product(stopped, self.KINDS, self.DEADLINES_MS, self.SENT_AT_S)
        callers = [threading.Thread(target=self.call, args=(node, path, f"cold{number}", deadline_ms, begin + at_s, results))
                   for number, (node, path, deadline_ms, at_s) in enumerate(forms)]
        for caller in callers:
            caller.start()
        time.sleep(begin - time.monotonic())
        # Further signals must not end a stop early or begin it anew.
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            for node in stopped:
                node.process.send_signal(number)
            time.sleep(0.3)
        for caller in [*callers, *streams]:
            caller.join()
        self.assertEqual([0] * len(stopped), [node.process.wait(CONDITION_TIMEOUT_S) for node in stopped])
        executed = {request_id for engine in self.engines for request_id, _ in engine.executed}
        self.assertEqual({503}, set(results.values()), results)
        self.assertEqual(set(), executed & set(results))


class SilentEngine(standin.Engine):
    """An engine that holds requests for an adapter of its own without an answer."""

    def send_stream(self, handler, adapter):
        if adapter == "held":
            time.sleep(GRACE_S + IN_USE_S)
            handler.close_connection = True
            return
        super().send_stream(handler, adapter)


class UnansweredRequestStopTest(EntryNodeCase):
    """A node is terminated while an engine has not begun to answer."""

    ENGINE_TYPE = SilentEngine

    def test_request_that_its_engine_has_not_answered_gets_an_answer_before_the_end(self):
        """A request that waits at its engine must be told that it may have run, rather than be cut off."""
        self.start_fleet(1)
        answers = []
        caller = threading.Thread(target=lambda: answers.append(self.nodes[0].send_request(next(self.ids), "held")))
        caller.start()
        self.eventually(lambda: any(adapter == "held" for engine in self.engines for _, adapter in engine.executed),
                        "the engine has the request")
        self.nodes[0].process.send_signal(signal.SIGTERM)
        caller.join()
        self.assertEqual([504], [status for status, _ in answers])
        self.assertEqual(0, self.nodes[0].process.wait(CONDITION_TIMEOUT_S))


if __name__ == "__main__":
    unittest.main(warnings="ignore")
