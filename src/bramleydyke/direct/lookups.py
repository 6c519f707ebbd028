"""Finds which agent holds a flow that a balancer has not seen before.

Routers may send the packets of a flow to any balancer. The agents are ranked
for each flow by rendezvous hashing, and a flow is usually held by one of the
first. A lookup asks these first, then all other agents. Only the holder
forwards the packet to its upstream.

An agent that has just restarted does not know which flows its upstream holds.
It can find out by a probe: it forwards the packet to the upstream, which
returns packets of unknown flows. Probes are sent only when all agents that
were asked have answered: while the holder itself restarts, the packet must not
reach many other upstreams.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain

from bramleydyke.core.timers import Timers
from bramleydyke.direct.constants import (
    CANDIDATES,
    DEAD_AGENT_S,
    LOOKUP_BATCH_S,
    LOOKUP_LAST_STAGE_S,
    LOOKUP_STAGE_S,
    MAX_EARLY_PROBES,
    MAX_FLOWS_PER_QUERY,
    MAX_HELD_PACKETS,
    MAX_LOOKUP_AGENTS,
    MAX_SINGLE_STAGE_AGENTS,
    MIN_ANSWERED_SHARE,
)
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.messages import Forward, HolderQuery
from bramleydyke.direct.ports import Count, Record, Send
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp, Packet
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import ServiceId

AgentService = tuple[NodeIp, ServiceId]
"""An agent and the service of the flow that it is asked about."""

FlowAndAck = tuple[FlowTuple, int]
"""A flow and the sequence number acknowledged by its caller."""


@dataclass(slots=True)
class Lookup:
    """An unfinished search for the agent that holds a flow.

    Attributes:
        packet: First packet of the flow that this balancer received.
        stages: Groups of agents that have not been asked yet, in order.
        pending_agents: Agents that have been asked and have not answered.
        to_probe: Agents that need a probe to answer and got none yet.
        services: Service of each agent that has been asked.
        held: Packets that arrived during the lookup.
        patience_s: Silence in seconds after which an agent counts as dead.
        partial: True if there are too many agents to ask all of them.
        probed: True once ``packet`` was sent as a probe, so that the holder
            already has the packet.
    """

    packet: Packet
    stages: list[list[AgentService]]
    pending_agents: set[NodeIp] = field(default_factory=set)
    to_probe: list[AgentService] = field(default_factory=list)
    services: dict[NodeIp, ServiceId] = field(default_factory=dict)
    held: list[Packet] = field(default_factory=list)
    patience_s: float = DEAD_AGENT_S
    partial: bool = False
    probed: bool = False


@dataclass(slots=True, kw_only=True)
class Lookups:
    """Runs the lookups of a balancer.

    Queries to the same agent are collected for a few milliseconds and sent as
    one message.

    Attributes:
        reset: Resets the flow of a caller's packet.
        waiting: Unfinished lookups by flow.
        timers: When each lookup asks the next agents or ends.
        batches: Queries that have not been sent, by agent and service.
        collect_until: When the collected queries are sent, in seconds.
    """

    directory: Directory
    send: Send
    reset: Callable[[Packet], None]
    count: Count
    record: Record
    waiting: dict[FlowTuple, Lookup] = field(default_factory=dict)
    timers: Timers[FlowTuple] = field(default_factory=Timers)
    batches: dict[AgentService, list[FlowAndAck]] = field(default_factory=dict)
    collect_until: float = 0.0

    def packet_in(
        self,
        packet: Packet,
        services: list[ServiceId],
        *,
        now: float,
        timeout_s: float = 0.0,
    ) -> None:
        """Starts a lookup, or holds the packet if one is already running.

        Args:
            packet: Packet of a flow whose holder is not known.
            services: Services that may hold the flow, the likeliest first.
            now: Time in seconds.
            timeout_s: Timeout of the flow's route. Until it has passed, an
                agent that is only silent may still have the flow's request.
        """
        lookup = self.waiting.get(packet.flow)
        if lookup is not None:
            if len(lookup.held) < MAX_HELD_PACKETS:
                lookup.held.append(packet)
            else:
                self.count("dropped.held_packets")
            return
        self.count("lookups")
        lookup = self._new_lookup(packet, services)
        lookup.patience_s = max(DEAD_AGENT_S, timeout_s)
        self.waiting[packet.flow] = lookup
        self._next_stage(packet.flow, lookup, now=now)

    def found(self, flow: FlowTuple) -> list[Packet]:
        """Ends a lookup; returns the packets to send to the holder.

        The first packet is left out if the holder got it as a probe.
        """
        lookup = self.waiting.pop(flow, None)
        if lookup is None:
            return []
        self.timers.cancel(flow)
        return lookup.held if lookup.probed else [lookup.packet, *lookup.held]

    def absent(self, flow: FlowTuple, node: NodeIp, *, now: float) -> None:
        """Handles an agent's answer that its upstream does not hold a flow."""
        self.directory.answered(node, now=now)
        lookup = self.waiting.get(flow)
        if lookup is None:
            return
        self._record_answer(flow, lookup, node, now=now)

    def probe_needed(self, flow: FlowTuple, node: NodeIp, *, now: float) -> None:
        """Handles an agent's answer that it needs a probe to decide."""
        self.directory.answered(node, now=now)
        lookup = self.waiting.get(flow)
        if lookup is None or node not in lookup.services:
            return
        lookup.to_probe.append((node, lookup.services[node]))
        self._record_answer(flow, lookup, node, now=now)

    def _record_answer(
        self, flow: FlowTuple, lookup: Lookup, node: NodeIp, *, now: float
    ) -> None:
        """Records an answer; starts the next stage after the last one."""
        lookup.pending_agents.discard(node)
        if not lookup.pending_agents:
            self._next_stage(flow, lookup, now=now)

    def wake(self, *, now: float) -> None:
        """Sends collected queries; starts the next stage after a timeout."""
        if self.batches and now >= self.collect_until:
            self._flush(now=now)
        for flow in self.timers.pop_due(now):
            lookup = self.waiting.get(flow)
            if lookup is None:
                continue
            self._next_stage(flow, lookup, now=now)

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` must be called next; None if never."""
        due = self.timers.next()
        if not self.batches:
            return due
        return self.collect_until if due is None else min(due, self.collect_until)

    def _conclude(self, flow: FlowTuple, lookup: Lookup, *, now: float) -> None:
        """Ends a lookup that found no holder.

        If every agent whose upstream may hold the flow has answered that it
        does not, the flow is dead: a reset lets the caller reconnect at once.
        Otherwise the packet is dropped, and the caller's retransmission starts
        a new lookup.
        """
        del self.waiting[flow]
        self.timers.cancel(flow)
        for node in lookup.pending_agents:
            self.directory.mark_suspect(node, now=now)
        unknown = self._unanswered(lookup, now=now) or lookup.to_probe
        answered = len(lookup.services) - len(lookup.pending_agents)
        isolated = answered < MIN_ANSWERED_SHARE * len(lookup.services)
        certain = self.directory.complete and not lookup.partial and not isolated
        dead = certain and not unknown
        action = "reset" if dead else "dropped"
        self.count(counter_name(ErrorKind.FLOW_SILENT, action=action))
        self.record(
            "flow_not_found",
            flow=flow,
            held=len(lookup.held),
            unanswered=sorted(lookup.pending_agents),
            complete=self.directory.complete,
            outcome=action,
        )
        if dead:
            self.reset(lookup.packet)

    def _new_lookup(self, packet: Packet, services: list[ServiceId]) -> Lookup:
        """Returns a lookup that asks the likeliest holders first.

        The other agents of these services and those of all other services
        follow. A small number of agents is asked in a single stage.
        """
        flow = packet.flow
        owners = [
            [(node, service) for node in self.directory.owners(service, flow)]
            for service in services
        ]
        likely = list(chain.from_iterable(group[:CANDIDATES] for group in owners))
        rest = list(chain.from_iterable(group[CANDIDATES:] for group in owners))
        # Before this balancer started, the route may have had other services.
        elsewhere = [
            (node, service)
            for service in self.directory.by_service
            if service not in services
            for node in self.directory.owners(service, flow)
        ]
        total = len(likely) + len(rest) + len(elsewhere)
        partial = total > MAX_LOOKUP_AGENTS
        others = rest if partial else rest + elsewhere
        if total <= MAX_SINGLE_STAGE_AGENTS:
            stages = [likely + others]
        else:
            stages = [likely, others]
        return Lookup(packet, [s for s in stages if s], partial=partial)

    def _next_stage(self, flow: FlowTuple, lookup: Lookup, *, now: float) -> None:
        """Sends probes or asks the next agents, or ends the lookup."""
        probe = self._may_probe(lookup, now=now)
        if probe:
            agents, lookup.to_probe = lookup.to_probe, []
        elif lookup.stages:
            agents = lookup.stages.pop(0)
        else:
            self._conclude(flow, lookup, now=now)
            return
        more = lookup.stages or lookup.to_probe
        self.timers.set(flow, now + (LOOKUP_STAGE_S if more else LOOKUP_LAST_STAGE_S))
        packet = lookup.packet
        lookup.probed = lookup.probed or probe
        for node, service in agents:
            lookup.pending_agents.add(node)
            lookup.services[node] = service
            if probe:
                forward = Forward(service, True, Lifetime(0), packet.datagram)
                self.send(node, forward)
            else:
                self._query(node, service, (flow, packet.acknowledged))
        if self.batches and now >= self.collect_until:
            self._flush(now=now)

    def _query(self, node: NodeIp, service: ServiceId, query: FlowAndAck) -> None:
        """Adds a flow to the next query to an agent; sends a full query."""
        batch = self.batches.setdefault((node, service), [])
        batch.append(query)
        if len(batch) >= MAX_FLOWS_PER_QUERY:
            del self.batches[node, service]
            self.send(node, HolderQuery(service, batch))

    def _flush(self, *, now: float) -> None:
        """Sends the collected queries and starts a new collection."""
        self.collect_until = now + LOOKUP_BATCH_S
        batches, self.batches = self.batches, {}
        for (node, service), flows in batches.items():
            self.send(node, HolderQuery(service, flows))

    def _may_probe(self, lookup: Lookup, *, now: float) -> bool:
        """Returns whether the agents that need a probe may get it now.

        While agents are left to ask, at most ``MAX_EARLY_PROBES`` may be
        probed. Otherwise many upstreams would get a packet of a flow that they
        do not hold.
        """
        if not lookup.to_probe or self._unanswered(lookup, now=now):
            return False
        return not lookup.stages or len(lookup.to_probe) <= MAX_EARLY_PROBES

    def _unanswered(self, lookup: Lookup, *, now: float) -> list[NodeIp]:
        """Returns the pending agents that are not considered dead."""
        return [
            node
            for node in lookup.pending_agents
            if not self.directory.is_dead(node, now=now, after_s=lookup.patience_s)
        ]
