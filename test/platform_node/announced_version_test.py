"""Tests requests that wait in the queue of an engine while a newer version of their adapter is announced."""

import contextlib
import http.client
import signal
import threading
import time
import unittest

import standin
from entry_node_case import EntryNodeCase
from relay_test import RelayEngine
from store_views import StoreViews
from turned_away_test import NodeStore

# The rule of the platform: from then on no request may begin at an older version.
VERSION_S = 5.0
QUEUED_S = 0.5
# Pace of further versions: below any grace time of the nodes.
PACE_S = 1.5
# Longer than a node that has just started could grant an older version.
SENDING_S = 4.0
# A node that has acquired a lease orders loads only after this time.
LEASE_S = 3.5


class VersionCase(EntryNodeCase):
    """Versions of the adapters of one model."""

    def put_version(self, adapter, version):
        self.store.put("versions", f"m.{adapter}", {"model": "m", "adapter": adapter, "version": version})

    def announce(self, version):
        self.put_version("a0", version)
        self.eventually(lambda: f"event=version_announced adapter=m/a0 version={version}" in self.read_log(self.nodes[0]),
                        "the version is known")


class QueuedRequestCase(VersionCase):
    """One node before engines that answer late, and record when a connection is closed before."""

    ENGINE_TYPE = RelayEngine

    def send(self):
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.nodes[0].send_request(next(self.ids), "a0", deadline_ms=12_000)

    def withdraw_queued_request(self, newest):
        """Announces versions 2 to `newest` while a request waits at an engine with version 1; returns how long after
        version 2 the request is withdrawn."""
        self.start_fleet(1)
        self.announce(1)
        for engine in self.engines:
            engine.works_long, engine.work_s = True, 3 * VERSION_S
        caller = threading.Thread(target=self.send)
        caller.start()
        self.eventually(lambda: any(engine.begun for engine in self.engines), "the request is sent")
        time.sleep(QUEUED_S)
        announced_at = time.monotonic()
        for version in range(2, newest + 1):
            self.announce(version)
            time.sleep(PACE_S if version < newest else 0)
        self.eventually(lambda: any(engine.closed_at for engine in self.engines), "the request is withdrawn")
        caller.join()
        return min(engine.closed_at for engine in self.engines if engine.closed_at) - announced_at


class AnnouncedVersionTest(QueuedRequestCase):
    """One newer version."""

    def test_request_that_waits_at_older_version_is_withdrawn_before_bound(self):
        """An engine must not begin a queued request at a version that was replaced longer ago than the bound."""
        self.assertLess(self.withdraw_queued_request(2), VERSION_S)


class LateReplacementEngine(RelayEngine):
    """An engine that replaces an adapter only once the runs that use it have ended."""

    def apply_order(self, order):
        if order["operation"] == "load" and order["adapter"] in self.resident and order.get("version", 1) > 1:
            return 202
        return super().apply_order(order)


class FurtherVersionsTest(QueuedRequestCase):
    """Several newer versions, none of which is in place before the next one comes."""

    ENGINE_TYPE = LateReplacementEngine

    def test_request_that_waits_while_further_versions_come_is_withdrawn_before_bound(self):
        """Further versions must not give a queued request at the first one more time."""
        self.assertLess(self.withdraw_queued_request(5), VERSION_S)


class FixedVersionEngine(standin.Engine):
    """An engine that holds two adapters at version 1 and can carry out no order."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        with self.lock:
            self.resident = {"a0": 0, "a1": 0}
        self.publish_entry("ready")

    def listed_adapters(self):
        return [f"{name}@1" for name in sorted(self.resident)]

    def apply_order(self, order):
        return 500


class RestartedNodeCase(VersionCase):
    """A node that starts again before engines that hold two adapters, one of which was replaced, at version 1."""

    ENGINE_TYPE = FixedVersionEngine

    def replace_adapter(self, nodes):
        """Starts nodes, announces version 2 of an adapter and waits until no node may use version 1 any more."""
        self.put_version("a0", 1)
        self.put_version("a1", 1)
        self.start_fleet(nodes)
        self.announce(2)
        time.sleep(VERSION_S)

    def runs_of_replaced_version(self):
        return {request for engine in self.engines for request, adapter in engine.executed if adapter == "a0"}

    def check_started_node(self, node):
        """Starts a node again and sends requests to it: only those for the other adapter may be served."""
        node.process.kill()
        node.process.wait()
        begun = self.runs_of_replaced_version()
        node.start()
        self.eventually(node.is_listening, "the node listens")
        end = time.monotonic() + SENDING_S
        served = 0
        while time.monotonic() < end:
            node.send_request(next(self.ids), "a0", deadline_ms=500)
            served += self.is_served(node, "a1")
        self.assertEqual(set(), self.runs_of_replaced_version() - begun)
        self.assertGreater(served, 0)


class RestartedNodeTest(RestartedNodeCase):
    """The node reads the store."""

    def test_node_that_starts_does_not_use_version_replaced_before(self):
        """A node that starts must not count the time of a replaced version from when it reads of the newer one."""
        self.replace_adapter(1)
        self.check_started_node(self.nodes[0])


class RestartedNodeWithoutStoreTest(StoreViews, RestartedNodeCase):
    """The store turns the node away, so that it learns of the versions from its peer."""

    VIEW_TYPE = NodeStore

    def test_node_that_starts_does_not_use_version_that_a_peer_knows_to_be_replaced(self):
        """The same where it hears of the newer version."""
        self.replace_adapter(2)
        self.views[1].turns_away = True
        self.check_started_node(self.nodes[1])
        self.assertIn("event=records_learned", self.read_log(self.nodes[1]))


class QueueingEngine(FixedVersionEngine):
    """The same with a queue: while it is full, records when each connection in it is closed."""

    def __init__(self, *arguments):
        self.is_full, self.queued, self.closed_at = False, 0, []
        super().__init__(*arguments)

    def send_stream(self, handler, adapter):
        if not self.is_full:
            super().send_stream(handler, adapter)
            return
        self.queued += 1
        handler.connection.settimeout(3 * VERSION_S)
        with contextlib.suppress(OSError):
            handler.connection.recv(1)
            self.closed_at.append(time.monotonic())
        handler.close_connection = True


class FrozenHolderTest(VersionCase):
    """Two nodes, of which the one that orders loads is frozen while the time of a version ends."""

    ENGINE_TYPE = QueueingEngine
    # When the holder is frozen and when requests are sent, after the newer version: in the last part of the time for which
    # the older one may be chosen, so that the question to the holder ends after it.
    FREEZE_AFTER_S = 2.2
    SEND_AFTER_S = (2.30, 2.36, 2.42, 2.48)

    def test_request_whose_version_is_replaced_while_holder_is_silent_is_withdrawn_before_bound(self):
        """A node must not take the version of a request that it sends late for the newest one."""
        self.put_version("a0", 1)
        self.start_fleet(2)
        self.eventually(lambda: any("event=lease_acquired zone=z" in self.read_log(node) for node in self.nodes),
                        "a node holds the lease")
        time.sleep(LEASE_S)
        holder = self.store.objects[("load-leases", "z")]["spec"]["holder"]
        frozen, sender = sorted(self.nodes, key=lambda node: node.name != holder)
        for engine in self.engines:
            engine.is_full = True
        self.announce(2)
        announced_at = time.monotonic()

        def send_after(delay_s):
            time.sleep(max(0.0, announced_at + delay_s - time.monotonic()))
            with contextlib.suppress(OSError, http.client.HTTPException):
                sender.send_request(next(self.ids), "a0", deadline_ms=12_000)

        callers = [threading.Thread(target=send_after, args=(delay_s,)) for delay_s in self.SEND_AFTER_S]
        for caller in callers:
            caller.start()
        time.sleep(max(0.0, announced_at + self.FREEZE_AFTER_S - time.monotonic()))
        frozen.process.send_signal(signal.SIGSTOP)
        time.sleep(max(0.0, announced_at + VERSION_S - time.monotonic()))
        frozen.process.send_signal(signal.SIGCONT)
        self.assertEqual(sum(engine.queued for engine in self.engines),
                         sum(len(engine.closed_at) for engine in self.engines))
        for caller in callers:
            caller.join()


if __name__ == "__main__":
    unittest.main(warnings="ignore")
