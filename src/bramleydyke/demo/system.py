"""Starts and stops all nodes and stand-ins of the demo in one reactor."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Protocol as TypingProtocol

from bramleydyke.adapters.platform_client import PlatformClient
from bramleydyke.core.config import ServiceConfig, UpstreamSpec
from bramleydyke.daemons.agent import AgentNode
from bramleydyke.daemons.balancer import BalancerNode
from bramleydyke.daemons.environment import Environment
from bramleydyke.daemons.node import Node
from bramleydyke.demo.endpoints import free_endpoint
from bramleydyke.settings import (
    AgentSettings,
    BalancerSettings,
    Edge,
    PlatformAccess,
    PlatformSettings,
    Seed,
)
from bramleydyke.standins.board import BoardServer
from bramleydyke.standins.documents import DocumentServer
from bramleydyke.standins.fabric import Fabric
from bramleydyke.standins.platform import PlatformServer
from bramleydyke.standins.upstream import Behaviour, Upstream, UpstreamServer
from bramleydyke.standins.work_counts import WorkCounts
from bramleydyke.types import (
    AvailabilityZone,
    Generation,
    PartnerId,
    Protocol,
    UpstreamId,
)

NODE_CREDENTIAL = "node-demo"
CONTROL_CREDENTIAL = "control-demo"


def credential_of(partner_id: PartnerId) -> str:
    """Returns the credential of a partner in the demo."""
    return f"{partner_id}-demo"


class RunningUpstream(TypingProtocol):
    """Upstream stand-in of any protocol that can be stopped."""

    def stop(self) -> None:
        """Stops listening."""


class DemoSystem:
    """Balancers and agents with the stand-ins around them.

    Attributes:
        control_endpoints: Endpoint for messages between nodes, by balancer.
        services: Services by service address.
        balancers: Running balancers by name.
        agents: Running agents by upstream.
        upstreams: Simulated upstreams; they keep running after their agent
            has stopped.
        killed_edges: Edge endpoints of killed balancers.
        stopped_nodes: Nodes that were stopped or killed; their counters are
            reported at the end.
        work_counts: Counts of the work that reached the upstreams.
        fabric: Forwards the traffic of the service addresses to balancers.
    """

    def __init__(
        self,
        *,
        environment: Environment,
        seed: int,
        partners: Iterable[PartnerId],
        balancer_names: Iterable[str],
    ) -> None:
        """Reserves endpoints; nothing listens yet.

        Args:
            environment: Reactor, clock and zmq context.
            seed: Seed of all random choices.
            partners: All partners.
            balancer_names: Names of all balancers, also of those that join
                later. Agents announce themselves to all of them.
        """
        self.environment = environment
        self.seed = seed
        self.partners = list(partners)
        self.control_endpoints = {name: free_endpoint() for name in balancer_names}
        self.platform_endpoint = free_endpoint()
        self.services: dict[str, ServiceConfig] = {}
        self.balancers: dict[str, BalancerNode] = {}
        self.agents: dict[UpstreamId, AgentNode] = {}
        self.upstreams: dict[UpstreamId, RunningUpstream] = {}
        self.killed_edges: set[str] = set()
        self.stopped_nodes: list[Node] = []
        self.work_counts = WorkCounts()
        self.fabric = Fabric(
            reactor=environment.reactor,
            random_source=random.Random(f"{seed}/fabric"),
        )
        self.platform = PlatformServer(
            self._platform_settings(), environment=environment
        )

    def start_platform(self) -> None:
        """Starts the stand-in for the platform's object API."""
        self.platform.start()

    def add_service(self, service: ServiceConfig) -> None:
        """Opens a service's address and starts its upstreams and agents."""
        self.services[service.addresses[0]] = service
        self.fabric.listen(service.addresses[0], service.protocol)
        for spec in service.upstreams:
            self.add_upstream(service, spec)

    def add_upstream(self, service: ServiceConfig, spec: UpstreamSpec) -> None:
        """Starts an upstream and the agent beside it."""
        listen = free_endpoint()
        start_upstream = START_BY_PROTOCOL[service.protocol]
        self.upstreams[spec.upstream_id] = start_upstream(self, service, spec, listen)
        settings = self._agent_settings(service, spec, listen)
        agent = AgentNode(settings, environment=self.environment)
        self.agents[spec.upstream_id] = agent
        agent.start()

    def add_balancer(self, name: str, *, zone: AvailabilityZone) -> None:
        """Starts a balancer and adds it to the fabric."""
        edges = tuple(
            Edge(address=address, listen=free_endpoint(), protocol=service.protocol)
            for address, service in self.services.items()
        )
        settings = BalancerSettings(
            name=name,
            zone=zone,
            listen=self.control_endpoints[name],
            platform=self._platform_access(NODE_CREDENTIAL),
            partner_credentials={
                partner: credential_of(partner) for partner in self.partners
            },
            seeds=self._seeds(),
            edges=edges,
            random_seed=self.seed,
        )
        balancer = BalancerNode(settings, environment=self.environment)
        self.balancers[name] = balancer
        balancer.start()
        for edge in edges:
            self.fabric.targets.setdefault(edge.address, []).append(edge.listen)

    def kill_balancer(self, name: str) -> None:
        """Stops a balancer as in a crash; its endpoints stay in the fabric."""
        balancer = self.balancers.pop(name)
        self.stopped_nodes.append(balancer)
        self.killed_edges.update(edge.listen for edge in balancer.edges)
        balancer.stop(abrupt=True)

    def used_killed_balancer(self, caller_port: int) -> bool:
        """Returns whether a caller port was connected to a killed balancer."""
        return self.fabric.balancer_by_port.get(caller_port) in self.killed_edges

    def drain_agent(self, upstream_id: UpstreamId, *, notice_s: float) -> None:
        """Drains an agent and stops it once it is idle.

        Args:
            upstream_id: The agent's upstream.
            notice_s: Seconds before the agent may stop.
        """
        agent = self.agents[upstream_id]
        agent.drain()
        self.environment.clock.callLater(notice_s, self._stop_if_idle, upstream_id)

    def in_force(self, partner_id: PartnerId, generation: Generation) -> bool:
        """Returns whether all nodes concerned have at least a generation.

        These are all balancers and the partner's own agents.
        """
        configs = [node.role.config for node in self.balancers.values()]
        configs += [
            node.agent.config
            for node in self.agents.values()
            if node.agent.announcement.partner_id == partner_id
        ]
        return all(item.generation(partner_id) >= generation for item in configs)

    def operator_client(self, partner_id: PartnerId) -> PlatformClient:
        """Returns a platform client with the partner's credential."""
        return PlatformClient(
            reactor=self.environment.reactor,
            clock=self.environment.clock,
            base_url=f"http://{self.platform_endpoint}",
            credential=credential_of(partner_id),
            deliver=lambda *_: None,
        )

    def stop(self) -> None:
        """Stops the fabric, all nodes and all stand-ins."""
        self.fabric.stop()
        for node in [*self.balancers.values(), *self.agents.values()]:
            self.stopped_nodes.append(node)
            node.stop()
        for upstream in self.upstreams.values():
            upstream.stop()
        self.platform.stop()
        self.balancers.clear()
        self.agents.clear()

    def _stop_if_idle(self, upstream_id: UpstreamId) -> None:
        agent = self.agents.get(upstream_id)
        if agent is None:
            return
        if agent.idle():
            self.stopped_nodes.append(self.agents.pop(upstream_id))
            agent.stop()
        else:
            self.environment.clock.callLater(0.1, self._stop_if_idle, upstream_id)

    def _seeds(self) -> tuple[Seed, ...]:
        return tuple(
            Seed(node_id=f"balancer/{name}", endpoint=endpoint)
            for name, endpoint in self.control_endpoints.items()
        )

    def _platform_access(self, credential: str) -> PlatformAccess:
        return PlatformAccess(
            url=f"http://{self.platform_endpoint}", credential=credential
        )

    def _agent_settings(
        self, service: ServiceConfig, spec: UpstreamSpec, upstream: str
    ) -> AgentSettings:
        credential = credential_of(service.partner_id)
        return AgentSettings(
            service=service.service_id,
            upstream=spec.upstream_id,
            zone=spec.zone,
            listen=free_endpoint(),
            upstream_address=upstream,
            protocol=service.protocol,
            slots=spec.slots,
            credential=credential,
            platform=self._platform_access(credential),
            seeds=self._seeds(),
            random_seed=self.seed,
        )

    def _platform_settings(self) -> PlatformSettings:
        return PlatformSettings(
            listen=self.platform_endpoint,
            partner_credentials={
                partner: credential_of(partner) for partner in self.partners
            },
            node_credential=NODE_CREDENTIAL,
            control_credential=CONTROL_CREDENTIAL,
        )


def start_http_upstream(
    system: DemoSystem, service: ServiceConfig, spec: UpstreamSpec, listen: str
) -> RunningUpstream:
    """Starts an HTTP upstream that runs requests in slots."""
    upstream = Upstream(
        service_id=service.service_id,
        behaviour=Behaviour(slots=spec.slots),
        work_counts=system.work_counts,
        clock=system.environment.clock,
        random_source=random.Random(f"{system.seed}/{spec.upstream_id}"),
    )
    return UpstreamServer(upstream, reactor=system.environment.reactor, listen=listen)


def start_udp_upstream(
    system: DemoSystem, service: ServiceConfig, spec: UpstreamSpec, listen: str
) -> RunningUpstream:
    """Starts a UDP upstream that pushes ticks."""
    return BoardServer(
        service_id=service.service_id,
        upstream_id=spec.upstream_id,
        work_counts=system.work_counts,
        clock=system.environment.clock,
        reactor=system.environment.reactor,
        listen=listen,
    )


def start_tcp_upstream(
    system: DemoSystem, service: ServiceConfig, _: UpstreamSpec, listen: str
) -> RunningUpstream:
    """Starts a TCP upstream that serves documents."""
    return DocumentServer(
        service_id=service.service_id,
        work_counts=system.work_counts,
        clock=system.environment.clock,
        reactor=system.environment.reactor,
        listen=listen,
    )


StartUpstream = Callable[
    [DemoSystem, ServiceConfig, UpstreamSpec, str], RunningUpstream
]

START_BY_PROTOCOL: dict[Protocol, StartUpstream] = {
    Protocol.HTTP: start_http_upstream,
    Protocol.UDP: start_udp_upstream,
    Protocol.TCP: start_tcp_upstream,
}
"""Function that starts an upstream of each protocol."""
