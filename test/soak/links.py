"""Fault links: proxy processes in front of upstreams and of the store, with the times in which they were disturbed."""

import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

import fleet  # noqa: E402

BINARIES = pathlib.Path(os.environ["LAGOONSADDLE_BUILD"]) / "bin"


class Disturbances:
    """Time intervals in which a fault was active. Faults may overlap; an interval ends with the last of them."""

    def __init__(self):
        self.intervals, self.active_count = [], 0
        self.active_since = 0.0

    def begin(self):
        self.active_since = self.active_since if self.active_count else time.monotonic()
        self.active_count += 1

    def end(self):
        self.active_count = max(0, self.active_count - 1)
        if not self.active_count:
            self.intervals.append((self.active_since, time.monotonic()))

    def overlaps(self, begin, end):
        """Returns whether a fault was active at any time from `begin` to `end`."""
        return (any(start <= end and stop >= begin for start, stop in self.intervals) or
                bool(self.active_count and self.active_since <= end))


class FaultLink:
    """A fault proxy process in front of one address."""

    def __init__(self, name, target, directory):
        options = {"listen": "127.0.0.1:0", "target": target, "control": "127.0.0.1:0"}
        self.proxy = fleet.Standin(name, "fault_proxy", options, BINARIES, directory)
        self.address = f"127.0.0.1:{self.proxy.port}"
        self.disturbances = Disturbances()
        # Links of single nodes that lead to this one.
        self.node_links = []

    def inject_fault(self, fault):
        self.disturbances.begin()
        self.proxy.set_faults(**fault)
        if fault.get("cut"):
            self.set_down(True)

    def set_down(self, down):
        """Lets the links of the nodes refuse connections as this one does."""
        for link in self.node_links:
            link.set_target_down(down)

    def clear_faults(self):
        self.set_down(False)
        self.proxy.set_faults(cut=False, freeze=False, half_open=False, drop_answers=False, delay_ms=0)
        self.disturbances.end()

    def close(self):
        self.proxy.kill()
