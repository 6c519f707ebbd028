"""Health of upstreams, judged by one balancer from its own requests.

An upstream's own reports may be late or wrong, so the answers and failures
that this balancer observed weigh more. At least ``HEALTH_FLOOR`` of the
upstreams of a service stay in use: when more look unhealthy, the failure
detector is the likelier fault.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import HEALTH_FLOOR
from bramleydyke.core.members import Members
from bramleydyke.errors import ErrorKind
from bramleydyke.types import (
    Incarnation,
    MemberState,
    NodeId,
    ServiceId,
    UpstreamId,
    agent_node,
)

EJECT_FAILURES = 5
"""Consecutive failures after which an upstream is ejected."""

EJECT_SCORE = 0.5
"""Success rate below which an upstream is ejected, from 0 to 1."""

SCORE_WEIGHT = 0.1
"""Weight of the newest outcome in the moving average of the success rate."""

EJECT_S = 10.0
"""Duration of the first ejection; each further one lasts twice as long."""

MAX_EJECT_S = 80.0
"""Longest ejection, and the healthy time that resets the doubling."""

SLOW_START_S = 10.0
"""Time in which a started or returned upstream reaches its full weight."""

SLOW_START_SHARE = 0.1
"""Share of its weight that a started or returned upstream gets at first."""

ANSWER_VALID_S = 3.0
"""Age up to which an answer outweighs a suspicion by other nodes."""


@dataclass(slots=True)
class OutcomeStats:
    """Requests that one balancer sent to one upstream, and how they ended."""

    score: float = 1.0
    """Exponential moving average of the success rate, from 0 to 1."""

    failures: int = 0
    """Failures since the last answer."""

    answered_at: float = -math.inf
    ejected_until: float = -math.inf
    ejections: int = 0
    """Ejections without ``MAX_EJECT_S`` of health since; sets the duration."""

    silent: bool = False
    """True if it was ejected for not replying and has not replied since."""


@dataclass(slots=True)
class HealthView:
    """Outcomes, ejections and slow starts of all upstreams.

    State is kept for each agent. An agent belongs to one partner's service,
    so the partners share no state.

    Attributes:
        members: Announcements of the agents; an agent that replies that it
            drains is marked there, ahead of its announcement.
        outcomes: Outcomes of the requests to each agent.
        starts: Incarnation of each agent and when it was first seen, which
            begins its slow start.
    """

    members: Members
    outcomes: dict[NodeId, OutcomeStats] = field(default_factory=dict)
    starts: dict[NodeId, tuple[Incarnation, float]] = field(default_factory=dict)

    def record_success(self, node_id: NodeId, *, now: float) -> None:
        """Records a request that an upstream answered."""
        stats = self.outcomes.get(node_id)
        if stats is None:
            stats = self.outcomes[node_id] = OutcomeStats()
        stats.failures = 0
        stats.score += (1.0 - stats.score) * SCORE_WEIGHT
        stats.answered_at = now
        self.record_reply(node_id, now=now)
        if now - stats.ejected_until > MAX_EJECT_S:
            stats.ejections = 0

    def record_reply(self, node_id: NodeId, *, now: float) -> None:
        """Records any reply of an agent; it ends an ejection for silence."""
        stats = self.outcomes.get(node_id)
        if stats is not None and stats.silent:
            stats.silent = False
            stats.ejected_until = min(stats.ejected_until, now)

    def record_failure(self, node_id: NodeId, *, now: float) -> None:
        """Records a failed request; too many of them eject the upstream."""
        stats = self.outcomes.setdefault(node_id, OutcomeStats())
        stats.failures += 1
        stats.score -= stats.score * SCORE_WEIGHT
        if stats.failures >= EJECT_FAILURES or stats.score < EJECT_SCORE:
            self._eject(stats, now=now)

    def eject_silent(self, node_id: NodeId, *, now: float) -> None:
        """Ejects an upstream whose agent ignored repeated messages."""
        stats = self.outcomes.setdefault(node_id, OutcomeStats())
        stats.silent = True
        self._eject(stats, now=now)

    def record_refusal(self, node_id: NodeId, kind: ErrorKind, *, now: float) -> None:
        """Records a refusal of a request.

        It counts as a failure only if the upstream failed; a refusal by a
        draining agent marks the agent as draining.
        """
        self.record_reply(node_id, now=now)
        if kind is ErrorKind.DRAINING:
            self.mark_draining(node_id, now=now)
        elif kind in (ErrorKind.UPSTREAM_FAILED, ErrorKind.FLOW_SILENT):
            self.record_failure(node_id, now=now)

    def mark_draining(self, node_id: NodeId, *, now: float) -> None:
        """Marks an agent as draining, ahead of its announcement."""
        known = self.members.by_node.get(node_id)
        if known is not None:
            draining = msgspec.structs.replace(known, state=MemberState.DRAINING)
            self.members.merge(draining, now=now)

    def is_unresponsive(self, node_id: NodeId, *, now: float) -> bool:
        """Returns whether an agent is ejected because it does not reply."""
        stats = self.outcomes.get(node_id)
        return stats is not None and stats.silent and now < stats.ejected_until

    def usable_upstreams(
        self, service_id: ServiceId, *, now: float
    ) -> list[UpstreamId]:
        """Returns the upstreams of a service that may take new work.

        Leaves out draining and unhealthy ones, the worst first, but never more
        than ``HEALTH_FLOOR`` allows.
        """
        present = list(
            self.members.upstreams(service_id, MemberState.RUNNING, MemberState.SUSPECT)
        )
        severities = {
            upstream_id: self._severity(agent_node(service_id, upstream_id), now=now)
            for upstream_id in present
        }
        bad = sorted(
            (upstream_id for upstream_id in present if severities[upstream_id] > 0),
            key=lambda upstream_id: (-severities[upstream_id], upstream_id),
        )
        removable = len(present) - math.ceil(len(present) * HEALTH_FLOOR)
        removed = set(bad[:removable])
        return [upstream_id for upstream_id in present if upstream_id not in removed]

    def weight_factor(self, node_id: NodeId, *, now: float) -> float:
        """Returns the slow start's share of an upstream's weight, 0 to 1."""
        start = max(self._started_at(node_id, now=now), self._returned_at(node_id, now))
        return min(
            1.0,
            SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * (now - start) / SLOW_START_S,
        )

    def _eject(self, stats: OutcomeStats, *, now: float) -> None:
        """Starts an ejection, unless one is running."""
        if now < stats.ejected_until:
            return
        stats.ejected_until = now + min(MAX_EJECT_S, EJECT_S * 2.0**stats.ejections)
        stats.ejections += 1
        stats.failures = 0
        stats.score = 1.0

    def _severity(self, node_id: NodeId, *, now: float) -> int:
        """Returns 0 for a healthy agent, up to 3 for one that is silent."""
        stats = self.outcomes.get(node_id, _NO_OUTCOMES)
        if now < stats.ejected_until:
            return 3 if stats.silent else 2
        suspect = self.members.by_node[node_id].state is MemberState.SUSPECT
        return int(suspect and now - stats.answered_at > ANSWER_VALID_S)

    def _started_at(self, node_id: NodeId, *, now: float) -> float:
        incarnation = self.members.incarnation(node_id)
        known = self.starts.get(node_id)
        if known is None or known[0] != incarnation:
            known = self.starts[node_id] = (incarnation, now)
        return known[1]

    def _returned_at(self, node_id: NodeId, now: float) -> float:
        until = self.outcomes.get(node_id, _NO_OUTCOMES).ejected_until
        return min(until, now)


_NO_OUTCOMES = OutcomeStats()
