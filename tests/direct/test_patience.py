"""Balancers wait for no longer than a route's callers do.

Callers of a route give up after its timeout. Before that, what may still be
running is not given up; after it, nothing is kept waiting.
"""

from __future__ import annotations

import pytest
from codec import pack
from network import ROUTE, SERVICE, Network, system

from bramleydyke.direct.constants import DEAD_AGENT_S, OPENING_COPY_AGES_S, PARK_S
from bramleydyke.direct.routes import Route, RouteSet, Share
from bramleydyke.direct.types import ConfigVersion, NodeIp

SHORT_S = 0.05
BALANCER = NodeIp("10.0.1.0")


def set_timeout(network: Network, timeout_s: float) -> None:
    route = Route([Share(SERVICE, 1.0)], 0, timeout_s)
    network.config = RouteSet(ConfigVersion(2), {ROUTE: route})
    for balancer in network.balancers.values():
        balancer.routes.apply(network.config)


def network_without_capacity(timeout_s: float) -> Network:
    """Returns a network whose upstream takes no flow but may do so later."""
    network = system(1, balancers=1, upstreams=1)
    set_timeout(network, timeout_s)
    network.agents.clear()
    return network


@pytest.mark.parametrize("timeout_s", [0.4, 0.8, 2.0, 8.0])
def test_an_opening_waits_no_longer_than_its_caller(timeout_s):
    network = network_without_capacity(timeout_s)
    caller = network.open_flow()
    patience = min(timeout_s, PARK_S)
    network.run(patience - SHORT_S)
    assert not caller.ended
    network.run(2 * SHORT_S)
    assert caller.ended == "reset"


@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("timeout_s", [0.4, 0.8, 2.0, 8.0])
def test_a_retransmitted_opening_has_the_age_of_the_original(timeout_s, copies):
    """The original went to a balancer that has failed meanwhile."""
    network = network_without_capacity(timeout_s)
    caller = network.open_flow()
    network.events.clear()
    network.route(pack(flow=caller.flow, opening=True, copies=copies))
    left = max(0.0, min(timeout_s, PARK_S) - OPENING_COPY_AGES_S[copies])
    network.run(max(0.0, left - SHORT_S))
    assert not caller.ended
    network.run(2 * SHORT_S)
    assert caller.ended == "reset"


def test_a_route_without_a_timeout_has_the_patience_of_the_packet_rules():
    network = network_without_capacity(0.0)
    caller = network.open_flow()
    network.run(PARK_S - SHORT_S)
    assert not caller.ended
    network.run(2 * SHORT_S)
    assert caller.ended == "reset"


def network_with_a_silent_agent(timeout_s: float):
    """Returns a network, one of whose agents was cut off when flows were open.

    Also returns the callers of its flows. Their packets go to a balancer that
    has not seen the flows.
    """
    network = system(2, balancers=1, upstreams=6)
    set_timeout(network, timeout_s)
    callers = [network.open_flow() for _ in range(40)]
    network.run(1.0)
    silent = NodeIp("10.0.2.0")
    affected = [c for c in callers if c.flow in network.upstreams[silent].open]
    assert len(affected) >= 3
    network.links_down.add(silent)
    network.balancers.clear()
    network.add_balancer("10.0.1.9")
    return network, silent, affected


def keep_asking(network: Network, callers, seconds: float) -> None:
    for _ in range(round(seconds / 0.5)):
        for caller in callers:
            if not caller.ended:
                caller.send_request()
        network.run(0.5)


def test_flows_of_a_silent_agent_outlast_a_silence_within_the_timeout():
    """The machine is only slow or cut off: what it runs is not given up."""
    network, silent, callers = network_with_a_silent_agent(timeout_s=12.0)
    keep_asking(network, callers, DEAD_AGENT_S + 3.0)
    assert not network.resets
    network.links_down.discard(silent)
    network.run(2.5)
    payloads = [(caller, caller.send_request()) for caller in callers]
    network.run(3.0)
    assert all(payload in caller.answers for caller, payload in payloads)


def test_flows_of_a_silent_agent_are_reset_once_nothing_can_still_run():
    network, _, callers = network_with_a_silent_agent(timeout_s=2.0)
    keep_asking(network, callers, DEAD_AGENT_S + 2.0)
    assert {caller.ended for caller in callers} == {"reset"}


def test_a_balancer_that_hears_no_agent_resets_no_flow():
    """The balancer itself is cut off, not all agents at the same time."""
    network = system(3, balancers=1, upstreams=6)
    callers = [network.open_flow() for _ in range(10)]
    network.run(1.0)
    network.balancers.clear()
    network.add_balancer("10.0.1.9")
    network.links_down.update(network.agents)
    keep_asking(network, callers, DEAD_AGENT_S + 4.0)
    assert not network.resets
