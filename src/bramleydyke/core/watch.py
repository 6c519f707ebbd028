"""A watch on one object or prefix of the platform, by long polling."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from bramleydyke.constants import WATCH_WAIT_S
from bramleydyke.core.platform_calls import (
    FAILED_STATUSES,
    PlatformCalls,
    store_backoff,
)
from bramleydyke.messages import Envelope, PlatformReply
from bramleydyke.types import PlatformStatus

ABSENT_PAUSE_S = 2.0
"""Maximum pause before the next call for an object that does not exist.

The platform may answer a watch on such an object at once.
"""

ChangeHandler = Callable[[PlatformReply, float], list[Envelope]]
"""Called with a reply that contains a new version, and the time."""


WATCH_PAUSE_S = 1.0
"""Pause after a watch that returned early without a newer version.

A platform that does not wait for changes would otherwise be called without a
pause.
"""


@dataclass(slots=True, kw_only=True)
class Watch:
    """Reads an object once, then waits for each next version.

    At most one call is in flight. A failed call is repeated after a backoff
    with jitter, so that an outage ends without a burst of calls.

    Attributes:
        path: Path of the object, or a prefix that ends in ``/``.
        calls: Sends the calls and matches their replies.
        changed: Called with each new version.
        active: Returns whether this process holds a lease at the given time.
            Replies that arrive while it holds none are ignored.
        version: Newest version seen; None before the first read.
        next_at: When to call the platform; None while a call is in flight.
        failures: Consecutive failures, for the backoff.
        called_at: When the last call was sent, in seconds.
    """

    path: str
    calls: PlatformCalls
    changed: ChangeHandler
    active: Callable[[float], bool]
    random_source: random.Random
    version: int | None = None
    next_at: float | None = 0.0
    failures: int = 0
    called_at: float = 0.0

    def wake(self, *, now: float) -> list[Envelope]:
        """Calls the platform if a call is due and this process is active."""
        if self.next_at is None or now < self.next_at or not self.active(now):
            return []
        return self._call(now)

    def _call(self, now: float) -> list[Envelope]:
        self.next_at = None
        self.called_at = now
        if self.version is None:
            return self.calls.read(self.path, self._replied, now=now)
        return self.calls.read(
            self.path, self._replied, now=now, after=self.version, timeout=WATCH_WAIT_S
        )

    def _replied(self, reply: PlatformReply, now: float) -> list[Envelope]:
        if not self.active(now):
            self.next_at = now
            return []
        if reply.status in FAILED_STATUSES:
            delay = store_backoff(self.failures, random_source=self.random_source)
            self.failures += 1
            self.next_at = now + delay
            return []
        self.failures = 0
        if reply.status is PlatformStatus.NOT_FOUND:
            self.version = self.version or 0
            pause = self.random_source.uniform(0.5, 1.0) * ABSENT_PAUSE_S
            self.next_at = now + pause
            return []
        if reply.value is not None and reply.version > (self.version or 0):
            self.version = reply.version
            return self.changed(reply, now) + self._call(now)
        if self.version is None:
            self.version = reply.version
        elif now - self.called_at < WATCH_PAUSE_S:
            self.next_at = now + WATCH_PAUSE_S
            return []
        return self._call(now)
