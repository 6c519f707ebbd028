"""Simulated callers of one HTTP service."""

from __future__ import annotations

import io
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

from bramleydyke.adapters.http_bodies import new_agent, read_body
from bramleydyke.constants import MIN_CALLER_RETRY_S
from bramleydyke.daemons.environment import Environment
from bramleydyke.standins.work_counts import Work
from bramleydyke.types import Outcome, ServiceId

REQUEST_TIMEOUT_S = 5.0
"""Seconds until the deadline of each request."""

CANCEL_MARGIN_S = 1.0
"""Seconds after the deadline at which a caller cancels the request."""

MAX_TRIES = 4
"""Maximum number of requests sent for one piece of work."""

MAX_RESPONSE_BYTES = 100_000
"""Maximum size of a response body in bytes."""


@dataclass(slots=True, kw_only=True)
class _WorkItem:
    """One piece of work, for which several requests may be sent.

    Attributes:
        work: The work, as the upstream decodes it.
        body: The encoded work.
        keyed: True if requests carry an idempotency key.
        key: The idempotency key. Each refusal of work that certainly did not
            run is followed by a new one.
        attempt: Number of earlier requests with this key.
        tries: Number of requests sent in total.
    """

    work: Work
    body: bytes
    keyed: bool
    key: str
    attempt: int = 0
    tries: int = 0


@dataclass(slots=True, kw_only=True)
class HttpTraffic:
    """Sends requests to one service as a Poisson process.

    A third of the work is idempotent, a third has an idempotency key and a
    third has neither. Callers repeat a request if it certainly did not run. If
    the connection breaks, they repeat it only if it is idempotent or keyed.

    Attributes:
        address: Endpoint of the service.
        rate: Mean number of new pieces of work per second.
        counts: ``requests``, and the pieces of work by result.
        errors: Number of refusals by status and outcome, and of broken
            connections.
        open_work: Number of pieces of work without a result.
    """

    environment: Environment
    service_id: ServiceId
    address: str
    rate: float
    random_source: random.Random
    counts: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    open_work: int = 0
    stopped: bool = False
    _numbers: Any = field(default_factory=lambda: itertools.count(1))
    _agent: Any = None

    def start(self) -> None:
        """Starts sending."""
        self._agent = new_agent(self.environment.reactor)
        self._schedule_next()

    def stop(self) -> None:
        """Starts no new work; work in progress continues."""
        self.stopped = True

    def ended(self) -> bool:
        """Returns whether traffic has stopped and all work has a result."""
        return self.stopped and self.open_work == 0

    def _schedule_next(self) -> None:
        delay = self.random_source.expovariate(self.rate)
        self.environment.clock.callLater(delay, self._new_work)

    def _new_work(self) -> None:
        if self.stopped:
            return
        self._schedule_next()
        number = next(self._numbers)
        kind = number % 3
        work_id = f"{self.service_id}/{number}"
        work = Work(work_id, self.service_id, idempotent=kind == 0)
        self.counts["requests"] += 1
        self.open_work += 1
        self._send(
            _WorkItem(
                work=work,
                body=msgspec.json.encode(work),
                keyed=kind == 1,
                key=work_id,
            )
        )

    def _send(self, item: _WorkItem) -> None:
        item.tries += 1
        headers = Headers({b"Request-Timeout": [str(REQUEST_TIMEOUT_S).encode()]})
        if item.keyed:
            headers.setRawHeaders(b"Idempotency-Key", [item.key.encode()])
            headers.setRawHeaders(b"Request-Attempt", [str(item.attempt).encode()])
        call = self._agent.request(
            b"PUT" if item.work.idempotent else b"POST",
            f"http://{self.address}/work".encode(),
            headers,
            FileBodyProducer(io.BytesIO(item.body)),
        )
        call.addCallback(_read_response)
        timeout = self.environment.clock.callLater(
            REQUEST_TIMEOUT_S + CANCEL_MARGIN_S, call.cancel
        )
        call.addBoth(lambda result: _cancel_timer(timeout, result))
        call.addCallbacks(
            lambda answer: self._response_received(item, *answer),
            lambda _: self._connection_failed(item),
        )

    def _response_received(
        self, item: _WorkItem, status: int, outcome: str, body: bytes
    ) -> None:
        if status == 200:
            correct = body == item.body
            self._count_result("answered" if correct else "wrong_answer")
            return
        self.errors[f"{status} {outcome}"] += 1
        if outcome != Outcome.NOT_RUN.value:
            self._count_result("unknown")
        elif item.tries < MAX_TRIES:
            # The work certainly did not run, so it may get a new key.
            item.key = f"{item.work.id}/{item.tries}"
            item.attempt = 0
            self._retry_after(item, self.random_source.uniform(0.1, 0.5))
        else:
            self._count_result("refused_not_run")

    def _connection_failed(self, item: _WorkItem) -> None:
        """Repeats the work if running it twice does no harm."""
        self.errors["broken"] += 1
        safe_to_repeat = item.keyed or item.work.idempotent
        if safe_to_repeat and item.tries < MAX_TRIES:
            item.attempt += 1
            self._retry_after(item, MIN_CALLER_RETRY_S)
        else:
            self._count_result("unknown")

    def _retry_after(self, item: _WorkItem, delay: float) -> None:
        self.environment.clock.callLater(delay, self._send, item)

    def _count_result(self, name: str) -> None:
        self.counts[name] += 1
        self.open_work -= 1


def _read_response(response: Any) -> Deferred[tuple[int, str, bytes]]:
    outcome = response.headers.getRawHeaders(b"Bramleydyke-Outcome", [b""])[0]
    body = read_body(response, limit=MAX_RESPONSE_BYTES)
    return body.addCallback(lambda data: (response.code, outcome.decode(), data))


def _cancel_timer(timer: Any, result: Any) -> Any:
    if timer.active():
        timer.cancel()
    return result
