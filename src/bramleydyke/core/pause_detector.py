"""Detection of pauses of this process, in which messages may have waited."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.constants import PAUSE_THRESHOLD_S


@dataclass(slots=True)
class PauseDetector:
    """Detects pauses from the times between the events of a process.

    A pause is, for example, a suspended virtual machine. A message that
    arrived during a pause is older than it seems when it is handled. The
    process has to wake more often than every ``max_gap_s`` even without work;
    a longer gap between two events then means that it was paused.

    Attributes:
        max_gap_s: Longest time between two events without a pause, in seconds.
        last_event_at: Time of the newest event, None before the first one.
        wake_at: Time at which the process has to wake at the latest, None
            before the first event.
        recent_pause_until: Time until which a handled message may have arrived
            during a pause.
    """

    max_gap_s: float = PAUSE_THRESHOLD_S
    last_event_at: float | None = None
    wake_at: float | None = None
    recent_pause_until: float = 0.0

    def observe(self, *, now: float) -> None:
        """Records an event; has to be called before the event's handler."""
        if self.last_event_at is not None and now - self.last_event_at > self.max_gap_s:
            self.recent_pause_until = now + PAUSE_THRESHOLD_S
        self.last_event_at = now
        if self.wake_at is None or now >= self.wake_at:
            self.wake_at = now + self.max_gap_s / 2

    def recent_pause(self, *, now: float) -> bool:
        """Returns whether a message may have waited during a pause."""
        return now < self.recent_pause_until
