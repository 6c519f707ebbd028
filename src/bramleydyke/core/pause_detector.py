"""Detection of pauses of the process, which may have delayed messages."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.constants import PAUSE_THRESHOLD_S


@dataclass(slots=True)
class PauseDetector:
    """Detects pauses of a process by the time between its events.

    A process is paused, for example, while its VM is suspended. A message that
    arrives during a pause is handled late, and the delay is not known. The
    process has to wake more often than every ``max_gap_s`` even without work,
    so that a longer gap between two events means that it was paused.

    Attributes:
        max_gap_s: Maximum time between two events without a pause, in seconds.
        last_event_at: Time of the newest event, None before the first one.
        wake_at: Latest time at which the process has to wake, None before the
            first event.
        recent_pause_until: Time until which messages may be handled that
            arrived during a pause.
    """

    max_gap_s: float = PAUSE_THRESHOLD_S
    last_event_at: float | None = None
    wake_at: float | None = None
    recent_pause_until: float = 0.0

    def observe(self, *, now: float) -> None:
        """Records an event; must be called before the event's handler."""
        if self.last_event_at is not None and now - self.last_event_at > self.max_gap_s:
            self.recent_pause_until = now + PAUSE_THRESHOLD_S
        self.last_event_at = now
        if self.wake_at is None or now >= self.wake_at:
            self.wake_at = now + self.max_gap_s / 2

    def recent_pause(self, *, now: float) -> bool:
        """Returns whether a pause may have delayed the current message."""
        return now < self.recent_pause_until
