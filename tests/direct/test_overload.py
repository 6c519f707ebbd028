"""Latency of requests near and above the capacity of the upstreams."""

from __future__ import annotations

import pytest
from network import Caller, Network, system

WORK_S = 0.03
TARGET_S = 0.15
"""Maximum latency that callers accept for a request of ``WORK_S``."""

UPSTREAMS = 6
CAPACITY = UPSTREAMS / WORK_S
"""Requests per second that all upstreams together can process."""


def working_system(seed: int) -> Network:
    network = system(seed, balancers=3, upstreams=UPSTREAMS)
    for upstream in network.upstreams.values():
        upstream.work_s = WORK_S
    return network


def open_steadily(network: Network, per_s: float, seconds: float) -> list[Caller]:
    """Opens flows at random times; returns their callers after ``seconds``."""
    callers: list[Caller] = []
    for _ in range(round(per_s * seconds)):
        at = network.random.uniform(0.0, seconds)
        network.later(at, lambda: callers.append(network.open_flow()))
    network.run(seconds)
    return callers


def fraction_in_time(callers: list[Caller]) -> float:
    """Returns the fraction of callers whose request was answered in time."""
    good = [
        caller
        for caller in callers
        if caller.answered_at is not None
        and caller.answered_at - caller.opened_at <= TARGET_S
    ]
    return len(good) / len(callers)


@pytest.mark.parametrize("seed", range(5))
def test_most_requests_are_in_time_below_capacity(seed):
    network = working_system(seed)
    callers = open_steadily(network, 0.8 * CAPACITY, 5.0)
    network.run(2.0)
    assert fraction_in_time(callers) >= 0.95


@pytest.mark.parametrize("seed", range(5))
def test_new_requests_are_in_time_while_a_backlog_is_worked_off(seed):
    network = working_system(seed)
    agents = dict(network.agents)
    network.agents.clear()
    open_steadily(network, 0.7 * CAPACITY, 1.3)
    network.agents.update(agents)
    network.run(0.3)
    callers = open_steadily(network, 0.7 * CAPACITY, 2.0)
    network.run(2.0)
    assert fraction_in_time(callers) >= 0.85


@pytest.mark.parametrize("seed", range(5))
def test_half_again_the_capacity_still_serves_most_of_it_in_time(seed):
    network = working_system(seed)
    open_steadily(network, 1.5 * CAPACITY, 1.0)
    callers = open_steadily(network, 1.5 * CAPACITY, 4.0)
    network.run(2.0)
    assert fraction_in_time(callers) * 1.5 >= 0.8
