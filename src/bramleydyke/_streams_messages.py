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
    """Caller port: a caller opened a connection to a service address."""

    connection: str
    """Name of the connection, chosen by the port; unique at this balancer."""

    address: ServiceAddress


class OpenConnection(Message):
    """Asks the upstream port to open a connection to the upstream.

    The port replies with ``ConnectionReady`` or ``ConnectionAbort``.
    """

    connection: str


class ConnectionReady(Message):
    """Reply to ``OpenConnection``: the connection is open."""

    connection: str


class ConnectionData(Message):
    """Bytes read from a connection, or to be written to it."""

    connection: str
    data: bytes


class ConnectionWritten(Message):
    """Reports bytes that the port wrote, which frees receive window."""

    connection: str
    amount: int


class ConnectionEnd(Message):
    """No more bytes follow in this direction; the other one stays open."""

    connection: str


class ConnectionAbort(Message):
    """From the port: the connection broke. To the port: reset it."""

    connection: str
    kind: ErrorKind


class ConnectionPause(Message):
    """Stops or resumes reading from a connection."""

    connection: str
    paused: bool


# Between a balancer and an agent. Offsets count bytes from 0 in each
# direction.


class StreamOpen(Message):
    """Asks an agent to open a stream to its upstream.

    A balancer repeats it until the agent replies with ``StreamOpened`` or
    ``StreamReset``, or gives up on the agent.
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

    An empty segment is a probe, which is acknowledged like any other.
    """

    stream_id: StreamId
    offset: int
    data: bytes


class StreamAck(Message):
    """Acknowledges all bytes below ``offset`` and advertises a limit."""

    stream_id: StreamId
    offset: int
    limit: int
    """First offset for which the receiver has no room."""


class StreamClose(Message):
    """Ends one direction of a stream after the bytes below ``offset``.

    It is acknowledged by a ``StreamAck`` with ``offset`` + 1.
    """

    stream_id: StreamId
    offset: int


class StreamReset(Message):
    """Refuses or cancels the opening of a stream, or aborts an open one."""

    stream_id: StreamId
    kind: ErrorKind
