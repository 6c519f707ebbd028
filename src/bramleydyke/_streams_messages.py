"""Messages of byte streams: local ports, balancers and agents."""

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

# Between a role and its local caller or upstream port.


class ConnectionOpened(Message):
    """From the caller port: a caller connected to a service address."""

    connection: str
    """Id of the connection, assigned by the port; unique at this balancer."""

    address: ServiceAddress


class OpenConnection(Message):
    """Tells the upstream port to open a connection to the upstream.

    The port replies with ``ConnectionReady`` or ``ConnectionAbort``.
    """

    connection: str


class ConnectionReady(Message):
    """Reply to ``OpenConnection``: the connection is open."""

    connection: str


class ConnectionData(Message):
    """Carries bytes that were read from a connection or are to be written."""

    connection: str
    data: bytes


class ConnectionWritten(Message):
    """Reports that the port wrote ``amount`` bytes.

    The receive window of the stream grows by that number.
    """

    connection: str
    amount: int


class ConnectionEnd(Message):
    """Ends one direction of a connection; the other direction stays open."""

    connection: str


class ConnectionAbort(Message):
    """Reports that a connection was lost, or tells the port to reset it."""

    connection: str
    kind: ErrorKind


class ConnectionPause(Message):
    """Tells the port to pause or resume reading from a connection."""

    connection: str
    paused: bool


# Between a balancer and an agent. Offsets count bytes from 0 in each
# direction.


class StreamOpen(Message):
    """Asks an agent to open a stream to its upstream.

    The balancer repeats the message until the agent replies with
    ``StreamOpened`` or ``StreamReset``, or until it gives up on the agent.
    """

    stream_id: StreamId
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation


class StreamOpened(Message):
    """Reply to ``StreamOpen``: the connection to the upstream is open."""

    stream_id: StreamId


class StreamData(Message):
    """Carries a segment of one direction of a stream.

    An empty segment is a probe, which the peer acknowledges like any other.
    """

    stream_id: StreamId
    offset: int
    data: bytes


class StreamAck(Message):
    """Acknowledges all bytes below ``offset`` and sets the send limit."""

    stream_id: StreamId
    offset: int
    limit: int
    """Offset of the first byte beyond the receive window."""


class StreamClose(Message):
    """Ends one direction of a stream after the bytes below ``offset``.

    The peer acknowledges the end by a ``StreamAck`` with ``offset`` + 1.
    """

    stream_id: StreamId
    offset: int


class StreamReset(Message):
    """Refuses or cancels the opening of a stream, or aborts an open one."""

    stream_id: StreamId
    kind: ErrorKind
