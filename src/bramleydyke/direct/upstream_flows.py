"""Flows of one upstream, as its agent sees their packets."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleydyke.direct.constants import (
    FLOW_IDLE_S,
    MAX_ABSENT,
    MAX_OPENING_AGE_S,
    MAX_REQUEST_AGE_S,
    OPEN_FLOW_LOAD,
)
from bramleydyke.direct.holders import acknowledges
from bramleydyke.direct.messages import Load
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp


class Probe(NamedTuple):
    """A packet sent to the upstream to learn whether it holds the flow.

    Attributes:
        balancer: Balancer that sent the packet.
        is_lookup: True if the packet belongs to a lookup that waits for an
            answer.
    """

    balancer: NodeIp
    is_lookup: bool


@dataclass(slots=True)
class UpstreamFlow:
    """A flow that the upstream holds or is opening.

    Attributes:
        balancer: Balancer that sent the last packet; None if not known.
        lifetime: Lifetime of the upstream when the flow opened.
        last_packet_at: Time of the last packet, in seconds.
        first_sequence: First sequence number of the upstream; None before the
            upstream has answered the opening packet.
        open: True once the caller has acknowledged the upstream's answer.
        caller_finished: True once the caller has sent all its data.
        upstream_finished: True once the upstream has sent all its data.
    """

    balancer: NodeIp | None
    lifetime: Lifetime
    last_packet_at: float
    first_sequence: int | None = None
    open: bool = False
    caller_finished: bool = False
    upstream_finished: bool = False

    @property
    def finished(self) -> bool:
        """Whether both ends have sent all their data."""
        return self.caller_finished and self.upstream_finished

    def matches_acknowledgement(self, acknowledged: int) -> bool:
        """Returns whether a caller's packet belongs to this upstream's flow.

        While the flow is opening, the caller may have continued with another
        upstream that accepted the flow. The acknowledgement then does not fit
        this upstream's sequence numbers.
        """
        if self.open:
            return True
        first = self.first_sequence
        return first is not None and acknowledges(acknowledged, first)


@dataclass(slots=True, kw_only=True)
class UpstreamFlows:
    """Flows and unanswered requests of one upstream.

    Attributes:
        idle_s: Seconds without a packet after which a flow is removed.
        flows: Flows by flow tuple, least recently used first.
        absent: Flows of which the upstream has returned a packet, because it
            does not hold them; oldest first.
        unfinished: Number of flows that are open or opening.
        requests: Arrival time of the unanswered request of each flow, in
            seconds; oldest first.
    """

    idle_s: float = FLOW_IDLE_S
    flows: OrderedDict[FlowTuple, UpstreamFlow] = field(default_factory=OrderedDict)
    absent: OrderedDict[FlowTuple, None] = field(default_factory=OrderedDict)
    unfinished: int = 0
    requests: OrderedDict[FlowTuple, float] = field(default_factory=OrderedDict)

    def add(self, key: FlowTuple, flow: UpstreamFlow) -> UpstreamFlow:
        """Adds a flow; replaces an earlier flow with the same tuple."""
        self.remove(key)
        self.absent.pop(key, None)
        self.flows[key] = flow
        self.unfinished += 1
        return flow

    def touch(self, key: FlowTuple, *, now: float) -> UpstreamFlow | None:
        """Returns a flow, if it is known; updates its last-packet time."""
        flow = self.flows.get(key)
        if flow is not None:
            flow.last_packet_at = now
            self.flows.move_to_end(key)
        return flow

    def remove(self, key: FlowTuple) -> None:
        """Removes a flow and its unanswered request."""
        flow = self.flows.pop(key, None)
        self.requests.pop(key, None)
        if flow is not None and not flow.finished:
            self.unfinished -= 1

    def finish(self, flow: UpstreamFlow, *, caller: bool) -> None:
        """Records that the caller or the upstream has sent all its data."""
        before = flow.finished
        if caller:
            flow.caller_finished = True
        else:
            flow.upstream_finished = True
        if flow.finished and not before:
            self.unfinished -= 1

    def renumber(self, earlier: Lifetime, lifetime: Lifetime) -> None:
        """Gives the flows of a lifetime that was renumbered its new number."""
        for flow in self.flows.values():
            if flow.lifetime == earlier:
                flow.lifetime = lifetime

    def end(self, flow: UpstreamFlow) -> None:
        """Marks a flow that was reset as finished at both ends."""
        self.finish(flow, caller=True)
        self.finish(flow, caller=False)

    def add_request(self, key: FlowTuple, *, now: float) -> None:
        """Counts a flow's request as unanswered.

        An opening packet counts as a request, too.
        """
        self.requests.setdefault(key, now)

    def remove_request(self, key: FlowTuple) -> None:
        """Removes the request of a flow after an answer or the flow's end."""
        self.requests.pop(key, None)

    def load(self, slots: int, *, factor: float = 1.0, waiting: int = 0) -> Load:
        """Returns the load per slot.

        Args:
            slots: Number of requests that the upstream processes in parallel.
            factor: Factor by which requests currently take longer.
            waiting: Number of flows in the agent's queue.
        """
        requests = (len(self.requests) + waiting) * factor / slots
        idle = max(0, self.unfinished - len(self.requests))
        return Load(requests, requests + idle * OPEN_FLOW_LOAD * factor / slots)

    def expire_requests(self, *, now: float) -> None:
        """Removes requests that are older than the limits.

        The limit is ``MAX_REQUEST_AGE_S`` for open flows and
        ``MAX_OPENING_AGE_S`` for others.
        """
        expired = [
            key
            for key, since in self.requests.items()
            if now - since
            > (MAX_REQUEST_AGE_S if self._is_open(key) else MAX_OPENING_AGE_S)
        ]
        for key in expired:
            del self.requests[key]

    def _is_open(self, key: FlowTuple) -> bool:
        flow = self.flows.get(key)
        return flow is not None and flow.open

    def mark_absent(self, key: FlowTuple) -> None:
        """Records that the upstream does not hold a flow."""
        self.absent[key] = None
        if len(self.absent) > MAX_ABSENT:
            self.absent.popitem(last=False)

    def expire(self, *, now: float) -> int:
        """Removes idle flows; returns their number."""
        before = len(self.flows)
        while self.flows:
            key, flow = next(iter(self.flows.items()))
            if now - flow.last_packet_at <= self.idle_s:
                break
            self.remove(key)
        return before - len(self.flows)
