"""Priority queue of wake-up times that can be replaced or cancelled."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key")


@dataclass(slots=True)
class Timers(Generic[Key]):
    """Priority queue of keys with one wake-up time each.

    A replaced or cancelled time stays in the heap until it reaches the top,
    so each operation costs amortised O(log n).

    Attributes:
        times: Wake-up time of each key, in seconds.
    """

    times: dict[Key, float] = field(default_factory=dict)
    _heap: list[tuple[float, int, Key]] = field(default_factory=list)
    _sequence: int = 0

    def set(self, key: Key, at: float) -> None:
        """Sets or replaces the wake-up time of a key."""
        if self.times.get(key) == at:
            return
        self.times[key] = at
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, key))

    def cancel(self, key: Key) -> None:
        """Removes a key; unknown keys are ignored."""
        self.times.pop(key, None)

    def next(self) -> float | None:
        """Returns the earliest wake-up time, or None if there is none."""
        heap = self._heap
        while heap and self.times.get(heap[0][2]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def pop_due(self, now: float) -> list[Key]:
        """Removes and returns the keys due at ``now``, earliest first."""
        due = []
        while (at := self.next()) is not None and at <= now:
            key = heapq.heappop(self._heap)[2]
            del self.times[key]
            due.append(key)
        return due
