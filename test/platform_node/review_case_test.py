"""Runs scripts of the review as they stand, from a copy of the files that they use."""

import os
import pathlib
import shutil
import subprocess
import tempfile
import tomllib
import unittest

from entry_node_case import BINARY

ROOT = pathlib.Path(__file__).resolve().parents[2]
# A script ends itself after 115 s.
SCRIPT_TIMEOUT_S = 130.0
RECORD_LINES_SHOWN = 20


class ReviewCaseTest(unittest.TestCase):
    """A folder like a built clone; the scripts write into theirs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.clone = pathlib.Path(folder.name)
        for part in ("review", "deploy"):
            shutil.copytree(ROOT / part, self.clone / part)
        roles = tomllib.loads((self.clone / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]
        binary = self.clone / roles["entry"]["run"].split()[0]
        binary.parent.mkdir(parents=True)
        binary.symlink_to(BINARY)

    def check_holds(self, case, trouble):
        """Runs a case; 1 tells that its rule was broken, and 2 that it could not run."""
        result = subprocess.run(["sh", str(self.clone / "review" / case / "run.sh")], check=False, cwd=self.clone.parent,
                                env={**os.environ, "TROUBLE": trouble}, stdin=subprocess.DEVNULL, capture_output=True,
                                text=True, timeout=SCRIPT_TIMEOUT_S)
        record = self.clone / "review" / case / "record.txt"
        lines = record.read_text(encoding="utf-8").splitlines() if record.exists() else []
        self.assertEqual(0, result.returncode, "\n".join([result.stderr, *lines[-RECORD_LINES_SHOWN:]]))

    def test_requests_at_a_stop_beside_a_store_that_is_down_are_answered(self):
        """Guards against a node that passes requests on after its decision to exit, and against a case that cannot run."""
        for trouble in ("1", "0"):
            with self.subTest(trouble=trouble):
                self.check_holds("1", trouble)

    def test_body_without_a_stated_end_is_not_run_as_a_request(self):
        """Guards against requests that are run although no client sent them, and against a case that cannot run."""
        for trouble in ("1", "0"):
            with self.subTest(trouble=trouble):
                self.check_holds("2", trouble)

    def test_versions_in_a_row_while_lease_holders_are_frozen_end_the_time_of_older_ones(self):
        """Guards against requests that begin at a version which was replaced longer ago than the bound."""
        for trouble in ("1", "0"):
            with self.subTest(trouble=trouble):
                self.check_holds("8", trouble)

    def test_requests_that_wait_for_an_adapter_slot_at_a_stop_are_answered(self):
        """Guards against a node that ends while requests wait in it, and leaves them without an answer."""
        for trouble in ("1", "0"):
            with self.subTest(trouble=trouble):
                self.check_holds("11", trouble)


if __name__ == "__main__":
    unittest.main()
