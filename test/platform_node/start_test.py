"""Tests the first moments of an entry node process: signals and addresses that are still in use."""

import contextlib
import re
import signal
import socket
import subprocess
import threading
import unittest

from addresses import node_address
from entry_node_case import BINARY, CONDITION_TIMEOUT_S, EntryNodeCase, Node

# Time for which the process before a node still holds an address.
HELD_S = 0.5
EXIT_START_FAILURE = 3


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


class LinkedLibrariesTest(unittest.TestCase):
    """What is linked at the start of the program, before it can hold signals."""

    # The C library, which the platform may preload a library for, and what has no archive that can be linked.
    SHARED = re.compile(r"lib(c|m|gcc_s|unwind)\.so\.|ld-linux")

    def test_program_links_few_libraries_at_its_start(self):
        """A signal that comes while libraries are being linked ends the process: that time must be short."""
        output = subprocess.run(["readelf", "--dynamic", BINARY], check=True, capture_output=True, text=True).stdout
        needed = re.findall(r"\(NEEDED\).*\[(.*)\]", output)
        self.assertIn("libc.so.6", needed)
        self.assertEqual([], [library for library in needed if not self.SHARED.match(library)])


class HeldAddressTest(EntryNodeCase):
    """A node that starts while another process still holds one of its addresses."""

    @contextlib.contextmanager
    def held_for_a_while(self, address, kind):
        """Holds an address and lets go of it HELD_S after the body of the block has begun."""
        holder = socket.socket(socket.AF_INET, kind)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(kind == socket.SOCK_STREAM))
        holder.bind(address)
        if kind == socket.SOCK_STREAM:
            holder.listen()
        release = threading.Timer(HELD_S, holder.close)
        release.start()
        try:
            yield
        finally:
            release.cancel()
            holder.close()

    def test_node_waits_for_its_addresses(self):
        """A node that ended at once while the process before it is in its last moments would not start at all."""
        self.start_fleet(1)
        node = self.nodes[0]
        for port, kind in ((self.ports[0], socket.SOCK_STREAM), (self.ports[1], socket.SOCK_STREAM),
                           (self.ports[2], socket.SOCK_STREAM), (self.ports[2], socket.SOCK_DGRAM)):
            node.process.kill()
            node.process.wait()
            with self.subTest(port=port, kind=kind), self.held_for_a_while((node.ip, port), kind):
                node.start()
                self.eventually(lambda: node.process.poll() is not None or node.is_ready(), "the node is ready or ends")
                self.assertIsNone(node.process.poll())

    def test_relay_listens_when_its_address_is_free(self):
        """A node whose relay gave up for good at the start cannot serve its peers when they are partitioned: with three of
        four nodes cut, nothing is served at these three."""
        relay = (node_address(next(Node.address_numbers) + 1), self.ports[2] + 2)
        with socket.create_server(relay) as holder:
            self.start_fleet(1)
            self.assertEqual(relay[0], self.nodes[0].ip)
            holder.close()
            self.eventually(lambda: "event=relay_available" in self.read_log(self.nodes[0]), "the relay listens")
        socket.create_connection(relay).close()

    def test_node_gives_up_on_an_address_that_stays_in_use(self):
        """A node without its addresses must say so and end, rather than wait without end."""
        self.start_fleet(1)
        node, holder = self.nodes[0], self.nodes[0].process
        node.start()
        second, node.process = node.process, holder
        self.assertEqual(EXIT_START_FAILURE, second.wait(CONDITION_TIMEOUT_S))
        self.assertIn("event=start_failed", self.read_log(node))
        self.assertTrue(self.is_served(node, "a0"))


if __name__ == "__main__":
    unittest.main(warnings="ignore")
