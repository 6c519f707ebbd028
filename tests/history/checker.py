"""Checks a history of requests against what callers were promised."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

SLACK_S = 1.0
"""Time after its deadline within which a caller must have an outcome."""


class Got(Enum):
    """How an attempt ended for its caller."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    DISCONNECTED = "disconnected"
    """Its balancer died: the caller knows nothing of the request."""


@dataclass(frozen=True, slots=True)
class Invoke:
    """A caller sent an attempt of a request to a balancer."""

    at: float
    attempt: int
    service: str
    key: str
    balancer: str
    timeout: float
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended."""

    at: float
    attempt: int
    got: Got
    payload: bytes = b""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Start:
    """An upstream of ``service`` began to run a request of ``wanted``."""

    at: float
    service: str
    wanted: str
    key: str
    upstream: str


@dataclass(frozen=True, slots=True)
class End:
    """An upstream ended a request of a service."""

    at: float
    service: str
    key: str


Event = Invoke | Outcome | Start | End


def request_payload(service: str, key: str) -> bytes:
    """Returns what a caller sends for a key."""
    return f"{service}|{key}".encode()


def answer_payload(request: bytes) -> bytes:
    """Returns the whole answer to a request; its end shows a cut one."""
    return b"<" + request + b">"


class History:
    """A recorded history, indexed by attempt and key.

    Args:
        events: Everything that callers and upstreams saw, in time order.
        ended_at: Time up to which the run was observed.
        resumed_at: Last time at which each paused balancer went on.
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
                self.starts[event.wanted, event.key].append(event)
            else:
                self.ends[event.service, event.key].append(event)

    def violations(self) -> list[str]:
        """Returns every broken promise, none if all hold."""
        checks = (
            self.wrong_answers,
            self.ran_twice,
            self.ran_though_not_run,
            self.wrong_service,
            self.lost_callers,
        )
        return [found for check in checks for found in check()]

    def wrong_answers(self) -> Iterator[str]:
        """Yields answers that are another's, not whole, or made up."""
        for attempt, outcome in self._outcomes(Got.ANSWER):
            wanted = answer_payload(request_payload(attempt.service, attempt.key))
            ends = self.ends[attempt.service, attempt.key]
            ended = any(end.at <= outcome.at for end in ends)
            if outcome.payload != wanted or not ended:
                yield f"wrong answer: {attempt} got {outcome}"

    def ran_twice(self) -> Iterator[str]:
        """Yields non-idempotent requests that started more than once."""
        for name, starts in self.starts.items():
            known = self.attempts[name]
            if len(starts) > 1 and not all(item.idempotent for item in known):
                yield f"ran twice: {starts}"

    def ran_though_not_run(self) -> Iterator[str]:
        """Yields "not run" answers for requests that ran or later run.

        An attempt that is answered "not run" excludes a run before it was
        sent. A run at any other time needs an attempt that was sent before
        the run and was not answered "not run": a caller that has several
        attempts on their way is told of each one by itself.
        """
        for attempt, outcome in self._outcomes(Got.NOT_RUN):
            for start in self.starts[attempt.service, attempt.key]:
                if start.at < attempt.at or not self._explained(start):
                    yield f"not run, but ran: {attempt} {outcome} {start}"

    def wrong_service(self) -> Iterator[str]:
        """Yields requests that started at another service."""
        for start in itertools.chain.from_iterable(self.starts.values()):
            if start.service != start.wanted:
                yield f"wrong service: {start}"

    def lost_callers(self) -> Iterator[str]:
        """Yields attempts without exactly one outcome in time."""
        for attempt in self.invokes.values():
            outcomes = self.outcomes[attempt.attempt]
            resumed = self.resumed_at.get(attempt.balancer, attempt.at)
            due = max(attempt.at, resumed) + attempt.timeout + SLACK_S
            if len(outcomes) > 1:
                yield f"two outcomes: {attempt} {outcomes}"
            elif not outcomes and self.ended_at > due:
                yield f"lost caller: {attempt}"
            elif outcomes and outcomes[0].at > due:
                yield f"late outcome: {attempt} {outcomes}"

    def _outcomes(self, got: Got) -> Iterator[tuple[Invoke, Outcome]]:
        for number, outcomes in self.outcomes.items():
            for outcome in outcomes:
                if outcome.got is got:
                    yield self.invokes[number], outcome

    def _explained(self, start: Start) -> bool:
        return any(
            attempt.at <= start.at
            and all(
                outcome.got is not Got.NOT_RUN
                for outcome in self.outcomes[attempt.attempt]
            )
            for attempt in self.attempts[start.wanted, start.key]
        )
