"""TCP connection that carries a byte stream for a balancer or an agent.

A balancer has one to each caller, an agent one to the upstream for each byte
stream.
"""

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

SendToRole = Callable[[Payload], None]
"""Function that delivers a message about a connection to the role."""


@implementer(IHalfCloseableProtocol, IPushProducer)
class ByteConnection(Protocol):
    """A TCP connection whose bytes the role relays, with flow control.

    It registers itself as the transport's push producer, so that the
    transport reports when its send buffer is full. Bytes written while the
    buffer is full are acknowledged to the role (``ConnectionWritten``) only
    when the buffer is empty again.

    Attributes:
        connection: Id of the connection in messages to and from the role.
        blocked: True while the transport's send buffer is full.
        unacknowledged: Bytes written but not yet acknowledged to the role.
        read_ended: True once the peer has closed its sending side.
        write_ended: True once the role has ended the output.
        aborted: True once the role has reset the connection.
    """

    def __init__(
        self,
        *,
        connection: str,
        opened_message: Payload,
        loss_kind: ErrorKind,
        send_to_role: SendToRole,
        connections: dict[str, ByteConnection],
    ) -> None:
        """Prepares a connection.

        Args:
            connection: Id of the connection in messages to and from the role.
            opened_message: Message to the role when the connection is open.
            loss_kind: Error kind that the role gets if the connection is lost.
            send_to_role: Delivers messages to the role.
            connections: Open connections by id; this one adds and removes
                itself.
        """
        self.connection = connection
        self.opened_message = opened_message
        self.loss_kind = loss_kind
        self.send_to_role = send_to_role
        self.connections = connections
        self.blocked = False
        self.unacknowledged = 0
        self.read_ended = False
        self.write_ended = False
        self.aborted = False

    # Called by the role.

    def handle(self, payload: Payload) -> None:
        """Handles a message of the role: write, end, pause or abort."""
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
        """Resets the connection without a message to the role."""
        self.aborted = True
        self.transport.abortConnection()

    def _write(self, data: bytes) -> None:
        self.unacknowledged += len(data)
        self.transport.write(data)
        if not self.blocked:
            self._acknowledge()

    def _acknowledge(self) -> None:
        amount, self.unacknowledged = self.unacknowledged, 0
        if amount:
            self.send_to_role(
                ConnectionWritten(connection=self.connection, amount=amount)
            )

    def _pause(self, *, paused: bool) -> None:
        if self.read_ended:
            # Resumed reading would report the end of the input a second time.
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def _end_writing(self) -> None:
        """Closes the sending side once all output has been written.

        The producer is unregistered first, because a transport whose producer
        is paused never closes.
        """
        self.transport.unregisterProducer()
        if self.read_ended:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()

    # Called by the transport; Twisted sets the names.

    def connectionMade(self) -> None:  # noqa: N802
        """Adds the connection to the table and sends the opening message."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)
        self.connections[self.connection] = self
        self.send_to_role(self.opened_message)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Delivers the peer's bytes to the role."""
        self.send_to_role(ConnectionData(connection=self.connection, data=data))

    def readConnectionLost(self) -> None:  # noqa: N802
        """Reports to the role that the peer has closed its sending side."""
        self.read_ended = True
        self.send_to_role(ConnectionEnd(connection=self.connection))
        if self.write_ended and not self.blocked:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Does nothing: the sending side is closed, input may still arrive."""

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]  # noqa: N802
        """Removes the connection from the table.

        The role gets a ``ConnectionAbort`` unless both sides had ended or it
        reset the connection itself.
        """
        self.connections.pop(self.connection, None)
        if not self.aborted and not (self.read_ended and self.write_ended):
            self.send_to_role(
                ConnectionAbort(connection=self.connection, kind=self.loss_kind)
            )

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops acknowledging bytes: the transport's send buffer is full."""
        self.blocked = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Acknowledges the bytes written while the send buffer was full."""
        self.blocked = False
        self._acknowledge()
        if self.write_ended:
            self._end_writing()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: ``connectionLost`` reports a lost connection."""


def dispatch_to_connection(
    connections: dict[str, ByteConnection], payload: Any
) -> None:
    """Dispatches a message of the role to the connection that it names.

    Messages without a connection, or for a closed one, are ignored.

    Args:
        connections: Open connections by id.
        payload: The message.
    """
    connection = connections.get(getattr(payload, "connection", ""))
    if connection is not None:
        connection.handle(payload)
