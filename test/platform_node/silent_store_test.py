"""Tests entry nodes whose store falls silent: for some time, or on open connections for good while new ones work."""

import collections
import time
import unittest

import standin
from entry_node_case import CONFIGURATION, EntryNodeCase

# The rules of the platform: a machine is in touch again STABILITY_S after its store or its connections were disturbed,
# and from then on serves by a configuration that was acknowledged CONFIGURATION_S before.
STABILITY_S = 3.0
CONFIGURATION_S = 2.0
# Within this time, requests use a new version of an adapter.
VERSION_S = 5.0


class SilentStore(standin.Store):
    """A store whose connections can go silent: what arrives on them is neither answered nor reset."""

    def __init__(self):
        self.silent_connections = set()
        self.connections = set()
        self.is_silent = False
        # Watches that were begun, by kind.
        self.watches = collections.Counter()
        super().__init__()

    def process_request(self, request, client_address):
        self.connections.add(request)
        if self.is_silent:
            self.silent_connections.add(request)
        super().process_request(request, client_address)

    def watch(self, handler, kind, revision, wait_s):
        self.watches[kind] += 1
        return super().watch(handler, kind, revision, wait_s)

    def silence(self):
        """Silences all open connections for good."""
        self.silent_connections |= self.connections

    def begin_outage(self):
        """Silences the store on all connections, also on those that are made until `end_outage`."""
        self.is_silent = True
        self.silence()

    def end_outage(self):
        """Answers on connections that are made from now on."""
        self.is_silent = False

    def reply(self, handler, status, body=None):
        if handler.connection not in self.silent_connections:
            super().reply(handler, status, body)


class SilentStoreCase(EntryNodeCase):
    """Nodes before such a store."""

    STORE_TYPE = SilentStore

    @staticmethod
    def wait_until_in_touch(disturbed_at):
        """Waits until nodes have to serve by a configuration that was acknowledged just now."""
        bound = max(disturbed_at + STABILITY_S, time.monotonic() + CONFIGURATION_S)
        time.sleep(bound - time.monotonic())


class SilentStoreTest(SilentStoreCase):
    """One node before a store whose open connections go silent."""

    def test_change_is_read_on_new_connection_when_all_open_ones_are_silent(self):
        """A connection that goes silent must be given up, for watches and for calls, or changes are never seen."""
        self.start_fleet(1)
        for version in (2, 3, 4):
            path = f"/c{version}/"
            added_route = {**CONFIGURATION["routes"][0], "name": "c", "pathPrefix": path}
            self.store.silence()
            silenced_at = time.monotonic()
            self.store.put("config", "main", {
                **CONFIGURATION, "version": version, "routes": [*CONFIGURATION["routes"], added_route]})
            self.wait_until_in_touch(silenced_at)
            self.assertEqual(200, self.nodes[0].send_request(next(self.ids), "a0", path)[0])

    def time_until_version_is_known(self, version):
        """Silences all open connections as a watch of the versions has begun, names a version, and returns the time until
        the node knows it."""
        watches = self.store.watches["versions"]
        self.eventually(lambda: self.store.watches["versions"] > watches, "a watch begins")
        self.store.silence()
        begin = time.monotonic()
        self.store.put("versions", "m.a0", {"model": "m", "adapter": "a0", "version": version})
        line = f"event=version_announced adapter=m/a0 version={version}"
        self.eventually(lambda: line in self.read_log(self.nodes[0]), "the version is known")
        return time.monotonic() - begin

    def test_version_is_known_within_bound_when_its_watch_fell_silent(self):
        """A new version of an adapter must be known within its bound, also when the watch that waits for it is lost."""
        self.start_fleet(1)
        for version in (1, 2):
            self.assertLess(self.time_until_version_is_known(version), VERSION_S)

    def test_version_is_known_when_the_node_is_in_touch_again(self):
        """A watch on a silent connection must not be waited for once another watch of the node has shown the silence."""
        self.start_fleet(1)
        for version in range(1, 5):
            self.assertLess(self.time_until_version_is_known(version), STABILITY_S)

    def test_leaving_engine_gets_nothing_new_when_all_open_connections_are_silent(self):
        """An engine that reports on a new connection that it drains must get no requests after the bound."""
        self.start_fleet(1)
        self.store.silence()
        leaving = self.engines[0]
        leaving.publish_entry("draining")
        time.sleep(STABILITY_S + CONFIGURATION_S)
        before = len(leaving.executed)
        for number in range(8):
            self.nodes[0].send_request(next(self.ids), f"a{number}")
        self.assertEqual(before, len(leaving.executed))


class ReturnedStoreTest(SilentStoreCase):
    """Three nodes before a store that is silent for some time."""

    def put_configuration(self, version):
        """Writes a configuration with one route of its own; returns the path of the route."""
        path = f"/c{version}/"
        added_route = {**CONFIGURATION["routes"][0], "name": "c", "pathPrefix": path}
        self.store.put("config", "main", {
            **CONFIGURATION, "version": version, "routes": [*CONFIGURATION["routes"], added_route]})
        return path

    def check_added_route(self, version, outage_s):
        """Adds a route soon after an outage and checks that all nodes serve it when they are in touch again."""
        # The watches end in this order: versions, configuration, upstreams.
        self.store.put("versions", f"m.b{version}", {"model": "m", "adapter": f"b{version}", "version": 2})
        time.sleep(3.5)
        self.put_configuration(version)
        self.engines[0].publish_entry("ready")
        time.sleep(0.1)
        self.store.begin_outage()
        time.sleep(outage_s)
        self.store.end_outage()
        returned_at = time.monotonic()
        time.sleep(0.3)
        path = self.put_configuration(version + 1)
        self.wait_until_in_touch(returned_at)
        statuses = [node.send_request(next(self.ids), "a0", path)[0] for node in self.nodes]
        self.assertEqual([200] * len(self.nodes), statuses)

    def test_added_route_is_served_in_time_when_store_returns(self):
        """A call that began in the outage, or a watcher that waits for another one, must not delay the configuration."""
        self.start_fleet(3)
        for version, outage_s in ((2, 5.0), (4, 3.0), (6, 8.0)):
            with self.subTest(outage_s=outage_s):
                self.check_added_route(version, outage_s)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
