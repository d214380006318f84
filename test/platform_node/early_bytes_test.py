"""Tests that a caller which leaves is noticed behind bytes that it has sent early, such as a pipelined request."""

import contextlib
import re
import select
import socket
import struct
import time
import unittest

import standin
from entry_node_case import CONFIGURATION, EntryNodeCase

EVENT_INTERVAL_S = 0.5
# Limits of the rules: work of two engines on one stream, and work for a caller that has left.
OVERLAP_LIMIT_S = 0.4
GONE_LIMIT_S = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def next_request(size):
    """Returns a next request with a body of the given size."""
    return b"POST /a/2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size


EARLY_BYTES = {"nothing": b"", "empty_line": b"\r\n", "10_bytes": b"POST /a/2 ", "4_kb": next_request(4_000),
               "20_kb": next_request(20_000), "100_kb": next_request(100_000)}


def close(connection):
    connection.close()


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def half_close(connection):
    connection.shutdown(socket.SHUT_WR)


class BusyEngine(standin.Engine):
    """An engine that serves one stream at a time, ends with its connection, and records when it was at work."""

    def __init__(self, *arguments):
        # Begin and end of the work on each request by its id; the end is None while it lasts.
        self.work = {}
        super().__init__(*arguments)

    def execute(self, handler):
        request_id = handler.headers["X-Attempt-Id"]
        with self.lock:
            if self.is_at_work():
                return handler.reply(503, headers={"X-Not-Executed": "1", "X-Attempt-Id": request_id})
        return super().execute(handler)

    def is_at_work(self):
        return any(end is None for _, end in self.work.copy().values())

    def send_stream(self, handler, adapter):
        request_id, begin = handler.headers["X-Attempt-Id"], time.monotonic()
        self.work[request_id] = (begin, None)
        try:
            super().send_stream(handler, adapter)
        finally:
            self.work[request_id] = (begin, time.monotonic())

    def send_event(self, handler, number, data):
        super().send_event(handler, number, data)
        closed = select.poll()
        closed.register(handler.connection, select.POLLRDHUP)
        if closed.poll(EVENT_INTERVAL_S * 1000):
            raise ConnectionResetError


class EarlyBytesTest(EntryNodeCase):
    """Two nodes; callers leave the first in the middle of a stream and go on at the second."""

    ENGINE_TYPE = BusyEngine
    ENGINE_COUNT = 3
    CONFIGURATION = {**CONFIGURATION, "routes": [
        {**CONFIGURATION["routes"][0], "name": "s", "pathPrefix": "/s/", "resumable": True, "maxAttempts": 2},
        CONFIGURATION["routes"][0]]}

    def setUp(self):
        super().setUp()
        self.start_fleet(2)

    @staticmethod
    def connect(node):
        return socket.create_connection((node.ip, node.ports[0]), timeout=10)

    def begin(self, connection, request_id, fields=""):
        """Sends a request for a stream and returns the connection once its first event has come."""
        connection.sendall(f"POST /s/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {request_id}\r\nX-Model: m/a0\r\n"
                           f"X-Token-Count: 10,4\r\nX-Deadline-Ms: 8000\r\nContent-Length: 1\r\n{fields}\r\nx".encode())
        received = b""
        while not re.search(rb"id: \d+\ndata: a0\n\n", received):
            piece = connection.recv(4096)
            self.assertTrue(piece, received)
            received += piece
        return connection

    def work(self, request_id):
        """Returns the begin and the end of the work on a request at the engines."""
        work = [engine.work[request_id] for engine in self.engines if request_id in engine.work]
        self.assertEqual(1, len(work))
        return work[0]

    def leave(self, connection, leave, early):
        """Lets a caller leave after early bytes; returns for how long the engine before worked on after the begin of
        the next one, and after the caller had left."""
        first, second = next(self.ids), next(self.ids)
        with contextlib.closing(self.begin(connection, first)):
            connection.sendall(early)
            leave(connection)
            left = time.monotonic()
            resumed = self.begin(self.connect(self.nodes[1]), second, f"Last-Event-Id: 1\r\nResumes: {first}\r\n")
            with contextlib.closing(resumed):
                self.eventually(lambda: self.work(first)[1], "the engine before has ended its work")
        self.eventually(lambda: not any(engine.is_at_work() for engine in self.engines), "the engines are idle")
        end = self.work(first)[1]
        return end - self.work(second)[0], end - left

    def test_caller_that_leaves_after_early_bytes_is_noticed(self):
        """Guards against an engine that works on beside its successor, or for nobody, as the bytes hide the end."""
        failures = []
        for name, early in EARLY_BYTES.items():
            for leave in (close, reset, half_close):
                overlap, late = self.leave(self.connect(self.nodes[0]), leave, early)
                if overlap > OVERLAP_LIMIT_S or late > GONE_LIMIT_S:
                    failures.append(f"{name} {leave.__name__}: overlap {overlap:.2f} s, after the end {late:.2f} s")
        self.assertFalse(failures, "\n".join(failures))


if __name__ == "__main__":
    unittest.main()
