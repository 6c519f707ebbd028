"""Admission control of one upstream: its slots and its bounded queue."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.constants import QUEUE_PER_SLOT
from bramleydyke.errors import ErrorKind
from bramleydyke.types import RequestId

_SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of the service time."""


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    since: float
    request_id: RequestId


def _waiting_since(item: _QueuedRequest) -> float:
    return item.since


@dataclass(slots=True, kw_only=True)
class Admission:
    """Admits, queues and starts the requests of one upstream.

    Attributes:
        slots: Requests that the upstream serves concurrently.
        queue_per_slot: Maximum queue length per slot.
        running: Start time of each request that occupies a slot, in seconds.
        queue: Requests that wait for a slot, the longest wait first.
        service_time: Exponential moving average of the service time, in
            seconds; None before the first request has finished.
    """

    slots: int
    queue_per_slot: int = QUEUE_PER_SLOT
    running: dict[RequestId, float] = field(default_factory=dict)
    queue: list[_QueuedRequest] = field(default_factory=list)
    service_time: float | None = None

    def backlog(self) -> float:
        """Returns the number of running and queued requests per slot."""
        return (len(self.running) + len(self.queue)) / self.slots

    def has_free_slot(self) -> bool:
        """Returns whether a new request would start immediately."""
        return len(self.running) < self.slots and not self.queue

    def refusal(self, *, backlog_limit: float | None, ttl: float) -> ErrorKind | None:
        """Returns why a request is refused, or None if it is admitted.

        Args:
            backlog_limit: Backlog per slot at which the request is refused;
                if None, only the maximum queue length applies.
            ttl: Seconds until the deadline of the request.
        """
        if backlog_limit is not None and self.backlog() >= backlog_limit:
            return ErrorKind.BUSY
        if len(self.queue) >= self.queue_per_slot * self.slots:
            return ErrorKind.QUEUE_FULL
        if ttl <= 0 or self.expected_wait() > ttl:
            return ErrorKind.DEADLINE
        return None

    def expected_wait(self) -> float:
        """Returns the expected queueing time of a new request, in seconds."""
        if self.has_free_slot() or self.service_time is None:
            return 0.0
        return (len(self.queue) + 1) / self.slots * self.service_time

    def enqueue(self, request_id: RequestId, *, since: float) -> None:
        """Inserts a request into the queue, behind those that waited longer.

        Args:
            request_id: Request to insert.
            since: Time at which the placer received the request, in seconds
                of this agent's clock.
        """
        bisect.insort(self.queue, _QueuedRequest(since, request_id), key=_waiting_since)

    def start_next(self, *, now: float) -> RequestId | None:
        """Starts the first queued request if a slot is free.

        Returns the id of the request, or None if none was started.
        """
        if not self.queue or len(self.running) >= self.slots:
            return None
        request_id = self.queue.pop(0).request_id
        self.running[request_id] = now
        return request_id

    def finish(self, request_id: RequestId, *, now: float) -> None:
        """Frees the slot of a request and updates the mean service time."""
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
        """Returns the queued request with the longest wait that may be moved.

        Returns None while a slot is free: the request is about to start.

        Args:
            movable: Returns whether another agent may run a request.
        """
        if len(self.running) < self.slots:
            return None
        return next(filter(movable, self.queued()), None)

    def drop(self, request_id: RequestId) -> None:
        """Removes a request from the queue or its slot.

        The time for which it ran does not count towards the mean service time.
        """
        self.running.pop(request_id, None)
        self.queue = [item for item in self.queue if item.request_id != request_id]
