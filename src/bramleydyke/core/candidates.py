"""Selection and ordering of the agents that a request is offered to."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleydyke.constants import MAX_CANDIDATES
from bramleydyke.core.load import LoadView
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement
from bramleydyke.core.rendezvous import owner_order
from bramleydyke.types import ServiceId, UpstreamId, agent_node

MAX_LIMITED_OFFERS = 4
"""Maximum number of offers with a backlog limit in one round.

Later offers of the round are refused only if the agent's queue is full or the
deadline would pass.
"""


@dataclass(slots=True, kw_only=True)
class Candidates:
    """Selects the agents for the placements of one process.

    Attributes:
        members: Agents that the process knows.
        usable: Returns the upstreams of a service that accept new work.
        weights: Returns the weight of each upstream that a request may be
            offered to at a given time.
        load: Estimates of the agents' backlogs.
        max_candidates: Maximum number of candidates in a round.
        max_limited_offers: Maximum number of offers in a round that have a
            backlog limit.
    """

    members: Members
    usable: Callable[[ServiceId], Iterable[UpstreamId]]
    weights: Callable[[Placement, float], dict[UpstreamId, float]]
    random_source: random.Random
    load: LoadView = field(default_factory=LoadView)
    max_candidates: int = MAX_CANDIDATES
    max_limited_offers: int = MAX_LIMITED_OFFERS

    def choose(self, placement: Placement, *, now: float) -> list[UpstreamId]:
        """Returns the candidates of a round, least estimated load first.

        A keyed request has one candidate, its home agent. Agents with an
        unanswered offer come last: they may have failed, and until membership
        detects a failure, each non-idempotent request that is offered to the
        failed agent is lost.
        """
        weights = self.weights(placement, now)
        running = set(self.usable(placement.service_id))
        if running <= placement.excluded:
            placement.excluded.clear()
        usable = running - placement.excluded
        if placement.keyed:
            key = placement.request_id.encode()
            return [
                upstream for upstream in owner_order(key, weights) if upstream in usable
            ][:1]
        salt = self.random_source.randbytes(8)
        order = [
            upstream for upstream in owner_order(salt, weights) if upstream in usable
        ]
        unresponsive = {
            upstream for upstream in order if self._is_unresponsive(placement, upstream)
        }
        order.sort(key=lambda upstream: upstream in unresponsive)
        return sorted(
            order[: self.max_candidates],
            key=lambda upstream: (
                upstream in unresponsive,
                self.estimate(placement, upstream, now=now) / weights[upstream],
            ),
        )

    def _is_unresponsive(self, placement: Placement, upstream: UpstreamId) -> bool:
        return agent_node(placement.service_id, upstream) in self.load.unresponsive

    def estimate(
        self, placement: Placement, upstream: UpstreamId, *, now: float
    ) -> float:
        """Returns the estimated backlog per slot of an agent."""
        node_id = agent_node(placement.service_id, upstream)
        slots = self.slots(placement.service_id, upstream)
        return self.load.estimate(node_id, slots=slots, now=now)

    def slots(self, service_id: ServiceId, upstream: UpstreamId) -> int:
        """Returns the slots that an agent announced, 1 if it is unknown."""
        member = self.members.agent(service_id, upstream)
        return 1 if member is None else member.slots

    def least_loaded(
        self, placement: Placement, *, now: float
    ) -> tuple[UpstreamId, float | None] | None:
        """Returns the upstream with the least reported backlog, and a limit.

        Backlogs are compared in relation to the weights. The limit is the
        backlog per slot at which the agent refuses the offer; it lies just
        above the backlog of the next best upstream. It is at least 1, so that
        an agent with a free slot is not busy. With None as the limit, only the
        agent's maximum queue length applies.

        Returns None if no upstream in ``placement.backlogs`` qualifies.
        """
        known = placement.backlogs
        if placement.free_slot_only:
            known = {upstream: load for upstream, load in known.items() if load < 1.0}
        if not known:
            return None
        weights = self.weights(placement, now)
        best = min(
            known, key=lambda upstream: known[upstream] / weights.get(upstream, 1.0)
        )
        if placement.free_slot_only:
            return best, 1.0
        others = [load for upstream, load in known.items() if upstream != best]
        if not others or placement.limited_offers >= self.max_limited_offers:
            return best, None
        slots = self.slots(placement.service_id, best)
        return best, max(1.0, min(others) + 0.5 / slots)
