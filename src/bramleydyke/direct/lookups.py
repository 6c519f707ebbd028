"""Finds the holder of a flow that a balancer meets for the first time.

Routers may send the packets of a flow to any balancer. The likeliest holders
follow from the flow's owner order; after them all agents of the service are
asked. Only the holder hands the packet to its upstream and answers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain

from bramleydyke.core.timers import Timers
from bramleydyke.direct.constants import (
    CANDIDATES,
    HELD_PACKETS,
    LOOKUP_HOLD_S,
    LOOKUP_STAGE_S,
    MAX_LOOKUP_AGENTS,
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
        awaited: Agents that have been asked and have not answered.
        held: Later packets of the flow.
        partial: True if there are too many agents to ask them all.
    """

    packet: Packet
    stages: list[list[Asked]]
    awaited: set[NodeIp] = field(default_factory=set)
    held: list[Packet] = field(default_factory=list)
    partial: bool = False


@dataclass(slots=True, kw_only=True)
class Lookups:
    """Flows whose holders are sought, and those not found a moment ago."""

    directory: Directory
    send: Send
    reset: Callable[[Packet], None]
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
        lookup = self._new_lookup(packet, services)
        self.waiting[packet.flow] = lookup
        self._next_stage(packet.flow, lookup, now=now)

    def found(self, flow: FlowTuple) -> list[Packet]:
        """Ends a lookup; returns the packets that waited for it."""
        lookup = self.waiting.pop(flow, None)
        if lookup is None:
            return []
        self.timers.cancel(flow)
        return lookup.held

    def absent(self, flow: FlowTuple, node: NodeIp, *, now: float) -> None:
        """Notes that an agent's upstream surely does not hold a flow."""
        self.directory.answered(node, now=now)
        lookup = self.waiting.get(flow)
        if lookup is None:
            return
        lookup.awaited.discard(node)
        if not lookup.awaited and lookup.stages:
            self._next_stage(flow, lookup, now=now)
        elif not lookup.awaited:
            self._conclude(flow, lookup, now=now)

    def wake(self, *, now: float) -> None:
        """Asks more agents about the flows that were not found."""
        for flow in self.timers.pop_due(now):
            lookup = self.waiting.get(flow)
            if lookup is None:
                continue
            if lookup.stages:
                self._next_stage(flow, lookup, now=now)
            else:
                self._conclude(flow, lookup, now=now)

    def _conclude(self, flow: FlowTuple, lookup: Lookup, *, now: float) -> None:
        """Ends a lookup without a holder.

        If each agent that may hold the flow has said that it does not, the
        flow is dead, and a reset lets the caller try anew at once.
        """
        del self.waiting[flow]
        self.timers.cancel(flow)
        for node in lookup.awaited:
            self.directory.silent(node, now=now)
        alive = [n for n in lookup.awaited if not self.directory.dead(n, now=now)]
        dead = self.directory.complete and not alive and not lookup.partial
        action = "reset" if dead else "dropped"
        self.count(counter_name(ErrorKind.FLOW_SILENT, action=action))
        self.record(
            "flow_not_found",
            flow=flow,
            held=len(lookup.held),
            unanswered=sorted(lookup.awaited),
            complete=self.directory.complete,
            outcome=action,
        )
        if dead:
            self.reset(lookup.packet)

    def _new_lookup(self, packet: Packet, services: list[ServiceId]) -> Lookup:
        """Orders the agents: the likely holders, their service, the others."""
        flow = packet.flow
        owners = [
            [(node, service) for node in self.directory.owners(service, flow)]
            for service in services
        ]
        likely = list(chain.from_iterable(group[:CANDIDATES] for group in owners))
        rest = list(chain.from_iterable(group[CANDIDATES:] for group in owners))
        # The route may have had another service before this process started.
        elsewhere = [
            (node, service)
            for service in self.directory.by_service
            if service not in services
            for node in self.directory.owners(service, flow)
        ]
        partial = len(likely) + len(rest) + len(elsewhere) > MAX_LOOKUP_AGENTS
        stages = [likely, rest, [] if partial else elsewhere]
        return Lookup(packet, [stage for stage in stages if stage], partial=partial)

    def _next_stage(self, flow: FlowTuple, lookup: Lookup, *, now: float) -> None:
        stage = lookup.stages.pop(0) if lookup.stages else []
        wait = LOOKUP_STAGE_S if lookup.stages else LOOKUP_HOLD_S
        self.timers.set(flow, now + wait)
        # A holder that restarts must not make others try their upstreams.
        probe = not lookup.awaited and not any(
            self.directory.restarting(node, now=now) for node, _ in stage
        )
        datagram = lookup.packet.datagram
        for node, service in stage:
            lookup.awaited.add(node)
            self.send(node, Forward(service, True, Lifetime(0), datagram, probe))
