"""A balancer's bounded cache of the owners of datagram flows."""

from __future__ import annotations

import sys
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
from xxhash import xxh3_64_intdigest

from bramleydyke.constants import FLOW_IDLE_S
from bramleydyke.core.limits import FLOWS_PER_PARTNER
from bramleydyke.types import CallerAddress, FlowId, ServiceAddress, UpstreamId

ACTIVE_FLOW_S = 30.0
"""A flow with a packet within this time is not evicted for a new flow."""


def flow_id_of(address: ServiceAddress, caller: CallerAddress) -> FlowId:
    """Returns the 64-bit id of the flow between two addresses."""
    return FlowId(xxh3_64_intdigest(f"{address}|{caller}".encode()))


def flow_key(flow_id: FlowId) -> bytes:
    """Returns the rendezvous hashing key that orders a flow's owners."""
    return flow_id.to_bytes(8, "big")


class Hint(msgspec.Struct, gc=False):
    """Cached owner of one flow, and its unanswered packets.

    The struct holds no containers and cannot be part of a reference cycle, so
    it is safe to exempt it from garbage collection, which saves 16 bytes per
    flow.
    """

    owner: UpstreamId
    seen: float
    """Time of the last packet in either direction."""

    since: float
    """Time of the first packet since the last answer."""

    unanswered: int = 0
    confirmed: bool = False
    """True once the owner has reported that it holds the flow."""


@dataclass(slots=True, kw_only=True)
class FlowHints:
    """Cache of one partner's hints, least recently used first.

    Each partner has its own cache, so that new flows of one partner cannot
    evict the hints of another.
    """

    max_flows: int = FLOWS_PER_PARTNER
    entries: OrderedDict[FlowId, Hint] = field(default_factory=OrderedDict)

    def get(self, flow_id: FlowId, *, now: float) -> Hint | None:
        """Returns the hint of a flow and marks it as most recently used.

        A hint of a flow that has been idle for ``FLOW_IDLE_S`` is dropped.
        """
        hint = self.entries.get(flow_id)
        if hint is None:
            return None
        if now - hint.seen > FLOW_IDLE_S:
            del self.entries[flow_id]
            return None
        self.entries.move_to_end(flow_id)
        return hint

    def add(self, flow_id: FlowId, owner: UpstreamId, *, now: float) -> Hint | None:
        """Adds a hint; returns None if the cache is full of active flows."""
        entries = self.entries
        if flow_id not in entries and len(entries) >= self.max_flows:
            oldest = next(iter(entries.values()))
            if now - oldest.seen < ACTIVE_FLOW_S:
                return None
            entries.popitem(last=False)
        hint = Hint(sys.intern(owner), now, now)
        entries[flow_id] = hint
        return hint

    def drop(self, flow_id: FlowId, owner: UpstreamId | None = None) -> Hint | None:
        """Removes and returns the hint of a flow; None if nothing was removed.

        Args:
            flow_id: Flow whose hint is removed.
            owner: If given, a confirmed hint with another owner is kept, so
                that a late reset does not remove a newer owner.
        """
        hint = self.entries.get(flow_id)
        if hint is None:
            return None
        if owner is not None and hint.confirmed and hint.owner != owner:
            return None
        del self.entries[flow_id]
        return hint
