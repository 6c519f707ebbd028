"""Records, slots and replies of the requests at one agent."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.constants import (
    QUEUE_MARGIN_S,
)
from bramleydyke.core.admission import Admission
from bramleydyke.core.records import Record, RecordState, RequestRecords, Waiter
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import (
    Accepted,
    Answer,
    Count,
    Envelope,
    Offer,
    Payload,
    Refusal,
    RunRequest,
)
from bramleydyke.types import (
    LOCAL_METRICS,
    LOCAL_UPSTREAM,
    Incarnation,
    NodeId,
    RequestId,
    UpstreamId,
)


@dataclass(slots=True, kw_only=True)
class RequestExecutor:
    """Starts and ends requests at an agent, and replies to their placers.

    Attributes:
        node_id: Node id of the agent, the sender of the replies.
        incarnation: Incarnation of the agent, included in each reply.
        admission: Slots and queue of the upstream.
        records: State of each request, and recently refused offers.
        timers: Deadline or next record query of each request, whichever
            is first.
    """

    node_id: NodeId
    incarnation: Incarnation
    admission: Admission
    records: RequestRecords = field(default_factory=RequestRecords)
    timers: Timers[RequestId] = field(default_factory=Timers)

    def add_record(
        self, waiter: Waiter, offer: Offer, state: RecordState, *, now: float
    ) -> Record:
        """Adds a record for an offered request and sets its deadline."""
        record = Record(
            request_id=offer.request_id,
            state=state,
            deadline=now + offer.ttl,
            idempotent=offer.idempotent,
            offer=offer,
            waiters={waiter: offer.ask},
            since=now - offer.waited,
        )
        self.records.add(record)
        self.timers.set(record.request_id, record.deadline)
        return record

    def enqueue(self, record: Record, *, now: float) -> list[Envelope]:
        """Queues a request; starts queued requests while slots are free."""
        record.state = RecordState.QUEUED
        self.admission.enqueue(record.request_id, since=record.since)
        self.timers.set(record.request_id, record.deadline - QUEUE_MARGIN_S)
        started = self.start_queued(now=now)
        return started + [
            self.accepted_message(record, waiter) for waiter in record.waiters
        ]

    def start_queued(self, *, now: float) -> list[Envelope]:
        """Sends queued requests to the upstream while it has free slots.

        Requests past their deadline are refused instead. After a pause of the
        process they may still be queued if an answer that frees a slot is
        handled before their timers.
        """
        out: list[Envelope] = []
        while (request_id := self.admission.start_next(now=now)) is not None:
            record = self.records.records[request_id]
            assert record.offer is not None
            if now >= record.deadline:
                self.admission.drop(request_id)
                out += self.drop(record, ErrorKind.DEADLINE, now=now)
                continue
            self.timers.set(request_id, record.deadline)
            record.state = RecordState.RUNNING
            run = RunRequest(
                request_id=request_id,
                payload=record.offer.payload,
                ttl=record.deadline - now,
            )
            out.append(Envelope(self.node_id, LOCAL_UPSTREAM, run))
        return out

    def running(self, request_id: RequestId) -> Record | None:
        """Returns the record of a request that is running, or None."""
        record = self.records.get(request_id)
        if record is None or record.state is not RecordState.RUNNING:
            return None
        return record

    def finish(self, record: Record, payload: bytes, *, now: float) -> list[Envelope]:
        """Ends a request with an answer and sends it to all placements."""
        waiters = list(record.waiters)
        self.timers.cancel(record.request_id)
        self.records.finish(record, RecordState.DONE, answer=payload, now=now)
        return [
            self.answer_message(waiter, record.request_id, payload)
            for waiter in waiters
        ]

    def fail(self, record: Record, kind: ErrorKind, *, now: float) -> list[Envelope]:
        """Ends a request with an unknown outcome: it may have run."""
        waiters = dict(record.waiters)
        self.timers.cancel(record.request_id)
        record.failure = kind
        self.records.finish(record, RecordState.FAILED, now=now)
        return self.refuse_all(record.request_id, waiters, kind, now=now)

    def drop(self, record: Record, kind: ErrorKind, *, now: float) -> list[Envelope]:
        """Refuses a request that did not run here, and removes its record."""
        waiters = dict(record.waiters)
        self.timers.cancel(record.request_id)
        self.records.remove(record.request_id)
        return self.refuse_all(
            record.request_id, waiters, kind, never_ran=record.never_ran, now=now
        )

    def accepted_message(self, record: Record, waiter: Waiter) -> Envelope:
        """Returns the message that this agent has accepted a request."""
        accepted = Accepted(
            request_id=record.request_id,
            placement=waiter.placement,
            ask=record.waiters[waiter],
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
        )
        return Envelope(self.node_id, waiter.node_id, accepted)

    def answer_message(
        self, waiter: Waiter, request_id: RequestId, payload: bytes
    ) -> Envelope:
        """Returns the message that sends the upstream's answer to a placer."""
        answer = Answer(
            request_id=request_id,
            placement=waiter.placement,
            payload=payload,
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
        )
        return Envelope(self.node_id, waiter.node_id, answer)

    def refuse(
        self,
        waiter: Waiter,
        request_id: RequestId,
        ask: int,
        kind: ErrorKind,
        *,
        never_ran: bool = False,
        now: float,
    ) -> list[Envelope]:
        """Refuses an offer, and late duplicates of the offer as well."""
        self.records.refuse(request_id, waiter, ask=ask, kind=kind, now=now)
        refusal = self.refusal_message(
            waiter, request_id, ask, kind, never_ran=never_ran
        )
        return [refusal, self.to_metrics(kind)]

    def to_metrics(self, kind: ErrorKind) -> Envelope:
        """Returns a message that counts a refusal in the metrics."""
        return Envelope(self.node_id, LOCAL_METRICS, Count(name=counter_name(kind)))

    def refuse_all(
        self,
        request_id: RequestId,
        waiters: dict[Waiter, int],
        kind: ErrorKind,
        *,
        never_ran: bool = False,
        now: float,
    ) -> list[Envelope]:
        """Refuses the newest offer of each placement in ``waiters``."""
        return [
            sent
            for waiter, ask in waiters.items()
            for sent in self.refuse(
                waiter, request_id, ask, kind, never_ran=never_ran, now=now
            )
        ]

    def refuse_moved(self, record: Record, waiter: Waiter, ask: int) -> list[Envelope]:
        """Redirects a placer to the new home agent of a request."""
        return [
            self.refusal_message(
                waiter, record.request_id, ask, ErrorKind.MOVED, home=record.home
            )
        ]

    def refusal_message(
        self,
        waiter: Waiter,
        request_id: RequestId,
        ask: int,
        kind: ErrorKind,
        *,
        home: UpstreamId | None = None,
        never_ran: bool = False,
        free: UpstreamId | None = None,
    ) -> Envelope:
        """Returns a refusal message.

        Args:
            waiter: Placement that made the offer.
            request_id: Request that is refused.
            ask: Number of the offer that is refused.
            kind: Reason for the refusal.
            home: Upstream whose agent is the home of a keyed request.
            never_ran: Whether it is certain that no attempt of the request
                ran.
            free: Upstream with a free slot to offer the request to.
        """
        refusal = Refusal(
            request_id=request_id,
            placement=waiter.placement,
            ask=ask,
            kind=kind,
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
            home=home,
            never_ran=never_ran,
            free=free,
        )
        return Envelope(self.node_id, waiter.node_id, refusal)

    def to_upstream(self, message: Payload) -> Envelope:
        """Returns an envelope that delivers a message to the upstream."""
        return Envelope(self.node_id, LOCAL_UPSTREAM, message)
