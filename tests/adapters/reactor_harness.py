"""Helpers that run the real Twisted reactor inside a test."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as any_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bramleydyke.daemons.environment import Environment

reactor: Any = any_reactor

TIMEOUT_S = 10.0
"""Default time limit of a condition; conditions normally hold much sooner."""

FOLLOW_INTERVAL_S = 0.005
"""Interval at which the clock of the tests follows real time."""

MAX_STEP_S = 0.05
"""Maximum advance of the clock in one step."""


class ReactorClock(Clock):
    """Follows real time, except while the test's process does not run.

    All programs of a test share one process. If the process is not scheduled
    for a while, their deadlines would pass before they can read what has
    arrived. The clock therefore advances by at most ``MAX_STEP_S`` between two
    iterations of the reactor.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rightNow = self.followed_at = time.monotonic()

    def follow(self) -> None:
        """Advances by the real time since the last step, up to the maximum."""
        reactor.callLater(FOLLOW_INTERVAL_S, self.follow)
        now = time.monotonic()
        elapsed, self.followed_at = now - self.followed_at, now
        self.advance(min(elapsed, MAX_STEP_S))


clock = ReactorClock()


def environment() -> Environment:
    """Returns an environment on the real reactor; starts it if needed."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
        clock.follow()
    return Environment(reactor, clock)


def run_until(condition: Callable[[], object], *, limit_s: float = TIMEOUT_S) -> None:
    """Runs the reactor until a condition is true; fails after ``limit_s``."""
    ends_at = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < ends_at, "condition did not hold in time"
        reactor.iterate(0.01)


def result_of(deferred: Deferred[Any]) -> Any:
    """Runs the reactor until a Deferred fires and returns its result.

    A failure is returned as well, not raised.
    """
    results: list[Any] = []
    deferred.addBoth(results.append)
    run_until(lambda: results)
    return results[0]
