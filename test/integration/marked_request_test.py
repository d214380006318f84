"""Tests that non-idempotent requests run at most once, and that none with the verdict `not_run` was executed."""

import threading
import unittest

import support

KEYS = [f"order-{index}" for index in range(6)]


class NonIdempotentRequestTest(support.FleetTestCase):
    """Calls of a plain service with `x-non-idempotent: true`, repeated with the same key."""

    options = {"engines_per_zone": 0, "services_per_zone": 2, "service_zones": ("maradana",)}

    def resend(self, key, nodes=None):
        """Sends the key through the nodes in turn until its reason is not `in_progress`; returns the last outcome."""
        nodes = nodes or self.nodes
        outcomes = []

        def is_finished():
            outcomes.append(support.call_service(nodes[len(outcomes) % len(nodes)], key))
            error = outcomes[-1].error
            return outcomes[-1].verdict and not (error and error["reason"] == "in_progress")

        self.eventually(is_finished, f"an outcome of {key}")
        return outcomes[-1]

    def check_keys(self, outcomes):
        """Checks at most one execution per key (invariant I5), and none when all its callers got `not_run` (I4)."""
        executions = self.service_executions()
        by_key = {}
        for outcome in outcomes:
            self.assertIn(outcome.verdict, support.VERDICTS, str(outcome))
            by_key.setdefault(outcome.key, []).append(outcome)
        for key, group in by_key.items():
            count = executions.get(key, 0)
            self.assertLessEqual(count, 1, f"{key} ran {count} times: {[str(outcome) for outcome in group]}")
            if all(outcome.verdict == "not_run" for outcome in group):
                self.assertEqual(count, 0, f"{key} ran: {[str(outcome) for outcome in group]}")
            answers = {outcome.text for outcome in group if outcome.complete}
            self.assertLessEqual(len(answers), 1, f"{key} has different outcomes: {answers}")
            if answers:
                self.assertEqual(count, 1, key)

    def test_same_key_through_all_nodes_runs_once(self):
        """Two nodes that both consider the claim theirs would run the request twice."""
        for service in self.services:
            service.set_faults(delay_ms=200)
        outcomes = support.run_concurrently(
            lambda node=node, key=key: support.call_service(node, key) for key in KEYS for node in self.nodes)
        self.check_keys(outcomes)
        resent = [self.resend(key) for key in KEYS]
        self.check_keys(outcomes + resent)
        self.assertEqual([str(outcome) for outcome in resent if not outcome.complete], [])
        self.assertEqual(self.service_executions(), {key: 1 for key in KEYS})
        other = support.call_service(self.nodes[0], KEYS[0], {"another": "body"})
        self.assertEqual((other.status, other.error["reason"]), (422, "key_reused"))

    def test_entry_node_killed_key_is_not_run_again(self):
        """The key of a request on a killed node must not be executed again when it is sent through other nodes."""
        for service in self.services:
            service.set_faults(delay_ms=3_000)
        entry, others = self.nodes[0], self.nodes[1:]
        outcomes = []
        callers = [threading.Thread(target=lambda key=key: outcomes.append(support.call_service(entry, key)))
                   for key in KEYS]
        for caller in callers:
            caller.start()
        self.eventually(lambda: len(self.service_executions()) >= 3, "running calls")
        entry.kill()
        for caller in callers:
            caller.join()
        for service in self.services:
            service.set_faults(delay_ms=0)
        again = support.run_concurrently(
            lambda node=node, key=key: support.call_service(node, key) for key in KEYS for node in others)
        last = [self.resend(key, others) for key in KEYS]
        self.check_keys(again + last)
        for outcome in outcomes:
            self.assertTrue(outcome.connection_error or outcome.verdict, str(outcome))

    def test_lost_service_response_is_may_have_run(self):
        """A call whose response was lost must be neither executed again nor reported as `not_run`."""
        for service in self.services:
            service.set_faults(drop_answers=len(KEYS))
        first = [support.call_service(self.nodes[0], key) for key in KEYS]
        self.assertEqual([outcome.verdict for outcome in first], ["may_have_run"] * len(KEYS))
        for service in self.services:
            service.set_faults(drop_answers=0)
        again = [self.resend(key) for key in KEYS]
        self.assertEqual([outcome.verdict for outcome in again], ["may_have_run"] * len(KEYS))
        self.check_keys(first + again)
        self.assertEqual(self.service_executions(), {key: 1 for key in KEYS})

    def test_lost_write_response_claim_is_read_back(self):
        """A claim whose write succeeded without a response must neither block its key nor be made twice."""
        for key in KEYS:
            self.fleet.object_store.set_faults(drop_answers=1)
            outcome = support.call_service(self.nodes[0], key)
            self.assertTrue(outcome.complete, str(outcome))
            self.check_keys([outcome, self.resend(key)])
        self.assertEqual(self.service_executions(), {key: 1 for key in KEYS})

    def test_object_api_outage_refuses_non_idempotent_requests_as_not_run(self):
        """Without a durable claim a non-idempotent request must not be sent, and the caller may send it again later."""
        self.fleet.object_store.set_faults(outage=True)
        refused = support.run_concurrently(
            lambda node=node, key=key: support.call_service(node, key) for key in KEYS for node in self.nodes)
        self.assertEqual({outcome.verdict for outcome in refused}, {"not_run"}, [str(each) for each in refused])
        self.assertEqual(self.service_executions(), {})
        self.fleet.object_store.set_faults(outage=False)
        later = [self.resend_until_complete(key) for key in KEYS]
        self.check_keys(later)
        self.assertEqual(self.service_executions(), {key: 1 for key in KEYS})

    def resend_until_complete(self, key):
        """Sends the key through the nodes in turn until the response is complete; returns the last outcome."""
        last = []

        def is_complete():
            last.append(support.call_service(self.nodes[len(last) % len(self.nodes)], key))
            return last[-1].complete

        self.eventually(is_complete, f"a complete response to {key}")
        return last[-1]


if __name__ == "__main__":
    unittest.main()
