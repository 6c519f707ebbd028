"""The link of an announced process, agent or balancer, to its homes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import AVOID_HOME_S, HEARTBEAT_S, HOME_SILENT_S, HOMES
from bramleydyke.core.homes import HomeMap, ranked
from bramleydyke.core.members import Members, version_rank
from bramleydyke.messages import Announcement, Envelope, Heartbeat, HeartbeatReply
from bramleydyke.types import MemberState, NodeId


@dataclass(slots=True, kw_only=True)
class HomeLink:
    """Announces one process and keeps its announcement ahead of suspicions.

    Attributes:
        announcement: The process as it describes itself.
        members: Nodes that it knows.
        seeds: Balancers from the settings, used while it knows none.
        heartbeat: Makes the heartbeat for an announcement.
        asked_at: Since when each home has not replied, in seconds.
        avoided_until: Homes that did not reply, and until when.
    """

    announcement: Announcement
    members: Members
    seeds: list[NodeId]
    heartbeat: Callable[[Announcement], Heartbeat]
    random_source: random.Random
    home_map: HomeMap = field(init=False)
    heartbeat_at: float = 0.0
    asked_at: dict[NodeId, float] = field(default_factory=dict)
    avoided_until: dict[NodeId, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.home_map = HomeMap(self.members)

    def homes(self, *, now: float) -> list[NodeId]:
        """Returns the balancers that this process announces itself to."""
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
        return ranked(own.node_id, reachable, count=HOMES)

    def announce(self, *, now: float) -> list[Envelope]:
        """Returns the announcement for each home."""
        own = self.announcement
        return [Envelope(own.node_id, home, own) for home in self.homes(now=now)]

    def change(self, state: MemberState, *, now: float) -> list[Envelope]:
        """Announces a new state of this process."""
        self._revise(self.announcement.revision + 1, state, now=now)
        return self.announce(now=now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Sends the heartbeats that are due.

        The first one comes at a random time within the interval, so that
        processes started together do not stay in step.
        """
        if now < self.heartbeat_at:
            return []
        first = self.heartbeat_at == 0.0
        wait = self.random_source.uniform(0.0, HEARTBEAT_S) if first else HEARTBEAT_S
        self.heartbeat_at = now + wait
        if self.announcement.state is MemberState.STOPPED:
            return []
        self._avoid_silent(now=now)
        message = self.heartbeat(self.announcement)
        own = self.announcement
        homes = dict.fromkeys(
            self.homes(now=now) + self.home_map.homes(own.node_id, own.zone)
        )
        self.asked_at = {home: self.asked_at.get(home, now) for home in homes}
        return [Envelope(own.node_id, home, message) for home in homes]

    def replied(
        self, sender: NodeId, reply: HeartbeatReply, *, now: float
    ) -> list[Envelope]:
        """Takes a home's reply; announces what the home does not know."""
        if sender in self.asked_at:
            self.asked_at[sender] = now
        self.avoided_until.pop(sender, None)
        own = self.announcement
        if reply.state is not None and reply.incarnation == own.incarnation:
            theirs = version_rank(reply.incarnation, reply.revision, reply.state)
            ours = version_rank(own.incarnation, own.revision, own.state)
            if theirs == ours:
                return []
            if theirs > ours:
                self._revise(reply.revision + 1, own.state, now=now)
        return [Envelope(own.node_id, sender, self.announcement)]

    def refute(self, claim: Announcement, *, now: float) -> list[Envelope]:
        """Overrules what others say of this run of the process."""
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
        self.announcement = msgspec.structs.replace(
            self.announcement, revision=revision, state=state
        )
        self.members.merge(self.announcement, now=now)

    def _avoid_silent(self, *, now: float) -> None:
        for home, asked_at in self.asked_at.items():
            if now - asked_at > HOME_SILENT_S:
                self.avoided_until[home] = now + AVOID_HOME_S
