"""The reactor's timers with monotonic time."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bramleydyke.ports import DelayedCall


@dataclass(frozen=True, slots=True)
class MonotonicClock:
    """Clock of a running process.

    The reactor's own ``seconds`` is the wall clock, whose steps would end
    requests early or keep records too short.
    """

    reactor: Any

    def seconds(self) -> float:
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def callLater(  # noqa: N802 - name given by twisted
        self, delay: float, call: Callable[..., object], *args: Any, **kwargs: Any
    ) -> DelayedCall:
        """Makes a call after a delay in seconds."""
        return self.reactor.callLater(delay, call, *args, **kwargs)
