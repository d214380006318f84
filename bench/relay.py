#!/usr/bin/env python3
"""Measures what it costs to reach upstreams through a peer: time to the end of an answer, and processor time.

Usage: LAGOONSADDLE_BUILD=BUILD_DIR bench/relay.py [REQUESTS]
"""

import os
import pathlib
import statistics
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "test" / "platform_node"))

import partition_test  # noqa: E402

REQUESTS = int(sys.argv[1]) if len(sys.argv) > 1 else 300
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STAT_UTIME, STAT_STIME = 13, 14


class RelayBench(partition_test.PartitionCase):
    """Two nodes; the second one relays for the first one after that has been cut off."""

    ENGINE_COUNT = 3
    NODE_COUNT = 2
    ADAPTER_COUNT = 3

    def runTest(self):
        """Measures requests at the first node on its own path and through its peer."""
        for engine in self.engines:
            engine.event_interval_s = 0.0
        self.start_partition_fleet()
        self.measure_requests("own path")
        self.views[0].cut("reset")
        time.sleep(partition_test.STABILITY_S)
        self.measure_requests("through a peer")

    @staticmethod
    def processor_time(node):
        """Returns the processor time of a node in ms."""
        fields = pathlib.Path(f"/proc/{node.process.pid}/stat").read_text(encoding="utf-8").split()
        return (int(fields[STAT_UTIME]) + int(fields[STAT_STIME])) * 1000 / TICKS_PER_S

    def measure_requests(self, name):
        """Sends requests to the first node one after the other and prints the figures of both nodes."""
        before, durations, served = [self.processor_time(node) for node in self.nodes], [], 0
        for number in range(REQUESTS):
            begin = time.monotonic()
            served += self.is_served(self.nodes[0], f"a{number % self.ADAPTER_COUNT}")
            durations.append((time.monotonic() - begin) * 1000)
        used = [(self.processor_time(node) - start) / REQUESTS for node, start in zip(self.nodes, before)]
        durations.sort()
        print(f"{name}: {served} of {REQUESTS} served; p50 {statistics.median(durations):.1f} ms, "
              f"p95 {durations[int(0.95 * REQUESTS)]:.1f} ms; processor time a request: entry {used[0]:.2f} ms, "
              f"peer {used[1]:.2f} ms")


if __name__ == "__main__":
    case = RelayBench()
    case.setUp()
    try:
        case.runTest()
    finally:
        case.tearDown()
