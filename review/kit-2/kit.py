"""Stand-ins of the second review: the platform's store, engines, clients and entry node processes.

They speak what the users' PROTOCOL.md says, on loopback addresses. One asyncio loop runs the stand-ins and the clients;
each node is a process of its own, started with the command of the deploy file.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = ROOT / "target" / "bin" / "lagoonsaddled"
START = time.monotonic()
# Nodes of the largest case.
NODES_MAX = 5
# A script ends by itself after this time; the rest of its 120 s is for ending its processes.
RUN_MAX_S = 105


def now():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Lines of what was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, event, **fields):
        """Writes a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now():8.3f} {event} {text}\n")

    def close(self):
        """Writes out all lines."""
        self.file.close()


class Closed(Exception):
    """The peer has closed the connection."""


async def read_head(reader):
    """Reads the head of a message; returns its first line and its fields, with names in lower case."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as failure:
        raise Closed from failure
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields, until_end=False):
    """Reads the body of a message; raises Closed when it is cut off."""
    try:
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return body
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"]))
        return await reader.read() if until_end else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as failure:
        raise Closed from failure


def message(status, body=b"", fields=None):
    """Returns a response with a length."""
    head = f"HTTP/1.1 {status} X\r\n"
    for name, value in (fields or {}).items():
        head += f"{name}: {value}\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """An HTTP/1.1 server that passes each request to `respond(method, target, fields, body, connection)`."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.connections = set()

    async def start(self):
        """Listens on a free port."""
        self.listener = await asyncio.start_server(self.serve, self.host, 0, limit=1 << 20, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        """Serves a connection."""
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, fields)
                await self.respond(method, target, fields, body, (reader, writer))
                await writer.drain()
        except (Closed, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, method, target, fields, body, connection):
        """Answers one request."""
        raise NotImplementedError

    def reset_connections(self):
        """Resets all connections."""
        for writer in list(self.connections):
            if not writer.is_closing():
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()


class Store(Server):
    """The platform's store: objects by kind and name, lists, watches and conditional writes."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        # Called for each conditional write of a node; returns None, or the seconds after which the write is carried out
        # although it gets no answer.
        self.lose_write = lambda kind, name, spec: None
        self.writes = 0

    async def put(self, kind, name, spec):
        """Writes an object; `spec` of None removes it."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        if spec is None:
            value = self.objects.pop((kind, name), None)
        else:
            created = old["metadata"]["created"] if old else self.revision
            value = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                                  "deleting": False}, "spec": spec, "status": None}
            self.objects[kind, name] = value
        self.history.append((self.revision, kind, {"removed": spec is None, "object": value}))
        self.record.add("stored", kind=kind, name=name, revision=self.revision,
                        spec=json.dumps(spec) if kind != "config" else spec["version"])
        async with self.changed:
            self.changed.notify_all()
        return value

    async def write(self, method, kind, name, proposed):
        """Carries out a conditional write; returns the status and the object."""
        current = self.objects.get((kind, name))
        expected = proposed["metadata"].get("revision")
        if method == "POST" and current is not None:
            return 409, current
        if method == "PUT" and current is None:
            return 404, None
        if method == "PUT" and expected is not None and expected != current["metadata"]["revision"]:
            return 409, current
        return 200, await self.put(kind, name, proposed["spec"])

    async def write_late(self, delay, method, kind, name, proposed):
        """Carries out a write whose answer was lost, if its condition still holds then."""
        await asyncio.sleep(delay)
        status, _ = await self.write(method, kind, name, proposed)
        self.record.add("late_write", kind=kind, name=name, status=status, spec=json.dumps(proposed["spec"]))

    async def respond(self, method, target, fields, body, connection):
        reader, writer = connection
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, segment = url.path.removeprefix("/-/objects/").partition("/")
        name = urllib.parse.unquote(segment)
        if "watch" in query:
            status, answer = await self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)) / 1000)
        elif method == "GET" and not name:
            status, answer = 200, self.list(kind, query.get("after", ""))
        elif method == "GET":
            answer = self.objects.get((kind, name))
            status = 200 if answer else 404
        else:
            proposed = json.loads(body)
            name = name or proposed["metadata"]["name"]
            self.writes += 1
            delay = self.lose_write(kind, name, proposed["spec"])
            if delay is not None:
                self.record.add("answer_lost", kind=kind, name=name, late_by=delay, spec=json.dumps(proposed["spec"]))
                asyncio.ensure_future(self.write_late(delay, method, kind, name, proposed))
                # The connection returns nothing further.
                await asyncio.sleep(30)
                raise Closed
            status, answer = await self.write(method, kind, name, proposed)
        await asyncio.sleep(0.004)
        data = json.dumps(answer).encode() if answer is not None else b"{}"
        writer.write(message(status, data, {"Content-Type": "application/json"}))

    def list(self, kind, after):
        """Returns the first objects of a kind whose names come after the given one."""
        names = sorted(name for item_kind, name in self.objects if item_kind == kind and name > after)
        items = [self.objects[kind, name] for name in names[:500]]
        return {"items": items, "more": len(names) > len(items), "storeRevision": self.revision}

    async def watch(self, kind, revision, wait):
        """Returns the changes of a kind after a revision, waiting for the first."""
        end = time.monotonic() + wait
        while True:
            events = [event for number, event_kind, event in self.history if number > revision and event_kind == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Engine(Server):
    """A model engine with places for adapters, or an engine of a plain service when it has no slots for adapters."""

    def __init__(self, store, record, name, zone, service, *, adapter_slots=8, version="v1", events=10, event_s=0.03):
        super().__init__()
        self.store, self.record, self.name, self.zone, self.service = store, record, name, zone, service
        self.adapter_slots, self.version, self.events, self.event_s = adapter_slots, version, events, event_s
        self.adapters, self.coming = {}, {}
        self.seq, self.fence = 0, 0
        self.state = "ready"
        self.newest = {}
        # What was ordered: (time, holder, fence, status). What ran: (time, id, version).
        self.orders, self.runs = [], []
        self.work_s = 0.02
        self.report_lag_s = 0.1
        self.reports = []
        self.note_state()

    async def start(self):
        await super().start()
        await self.publish()
        asyncio.ensure_future(self.beat())

    def entry(self):
        """Returns what the engine writes to the store."""
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                 "slots": 64, "state": self.state, "coldLeftMs": 0, "seq": self.seq}
        if self.adapter_slots:
            entry.update(stage="both", models=[{"name": "m0", "version": 1, "adapters": self.listed()}])
        return entry

    async def crash(self):
        """Ends the engine; its entry expires after three heartbeats."""
        self.state = "gone"
        self.listener.close()
        self.reset_connections()
        await asyncio.sleep(3.6)
        await self.store.put("servers", self.name, None)

    def listed(self):
        """Returns the adapters as reports and entries name them."""
        return [f"{name}@{version}" for name, version in sorted(self.adapters.items())]

    async def publish(self):
        """Writes the engine's entry to the store."""
        await self.store.put("servers", self.name, self.entry())

    async def beat(self):
        """Writes the entry at each heartbeat."""
        while True:
            await asyncio.sleep(1.2)
            if self.state not in ("removed", "gone"):
                await self.publish()

    def lagging_report(self):
        """Returns the report as of `report_lag_s` ago."""
        while len(self.reports) > 1 and self.reports[1][0] <= now() - self.report_lag_s:
            self.reports.pop(0)
        return self.reports[0][1]

    def note_state(self):
        """Keeps the state for later reports."""
        self.reports.append((now(), {
            "stage": "both", "models": [{"name": "m0", "version": 1, "adapters": self.listed()}], "busy": False,
            "seq": self.seq, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 232000, "handles": 0,
            "coming": [f"m0/{name}@{version}" for name, version in self.coming.items()]}))

    async def respond(self, method, target, fields, body, connection):
        writer = connection[1]
        if target == "/-/report":
            body = json.dumps(self.lagging_report()).encode()
            writer.write(message(200, body, {"Content-Type": "application/json"}))
        elif target == "/-/order":
            if fields.get("x-expect-instance", self.name) != self.name:
                writer.write(message(421, b"", {"X-Instance-Id": self.name}))
                return
            order = json.loads(body)
            status = self.apply(order)
            self.orders.append((now(), order["holder"], order["fence"], status))
            self.record.add("order", engine=self.name, holder=order["holder"], fence=order["fence"], status=status,
                            operation=order["operation"], adapter=order.get("adapter"), seq=self.seq)
            writer.write(message(status))
        elif target == "/health":
            writer.write(message(200, b"", {"X-Instance-Id": self.name}))
        else:
            await self.run(fields, body, connection)

    def apply(self, order):
        """Applies an order; returns the status."""
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        name = order.get("adapter")
        if name is None:
            return 200
        version = order.get("version") or self.newest.get(name, 1)
        if order["operation"] == "load":
            if self.adapters.get(name) == version:
                return 200
            if name in self.coming:
                return 202
        if order.get("precondition", self.seq) != self.seq:
            return 409
        self.seq += 1
        if order["operation"] == "unload":
            self.adapters.pop(name, None)
            self.note_state()
            return 200
        self.coming[name] = version
        self.note_state()
        asyncio.get_running_loop().call_later(0.25, self.finish_load, name)
        return 202

    def finish_load(self, name):
        """Ends the load of an adapter."""
        if name in self.coming:
            self.adapters[name] = self.coming.pop(name)
            self.note_state()

    def events_of(self, fields):
        """Returns the number of events of the answer to a request."""
        return self.events

    async def run(self, fields, body, connection):
        """Runs a request, or refuses it with 421."""
        writer = connection[1]
        request = fields.get("x-attempt-id", "")
        adapter = fields.get("x-model", "").partition("/")[2]
        misdirected = fields.get("x-expect-instance", self.name) != self.name
        if misdirected or (adapter and adapter not in self.adapters):
            writer.write(message(421, b"", {"X-Instance-Id": self.name, "X-Attempt-Id": request}))
            return
        events = self.events_of(fields)
        self.runs.append((now(), request, self.adapters.get(adapter)))
        self.record.add("run", engine=self.name, id=request, adapter=adapter, version=self.adapters.get(adapter))
        stamp = {"X-Attempt-Id": request, "X-Response-Stamp": f"{self.name}.{request}"}
        await asyncio.sleep(self.work_s)
        if not adapter:
            writer.write(message(200, f"{self.name} {request}".encode(), stamp))
            return
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in stamp.items())
        writer.write(head.encode() + b"\r\n")
        for number in range(int(fields.get("last-event-id", 0)) + 1, events + 1):
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


def configuration(version, routes, services, idle_ms=15000):
    """Returns a configuration as the operator writes it."""
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms}}


def route(name, prefix, kind, service, **fields):
    """Returns a route."""
    return {"name": name, "host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 6000,
            "targetLatencyMs": 1000, "priority": 1, "service": service, "maxAttempts": 1, **fields}


MODEL_SERVICE = {"name": "llm", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False,
                 "engine": {"slots": 64, "kvCapacityTokens": 232000, "kvTokenBytes": 327680, "linkMbps": 1100000.0,
                            "models": [{"name": "m0", "mb": 65500.0, "loadS": 1.9, "adapters": 3000, "adapterMb": 40.0}],
                            "mb": 67100.0, "adapterSlots": 8, "loadsPerS": 2.8}}
PLAIN_SERVICE = {"name": "plain", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}


class Node:
    """An entry node process, on a loopback address of its own."""

    def __init__(self, number, ports, seeds, store, zone, folder):
        self.name = f"front-{zone}-{number}"
        self.ip = node_address(number)
        self.ports, self.zone, self.folder, self.store = ports, zone, folder, store
        self.seeds = seeds
        self.process = None

    async def start(self):
        """Starts the process with the command of the deploy file."""
        settings = pathlib.Path(self.folder) / f"{self.name}.json"
        settings.write_text(f"""{{
    "name": "{self.name}", "availability_zone": "{self.zone}",
    "listen_callers": "{self.ip}:{self.ports[0]}", "listen_readiness": "{self.ip}:{self.ports[1]}",
    "peer_port": {self.ports[2]}, "metrics_port": {self.ports[3]}, "relay_port": {self.ports[4]},
    "seeds": {json.dumps([f"{seed}:{self.ports[2]}" for seed in self.seeds])}, "store": "{self.store}",
    "upstreams_check_tokens": true, "lease_time_s": 3000e-3, "retry_ratio": 0.2, "retry_slack": 58,
    "retry_window_s": 10, "stop_timeout_s": 8
}}""", encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "LAGOONSADDLE_SETTINGS": str(settings),
                       "LAGOONSADDLE_MEMORY_MIB": "260", "LAGOONSADDLE_DESCRIPTORS_MAX": "4100",
                       "LAGOONSADDLE_VERSION_BOUND_MS": "5000"}
        self.log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(BINARY), "entry", stdout=self.log, stderr=self.log, env=environment, cwd=ROOT)

    def signal(self, number):
        """Sends a signal to the process, if it runs."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Ends the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        """Returns whether the readiness endpoint answers 200."""
        try:
            answer = await call(self.ip, self.ports[1], "GET", "/-/readiness", {}, b"", timeout=1.0)
            return answer.status == 200
        except (OSError, Closed, asyncio.TimeoutError):
            return False


class Answer:
    """What a client has got."""

    def __init__(self, status, fields, body, complete):
        self.status, self.fields, self.body, self.complete = status, fields, body, complete


async def call(host, port, method, target, fields, body, timeout):
    """Sends a request on a new connection; raises Closed when no head comes."""
    return await asyncio.wait_for(call_once(host, port, method, target, fields, body), timeout)


async def call_once(host, port, method, target, fields, body):
    """Sends a request on a new connection without a time limit."""
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        first, answer = await read_head(reader)
        try:
            return Answer(int(first.split(" ")[1]), answer, await read_body(reader, answer, until_end=True), True)
        except Closed:
            return Answer(int(first.split(" ")[1]), answer, b"", False)
    except ConnectionError as failure:
        raise Closed from failure
    finally:
        writer.transport.abort()


def node_address(number):
    """Returns the loopback address of a node; the process id keeps scripts that run at the same time apart."""
    return f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.{10 + number}"


def free_ports(count):
    """Returns distinct ports that are free on the loopback addresses of the nodes."""
    ports = []
    while len(ports) < count:
        probes = [socket.socket() for _ in range(NODES_MAX)]
        try:
            probes[0].bind((node_address(0), 0))
            port = probes[0].getsockname()[1]
            for number, probe in enumerate(probes[1:], 1):
                probe.bind((node_address(number), port))
            if port not in ports:
                ports.append(port)
        except OSError:
            pass
        finally:
            for probe in probes:
                probe.close()
    return ports


async def wait_until(condition, timeout):
    """Waits for a condition; returns whether it held in time."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return True
        await asyncio.sleep(0.02)
    return False


def run(main, folder):
    """Runs a case: `main(record, temporary folder)` returns the exit status. Ends all processes."""
    record = Record(pathlib.Path(folder) / "record.txt")
    status = 2

    async def run_main(temporary):
        # A script that is told to end has to end its processes, too.
        task = asyncio.ensure_future(main(record, temporary))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, RUN_MAX_S)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(run_main(temporary))
    except (Exception, asyncio.CancelledError) as failure:  # The case could not run.
        record.add("error", text=repr(failure))
    finally:
        record.add("exit", status=status)
        record.close()
    return status
