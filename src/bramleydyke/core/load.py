"""A placer's estimate of each agent's backlog."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from bramleydyke.constants import LOAD_DECAY_S
from bramleydyke.types import NodeId


@dataclass(slots=True)
class _Report:
    backlog: float
    at: float


@dataclass(slots=True)
class LoadView:
    """Backlogs told in replies, discounted by age, plus own work in flight.

    Attributes:
        reports: Last backlog per slot that each agent told.
        in_flight: Offers of this placer that the agent holds.
        silent: Agents that left an offer unanswered since their last report.
        unconfirmed: Those of them that the agent has not replied to, which
            its reports need not include.
    """

    decay_s: float = LOAD_DECAY_S
    reports: dict[NodeId, _Report] = field(default_factory=dict)
    in_flight: dict[NodeId, int] = field(default_factory=dict)
    silent: set[NodeId] = field(default_factory=set)
    unconfirmed: Counter[NodeId] = field(default_factory=Counter)

    def report(self, node_id: NodeId, backlog: float, *, now: float) -> None:
        """Notes a backlog per slot that an agent told."""
        self.reports[node_id] = _Report(backlog, now)
        self.silent.discard(node_id)

    def started(self, node_id: NodeId) -> None:
        """Counts an offer that is now at an agent."""
        self.in_flight[node_id] = self.in_flight.get(node_id, 0) + 1
        self.unconfirmed[node_id] += 1

    def confirmed(self, node_id: NodeId) -> None:
        """Notes that an agent has replied to an offer."""
        self.unconfirmed[node_id] -= 1

    def ended(self, node_id: NodeId) -> None:
        """Counts an offer that has left an agent."""
        left = self.in_flight.get(node_id, 0) - 1
        if left > 0:
            self.in_flight[node_id] = left
        else:
            self.in_flight.pop(node_id, None)

    def estimate(self, node_id: NodeId, *, slots: int, now: float) -> float:
        """Returns the expected backlog per slot."""
        own = self.in_flight.get(node_id, 0) / slots
        report = self.reports.get(node_id)
        if report is None:
            return own
        fresh = math.exp(-(now - report.at) / self.decay_s)
        return max(own, report.backlog * fresh)
