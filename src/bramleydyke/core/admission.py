"""Slots and bounded queue of one upstream."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.constants import QUEUE_PER_SLOT
from bramleydyke.errors import ErrorKind
from bramleydyke.types import RequestId

_SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest service time in the running mean."""


@dataclass(frozen=True, slots=True)
class _Queued:
    since: float
    request_id: RequestId


def _since(item: _Queued) -> float:
    return item.since


@dataclass(slots=True, kw_only=True)
class Admission:
    """Decides whether the upstream takes one more request.

    Attributes:
        slots: Requests that the upstream serves at the same time.
        running: Start time of each request at the upstream.
        queue: Requests that wait for a slot, the longest wait first.
        service_time: Running mean in seconds, None before the first end.
    """

    slots: int
    queue_per_slot: int = QUEUE_PER_SLOT
    running: dict[RequestId, float] = field(default_factory=dict)
    queue: list[_Queued] = field(default_factory=list)
    service_time: float | None = None

    def backlog(self) -> float:
        """Returns the running and queued requests per slot."""
        return (len(self.running) + len(self.queue)) / self.slots

    def has_free_slot(self) -> bool:
        """Tells whether a request would run at once."""
        return len(self.running) < self.slots and not self.queue

    def refusal(self, *, backlog_limit: float | None, ttl: float) -> ErrorKind | None:
        """Returns why a request is not taken, or None if it is.

        Args:
            backlog_limit: Largest backlog per slot, exclusive; None for the
                bound of the queue.
            ttl: Seconds until the request's deadline.
        """
        if backlog_limit is not None and self.backlog() >= backlog_limit:
            return ErrorKind.BUSY
        if len(self.queue) >= self.queue_per_slot * self.slots:
            return ErrorKind.QUEUE_FULL
        if ttl <= 0 or self.expected_wait() > ttl:
            return ErrorKind.DEADLINE
        return None

    def expected_wait(self) -> float:
        """Returns the expected time in the queue, in seconds."""
        if self.has_free_slot() or self.service_time is None:
            return 0.0
        return (len(self.queue) + 1) / self.slots * self.service_time

    def enqueue(self, request_id: RequestId, *, since: float) -> None:
        """Adds a request to the queue, behind those that have waited longer.

        Args:
            request_id: The request.
            since: When its placer got it, in seconds of this agent's clock.
        """
        bisect.insort(self.queue, _Queued(since, request_id), key=_since)

    def start_next(self, *, now: float) -> RequestId | None:
        """Moves the oldest queued request to a free slot, if there is one."""
        if not self.queue or len(self.running) >= self.slots:
            return None
        request_id = self.queue.pop(0).request_id
        self.running[request_id] = now
        return request_id

    def finish(self, request_id: RequestId, *, now: float) -> None:
        """Frees the slot of a request and learns from its service time."""
        started = self.running.pop(request_id, None)
        if started is None:
            return
        taken = now - started
        mean = taken if self.service_time is None else self.service_time
        self.service_time = mean + (taken - mean) * _SERVICE_TIME_WEIGHT

    def queued(self) -> list[RequestId]:
        """Returns the requests that wait for a slot, in queue order."""
        return [item.request_id for item in self.queue]

    def oldest_queued(self, movable: Callable[[RequestId], bool]) -> RequestId | None:
        """Returns the movable request that has waited longest in the queue."""
        if len(self.running) < self.slots:
            return None
        return next(filter(movable, self.queued()), None)

    def drop(self, request_id: RequestId) -> None:
        """Removes a request from the queue, or frees its slot unlearned."""
        self.running.pop(request_id, None)
        self.queue = [item for item in self.queue if item.request_id != request_id]
