"""Datagram flows while configuration, agents and balancers change."""

from __future__ import annotations

import msgspec
import pytest
from flow_network import ADDRESS, PARTNER, SERVICE, FlowNetwork
from hypothesis import given, settings, strategies as st

from bramleydyke.constants import (
    AGENT_FLOWS,
    FLOW_WIDE_LOOKUP_S,
    MAX_HOPS,
    MAX_PREVIOUS_OWNER_SETS,
)
from bramleydyke.core.agent import Agent
from bramleydyke.core.flow_hints import flow_id_of
from bramleydyke.messages import (
    Envelope,
    FlowHint,
    PacketAnswered,
    PacketForward,
    PacketIn,
    PacketReturn,
    SetDrain,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_PLATFORM,
    CallerAddress,
    Generation,
    ServiceId,
    UpstreamId,
    agent_node,
)

CALLERS = [f"10.0.0.{index}:5000" for index in range(12)]

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("weight"), st.integers(0, 4), st.sampled_from([0.5, 2, 4])),
        st.tuples(st.just("remove"), st.integers(0, 4), st.none()),
        st.tuples(st.just("drain"), st.integers(0, 4), st.none()),
        st.tuples(st.just("uneven"), st.integers(0, 4), st.integers(0, 2**8 - 1)),
        st.tuples(st.just("kill"), st.integers(0, 2), st.none()),
        st.tuples(st.just("join"), st.integers(0, 2), st.none()),
    ),
    min_size=1,
    max_size=6,
)


def _apply(network: FlowNetwork, weights: dict[UpstreamId, float], step: tuple) -> None:
    action, index, value = step
    name = UpstreamId(f"u{index}")
    if action == "weight":
        weights[name] = float(value)
        network.configure(weights)
    elif action == "remove" and len(weights) > 1:
        weights.pop(name, None)
        network.configure(weights)
    elif action == "drain" and index < 4:
        network.drain(name)
    elif action == "uneven":
        weights[name] = weights.get(name, 1.0) * 2.0
        chosen = {node for at, node in enumerate(network.nodes) if value >> at & 1}
        network.configure(weights, only=chosen)
    elif action == "kill" and len(network.dead) < 2:
        network.dead.add(network.balancers[index])
    elif action == "join":
        network.dead.discard(network.balancers[index])


def _forward(network: FlowNetwork, caller: str, **fields) -> PacketForward:
    packet = PacketForward(
        flow_id=flow_id_of(ADDRESS, CallerAddress(caller)),
        address=ADDRESS,
        caller=CallerAddress(caller),
        partner_id=PARTNER,
        service_id=SERVICE,
        generation=Generation(1),
        balancer=network.balancers[0],
        data=b"x",
    )
    return msgspec.structs.replace(packet, **fields)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(steps=STEPS, spray=st.randoms(use_true_random=False))
def test_planned_changes_break_no_flow(steps: list[tuple], spray) -> None:
    """A flow must stay at its agent when balancers or weights change."""
    network = FlowNetwork(upstreams=5, balancers=3)
    weights = {UpstreamId(f"u{index}"): 1.0 for index in range(5)}
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    for number, step in enumerate(steps):
        _apply(network, weights, step)
        network.sleep(0.5)
        live = [at for at, b in enumerate(network.balancers) if b not in network.dead]
        late = f"10.1.0.{number}:5000"
        owner = network.packet(late, via=spray.choice(live))
        owner_of |= {} if owner is None else {late: owner}
        for caller, owner in owner_of.items():
            assert network.packet(caller, via=spray.choice(live)) == owner, step
    assert not [name for name in network.counts if name.startswith("broken.")]


def test_another_balancer_finds_flow_at_its_previous_owner() -> None:
    """A lookup must not end at the first owner of the new configuration."""
    network = FlowNetwork(upstreams=3, balancers=2)
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    network.configure({UpstreamId(f"u{index}"): 1.0 for index in range(1, 4)})
    network.start_agent(UpstreamId("u3"))
    network.sleep(FLOW_WIDE_LOOKUP_S + 1)
    assert {network.packet(caller, via=1) for caller in CALLERS} == set(
        owner_of.values()
    )
    assert {caller: network.packet(caller, via=1) for caller in CALLERS} == owner_of


def test_flow_is_found_after_more_changes_than_a_service_keeps() -> None:
    """A flow must stay reachable after its first owner was forgotten."""
    network = FlowNetwork(upstreams=4, balancers=2)
    names = [UpstreamId(f"u{index}") for index in range(4)]
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    for change in range(2 * MAX_PREVIOUS_OWNER_SETS):
        heavy = names[change % 3 + 1]
        network.configure({n: 9.0 + change if n == heavy else 1.0 for n in names})
        network.sleep(1.0)
    assert {caller: network.packet(caller, via=1) for caller in CALLERS} == owner_of


def test_balancer_without_an_announcement_finds_flows() -> None:
    """A balancer that lacks an agent's announcement must find its flows.

    It must not count them as broken or have them admitted elsewhere.
    """
    network = FlowNetwork(upstreams=3, balancers=2)
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    unknown = agent_node(SERVICE, UpstreamId("u0"))
    members = network.nodes[network.balancers[1]].members
    del members.by_node[unknown], members.agents[SERVICE][UpstreamId("u0")]
    for _ in range(3):
        assert {caller: network.packet(caller, via=1) for caller in CALLERS} == owner_of
    assert not [name for name in network.counts if name.startswith("broken.")]


def test_removed_upstream_with_old_configuration_gets_no_new_flow() -> None:
    """An agent with an older configuration must not override a newer one."""
    network = FlowNetwork(upstreams=3)
    leaving = agent_node(SERVICE, UpstreamId("u0"))
    kept = {UpstreamId("u1"): 1.0, UpstreamId("u2"): 1.0}
    network.configure(kept, only=set(network.nodes) - {leaving})
    assert {network.packet(caller) for caller in CALLERS} == set(kept)


def test_flow_lost_in_a_restart_is_admitted_again_and_counted() -> None:
    """A hint must not keep a flow at an agent that lost it in a restart."""
    network = FlowNetwork(upstreams=1)
    network.packet(CALLERS[0])
    network.packet(CALLERS[0])
    network.start_agent(UpstreamId("u0"), incarnation=2)
    assert network.packet(CALLERS[0]) == "u0"
    assert network.counts["broken.forgotten"] == 1


def test_flow_admitted_elsewhere_is_found_after_the_owner_restarts() -> None:
    """A restarted agent must not become the second owner of a flow."""
    network = FlowNetwork(upstreams=2, balancers=2)
    network.drain(UpstreamId("u0"))
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    assert set(owner_of.values()) == {"u1"}
    network.start_agent(UpstreamId("u0"), incarnation=2)
    network.sleep(FLOW_WIDE_LOOKUP_S + 1)
    assert {caller: network.packet(caller, via=1) for caller in CALLERS} == owner_of


def test_flow_admitted_elsewhere_is_found_when_hints_to_the_owner_are_lost() -> None:
    """A restarted agent without pointers must still find the flow's owner."""
    network = FlowNetwork(upstreams=2, balancers=2)
    network.drain(UpstreamId("u0"))
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    network.lost_types = {FlowHint}
    network.start_agent(UpstreamId("u0"), incarnation=2)
    assert {caller: network.packet(caller, via=1) for caller in CALLERS} == owner_of


def test_flow_admitted_elsewhere_is_found_when_the_drain_ends() -> None:
    """An agent whose drain ends must not become a flow's second owner."""
    network = FlowNetwork(upstreams=2, balancers=2)
    network.drain(UpstreamId("u0"))
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    network.drain(UpstreamId("u0"), draining=False)
    agent = _agent(network, "u0")
    for balancer in network.balancers:
        network.send(Envelope(agent.node_id, balancer, agent.announcement))
    assert {caller: network.packet(caller, via=1) for caller in CALLERS} == owner_of


def test_flow_is_found_when_one_balancer_wrongly_skipped_its_first_owner() -> None:
    """A false suspicion at one balancer must not give a flow two owners."""
    network = FlowNetwork(upstreams=2, balancers=2)
    first = network.nodes[network.balancers[0]]
    node_id = agent_node(SERVICE, UpstreamId("u0"))
    first.health.eject_silent(node_id, now=network.now)
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    assert set(owner_of.values()) == {"u1"}
    assert {caller: network.packet(caller, via=1) for caller in CALLERS} == owner_of


@settings(max_examples=200, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), drained=st.booleans(), known=st.integers(0, 127))
def test_crossing_first_packets_end_at_one_agent(
    seed: int, drained: bool, known: int
) -> None:
    """First packets on concurrent routes must not split a flow.

    Some nodes already have the new configuration and others do not.
    """
    network = FlowNetwork(upstreams=4, balancers=3, seed=seed)
    weights = {UpstreamId(f"u{index}"): 1.0 + 3.0 * (index == 3) for index in range(4)}
    network.configure(
        weights, only={node for at, node in enumerate(network.nodes) if known >> at & 1}
    )
    if drained:
        network.drain(UpstreamId("u3"))
    network.reorder = True
    packets = [
        Envelope(
            LOCAL_CALLER,
            balancer,
            PacketIn(address=ADDRESS, caller=CallerAddress(caller), data=b"x"),
        )
        for caller in CALLERS
        for balancer in network.balancers
    ]
    network.send_all(packets)
    network.configure(weights)
    for caller in CALLERS:
        owners = {network.packet(caller, via=via) for via in range(3)}
        assert len(owners) == 1 and None not in owners


@pytest.mark.parametrize("lead, owner", [(0.5, "u1"), (5.0, "u0")])
def test_flow_admitted_twice_is_kept_by_one_agent(lead: float, owner: str) -> None:
    """After a double admission exactly one agent must keep the flow.

    The agent that admitted it earlier keeps it; at a tie, the agent with the
    higher upstream id does.
    """
    network = FlowNetwork(upstreams=2)
    names = (UpstreamId("u0"), UpstreamId("u1"))
    for name, other, lost in zip(names, names[::-1], ({FlowHint}, set()), strict=True):
        network.lost_types = lost
        packet = _forward(network, CALLERS[0], visited=(other,), refused=(other,))
        receiver = agent_node(SERVICE, name)
        network.send(Envelope(network.balancers[0], receiver, packet))
        network.now += lead
    holders = [name for name in names if not _agent(network, name).flows.idle()]
    assert holders == [owner]
    assert [network.packet(CALLERS[0]) for _ in range(3)] == [owner] * 3


def test_packet_finds_a_flow_admitted_after_its_visit() -> None:
    """A packet must find a flow that an agent admitted after its visit."""
    network = FlowNetwork(upstreams=2)
    u0, u1 = UpstreamId("u0"), UpstreamId("u1")
    first = _forward(network, CALLERS[0], visited=(u0,), refused=(u0,))
    network.send(Envelope(network.balancers[0], agent_node(SERVICE, u1), first))
    second = _forward(network, CALLERS[0], visited=(u1,), refused=(u1,))
    network.send(Envelope(network.balancers[0], agent_node(SERVICE, u0), second))
    assert [name for name, _, _ in network.delivered] == [u1, u1]


def _agent(network: FlowNetwork, name: str) -> Agent:
    return network.nodes[agent_node(SERVICE, UpstreamId(name))]


def test_probes_detect_a_silent_agent_and_its_flows_are_rerouted() -> None:
    """The flows of a failed agent must be admitted by other agents."""
    network = FlowNetwork(upstreams=3)
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    stopped = UpstreamId("u1")
    network.dead.add(agent_node(SERVICE, stopped))
    for _ in range(8):
        for caller in CALLERS:
            network.packet(caller)
        network.sleep(1.0)
    after = {caller: network.packet(caller) for caller in CALLERS}
    assert stopped in owner_of.values()
    assert all(
        after[caller] == owner
        if owner != stopped
        else after[caller] not in (stopped, None)
        for caller, owner in owner_of.items()
    )
    broken = sum(owner == stopped for owner in owner_of.values())
    assert network.counts["broken.agent_silent"] == broken


def test_flow_silent_at_the_upstream_gets_a_new_socket_then_another_agent() -> None:
    """A flow whose upstream socket gets no more answers must recover.

    Other flows of the same upstream are not affected.
    """
    network = FlowNetwork(upstreams=2)
    caller, other = CALLERS[0], CALLERS[1]
    owner = [network.packet(caller) for _ in range(8)][-1]
    network.muted_sockets = {(owner, caller, binding) for binding in (1, 2, 3)}
    seen = []
    for _ in range(30):
        network.packet(other)
        seen.append(network.packet(caller))
        network.sleep(1.0)
    assert {
        delivery[2] for delivery in network.delivered if delivery[:2] == (owner, caller)
    } == {
        1,
        2,
        3,
    }
    assert seen[-1] not in (owner, None)
    assert network.counts["broken.flow_silent"] == 1


def test_rarely_answered_flow_keeps_its_upstream_socket() -> None:
    """A flow that is rarely answered must keep its upstream socket."""
    network = FlowNetwork(upstreams=1)
    caller = CALLERS[0]
    for number in range(60):
        network.muted_sockets = set() if number % 6 == 0 else {("u0", caller, 1)}
        network.packet(caller)
        network.sleep(1.0)
    assert network.delivered[-1] == ("u0", caller, 1)
    assert "retried.flow_silent" not in network.counts


def test_answers_use_another_balancer_after_a_balancer_failure() -> None:
    """Answers must not be lost when the balancer of their flow fails."""
    network = FlowNetwork(upstreams=1, balancers=2)
    agent = _agent(network, "u0")
    network.packet(CALLERS[0])
    network.dead.add(network.balancers[0])
    flow = next(iter(agent.flows.table.flows.values()))
    for _ in range(6):
        network.sleep(1.0)
        pushed = PacketAnswered(flow_id=flow.flow_id, binding=1, data=b"price")
        sent = agent.flows.answered(pushed, now=network.now)
        network.send_all(sent)
    last = [item for item in sent if isinstance(item.payload, PacketReturn)]
    assert last[0].receiver == network.balancers[1]
    assert network.to_callers[CALLERS[0]] > 1


def test_answers_avoid_a_balancer_that_is_about_to_stop() -> None:
    """A planned stop of a balancer must not lose answers."""
    network = FlowNetwork(upstreams=1, balancers=2)
    agent = _agent(network, "u0")
    leaving = network.balancers[0]
    drain = SetDrain(draining=True)
    network.send(Envelope(LOCAL_PLATFORM, leaving, drain))
    network.packet(CALLERS[0])
    assert network.to_callers[CALLERS[0]] == 1
    return_path = agent.flows.return_path
    assert return_path.choose(leaving, now=network.now) == network.balancers[1]


def test_partner_at_its_flow_limit_keeps_flows_of_other_balancers() -> None:
    """A full hint cache must not refuse flows of another balancer."""
    network = FlowNetwork(upstreams=2, balancers=2, max_flows=4)
    owner_of = {caller: network.packet(caller) for caller in CALLERS[:4]}
    for caller in CALLERS[4:8]:
        owner_of[caller] = network.packet(caller, via=1)
    assert network.packet(CALLERS[8]) is None
    assert network.counts["refused.partner_limit"] == 1
    for via in (0, 1):
        assert {
            caller: network.packet(caller, via=via) for caller in owner_of
        } == owner_of


def test_packet_beyond_the_hop_limit_is_refused() -> None:
    """Packets must not loop between agents."""
    network = FlowNetwork(upstreams=2)
    network.drain(UpstreamId("u0"))
    packet = _forward(network, CALLERS[0], hops=MAX_HOPS)
    receiver = agent_node(SERVICE, UpstreamId("u0"))
    network.send(Envelope(network.balancers[0], receiver, packet))
    assert network.delivered == []
    assert network.counts["refused.hop_limit"] == 1


def test_full_agents_refuse_new_flows_and_keep_established_ones() -> None:
    """The flow table must stay bounded without evicting flows."""
    network = FlowNetwork(upstreams=2)
    for name in ("u0", "u1"):
        table = _agent(network, name).flows.table
        assert table.max_flows == AGENT_FLOWS
        table.max_flows = 4
    owner_of = {caller: network.packet(caller) for caller in CALLERS}
    held = {caller: owner for caller, owner in owner_of.items() if owner is not None}
    assert len(held) == 8
    assert network.counts["refused.table_full"] >= 4
    assert {caller: network.packet(caller) for caller in held} == held


def test_packets_of_another_service_are_refused() -> None:
    """Neither packets nor answers may reach another service."""
    network = FlowNetwork(upstreams=1)
    network.packet(CALLERS[0])
    receiver = agent_node(SERVICE, UpstreamId("u0"))
    stray = _forward(network, CALLERS[1], service_id=ServiceId("federation/board"))
    network.send(Envelope(network.balancers[0], receiver, stray))
    other = agent_node(ServiceId("federation/board"), UpstreamId("u0"))
    back = PacketReturn(
        flow_id=stray.flow_id,
        service_id=SERVICE,
        address=ADDRESS,
        caller=CallerAddress(CALLERS[0]),
        data=b"x",
    )
    hint = FlowHint(
        flow_id=stray.flow_id,
        service_id=SERVICE,
        address=ADDRESS,
        caller=stray.caller,
        owner=UpstreamId("u0"),
    )
    network.send(Envelope(other, network.balancers[0], back))
    network.send(Envelope(other, network.balancers[0], hint))
    assert len(network.delivered) == 1
    assert network.to_callers == {CALLERS[0]: 1}
    assert network.counts["refused.wrong_service"] == 3
