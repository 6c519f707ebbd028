"""The checker reports a violation of each guarantee, and nothing else."""

from __future__ import annotations

import pytest
from checker import (
    End,
    Event,
    History,
    Invoke,
    Outcome,
    Result,
    Start,
    answer_payload,
    request_payload,
)

ANSWER = answer_payload(request_payload("a", "k"))


def invoke(at: float = 0.0, attempt: int = 1, **fields: object) -> Invoke:
    known = {"service": "a", "key": "k", "balancer": "b1", "timeout": 5.0}
    return Invoke(at=at, attempt=attempt, **known | fields)


def start(at: float = 0.1, service: str = "a") -> Start:
    return Start(at, service, "a", "k", "u1")


VALID_HISTORY: list[Event] = [
    invoke(),
    start(),
    End(0.2, "a", "k"),
    Outcome(0.3, 1, Result.ANSWER, ANSWER),
]
REFUSED = Outcome(0.3, 1, Result.NOT_RUN)

VIOLATING_HISTORIES: dict[str, list[Event]] = {
    "wrong answer: another's": [
        *VALID_HISTORY[:3],
        Outcome(0.3, 1, Result.ANSWER, answer_payload(request_payload("a", "other"))),
    ],
    "wrong answer: truncated": [
        *VALID_HISTORY[:3],
        Outcome(0.3, 1, Result.ANSWER, ANSWER[:-1]),
    ],
    "wrong answer: before the end": [
        invoke(),
        start(),
        VALID_HISTORY[3],
        End(0.9, "a", "k"),
    ],
    "ran twice": [*VALID_HISTORY, start(0.5)],
    "not run, but ran: before the refusal": [invoke(), start(), REFUSED],
    "not run, but ran: after the refusal": [invoke(), REFUSED, start(9.0)],
    "not run, but ran: before the repetition": [
        *VALID_HISTORY,
        invoke(2.0, 2),
        Outcome(2.1, 2, Result.NOT_RUN),
    ],
    "wrong service": [invoke(), start(service="b"), *VALID_HISTORY[2:]],
    "lost caller": [invoke(), start()],
    "late outcome": [invoke(), start(), Outcome(7.0, 1, Result.UNKNOWN)],
    "two outcomes": [*VALID_HISTORY, Outcome(0.4, 1, Result.UNKNOWN)],
}


@pytest.mark.parametrize("label", VIOLATING_HISTORIES)
def test_violation_is_reported(label: str) -> None:
    """Guards against a checker that misses a broken guarantee."""
    found = History(VIOLATING_HISTORIES[label], ended_at=20.0).violations()
    assert [item.split(":")[0] for item in found] == [label.split(":")[0]]


@pytest.mark.parametrize(
    "events",
    [
        VALID_HISTORY,
        [
            invoke(),
            REFUSED,
            invoke(1.0, 2),
            start(1.1),
            Outcome(1.2, 2, Result.UNKNOWN),
        ],
        [invoke(idempotent=True), start(), start(0.4), Outcome(1, 1, Result.UNKNOWN)],
        [invoke(), Outcome(1.0, 1, Result.DISCONNECTED), start(2.0)],
    ],
    ids=["answer", "run by repetition", "idempotent", "disconnected"],
)
def test_valid_history_has_no_violations(events: list[Event]) -> None:
    """Guards against violations reported for a correct history."""
    assert History(events, ended_at=20.0).violations() == []


def test_pause_of_the_balancer_extends_the_deadline() -> None:
    """Guards against an outcome reported as late after its balancer paused."""
    events = [invoke(), Outcome(12.0, 1, Result.UNKNOWN)]
    resumed = {"b1": 8.0}
    assert History(events, ended_at=20.0, resumed_at=resumed).violations() == []
