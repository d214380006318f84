"""Tests that a graceful shutdown neither truncates nor refuses requests and runs none twice."""

import contextlib
import http.client
import json
import signal
import threading
import time
import unittest

import support


class PlannedStopTest(support.FleetTestCase):
    """Restarts each node in turn with SIGTERM under load."""

    options = {"engine": {"slots": 4, "step-ms": 20}, "weight_store": {"load-ms": 100, "loads-per-second": 10},
               "services_per_zone": 1, "service_zones": ("maradana",)}

    def test_rolling_restart_truncates_no_request(self):
        """A load balancer that follows /readyz stops sending to the node; the node finishes accepted requests."""
        adapters = [f"tail-{index}@v1" for index in range(6)]
        load = self.start_load(self.nodes, adapters, callers=6, tokens=15)
        keyed = self.start_load(self.nodes, callers=2, kind=support.KeyedLoadGenerator)
        for name in list(self.fleet.nodes):
            node = self.fleet.nodes[name]
            before = load.started_count()
            self.eventually(lambda: load.started_count() >= before + 5, "running requests")
            node.popen.send_signal(signal.SIGTERM)
            # A load balancer removes the node only after its readiness fails; until then it gets new requests.
            self.eventually(lambda: not node.is_ready(), "failing readiness")
            load.nodes = keyed.nodes = [other for other in self.nodes if other is not node]
            status = node.wait(support.CONDITION_TIMEOUT_S)
            self.assertEqual(status, 0, f"exit status of {name}")
            self.restart_node(name, node.zone)
            load.nodes = keyed.nodes = self.nodes
        outcomes = load.finish()
        keyed_outcomes = keyed.finish()
        self.check_outcomes(outcomes)
        self.assertEqual([str(outcome) for outcome in outcomes + keyed_outcomes if not outcome.complete], [])
        executions = self.service_executions()
        self.assertEqual({outcome.key: executions.get(outcome.key) for outcome in keyed_outcomes},
                         {outcome.key: 1 for outcome in keyed_outcomes})


class LastRequestsTest(support.FleetTestCase):
    """Stops a node whose callers use open connections at any moment until it is gone."""

    # Short steps, since an engine runs a request from its next step on: a request that is cut off has then been run.
    STEP_S = 0.005
    TOKENS = 6
    # Longer than a request, so that the node finds that none is in flight.
    INTERVAL_S = 0.05
    FIRST_S, LAST_S = 0.9, 1.6
    options = {"engine": {"slots": 4, "step-ms": int(1000 * STEP_S)}}

    def call(self, connection, request_id, at, results):
        """Sends a request on an open connection at a time; records the status of its answer once that is complete."""
        time.sleep(max(0.0, at - time.monotonic()))
        body = json.dumps({"model": "base/tail-0@v1", "prompt": request_id, "max_tokens": self.TOKENS})
        headers = {"x-deadline-ms": "5000", "x-caller-id": "caller"}
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", "/v1/completions", body, headers)
            response = connection.getresponse()
            response.read()
            results[request_id] = response.status

    def test_request_in_the_last_moment_is_not_sent_on_and_cut_off(self):
        """After its last look at the requests in flight, a node must not read any more that it cannot answer."""
        self.assertTrue(self.warm_up("tail-0@v1"))
        executed_before = sum(self.engine_executions().values())
        results = {}
        for node in self.nodes:
            count = int((self.LAST_S - self.FIRST_S) / self.INTERVAL_S)
            connections = [http.client.HTTPConnection("127.0.0.1", node.port, timeout=10) for _ in range(count)]
            for connection in connections:
                connection.connect()
            begin = time.monotonic()
            node.popen.send_signal(signal.SIGTERM)
            callers = [threading.Thread(target=self.call, args=(
                connection, f"late-{node.name}-{number}", begin + self.FIRST_S + self.INTERVAL_S * number, results))
                for number, connection in enumerate(connections)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            self.assertEqual(0, node.wait(support.CONDITION_TIMEOUT_S))
            self.restart_node(node.name, node.zone)
        served = sum(status == 200 for status in results.values())
        self.assertGreater(served, 0)
        self.assertEqual(served, sum(self.engine_executions().values()) - executed_before)


if __name__ == "__main__":
    unittest.main()
