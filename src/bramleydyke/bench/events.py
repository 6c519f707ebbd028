"""Event queue and clock of a discrete-event simulation."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

Action = Callable[[], None]


@dataclass(slots=True)
class EventQueue:
    """Actions in order of their time, then in order of insertion.

    Attributes:
        now: Simulated time of the current action, in seconds.
    """

    now: float = 0.0
    _heap: list[tuple[float, int, Action]] = field(default_factory=list)
    _count: itertools.count[int] = field(default_factory=itertools.count)

    def schedule(self, time: float, action: Action) -> None:
        """Schedules an action for a simulated time, in seconds."""
        heapq.heappush(self._heap, (time, next(self._count), action))

    def run(self, until: float) -> None:
        """Runs all actions up to a time, also those scheduled meanwhile."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, action = heapq.heappop(heap)
            action()
