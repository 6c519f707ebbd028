"""Byte streams at an agent: admission, and connections to the upstream."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.constants import AGENT_STREAMS, STREAM_KEEPALIVE_S, STREAM_OPEN_S
from bramleydyke.core.stream_table import StreamTable
from bramleydyke.core.streams import Stream
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import (
    ConnectionAbort,
    ConnectionReady,
    Count,
    Envelope,
    OpenConnection,
    StreamOpen,
    StreamOpened,
    StreamReset,
)
from bramleydyke.types import (
    LOCAL_METRICS,
    LOCAL_UPSTREAM,
    NodeId,
    PartnerId,
    ServiceId,
    StreamId,
)


@dataclass(slots=True, kw_only=True)
class StreamServer:
    """Admits streams from balancers and connects them to the upstream.

    Attributes:
        max_streams: Maximum number of open and connecting streams together.
        draining: True if no new stream is admitted; open ones continue.
        connecting: Streams whose upstream connection is being opened.
        timers: Timeout of each stream in ``connecting``.
        table: Open streams.
    """

    node_id: NodeId
    partner_id: PartnerId
    service_id: ServiceId
    max_streams: int = AGENT_STREAMS
    draining: bool = False
    connecting: dict[StreamId, Stream] = field(default_factory=dict)
    timers: Timers[StreamId] = field(default_factory=Timers)
    table: StreamTable = field(init=False)

    def __post_init__(self) -> None:
        self.table = StreamTable(node_id=self.node_id, removed=lambda _: None)

    def next_wakeup(self) -> float | None:
        """Returns the time at which ``wake`` is due, or None if nothing is."""
        times = (self.timers.next(), self.table.timers.next())
        return min((at for at in times if at is not None), default=None)

    def wake(self, *, now: float) -> list[Envelope]:
        """Refuses streams whose connection timed out; wakes open streams."""
        overdue = [
            sent
            for stream_id in self.timers.pop_due(now)
            for sent in self._time_out(stream_id)
        ]
        return overdue + self.table.wake(now=now)

    def idle(self) -> bool:
        """Returns whether no stream is open or being opened."""
        return not self.connecting and not self.table.streams

    def open(
        self, sender: NodeId, message: StreamOpen, *, now: float
    ) -> list[Envelope]:
        """Admits or refuses a stream.

        A repeated message for an open stream gets the same reply again; a
        repeated message for a connecting stream is ignored.
        """
        stream_id = message.stream_id
        stream = self.table.streams.get(stream_id)
        if stream is not None and stream.peer == sender:
            return [Envelope(self.node_id, sender, StreamOpened(stream_id=stream_id))]
        if stream_id in self.connecting:
            return []
        kind = self._refusal(message)
        if kind is not None:
            reset = StreamReset(stream_id=stream_id, kind=kind)
            return [Envelope(self.node_id, sender, reset), self._count(kind)]
        self.connecting[stream_id] = Stream(
            node_id=self.node_id,
            peer=sender,
            port=LOCAL_UPSTREAM,
            stream_id=stream_id,
            partner_id=self.partner_id,
            connection=stream_id,
            heard_at=now,
            resend_at=now + STREAM_KEEPALIVE_S,
        )
        self.timers.set(stream_id, now + STREAM_OPEN_S)
        return [
            Envelope(self.node_id, LOCAL_UPSTREAM, OpenConnection(connection=stream_id))
        ]

    def ready(self, message: ConnectionReady, *, now: float) -> list[Envelope]:
        """Opens the stream once the upstream connection is established."""
        stream = self._pop_connecting(StreamId(message.connection))
        if stream is None:
            return []
        stream.heard_at = now
        stream.resend_at = now + STREAM_KEEPALIVE_S
        self.table.add(stream)
        opened = StreamOpened(stream_id=stream.stream_id)
        return [Envelope(self.node_id, stream.peer, opened)]

    def aborted(self, message: ConnectionAbort) -> list[Envelope]:
        """Refuses a stream whose connection failed, or resets an open one."""
        stream = self._pop_connecting(StreamId(message.connection))
        if stream is None:
            return self.table.aborted(message)
        return self._refuse_connecting(stream)

    def reset(self, sender: NodeId, message: StreamReset) -> list[Envelope]:
        """Ends a stream that the balancer has reset.

        The id of an unknown stream is recorded as ended, so that a delayed
        ``StreamOpen`` does not open the stream after its reset.
        """
        stream = self.connecting.get(message.stream_id)
        if stream is not None and stream.peer == sender:
            self._pop_connecting(message.stream_id)
            self.table.record_ended(message.stream_id)
            return [self._abort(stream, message.kind)]
        if message.stream_id not in self.table.streams:
            self.table.record_ended(message.stream_id)
        return self.table.reset(sender, message)

    def _refusal(self, message: StreamOpen) -> ErrorKind | None:
        if (message.service_id, message.partner_id) != (
            self.service_id,
            self.partner_id,
        ):
            return ErrorKind.WRONG_SERVICE
        if message.stream_id in self.table.ended:
            return ErrorKind.FORGOTTEN
        if self.draining:
            return ErrorKind.DRAINING
        if len(self.table.streams) + len(self.connecting) >= self.max_streams:
            return ErrorKind.TABLE_FULL
        return None

    def _pop_connecting(self, stream_id: StreamId) -> Stream | None:
        self.timers.cancel(stream_id)
        return self.connecting.pop(stream_id, None)

    def _time_out(self, stream_id: StreamId) -> list[Envelope]:
        stream = self.connecting.pop(stream_id)
        abort = self._abort(stream, ErrorKind.UPSTREAM_FAILED)
        return [abort, *self._refuse_connecting(stream)]

    def _refuse_connecting(self, stream: Stream) -> list[Envelope]:
        kind = ErrorKind.UPSTREAM_FAILED
        self.table.record_ended(stream.stream_id)
        reset = StreamReset(stream_id=stream.stream_id, kind=kind)
        return [Envelope(self.node_id, stream.peer, reset), self._count(kind)]

    def _abort(self, stream: Stream, kind: ErrorKind) -> Envelope:
        abort = ConnectionAbort(connection=stream.connection, kind=kind)
        return Envelope(self.node_id, LOCAL_UPSTREAM, abort)

    def _count(self, kind: ErrorKind) -> Envelope:
        return Envelope(self.node_id, LOCAL_METRICS, Count(name=counter_name(kind)))
