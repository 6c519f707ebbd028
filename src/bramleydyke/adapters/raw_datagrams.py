"""UDP socket that passes datagrams on as they are, with their sender."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from bramleydyke.endpoints import parse_endpoint

RECEIVE_BYTES = 65_536

RECEIVE_BUFFER_BYTES = 1 << 20
"""Buffer for datagrams that wait while this process is not scheduled."""

MAX_BATCH = 64
"""Datagrams that are read before timers and other sockets get a turn."""

Receive = Callable[[bytes, str], None]
"""Takes a datagram and the IP number of its sender."""


class RawDatagrams:
    """A non-blocking UDP socket that the reactor reads.

    Attributes:
        address: IP number and port of the socket.
        after_batch: Called after each group of datagrams.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        endpoint: str,
        receive: Receive,
        count: Callable[[str], None],
        after_batch: Callable[[], None],
    ) -> None:
        address = parse_endpoint(endpoint)
        assert address is not None, endpoint
        self.reactor = reactor
        self.address = address
        self.receive = receive
        self.count = count
        self.after_batch = after_batch
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.bind(address)
        reactor.addReader(self)

    def send(self, datagram: bytes, ip: str, port: int) -> None:
        """Sends a datagram; it is lost if the buffer is full."""
        try:
            self.socket.sendto(datagram, (ip, port))
        except OSError:
            self.count("datagrams.send_failed")

    # Names that twisted calls.

    def fileno(self) -> int:
        """Returns the descriptor that the reactor watches."""
        return self.socket.fileno()

    def doRead(self) -> None:  # noqa: N802
        """Reads what has arrived."""
        receive = self.receive
        recvfrom = self.socket.recvfrom
        for _ in range(MAX_BATCH):
            try:
                datagram, sender = recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                break
            except OSError:
                self.count("datagrams.receive_failed")
                break
            receive(datagram, sender[0])
        self.after_batch()

    def logPrefix(self) -> str:  # noqa: N802
        """Returns the name that twisted logs."""
        return "datagrams"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Closes the socket when the reactor gives it up."""
        self.close()

    def close(self) -> None:
        """Closes the socket."""
        if self.socket.fileno() >= 0:
            self.reactor.removeReader(self)
            self.socket.close()
