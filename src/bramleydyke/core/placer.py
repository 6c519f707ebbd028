"""Offers each request to agents until one answers it.

A request is offered to one agent at a time, so that no two agents run it.
Another agent gets the offer only after the first one has refused it; an offer
without a reply is repeated to the same agent. An idempotent request, however,
is offered to another agent once its agent is considered lost.

A balancer places the requests of its callers. The home agent of a keyed
request, which keeps that request's record, places it too.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import InitVar, dataclass, field

from bramleydyke.constants import (
    ACCEPTED_POLL_S,
    BACKLOG_REPORT_TIMEOUT_S,
    FIRST_REPEAT_S,
    MAX_UNANSWERED_OFFERS,
    PROBE_FROM_BACKLOG,
)
from bramleydyke.core.candidates import Candidates
from bramleydyke.core.counting import count
from bramleydyke.core.load import LoadView
from bramleydyke.core.members import Members
from bramleydyke.core.placement import EndedCallback, Placement, SilentAgentCallback
from bramleydyke.core.retry import RetryBudget, backoff
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ANSWERS, ErrorKind, counter_name
from bramleydyke.messages import (
    Accepted,
    Answer,
    BacklogReport,
    Cancelled,
    Envelope,
    Payload,
    Refusal,
)
from bramleydyke.types import (
    NodeId,
    Outcome,
    RequestId,
    ServiceId,
    UpstreamId,
    agent_node,
)


@dataclass(slots=True, kw_only=True)
class Placer:
    """Offers the requests of one process to agents and handles their replies.

    Attributes:
        node_id: Node id of this process, the sender of the offers.
        members: Agents that this process knows.
        candidates: Selects and orders the agents for a round of offers.
        load: Estimates of the agents' backlogs.
        on_ended: Called once at the end of each placement.
        on_silent_agent: Called for an agent that left
            ``MAX_UNANSWERED_OFFERS`` offers of one placement without a reply.
        budgets: Retry budget of each service.
        pending: Placements that have not ended, by placement number.
        probing_enabled: Whether candidates without an offer are asked for
            their backlog.
        first_repeat_s: Seconds before an unanswered offer is first repeated.
        timers: Time of the next action of each placement: a repeated offer, a
            new round, the end of a probe or the deadline.
    """

    node_id: NodeId
    members: Members
    usable: InitVar[Callable[[ServiceId], Iterable[UpstreamId]]]
    weights: InitVar[Callable[[Placement, float], dict[UpstreamId, float]]]
    on_ended: EndedCallback
    random_source: random.Random
    on_silent_agent: SilentAgentCallback | None = None
    candidates: Candidates = field(init=False)
    load: LoadView = field(init=False)
    budgets: dict[ServiceId, RetryBudget] = field(default_factory=dict)
    pending: dict[int, Placement] = field(default_factory=dict)
    probing_enabled: bool = True
    first_repeat_s: float = FIRST_REPEAT_S
    timers: Timers[int] = field(default_factory=Timers)

    def __post_init__(
        self,
        usable: Callable[[ServiceId], Iterable[UpstreamId]],
        weights: Callable[[Placement, float], dict[UpstreamId, float]],
    ) -> None:
        self.candidates = Candidates(
            members=self.members,
            usable=usable,
            weights=weights,
            random_source=self.random_source,
        )
        self.load = self.candidates.load

    def place(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Starts a placement and returns its first offer and probes."""
        self.pending[placement.number] = placement
        placement.placed_at = now
        self.budget(placement.service_id).count_request(now=now)
        return self._begin_round(placement, now=now)

    def budget(self, service_id: ServiceId) -> RetryBudget:
        """Returns the retry budget of a service, created on first use."""
        return self.budgets.setdefault(service_id, RetryBudget())

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has to be called next, or None."""
        return self.timers.next()

    def wake(self, *, now: float) -> list[Envelope]:
        """Repeats unanswered offers; ends placements past their deadline."""
        due = [self.pending[number] for number in self.timers.pop_due(now)]
        return [out for item in due for out in self._handle_timer(item, now=now)]

    def cancel(self, number: int, *, now: float) -> list[Envelope]:
        """Cancels a placement whose caller has disconnected.

        The agent that holds the request has to confirm the cancellation
        before the placement ends.
        """
        placement = self.pending.get(number)
        if placement is None:
            return []
        if placement.upstream_id is None:
            return self._end(placement, ErrorKind.CANCELLED, now=now)
        placement.cancelling = True
        return self._send_current(placement, now=now)

    def accepted(
        self, sender: NodeId, message: Accepted, *, now: float
    ) -> list[Envelope]:
        """Handles an agent's acceptance of a request.

        Ignores replies from other agents and from earlier incarnations.
        """
        placement = self._matching_placement(message.placement, message.request_id)
        if (
            placement is None
            or message.incarnation != placement.incarnation
            or sender != placement.node_id
        ):
            return []
        self._store_backlog(placement, message.backlog, now=now)
        if not placement.accepted and placement.upstream_id is not None:
            placement.accepted = True
            self.load.offer_confirmed(sender)
        placement.unanswered_offers = 0
        self._wake_at(placement, now + ACCEPTED_POLL_S)
        return []

    def _wake_at(self, placement: Placement, at: float) -> None:
        self.timers.set(placement.number, min(at, placement.deadline))

    def answered(
        self, sender: NodeId, message: Answer, *, now: float
    ) -> list[Envelope]:
        """Ends a placement with the upstream's answer."""
        self.load.record_report(sender, message.backlog, now=now)
        placement = self._matching_placement(message.placement, message.request_id)
        return [] if placement is None else self._end(placement, message, now=now)

    def refused(
        self, sender: NodeId, message: Refusal, *, now: float
    ) -> list[Envelope]:
        """Handles a refusal of the newest offer; ignores older refusals."""
        placement = self._matching_placement(message.placement, message.request_id)
        if (
            placement is None
            or message.ask != placement.ask
            or sender != placement.node_id
        ):
            return []
        self._store_backlog(placement, message.backlog, now=now)
        self.members.record_incarnation(sender, message.incarnation)
        if message.never_ran:
            placement.earlier_may_have_run = False
        counted = self._count(message.kind, "refused")
        return counted + self._handle_refusal(placement, message, now=now)

    def cancelled(self, message: Cancelled, *, now: float) -> list[Envelope]:
        """Ends a placement once the agent confirms the cancellation."""
        placement = self._matching_placement(message.placement, message.request_id)
        if placement is None or not placement.cancelling:
            return []
        kind = ErrorKind.CANCELLED if message.not_run else ErrorKind.ABANDONED
        return self._end(placement, kind, now=now)

    def _matching_placement(
        self, number: int, request_id: RequestId
    ) -> Placement | None:
        """Returns the pending placement that a reply is for, or None."""
        placement = self.pending.get(number)
        if placement is None or placement.request_id != request_id:
            return None
        return placement

    def _begin_round(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Offers the request to the best candidate; probes the others.

        If that candidate is probably busy, the backlog queries are sent at
        the same time, which saves a round trip. Otherwise they are sent only
        after a refusal.
        """
        placement.candidates = self.candidates.choose(placement, now=now)
        placement.backlogs = {}
        placement.limited_offers = 0
        placement.probed = placement.keyed or not self.probing_enabled
        if placement.probed or not self._likely_busy(placement, now=now):
            return self._offer_next(placement, now=now)
        first = placement.candidates.pop(0)
        queries = self._probe(placement, now=now)
        return self._offer(placement, first, 1.0, now=now) + queries

    def _likely_busy(self, placement: Placement, *, now: float) -> bool:
        """Returns whether the best candidate will probably refuse.

        False if there is no other candidate to probe.
        """
        if len(placement.candidates) < 2:
            return False
        best = placement.candidates[0]
        estimate = self.candidates.estimate(placement, best, now=now)
        return estimate >= PROBE_FROM_BACKLOG

    def _probe(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Returns backlog queries to the remaining candidates."""
        query = placement.begin_probe(now=now)
        return [
            Envelope(self.node_id, agent_node(placement.service_id, upstream), query)
            for upstream in placement.candidates
        ]

    def reported(
        self, sender: NodeId, report: BacklogReport, *, now: float
    ) -> list[Envelope]:
        """Handles a backlog report.

        Makes the next offer if no report is missing and no agent holds an
        offer.
        """
        self.load.record_report(sender, report.backlog, now=now)
        placement = self.pending.get(report.placement)
        if placement is None or placement.probe is None:
            return []
        slots = self.candidates.slots(placement.service_id, report.upstream_id)
        unconfirmed = self.load.unconfirmed[sender] / slots
        placement.probe.add_report(report, unconfirmed=unconfirmed)
        if placement.upstream_id is not None or placement.probe.awaited:
            return []
        return self._offer_next(placement, now=now)

    def _offer_next(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Offers the request to the next agent, or ends the round.

        Waits for the backlog reports first if a probe is pending or due.
        """
        if placement.probe is not None and placement.probe.pending(now=now):
            self._wake_at(placement, placement.probe.expires_at)
            return []
        placement.end_probe()
        if placement.candidates and placement.backlogs and not placement.probed:
            self._wake_at(placement, now + BACKLOG_REPORT_TIMEOUT_S)
            return self._probe(placement, now=now)
        if placement.candidates:
            upstream_id = placement.candidates.pop(0)
            limit = None if placement.keyed else 1.0
            return self._offer(placement, upstream_id, limit, now=now)
        choice = self.candidates.least_loaded(placement, now=now)
        if choice is not None:
            del placement.backlogs[choice[0]]
            placement.limited_offers += 1
            return self._offer(placement, *choice, now=now)
        if placement.free_slot_only:
            return self._end(placement, placement.last_kind, now=now)
        return self._next_round(placement, now=now)

    def _next_round(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Schedules another round of offers after a backoff delay.

        Ends the placement instead if the next round would start after the
        deadline or the retry budget is exhausted.
        """
        delay = backoff(placement.rounds, random_source=self.random_source)
        if now + delay >= placement.deadline:
            return self._end(placement, placement.last_kind, now=now)
        if not self.budget(placement.service_id).take_token(now=now):
            ended = self._end(placement, placement.last_kind, now=now)
            return self._count(ErrorKind.RETRY_BUDGET, "refused") + ended
        placement.rounds += 1
        placement.upstream_id = None
        placement.home_redirects = 0
        self._wake_at(placement, now + delay)
        return self._count(placement.last_kind, "retried")

    def _offer(
        self,
        placement: Placement,
        upstream_id: UpstreamId,
        backlog_limit: float | None,
        *,
        now: float,
    ) -> list[Envelope]:
        """Offers the request to an agent and makes it the current one."""
        node_id = agent_node(placement.service_id, upstream_id)
        placement.begin_offer(
            upstream_id,
            incarnation=self.members.incarnation(node_id),
            backlog_limit=backlog_limit,
            repeated=self.first_repeat_s <= 0,
        )
        self.load.offer_started(node_id)
        return self._send_current(placement, now=now)

    def _send_current(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Sends the current offer, or its cancellation, with a new ``ask``."""
        placement.ask += 1
        wait = placement.reply_wait(first_repeat_s=self.first_repeat_s)
        self._wake_at(placement, now + wait)
        message: Payload
        if placement.cancelling:
            message = placement.cancel_request()
        else:
            message = placement.offer(now=now)
        assert placement.node_id is not None
        return [Envelope(self.node_id, placement.node_id, message)]

    def _handle_timer(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Continues a placement whose timer has expired.

        Sends the current message again, either because the agent has not
        replied or to poll an agent that has accepted. If the agent is
        considered lost, ends the placement or tries another agent.
        """
        if now >= placement.deadline:
            return self._end_at_deadline(placement, now=now)
        if placement.probe is not None and placement.upstream_id is None:
            return self._offer_next(placement, now=now)
        if placement.upstream_id is None:
            return self._begin_round(placement, now=now)
        if not placement.repeated and not placement.accepted:
            placement.repeated = True
            assert placement.node_id is not None
            self.load.unresponsive.add(placement.node_id)
            return self._send_current(placement, now=now)
        placement.unanswered_offers += 1
        assert placement.node_id is not None
        if (
            self.on_silent_agent is not None
            and placement.unanswered_offers == MAX_UNANSWERED_OFFERS
        ):
            self.on_silent_agent(placement.node_id, now=now)
        member = self.members.by_node.get(placement.node_id)
        if placement.agent_lost(member):
            return self._handle_lost_agent(placement, ErrorKind.AGENT_SILENT, now=now)
        counted = self._count(ErrorKind.AGENT_SILENT, "retried")
        return counted + self._send_current(placement, now=now)

    def _end_at_deadline(self, placement: Placement, *, now: float) -> list[Envelope]:
        """Ends a placement at its deadline.

        The outcome is unknown if an agent has been offered the request and
        has not refused it.
        """
        if placement.upstream_id is None:
            return self._end(placement, ErrorKind.DEADLINE, now=now)
        assert placement.node_id is not None
        placement.ask += 1
        cancel = placement.cancel_request()
        sent = [Envelope(self.node_id, placement.node_id, cancel)]
        return sent + self._end(placement, ErrorKind.AGENT_SILENT, now=now)

    def _handle_lost_agent(
        self, placement: Placement, kind: ErrorKind, *, now: float
    ) -> list[Envelope]:
        """Retries an idempotent request that the lost agent may have run.

        Ends the placement with an unknown outcome if the request is not
        idempotent, has been cancelled or exceeds the retry budget.
        """
        if not placement.idempotent or placement.cancelling:
            return self._end(placement, kind, now=now)
        if not self.budget(placement.service_id).take_token(now=now):
            return self._end(placement, kind, now=now)
        self._detach_agent(placement)
        placement.may_have_run = True
        placement.last_kind = kind
        counted = self._count(kind, "retried")
        if not placement.candidates and not placement.backlogs:
            return counted + self._begin_round(placement, now=now)
        return counted + self._offer_next(placement, now=now)

    def _handle_refusal(
        self, placement: Placement, message: Refusal, *, now: float
    ) -> list[Envelope]:
        """Offers a refused request to the next agent, or ends the placement.

        A released request is offered to the agent that has a free slot and
        asked for a request.
        """
        upstream_id = placement.upstream_id
        assert upstream_id is not None
        if ANSWERS[message.kind].outcome is Outcome.UNKNOWN:
            return self._handle_lost_agent(placement, message.kind, now=now)
        if placement.cancelling:
            return self._end(placement, ErrorKind.CANCELLED, now=now)
        self._detach_agent(placement)
        placement.last_kind = message.kind
        placement.apply_refusal(message, upstream_id)
        if message.kind is ErrorKind.RELEASED and message.free is not None:
            placement.backlogs = {upstream_id: message.backlog}
            slots = self.candidates.slots(placement.service_id, message.free)
            limit = message.backlog + 1 / slots
            return self._offer(placement, message.free, limit, now=now)
        if message.kind is ErrorKind.DEADLINE:
            return self._end(placement, message.kind, now=now)
        return self._offer_next(placement, now=now)

    def _store_backlog(
        self, placement: Placement, backlog: float, *, now: float
    ) -> None:
        node_id = placement.node_id
        if node_id is not None:
            self.load.record_report(node_id, backlog, now=now)

    def _detach_agent(self, placement: Placement) -> None:
        """Ends the current offer and removes it from the backlog estimates."""
        node_id = placement.node_id
        if node_id is not None:
            self.load.offer_ended(node_id)
            if not placement.accepted:
                self.load.offer_confirmed(node_id)
        placement.upstream_id = None

    def _end(
        self, placement: Placement, result: Answer | ErrorKind, *, now: float
    ) -> list[Envelope]:
        """Removes a placement and reports its result through ``on_ended``.

        If another agent or an earlier attempt may have run the request, an
        error is reported with an unknown outcome.
        """
        self._detach_agent(placement)
        self.timers.cancel(placement.number)
        del self.pending[placement.number]
        if isinstance(result, ErrorKind):
            result = placement.error_to_report(result)
        return self.on_ended(placement, result, now)

    def _count(self, kind: ErrorKind, action: str) -> list[Envelope]:
        return [count(self.node_id, counter_name(kind, action=action))]
