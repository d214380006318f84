"""Tests what a small machine's memory costs an entry node: declared lengths, small chunks and many connections."""

import contextlib
import resource
import socket
import threading
import time
import unittest

import standin
from entry_node_case import COMPLETE_STREAM, EntryNodeCase, Node
from unbounded_ports_test import BoundedNodes

MIB = 1024 * 1024
# Memory of the smallest machines, which some systems enforce as a limit of the address space.
ADDRESS_SPACE_BYTES = 160 * MIB
DECLARED_BYTES = 4_000_000
SENT_BYTES = 30_000
DECLARING_CALLERS = 200
# Address space that the connections of all these callers may take, with what they have sent and its growth.
DECLARED_ADDRESS_SPACE_MIB = 64


class SmallNode(Node):
    """A node process whose address space is limited."""

    def start(self):
        limits = resource.getrlimit(resource.RLIMIT_AS)
        resource.setrlimit(resource.RLIMIT_AS, (ADDRESS_SPACE_BYTES, limits[1]))
        try:
            super().start()
        finally:
            resource.setrlimit(resource.RLIMIT_AS, limits)


class DeclaredLengthTest(BoundedNodes, EntryNodeCase):
    """One node on a small machine; callers declare more than they send."""

    def setUp(self):
        super().setUp()
        self.store.put("config", "main", self.CONFIGURATION)
        self.node = SmallNode(self.store, "n0", self.ports, None)
        self.nodes.append(self.node)
        self.eventually(self.node.is_ready, "the node is ready")
        self.eventually(lambda: self.is_served(self.node, "a0"), "the adapter is served")

    def address_space_mib(self):
        with open(f"/proc/{self.node.process.pid}/status", encoding="utf-8") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmPeak")) / 1024

    def open_declaring_callers(self, connections):
        """Opens connections whose requests declare a long body and send its beginning."""
        head = (f"POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Model: m/a0\r\nX-Token-Count: 10,4\r\nX-Deadline-Ms: 5000\r\n"
                f"Content-Length: {DECLARED_BYTES}\r\n")
        for _ in range(DECLARING_CALLERS):
            connection = connections.enter_context(socket.create_connection((self.node.ip, self.ports[0])))
            connection.sendall(f"{head}X-Attempt-Id: {next(self.ids)}\r\n\r\n".encode() + b"x" * SENT_BYTES)

    def test_declared_lengths_take_no_memory(self):
        """A length that a head declares must not take its memory before a byte of the body has come: 200 heads ended a
        process."""
        before = self.address_space_mib()
        with contextlib.ExitStack() as connections:
            self.open_declaring_callers(connections)
            self.assert_served()
            self.assertLess(self.address_space_mib(), before + DECLARED_ADDRESS_SPACE_MIB)
        self.assertIsNone(self.node.process.poll())


if __name__ == "__main__":
    unittest.main(warnings="ignore")
