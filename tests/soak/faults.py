"""Faults that the soak test injects from outside the processes.

Each fault picks its target at random. A process that was killed or stopped is
restarted by the world, as the platform would.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Callable

from proxy import Mode
from world import Node, World

DRAIN_S = 3.0
"""Time after an acknowledged drain in which flows may still start."""

CALM_S = 4.0
"""Time after a fault before time bounds are checked again, in seconds."""

Fault = Callable[[World, float], None]
"""Injects a fault; the second argument is its duration in seconds."""


def any_balancer(world: World) -> Node:
    return world.random_source.choice(list(world.balancers.values()))


def any_agent(world: World) -> Node:
    return world.random_source.choice(list(world.agents.values()))


def any_node(world: World) -> Node:
    return world.random_source.choice(world.nodes())


def kill_balancer(world: World, seconds: float) -> None:
    world.kill(any_balancer(world))


def kill_agent(world: World, seconds: float) -> None:
    world.kill(any_agent(world))


def kill_all(world: World, seconds: float) -> None:
    """Kills all balancers and agents at once."""
    for node in world.nodes():
        world.kill(node)


def stop_balancer(world: World, seconds: float) -> None:
    world.terminate(any_balancer(world))


def stop_agent(world: World, seconds: float) -> None:
    world.terminate(any_agent(world))


def pause_node(world: World, seconds: float) -> None:
    world.pause(any_node(world), seconds)


def store_down(world: World, seconds: float) -> None:
    """Makes the store leave all requests unanswered, without effect."""
    world.store.down = True
    disturb_store(world, seconds, lambda: setattr(world.store, "down", False))


def store_loses_answers(world: World, seconds: float) -> None:
    """Leaves half of all writes to the store unanswered; they take effect."""
    world.store.lost = 0.5
    disturb_store(world, seconds, lambda: setattr(world.store, "lost", 0.0))


def store_forgets(world: World, seconds: float) -> None:
    """Compacts the store's history, which ends all watches."""
    world.store.compact()
    disturb_store(world, 0.0, lambda: None)


def disturb_store(world: World, seconds: float, end: Callable[[], None]) -> None:
    """Records a store fault and calls ``end`` after some seconds."""

    def over() -> None:
        end()
        world.store_disturbed_at = world.now()

    world.store_disturbed_at = world.now() + seconds
    world.later(seconds, over)


def proxy_fault(mode: Mode) -> Fault:
    """Returns a fault of the connection between a node and the store."""

    def inject(world: World, seconds: float) -> None:
        node = any_node(world)
        node.disturbed_at = world.now() + seconds
        node.proxy.set(mode, delay_s=world.random_source.uniform(0.1, 0.8))
        world.later(seconds, lambda: node.proxy.set(Mode.PASS))

    inject.__name__ = f"store_link_{mode.value}"
    return inject


def upstream_crashes(world: World, seconds: float) -> None:
    upstream = world.upstreams[any_agent(world).ip]
    if upstream.alive:
        upstream.stop()
        world.later(seconds, lambda: world.replace_upstream(upstream))


def upstream_replaced(world: World, seconds: float) -> None:
    """Drains an upstream, ends it, and starts another at its address.

    It ends only after the time in which it may still get new flows.
    """
    upstream = world.upstreams[any_agent(world).ip]
    if not upstream.alive or upstream.draining:
        return
    upstream.draining = True

    def leave() -> None:
        if upstream.alive:
            upstream.leave()
            world.later(0.5, lambda: world.replace_upstream(upstream))

    world.later(DRAIN_S + 1.5, leave)


def route_added(world: World, seconds: float) -> None:
    """Adds a route from a new port to one of the services."""
    port = 9_000 + world.version
    world.routes[port] = world.random_source.choice(sorted(set(world.routes.values())))
    world.configure()
    world.added[port] = world.now()


def route_dropped(world: World, seconds: float) -> None:
    """Removes a route that was added before, if there is one."""
    if world.added:
        port = world.random_source.choice(sorted(world.added))
        del world.added[port], world.routes[port]
        world.configure()
        world.dropped[port] = world.now()


def settings_changed(world: World, seconds: float) -> None:
    """Changes a setting that can be reloaded, and sends SIGHUP."""
    node = any_node(world)
    document = json.loads(node.settings.read_text())
    document["log_lines_per_s"] = world.random_source.randint(5, 50)
    node.settings.write_text(json.dumps(document))
    node.signal(signal.SIGHUP)


FAULTS: list[Fault] = [
    kill_balancer,
    kill_agent,
    kill_all,
    stop_balancer,
    stop_agent,
    pause_node,
    store_down,
    store_loses_answers,
    store_forgets,
    proxy_fault(Mode.DELAY),
    proxy_fault(Mode.SILENT),
    proxy_fault(Mode.ONE_WAY),
    proxy_fault(Mode.REFUSE),
    upstream_crashes,
    upstream_replaced,
    route_added,
    route_dropped,
    settings_changed,
]
