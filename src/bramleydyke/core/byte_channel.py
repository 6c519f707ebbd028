"""One direction of a byte stream: unacknowledged bytes, and their receiver.

Offsets count bytes from 0. The end of the direction takes one offset of its
own, so that its arrival is acknowledged like a byte.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import STREAM_SEGMENT_BYTES, STREAM_WINDOW_BYTES


@dataclass(slots=True)
class ByteSender:
    """Bytes that the other side has not acknowledged.

    Attributes:
        base: Offset of the first byte in ``buffer``.
        sent: Offset up to which bytes have been sent since the last rewind.
        limit: First offset for which the receiver has no room.
        end: Offset at which the direction ends, once that is known.
        end_sent: True if the end was sent since the last rewind.
        end_acked: True once the receiver has the end.
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
        """Adds bytes at the end; more than the window is kept as well.

        The port may have read more before it was paused.
        """
        self.buffer += data

    def close(self) -> None:
        """Ends the direction after the bytes that it has."""
        if self.end is None:
            self.end = self.base + len(self.buffer)

    def full(self) -> bool:
        """Tells whether the port must stop reading."""
        return len(self.buffer) >= self.window

    def outstanding(self) -> bool:
        """Tells whether an acknowledgement is missing."""
        return bool(self.buffer) or (self.end is not None and not self.end_acked)

    def segments(self) -> Iterator[tuple[int, bytes]]:
        """Yields offsets and bytes that may be sent now."""
        stop = min(self.limit, self.base + len(self.buffer))
        while self.sent < stop:
            size = min(stop - self.sent, STREAM_SEGMENT_BYTES)
            start = self.sent - self.base
            yield self.sent, bytes(self.buffer[start : start + size])
            self.sent += size

    def end_due(self) -> int | None:
        """Returns the offset of an end that is to be sent now."""
        if self.end is None or self.end_sent or self.sent < self.end:
            return None
        self.end_sent = True
        return self.end

    def first_segment(self) -> tuple[int, bytes]:
        """Returns what to repeat when no acknowledgement comes.

        It is empty if the receiver has no room, or if only the end is
        missing: the receiver acknowledges it in any case.
        """
        size = max(0, min(STREAM_SEGMENT_BYTES, self.limit - self.base))
        return self.base, bytes(self.buffer[:size])

    def rewind(self) -> None:
        """Takes everything that is not acknowledged as not sent."""
        self.sent = self.base
        self.end_sent = False

    def acked(self, offset: int, limit: int) -> bool:
        """Takes an acknowledgement; returns whether it was new and valid."""
        top = self.base + len(self.buffer)
        if self.end is not None and offset == self.end + 1:
            self.end_acked = True
            offset = self.end
        if offset < self.base or offset > top:
            return False
        moved = offset > self.base or limit > self.limit
        del self.buffer[: offset - self.base]
        self.base = offset
        self.sent = max(self.sent, offset)
        self.limit = max(self.limit, limit)
        return moved


@dataclass(slots=True)
class ByteReceiver:
    """Bytes of the other side, put in order, without repetitions.

    Attributes:
        next: First offset that has not arrived.
        pending: Segments after a gap, by offset.
        written: Bytes that the port has passed on.
        told: Limit in the last acknowledgement.
        end: Offset at which the direction ends, once that is known.
        ended: True once all bytes up to the end have arrived.
    """

    window: int = STREAM_WINDOW_BYTES
    next: int = 0
    written: int = 0
    told: int = STREAM_WINDOW_BYTES
    pending: dict[int, bytes] = field(default_factory=dict)
    end: int | None = None
    ended: bool = False

    def receive(self, offset: int, data: bytes) -> bytes:
        """Returns the bytes that are in order now.

        Segments after a gap are kept until it is filled. Those beyond the
        window are dropped; the sender repeats them.
        """
        if self.ended or offset + len(data) > self.written + self.window:
            return b""
        if offset > self.next:
            held = sum(map(len, self.pending.values()))
            if held + len(data) <= self.window:
                self.pending[offset] = data
            return b""
        new = data[self.next - offset :]
        self.next += len(new)
        return new + self._filled() if new and self.pending else new

    def _filled(self) -> bytes:
        """Returns the kept segments that follow without a gap now."""
        pieces = []
        for offset in sorted(self.pending):
            if offset > self.next:
                break
            piece = self.pending.pop(offset)[self.next - offset :]
            self.next += len(piece)
            pieces.append(piece)
        return b"".join(pieces)

    def close(self, offset: int) -> bool:
        """Takes the end; returns True when it first becomes complete."""
        self.end = offset
        if self.ended or self.next != offset:
            return False
        self.ended = True
        return True

    def ack(self) -> tuple[int, int]:
        """Returns the offset to acknowledge and the limit to tell."""
        self.told = self.written + self.window
        return self.next + self.ended, self.told

    def wrote(self, amount: int) -> bool:
        """Notes bytes passed on; returns whether to tell of the new room.

        Each half window is told, so that an acknowledgement for each write
        is not needed.
        """
        self.written = min(self.next, self.written + amount)
        return self.written + self.window - self.told >= self.window // 2
