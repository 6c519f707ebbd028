"""Which upstream owns each datagram flow, as a balancer remembers it."""

from __future__ import annotations

import sys
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
from xxhash import xxh3_64_intdigest

from bramleydyke.constants import FLOW_IDLE_S
from bramleydyke.core.limits import FLOWS_PER_PARTNER
from bramleydyke.types import CallerAddress, FlowId, ServiceAddress, UpstreamId

ACTIVE_S = 30.0
"""A flow with a packet in this time is not evicted for a new one."""


def flow_id_of(address: ServiceAddress, caller: CallerAddress) -> FlowId:
    """Returns the 64-bit id of the flow between two addresses."""
    return FlowId(xxh3_64_intdigest(f"{address}|{caller}".encode()))


def flow_key(flow_id: FlowId) -> bytes:
    """Returns the key of a flow for the owner order."""
    return flow_id.to_bytes(8, "big")


class Hint(msgspec.Struct, gc=False):
    """What a balancer knows of one flow.

    It holds no containers, so leaving it out of garbage collection is safe
    and saves 16 bytes for each flow.
    """

    owner: UpstreamId
    seen: float
    """Time of the caller's last packet."""

    since: float
    """Time of the first packet that has no answer yet."""

    unanswered: int = 0
    confirmed: bool = False
    """True once an agent has said that it holds the flow."""


@dataclass(slots=True, kw_only=True)
class FlowHints:
    """Hints of one partner's flows, least recently used first.

    Each partner has its own, so that one partner's new flows cannot evict
    the other's.
    """

    max_flows: int = FLOWS_PER_PARTNER
    entries: OrderedDict[FlowId, Hint] = field(default_factory=OrderedDict)

    def get(self, flow_id: FlowId, *, now: float) -> Hint | None:
        """Returns the hint of a flow that is not over, as most recent."""
        hint = self.entries.get(flow_id)
        if hint is None:
            return None
        if now - hint.seen > FLOW_IDLE_S:
            del self.entries[flow_id]
            return None
        self.entries.move_to_end(flow_id)
        return hint

    def add(self, flow_id: FlowId, owner: UpstreamId, *, now: float) -> Hint | None:
        """Adds a hint; returns None if there is no room for a new flow."""
        entries = self.entries
        if flow_id not in entries and len(entries) >= self.max_flows:
            oldest = next(iter(entries.values()))
            if now - oldest.seen < ACTIVE_S:
                return None
            entries.popitem(last=False)
        hint = Hint(sys.intern(owner), now, now)
        entries[flow_id] = hint
        return hint

    def drop(self, flow_id: FlowId, owner: UpstreamId | None = None) -> Hint | None:
        """Forgets a flow and returns its hint.

        Args:
            flow_id: The flow.
            owner: Keeps a confirmed hint that names another owner than this.
        """
        hint = self.entries.get(flow_id)
        if hint is None:
            return None
        if owner is not None and hint.confirmed and hint.owner != owner:
            return None
        del self.entries[flow_id]
        return hint
