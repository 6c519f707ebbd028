"""Simulated network of the balancers and agents of one UDP service."""

from __future__ import annotations

import random
from collections import Counter, deque

from bramleydyke.bench.flow_setup import make_agent
from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import (
    PartnerConfig,
    ServiceConfig,
    UpstreamSpec,
    full_delta,
    next_config,
)
from bramleydyke.core.limits import FLOWS_PER_PARTNER, PartnerLimits
from bramleydyke.messages import (
    Count,
    Envelope,
    PacketAnswered,
    PacketDeliver,
    PacketIn,
    PacketOut,
    SetDrain,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_METRICS,
    LOCAL_PLATFORM,
    LOCAL_UPSTREAM,
    AvailabilityZone,
    CallerAddress,
    Incarnation,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    agent_node,
    balancer_node,
)

PARTNER = PartnerId("studio")
SERVICE = ServiceId("studio/preview")
ADDRESS = ServiceAddress("127.0.0.1:7000")
ZONE = AvailabilityZone("swakop-a")


class FlowNetwork:
    """Simulated nodes; messages are delivered without delay.

    Each upstream answers every packet.

    Attributes:
        now: Simulated time in seconds.
        dead: Stopped nodes, which receive and send nothing.
        muted_sockets: Upstream, caller and binding number of the sockets
            that the upstream does not answer.
        reorder: True to deliver queued messages in random order.
        lost_types: Message types that are always lost.
        counts: Value of each counter, summed over all nodes.
        delivered: Upstream, caller and binding number of each packet that
            reached an upstream.
        to_callers: Number of packets returned to each caller.
    """

    def __init__(
        self,
        *,
        upstreams: int,
        balancers: int = 1,
        seed: int = 11,
        max_flows: int = FLOWS_PER_PARTNER,
    ) -> None:
        self.now = 1000.0
        self.random = random.Random(seed)
        self.config = PartnerConfig(partner_id=PARTNER)
        self.balancers = [balancer_node(f"b{index}") for index in range(balancers)]
        self.nodes: dict[NodeId, Balancer | Agent] = {}
        self.dead: set[NodeId] = set()
        self.muted_sockets: set[tuple[UpstreamId, str, int]] = set()
        self.reorder = False
        self.lost_types: set[type] = set()
        self.counts: Counter[str] = Counter()
        self.delivered: list[tuple[UpstreamId, str, int]] = []
        self.to_callers: Counter[str] = Counter()
        for node_id in self.balancers:
            self.nodes[node_id] = Balancer(
                node_id=node_id,
                incarnation=Incarnation(1),
                random_source=random.Random(7),
                zone=ZONE,
                seeds=self.balancers,
                limits=PartnerLimits(max_flows=max_flows),
            )
        names = [UpstreamId(f"u{index}") for index in range(upstreams)]
        for name in names:
            self.start_agent(name)
        self.configure({name: 1.0 for name in names})
        self.skip(60.0)

    def start_agent(self, name: UpstreamId, *, incarnation: int = 1) -> None:
        """Starts or restarts an agent and announces it to all nodes."""
        agent = make_agent(
            SERVICE,
            name,
            incarnation=incarnation,
            balancers=self.balancers,
            now=self.now,
        )
        self.nodes[agent.node_id] = agent
        self.dead.discard(agent.node_id)
        if self.config.generation:
            self.configure_only(agent.node_id)
        for node_id in list(self.nodes):
            self.send(Envelope(agent.node_id, node_id, agent.announcement))
            other = self.nodes[node_id]
            if isinstance(other, Agent):
                self.send(Envelope(node_id, agent.node_id, other.announcement))

    def configure(
        self, weights: dict[UpstreamId, float], *, only: set[NodeId] | None = None
    ) -> None:
        """Applies new weights to all nodes, or to the nodes in ``only``."""
        service = ServiceConfig(
            service_id=SERVICE,
            partner_id=PARTNER,
            protocol=Protocol.UDP,
            addresses=(ADDRESS,),
            upstreams=tuple(
                UpstreamSpec(name, ZONE, weight) for name, weight in weights.items()
            ),
        )
        self.config = next_config(self.config, [service], change_id="")
        for node_id in self.nodes if only is None else only:
            self.configure_only(node_id)

    def configure_only(self, node_id: NodeId) -> None:
        """Sends the current configuration to one node."""
        self.send(Envelope(LOCAL_PLATFORM, node_id, full_delta(self.config)))

    def drain(self, name: UpstreamId, *, draining: bool = True) -> None:
        """Drains an agent; other nodes learn this only from its refusals."""
        node = self.nodes[agent_node(SERVICE, name)]
        message = SetDrain(draining=draining)
        node.receive(Envelope(LOCAL_PLATFORM, node.node_id, message), now=self.now)

    def packet(self, caller: str, *, via: int = 0) -> UpstreamId | None:
        """Sends a caller's packet and returns the upstream that received it.

        Returns None if no upstream received it. Fails if a packet is delivered
        twice.
        """
        before = len(self.delivered)
        self.now += 0.01
        packet = PacketIn(address=ADDRESS, caller=CallerAddress(caller), data=b"x")
        self.send(Envelope(LOCAL_CALLER, self.balancers[via], packet))
        assert len(self.delivered) <= before + 1, "a packet was delivered twice"
        return self.delivered[-1][0] if len(self.delivered) > before else None

    def skip(self, seconds: float) -> None:
        """Advances the time in one step, as if all processes were paused."""
        self.wake()
        self.now += seconds
        self.wake()

    def wake(self) -> None:
        """Runs the due timers of every running node."""
        for node_id, node in list(self.nodes.items()):
            if node_id not in self.dead:
                self.send_all(node.wake(now=self.now))

    def sleep(self, seconds: float) -> None:
        """Advances the time in steps of 0.25 s and wakes running nodes."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += 0.25
            self.wake()

    def send(self, envelope: Envelope) -> None:
        """Delivers a message and all messages sent in response."""
        self.send_all([envelope])

    def send_all(self, envelopes: list[Envelope]) -> None:
        """Delivers messages and all messages sent in response."""
        queue = deque(envelopes)
        while queue:
            if self.reorder:
                queue.rotate(self.random.randrange(len(queue)))
            item = queue.popleft()
            if type(item.payload) in self.lost_types:
                continue
            if isinstance(item.payload, Count):
                assert item.receiver == LOCAL_METRICS
                self.counts[item.payload.name] += item.payload.amount
            elif isinstance(item.payload, PacketOut):
                self.to_callers[item.payload.caller] += 1
            elif isinstance(item.payload, PacketDeliver):
                queue.extend(self._deliver_to_upstream(item))
            elif item.receiver in self.nodes and item.receiver not in self.dead:
                node = self.nodes[item.receiver]
                queue.extend(node.receive(item, now=self.now))

    def _deliver_to_upstream(self, item: Envelope) -> list[Envelope]:
        packet = item.payload
        name = UpstreamId(item.sender.rsplit("/", 1)[1])
        delivery = (name, str(packet.caller), packet.binding)
        self.delivered.append(delivery)
        if delivery in self.muted_sockets:
            return []
        answer = PacketAnswered(
            flow_id=packet.flow_id, binding=packet.binding, data=b"re:x"
        )
        return [Envelope(LOCAL_UPSTREAM, item.sender, answer)]
