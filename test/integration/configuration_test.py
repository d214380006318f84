"""Tests that all nodes apply saved rules, that rules never revert, and that no change of an operator is lost."""

import unittest

import support


def rules_refusing(name):
    """Returns a rule set that refuses the caller `name`."""
    return [{"name": f"refuse-{name}", "when": {"caller": name},
             "then": {"action": "refuse", "reason": f"{name} is blocked"}}]


class ConfigurationTest(support.FleetTestCase):
    """Changes of the rules through the operator interfaces of different nodes."""

    options = {"engine": {"slots": 4, "step-ms": 5}, "weight_store": {"load-ms": 20, "loads-per-second": 20}}

    def is_refused(self, node, caller):
        """Returns whether a node refuses the caller."""
        outcome = support.send_completion(node, "tail-0@v1", "prompt", 2, headers={"x-caller-id": caller})
        self.assertTrue(outcome.verdict, str(outcome))
        return outcome.verdict == "not_run"

    def test_rules_are_in_force_on_all_nodes_and_never_revert(self):
        """A node that resumes or restarts must not restore an older rule set."""
        first = self.save_rules(self.nodes[0], rules_refusing("first"), 0)
        self.eventually(lambda: self.rules_in_force(first), "the first rules on all nodes")
        self.assertEqual([self.is_refused(node, "first") for node in self.nodes], [True] * 3)
        frozen = self.nodes[2]
        frozen.pause()
        try:
            second = self.save_rules(self.nodes[1], rules_refusing("second"), first)
            self.eventually(lambda: self.rules_in_force(second, self.nodes[:2]), "the second rules on live nodes")
        finally:
            frozen.resume()
        observed = []

        def second_in_force():
            for node in self.nodes[:2]:
                observed.append((node.name, self.rules_version(node)))
            return self.rules_in_force(second)

        self.eventually(second_in_force, "the second rules on the resumed node")
        node = self.nodes[0]
        node.kill()
        self.restart_node(node.name, node.zone)
        self.eventually(second_in_force, "the second rules on the restarted node")
        self.assertEqual([entry for entry in observed if entry[1] not in (second, None)], [])
        self.assertEqual([self.is_refused(each, "second") for each in self.nodes], [True] * 3)
        self.assertEqual([self.is_refused(each, "first") for each in self.nodes], [False] * 3)

    def test_two_operators_get_exactly_one_conflict(self):
        """Of two concurrent changes to one version, one must be refused with 409; otherwise an update is lost."""
        version = self.save_rules(self.nodes[0], rules_refusing("base"), 0)
        self.eventually(lambda: self.rules_in_force(version), "the rules on all nodes")
        for number in range(10):
            answers = support.run_concurrently(
                lambda node=node, name=name: self.put_rules(node, rules_refusing(f"{name}-{number}"), version)
                for node, name in zip(self.nodes[:2], ("left", "right")))
            self.assertEqual(sorted(status for status, _ in answers), [200, 409], answers)
            saved = next(body["version"] for status, body in answers if status == 200)
            self.assertGreater(saved, version, "the response to a save has the version from before the save")
            version = saved
            self.eventually(lambda: self.rules_in_force(version), "the rules of the first operator on all nodes")


if __name__ == "__main__":
    unittest.main()
