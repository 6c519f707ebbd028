"""Assignment of home balancers to nodes.

A node sends its heartbeats to its home balancers. These detect its failure and
send it members and configuration.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from bramleydyke.constants import HOME_BALANCERS_PER_NODE
from bramleydyke.core.members import Members
from bramleydyke.core.rendezvous import score
from bramleydyke.types import AvailabilityZone, MemberState, NodeId, UpstreamId


def rendezvous_ranking(
    key: str, balancers: Iterable[NodeId], *, count: int
) -> list[NodeId]:
    """Returns the balancers that rank highest for a key.

    Uses rendezvous hashing: processes that know the same balancers get the
    same result.
    """
    seed = key.encode()
    return heapq.nlargest(
        count, balancers, key=lambda item: (score(seed, UpstreamId(item), 1.0), item)
    )


@dataclass(slots=True)
class HomeMap:
    """Computes and caches the home balancers of nodes.

    Homes are running balancers of the node's zone. If the zone has too few,
    balancers of other zones are added up to ``HOME_BALANCERS_PER_NODE``.
    """

    members: Members
    _version: int = -1
    _zones: dict[AvailabilityZone, list[NodeId]] = field(default_factory=dict)
    _all: list[NodeId] = field(default_factory=list)
    _cache: dict[AvailabilityZone, dict[NodeId, list[NodeId]]] = field(
        default_factory=dict
    )

    def homes(
        self,
        node_id: NodeId,
        zone: AvailabilityZone,
        *,
        avoid: frozenset[NodeId] = frozenset(),
    ) -> list[NodeId]:
        """Returns the home balancers of a node.

        There are at most ``HOME_BALANCERS_PER_NODE`` of them.

        Args:
            node_id: Agent or balancer whose homes are computed.
            zone: Availability zone of the node.
            avoid: Balancers to exclude, such as those that do not reply.
        """
        self._refresh()
        if avoid:
            return self._compute(node_id, zone, avoid)
        known = self._cache.setdefault(zone, {})
        if node_id not in known:
            known[node_id] = self._compute(node_id, zone, avoid)
        return known[node_id]

    def zones_with_own_homes(self) -> set[AvailabilityZone]:
        """Returns the zones that need no homes in other zones.

        These zones have more than ``HOME_BALANCERS_PER_NODE`` balancers: one
        more is needed because a balancer cannot be its own home.
        """
        self._refresh()
        return {
            zone
            for zone, items in self._zones.items()
            if len(items) > HOME_BALANCERS_PER_NODE
        }

    def _compute(
        self, node_id: NodeId, zone: AvailabilityZone, avoid: frozenset[NodeId]
    ) -> list[NodeId]:
        avoid |= {node_id}
        own = [item for item in self._zones.get(zone, ()) if item not in avoid]
        homes = rendezvous_ranking(node_id, own, count=HOME_BALANCERS_PER_NODE)
        if len(homes) < HOME_BALANCERS_PER_NODE:
            rest = [
                item for item in self._all if item not in avoid and item not in homes
            ]
            homes += rendezvous_ranking(
                node_id, rest, count=HOME_BALANCERS_PER_NODE - len(homes)
            )
        return homes

    def _refresh(self) -> None:
        if self._version == self.members.balancers_version:
            return
        self._version = self.members.balancers_version
        previous, self._zones = self._zones, {}
        for balancer in self.members.balancers_in(MemberState.RUNNING):
            self._zones.setdefault(balancer.zone, []).append(balancer.node_id)
        self._all = [item for zone in self._zones.values() for item in zone]
        self._cache = {
            zone: self._valid_entries(zone, set(previous.get(zone, ())))
            for zone in self._cache
        }

    def _valid_entries(
        self, zone: AvailabilityZone, previous: set[NodeId]
    ) -> dict[NodeId, list[NodeId]]:
        """Returns a zone's cache entries after a change of its balancers.

        Entries of nodes that lost a home are dropped and recomputed on demand.
        In the other entries, the homes are only compared with the added
        balancers. Recomputing a whole zone at each failure of a balancer took
        most of the processor time.
        """
        current = set(self._zones.get(zone, ()))
        if min(len(previous), len(current)) <= HOME_BALANCERS_PER_NODE:
            return {}
        removed, added = previous - current, current - previous
        kept = {
            node_id: homes
            for node_id, homes in self._cache[zone].items()
            if removed.isdisjoint(homes)
        }
        if not added:
            return kept
        return {
            node_id: rendezvous_ranking(
                node_id, {*homes, *added} - {node_id}, count=HOME_BALANCERS_PER_NODE
            )
            for node_id, homes in kept.items()
        }
