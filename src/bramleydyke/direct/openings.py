"""Offers the opening packet of each new flow to one agent after another."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import chain, cycle

from bramleydyke.core.timers import Timers
from bramleydyke.direct.constants import (
    CANDIDATES,
    MAX_BUSY_ANSWERS,
    MAX_OPENING_TRIES,
    MAX_PARKED,
    OPENING_COPY_AGES_S,
    PARK_RETRY_S,
    PARK_S,
    QUEUE_S,
)
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.holders import Holder, Holders
from bramleydyke.direct.messages import HandedOver, Offer, Placed, Queued, Refused
from bramleydyke.direct.ports import Count, Observe, Record, Send, SendToCaller
from bramleydyke.direct.round_trip import RoundTrip
from bramleydyke.direct.routes import Route, pick_service
from bramleydyke.direct.types import FlowTuple, Lifetime, NodeIp, Packet
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import ServiceId

CAPACITY_REFUSALS = frozenset({ErrorKind.BUSY, ErrorKind.QUEUE_FULL})
"""Refusals for lack of capacity; they do not make the agent suspect."""


@dataclass(slots=True)
class Opening:
    """An opening packet that no agent has accepted yet.

    Attributes:
        candidates: Agents that may be offered the packet, best first.
        deadline: Time at which the flow is refused, in seconds.
        priority: Priority of the flow's route; 0 is the most urgent.
        arrived_at: When the original packet arrived, in seconds. For a
            retransmission this is an estimate.
        asked: Agents that were offered the packet, in order of the offers.
        asked_at: When the last agent was asked, in seconds; None once an
            answer has arrived.
        busy_answers: Number of refusals for lack of capacity.
    """

    packet: Packet
    service: ServiceId
    candidates: list[NodeIp]
    deadline: float
    priority: int
    arrived_at: float
    asked: list[NodeIp] = field(default_factory=list)
    asked_at: float | None = None
    busy_answers: int = 0


def opening_age_s(packet: Packet) -> float:
    """Returns how long the caller of an opening packet has been waiting."""
    copies = min(packet.copies, len(OPENING_COPY_AGES_S) - 1)
    return OPENING_COPY_AGES_S[copies]


@dataclass(slots=True, kw_only=True)
class Openings:
    """Offers opening packets to agents until one of them accepts the flow.

    When an agent refuses or does not answer, the next one is asked. Two
    upstreams may therefore accept the same flow; the caller continues with
    the one whose answer arrives first.

    Attributes:
        reset: Resets the flow of a caller's packet.
        waiting: Packets that wait for an agent's answer, by flow.
        parked: Packets that wait until an upstream can take them, by flow.
        timers: When to ask the next agent or to retry a parked packet.
        round_trip: Estimates how long to wait for an agent's answer.
    """

    directory: Directory
    holders: Holders
    send: Send
    reset: SendToCaller
    count: Count
    record: Record
    observe: Observe
    waiting: dict[FlowTuple, Opening] = field(default_factory=dict)
    parked: dict[FlowTuple, Opening] = field(default_factory=dict)
    timers: Timers[FlowTuple] = field(default_factory=Timers)
    round_trip: RoundTrip = field(default_factory=RoundTrip)

    def packet_in(
        self, packet: Packet, route: Route, *, now: float, age_s: float = 0.0
    ) -> None:
        """Handles an opening packet of a caller.

        A retransmission goes to the agent that has accepted the flow, if any;
        other packets are offered to agents. A packet whose flow is already
        waiting or parked is ignored.

        Args:
            packet: The opening packet.
            route: Route of the packet's address.
            now: Time in seconds.
            age_s: Time that the packet spent at another balancer, in seconds.
        """
        flow = packet.flow
        if flow in self.waiting or flow in self.parked:
            return
        holder = self.holders.accepted_by(flow) if packet.copies else None
        if holder is not None and not self._is_suspect(holder, now=now):
            service = pick_service(route.shares, flow) or ServiceId("")
            offer = Offer(service, route.priority, 0.0, True, packet.datagram)
            self.send(holder.node, offer)
            return
        if not packet.copies:
            self.holders.forget(flow)
        service = pick_service(route.shares, flow)
        if service is None:
            self._refuse(packet, ErrorKind.NO_UPSTREAM, service=service)
            return
        avoid = None if holder is None else holder.node
        arrived_at = now - max(age_s, opening_age_s(packet))
        deadline = arrived_at + min(PARK_S, route.timeout_s or PARK_S)
        opening = Opening(packet, service, [], deadline, route.priority, arrived_at)
        if now >= deadline:
            self._refuse(packet, ErrorKind.NO_UPSTREAM, service=service)
            return
        self._place(opening, now=now, avoid=avoid)

    def _place(
        self, opening: Opening, *, now: float, avoid: NodeIp | None = None
    ) -> None:
        """Offers the packet to the best agent, or parks it if there is none.

        Args:
            opening: The opening packet.
            now: Time in seconds.
            avoid: Agent that accepted the flow earlier but no longer answers;
                it is asked last.
        """
        flow = opening.packet.flow
        candidates = self.directory.candidates(
            opening.service, flow, width=CANDIDATES, now=now
        )
        candidates.sort(key=lambda node: node == avoid)
        # Retries of a parked packet skip agents that do not answer.
        retried = bool(opening.candidates)
        if not candidates or (
            retried and not self.directory.is_responsive(candidates[0], now=now)
        ):
            self._park(opening, now=now)
            return
        opening.candidates = candidates
        opening.asked = []
        opening.busy_answers = 0
        self.waiting[flow] = opening
        self._ask_next(flow, now=now)

    def placed(self, node: NodeIp, message: Placed, *, now: float) -> None:
        """Ends the opening of a flow; records the agent as its holder."""
        opening = self.waiting.pop(message.flow, None)
        if opening is not None:
            self.timers.cancel(message.flow)
            self._measure_round_trip(opening, now=now)
            self.observe("opening", now - opening.arrived_at)
            self.record(
                "flow_placed",
                flow=message.flow,
                agent=node,
                asked=len(opening.asked),
                requests=round(message.load.requests, 2),
                lifetime=message.lifetime,
            )
        self.directory.answered(node, now=now, load=message.load)
        lifetime = message.lifetime
        if self.directory.lifetime_ended(node, lifetime):
            # The answer is late, or the agent does not know of the lifetime
            # that is known here. The agent decides whether the flow lives.
            lifetime = Lifetime(0)
        holder = Holder(node, lifetime, message.first_sequence)
        self.holders.record_holder(message.flow, holder)

    def refused(self, node: NodeIp, message: Refused, *, now: float) -> None:
        """Handles an agent's refusal and asks the next agent.

        An agent that refuses for a reason other than lack of capacity gets no
        new flow for a while.
        """
        self.count(counter_name(message.kind, action="retried"))
        self.directory.answered(node, now=now, load=message.load)
        if message.kind not in CAPACITY_REFUSALS:
            self.directory.refused(node, now=now)
        self.holders.forget(message.flow, node)
        opening = self.waiting.get(message.flow)
        if opening is None or opening.asked[-1] != node:
            return
        self._measure_round_trip(opening, now=now)
        if message.kind in CAPACITY_REFUSALS:
            opening.busy_answers += 1
        self._ask_next(message.flow, now=now)

    def queued(self, node: NodeIp, message: Queued, *, now: float) -> None:
        """Waits longer for an agent that has queued an opening packet.

        If the agent still does not answer in time, another agent is asked.
        """
        self.directory.answered(node, now=now, load=message.load)
        opening = self.waiting.get(message.flow)
        if opening is None or opening.asked[-1] != node:
            return
        self._measure_round_trip(opening, now=now)
        self.count("queued")
        self.record(
            "flow_queued",
            flow=message.flow,
            agent=node,
            asked=len(opening.asked),
            requests=round(message.load.requests, 2),
        )
        self.timers.set(message.flow, now + QUEUE_S + self.round_trip.timeout_s())

    def place_parked(self, service: ServiceId, *, limit: int, now: float) -> None:
        """Places parked opening packets of a service.

        The most urgent packets come first. Among equally urgent packets the
        newest comes first: it can still be answered in time, while the oldest
        are late in any case.

        Args:
            service: Service that has an upstream with free capacity.
            limit: Maximum number of packets to place.
            now: Time in seconds.
        """
        parked = [o for o in self.parked.values() if o.service == service]
        parked.sort(key=lambda o: (o.priority, -o.deadline))
        for opening in parked[:limit]:
            self.timers.cancel(opening.packet.flow)
            self._unpark(opening.packet.flow, now=now)

    def hand_over(self, peers: list[NodeIp], *, now: float) -> None:
        """Leaves all packets to other balancers, because this process stops.

        Without other balancers, flows that no agent has been offered are
        refused.

        Args:
            peers: Running balancers.
            now: Time in seconds.
        """
        if not peers:
            for opening in self.parked.values():
                service = opening.service
                self._refuse(opening.packet, ErrorKind.NO_UPSTREAM, service=service)
        else:
            openings = chain(self.parked.values(), self.waiting.values())
            for opening, peer in zip(openings, cycle(peers), strict=False):
                self.count("handed_over")
                age_s = now - opening.arrived_at
                self.send(peer, HandedOver(age_s, opening.packet.datagram))
        self.parked.clear()
        self.waiting.clear()

    def wake(self, *, now: float) -> None:
        """Asks the next agent after a timeout and retries parked packets."""
        for flow in self.timers.pop_due(now):
            opening = self.waiting.get(flow)
            if opening is None:
                self._unpark(flow, now=now)
                continue
            node = opening.asked[-1]
            self.directory.mark_suspect(node, now=now)
            self.round_trip.timed_out()
            self.count(counter_name(ErrorKind.AGENT_SILENT, action="retried"))
            asked = len(opening.asked)
            self.record("opening_retried", flow=flow, agent=node, asked=asked)
            self._ask_next(flow, now=now)

    def _ask_next(self, flow: FlowTuple, *, now: float) -> None:
        """Offers the packet to the next agent, or parks it if none is left."""
        opening = self.waiting[flow]
        node = self._next_agent(opening, now=now)
        if node is None:
            del self.waiting[flow]
            self.timers.cancel(flow)
            self._park(opening, now=now)
            return
        may_wait = (
            opening.busy_answers >= MAX_BUSY_ANSWERS
            or not self.directory.has_capacity(node, now=now)
        )
        opening.asked.append(node)
        opening.asked_at = now
        self.timers.set(flow, now + self.round_trip.timeout_s())
        self.directory.sent(node, now=now)
        age_s = now - opening.arrived_at
        datagram = opening.packet.datagram
        offer = Offer(opening.service, opening.priority, age_s, may_wait, datagram)
        self.send(node, offer)

    def _next_agent(self, opening: Opening, *, now: float) -> NodeIp | None:
        """Returns the agent to ask next; None if none is left.

        After ``MAX_BUSY_ANSWERS`` refusals for lack of capacity, this is the
        agent with the least load, which may queue the packet.
        """
        if len(opening.asked) >= MAX_OPENING_TRIES or now >= opening.deadline:
            return None
        if opening.busy_answers >= MAX_BUSY_ANSWERS:
            return self.directory.least_loaded(opening.service, now=now)
        left = (node for node in opening.candidates if node not in opening.asked)
        return next(left, None)

    def _measure_round_trip(self, opening: Opening, *, now: float) -> None:
        """Measures the round trip of a packet that was offered only once.

        After a second offer, the answer may still belong to the first one.
        """
        if opening.asked_at is not None and len(opening.asked) == 1:
            self.round_trip.observe(now - opening.asked_at)
        opening.asked_at = None

    def _park(self, opening: Opening, *, now: float) -> None:
        """Keeps an opening packet until an upstream can take it.

        The flow is refused if its deadline has passed, too many packets are
        parked, or no upstream of the service can become ready.
        """
        service = opening.service
        full = len(self.parked) >= MAX_PARKED
        if (
            full
            or now >= opening.deadline
            or not self.directory.may_become_ready(service)
        ):
            self._refuse(opening.packet, ErrorKind.NO_UPSTREAM, service=service)
            return
        self.count("parked")
        flow = opening.packet.flow
        self.parked[flow] = opening
        self.timers.set(flow, min(opening.deadline, now + PARK_RETRY_S))

    def _unpark(self, flow: FlowTuple, *, now: float) -> None:
        """Offers a parked packet to agents, or parks it again."""
        opening = self.parked.pop(flow, None)
        if opening is not None:
            self._place(opening, now=now)

    def _is_suspect(self, holder: Holder, *, now: float) -> bool:
        """Returns whether a holder's agent is unknown or suspect."""
        entry = self.directory.entries.get(holder.node)
        return entry is None or entry.suspect_until > now

    def _refuse(
        self, packet: Packet, kind: ErrorKind, *, service: ServiceId | None
    ) -> None:
        """Resets a flow that cannot open, so that the caller does not wait."""
        self.count(counter_name(kind))
        self.record("refused", flow=packet.flow, kind=kind.value, service=service)
        self.reset(packet, b"")
