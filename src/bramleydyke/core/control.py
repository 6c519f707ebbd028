"""The control plane of a balancer: configuration, members, leases, status."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from bramleydyke.core.config import (
    ConfigDelta,
    ConfigStore,
    PartnerConfig,
    full_delta,
)
from bramleydyke.core.credentials import Credentials
from bramleydyke.core.dissemination import Dissemination
from bramleydyke.core.drain import DrainState
from bramleydyke.core.members import Members
from bramleydyke.core.membership import Membership
from bramleydyke.core.status_writer import StatusWriter
from bramleydyke.core.watcher import Watcher
from bramleydyke.messages import (
    Announcement,
    ConfigDigest,
    DeltaRequest,
    DrainAck,
    DrainOrder,
    Envelope,
    Heartbeat,
    HeartbeatReply,
    MemberDelta,
    MemberDigest,
    MemberSummary,
    PlatformReply,
    SetDrain,
    StatusQuery,
    StatusReply,
    SuspectQuery,
    SuspectReply,
)
from bramleydyke.types import LOCAL_PLATFORM, Generation, MemberState, NodeId, PartnerId

Handler = Callable[[NodeId, Any, float], list[Envelope]]
"""Called with the sender, the payload and the time."""


class Control:
    """Dispatches control messages and timers within the control plane.

    Attributes:
        config: Configuration in force at this balancer.
        membership: Heartbeats, gossip and failure detection.
        dissemination: Exchanges the configuration with other balancers.
        watcher: Zone leases, and watches on the platform's objects.
        status: Writes the zone's status object.
        drain: Whether this balancer drains, and which requests ask for it.
    """

    def __init__(
        self,
        *,
        announcement: Announcement,
        config: ConfigStore,
        members: Members,
        seeds: Iterable[NodeId],
        credentials: Credentials | None,
        partners: Iterable[PartnerId],
        random_source: random.Random,
    ) -> None:
        partners = list(partners)
        self.config = config
        self.membership = Membership(
            announcement=announcement,
            members=members,
            seeds=list(seeds),
            credentials=credentials,
            random_source=random_source,
        )
        self.dissemination = Dissemination(
            node_id=announcement.node_id,
            config=config,
            peers=self.membership.peers.gossip_targets,
        )
        self.watcher = Watcher(
            own=announcement,
            members=members,
            partners=partners,
            new_config=self._new_config,
            random_source=random_source,
        )
        self.status = StatusWriter(
            membership=self.membership,
            config=config,
            watcher=self.watcher,
            partners=partners,
        )
        self.drain = DrainState(
            node_id=announcement.node_id, incarnation=announcement.incarnation
        )

    def handlers(self) -> dict[type, Handler]:
        """Returns the handler of each control message type."""
        membership, gossip = self.membership, self.membership.gossip
        suspicion, watcher = self.membership.suspicion, self.watcher
        return {
            ConfigDelta: self._apply_delta,
            ConfigDigest: lambda who, msg, now: self.dissemination.handle_digest(
                who, msg, now=now
            ),
            DeltaRequest: lambda who, msg, _: self.dissemination.handle_request(
                who, msg
            ),
            Announcement: lambda who, msg, now: membership.handle_announcement(
                who, msg, now=now
            ),
            Heartbeat: self._heartbeat,
            HeartbeatReply: lambda who, msg, now: membership.link.replied(
                who, msg, now=now
            ),
            MemberDigest: lambda who, msg, _: gossip.handle_digest(who, msg),
            MemberSummary: lambda who, msg, _: gossip.handle_summary(who, msg),
            MemberDelta: lambda who, msg, now: membership.handle_delta(
                who, msg, now=now
            ),
            SuspectQuery: lambda who, msg, now: suspicion.handle_query(
                who, msg, now=now
            ),
            SuspectReply: self._suspect_reply,
            PlatformReply: self._platform_reply,
            DrainOrder: self._drain_order,
            DrainAck: lambda who, msg, _: watcher.handle_drain_ack(who, msg),
            SetDrain: self._set_drain,
            StatusQuery: lambda who, msg, _: self.status.handle_query(who, msg),
            StatusReply: lambda who, msg, _: self.status.handle_reply(who, msg),
        }

    def wake(self, *, now: float) -> list[Envelope]:
        """Runs all due timers; returns the messages to send."""
        out = self.membership.wake(now=now)
        for peer in self.membership.due_exchange_peers(now=now):
            out.append(self.dissemination.digest(peer))
            out.append(self.membership.gossip.digest(peer))
        out += self.dissemination.wake(now=now)
        out += self.watcher.wake(now=now)
        return out + self.status.wake(now=now)

    def next_wakeup(self, now: float) -> float:
        """Returns the time of the next due ``wake``, in seconds."""
        times = (
            self.membership.next_wakeup(),
            self.dissemination.next_wakeup(),
            self.watcher.next_wakeup(now),
            self.status.next_wakeup(now),
        )
        return min(at for at in times if at is not None)

    def stop(self, *, now: float) -> list[Envelope]:
        """Announces a clean stop and releases any held lease."""
        return self._change_state(MemberState.STOPPED, now=now)

    def _new_config(self, config: PartnerConfig, now: float) -> list[Envelope]:
        node_id = self.membership.announcement.node_id
        return self._apply_delta(node_id, full_delta(config), now)

    def _apply_delta(
        self, sender: NodeId, delta: ConfigDelta, now: float
    ) -> list[Envelope]:
        """Applies a delta; notifies peers and agents if it is newer."""
        before = self.config.generation(delta.partner_id)
        out = self.dissemination.take(sender, delta, now=now)
        generation = self.config.generation(delta.partner_id)
        if generation == before:
            return out
        return out + self.membership.notify_agents(delta.partner_id, generation)

    def _platform_reply(
        self, sender: NodeId, reply: PlatformReply, now: float
    ) -> list[Envelope]:
        """Handles a reply of the platform; ignores one from another node."""
        if sender != LOCAL_PLATFORM:
            return []
        return self.watcher.calls.replied(reply, now=now)

    def _heartbeat(
        self, sender: NodeId, message: Heartbeat, now: float
    ) -> list[Envelope]:
        partner_id = message.partner_id
        generation = Generation(0)
        if partner_id is not None:
            generation = self.config.generation(partner_id)
        return self.membership.handle_heartbeat(
            sender, message, generation=generation, now=now
        )

    def _suspect_reply(
        self, sender: NodeId, reply: SuspectReply, now: float
    ) -> list[Envelope]:
        self.membership.handle_suspect_reply(sender, reply, now=now)
        return []

    def _set_drain(self, _: NodeId, message: SetDrain, now: float) -> list[Envelope]:
        self.drain.stopping = message.draining
        return self._apply_drain_state(now=now)

    def _drain_order(
        self, sender: NodeId, order: DrainOrder, now: float
    ) -> list[Envelope]:
        return self.drain.order(sender, order) + self._apply_drain_state(now=now)

    def _apply_drain_state(self, *, now: float) -> list[Envelope]:
        return self._change_state(self.drain.state, now=now)

    def _change_state(self, state: MemberState, *, now: float) -> list[Envelope]:
        """Announces a new state; only a running balancer holds a lease."""
        if state is self.membership.link.announcement.state:
            return []
        self.watcher.enabled = state is MemberState.RUNNING
        self.watcher.check_at = now
        out = self.membership.change_state(state, now=now)
        return out + self.watcher.wake(now=now)
