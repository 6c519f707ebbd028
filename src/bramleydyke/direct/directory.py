"""Upstreams and balancers that a process knows of, and how they answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice

import msgspec

from bramleydyke.core.rendezvous import order_of_equals
from bramleydyke.direct.constants import (
    BUSY_DECAY_S,
    DEAD_AGENT_FAILURES,
    DEAD_AGENT_S,
    ENTRY_EXPIRY_S,
    MAX_SUSPECT_S,
    REQUESTS_PER_SLOT,
    SUSPECT_S,
)
from bramleydyke.direct.messages import Announcement, Load
from bramleydyke.direct.types import FlowTuple, NodeIp, UpstreamState
from bramleydyke.types import AvailabilityZone, ServiceId


@dataclass(slots=True)
class Entry:
    """What is known of one upstream.

    Attributes:
        announcement: Newest announcement of the upstream.
        load: Load as last reported, plus the flows that were sent since.
        load_at: When ``load`` was told or last raised.
        failing_since: When the agent first left a question unanswered since
            its last answer. Agents announce to a few balancers only, so that
            others may not have heard a living one for long.
        suspect_until: No new flow is sent there before this time.
        gone_at: When the upstream was found to be gone, if it is.
        failures: Questions that its agent left open since its last answer.
        suspicions: Times that it was suspected since then.
    """

    announcement: Announcement
    load: Load
    failing_since: float = 0.0
    load_at: float = 0.0
    suspect_until: float = 0.0
    failures: int = 0
    suspicions: int = 0
    gone_at: float | None = None


@dataclass(slots=True)
class Directory:
    """Upstreams by the IP number of their VM.

    A later announcement replaces an earlier one; the order comes from the
    upstream's lifetime and report sequence, never from this process's clock.

    Attributes:
        by_service: Names of a service's upstreams as bytes, for their order.
        complete: True while the store is followed, so that no upstream is
            missing here.
    """

    zone: AvailabilityZone
    entries: dict[NodeIp, Entry] = field(default_factory=dict)
    complete: bool = False
    by_service: dict[ServiceId, dict[NodeIp, bytes]] = field(default_factory=dict)

    def apply(self, announcement: Announcement, *, now: float, heard: bool) -> bool:
        """Takes an announcement; returns True if it changes what is used.

        Args:
            announcement: What an agent or the store says of an upstream.
            now: Time in seconds.
            heard: True if it comes straight from the agent.
        """
        entry = self.entries.get(announcement.node)
        if entry is None:
            self._insert(announcement, now=now)
            return True
        old = entry.announcement
        if announcement.order() < old.order():
            if heard:
                self.answered(announcement.node, now=now)
            return False
        if old.service != announcement.service:
            self.by_service[old.service].pop(announcement.node, None)
            self._insert(announcement, now=now)
            return True
        entry.announcement = announcement
        gone = announcement.state is UpstreamState.GONE
        entry.gone_at = (entry.gone_at or now) if gone else None
        if heard:
            self.answered(announcement.node, now=now, load=announcement.load)
        return (old.state, old.lifetime) != (announcement.state, announcement.lifetime)

    def _insert(self, announcement: Announcement, *, now: float) -> None:
        node = announcement.node
        gone_at = now if announcement.state is UpstreamState.GONE else None
        self.entries[node] = Entry(announcement, announcement.load, gone_at=gone_at)
        names = self.by_service.setdefault(announcement.service, {})
        names[node] = node.encode()

    def removed(self, node: NodeIp, *, now: float) -> bool:
        """Notes that an upstream's entry was removed from the store."""
        entry = self.entries.get(node)
        if entry is None or entry.announcement.state is UpstreamState.GONE:
            return False
        entry.announcement = _gone(entry.announcement)
        entry.gone_at = now
        return True

    def expire(self, *, now: float) -> None:
        """Forgets upstreams that went longer ago than any flow lasts."""
        over = [
            node
            for node, entry in self.entries.items()
            if entry.gone_at is not None and now - entry.gone_at > ENTRY_EXPIRY_S
        ]
        for node in over:
            service = self.entries.pop(node).announcement.service
            del self.by_service[service][node]

    def answered(self, node: NodeIp, *, now: float, load: Load | None = None) -> None:
        """Notes an answer of an agent, and the load that it told."""
        entry = self.entries.get(node)
        if entry is not None:
            if load is not None:
                entry.load = load
                entry.load_at = now
            entry.failures = 0
            entry.suspicions = 0
            entry.suspect_until = 0.0

    def silent(self, node: NodeIp, *, now: float) -> None:
        """Notes that an agent did not answer."""
        entry = self.entries.get(node)
        if entry is not None:
            if not entry.failures:
                entry.failing_since = now
            entry.failures += 1
            if entry.suspect_until <= now:
                pause = min(MAX_SUSPECT_S, SUSPECT_S * 2**entry.suspicions)
                entry.suspicions += 1
                entry.suspect_until = now + pause

    def dead(self, node: NodeIp, *, now: float) -> bool:
        """Tells whether an agent has been silent for longer than a restart."""
        entry = self.entries.get(node)
        if entry is None:
            return True
        silent = now - entry.failing_since > DEAD_AGENT_S
        return silent and entry.failures >= DEAD_AGENT_FAILURES

    def refused(self, node: NodeIp, *, now: float) -> None:
        """Notes that an agent answers, but takes no new flow."""
        entry = self.entries.get(node)
        if entry is not None:
            entry.suspect_until = now + SUSPECT_S

    def candidates(
        self, service: ServiceId, flow: FlowTuple, *, width: int, now: float
    ) -> list[NodeIp]:
        """Returns the agents to ask for a new flow, the best one first.

        The first ``width`` upstreams of the flow's owner order are put in
        order of their load, so that a lookup finds the holder among few.
        If there are fewer with room, the others follow by their load. Those
        whose agents did not answer come last.
        """
        ready = [
            node
            for node in self.owners(service, flow)
            if self.entries[node].announcement.state is UpstreamState.READY
        ]
        usable = [node for node in ready if self.answers(node, now=now)]
        suspect = [node for node in ready if not self.answers(node, now=now)]
        free = (node for node in usable if self.has_room(node, now=now))
        first = sorted(islice(free, width), key=self._rank)
        rest = [node for node in usable if node not in first]
        if len(first) < width:
            rest.sort(key=lambda node: self._requests(node, now))
        return first + rest + suspect

    def least_loaded(self, service: ServiceId, *, now: float) -> NodeIp | None:
        """Returns the upstream with the shortest queue, if one is usable."""
        usable = [
            node
            for node in self.by_service.get(service, ())
            if self.entries[node].announcement.state is UpstreamState.READY
            and self.answers(node, now=now)
        ]
        return min(usable, key=lambda n: self._requests(n, now), default=None)

    def has_room(self, node: NodeIp, *, now: float) -> bool:
        """Tells whether an upstream takes another flow, as far as known."""
        return self._requests(node, now) < REQUESTS_PER_SLOT

    def answers(self, node: NodeIp, *, now: float) -> bool:
        """Tells whether an agent is not known to be silent or to refuse."""
        return self.entries[node].suspect_until <= now

    def sent(self, node: NodeIp, *, now: float) -> None:
        """Adds a new flow to an upstream's load until its agent tells it."""
        entry = self.entries[node]
        share = 1 / entry.announcement.slots
        requests = self._requests(node, now) + share
        entry.load = Load(requests, entry.load.total + share)
        entry.load_at = now

    def _requests(self, node: NodeIp, now: float) -> float:
        """Returns the estimated requests for each slot; they end quickly."""
        entry = self.entries[node]
        age = now - entry.load_at
        return entry.load.requests * max(0.0, 1 - age / BUSY_DECAY_S)

    def _rank(self, node: NodeIp) -> tuple[float, bool]:
        entry = self.entries[node]
        return entry.load.total, entry.announcement.zone != self.zone

    def owners(self, service: ServiceId, flow: FlowTuple) -> list[NodeIp]:
        """Returns the agents that may hold a flow, the likeliest first."""
        names = self.by_service.get(service, {})
        return [
            node
            for node in order_of_equals(flow, names)
            if self.entries[node].announcement.state is not UpstreamState.GONE
        ]

    def lifetime_ended(self, node: NodeIp, lifetime: int) -> bool:
        """Tells whether flows of an upstream's lifetime are surely dead."""
        entry = self.entries.get(node)
        if entry is None or lifetime == 0:
            return False
        newest = entry.announcement
        if newest.lifetime > lifetime:
            return True
        return newest.lifetime == lifetime and newest.state is UpstreamState.GONE

    def expects(self, service: ServiceId) -> bool:
        """Tells whether a service has an upstream that may become ready.

        A directory that is not complete may lack upstreams.
        """
        nodes = self.by_service.get(service, {})
        states = {self.entries[node].announcement.state for node in nodes}
        return not self.complete or bool(states - {UpstreamState.GONE})

    def usable_services(self, *, now: float) -> set[ServiceId]:
        """Returns the services that have an upstream for new flows."""
        return {
            entry.announcement.service
            for entry in self.entries.values()
            if entry.announcement.state is UpstreamState.READY
            and entry.suspect_until <= now
        }


def _gone(announcement: Announcement) -> Announcement:
    """Returns the announcement that follows one whose entry was removed.

    Its revision is higher, so that a copy that was under way is older.
    """
    return msgspec.structs.replace(
        announcement,
        revision=announcement.revision + 1,
        state=UpstreamState.GONE,
        load=Load(),
    )
