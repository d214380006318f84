"""The callers of the soak test and their calls."""

import http.client
import itertools
import random
import threading
import time

ADAPTERS = 14
CALLERS = 12
DEADLINE_MS = 4_000
FIRST_PARTS = 2
PROMPT_PARTS = 6
CRASHING_SHARE = 0.15


class Call:
    """One request of a caller and its result: status 0 without a response, no body when it was truncated."""

    def __init__(self, request_id, node, kind, adapter):
        self.id, self.node, self.kind, self.adapter = request_id, node, kind, adapter
        self.parts = []
        self.begin = self.end = time.monotonic()
        self.status, self.body, self.path = 0, None, ""
        self.sent = False

    @property
    def complete(self):
        """Returns whether the complete response body arrived."""
        return self.body is not None


class Callers:
    """Threads that send random requests, partly over persistent connections."""

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
            kind = rng.choice(["stream", "stream", "safe", "unsafe", "moving"])
            parts = [f"f{rng.randrange(FIRST_PARTS)}", f"p{rng.randrange(PROMPT_PARTS)}"]
            if rng.random() < CRASHING_SHARE:
                parts += sorted(self.cluster.crashing_parts)
            self.send_request(rng.choice(self.cluster.nodes), kind, f"a{rng.randrange(ADAPTERS)}", open_connections,
                              rng.random() < 0.7, parts)
            time.sleep(rng.uniform(0.0, 0.15))

    def send_request(self, node, kind, adapter, open_connections=None, keep_open=False, parts=()):
        """Sends one request and returns the finished call; with `keep_open`, keeps its connection for later calls."""
        with self.lock:
            call = Call(f"{next(self.request_numbers):016x}", node, kind, adapter)
            self.calls.append(call)
        open_connections = {} if open_connections is None else open_connections
        call.path = (self.cluster.configurations[-1][1] if kind == "moving" else f"/{kind}/") + "x"
        headers = {"Host": "h", "X-Attempt-Id": call.id, "X-Deadline-Ms": str(DEADLINE_MS)}
        if kind == "stream":
            call.parts = list(parts)
            headers.update({"X-Model": f"m/{adapter}", "X-Token-Count": "10,4",
                            "X-Prompt-Prefix": ",".join(f"{part}:5" for part in [*parts, call.id])})
        connection = open_connections.pop(node.name, None) or http.client.HTTPConnection(
            node.ip, self.cluster.ports[0], timeout=(DEADLINE_MS + 4_000) / 1000)
        try:
            connection.request("POST", call.path, f"body{call.id}".encode(), headers)
            call.sent = True
            response = connection.getresponse()
            call.status = response.status
            call.body = response.read()
            if keep_open and not response.will_close:
                open_connections[node.name] = connection
                connection = None
        except (OSError, http.client.HTTPException):
            pass
        finally:
            call.end = time.monotonic()
            if connection:
                connection.close()
        return call
