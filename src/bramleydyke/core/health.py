"""Health of upstreams, as one balancer observes it from its own requests.

Reports of an upstream may be late or wrong, so the answers and failures that
this balancer observes take precedence. At least the fraction ``HEALTH_FLOOR``
of a service's upstreams stays in use: when more look unhealthy, a fault of the
failure detector is more likely.
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
"""Maximum ejection time; the doubling is reset after as long without one."""

SLOW_START_S = 10.0
"""Time after a start or an ejection until an upstream has full weight."""

SLOW_START_FRACTION = 0.1
"""Fraction of its weight that an upstream starts with in slow start."""

ANSWER_VALID_S = 3.0
"""Maximum age of an answer that overrides a suspicion by other nodes."""


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
    """Consecutive ejections; determines the duration of the next one.

    Reset by a success more than ``MAX_EJECT_S`` after the last ejection.
    """

    silent: bool = False
    """True if the agent was ejected for silence and has not replied since."""


@dataclass(slots=True)
class HealthView:
    """Outcomes, ejections and slow starts of all upstreams.

    State is kept per agent. An agent belongs to one partner's service, so
    partners share no state.

    Attributes:
        members: Announcements of the agents. An agent whose reply says that
            it drains is marked there before its announcement arrives.
        outcomes: Outcomes of the requests to each agent.
        starts: Incarnation of each agent, and the time when the incarnation
            was first seen, at which its slow start begins.
    """

    members: Members
    outcomes: dict[NodeId, OutcomeStats] = field(default_factory=dict)
    starts: dict[NodeId, tuple[Incarnation, float]] = field(default_factory=dict)

    def record_success(self, node_id: NodeId, *, now: float) -> None:
        """Records that an upstream answered a request."""
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
        """Records a reply of an agent, which ends an ejection for silence."""
        stats = self.outcomes.get(node_id)
        if stats is not None and stats.silent:
            stats.silent = False
            stats.ejected_until = min(stats.ejected_until, now)

    def record_failure(self, node_id: NodeId, *, now: float) -> None:
        """Records a failed request; ejects the upstream after too many."""
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

        A refusal counts as a failure only if its reason is a failure of the
        upstream. A refusal because of a drain marks the agent as draining.
        """
        self.record_reply(node_id, now=now)
        if kind is ErrorKind.DRAINING:
            self.mark_draining(node_id, now=now)
        elif kind in (ErrorKind.UPSTREAM_FAILED, ErrorKind.FLOW_SILENT):
            self.record_failure(node_id, now=now)

    def mark_draining(self, node_id: NodeId, *, now: float) -> None:
        """Marks an agent as draining before its announcement arrives."""
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

        Omits draining upstreams, and unhealthy ones as far as ``HEALTH_FLOOR``
        allows, the least healthy first.
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
        """Returns the slow-start factor of an upstream's weight, up to 1."""
        start = max(self._started_at(node_id, now=now), self._returned_at(node_id, now))
        return min(
            1.0,
            SLOW_START_FRACTION
            + (1.0 - SLOW_START_FRACTION) * (now - start) / SLOW_START_S,
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
        """Returns how unhealthy an agent is.

        0: healthy, 1: suspected, 2: ejected for failures, 3: for silence.
        """
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
