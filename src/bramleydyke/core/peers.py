"""Random choice of the peers that a balancer gossips with."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from bramleydyke.core.members import Members
from bramleydyke.types import MemberState, NodeId

SEED_FRACTION = 0.05
"""Fraction of the anti-entropy exchanges that go to a seed.

After a long network partition, two groups of balancers may have removed each
other. Through the seeds, they discover each other again.
"""


@dataclass(slots=True, kw_only=True)
class Peers:
    """Chooses among the other balancers that one balancer knows.

    Attributes:
        node_id: This balancer, which is never chosen.
        members: Newest announcement of each known node.
        seeds: Balancers from the settings, used while none is known.
    """

    node_id: NodeId
    members: Members
    seeds: list[NodeId]
    random_source: random.Random
    _version: int = -1
    _present: list[NodeId] = field(default_factory=list)
    _suspect: list[NodeId] = field(default_factory=list)

    def gossip_targets(self, count: int) -> list[NodeId]:
        """Returns up to ``count`` random balancers that are not suspected."""
        self._refresh()
        known = self._present or self._others(self.seeds)
        return self.random_source.sample(known, min(count, len(known)))

    def exchange_target(self) -> list[NodeId]:
        """Returns one random balancer for an anti-entropy exchange, if any.

        Suspected balancers and seeds are included, so that balancers that
        suspect each other still repair their member tables.
        """
        self._refresh()
        known = self._present + self._suspect
        if not known or self.random_source.uniform(0.0, 1.0) < SEED_FRACTION:
            known = self._others(self.seeds) or known
        return self.random_source.sample(known, min(1, len(known)))

    def _others(self, nodes: list[NodeId]) -> list[NodeId]:
        return [node_id for node_id in nodes if node_id != self.node_id]

    def _refresh(self) -> None:
        if self._version == self.members.balancers_version:
            return
        self._version = self.members.balancers_version
        present = (MemberState.RUNNING, MemberState.DRAINING)
        self._present = self._in_state(*present)
        self._suspect = self._in_state(MemberState.SUSPECT)

    def _in_state(self, *states: MemberState) -> list[NodeId]:
        known = self.members.balancers_in(*states)
        return sorted(self._others([item.node_id for item in known]))
