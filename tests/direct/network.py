"""Simulated network of balancers, agents, upstreams and callers.

Callers and upstreams follow the packet rules of the platform. A caller sends
an opening packet up to three times and retransmits unanswered requests; the
router picks the balancer for each packet. An upstream returns packets of
unknown flows. A seeded random source delays messages and drops a fraction of
them.
"""

from __future__ import annotations

import heapq
import itertools
import random
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from codec import TestCodec, flow_tuple, pack, unpack

from bramleydyke.direct.agent import Agent
from bramleydyke.direct.balancer import Balancer
from bramleydyke.direct.constants import BALANCER_LINGER_S
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.gossip import Gossip
from bramleydyke.direct.routes import Route, Routes, RouteSet, Share
from bramleydyke.direct.types import (
    ConfigVersion,
    FlowTuple,
    Lifetime,
    NodeIp,
    Packet,
    RouteAddress,
    UpstreamState,
)
from bramleydyke.direct.upstream_view import Report, UpstreamView
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId

SERVICE = ServiceId("board")
OTHER = ServiceId("vault")
ROUTE = RouteAddress(b"rrrrpp")
ZONE = AvailabilityZone("z1")
REPORT_S = 0.8
OPENING_DELAYS_S = (0.0, 0.2, 0.6)
GIVE_UP_S = 1.4
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6)


def routes(version: int = 1, *, service: ServiceId = SERVICE) -> RouteSet:
    return RouteSet(
        ConfigVersion(version),
        {ROUTE: Route([Share(service, 1.0)])},
    )


@dataclass
class Upstream:
    """An upstream that returns packets of flows that it does not hold.

    Attributes:
        started_ms: Start of the upstream in milliseconds, reported as its
            lifetime.
        sequence: Sequence number of the last report.
        pending: First sequence number of each flow that is opening.
        working: Number of occupied slots.
        waiting: Requests that wait for a free slot.
        requests_received: Number of requests of each flow that reached this
            upstream, including retransmitted ones.
        unknown_packets: Number of received packets of each flow that this
            upstream does not hold.
        opened_at: Time and flow of each received opening packet.
    """

    network: Network
    node: NodeIp
    service: ServiceId
    started_ms: int
    draining: bool = False
    alive: bool = True
    sequence: int = 0
    pending: dict[FlowTuple, int] = field(default_factory=dict)
    open: set[FlowTuple] = field(default_factory=set)
    slots: int = 1
    work_s: float = 0.0
    """Seconds for which a request occupies a slot; 0 answers at once."""

    working: int = 0
    waiting: deque[tuple[FlowTuple, bytes]] = field(default_factory=deque)
    requests_received: Counter[FlowTuple] = field(default_factory=Counter)
    unknown_packets: Counter[FlowTuple] = field(default_factory=Counter)
    opened_at: list[tuple[float, FlowTuple]] = field(default_factory=list)

    def receive_packet(self, datagram: bytes) -> None:
        if not self.alive:
            return
        wire = unpack(datagram)
        flow = FlowTuple(wire.flow)
        assert not wire.bounced
        if wire.opening:
            first = self.pending.setdefault(flow, self.network.new_sequence_number())
            self.opened_at.append((self.network.now, flow))
            self.send_packet(flow=flow, accepting=True, sequence=first)
        elif flow in self.open or self.pending.get(flow) == wire.acknowledged - 1:
            self.pending.pop(flow, None)
            self.open.add(flow)
            if wire.payload:
                self.requests_received[flow] += 1
                self.waiting.append((flow, wire.payload))
                self.start_requests()
        else:
            self.unknown_packets[flow] += 1
            self.return_packet(datagram)

    def start_requests(self) -> None:
        """Starts waiting requests in order of arrival while slots are free."""
        while self.waiting and self.working < self.slots:
            flow, payload = self.waiting.popleft()
            self.working += 1
            if self.work_s:
                self.network.later(
                    self.work_s, partial(self.finish_request, flow, payload)
                )
            else:
                self.finish_request(flow, payload)

    def finish_request(self, flow: FlowTuple, payload: bytes) -> None:
        self.working -= 1
        if self.alive:
            self.send_packet(flow=flow, payload=payload)
            self.start_requests()

    def return_packet(self, datagram: bytes) -> None:
        self.send_packet(**{**unpack_dict(datagram), "bounced": True})

    def send_packet(self, **fields: Any) -> None:
        self.network.later(
            0.0003, lambda: self.network.from_upstream(self.node, pack(**fields))
        )

    def report(self) -> Report:
        self.sequence += 1
        return Report(
            upstream=UpstreamId(f"u{self.started_ms}"),
            service=self.service,
            lifetime=Lifetime(self.started_ms),
            start_ms=self.started_ms,
            sequence=self.sequence,
            draining=self.draining,
            slots=self.slots,
        )


def unpack_dict(datagram: bytes) -> dict[str, Any]:
    wire = unpack(datagram)
    return {name: getattr(wire, name) for name in wire.__struct_fields__}


@dataclass
class Caller:
    """A caller with a single flow, which retransmits unanswered requests.

    Attributes:
        first_sequence: First sequence number of the upstream; None until the
            flow is open.
        answers: Payloads of the answered requests.
        sent: Number of requests sent, without retransmissions.
        ended: Reason for the end of the flow; empty while it lasts.
        gave_up: True if the flow did not open in time.
    """

    network: Network
    flow: FlowTuple
    first_sequence: int | None = None
    answers: set[bytes] = field(default_factory=set)
    opened_at: float = 0.0
    answered_at: float | None = None
    """Time of the first answer, in seconds."""

    sent: int = 0
    ended: str = ""
    gave_up: bool = False

    def open(self) -> None:
        self.opened_at = self.network.now
        for copies, after in enumerate(OPENING_DELAYS_S):
            self.network.later(after, lambda copies=copies: self.send_opening(copies))
        self.network.later(GIVE_UP_S, self.give_up_unless_open)

    def send_opening(self, copies: int) -> None:
        if self.first_sequence is None and not self.ended:
            self.network.route(pack(flow=self.flow, opening=True, copies=copies))

    def give_up_unless_open(self) -> None:
        if self.first_sequence is None and not self.ended:
            self.gave_up = True
            self.ended = "not opened"

    def send_request(self) -> bytes:
        self.sent += 1
        payload = b"%d" % self.sent
        self.transmit(payload, 0)
        return payload

    def transmit(self, payload: bytes, retransmissions: int) -> None:
        if self.ended or payload in self.answers or self.first_sequence is None:
            return
        acknowledged = self.first_sequence + 1
        self.network.route(
            pack(flow=self.flow, acknowledged=acknowledged, payload=payload)
        )
        if retransmissions < len(RETRANSMIT_S):
            self.network.later(
                RETRANSMIT_S[retransmissions],
                lambda: self.transmit(payload, retransmissions + 1),
            )

    def receive_packet(self, datagram: bytes) -> None:
        wire = unpack(datagram)
        if self.ended:
            return
        if wire.reset:
            self.ended = "reset"
            self.network.resets.append((self.network.now, self.flow))
        elif wire.accepting:
            if self.first_sequence is None:
                self.first_sequence = wire.sequence
                self.send_request()
        elif wire.payload:
            self.answers.add(wire.payload)
            if self.answered_at is None:
                self.answered_at = self.network.now


class Network:
    """All nodes and their links, with a clock that only ``run`` advances.

    Attributes:
        loss: Fraction of the messages and packets that are lost.
        delay: Minimum and maximum delay of a message, in seconds.
        links_down: Nodes whose links are down.
        failed_checks: Number of consecutive failed readiness checks of each
            balancer; empty until the checks start.
        resets: Time and flow of each reset that reached its caller.
    """

    def __init__(self, seed: int, *, loss: float = 0.0) -> None:
        print(f"seed {seed}")
        self.random = random.Random(seed)
        self.loss = loss
        self.delay = (0.0005, 0.006)
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.numbers = itertools.count(1_000_000, 1_000_000)
        self.balancers: dict[NodeIp, Balancer] = {}
        self.agents: dict[NodeIp, Agent] = {}
        self.upstreams: dict[NodeIp, Upstream] = {}
        self.callers: dict[FlowTuple, Caller] = {}
        self.resets: list[tuple[float, FlowTuple]] = []
        self.counts: Counter[str] = Counter()
        self.links_down: set[NodeIp] = set()
        self.failed_checks: dict[NodeIp, int] = {}
        self.config = routes()
        self.flow_numbers = itertools.count(1)

    # Clock and events.

    def new_sequence_number(self) -> int:
        return next(self.numbers)

    def later(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.event_numbers), call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            roles = [*self.balancers.values(), *self.agents.values()]
            wake = min(
                (at for role in roles if (at := role.next_wakeup()) is not None),
                default=end,
            )
            at = min(self.events[0][0] if self.events else end, wake)
            if at >= end:
                break
            self.now = max(self.now, at)
            if self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            else:
                for role in roles:
                    due = role.next_wakeup()
                    if due is not None and due <= self.now:
                        role.wake(now=self.now)
        self.now = end

    # Links.

    def send_from(self, sender: NodeIp) -> Callable[[NodeIp, Any], None]:
        def send(node: NodeIp, message: Any) -> None:
            if self.random.random() < self.loss:
                return
            delay = self.random.uniform(*self.delay)
            self.later(delay, lambda: self.receive(sender, node, message))

        return send

    def receive(self, sender: NodeIp, node: NodeIp, message: Any) -> None:
        if sender in self.links_down or node in self.links_down:
            return
        role = self.balancers.get(node) or self.agents.get(node)
        if role is not None:
            role.message_in(sender, message, now=self.now)

    def route(self, datagram: bytes) -> None:
        """Sends a caller's packet to the balancer that its flow hashes to."""
        if not self.routed_balancers() or self.random.random() < self.loss:
            return
        nodes = self.routed_balancers()
        node = nodes[zlib.crc32(unpack(datagram).flow) % len(nodes)]
        self.later(0.001, lambda: self.deliver_to_balancer(node, datagram))

    def routed_balancers(self) -> list[NodeIp]:
        """Returns the balancers to which the routers send packets.

        Once readiness checks run, these are the balancers with fewer than two
        consecutive failed checks. If that is fewer than half of them, the
        routers use all balancers.
        """
        if not self.failed_checks:
            return sorted(self.balancers)
        ready = [node for node, failed in self.failed_checks.items() if failed < 2]
        return sorted(
            ready if 2 * len(ready) >= len(self.failed_checks) else self.failed_checks
        )

    def check_readiness(self) -> None:
        """Checks each balancer's readiness, now and every 0.5 s."""
        self.failed_checks = self.failed_checks or dict.fromkeys(self.balancers, 0)
        for node in self.failed_checks:
            balancer = self.balancers.get(node)
            ready = balancer is not None and balancer.ready(now=self.now)
            self.failed_checks[node] = 0 if ready else self.failed_checks[node] + 1
        self.later(0.5, self.check_readiness)

    def restart_balancer(self, name: str, *, down_s: float) -> None:
        """Stops a balancer gracefully and starts it again after ``down_s``."""
        node = NodeIp(name)
        self.balancers[node].gossip.leaving = True
        self.later(BALANCER_LINGER_S, lambda: self.balancers.pop(node))
        self.later(BALANCER_LINGER_S + down_s, lambda: self.add_balancer(name))

    def deliver_to_balancer(self, node: NodeIp, datagram: bytes) -> None:
        balancer = self.balancers.get(node)
        if balancer is not None and node not in self.links_down:
            balancer.packet_in(datagram, now=self.now)

    def to_caller(self, packet: Packet, datagram: bytes) -> None:
        def arrive() -> None:
            caller = self.callers.get(packet.flow)
            if caller is not None:
                caller.receive_packet(datagram)

        if self.random.random() >= self.loss:
            self.later(0.001, arrive)

    def from_upstream(self, node: NodeIp, datagram: bytes) -> None:
        agent = self.agents.get(node)
        if agent is not None and node not in self.links_down:
            agent.upstream_packet(datagram, now=self.now)

    # Processes.

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def add_balancer(self, name: str, *, knows_upstreams: bool = True) -> Balancer:
        node = NodeIp(name)
        found = Routes()
        found.apply(self.config)
        found.confirm(now=self.now)
        gossip = Gossip(
            node=node,
            routes=found,
            send=self.send_from(node),
            fetch=lambda peer, version: self.fetch(node, peer),
            random_source=self.random,
            peers=dict.fromkeys(self.balancers, self.now),
        )
        balancer = Balancer(
            node=node,
            codec=TestCodec(),
            routes=found,
            directory=Directory(ZONE),
            gossip=gossip,
            send=self.send_from(node),
            reset=self.to_caller,
            count=self.count,
            record=lambda event, **inputs: None,
            observe=lambda name, seconds: None,
        )
        for other in self.balancers.values():
            other.gossip.add_peer(node, now=self.now)
        self.balancers[node] = balancer
        for agent in self.agents.values():
            agent.announcer.add_balancer(node)
            announcement = agent.announcer.announcement(now=self.now)
            if knows_upstreams and announcement is not None:
                balancer.apply_announcement(announcement, now=self.now, source="store")
        balancer.directory.complete = knows_upstreams
        return balancer

    def fetch(self, node: NodeIp, peer: NodeIp) -> None:
        def arrive() -> None:
            source = self.balancers.get(peer)
            target = self.balancers.get(node)
            if source is None or target is None or source.routes.current is None:
                return
            if target.routes.apply(source.routes.current):
                target.gossip.configuration_changed(now=self.now)

        if not {node, peer} & self.links_down:
            self.later(0.01, arrive)

    def add_upstream(self, name: str, *, service: ServiceId = SERVICE) -> Upstream:
        node = NodeIp(name)
        upstream = Upstream(self, node, service, started_ms=int(self.now * 1_000))
        self.upstreams[node] = upstream
        self.start_agent(name)
        self.report_loop(upstream)
        return upstream

    def start_agent(self, name: str) -> Agent:
        """Starts an agent, which replaces a running one on the same VM."""
        node = NodeIp(name)
        agent = Agent(
            node=node,
            zone=ZONE,
            service=self.upstreams[node].service,
            codec=TestCodec(),
            view=UpstreamView(report_interval_s=REPORT_S),
            started_at=self.now,
            send=self.send_from(node),
            send_to_caller=self.to_caller,
            deliver=lambda datagram: self.deliver(node, datagram),
            count=self.count,
            record=lambda event, **inputs: None,
        )
        agent.announcer.balancers = dict.fromkeys(self.balancers)
        self.agents[node] = agent
        return agent

    def deliver(self, node: NodeIp, datagram: bytes) -> None:
        upstream = self.upstreams[node]
        self.later(0.0002, lambda: upstream.receive_packet(datagram))

    def report_loop(self, upstream: Upstream) -> None:
        if not upstream.alive or self.upstreams.get(upstream.node) is not upstream:
            return
        agent = self.agents.get(upstream.node)
        if agent is not None:
            agent.report(upstream.report(), now=self.now)
        self.later(REPORT_S, lambda: self.report_loop(upstream))

    def restart_agent(self, name: str, *, down_s: float, planned: bool = True) -> None:
        node = NodeIp(name)
        if planned:
            self.agents[node].pause(now=self.now)
        self.later(0.25 if planned else 0.0, lambda: self.agents.pop(node, None))
        self.later(0.25 + down_s, lambda: self.start_agent(name))

    def open_flow(self, *, route: RouteAddress = ROUTE) -> Caller:
        caller = Caller(self, flow_tuple(next(self.flow_numbers), route=route))
        self.callers[caller.flow] = caller
        caller.open()
        return caller

    def holder(self, caller: Caller) -> Upstream | None:
        return next(
            (u for u in self.upstreams.values() if u.alive and caller.flow in u.open),
            None,
        )

    def states(self, balancer: Balancer) -> dict[NodeIp, UpstreamState]:
        return {
            node: entry.announcement.state
            for node, entry in balancer.directory.entries.items()
        }


def system(seed: int, *, balancers: int = 3, upstreams: int = 5, **options: Any):
    """Returns a running network with one service.

    All balancers know all upstreams.
    """
    network = Network(seed, **options)
    for number in range(balancers):
        network.add_balancer(f"10.0.1.{number}")
    for number in range(upstreams):
        network.add_upstream(f"10.0.2.{number}")
    network.run(1.0)
    return network
