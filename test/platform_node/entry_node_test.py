"""Tests entry node processes against stand-ins for the platform's object store and engines."""

import signal
import threading
import unittest

from entry_node_case import COMPLETE_STREAM, CONDITION_TIMEOUT_S, CONFIGURATION, EntryNodeCase


class EntryNodeTest(EntryNodeCase):
    """Each test starts its own store, engines and nodes."""

    def test_start_without_configuration_answers_503_until_it_is_known(self):
        """A node that has not read the configuration yet must not answer 404 for routes that exist."""
        node = self.add_node()
        self.eventually(lambda: node.send_request(next(self.ids), "a1")[0] == 503, "the node answers 503")
        self.assertFalse(node.is_ready())
        self.store.put("config", "main", CONFIGURATION)
        self.eventually(node.is_ready, "the node is ready")
        self.eventually(lambda: self.is_served(node, "a1"), "the adapter is served")
        self.assertEqual(404, node.send_request(next(self.ids), "a1", "/b/1")[0])

    def test_more_adapters_than_slots_no_request_is_executed_twice(self):
        """Checks that no engine gets more loads than slots, that no adapter in use is evicted, and that no request
        is executed twice."""
        self.start_fleet(2)
        outcomes = []

        def call(node, adapter):
            outcomes.append((adapter, node.send_request(next(self.ids), adapter)))

        threads = [threading.Thread(target=call, args=(self.nodes[number % 2], f"a{number % 7}"))
                   for number in range(28)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        complete = [adapter for adapter, (status, body) in outcomes
                    if status == 200 and body == COMPLETE_STREAM.format(adapter)]
        refused = [status for _, (status, _) in outcomes if status == 503]
        self.assertEqual(len(outcomes), len(complete) + len(refused))
        self.assertGreaterEqual(len(complete), 14)
        executed = [request_id for engine in self.engines for request_id, _ in engine.executed]
        self.assertEqual(len(executed), len(set(executed)))

    def test_holder_killed_successor_orders_with_new_token(self):
        """After the lease holder dies, another node must order loads, and never under the same fencing token."""
        self.start_fleet(2)
        holder = self.store.objects[("load-leases", "z")]["spec"]["holder"]
        killed = next(node for node in self.nodes if node.name == holder)
        other = next(node for node in self.nodes if node.name != holder)
        killed.process.kill()
        self.eventually(lambda: self.is_served(other, "b1"), "a cold adapter is served by the successor")
        tokens = {}
        for engine in self.engines:
            for name, token in engine.order_holders:
                self.assertEqual(name, tokens.setdefault(token, name))

    def test_terminate_running_stream_completes(self):
        """A graceful shutdown must not truncate running streams, and must turn readiness off."""
        self.start_fleet(1)
        node = self.nodes[0]
        for engine in self.engines:
            engine.event_interval_s = 0.5
        results = []
        caller = threading.Thread(target=lambda: results.append(node.send_request(next(self.ids), "a0")))
        before = sum(len(engine.executed) for engine in self.engines)
        caller.start()
        self.eventually(lambda: sum(len(engine.executed) for engine in self.engines) > before, "the request runs")
        node.process.send_signal(signal.SIGTERM)
        self.eventually(lambda: not node.is_ready(), "the node is not ready")
        caller.join()
        self.assertEqual([(200, COMPLETE_STREAM.format("a0"))], results)
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))
        self.assertEqual("", self.store.objects[("load-leases", "z")]["spec"]["holder"])

    def test_store_unavailable_serves_and_applies_changes_after(self):
        """A store outage must not stop requests, and changes made during the outage must be applied after it."""
        self.start_fleet(1)
        node = self.nodes[0]
        self.store.unavailable = True
        self.assertTrue(self.is_served(node, "a0"))
        self.store.put("config", "main", {**CONFIGURATION, "version": 5, "routes": [
            {**CONFIGURATION["routes"][0], "pathPrefix": "/c/"}]})
        self.store.unavailable = False
        self.eventually(lambda: node.send_request(next(self.ids), "a0", "/c/1")[0] == 200, "the new route is served")
        self.assertEqual(404, node.send_request(next(self.ids), "a0")[0])

    def test_draining_engine_gets_no_new_requests(self):
        """An engine that is draining must get no new requests."""
        self.start_fleet(1)
        draining, staying = self.engines
        draining.publish_entry("draining")
        self.eventually(lambda: "event=upstream_leaving" in self.read_log(self.nodes[0]),
                        "the node logs upstream_leaving")
        before = len(draining.executed)
        for number in range(8):
            self.eventually(lambda number=number: self.is_served(self.nodes[0], f"c{number}"), "the adapter is served")
        self.assertEqual(before, len(draining.executed))
        self.assertGreaterEqual(len(staying.executed), 8)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
