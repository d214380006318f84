"""Tests entry nodes before engines that crash on requests whose prompts share a part."""

import threading
import time
import unittest

import standin
from entry_node_case import COMPLETE_STREAM, EntryNodeCase

# The rules of the platform: from STABILITY_S after the crash number CRASHES_MAX, at most REQUESTS_MAX requests with the
# part reach engines. From twice that time on, at least SERVED_SHARE_MIN of the sound requests are served, counted here from the
# first crash already.
STABILITY_S = 3.0
CRASHES_MAX = 5
REQUESTS_MAX = 3
SERVED_SHARE_MIN = 0.5
RESTART_S = 0.7
FIRST_PART, SOUND_PART, CRASHING_PART = "f0", "f1", "dead"


class CrashingEngine(standin.Engine):
    """An engine that crashes when it begins to answer a request whose prompt holds one of `crashing_parts`."""

    crashing_parts = ()

    def __init__(self, *arguments):
        self.running = True
        self.sockets = set()
        self.crash_times, self.crashing_arrival_times = [], []
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        if not self.running:
            self.shutdown_request(request)
            return
        self.sockets.add(request)
        super().process_request(request, client_address)

    def execute(self, handler):
        parts = [part.partition(":")[0] for part in handler.headers["X-Prompt-Prefix"].split(",")]
        with self.lock:
            is_resident = handler.headers["X-Model"].partition("/")[2] in self.resident
        if not is_resident or not set(parts) & set(self.crashing_parts):
            return super().execute(handler)
        self.crashing_arrival_times.append(time.monotonic())
        self.crash()
        return None

    def crash(self):
        """Cuts all connections, and starts again without adapters after RESTART_S."""
        self.running = False
        self.crash_times.append(time.monotonic())
        for connection in list(self.sockets):
            self.shutdown_request(connection)
        self.sockets.clear()
        threading.Timer(RESTART_S, self.restart).start()

    def restart(self):
        with self.lock:
            self.resident, self.loading, self.order_count, self.highest_fence = {}, {}, 0, 0
            self.incarnation += 1
        self.running = True
        self.publish_entry("ready")


class PromptPartTest(EntryNodeCase):
    """Requests with a part that crashes engines come at all nodes, beside sound ones that share all their other parts."""

    ENGINE_TYPE = CrashingEngine
    ENGINE_COUNT = 4
    CALLS_S = 14.0

    def setUp(self):
        super().setUp()
        self.sound_calls = []

    def send_sound_request(self, node):
        """Sends a sound request and records when it was sent and whether it was served."""
        begin = time.monotonic()
        try:
            result = node.send_request(next(self.ids), "a0", parts=[FIRST_PART, SOUND_PART])
        except OSError:
            result = None
        self.sound_calls.append((begin, result == (200, COMPLETE_STREAM.format("a0"))))

    def send_crashing_request(self, node):
        """Sends a request with the part that crashes engines; returns its status."""
        try:
            return node.send_request(next(self.ids), "a0", parts=[FIRST_PART, SOUND_PART, CRASHING_PART])[0]
        except OSError:
            return 0

    def call_until(self, end, send, interval_s):
        """Lets a caller of each node send requests until a time."""
        def call(node):
            while time.monotonic() < end:
                send(node)
                time.sleep(interval_s)

        callers = [threading.Thread(target=call, args=(node,)) for node in self.nodes]
        for caller in callers:
            caller.start()
        return callers

    def run_calls(self):
        """Runs callers of both kinds for CALLS_S; returns the times of the crashes."""
        for engine in self.engines:
            engine.event_interval_s = 0.02
            engine.crashing_parts = (CRASHING_PART,)
        end = time.monotonic() + self.CALLS_S
        callers = [*self.call_until(end, self.send_sound_request, 0.05),
                   *self.call_until(end, self.send_crashing_request, 0.9)]
        for caller in callers:
            caller.join()
        crashes = sorted(at for engine in self.engines for at in engine.crash_times)
        self.assertTrue(crashes)
        return crashes

    def test_requests_that_share_crashing_part_stop_reaching_engines(self):
        """Requests that crash engines must be stopped although no two are alike, and sound ones must be served."""
        self.start_fleet(3)
        crashes = self.run_calls()
        counted_from = crashes[:CRASHES_MAX][-1] + STABILITY_S
        arrivals = [at for engine in self.engines for at in engine.crashing_arrival_times]
        self.assertLessEqual(sum(at > counted_from for at in arrivals), REQUESTS_MAX)
        served = [is_served for begin, is_served in self.sound_calls if begin > crashes[0] + 2 * STABILITY_S]
        self.assertGreaterEqual(len(served), 20)
        self.assertGreaterEqual(sum(served), SERVED_SHARE_MIN * len(served))

    def test_started_node_refuses_crashing_part_and_serves_other_parts(self):
        """A node that has just started must know which part is refused, and serve requests without it."""
        self.start_fleet(2)
        self.run_calls()
        started = self.add_node()
        self.eventually(started.is_ready, "the node is ready")
        before = sum(len(engine.crashing_arrival_times) for engine in self.engines)
        self.eventually(lambda: self.send_crashing_request(started) == 503, "the part is refused")
        self.assertLessEqual(sum(len(engine.crashing_arrival_times) for engine in self.engines), before + REQUESTS_MAX)
        self.send_sound_request(started)
        self.assertTrue(self.sound_calls[-1][1])


if __name__ == "__main__":
    unittest.main(warnings="ignore")
