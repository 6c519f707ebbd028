"""What a restarted agent knows of its upstream before the next report.

The store may hold an entry that is older than the last state that the earlier
process announced: the store was away when the upstream began to drain.
"""

from __future__ import annotations

import msgspec
import pytest
from network import Network, system

from bramleydyke.direct.entries import UpstreamEntry, entry_of
from bramleydyke.direct.types import NodeIp, UpstreamState

NODE = NodeIp("10.0.2.2")
ROUND_TRIP_S = 0.02


def restart_with_old_entry(network: Network, change) -> UpstreamEntry:
    """Restarts an agent whose last state the store never got.

    Args:
        network: A running network.
        change: Changes the state of the agent's upstream.

    Returns:
        The entry in the store, from before the change.
    """
    agent = network.agents[NODE]
    entry = entry_of(agent.announcer.announcement(now=network.now))
    change(agent)
    network.run(0.1)
    del network.agents[NODE]
    upstream = network.upstreams.pop(NODE)
    network.run(0.3)
    network.upstreams[NODE] = upstream
    restarted = network.start_agent(NODE)
    restarted.restore(entry.report(), now=network.now)
    return entry


def drain(agent, network: Network) -> None:
    upstream = network.upstreams[NODE]
    upstream.draining = True
    agent.report(upstream.report(), now=network.now)


def end(agent, network: Network) -> None:
    upstream = network.upstreams[NODE]
    agent.upstream_ended(upstream.report().upstream, now=network.now)


@pytest.mark.parametrize("change", [drain, end])
@pytest.mark.parametrize("seed", range(5))
def test_an_upstream_that_has_left_gets_no_flow_after_a_restart(seed, change):
    network = system(seed)
    upstream = network.upstreams[NODE]
    entry = restart_with_old_entry(network, lambda agent: change(agent, network))
    network.run(ROUND_TRIP_S)
    restarted_at = network.now
    # This balancer read the entry of the store and nothing else.
    stale = network.add_balancer("10.0.8.0")
    ready = msgspec.structs.replace(entry, sequence=entry.sequence + 100).announcement()
    stale.apply_announcement(ready, now=network.now, source="store")
    network.balancers = {stale.node: stale}
    for _ in range(30):
        network.open_flow()
    network.run(0.5)
    assert not [at for at, _ in upstream.opened_at if at > restarted_at]


def test_a_report_outweighs_what_balancers_remember():
    """Balancers may have removed the entry of an agent that was cut off."""
    network = system(1)
    agent = network.agents[NODE]
    for balancer in network.balancers.values():
        lifetime = balancer.directory.entries[NODE].announcement.lifetime
        balancer.directory.removed(NODE, lifetime, now=network.now)
    network.run(3.0)
    assert agent.view.state(now=network.now) is UpstreamState.READY
    states = {network.states(b)[NODE] for b in network.balancers.values()}
    assert states == {UpstreamState.READY}


def test_a_new_upstream_is_used_although_the_earlier_one_had_left():
    network = system(2)
    restart_with_old_entry(network, lambda agent: drain(agent, network))
    network.run(ROUND_TRIP_S)
    network.upstreams[NODE].alive = False
    network.add_upstream(NODE)
    network.run(0.5)
    states = {network.states(b)[NODE] for b in network.balancers.values()}
    assert states == {UpstreamState.READY}
