"""Entry node processes and the base class of their tests against stand-ins for the platform."""

import contextlib
import http.client
import itertools
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import standin  # noqa: E402
from addresses import node_address, node_ports  # noqa: E402

BINARY = pathlib.Path(os.environ["LAGOONSADDLE_BUILD"]) / "bin" / "lagoonsaddled"
CONDITION_TIMEOUT_S = 60.0
# Lines of the logs that a failed test prints for each node: the last of all, and the last that tell what it believes.
LOG_LINES_SHOWN = 15
STATE_LINES_SHOWN = 40
REQUEST_EVENTS = ("event=request ", "event=sent ", "event=attempt ", "event=load ", "event=placed ", "event=relay ",
                  "event=order ", "event=log_lines_dropped ")
COMPLETE_STREAM = "".join(f"id: {number}\ndata: {{0}}\n\n" for number in range(1, standin.EVENTS_PER_STREAM + 1))
CONFIGURATION = {"version": 1, "routes": [{
    "name": "r", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 1000,
    "maxAttempts": 1, "service": "llm"}],
    "services": [{"name": "llm", "maxConnections": 64,
                  "engine": {"adapterSlots": 2, "loadsPerS": 2, "models": [{"name": "m", "loadS": 1}]}}]}


def send_request(address, request_id, adapter, path="/a/1", parts=(), deadline_ms=15000):
    """Sends a request to a node with a prompt of the given shared parts and one of its own; without a deadline when it
    is None. Returns the status and the body, which is None when the body was truncated."""
    headers = {"Host": "h", "X-Attempt-Id": request_id, "X-Model": f"m/{adapter}", "X-Token-Count": "10,4",
               "X-Prompt-Prefix": ",".join(f"{part}:5" for part in [*parts, request_id])}
    if deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    connection = http.client.HTTPConnection(*address, timeout=30)
    with contextlib.closing(connection):
        connection.request("POST", path, request_id.encode(), headers)
        response = connection.getresponse()
        try:
            return response.status, response.read().decode()
        except http.client.IncompleteRead:
            return response.status, None


class Node:
    """An entry node process with its own loopback address."""

    address_numbers = itertools.count(11)

    def __init__(self, store, name, ports, seeds):
        self.ip, self.name, self.ports = node_address(next(self.address_numbers)), name, ports
        self.seeds = seeds or [self.ip]
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            file.write(f"""// Settings of a test.
{{"name": "{name}", "availability_zone": "z", "listen_callers": "{self.ip}:{ports[0]}",
 "listen_readiness": "{self.ip}:{ports[1]}", "peer_port": {ports[2]}, "seeds": {str([s + ':1' for s in self.seeds]).replace("'", '"')},
 "store": "{store.address}", "upstreams_check_tokens": true, "lease_time_s": 3, "retry_ratio": 0.2, "retry_slack": 50,
 "retry_window_s": 10, "stop_timeout_s": 8}}""")
        self.settings = file.name
        self.binary = BINARY
        self.log = tempfile.TemporaryFile("w+")
        self.start()

    def start(self):
        """Starts the node process."""
        self.process = subprocess.Popen([self.binary, "entry", f"--settings={self.settings}"], stdout=self.log)

    def read_log(self):
        """Returns the log output so far."""
        self.log.flush()
        with open(f"/proc/self/fd/{self.log.fileno()}", encoding="utf-8", errors="replace") as file:
            return file.read()

    def describe(self):
        """Returns how the process has ended, if it has, and the last lines of its log."""
        lines = self.read_log().splitlines()
        state = [line for line in lines if not any(event in line for event in REQUEST_EVENTS)]
        status = self.process.poll()
        return "\n".join([f"{self.name}: {'running' if status is None else f'ended with {status}'}, {len(lines)} lines",
                          *state[-STATE_LINES_SHOWN:], f"{self.name}: last lines", *lines[-LOG_LINES_SHOWN:]])

    def close(self):
        """Kills the process if it still runs and removes its files."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        os.unlink(self.settings)

    def is_listening(self):
        """Returns whether the caller port accepts connections."""
        with socket.socket() as probe:
            return probe.connect_ex((self.ip, self.ports[0])) == 0

    def is_ready(self):
        """Returns whether the readiness endpoint answers 200."""
        try:
            connection = http.client.HTTPConnection(self.ip, self.ports[1], timeout=5)
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def send_request(self, *arguments, **options):
        """Calls `send_request` with the caller address of this node."""
        return send_request((self.ip, self.ports[0]), *arguments, **options)


class EntryNodeCase(unittest.TestCase):
    """Each test starts its own store, engines and nodes."""

    STORE_TYPE = standin.Store
    ENGINE_TYPE = standin.Engine
    ENGINE_COUNT = 2
    CONFIGURATION = CONFIGURATION

    def run(self, result=None):
        """Runs the test; prints what its nodes were doing when it has failed."""
        self.descriptions = []
        failures = result and len(result.failures) + len(result.errors)
        outcome = super().run(result)
        if result and len(result.failures) + len(result.errors) > failures:
            print(f"{self.id()}: nodes at the end", *self.descriptions, sep="\n", flush=True)
        return outcome

    def setUp(self):
        self.ids = map("{:016x}".format, itertools.count(1))
        self.store = self.STORE_TYPE()
        self.engines = [self.ENGINE_TYPE(self.store, f"i-{number}", "z") for number in range(self.ENGINE_COUNT)]
        self.ports = node_ports()
        self.nodes = []

    def tearDown(self):
        self.descriptions = [node.describe() for node in self.nodes]
        for node in self.nodes:
            node.close()
        for server in [self.store, *self.engines]:
            server.shutdown()
            server.server_close()
        self.assertEqual([], [violation for engine in self.engines for violation in engine.violations])

    def store_of_next_node(self):
        """Returns the store that the next node uses."""
        return self.store

    def add_node(self):
        """Starts a node with the first node as its seed."""
        seeds = [self.nodes[0].ip] if self.nodes else None
        self.nodes.append(Node(self.store_of_next_node(), f"n{len(self.nodes)}", self.ports, seeds))
        self.eventually(self.nodes[-1].is_listening, "the node listens")
        return self.nodes[-1]

    def eventually(self, condition, what):
        """Waits until a condition holds; fails the test after CONDITION_TIMEOUT_S."""
        end = time.monotonic() + CONDITION_TIMEOUT_S
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        self.fail(f"timed out waiting until {what}")

    def is_served(self, node, adapter):
        """Returns whether a request for an adapter gets the complete stream."""
        return node.send_request(next(self.ids), adapter) == (200, COMPLETE_STREAM.format(adapter))

    def start_fleet(self, size):
        """Writes the configuration, starts nodes and waits until each is ready and serves an adapter."""
        self.store.put("config", "main", self.CONFIGURATION)
        for _ in range(size):
            self.add_node()
        for node in self.nodes:
            self.eventually(node.is_ready, "the node is ready")
            self.eventually(lambda node=node: self.is_served(node, "a0"), "the adapter is served")

    @staticmethod
    def read_log(node):
        """Returns the log output of a node."""
        return node.read_log()
