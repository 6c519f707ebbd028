"""Announcements and heartbeats of a process to its home balancers.

Each agent and balancer has ``HOME_BALANCERS_PER_NODE`` home balancers, which
reply to its heartbeats, distribute its announcement and detect its failure.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import (
    HEARTBEAT_S,
    HOME_BALANCERS_PER_NODE,
    HOME_REPLACEMENT_S,
    HOME_SILENT_S,
)
from bramleydyke.core.homes import HomeMap, rendezvous_ranking
from bramleydyke.core.members import Members, version_rank
from bramleydyke.messages import Announcement, Envelope, Heartbeat, HeartbeatReply
from bramleydyke.types import MemberState, NodeId


@dataclass(slots=True, kw_only=True)
class HeartbeatClient:
    """Announces one process to its home balancers and sends heartbeats.

    If other nodes suspect the process, it announces itself with a higher
    revision, which overrules the suspicion.

    Attributes:
        announcement: Current announcement of the process.
        members: Nodes that the process knows.
        seeds: Balancers from the settings, used while no home balancer is
            known that replies.
        heartbeat: Creates the heartbeat for an announcement.
        random_source: Source of the random delay before the second heartbeat.
        home_map: Computes the home balancers from ``members``.
        heartbeat_at: Time of the next heartbeat, in seconds; 0 before the
            first one.
        no_reply_since: Time of the newest reply of each home balancer, or of
            the first heartbeat to it, in seconds.
        avoided_until: Time until which each home balancer that did not reply
            is replaced by another balancer, in seconds.
    """

    announcement: Announcement
    members: Members
    seeds: list[NodeId]
    heartbeat: Callable[[Announcement], Heartbeat]
    random_source: random.Random
    home_map: HomeMap = field(init=False)
    heartbeat_at: float = 0.0
    no_reply_since: dict[NodeId, float] = field(default_factory=dict)
    avoided_until: dict[NodeId, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.home_map = HomeMap(self.members)

    def homes(self, *, now: float) -> list[NodeId]:
        """Returns the balancers that this process announces itself to.

        Leaves out balancers that recently did not reply, if others are known.
        """
        own = self.announcement
        self.avoided_until = {
            node_id: until
            for node_id, until in self.avoided_until.items()
            if until > now
        }
        avoid = frozenset(self.avoided_until)
        homes = self.home_map.homes(own.node_id, own.zone, avoid=avoid)
        if homes:
            return homes
        seeds = [seed for seed in self.seeds if seed != own.node_id]
        reachable = [seed for seed in seeds if seed not in avoid] or seeds
        return rendezvous_ranking(own.node_id, reachable, count=HOME_BALANCERS_PER_NODE)

    def announce(self, *, now: float) -> list[Envelope]:
        """Returns messages with the announcement to all home balancers."""
        own = self.announcement
        return [Envelope(own.node_id, home, own) for home in self.homes(now=now)]

    def set_state(self, state: MemberState, *, now: float) -> list[Envelope]:
        """Changes the state of this process and announces it."""
        self._revise(self.announcement.revision + 1, state, now=now)
        return self.announce(now=now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Returns the heartbeats that are due.

        The second heartbeat follows the first one after a random fraction of
        the interval, so that processes that started together do not send all
        heartbeats at the same time.
        """
        if now < self.heartbeat_at:
            return []
        first = self.heartbeat_at == 0.0
        wait = self.random_source.uniform(0.0, HEARTBEAT_S) if first else HEARTBEAT_S
        self.heartbeat_at = now + wait
        if self.announcement.state is MemberState.STOPPED:
            return []
        self._avoid_unresponsive(now=now)
        message = self.heartbeat(self.announcement)
        own = self.announcement
        homes = dict.fromkeys(
            self.homes(now=now) + self.home_map.homes(own.node_id, own.zone)
        )
        self.no_reply_since = {
            home: self.no_reply_since.get(home, now) for home in homes
        }
        return [Envelope(own.node_id, home, message) for home in homes]

    def replied(
        self, sender: NodeId, reply: HeartbeatReply, *, now: float
    ) -> list[Envelope]:
        """Handles a heartbeat reply.

        If the home balancer has another version of the announcement, returns
        the announcement. If that version is newer, for example a suspicion,
        the revision is raised above it first.
        """
        if sender in self.no_reply_since:
            self.no_reply_since[sender] = now
        self.avoided_until.pop(sender, None)
        own = self.announcement
        if reply.state is not None and reply.incarnation == own.incarnation:
            reported = version_rank(reply.incarnation, reply.revision, reply.state)
            current = version_rank(own.incarnation, own.revision, own.state)
            if reported == current:
                return []
            if reported > current:
                self._revise(reply.revision + 1, own.state, now=now)
        return [Envelope(own.node_id, sender, self.announcement)]

    def refute(self, claim: Announcement, *, now: float) -> list[Envelope]:
        """Overrules another node's announcement of this process.

        Ignores announcements of another incarnation and those that are not
        newer than the process's own announcement.
        """
        own = self.announcement
        if claim.incarnation != own.incarnation or claim == own:
            return []
        if version_rank(claim.incarnation, claim.revision, claim.state) <= (
            version_rank(own.incarnation, own.revision, own.state)
        ):
            return []
        self._revise(claim.revision + 1, own.state, now=now)
        return self.announce(now=now)

    def _revise(self, revision: int, state: MemberState, *, now: float) -> None:
        """Changes the revision and state of the announcement."""
        self.announcement = msgspec.structs.replace(
            self.announcement, revision=revision, state=state
        )
        self.members.merge(self.announcement, now=now)

    def _avoid_unresponsive(self, *, now: float) -> None:
        """Replaces home balancers that did not reply for ``HOME_SILENT_S``."""
        for home, no_reply_since in self.no_reply_since.items():
            if now - no_reply_since > HOME_SILENT_S:
                self.avoided_until[home] = now + HOME_REPLACEMENT_S
