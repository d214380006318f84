"""Tests the limit on crashes caused by one request body, and the responses to requests on crashing engines."""

import unittest

import support

MARKER = "crash-the-engine"


class EngineCrashTest(support.FleetTestCase):
    """Crashes and restarts of engines, and streams that break while the engine keeps running."""

    options = {"engine": {"slots": 4, "step-ms": 10, "restart-ms": 500},
               "weight_store": {"load-ms": 50, "loads-per-second": 20}}

    def crash_count(self):
        """Returns the number of crashes of all engines."""
        return sum(self.counters(engine)["crashes"] for engine in self.engines)

    def send_unstreamed(self, count, adapters=3, first=0):
        """Sends `count` requests without streaming through all nodes concurrently; returns the outcomes."""
        return support.run_concurrently(
            lambda number=number: support.send_completion(
                self.nodes[number % len(self.nodes)], f"tail-{number % adapters}@v1", f"innocent {number}", 20)
            for number in range(first, first + count))

    def test_crashing_body_costs_at_most_two_crashes(self):
        """A caller that repeats a crashing body through all nodes must not crash more than two engines."""
        self.check_outcomes(self.send_unstreamed(3))
        for engine in self.engines:
            engine.set_faults(crash_marker=MARKER)
        crashing = []
        innocent = []
        for number in range(8):
            calls = [lambda node=self.nodes[number % len(self.nodes)]: support.send_completion(
                node, "tail-0@v1", MARKER, 20, deadline_ms=5_000)]
            calls += [lambda index=index: support.send_completion(
                self.nodes[index % len(self.nodes)], f"tail-{index}@v1", f"innocent {number} {index}", 20)
                for index in range(3)]
            results = support.run_concurrently(calls)
            crashing.append(results[0])
            innocent += results[1:]
        crashing += support.run_concurrently(
            lambda node=node: support.send_completion(node, "tail-0@v1", MARKER, 20, deadline_ms=5_000)
            for node in self.nodes for _ in range(2))
        self.assertEqual([str(outcome) for outcome in crashing if outcome.complete or not outcome.verdict], [])
        self.assertLessEqual(self.crash_count(), 2, [self.explain(outcome) for outcome in crashing[:2]])
        self.assertGreaterEqual(self.crash_count(), 1)
        self.check_outcomes(crashing + innocent)
        self.assertEqual([self.explain(outcome) for outcome in innocent if not outcome.complete], [])

    def test_engine_restart_requests_are_served(self):
        """Requests on an engine that restarts without adapters are served by another engine, or by it later."""
        self.check_outcomes(self.send_unstreamed(3))
        load = self.start_load(self.nodes, ["tail-0@v1", "tail-1@v1", "tail-2@v1"], callers=6, tokens=20)
        for engine in self.engines[:2]:
            before = load.started_count()
            self.eventually(lambda: load.started_count() >= before + 12, "running requests")
            engine.set_faults(restart=True)
            # A request that loses two engines is quarantined, as test_crashing_body_costs_at_most_two_crashes asks.
            lost = load.started_count()
            self.eventually(lambda: load.have_ended(lost), "requests that the engine may have lost have ended")
        before = load.started_count()
        self.eventually(lambda: load.started_count() >= before + 12, "requests after the restarts")
        outcomes = load.finish()
        self.check_outcomes(outcomes)
        failed = [outcome for outcome in outcomes if not outcome.complete]
        # Only a stream that has delivered tokens cannot be retried.
        self.assertEqual([self.explain(outcome) for outcome in failed
                          if not outcome.text or outcome.verdict != "may_have_run"], [])
        self.assertEqual(self.crash_count(), 2)
        self.eventually(lambda: all(outcome.complete for outcome in self.send_unstreamed(3, first=900)),
                        "complete responses")

    def test_request_lost_in_a_crash_never_gets_not_run(self):
        """The refusal of a later attempt must not hide that an earlier attempt had started."""
        self.check_outcomes(self.send_unstreamed(3))
        load = [lambda number=number: support.send_completion(
            self.nodes[number % len(self.nodes)], f"tail-{number % 3}@v1", f"lost {number}", 2_000, deadline_ms=6_000)
            for number in range(6)]

        before = len(self.engine_executions())

        def crash_all():
            self.eventually(lambda: len(self.engine_executions()) >= before + len(load), "running requests")
            for engine in self.engines:
                engine.set_faults(restart_ms=10_000, restart=True)

        outcomes = support.run_concurrently([*load, crash_all])[:-1]
        self.check_outcomes(outcomes)
        self.assertEqual([outcome.verdict for outcome in outcomes], ["may_have_run"] * len(load),
                         [str(outcome) for outcome in outcomes])

    def test_broken_stream_is_resumed(self):
        """A stream that breaks while the engine still runs the request must be resumed without a second execution."""
        for engine in self.engines:
            engine.set_faults(break_stream_after=5)
        outcomes = support.run_concurrently(
            lambda number=number: support.send_completion(
                self.nodes[number % len(self.nodes)], f"tail-{number % 3}@v1", f"prompt {number}", 20, number % 2 == 0)
            for number in range(12))
        self.check_outcomes(outcomes)
        self.assertEqual([str(outcome) for outcome in outcomes if not outcome.complete], [])
        self.assertEqual(set(self.engine_executions().values()), {1})
        self.assertEqual(len(self.engine_executions()), len(outcomes))


if __name__ == "__main__":
    unittest.main()
