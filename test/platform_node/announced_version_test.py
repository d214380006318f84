"""Tests requests that wait in the queue of an engine while a newer version of their adapter is announced."""

import contextlib
import http.client
import threading
import time
import unittest

from entry_node_case import EntryNodeCase
from relay_test import RelayEngine

# The rule of the platform: from then on no request may begin at an older version.
VERSION_S = 5.0
QUEUED_S = 0.5


class AnnouncedVersionTest(EntryNodeCase):
    """One node before engines that answer late, and record when a connection is closed before."""

    ENGINE_TYPE = RelayEngine

    def announce(self, version):
        self.store.put("versions", "m.a0", {"model": "m", "adapter": "a0", "version": version})
        self.eventually(lambda: f"event=version_announced adapter=m/a0 version={version}" in self.read_log(self.nodes[0]),
                        "the version is known")

    def send(self):
        with contextlib.suppress(OSError, http.client.HTTPException):
            self.nodes[0].send_request(next(self.ids), "a0", deadline_ms=12_000)

    def test_request_that_waits_at_older_version_is_withdrawn_before_bound(self):
        """An engine must not begin a queued request at a version that was replaced longer ago than the bound."""
        self.start_fleet(1)
        self.announce(1)
        for engine in self.engines:
            engine.works_long, engine.work_s = True, 3 * VERSION_S
        caller = threading.Thread(target=self.send)
        caller.start()
        self.eventually(lambda: any(engine.begun for engine in self.engines), "the request is sent")
        time.sleep(QUEUED_S)
        announced_at = time.monotonic()
        self.announce(2)
        self.eventually(lambda: any(engine.closed_at for engine in self.engines), "the request is withdrawn")
        closed_at = min(engine.closed_at for engine in self.engines if engine.closed_at)
        self.assertLess(closed_at - announced_at, VERSION_S)
        caller.join()


if __name__ == "__main__":
    unittest.main(warnings="ignore")
