"""New flows at a balancer: offers opening packets to one agent at a time."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.core.timers import Timers
from bramleydyke.direct.constants import CANDIDATES, MAX_OPENING_TRIES, OPENING_RETRY_S
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.holders import Holder, Holders
from bramleydyke.direct.messages import Forward, Placed, Refused
from bramleydyke.direct.ports import Count, Record, Send, SendToCaller
from bramleydyke.direct.routes import Share, pick_service
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp, Packet
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import ServiceId


@dataclass(slots=True)
class Opening:
    """An opening packet that no agent has accepted yet.

    Attributes:
        candidates: Agents to ask, the best one first.
        asked: Number of them that have been asked.
        refused: Number of them that have refused.
    """

    packet: Packet
    service: ServiceId
    candidates: list[NodeIp]
    asked: int = 0
    refused: int = 0


@dataclass(slots=True, kw_only=True)
class Openings:
    """Opening packets on their way to an upstream.

    Another agent is asked when one refuses or does not answer. Two upstreams
    may then accept one flow; the caller goes on with the first.
    """

    directory: Directory
    holders: Holders
    send: Send
    reset: SendToCaller
    count: Count
    record: Record
    waiting: dict[FlowTuple, Opening] = field(default_factory=dict)
    timers: Timers[FlowTuple] = field(default_factory=Timers)

    def packet_in(self, packet: Packet, shares: list[Share], *, now: float) -> None:
        """Takes an opening packet or a copy of one."""
        flow = packet.flow
        if flow in self.waiting:
            return
        holder = self.holders.accepted_by(flow) if packet.copies else None
        if holder is not None and not self._lost(holder, now=now):
            self.send(holder.node, self._forward(packet, shares, flow))
            return
        if not packet.copies:
            self.holders.forget(flow)
        service = pick_service(shares, flow)
        candidates = (
            []
            if service is None
            else self.directory.candidates(service, flow, width=CANDIDATES, now=now)
        )
        if service is None or not candidates:
            self._refuse(packet, ErrorKind.NO_UPSTREAM, service=service)
            return
        if holder is not None and holder.node in candidates[1:]:
            candidates.remove(holder.node)
            candidates.append(holder.node)
        self.waiting[flow] = Opening(packet, service, candidates)
        self._ask_next(flow, now=now)

    def placed(self, node: NodeIp, message: Placed) -> None:
        """Takes an agent's acceptance."""
        if self.waiting.pop(message.flow, None) is not None:
            self.timers.cancel(message.flow)
        entry = self.directory.entries.get(node)
        if entry is not None:
            entry.load = message.load
            self.directory.answered(node)
        holder = Holder(node, message.lifetime, message.first_sequence)
        self.holders.accepted(message.flow, holder)

    def refused(self, node: NodeIp, message: Refused, *, now: float) -> None:
        """Takes an agent's refusal and asks the next one."""
        self.count(counter_name(message.kind, action="retried"))
        entry = self.directory.entries.get(node)
        if entry is not None:
            entry.load = message.load
            self.directory.answered(node)
            if message.kind is not ErrorKind.QUEUE_FULL:
                self.directory.silent(node, now=now)
        self.holders.forget(message.flow, node)
        opening = self.waiting.get(message.flow)
        if opening is None:
            return
        opening.refused += 1
        if opening.candidates[opening.asked - 1] == node:
            self._ask_next(message.flow, now=now)

    def wake(self, *, now: float) -> None:
        """Asks other agents in place of those that did not answer."""
        for flow in self.timers.pop_due(now):
            opening = self.waiting.get(flow)
            if opening is None:
                continue
            node = opening.candidates[opening.asked - 1]
            self.directory.silent(node, now=now)
            self.count(counter_name(ErrorKind.AGENT_SILENT, action="retried"))
            self.record("opening_retried", flow=flow, node=node, asked=opening.asked)
            self._ask_next(flow, now=now)

    def _ask_next(self, flow: FlowTuple, *, now: float) -> None:
        opening = self.waiting[flow]
        if opening.asked >= min(len(opening.candidates), MAX_OPENING_TRIES):
            del self.waiting[flow]
            self.timers.cancel(flow)
            if opening.refused >= opening.asked:
                self._refuse(opening.packet, ErrorKind.BUSY, service=opening.service)
            return
        node = opening.candidates[opening.asked]
        opening.asked += 1
        self.directory.entries[node].load += 1
        self.timers.set(flow, now + OPENING_RETRY_S)
        forward = Forward(opening.service, False, Lifetime(0), opening.packet.datagram)
        self.send(node, forward)

    def _lost(self, holder: Holder, *, now: float) -> bool:
        entry = self.directory.entries.get(holder.node)
        return entry is None or entry.suspect_until > now

    def _forward(self, packet: Packet, shares: list[Share], flow: FlowTuple) -> Forward:
        service = pick_service(shares, flow) or ServiceId("")
        return Forward(service, False, Lifetime(0), packet.datagram)

    def _refuse(
        self, packet: Packet, kind: ErrorKind, *, service: ServiceId | None
    ) -> None:
        """Resets a flow that cannot be opened, so that the caller knows."""
        self.count(counter_name(kind))
        self.record("refused", flow=packet.flow, kind=kind.value, service=service)
        self.reset(packet, b"")
