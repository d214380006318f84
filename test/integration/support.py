"""Callers, checks and the base test case that the integration tests share."""

import concurrent.futures
import http.client
import itertools
import json
import pathlib
import sys
import threading
import unittest
from dataclasses import dataclass, field

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import fleet  # noqa: E402

CONDITION_TIMEOUT_S = 60.0
DEADLINE_MS = 15_000
VERDICTS = ("not_run", "may_have_run", "ran")


@dataclass
class Outcome:
    """The request of a caller and the response, as far as the caller received it."""

    target: str
    prompt: str = ""
    tokens: int = 0
    key: str = ""
    status: int = 0
    headers: dict = field(default_factory=dict)
    text: str = ""
    error: dict = None
    complete: bool = False
    connection_error: str = ""
    node: str = ""

    @property
    def verdict(self):
        """Returns the verdict that the caller received; empty when the connection broke before it."""
        if self.error:
            return self.error.get("verdict", "")
        return "ran" if self.complete else ""

    @property
    def request_id(self):
        """Returns the request id that the node assigned."""
        return self.error.get("request_id", "") if self.error else self.headers.get("x-request-id", "")

    def __str__(self):
        return (f"{self.target} key={self.key} status={self.status} verdict={self.verdict} error={self.error} "
                f"connection_error={self.connection_error} text={self.text[:80]!r}")


def read_stream(outcome, text):
    """Parses the events of a stream into the outcome; complete only with the closing event and the end marker."""
    closing, has_end_marker, parts = None, False, []
    for event in text.split("\n\n"):
        data = "\n".join(line[6:] for line in event.split("\n") if line.startswith("data: "))
        if not data:
            continue
        if data == "[DONE]":
            has_end_marker = True
            continue
        value = json.loads(data)
        if "error" in value:
            outcome.error = value["error"]
        elif "lagoonsaddle" in value:
            closing = value["lagoonsaddle"]
        else:
            parts += [choice.get("text", "") for choice in value["choices"]]
    outcome.text = "".join(parts)
    if closing is not None:
        outcome.headers["x-adapter"] = closing["adapter"]
    outcome.complete = has_end_marker and closing is not None and closing["verdict"] == "ran" and outcome.error is None


def send(node, path, body, headers, outcome, streamed=False, timeout=60.0):
    """Sends one request and fills in its outcome; a broken connection is recorded there and does not raise."""
    connection = http.client.HTTPConnection("127.0.0.1", node.port, timeout=timeout)
    try:
        connection.request("POST", path, json.dumps(body), headers)
        response = connection.getresponse()
        outcome.status = response.status
        outcome.headers = {name.lower(): value for name, value in response.getheaders()}
        text = response.read().decode()
        if outcome.status == 200 and streamed:
            read_stream(outcome, text)
            return outcome
        value = json.loads(text)
        if outcome.status != 200:
            outcome.error = value["error"]
            return outcome
        outcome.text = value["choices"][0]["text"] if "choices" in value else text
        outcome.complete = True
    except (OSError, http.client.HTTPException, ValueError) as failure:
        outcome.connection_error = repr(failure)
    finally:
        connection.close()
    return outcome


def send_completion(node, adapter, prompt, tokens=8, streamed=False, deadline_ms=DEADLINE_MS, headers=None):
    """Sends a completion request for `adapter@version`; returns the outcome."""
    outcome = Outcome(target=adapter, prompt=prompt, tokens=tokens)
    body = {"model": f"base/{adapter}", "prompt": prompt, "max_tokens": tokens, "stream": streamed}
    fields = {"x-deadline-ms": str(deadline_ms), "x-caller-id": "caller", **(headers or {})}
    return send(node, "/v1/completions", body, fields, outcome, streamed)


def call_service(node, key, body=None, service="scheduling", deadline_ms=DEADLINE_MS):
    """Sends a non-idempotent call with an idempotency key to a plain service; returns the outcome."""
    outcome = Outcome(target=service, key=key)
    fields = {"x-deadline-ms": str(deadline_ms), "x-caller-id": "caller", "x-non-idempotent": "true",
              "idempotency-key": key}
    return send(node, f"/v1/services/{service}/run", {"key": key} if body is None else body, fields, outcome)


def run_concurrently(calls):
    """Runs all calls concurrently; returns their results in the order of the calls."""
    calls = list(calls)
    with concurrent.futures.ThreadPoolExecutor(max(len(calls), 1)) as pool:
        return [future.result() for future in [pool.submit(call) for call in calls]]


class LoadGenerator:
    """Concurrent callers, each of which sends completion requests in sequence until `finish`."""

    def __init__(self, nodes, adapters, callers=6, tokens=12, pause_s=0.05):
        self.nodes = list(nodes)
        self.adapters = list(adapters)
        self.tokens = tokens
        self.pause_s = pause_s
        self.request_numbers = itertools.count()
        self.started = 0
        self.open_requests = set()
        self.stopping = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(callers)
        self.futures = [self.pool.submit(self._run_caller) for _ in range(callers)]

    def send_request(self, node, number):
        """Sends request `number` to a node; returns the outcome."""
        adapter = self.adapters[number % len(self.adapters)]
        return send_completion(node, adapter, f"prompt {number}", self.tokens, number // len(self.adapters) % 2 == 0)

    def _run_caller(self):
        outcomes = []
        while not self.stopping.is_set():
            number = next(self.request_numbers)
            self.open_requests.add(number)
            self.started = number + 1
            nodes = list(self.nodes)
            node = nodes[number % len(nodes)]
            outcome = self.send_request(node, number)
            self.open_requests.discard(number)
            outcome.node = node.name
            outcomes.append(outcome)
            self.stopping.wait(self.pause_s)
        return outcomes

    def started_count(self):
        """Returns the number of requests started so far."""
        return self.started

    def have_ended(self, count):
        """Returns whether the first `count` requests have ended."""
        return all(number >= count for number in list(self.open_requests))

    def finish(self):
        """Stops the callers; returns the outcomes of all requests."""
        self.stopping.set()
        outcomes = [outcome for future in self.futures for outcome in future.result()]
        self.pool.shutdown()
        return outcomes


class KeyedLoadGenerator(LoadGenerator):
    """Callers of a plain service with non-idempotent calls, each with a unique key."""

    def __init__(self, nodes, callers=2):
        super().__init__(nodes, [], callers)

    def send_request(self, node, number):
        return call_service(node, f"key-{number}")


class FleetTestCase(unittest.TestCase):
    """Base test case that starts a fleet per test: by default one node and one engine in each of three zones."""

    options = {}

    def setUp(self):
        values = {"engines_per_zone": 1, "services_per_zone": 0, **self.options}
        self.fleet = fleet.Fleet(fleet.FleetOptions(**values))
        self.addCleanup(self._stop)
        self.fleet.start()
        self.nodes = list(self.fleet.nodes.values())
        self.engines = list(self.fleet.engines.values())
        self.services = list(self.fleet.services.values())
        self._digests = {}
        self._reference = self.fleet.add_reference_engine()

    def start_load(self, *arguments, kind=LoadGenerator, **options):
        """Starts a load generator whose callers stop with the test, also when the test fails before `finish`."""
        load = kind(*arguments, **options)
        self.addCleanup(load.stopping.set)
        return load

    def _stop(self):
        result = self._outcome.result
        self.fleet.stop(keep_logs=any(test is self for test, _ in [*result.failures, *result.errors]))

    def eventually(self, condition, what):
        """Waits for a true value and returns it; fails the test after CONDITION_TIMEOUT_S."""
        try:
            return fleet.wait_until(condition, CONDITION_TIMEOUT_S, what)
        except TimeoutError as failure:
            self.fail(str(failure))

    def digest(self, prompt):
        """Returns the digest of a prompt that engines write into each token."""
        if prompt not in self._digests:
            body = {"model": "reference@v1", "prompt": prompt, "max_tokens": 1}
            answer = fleet.request_json(self._reference.port, "POST", "/v1/completions", body)[2]
            self._digests[prompt] = answer["choices"][0]["text"].split("/")[1]
        return self._digests[prompt]

    def expected_text(self, outcome):
        """Returns the complete text that the adapter generates for the prompt."""
        digest = self.digest(outcome.prompt)
        return "".join(f"{outcome.target}/{digest}/{index} " for index in range(outcome.tokens))

    def owner(self, upstream):
        """Returns the name of the owner of an upstream by the ownership object, or None."""
        zone = {**self.fleet.engines, **self.fleet.services}[upstream].zone
        return self.fleet.owners(zone).get(upstream)

    def counters(self, upstream):
        """Returns the counters of an upstream; waits for its restart when it is down."""
        def read():
            try:
                return upstream.counters()
            except OSError:
                return None
        return self.eventually(read, f"counters of {upstream.name}")

    def engine_executions(self):
        """Returns the execution counts of all engines by attempt id."""
        counts = {}
        for engine in self.engines:
            counts.update(self.counters(engine)["executions"])
        return counts

    def service_executions(self):
        """Returns the execution counts of all services by idempotency key."""
        counts = {}
        for service in self.services:
            for key, count in self.counters(service)["executions"].items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def check_outcomes(self, outcomes, broken_nodes=()):
        """Checks the invariants I1 to I4 over all outcomes.

        Each outcome has a verdict, each complete response is the expected one, no request with the verdict `not_run`
        was executed, and no adapter in use was evicted.

        Only callers of `broken_nodes` may see a broken connection.
        """
        executions = self.engine_executions()
        for outcome in outcomes:
            if outcome.connection_error:
                self.assertIn(outcome.node, broken_nodes, f"connection broke without a verdict: {outcome}")
                continue
            self.assertIn(outcome.verdict, VERDICTS, f"neither a complete response nor a verdict: {outcome}")
            if outcome.verdict == "ran" and not outcome.error:
                self.assertEqual(outcome.headers["x-adapter"], outcome.target, str(outcome))
                self.assertEqual(outcome.text, self.expected_text(outcome), str(outcome))
            if outcome.verdict == "not_run":
                executed = [name for name in executions if name.startswith(outcome.request_id + "-")]
                self.assertEqual(executed, [], f"verdict is not_run but the request was executed: {outcome}")
        self.check_engines()

    def explain(self, outcome):
        """Returns the outcome and the record that a node has of it, for assertion messages."""
        for node in self.nodes:
            try:
                status, _, text = fleet.request(
                    node.operator_port, "GET", f"/explain/{outcome.request_id}", headers=self.fleet.operator_headers())
            except OSError:
                continue
            if status == 200:
                return f"{outcome} explained as {text}"
        return str(outcome)

    def check_engines(self):
        """Checks by the counters of the engines that no adapter in use was evicted (invariant I2)."""
        self.assertEqual([self.counters(engine)["evicted_in_use"] for engine in self.engines], [0] * len(self.engines))

    def put_rules(self, node, rules, expected_version):
        """Saves rules through the operator interface of a node; returns the status and the body."""
        status, _, body = fleet.request_json(
            node.operator_port, "PUT", "/rules",
            {"rules": rules, "expected_version": expected_version, "author": "operator"}, self.fleet.operator_headers())
        return status, body

    def save_rules(self, node, rules, expected_version):
        """Saves rules, asserts success and returns their version."""
        status, body = self.put_rules(node, rules, expected_version)
        self.assertEqual(status, 200, body)
        return body["version"]

    def rules_version(self, node):
        """Returns the version of the rules that a node applies, or None when it does not respond."""
        try:
            return fleet.request_json(
                node.operator_port, "GET", "/rules", headers=self.fleet.operator_headers())[2]["version"]
        except OSError:
            return None

    def rules_in_force(self, version, nodes=None):
        """Returns whether the given nodes, or all nodes, apply this version of the rules."""
        return all(self.rules_version(node) == version for node in (nodes or self.nodes))

    def warm_up(self, adapter):
        """Sends a request for the adapter, which loads it; returns whether the response is complete."""
        return send_completion(self.nodes[0], adapter, "warm up", 2).complete

    def resident_engine(self, adapter):
        """Returns an engine where the adapter is resident; waits until there is one."""
        def find():
            for engine in self.engines:
                for entry in fleet.request_json(engine.port, "GET", "/status")[2]["resident"]:
                    if f"{entry['adapter']}@{entry['version']}" == adapter:
                        return engine
            return None
        return self.eventually(find, f"an engine where {adapter} is resident")

    def restart_node(self, name, zone):
        """Starts a new node with the name of one that has ended and waits until it is ready; returns it."""
        self.fleet.remove_node(name)
        node = self.fleet.add_node(name, zone)
        self.nodes = list(self.fleet.nodes.values())
        self.eventually(node.is_ready, f"readiness of {name}")
        return node
