"""Finds free ports on the loopback interface."""

from __future__ import annotations

import random
import socket

LOOPBACK_HOST = "127.0.0.1"

PORTS = range(12_000, 32_000)
"""Ports to choose from, below the usual ephemeral range.

A port for a node that joins later stays unbound for seconds. From the
ephemeral range, the kernel could assign it to another socket meanwhile.
"""

_used_ports: set[int] = set()
"""Ports that this process has already returned."""


def free_endpoint() -> str:
    """Returns an ``ip:port`` whose port is free for both TCP and UDP.

    No port is returned twice in one process.
    """
    random_source = random.SystemRandom()
    while True:
        port = random_source.choice(PORTS)
        if port in _used_ports:
            continue
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp_socket,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket,
        ):
            try:
                tcp_socket.bind((LOOPBACK_HOST, port))
                udp_socket.bind((LOOPBACK_HOST, port))
            except OSError:
                continue
        _used_ports.add(port)
        return f"{LOOPBACK_HOST}:{port}"
