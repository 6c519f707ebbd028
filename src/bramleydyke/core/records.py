"""Records of requests at an agent, and their retention."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from bramleydyke.constants import (
    MAX_PACKET_AGE_S,
    RECORD_RETENTION_S,
    REPLAY_BYTES,
)
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import Offer
from bramleydyke.types import NodeId, RequestId, UpstreamId


class RecordState(Enum):
    """State of a request at this agent."""

    QUERYING = "querying"
    """This agent queries the other agents for a record of the request."""

    PLACING = "placing"
    """This agent, the home agent, offers the request to other agents."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    """The request ended without an answer and may have run."""

    HANDED_OVER = "handed_over"
    """Another agent is the home agent; the request must not run here."""


@dataclass(frozen=True, slots=True)
class Waiter:
    """Identifies a placement that waits for the result of a request."""

    node_id: NodeId
    placement: int


@dataclass(slots=True, kw_only=True)
class Record:
    """State of one request at an agent.

    Attributes:
        deadline: Time at which the request fails, in seconds.
        offer: First offer of the request; None once the request has ended.
        waiters: Placements that wait for the result, each with the number
            (``ask``) of its newest offer.
        replies: Upstreams whose agents replied that they never ran the
            request.
        home: Upstream to whose agent the request was handed over.
        answer: Answer of the upstream, until evicted.
        failure: Reason for the failure in the state ``FAILED``.
        query_ends_at: Time at which the record query times out, in seconds.
        never_ran: Whether it is certain that no earlier attempt ran.
        since: Time at which the placer received the request, in seconds of
            this agent's clock.
    """

    request_id: RequestId
    state: RecordState
    deadline: float
    idempotent: bool
    offer: Offer | None = None
    waiters: dict[Waiter, int] = field(default_factory=dict)
    replies: set[UpstreamId] = field(default_factory=set)
    home: UpstreamId | None = None
    answer: bytes | None = None
    failure: ErrorKind = ErrorKind.UPSTREAM_FAILED
    query_ends_at: float = 0.0
    never_ran: bool = False
    since: float = 0.0


@dataclass(frozen=True, slots=True)
class _RefusedOffer:
    ask: int
    kind: ErrorKind


@dataclass(slots=True)
class RequestRecords:
    """Stores records and refusals until their retention time ends.

    Refusals are stored so that a late duplicate of a refused offer does not
    run: the placer may have offered the request to another agent by then.

    Attributes:
        records: Record of each request id.
        refusals: Newest refused offer of each placement of a request.
        answer_bytes: Total size of the stored answers.
    """

    records: dict[RequestId, Record] = field(default_factory=dict)
    refusals: dict[tuple[RequestId, Waiter], _RefusedOffer] = field(
        default_factory=dict
    )
    answer_bytes: int = 0
    _ids_with_answer: dict[RequestId, None] = field(default_factory=dict)
    _record_expiry: Timers[RequestId] = field(default_factory=Timers)
    _refusal_expiry: Timers[tuple[RequestId, Waiter]] = field(default_factory=Timers)

    def get(self, request_id: RequestId) -> Record | None:
        """Returns the record of a request id, or None."""
        return self.records.get(request_id)

    def add(self, record: Record) -> None:
        """Adds a record, which does not expire until it is finished."""
        self.records[record.request_id] = record
        self._record_expiry.cancel(record.request_id)

    def remove(self, request_id: RequestId) -> None:
        """Removes a record, if there is one."""
        record = self.records.pop(request_id, None)
        self._record_expiry.cancel(request_id)
        if record is not None:
            self._drop_answer(record)

    def refuse(
        self,
        request_id: RequestId,
        waiter: Waiter,
        *,
        ask: int,
        kind: ErrorKind,
        now: float,
    ) -> None:
        """Stores that the offers of a placement up to ``ask`` were refused.

        A late duplicate of an older offer does not lower the stored number;
        otherwise duplicates of the offers between the two could run.
        """
        key = (request_id, waiter)
        known = self.refusals.get(key)
        if known is None or ask > known.ask:
            self.refusals[key] = _RefusedOffer(ask, kind)
        self._refusal_expiry.set(key, now + MAX_PACKET_AGE_S)

    def refused_kind(
        self, request_id: RequestId, waiter: Waiter, ask: int
    ) -> ErrorKind | None:
        """Returns why an offer was refused earlier, or None if it was not."""
        refused = self.refusals.get((request_id, waiter))
        return refused.kind if refused is not None and ask <= refused.ask else None

    def finish(
        self,
        record: Record,
        state: RecordState,
        *,
        answer: bytes | None = None,
        now: float,
    ) -> None:
        """Moves a record to a final state and starts its retention time.

        If the stored answers exceed ``REPLAY_BYTES``, the oldest answers are
        evicted; their records stay.
        """
        record.state = state
        record.answer = answer
        record.waiters = {}
        record.offer = None
        if answer is not None:
            self.answer_bytes += len(answer)
            self._ids_with_answer[record.request_id] = None
            self._evict_answers()
        self._record_expiry.set(record.request_id, now + RECORD_RETENTION_S)

    def expire(self, *, now: float) -> None:
        """Removes the records and refusals whose retention time has ended."""
        for request_id in self._record_expiry.pop_due(now):
            self.remove(request_id)
        for key in self._refusal_expiry.pop_due(now):
            self.refusals.pop(key, None)

    def next_expiry(self) -> float | None:
        """Returns when the next record or refusal expires, or None."""
        times = [self._record_expiry.next(), self._refusal_expiry.next()]
        return min((at for at in times if at is not None), default=None)

    def _evict_answers(self) -> None:
        while self.answer_bytes > REPLAY_BYTES and len(self._ids_with_answer) > 1:
            self._drop_answer(self.records[next(iter(self._ids_with_answer))])

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            self.answer_bytes -= len(record.answer)
            record.answer = None
        self._ids_with_answer.pop(record.request_id, None)
