"""Addresses and ports of the node processes that tests start."""

import os
import socket


def node_address(number):
    """Returns a loopback address that the nodes of other test processes do not use."""
    process = os.getpid()
    return f"127.{1 + process // 256 % 254}.{process % 256}.{number}"


def node_ports():
    """Returns ports for callers, readiness and peers. The two that follow the last one, which nodes use for metrics and for
    relayed connections, are none of them."""
    while True:
        ports = free_ports(3)
        if not {ports[2] + 1, ports[2] + 2} & set(ports):
            return ports


def free_ports(count):
    """Returns distinct free ports of 127.0.0.1; other processes may take them before they are used."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()
