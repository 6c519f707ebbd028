"""UDP socket for datagrams that are not frames, with their sender address."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from bramleydyke.adapters.early_sockets import bound_socket

MAX_RECEIVE_BYTES = 65_536
"""Size of the receive buffer, which holds any UDP datagram."""

MAX_BATCH = 64
"""Datagrams read at once, before timers and other sockets are served."""

MAX_PENDING_BATCHES = 16
"""Batches read before a socket closes; more may arrive all the time."""

Receive = Callable[[bytes, str], None]
"""Callback for a datagram and the IP address of its sender."""


class RawDatagrams:
    """A non-blocking UDP socket that the reactor reads after ``start``.

    Attributes:
        receive: Called with each datagram.
        count: Adds to a counter, by name.
        socket: The bound socket. Datagrams that arrive before ``start`` are
            buffered in it.
        on_batch_read: Called after each batch of up to ``MAX_BATCH``
            datagrams.
        reading: True once the reactor watches the socket.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        endpoint: str,
        receive: Receive,
        count: Callable[[str], None],
        on_batch_read: Callable[[], None],
        early: socket.socket | None = None,
    ) -> None:
        self.reactor = reactor
        self.receive = receive
        self.count = count
        self.on_batch_read = on_batch_read
        self.socket = early or bound_socket(socket.SOCK_DGRAM, endpoint)
        self.reading = False

    def start(self) -> None:
        """Lets the reactor read the socket, unless it is closed."""
        if not self.reading and self.socket.fileno() >= 0:
            self.reading = True
            self.reactor.addReader(self)

    def send(self, datagram: bytes, ip: str, port: int) -> None:
        """Sends a datagram; drops and counts it if the buffer is full."""
        try:
            self.socket.sendto(datagram, (ip, port))
        except OSError:
            self.count("datagrams.send_failed")

    # Called by the reactor; Twisted sets the names.

    def fileno(self) -> int:
        """Returns the file descriptor for the reactor; -1 when closed."""
        return self.socket.fileno()

    def doRead(self) -> None:  # noqa: N802
        """Reads a batch of datagrams, then calls ``on_batch_read``."""
        self._read_batch()
        self.on_batch_read()

    def read_pending(self) -> None:
        """Reads what had arrived when the process was told to stop.

        Call it before ``close``. A socket that was not started is not read.
        """
        if self.reading and self.socket.fileno() >= 0:
            for _ in range(MAX_PENDING_BATCHES):
                if not self._read_batch():
                    return

    def _read_batch(self) -> bool:
        """Reads up to ``MAX_BATCH`` datagrams; False if none is left."""
        receive = self.receive
        recvfrom = self.socket.recvfrom
        for _ in range(MAX_BATCH):
            try:
                datagram, sender = recvfrom(MAX_RECEIVE_BYTES)
            except BlockingIOError:
                return False
            except OSError:
                self.count("datagrams.receive_failed")
                return False
            receive(datagram, sender[0])
        return True

    def logPrefix(self) -> str:  # noqa: N802
        """Returns the prefix of Twisted's log messages about the socket."""
        return "datagrams"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Closes the socket when the reactor stops watching it."""
        self.close()

    def close(self) -> None:
        """Closes the socket; may be called more than once."""
        if self.socket.fileno() >= 0:
            self.reactor.removeReader(self)
            self.socket.close()
