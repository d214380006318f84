"""The processes, links, upstreams and callers of the fault soak."""

import collections
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "platform_node"))
sys.path.insert(0, str(ROOT / "tools"))

import fleet  # noqa: E402
import standin  # noqa: E402

BINARIES = pathlib.Path(os.environ["LAGOONSADDLE_BUILD"]) / "bin"
ADAPTERS = 14
EVENTS = 5
EVENT_PAUSE_S = 0.02
DEADLINE_MS = 4_000
TIMEOUT_MS = 5_000
STOP_LIMIT_S = 8.0
CALLERS = 12
START_LIMIT_S = 30.0
# Until then a signal may find the process before it handles signals.
STARTUP_S = 1.0
LAPSE_S = 3.0
RETRY_SLACK = 50
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10


def free_ports(count):
    """Returns ports that were free a moment ago."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Spans:
    """Times during which something was disturbed."""

    def __init__(self):
        self.closed, self.open = [], 0
        self.since = 0.0

    def begin(self):
        self.since = self.since if self.open else time.monotonic()
        self.open += 1

    def end(self):
        self.open = max(0, self.open - 1)
        if not self.open:
            self.closed.append((self.since, time.monotonic()))

    def touches(self, begin, end):
        """Tells whether the disturbance overlaps a time."""
        return any(a <= end and b >= begin for a, b in self.closed) or bool(self.open and self.since <= end)


class Link:
    """A loopback proxy process before one address."""

    def __init__(self, name, target, directory):
        options = {"listen": "127.0.0.1:0", "target": target, "control": "127.0.0.1:0"}
        self.proxy = fleet.Standin(name, "fault_proxy", options, BINARIES, directory)
        self.address = f"127.0.0.1:{self.proxy.port}"
        self.spans = Spans()

    def harm(self, how):
        self.spans.begin()
        self.proxy.faults(**how)

    def heal(self):
        self.proxy.faults(cut=False, freeze=False, half_open=False, drop_answers=False, delay_ms=0)
        self.spans.end()

    def close(self):
        self.proxy.kill()


class Node:
    """An entry node with an IP address of its own; killed, paused and stopped by signals to its process only."""

    def __init__(self, scene, number):
        self.scene, self.name, self.ip = scene, f"n{number}", f"127.0.1.{number + 1}"
        self.store_link = Link(f"store-link-{number}", scene.store.address, scene.directory)
        self.spans = Spans()
        self.stop_failures = []
        self.stop_times = []
        self.state = "none"
        seeds = json.dumps([f"127.0.1.{other + 1}:1" for other in range(min(3, scene.node_count))])
        ports = scene.ports
        self.settings = scene.directory / f"{self.name}-settings.json"
        self.settings.write_text(f"""// Settings of the soak.
{{"name": "{self.name}", "availability_zone": "z{number % 2}", "listen_callers": "{self.ip}:{ports[0]}",
 "listen_readiness": "{self.ip}:{ports[1]}", "peer_port": {ports[2]}, "seeds": {seeds},
 "store": "{self.store_link.address}", "upstreams_check_tokens": true, "lease_time_s": 3,
 "retry_ratio": {RETRY_RATIO}, "retry_slack": {RETRY_SLACK}, "retry_window_s": {RETRY_WINDOW_S},
 "stop_timeout_s": {STOP_LIMIT_S}}}""")

    def start(self):
        log = open(self.scene.directory / f"{self.name}.log", "a", encoding="utf-8")
        with log:
            self.process = subprocess.Popen([BINARIES / "lagoonsaddled", "entry", f"--settings={self.settings}"],
                                            stdout=log, stderr=log)
        if self.state != "none":
            self.spans.end()
        self.state = "running"
        self.started_at = time.monotonic()

    def disturb(self, state):
        self.spans.begin()
        self.state = state

    def kill(self):
        self.disturb("killed")
        self.process.kill()
        self.process.wait()

    def pause(self):
        self.disturb("paused")
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)
        self.state = "running"
        self.spans.end()

    def terminate(self):
        self.stop_times.append(time.monotonic())
        self.disturb("stopping")
        self.process.send_signal(signal.SIGTERM)

    def restart_after_stop(self):
        left = self.stop_times[-1] + STOP_LIMIT_S - time.monotonic()
        try:
            status = self.process.wait(max(left, 0.0))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            status = None
        if status != 0:
            self.stop_failures.append(f"{self.name}: exit status {status} {STOP_LIMIT_S} s after SIGTERM")
        self.start()

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.store_link.close()


class Upstream:
    """What engines and services of the soak share: a link before them, arrivals and runs with their times."""

    def prepare(self, scene, name):
        self.scene, self.given_name = scene, name
        self.arrivals, self.runs = [], []
        self.draining_since = None

    def connect(self):
        self.link = Link(f"link-{self.given_name}", f"127.0.0.1:{self.server_address[1]}", self.scene.directory)

    def arrived(self, request_id):
        with self.lock:
            self.arrivals.append((time.monotonic(), request_id))

    def started(self, request_id, path):
        with self.lock:
            self.runs.append((time.monotonic(), request_id, path, self.draining_since))


class Engine(Upstream, standin.Engine):
    """An engine that can crash, come back under either id, drain and be slow."""

    def __init__(self, scene, number):
        self.prepare(scene, f"engine-{number}")
        self.number, self.incarnations, self.up, self.born, self.stage = number, itertools.count(), True, 1, "ready"
        standin.Engine.__init__(self, scene.store, f"i-{number}", f"z{number % 2}", slots=3)
        self.event_pause_s = EVENT_PAUSE_S

    def beat(self, state):
        """Writes the entry through the link's address; the first call comes before the link exists."""
        if not hasattr(self, "link"):
            self.connect()
        self.stage = state
        entry = {"service": "llm", "address": self.link.address, "zone": self.zone, "slots": 8, "state": state,
                 "born": self.born, "seq": self.orders,
                 "models": [{"name": "m", "version": 1, "adapters": self.listed()}]}
        self.store.put("servers", self.name, entry)

    def listed(self):
        return [f"{name}@{version}" for name, version in sorted(self.adapters.items())]

    def report(self):
        with self.lock:
            return {"models": [{"name": "m", "version": 1, "adapters": self.listed()}], "seq": self.orders,
                    "coming": [f"m/{name}@{version}" for name, (_, version) in self.coming.items()], "busy": False}

    def settle(self):
        for adapter, (end, version) in list(self.coming.items()):
            if end <= time.monotonic():
                self.adapters[adapter] = version
                del self.coming[adapter]

    def order(self, order):
        """Carries out an order as the platform's engines do; returns the status."""
        if not self.up or order.get("fence") is None:
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        self.holders.append((order["holder"], order["fence"]))
        adapter, version = order["adapter"], order.get("version") or self.scene.versions[order["adapter"]]
        if order["operation"] == "load":
            if self.adapters.get(adapter) == version:
                return 200
            if adapter in self.coming:
                return 202
        if order.get("precondition") not in (None, self.orders):
            return 409
        self.orders += 1
        if order["operation"] == "unload":
            self.adapters.pop(adapter, None)
            return 200
        self.coming[adapter] = (time.monotonic() + standin.LOAD_S, version)
        if len(set(self.adapters) | set(self.coming)) > self.slots:
            self.faults.append("ordered past its places")
        return 202

    def answer(self, call, body):
        if not self.up:
            call.close_connection = True
            return
        with self.lock:
            self.settle()
        if call.path == "/-/report":
            call.reply(200, self.report())
            return
        super().answer(call, body)

    def run(self, call):
        request_id, adapter = call.headers["X-Attempt-Id"], call.headers["X-Model"].partition("/")[2]
        self.arrived(request_id)
        with self.lock:
            fits = call.headers.get("X-Expect-Instance") == self.name and adapter in self.adapters
            version = self.adapters.get(adapter)
        if not fits:
            call.reply(421, headers={"X-Instance-Id": self.name, "X-Attempt-Id": request_id})
            return
        self.started(request_id, call.path)
        born = self.born
        call.send_response(200)
        for name, value in {"X-Attempt-Id": request_id, "X-Response-Stamp": "s", "Transfer-Encoding": "chunked",
                            "X-Weight-Versions": str(version), "Content-Type": "text/event-stream"}.items():
            call.send_header(name, value)
        call.end_headers()
        for number in range(1, EVENTS + 1):
            if not self.up or self.born != born:
                call.close_connection = True
                return
            event = f"id: {number}\ndata: {adapter} {request_id}\n\n".encode()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            call.wfile.flush()
            time.sleep(self.event_pause_s)
        call.wfile.write(b"0\r\n\r\n")

    def crash(self, same_id):
        """Ends all that runs; the entry lapses later."""
        if not self.up:
            return
        self.up = False
        self.link.harm({"cut": True})
        if not same_id:
            self.scene.after(LAPSE_S, lambda name=self.name: self.store.put("servers", name, None))
            self.name = f"i-{self.number}-{next(self.incarnations)}"

    def begin_again(self):
        """Starts empty, under the name that `crash` left."""
        if self.up:
            return
        with self.lock:
            self.adapters, self.coming, self.orders, self.fence = {}, {}, 0, 0
            self.born += 1
            self.draining_since = None
            self.up = True
        self.link.heal()
        self.beat("ready")

    def drain(self):
        """Announces that it leaves; returns whether it was there."""
        if not self.up or self.stage != "ready":
            return False
        self.beat("draining")
        self.draining_since = time.monotonic()
        return True

    def replace(self):
        """Leaves for good; a new engine takes its address."""
        if not self.up:
            return
        self.crash(same_id=False)
        self.begin_again()


class Service(Upstream, standin.Server):
    """A plain service with requests that may be repeated and requests that may not."""

    def __init__(self, scene, number):
        self.prepare(scene, f"service-{number}")
        self.name, self.failing = f"s-{number}", ""
        super().__init__()
        self.connect()
        scene.store.put("servers", self.name, {
            "service": "plain", "address": self.link.address, "zone": f"z{number % 2}", "slots": 8, "state": "ready",
            "born": 1, "seq": 0})

    def answer(self, call, body):
        request_id = call.headers["X-Attempt-Id"]
        echo = {"X-Attempt-Id": request_id}
        self.arrived(request_id)
        if call.headers.get("X-Expect-Instance") != self.name:
            call.reply(421, headers={**echo, "X-Instance-Id": self.name})
        elif self.failing == "full":
            call.reply(503, headers={**echo, "X-Not-Executed": "1"})
        else:
            self.started(request_id, call.path)
            time.sleep(EVENT_PAUSE_S)
            if self.failing == "cut":
                call.close_connection = True
                return
            call.reply(500 if self.failing == "status" else 200, body + request_id.encode(),
                       {**echo, "X-Response-Stamp": "s"})


class World:
    """Store, links, engines, services and nodes of one seed."""

    def __init__(self, directory, nodes, engines):
        self.directory, self.node_count, self.engine_count = directory, nodes, engines
        self.nodes, self.engines, self.services = [], [], []
        self.versions = collections.defaultdict(lambda: 1)
        self.store_spans = Spans()
        self.ports = free_ports(3)
        self.configurations = []
        self.probes = set()
        self.timers = []

    @property
    def upstreams(self):
        return self.engines + self.services

    def start(self):
        """Starts everything and waits until all nodes are ready."""
        self.store = standin.Store()
        self.engines = [Engine(self, number) for number in range(self.engine_count)]
        self.services = [Service(self, number) for number in range(3)]
        self.move_route()
        for number in range(self.node_count):
            self.nodes.append(Node(self, number))
            self.nodes[-1].start()
        end = time.monotonic() + START_LIMIT_S
        while not all(self.ready(node) for node in self.nodes):
            if time.monotonic() > end:
                raise RuntimeError(f"the nodes are not ready after {START_LIMIT_S} s; logs in {self.directory}")
            time.sleep(0.1)

    def ready(self, node):
        """Asks a node whether it is ready."""
        connection = http.client.HTTPConnection(node.ip, self.ports[1], timeout=2)
        try:
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def move_route(self):
        """Writes the next configuration: the moving route has a path of its own in each."""
        version = len(self.configurations) * 3 + 1
        moving = f"/v{version}/"
        base = {"host": "h", "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 1000, "maxAttempts": 2}
        routes = [{**base, "name": "stream", "pathPrefix": "/stream/", "kind": "streaming", "service": "llm"},
                  {**base, "name": "safe", "pathPrefix": "/safe/", "kind": "safe", "service": "plain"},
                  {**base, "name": "unsafe", "pathPrefix": "/unsafe/", "kind": "unsafe", "service": "plain"},
                  {**base, "name": "moving", "pathPrefix": moving, "kind": "safe", "service": "plain"}]
        services = [{"name": "llm", "maxConnections": 64, "engine": {
            "adapterSlots": 3, "loadsPerS": 2, "models": [{"name": "m", "loadS": 1}]}},
                    {"name": "plain", "maxConnections": 64}]
        self.store.put("config", "main", {"version": version, "routes": routes, "services": services})
        self.configurations.append((time.monotonic(), moving))

    def name_version(self, adapter):
        """Announces a new version of an adapter."""
        name = f"a{adapter}"
        self.versions[name] += 1
        self.store.put("versions", f"m.{name}", {"model": "m", "adapter": name, "version": self.versions[name]})

    def disturb_store(self, down):
        """Takes the store down or brings it back."""
        self.store.down = down
        if down:
            self.store_spans.begin()
        else:
            self.store_spans.end()

    def after(self, seconds, action):
        """Does something later, or at the end of the soak."""
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def heal(self):
        """Brings back what a fault left away."""
        self.store.down = False
        for engine in self.engines:
            engine.begin_again()
            if engine.stage != "ready":
                engine.replace()

    def disturbed(self, begin, end, node=None):
        """Tells whether anything that bears on a request was disturbed; all nodes when none is given."""
        nodes = [node] if node else self.nodes
        spans = [self.store_spans, *(link.spans for link in (upstream.link for upstream in self.upstreams))]
        spans += [span for one in nodes for span in (one.spans, one.store_link.spans)]
        return any(span.touches(begin, end) for span in spans)

    def close(self):
        """Ends all processes that this object started."""
        for timer in self.timers:
            timer.cancel()
        for node in self.nodes:
            node.close()
        for upstream in self.upstreams:
            upstream.link.close()
            upstream.shutdown()
            upstream.server_close()
        self.store.shutdown()
        self.store.server_close()


class Call:
    """One request of a caller and what it learnt."""

    def __init__(self, request_id, node, kind, adapter):
        self.id, self.node, self.kind, self.adapter = request_id, node, kind, adapter
        self.begin = self.end = time.monotonic()
        self.status, self.body, self.path = 0, None, ""
        self.sent = False

    @property
    def complete(self):
        """Tells whether a whole answer arrived."""
        return self.body is not None


class Callers:
    """Threads that send requests, some over connections that stay open until the node closes them."""

    def __init__(self, scene, seed):
        self.scene, self.calls, self.lock, self.running = scene, [], threading.Lock(), True
        self.numbers = itertools.count(1)
        self.threads = [threading.Thread(target=self.work, args=(random.Random(f"{seed}/{number}"),), daemon=True)
                        for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def work(self, draw):
        kept = {}
        while self.running:
            kind = draw.choice(["stream", "stream", "safe", "unsafe", "moving"])
            self.call(draw.choice(self.scene.nodes), kind, f"a{draw.randrange(ADAPTERS)}", kept,
                      draw.random() < 0.7)
            time.sleep(draw.uniform(0.0, 0.15))

    def call(self, node, kind, adapter, kept=None, keep=False):
        """Sends one request; returns the call."""
        with self.lock:
            call = Call(f"{next(self.numbers):016x}", node, kind, adapter)
            self.calls.append(call)
        kept = {} if kept is None else kept
        call.path = (self.scene.configurations[-1][1] if kind == "moving" else f"/{kind}/") + "x"
        headers = {"Host": "h", "X-Attempt-Id": call.id, "X-Deadline-Ms": str(DEADLINE_MS)}
        if kind == "stream":
            headers.update({"X-Model": f"m/{adapter}", "X-Token-Count": "10,4"})
        connection = kept.pop(node.name, None) or http.client.HTTPConnection(
            node.ip, self.scene.ports[0], timeout=(DEADLINE_MS + 4_000) / 1000)
        try:
            connection.request("POST", call.path, b"body", headers)
            call.sent = True
            response = connection.getresponse()
            call.status = response.status
            call.body = response.read()
            if keep and not response.will_close:
                kept[node.name] = connection
                connection = None
        except (OSError, http.client.HTTPException):
            pass
        finally:
            call.end = time.monotonic()
            if connection:
                connection.close()
        return call
