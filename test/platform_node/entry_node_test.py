"""Runs real entry nodes before stand-ins of the platform's store and engines."""

import contextlib
import http.client
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import standin  # noqa: E402

BINARY = pathlib.Path(os.environ["LAGOONSADDLE_BUILD"]) / "bin" / "lagoonsaddled"
CONDITION_TIMEOUT_S = 60.0
WHOLE = "".join(f"id: {number}\ndata: {{0}}\n\n" for number in range(1, standin.EVENTS + 1))
CONFIG = {"version": 1, "routes": [{
    "name": "r", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 1000,
    "maxAttempts": 1, "service": "llm"}],
    "services": [{"name": "llm", "maxConnections": 64,
                  "engine": {"adapterSlots": 2, "loadsPerS": 2, "models": [{"name": "m", "loadS": 1}]}}]}


def free_port():
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    """An entry node with an IP address of its own."""

    numbers = itertools.count(11)

    def __init__(self, store, name, ports, seeds):
        self.ip, self.name, self.ports = f"127.0.0.{next(self.numbers)}", name, ports
        self.seeds = seeds or [self.ip]
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            file.write(f"""// Settings of a test.
{{"name": "{name}", "availability_zone": "z", "listen_callers": "{self.ip}:{ports[0]}",
 "listen_readiness": "{self.ip}:{ports[1]}", "peer_port": {ports[2]}, "seeds": {str([s + ':1' for s in self.seeds]).replace("'", '"')},
 "store": "{store.address}", "upstreams_check_tokens": true, "lease_time_s": 3, "retry_ratio": 0.2, "retry_slack": 50,
 "retry_window_s": 10, "stop_timeout_s": 8}}""")
        self.settings = file.name
        self.log = tempfile.TemporaryFile("w+")
        self.start()

    def start(self):
        """Starts the process."""
        self.process = subprocess.Popen([BINARY, "entry", f"--settings={self.settings}"], stdout=self.log)

    def close(self):
        """Ends the process, which this object started."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        os.unlink(self.settings)

    def listening(self):
        """Tells whether the process accepts connections of callers."""
        with socket.socket() as probe:
            return probe.connect_ex((self.ip, self.ports[0])) == 0

    def ready(self):
        """Asks the readiness question."""
        try:
            connection = http.client.HTTPConnection(self.ip, self.ports[1], timeout=5)
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def call(self, request_id, adapter, path="/a/1"):
        """Sends a request; returns the status and the body, or None for a body that was cut."""
        connection = http.client.HTTPConnection(self.ip, self.ports[0], timeout=30)
        with contextlib.closing(connection):
            connection.request("POST", path, b"body", {
                "Host": "h", "X-Attempt-Id": request_id, "X-Model": f"m/{adapter}", "X-Token-Count": "10,4",
                "X-Deadline-Ms": "15000"})
            response = connection.getresponse()
            try:
                return response.status, response.read().decode()
            except http.client.IncompleteRead:
                return response.status, None


class EntryNodeTest(unittest.TestCase):
    """Each test starts its own store, engines and nodes."""

    def setUp(self):
        self.ids = (f"{number:016x}" for number in itertools.count(1))
        self.store = standin.Store()
        self.engines = [standin.Engine(self.store, f"i-{number}", "z") for number in range(2)]
        self.ports = [free_port() for _ in range(3)]
        self.nodes = []

    def tearDown(self):
        for node in self.nodes:
            node.close()
        for server in [self.store, *self.engines]:
            server.shutdown()
            server.server_close()
        self.assertEqual([], [fault for engine in self.engines for fault in engine.faults])

    def add_node(self):
        """Starts a node; all nodes join through the first."""
        seeds = [self.nodes[0].ip] if self.nodes else None
        self.nodes.append(Node(self.store, f"n{len(self.nodes)}", self.ports, seeds))
        self.eventually(self.nodes[-1].listening, "the node listens")
        return self.nodes[-1]

    def eventually(self, condition, what):
        """Waits until a condition holds."""
        end = time.monotonic() + CONDITION_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        self.fail(f"never: {what}")

    def served(self, node, adapter):
        """Tells whether a request of an adapter is served whole."""
        return node.call(next(self.ids), adapter) == (200, WHOLE.format(adapter))

    def start_fleet(self, size):
        """Starts nodes and the configuration, and waits until cold adapters are loaded."""
        self.store.put("config", "main", CONFIG)
        for _ in range(size):
            self.add_node()
        for node in self.nodes:
            self.eventually(node.ready, "ready")
            self.eventually(lambda node=node: self.served(node, "a0"), "served")

    def test_start_without_configuration_answers_503_until_it_is_known(self):
        """Guards against a 404 for routes that exist, from a node that has read nothing yet."""
        node = self.add_node()
        self.eventually(lambda: node.call(next(self.ids), "a1")[0] == 503, "answers 503")
        self.assertFalse(node.ready())
        self.store.put("config", "main", CONFIG)
        self.eventually(node.ready, "ready")
        self.eventually(lambda: self.served(node, "a1"), "served")
        self.assertEqual(404, node.call(next(self.ids), "a1", "/b/1")[0])

    def test_more_adapters_than_places_all_are_served_once(self):
        """Guards against orders past the places, evictions in use, and requests that run twice."""
        self.start_fleet(2)
        outcomes = []

        def call(node, adapter):
            outcomes.append((adapter, node.call(next(self.ids), adapter)))

        threads = [threading.Thread(target=call, args=(self.nodes[number % 2], f"a{number % 7}"))
                   for number in range(28)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        whole = [adapter for adapter, (status, body) in outcomes if status == 200 and body == WHOLE.format(adapter)]
        refused = [status for _, (status, _) in outcomes if status == 503]
        self.assertEqual(len(outcomes), len(whole) + len(refused))
        self.assertGreaterEqual(len(whole), 14)
        ran = [request_id for engine in self.engines for request_id, _ in engine.ran]
        self.assertEqual(len(ran), len(set(ran)))

    def test_holder_killed_successor_orders_with_higher_token(self):
        """Guards against a zone without loads, and against two nodes that order under one token."""
        self.start_fleet(2)
        holder = self.store.objects[("load-leases", "z")]["spec"]["holder"]
        killed = next(node for node in self.nodes if node.name == holder)
        other = next(node for node in self.nodes if node.name != holder)
        killed.process.kill()
        self.eventually(lambda: self.served(other, "b1"), "a cold adapter is served by the successor")
        tokens = {}
        for engine in self.engines:
            for name, token in engine.holders:
                self.assertEqual(name, tokens.setdefault(token, name))

    def test_terminate_running_stream_ends_whole(self):
        """Guards against a planned stop that cuts requests, or leaves the node in rotation."""
        self.start_fleet(1)
        node = self.nodes[0]
        for engine in self.engines:
            engine.event_pause_s = 0.5
        results = []
        caller = threading.Thread(target=lambda: results.append(node.call(next(self.ids), "a0")))
        before = sum(len(engine.ran) for engine in self.engines)
        caller.start()
        self.eventually(lambda: sum(len(engine.ran) for engine in self.engines) > before, "the request runs")
        node.process.send_signal(signal.SIGTERM)
        self.eventually(lambda: not node.ready(), "not ready")
        caller.join()
        self.assertEqual([(200, WHOLE.format("a0"))], results)
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))
        self.assertEqual("", self.store.objects[("load-leases", "z")]["spec"]["holder"])

    def test_store_down_goes_on_and_takes_up_changes_after(self):
        """Guards against an outage of the store that stops requests, and against changes missed in it."""
        self.start_fleet(1)
        node = self.nodes[0]
        self.store.down = True
        self.assertTrue(self.served(node, "a0"))
        self.store.put("config", "main", {**CONFIG, "version": 5, "routes": [
            {**CONFIG["routes"][0], "pathPrefix": "/c/"}]})
        self.store.down = False
        self.eventually(lambda: node.call(next(self.ids), "a0", "/c/1")[0] == 200, "the new route")
        self.assertEqual(404, node.call(next(self.ids), "a0")[0])

    def test_engine_leaves_gets_no_new_requests(self):
        """Guards against new work for an engine that is leaving."""
        self.start_fleet(1)
        leaving, staying = self.engines
        leaving.beat("draining")
        self.eventually(lambda: "event=upstream_leaving" in self.read_log(self.nodes[0]), "the node knows it")
        before = len(leaving.ran)
        for number in range(8):
            self.eventually(lambda number=number: self.served(self.nodes[0], f"c{number}"), "served")
        self.assertEqual(before, len(leaving.ran))
        self.assertGreaterEqual(len(staying.ran), 8)

    @staticmethod
    def read_log(node):
        """Returns what a node has logged."""
        node.log.flush()
        with open(f"/proc/self/fd/{node.log.fileno()}", encoding="utf-8") as file:
            return file.read()


if __name__ == "__main__":
    unittest.main(warnings="ignore")
