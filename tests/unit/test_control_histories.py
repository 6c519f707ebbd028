"""Convergence of a whole deployment after random faults."""

from __future__ import annotations

import random

import pytest
from control_fixture import (
    PARTNER,
    SERVICE,
    Deployment,
    service,
)

from bramleydyke.core.drain import DrainObject
from bramleydyke.types import (
    MemberState,
    NodeId,
    UpstreamId,
    agent_node,
)

U3 = agent_node(SERVICE, UpstreamId("u3"))
STEPS = 40


class Faults:
    """Applies random combinations of faults and changes to a deployment."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.deployment = Deployment(seed=seed, agents=9)
        self.core_network = self.deployment.network
        self.core_network.loss = self.core_network.duplicate_share = 0.1
        self.incarnations: dict[NodeId, int] = {}
        self.drained = False

    def step(self, number: int) -> None:
        source, core_network = self.source, self.core_network
        names = list(core_network.nodes)
        match source.randrange(9):
            case 0:
                core_network.paused.add(source.choice(names))
            case 1 if core_network.paused:
                core_network.resume(source.choice(sorted(core_network.paused)))
            case 2:
                group = set(source.sample(names, source.randrange(1, 6)))
                core_network.is_cut = lambda a, b: (a in group) != (b in group)
            case 3:
                core_network.is_cut = lambda a, b: False
            case 4:
                self.restart(source.choice(names))
            case 5:
                core_network.store.down = not core_network.store.down
            case 6:
                core_network.store.lose_replies = not core_network.store.lose_replies
            case 7:
                self.deployment.apply(service(number + 1.0, upstreams=9))
            case 8:
                self.drained = not self.drained
                order = DrainObject(node_id=U3, draining=self.drained)
                self.deployment.put(f"drains/{PARTNER}/u3", order)
        self.deployment.run(source.uniform(0.2, 6.0))

    def restart(self, node_id: NodeId) -> None:
        """Replaces a node by one with the next incarnation."""
        self.core_network.remove(node_id)
        incarnation = self.incarnations.get(node_id, 1) + 1
        self.incarnations[node_id] = incarnation
        is_agent = node_id.startswith("agent/")
        add = self.deployment.add_agent if is_agent else self.deployment.add_balancer
        add(int(node_id[-1]), incarnation)

    def heal(self) -> None:
        """Ends all faults."""
        core_network = self.core_network
        core_network.is_cut = lambda a, b: False
        core_network.loss = core_network.duplicate_share = 0.0
        core_network.store.down = core_network.store.lose_replies = False
        for node_id in sorted(core_network.paused):
            core_network.resume(node_id)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_deployment_converges_after_random_faults(seed: int) -> None:
    """Guards against combinations of faults that prevent convergence.

    All nodes must agree on the configuration and the members again.
    """
    faults = Faults(seed)
    for number in range(STEPS):
        faults.step(number)
    faults.heal()
    deployment = faults.deployment
    deployment.run(60)
    assert deployment.generations() == {deployment.config.generation}
    for node_id in deployment.network.nodes:
        draining = faults.drained and node_id == U3
        state = MemberState.DRAINING if draining else MemberState.RUNNING
        assert deployment.states(node_id) == {state}
    for agent in deployment.agents:
        assert len(agent.members.agents[SERVICE]) == 9
    now = deployment.network.now
    assert sum(item.control.watcher.holding(now) for item in deployment.balancers) == 6
