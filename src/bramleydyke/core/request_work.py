"""Requests at one upstream: their records, their slots, and the replies."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.constants import (
    QUEUE_MARGIN_S,
)
from bramleydyke.core.admission import Admission
from bramleydyke.core.records import Asker, Record, RecordState, RequestRecords
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
class RequestWork:
    """Requests that an agent queues, runs and remembers.

    Attributes:
        node_id: The agent.
        admission: Slots and queue of the upstream.
        records: What the agent knows of each request.
        timers: Deadline or next query of each request.
    """

    node_id: NodeId
    incarnation: Incarnation
    admission: Admission
    records: RequestRecords = field(default_factory=RequestRecords)
    timers: Timers[RequestId] = field(default_factory=Timers)

    def add_record(
        self, asker: Asker, offer: Offer, state: RecordState, *, now: float
    ) -> Record:
        """Starts the record of a request."""
        record = Record(
            request_id=offer.request_id,
            state=state,
            deadline=now + offer.ttl,
            idempotent=offer.idempotent,
            offer=offer,
            askers={asker: offer.ask},
            since=now - offer.waited,
        )
        self.records.add(record)
        self.timers.set(record.request_id, record.deadline)
        return record

    def enqueue(self, record: Record, *, now: float) -> list[Envelope]:
        """Queues a request, and starts it if a slot is free."""
        record.state = RecordState.QUEUED
        self.admission.enqueue(record.request_id, since=record.since)
        self.timers.set(record.request_id, record.deadline - QUEUE_MARGIN_S)
        started = self.start_queued(now=now)
        return started + [self.accepted(record, asker) for asker in record.askers]

    def start_queued(self, *, now: float) -> list[Envelope]:
        """Sends queued requests to the upstream while it has free slots.

        After a pause, an answer may free a slot before the timers of queued
        requests that are overdue.
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
        """Returns the record of a request that is at the upstream."""
        record = self.records.get(request_id)
        if record is None or record.state is not RecordState.RUNNING:
            return None
        return record

    def finish(self, record: Record, payload: bytes, *, now: float) -> list[Envelope]:
        """Passes an answer to all who wait for it."""
        askers = list(record.askers)
        self.timers.cancel(record.request_id)
        self.records.finish(record, RecordState.DONE, answer=payload, now=now)
        return [self.answer(asker, record.request_id, payload) for asker in askers]

    def fail(self, record: Record, kind: ErrorKind, *, now: float) -> list[Envelope]:
        """Ends a request that may have run."""
        askers = dict(record.askers)
        self.timers.cancel(record.request_id)
        record.failure = kind
        self.records.finish(record, RecordState.FAILED, now=now)
        return self.refuse_all(record.request_id, askers, kind, now=now)

    def drop(self, record: Record, kind: ErrorKind, *, now: float) -> list[Envelope]:
        """Ends a request that did not run here."""
        askers = dict(record.askers)
        self.timers.cancel(record.request_id)
        self.records.remove(record.request_id)
        return self.refuse_all(
            record.request_id, askers, kind, never_ran=record.never_ran, now=now
        )

    def accepted(self, record: Record, asker: Asker) -> Envelope:
        """Returns the reply that the request is held here."""
        accepted = Accepted(
            request_id=record.request_id,
            placement=asker.placement,
            ask=record.askers[asker],
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
        )
        return Envelope(self.node_id, asker.node_id, accepted)

    def answer(self, asker: Asker, request_id: RequestId, payload: bytes) -> Envelope:
        """Returns the reply with the answer."""
        answer = Answer(
            request_id=request_id,
            placement=asker.placement,
            payload=payload,
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
        )
        return Envelope(self.node_id, asker.node_id, answer)

    def refuse(
        self,
        asker: Asker,
        request_id: RequestId,
        ask: int,
        kind: ErrorKind,
        *,
        never_ran: bool = False,
        now: float,
    ) -> list[Envelope]:
        """Refuses an offer, and remembers that."""
        self.records.refuse(request_id, asker, ask=ask, kind=kind, now=now)
        refusal = self.refusal(asker, request_id, ask, kind, never_ran=never_ran)
        return [refusal, self.to_metrics(kind)]

    def to_metrics(self, kind: ErrorKind) -> Envelope:
        """Returns the count of a refusal."""
        return Envelope(self.node_id, LOCAL_METRICS, Count(name=counter_name(kind)))

    def refuse_all(
        self,
        request_id: RequestId,
        askers: dict[Asker, int],
        kind: ErrorKind,
        *,
        never_ran: bool = False,
        now: float,
    ) -> list[Envelope]:
        """Refuses the newest offer of all who wait."""
        return [
            sent
            for asker, ask in askers.items()
            for sent in self.refuse(
                asker, request_id, ask, kind, never_ran=never_ran, now=now
            )
        ]

    def refuse_moved(self, record: Record, asker: Asker, ask: int) -> list[Envelope]:
        """Points a placer to the home that a request was handed over to."""
        return [
            self.refusal(
                asker, record.request_id, ask, ErrorKind.MOVED, home=record.home
            )
        ]

    def refusal(
        self,
        asker: Asker,
        request_id: RequestId,
        ask: int,
        kind: ErrorKind,
        *,
        home: UpstreamId | None = None,
        never_ran: bool = False,
        free: UpstreamId | None = None,
    ) -> Envelope:
        """Returns a refusal."""
        refusal = Refusal(
            request_id=request_id,
            placement=asker.placement,
            ask=ask,
            kind=kind,
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
            home=home,
            never_ran=never_ran,
            free=free,
        )
        return Envelope(self.node_id, asker.node_id, refusal)

    def to_upstream(self, message: Payload) -> Envelope:
        """Returns a message to the upstream."""
        return Envelope(self.node_id, LOCAL_UPSTREAM, message)
