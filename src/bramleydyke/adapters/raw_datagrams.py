"""UDP socket that passes datagrams on as they are, with their sender."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from bramleydyke.adapters.early_sockets import bound_socket

RECEIVE_BYTES = 65_536

MAX_BATCH = 64
"""Datagrams that are read before timers and other sockets get a turn."""

Receive = Callable[[bytes, str], None]
"""Takes a datagram and the IP number of its sender."""


class RawDatagrams:
    """A non-blocking UDP socket that the reactor reads once it is started.

    Attributes:
        socket: The socket; datagrams that arrive before the start wait there.
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
        early: socket.socket | None = None,
    ) -> None:
        self.reactor = reactor
        self.receive = receive
        self.count = count
        self.after_batch = after_batch
        self.socket = early or bound_socket(socket.SOCK_DGRAM, endpoint)
        self.reading = False

    def start(self) -> None:
        """Starts to read."""
        if not self.reading and self.socket.fileno() >= 0:
            self.reading = True
            self.reactor.addReader(self)

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
