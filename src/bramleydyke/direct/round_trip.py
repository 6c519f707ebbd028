"""Timeout for agents' answers, estimated from earlier round trips."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.direct.constants import MAX_OPENING_RETRY_S, OPENING_RETRY_S

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
"""Number of deviations added to the mean round trip for the timeout.

This and the gains above are those of the estimator of RFC 6298.
"""

BACKOFF = 1.5
"""Factor by which the timeout grows with each answer that is missing."""


@dataclass(slots=True)
class RoundTrip:
    """Smoothed round-trip time to all agents, and a timeout derived from it.

    With a fixed timeout, a balancer whose link is saturated would send each
    packet to further agents and so keep the link saturated.

    Attributes:
        mean: Smoothed round trip in seconds; 0 before the first measurement.
        deviation: Smoothed deviation from the mean, in seconds.
        backoff: Multiplier of the timeout; reset to 1 by each measured round
            trip.
    """

    mean: float = 0.0
    deviation: float = 0.0
    backoff: float = 1.0

    def observe(self, seconds: float) -> None:
        """Adds a measured round trip.

        The packet must have been sent only once; otherwise the answer may
        belong to an earlier transmission (Karn's algorithm).
        """
        if self.mean == 0.0:
            self.mean = seconds
            self.deviation = seconds / 2
        else:
            error = abs(seconds - self.mean)
            self.deviation += DEVIATION_GAIN * (error - self.deviation)
            self.mean += MEAN_GAIN * (seconds - self.mean)
        self.backoff = 1.0

    def timed_out(self) -> None:
        """Increases the timeout because an answer did not arrive in time."""
        limit = MAX_OPENING_RETRY_S / OPENING_RETRY_S
        self.backoff = min(self.backoff * BACKOFF, limit)

    def timeout_s(self) -> float:
        """Returns how long to wait for an answer, in seconds."""
        estimate = self.mean + DEVIATIONS * self.deviation
        wait = max(OPENING_RETRY_S, estimate) * self.backoff
        return min(wait, MAX_OPENING_RETRY_S)
