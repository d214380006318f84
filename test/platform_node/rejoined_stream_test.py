"""Tests that streams can be taken up after all nodes were killed at once, and go on at no other software version."""

import time
import unittest

import software_version_test
from silent_store_test import SilentStore
from software_version_test import LATE_ENTRY_S, ROUTE_TIMEOUT_MS, STREAMS, SoftwareVersionCase

# Time for which what a node has seen must have been seen by its former process as well, beyond that of a stream.
CLOCK_ERROR_S = 5.0
# Time after which what a node has begun is in the store.
RECORD_TIME_S = 1.0
OUTAGE_S = 2.0


class RejoinedStreamCase(SoftwareVersionCase):
    """Helpers of the tests below."""

    STORE_TYPE = SilentStore

    def setUp(self):
        super().setUp()
        usual_deadline_ms = software_version_test.DEADLINE_MS
        software_version_test.DEADLINE_MS = 40_000
        self.addCleanup(setattr, software_version_test, "DEADLINE_MS", usual_deadline_ms)

    def kill_all(self):
        for node in self.nodes:
            node.process.kill()
        for node in self.nodes:
            node.process.wait()

    def start_all(self):
        """Starts the nodes again and waits until they serve."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            self.eventually(lambda node=node: node.is_listening() and node.is_ready(), "the node is ready")
            self.eventually(lambda node=node: self.is_served(node, next(self.adapters)), "an adapter is loaded")

    def begin_recorded_streams(self):
        """Starts three nodes; returns streams that were cut and that the nodes had time to record."""
        self.start_fleet(3)
        streams = self.begin_cut_streams_at(self.nodes, STREAMS // 2)
        time.sleep(RECORD_TIME_S)
        return streams


class RejoinedStreamTest(RejoinedStreamCase):
    """All nodes are killed while a service has two software versions."""

    def test_streams_go_on_at_version_that_began_them(self):
        """What is needed to take a stream up must outlive all nodes."""
        streams = self.begin_recorded_streams()
        self.kill_all()
        self.start_all()
        self.take_up(streams, *self.nodes)
        self.assert_unmixed(streams)
        self.assert_share_resumed(streams)

    def test_streams_go_on_after_store_was_silent_during_the_kill(self):
        """What a node has recorded must be read when the store returns, before streams are refused for good."""
        streams = self.begin_recorded_streams()
        self.store.begin_outage()
        self.kill_all()
        for node in self.nodes:
            node.start()
        time.sleep(OUTAGE_S)
        self.store.end_outage()
        for node in self.nodes:
            self.eventually(lambda node=node: node.is_listening() and node.is_ready(), "the node is ready")
            self.eventually(lambda node=node: self.is_served(node, next(self.adapters)), "an adapter is loaded")
        self.take_up(streams, *self.nodes)
        self.assert_unmixed(streams)
        self.assert_share_resumed(streams)

    def test_streams_go_on_after_nodes_were_killed_twice(self):
        """A process must keep what its former one has recorded."""
        streams = self.begin_recorded_streams()
        self.kill_all()
        self.start_all()
        time.sleep(RECORD_TIME_S)
        self.kill_all()
        self.start_all()
        self.take_up(streams, *self.nodes)
        self.assert_unmixed(streams)
        self.assert_share_resumed(streams)

    def test_streams_of_version_that_has_left_are_refused_at_once(self):
        """A stream of a version that left before the kill must not go on at the one that is in sight."""
        streams = self.begin_recorded_streams()
        old = [stream for stream in streams if stream.events[0][1] == "v1"]
        self.assertTrue(old)
        for engine in self.engines[0::2]:
            self.store.put("servers", engine.name, None)
        time.sleep(RECORD_TIME_S)
        self.kill_all()
        self.start_all()
        self.take_up(streams, *self.nodes)
        self.assert_unmixed(streams)
        self.assert_refused_at_once(old)
        self.assert_share_resumed([stream for stream in streams if stream not in old])

    def test_streams_whose_records_are_lost_are_refused_at_once(self):
        """A stream of one of two versions whose origin nobody knows must not go on at either."""
        streams = self.begin_recorded_streams()
        self.kill_all()
        for node in self.nodes:
            self.store.put("stream-origins", node.name, None)
        self.start_all()
        self.take_up(streams, *self.nodes)
        self.assert_unmixed(streams)
        self.assert_refused_at_once(streams)


class RejoinedSingleVersionTest(RejoinedStreamCase):
    """All nodes are killed while a service has one software version."""

    def setUp(self):
        super().setUp()
        for engine in self.engines:
            engine.software_version = "v1"
            engine.publish_entry("ready")

    def begin_streams_after_history(self):
        self.start_fleet(2)
        time.sleep(ROUTE_TIMEOUT_MS / 1000 + CLOCK_ERROR_S + LATE_ENTRY_S)
        self.set_engines(cuts_streams=True)
        streams = self.begin_streams(self.nodes[0], STREAMS // 2)
        self.set_engines(cuts_streams=False)
        return streams

    def test_streams_of_only_version_go_on_without_a_record_of_each(self):
        """Where a service has had one version, its streams must go on, and must cost no writes."""
        streams = self.begin_streams_after_history()
        records = [self.store.objects[("stream-origins", node.name)]["spec"] for node in self.nodes]
        self.assertEqual([[], []], [record["streams"] for record in records])
        self.kill_all()
        self.start_all()
        self.take_up(streams, *self.nodes)
        self.assert_unmixed(streams)
        self.assert_share_resumed(streams)

    def test_streams_of_version_replaced_while_nodes_were_down_are_refused(self):
        """A version that comes while no node lives must not go on with the streams of the one before."""
        streams = self.begin_streams_after_history()
        self.kill_all()
        for engine in self.engines:
            engine.restart("v2", 0.0)
        self.start_all()
        self.take_up(streams, *self.nodes)
        self.assert_unmixed(streams)
        self.assert_refused_at_once(streams)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
