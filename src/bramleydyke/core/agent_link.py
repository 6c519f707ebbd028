"""Control plane of an agent: home balancers, configuration and drain."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from bramleydyke.constants import DRAINED_HEARTBEATS
from bramleydyke.core.config import ConfigDelta, ConfigStore
from bramleydyke.core.config_parts import ConfigReceiver
from bramleydyke.core.drain import DrainState
from bramleydyke.core.heartbeat_client import HeartbeatClient
from bramleydyke.core.members import ABSENT_STATES, Members
from bramleydyke.messages import (
    Announcement,
    DrainOrder,
    Envelope,
    Heartbeat,
    HeartbeatReply,
    MemberDelta,
    SetDrain,
)
from bramleydyke.types import Generation, Incarnation, MemberState, NodeId

UNLISTED_RETENTION_S = 30.0
"""Time after its last change for which an unlisted member is kept.

A member is unlisted if a home balancer's complete list does not contain it.
"""


PeerAnnouncedCallback = Callable[[Announcement, Incarnation, float], list[Envelope]]
"""Handles a newer announcement of another agent.

The arguments are the announcement, the incarnation that was known before it,
and the current time.
"""


class AgentLink:
    """Exchanges state with the home balancers of an agent.

    Attributes:
        on_peer_announced: Called for a newer announcement of another agent.
        idle: Returns whether the agent has no work in progress.
        idle_heartbeats: Number of consecutive heartbeats at which the agent
            was draining and had no work in progress.
        config: Configuration of the agent's service.
        members: Nodes that the agent knows.
        heartbeat_client: Sends heartbeats and announcements.
        receiver: Assembles and applies configuration deltas.
        drain: Tracks whether the agent has to drain.
    """

    def __init__(
        self,
        *,
        announcement: Announcement,
        config: ConfigStore,
        members: Members,
        seeds: Iterable[NodeId],
        random_source: random.Random,
        on_peer_announced: PeerAnnouncedCallback,
        idle: Callable[[], bool],
        now: float,
    ) -> None:
        self.on_peer_announced = on_peer_announced
        self.idle = idle
        self.idle_heartbeats = 0
        self.config = config
        self.members = members
        self.heartbeat_client = HeartbeatClient(
            announcement=announcement,
            members=members,
            seeds=list(seeds),
            heartbeat=self._heartbeat,
            random_source=random_source,
        )
        self.receiver = ConfigReceiver(
            node_id=announcement.node_id,
            config=config,
            service_id=announcement.service_id,
        )
        self.drain = DrainState(
            node_id=announcement.node_id, incarnation=announcement.incarnation
        )
        members.merge(announcement, now=now)

    def replied(
        self, sender: NodeId, reply: HeartbeatReply, *, now: float
    ) -> list[Envelope]:
        """Handles a heartbeat reply; requests a newer configuration if any."""
        out = self.heartbeat_client.replied(sender, reply, now=now)
        partner_id = self.heartbeat_client.announcement.partner_id
        assert partner_id is not None
        if reply.generation > self.config.generation(partner_id):
            out.append(self.receiver.request(partner_id, sender))
        return out

    def apply_delta(
        self, sender: NodeId, delta: ConfigDelta, *, now: float
    ) -> list[Envelope]:
        """Applies a configuration delta; ignores those of other partners."""
        if delta.partner_id != self.heartbeat_client.announcement.partner_id:
            return []
        return self.receiver.apply_delta(sender, delta, now=now)[1]

    def announcement_received(
        self, announcement: Announcement, *, now: float
    ) -> list[Envelope]:
        """Handles an announcement of this agent or of another node.

        Agents of other services are ignored.
        """
        own = self.heartbeat_client.announcement
        if announcement.node_id == own.node_id:
            return self.heartbeat_client.refute(announcement, now=now)
        if announcement.service_id not in (None, own.service_id):
            return []
        previous = self.members.incarnation(announcement.node_id)
        merged = self.members.merge(announcement, now=now)
        if not merged or announcement.upstream_id is None:
            return []
        return self.on_peer_announced(announcement, previous, now)

    def members_received(self, delta: MemberDelta, *, now: float) -> list[Envelope]:
        """Handles a list of members from a home balancer.

        A complete list also removes members that it does not contain.
        """
        out = [
            envelope
            for item in delta.announcements
            for envelope in self.announcement_received(item, now=now)
        ]
        if delta.complete:
            self._drop_unlisted({item.node_id for item in delta.announcements}, now=now)
        return out

    def set_drain(self, message: SetDrain, *, now: float) -> list[Envelope]:
        """Starts or ends a drain on a signal or local command."""
        self.drain.stopping = message.draining
        return self._drain_changed(now=now)

    def drain_ordered(
        self, sender: NodeId, order: DrainOrder, *, now: float
    ) -> list[Envelope]:
        """Applies and acknowledges an operator's drain order."""
        return self.drain.order(sender, order) + self._drain_changed(now=now)

    def stop(self, *, now: float) -> list[Envelope]:
        """Announces that the agent is stopping."""
        return self.heartbeat_client.set_state(MemberState.STOPPED, now=now)

    def _drain_changed(self, *, now: float) -> list[Envelope]:
        if self.drain.state is self.heartbeat_client.announcement.state:
            return []
        return self.heartbeat_client.set_state(self.drain.state, now=now)

    def _heartbeat(self, announcement: Announcement) -> Heartbeat:
        partner_id, service_id = announcement.partner_id, announcement.service_id
        assert partner_id is not None and service_id is not None
        idle_while_draining = self.drain.draining and self.idle()
        self.idle_heartbeats = self.idle_heartbeats + 1 if idle_while_draining else 0
        return Heartbeat(
            incarnation=announcement.incarnation,
            revision=announcement.revision,
            view=self.members.members_for_agent(service_id, announcement.zone)[0],
            partner_id=partner_id,
            generation=Generation(self.config.generation(partner_id)),
            drained=self.idle_heartbeats >= DRAINED_HEARTBEATS,
        )

    def _drop_unlisted(self, listed: set[NodeId], *, now: float) -> None:
        """Removes members that a complete list does not contain.

        Members that changed within the last ``UNLISTED_RETENTION_S`` are kept:
        the home balancer may not know of them yet.
        """
        own_id = self.heartbeat_client.announcement.node_id
        unlisted = [
            node_id
            for node_id, known in self.members.by_node.items()
            if node_id not in listed
            and node_id != own_id
            and known.state not in ABSENT_STATES
            and now - self.members.changed_at[node_id] > UNLISTED_RETENTION_S
        ]
        for node_id in unlisted:
            self.members.forget(node_id)
