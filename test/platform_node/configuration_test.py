"""Tests which configurations come into force on entry nodes, and from where they get them."""

import time
import unittest

import standin
from entry_node_case import CONFIGURATION, EntryNodeCase

ROUTE = CONFIGURATION["routes"][0]
# Time after which a node gives up a call to its store.
STORE_CALL_TIMEOUT_S = 0.7


def configuration(version, *routes):
    """Returns a configuration with the usual routes and others."""
    return {**CONFIGURATION, "version": version, "routes": [*CONFIGURATION["routes"], *routes]}


class StoreView(standin.Server):
    """Serves the data of a store, unless it is silent: then it swallows calls."""

    present = staticmethod(standin.Store.present)

    def __init__(self, store):
        self.store, self.is_silent = store, False
        super().__init__()

    def respond(self, handler, body):
        send = handler.reply
        handler.reply = lambda *arguments: None if self.is_silent else send(*arguments)
        if not self.is_silent:
            self.store.respond(handler, body)


class AnnouncedConfigurationTest(EntryNodeCase):
    """Two nodes, of which the second one reaches the store through a view of its own."""

    def store_of_next_node(self):
        if not self.nodes:
            return self.store
        self.view = StoreView(self.store)
        return self.view

    def tearDown(self):
        super().tearDown()
        self.view.shutdown()
        self.view.server_close()

    def test_node_gets_announced_version_without_wait_for_its_silent_store(self):
        """A node that hears of a version must get it from a peer before its own call to the store has failed."""
        self.start_fleet(2)
        self.view.is_silent = True
        self.store.put("config", "main", configuration(2, {**ROUTE, "name": "c", "pathPrefix": "/c/"}))
        first, second = self.nodes
        self.eventually(lambda: first.send_request(next(self.ids), "a0", "/c/1")[0] == 200, "the peer has the version")
        begin = time.monotonic()
        self.eventually(lambda: second.send_request(next(self.ids), "a0", "/c/1")[0] == 200, "the node has the version")
        self.assertLess(time.monotonic() - begin, STORE_CALL_TIMEOUT_S)


class ConfigurationContentTest(EntryNodeCase):
    """One node before a store whose configurations have unusual content."""

    def test_invalid_configuration_leaves_the_last_valid_one_in_force(self):
        """An invalid configuration must not replace a valid one, nor keep the next one from coming into force."""
        self.start_fleet(1)
        node = self.nodes[0]
        invalid = [{"version": 5, "routes": {}, "services": []}, {"version": 5, "routes": []},
                   {**CONFIGURATION, "version": None}, {**CONFIGURATION, "version": -5}]
        for number, value in enumerate(invalid, 1):
            self.store.put("config", "main", value)
            self.eventually(lambda number=number: self.read_log(node).count("event=configuration_refused") == number,
                            "the configuration is refused")
            self.assertTrue(self.is_served(node, "a0"))
        self.store.put("config", "main", configuration(6, {**ROUTE, "name": "c", "pathPrefix": "/c/"}))
        self.eventually(lambda: node.send_request(next(self.ids), "a0", "/c/1")[0] == 200, "the valid one is in force")
        self.assertNotRegex(self.read_log(node), r"event=configuration version=[2-5] ")

    def test_route_that_leads_nowhere_costs_only_itself(self):
        """A route without a host or a service must not take the others out of service, nor be taken for missing."""
        nowhere = {**ROUTE, "name": "s", "pathPrefix": "/s/", "service": None}
        self.CONFIGURATION = configuration(1, nowhere)
        self.start_fleet(1)
        node = self.nodes[0]
        self.store.put("config", "main", configuration(
            2, {**ROUTE, "name": "h", "host": None}, nowhere, "route", {**ROUTE, "name": "c", "pathPrefix": "/c/"}))
        self.eventually(lambda: node.send_request(next(self.ids), "a0", "/c/1")[0] == 200, "the sound route is served")
        self.assertTrue(self.is_served(node, "a0"))
        self.assertEqual(503, node.send_request(next(self.ids), "a0", "/s/1")[0])

    def test_longest_time_of_a_route_leaves_it_served(self):
        """A time beyond the range of the clock must not end requests before they have begun."""
        self.start_fleet(1)
        self.store.put("config", "main", configuration(
            2, {**ROUTE, "name": "c", "pathPrefix": "/c/", "timeoutMs": 10 ** 13, "targetLatencyMs": 10 ** 13}))
        self.eventually(
            lambda: self.nodes[0].send_request(next(self.ids), "a0", "/c/1", deadline_ms=None)[0] == 200,
            "the added route is served")


if __name__ == "__main__":
    unittest.main(warnings="ignore")
