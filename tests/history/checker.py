"""Checks a recorded history of requests against the guarantees to callers."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

OUTCOME_TOLERANCE_S = 1.0
"""Tolerance, in seconds, between an attempt's deadline and its outcome."""


class Result(Enum):
    """How an attempt ended, as its caller saw it."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    DISCONNECTED = "disconnected"
    """The balancer crashed, so the caller does not know if the request ran."""


@dataclass(frozen=True, slots=True)
class Invoke:
    """A caller sent an attempt of a request to a balancer.

    Attempts that share a service and a key repeat the same request.
    """

    at: float
    attempt: int
    service: str
    key: str
    balancer: str
    timeout: float
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended; ``reason`` names the error of a refused attempt."""

    at: float
    attempt: int
    result: Result
    payload: bytes = b""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Start:
    """An upstream began to run a request.

    Attributes:
        service: Service that the upstream belongs to.
        requested_service: Service that the caller addressed.
    """

    at: float
    service: str
    requested_service: str
    key: str
    upstream: str


@dataclass(frozen=True, slots=True)
class End:
    """An upstream finished a request and sent its answer."""

    at: float
    service: str
    key: str


Event = Invoke | Outcome | Start | End


def request_payload(service: str, key: str) -> bytes:
    """Returns the request body, which names its service and key."""
    return f"{service}|{key}".encode()


def answer_payload(request: bytes) -> bytes:
    """Returns the answer to a request, delimited to reveal truncation."""
    return b"<" + request + b">"


class History:
    """A recorded history, indexed by attempt and key.

    Args:
        events: Events recorded at callers and upstreams, in time order.
        ended_at: Time at which recording stopped, in seconds.
        resumed_at: Time at which each paused balancer last resumed; its
            callers' deadlines count from then.
    """

    def __init__(
        self,
        events: Iterable[Event],
        *,
        ended_at: float,
        resumed_at: Mapping[str, float] | None = None,
    ) -> None:
        self.ended_at = ended_at
        self.resumed_at = resumed_at or {}
        self.invokes: dict[int, Invoke] = {}
        self.outcomes: dict[int, list[Outcome]] = defaultdict(list)
        self.starts: dict[tuple[str, str], list[Start]] = defaultdict(list)
        self.ends: dict[tuple[str, str], list[End]] = defaultdict(list)
        self.attempts: dict[tuple[str, str], list[Invoke]] = defaultdict(list)
        for event in events:
            if isinstance(event, Invoke):
                self.invokes[event.attempt] = event
                self.attempts[event.service, event.key].append(event)
            elif isinstance(event, Outcome):
                self.outcomes[event.attempt].append(event)
            elif isinstance(event, Start):
                self.starts[event.requested_service, event.key].append(event)
            else:
                self.ends[event.service, event.key].append(event)

    def violations(self) -> list[str]:
        """Returns a description of every guarantee that was broken."""
        checks = (
            self.wrong_answers,
            self.ran_twice,
            self.ran_though_not_run,
            self.wrong_service,
            self.lost_callers,
        )
        return [found for check in checks for found in check()]

    def wrong_answers(self) -> Iterator[str]:
        """Yields answers of another request, truncated ones, and early ones.

        An early answer reached the caller before any upstream had finished
        the request.
        """
        for attempt, outcome in self._outcomes(Result.ANSWER):
            expected = answer_payload(request_payload(attempt.service, attempt.key))
            ends = self.ends[attempt.service, attempt.key]
            ended = any(end.at <= outcome.at for end in ends)
            if outcome.payload != expected or not ended:
                yield f"wrong answer: {attempt} got {outcome}"

    def ran_twice(self) -> Iterator[str]:
        """Yields non-idempotent requests that started more than once."""
        for name, starts in self.starts.items():
            known = self.attempts[name]
            if len(starts) > 1 and not all(item.idempotent for item in known):
                yield f"ran twice: {starts}"

    def ran_though_not_run(self) -> Iterator[str]:
        """Yields "not run" outcomes that contradict a run of the request.

        No run may precede an attempt that ends as "not run". A later run is
        allowed only if another attempt, sent before the run, did not end as
        "not run": each of several concurrent attempts has its own outcome.
        """
        for attempt, outcome in self._outcomes(Result.NOT_RUN):
            for start in self.starts[attempt.service, attempt.key]:
                if start.at < attempt.at or not self._has_possible_cause(start):
                    yield f"not run, but ran: {attempt} {outcome} {start}"

    def wrong_service(self) -> Iterator[str]:
        """Yields requests that ran at a service that was not addressed."""
        for start in itertools.chain.from_iterable(self.starts.values()):
            if start.service != start.requested_service:
                yield f"wrong service: {start}"

    def lost_callers(self) -> Iterator[str]:
        """Yields attempts with no outcome, a late one, or more than one."""
        for attempt in self.invokes.values():
            outcomes = self.outcomes[attempt.attempt]
            resumed = self.resumed_at.get(attempt.balancer, attempt.at)
            due = max(attempt.at, resumed) + attempt.timeout + OUTCOME_TOLERANCE_S
            if len(outcomes) > 1:
                yield f"two outcomes: {attempt} {outcomes}"
            elif not outcomes and self.ended_at > due:
                yield f"lost caller: {attempt}"
            elif outcomes and outcomes[0].at > due:
                yield f"late outcome: {attempt} {outcomes}"

    def _outcomes(self, result: Result) -> Iterator[tuple[Invoke, Outcome]]:
        for number, outcomes in self.outcomes.items():
            for outcome in outcomes:
                if outcome.result is result:
                    yield self.invokes[number], outcome

    def _has_possible_cause(self, start: Start) -> bool:
        return any(
            attempt.at <= start.at
            and all(
                outcome.result is not Result.NOT_RUN
                for outcome in self.outcomes[attempt.attempt]
            )
            for attempt in self.attempts[start.requested_service, start.key]
        )
