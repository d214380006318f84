"""Tests entry nodes while the platform's store comes back from a copy that lacks its latest writes."""

import signal
import time
import unittest

from entry_node_case import CONFIGURATION, EntryNodeCase

ADDED_PATH = "/c/"
NEWER_CONFIGURATION = {**CONFIGURATION, "version": 5, "routes": [
    *CONFIGURATION["routes"], {**CONFIGURATION["routes"][0], "name": "c", "pathPrefix": ADDED_PATH}]}
# Longer than the longest watch of a node, so that each watcher has seen the revision of the last write.
WATCH_ROUND_S = 6.0
LOST_WRITES = 6


class StoreRestoreCase(EntryNodeCase):
    """Helpers of the tests below."""

    def write_entries(self, count):
        """Lets an engine write its entry a number of times."""
        for _ in range(count):
            self.engines[0].publish_entry("ready")

    def status_of_added_route(self, node):
        """Returns the status of a request on the route that only the newer configuration has."""
        return node.send_request(next(self.ids), "a0", f"{ADDED_PATH}1")[0]


class ReissuedRevisionsTest(StoreRestoreCase):
    """The store issues the last revision of a node again while the node does not reach it."""

    def test_configuration_below_last_revision_comes_into_force(self):
        """A change that was written under a revision that the node has already seen must not be skipped."""
        self.start_fleet(1)
        node = self.nodes[0]
        copy = self.store.copy()
        self.write_entries(LOST_WRITES)
        time.sleep(WATCH_ROUND_S)
        self.store.unavailable = True
        self.eventually(lambda: "event=store_lost" in self.read_log(node), "the node misses the store")
        self.store.restore(copy)
        self.store.put("config", "main", NEWER_CONFIGURATION)
        self.write_entries(LOST_WRITES)
        self.store.unavailable = False
        self.eventually(lambda: self.status_of_added_route(node) == 200, "the added route is served")


class StartOnCopyTest(StoreRestoreCase):
    """A node starts while the store has an older configuration than its peers."""

    def test_started_node_serves_newest_configuration(self):
        """A node must not answer 404 by a configuration that was replaced before it started."""
        self.start_fleet(2)
        copy = self.store.copy()
        self.store.put("config", "main", NEWER_CONFIGURATION)
        for node in self.nodes:
            self.eventually(lambda node=node: self.status_of_added_route(node) == 200, "the added route is served")
        self.store.restore(copy)
        started = self.nodes[1]
        started.process.kill()
        started.process.wait()
        started.start()
        self.eventually(started.is_listening, "the node listens")
        statuses = []
        self.eventually(lambda: statuses.append(self.status_of_added_route(started)) or statuses[-1] in (200, 404),
                        "the node answers by a configuration")
        self.assertNotIn(404, statuses)


class ForgottenLeaseTest(StoreRestoreCase):
    """The store forgets the change of a lease's holder."""

    def test_successors_of_paused_holder_order_under_different_tokens(self):
        """Two nodes must never order loads under one fencing token, and loads must go on."""
        self.start_fleet(3)
        holder = self.store.objects[("load-leases", "z")]["spec"]["holder"]
        paused = next(node for node in self.nodes if node.name == holder)
        others = [node for node in self.nodes if node is not paused]
        copy = self.store.copy()
        paused.process.send_signal(signal.SIGSTOP)
        try:
            self.eventually(lambda: self.is_served(others[0], "b0"), "a successor orders loads")
            successor = self.store.objects[("load-leases", "z")]["spec"]["holder"]
            self.store.restore(copy)
            started = next(node for node in others if node.name != successor)
            started.process.kill()
            started.process.wait()
            started.start()
            self.eventually(started.is_listening, "the node listens")
            for number in range(4):
                for node in others:
                    adapter = f"c{number}-{node.name}"
                    self.eventually(lambda node=node, adapter=adapter: self.is_served(node, adapter),
                                    "a cold adapter is served")
        finally:
            paused.process.send_signal(signal.SIGCONT)
        self.assert_tokens_are_unique()

    def assert_tokens_are_unique(self):
        """Checks that no fencing token was used by two holders."""
        holders = {}
        for engine in self.engines:
            for name, token in engine.order_holders:
                self.assertEqual(name, holders.setdefault(token, name), f"holders of token {token}")


if __name__ == "__main__":
    unittest.main(warnings="ignore")
