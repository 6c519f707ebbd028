"""Datagram flows at an agent: delivery, lookup and admission.

A packet of a flow that this agent does not hold first visits every agent that
may hold the flow. If none does, the first agent that accepts new flows admits
it. Each visited agent stores a pointer to the agent that will admit the flow,
so that two concurrent packets on different routes reach the same agent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import FLOW_WIDE_LOOKUP_S, MAX_HOPS, MAX_PACKET_BYTES
from bramleydyke.core.config import ConfigStore
from bramleydyke.core.flow_peers import FlowPeers
from bramleydyke.core.flow_plan import plan_packet
from bramleydyke.core.flow_table import Flow, FlowTable, Pointer, Silence
from bramleydyke.core.return_path import ReturnPath
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    Envelope,
    FlowAlive,
    FlowProbe,
    PacketAnswered,
    PacketDeliver,
    PacketForward,
    PacketReturn,
)
from bramleydyke.types import (
    LOCAL_UPSTREAM,
    NodeId,
    PartnerId,
    ServiceId,
    UpstreamId,
    agent_node,
)


@dataclass(slots=True, kw_only=True)
class FlowServer:
    """Finds or admits the flow of each packet and delivers the packet.

    Attributes:
        is_unreachable: Returns whether another upstream's agent is
            unreachable.
        started_at: Start time of this incarnation. Other agents may have
            admitted flows while this one was down, so lookups ask more agents
            during the first ``FLOW_WIDE_LOOKUP_S`` seconds.
        table: Flows held here, and pointers to flows of other agents.
        return_path: Chooses the balancer that sends an answer to the caller.
        peers: Exchanges hints and resets with other agents and balancers.
    """

    node_id: NodeId
    partner_id: PartnerId
    service_id: ServiceId
    upstream_id: UpstreamId
    started_at: float
    config: ConfigStore
    is_unreachable: Callable[[UpstreamId], bool]
    return_path: ReturnPath
    table: FlowTable = field(default_factory=FlowTable)
    peers: FlowPeers = field(init=False)

    def __post_init__(self) -> None:
        self.peers = FlowPeers(
            node_id=self.node_id,
            service_id=self.service_id,
            upstream_id=self.upstream_id,
            config=self.config,
            table=self.table,
        )

    def next_wakeup(self) -> float | None:
        """Returns the time at which ``wake`` is due, or None if nothing is."""
        probe_at = self.return_path.probes.timers.next()
        times = (self.table.timers.next(), probe_at, self.peers.recheck_at)
        return min((at for at in times if at is not None), default=None)

    def wake(self, *, now: float) -> list[Envelope]:
        """Ends idle flows, repeats probes and sends hints to first owners."""
        ended = [
            self.peers.end_at_upstream(flow.flow_id, ErrorKind.CANCELLED)
            for flow in self.table.expire(now=now)
        ]
        return ended + self.return_path.wake(now=now) + self.peers.wake(now=now)

    def idle(self) -> bool:
        """Returns whether no flow is held here."""
        return not self.table.flows

    # Packets.

    def forwarded(self, packet: PacketForward, *, now: float) -> list[Envelope]:
        """Delivers a packet, forwards it to an agent, or admits its flow."""
        if (packet.service_id, packet.partner_id) != (self.service_id, self.partner_id):
            return self._refuse(packet, ErrorKind.WRONG_SERVICE)
        self.return_path.heard(packet.balancer, now=now)
        flow = self.table.flows.get(packet.flow_id)
        if flow is None:
            return self._look_up(packet, now=now)
        if (flow.address, flow.caller) != (packet.address, packet.caller):
            return self._refuse(packet, ErrorKind.TABLE_FULL)
        return self._deliver(flow, packet, now=now)

    def answered(self, message: PacketAnswered, *, now: float) -> list[Envelope]:
        """Sends an upstream's packet to the caller through a balancer."""
        flow = self.table.flows.get(message.flow_id)
        if flow is None or message.binding > flow.binding:
            return self.peers.count(ErrorKind.FORGOTTEN)
        if len(message.data) > MAX_PACKET_BYTES:
            return self.peers.count(ErrorKind.FRAME_TOO_LARGE)
        self.table.answered(flow, now=now)
        balancer = self.return_path.choose(flow.balancer, now=now)
        answer = PacketReturn(
            flow_id=flow.flow_id,
            service_id=self.service_id,
            address=flow.address,
            caller=flow.caller,
            data=message.data,
        )
        sent = [Envelope(self.node_id, balancer, answer)]
        return sent + self.return_path.probe(balancer, flow.flow_id, now=now)

    def _deliver(
        self, flow: Flow, packet: PacketForward, *, now: float
    ) -> list[Envelope]:
        """Sends a packet of a flow held here to the upstream.

        If the balancer did not know the flow's owner, it gets a hint.
        """
        silence = self.table.delivered(flow, packet.balancer, now=now)
        if silence is Silence.ENDED:
            return self._end_silent(flow, packet)
        sent = []
        if silence is Silence.REBIND:
            sent += self.peers.count(ErrorKind.FLOW_SILENT, action="retried")
        deliver = PacketDeliver(
            flow_id=flow.flow_id,
            binding=flow.binding,
            address=flow.address,
            caller=flow.caller,
            data=packet.data,
        )
        sent.append(Envelope(self.node_id, LOCAL_UPSTREAM, deliver))
        if packet.hinted != self.upstream_id:
            sent.append(self.peers.hint(flow, packet.balancer, now=now))
        return sent

    def _end_silent(self, flow: Flow, packet: PacketForward) -> list[Envelope]:
        """Ends a flow whose upstream did not answer on new sockets either.

        Another agent, if there is one, admits the flow at its next packet.
        """
        kind = ErrorKind.FLOW_SILENT
        return [
            self.peers.reset(packet.balancer, flow.flow_id, self.upstream_id, kind),
            self.peers.end_at_upstream(flow.flow_id, kind),
        ]

    # Lookup and admission.

    def _look_up(self, packet: PacketForward, *, now: float) -> list[Envelope]:
        """Forwards the packet of an unknown flow, or admits the flow.

        The packet follows a stored pointer, then visits the agents that may
        hold the flow. If none of them holds it, the flow is admitted.
        """
        wide_lookup = now - self.started_at < FLOW_WIDE_LOOKUP_S
        packet = plan_packet(packet, self.config, wide_lookup=wide_lookup)
        visited = (*packet.visited, self.upstream_id)
        pointer = self.table.pointers.get(packet.flow_id)
        if pointer is not None and self._should_follow(packet, pointer):
            followed = (*packet.followed, pointer.owner)
            packet = msgspec.structs.replace(packet, followed=followed)
            return self._forward(packet, pointer.owner, visited=visited)
        for upstream_id in packet.lookup:
            if self._should_ask(upstream_id, visited):
                self._point_to_candidate(packet)
                return self._forward(packet, upstream_id, visited=visited)
        return self._admit_or_forward(packet, visited, now=now)

    def _should_follow(self, packet: PacketForward, pointer: Pointer) -> bool:
        """Returns whether to forward a packet to the owner of a pointer.

        An agent that reported the flow may have admitted it after the packet
        visited that agent, so the packet visits it a second time.
        """
        known = packet.followed if pointer.holds else packet.visited
        return self._should_ask(pointer.owner, known)

    def _should_ask(
        self, upstream_id: UpstreamId, visited: tuple[UpstreamId, ...]
    ) -> bool:
        return upstream_id not in visited and not self.is_unreachable(upstream_id)

    def _candidates(self, packet: PacketForward) -> Iterable[UpstreamId]:
        return (
            upstream_id
            for upstream_id in packet.admit
            if upstream_id not in packet.refused
            and (
                upstream_id == self.upstream_id or not self.is_unreachable(upstream_id)
            )
        )

    def _point_to_candidate(self, packet: PacketForward) -> None:
        """Stores a pointer to the agent that will admit an unknown flow."""
        candidate = next(iter(self._candidates(packet)), None)
        if candidate is not None and candidate != self.upstream_id:
            self.table.set_pointer(packet.flow_id, candidate)

    def _admit_or_forward(
        self, packet: PacketForward, visited: tuple[UpstreamId, ...], *, now: float
    ) -> list[Envelope]:
        """Admits a flow that no agent holds, here or at the next candidate.

        A flow that was ended here because its upstream was silent is admitted
        here again if no other candidate is left.
        """
        if not packet.admissible:
            return self._refuse(packet, ErrorKind.PARTNER_LIMIT)
        kind = ErrorKind.NO_UPSTREAM if packet.admit else ErrorKind.STALE_GENERATION
        sent: list[Envelope] = []
        for upstream_id in self._candidates(packet):
            if upstream_id != self.upstream_id:
                self.table.set_pointer(packet.flow_id, upstream_id)
                return sent + self._forward(packet, upstream_id, visited=visited)
            refusal = self.table.refusal(packet.flow_id, now=now)
            if refusal is None:
                return self._admit(packet, now=now)
            kind = refusal
            refused = (*packet.refused, self.upstream_id)
            packet = msgspec.structs.replace(packet, refused=refused)
            sent += self.peers.count(refusal)
            if refusal is ErrorKind.DRAINING:
                sent.append(
                    self.peers.reset(
                        packet.balancer, packet.flow_id, self.upstream_id, refusal
                    )
                )
        if kind is ErrorKind.FLOW_SILENT:
            return sent + self._admit(packet, now=now)
        return sent + self._refuse(packet, kind)

    def _admit(self, packet: PacketForward, *, now: float) -> list[Envelope]:
        flow = Flow(
            flow_id=packet.flow_id,
            address=packet.address,
            caller=packet.caller,
            balancer=packet.balancer,
            admitted_at=now,
            last_packet_at=now,
            unanswered_since=now,
            first_owner=packet.admit[0],
        )
        self.table.admit(flow, now=now)
        sent = []
        if packet.hinted is not None:
            kind = ErrorKind.FORGOTTEN
            sent.append(
                self.peers.reset(packet.balancer, flow.flow_id, packet.hinted, kind)
            )
        informed = {*packet.visited, packet.admit[0]} - {self.upstream_id}
        sent += [
            self.peers.hint(flow, agent_node(self.service_id, upstream_id), now=now)
            for upstream_id in sorted(informed)
            if not self.is_unreachable(upstream_id)
        ]
        unhinted = msgspec.structs.replace(packet, hinted=None)
        return sent + self._deliver(flow, unhinted, now=now)

    def _forward(
        self,
        packet: PacketForward,
        upstream_id: UpstreamId,
        *,
        visited: tuple[UpstreamId, ...],
    ) -> list[Envelope]:
        if packet.hops >= MAX_HOPS:
            return self._refuse(packet, ErrorKind.HOP_LIMIT)
        passed = msgspec.structs.replace(
            packet, hops=packet.hops + 1, visited=tuple(dict.fromkeys(visited))
        )
        receiver = agent_node(self.service_id, upstream_id)
        return [Envelope(self.node_id, receiver, passed)]

    # Probes.

    def probed(self, sender: NodeId, message: FlowProbe) -> list[Envelope]:
        """Replies to a balancer's probe whether this agent holds a flow.

        The balancer probes because the flow's packets get no answers. A
        pointer that forwarded them to another agent is therefore wrong and is
        removed.
        """
        flow_id = message.flow_id
        if message.service_id != self.service_id:
            return self.peers.count(ErrorKind.WRONG_SERVICE)
        if flow_id in self.table.flows:
            alive = FlowAlive(flow_id=flow_id, service_id=self.service_id)
            return [Envelope(self.node_id, sender, alive)]
        self.table.pointers.pop(flow_id, None)
        return [
            self.peers.reset(sender, flow_id, self.upstream_id, ErrorKind.FORGOTTEN)
        ]

    def alive(
        self, sender: NodeId, message: FlowAlive, *, now: float
    ) -> list[Envelope]:
        """Handles a balancer's reply to a probe, or its notice of a stop."""
        self.return_path.alive(sender, message, now=now)
        return []

    # Refusals.

    def _refuse(self, packet: PacketForward, kind: ErrorKind) -> list[Envelope]:
        reset = self.peers.reset(
            packet.balancer, packet.flow_id, self.upstream_id, kind
        )
        return [reset, *self.peers.count(kind)]
