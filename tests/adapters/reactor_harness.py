"""Helpers that run the real Twisted reactor inside a test."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as any_reactor
from twisted.internet.defer import Deferred

from bramleydyke.daemons.environment import Environment, new_environment

reactor: Any = any_reactor

TIMEOUT_S = 10.0
"""Default time limit of a condition; conditions normally hold much sooner."""


def environment() -> Environment:
    """Returns an environment on the real reactor; starts it if needed."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    return new_environment(reactor)


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
