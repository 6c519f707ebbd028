"""Finds the holder of a flow that a balancer meets for the first time.

Routers may send the packets of a flow to any balancer. The likeliest holders
follow from the flow's owner order; after them all agents of the service are
asked. Only the holder hands the packet to its upstream and answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import chain

from bramleydyke.core.timers import Timers
from bramleydyke.direct.constants import (
    CANDIDATES,
    HELD_PACKETS,
    LOOKUP_HOLD_S,
    LOOKUP_STAGE_S,
)
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.messages import Forward
from bramleydyke.direct.ports import Count, Record, Send
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp, Packet
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import ServiceId

Asked = tuple[NodeIp, ServiceId]


@dataclass(slots=True)
class Lookup:
    """A flow whose holder is sought.

    Attributes:
        packet: The packet that the agents are asked about.
        stages: Agents to ask, in groups.
        held: Later packets of the flow.
    """

    packet: Packet
    stages: list[list[Asked]]
    held: list[Packet] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Lookups:
    """Flows whose holders are sought, and those not found a moment ago."""

    directory: Directory
    send: Send
    count: Count
    record: Record
    waiting: dict[FlowTuple, Lookup] = field(default_factory=dict)
    timers: Timers[FlowTuple] = field(default_factory=Timers)

    def packet_in(
        self, packet: Packet, services: list[ServiceId], *, now: float
    ) -> None:
        """Seeks the holder of a packet's flow; holds later packets."""
        lookup = self.waiting.get(packet.flow)
        if lookup is not None:
            if len(lookup.held) < HELD_PACKETS:
                lookup.held.append(packet)
            else:
                self.count("dropped.held_packets")
            return
        self.count("lookups")
        lookup = Lookup(packet, self._stages(packet.flow, services))
        self.waiting[packet.flow] = lookup
        self._next_stage(packet.flow, lookup, now=now)

    def found(self, flow: FlowTuple) -> list[Packet]:
        """Ends a lookup; returns the packets that waited for it."""
        lookup = self.waiting.pop(flow, None)
        if lookup is None:
            return []
        self.timers.cancel(flow)
        return lookup.held

    def wake(self, *, now: float) -> None:
        """Asks more agents about the flows that were not found."""
        for flow in self.timers.pop_due(now):
            lookup = self.waiting.get(flow)
            if lookup is None:
                continue
            if lookup.stages:
                self._next_stage(flow, lookup, now=now)
            else:
                del self.waiting[flow]
                self.count(counter_name(ErrorKind.FLOW_SILENT, action="dropped"))
                self.record("flow_not_found", flow=flow, held=len(lookup.held))

    def _stages(self, flow: FlowTuple, services: list[ServiceId]) -> list[list[Asked]]:
        owners = [
            [(node, service) for node in self.directory.owners(service, flow)]
            for service in services
        ]
        likely = list(chain.from_iterable(group[:CANDIDATES] for group in owners))
        others = list(chain.from_iterable(group[CANDIDATES:] for group in owners))
        return [stage for stage in (likely, others) if stage]

    def _next_stage(self, flow: FlowTuple, lookup: Lookup, *, now: float) -> None:
        stage = lookup.stages.pop(0) if lookup.stages else []
        wait = LOOKUP_STAGE_S if lookup.stages else LOOKUP_HOLD_S
        self.timers.set(flow, now + wait)
        for node, service in stage:
            self.send(node, Forward(service, True, Lifetime(0), lookup.packet.datagram))
