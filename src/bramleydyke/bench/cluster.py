"""Simulated network of real balancer and agent cores, for one service."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from bramleydyke.bench.events import EventQueue
from bramleydyke.bench.tally import RunStatistics
from bramleydyke.bench.topology import LOSS, Deployment
from bramleydyke.bench.workload import Request
from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import ConfigDelta, ServiceConfig, UpstreamSpec
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.messages import (
    Announcement,
    AnswerCaller,
    Envelope,
    RefuseCaller,
    RequestArrived,
    RequestDone,
    RunRequest,
    StopRequest,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_METRICS,
    LOCAL_PLATFORM,
    LOCAL_UPSTREAM,
    AvailabilityZone,
    Generation,
    Incarnation,
    NodeId,
    PartnerId,
    Protocol,
    RequestId,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    balancer_node,
)

PARTNER = PartnerId("partner")
ADDRESS = ServiceAddress("127.0.0.1:9000")
REQUEST_TIMEOUT_S = 30.0

Node = Balancer | Agent


@dataclass(slots=True)
class Cluster:
    """Balancers, agents and simulated upstreams of one service.

    Attributes:
        requests: Requests of the run; a request's number is its index.
        nodes: Processes that are running.
        zones: Number of each process's availability zone; stopped processes
            are kept.
        active_balancers: Balancers that receive new requests from the fabric.
        running_since: Start time of each request that an upstream is running.
        started_requests: Numbers of the requests that have started, to detect
            second runs.
        configs: Generations of the configuration, newest last.
    """

    deployment: Deployment
    events: EventQueue
    tally: RunStatistics
    random_source: random.Random
    requests: list[Request]
    nodes: dict[NodeId, Node] = field(default_factory=dict)
    zones: dict[NodeId, int] = field(default_factory=dict)
    active_balancers: list[NodeId] = field(default_factory=list)
    running_since: dict[tuple[NodeId, RequestId], float] = field(default_factory=dict)
    started_requests: set[int] = field(default_factory=set)
    configs: list[ConfigDelta] = field(default_factory=list)
    _last_delivery: dict[tuple[NodeId, NodeId], float] = field(default_factory=dict)
    _wake_at: dict[NodeId, float] = field(default_factory=dict)

    @property
    def service_id(self) -> ServiceId:
        """Returns the id of the cluster's service."""
        return ServiceId(f"{PARTNER}/{self.deployment.name}")

    def add_balancer(self, name: str, *, zone: int) -> Balancer:
        """Starts a balancer that does not receive new requests yet."""
        balancer = Balancer(
            node_id=balancer_node(name),
            incarnation=Incarnation(1),
            random_source=random.Random(f"{name}/{self.random_source.random()}"),
            limits=PartnerLimits(max_requests=1_000_000),
        )
        self._add(balancer, zone)
        return balancer

    def add_agent(self, number: int) -> Agent:
        """Starts an upstream's agent; the upstream's number gives the zone."""
        zone = number % self.deployment.zones
        agent = Agent(
            partner_id=PARTNER,
            service_id=self.service_id,
            upstream_id=UpstreamId(str(number)),
            incarnation=Incarnation(1),
            zone=AvailabilityZone(str(zone)),
            endpoint="127.0.0.1:1",
            slots=self.deployment.slots,
            credential="",
            balancers=(),
            random_source=random.Random(f"{number}/{self.random_source.random()}"),
            now=self.events.now,
        )
        self._add(agent, zone)
        return agent

    def _add(self, node: Node, zone: int) -> None:
        self.nodes[node.node_id] = node
        self.zones[node.node_id] = zone

    def agents(self) -> list[Agent]:
        """Returns the agents that are running."""
        return [node for node in self.nodes.values() if isinstance(node, Agent)]

    def next_generation(self, weights: Iterable[float]) -> ConfigDelta:
        """Creates a configuration with new weights; does not distribute it."""
        generation = Generation(len(self.configs) + 1)
        service = ServiceConfig(
            service_id=self.service_id,
            partner_id=PARTNER,
            protocol=Protocol.HTTP,
            addresses=(ADDRESS,),
            upstreams=tuple(
                UpstreamSpec(
                    UpstreamId(str(number)),
                    AvailabilityZone(str(number % self.deployment.zones)),
                    weight,
                    self.deployment.slots,
                )
                for number, weight in enumerate(weights)
            ),
            changed_at=generation,
        )
        config = ConfigDelta(
            partner_id=PARTNER,
            base=Generation(0),
            generation=generation,
            services=(service,),
        )
        self.configs.append(config)
        return config

    def newest_config(self) -> ConfigDelta:
        """Returns the newest generation of the configuration."""
        return self.configs[-1]

    def stop(self, node_id: NodeId) -> None:
        """Stops a process abruptly; for an agent, also its upstream."""
        del self.nodes[node_id]
        stopped = [key for key in self.running_since if key[0] == node_id]
        for agent, request_id in stopped:
            self._stop(agent, request_id)

    def deliver_update(
        self, node_id: NodeId, payload: ConfigDelta | Announcement
    ) -> None:
        """Delivers a configuration or announcement without gossip."""
        self.deliver(Envelope(LOCAL_PLATFORM, node_id, payload))

    def deliver_request(self, number: int) -> None:
        """Delivers a caller's request to the balancer chosen by the fabric."""
        request = self.requests[number]
        receiver = self.active_balancers[request.balancer % len(self.active_balancers)]
        message = RequestArrived(
            caller=number,
            address=ADDRESS,
            payload=number.to_bytes(4),
            idempotent=False,
            timeout=REQUEST_TIMEOUT_S,
        )
        self.tally.counts["requests"] += 1
        self.deliver(Envelope(LOCAL_CALLER, receiver, message))

    def deliver(self, envelope: Envelope) -> None:
        """Delivers a message; drops it if the receiver has stopped."""
        node = self.nodes.get(envelope.receiver)
        if node is not None:
            self._send(node.receive(envelope, now=self.events.now))
            self._wake_later(node)

    def _send(self, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            if envelope.receiver == LOCAL_METRICS:
                self.tally.counts[envelope.payload.name] += envelope.payload.amount
            elif envelope.receiver == LOCAL_UPSTREAM:
                self._to_upstream(envelope.sender, envelope.payload)
            elif envelope.receiver == LOCAL_CALLER:
                self._to_caller(envelope.payload)
            else:
                self._transmit(envelope)

    def _transmit(self, envelope: Envelope) -> None:
        """Sends a message with loss and delay; each link keeps the order."""
        self.tally.counts[f"sent.{type(envelope.payload).__name__}"] += 1
        if self.random_source.random() < LOSS:
            return
        link = envelope.sender, envelope.receiver
        zone_a, zone_b = self.zones[link[0]], self.zones.get(link[1], 0)
        delay = self.deployment.delay(zone_a, zone_b, self.random_source)
        at = max(self.events.now + delay, self._last_delivery.get(link, 0.0))
        self._last_delivery[link] = at
        self.events.schedule(at, lambda: self.deliver(envelope))

    def _wake_later(self, node: Node) -> None:
        at = node.next_wakeup()
        node_id = node.node_id
        if at is None or self._wake_at.get(node_id, float("inf")) <= at:
            return
        self._wake_at[node_id] = at
        self.events.schedule(at, lambda: self._wake(node_id, at))

    def _wake(self, node_id: NodeId, at: float) -> None:
        node = self.nodes.get(node_id)
        if node is None or self._wake_at.get(node_id) != at:
            return
        del self._wake_at[node_id]
        self._send(node.wake(now=self.events.now))
        self._wake_later(node)

    def _to_caller(self, payload: object) -> None:
        if isinstance(payload, AnswerCaller):
            self.tally.counts["answered"] += 1
        elif isinstance(payload, RefuseCaller):
            self.tally.counts[f"refused_to_caller.{payload.kind.value}"] += 1

    def _to_upstream(self, agent: NodeId, payload: object) -> None:
        if isinstance(payload, RunRequest):
            self._start(agent, payload)
        elif isinstance(payload, StopRequest):
            self._stop(agent, payload.request_id)

    def _start(self, agent: NodeId, message: RunRequest) -> None:
        now = self.events.now
        number = int.from_bytes(message.payload)
        self.tally.counts["ran_twice"] += number in self.started_requests
        self.started_requests.add(number)
        self.running_since[agent, message.request_id] = now
        request = self.requests[number]
        self.tally.record_start(arrived_at=request.at, now=now)
        done = RequestDone(request_id=message.request_id, payload=message.payload)
        self.events.schedule(now + request.service_s, lambda: self._done(agent, done))

    def _done(self, agent: NodeId, message: RequestDone) -> None:
        if self._stop(agent, message.request_id):
            self.deliver(Envelope(LOCAL_UPSTREAM, agent, message))

    def _stop(self, agent: NodeId, request_id: RequestId) -> bool:
        start = self.running_since.pop((agent, request_id), None)
        if start is None:
            return False
        upstream = int(agent.rsplit("/", 1)[1])
        self.tally.record_run(upstream, start=start, end=self.events.now)
        return True


def make_cluster(
    deployment: Deployment, requests: list[Request], *, seed: int
) -> Cluster:
    """Returns a cluster in which every process knows all agents.

    The arrivals of the requests are scheduled.
    """
    cluster = Cluster(
        deployment=deployment,
        events=EventQueue(),
        tally=RunStatistics([1.0] * deployment.upstreams),
        random_source=random.Random(f"{seed}/network"),
        requests=requests,
    )
    agents = [cluster.add_agent(number) for number in range(deployment.upstreams)]
    for number in range(deployment.balancers):
        balancer = cluster.add_balancer(f"b{number}", zone=number % deployment.zones)
        cluster.active_balancers.append(balancer.node_id)
    config = cluster.next_generation([1.0] * deployment.upstreams)
    for node_id in cluster.nodes:
        cluster.deliver_update(node_id, config)
        for agent in agents:
            cluster.deliver_update(node_id, agent.announcement)
    for number, request in enumerate(requests):
        cluster.events.schedule(
            request.at, lambda number=number: cluster.deliver_request(number)
        )
    return cluster
