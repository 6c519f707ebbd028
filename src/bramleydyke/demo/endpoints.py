"""Free ports on the loopback interface."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


def free_endpoint() -> str:
    """Returns an ``ip:port`` whose port is free for both TCP and UDP."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((HOST, 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind((HOST, port))
            except OSError:
                continue
            return f"{HOST}:{port}"
