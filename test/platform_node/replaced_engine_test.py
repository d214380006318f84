"""Tests an entry node before an engine that is replaced at its address while requests are on their way."""

import contextlib
import http.client
import threading
import time
import unittest

import standin
from entry_node_case import CONFIGURATION, EntryNodeCase

ROUTE = {**CONFIGURATION["routes"][0], "kind": "unsafe", "maxAttempts": 3}
PLAIN_CONFIGURATION = {"version": 1, "services": [{"name": "plain"}, {"name": "other"}], "routes": [
    {**ROUTE, "service": "plain"}, {**ROUTE, "name": "o", "pathPrefix": "/o/", "service": "other"}]}
# Time until the node has learned of a change in the store.
CHANGE_KNOWN_S = 1.5
# Without an answer for some time, the node would open further connections and use those.
OTHER_REQUEST_INTERVAL_S = 0.1


class PlainEngine(standin.Server):
    """An engine without models, which repeats a refusal before the next answer on its connection."""

    def __init__(self, store, name, service="plain"):
        self.store, self.name, self.service, self.ran = store, name, service, []
        # Called for each request; returns the status of a refusal, or nothing.
        self.refuse = lambda: None
        # Called when a request that is run has been recorded.
        self.on_run = lambda: None
        super().__init__()

    def publish(self):
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "z", "slots": 8, "state": "ready", "born": 1,
            "seq": 0})

    def replace(self, name):
        """Replaces the engine by one with another name, at the same address."""
        self.store.put("servers", self.name, None)
        self.name = name
        self.publish()

    def respond(self, handler, body):
        request_id = handler.headers["X-Attempt-Id"]
        if status := self.refuse():
            handler.refusal = (f"HTTP/1.1 {status} Refused\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {request_id}\r\n"
                               "Content-Length: 0\r\n\r\n").encode()
            handler.wfile.write(handler.refusal)
            return
        self.ran.append(request_id)
        self.on_run()
        handler.wfile.write(getattr(handler, "refusal", b""))
        handler.reply(200, body, {"X-Attempt-Id": request_id, "X-Response-Stamp": "s"})


class ReplacedEngineTest(EntryNodeCase):
    """One node. Its first engine has been replaced already, which the store states after the first refusal."""

    ENGINE_COUNT = 0
    CONFIGURATION = PLAIN_CONFIGURATION

    def setUp(self):
        super().setUp()
        self.first, self.second, self.third = (PlainEngine(self.store, f"i-{number}") for number in range(3))
        self.other = PlainEngine(self.store, "i-other", "other")
        self.sends_others = True
        self.store.put("config", "main", self.CONFIGURATION)
        self.first.publish()
        self.other.publish()
        node = self.add_node()
        self.eventually(node.is_ready, "the node is ready")
        for path in ("/a/1", "/o/1"):
            self.eventually(lambda path=path: self.send_request(next(self.ids), path) == 200, "the route is served")
        self.sender = threading.Thread(target=self.send_others)
        self.sender.start()

    def tearDown(self):
        self.sends_others = False
        self.sender.join()
        super().tearDown()
        for engine in (self.first, self.second, self.third, self.other):
            engine.shutdown()
            engine.server_close()

    def send_request(self, request_id, path):
        """Sends a request; returns the status."""
        connection = http.client.HTTPConnection(self.nodes[0].ip, self.ports[0], timeout=30)
        with contextlib.closing(connection):
            connection.request("POST", path, b"body", {"Host": "h", "X-Attempt-Id": request_id})
            return connection.getresponse().status

    def send_others(self):
        while self.sends_others:
            self.send_request("other", "/o/1")
            time.sleep(OTHER_REQUEST_INTERVAL_S)

    def refuse_as_replaced(self):
        """Refuses as an engine does that has another id, once a second engine is known."""
        self.first.refuse = lambda: None
        self.second.publish()
        time.sleep(CHANGE_KNOWN_S)
        return 421

    def refuse_once_replacement_is_known(self):
        self.first.replace("i-0b")
        self.first.on_run = self.publish_third
        time.sleep(CHANGE_KNOWN_S)
        return 503

    def publish_third(self):
        self.third.publish()
        time.sleep(CHANGE_KNOWN_S)

    def test_refusal_repeated_after_replacement_is_no_second_refusal(self):
        """A request goes to an address that has refused it under another id: a second copy of that refusal must not
        send it on while it runs."""
        self.first.refuse, self.second.refuse = self.refuse_as_replaced, self.refuse_once_replacement_is_known
        request_id = next(self.ids)
        status = self.send_request(request_id, "/a/1")
        ran = [engine.name for engine in (self.first, self.second, self.third) if request_id in engine.ran]
        self.assertEqual((200, ["i-0b"]), (status, ran))


if __name__ == "__main__":
    unittest.main(warnings="ignore")
