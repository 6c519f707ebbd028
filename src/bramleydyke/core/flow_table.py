"""Table of the datagram flows of one agent.

The table is bounded. Idle flows expire, and a flow whose upstream has stopped
answering gets a new upstream socket, or ends if that does not help.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from bramleydyke.constants import (
    AGENT_FLOWS,
    FLOW_IDLE_S,
    FLOW_READMIT_DELAY_S,
    FLOW_SILENT_S,
    MAX_REBINDS,
    MIN_UNANSWERED_PACKETS,
)
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ErrorKind
from bramleydyke.types import (
    CallerAddress,
    FlowId,
    NodeId,
    ServiceAddress,
    UpstreamId,
)

POINTERS_PER_FLOW = 4
"""Limit of the stored pointers, as a multiple of the table's flow limit."""

SILENCE_FACTOR = 4
"""Multiple of a flow's longest normal gap after which it counts as silent.

The gap is measured in unanswered packets and in seconds before an answer. With
a fixed limit, a flow whose upstream rarely answers would count as silent, and
the new socket would break it.
"""

MIN_ANSWERS = 8
"""Minimum answers for a reliable estimate of a flow's longest gap."""


class Silence(Enum):
    """Result of the check for a silent upstream on each delivered packet."""

    NONE = "none"
    REBIND = "rebind"
    """The upstream is silent; the flow got a new upstream socket."""

    ENDED = "ended"
    """No answer on ``MAX_REBINDS`` new sockets either; flow removed."""


class Pointer(NamedTuple):
    """Agent to which packets of a flow that is not held here are forwarded."""

    owner: UpstreamId
    holds: bool
    """True if the owner reported that it holds the flow.

    False if the owner is only the candidate that will admit the flow.
    """


@dataclass(slots=True)
class Flow:
    """State of a datagram flow that an agent holds. Times are in seconds.

    Attributes:
        balancer: The balancer that forwarded the flow's last packet.
        admitted_at: Time of the admission. If two agents admitted the flow,
            it decides which of them keeps it.
        last_packet_at: Time of the last packet in either direction.
        unanswered_since: Time of the first packet to the upstream after its
            last answer.
        first_owner: The upstream that balancers and other agents ask first
            for this flow.
        binding: Number of the flow's upstream socket, from 1; a new number
            makes the port open a new socket.
        answers: Packets received from the upstream.
        unanswered: Packets sent to the upstream since its last answer.
        longest_unanswered: Largest value of ``unanswered`` before an answer.
        longest_silence_s: Longest time from ``unanswered_since`` to an
            answer.
        rebinds: New upstream sockets since the last answer.
    """

    flow_id: FlowId
    address: ServiceAddress
    caller: CallerAddress
    balancer: NodeId
    admitted_at: float
    last_packet_at: float
    unanswered_since: float
    first_owner: UpstreamId
    binding: int = 1
    answers: int = 0
    unanswered: int = 0
    longest_unanswered: int = 0
    longest_silence_s: float = 0.0
    rebinds: int = 0


@dataclass(slots=True, kw_only=True)
class FlowTable:
    """Flows held here, and pointers to the owners of other flows.

    Attributes:
        max_flows: Limit of the flows held here.
        draining: True if no new flow is admitted; existing flows continue.
        flows: Flows held here.
        pointers: Known owners of flows held elsewhere, oldest first.
        avoided_until: Flows that ended here because their upstream was
            silent, and the time until which another agent should admit them.
        timers: Idle timer of each flow.
    """

    max_flows: int = AGENT_FLOWS
    draining: bool = False
    flows: dict[FlowId, Flow] = field(default_factory=dict)
    pointers: OrderedDict[FlowId, Pointer] = field(default_factory=OrderedDict)
    avoided_until: OrderedDict[FlowId, float] = field(default_factory=OrderedDict)
    timers: Timers[FlowId] = field(default_factory=Timers)

    def refusal(self, flow_id: FlowId, *, now: float) -> ErrorKind | None:
        """Returns the reason to refuse a new flow, or None to admit it."""
        if self.draining:
            return ErrorKind.DRAINING
        if len(self.flows) >= self.max_flows:
            return ErrorKind.TABLE_FULL
        if self.avoided_until.get(flow_id, now) > now:
            return ErrorKind.FLOW_SILENT
        return None

    def admit(self, flow: Flow, *, now: float) -> None:
        """Adds a flow and starts its idle timer."""
        self.flows[flow.flow_id] = flow
        self.pointers.pop(flow.flow_id, None)
        self.timers.set(flow.flow_id, now + FLOW_IDLE_S)

    def remove(self, flow_id: FlowId) -> None:
        """Removes a flow and its idle timer."""
        del self.flows[flow_id]
        self.timers.cancel(flow_id)

    def set_pointer(
        self, flow_id: FlowId, owner: UpstreamId, *, holds: bool = False
    ) -> None:
        """Stores a pointer to the agent that holds, or will admit, a flow.

        The oldest pointer is evicted when there are too many.
        """
        self.pointers[flow_id] = Pointer(owner, holds)
        self.pointers.move_to_end(flow_id)
        if len(self.pointers) > self.max_flows * POINTERS_PER_FLOW:
            self.pointers.popitem(last=False)

    def drop_pointers(self, owner: UpstreamId) -> None:
        """Removes all pointers to an agent that is unreachable."""
        for flow_id in [key for key, to in self.pointers.items() if to.owner == owner]:
            del self.pointers[flow_id]

    def delivered(self, flow: Flow, balancer: NodeId, *, now: float) -> Silence:
        """Records a packet to the upstream and checks for a silent upstream.

        A silent flow gets a new upstream socket. If it is still silent after
        ``MAX_REBINDS`` new sockets, it is removed.
        """
        flow.last_packet_at = now
        flow.balancer = balancer
        if flow.unanswered == 0:
            flow.unanswered_since = now
        flow.unanswered += 1
        if not _is_silent(flow, now=now):
            return Silence.NONE
        if flow.rebinds < MAX_REBINDS:
            flow.rebinds += 1
            flow.binding += 1
            flow.unanswered = 0
            return Silence.REBIND
        self.remove(flow.flow_id)
        self._avoid(flow.flow_id, now=now)
        return Silence.ENDED

    def answered(self, flow: Flow, *, now: float) -> None:
        """Records a packet from the upstream."""
        flow.last_packet_at = now
        flow.answers += 1
        if flow.unanswered:
            flow.longest_unanswered = max(flow.longest_unanswered, flow.unanswered)
            flow.longest_silence_s = max(
                flow.longest_silence_s, now - flow.unanswered_since
            )
        flow.unanswered = 0
        flow.rebinds = 0

    def expire(self, *, now: float) -> list[Flow]:
        """Removes and returns flows without a packet for ``FLOW_IDLE_S``."""
        idle = []
        for flow_id in self.timers.pop_due(now):
            flow = self.flows[flow_id]
            ends_at = flow.last_packet_at + FLOW_IDLE_S
            if ends_at > now:
                self.timers.set(flow_id, ends_at)
                continue
            del self.flows[flow_id]
            idle.append(flow)
        return idle

    def _avoid(self, flow_id: FlowId, *, now: float) -> None:
        self.avoided_until[flow_id] = now + FLOW_READMIT_DELAY_S
        self.avoided_until.move_to_end(flow_id)
        while self.avoided_until and (
            len(self.avoided_until) > self.max_flows
            or next(iter(self.avoided_until.values())) <= now
        ):
            self.avoided_until.popitem(last=False)


def _is_silent(flow: Flow, *, now: float) -> bool:
    if flow.answers < MIN_ANSWERS:
        return False
    packets = max(MIN_UNANSWERED_PACKETS, SILENCE_FACTOR * flow.longest_unanswered)
    seconds = max(FLOW_SILENT_S, SILENCE_FACTOR * flow.longest_silence_s)
    return flow.unanswered >= packets and now - flow.unanswered_since >= seconds
