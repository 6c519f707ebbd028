"""A process that was paused must not act on what it knew before.

A frozen or suspended process wakes with beliefs that are seconds old: which
upstreams exist, which configuration is in force, which callers still wait.
"""

from __future__ import annotations

import time

import pytest
from network import ROUTE, Network, routes, system
from twisted.internet.task import Clock

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.direct.constants import MAX_CONFIG_AGE_S, QUEUE_S
from bramleydyke.direct.types import NodeIp

BALANCER = NodeIp("10.0.1.0")
PAUSE_S = 6.0


def pause(network: Network, node: NodeIp):
    """Takes a balancer out of the network, as if its process were frozen."""
    return network.balancers.pop(node)


def resume(network: Network, balancer) -> None:
    network.balancers.clear()
    network.balancers[balancer.node] = balancer


@pytest.mark.parametrize("seed", range(5))
def test_a_paused_balancer_resets_no_flow_of_an_upstream_that_it_missed(seed):
    """An upstream joins and takes flows while the balancer is paused.

    No agent that the balancer knows holds these flows, and its watch of the
    store has reported nothing yet.
    """
    network = system(seed, balancers=2, upstreams=3)
    paused = pause(network, BALANCER)
    for number in range(3):
        network.upstreams[NodeIp(f"10.0.2.{number}")].draining = True
    network.run(1.0)
    network.add_upstream("10.0.2.9")
    network.run(1.0)
    callers = [network.open_flow() for _ in range(10)]
    network.run(PAUSE_S)
    assert all(caller.first_sequence is not None for caller in callers)
    resume(network, paused)
    for caller in callers:
        caller.send_request()
    network.run(0.3)
    assert not network.resets


def test_a_paused_balancer_does_not_trust_an_answer_from_before_the_pause():
    network = system(1, balancers=1)
    balancer = network.balancers[BALANCER]
    balancer.routes.confirm(now=network.now)
    network.run(1.0)
    paused = pause(network, BALANCER)
    network.run(PAUSE_S)
    resume(network, paused)
    caller = network.open_flow(route=b"otherr")
    network.run(0.1)
    assert not caller.ended


def test_the_end_of_a_pause_is_reported_once():
    network = system(1, balancers=1)
    balancer = network.balancers[BALANCER]
    resumed = []
    balancer.on_resumed = lambda: resumed.append(network.now)
    network.run(3.0)
    assert not resumed
    pause(network, BALANCER)
    network.run(PAUSE_S)
    resume(network, balancer)
    network.run(3.0)
    assert len(resumed) == 1


def test_a_confirmed_configuration_ages_from_the_call_not_from_its_answer():
    network = system(1, balancers=1)
    found = network.balancers[BALANCER].routes
    found.confirm(now=network.now)
    found.confirm(now=network.now - 5.0)
    assert found.is_fresh(within=MAX_CONFIG_AGE_S, now=network.now)
    found.apply(routes(2))
    assert found.find(ROUTE) is not None


def test_a_paused_agent_opens_no_flow_that_waited_through_the_pause():
    """The callers of these flows have given up or opened them elsewhere."""
    network = system(1, balancers=1, upstreams=1)
    upstream = network.upstreams[NodeIp("10.0.2.0")]
    upstream.work_s = 0.5
    callers = [network.open_flow() for _ in range(12)]
    network.run(0.2)
    agent = network.agents[upstream.node]
    waiting = list(agent.admission.queue.waiting)
    assert waiting
    # Shorter than the three report intervals after which it takes no flows.
    later = network.now + QUEUE_S + 1.0
    before = len(upstream.opened_at)
    agent.flows.requests.clear()
    network.links_down.add(BALANCER)
    agent.wake(now=later)
    network.run(0.01)
    assert len(upstream.opened_at) == before
    assert not agent.admission.queue
    assert callers


def test_the_clock_counts_the_time_of_a_suspended_machine(monkeypatch):
    """The steady clock of a suspended machine stands still."""
    monkeypatch.setattr(time, "monotonic", lambda: 5.0)
    monkeypatch.setattr(time, "clock_gettime", {time.CLOCK_BOOTTIME: 105.0}.__getitem__)
    assert MonotonicClock(Clock()).seconds() == 105.0
