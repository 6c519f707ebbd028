"""One TCP connection of a byte stream, at a balancer or at an agent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionPause,
    ConnectionWritten,
    Payload,
)

Tell = Callable[[Payload], None]
"""Hands a connection's message to the role."""


@implementer(IHalfCloseableProtocol, IPushProducer)
class ByteConnection(Protocol):
    """A connection whose bytes the role relays.

    The transport is told that this object produces what is written to it, so
    it reports a full buffer; bytes written meanwhile count as taken only when
    the buffer has been emptied.

    Attributes:
        blocked: True while the transport's buffer is full.
        unreported: Bytes written while it is.
        read_ended: True once the peer sends no more.
        write_ended: True once the role sends no more.
    """

    def __init__(
        self,
        *,
        connection: str,
        opening: Payload,
        broken: ErrorKind,
        tell: Tell,
        table: dict[str, ByteConnection],
    ) -> None:
        """Prepares a connection.

        Args:
            connection: Its name towards the role.
            opening: What the role is told when it is open.
            broken: Why the stream breaks if the peer resets it.
            tell: Hands messages to the role.
            table: Open connections; it adds and removes itself.
        """
        self.connection = connection
        self.opening = opening
        self.broken = broken
        self.tell = tell
        self.table = table
        self.blocked = False
        self.unreported = 0
        self.read_ended = False
        self.write_ended = False
        self.aborted = False

    # Role.

    def take(self, payload: Payload) -> None:
        """Takes the role's message about this connection."""
        match payload:
            case ConnectionData():
                self._write(payload.data)
            case ConnectionEnd():
                self.write_ended = True
                if not self.blocked:
                    self._end_writing()
            case ConnectionPause():
                self._pause(paused=payload.paused)
            case ConnectionAbort():
                self.abort()

    def abort(self) -> None:
        """Resets the connection; the role is not told."""
        self.aborted = True
        self.transport.abortConnection()

    def _write(self, data: bytes) -> None:
        self.unreported += len(data)
        self.transport.write(data)
        if not self.blocked:
            self._report()

    def _report(self) -> None:
        amount, self.unreported = self.unreported, 0
        if amount:
            self.tell(ConnectionWritten(connection=self.connection, amount=amount))

    def _pause(self, *, paused: bool) -> None:
        if self.read_ended:
            # Reading again would find the end of the input again.
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def _end_writing(self) -> None:
        """Ends the output once the transport has passed on all of it.

        A transport with a paused producer would never reach its end.
        """
        self.transport.unregisterProducer()
        if self.read_ended:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()

    # Transport, with the names given by twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Adds the connection and tells the role."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)
        self.table[self.connection] = self
        self.tell(self.opening)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hands the peer's bytes to the role."""
        self.tell(ConnectionData(connection=self.connection, data=data))

    def readConnectionLost(self) -> None:  # noqa: N802
        """Tells the role that the peer sends no more."""
        self.read_ended = True
        self.tell(ConnectionEnd(connection=self.connection))
        if self.write_ended and not self.blocked:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """The end of the output has left; the input goes on."""

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]  # noqa: N802
        """Removes the connection; tells the role of a break."""
        self.table.pop(self.connection, None)
        if not self.aborted and not (self.read_ended and self.write_ended):
            self.tell(ConnectionAbort(connection=self.connection, kind=self.broken))

    def pauseProducing(self) -> None:  # noqa: N802
        """Notes that the transport's buffer is full."""
        self.blocked = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Reports the bytes that have left the full buffer."""
        self.blocked = False
        self._report()
        if self.write_ended:
            self._end_writing()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost; ``connectionLost`` tells the role."""


def take_for(table: dict[str, ByteConnection], payload: Any) -> None:
    """Passes the role's message to the connection that it names."""
    connection = table.get(getattr(payload, "connection", ""))
    if connection is not None:
        connection.take(payload)
