"""An HTTP upstream with slots, a queue and fault injection."""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.ports import Clock, DelayedCall
from bramleydyke.standins.work_counts import WorkCounts
from bramleydyke.types import ServiceId

SERVICE_TIME_SIGMA = 0.8
"""Sigma of the log-normal distribution of service times."""


@dataclass(slots=True, kw_only=True)
class Behaviour:
    """Settings of an upstream; each may be changed while it runs.

    Attributes:
        slots: Number of requests served at the same time.
        queue: Maximum number of requests that wait for a slot; others are
            shed.
        service_time_s: Mean service time.
        cold_s: Time after the start during which requests take longer.
        cold_factor: Factor on the service time during ``cold_s``.
        draining: If true, all new requests are shed.
        shed_share: Fraction of new requests that are shed at random.
        break_share: Fraction of requests whose connection is aborted without a
            response.
        report_lag_s: Age of the health and load values that are reported.
        forced_health: Health to report; None reports the real one.
        forced_load: Load to report; None reports the real one.
    """

    slots: int = 1
    queue: int = 4
    service_time_s: float = 0.05
    cold_s: float = 0.0
    cold_factor: float = 4.0
    draining: bool = False
    shed_share: float = 0.0
    break_share: float = 0.0
    report_lag_s: float = 0.0
    forced_health: bool | None = None
    forced_load: float | None = None


@dataclass(slots=True, eq=False)
class _Job:
    request: Request
    body: bytes
    deadline_timer: DelayedCall | None = None
    completion_timer: DelayedCall | None = None


@dataclass(slots=True, eq=False)
class Upstream:
    """State of one upstream; `UpstreamServer` adds the HTTP socket.

    Attributes:
        running: Requests that occupy a slot.
        waiting: Requests that wait for a slot, oldest first.
        counts: Number of requests by result: ``done``, ``broken``, ``shed``,
            ``expired`` (which are also shed) or ``cancelled``.
        load_history: Time, health and load at each change, from which the
            delayed reports are read.
    """

    service_id: ServiceId
    behaviour: Behaviour
    work_counts: WorkCounts
    clock: Clock
    random_source: random.Random
    started_at: float = 0.0
    running: set[_Job] = field(default_factory=set)
    waiting: deque[_Job] = field(default_factory=deque)
    counts: Counter[str] = field(default_factory=Counter)
    load_history: deque[tuple[float, bool, float]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.started_at = self.clock.seconds()

    def handle_request(self, request: Request) -> None:
        """Runs, queues or sheds a request."""
        if self._should_shed():
            self._shed(request, "shed")
            return
        job = _Job(request, request.content.read())
        request.notifyFinish().addErrback(lambda _: self._cancel(job))
        timeout = _request_timeout(request)
        if timeout is not None:
            job.deadline_timer = self.clock.callLater(timeout, self._expire, job)
        self.waiting.append(job)
        self._start_waiting()

    def load(self) -> float:
        """Returns the number of running and waiting requests per slot."""
        return (len(self.running) + len(self.waiting)) / self.behaviour.slots

    def healthy(self) -> bool:
        """Returns whether the upstream accepts new requests."""
        return not self.behaviour.draining

    def report(self) -> tuple[bool, float]:
        """Returns the reported health and load, with lag and forced values."""
        oldest = self.clock.seconds() - self.behaviour.report_lag_s
        health, load = True, 0.0
        for at, was_healthy, was_load in self.load_history:
            if at > oldest:
                break
            health, load = was_healthy, was_load
        if self.behaviour.report_lag_s == 0:
            health, load = self.healthy(), self.load()
        forced_health, forced_load = (
            self.behaviour.forced_health,
            self.behaviour.forced_load,
        )
        return (
            health if forced_health is None else forced_health,
            load if forced_load is None else forced_load,
        )

    def _should_shed(self) -> bool:
        full = len(self.waiting) >= self.behaviour.queue
        busy = len(self.running) >= self.behaviour.slots
        by_chance = self.random_source.random() < self.behaviour.shed_share
        return self.behaviour.draining or (full and busy) or by_chance

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.behaviour.slots:
            job = self.waiting.popleft()
            self.running.add(job)
            self.work_counts.record_run(job.body, service_id=self.service_id)
            job.completion_timer = self.clock.callLater(
                self._service_time(), self._finish, job
            )
        self._record_load()

    def _service_time(self) -> float:
        mean = self.behaviour.service_time_s
        if self.clock.seconds() - self.started_at < self.behaviour.cold_s:
            mean *= self.behaviour.cold_factor
        # exp(mu + sigma^2 / 2) is the mean of a log-normal distribution.
        return mean * self.random_source.lognormvariate(
            -(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA
        )

    def _finish(self, job: _Job) -> None:
        connection_breaks = self.random_source.random() < self.behaviour.break_share
        self._remove(job, "broken" if connection_breaks else "done")
        if connection_breaks:
            job.request.transport.abortConnection()
        else:
            _respond(job.request, 200, job.body)
        self._start_waiting()

    def _expire(self, job: _Job) -> None:
        """Sheds a request that still waits for a slot at its deadline."""
        if job in self.waiting:
            self._remove(job, "expired")
            self._shed(job.request, "shed")

    def _cancel(self, job: _Job) -> None:
        if job in self.running or job in self.waiting:
            self._remove(job, "cancelled")
            self._start_waiting()

    def _remove(self, job: _Job, result: str) -> None:
        self.running.discard(job)
        if job in self.waiting:
            self.waiting.remove(job)
        for timer in (job.deadline_timer, job.completion_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.counts[result] += 1
        self._record_load()

    def _shed(self, request: Request, result: str) -> None:
        self.counts[result] += 1
        request.setHeader(b"Retry-After", b"1")
        _respond(request, 503, b"")

    def _record_load(self) -> None:
        """Records the load and drops entries older than the report lag."""
        now = self.clock.seconds()
        self.load_history.append((now, self.healthy(), self.load()))
        oldest = now - self.behaviour.report_lag_s
        while len(self.load_history) > 1 and self.load_history[1][0] <= oldest:
            self.load_history.popleft()


class UpstreamServer:
    """HTTP server of an upstream."""

    def __init__(self, upstream: Upstream, *, reactor: Any, listen: str) -> None:
        self.upstream = upstream
        address = parse_endpoint(listen)
        assert address is not None, listen
        site = _QuietSite(_UpstreamResource(upstream), reactor=reactor)
        self.port = reactor.listenTCP(
            address[1], site, interface=address[0], backlog=511
        )

    def stop(self) -> None:
        """Stops listening."""
        self.port.stopListening()


class _QuietSite(Site):
    noisy = False

    def log(self, request: Request) -> None:
        """Writes no access log."""


class _UpstreamResource(Resource):
    isLeaf = True  # noqa: N815 - name given by twisted

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self.upstream = upstream

    def render(self, request: Request) -> int:
        """Serves ``/health`` and ``/load``; all other paths are work."""
        endpoints: dict[bytes, Callable[[Request], None]] = {
            b"/health": self._health,
            b"/load": self._load,
        }
        endpoints.get(request.path, self.upstream.handle_request)(request)
        return NOT_DONE_YET

    def _health(self, request: Request) -> None:
        healthy, _ = self.upstream.report()
        _respond(request, 200 if healthy else 503, b"")

    def _load(self, request: Request) -> None:
        _, load = self.upstream.report()
        _respond(request, 200, msgspec.json.encode({"load": load}))


def _request_timeout(request: Request) -> float | None:
    """Returns the seconds in the ``Request-Timeout`` header, or None."""
    try:
        return max(0.0, float(request.getHeader(b"Request-Timeout") or b""))
    except ValueError:
        return None


def _respond(request: Request, status: int, body: bytes) -> None:
    request.setResponseCode(status)
    request.setHeader(b"Content-Length", str(len(body)).encode())
    request.write(body)
    request.finish()
