"""Send and receive buffers of one direction of a byte stream.

Offsets count bytes from 0. The end of the direction occupies one offset, like
a TCP FIN, and is acknowledged like a byte.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import STREAM_SEGMENT_BYTES, STREAM_WINDOW_BYTES


@dataclass(slots=True)
class ByteSender:
    """Send buffer: bytes that the receiver has not acknowledged.

    Attributes:
        window: Number of buffered bytes at which the port must stop reading.
        base: Offset of the first byte in ``buffer``.
        sent: Offset up to which bytes have been sent since the last rewind.
        limit: First offset beyond the receiver's window.
        buffer: Unacknowledged bytes, sent or not.
        end: Offset at which the direction ends; None while it is open.
        end_sent: True if the end was sent since the last rewind.
        end_acked: True once the receiver has acknowledged the end.
    """

    window: int = STREAM_WINDOW_BYTES
    base: int = 0
    sent: int = 0
    limit: int = STREAM_WINDOW_BYTES
    buffer: bytearray = field(default_factory=bytearray)
    end: int | None = None
    end_sent: bool = False
    end_acked: bool = False

    def write(self, data: bytes) -> None:
        """Appends bytes to the buffer, even beyond the window.

        The port may have read them before it was paused.
        """
        self.buffer += data

    def close(self) -> None:
        """Ends the direction after the bytes in the buffer."""
        if self.end is None:
            self.end = self.base + len(self.buffer)

    def full(self) -> bool:
        """Returns whether the port must stop reading."""
        return len(self.buffer) >= self.window

    def outstanding(self) -> bool:
        """Returns whether bytes or the end are unacknowledged."""
        return bool(self.buffer) or (self.end is not None and not self.end_acked)

    def segments(self) -> Iterator[tuple[int, bytes]]:
        """Yields the segments that may be sent now, as offset and bytes.

        Each segment counts as sent once the next one is requested.
        """
        stop = min(self.limit, self.base + len(self.buffer))
        while self.sent < stop:
            size = min(stop - self.sent, STREAM_SEGMENT_BYTES)
            start = self.sent - self.base
            yield self.sent, bytes(self.buffer[start : start + size])
            self.sent += size

    def take_due_end(self) -> int | None:
        """Returns the offset of the end and marks it as sent.

        Returns None if the direction is open, bytes are still unsent, or the
        end was sent already.
        """
        if self.end is None or self.end_sent or self.sent < self.end:
            return None
        self.end_sent = True
        return self.end

    def first_segment(self) -> tuple[int, bytes]:
        """Returns the segment to resend when no acknowledgement arrives.

        The segment is empty if the receiver's window is full, or if only the
        end is unacknowledged. The receiver also acknowledges empty segments.
        """
        size = max(0, min(STREAM_SEGMENT_BYTES, self.limit - self.base))
        return self.base, bytes(self.buffer[:size])

    def rewind(self) -> None:
        """Marks all unacknowledged bytes, and the end, as not sent."""
        self.sent = self.base
        self.end_sent = False

    def acked(self, offset: int, limit: int) -> bool:
        """Handles an acknowledgement.

        Args:
            offset: First offset that the receiver has not received.
            limit: First offset beyond the receiver's window.

        Returns:
            True if the acknowledgement is valid and advances the offset or the
            limit.
        """
        top = self.base + len(self.buffer)
        if self.end is not None and offset == self.end + 1:
            self.end_acked = True
            offset = self.end
        if offset < self.base or offset > top:
            return False
        advanced = offset > self.base or limit > self.limit
        del self.buffer[: offset - self.base]
        self.base = offset
        self.sent = max(self.sent, offset)
        self.limit = max(self.limit, limit)
        return advanced


@dataclass(slots=True)
class ByteReceiver:
    """Receive buffer: puts bytes in order and drops duplicates.

    Attributes:
        window: Maximum number of bytes accepted beyond ``written``.
        next_offset: First offset that has not arrived.
        written: Bytes that the port has written to its connection.
        advertised_limit: Limit advertised in the last acknowledgement.
        pending: Segments received after a gap, by offset.
        end: Offset at which the direction ends; None until it is known.
        ended: True once all bytes up to the end have arrived.
    """

    window: int = STREAM_WINDOW_BYTES
    next_offset: int = 0
    written: int = 0
    advertised_limit: int = STREAM_WINDOW_BYTES
    pending: dict[int, bytes] = field(default_factory=dict)
    end: int | None = None
    ended: bool = False

    def receive(self, offset: int, data: bytes) -> bytes:
        """Accepts a segment and returns the bytes that are now in order.

        Segments after a gap are buffered until the gap is filled. Segments
        beyond the window are dropped; the sender resends them.
        """
        if self.ended or offset + len(data) > self.written + self.window:
            return b""
        if offset > self.next_offset:
            held = sum(map(len, self.pending.values()))
            if held + len(data) <= self.window:
                self.pending[offset] = data
            return b""
        new = data[self.next_offset - offset :]
        self.next_offset += len(new)
        return new + self._pop_contiguous() if new and self.pending else new

    def _pop_contiguous(self) -> bytes:
        """Removes and returns the buffered bytes that are now in order."""
        contiguous = []
        for offset in sorted(self.pending):
            if offset > self.next_offset:
                break
            segment = self.pending.pop(offset)[self.next_offset - offset :]
            self.next_offset += len(segment)
            contiguous.append(segment)
        return b"".join(contiguous)

    def close(self, offset: int) -> bool:
        """Records the end of the direction.

        Returns:
            True the first time that all bytes up to the end have arrived.
        """
        self.end = offset
        if self.ended or self.next_offset != offset:
            return False
        self.ended = True
        return True

    def ack(self) -> tuple[int, int]:
        """Returns the offset to acknowledge and the limit to advertise.

        Once the direction has ended, the offset includes the end.
        """
        self.advertised_limit = self.written + self.window
        return self.next_offset + self.ended, self.advertised_limit

    def port_written(self, amount: int) -> bool:
        """Records bytes that the port has written to its connection.

        Returns:
            True if at least half a window has been freed since the last
            acknowledgement, so that not every write needs one.
        """
        self.written = min(self.next_offset, self.written + amount)
        return self.written + self.window - self.advertised_limit >= self.window // 2
