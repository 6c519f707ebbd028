"""Clock of a running process: monotonic time and the reactor's timers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bramleydyke.ports import DelayedCall


@dataclass(frozen=True, slots=True)
class MonotonicClock:
    """Implements the ``Clock`` port on a Twisted reactor.

    The reactor's own ``seconds`` returns the wall clock. When that is
    adjusted, requests would time out early and records would expire early.
    """

    reactor: Any

    def seconds(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def callLater(  # noqa: N802 - name given by twisted
        self, delay: float, call: Callable[..., object], *args: Any, **kwargs: Any
    ) -> DelayedCall:
        """Schedules a call after a delay in seconds; returns a handle."""
        return self.reactor.callLater(delay, call, *args, **kwargs)
