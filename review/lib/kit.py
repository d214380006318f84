"""Stand-ins and helpers of the review's scripts: the platform's store, engines, a plain service, clients and nodes.

All of it runs in one asyncio loop. Nodes are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit codes; run.sh makes 1 of BROKEN, as Python itself exits with 1 on an error.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
STORE_LATENCY_S = 0.004

# Bounds of sites/cmru-pricing.toml, as a process gets them in its settings.
BOUNDS = {"requireFence": True, "leaseMs": 3000, "budgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10,
          "graceS": 8, "drainMs": 2000, "lostMs": 200, "stabilityWindowMs": 3000, "configMs": 2000}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file record.txt: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:9.4f} {text}\n")

    def close(self):
        self.file.close()


class Request:
    """A request as a server has read it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_head(reader):
    """Reads the head of a message; returns its first line and its fields, or nothing at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    return first, {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_body(reader, headers):
    """Reads a body that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, headers=None, body=b""):
    """Returns the bytes of a response with a length."""
    fields = {"Content-Length": len(body), **(headers or {})}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


def json_response(status, value=None, headers=None):
    body = b"" if value is None else json.dumps(value).encode()
    return response(status, {"Content-Type": "application/json", **(headers or {})}, body)


class Server:
    """An HTTP server on a free port of 127.0.0.1. `respond` gets each request."""

    started = []

    def __init__(self, record):
        self.record, self.port, self.server, self.writers = record, 0, None, set()
        Server.started.append(self)

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                if not await self.respond(Request(method, target, headers, body), reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Ends the server: it accepts nothing more and closes its connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def reset_connections(self):
        """Resets all connections, as the end of the process does."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def respond(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self, record):
        super().__init__(record)
        self.revision, self.objects, self.history = 1, {}, []
        self.changed = asyncio.Condition()
        # None, 'busy' (503), 'silent' (no answer) or 'reset'.
        self.down = None
        # Connections that were opened before this number are silent for good.
        self.opened, self.silent_below = 0, 0
        # When each waiting watch has begun, by kind and address of the caller.
        self.watches = {}

    async def put(self, kind, name, spec):
        """Writes an object, or removes it when `spec` is None; the return is the acknowledgement."""
        async with self.changed:
            self.revision += 1
            old = self.objects.get((kind, name))
            removed = spec is None
            value = old if removed else {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
            if removed:
                self.objects.pop((kind, name), None)
            else:
                self.objects[(kind, name)] = value
            self.history.append((self.revision, kind, {"removed": removed, "object": value}))
            self.changed.notify_all()
            return value

    async def unavailable(self, writer):
        """Answers a call while the store is down; returns whether the connection goes on."""
        if self.down == "busy":
            writer.write(json_response(503))
            return True
        if self.down == "reset":
            writer.transport.abort()
            return False
        # A connection on which a response is lost returns nothing further.
        await asyncio.sleep(3600)
        return False

    def silence_open_connections(self):
        """Lets all open connections go silent for good; new ones work."""
        self.silent_below = self.opened + 1

    async def serve(self, reader, writer):
        self.opened += 1
        writer.number = self.opened
        await super().serve(reader, writer)

    async def respond(self, request, reader, writer):
        await asyncio.sleep(STORE_LATENCY_S)
        if writer.number < self.silent_below:
            await asyncio.sleep(3600)
        if self.down:
            return await self.unavailable(writer)
        url = urllib.parse.urlsplit(request.target)
        query = urllib.parse.parse_qs(url.query)
        kind, _, name = url.path.removeprefix("/-/objects/").partition("/")
        if "watch" in query:
            return await self.watch(writer, kind, int(query["watch"][0]), int(query["waitMs"][0]) / 1000)
        if request.method == "GET" and not name:
            items = [value for (item_kind, _), value in sorted(self.objects.items()) if item_kind == kind]
            writer.write(json_response(200, {"items": items, "more": False, "storeRevision": self.revision}))
            return True
        if request.method == "GET":
            value = self.objects.get((kind, name))
            writer.write(json_response(200 if value else 404, value))
            return True
        proposed = json.loads(request.body)
        name = name or proposed["metadata"]["name"]
        current = self.objects.get((kind, name))
        expected = proposed["metadata"].get("revision", 0)
        if expected != (current["metadata"]["revision"] if current else 0):
            writer.write(json_response(409, current))
            return True
        value = await self.put(kind, name, proposed["spec"])
        self.record.write(f"store {request.method} {kind}/{name} {json.dumps(proposed['spec'])[:160]}")
        writer.write(json_response(200, value))
        return True

    async def watch(self, writer, kind, revision, wait_s):
        end = time.monotonic() + wait_s
        self.watches[kind, writer.number] = time.monotonic()
        while True:
            events = [event for number, event_kind, event in self.history if number > revision and event_kind == kind]
            left = end - time.monotonic()
            if events or left <= 0 or self.down:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(min(left, 0.2)):
                    async with self.changed:
                        await self.changed.wait()
        del self.watches[kind, writer.number]
        if writer.number < self.silent_below:
            await asyncio.sleep(3600)
        if self.down:
            return await self.unavailable(writer)
        writer.write(json_response(200, {"events": events, "storeRevision": self.revision}))
        return True


class PlainService(Server):
    """A server of a service without models: runs each request for `work_s` and answers with its body's length."""

    def __init__(self, record, store, name, service, zone, work_s=0.03):
        super().__init__(record)
        self.store, self.name, self.service, self.zone, self.work_s = store, name, service, zone, work_s
        self.runs = {}

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 64,
                "state": state, "coldLeftMs": 0, "seq": 0}

    async def publish(self, state="ready"):
        await self.store.put("servers", self.name, self.entry(state))

    def start_run(self, request):
        """Records that a request begins to run."""
        identity = request.headers.get("x-attempt-id", "")
        self.runs[identity] = self.runs.get(identity, 0) + 1
        self.record.write(f"run {self.name} {identity} {request.method} {request.target} body={request.body[:60]!r}")

    async def respond(self, request, reader, writer):
        identity = request.headers.get("x-attempt-id", "")
        if request.target == "/health":
            writer.write(response(200, {"X-Instance-Id": self.name}))
            return True
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, {"X-Attempt-Id": identity, "X-Not-Executed": "1"}))
            return True
        if not identity:
            writer.write(response(400, {"X-Not-Executed": "1"}))
            return True
        self.start_run(request)
        await asyncio.sleep(self.work_s)
        body = f"{self.name} {identity} {len(request.body)}".encode().ljust(800, b".")
        writer.write(response(200, {"X-Attempt-Id": identity, "X-Response-Stamp": "s." + identity}, body))
        self.record.write(f"answered {self.name} {identity}")
        return True


def render(template, values):
    """Fills in the placeholders {{a.b}} and {{a.b|json}} of a settings template."""
    def value_of(match):
        value = values
        for part in match["path"].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if match["json"]:
            return json.dumps(value)
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)
    return re.sub(r"{{(?P<path>[\w.]+)(?P<json>\|json)?}}", value_of, template)


def loopback(number):
    """Returns a loopback address that no other run of a script is likely to use."""
    process = os.getpid()
    return f"127.{1 + process // 256 % 254}.{process % 256}.{number}"


def free_ports(count):
    """Returns `count` adjacent ports that are free."""
    for first in range(20000 + os.getpid() % 2000 * 5, 32000):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((loopback(11), port))
            except OSError:
                continue
            return first
    raise CannotRun("no free ports")


class Node:
    """An entry node: a process with a loopback address of its own, started as deploy/system.toml says."""

    numbers = itertools.count(11)
    first_port = None

    def __init__(self, folder, store, name, zone, seeds, bounds=BOUNDS, descriptors=None):
        # The limit of `limits.maxFds`, which the platform sets for each process.
        self.descriptors = descriptors
        self.choose_ports()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self.name, self.zone, self.ip = name, zone, loopback(next(self.numbers))
        self.front, self.ready = Node.first_port, Node.first_port + 1
        self.control = f"{self.ip}:{Node.first_port + 2}"
        values = {"nodeName": name, "zone": zone, "listen": {"front": f"{self.ip}:{self.front}",
                                                            "ready": f"{self.ip}:{self.ready}"},
                  "internalPorts": [Node.first_port + 3, Node.first_port + 7], "seeds": seeds or [self.control],
                  "platform": {"address": store.address}, "bounds": bounds}
        self.settings = pathlib.Path(folder) / f"{name}.json"
        self.settings.write_text(render((ROOT / role["template"]).read_text(), values))
        self.command = [str(ROOT / role["run"].split()[0]), *role["run"].split()[1:]]
        self.log = open(pathlib.Path(folder) / f"{name}.log", "a+", encoding="utf-8")
        self.process = None
        self.run()

    @classmethod
    def choose_ports(cls):
        """Chooses the ports of all nodes of this run; returns the first one."""
        if cls.first_port is None:
            cls.first_port = free_ports(8)
        return cls.first_port

    def run(self):
        limit = self.descriptors and (
            lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors)))
        self.process = subprocess.Popen(self.command, stdout=self.log, stderr=self.log, cwd=ROOT, preexec_fn=limit,
                                        env={**os.environ, "LAGOONSADDLE_SETTINGS": str(self.settings)})

    def log_text(self):
        return pathlib.Path(self.log.name).read_text(encoding="utf-8", errors="replace")

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def end(self):
        self.kill()
        self.log.close()


async def eventually(condition, what, timeout_s=20):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(0.05)
    raise CannotRun(f"timed out waiting until {what}")


class Client:
    """A client with one connection that it keeps open."""

    def __init__(self, record, node, host):
        self.record, self.node, self.host, self.reader, self.writer = record, node, host, None, None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.node.ip, self.node.front)

    async def send(self, identity, method="POST", target="/a/1", body=b"x", headers=None, deadline_ms=1000):
        """Sends a request; returns the status and the body, or None when the connection ends before the answer does."""
        if self.writer is None:
            await self.connect()
        fields = {"Host": self.host, "X-Attempt-Id": identity, "X-Deadline-Ms": deadline_ms,
                  "Content-Length": len(body), **(headers or {})}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.record.write(f"send {self.node.name} {identity} {method} {target}")
        try:
            self.writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            head = await read_head(self.reader)
            if head is None:
                raise ConnectionError
            status = int(head[0].split(" ")[1])
            content = await read_body(self.reader, head[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record.write(f"end {identity} connection ended without a complete answer")
            self.close()
            return None
        self.record.write(f"answer {identity} {status} stamp={head[1].get('x-response-stamp')}")
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return status, content

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


async def play(case, record, scratch, nodes):
    """Plays a case and closes the stand-ins after it."""
    try:
        return await case(record, scratch, nodes)
    finally:
        for node in nodes:
            node.kill()
        for server in Server.started:
            if server.server:
                server.server.close()
            server.reset_connections()
        await asyncio.sleep(0.1)


def run_case(folder, case):
    """Runs a case `async def case(record, scratch, nodes)`, ends what it started, and exits with its verdict."""
    record = Record(folder)
    nodes, verdict = [], COULD_NOT_RUN

    def stop(*_):
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(COULD_NOT_RUN)

    # A script that takes too long ends its nodes, too.
    signal.signal(signal.SIGTERM, stop)
    try:
        with tempfile.TemporaryDirectory() as scratch:
            try:
                verdict = asyncio.run(play(case, record, scratch, nodes))
            finally:
                for node in nodes:
                    if os.environ.get("KEEP_LOGS"):
                        pathlib.Path(os.environ["KEEP_LOGS"], f"{node.name}.log").write_text(node.log_text())
                    node.end()
    except Exception as failure:  # A fault of the script is no broken rule.
        verdict = COULD_NOT_RUN
        record.write(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}", file=sys.stderr)
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(verdict, "no verdict"))
    record.close()
    sys.exit(verdict)
