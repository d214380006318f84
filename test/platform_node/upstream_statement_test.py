"""Tests that entry nodes keep to what engines state in their responses: limits, leaving and the time to return."""

import itertools
import threading
import time
import unittest

from entry_node_case import EntryNodeCase

CALLERS_PER_NODE = 3
# The rule of the platform: from STABILITY_S after the limit was first named, LIMIT_WINDOW_S may bring at most
# LIMIT_FACTOR times what the limit allows in it, and LIMIT_SLACK requests.
STABILITY_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
MEASURED_S = 10.0


class UpstreamLimitTest(EntryNodeCase):
    """All engines name a limit, and the callers of all nodes send more than it allows."""

    def test_limit_of_engine_is_kept_by_all_nodes_together(self):
        """Nodes must not send an engine more together than it takes, nor stop sending."""
        limit_per_s = 2.0
        self.start_fleet(4)
        for engine in self.engines:
            engine.stated_fields = {"Server-Limit": str(limit_per_s)}
        named_at = time.monotonic()
        statuses = self.call_until(named_at + STABILITY_S + MEASURED_S)
        allowed = LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for engine in self.engines:
            arrivals = [at for at in engine.arrival_times if at >= named_at + STABILITY_S]
            busiest = max(sum(first <= at < first + LIMIT_WINDOW_S for at in arrivals) for first in arrivals)
            self.assertLessEqual(busiest, allowed, engine.name)
            self.assertGreaterEqual(len(arrivals), limit_per_s * MEASURED_S / 2, engine.name)
        self.assertLessEqual(set(statuses), {200, 503})

    def call_until(self, end):
        """Lets callers of all nodes send requests one after the other until a time; returns the statuses."""
        statuses = []

        def call(node):
            while time.monotonic() < end:
                statuses.append(node.send_request(next(self.ids), "a0")[0])
                time.sleep(0.02)

        callers = [threading.Thread(target=call, args=(node,)) for node in self.nodes for _ in range(CALLERS_PER_NODE)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return statuses


class UpstreamStatementTest(EntryNodeCase):
    """One of two engines asks for fewer requests, or for none."""

    DRAIN_BOUND_S = 2.0
    HOLD_S = 3.0
    HOLD_BEGIN_S = 0.5
    HOLD_REQUESTS_MAX = 2

    def call_until_arrival(self, engine):
        """Sends requests for several adapters until one reaches the engine; returns the time after it was answered."""
        before = len(engine.arrival_times)

        def arrived():
            self.nodes[0].send_request(next(self.ids), f"c{len(engine.arrival_times) % 4}")
            self.nodes[0].send_request(next(self.ids), f"d{next(self.adapter_numbers) % 6}")
            return len(engine.arrival_times) > before

        self.eventually(arrived, "a request reaches the engine")
        return time.monotonic()

    def call_for(self, seconds):
        """Sends requests for several adapters for some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.nodes[0].send_request(next(self.ids), f"d{next(self.adapter_numbers) % 6}")

    def setUp(self):
        super().setUp()
        self.adapter_numbers = itertools.count()

    def test_engine_that_states_leaving_gets_no_requests(self):
        """An engine that is leaving must get no requests, although the store does not show it."""
        self.start_fleet(1)
        leaving = self.engines[0]
        leaving.stated_fields = {"Server-Leaving": "1"}
        stated_at = self.call_until_arrival(leaving)
        self.call_for(self.DRAIN_BOUND_S + 2.0)
        self.assertEqual([], [at for at in leaving.arrival_times if at > stated_at + self.DRAIN_BOUND_S])

    def test_restarted_node_sends_nothing_to_engine_that_is_leaving(self):
        """A node that was restarted must not use an engine again that is leaving, although the store does not show it."""
        self.start_fleet(2)
        leaving, restarted = self.engines[0], self.nodes[1]
        leaving.stated_fields = {"Server-Leaving": "1"}
        self.call_until_arrival(leaving)
        self.eventually(lambda: "event=upstream_leaving" in self.read_log(restarted), "the peer knows it")
        restarted.process.kill()
        restarted.process.wait()
        restarted.start()
        self.eventually(restarted.is_ready, "the node is ready")
        before = len(leaving.arrival_times)
        for number in range(40):
            restarted.send_request(next(self.ids), f"d{number % 6}")
        self.assertEqual(before, len(leaving.arrival_times))

    def test_engine_that_states_time_to_return_gets_no_requests_until_then(self):
        """An engine that refuses a request for some seconds must not get others meanwhile, but again afterwards."""
        self.start_fleet(1)
        refusing = self.engines[0]
        refusing.refusal_fields = {"Retry-After": str(self.HOLD_S)}
        self.call_until_arrival(refusing)
        begin = refusing.arrival_times[-1]
        self.call_for(self.HOLD_S - 0.2)
        held = [at for at in refusing.arrival_times if begin + self.HOLD_BEGIN_S < at < begin + self.HOLD_S]
        self.assertLessEqual(len(held), self.HOLD_REQUESTS_MAX)
        refusing.refusal_fields = None
        self.call_until_arrival(refusing)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
