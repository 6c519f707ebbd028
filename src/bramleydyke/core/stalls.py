"""Detection of pauses of this process, in which messages may have waited."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.constants import STALL_S


@dataclass(slots=True)
class StallWatch:
    """Detects pauses from the times between the events of a process.

    A pause is, for example, a suspended virtual machine. A message that
    arrived during a pause is older than it seems when it is handled. The
    process has to wake more often than every ``gap_s`` even without work; a
    longer gap between two events then means that it was paused.

    Attributes:
        gap_s: Longest time between two events without a pause, in seconds.
        seen_at: Time of the newest event, None before the first one.
        wake_at: Time at which the process has to wake at the latest, None
            before the first event.
        doubtful_until: Time until which a handled message may have arrived
            during a pause.
    """

    gap_s: float = STALL_S
    seen_at: float | None = None
    wake_at: float | None = None
    doubtful_until: float = 0.0

    def observe(self, *, now: float) -> None:
        """Records an event; has to be called before the event's handler."""
        if self.seen_at is not None and now - self.seen_at > self.gap_s:
            self.doubtful_until = now + STALL_S
        self.seen_at = now
        if self.wake_at is None or now >= self.wake_at:
            self.wake_at = now + self.gap_s / 2

    def doubtful(self, *, now: float) -> bool:
        """Returns whether a message may have waited longer than ``gap_s``."""
        return now < self.doubtful_until
