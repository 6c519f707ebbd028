"""Random scenarios: requests and faults at random times, from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from fakes import BOARD, SERVICES, Behaviour, Link
from harness import MAX_PROPAGATION_S, START_S, World

from bramleydyke.types import ServiceId, balancer_node

ACTIVE_S = 12.0
"""Maximum length of the period in which requests are sent, in seconds."""

LATE = "late"
"""Upstream that is declared from the start, but starts late or never."""

HEAL_S = 20.0
"""Time after ``ACTIVE_S`` at which links and processes are repaired."""

MIN_REPEAT_S = 1.0
"""Minimum time between two attempts of one request, in seconds."""


def run_history(seed: int) -> World:
    """Runs one random scenario until the outcome of every attempt is due."""
    rng = random.Random(seed)
    world = World(
        rng.random(),
        balancers=rng.randint(2, 4),
        upstreams=rng.randint(1, 4),
        slots=rng.randint(1, 2),
        absent=rng.choice([[], [LATE]]),
    )
    world.max_propagation_s = rng.choice([0.0, 0.5, 2.0, MAX_PROPAGATION_S])
    world.link = _link(rng)
    for agent in world.agents():
        world.behaviour[agent] = Behaviour(mean_time_s=rng.choice([0.02, 0.1, 0.4]))
    active_s = rng.choice([ACTIVE_S, 3.0, 0.5])
    services = rng.choice([[*SERVICES], [BOARD]])
    last = START_S + ACTIVE_S + HEAL_S
    for index in range(rng.randint(4, 14)):
        when = START_S + rng.uniform(0.0, active_s)
        when = _schedule_request(world, rng, rng.choice(services), f"k{index}", when)
        last = max(last, when)
    for _ in range(rng.choice([0, 1, 2, 3, 6])):
        fault = rng.choice(FAULTS)
        when = START_S + rng.uniform(-1.0, active_s + 2.0)
        world.at(when, lambda fault=fault: fault(world, rng))
    world.run(START_S + ACTIVE_S + HEAL_S)
    world.link = Link()
    world.isolated.clear()
    for node_id in [*world.paused_queues]:
        world.resume(node_id)
    world.run(last + 10.0)
    return world


def _link(rng: random.Random) -> Link:
    if rng.random() < 0.2:
        return Link()
    return Link(
        loss=rng.choice([0.0, 0.02, 0.2]),
        duplicate=rng.choice([0.0, 0.05, 0.3]),
        delayed=rng.choice([0.0, 0.05, 0.3, 0.6]),
        max_long_delay_s=rng.choice([0.1, 0.5, 1.0, 2.0, 5.0, 50.0]),
        max_delay_s=rng.choice([0.001, 0.005, 0.05]),
    )


def _schedule_request(
    world: World, rng: random.Random, service: ServiceId, key: str, when: float
) -> float:
    """Schedules the attempts of a request; returns a time after the last."""
    keyed = rng.random() < 0.75
    idempotent = not keyed and rng.random() < 0.6
    timeout = rng.choice([0.3, 1.0, 3.0, 3.0, 8.0])
    marks_first_attempt = rng.random() < 0.7
    for index in range(rng.choice([1, 2, 2, 3, 4]) if keyed else 1):

        def call(first: bool = marks_first_attempt and index == 0) -> None:
            attempt = world.call(
                service,
                key,
                balancer=rng.choice(world.balancers()),
                idempotent=idempotent,
                keyed=keyed,
                first=first,
                timeout=timeout,
            )
            if rng.random() < 0.1:
                world.after(rng.uniform(0.0, 1.0), lambda: world.abandon(attempt))

        world.at(when, call)
        when += MIN_REPEAT_S + rng.choice([0.0, 0.01, rng.expovariate(1.0), 30.0])
    return when


# Faults.


def _crash_agent(world: World, rng: random.Random) -> None:
    agents = world.agents()
    if agents:
        world.kill(rng.choice(agents))


def _restart_agent(world: World, rng: random.Random) -> None:
    agents = world.agents()
    if not agents:
        return
    node_id = rng.choice(agents)
    world.kill(node_id)
    service, _, upstream = node_id.removeprefix("agent/").rpartition("/")
    delay = rng.choice([0.0, 0.1, 2.0, 8.0])
    world.after(delay, lambda: world.start_agent(service, upstream))


def _pause(world: World, rng: random.Random) -> None:
    node_id = rng.choice([*world.nodes])
    world.pause(node_id)
    world.after(rng.choice([0.2, 1.5, 4.0, 15.0]), lambda: world.resume(node_id))


def _isolate(world: World, rng: random.Random) -> None:
    node_id = rng.choice([*world.nodes])
    world.isolated.add(node_id)
    world.after(rng.choice([0.3, 2.0, 6.0]), lambda: world.isolated.discard(node_id))


def _kill_balancer(world: World, rng: random.Random) -> None:
    names = world.balancers()
    if len(names) > 1:
        world.kill(balancer_node(rng.choice(names)))


def _join_balancer(world: World, rng: random.Random) -> None:
    world.join_balancer(f"joined{rng.random()}")


def _restart_balancer(world: World, rng: random.Random) -> None:
    name = rng.choice(world.balancers())
    world.kill(balancer_node(name))
    world.join_balancer(name)


def _change_behaviour(world: World, rng: random.Random) -> None:
    agents = world.agents()
    if agents:
        world.behaviour[rng.choice(agents)] = rng.choice(
            [
                Behaviour(shed=0.5),
                Behaviour(fail=0.5),
                Behaviour(no_reply=0.5),
                Behaviour(mean_time_s=1.0),
                Behaviour(mean_time_s=5.0),
            ]
        )


def _drain(world: World, rng: random.Random) -> None:
    agents = world.agents()
    if agents:
        world.drain(rng.choice(agents))


def _configure(world: World, rng: random.Random) -> None:
    """Adds or removes an upstream; each node learns of it with a delay."""
    service = rng.choice([*SERVICES])
    names = world.upstreams(service)
    world.max_propagation_s = world.max_propagation_s or MAX_PROPAGATION_S
    if len(names) > 1 and rng.random() < 0.5:
        names.remove(rng.choice(names))
        world.configure(service, names)
        return
    name = f"new{rng.randrange(1000)}"
    world.configure(service, [*names, name])
    world.after(rng.uniform(0.0, 3.0), lambda: world.start_agent(service, name))


def _start_late(world: World, rng: random.Random) -> None:
    """Starts the agents of ``LATE``, declared since the start of the run."""
    for service in SERVICES:
        if LATE in world.upstreams(service):
            world.start_agent(service, LATE)


def _shed_all(world: World, rng: random.Random) -> None:
    for node_id in world.agents(rng.choice([*SERVICES])):
        world.behaviour[node_id] = Behaviour(shed=1.0)


FAULTS: list[Callable[[World, random.Random], None]] = [
    _crash_agent,
    _restart_agent,
    _restart_agent,
    _pause,
    _pause,
    _isolate,
    _kill_balancer,
    _join_balancer,
    _restart_balancer,
    _change_behaviour,
    _change_behaviour,
    _drain,
    _configure,
    _start_late,
    _shed_all,
]
