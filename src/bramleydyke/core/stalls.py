"""Notices that this process was paused, so that messages may have waited."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.constants import STALL_S


@dataclass(slots=True)
class StallWatch:
    """Compares the times of the events of one process.

    A message that waited while the process was paused is older than it
    seems. The watch wakes the process often enough that a longer gap between
    two events is a pause.

    Attributes:
        gap_s: Time between two events after which the process was paused.
        seen_at: Time of the newest event, None before the first.
        wake_at: When the next event is due at the latest.
        doubtful_until: Until then a message may have waited.
    """

    gap_s: float = STALL_S
    seen_at: float | None = None
    wake_at: float | None = None
    doubtful_until: float = 0.0

    def observe(self, *, now: float) -> None:
        """Notes that the process handles an event."""
        if self.seen_at is not None and now - self.seen_at > self.gap_s:
            self.doubtful_until = now + STALL_S
        self.seen_at = now
        if self.wake_at is None or now >= self.wake_at:
            self.wake_at = now + self.gap_s / 2

    def doubtful(self, *, now: float) -> bool:
        """Tells whether a message may have waited longer than ``gap_s``."""
        return now < self.doubtful_until
