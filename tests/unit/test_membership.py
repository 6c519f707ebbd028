"""Membership: suspicion, refutation, isolation, credentials, retention."""

from __future__ import annotations

import msgspec
import pytest
from control_fixture import PARTNER, SECRETS, SERVICE, ZONES, Deployment

from bramleydyke.constants import MEMBER_RETENTION_S
from bramleydyke.core.credentials import prove
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
def test_dead_agent_is_suspected_and_forgotten(seed: int) -> None:
    """Guards against dead agents that stay in use or in memory for ever."""
    net = Deployment(seed=seed)
    net.run(5)
    net.net.remove(U0)
    net.run(6)
    assert net.states(U0) == {MemberState.SUSPECT}
    net.run(MEMBER_RETENTION_S + 60)
    assert net.states(U0) == {None}
    assert all(U0 not in agent.members.by_node for agent in net.agents)


def test_dead_balancer_is_suspected_and_replaced_as_home() -> None:
    """Guards against agents that stay with a dead home balancer."""
    net = Deployment(seed=3)
    net.run(5)
    home = net.net.nodes[U0].link.home.homes(now=net.net.now)[0]
    net.net.remove(home)
    net.run(8)
    assert net.states(home) == {MemberState.SUSPECT}
    assert home not in net.net.nodes[U0].link.home.homes(now=net.net.now)
    assert net.states(U0) == {RUNNING}
    sent = net.net.kinds["MemberDelta"]
    net.run(8)
    assert net.net.kinds["MemberDelta"] == sent


def test_silence_towards_one_home_is_not_spread() -> None:
    """Guards against one bad link that takes an upstream out everywhere."""
    net = Deployment(seed=4, agents=6)
    net.run(5)
    home = net.net.nodes[U0].link.home.homes(now=net.net.now)[0]
    net.net.cut = lambda a, b: {a, b} == {home, U0}
    for _ in range(20):
        net.run(0.5)
        assert net.states(U0) == {RUNNING}


@pytest.mark.parametrize("seed", [5, 6])
def test_paused_agent_refutes_its_suspicion(seed: int) -> None:
    """Guards against a live agent that stays suspected after a pause."""
    net = Deployment(seed=seed)
    net.run(5)
    net.net.paused.add(U0)
    net.run(8)
    assert net.states(U0) == {MemberState.SUSPECT}
    net.net.resume(U0)
    net.run(3)
    assert net.states(U0) == {RUNNING}


def test_paused_balancer_suspects_nobody() -> None:
    """Guards against a home that blames its own pause on its agents."""
    net = Deployment(seed=7, agents=9)
    net.run(5)
    home = net.net.nodes[U0].link.home.homes(now=net.net.now)[0]
    net.net.paused.add(home)
    net.run(20)
    net.net.resume(home)
    for _ in range(20):
        net.run(0.25)
        assert all(net.states(agent.node_id) == {RUNNING} for agent in net.agents)
    assert net.states(home) == {RUNNING}


def test_isolated_zone_keeps_its_table_and_the_others_theirs() -> None:
    """Guards against an isolation that empties tables on either side."""
    net = Deployment(seed=8, agents=9)
    net.run(5)
    inside = {
        node.node_id
        for index, node in enumerate([*net.balancers, *net.agents])
        if index % 3 == 0
    }
    net.net.cut = lambda a, b: (a in inside) != (b in inside)
    net.run(30)
    everyone = [*net.balancers, *net.agents]
    assert all(net.states(node.node_id) == {RUNNING} for node in everyone)


def test_zone_without_balancers_uses_those_of_other_zones() -> None:
    """Guards against agents that nobody watches over."""
    net = Deployment(seed=9, balancers=2)
    agent = net.add_agent(2)
    net.run(8)
    assert agent.announcement.zone == ZONES[2]
    assert net.states(agent.node_id) == {RUNNING}
    net.net.remove(agent.node_id)
    net.run(10)
    assert net.states(agent.node_id) == {MemberState.SUSPECT}


def test_clean_stop_is_announced() -> None:
    """Guards against a planned stop that is only noticed as a failure."""
    net = Deployment(seed=10)
    net.run(5)
    net.net.send(net.net.nodes[U0].stop(now=net.net.now))
    net.net.remove(U0)
    net.run(2)
    assert net.states(U0) == {MemberState.STOPPED}


def test_wrong_credential_is_refused_and_counted() -> None:
    """Guards against one partner's process in the other's service."""
    net = Deployment(seed=11)
    agent = net.add_agent(7, secret=b"another partner's secret")
    net.run(5)
    assert net.states(agent.node_id) == {None}
    assert net.net.counts[counter_name(ErrorKind.WRONG_PARTNER)] > 0


def test_restart_and_other_agents_are_known_to_agents() -> None:
    """Guards against agents that cannot query the others of their service."""
    net = Deployment(seed=12, agents=4)
    net.run(4)
    net.add_agent(0, incarnation=2)
    net.run(4)
    for agent in net.agents:
        assert len(agent.members.agents[SERVICE]) == 4
        assert agent.members.incarnation(U0) == 2


def test_drain_reaches_everyone_within_the_notice() -> None:
    """Guards against new work for an upstream that is leaving (H6)."""
    net = Deployment(seed=13)
    net.run(5)
    net.net.loss = 0.05
    message = SetDrain(draining=True)
    order = Envelope(NodeId("local/operator"), U0, message)
    net.net.send(net.net.nodes[U0].receive(order, now=net.net.now))
    net.run(3)
    assert net.states(U0) == {MemberState.DRAINING}


def test_forgetting_at_different_times_does_not_bring_a_member_back() -> None:
    """Guards against digests that resurrect what a peer has forgotten."""
    stopped = announce(balancer_node("x"), state=MemberState.STOPPED, revision=2)
    first, second = Members(), Members()
    running = msgspec.structs.replace(stopped, state=RUNNING, revision=1)
    for members in (first, second):
        members.merge(running, now=0.0)
        members.merge(stopped, now=0.0)
    first.forget_gone(before=1.0)
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
        credential=prove(SECRETS[PARTNER], node_id, Incarnation(1)),
        service_id=SERVICE,
        upstream_id=upstream,
    )


def test_suspicions_of_most_upstreams_are_disregarded() -> None:
    """Guards against a faulty detector that leaves a service without any."""
    members = Members()
    states = [RUNNING, MemberState.SUSPECT, MemberState.SUSPECT]
    for index, state in enumerate(states):
        members.merge(agent_announcement(f"u{index}", state), now=0.0)
    assert len(members.usable(SERVICE)) == 3
    members.merge(agent_announcement("u3", RUNNING), now=0.0)
    assert set(members.usable(SERVICE)) == {"u0", "u3"}


def test_silence_over_a_pause_does_not_count() -> None:
    """Guards against two homes that pause together and agree afterwards."""
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


def test_homes_that_hear_of_nobody_blame_themselves() -> None:
    """Guards against cut-off homes that confirm each other's suspicions."""
    net = Deployment(seed=14, agents=9)
    net.run(5)
    agents = {agent.node_id for agent in net.agents}
    homes = {item for index, item in enumerate(net.seeds) if index % 3 == 0}
    net.net.cut = lambda a, b: a in agents and b in homes
    for _ in range(40):
        net.run(0.25)
        assert all(net.states(agent) == {RUNNING} for agent in agents)


def test_reply_that_calls_a_process_suspect_is_refuted() -> None:
    """Guards against a suspicion that only its spread would reveal."""
    net = Deployment(seed=15)
    net.run(3)
    link = net.net.nodes[U0].link.home
    reply = HeartbeatReply(
        incarnation=Incarnation(1), revision=5, state=MemberState.SUSPECT
    )
    [sent] = link.replied(link.homes(now=3.0)[0], reply, now=3.0)
    assert sent.payload.revision == 6
    assert sent.payload.state is RUNNING


def test_agent_drops_members_that_its_homes_have_forgotten() -> None:
    """Guards against agents that keep a dead peer in use for ever."""
    net = Deployment(seed=16)
    net.run(3)
    gone = agent_announcement("gone", RUNNING)
    net.net.nodes[U0].members.merge(gone, now=net.net.now)
    net.run(40)
    assert gone.node_id not in net.net.nodes[U0].members.by_node


def test_joiner_learns_a_large_fleet_at_once_and_does_not_spread_it() -> None:
    """Guards against a balancer that takes minutes to know the fleet."""
    net = Deployment(seed=17)
    net.run(3)
    fleet = [agent_announcement(f"x{index}", RUNNING) for index in range(4_000)]
    for balancer in net.balancers:
        for item in fleet:
            balancer.members.merge(item, now=net.net.now)
    joiner = net.add_balancer(9)
    net.run(1.5)
    assert len(joiner.members.by_node) > 4_000
    assert not joiner.control.membership.gossip.pending
