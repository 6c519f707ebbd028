"""Flows of one upstream, as its agent sees them pass."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from bramleydyke.direct.constants import (
    BUSY_LIMIT_S,
    FLOW_IDLE_S,
    MAX_ABSENT,
    OPEN_FLOW_LOAD,
    OPENING_LIMIT_S,
)
from bramleydyke.direct.holders import acknowledges
from bramleydyke.direct.messages import Load
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp


@dataclass(slots=True)
class UpstreamFlow:
    """A flow that the upstream holds or is opening.

    Attributes:
        balancer: The balancer that sent its last packet; None if not known.
        lifetime: Upstream lifetime that holds it.
        seen: Time of its last packet, in seconds.
        first_sequence: First sequence of the upstream; None before its answer.
        open: True once the caller has answered the upstream.
    """

    balancer: NodeIp | None
    lifetime: Lifetime
    seen: float
    first_sequence: int | None = None
    open: bool = False
    caller_finished: bool = False
    upstream_finished: bool = False

    @property
    def finished(self) -> bool:
        """True if both ends have sent all their data."""
        return self.caller_finished and self.upstream_finished

    def is_meant(self, acknowledged: int) -> bool:
        """Tells whether a caller's packet belongs to the flow here.

        While it is not open, the caller may go on with another upstream.
        """
        if self.open:
            return True
        first = self.first_sequence
        return first is not None and acknowledges(acknowledged, first)


@dataclass(slots=True, kw_only=True)
class UpstreamFlows:
    """Flows by tuple, least recently used first.

    Attributes:
        absent: Flows that the upstream gave back a packet of.
        unfinished: Number of flows that are open or opening.
        requests: Flows with a request that has no response, and since when.
    """

    idle_s: float = FLOW_IDLE_S
    flows: OrderedDict[FlowTuple, UpstreamFlow] = field(default_factory=OrderedDict)
    absent: OrderedDict[FlowTuple, None] = field(default_factory=OrderedDict)
    unfinished: int = 0
    requests: OrderedDict[FlowTuple, float] = field(default_factory=OrderedDict)

    def add(self, key: FlowTuple, flow: UpstreamFlow) -> UpstreamFlow:
        """Adds a flow."""
        self.remove(key)
        self.absent.pop(key, None)
        self.flows[key] = flow
        self.unfinished += 1
        return flow

    def touch(self, key: FlowTuple, *, now: float) -> UpstreamFlow | None:
        """Returns a flow and notes a packet of it."""
        flow = self.flows.get(key)
        if flow is not None:
            flow.seen = now
            self.flows.move_to_end(key)
        return flow

    def remove(self, key: FlowTuple) -> None:
        """Forgets a flow."""
        flow = self.flows.pop(key, None)
        self.requests.pop(key, None)
        if flow is not None and not flow.finished:
            self.unfinished -= 1

    def finish(self, flow: UpstreamFlow, *, caller: bool) -> None:
        """Notes that one end has sent all its data."""
        before = flow.finished
        if caller:
            flow.caller_finished = True
        else:
            flow.upstream_finished = True
        if flow.finished and not before:
            self.unfinished -= 1

    def end(self, flow: UpstreamFlow) -> None:
        """Notes that a flow was reset."""
        self.finish(flow, caller=True)
        self.finish(flow, caller=False)

    def requested(self, key: FlowTuple, *, now: float) -> None:
        """Notes that a flow has a request, or is about to have one."""
        self.requests.setdefault(key, now)

    def responded(self, key: FlowTuple) -> None:
        """Notes a response, or the end of a flow that waited for one."""
        self.requests.pop(key, None)

    def load(self, slots: int, *, factor: float = 1.0, waiting: int = 0) -> Load:
        """Returns the load for each slot.

        Args:
            slots: Requests that the upstream works on at once.
            factor: How much slower than usual it is.
            waiting: Flows that wait to open.
        """
        requests = (len(self.requests) + waiting) * factor / slots
        idle = max(0, self.unfinished - len(self.requests))
        return Load(requests, requests + idle * OPEN_FLOW_LOAD * factor / slots)

    def expire_requests(self, *, now: float) -> None:
        """Forgets requests that have waited for too long to be counted."""
        over = [
            key
            for key, since in self.requests.items()
            if now - since > (BUSY_LIMIT_S if self._open(key) else OPENING_LIMIT_S)
        ]
        for key in over:
            del self.requests[key]

    def _open(self, key: FlowTuple) -> bool:
        flow = self.flows.get(key)
        return flow is not None and flow.open

    def mark_absent(self, key: FlowTuple) -> None:
        """Remembers that the upstream does not hold a flow."""
        self.absent[key] = None
        if len(self.absent) > MAX_ABSENT:
            self.absent.popitem(last=False)

    def expire(self, *, now: float) -> int:
        """Forgets idle flows; returns their number."""
        before = len(self.flows)
        while self.flows:
            key, flow = next(iter(self.flows.items()))
            if now - flow.seen <= self.idle_s:
                break
            self.remove(key)
        return before - len(self.flows)
