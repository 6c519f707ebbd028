"""Table of the agents that hold the flows seen by a balancer."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

import msgspec

from bramleydyke.direct.constants import MAX_FLOWS, SEQUENCE_WINDOW
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp

_SEQUENCE_MASK = 0xFFFF_FFFF


def acknowledges(acknowledged: int, first_sequence: int) -> bool:
    """Returns whether an acknowledgement fits an upstream's sequence numbers.

    It fits if it is at most ``SEQUENCE_WINDOW`` bytes after the upstream's
    first sequence number, modulo 2**32.
    """
    return (acknowledged - first_sequence) & _SEQUENCE_MASK <= SEQUENCE_WINDOW


class Holder(msgspec.Struct, frozen=True, gc=False):
    """An agent whose upstream holds a flow, or is opening it."""

    node: NodeIp
    lifetime: Lifetime
    first_sequence: int | None
    """First sequence number of the upstream; None once the flow is open."""


@dataclass(slots=True, kw_only=True)
class Holders:
    """Holders by flow; above a limit, the oldest entries are evicted.

    Attributes:
        max_flows: Maximum number of entries in each of the two tables.
        open: Holder of each open flow, least recently used first.
        opening: Agents that have accepted each flow that is not open yet. A
            retransmitted opening packet may have reached two agents; the
            caller continues with one of them.
    """

    max_flows: int = MAX_FLOWS
    open: OrderedDict[FlowTuple, Holder] = field(default_factory=OrderedDict)
    opening: OrderedDict[FlowTuple, list[Holder]] = field(default_factory=OrderedDict)

    def record_holder(self, flow: FlowTuple, holder: Holder) -> None:
        """Records that an upstream holds a flow or has accepted it."""
        if holder.first_sequence is None:
            self.opening.pop(flow, None)
            self.open[flow] = holder
            _evict_oldest(self.open, self.max_flows)
            return
        if flow in self.open:
            return
        others = [h for h in self.opening.get(flow, ()) if h.node != holder.node]
        self.opening[flow] = [*others, holder]
        _evict_oldest(self.opening, self.max_flows)

    def find(self, flow: FlowTuple, acknowledged: int) -> Holder | None:
        """Returns the holder of a flow, if it is known.

        While the flow is opening, the acknowledged sequence number shows which
        upstream the caller continues with.
        """
        holder = self.open.get(flow)
        if holder is not None:
            self.open.move_to_end(flow)
            return holder
        for candidate in self.opening.get(flow, ()):
            first = candidate.first_sequence
            if first is not None and acknowledges(acknowledged, first):
                self.record_holder(
                    flow, Holder(candidate.node, candidate.lifetime, None)
                )
                return self.open[flow]
        return None

    def accepted_by(self, flow: FlowTuple) -> Holder | None:
        """Returns the holder of a flow, or the last agent that accepted it."""
        holder = self.open.get(flow)
        if holder is not None:
            return holder
        accepted = self.opening.get(flow)
        return None if not accepted else accepted[-1]

    def forget(self, flow: FlowTuple, node: NodeIp | None = None) -> None:
        """Removes all holders of a flow, or only ``node`` if it is given."""
        holder = self.open.get(flow)
        if holder is not None and (node is None or holder.node == node):
            del self.open[flow]
        rest = [h for h in self.opening.pop(flow, ()) if node not in (None, h.node)]
        if rest:
            self.opening[flow] = rest

    def held_by(self, node: NodeIp, *, limit: int) -> list[FlowTuple]:
        """Returns up to ``limit`` open flows held by an agent.

        The least recently used flows come first.
        """
        flows = (flow for flow, holder in self.open.items() if holder.node == node)
        return list(islice(flows, limit))


def _evict_oldest(table: OrderedDict[FlowTuple, object], limit: int) -> None:
    if len(table) > limit:
        table.popitem(last=False)
