"""Stand-ins for the platform's object store and engines; they use the wire format that platform/ decodes."""

import http.server
import json
import threading
import time
import urllib.parse

LOAD_DURATION_S = 0.05
EVENTS_PER_STREAM = 4


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the `respond` method of its server."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Suppresses the access log."""

    def handle_request(self):
        length = int(self.headers.get("content-length", 0))
        self.server.respond(self, self.rfile.read(length))

    do_GET = do_POST = do_PUT = do_DELETE = handle_request

    def reply(self, status, body=None, headers=None):
        """Sends a complete response with a content length; JSON unless the body is bytes."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body is not None else b""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(http.server.ThreadingHTTPServer):
    """Serves on a free port of 127.0.0.1, one thread per connection."""

    daemon_threads = True
    # With the default of 5, a burst of new connections overflows the queue of the listener: the system drops them, and
    # tries again after 1 s and 3 s.
    request_queue_size = 128

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.lock = threading.Condition()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        """Returns the address in the host:port form of store objects and settings."""
        return f"127.0.0.1:{self.server_address[1]}"

    def handle_error(self, *_):
        """Ignores errors: clients that close their connections are part of the tests."""


class Store(Server):
    """Object store: objects by kind and name, with revisions, lists in pages and watches.

    Its lists are in order of name. A name in a path is one segment, percent-encoded; the query is decoded as that of a
    form. It can be restored from a copy. It then has lost what was written since, issues the same revisions again and states
    a higher era.
    """

    # Objects on a page of a list: few, so that the lists of all tests have several pages.
    page_size = 3

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.objects = {}
        self.history = []
        self.unavailable = False
        super().__init__()

    def copy(self):
        """Returns a copy of the data for `restore`."""
        with self.lock:
            return self.revision, dict(self.objects), list(self.history)

    def restore(self, copy):
        """Replaces the data by a copy and cuts off the watches that wait."""
        with self.lock:
            self.revision, self.objects, self.history = copy[0], dict(copy[1]), list(copy[2])
            self.era += 1
            self.lock.notify_all()

    def put(self, kind, name, spec):
        """Writes an object and returns it; `spec` of None removes the object."""
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

    def reply(self, handler, status, body=None):
        """Sends a response with the era of the data, as the server of the connection presents it."""
        handler.reply(status, handler.server.present(body), {"Store-Era": str(self.era)})

    @staticmethod
    def present(body):
        """Returns the body of a response as the readers of this server see it."""
        return body

    def respond(self, handler, body):
        """Serves a read, list, watch or conditional write."""
        if self.unavailable:
            return self.reply(handler, 503)
        url = urllib.parse.urlsplit(handler.path)
        query = urllib.parse.parse_qs(url.query)
        kind, _, segment = url.path.removeprefix("/-/objects/").partition("/")
        if "/" in segment:
            return self.reply(handler, 404)
        name = urllib.parse.unquote(segment)
        if "watch" in query:
            return self.watch(handler, kind, int(query["watch"][0]), int(query["waitMs"][0]) / 1000)
        if not name:
            return self.list_page(handler, kind, query.get("after", [""])[0])
        with self.lock:
            current = self.objects.get((kind, name))
            if handler.command == "GET":
                return self.reply(handler, 200 if current else 404, current)
            proposed = json.loads(body)
            expected_revision = proposed["metadata"].get("revision", 0)
            if expected_revision != (current["metadata"]["revision"] if current else 0):
                return self.reply(handler, 409, current)
            return self.reply(handler, 200, self.put(kind, name, proposed["spec"]))

    def list_page(self, handler, kind, after):
        """Responds with the first objects of a kind whose names come after the given one."""
        with self.lock:
            names = sorted(name for item_kind, name in self.objects if item_kind == kind and (not after or name > after))
            items = [self.objects[kind, name] for name in names[:self.page_size]]
            return self.reply(handler, 200, {"items": items, "more": len(names) > len(items),
                                             "storeRevision": self.revision})

    def watch(self, handler, kind, revision, wait_s):
        """Responds with the changes of a kind after a revision, waiting up to `wait_s` for the first.

        A revision that was not issued yet gets 410.
        """
        end = time.monotonic() + wait_s
        with self.lock:
            era = self.era
            if revision > self.revision:
                return self.reply(handler, 410)
            while True:
                if self.era != era:
                    handler.close_connection = True
                    return None
                events = [event for event_revision, event_kind, event in self.history
                          if event_revision > revision and event_kind == kind]
                remaining_s = end - time.monotonic()
                if events or remaining_s <= 0 or self.unavailable:
                    break
                self.lock.wait(min(remaining_s, 0.2))
            body = {"events": events, "storeRevision": self.revision}
        return self.reply(handler, 503 if self.unavailable else 200, body)


class Engine(Server):
    """An engine with adapter slots; records what it executed and which holders sent orders."""

    def __init__(self, store, name, zone, slots=2):
        self.store, self.name, self.zone, self.slots = store, name, zone, slots
        self.resident, self.loading = {}, {}
        self.order_count, self.highest_fence = 0, 0
        self.executed, self.order_holders, self.violations = [], [], []
        self.event_interval_s = 0.0
        # Changes with each start of the engine.
        self.incarnation = 1
        # Header fields that the engine adds to its responses to requests.
        self.stated_fields = {}
        # Header fields of the refusal of each request; nothing to serve them.
        self.refusal_fields = None
        self.arrival_times = []
        super().__init__()
        self.publish_entry("ready")

    def entry(self, state):
        """Returns what the engine writes to the store."""
        return {
            "service": "llm", "address": self.address, "zone": self.zone, "slots": 8, "state": state,
            "born": self.incarnation,
            "seq": self.order_count, "models": [{"name": "m", "version": 1, "adapters": self.listed_adapters()}]}

    def listed_adapters(self):
        """Returns the resident adapters as entries and reports list them: here without versions."""
        return sorted(self.resident)

    def publish_entry(self, state):
        """Writes the engine's entry to the store."""
        self.store.put("servers", self.name, self.entry(state))

    def finish_loads(self):
        """Moves the adapters whose load has finished to the resident ones."""
        for adapter, end in list(self.loading.items()):
            if end <= time.monotonic():
                self.resident[adapter] = 0
                del self.loading[adapter]

    def respond(self, handler, body):
        """Serves an order, a state report or a request."""
        with self.lock:
            self.finish_loads()
        if handler.path == "/-/order":
            with self.lock:
                return handler.reply(self.apply_order(json.loads(body)))
        if handler.path == "/-/report":
            with self.lock:
                return handler.reply(200, {
                    "models": [{"name": "m", "version": 1, "adapters": self.listed_adapters()}], "seq": self.order_count,
                    "coming": [f"m/{name}@1" for name in self.loading], "busy": False})
        return self.execute(handler)

    def apply_order(self, order):
        """Applies an order; returns the HTTP status."""
        adapter = order["adapter"]
        if order["fence"] < self.highest_fence:
            return 412
        self.highest_fence = order["fence"]
        self.order_holders.append((order["holder"], order["fence"]))
        if order["operation"] == "load":
            if adapter in self.resident:
                return 200
            if adapter in self.loading:
                return 202
        if order["precondition"] != self.order_count:
            return 409
        self.order_count += 1
        if order["operation"] == "unload":
            self.resident.pop(adapter, None)
            return 200
        self.loading[adapter] = time.monotonic() + LOAD_DURATION_S
        if len(self.resident) + len(self.loading) > self.slots:
            self.violations.append("ordered to load more adapters than it has slots")
        return 202

    def execute(self, handler):
        """Streams the response to a request, or refuses it with 421 when the adapter is not resident."""
        request_id = handler.headers["X-Attempt-Id"]
        adapter = handler.headers["X-Model"].partition("/")[2]
        with self.lock:
            self.arrival_times.append(time.monotonic())
            if self.refusal_fields is not None:
                return handler.reply(503, headers={"X-Not-Executed": "1", "X-Attempt-Id": request_id,
                                                   **self.refusal_fields})
            if handler.headers.get("X-Expect-Instance") != self.name or adapter not in self.resident:
                return handler.reply(421, headers={"X-Instance-Id": self.name, "X-Attempt-Id": request_id,
                                                   **self.stated_fields})
            self.resident[adapter] += 1
            self.executed.append((request_id, adapter))
        return self.send_stream(handler, adapter)

    def send_stream(self, handler, adapter):
        """Sends the events of a stream after the one that the request names."""
        self.send_stream_head(handler)
        for number in range(int(handler.headers.get("Last-Event-Id", 0)) + 1, EVENTS_PER_STREAM + 1):
            self.send_event(handler, number, adapter)
        handler.wfile.write(b"0\r\n\r\n")

    def send_stream_head(self, handler):
        """Sends the head of a chunked stream."""
        handler.send_response(200)
        for name, value in {"X-Attempt-Id": handler.headers["X-Attempt-Id"], "X-Response-Stamp": "s",
                            "Transfer-Encoding": "chunked", "Content-Type": "text/event-stream",
                            **self.stated_fields}.items():
            handler.send_header(name, value)
        handler.end_headers()

    def send_event(self, handler, number, data):
        """Sends one event of a stream, followed by the pause between events."""
        event = f"id: {number}\ndata: {data}\n\n".encode()
        handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.flush()
        time.sleep(self.event_interval_s)
