"""Retry limits: a retry budget per service, and backoff with jitter."""

from __future__ import annotations

import random
from dataclasses import dataclass

from bramleydyke.constants import (
    BACKOFF_BASE_S,
    BACKOFF_CAP_S,
    RETRY_FLOOR_PER_S,
    RETRY_RATIO,
    RETRY_WINDOW_S,
)

MAX_DOUBLINGS = 64
"""Number of doublings after which any time has reached its maximum.

In a long outage there are thousands of attempts, and two to that power is too
large for a floating-point number.
"""


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Token bucket to which requests add tokens and retries take them.

    Retries add load to an overloaded service. A budget in proportion to its
    requests bounds the total of that load; a retry limit per request does not.

    Attributes:
        ratio: Retries that are allowed per request.
        floor_per_s: Retries per second that are allowed regardless of the
            load.
        window_s: Time over which the count of requests decays, in seconds.
        tokens: Retries that are allowed now.
        updated_at: Time of the last refill, in seconds.
        recent_requests: Number of recent requests, which decays over
            ``window_s``.
    """

    ratio: float = RETRY_RATIO
    floor_per_s: float = RETRY_FLOOR_PER_S
    window_s: float = RETRY_WINDOW_S
    tokens: float = RETRY_FLOOR_PER_S
    updated_at: float = 0.0
    recent_requests: float = 0.0

    def count_request(self, *, now: float) -> None:
        """Adds the tokens of a new request."""
        self._refill(now)
        self.recent_requests += 1
        self.tokens = min(self.tokens + self.ratio, self._limit())

    def take_token(self, *, now: float) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.recent_requests *= max(0.0, 1 - elapsed / self.window_s)
        self.tokens = min(self.tokens + elapsed * self.floor_per_s, self._limit())

    def _limit(self) -> float:
        return self.floor_per_s + self.recent_requests * self.ratio


def backoff(
    attempt: int,
    *,
    random_source: random.Random,
    base: float = BACKOFF_BASE_S,
    cap: float = BACKOFF_CAP_S,
) -> float:
    """Returns the delay before a retry, in seconds, with full jitter.

    Args:
        attempt: Number of the retry, 0 for the first one.
        random_source: Source of the jitter.
        base: Maximum of the first delay, in seconds; doubles with each retry.
        cap: Maximum of every delay, in seconds.
    """
    return random_source.uniform(0.0, exponential_delay(base, attempt, cap=cap))


def exponential_delay(base: float, attempt: int, *, cap: float) -> float:
    """Returns a delay in seconds that doubles with each attempt, up to a cap.

    Args:
        base: Delay of the first attempt, in seconds.
        attempt: Number of the attempt, 0 for the first one; may be any number.
        cap: Maximum of the delay, in seconds.
    """
    return min(cap, base * 2 ** min(attempt, MAX_DOUBLINGS))
