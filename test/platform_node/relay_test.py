"""Tests the connections that a node relays for a peer which is partitioned from all engines."""

import contextlib
import http.client
import signal
import socket
import threading
import time
import unittest

import standin
from partition_test import STABILITY_S, PartitionCase

# The rule of the platform: half a second after its caller has left, an engine no longer works on a request.
GONE_S = 0.5
EVENT_INTERVAL_S = 0.1
POLL_INTERVAL_S = 0.02
WORK_S = 4.0
PAUSE_S = 1.2


class RelayEngine(standin.Engine):
    """An engine that can work long before it answers, records when a connection is closed meanwhile, and can pause."""

    def __init__(self, *arguments):
        self.works_long, self.work_s, self.begun, self.closed_at = False, WORK_S, False, None
        self.loses_requests = False
        super().__init__(*arguments)

    def send_stream(self, handler, adapter):
        if self.loses_requests:
            handler.close_connection = True
            return
        if self.works_long:
            self.begun = True
            self.work(handler.connection)
        super().send_stream(handler, adapter)

    def work(self, connection):
        """Works for `work_s`, or until the connection is closed."""
        end = time.monotonic() + self.work_s
        while time.monotonic() < end:
            with contextlib.suppress(BlockingIOError):
                if not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                    self.closed_at = time.monotonic()
                    return
            time.sleep(POLL_INTERVAL_S)

    def pause(self):
        """Answers nothing for PAUSE_S."""
        with self.lock:
            time.sleep(PAUSE_S)


class RelayTest(PartitionCase):
    """Three nodes; the connections of the first one to the engines hang, and the others relay for it."""

    ENGINE_TYPE = RelayEngine
    ENGINE_COUNT = 3
    NODE_COUNT = 3
    ADAPTER_COUNT = 3

    def setUp(self):
        super().setUp()
        for engine in self.engines:
            engine.event_interval_s = EVENT_INTERVAL_S

    def cut_first_node(self):
        """Cuts the first node off, and waits until it is served through its peers."""
        self.start_partition_fleet()
        self.views[0].cut("hang")
        outcomes = []
        self.send_requests(self.nodes[0], time.monotonic() + STABILITY_S, outcomes)
        self.assertTrue(outcomes[-1].served)
        # The first one finds that its connection hangs, and the lease has passed to another node.
        self.assertNotEqual(0, self.holder())

    def relay_without_lease(self):
        """Returns the node that relays and does not hold the lease."""
        return self.nodes[3 - self.holder()]

    def send_to_cut_node(self, seconds, action):
        """Sends requests to the node that is cut, and calls `action` among them; returns the outcomes."""
        outcomes = []
        sender = threading.Thread(
            target=self.send_requests, args=(self.nodes[0], time.monotonic() + seconds, outcomes))
        sender.start()
        time.sleep(1.0)
        action()
        sender.join()
        return outcomes

    def test_relay_that_stops_as_planned_cuts_nothing_off(self):
        """A node that stops must finish the exchanges that it relays, and its peer must not use it for new ones."""
        self.cut_first_node()
        relay = self.relay_without_lease()
        outcomes = self.send_to_cut_node(5.0, lambda: relay.process.send_signal(signal.SIGTERM))
        self.check_executions(outcomes)
        self.assertEqual([], [(outcome.id, outcome.status) for outcome in outcomes if not outcome.served])
        self.assertEqual(0, relay.process.wait(10))

    def test_relay_that_is_killed_makes_no_answer_complete_and_no_refusal_false(self):
        """An exchange whose relay dies may have run; the requests after it must reach engines through other peers."""
        self.cut_first_node()
        begin = time.monotonic()
        outcomes = self.send_to_cut_node(1.0 + 2 * STABILITY_S, self.relay_without_lease().process.kill)
        self.check_executions(outcomes)
        later = [outcome for outcome in outcomes if outcome.sent_at > begin + 1.0 + STABILITY_S]
        self.assertEqual([], [(outcome.id, outcome.status) for outcome in later if not outcome.served])
        self.assertNotIn("event=crash ", self.read_log(self.nodes[0]))

    def test_request_that_engines_lose_through_relays_is_recorded_as_crash(self):
        """What crashes engines must be found out also when only nodes that are cut send it."""
        self.cut_first_node()
        for engine in self.engines:
            engine.loses_requests = True
        self.assertEqual(502, self.nodes[0].send_request(self.next_id(), "a0", deadline_ms=4_000)[0])
        self.eventually(lambda: "event=crash upstream=" in self.read_log(self.nodes[0]), "the crash is recorded")

    def test_caller_that_leaves_ends_the_work_of_the_engine(self):
        """The relay must close its connection to the engine when the caller of its peer has left."""
        self.cut_first_node()
        for engine in self.engines:
            engine.works_long = True
        request_id = self.next_id()
        connection = http.client.HTTPConnection(self.nodes[0].ip, self.ports[0], timeout=30)
        with contextlib.closing(connection):
            connection.request("POST", "/a/1", b"body", {
                "Host": "h", "X-Attempt-Id": request_id, "X-Model": "m/a0", "X-Token-Count": "10,4",
                "X-Deadline-Ms": "15000"})
            self.eventually(lambda: any(engine.begun for engine in self.engines), "an engine works on the request")
        left_at = time.monotonic()
        time.sleep(2 * GONE_S)
        closed_at = [engine.closed_at for engine in self.engines if engine.closed_at]
        self.assertEqual(1, len(closed_at))
        self.assertLessEqual(closed_at[0] - left_at, GONE_S)

    def test_long_body_reaches_engine_unchanged(self):
        """A body that is larger than the buffers of the relay must arrive whole."""
        self.cut_first_node()
        connection = http.client.HTTPConnection(self.nodes[0].ip, self.ports[0], timeout=30)
        with contextlib.closing(connection):
            connection.request("POST", "/a/1", b"x" * 300_000, {
                "Host": "h", "X-Attempt-Id": self.next_id(), "X-Model": "m/a0", "X-Token-Count": "10,4",
                "X-Deadline-Ms": "15000"})
            self.assertEqual(200, connection.getresponse().status)

    def test_engine_that_pauses_is_no_partition(self):
        """One engine that is silent for a second must not make a node take itself for partitioned."""
        self.start_partition_fleet()
        outcomes = []
        threads = [threading.Thread(target=self.send_requests, args=(node, time.monotonic() + 4.0, outcomes))
                   for node in self.nodes]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        self.engines[0].pause()
        for thread in threads:
            thread.join()
        for node in self.nodes:
            self.assertNotIn("event=partitioned", self.read_log(node))


if __name__ == "__main__":
    unittest.main(warnings="ignore")
