"""Tests what callers get when the answer to a resumed stream is no continuation: direct, and through a relay."""

import contextlib
import http.client
import socket
import struct
import time
import unittest

import standin
from entry_node_case import COMPLETE_STREAM, CONFIGURATION, EntryNodeCase
from partition_test import STABILITY_S, PartitionCase

CUT_AFTER = 2
# The node continues a broken stream on the first route, and leaves it to the caller on the second.
CONTINUED_PATH, CALLER_PATH = "/c/", "/r/"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def resumable_route(name, path, attempts):
    return {**CONFIGURATION["routes"][0], "name": name, "pathPrefix": path, "resumable": True, "maxAttempts": attempts}


RESUMABLE_CONFIGURATION = {**CONFIGURATION, "routes": [
    *CONFIGURATION["routes"], resumable_route("c", CONTINUED_PATH, 2), resumable_route("r", CALLER_PATH, 1)]}

SSE, JSON, TEXT = "text/event-stream", "application/json", "text/plain"
NEXT_EVENT = b"id: 3\ndata: a0\n\n"
LAST_EVENTS = NEXT_EVENT + b"id: 4\ndata: a0\n\n"
FIRST_EVENTS = b"id: 1\ndata: a0\n\nid: 2\ndata: a0\n\n"
ERROR_JSON = b'{"error":\n\n"no memory"}\n\n'
ERROR_TEXT = b"out of memory\n\nsee the log\n\n"
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nout of memory\n\n"
# Answers that are no continuation: status, content type and body.
BAD_ANSWERS = {
    "json": (200, JSON, ERROR_JSON), "text": (200, TEXT, ERROR_TEXT), "text_as_stream": (200, SSE, ERROR_TEXT),
    "json_as_stream": (200, SSE, ERROR_JSON), "head_after_event": (200, SSE, NEXT_EVENT + ERROR_HEAD),
    "head_at_once": (200, SSE, ERROR_HEAD), "from_start": (200, SSE, FIRST_EVENTS + LAST_EVENTS),
    "events_as_json": (200, JSON, LAST_EVENTS), "no_type": (200, None, LAST_EVENTS),
    "without_ids": (200, SSE, b"data: a0\n\ndata: a0\n\n"), "comment": (200, SSE, b": ping\n\n"), "empty": (200, SSE, b""),
    "no_content": (204, None, b""), "created": (201, SSE, LAST_EVENTS), "partial": (206, SSE, LAST_EVENTS),
    "error_500": (500, TEXT, ERROR_TEXT), "error_500_events": (500, SSE, LAST_EVENTS), "error_503": (503, TEXT, ERROR_TEXT),
    "error_404": (404, JSON, ERROR_JSON), "redirect": (302, TEXT, ERROR_TEXT)}
FRAMINGS = ("length", "chunks", "close", "http_1_0")
# A caller that resumes a stream has told nothing of its content type, so that an answer without one goes on.
SOUND_FOR_CALLERS = ("no_type",)


class TableEngine(standin.Engine):
    """An engine that cuts streams which begin, and answers the resumed ones as a row of the table says."""

    def __init__(self, *arguments):
        self.answer, self.framing = None, "length"
        super().__init__(*arguments)

    def send_stream(self, handler, adapter):
        if not self.answer:
            return super().send_stream(handler, adapter)
        if handler.headers["Last-Event-Id"]:
            return self.send_answer(handler, *self.answer)
        self.send_stream_head(handler)
        for number in range(1, CUT_AFTER + 1):
            self.send_event(handler, number, adapter)
        handler.close_connection = True
        return None

    def send_answer(self, handler, status, content_type, body):
        version = "1.0" if self.framing == "http_1_0" else "1.1"
        lines = [f"HTTP/{version} {status} Any", f"X-Attempt-Id: {handler.headers['X-Attempt-Id']}", "X-Response-Stamp: s"]
        if content_type:
            lines.append(f"Content-Type: {content_type}")
        if status != 204 and self.framing == "length":
            lines.append(f"Content-Length: {len(body)}")
        if status != 204 and self.framing == "chunks":
            lines.append("Transfer-Encoding: chunked")
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        handler.wfile.write("\r\n".join([*lines, "", ""]).encode() + body)
        handler.close_connection = self.framing not in ("length", "chunks")


class ResumedAnswerCase:
    """The table, for nodes that reach their engines in one way."""

    ENGINE_TYPE = TableEngine
    CONFIGURATION = RESUMABLE_CONFIGURATION

    def set_answer(self, name, framing="length"):
        for engine in self.engines:
            engine.answer, engine.framing = BAD_ANSWERS.get(name), framing

    def resume(self, node, path=CALLER_PATH):
        """Sends the request of a caller that has the first two events; returns the status and the body."""
        headers = {"Host": "h", "X-Attempt-Id": next(self.ids), "X-Model": "m/a0", "X-Token-Count": "10,4",
                   "X-Deadline-Ms": "8000", "Last-Event-Id": str(CUT_AFTER), "Resumes": self.first_request}
        connection = http.client.HTTPConnection(node.ip, node.ports[0], timeout=30)
        with contextlib.closing(connection):
            connection.request("POST", path, b"x", headers)
            try:
                response = connection.getresponse()
                return response.status, response.read()
            except (OSError, http.client.HTTPException):
                return 0, None

    def begin(self, node):
        """Begins a stream that breaks off, for callers to resume."""
        self.first_request = next(self.ids)
        self.assertEqual((200, None), node.send_request(self.first_request, "a0", CALLER_PATH))

    def check_table(self, node, framings):
        failures = []
        for framing in framings:
            for name in BAD_ANSWERS:
                self.set_answer(name, framing)
                status, body = self.send_continued(node)
                if body is not None:
                    failures.append((framing, name, "node", status, body))
                self.begin(node)
                status, body = self.resume(node)
                if status == 200 and body is not None and name not in SOUND_FOR_CALLERS:
                    failures.append((framing, name, "caller", status, body))
        self.assertEqual([], failures, f"{len(failures)} answers look complete")

    def send_continued(self, node):
        try:
            return node.send_request(next(self.ids), "a0", CONTINUED_PATH)
        except (OSError, http.client.HTTPException):
            return 0, None

    def check_sound(self, node):
        """Checks that a sound continuation is passed on whole in each framing."""
        BAD_ANSWERS["sound"] = (200, SSE + "; charset=utf-8", LAST_EVENTS)
        self.addCleanup(BAD_ANSWERS.pop, "sound")
        for framing in FRAMINGS:
            self.set_answer("sound", framing)
            self.begin(node)
            self.assertEqual((200, LAST_EVENTS), self.resume(node), framing)


class DirectResumedAnswerTest(ResumedAnswerCase, EntryNodeCase):
    """One node that reaches its engines itself."""

    def setUp(self):
        super().setUp()
        self.start_fleet(1)

    def test_answer_that_does_not_go_on_with_stream_never_looks_complete(self):
        """Whatever an engine answers to a resumed stream, only its next events may be a part of it, or complete it."""
        self.check_table(self.nodes[0], FRAMINGS)

    def test_answer_that_goes_on_with_stream_is_passed_on(self):
        """A sound continuation must reach the caller whole, however it is framed."""
        self.check_sound(self.nodes[0])


class RelayedResumedAnswerTest(ResumedAnswerCase, PartitionCase):
    """A node that is partitioned from its engines, and reaches them through its peers."""

    ENGINE_COUNT = 3
    NODE_COUNT = 2
    ADAPTER_COUNT = 1

    def test_relayed_answer_that_does_not_go_on_with_stream_never_looks_complete(self):
        """The same through a relay, where the peer passes on the bytes of the engine."""
        self.start_partition_fleet()
        self.views[0].cut("hang")
        outcomes = []
        self.send_requests(self.nodes[0], time.monotonic() + STABILITY_S, outcomes)
        self.assertTrue(outcomes[-1].served)
        self.check_table(self.nodes[0], ("length", "close"))
        self.check_sound(self.nodes[0])


# Where a head breaks off: what stands before.
BROKEN_HEADS = {
    "nothing": b"", "status_line": b"HTTP/1.1 20", "after_status_line": b"HTTP/1.1 200 OK\r\n",
    "inside_field": b"HTTP/1.1 200 OK\r\nX-Attempt", "after_field": b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n",
    "before_blank_line": b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n",
    "before_length": b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nContent-Length:",
    "inside_length": b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nContent-Length: 1",
    "inside_refusal": b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Le"}


class BrokenHeadEngine(standin.Engine):
    """An engine that stops in the middle of the head of its answer and closes or resets the connection."""

    def __init__(self, *arguments):
        self.head, self.resets, self.piece_size = None, False, None
        super().__init__(*arguments)

    def send_stream(self, handler, adapter):
        if self.head is None:
            return super().send_stream(handler, adapter)
        head = self.head.replace(b"%s", handler.headers["X-Attempt-Id"].encode())
        handler.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        size = self.piece_size or max(len(head), 1)
        for begin in range(0, len(head), size):
            handler.wfile.write(head[begin:begin + size])
            handler.wfile.flush()
        handler.close_connection = True
        if self.resets:
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            handler.connection.close()
        return None


PLAIN_PATH, SAFE_PATH = "/p/", "/s/"
KINDS_CONFIGURATION = {**RESUMABLE_CONFIGURATION, "routes": [
    *RESUMABLE_CONFIGURATION["routes"],
    {**CONFIGURATION["routes"][0], "name": "p", "pathPrefix": PLAIN_PATH, "kind": "unsafe"},
    {**CONFIGURATION["routes"][0], "name": "s", "pathPrefix": SAFE_PATH, "kind": "safe", "maxAttempts": 2}]}


class BrokenHeadCase:
    """Heads that break off, for nodes that reach their engines in one way."""

    ENGINE_TYPE = BrokenHeadEngine
    CONFIGURATION = KINDS_CONFIGURATION

    def set_head(self, head, resets=False, piece_size=None):
        for engine in self.engines:
            engine.head, engine.resets, engine.piece_size = head, resets, piece_size

    def check_heads(self, node, variants):
        failures = []
        for resets, piece_size in variants:
            for name, head in BROKEN_HEADS.items():
                for path in ("/a/1", PLAIN_PATH, SAFE_PATH, CONTINUED_PATH):
                    # A sound answer before it leaves a connection that is kept.
                    self.set_head(None)
                    self.assertEqual(200, node.send_request(next(self.ids), "a0", path)[0])
                    self.set_head(head, resets, piece_size)
                    status, _ = node.send_request(next(self.ids), "a0", path)
                    if status != 502:
                        failures.append((name, path, resets, piece_size, status))
        self.assertEqual([], failures)


class DirectBrokenHeadTest(BrokenHeadCase, EntryNodeCase):
    """One node that reaches its engines itself."""

    ENGINE_COUNT = 4

    def test_head_that_breaks_off_is_neither_an_answer_nor_a_refusal(self):
        """A request whose answer has no whole head may have run: no 200, however short, and no word that it has not."""
        self.start_fleet(1)
        self.check_heads(self.nodes[0], ((False, None), (True, None), (False, 1)))


class RelayedBrokenHeadTest(BrokenHeadCase, PartitionCase):
    """A node that is partitioned from its engines, and reaches them through its peers."""

    NODE_COUNT = 2
    ADAPTER_COUNT = 1

    def test_relayed_head_that_breaks_off_is_neither_an_answer_nor_a_refusal(self):
        """The same through a relay."""
        self.start_partition_fleet()
        self.views[0].cut("hang")
        self.send_requests(self.nodes[0], time.monotonic() + STABILITY_S, [])
        self.check_heads(self.nodes[0], ((False, None),))


if __name__ == "__main__":
    unittest.main(warnings="ignore")
