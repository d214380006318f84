"""Tests what a small machine's memory costs an entry node: declared lengths, small chunks and many connections."""

import contextlib
import os
import resource
import socket
import threading
import unittest
import unittest.mock

from entry_node_case import EntryNodeCase, Node
from unbounded_ports_test import BoundedNodes

MIB = 1024 * 1024
# Memory of the smallest machines, which some systems enforce as a limit of the address space.
ADDRESS_SPACE_BYTES = 160 * MIB
DECLARED_BYTES = 4_000_000
SENT_BYTES = 30_000
DECLARING_CALLERS = 200
# Address space that the connections of all these callers may take, with what they have sent and its growth.
DECLARED_ADDRESS_SPACE_MIB = 64
SMALL_MEMORY_MIB = 160
# All request bodies together may take this part of the memory.
BODY_MEMORY_SHARE = 8
CHUNKED_CALLERS = 24
CHUNKED_BYTES = 50_000_000
CHUNKED_MEMORY_MB = 32
# No multiple of a power of two, so that reads end inside chunk headers.
CHUNKED_PIECE = b"1\r\nx\r\n" * 5461
BEGUN_CALLERS = 900
# Buffers of one connection, beside the bodies.
CONNECTION_MEMORY_MB = 0.016


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


class SmallChunksTest(BoundedNodes, EntryNodeCase):
    """One node with the memory of the smallest machines; its callers send bodies in chunks of one byte, or begin many."""

    def setUp(self):
        super().setUp()
        self.enterContext(unittest.mock.patch.dict(os.environ, LAGOONSADDLE_MEMORY_MIB=str(SMALL_MEMORY_MIB)))
        self.start_fleet(1)
        self.node = self.nodes[0]

    def send_until_closed(self, request_id, piece):
        """Sends chunks until the node ends the connection or CHUNKED_BYTES are sent."""
        head = (f"POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {request_id}\r\nX-Model: m/a0\r\nX-Token-Count: 10,4\r\n"
                "X-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(OSError), socket.create_connection((self.node.ip, self.ports[0])) as connection:
            connection.sendall(head.encode())
            for _ in range(CHUNKED_BYTES // len(piece)):
                connection.sendall(piece)

    def test_chunks_of_one_byte(self):
        """A body whose buffered part always ends inside a chunk header must not pass by the limits of framing and
        memory: 24 callers took 190 MB where all bodies together may have 20 MiB."""
        memory_mb = self.peak_memory_mb(self.node)
        callers = [threading.Thread(target=self.send_until_closed, args=(next(self.ids), CHUNKED_PIECE))
                   for _ in range(CHUNKED_CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertLess(self.peak_memory_mb(self.node), memory_mb + CHUNKED_MEMORY_MB)
        self.assert_served()

    def test_begun_bodies_of_many_callers(self):
        """Bodies that have begun count toward the limit of all bodies, and those beyond it must not stay in memory."""
        memory_mb = self.peak_memory_mb(self.node)
        head = (f"POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Model: m/a0\r\nX-Token-Count: 10,4\r\nX-Deadline-Ms: 5000\r\n"
                f"Content-Length: {2 * SENT_BYTES}\r\n")
        with contextlib.ExitStack() as connections:
            for _ in range(BEGUN_CALLERS):
                connection = connections.enter_context(socket.create_connection((self.node.ip, self.ports[0])))
                connection.sendall(f"{head}X-Attempt-Id: {next(self.ids)}\r\n\r\n".encode() + b"x" * SENT_BYTES)
            self.eventually(lambda: self.is_served(self.node, "a0"), "others are served")
        allowed_mb = SMALL_MEMORY_MIB / BODY_MEMORY_SHARE + BEGUN_CALLERS * CONNECTION_MEMORY_MB
        self.assertLess(self.peak_memory_mb(self.node), memory_mb + allowed_mb)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
