"""Table of the agents and balancers that one process knows."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
from xxhash import xxh3_64_intdigest

from bramleydyke.constants import HEALTH_FLOOR, HOME_BALANCERS_PER_NODE, MEMBER_BUCKETS
from bramleydyke.messages import Announcement
from bramleydyke.types import (
    AvailabilityZone,
    Incarnation,
    MemberState,
    NodeId,
    ServiceId,
    UpstreamId,
    agent_node,
)

_STATE_RANK = {
    MemberState.RUNNING: 0,
    MemberState.DRAINING: 1,
    MemberState.SUSPECT: 2,
    MemberState.STOPPED: 3,
}
"""Precedence of states within one revision.

Suspect ranks above draining, so that a draining node can be suspected too.
"""

ABSENT_STATES = (MemberState.SUSPECT, MemberState.STOPPED)
"""States of absent nodes.

Digests omit these nodes. Processes remove absent nodes at different times, and
a digest that contains one would restore it where it was already removed.
"""

_PACKED_BUCKETS = struct.Struct(f"!{MEMBER_BUCKETS}I")


def precedence(announcement: Announcement) -> tuple[int, int, int]:
    """Returns the sort key of announcements of one node; the largest wins.

    A node refutes a suspicion of itself with a higher revision.
    """
    return version_rank(
        announcement.incarnation, announcement.revision, announcement.state
    )


def version_rank(
    incarnation: Incarnation, revision: int, state: MemberState
) -> tuple[int, int, int]:
    """Returns the sort key of an announcement, for ``precedence``."""
    return (incarnation, revision, _STATE_RANK[state])


def bucket_of(node_id: NodeId) -> int:
    """Returns the index of the digest bucket that a node belongs to."""
    return xxh3_64_intdigest(node_id.encode()) % MEMBER_BUCKETS


def _version_hash(announcement: Announcement) -> int:
    """Returns a 32-bit hash of a node's version; 0 for an absent node."""
    if announcement.state in ABSENT_STATES:
        return 0
    version = (
        f"{announcement.node_id} {announcement.incarnation} "
        f"{announcement.revision} {announcement.state.value}"
    )
    return xxh3_64_intdigest(version.encode()) & 0xFFFFFFFF


@dataclass(slots=True)
class Members:
    """Newest announcement of each known node, with indexes and hashes.

    Attributes:
        by_node: Newest announcement of each agent and balancer.
        agents: Agent of each upstream, by service.
        balancers: Node ids of all balancers, absent ones included.
        changed_at: When each announcement was stored, in seconds.
        by_bucket: Nodes in each digest bucket.
        bucket_hashes: XOR of the version hashes in each bucket.
        balancers_version: Incremented at each change of a balancer, so that
            caches notice changes.
        version: Incremented at each change of any node.
    """

    by_node: dict[NodeId, Announcement] = field(default_factory=dict)
    agents: dict[ServiceId, dict[UpstreamId, NodeId]] = field(default_factory=dict)
    balancers: set[NodeId] = field(default_factory=set)
    changed_at: dict[NodeId, float] = field(default_factory=dict)
    by_bucket: list[set[NodeId]] = field(
        default_factory=lambda: [set() for _ in range(MEMBER_BUCKETS)]
    )
    bucket_hashes: list[int] = field(default_factory=lambda: [0] * MEMBER_BUCKETS)
    balancers_version: int = 0
    version: int = 0
    _version_hashes: dict[NodeId, int] = field(default_factory=dict)
    _zone_balancers: dict[AvailabilityZone, tuple[int, list[NodeId]]] = field(
        default_factory=dict
    )

    def merge(self, announcement: Announcement, *, now: float) -> bool:
        """Stores an announcement if it is newer; returns whether it is."""
        node_id = announcement.node_id
        known = self.by_node.get(node_id)
        if known is not None and precedence(known) >= precedence(announcement):
            return False
        self.by_node[node_id] = announcement
        self.changed_at[node_id] = now
        self._set_hash(node_id, _version_hash(announcement))
        self.by_bucket[bucket_of(node_id)].add(node_id)
        if announcement.service_id is not None and announcement.upstream_id is not None:
            service = self.agents.setdefault(announcement.service_id, {})
            service[announcement.upstream_id] = node_id
        else:
            self.balancers.add(node_id)
            self.balancers_version += 1
        return True

    def record_incarnation(self, node_id: NodeId, incarnation: Incarnation) -> None:
        """Records a newer incarnation that a known node's reply contains.

        The entry is provisional until the node's announcement arrives, and
        is marked by revision -1. It is not sent to peers, and digests keep
        the last announced version.
        """
        known = self.by_node.get(node_id)
        if known is not None and incarnation > known.incarnation:
            self.by_node[node_id] = msgspec.structs.replace(
                known,
                incarnation=incarnation,
                revision=-1,
                state=MemberState.RUNNING,
            )

    def forget(self, node_id: NodeId) -> None:
        """Removes a node from all indexes; does nothing if it is unknown."""
        known = self.by_node.pop(node_id, None)
        if known is None:
            return
        self._set_hash(node_id, 0)
        del self._version_hashes[node_id]
        del self.changed_at[node_id]
        self.by_bucket[bucket_of(node_id)].discard(node_id)
        if node_id in self.balancers:
            self.balancers.discard(node_id)
            self.balancers_version += 1
        elif known.service_id is not None and known.upstream_id is not None:
            service = self.agents[known.service_id]
            del service[known.upstream_id]
            if not service:
                del self.agents[known.service_id]

    def remove_absent(self, *, before: float) -> None:
        """Removes nodes that became absent before the given time."""
        removable = [
            node_id
            for node_id, announcement in self.by_node.items()
            if announcement.state in ABSENT_STATES and self.changed_at[node_id] < before
        ]
        for node_id in removable:
            self.forget(node_id)

    def agent(
        self, service_id: ServiceId, upstream_id: UpstreamId
    ) -> Announcement | None:
        """Returns the announcement of an upstream's agent, if known."""
        return self.by_node.get(agent_node(service_id, upstream_id))

    def incarnation(self, node_id: NodeId) -> Incarnation:
        """Returns a node's newest known incarnation; 0 if it is unknown."""
        known = self.by_node.get(node_id)
        return Incarnation(0) if known is None else known.incarnation

    def upstreams(
        self, service_id: ServiceId, *states: MemberState
    ) -> Iterator[UpstreamId]:
        """Yields a service's upstreams whose agents are in a given state."""
        for upstream_id, node_id in self.agents.get(service_id, {}).items():
            if self.by_node[node_id].state in states:
                yield upstream_id

    def usable_upstreams(self, service_id: ServiceId) -> list[UpstreamId]:
        """Returns the upstreams of a service that may take new work.

        When more than ``HEALTH_FLOOR`` of them are suspected, the failure
        detector is the likelier fault, and suspicions are disregarded.
        """
        running = list(self.upstreams(service_id, MemberState.RUNNING))
        suspect = list(self.upstreams(service_id, MemberState.SUSPECT))
        if len(running) < HEALTH_FLOOR * (len(running) + len(suspect)):
            return running + suspect
        return running

    def balancers_in(
        self, *states: MemberState, zone: AvailabilityZone | None = None
    ) -> list[Announcement]:
        """Returns the balancers in the given states, of a zone or of all."""
        known = (self.by_node[node_id] for node_id in self.balancers)
        return [
            announcement
            for announcement in known
            if announcement.state in states
            and (zone is None or announcement.zone == zone)
        ]

    def digest(self) -> bytes:
        """Returns the hashes of all buckets, packed for a message."""
        return _PACKED_BUCKETS.pack(*self.bucket_hashes)

    def differing_buckets(self, digest: bytes) -> list[int]:
        """Returns the buckets whose hash here differs from the digest's.

        A digest of the wrong size is ignored.
        """
        if len(digest) != _PACKED_BUCKETS.size:
            return []
        theirs = _PACKED_BUCKETS.unpack(digest)
        pairs = zip(self.bucket_hashes, theirs, strict=True)
        return [index for index, (own, other) in enumerate(pairs) if own != other]

    def missing_buckets(self, digest: bytes) -> list[int]:
        """Returns the buckets that are empty in a digest but not here."""
        differing = self.differing_buckets(digest)
        if not differing:
            return []
        theirs = _PACKED_BUCKETS.unpack(digest)
        return [index for index in differing if theirs[index] == 0]

    def members_for_agent(
        self, service_id: ServiceId, zone: AvailabilityZone
    ) -> tuple[int, list[Announcement]]:
        """Returns the members that an agent needs, and a hash of them.

        These are the agents of its service and the balancers of its zone, or
        all balancers while the zone has fewer than
        ``HOME_BALANCERS_PER_NODE``. Absent nodes are included, since the agent
        may still consider them present.
        """
        agents = self.agents.get(service_id, {}).values()
        nodes = [*agents, *self._balancers_for(zone)]
        view = 0
        for node_id in nodes:
            view ^= self._version_hashes[node_id]
        return view, [self.by_node[node_id] for node_id in nodes]

    def _balancers_for(self, zone: AvailabilityZone) -> list[NodeId]:
        """Returns the balancers that the agents of a zone need.

        The result is needed for each heartbeat and cached until a balancer
        changes.
        """
        version, nodes = self._zone_balancers.get(zone, (-1, []))
        if version == self.balancers_version:
            return nodes
        balancers = self.balancers_in(*MemberState, zone=zone)
        if (
            sum(balancer.state not in ABSENT_STATES for balancer in balancers)
            < HOME_BALANCERS_PER_NODE
        ):
            balancers = self.balancers_in(*MemberState)
        nodes = [balancer.node_id for balancer in balancers]
        self._zone_balancers[zone] = (self.balancers_version, nodes)
        return nodes

    def _set_hash(self, node_id: NodeId, value: int) -> None:
        bucket = bucket_of(node_id)
        self.bucket_hashes[bucket] ^= self._version_hashes.get(node_id, 0) ^ value
        self._version_hashes[node_id] = value
        self.version += 1
