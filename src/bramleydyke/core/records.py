"""What an agent remembers of requests, and for how long."""

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
    """Where a request stands at this agent."""

    QUERYING = "querying"
    """The other agents of the service are asked whether they know it."""

    PLACING = "placing"
    """As its home, this agent is placing it at another agent."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    """It may have run; its answer never came."""

    HANDED_OVER = "handed_over"
    """Another agent is its home; it does not run here."""


@dataclass(frozen=True, slots=True)
class Asker:
    """A placement that waits for a request."""

    node_id: NodeId
    placement: int


@dataclass(slots=True, kw_only=True)
class Record:
    """One request id at this agent.

    Attributes:
        askers: Newest ask of each placement that waits.
        replies: Agents that said they never ran it, while querying.
        home: The agent that it was handed over to.
        answer: The answer, while it is kept.
        never_ran: True once it is certain that no earlier attempt ran.
    """

    request_id: RequestId
    state: RecordState
    deadline: float
    idempotent: bool
    offer: Offer | None = None
    askers: dict[Asker, int] = field(default_factory=dict)
    replies: set[UpstreamId] = field(default_factory=set)
    home: UpstreamId | None = None
    answer: bytes | None = None
    failure: ErrorKind = ErrorKind.UPSTREAM_FAILED
    query_ends_at: float = 0.0
    never_ran: bool = False
    since: float = 0.0
    """When the placer got the request, by this agent's clock."""


@dataclass(frozen=True, slots=True)
class _Refused:
    ask: int
    kind: ErrorKind


@dataclass(slots=True)
class RequestRecords:
    """Records and refusals, each with its retention.

    A refusal is remembered so that a late copy of the same offer is not run
    after the placer has gone on to another agent.

    Attributes:
        records: Record of each request id.
        refusals: Newest refused ask of each placement of a request.
        answer_bytes: Size of all kept answers.
    """

    records: dict[RequestId, Record] = field(default_factory=dict)
    refusals: dict[tuple[RequestId, Asker], _Refused] = field(default_factory=dict)
    answer_bytes: int = 0
    _with_answer: dict[RequestId, None] = field(default_factory=dict)
    _ended: Timers[RequestId] = field(default_factory=Timers)
    _old_refusals: Timers[tuple[RequestId, Asker]] = field(default_factory=Timers)

    def get(self, request_id: RequestId) -> Record | None:
        """Returns the record of a request id."""
        return self.records.get(request_id)

    def add(self, record: Record) -> None:
        """Starts a record."""
        self.records[record.request_id] = record
        self._ended.cancel(record.request_id)

    def remove(self, request_id: RequestId) -> None:
        """Forgets a request that did not run here."""
        record = self.records.pop(request_id, None)
        self._ended.cancel(request_id)
        if record is not None:
            self._drop_answer(record)

    def refuse(
        self,
        request_id: RequestId,
        asker: Asker,
        *,
        ask: int,
        kind: ErrorKind,
        now: float,
    ) -> None:
        """Remembers that offers up to ``ask`` were refused.

        Refusing a late copy of an older offer keeps the newest refused ask;
        lowering it would let the copies between the two run.
        """
        key = (request_id, asker)
        known = self.refusals.get(key)
        if known is None or ask > known.ask:
            self.refusals[key] = _Refused(ask, kind)
        self._old_refusals.set(key, now + MAX_PACKET_AGE_S)

    def refused_kind(
        self, request_id: RequestId, asker: Asker, ask: int
    ) -> ErrorKind | None:
        """Returns why an offer was refused already, if it was."""
        refused = self.refusals.get((request_id, asker))
        return refused.kind if refused is not None and ask <= refused.ask else None

    def finish(
        self,
        record: Record,
        state: RecordState,
        *,
        answer: bytes | None = None,
        now: float,
    ) -> None:
        """Ends a record and starts its retention.

        The answers of the oldest records are dropped when the kept answers
        grow over ``REPLAY_BYTES``; the records themselves stay.
        """
        record.state = state
        record.answer = answer
        record.askers = {}
        record.offer = None
        if answer is not None:
            self.answer_bytes += len(answer)
            self._with_answer[record.request_id] = None
            self._evict_answers()
        self._ended.set(record.request_id, now + RECORD_RETENTION_S)

    def expire(self, *, now: float) -> None:
        """Forgets records and refusals that are older than their retention."""
        for request_id in self._ended.pop_due(now):
            self.remove(request_id)
        for key in self._old_refusals.pop_due(now):
            self.refusals.pop(key, None)

    def next_expiry(self) -> float | None:
        """Returns when the next record or refusal is forgotten."""
        times = [self._ended.next(), self._old_refusals.next()]
        return min((at for at in times if at is not None), default=None)

    def _evict_answers(self) -> None:
        while self.answer_bytes > REPLAY_BYTES and len(self._with_answer) > 1:
            self._drop_answer(self.records[next(iter(self._with_answer))])

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            self.answer_bytes -= len(record.answer)
            record.answer = None
        self._with_answer.pop(record.request_id, None)
