"""Handling of requests at an agent: offers, upstream events, cancellation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import InitVar, dataclass, field

from bramleydyke.constants import (
    HEARTBEAT_S,
    IDLE_FANOUT,
)
from bramleydyke.core.admission import Admission
from bramleydyke.core.keyed_requests import KeyedRequests
from bramleydyke.core.pause_detector import PauseDetector
from bramleydyke.core.placer import Placer
from bramleydyke.core.records import Record, RecordState, Waiter
from bramleydyke.core.request_executor import RequestExecutor
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
"""States of a request in progress; a drain waits for these requests."""


@dataclass(slots=True, kw_only=True)
class RequestServer:
    """Handles offers to one agent and the events of its upstream.

    Attributes:
        node_id: Node id of this agent.
        partner_id: Partner that owns the service.
        service_id: Service of the upstream; offers for other services are
            refused.
        upstream_id: Upstream that the agent serves.
        incarnation: Incarnation of the agent.
        started_at: Start of this incarnation, in seconds.
        record_peers: Returns the upstreams that may have a record of a
            request: those of the current configuration and of the earlier
            generations that are kept.
        all_running: Returns whether the agents of all other upstreams in
            these generations are known to be running.
        usable_peers: Returns the other upstreams that accept new work.
        placer: Offers keyed requests to other agents when this upstream has
            no free slot.
        draining: Whether the agent refuses new work.
        idle_fanout: Number of agents that are asked for a queued request when
            a slot is free.
        pause_detector: Detects pauses of the process, which may have delayed
            offers. The heartbeat timer wakes the process often enough for it.
        executor: Records, slots and replies of all requests.
        keyed: Handles requests with an id that the caller chose.
    """

    node_id: NodeId
    partner_id: PartnerId
    service_id: ServiceId
    upstream_id: UpstreamId
    incarnation: Incarnation
    started_at: float
    admission: InitVar[Admission]
    record_peers: Callable[[float], set[UpstreamId]]
    all_running: Callable[[], bool]
    usable_peers: Callable[[ServiceId], list[UpstreamId]]
    placer: Placer
    draining: bool = False
    idle_fanout: int = IDLE_FANOUT
    pause_detector: PauseDetector = field(
        default_factory=lambda: PauseDetector(max_gap_s=2 * HEARTBEAT_S)
    )
    executor: RequestExecutor = field(init=False)
    keyed: KeyedRequests = field(init=False)

    def __post_init__(self, admission: Admission) -> None:
        self.executor = RequestExecutor(
            node_id=self.node_id,
            incarnation=self.incarnation,
            admission=admission,
        )
        self.keyed = KeyedRequests(
            partner_id=self.partner_id,
            service_id=self.service_id,
            upstream_id=self.upstream_id,
            started_at=self.started_at,
            executor=self.executor,
            record_peers=self.record_peers,
            all_running=self.all_running,
            placer=self.placer,
        )

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has to be called next, or None."""
        times = [
            self.executor.timers.next(),
            self.executor.records.next_expiry(),
            self.placer.next_wakeup(),
        ]
        return min((at for at in times if at is not None), default=None)

    def wake(self, *, now: float) -> list[Envelope]:
        """Ends overdue requests, repeats queries, removes expired records."""
        out = [
            sent
            for request_id in self.executor.timers.pop_due(now)
            for sent in self._handle_timer(request_id, now=now)
        ]
        self.executor.records.expire(now=now)
        return out + self.placer.wake(now=now) + self.executor.start_queued(now=now)

    def idle(self) -> bool:
        """Returns whether no request is in progress at this agent."""
        return not any(
            rec.state in _ACTIVE for rec in self.executor.records.records.values()
        )

    # Offers and backlog queries from placers.

    def offered(self, sender: NodeId, offer: Offer, *, now: float) -> list[Envelope]:
        """Runs, queues, places or refuses an offered request.

        For a request that has a record, the reply is its answer or current
        state. New requests are refused right after a pause of this process:
        the offer may have waited until after its deadline.
        """
        waiter = Waiter(sender, offer.placement)
        kind = self._refusal_before_record(waiter, offer)
        if kind is not None:
            return self.executor.refuse(
                waiter, offer.request_id, offer.ask, kind, now=now
            )
        record = self.executor.records.get(offer.request_id)
        if record is not None:
            return self._reply_to_known(record, waiter, offer, now=now)
        if self.draining or self.pause_detector.recent_pause(now=now):
            kind = ErrorKind.DRAINING if self.draining else ErrorKind.SHED
            return self.executor.refuse(
                waiter, offer.request_id, offer.ask, kind, now=now
            )
        if offer.keyed:
            return self.keyed.start(waiter, offer, now=now)
        kind = self.executor.admission.refusal(
            backlog_limit=offer.backlog_limit, ttl=offer.ttl
        )
        if kind is not None:
            return self.executor.refuse(
                waiter, offer.request_id, offer.ask, kind, now=now
            )
        record = self.executor.add_record(waiter, offer, RecordState.QUEUED, now=now)
        return self.executor.enqueue(record, now=now)

    def backlog_queried(
        self, sender: NodeId, query: BacklogQuery, *, now: float
    ) -> list[Envelope]:
        """Reports the backlog of the upstream to a placer."""
        if query.service_id != self.service_id:
            return []
        report = BacklogReport(
            placement=query.placement,
            ask=query.ask,
            upstream_id=self.upstream_id,
            backlog=self.executor.admission.backlog(),
            draining=self.draining,
        )
        return [Envelope(self.node_id, sender, report)]

    def _refusal_before_record(self, waiter: Waiter, offer: Offer) -> ErrorKind | None:
        """Returns why an offer is refused before its record is used, or None.

        An offer for an earlier incarnation without a record is refused with an
        unknown outcome: that incarnation may have run the request.
        """
        if (offer.service_id, offer.partner_id) != (self.service_id, self.partner_id):
            return ErrorKind.WRONG_SERVICE
        refused = self.executor.records.refused_kind(
            offer.request_id, waiter, offer.ask
        )
        if refused is not None:
            return refused
        known = self.executor.records.get(offer.request_id) is not None
        if offer.incarnation != self.incarnation and not known:
            return ErrorKind.FORGOTTEN
        return ErrorKind.DEADLINE if offer.ttl <= 0 and not known else None

    def _reply_to_known(
        self, record: Record, waiter: Waiter, offer: Offer, *, now: float
    ) -> list[Envelope]:
        """Replies to an offer of a request that has a record at this agent."""
        if record.state is RecordState.DONE:
            if record.answer is None:
                kind = ErrorKind.ANSWER_EVICTED
                return self.executor.refuse(
                    waiter, offer.request_id, offer.ask, kind, now=now
                )
            return [
                self.executor.answer_message(waiter, record.request_id, record.answer)
            ]
        if record.state is RecordState.FAILED:
            return self.executor.refuse(
                waiter, offer.request_id, offer.ask, record.failure, now=now
            )
        if record.state is RecordState.HANDED_OVER:
            return self.executor.refuse_moved(record, waiter, offer.ask)
        record.waiters[waiter] = max(offer.ask, record.waiters.get(waiter, 0))
        return [self.executor.accepted_message(record, waiter)]

    # Results from the upstream.

    def done(self, message: RequestDone, *, now: float) -> list[Envelope]:
        """Sends the upstream's answer to all placements that wait for it.

        An answer after the deadline is kept for repetitions of the request.
        """
        late = self.executor.records.get(message.request_id)
        if late is not None and late.state is RecordState.FAILED:
            return self.executor.finish(late, message.payload, now=now)
        record = self.executor.running(message.request_id)
        if record is None:
            return []
        self.executor.admission.finish(message.request_id, now=now)
        finished = self.executor.finish(record, message.payload, now=now)
        return finished + self.executor.start_queued(now=now) + self._notify_idle()

    def failed(self, message: RequestFailed, *, now: float) -> list[Envelope]:
        """Ends a request that failed at the upstream and may have run."""
        record = self.executor.running(message.request_id)
        if record is None:
            return []
        self.executor.admission.drop(message.request_id)
        kind = ErrorKind.UPSTREAM_FAILED
        return self.executor.fail(record, kind, now=now) + self.executor.start_queued(
            now=now
        )

    def shed(self, message: RequestShed, *, now: float) -> list[Envelope]:
        """Refuses a request that the upstream refused unprocessed."""
        record = self.executor.running(message.request_id)
        if record is None:
            return []
        self.executor.admission.drop(message.request_id)
        dropped = self.executor.drop(record, ErrorKind.SHED, now=now)
        return dropped + self.executor.start_queued(now=now)

    # Moving queued requests to other agents.

    def set_draining(self, draining: bool, *, now: float) -> list[Envelope]:
        """Starts or ends a drain, which moves queued requests to other agents.

        Otherwise queued requests could start at the upstream later than
        ``DRAIN_NOTICE_S`` after the start of the drain. Keyed requests stay if
        no other agent has a free slot for them.
        """
        self.draining = draining
        if not draining:
            return []
        queued = [
            self.executor.records.records[request_id]
            for request_id in self.executor.admission.queued()
        ]
        return [out for record in queued for out in self._move_queued(record, now=now)]

    def _move_queued(self, record: Record, *, now: float) -> list[Envelope]:
        """Takes a request out of the queue for another agent to run."""
        self.executor.admission.drop(record.request_id)
        if not self._movable(record.request_id):
            return self.keyed.place(record, now=now)
        return self.executor.drop(record, ErrorKind.DRAINING, now=now)

    def _notify_idle(self) -> list[Envelope]:
        """Asks random agents for a queued request if a slot is free here."""
        if self.draining or not self.executor.admission.has_free_slot():
            return []
        peers = self.usable_peers(self.service_id)
        count = min(self.idle_fanout, len(peers))
        asked = self.placer.random_source.sample(peers, count)
        notice = IdleNotice(service_id=self.service_id, upstream_id=self.upstream_id)
        return [
            Envelope(self.node_id, agent_node(self.service_id, peer), notice)
            for peer in asked
        ]

    def release_queued(self, notice: IdleNotice, *, now: float) -> list[Envelope]:
        """Releases a queued request to an agent with a free slot.

        The refusal names that agent's upstream, to which the placer then
        offers the request. Keyed requests are not released: their home agent
        has to keep the record.
        """
        if notice.service_id != self.service_id:
            return []
        request_id = self.executor.admission.oldest_queued(self._movable)
        if request_id is None:
            return []
        record = self.executor.records.records[request_id]
        self.executor.admission.drop(request_id)
        self.executor.timers.cancel(request_id)
        self.executor.records.remove(request_id)
        kind = ErrorKind.RELEASED
        out = [self.executor.to_metrics(kind)]
        for waiter, ask in record.waiters.items():
            self.executor.records.refuse(
                request_id, waiter, ask=ask, kind=kind, now=now
            )
            out.append(
                self.executor.refusal_message(
                    waiter, request_id, ask, kind, free=notice.upstream_id
                )
            )
        return out

    def _movable(self, request_id: RequestId) -> bool:
        """Returns whether a queued request may be moved to another agent."""
        offer = self.executor.records.records[request_id].offer
        return offer is not None and not offer.keyed

    # Cancellation and deadlines.

    def cancel(
        self, sender: NodeId, message: CancelRequest, *, now: float
    ) -> list[Envelope]:
        """Cancels a placement, and its request if no other placement waits."""
        waiter = Waiter(sender, message.placement)
        self.executor.records.refuse(
            message.request_id,
            waiter,
            ask=message.ask,
            kind=ErrorKind.CANCELLED,
            now=now,
        )
        record = self.executor.records.get(message.request_id)
        stopped: list[Envelope] = []
        not_run = message.incarnation == self.incarnation
        if record is not None and record.state is not RecordState.HANDED_OVER:
            record.waiters.pop(waiter, None)
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
        """Stops a request that no placement waits for any more.

        Returns whether it is certain that the request did not run here, and
        the messages to send. A running keyed request is not stopped: its
        caller may repeat it to get the outcome.
        """
        keyed = record.offer is not None and record.offer.keyed
        if record.waiters or record.state not in _ACTIVE:
            return False, []
        if record.state in (RecordState.QUEUED, RecordState.QUERYING):
            self.executor.admission.drop(record.request_id)
            return True, self.executor.drop(record, ErrorKind.CANCELLED, now=now)
        if keyed or record.state is RecordState.PLACING:
            return False, []
        self.executor.admission.drop(record.request_id)
        out = self.executor.fail(record, ErrorKind.ABANDONED, now=now)
        out.append(self.executor.to_upstream(StopRequest(request_id=record.request_id)))
        return False, out + self.executor.start_queued(now=now)

    def _handle_timer(self, request_id: RequestId, *, now: float) -> list[Envelope]:
        """Handles the deadline or the next record query of a request."""
        record = self.executor.records.get(request_id)
        if record is None:
            return []
        if record.state is RecordState.QUERYING:
            return self.keyed.query_due(record, now=now)
        if record.state is RecordState.QUEUED:
            self.executor.admission.drop(request_id)
            return self.executor.drop(record, ErrorKind.DEADLINE, now=now)
        if record.state is RecordState.RUNNING:
            self.executor.admission.drop(request_id)
            stop = self.executor.to_upstream(StopRequest(request_id=request_id))
            return [stop] + self.executor.fail(record, ErrorKind.ABANDONED, now=now)
        return []
