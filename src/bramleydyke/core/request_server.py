"""The agent's side of requests: offers, upstream events, cancellation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import InitVar, dataclass, field

from bramleydyke.constants import (
    HEARTBEAT_S,
    IDLE_FANOUT,
)
from bramleydyke.core.admission import Admission
from bramleydyke.core.keyed_requests import KeyedRequests
from bramleydyke.core.placer import Placer
from bramleydyke.core.records import Asker, Record, RecordState
from bramleydyke.core.request_work import RequestWork
from bramleydyke.core.stalls import StallWatch
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    BacklogQuery,
    BacklogReport,
    Cancelled,
    CancelRequest,
    Envelope,
    IdleNotice,
    Offer,
    RequestDone,
    RequestFailed,
    RequestShed,
    StopRequest,
)
from bramleydyke.types import (
    Incarnation,
    NodeId,
    PartnerId,
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
        work: Records, slots and replies.
        keyed: Requests whose id the caller gave.
        stalls: Tells whether offers may have waited here; the heartbeats
            keep its gaps short.
    """

    node_id: NodeId
    partner_id: PartnerId
    service_id: ServiceId
    upstream_id: UpstreamId
    incarnation: Incarnation
    started_at: float
    admission: InitVar[Admission]
    peers: Callable[[float], set[UpstreamId]]
    all_running: Callable[[], bool]
    usable_peers: Callable[[ServiceId], list[UpstreamId]]
    placer: Placer
    draining: bool = False
    idle_fanout: int = IDLE_FANOUT
    stalls: StallWatch = field(
        default_factory=lambda: StallWatch(gap_s=2 * HEARTBEAT_S)
    )
    work: RequestWork = field(init=False)
    keyed: KeyedRequests = field(init=False)

    def __post_init__(self, admission: Admission) -> None:
        self.work = RequestWork(
            node_id=self.node_id,
            incarnation=self.incarnation,
            admission=admission,
        )
        self.keyed = KeyedRequests(
            partner_id=self.partner_id,
            service_id=self.service_id,
            upstream_id=self.upstream_id,
            started_at=self.started_at,
            work=self.work,
            peers=self.peers,
            all_running=self.all_running,
            placer=self.placer,
        )

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has something to do."""
        times = [
            self.work.timers.next(),
            self.work.records.next_expiry(),
            self.placer.next_wakeup(),
        ]
        return min((at for at in times if at is not None), default=None)

    def wake(self, *, now: float) -> list[Envelope]:
        """Ends overdue requests, repeats queries, forgets old records."""
        out = [
            sent
            for request_id in self.work.timers.pop_due(now)
            for sent in self._due(request_id, now=now)
        ]
        self.work.records.expire(now=now)
        return out + self.placer.wake(now=now) + self.work.start_queued(now=now)

    def idle(self) -> bool:
        """Tells whether no request is in progress here."""
        return not any(
            rec.state in _ACTIVE for rec in self.work.records.records.values()
        )

    # Offers.

    def offered(self, sender: NodeId, offer: Offer, *, now: float) -> list[Envelope]:
        """Runs, queues, places or refuses a request, or tells its state.

        New work is shed right after a pause: the deadline of an offer that
        waited may have passed long ago.
        """
        asker = Asker(sender, offer.placement)
        kind = self._refusal_before_record(asker, offer)
        if kind is not None:
            return self.work.refuse(asker, offer.request_id, offer.ask, kind, now=now)
        record = self.work.records.get(offer.request_id)
        if record is not None:
            return self._join(record, asker, offer, now=now)
        if self.draining or self.stalls.doubtful(now=now):
            kind = ErrorKind.DRAINING if self.draining else ErrorKind.SHED
            return self.work.refuse(asker, offer.request_id, offer.ask, kind, now=now)
        if offer.keyed:
            return self.keyed.start(asker, offer, now=now)
        kind = self.work.admission.refusal(
            backlog_limit=offer.backlog_limit, ttl=offer.ttl
        )
        if kind is not None:
            return self.work.refuse(asker, offer.request_id, offer.ask, kind, now=now)
        record = self.work.add_record(asker, offer, RecordState.QUEUED, now=now)
        return self.work.enqueue(record, now=now)

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
            backlog=self.work.admission.backlog(),
            draining=self.draining,
        )
        return [Envelope(self.node_id, sender, report)]

    def _refusal_before_record(self, asker: Asker, offer: Offer) -> ErrorKind | None:
        if (offer.service_id, offer.partner_id) != (self.service_id, self.partner_id):
            return ErrorKind.WRONG_SERVICE
        refused = self.work.records.refused_kind(offer.request_id, asker, offer.ask)
        if refused is not None:
            return refused
        known = self.work.records.get(offer.request_id) is not None
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
                return self.work.refuse(
                    asker, offer.request_id, offer.ask, kind, now=now
                )
            return [self.work.answer(asker, record.request_id, record.answer)]
        if record.state is RecordState.FAILED:
            return self.work.refuse(
                asker, offer.request_id, offer.ask, record.failure, now=now
            )
        if record.state is RecordState.HANDED_OVER:
            return self.work.refuse_moved(record, asker, offer.ask)
        record.askers[asker] = max(offer.ask, record.askers.get(asker, 0))
        return [self.work.accepted(record, asker)]

    # Upstream events.

    def done(self, message: RequestDone, *, now: float) -> list[Envelope]:
        """Passes the upstream's answer to all who wait for it.

        An answer that comes after the deadline is kept for repetitions.
        """
        late = self.work.records.get(message.request_id)
        if late is not None and late.state is RecordState.FAILED:
            return self.work.finish(late, message.payload, now=now)
        record = self.work.running(message.request_id)
        if record is None:
            return []
        self.work.admission.finish(message.request_id, now=now)
        finished = self.work.finish(record, message.payload, now=now)
        return finished + self.work.start_queued(now=now) + self._notify_idle()

    def failed(self, message: RequestFailed, *, now: float) -> list[Envelope]:
        """Tells all who wait that the outcome is unknown."""
        record = self.work.running(message.request_id)
        if record is None:
            return []
        self.work.admission.drop(message.request_id)
        kind = ErrorKind.UPSTREAM_FAILED
        return self.work.fail(record, kind, now=now) + self.work.start_queued(now=now)

    def shed(self, message: RequestShed, *, now: float) -> list[Envelope]:
        """Refuses a request that the upstream refused before it ran."""
        record = self.work.running(message.request_id)
        if record is None:
            return []
        self.work.admission.drop(message.request_id)
        dropped = self.work.drop(record, ErrorKind.SHED, now=now)
        return dropped + self.work.start_queued(now=now)

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
            self.work.records.records[request_id]
            for request_id in self.work.admission.queued()
        ]
        return [out for record in queued for out in self._move(record, now=now)]

    def _move(self, record: Record, *, now: float) -> list[Envelope]:
        self.work.admission.drop(record.request_id)
        if not self._movable(record.request_id):
            return self.keyed.place(record, now=now)
        return self.work.drop(record, ErrorKind.DRAINING, now=now)

    def _notify_idle(self) -> list[Envelope]:
        """Asks some other agents for a queued request if a slot is free."""
        if self.draining or not self.work.admission.has_free_slot():
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
        request_id = self.work.admission.oldest_queued(self._movable)
        if request_id is None:
            return []
        record = self.work.records.records[request_id]
        self.work.admission.drop(request_id)
        self.work.timers.cancel(request_id)
        self.work.records.remove(request_id)
        kind = ErrorKind.RELEASED
        out = [self.work.to_metrics(kind)]
        for asker, ask in record.askers.items():
            self.work.records.refuse(request_id, asker, ask=ask, kind=kind, now=now)
            out.append(
                self.work.refusal(asker, request_id, ask, kind, free=notice.upstream_id)
            )
        return out

    def _movable(self, request_id: RequestId) -> bool:
        offer = self.work.records.records[request_id].offer
        return offer is not None and not offer.keyed

    # Cancellation and deadlines.

    def cancel(
        self, sender: NodeId, message: CancelRequest, *, now: float
    ) -> list[Envelope]:
        """Withdraws a placement; stops the request if nobody else waits."""
        asker = Asker(sender, message.placement)
        self.work.records.refuse(
            message.request_id,
            asker,
            ask=message.ask,
            kind=ErrorKind.CANCELLED,
            now=now,
        )
        record = self.work.records.get(message.request_id)
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
            self.work.admission.drop(record.request_id)
            return True, self.work.drop(record, ErrorKind.CANCELLED, now=now)
        if keyed or record.state is RecordState.PLACING:
            return False, []
        self.work.admission.drop(record.request_id)
        out = self.work.fail(record, ErrorKind.ABANDONED, now=now)
        out.append(self.work.to_upstream(StopRequest(request_id=record.request_id)))
        return False, out + self.work.start_queued(now=now)

    def _due(self, request_id: RequestId, *, now: float) -> list[Envelope]:
        record = self.work.records.get(request_id)
        if record is None:
            return []
        if record.state is RecordState.QUERYING:
            return self.keyed.query_due(record, now=now)
        if record.state is RecordState.QUEUED:
            self.work.admission.drop(request_id)
            return self.work.drop(record, ErrorKind.DEADLINE, now=now)
        if record.state is RecordState.RUNNING:
            self.work.admission.drop(request_id)
            stop = self.work.to_upstream(StopRequest(request_id=request_id))
            return [stop] + self.work.fail(record, ErrorKind.ABANDONED, now=now)
        return []
