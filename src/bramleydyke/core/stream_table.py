"""Open byte streams of a balancer or agent, and their message handlers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.core.streams import Stream
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import (
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionWritten,
    Count,
    Envelope,
    StreamAck,
    StreamClose,
    StreamData,
    StreamReset,
)
from bramleydyke.types import LOCAL_METRICS, NodeId, StreamId

REMEMBERED_STREAMS = 4_096
"""Number of ended streams whose late messages are still recognized."""


@dataclass(slots=True, kw_only=True)
class StreamTable:
    """Routes messages from peers and from the local port to open streams.

    Attributes:
        removed: Called with each stream that ended or failed.
        streams: Open streams by id.
        connections: Open streams by the name of their local connection.
        ended: Recently ended streams. The value is the offset to acknowledge
            if the stream ended normally, and None if it failed.
        timers: Resend timer of each open stream.
    """

    node_id: NodeId
    removed: Callable[[Stream], None]
    streams: dict[StreamId, Stream] = field(default_factory=dict)
    connections: dict[str, Stream] = field(default_factory=dict)
    ended: OrderedDict[StreamId, int | None] = field(default_factory=OrderedDict)
    timers: Timers[StreamId] = field(default_factory=Timers)

    def add(self, stream: Stream) -> None:
        """Adds an open stream and starts its resend timer."""
        self.streams[stream.stream_id] = stream
        self.connections[stream.connection] = stream
        self._set_timer(stream)

    def record_ended(self, stream_id: StreamId, *, offset: int | None = None) -> None:
        """Records that a stream has ended, and evicts the oldest record."""
        self.ended[stream_id] = offset
        if len(self.ended) > REMEMBERED_STREAMS:
            self.ended.popitem(last=False)

    def wake(self, *, now: float) -> list[Envelope]:
        """Resends unacknowledged data, probes peers, ends silent streams."""
        return [
            sent
            for stream_id in self.timers.pop_due(now)
            for sent in self._handle_timer(self.streams[stream_id], now=now)
        ]

    # Messages from the peer.

    def data(
        self, sender: NodeId, message: StreamData, *, now: float
    ) -> list[Envelope]:
        """Receives bytes from the peer.

        Bytes for an unknown stream are answered with a reset.
        """
        stream = self._find(sender, message.stream_id)
        if stream is None:
            return self._answer_unknown(sender, message.stream_id)
        return self._remove_or_reschedule(stream, stream.receive(message, now=now))

    def acked(
        self, sender: NodeId, message: StreamAck, *, now: float
    ) -> list[Envelope]:
        """Handles an acknowledgement from the peer.

        An acknowledgement for a recently ended stream is ignored.
        """
        stream = self._find(sender, message.stream_id)
        if stream is not None:
            return self._remove_or_reschedule(stream, stream.acked(message, now=now))
        if message.stream_id in self.ended:
            return []
        return self._answer_unknown(sender, message.stream_id)

    def closed(
        self, sender: NodeId, message: StreamClose, *, now: float
    ) -> list[Envelope]:
        """Handles the end of the direction from the peer."""
        stream = self._find(sender, message.stream_id)
        if stream is None:
            return self._answer_unknown(sender, message.stream_id)
        return self._remove_or_reschedule(stream, stream.closed(message, now=now))

    def reset(self, sender: NodeId, message: StreamReset) -> list[Envelope]:
        """Ends a stream that the peer has reset and aborts its connection."""
        stream = self._find(sender, message.stream_id)
        if stream is None:
            return []
        return self._break(stream, message.kind)

    # Local port.

    def port_data(self, message: ConnectionData, *, now: float) -> list[Envelope]:
        """Sends bytes that the port read; ignores an unknown connection."""
        stream = self.connections.get(message.connection)
        if stream is None:
            return []
        return self._remove_or_reschedule(stream, stream.write(message.data, now=now))

    def port_written(self, message: ConnectionWritten) -> list[Envelope]:
        """Records bytes that the port wrote to a connection."""
        stream = self.connections.get(message.connection)
        return [] if stream is None else stream.port_written(message.amount)

    def half_closed(self, message: ConnectionEnd, *, now: float) -> list[Envelope]:
        """Ends the direction from the port to the peer."""
        stream = self.connections.get(message.connection)
        if stream is None:
            return []
        return self._remove_or_reschedule(stream, stream.close(now=now))

    def aborted(self, message: ConnectionAbort) -> list[Envelope]:
        """Resets the stream of a connection that was lost."""
        stream = self.connections.get(message.connection)
        if stream is None:
            return []
        self._remove(stream)
        reset = StreamReset(stream_id=stream.stream_id, kind=message.kind)
        return [Envelope(self.node_id, stream.peer, reset)]

    def _find(self, sender: NodeId, stream_id: StreamId) -> Stream | None:
        stream = self.streams.get(stream_id)
        return stream if stream is not None and stream.peer == sender else None

    def _answer_unknown(self, sender: NodeId, stream_id: StreamId) -> list[Envelope]:
        """Answers a message for a stream that is not open.

        If the stream ended normally, the message is a retransmission and gets
        the final acknowledgement again. Any other stream is reset.
        """
        offset = self.ended.get(stream_id)
        if offset is not None:
            ack = StreamAck(stream_id=stream_id, offset=offset, limit=offset)
            return [Envelope(self.node_id, sender, ack)]
        reset = StreamReset(stream_id=stream_id, kind=ErrorKind.FORGOTTEN)
        return [Envelope(self.node_id, sender, reset)]

    def _remove_or_reschedule(
        self, stream: Stream, sent: list[Envelope]
    ) -> list[Envelope]:
        if stream.done():
            self._remove(stream, offset=stream.receiver.ack()[0])
        else:
            self._set_timer(stream)
        return sent

    def _handle_timer(self, stream: Stream, *, now: float) -> list[Envelope]:
        if stream.silent(now=now):
            reset = StreamReset(stream_id=stream.stream_id, kind=ErrorKind.AGENT_SILENT)
            notice = Envelope(self.node_id, stream.peer, reset)
            return [notice, *self._break(stream, ErrorKind.AGENT_SILENT)]
        sent = stream.resend(now=now) if stream.resend_at <= now else []
        self._set_timer(stream)
        return sent

    def _break(self, stream: Stream, kind: ErrorKind) -> list[Envelope]:
        self._remove(stream)
        abort = ConnectionAbort(connection=stream.connection, kind=kind)
        count = Count(name=counter_name(kind, action="broken"))
        return [
            Envelope(self.node_id, stream.port, abort),
            Envelope(self.node_id, LOCAL_METRICS, count),
        ]

    def _remove(self, stream: Stream, *, offset: int | None = None) -> None:
        del self.streams[stream.stream_id]
        del self.connections[stream.connection]
        self.timers.cancel(stream.stream_id)
        self.record_ended(stream.stream_id, offset=offset)
        self.removed(stream)

    def _set_timer(self, stream: Stream) -> None:
        """Sets a stream's timer, unless it already fires earlier.

        If the timer fires too early, it is set to the later time. That costs
        less than a new timer entry for each message.
        """
        at = self.timers.times.get(stream.stream_id)
        if at is None or stream.resend_at < at:
            self.timers.set(stream.stream_id, stream.resend_at)
