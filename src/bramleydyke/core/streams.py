"""One end of a byte stream between a balancer and an agent.

Both ends work the same way once the stream is open. Bytes are buffered until
the peer acknowledges them, so that a stream survives the loss of a link.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.constants import (
    STREAM_KEEPALIVE_S,
    STREAM_RESEND_CAP_S,
    STREAM_RESEND_S,
    STREAM_SILENT_S,
)
from bramleydyke.core.byte_channel import ByteReceiver, ByteSender
from bramleydyke.messages import (
    ConnectionData,
    ConnectionEnd,
    ConnectionPause,
    Envelope,
    Payload,
    StreamAck,
    StreamClose,
    StreamData,
)
from bramleydyke.types import NodeId, PartnerId, StreamId

DUPLICATE_ACKS = 3
"""Consecutive acknowledgements without progress that indicate a loss.

The first unacknowledged segment is then sent again without waiting for the
timeout, like TCP's fast retransmit.
"""


@dataclass(slots=True, kw_only=True)
class Stream:
    """State of one end of a stream, with its resend timer.

    Attributes:
        node_id: This process.
        peer: The process at the other end.
        port: The local port that holds the caller's or upstream's connection.
        connection: Name of the connection at that port.
        heard_at: Time of the last message from the peer.
        resend_at: Time of the next resend, or of the next keepalive probe if
            nothing is unacknowledged.
        awaiting_ack: True while an acknowledgement is outstanding.
        resends: Resends and probes since the last progress.
        duplicate_acks: Consecutive acknowledgements without progress.
        paused: True while the port has been asked not to read.
        sender: Bytes from the port to the peer.
        receiver: Bytes from the peer to the port.
    """

    node_id: NodeId
    peer: NodeId
    port: NodeId
    stream_id: StreamId
    partner_id: PartnerId
    connection: str
    heard_at: float
    resend_at: float
    awaiting_ack: bool = False
    resends: int = 0
    duplicate_acks: int = 0
    paused: bool = False
    sender: ByteSender = field(default_factory=ByteSender)
    receiver: ByteReceiver = field(default_factory=ByteReceiver)

    def done(self) -> bool:
        """Returns whether both directions have ended and are acknowledged."""
        return self.receiver.ended and self.sender.end_acked

    def silent(self, *, now: float) -> bool:
        """Returns whether a probed peer sends nothing for too long.

        The limit is ``STREAM_SILENT_S``.
        """
        return self.resends > 0 and now - self.heard_at >= STREAM_SILENT_S

    # Local port.

    def write(self, data: bytes, *, now: float) -> list[Envelope]:
        """Sends bytes that the port read, up to the peer's limit.

        Pauses the port when the send buffer is full.
        """
        self.sender.write(data)
        return self.flush(now=now) + self._update_pause()

    def buffer_data(self, data: bytes) -> list[Envelope]:
        """Buffers bytes that the port read before the stream was open."""
        self.sender.write(data)
        return self._update_pause()

    def close(self, *, now: float) -> list[Envelope]:
        """Ends the direction to the peer; the other one stays open."""
        self.sender.close()
        return self.flush(now=now)

    def port_written(self, amount: int) -> list[Envelope]:
        """Records bytes that the port wrote to its connection.

        Sends an acknowledgement once half of the receive window is free.
        """
        return [self._ack()] if self.receiver.port_written(amount) else []

    # Peer.

    def receive(self, message: StreamData, *, now: float) -> list[Envelope]:
        """Passes in-order bytes to the port and sends an acknowledgement."""
        self.heard_at = now
        new = self.receiver.receive(message.offset, message.data)
        sent = []
        if new:
            sent.append(
                self._to_port(ConnectionData(connection=self.connection, data=new))
            )
        if self.receiver.end is not None:
            sent += self._end_receiver(self.receiver.end)
        return [*sent, self._ack()]

    def closed(self, message: StreamClose, *, now: float) -> list[Envelope]:
        """Handles the end of the direction from the peer."""
        self.heard_at = now
        return [*self._end_receiver(message.offset), self._ack()]

    def acked(self, message: StreamAck, *, now: float) -> list[Envelope]:
        """Frees acknowledged bytes and sends more, up to the new limit."""
        self.heard_at = now
        advanced = self.sender.acked(message.offset, message.limit)
        self.duplicate_acks = 0 if advanced else self.duplicate_acks + 1
        if (
            self.duplicate_acks == DUPLICATE_ACKS
            and self.resends == 0
            and self.sender.buffer
        ):
            return [self._first_segment()]
        if advanced or not self.sender.outstanding():
            self.resends = 0
            self.awaiting_ack = self.sender.outstanding()
            self._schedule_resend(now=now)
        return self.flush(now=now) + self._update_pause()

    # Sending and resending.

    def flush(self, *, now: float) -> list[Envelope]:
        """Sends new bytes up to the peer's limit.

        Sends nothing new while an earlier segment is being resent.
        """
        if self.resends:
            return []
        messages = [
            StreamData(stream_id=self.stream_id, offset=offset, data=data)
            for offset, data in self.sender.segments()
        ]
        sent = [Envelope(self.node_id, self.peer, item) for item in messages]
        sent += self._close_if_due()
        if not self.awaiting_ack and self.sender.outstanding():
            self.awaiting_ack = True
            self._schedule_resend(now=now)
        return sent

    def resend(self, *, now: float) -> list[Envelope]:
        """Resends the first unacknowledged segment, or probes an idle peer.

        One segment is enough to test the link; the remaining ones are sent
        after its acknowledgement.
        """
        self.resends += 1
        self._schedule_resend(now=now)
        self.sender.rewind()
        segment = self._first_segment()
        self.sender.sent = self.sender.base + len(segment.payload.data)
        return [segment, *self._close_if_due()]

    def _first_segment(self) -> Envelope:
        offset, data = self.sender.first_segment()
        segment = StreamData(stream_id=self.stream_id, offset=offset, data=data)
        return Envelope(self.node_id, self.peer, segment)

    def _close_if_due(self) -> list[Envelope]:
        end = self.sender.take_due_end()
        if end is None:
            return []
        close = StreamClose(stream_id=self.stream_id, offset=end)
        return [Envelope(self.node_id, self.peer, close)]

    def _schedule_resend(self, *, now: float) -> None:
        if self.resends == 0 and not self.awaiting_ack:
            self.resend_at = now + STREAM_KEEPALIVE_S
            return
        wait = STREAM_RESEND_S * 2.0 ** min(self.resends, 8)
        self.resend_at = now + min(STREAM_RESEND_CAP_S, wait)

    def _end_receiver(self, offset: int) -> list[Envelope]:
        if not self.receiver.close(offset):
            return []
        return [self._to_port(ConnectionEnd(connection=self.connection))]

    def _update_pause(self) -> list[Envelope]:
        """Pauses the port at a full send buffer; resumes it at half full."""
        held = len(self.sender.buffer)
        if self.paused:
            paused = held > self.sender.window // 2
        else:
            paused = self.sender.full()
        if paused == self.paused:
            return []
        self.paused = paused
        message = ConnectionPause(connection=self.connection, paused=paused)
        return [self._to_port(message)]

    def _ack(self) -> Envelope:
        offset, limit = self.receiver.ack()
        ack = StreamAck(stream_id=self.stream_id, offset=offset, limit=limit)
        return Envelope(self.node_id, self.peer, ack)

    def _to_port(self, message: Payload) -> Envelope:
        return Envelope(self.node_id, self.port, message)
