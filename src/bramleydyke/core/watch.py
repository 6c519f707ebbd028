"""A standing watch on one object or prefix of the platform."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from bramleydyke.constants import WATCH_WAIT_S
from bramleydyke.core.platform_calls import (
    FAILED,
    PlatformCalls,
    store_backoff,
)
from bramleydyke.messages import Envelope, PlatformReply
from bramleydyke.types import PlatformStatus

ABSENT_PAUSE_S = 2.0
"""Pause before the wait for an object that is absent, in case the platform
answers such a wait at once."""

ChangeHandler = Callable[[PlatformReply, float], list[Envelope]]
"""Takes a reply with a new version and the time."""


WATCH_PAUSE_S = 1.0
"""Pause after a watch that ended at once without a newer version.

A platform that does not hold a watch would otherwise be called in a loop.
"""


@dataclass(slots=True, kw_only=True)
class Watch:
    """Reads an object once, then waits for each next version.

    At most one call is in flight. After a failure the next one comes after a
    jittered delay, so that an outage ends without a burst of calls.

    Attributes:
        path: Object, or prefix that ends in ``/``.
        active: Tells whether this process may act, by its own clock.
        next_at: When to call; None while a call is in flight.
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
        """Calls the platform if it is time to."""
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
        if reply.status in FAILED:
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
