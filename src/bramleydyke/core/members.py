"""What one process knows of the agents and balancers around it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from bramleydyke.messages import Announcement
from bramleydyke.types import (
    Incarnation,
    MemberState,
    NodeId,
    ServiceId,
    UpstreamId,
    agent_node,
)

_STATE_RANK = {
    MemberState.RUNNING: 0,
    MemberState.SUSPECT: 1,
    MemberState.DRAINING: 2,
    MemberState.STOPPED: 3,
}


def precedence(announcement: Announcement) -> tuple[int, int, int]:
    """Returns the order of announcements about one node; the largest wins.

    The node itself raises its revision to overrule a suspicion by others.
    """
    return (
        announcement.incarnation,
        announcement.revision,
        _STATE_RANK[announcement.state],
    )


@dataclass(slots=True)
class Members:
    """Newest announcement of each node.

    Attributes:
        by_node: Newest announcement of each agent and balancer.
        agents: Upstreams announced for each service.
        changed_at: Time at which this process learned each announcement.
    """

    by_node: dict[NodeId, Announcement] = field(default_factory=dict)
    agents: dict[ServiceId, dict[UpstreamId, NodeId]] = field(default_factory=dict)

    changed_at: dict[NodeId, float] = field(default_factory=dict)

    def merge(self, announcement: Announcement, *, now: float) -> bool:
        """Takes an announcement if it is newer; returns whether it was."""
        known = self.by_node.get(announcement.node_id)
        if known is not None and precedence(known) >= precedence(announcement):
            return False
        self.by_node[announcement.node_id] = announcement
        self.changed_at[announcement.node_id] = now
        if announcement.service_id is not None and announcement.upstream_id is not None:
            service = self.agents.setdefault(announcement.service_id, {})
            service[announcement.upstream_id] = announcement.node_id
        return True

    def observe(self, node_id: NodeId, incarnation: Incarnation) -> None:
        """Notes an incarnation seen in a reply, ahead of its announcement."""
        known = self.by_node.get(node_id)
        if known is not None and incarnation > known.incarnation:
            self.by_node[node_id] = msgspec.structs.replace(
                known,
                incarnation=incarnation,
                revision=-1,
                state=MemberState.RUNNING,
            )

    def agent(
        self, service_id: ServiceId, upstream_id: UpstreamId
    ) -> Announcement | None:
        """Returns the announcement of an upstream's agent."""
        return self.by_node.get(agent_node(service_id, upstream_id))

    def incarnation(self, node_id: NodeId) -> Incarnation:
        """Returns a node's newest incarnation, 0 if it is not known."""
        known = self.by_node.get(node_id)
        return Incarnation(0) if known is None else known.incarnation

    def upstreams(
        self, service_id: ServiceId, *states: MemberState
    ) -> Iterator[UpstreamId]:
        """Yields a service's upstreams whose agents are in given states."""
        for upstream_id, node_id in self.agents.get(service_id, {}).items():
            if self.by_node[node_id].state in states:
                yield upstream_id
