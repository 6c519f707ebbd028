"""Membership: failure detection, refutation, partitions, credentials."""

from __future__ import annotations

import msgspec
import pytest
from control_fixture import PARTNER, SECRETS, SERVICE, ZONES, Deployment

from bramleydyke.constants import MEMBER_RETENTION_S
from bramleydyke.core.credentials import make_credential
from bramleydyke.core.homes import HomeMap
from bramleydyke.core.members import Members
from bramleydyke.core.suspicion import SuspicionDetector
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import Announcement, Envelope, HeartbeatReply, SetDrain
from bramleydyke.types import (
    Incarnation,
    MemberState,
    NodeId,
    UpstreamId,
    agent_node,
    balancer_node,
)

RUNNING = MemberState.RUNNING
U0 = agent_node(SERVICE, UpstreamId("u0"))


@pytest.mark.parametrize("seed", [1, 2])
def test_dead_agent_is_suspected_and_removed(seed: int) -> None:
    """Guards against dead agents that are used or stored forever."""
    deployment = Deployment(seed=seed)
    deployment.run(5)
    deployment.network.remove(U0)
    deployment.run(6)
    assert deployment.states(U0) == {MemberState.SUSPECT}
    deployment.run(MEMBER_RETENTION_S + 60)
    assert deployment.states(U0) == {None}
    assert all(U0 not in agent.members.by_node for agent in deployment.agents)


def test_dead_balancer_is_suspected_and_replaced_as_home() -> None:
    """Guards against agents that keep a dead home balancer."""
    deployment = Deployment(seed=3)
    deployment.run(5)
    home = deployment.network.nodes[U0].link.heartbeat_client.homes(
        now=deployment.network.now
    )[0]
    deployment.network.remove(home)
    deployment.run(8)
    assert deployment.states(home) == {MemberState.SUSPECT}
    assert home not in deployment.network.nodes[U0].link.heartbeat_client.homes(
        now=deployment.network.now
    )
    assert deployment.states(U0) == {RUNNING}
    sent = deployment.network.bytes_by_type["MemberDelta"]
    deployment.run(8)
    assert deployment.network.bytes_by_type["MemberDelta"] == sent


def test_silence_at_only_one_home_is_not_announced() -> None:
    """Guards against suspicion of an agent because of one failed link."""
    deployment = Deployment(seed=4, agents=6)
    deployment.run(5)
    home = deployment.network.nodes[U0].link.heartbeat_client.homes(
        now=deployment.network.now
    )[0]
    deployment.network.is_cut = lambda a, b: {a, b} == {home, U0}
    for _ in range(20):
        deployment.run(0.5)
        assert deployment.states(U0) == {RUNNING}


@pytest.mark.parametrize("seed", [5, 6])
def test_paused_agent_refutes_its_suspicion(seed: int) -> None:
    """Guards against a live agent that stays suspected after its pause."""
    deployment = Deployment(seed=seed)
    deployment.run(5)
    deployment.network.paused.add(U0)
    deployment.run(8)
    assert deployment.states(U0) == {MemberState.SUSPECT}
    deployment.network.resume(U0)
    deployment.run(3)
    assert deployment.states(U0) == {RUNNING}


def test_paused_balancer_suspects_nobody() -> None:
    """Guards against a home that mistakes its own pause for node failures."""
    deployment = Deployment(seed=7, agents=9)
    deployment.run(5)
    home = deployment.network.nodes[U0].link.heartbeat_client.homes(
        now=deployment.network.now
    )[0]
    deployment.network.paused.add(home)
    deployment.run(20)
    deployment.network.resume(home)
    for _ in range(20):
        deployment.run(0.25)
        assert all(
            deployment.states(agent.node_id) == {RUNNING} for agent in deployment.agents
        )
    assert deployment.states(home) == {RUNNING}


def test_members_are_kept_on_both_sides_of_a_partition() -> None:
    """Guards against losing all members of one side after a partition."""
    deployment = Deployment(seed=8, agents=9)
    deployment.run(5)
    inside = {
        node.node_id
        for index, node in enumerate([*deployment.balancers, *deployment.agents])
        if index % 3 == 0
    }
    deployment.network.is_cut = lambda a, b: (a in inside) != (b in inside)
    deployment.run(30)
    everyone = [*deployment.balancers, *deployment.agents]
    assert all(deployment.states(node.node_id) == {RUNNING} for node in everyone)


def test_zone_without_balancers_uses_those_of_other_zones() -> None:
    """Guards against agents whose failure no balancer detects."""
    deployment = Deployment(seed=9, balancers=2)
    agent = deployment.add_agent(2)
    deployment.run(8)
    assert agent.announcement.zone == ZONES[2]
    assert deployment.states(agent.node_id) == {RUNNING}
    deployment.network.remove(agent.node_id)
    deployment.run(10)
    assert deployment.states(agent.node_id) == {MemberState.SUSPECT}


def test_clean_stop_is_announced() -> None:
    """Guards against a planned stop that is detected only as a failure."""
    deployment = Deployment(seed=10)
    deployment.run(5)
    deployment.network.send(
        deployment.network.nodes[U0].stop(now=deployment.network.now)
    )
    deployment.network.remove(U0)
    deployment.run(2)
    assert deployment.states(U0) == {MemberState.STOPPED}


def test_wrong_credential_is_refused_and_counted() -> None:
    """Guards against one partner's process joining the other's service."""
    deployment = Deployment(seed=11)
    agent = deployment.add_agent(7, secret=b"another partner's secret")
    deployment.run(5)
    assert deployment.states(agent.node_id) == {None}
    assert deployment.network.counters[counter_name(ErrorKind.WRONG_PARTNER)] > 0


def test_agents_know_each_other_and_restarts() -> None:
    """Guards against agents that lack the other agents of their service."""
    deployment = Deployment(seed=12, agents=4)
    deployment.run(4)
    deployment.add_agent(0, incarnation=2)
    deployment.run(4)
    for agent in deployment.agents:
        assert len(agent.members.agents[SERVICE]) == 4
        assert agent.members.incarnation(U0) == 2


def test_drain_reaches_all_nodes_in_time() -> None:
    """Guards against new work for an upstream that drains."""
    deployment = Deployment(seed=13)
    deployment.run(5)
    deployment.network.loss = 0.05
    message = SetDrain(draining=True)
    order = Envelope(NodeId("local/operator"), U0, message)
    deployment.network.send(
        deployment.network.nodes[U0].receive(order, now=deployment.network.now)
    )
    deployment.run(3)
    assert deployment.states(U0) == {MemberState.DRAINING}


def test_member_removed_at_different_times_stays_removed() -> None:
    """Guards against digests that bring back a node that a peer removed."""
    stopped = announce(balancer_node("x"), state=MemberState.STOPPED, revision=2)
    first, second = Members(), Members()
    running = msgspec.structs.replace(stopped, state=RUNNING, revision=1)
    for members in (first, second):
        members.merge(running, now=0.0)
        members.merge(stopped, now=0.0)
    first.remove_absent(before=1.0)
    assert first.by_node == {} and second.by_node
    assert first.differing_buckets(second.digest()) == []


def announce(node_id: NodeId, **fields: object) -> Announcement:
    values = {
        "incarnation": Incarnation(1),
        "revision": 1,
        "state": RUNNING,
        "zone": ZONES[0],
        "endpoint": "",
    }
    return Announcement(node_id=node_id, **values | fields)


def agent_announcement(name: str, state: MemberState) -> Announcement:
    upstream = UpstreamId(name)
    node_id = agent_node(SERVICE, upstream)
    return announce(
        node_id,
        state=state,
        partner_id=PARTNER,
        credential=make_credential(SECRETS[PARTNER], node_id, Incarnation(1)),
        service_id=SERVICE,
        upstream_id=upstream,
    )


def test_suspicions_of_most_upstreams_are_disregarded() -> None:
    """Guards against a faulty detector that makes all upstreams unusable."""
    members = Members()
    states = [RUNNING, MemberState.SUSPECT, MemberState.SUSPECT]
    for index, state in enumerate(states):
        members.merge(agent_announcement(f"u{index}", state), now=0.0)
    assert len(members.usable_upstreams(SERVICE)) == 3
    members.merge(agent_announcement("u3", RUNNING), now=0.0)
    assert set(members.usable_upstreams(SERVICE)) == {"u0", "u3"}


def test_silence_during_a_pause_of_the_home_does_not_count() -> None:
    """Guards against false suspicions after a pause of both homes."""
    members = Members()
    own, other = balancer_node("a"), balancer_node("b")
    for node_id in (own, other, balancer_node("c")):
        members.merge(announce(node_id), now=0.0)
    suspicion = SuspicionDetector(
        node_id=own, members=members, homes=HomeMap(members), publish=lambda *_: None
    )
    for now in (0.0, 1.0, 60.0):
        assert suspicion.check(now=now) == []
    for now in (61.0, 62.0, 63.0):
        assert suspicion.check(now=now) == []
    assert suspicion.other_homes
    assert suspicion.check(now=63.5) != []


def test_isolated_homes_do_not_confirm_suspicions() -> None:
    """Guards against isolated homes that confirm each other's suspicions.

    A home must suspect none of its nodes while most of them are silent.
    """
    deployment = Deployment(seed=14, agents=9)
    deployment.run(5)
    agents = {agent.node_id for agent in deployment.agents}
    homes = {item for index, item in enumerate(deployment.seeds) if index % 3 == 0}
    deployment.network.is_cut = lambda a, b: a in agents and b in homes
    for _ in range(40):
        deployment.run(0.25)
        assert all(deployment.states(agent) == {RUNNING} for agent in agents)


def test_process_refutes_a_suspicion_in_a_heartbeat_reply() -> None:
    """Guards against a suspicion that its subject does not refute."""
    deployment = Deployment(seed=15)
    deployment.run(3)
    link = deployment.network.nodes[U0].link.heartbeat_client
    reply = HeartbeatReply(
        incarnation=Incarnation(1), revision=5, state=MemberState.SUSPECT
    )
    [sent] = link.replied(link.homes(now=3.0)[0], reply, now=3.0)
    assert sent.payload.revision == 6
    assert sent.payload.state is RUNNING


def test_agent_removes_members_that_its_homes_have_removed() -> None:
    """Guards against agents that keep a removed member in use forever."""
    deployment = Deployment(seed=16)
    deployment.run(3)
    forgotten = agent_announcement("gone", RUNNING)
    deployment.network.nodes[U0].members.merge(forgotten, now=deployment.network.now)
    deployment.run(40)
    assert forgotten.node_id not in deployment.network.nodes[U0].members.by_node


def test_new_balancer_learns_many_members_without_gossiping_them() -> None:
    """Guards against a new balancer that learns the members too slowly."""
    deployment = Deployment(seed=17)
    deployment.run(3)
    fleet = [agent_announcement(f"x{index}", RUNNING) for index in range(4_000)]
    for balancer in deployment.balancers:
        for item in fleet:
            balancer.members.merge(item, now=deployment.network.now)
    joiner = deployment.add_balancer(9)
    deployment.run(1.5)
    assert len(joiner.members.by_node) > 4_000
    assert not joiner.control.membership.gossip.pending
