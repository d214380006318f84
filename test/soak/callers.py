"""The callers of the soak test and their calls."""

import http.client
import itertools
import random
import re
import threading
import time

ADAPTERS = 14
CALLERS = 12
DEADLINE_MS = 4_000
FIRST_PARTS = 2
PROMPT_PARTS = 6
CRASHING_SHARE = 0.15
STREAM_KINDS = ("stream", "resumable")
# A caller takes a stream up so often, on any node, unless its deadline has passed.
CONTINUATIONS_MAX = 2
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
            call = self.send_request(rng.choice(self.cluster.nodes), kind, f"a{rng.randrange(ADAPTERS)}",
                                     open_connections, rng.random() < 0.7, parts)
            if kind == "resumable":
                self.take_up(call, rng, open_connections)
            time.sleep(rng.uniform(0.0, 0.15))

    def take_up(self, call, rng, open_connections):
        """Sends further requests for a stream that broke after an event, each naming the first call of all."""
        first, last, deadline = call, call, call.begin + DEADLINE_MS / 1000
        for _ in range(CONTINUATIONS_MAX):
            events = last.events
            if last.complete and last.status == 200 or not events and last is first or time.monotonic() > deadline:
                return
            last = self.send_request(rng.choice(self.cluster.nodes), call.kind, call.adapter, open_connections, False,
                                     call.parts, resumes=first,
                                     last_event=events[-1].number if events else last.last_event)

    @staticmethod
    def read_body(response, call):
        """Reads the body of a response; keeps what arrives of a stream, also when it is truncated."""
        if not response.chunked:
            call.received = response.read()
            return
        while piece := response.read1():
            call.received += piece

    def send_request(self, node, kind, adapter, open_connections=None, keep_open=False, parts=(), resumes=None,
                     last_event=0):
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
            headers.update({"Resumes": resumes.id, "Last-Event-Id": str(last_event)})
            call.engines_of_version = self.cluster.count_serving(resumes.events[0].version)
        connection = open_connections.pop(node.name, None) or http.client.HTTPConnection(
            node.ip, self.cluster.ports[0], timeout=(DEADLINE_MS + 4_000) / 1000)
        try:
            connection.request("POST", call.path, f"body{call.id}".encode(), headers)
            call.sent = True
            response = connection.getresponse()
            call.status = response.status
            self.read_body(response, call)
            call.body = call.received
            if keep_open and not response.will_close:
                open_connections[node.name] = connection
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
