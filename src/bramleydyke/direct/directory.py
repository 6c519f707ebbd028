"""Upstreams known to a balancer, with load and reachability of each."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice

import msgspec

from bramleydyke.core.rendezvous import unweighted_owner_order
from bramleydyke.core.retry import exponential_delay
from bramleydyke.direct.constants import (
    DEAD_AGENT_FAILURES,
    DEAD_AGENT_S,
    ENTRY_EXPIRY_S,
    LOAD_DECAY_S,
    MAX_SILENCE_GAP_S,
    MAX_SUSPECT_S,
    REQUESTS_PER_SLOT,
    SUSPECT_S,
)
from bramleydyke.direct.messages import Announcement, Load
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp, UpstreamState
from bramleydyke.types import AvailabilityZone, ServiceId


@dataclass(slots=True)
class Entry:
    """State of one upstream and its agent; all times are in seconds.

    Attributes:
        announcement: Newest announcement of the upstream.
        load: Last reported load, plus the flows that were offered since.
        failing_since: When the first message of the agent's silence timed
            out. The time of the last announcement cannot be used: agents
            announce to a few balancers only, so the others may get no message
            from a running agent for a long time.
        failed_at: When the last message of the agent's silence timed out.
        load_at: When ``load`` was reported or last increased.
        suspect_until: End of the suspicion, until which the agent gets new
            flows only as a last resort.
        failures: Number of messages of the agent's silence that timed out. A
            silence ends with an answer, or if nothing times out for
            ``MAX_SILENCE_GAP_S``.
        suspicions: Number of suspicions since the agent's last answer. Each
            doubles the duration of the next one.
        gone_at: When this process learned that the upstream has ended; None
            while the upstream runs.
    """

    announcement: Announcement
    load: Load
    failing_since: float = 0.0
    failed_at: float = 0.0
    load_at: float = 0.0
    suspect_until: float = 0.0
    failures: int = 0
    suspicions: int = 0
    gone_at: float | None = None


@dataclass(slots=True)
class Directory:
    """Upstreams by the IP address of their VM.

    A newer announcement replaces an older one. Announcements are compared by
    lifetime, sequence and revision, never by time of arrival. Of equal ones,
    only that which the agent itself sends replaces the known one.

    Attributes:
        zone: Zone of this process, whose upstreams are preferred.
        entries: State of each upstream, by the IP address of its agent.
        complete: True while the watch of the store works, so that no upstream
            is missing from ``entries``.
        by_service: IP addresses of each service's agents, with their encoded
            form for rendezvous hashing.
    """

    zone: AvailabilityZone
    entries: dict[NodeIp, Entry] = field(default_factory=dict)
    complete: bool = False
    by_service: dict[ServiceId, dict[NodeIp, bytes]] = field(default_factory=dict)

    def apply(
        self, announcement: Announcement, *, now: float, from_agent: bool
    ) -> bool:
        """Applies an announcement unless a newer one is known.

        Args:
            announcement: State of an upstream.
            now: Time in seconds.
            from_agent: True if the agent sent it to this process, which shows
                that the agent is reachable.

        Returns:
            True if the upstream is new, or its service, state or lifetime
            changed.
        """
        entry = self.entries.get(announcement.node)
        if entry is None:
            self._insert(announcement, now=now)
            return True
        old = entry.announcement
        older = announcement.order() < old.order()
        # A restarted agent counts revisions anew, so two announcements may be
        # equal in order and differ in state. If balancers took the other one
        # from each other, they would relay both endlessly.
        if older or (announcement.order() == old.order() and not from_agent):
            if from_agent:
                self.answered(announcement.node, now=now)
            return False
        if old.service != announcement.service:
            self.by_service[old.service].pop(announcement.node, None)
            self._insert(announcement, now=now)
            return True
        entry.announcement = announcement
        gone = announcement.state is UpstreamState.GONE
        entry.gone_at = (entry.gone_at or now) if gone else None
        if from_agent:
            self.answered(announcement.node, now=now, load=announcement.load)
        return (old.state, old.lifetime) != (announcement.state, announcement.lifetime)

    def _insert(self, announcement: Announcement, *, now: float) -> None:
        node = announcement.node
        gone_at = now if announcement.state is UpstreamState.GONE else None
        self.entries[node] = Entry(announcement, announcement.load, gone_at=gone_at)
        names = self.by_service.setdefault(announcement.service, {})
        names[node] = node.encode()

    def removed(self, node: NodeIp, lifetime: Lifetime, *, now: float) -> bool:
        """Marks an upstream as gone because its entry left the store.

        The store may report a removal seconds late. By then the agent may have
        announced the next upstream, which stays as it is.

        Args:
            node: IP address of the agent.
            lifetime: Lifetime of the upstream in the removed entry.
            now: Time in seconds.

        Returns:
            False if the upstream is unknown, already gone, or of a later
            lifetime.
        """
        entry = self.entries.get(node)
        if entry is None or entry.announcement.state is UpstreamState.GONE:
            return False
        if entry.announcement.lifetime > lifetime:
            return False
        entry.announcement = _ended_announcement(entry.announcement)
        entry.gone_at = now
        return True

    def expire(self, *, now: float) -> None:
        """Removes upstreams that ended more than ``ENTRY_EXPIRY_S`` ago."""
        expired = [
            node
            for node, entry in self.entries.items()
            if entry.gone_at is not None and now - entry.gone_at > ENTRY_EXPIRY_S
        ]
        for node in expired:
            service = self.entries.pop(node).announcement.service
            del self.by_service[service][node]

    def answered(self, node: NodeIp, *, now: float, load: Load | None = None) -> None:
        """Ends the suspicion of an agent that answered; updates its load."""
        entry = self.entries.get(node)
        if entry is not None:
            if load is not None:
                entry.load = load
                entry.load_at = now
            entry.failures = 0
            entry.suspicions = 0
            entry.suspect_until = 0.0

    def check_answered(self, node: NodeIp) -> None:
        """Ends the silence of an agent, but not its suspicion.

        An agent that answers a check may still be too slow for new flows.
        """
        entry = self.entries.get(node)
        if entry is not None:
            entry.failures = 0

    def check_unanswered(self, node: NodeIp, *, asked_at: float, now: float) -> None:
        """Extends the silence of an agent, if it began before a check.

        Args:
            node: IP address of the agent.
            asked_at: When the agent was asked, in seconds.
            now: Time in seconds.
        """
        entry = self.entries.get(node)
        if entry is not None and entry.failures and entry.failing_since <= asked_at:
            _add_failure(entry, now=now)

    def silent_agents(self) -> list[NodeIp]:
        """Returns the silent agents of running upstreams.

        Those that were found silent longest ago come first.
        """
        silent = [
            node
            for node, entry in self.entries.items()
            if entry.failures and entry.gone_at is None
        ]
        return sorted(silent, key=lambda node: self.entries[node].failed_at)

    def mark_suspect(self, node: NodeIp, *, now: float) -> None:
        """Marks an agent that did not answer as suspect for a while.

        The time doubles with each consecutive suspicion.
        """
        entry = self.entries.get(node)
        if entry is not None:
            _add_failure(entry, now=now)
            if entry.suspect_until <= now:
                pause = exponential_delay(
                    SUSPECT_S, entry.suspicions, cap=MAX_SUSPECT_S
                )
                entry.suspicions += 1
                entry.suspect_until = now + pause

    def is_dead(
        self, node: NodeIp, *, now: float, after_s: float = DEAD_AGENT_S
    ) -> bool:
        """Returns whether an agent is unknown or has been silent for too long.

        Time in which the agent was not asked does not count as silence.

        Args:
            node: IP address of the agent.
            now: Time in seconds.
            after_s: Silence in seconds that is too long. The default is longer
                than a restart takes.
        """
        entry = self.entries.get(node)
        if entry is None:
            return True
        if now - entry.failed_at > MAX_SILENCE_GAP_S:
            return False
        silent = now - entry.failing_since > after_s
        return silent and entry.failures >= DEAD_AGENT_FAILURES

    def refused(self, node: NodeIp, *, now: float) -> None:
        """Marks an agent that refused a flow as suspect for a while."""
        entry = self.entries.get(node)
        if entry is not None:
            entry.suspect_until = now + SUSPECT_S

    def candidates(
        self, service: ServiceId, flow: FlowTuple, *, width: int, now: float
    ) -> list[NodeIp]:
        """Returns the agents to ask for a new flow, the best one first.

        The first ``width`` upstreams with free capacity in rendezvous order
        come first, sorted by load. Later lookups for the flow therefore find
        its holder among a few agents. If fewer upstreams have free capacity,
        the others are sorted by load, too. Suspect agents come last.
        """
        ready = [
            node
            for node in self.owners(service, flow)
            if self.entries[node].announcement.state is UpstreamState.READY
        ]
        usable = [node for node in ready if self.is_responsive(node, now=now)]
        suspect = [node for node in ready if not self.is_responsive(node, now=now)]
        free = (node for node in usable if self.has_capacity(node, now=now))
        first = sorted(islice(free, width), key=self._rank)
        rest = [node for node in usable if node not in first]
        if len(first) < width:
            rest.sort(key=lambda node: self._requests(node, now))
        return first + rest + suspect

    def least_loaded(self, service: ServiceId, *, now: float) -> NodeIp | None:
        """Returns the responsive agent with the fewest requests, if any."""
        usable = [
            node
            for node in self.by_service.get(service, ())
            if self.entries[node].announcement.state is UpstreamState.READY
            and self.is_responsive(node, now=now)
        ]
        return min(usable, key=lambda n: self._requests(n, now), default=None)

    def has_capacity(self, node: NodeIp, *, now: float) -> bool:
        """Returns whether the estimated load allows another flow."""
        return self._requests(node, now) < REQUESTS_PER_SLOT

    def is_responsive(self, node: NodeIp, *, now: float) -> bool:
        """Returns whether an agent has not timed out or refused recently."""
        return self.entries[node].suspect_until <= now

    def sent(self, node: NodeIp, *, now: float) -> None:
        """Adds an offered flow to the load until the agent reports it."""
        entry = self.entries[node]
        share = 1 / entry.announcement.slots
        requests = self._requests(node, now) + share
        entry.load = Load(requests, entry.load.total + share)
        entry.load_at = now

    def _requests(self, node: NodeIp, now: float) -> float:
        """Returns the estimated number of unanswered requests per slot.

        Requests are short, so the reported number decays with its age.
        """
        entry = self.entries[node]
        age = now - entry.load_at
        return entry.load.requests * max(0.0, 1 - age / LOAD_DECAY_S)

    def _rank(self, node: NodeIp) -> tuple[float, bool]:
        """Returns a sort key: by load, then upstreams in this zone first."""
        entry = self.entries[node]
        return entry.load.total, entry.announcement.zone != self.zone

    def owners(self, service: ServiceId, flow: FlowTuple) -> list[NodeIp]:
        """Returns a service's agents in the rendezvous order of a flow.

        The order is the same at every balancer, so the first agents are the
        most likely holders of the flow.
        """
        names = self.by_service.get(service, {})
        return [
            node
            for node in unweighted_owner_order(flow, names)
            if self.entries[node].announcement.state is not UpstreamState.GONE
        ]

    def lifetime_ended(self, node: NodeIp, lifetime: int) -> bool:
        """Returns whether an upstream's lifetime has ended.

        All flows of that lifetime are then dead. Lifetime 0 means unknown and
        counts as not ended. A lifetime that its agent has renumbered is known
        by its start, too.
        """
        entry = self.entries.get(node)
        if entry is None or lifetime == 0:
            return False
        newest = entry.announcement
        if lifetime in (newest.lifetime, newest.start_ms):
            return newest.state is UpstreamState.GONE
        return newest.lifetime > lifetime

    def may_become_ready(self, service: ServiceId) -> bool:
        """Returns whether a service may have a ready upstream later.

        Always true while the directory is incomplete.
        """
        nodes = self.by_service.get(service, {})
        states = {self.entries[node].announcement.state for node in nodes}
        return not self.complete or bool(states - {UpstreamState.GONE})

    def usable_services(self, *, now: float) -> set[ServiceId]:
        """Returns the services with a ready upstream whose agent answers."""
        return {
            entry.announcement.service
            for entry in self.entries.values()
            if entry.announcement.state is UpstreamState.READY
            and entry.suspect_until <= now
        }


def _add_failure(entry: Entry, *, now: float) -> None:
    """Adds a message that timed out to an agent's silence or to a new one."""
    if now - entry.failed_at > MAX_SILENCE_GAP_S:
        entry.failures = 0
    if not entry.failures:
        entry.failing_since = now
    entry.failures += 1
    entry.failed_at = now


def _ended_announcement(announcement: Announcement) -> Announcement:
    """Returns an announcement that the upstream has ended.

    Its revision is higher, so that the given announcement counts as older if
    it arrives again later.
    """
    return msgspec.structs.replace(
        announcement,
        revision=announcement.revision + 1,
        state=UpstreamState.GONE,
        load=Load(),
    )
