"""Clock of a running process: steady time and the reactor's timers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bramleydyke.ports import DelayedCall


def steady_seconds() -> float:
    """Returns the time since the machine's boot, in seconds.

    It counts the time for which the machine was suspended, which
    ``time.monotonic`` leaves out. A lease or a belief that ran out meanwhile
    would look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class MonotonicClock:
    """Implements the ``Clock`` port on a Twisted reactor.

    The reactor's own ``seconds`` returns the wall clock. When that is
    adjusted, requests would time out early and records would expire early.
    """

    reactor: Any

    def seconds(self) -> float:
        """Returns the steady time in seconds."""
        return steady_seconds()

    def callLater(  # noqa: N802 - name given by twisted
        self, delay: float, call: Callable[..., object], *args: Any, **kwargs: Any
    ) -> DelayedCall:
        """Schedules a call after a delay in seconds; returns a handle."""
        return self.reactor.callLater(delay, call, *args, **kwargs)
