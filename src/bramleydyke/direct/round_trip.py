"""Time to wait for an agent's answer, from the answers so far."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.direct.constants import MAX_OPENING_RETRY_S, OPENING_RETRY_S

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
"""Weights of the estimator of RFC 6298."""

BACKOFF = 1.5
"""Factor of the timeout after each answer that did not come."""


@dataclass(slots=True)
class RoundTrip:
    """Round trip to agents, smoothed, and the timeout that follows from it.

    A balancer whose link is full would otherwise repeat each packet to other
    agents, which fills the link for good.

    Attributes:
        mean: Smoothed round trip in seconds; 0 before the first.
        deviation: Smoothed deviation in seconds.
        backoff: Factor from answers that did not come.
    """

    mean: float = 0.0
    deviation: float = 0.0
    backoff: float = 1.0

    def observe(self, seconds: float) -> None:
        """Takes the round trip of a packet that was sent once."""
        if self.mean == 0.0:
            self.mean = seconds
            self.deviation = seconds / 2
        else:
            error = abs(seconds - self.mean)
            self.deviation += DEVIATION_GAIN * (error - self.deviation)
            self.mean += MEAN_GAIN * (seconds - self.mean)
        self.backoff = 1.0

    def missed(self) -> None:
        """Notes an answer that did not come in time."""
        limit = MAX_OPENING_RETRY_S / OPENING_RETRY_S
        self.backoff = min(self.backoff * BACKOFF, limit)

    def timeout_s(self) -> float:
        """Returns how long to wait for an answer, in seconds."""
        estimate = self.mean + DEVIATIONS * self.deviation
        wait = max(OPENING_RETRY_S, estimate) * self.backoff
        return min(wait, MAX_OPENING_RETRY_S)
