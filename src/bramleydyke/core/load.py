"""Estimates of the agents' backlogs, by which a placer orders the agents."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from bramleydyke.constants import LOAD_DECAY_S
from bramleydyke.types import NodeId


@dataclass(slots=True)
class _Report:
    backlog: float
    reported_at: float


@dataclass(slots=True)
class LoadView:
    """Backlog estimates of one placer.

    An estimate is the larger of two values: the newest reported backlog, which
    decays with its age, and the placer's own requests at the agent per slot.

    Attributes:
        decay_s: Time constant of the decay, in seconds.
        reports: Newest backlog per slot reported by each agent.
        in_flight: Number of offers of this placer that each agent holds.
        unresponsive: Agents with an unanswered offer since their last report.
        unconfirmed: Number of offers in flight that each agent has not
            accepted yet; its reported backlog may not include them.
    """

    decay_s: float = LOAD_DECAY_S
    reports: dict[NodeId, _Report] = field(default_factory=dict)
    in_flight: dict[NodeId, int] = field(default_factory=dict)
    unresponsive: set[NodeId] = field(default_factory=set)
    unconfirmed: Counter[NodeId] = field(default_factory=Counter)

    def record_report(self, node_id: NodeId, backlog: float, *, now: float) -> None:
        """Stores the backlog per slot that an agent reported."""
        self.reports[node_id] = _Report(backlog, now)
        self.unresponsive.discard(node_id)

    def offer_started(self, node_id: NodeId) -> None:
        """Counts a new offer to an agent."""
        self.in_flight[node_id] = self.in_flight.get(node_id, 0) + 1
        self.unconfirmed[node_id] += 1

    def offer_confirmed(self, node_id: NodeId) -> None:
        """Removes an offer from the number of unconfirmed offers.

        Called when the agent accepts the offer, or when the offer ends without
        an acceptance.
        """
        self.unconfirmed[node_id] -= 1

    def offer_ended(self, node_id: NodeId) -> None:
        """Removes an offer that the agent no longer holds."""
        left = self.in_flight.get(node_id, 0) - 1
        if left > 0:
            self.in_flight[node_id] = left
        else:
            self.in_flight.pop(node_id, None)

    def estimate(self, node_id: NodeId, *, slots: int, now: float) -> float:
        """Returns the estimated backlog per slot of an agent."""
        own = self.in_flight.get(node_id, 0) / slots
        report = self.reports.get(node_id)
        if report is None:
            return own
        decay = math.exp(-(now - report.reported_at) / self.decay_s)
        return max(own, report.backlog * decay)
