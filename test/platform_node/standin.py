"""Stand-ins of the platform's store and of its engines, which speak the wire that platform/ decodes."""

import http.server
import json
import threading
import time
import urllib.parse

LOAD_S = 0.05
EVENTS = 4


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to its server's `answer`."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Keeps the output of the tests short."""

    def handle_any(self):
        length = int(self.headers.get("content-length", 0))
        self.server.answer(self, self.rfile.read(length))

    do_GET = do_POST = do_PUT = do_DELETE = handle_any

    def reply(self, status, body=None, headers=None):
        """Sends a whole response."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(http.server.ThreadingHTTPServer):
    """Serves on a free port of 127.0.0.1 in threads of its own."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.lock = threading.Condition()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        """Returns the address as it stands in records and settings."""
        return f"127.0.0.1:{self.server_address[1]}"

    def handle_error(self, *_):
        """Clients that leave are part of the tests."""


class Store(Server):
    """Objects by kind and name, with revisions, lists and watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.down = False
        super().__init__()

    def put(self, kind, name, spec):
        """Writes an object as the operator or an engine does; `spec` of None removes it."""
        with self.lock:
            self.revision += 1
            removed = spec is None
            old = self.objects.get((kind, name))
            value = old if removed else {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
            if removed:
                self.objects.pop((kind, name), None)
            else:
                self.objects[(kind, name)] = value
            self.history.append((self.revision, kind, {"removed": removed, "object": value}))
            self.lock.notify_all()
            return value

    def answer(self, call, body):
        """Answers one call."""
        if self.down:
            return call.reply(503)
        url = urllib.parse.urlsplit(call.path)
        query = urllib.parse.parse_qs(url.query)
        kind, _, name = url.path.removeprefix("/-/objects/").partition("/")
        if "watch" in query:
            return self.watch(call, kind, int(query["watch"][0]), int(query["waitMs"][0]) / 1000)
        if not name:
            with self.lock:
                items = [value for (of, _), value in self.objects.items() if of == kind]
                return call.reply(200, {"items": items, "more": False, "storeRevision": self.revision})
        with self.lock:
            current = self.objects.get((kind, name))
        if call.command == "GET":
            return call.reply(200 if current else 404, current)
        wanted = json.loads(body)
        expected = wanted["metadata"].get("revision", 0)
        if expected != (current["metadata"]["revision"] if current else 0):
            return call.reply(409, current)
        return call.reply(200, self.put(kind, name, wanted["spec"]))

    def watch(self, call, kind, revision, wait_s):
        """Waits for changes of a kind after a revision."""
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                events = [event for at, of, event in self.history if at > revision and of == kind]
                left = end - time.monotonic()
                if events or left <= 0 or self.down:
                    break
                self.lock.wait(min(left, 0.2))
            body = {"events": events, "storeRevision": self.revision}
        return call.reply(503 if self.down else 200, body)


class Engine(Server):
    """An engine with adapter places; counts what it ran and who ordered."""

    def __init__(self, store, name, zone, slots=2):
        self.store, self.name, self.zone, self.slots = store, name, zone, slots
        self.adapters, self.coming = {}, {}
        self.orders, self.fence = 0, 0
        self.ran, self.holders, self.faults = [], [], []
        self.event_pause_s = 0.0
        super().__init__()
        self.beat("ready")

    def beat(self, state):
        """Writes the engine's own entry."""
        self.store.put("servers", self.name, {
            "service": "llm", "address": self.address, "zone": self.zone, "slots": 8, "state": state, "born": 1,
            "seq": self.orders, "models": [{"name": "m", "version": 1, "adapters": sorted(self.adapters)}]})

    def settle(self):
        """Completes the loads whose time has come."""
        for adapter, end in list(self.coming.items()):
            if end <= time.monotonic():
                self.adapters[adapter] = 0
                del self.coming[adapter]

    def answer(self, call, body):
        """Answers an order, a question for the state, or a request."""
        with self.lock:
            self.settle()
        if call.path == "/-/order":
            with self.lock:
                return call.reply(self.order(json.loads(body)))
        if call.path == "/-/report":
            with self.lock:
                return call.reply(200, {
                    "models": [{"name": "m", "version": 1, "adapters": sorted(self.adapters)}], "seq": self.orders,
                    "coming": [f"m/{name}@1" for name in self.coming], "busy": False})
        return self.run(call)

    def order(self, order):
        """Carries out an order; returns the status."""
        adapter = order["adapter"]
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        self.holders.append((order["holder"], order["fence"]))
        if order["operation"] == "load":
            if adapter in self.adapters:
                return 200
            if adapter in self.coming:
                return 202
        if order["precondition"] != self.orders:
            return 409
        self.orders += 1
        if order["operation"] == "unload":
            self.adapters.pop(adapter, None)
            return 200
        self.coming[adapter] = time.monotonic() + LOAD_S
        if len(self.adapters) + len(self.coming) > self.slots:
            self.faults.append("ordered past its places")
        return 202

    def run(self, call):
        """Runs a streamed request of an adapter, or refuses it."""
        request_id = call.headers["X-Attempt-Id"]
        adapter = call.headers["X-Model"].partition("/")[2]
        with self.lock:
            if call.headers.get("X-Expect-Instance") != self.name or adapter not in self.adapters:
                return call.reply(421, headers={"X-Instance-Id": self.name, "X-Attempt-Id": request_id})
            self.adapters[adapter] += 1
            self.ran.append((request_id, adapter))
        call.send_response(200)
        for name, value in {"X-Attempt-Id": request_id, "X-Response-Stamp": "s", "Transfer-Encoding": "chunked",
                            "Content-Type": "text/event-stream"}.items():
            call.send_header(name, value)
        call.end_headers()
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {adapter}\n\n".encode()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            call.wfile.flush()
            time.sleep(self.event_pause_s)
        call.wfile.write(b"0\r\n\r\n")
        return None
