"""The agent's side of requests: admission, records, and keyed requests.

A keyed request is one whose id the caller gave, so a repetition may reach
another balancer. Its home agent keeps the record, asks the other agents of
the service before it runs a possible repetition, and runs it or places it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import (
    HEARTBEAT_S,
    HOME_DELAY_S,
    IDLE_FANOUT,
    OFFER_TIMEOUT_S,
    QUERY_TIMEOUT_S,
    QUEUE_MARGIN_S,
    RECORD_RETENTION_S,
)
from bramleydyke.core.admission import Admission
from bramleydyke.core.placement import Placement, Placer, placement_numbers
from bramleydyke.core.records import Asker, Record, RecordState, RequestRecords
from bramleydyke.core.rendezvous import score
from bramleydyke.core.stalls import StallWatch
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ANSWERS, ErrorKind, counter_name
from bramleydyke.messages import (
    Accepted,
    Answer,
    BacklogQuery,
    BacklogReport,
    Cancelled,
    CancelRequest,
    Count,
    Envelope,
    IdleNotice,
    Offer,
    Payload,
    RecordQuery,
    RecordReply,
    Refusal,
    RequestDone,
    RequestFailed,
    RequestShed,
    RunRequest,
    StopRequest,
)
from bramleydyke.types import (
    LOCAL_METRICS,
    LOCAL_UPSTREAM,
    Incarnation,
    NodeId,
    Outcome,
    PartnerId,
    RecordKnowledge,
    RequestId,
    ServiceId,
    UpstreamId,
    agent_node,
)

_ACTIVE = frozenset(
    {
        RecordState.QUERYING,
        RecordState.PLACING,
        RecordState.QUEUED,
        RecordState.RUNNING,
    }
)


@dataclass(slots=True, kw_only=True)
class RequestServer:
    """Requests of one agent.

    Attributes:
        node_id: This agent.
        started_at: Start of this incarnation, in seconds.
        peers: Other upstreams that may know a request id: declared now or at
            an earlier generation still in history.
        all_running: Tells whether all of them are known to run.
        usable_peers: Other upstreams that may take new work.
        placer: Places keyed requests when this upstream has no free slot.
        draining: True once the upstream takes no new work.
        records: What this agent knows of each request.
        stalls: Tells whether offers may have waited here; the heartbeats
            keep its gaps short.
    """

    node_id: NodeId
    partner_id: PartnerId
    service_id: ServiceId
    upstream_id: UpstreamId
    incarnation: Incarnation
    started_at: float
    admission: Admission
    peers: Callable[[float], set[UpstreamId]]
    all_running: Callable[[], bool]
    usable_peers: Callable[[ServiceId], list[UpstreamId]]
    placer: Placer
    draining: bool = False
    idle_fanout: int = IDLE_FANOUT
    records: RequestRecords = field(default_factory=RequestRecords)
    placements: dict[int, RequestId] = field(default_factory=dict)
    stalls: StallWatch = field(
        default_factory=lambda: StallWatch(gap_s=2 * HEARTBEAT_S)
    )
    timers: Timers[RequestId] = field(default_factory=Timers)
    _numbers: Iterator[int] = field(init=False)

    def __post_init__(self) -> None:
        self._numbers = placement_numbers(self.incarnation)

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has something to do."""
        times = [
            self.timers.next(),
            self.records.next_expiry(),
            self.placer.next_wakeup(),
        ]
        return min((at for at in times if at is not None), default=None)

    def wake(self, *, now: float) -> list[Envelope]:
        """Ends overdue requests, repeats queries, forgets old records."""
        out = [
            sent
            for request_id in self.timers.pop_due(now)
            for sent in self._due(request_id, now=now)
        ]
        self.records.expire(now=now)
        return out + self.placer.wake(now=now) + self._start(now=now)

    def idle(self) -> bool:
        """Tells whether no request is in progress here."""
        return not any(rec.state in _ACTIVE for rec in self.records.records.values())

    # Offers.

    def offered(self, sender: NodeId, offer: Offer, *, now: float) -> list[Envelope]:
        """Runs, queues, places or refuses a request, or tells its state.

        New work is shed right after a pause: the deadline of an offer that
        waited may have passed long ago.
        """
        asker = Asker(sender, offer.placement)
        kind = self._refusal_before_record(asker, offer)
        if kind is not None:
            return self._refuse(asker, offer.request_id, offer.ask, kind, now=now)
        record = self.records.get(offer.request_id)
        if record is not None:
            return self._join(record, asker, offer, now=now)
        if self.draining or self.stalls.doubtful(now=now):
            kind = ErrorKind.DRAINING if self.draining else ErrorKind.SHED
            return self._refuse(asker, offer.request_id, offer.ask, kind, now=now)
        if offer.keyed:
            return self._start_keyed(asker, offer, now=now)
        kind = self.admission.refusal(backlog_limit=offer.backlog_limit, ttl=offer.ttl)
        if kind is not None:
            return self._refuse(asker, offer.request_id, offer.ask, kind, now=now)
        record = self._add_record(asker, offer, RecordState.QUEUED, now=now)
        return self._enqueue(record, now=now)

    def probed(
        self, sender: NodeId, query: BacklogQuery, *, now: float
    ) -> list[Envelope]:
        """Reports the backlog to a placer that looks for an agent."""
        if query.service_id != self.service_id:
            return []
        report = BacklogReport(
            placement=query.placement,
            ask=query.ask,
            upstream_id=self.upstream_id,
            backlog=self.admission.backlog(),
            draining=self.draining,
        )
        return [Envelope(self.node_id, sender, report)]

    def _refusal_before_record(self, asker: Asker, offer: Offer) -> ErrorKind | None:
        if (offer.service_id, offer.partner_id) != (self.service_id, self.partner_id):
            return ErrorKind.WRONG_SERVICE
        refused = self.records.refused_kind(offer.request_id, asker, offer.ask)
        if refused is not None:
            return refused
        known = self.records.get(offer.request_id) is not None
        if offer.incarnation != self.incarnation and not known:
            return ErrorKind.FORGOTTEN
        return ErrorKind.DEADLINE if offer.ttl <= 0 and not known else None

    def _join(
        self, record: Record, asker: Asker, offer: Offer, *, now: float
    ) -> list[Envelope]:
        """Answers an offer for a request that is known here."""
        if record.state is RecordState.DONE:
            if record.answer is None:
                kind = ErrorKind.ANSWER_EVICTED
                return self._refuse(asker, offer.request_id, offer.ask, kind, now=now)
            return [self._answer(asker, record.request_id, record.answer)]
        if record.state is RecordState.FAILED:
            return self._refuse(
                asker, offer.request_id, offer.ask, record.failure, now=now
            )
        if record.state is RecordState.HANDED_OVER:
            return self._refuse_moved(record, asker, offer.ask)
        record.askers[asker] = max(offer.ask, record.askers.get(asker, 0))
        return [self._accepted(record, asker)]

    def _add_record(
        self, asker: Asker, offer: Offer, state: RecordState, *, now: float
    ) -> Record:
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

    def _enqueue(self, record: Record, *, now: float) -> list[Envelope]:
        record.state = RecordState.QUEUED
        self.admission.enqueue(record.request_id, since=record.since)
        self.timers.set(record.request_id, record.deadline - QUEUE_MARGIN_S)
        started = self._start(now=now)
        return started + [self._accepted(record, asker) for asker in record.askers]

    def _start(self, *, now: float) -> list[Envelope]:
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
                out += self._drop(record, ErrorKind.DEADLINE, now=now)
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

    # Upstream events.

    def done(self, message: RequestDone, *, now: float) -> list[Envelope]:
        """Passes the upstream's answer to all who wait for it.

        An answer that comes after the deadline is kept for repetitions.
        """
        late = self.records.get(message.request_id)
        if late is not None and late.state is RecordState.FAILED:
            return self._finish(late, message.payload, now=now)
        record = self._running(message.request_id)
        if record is None:
            return []
        self.admission.finish(message.request_id, now=now)
        finished = self._finish(record, message.payload, now=now)
        return finished + self._start(now=now) + self._notify_idle()

    def failed(self, message: RequestFailed, *, now: float) -> list[Envelope]:
        """Tells all who wait that the outcome is unknown."""
        record = self._running(message.request_id)
        if record is None:
            return []
        self.admission.drop(message.request_id)
        kind = ErrorKind.UPSTREAM_FAILED
        return self._fail(record, kind, now=now) + self._start(now=now)

    def shed(self, message: RequestShed, *, now: float) -> list[Envelope]:
        """Refuses a request that the upstream refused before it ran."""
        record = self._running(message.request_id)
        if record is None:
            return []
        self.admission.drop(message.request_id)
        dropped = self._drop(record, ErrorKind.SHED, now=now)
        return dropped + self._start(now=now)

    # Queued requests that other agents have room for.

    def set_draining(self, draining: bool, *, now: float) -> list[Envelope]:
        """Starts or ends a drain; a drain moves the queue to other agents.

        Without that a long queue would bring the upstream new work after
        ``DRAIN_NOTICE_S``. Keyed requests whose home finds no free slot
        elsewhere stay.
        """
        self.draining = draining
        if not draining:
            return []
        queued = [
            self.records.records[request_id] for request_id in self.admission.queued()
        ]
        return [out for record in queued for out in self._move(record, now=now)]

    def _move(self, record: Record, *, now: float) -> list[Envelope]:
        self.admission.drop(record.request_id)
        if not self._movable(record.request_id):
            return self._place(record, now=now)
        return self._drop(record, ErrorKind.DRAINING, now=now)

    def _notify_idle(self) -> list[Envelope]:
        """Asks some other agents for a queued request if a slot is free."""
        if self.draining or not self.admission.has_free_slot():
            return []
        peers = self.usable_peers(self.service_id)
        count = min(self.idle_fanout, len(peers))
        asked = self.placer.random_source.sample(peers, count)
        notice = IdleNotice(service_id=self.service_id, upstream_id=self.upstream_id)
        return [
            Envelope(self.node_id, agent_node(self.service_id, peer), notice)
            for peer in asked
        ]

    def release(self, notice: IdleNotice, *, now: float) -> list[Envelope]:
        """Refuses a queued request, so that its placer offers it elsewhere.

        Keyed requests stay: their home keeps the record.
        """
        if notice.service_id != self.service_id:
            return []
        request_id = self.admission.oldest_queued(self._movable)
        if request_id is None:
            return []
        record = self.records.records[request_id]
        self.admission.drop(request_id)
        self.timers.cancel(request_id)
        self.records.remove(request_id)
        kind = ErrorKind.RELEASED
        out = [self._to_metrics(kind)]
        for asker, ask in record.askers.items():
            self.records.refuse(request_id, asker, ask=ask, kind=kind, now=now)
            out.append(
                self._refusal(asker, request_id, ask, kind, free=notice.upstream_id)
            )
        return out

    def _movable(self, request_id: RequestId) -> bool:
        offer = self.records.records[request_id].offer
        return offer is not None and not offer.keyed

    def _running(self, request_id: RequestId) -> Record | None:
        record = self.records.get(request_id)
        if record is None or record.state is not RecordState.RUNNING:
            return None
        return record

    def _finish(self, record: Record, payload: bytes, *, now: float) -> list[Envelope]:
        askers = list(record.askers)
        self.timers.cancel(record.request_id)
        self.records.finish(record, RecordState.DONE, answer=payload, now=now)
        return [self._answer(asker, record.request_id, payload) for asker in askers]

    def _fail(self, record: Record, kind: ErrorKind, *, now: float) -> list[Envelope]:
        """Ends a request that may have run."""
        askers = dict(record.askers)
        self.timers.cancel(record.request_id)
        record.failure = kind
        self.records.finish(record, RecordState.FAILED, now=now)
        return self._refuse_all(record.request_id, askers, kind, now=now)

    def _drop(self, record: Record, kind: ErrorKind, *, now: float) -> list[Envelope]:
        """Ends a request that did not run here."""
        askers = dict(record.askers)
        self.timers.cancel(record.request_id)
        self.records.remove(record.request_id)
        return self._refuse_all(
            record.request_id, askers, kind, never_ran=record.never_ran, now=now
        )

    # Cancellation and deadlines.

    def cancel(
        self, sender: NodeId, message: CancelRequest, *, now: float
    ) -> list[Envelope]:
        """Withdraws a placement; stops the request if nobody else waits."""
        asker = Asker(sender, message.placement)
        self.records.refuse(
            message.request_id,
            asker,
            ask=message.ask,
            kind=ErrorKind.CANCELLED,
            now=now,
        )
        record = self.records.get(message.request_id)
        stopped: list[Envelope] = []
        not_run = message.incarnation == self.incarnation
        if record is not None and record.state is not RecordState.HANDED_OVER:
            record.askers.pop(asker, None)
            not_run, stopped = self._stop_if_unwanted(record, now=now)
        reply = Cancelled(
            request_id=message.request_id,
            placement=message.placement,
            not_run=not_run,
        )
        return stopped + [Envelope(self.node_id, sender, reply)]

    def _stop_if_unwanted(
        self, record: Record, *, now: float
    ) -> tuple[bool, list[Envelope]]:
        """Returns whether the request did not run, and what stops it.

        A keyed request that runs is left to end: its caller may repeat it to
        learn its outcome.
        """
        keyed = record.offer is not None and record.offer.keyed
        if record.askers or record.state not in _ACTIVE:
            return False, []
        if record.state in (RecordState.QUEUED, RecordState.QUERYING):
            self.admission.drop(record.request_id)
            return True, self._drop(record, ErrorKind.CANCELLED, now=now)
        if keyed or record.state is RecordState.PLACING:
            return False, []
        self.admission.drop(record.request_id)
        out = self._fail(record, ErrorKind.ABANDONED, now=now)
        out.append(self._to_upstream(StopRequest(request_id=record.request_id)))
        return False, out + self._start(now=now)

    def _due(self, request_id: RequestId, *, now: float) -> list[Envelope]:
        record = self.records.get(request_id)
        if record is None:
            return []
        if record.state is RecordState.QUERYING:
            return self._query_due(record, now=now)
        if record.state is RecordState.QUEUED:
            self.admission.drop(request_id)
            return self._drop(record, ErrorKind.DEADLINE, now=now)
        if record.state is RecordState.RUNNING:
            self.admission.drop(request_id)
            stop = self._to_upstream(StopRequest(request_id=request_id))
            return [stop] + self._fail(record, ErrorKind.ABANDONED, now=now)
        return []

    # Keyed requests.

    def _start_keyed(self, asker: Asker, offer: Offer, *, now: float) -> list[Envelope]:
        if offer.first_attempt and self._known_everywhere(now):
            record = self._add_record(asker, offer, RecordState.QUEUED, now=now)
            return self._run_or_place(record, now=now)
        kind = self._refusal_as_home(offer, now=now)
        if kind is not None:
            return self._refuse(asker, offer.request_id, offer.ask, kind, now=now)
        record = self._add_record(asker, offer, RecordState.QUERYING, now=now)
        record.query_ends_at = min(now + QUERY_TIMEOUT_S, record.deadline)
        if not self._unasked(record, now=now):
            return self._run_or_place(record, now=now)
        return [self._accepted(record, asker)] + self._query(record, now=now)

    def _refusal_as_home(self, offer: Offer, *, now: float) -> ErrorKind | None:
        """Returns why this agent cannot be the home of a request.

        An agent that has just started may be unknown to a later home of the
        same request, which then would not ask it. It runs a first attempt
        only after every other agent has recorded that it has the request.
        """
        if offer.first_attempt:
            return None if self.all_running() else ErrorKind.NO_UPSTREAM
        return None if self._remembers_all(now) else ErrorKind.RECORD_UNKNOWN

    def _known_everywhere(self, now: float) -> bool:
        """Tells whether the announcement of this agent has spread."""
        return now - self.started_at >= HOME_DELAY_S

    def _remembers_all(self, now: float) -> bool:
        """Tells whether no earlier incarnation can have run a live request."""
        return now - self.started_at >= RECORD_RETENTION_S

    def _unasked(self, record: Record, *, now: float) -> set[UpstreamId]:
        return self.peers(now) - record.replies - {self.upstream_id}

    def _query(self, record: Record, *, now: float) -> list[Envelope]:
        again = min(now + OFFER_TIMEOUT_S, record.query_ends_at)
        self.timers.set(record.request_id, again)
        query = RecordQuery(
            request_id=record.request_id,
            service_id=self.service_id,
            home=self.upstream_id,
            first_attempt=record.offer is not None and record.offer.first_attempt,
        )
        return [
            Envelope(self.node_id, agent_node(self.service_id, upstream), query)
            for upstream in sorted(self._unasked(record, now=now))
        ]

    def _query_due(self, record: Record, *, now: float) -> list[Envelope]:
        if now < record.query_ends_at:
            return self._query(record, now=now)
        first_attempt = record.offer is not None and record.offer.first_attempt
        kind = ErrorKind.NO_UPSTREAM if first_attempt else ErrorKind.RECORD_UNKNOWN
        return self._drop(record, kind, now=now)

    def queried(
        self, sender: NodeId, query: RecordQuery, *, now: float
    ) -> list[Envelope]:
        """Tells another home what is known of a request, and yields to it.

        After ``NEVER`` this agent does not run the request any more.
        """
        if query.service_id != self.service_id:
            return []
        record = self.records.get(query.request_id)
        out: list[Envelope] = []
        answer: bytes | None = None
        if record is None:
            remembers = query.first_attempt or self._remembers_all(now)
            knowledge = RecordKnowledge.NEVER if remembers else RecordKnowledge.UNKNOWN
            if remembers:
                self._hand_over_unknown(query, now=now)
        elif record.state is RecordState.QUERYING and self._yields_to(query):
            knowledge = RecordKnowledge.NEVER
            out = self._hand_over(record, query.home, now=now)
        elif record.state is RecordState.HANDED_OVER:
            knowledge = RecordKnowledge.NEVER
            record.home = query.home
        elif record.state is RecordState.DONE:
            knowledge, answer = RecordKnowledge.DONE, record.answer
        elif record.state is RecordState.FAILED:
            knowledge = RecordKnowledge.UNKNOWN
        else:
            knowledge = RecordKnowledge.HELD
        reply = RecordReply(
            request_id=query.request_id,
            upstream_id=self.upstream_id,
            knowledge=knowledge,
            payload=answer,
        )
        return out + [Envelope(self.node_id, sender, reply)]

    def replied(self, message: RecordReply, *, now: float) -> list[Envelope]:
        """Takes another agent's reply to a record query."""
        record = self.records.get(message.request_id)
        if record is None or record.state is not RecordState.QUERYING:
            return []
        if message.knowledge is RecordKnowledge.HELD:
            return self._hand_over(record, message.upstream_id, now=now)
        if message.knowledge is RecordKnowledge.DONE:
            if message.payload is None:
                return self._fail(record, ErrorKind.ANSWER_EVICTED, now=now)
            return self._finish(record, message.payload, now=now)
        if message.knowledge is RecordKnowledge.UNKNOWN:
            return self._drop(record, ErrorKind.RECORD_UNKNOWN, now=now)
        record.replies.add(message.upstream_id)
        if self._unasked(record, now=now):
            return []
        return self._run_or_place(record, now=now)

    def _yields_to(self, query: RecordQuery) -> bool:
        """Two homes that ask each other agree on one by a fixed order."""
        key = query.request_id.encode()
        return (score(key, query.home, 1.0), query.home) > (
            score(key, self.upstream_id, 1.0),
            self.upstream_id,
        )

    def _hand_over(
        self, record: Record, home: UpstreamId, *, now: float
    ) -> list[Envelope]:
        askers = dict(record.askers)
        record.home = home
        self.timers.cancel(record.request_id)
        self.records.finish(record, RecordState.HANDED_OVER, now=now)
        return [
            sent
            for asker, ask in askers.items()
            for sent in self._refuse_moved(record, asker, ask)
        ]

    def _hand_over_unknown(self, query: RecordQuery, *, now: float) -> None:
        record = Record(
            request_id=query.request_id,
            state=RecordState.HANDED_OVER,
            deadline=now,
            idempotent=False,
            home=query.home,
        )
        self.records.add(record)
        self.records.finish(record, RecordState.HANDED_OVER, now=now)

    def _run_or_place(self, record: Record, *, now: float) -> list[Envelope]:
        """Runs a keyed request here, or at another agent with a free slot.

        By now it is certain that no earlier attempt has run.
        """
        record.never_ran = True
        if self.admission.has_free_slot():
            return self._enqueue(record, now=now)
        return self._place(record, now=now)

    def _place(self, record: Record, *, now: float) -> list[Envelope]:
        offer = record.offer
        assert offer is not None
        number = next(self._numbers)
        record.state = RecordState.PLACING
        self.timers.cancel(record.request_id)
        self.placements[number] = record.request_id
        placement = Placement(
            number=number,
            request_id=record.request_id,
            partner_id=self.partner_id,
            service_id=self.service_id,
            generation=offer.generation,
            idempotent=offer.idempotent,
            keyed=False,
            first_attempt_until=record.deadline,
            deadline=record.deadline,
            payload=offer.payload,
            first_pass_only=True,
        )
        accepted = [self._accepted(record, asker) for asker in record.askers]
        return accepted + self.placer.place(placement, now=now)

    def placed(
        self, placement: Placement, result: Answer | ErrorKind, *, now: float
    ) -> list[Envelope]:
        """Takes the end of a placement that this agent made as a home."""
        request_id = self.placements.pop(placement.number)
        record = self.records.get(request_id)
        if record is None or record.state is not RecordState.PLACING:
            return []
        if isinstance(result, Answer):
            return self._finish(record, result.payload, now=now)
        if ANSWERS[result].outcome is Outcome.UNKNOWN:
            return self._fail(record, result, now=now)
        kind = self.admission.refusal(backlog_limit=None, ttl=record.deadline - now)
        if kind is not None:
            return self._drop(record, kind, now=now)
        return self._enqueue(record, now=now)

    # Replies.

    def _accepted(self, record: Record, asker: Asker) -> Envelope:
        accepted = Accepted(
            request_id=record.request_id,
            placement=asker.placement,
            ask=record.askers[asker],
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
        )
        return Envelope(self.node_id, asker.node_id, accepted)

    def _answer(self, asker: Asker, request_id: RequestId, payload: bytes) -> Envelope:
        answer = Answer(
            request_id=request_id,
            placement=asker.placement,
            payload=payload,
            backlog=self.admission.backlog(),
            incarnation=self.incarnation,
        )
        return Envelope(self.node_id, asker.node_id, answer)

    def _refuse(
        self,
        asker: Asker,
        request_id: RequestId,
        ask: int,
        kind: ErrorKind,
        *,
        never_ran: bool = False,
        now: float,
    ) -> list[Envelope]:
        self.records.refuse(request_id, asker, ask=ask, kind=kind, now=now)
        refusal = self._refusal(asker, request_id, ask, kind, never_ran=never_ran)
        return [refusal, self._to_metrics(kind)]

    def _to_metrics(self, kind: ErrorKind) -> Envelope:
        return Envelope(self.node_id, LOCAL_METRICS, Count(name=counter_name(kind)))

    def _refuse_all(
        self,
        request_id: RequestId,
        askers: dict[Asker, int],
        kind: ErrorKind,
        *,
        never_ran: bool = False,
        now: float,
    ) -> list[Envelope]:
        return [
            sent
            for asker, ask in askers.items()
            for sent in self._refuse(
                asker, request_id, ask, kind, never_ran=never_ran, now=now
            )
        ]

    def _refuse_moved(self, record: Record, asker: Asker, ask: int) -> list[Envelope]:
        return [
            self._refusal(
                asker, record.request_id, ask, ErrorKind.MOVED, home=record.home
            )
        ]

    def _refusal(
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

    def _to_upstream(self, message: Payload) -> Envelope:
        return Envelope(self.node_id, LOCAL_UPSTREAM, message)
