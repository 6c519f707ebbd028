"""Membership of a balancer: heartbeats, gossip and failure detection.

Every agent and balancer announces itself to a few home balancers and sends
them heartbeats. Balancers gossip the announcements to each other, and home
balancers detect nodes that have fallen silent.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from bramleydyke.constants import (
    ANTI_ENTROPY_S,
    CHANGE_FANOUT,
    HEARTBEAT_S,
    MEMBER_RETENTION_S,
    VIEW_RESEND_S,
)
from bramleydyke.core.credentials import Credentials
from bramleydyke.core.heartbeat_client import HeartbeatClient
from bramleydyke.core.member_gossip import MemberGossip, member_deltas
from bramleydyke.core.members import Members
from bramleydyke.core.peers import Peers
from bramleydyke.core.suspicion import SuspicionDetector
from bramleydyke.messages import (
    Announcement,
    Envelope,
    Heartbeat,
    HeartbeatReply,
    MemberDelta,
    SuspectReply,
)
from bramleydyke.types import Generation, Incarnation, MemberState, NodeId, PartnerId

FORGET_INTERVAL_S = 30.0
"""Interval between checks for nodes absent for ``MEMBER_RETENTION_S``."""


def balancer_heartbeat(announcement: Announcement) -> Heartbeat:
    """Returns a balancer's heartbeat.

    An agent's heartbeat also names its partner, generation and member view.
    """
    return Heartbeat(
        incarnation=announcement.incarnation, revision=announcement.revision
    )


def _heartbeat_reply(
    known: Announcement | None, generation: Generation
) -> HeartbeatReply:
    """Returns the reply to a heartbeat.

    Args:
        known: Newest announcement of the sender here, if any. The sender
            compares it with its own state to notice a lost announcement.
        generation: Configuration generation of the sender's partner here.
    """
    return HeartbeatReply(
        incarnation=Incarnation(0) if known is None else known.incarnation,
        revision=0 if known is None else known.revision,
        state=None if known is None else known.state,
        generation=generation,
    )


@dataclass(slots=True)
class _SentView:
    """Member view that was last sent to an agent, and the time.

    A view is the hash of the members that the agent needs.
    """

    view: int
    at: float
    complete: bool

    def suppresses_resend(self, view: int, now: float) -> bool:
        """Returns whether ``view`` was sent too recently to send it again."""
        wait = VIEW_RESEND_S if self.complete else HEARTBEAT_S / 2
        return view == self.view and now - self.at < wait


@dataclass(slots=True, kw_only=True)
class Membership:
    """Combines the membership protocols of one balancer.

    Attributes:
        announcement: The announcement with which this balancer started.
        members: Newest announcement of each known node.
        link: Announces this balancer to its own home balancers.
        gossip: Exchanges announcements with other balancers.
        suspicion: Detects silent nodes among those this balancer monitors.
        generations: Partner and generation from each agent's last heartbeat.
        drained: Draining agents that have no work left, according to their
            last heartbeat.
        sent_views: Member view that was last sent to each agent.
        check_at: When to check for silent nodes, in seconds.
        exchange_at: When to exchange digests with a peer, in seconds.
        forget_at: When to remove absent nodes, in seconds.
    """

    announcement: Announcement
    members: Members
    seeds: list[NodeId]
    credentials: Credentials | None
    random_source: random.Random
    peers: Peers = field(init=False)
    link: HeartbeatClient = field(init=False)
    gossip: MemberGossip = field(init=False)
    suspicion: SuspicionDetector = field(init=False)
    generations: dict[NodeId, tuple[PartnerId, Generation]] = field(
        default_factory=dict
    )
    drained: set[NodeId] = field(default_factory=set)
    sent_views: dict[NodeId, _SentView] = field(default_factory=dict)
    check_at: float | None = None
    exchange_at: float | None = None
    forget_at: float = 0.0

    def __post_init__(self) -> None:
        node_id = self.announcement.node_id
        self.members.merge(self.announcement, now=0.0)
        self.peers = Peers(
            node_id=node_id,
            members=self.members,
            seeds=self.seeds,
            random_source=self.random_source,
        )
        self.link = HeartbeatClient(
            announcement=self.announcement,
            members=self.members,
            seeds=self.seeds,
            heartbeat=balancer_heartbeat,
            random_source=self.random_source,
        )
        self.gossip = MemberGossip(
            node_id=node_id,
            members=self.members,
            peers=self.peers,
            credentials=self.credentials,
        )
        self.suspicion = SuspicionDetector(
            node_id=node_id,
            members=self.members,
            homes=self.link.home_map,
            publish=self.gossip.accept,
        )

    def change_state(self, state: MemberState, *, now: float) -> list[Envelope]:
        """Announces a new state of this balancer to its homes and peers."""
        out = self.link.set_state(state, now=now)
        own = self.link.announcement
        return out + [
            envelope
            for peer in self.peers.gossip_targets(CHANGE_FANOUT)
            for envelope in member_deltas(own.node_id, peer, [own])
        ]

    def handle_announcement(
        self, sender: NodeId, announcement: Announcement, *, now: float
    ) -> list[Envelope]:
        """Stores an announcement that a process sent of itself.

        An announcement about this balancer is ignored.
        """
        if announcement.node_id == self.announcement.node_id:
            return []
        out = self.gossip.accept(announcement, now)
        if self.members.by_node.get(sender) == announcement:
            self.suspicion.record_contact(sender, now=now)
        return out

    def handle_delta(
        self, sender: NodeId, delta: MemberDelta, *, now: float
    ) -> list[Envelope]:
        """Stores a peer's announcements; refutes those about this balancer."""
        own_id = self.announcement.node_id
        out = [
            envelope
            for item in delta.announcements
            if item.node_id == own_id
            for envelope in self._refute(item, now=now)
        ]
        return out + self.gossip.handle_delta(sender, delta, now)

    def handle_heartbeat(
        self,
        sender: NodeId,
        message: Heartbeat,
        *,
        generation: Generation,
        now: float,
    ) -> list[Envelope]:
        """Replies to a heartbeat with the sender's state as known here.

        An agent also gets the members that it needs, if its view differs.

        Args:
            sender: Agent or balancer that sent the heartbeat.
            message: The heartbeat.
            generation: Configuration generation of the sender's partner here.
            now: Time in seconds.
        """
        known = self.members.by_node.get(sender)
        reply = _heartbeat_reply(known, generation)
        out = [Envelope(self.announcement.node_id, sender, reply)]
        if known is None or known.incarnation > message.incarnation:
            return out
        self.suspicion.record_contact(sender, now=now)
        if known.service_id is None or message.partner_id != known.partner_id:
            return out
        assert message.partner_id is not None
        self.generations[sender] = (message.partner_id, message.generation)
        self.drained.discard(sender)
        if message.drained:
            self.drained.add(sender)
        return out + self._view_update(known, message.view, now=now)

    def notify_agents(
        self, partner_id: PartnerId, generation: Generation
    ) -> list[Envelope]:
        """Notifies a partner's agents with an older generation of a new one.

        The agents then request the changes without waiting for the reply to
        their next heartbeat.
        """
        own_id = self.announcement.node_id
        return [
            Envelope(
                own_id,
                node_id,
                _heartbeat_reply(self.members.by_node[node_id], generation),
            )
            for node_id, (partner, held) in self.generations.items()
            if partner == partner_id
            and held < generation
            and node_id in self.members.by_node
        ]

    def _view_update(
        self, agent: Announcement, theirs: int, *, now: float
    ) -> list[Envelope]:
        """Sends an agent the members that it needs, if its view differs.

        An agent that got an earlier view first gets only the recent changes.
        If its view still differs after that, it gets all members.

        Args:
            agent: The agent's announcement.
            theirs: View in the agent's heartbeat.
            now: Time in seconds.
        """
        assert agent.service_id is not None
        view, concerning = self.members.members_for_agent(agent.service_id, agent.zone)
        last_sent = self.sent_views.get(agent.node_id)
        if view == theirs:
            self.sent_views[agent.node_id] = _SentView(view, now, complete=False)
            return []
        if last_sent is not None and last_sent.suppresses_resend(view, now):
            return []
        recent = [
            item
            for item in concerning
            if now - self.members.changed_at[item.node_id] < VIEW_RESEND_S
        ]
        complete = last_sent is None or last_sent.view == view or not recent
        self.sent_views[agent.node_id] = _SentView(view, now, complete)
        return member_deltas(
            self.announcement.node_id,
            agent.node_id,
            concerning if complete else recent,
            complete=complete,
        )

    def handle_suspect_reply(
        self, sender: NodeId, reply: SuspectReply, *, now: float
    ) -> None:
        """Handles the other home's reply to a query about a silent node."""
        self.suspicion.handle_reply(sender, reply, now=now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Sends due heartbeats and gossip, and checks for silent nodes."""
        out = self.link.wake(now=now) + self.gossip.wake(now=now)
        if self.check_at is None or now >= self.check_at:
            self.check_at = now + HEARTBEAT_S
            out += self.suspicion.check(now=now)
        if now >= self.forget_at:
            self.forget_at = now + FORGET_INTERVAL_S
            self._forget_absent(now=now)
        return out

    def next_wakeup(self) -> float:
        """Returns the time of the next due ``wake``, in seconds."""
        times = (
            self.link.heartbeat_at,
            self.check_at,
            self.exchange_at,
            self.gossip.flush_at,
        )
        return min(at for at in times if at is not None)

    def due_exchange_peers(self, *, now: float) -> list[NodeId]:
        """Returns the peer to exchange digests with; empty if none is due.

        The first call returns a peer at once. The second exchange is due
        after a random time, so that balancers that were started together do
        not exchange digests in lockstep.
        """
        if self.exchange_at is None:
            self.exchange_at = now + self.random_source.uniform(0.0, ANTI_ENTROPY_S)
            return self.peers.gossip_targets(1)
        if now < self.exchange_at:
            return []
        self.exchange_at = now + ANTI_ENTROPY_S
        return self.peers.exchange_target()

    def _refute(self, claim: Announcement, *, now: float) -> list[Envelope]:
        before = self.link.announcement
        out = self.link.refute(claim, now=now)
        if self.link.announcement is not before:
            self.gossip.enqueue(self.link.announcement.node_id, now=now)
        return out

    def _forget_absent(self, *, now: float) -> None:
        self.members.remove_absent(before=now - MEMBER_RETENTION_S)
        watched = self.suspicion.other_homes
        self.drained &= watched.keys()
        for table in (self.generations, self.sent_views):
            for node_id in table.keys() - watched.keys():
                del table[node_id]
