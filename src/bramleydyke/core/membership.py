"""Membership as a balancer keeps it: heartbeats, spread, suspicion."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from bramleydyke.constants import (
    ANTI_ENTROPY_S,
    FANOUT,
    HEARTBEAT_S,
    MEMBER_RETENTION_S,
    VIEW_RESEND_S,
)
from bramleydyke.core.credentials import Credentials
from bramleydyke.core.home_link import HomeLink
from bramleydyke.core.member_spread import MemberGossip, member_deltas
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
"""Interval at which members that have been gone for long are removed."""


def balancer_heartbeat(announcement: Announcement) -> Heartbeat:
    """Returns the heartbeat of a balancer."""
    return Heartbeat(
        incarnation=announcement.incarnation, revision=announcement.revision
    )


def _heartbeat_reply(
    known: Announcement | None, generation: Generation
) -> HeartbeatReply:
    """Returns what a node is told of itself."""
    return HeartbeatReply(
        incarnation=Incarnation(0) if known is None else known.incarnation,
        revision=0 if known is None else known.revision,
        state=None if known is None else known.state,
        generation=generation,
    )


@dataclass(slots=True)
class _SentView:
    view: int
    at: float
    complete: bool

    def suppresses_resend(self, view: int, now: float) -> bool:
        """Tells whether it is too early to tell the same view again."""
        wait = VIEW_RESEND_S if self.complete else HEARTBEAT_S / 2
        return view == self.view and now - self.at < wait


@dataclass(slots=True, kw_only=True)
class Membership:
    """Members as one balancer knows and spreads them.

    Attributes:
        link: Announces this balancer to its own homes.
        gossip: Exchange of announcements with other balancers.
        suspicion: Nodes that this balancer is a home of.
        generations: Generation that each agent said it holds.
        drained: Agents that drain and have said that no work is left.
        sent_views: View that each agent was told last.
    """

    announcement: Announcement
    members: Members
    seeds: list[NodeId]
    credentials: Credentials | None
    random_source: random.Random
    peers: Peers = field(init=False)
    link: HomeLink = field(init=False)
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
        self.link = HomeLink(
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
        out = self.link.change(state, now=now)
        own = self.link.announcement
        return out + [
            envelope
            for peer in self.peers.gossip_targets(FANOUT)
            for envelope in member_deltas(own.node_id, peer, [own])
        ]

    def handle_announcement(
        self, sender: NodeId, announcement: Announcement, *, now: float
    ) -> list[Envelope]:
        """Takes a process's own announcement."""
        if announcement.node_id == self.announcement.node_id:
            return []
        out = self.gossip.accept(announcement, now)
        if self.members.by_node.get(sender) == announcement:
            self.suspicion.record_contact(sender, now=now)
        return out

    def handle_delta(
        self, sender: NodeId, delta: MemberDelta, *, now: float
    ) -> list[Envelope]:
        """Takes a peer's announcements, refutes those about this process."""
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
        """Answers a heartbeat with what this balancer knows of the sender.

        Args:
            sender: Agent or balancer.
            message: Its heartbeat.
            generation: Of the sender's partner at this balancer.
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
        """Tells the agents of a partner that a generation is in force here."""
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
        """Tells an agent the members that concern it, if it holds others.

        An agent that was told an earlier view first gets what has changed
        since, and all of it if that is not enough.
        """
        assert agent.service_id is not None
        view, concerning = self.members.concerning(agent.service_id, agent.zone)
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
        """Takes the other home's reply to a suspicion."""
        self.suspicion.handle_reply(sender, reply, now=now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Sends heartbeats, news and digests, and checks for silence."""
        out = self.link.wake(now=now) + self.gossip.wake(now=now)
        if self.check_at is None or now >= self.check_at:
            self.check_at = now + HEARTBEAT_S
            out += self.suspicion.check(now=now)
        if now >= self.forget_at:
            self.forget_at = now + FORGET_INTERVAL_S
            self._forget_absent(now=now)
        return out

    def next_wakeup(self) -> float:
        """Returns when ``wake`` has something to do."""
        times = (
            self.link.heartbeat_at,
            self.check_at,
            self.exchange_at,
            self.gossip.flush_at,
        )
        return min(at for at in times if at is not None)

    def due_exchange_peers(self, *, now: float) -> list[NodeId]:
        """Returns the peer to compare states with, if it is time to."""
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
        self.members.forget_gone(before=now - MEMBER_RETENTION_S)
        watched = self.suspicion.other_homes
        self.drained &= watched.keys()
        for table in (self.generations, self.sent_views):
            for node_id in table.keys() - watched.keys():
                del table[node_id]
