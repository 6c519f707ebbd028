"""Home balancers: who watches over a node and hands it the configuration."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from bramleydyke.constants import HOMES
from bramleydyke.core.members import Members
from bramleydyke.core.rendezvous import score
from bramleydyke.types import AvailabilityZone, MemberState, NodeId, UpstreamId


def ranked(key: str, balancers: Iterable[NodeId], *, count: int) -> list[NodeId]:
    """Returns the first balancers for a key; every process agrees on them."""
    seed = key.encode()
    return heapq.nlargest(
        count, balancers, key=lambda item: (score(seed, UpstreamId(item), 1.0), item)
    )


@dataclass(slots=True)
class HomeMap:
    """Home balancers of any node, from the members that one process knows.

    Homes are running balancers of the node's zone. Other zones' balancers
    make up the number where the zone has too few.
    """

    members: Members
    _version: int = -1
    _zones: dict[AvailabilityZone, list[NodeId]] = field(default_factory=dict)
    _all: list[NodeId] = field(default_factory=list)
    _known: dict[tuple[NodeId, AvailabilityZone], list[NodeId]] = field(
        default_factory=dict
    )

    def homes(
        self,
        node_id: NodeId,
        zone: AvailabilityZone,
        *,
        avoid: frozenset[NodeId] = frozenset(),
        count: int = HOMES,
    ) -> list[NodeId]:
        """Returns the home balancers of a node, at most ``count``."""
        self._refresh()
        if avoid or count != HOMES:
            return self._compute(node_id, zone, avoid, count)
        if (node_id, zone) not in self._known:
            homes = self._compute(node_id, zone, avoid, count)
            self._known[node_id, zone] = homes
        return self._known[node_id, zone]

    def thin_zones(self) -> set[AvailabilityZone]:
        """Returns the zones that use balancers of other zones as homes.

        A zone's own balancers look for their homes among the others, hence
        one more than ``HOMES``. Zones without any balancer are not listed.
        """
        self._refresh()
        return {zone for zone, items in self._zones.items() if len(items) <= HOMES}

    def has_balancers(self, zone: AvailabilityZone) -> bool:
        """Tells whether a zone has running balancers."""
        self._refresh()
        return zone in self._zones

    def _compute(
        self,
        node_id: NodeId,
        zone: AvailabilityZone,
        avoid: frozenset[NodeId],
        count: int,
    ) -> list[NodeId]:
        avoid |= {node_id}
        own = [item for item in self._zones.get(zone, ()) if item not in avoid]
        homes = ranked(node_id, own, count=count)
        if len(homes) < count:
            rest = [
                item for item in self._all if item not in avoid and item not in homes
            ]
            homes += ranked(node_id, rest, count=count - len(homes))
        return homes

    def _refresh(self) -> None:
        if self._version == self.members.balancers_version:
            return
        self._version = self.members.balancers_version
        self._zones = {}
        self._known = {}
        for balancer in self.members.balancers_in(MemberState.RUNNING):
            self._zones.setdefault(balancer.zone, []).append(balancer.node_id)
        self._all = [item for zone in self._zones.values() for item in zone]
