"""Keyed requests: non-idempotent requests with an id from the caller.

Such a request must not run again if its caller repeats it, even through
another balancer. Rendezvous hashing assigns each request id to a home agent,
which keeps the record of the request; all balancers offer the request to it.
If the request may be a repetition, the home agent first asks the other agents
of the service for a record. It then runs the request or places it at another
agent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import (
    HOME_MIN_AGE_S,
    OFFER_TIMEOUT_S,
    QUERY_TIMEOUT_S,
    RECORD_RETENTION_S,
)
from bramleydyke.core.placement import Placement, placement_numbers
from bramleydyke.core.placer import Placer
from bramleydyke.core.records import Record, RecordState, Waiter
from bramleydyke.core.rendezvous import score
from bramleydyke.core.request_executor import RequestExecutor
from bramleydyke.errors import ANSWERS, ErrorKind
from bramleydyke.messages import (
    Answer,
    Envelope,
    Offer,
    RecordQuery,
    RecordReply,
)
from bramleydyke.types import (
    NodeId,
    Outcome,
    PartnerId,
    RecordKnowledge,
    RequestId,
    ServiceId,
    UpstreamId,
    agent_node,
)


@dataclass(slots=True, kw_only=True)
class KeyedRequests:
    """Handles the keyed requests at one agent.

    Attributes:
        partner_id: Partner that owns the service.
        service_id: Service of the agent's upstream.
        upstream_id: Upstream of the agent.
        started_at: Start of this incarnation, in seconds.
        executor: Records, slots and replies of all requests at the agent.
        record_peers: Returns the upstreams that may have a record of a
            request: those of the current configuration and of the earlier
            generations that are kept.
        all_running: Returns whether the agents of all other upstreams in
            these generations are known to be running.
        placer: Offers requests to other agents when this upstream has no free
            slot.
        request_ids: Request id of each placement by this agent.
    """

    partner_id: PartnerId
    service_id: ServiceId
    upstream_id: UpstreamId
    started_at: float
    executor: RequestExecutor
    record_peers: Callable[[float], set[UpstreamId]]
    all_running: Callable[[], bool]
    placer: Placer
    request_ids: dict[int, RequestId] = field(default_factory=dict)
    _placement_numbers: Iterator[int] = field(init=False)

    def __post_init__(self) -> None:
        self._placement_numbers = placement_numbers(self.executor.incarnation)

    def start(self, waiter: Waiter, offer: Offer, *, now: float) -> list[Envelope]:
        """Handles an offer of a request that has no record at this agent.

        Runs or places a first attempt at once if all processes know this
        agent; otherwise queries the other agents first, or refuses.
        """
        if offer.first_attempt and self._announcement_has_spread(now):
            record = self.executor.add_record(
                waiter, offer, RecordState.QUEUED, now=now
            )
            return self._run_or_place(record, now=now)
        kind = self._refusal_as_home(offer, now=now)
        if kind is not None:
            return self.executor.refuse(
                waiter, offer.request_id, offer.ask, kind, now=now
            )
        record = self.executor.add_record(waiter, offer, RecordState.QUERYING, now=now)
        record.query_ends_at = min(now + QUERY_TIMEOUT_S, record.deadline)
        if not self._peers_without_reply(record, now=now):
            return self._run_or_place(record, now=now)
        return [self.executor.accepted_message(record, waiter)] + self._send_queries(
            record, now=now
        )

    def _refusal_as_home(self, offer: Offer, *, now: float) -> ErrorKind | None:
        """Returns why this agent cannot be the home agent, or None if it can.

        Another agent may become the home of the same request later. It would
        not query this agent if this agent has just started and is unknown to
        it. This agent therefore runs a first attempt only after all other
        agents have recorded the handover, for which all must be running.
        """
        if offer.first_attempt:
            return None if self.all_running() else ErrorKind.NO_UPSTREAM
        return None if self._records_complete(now) else ErrorKind.RECORD_UNKNOWN

    def _announcement_has_spread(self, now: float) -> bool:
        """Returns whether all processes are assumed to know this agent."""
        return now - self.started_at >= HOME_MIN_AGE_S

    def _records_complete(self, now: float) -> bool:
        """Returns whether all requests that may be repeated have a record.

        The records of earlier incarnations are lost, but their requests are no
        longer repeated ``RECORD_RETENTION_S`` after the start of this one.
        """
        return now - self.started_at >= RECORD_RETENTION_S

    def _peers_without_reply(self, record: Record, *, now: float) -> set[UpstreamId]:
        return self.record_peers(now) - record.replies - {self.upstream_id}

    def _send_queries(self, record: Record, *, now: float) -> list[Envelope]:
        """Queries the agents that have not replied, and sets the timer."""
        again = min(now + OFFER_TIMEOUT_S, record.query_ends_at)
        self.executor.timers.set(record.request_id, again)
        query = RecordQuery(
            request_id=record.request_id,
            service_id=self.service_id,
            home=self.upstream_id,
            first_attempt=record.offer is not None and record.offer.first_attempt,
        )
        return [
            Envelope(
                self.executor.node_id, agent_node(self.service_id, upstream), query
            )
            for upstream in sorted(self._peers_without_reply(record, now=now))
        ]

    def query_due(self, record: Record, *, now: float) -> list[Envelope]:
        """Repeats a record query, or refuses the request at its timeout."""
        if now < record.query_ends_at:
            return self._send_queries(record, now=now)
        first_attempt = record.offer is not None and record.offer.first_attempt
        kind = ErrorKind.NO_UPSTREAM if first_attempt else ErrorKind.RECORD_UNKNOWN
        return self.executor.drop(record, kind, now=now)

    def record_queried(
        self, sender: NodeId, query: RecordQuery, *, now: float
    ) -> list[Envelope]:
        """Replies to another home agent's query for a record.

        With the reply ``NEVER`` this agent promises not to run the request
        later, so it records the request as handed over to the other agent. If
        both agents query for the same request, one of them hands it over.
        """
        if query.service_id != self.service_id:
            return []
        record = self.executor.records.get(query.request_id)
        out: list[Envelope] = []
        answer: bytes | None = None
        if record is None:
            certain = query.first_attempt or self._records_complete(now)
            knowledge = RecordKnowledge.NEVER if certain else RecordKnowledge.UNKNOWN
            if certain:
                self._record_as_handed_over(query, now=now)
        elif record.state is RecordState.QUERYING and self._other_becomes_home(query):
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
        return out + [Envelope(self.executor.node_id, sender, reply)]

    def record_replied(self, message: RecordReply, *, now: float) -> list[Envelope]:
        """Handles another agent's reply to a record query."""
        record = self.executor.records.get(message.request_id)
        if record is None or record.state is not RecordState.QUERYING:
            return []
        if message.knowledge is RecordKnowledge.HELD:
            return self._hand_over(record, message.upstream_id, now=now)
        if message.knowledge is RecordKnowledge.DONE:
            if message.payload is None:
                return self.executor.fail(record, ErrorKind.ANSWER_EVICTED, now=now)
            return self.executor.finish(record, message.payload, now=now)
        if message.knowledge is RecordKnowledge.UNKNOWN:
            return self.executor.drop(record, ErrorKind.RECORD_UNKNOWN, now=now)
        record.replies.add(message.upstream_id)
        if self._peers_without_reply(record, now=now):
            return []
        return self._run_or_place(record, now=now)

    def _other_becomes_home(self, query: RecordQuery) -> bool:
        """Returns whether the querying agent, not this one, becomes the home.

        Two agents that query each other must come to the same decision: the
        higher rendezvous score with equal weights wins.
        """
        key = query.request_id.encode()
        return (score(key, query.home, 1.0), query.home) > (
            score(key, self.upstream_id, 1.0),
            self.upstream_id,
        )

    def _hand_over(
        self, record: Record, home: UpstreamId, *, now: float
    ) -> list[Envelope]:
        """Makes another agent the home and redirects the placers to it."""
        waiters = dict(record.waiters)
        record.home = home
        self.executor.timers.cancel(record.request_id)
        self.executor.records.finish(record, RecordState.HANDED_OVER, now=now)
        return [
            sent
            for waiter, ask in waiters.items()
            for sent in self.executor.refuse_moved(record, waiter, ask)
        ]

    def _record_as_handed_over(self, query: RecordQuery, *, now: float) -> None:
        """Adds a record that prevents a queried request from running here."""
        record = Record(
            request_id=query.request_id,
            state=RecordState.HANDED_OVER,
            deadline=now,
            idempotent=False,
            home=query.home,
        )
        self.executor.records.add(record)
        self.executor.records.finish(record, RecordState.HANDED_OVER, now=now)

    def _run_or_place(self, record: Record, *, now: float) -> list[Envelope]:
        """Runs a request here, or at another agent with a free slot.

        Called once it is certain that no earlier attempt has run.
        """
        record.never_ran = True
        if self.executor.admission.has_free_slot():
            return self.executor.enqueue(record, now=now)
        return self.place(record, now=now)

    def place(self, record: Record, *, now: float) -> list[Envelope]:
        """Offers a request to the other agents that have a free slot."""
        offer = record.offer
        assert offer is not None
        number = next(self._placement_numbers)
        record.state = RecordState.PLACING
        self.executor.timers.cancel(record.request_id)
        self.request_ids[number] = record.request_id
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
            free_slot_only=True,
        )
        accepted = [
            self.executor.accepted_message(record, waiter) for waiter in record.waiters
        ]
        return accepted + self.placer.place(placement, now=now)

    def placement_ended(
        self, placement: Placement, result: Answer | ErrorKind, *, now: float
    ) -> list[Envelope]:
        """Handles the end of a placement by this agent.

        If no other agent had a free slot for the request, it is queued at this
        agent.
        """
        request_id = self.request_ids.pop(placement.number)
        record = self.executor.records.get(request_id)
        if record is None or record.state is not RecordState.PLACING:
            return []
        if isinstance(result, Answer):
            return self.executor.finish(record, result.payload, now=now)
        if ANSWERS[result].outcome is Outcome.UNKNOWN:
            return self.executor.fail(record, result, now=now)
        kind = self.executor.admission.refusal(
            backlog_limit=None, ttl=record.deadline - now
        )
        if kind is not None:
            return self.executor.drop(record, kind, now=now)
        return self.executor.enqueue(record, now=now)
