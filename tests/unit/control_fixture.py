"""Simulated deployment of balancers and agents for control-plane tests."""

from __future__ import annotations

import random

import msgspec

from bramleydyke.bench.cores import SimulatedNetwork
from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import (
    PartnerConfig,
    ServiceConfig,
    UpstreamSpec,
    next_config,
)
from bramleydyke.core.credentials import make_credential
from bramleydyke.types import (
    AvailabilityZone,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    agent_node,
    balancer_node,
)

PARTNER = PartnerId("federation")
SERVICE = ServiceId("federation/bourse-beurre")
SECRETS = {PARTNER: b"secret of the federation"}
ZONES = [AvailabilityZone(name) for name in ("meknes", "fes", "kenitra")]


def service(weight: float = 1.0, upstreams: int = 3) -> ServiceConfig:
    return ServiceConfig(
        service_id=SERVICE,
        partner_id=PARTNER,
        protocol=Protocol.HTTP,
        addresses=(ServiceAddress("127.0.0.1:9000"),),
        upstreams=tuple(
            UpstreamSpec(UpstreamId(f"u{index}"), ZONES[index % 3], weight)
            for index in range(upstreams)
        ),
    )


class Deployment:
    """Balancers in three zones, agents and an object store, all simulated.

    Balancer and agent ``i`` are in zone ``i % 3``.

    Attributes:
        network: Simulated network, clock and object store.
        config: Sheet that was applied last.
        seeds: Node ids of the first balancers.
    """

    def __init__(self, *, seed: int, balancers: int = 9, agents: int = 3) -> None:
        print("seed", seed)
        self.random = random.Random(seed)
        self.network = SimulatedNetwork(
            random_source=self.random,
            delay=lambda a, b: self.random.uniform(0.001, 0.01),
        )
        self.config = PartnerConfig(PARTNER)
        self.seeds = [balancer_node(f"b{index}") for index in range(balancers)]
        for index in range(balancers):
            self.add_balancer(index)
        for index in range(agents):
            self.add_agent(index)

    def add_balancer(self, index: int, incarnation: int = 1) -> Balancer:
        balancer = Balancer(
            node_id=balancer_node(f"b{index}"),
            incarnation=Incarnation(incarnation),
            random_source=random.Random(self.random.getrandbits(32)),
            zone=ZONES[index % 3],
            seeds=self.seeds,
            credentials=SECRETS,
            partners=[PARTNER],
        )
        self.network.add(balancer)
        return balancer

    def add_agent(
        self, index: int, incarnation: int = 1, secret: bytes = SECRETS[PARTNER]
    ) -> Agent:
        upstream = UpstreamId(f"u{index}")
        node_id = agent_node(SERVICE, upstream)
        agent = Agent(
            partner_id=PARTNER,
            service_id=SERVICE,
            upstream_id=upstream,
            incarnation=Incarnation(incarnation),
            zone=ZONES[index % 3],
            endpoint="127.0.0.1:1",
            slots=1,
            credential=make_credential(secret, node_id, Incarnation(incarnation)),
            balancers=self.seeds,
            random_source=random.Random(self.random.getrandbits(32)),
            now=self.network.now,
        )
        self.network.add(agent)
        return agent

    def apply(self, *services: ServiceConfig) -> None:
        """Writes the partner's next sheet into the store."""
        self.config = next_config(self.config, services, change_id="c")
        self.put(f"sheets/{PARTNER}", self.config)

    def put(self, path: str, value: object) -> None:
        self.network.store.put(path, msgspec.json.encode(value))
        self.network.store_changed()

    def run(self, seconds: float) -> None:
        self.network.run(self.network.now + seconds)

    @property
    def balancers(self) -> list[Balancer]:
        return [
            node for node in self.network.nodes.values() if isinstance(node, Balancer)
        ]

    @property
    def agents(self) -> list[Agent]:
        return [node for node in self.network.nodes.values() if isinstance(node, Agent)]

    def generations(self) -> set[int]:
        """Returns the generations that any balancer or agent holds."""
        return {
            node.config.generation(PARTNER) for node in (*self.balancers, *self.agents)
        }

    def states(self, node_id: NodeId) -> set[MemberState | None]:
        """Returns the states that other balancers have for a node.

        None stands for a balancer that does not know the node.
        """
        known = [
            node.members.by_node.get(node_id)
            for node in self.balancers
            if node.node_id != node_id
        ]
        return {None if item is None else item.state for item in known}
