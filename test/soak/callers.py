"""The callers of the soak test and their calls."""

import contextlib
import http.client
import itertools
import random
import re
import socket
import threading
import time

import upstreams
from engine_link import RESET_ON_CLOSE

ADAPTERS = 14
CALLERS = 16
DEADLINE_MS = 4_000
WAIT_LIMIT_S = DEADLINE_MS / 1000 + 4.0
FIRST_PARTS = 2
PROMPT_PARTS = 6
CRASHING_SHARE = 0.15
STREAM_KINDS = ("stream", "resumable")
# A caller takes a stream up so often, on any node, unless its deadline has passed.
CONTINUATIONS_MAX = 2
LONG_SHARE = 0.1
LONG_S = 2.5
# Callers that leave in the middle of a long answer; most of their streams are taken up at another node.
LEAVING_SHARE = 0.2
LEAVING_AFTER_MAX_S = 1.0
LEFT_TAKEN_UP_SHARE = 0.7
WAYS_TO_LEAVE = ("close", "reset", "half_close")
HALF_CLOSED_S = 2.0
EARLY_SHARE = 0.15
LEAVING_EARLY_SHARE = 0.5
UNFINISHED_SHARE = 0.5
EARLY_DELAYS_S = (0.0, 0.005, 0.03)
# What callers send early: an empty line, or the first bytes of any next request.
EARLY_BYTES = (b"\r\n", b"POST /")
# The begin of a next request that is never sent whole.
NEXT_REQUEST = b"POST /safe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
EARLY_SIZES = (10, 4_000, 100_000)
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\S+)\n\n")


class Event:
    """One event of a stream, as its engine has labelled it."""

    def __init__(self, match):
        self.number, self.adapter = int(match[1]), match[2].decode()
        self.first_request, self.version = match[3].decode(), match[4].decode()


class Call:
    """One request of a caller and its result: status 0 without a response, no body when it was truncated."""

    def __init__(self, request_id, node, kind, adapter):
        self.id, self.node, self.kind, self.adapter = request_id, node, kind, adapter
        self.parts = []
        self.begin = self.end = time.monotonic()
        self.status, self.body, self.path = 0, None, ""
        # What has arrived of the body, also when it was truncated.
        self.received = b""
        self.sent = False
        # The call that brought the first event of a stream which this one goes on with, and the last event it had.
        self.resumes, self.last_event = None, 0
        # Engines that served the version of the stream when the call began and when it ended.
        self.engines_of_version = 0
        # How and when the caller is to leave in the middle of the answer, and when it has left.
        self.way_to_leave, self.leave_at, self.left_at = "", float("inf"), None
        self.early_bytes, self.early_delay_s, self.run_s = b"", 0.0, None

    def draw_habits(self, rng):
        """Draws the length of the run, bytes that are sent early, and whether the caller leaves before the end."""
        is_leaving = rng.random() < LEAVING_SHARE
        self.run_s = LONG_S if is_leaving or rng.random() < LONG_SHARE else None
        if is_leaving:
            self.way_to_leave = rng.choice(WAYS_TO_LEAVE)
            self.leave_at = time.monotonic() + rng.uniform(0.0, LEAVING_AFTER_MAX_S)
        if rng.random() < (LEAVING_EARLY_SHARE if is_leaving else EARLY_SHARE):
            self.early_delay_s = rng.choice(EARLY_DELAYS_S)
            self.early_bytes = rng.choice(EARLY_BYTES)
            if is_leaving and rng.random() < UNFINISHED_SHARE:
                self.early_bytes = NEXT_REQUEST + b"x" * rng.choice(EARLY_SIZES)

    @property
    def complete(self):
        """Returns whether the complete response body arrived."""
        return self.body is not None

    @property
    def served(self):
        """Returns whether the whole answer of an upstream arrived."""
        return self.status == 200 and self.complete

    @property
    def events(self):
        """Returns the events that have arrived."""
        return [Event(match) for match in EVENT.finditer(self.received)] if self.status == 200 else []


class Connection(http.client.HTTPConnection):
    """A connection to a node; its caller may send bytes before the answer has ended, and may leave."""

    early = b""

    def send_early(self, data):
        self.early = data
        self.sock.sendall(data)

    def send(self, data):
        """Sends the bytes of a request as far as they were not sent early."""
        super().send(data.removeprefix(self.early))
        self.early = b""


def limit_wait(sock, end):
    """Lets a wait for the socket end at a time, or after WAIT_LIMIT_S."""
    remaining_s = min(end - time.monotonic(), WAIT_LIMIT_S)
    if remaining_s <= 0:
        raise TimeoutError
    sock.settimeout(remaining_s)


class Callers:
    """Threads that send random requests, partly over persistent connections, and take up streams that broke."""

    def __init__(self, cluster, seed):
        self.cluster, self.calls, self.lock, self.running = cluster, [], threading.Lock(), True
        self.request_numbers = itertools.count(1)
        self.threads = [threading.Thread(target=self.run_caller, args=(random.Random(f"{seed}/{number}"),),
                                         daemon=True) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()

    def run_caller(self, rng):
        open_connections = {}
        while self.running:
            kind = rng.choice(["stream", "resumable", "resumable", "safe", "unsafe", "moving"])
            parts = [f"f{rng.randrange(FIRST_PARTS)}", f"p{rng.randrange(PROMPT_PARTS)}"]
            if rng.random() < CRASHING_SHARE:
                parts += sorted(self.cluster.crashing_parts)
            # A request that has begun goes on at once.
            begun = [node for node in self.cluster.nodes
                     if node.name in open_connections and open_connections[node.name].early]
            call = self.send_request(rng.choice(begun or self.cluster.nodes), kind, f"a{rng.randrange(ADAPTERS)}",
                                     open_connections, rng.random() < 0.7, parts, rng=rng)
            if kind == "resumable":
                self.take_up(call, rng, open_connections)
            time.sleep(rng.uniform(0.0, 0.15))

    def take_up(self, call, rng, open_connections):
        """Sends further requests for a stream that broke after an event, each naming the first call of all."""
        first, last, deadline = call, call, call.begin + DEADLINE_MS / 1000
        for _ in range(CONTINUATIONS_MAX):
            events = last.events
            if last.left_at and rng.random() > LEFT_TAKEN_UP_SHARE:
                return
            nodes = [node for node in self.cluster.nodes if not last.left_at or node is not last.node]
            if last.complete and last.status == 200 or not events and last is first or time.monotonic() > deadline:
                return
            last = self.send_request(rng.choice(nodes or self.cluster.nodes), call.kind, call.adapter,
                                     open_connections, False, call.parts, resumes=first,
                                     last_event=events[-1].number if events else last.last_event)

    @staticmethod
    def read_body(response, call, sock):
        """Reads the body of a response; keeps what arrives of a stream, also when it is truncated."""
        if not response.chunked:
            call.received = response.read()
            return
        while piece := response.read1():
            call.received += piece
            limit_wait(sock, call.leave_at)

    def leave(self, call, sock, open_parts):
        """Leaves in the middle of an answer; a half-closed connection is closed HALF_CLOSED_S later."""
        half_close = call.way_to_leave == "half_close"
        with contextlib.suppress(OSError):
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            elif call.way_to_leave == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        for part in filter(None, open_parts):
            if half_close:
                self.cluster.call_later(HALF_CLOSED_S, part.close)
            else:
                part.close()
        call.left_at = time.monotonic()

    def send_request(self, node, kind, adapter, open_connections=None, keep_open=False, parts=(), resumes=None,
                     last_event=0, rng=None):
        """Sends one request and returns the finished call; with `keep_open`, keeps its connection for later calls."""
        with self.lock:
            call = Call(f"{next(self.request_numbers):016x}", node, kind, adapter)
            self.calls.append(call)
        open_connections = {} if open_connections is None else open_connections
        call.path = (self.cluster.configurations[-1][1] if kind == "moving" else f"/{kind}/") + "x"
        headers = {"Host": "h", "X-Attempt-Id": call.id, "X-Deadline-Ms": str(DEADLINE_MS)}
        if kind in STREAM_KINDS:
            call.parts = list(parts)
            headers.update({"X-Model": f"m/{adapter}", "X-Token-Count": "10,4",
                            "X-Prompt-Prefix": ",".join(f"{part}:5" for part in [*parts, call.id])})
        if resumes:
            call.resumes, call.last_event = resumes, last_event
            call.run_s = resumes.run_s
            headers.update({"Resumes": resumes.id, "Last-Event-Id": str(last_event)})
            call.engines_of_version = self.cluster.count_serving(resumes.events[0].version)
        elif rng:
            call.draw_habits(rng)
        if call.run_s:
            headers[upstreams.RUN_LENGTH_FIELD] = str(call.run_s)
        connection = open_connections.pop(node.name, None) or Connection(
            node.ip, self.cluster.ports[0], timeout=WAIT_LIMIT_S)
        response = None
        try:
            connection.request("POST", call.path, f"body{call.id}".encode(), headers)
            call.sent = True
            sock = connection.sock
            limit_wait(sock, call.leave_at)
            if call.early_bytes:
                time.sleep(call.early_delay_s)
                connection.send_early(call.early_bytes)
            response = connection.getresponse()
            call.status = response.status
            self.read_body(response, call, sock)
            call.body = call.received
            if keep_open and not response.will_close and not call.way_to_leave:
                open_connections[node.name] = connection
                connection = None
        except TimeoutError:
            if call.sent and call.way_to_leave:
                self.leave(call, sock, (response, connection))
                connection = None
        except (OSError, http.client.HTTPException):
            pass
        finally:
            call.end = time.monotonic()
            if connection:
                connection.close()
        if resumes:
            call.engines_of_version = min(
                call.engines_of_version, self.cluster.count_serving(resumes.events[0].version))
        return call
