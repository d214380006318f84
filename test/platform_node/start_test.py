"""Tests the first moments of an entry node process: signals."""

import signal
import unittest

from entry_node_case import CONDITION_TIMEOUT_S, EntryNodeCase, Node


class HeldSignalNode(Node):
    """A node whose signals are pending from before its start on, so that each comes before any handler."""

    def start(self):
        signals = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        try:
            super().start()
        finally:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)


class FirstSignalsTest(EntryNodeCase):
    """A node that gets signals before it has registered its handlers."""

    def start_node_with(self, *signals):
        self.store.put("config", "main", self.CONFIGURATION)
        node = HeldSignalNode(self.store, "n0", self.ports, None)
        for number in signals:
            node.process.send_signal(number)
        self.nodes.append(node)
        return node

    def test_reload_before_the_handlers_does_not_end_the_node(self):
        """SIGHUP says that the settings have changed: it must not end a process that starts."""
        node = self.start_node_with(signal.SIGHUP, signal.SIGHUP)
        self.eventually(node.is_ready, "the node is ready")
        self.eventually(lambda: "event=reload outcome=valid" in self.read_log(node), "the settings are read again")

    def test_stop_before_the_handlers_is_a_planned_stop(self):
        """A node that is told to stop while it starts must end in order, with the status of a planned stop."""
        node = self.start_node_with(signal.SIGTERM)
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))
        self.assertIn("event=stopped", self.read_log(node))

    def test_stop_after_reloads_is_a_planned_stop(self):
        """Signals of both kinds that overlap at the start must both be met."""
        node = self.start_node_with(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        self.assertEqual(0, node.process.wait(CONDITION_TIMEOUT_S))


if __name__ == "__main__":
    unittest.main(warnings="ignore")
