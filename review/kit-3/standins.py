"""Stand-ins for the platform's store and for model engines, and entry node processes on loopback addresses.

Each stand-in does what PROTOCOL.md says and no more: the store keeps objects with revisions, lists and watches; an engine
takes orders under fencing tokens, holds adapters in slots and streams events.
"""

import ctypes
import http.client
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
LOADS_AT_ONCE = 4


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def handle_any(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.respond(self, body)

    do_GET = do_POST = do_PUT = do_DELETE = handle_any

    def reply(self, status, value=None, fields=()):
        data = b"" if value is None else json.dumps(value).encode()
        self.send_response(status)
        for name, text in dict(fields).items():
            self.send_header(name, text)
        if data:
            self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, *_):
        pass


class Store(Server):
    """The platform's store: one revision counter, objects by kind and name, lists in pages, watches."""

    PAGE = 500

    def __init__(self):
        self.lock = threading.Condition()
        self.revision, self.objects, self.history = 1, {}, []
        super().__init__()

    def write(self, kind, name, spec):
        """Creates, replaces or removes (spec None) an object; a replacement that changes nothing is no event."""
        with self.lock:
            old = self.objects.get((kind, name))
            if spec is not None and old and old["spec"] == spec:
                return old
            self.revision += 1
            created = old["metadata"]["created"] if old else self.revision
            value = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                                  "deleting": False}, "spec": old["spec"] if spec is None else spec, "status": {}}
            if spec is None:
                self.objects.pop((kind, name), None)
            else:
                self.objects[kind, name] = value
            self.history.append((self.revision, kind, {"object": value, "removed": spec is None}))
            self.lock.notify_all()
            return value

    def spec(self, kind, name):
        with self.lock:
            found = self.objects.get((kind, name))
            return found["spec"] if found else None

    def respond(self, handler, body):
        url = urllib.parse.urlsplit(handler.path)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        parts = url.path.removeprefix("/-/objects/").split("/", 1)
        kind, name = parts[0], urllib.parse.unquote(parts[1]) if len(parts) > 1 else ""
        if handler.command == "GET" and "watch" in query:
            return self.watch(handler, kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1000)
        with self.lock:
            if handler.command == "GET" and not name:
                names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
                return handler.reply(200, {"items": [self.objects[kind, n] for n in names[:self.PAGE]],
                                           "more": len(names) > self.PAGE, "storeRevision": self.revision})
            known = self.objects.get((kind, name))
            if handler.command == "GET":
                return handler.reply(200 if known else 404, known)
            if handler.command == "DELETE":
                if not known:
                    return handler.reply(404)
                self.write(kind, name, None)
                return handler.reply(200, known)
            proposed = json.loads(body)
            name = name or proposed["metadata"]["name"]
            known = self.objects.get((kind, name))
            expected = proposed["metadata"].get("revision")
            if handler.command == "POST" and known or known and expected not in (None, known["metadata"]["revision"]):
                return handler.reply(409, known)
            if handler.command == "PUT" and not known:
                return handler.reply(404)
            return handler.reply(200, self.write(kind, name, proposed["spec"]))

    def watch(self, handler, kind, revision, wait_s):
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                events = [event for at, of, event in self.history if at > revision and of == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self.lock.wait(left)
            answer = {"events": events, "storeRevision": self.revision}
        handler.reply(200, answer)


class Engine(Server):
    """A model engine with adapter slots. A stream has `events` events, one every `pause_s`."""

    def __init__(self, store, number, slots, load_s=0.25, service="llm", zone="z1"):
        self.store, self.name, self.slots, self.load_s = store, f"i-{number:08x}", slots, load_s
        self.service, self.zone = service, zone
        self.lock = threading.RLock()
        self.seq, self.fence = 0, 0
        self.held, self.coming, self.leaving = {}, {}, set()
        self.runs, self.faults, self.up = [], [], True
        super().__init__()
        threading.Thread(target=self.beat, daemon=True).start()

    def settle(self):
        """Ends the loads whose time has passed, and the unloads whose adapter is no longer used."""
        now = time.monotonic()
        for name, end in list(self.coming.items()):
            if end <= now:
                del self.coming[name]
                self.held[name] = 0
        for name in list(self.leaving):
            if self.held.get(name, 0) == 0:
                self.leaving.discard(name)
                self.held.pop(name, None)

    def models(self):
        return [{"name": "m", "version": 1, "adapters": sorted(f"{name}@1" for name in self.held)}]

    def beat(self):
        while self.up:
            with self.lock:
                self.settle()
                entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 64,
                         "state": "ready", "coldLeftMs": 0, "seq": self.seq, "stage": "both", "models": self.models()}
            self.store.write("servers", self.name, entry)
            time.sleep(HEARTBEAT_S)

    def respond(self, handler, body):
        if handler.path == "/-/report":
            with self.lock:
                self.settle()
                return handler.reply(200, {"stage": "both", "models": self.models(), "busy": False, "seq": self.seq,
                                           "waiting": 0, "running": sum(self.held.values()), "kvUsed": 0,
                                           "kvTotal": 232000, "handles": 0,
                                           "coming": [f"m/{name}@1" for name in self.coming]})
        if handler.headers.get("X-Expect-Instance", self.name) != self.name:
            return handler.reply(421, None, {"X-Instance-Id": self.name, "X-Not-Executed": "1",
                                             "X-Attempt-Id": handler.headers.get("X-Attempt-Id", "")})
        if handler.path == "/-/order":
            with self.lock:
                self.settle()
                return handler.reply(self.order(json.loads(body)))
        return self.run(handler)

    def order(self, order):
        if "holder" not in order or "fence" not in order or order.get("operation") not in ("load", "unload"):
            return 400
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        name, load = order.get("adapter"), order["operation"] == "load"
        if name is None or load and name in self.held and name not in self.leaving or not load and name not in self.held:
            return 200
        if load and name in self.coming:
            return 202
        if order.get("precondition", self.seq) != self.seq or load and len(self.coming) >= LOADS_AT_ONCE:
            return 409
        self.seq += 1
        if not load:
            if self.held[name] == 0:
                del self.held[name]
                return 200
            self.leaving.add(name)
            return 202
        if len(self.held) + len(self.coming) >= self.slots:
            self.faults.append(f"{self.name} was ordered to load {name} without a free slot")
        self.coming[name] = time.monotonic() + self.load_s
        return 202

    def run(self, handler):
        request = handler.headers.get("X-Attempt-Id", "")
        adapter = handler.headers.get("X-Model", "").partition("/")[2]
        with self.lock:
            self.settle()
            if adapter not in self.held or adapter in self.leaving:
                return handler.reply(421, None, {"X-Not-Executed": "1", "X-Attempt-Id": request})
            self.held[adapter] += 1
            run = {"request": request, "engine": self.name, "begin": time.monotonic(), "end": None}
            self.runs.append(run)
        try:
            handler.send_response(200)
            for field, text in {"X-Attempt-Id": request, "X-Response-Stamp": f"s.{request}", "X-Weight-Versions": "1",
                                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}.items():
                handler.send_header(field, text)
            handler.end_headers()
            count = int(handler.headers.get("X-Token-Count", "0,4").split(",")[1]) // 4
            for number in range(1, count + 1):
                event = f"id: {number}\ndata: {request} {adapter}\n\n".encode()
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                handler.wfile.flush()
                time.sleep(0.2)
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            handler.close_connection = True
        finally:
            with self.lock:
                self.held[adapter] -= 1
                run["end"] = time.monotonic()


def free_ports(ip, count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def render(template, values):
    """Fills in the placeholders of the deploy file's template: {{a.b}}, {{a.0}} and {{a|json}}."""
    def value_of(match):
        value = values
        for key in match[1].split("."):
            value = value[int(key)] if isinstance(value, list) else value.get(key, "")
        return json.dumps(value) if match[2] else ("true" if value is True else "false" if value is False else str(value))
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, template)


BOUNDS = {"stabilityWindowMs": 3000, "drainMs": 2000, "graceS": 8, "lostMs": 200, "configMs": 2000, "budgetRatio": 0.2,
          "budgetWindowS": 10, "budgetSlack": 58, "requireFence": True, "leaseMs": 3000, "version_ms": 5000}


def die_with_parent():
    """Lets the system kill a node when the process that has started it ends, however it ends."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Node:
    """An entry node process, started with the command, template and variables of deploy/system.toml."""

    def __init__(self, store, number, ports, seeds, folder, zone="z1"):
        self.ip, self.ports, self.name = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.{number + 1}", ports, f"n{number}"
        values = {"nodeName": self.name, "zone": zone, "ip": self.ip, "internalPorts": [ports[2], ports[2] + 15],
                  "seeds": [f"{seed}:{ports[3]}" for seed in seeds or [self.ip]], "platform": {"address": store.address},
                  "listen": {"front": f"{self.ip}:{ports[0]}", "ready": f"{self.ip}:{ports[1]}"}, "bounds": BOUNDS,
                  "limits": {"memoryMb": 260, "maxFds": 4100}}
        self.settings = pathlib.Path(folder) / f"{self.name}.json"
        self.settings.write_text(render((ROOT / "deploy/entry.json.in").read_text(), values))
        self.variables = {"PATH": os.environ["PATH"], "LAGOONSADDLE_SETTINGS": str(self.settings),
                          "LAGOONSADDLE_MEMORY_MIB": "260", "LAGOONSADDLE_DESCRIPTORS_MAX": "4100",
                          "LAGOONSADDLE_VERSION_BOUND_MS": "5000"}
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "wb")
        self.start()

    def start(self):
        self.process = subprocess.Popen([ROOT / "target/bin/lagoonsaddled", "entry"], cwd=ROOT, env=self.variables,
                                        stdout=self.log, stderr=self.log, preexec_fn=die_with_parent)

    def signal(self, number):
        self.process.send_signal(number)

    def close(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ports[1], timeout=2)
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False


class Client:
    """A client connection to a node; `send` returns what came of one request."""

    def __init__(self, node):
        self.node = node
        self.connection = http.client.HTTPConnection(node.ip, node.ports[0], timeout=30)
        self.connection.connect()

    def send(self, request, adapter, events, deadline_ms, path="/triage/1", body=b"body"):
        call = {"request": request, "node": self.node.name, "sent": time.monotonic(), "status": None, "complete": False,
                "answered": None, "stamp": None, "events": 0}
        try:
            self.connection.request("POST", path, body, {
                "Host": "shop.example", "X-Attempt-Id": request, "X-Model": f"m/{adapter}",
                "X-Token-Count": f"628,{4 * events}", "X-Prompt-Prefix": f"{request}:628",
                "X-Deadline-Ms": str(deadline_ms)})
            response = self.connection.getresponse()
            call["status"], call["stamp"] = response.status, response.getheader("X-Response-Stamp")
            data = response.read()
            call["events"], call["complete"] = data.count(b"\n\n"), True
        except (OSError, http.client.HTTPException) as failure:
            call["error"] = repr(failure)
        call["answered"] = time.monotonic()
        return call


def wait_until(condition, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False
