"""Messages of byte streams."""

from __future__ import annotations

from bramleydyke._message_base import Message
from bramleydyke.errors import ErrorKind
from bramleydyke.types import (
    Generation,
    PartnerId,
    ServiceAddress,
    ServiceId,
    StreamId,
)

# Byte streams: local caller port and local upstream port.


class ConnectionOpened(Message):
    """A caller opened a connection to a service address."""

    connection: str
    """Chosen by the port; unique at this balancer."""

    address: ServiceAddress


class OpenConnection(Message):
    """Asks the upstream port for a connection to the upstream."""

    connection: str


class ConnectionReady(Message):
    """The connection to the upstream is open."""

    connection: str


class ConnectionData(Message):
    """Bytes read from a connection, or to be written to it."""

    connection: str
    data: bytes


class ConnectionWritten(Message):
    """Bytes that the port has passed on; they free the window."""

    connection: str
    amount: int


class ConnectionEnd(Message):
    """No more bytes follow in this direction."""

    connection: str


class ConnectionAbort(Message):
    """The connection is broken, or is to be reset."""

    connection: str
    kind: ErrorKind


class ConnectionPause(Message):
    """Stops or resumes reading from a connection."""

    connection: str
    paused: bool


# Byte streams: balancer and agent. Offsets count bytes from 0 in each
# direction.


class StreamOpen(Message):
    """Asks an agent for a stream to its upstream; repeated until answered."""

    stream_id: StreamId
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation


class StreamOpened(Message):
    """The connection to the upstream is open."""

    stream_id: StreamId


class StreamData(Message):
    """Bytes of one direction of a stream."""

    stream_id: StreamId
    offset: int
    data: bytes


class StreamAck(Message):
    """Everything below ``offset`` has arrived; ``limit`` may be sent."""

    stream_id: StreamId
    offset: int
    limit: int
    """First offset for which the receiver has no room."""


class StreamClose(Message):
    """One direction ends at ``offset``."""

    stream_id: StreamId
    offset: int


class StreamReset(Message):
    """The stream is refused or has broken."""

    stream_id: StreamId
    kind: ErrorKind
