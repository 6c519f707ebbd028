"""Number of messages sent by lookups when many flows are lost at once."""

from __future__ import annotations

from collections import Counter

import pytest
from codec import flow_tuple, pack
from network import ROUTE, Network, system

from bramleydyke.direct.constants import LOOKUP_BATCH_S, MAX_FLOWS_PER_QUERY
from bramleydyke.direct.messages import (
    HolderQuery,
    NotHeld,
    Placed,
    ProbeNeeded,
    encode,
)
from bramleydyke.direct.types import NodeIp

MAX_DATAGRAM_BYTES = 1_400
FLOWS = 200


def count_messages(network: Network) -> Counter[str]:
    """Counts messages between nodes by type and checks their size."""
    sent: Counter[str] = Counter()
    send_from = network.send_from

    def counting(sender: NodeIp):
        send = send_from(sender)

        def count_and_send(node: NodeIp, message: object) -> None:
            sent[type(message).__name__] += 1
            assert len(encode(message)) <= MAX_DATAGRAM_BYTES
            send(node, message)

        return count_and_send

    for node, role in [*network.balancers.items(), *network.agents.items()]:
        role.send = counting(node)
    for balancer in network.balancers.values():
        balancer.lookups.send = balancer.send
    return sent


def dead_packets(network: Network) -> list[bytes]:
    """Returns packets of flows that no upstream holds."""
    return [
        pack(flow=flow_tuple(5_000 + number, route=ROUTE), acknowledged=7, payload=b"x")
        for number in range(FLOWS)
    ]


def test_many_lost_flows_share_messages():
    """Guards against lookups that send one message per flow and agent.

    With 2,200 lost flows and 54 agents, these messages saturated links of
    5 Mbit/s.
    """
    network = system(1, balancers=1, upstreams=20)
    sent = count_messages(network)
    balancer = network.balancers[NodeIp("10.0.1.0")]
    for datagram in dead_packets(network):
        balancer.packet_in(datagram, now=network.now)
    network.run(0.3)
    assert network.counts["reset.flow_silent"] == FLOWS
    each = 20 * FLOWS
    assert sent["HolderQuery"] + sent["NotHeld"] < each / 2


def test_a_lost_flow_is_reset_within_a_few_round_trips():
    network = system(2, balancers=1, upstreams=20)
    balancer = network.balancers[NodeIp("10.0.1.0")]
    balancer.packet_in(dead_packets(network)[0], now=network.now)
    network.run(3 * 2 * 0.006 + LOOKUP_BATCH_S)
    assert network.counts["reset.flow_silent"] == 1


@pytest.mark.parametrize("held", [True, False])
def test_an_agent_answers_each_flow_of_a_question(held):
    network = system(3, balancers=1, upstreams=1)
    caller = network.open_flow()
    network.run(0.5)
    agent = network.agents[NodeIp("10.0.2.0")]
    if not held:
        agent = network.start_agent(agent.node)
    sent = []
    agent.send = lambda node, message: sent.append(message)
    unknown = [flow_tuple(700 + number) for number in range(MAX_FLOWS_PER_QUERY - 1)]
    acknowledged = caller.first_sequence + 1
    flows = [(caller.flow, acknowledged), *((flow, 5) for flow in unknown)]
    query = HolderQuery(agent.service, flows)
    agent.message_in(NodeIp("10.0.1.0"), query, now=network.now)
    if held:
        assert [type(message) for message in sent] == [Placed, NotHeld]
        assert sent[1].flows == unknown
    else:
        assert sent == [ProbeNeeded([caller.flow, *unknown])]
