"""A heap of timed events: the clock of the experiments."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

Action = Callable[[], None]


@dataclass(slots=True)
class EventHeap:
    """Events in order of time; equal times keep the order of insertion.

    Attributes:
        now: Time of the event that runs, in seconds.
    """

    now: float = 0.0
    _heap: list[tuple[float, int, Action]] = field(default_factory=list)
    _count: itertools.count[int] = field(default_factory=itertools.count)

    def at(self, time: float, action: Action) -> None:
        """Adds an event."""
        heapq.heappush(self._heap, (time, next(self._count), action))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, action = heapq.heappop(heap)
            action()
