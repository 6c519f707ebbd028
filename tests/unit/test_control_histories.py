"""Random faults on a whole deployment, which then has to agree again."""

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
    """Random faults at random times, in any combination."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.net = Deployment(seed=seed, agents=9)
        self.core = self.net.net
        self.core.loss = self.core.doubled = 0.1
        self.incarnations: dict[NodeId, int] = {}
        self.drained = False

    def step(self, number: int) -> None:
        source, core = self.source, self.core
        names = list(core.nodes)
        match source.randrange(9):
            case 0:
                core.paused.add(source.choice(names))
            case 1 if core.paused:
                core.resume(source.choice(sorted(core.paused)))
            case 2:
                group = set(source.sample(names, source.randrange(1, 6)))
                core.cut = lambda a, b: (a in group) != (b in group)
            case 3:
                core.cut = lambda a, b: False
            case 4:
                self.restart(source.choice(names))
            case 5:
                core.store.down = not core.store.down
            case 6:
                core.store.lose_replies = not core.store.lose_replies
            case 7:
                self.net.apply(service(number + 1.0, upstreams=9))
            case 8:
                self.drained = not self.drained
                order = DrainObject(node_id=U3, draining=self.drained)
                self.net.put(f"drains/{PARTNER}/u3", order)
        self.net.run(source.uniform(0.2, 6.0))

    def restart(self, node_id: NodeId) -> None:
        self.core.remove(node_id)
        incarnation = self.incarnations.get(node_id, 1) + 1
        self.incarnations[node_id] = incarnation
        is_agent = node_id.startswith("agent/")
        add = self.net.add_agent if is_agent else self.net.add_balancer
        add(int(node_id[-1]), incarnation)

    def heal(self) -> None:
        core = self.core
        core.cut = lambda a, b: False
        core.loss = core.doubled = 0.0
        core.store.down = core.store.lose_replies = False
        for node_id in sorted(core.paused):
            core.resume(node_id)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_deployment_agrees_again_after_random_faults(seed: int) -> None:
    """Guards against faults in combination that leave lasting damage."""
    faults = Faults(seed)
    for number in range(STEPS):
        faults.step(number)
    faults.heal()
    net = faults.net
    net.run(60)
    assert net.generations() == {net.config.generation}
    for node_id in net.net.nodes:
        draining = faults.drained and node_id == U3
        state = MemberState.DRAINING if draining else MemberState.RUNNING
        assert net.states(node_id) == {state}
    for agent in net.agents:
        assert len(agent.members.agents[SERVICE]) == 9
    now = net.net.now
    assert sum(item.control.watcher.holding(now) for item in net.balancers) == 6
