"""Dissemination of the configuration: order, loss, split deltas, agents."""

from __future__ import annotations

import msgspec
import pytest
from control_fixture import PARTNER, SERVICE, Deployment, service

from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import (
    ConfigDelta,
    ConfigStore,
    PartnerConfig,
    full_delta,
    next_config,
)
from bramleydyke.core.config_parts import ConfigReceiver, split_delta
from bramleydyke.core.dissemination import MAX_ATTEMPTS, Dissemination
from bramleydyke.messages import ConfigDigest, DeltaRequest
from bramleydyke.types import Generation, NodeId, ServiceId

PEER, OTHER = NodeId("balancer/p"), NodeId("balancer/q")


def make_history(length: int) -> list[PartnerConfig]:
    configs = [PartnerConfig(PARTNER)]
    for weight in range(1, length + 1):
        wanted = [service(float(weight))]
        configs.append(next_config(configs[-1], wanted, change_id=str(weight)))
    return configs


def make_dissemination() -> Dissemination:
    return Dissemination(
        node_id=NodeId("balancer/a"), config=ConfigStore(), peers=lambda count: [PEER]
    )


def test_older_generation_is_not_applied() -> None:
    """Guards against a late or duplicate message that reverts a change."""
    configs = make_history(3)
    node = make_dissemination()
    node.take(PEER, full_delta(configs[3]), now=0.0)
    for old in configs[:3]:
        assert node.take(PEER, full_delta(old), now=1.0) == []
        assert not node.config.apply(full_delta(old), now=1.0)
    assert node.config.generation(PARTNER) == 3
    assert node.config.services[SERVICE].upstreams[0].weight == 3.0


def test_delta_with_newer_base_is_requested_from_own_generation() -> None:
    """Guards against missing entries that changed before a delta's base."""
    ahead = make_dissemination()
    ahead.take(PEER, full_delta(make_history(3)[3]), now=0.0)
    node = make_dissemination()
    delta = ahead.config.delta_since(PARTNER, Generation(2))
    [sent] = node.take(PEER, delta, now=0.0)
    assert sent.receiver == PEER
    assert sent.payload == DeltaRequest(partner_id=PARTNER, base=Generation(0))
    assert node.config.generation(PARTNER) == 0


def test_next_peer_is_asked_when_one_does_not_answer() -> None:
    """Guards against a lost delta that is not requested again."""
    node = make_dissemination()
    digest = ConfigDigest(generations={PARTNER: Generation(5)})
    first = node.handle_digest(PEER, digest, now=0.0)
    assert node.handle_digest(OTHER, digest, now=0.1) == []
    asked = [item.receiver for item in first]
    now = 0.0
    while (at := node.next_wakeup()) is not None:
        now = at
        asked += [item.receiver for item in node.wake(now=now)]
    assert asked[:2] == [PEER, OTHER]
    assert len(asked) == MAX_ATTEMPTS
    assert node.handle_digest(PEER, digest, now=now) != []


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 0, 1), (1, 1, 0, 2)])
def test_delta_is_applied_only_with_all_its_parts(order: tuple[int, ...]) -> None:
    """Guards against a partly applied configuration when a part is late."""
    entries = [
        msgspec.structs.replace(service(), service_id=ServiceId(f"{PARTNER}/s{index}"))
        for index in range(6)
    ]
    config = next_config(PartnerConfig(PARTNER), entries, change_id="c")
    size = len(msgspec.msgpack.encode(config.services[0]))
    parts = split_delta(full_delta(config), max_bytes=2 * size)
    assert len(parts) == 3
    receiver = ConfigReceiver(node_id=NodeId("balancer/a"), config=ConfigStore())
    for index in order[:-1]:
        assert receiver.apply_delta(PEER, parts[index], now=0.0) == (False, [])
        assert receiver.config.services == {}
    assert receiver.apply_delta(OTHER, parts[order[-1]], now=0.0) == (True, [])
    assert len(receiver.config.services) == 6


def test_agent_gets_only_its_own_service() -> None:
    """Guards against an agent that receives other services' configuration."""
    node = make_dissemination()
    other = msgspec.structs.replace(service(), service_id=ServiceId(f"{PARTNER}/b"))
    config = next_config(PartnerConfig(PARTNER), [service(), other], change_id="c")
    node.take(PEER, full_delta(config), now=0.0)
    request = DeltaRequest(partner_id=PARTNER, base=Generation(0), service_id=SERVICE)
    [sent] = node.handle_request(PEER, request)
    assert isinstance(sent.payload, ConfigDelta)
    assert [entry.service_id for entry in sent.payload.services] == [SERVICE]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_change_reaches_all_nodes_despite_message_loss(seed: int) -> None:
    """Guards against balancers or agents that never learn a change."""
    deployment = Deployment(seed=seed)
    deployment.network.loss = 0.1
    deployment.run(10)
    deployment.apply(service(2.0))
    assert deployment.network.run_until(
        lambda: deployment.generations() == {1}, step=0.1, end=17.0
    )


def test_paused_and_new_balancers_catch_up_while_the_store_is_down() -> None:
    """Guards against a paused process that spreads its old configuration."""
    deployment = Deployment(seed=4)
    deployment.apply(service())
    deployment.run(8)
    deployment.network.paused.add(deployment.seeds[8])
    deployment.apply(service(2.0))
    deployment.run(8)
    deployment.network.store.down = True
    deployment.network.resume(deployment.seeds[8])
    deployment.add_balancer(9)
    deployment.run(5)
    assert deployment.generations() == {2}


@pytest.mark.parametrize("seed", [5, 6])
def test_isolated_zone_keeps_its_generation_and_catches_up(seed: int) -> None:
    """Guards against an isolated zone that reverts a change of the others."""
    deployment = Deployment(seed=seed, agents=6)
    deployment.apply(service())
    deployment.run(8)
    inside = [*deployment.balancers[0::3], *deployment.agents[0::3]]
    names = {node.node_id for node in inside}
    deployment.network.is_cut = lambda a, b: (a in names) != (b in names)
    deployment.network.disconnected_from_store = names
    deployment.apply(service(2.0))
    deployment.run(40)
    assert {node.config.generation(PARTNER) for node in inside} == {1}
    watchers = [node.control.watcher for node in inside if isinstance(node, Balancer)]
    assert not any(watcher.holding(deployment.network.now) for watcher in watchers)
    deployment.network.is_cut = lambda a, b: False
    deployment.network.disconnected_from_store = set()
    for _ in range(10):
        deployment.run(0.5)
        outside = (node for node in deployment.balancers if node.node_id not in names)
        assert {node.config.generation(PARTNER) for node in outside} == {2}
    assert deployment.generations() == {2}
