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

DRAIN_GRACE_S = 3.0
"""Time after an acknowledged drain in which flows may still start."""

QUIET_S = 4.0
"""Time after a fault before time bounds are checked again, in seconds."""

RESTORE_OUTAGE_S = 0.3
"""Time for which the store is away before it returns as a copy."""

Fault = Callable[[World, float], None]
"""Injects a fault; the second argument is its duration in seconds."""


def random_balancer(world: World) -> Node:
    return world.random_source.choice(list(world.balancers.values()))


def random_agent(world: World) -> Node:
    return world.random_source.choice(list(world.agents.values()))


def random_node(world: World) -> Node:
    return world.random_source.choice(world.nodes())


def kill_balancer(world: World, seconds: float) -> None:
    world.kill(random_balancer(world))


def kill_agent(world: World, seconds: float) -> None:
    world.kill(random_agent(world))


def kill_all(world: World, seconds: float) -> None:
    """Kills all balancers and agents at once."""
    for node in world.nodes():
        world.kill(node)


def stop_balancer(world: World, seconds: float) -> None:
    world.terminate(random_balancer(world))


def stop_agent(world: World, seconds: float) -> None:
    world.terminate(random_agent(world))


def pause_node(world: World, seconds: float) -> None:
    world.pause(random_node(world), seconds)


def store_down(world: World, seconds: float) -> None:
    """Makes the store ignore all requests."""
    world.store.down = True
    record_store_fault(world, seconds, lambda: setattr(world.store, "down", False))


def store_loses_answers(world: World, seconds: float) -> None:
    """Makes the store apply half of all writes without an answer."""
    world.store.lost_reply_share = 0.5
    record_store_fault(
        world, seconds, lambda: setattr(world.store, "lost_reply_share", 0.0)
    )


def store_forgets(world: World, seconds: float) -> None:
    """Compacts the store's history, which ends all watches."""
    world.store.compact()
    record_store_fault(world, 0.0, lambda: None)


def store_restored(world: World, seconds: float) -> None:
    """Restores the store from a copy that is some seconds old."""
    copy = world.store.copy()

    def go_down() -> None:
        world.store.down = True
        world.store.fail_watches()

    def return_as_copy() -> None:
        world.store.down = False
        world.store.restore(copy)

    world.call_later(seconds, go_down)
    record_store_fault(world, seconds + RESTORE_OUTAGE_S, return_as_copy)


def record_store_fault(world: World, seconds: float, end: Callable[[], None]) -> None:
    """Records a store fault and calls ``end`` after some seconds."""

    def end_fault() -> None:
        end()
        world.last_store_fault_at = world.now()

    world.last_store_fault_at = world.now() + seconds
    world.call_later(seconds, end_fault)


def proxy_fault(mode: Mode) -> Fault:
    """Returns a fault of the connections between a node and the store."""

    def inject(world: World, seconds: float) -> None:
        node = random_node(world)
        node.last_fault_at = world.now() + seconds
        node.proxy.set_mode(mode, delay_s=world.random_source.uniform(0.1, 0.8))
        world.call_later(seconds, lambda: node.proxy.set_mode(Mode.PASS))

    inject.__name__ = f"store_link_{mode.value}"
    return inject


def upstream_crashes(world: World, seconds: float) -> None:
    upstream = world.upstreams[random_agent(world).ip]
    if upstream.alive:
        upstream.stop()
        world.call_later(seconds, lambda: world.replace_upstream(upstream))


def upstream_replaced(world: World, seconds: float) -> None:
    """Drains an upstream, stops it, and starts another at its address.

    The upstream is stopped only after the time in which it may still get new
    flows.
    """
    upstream = world.upstreams[random_agent(world).ip]
    if not upstream.alive or upstream.draining:
        return
    upstream.draining = True

    def leave() -> None:
        if upstream.alive:
            upstream.deregister()
            world.call_later(0.5, lambda: world.replace_upstream(upstream))

    world.call_later(DRAIN_GRACE_S + 1.5, leave)


def route_added(world: World, seconds: float) -> None:
    """Adds a route from a new port to one of the services."""
    port = 9_000 + world.version
    world.routes[port] = world.random_source.choice(sorted(set(world.routes.values())))
    world.configure()
    world.added_at[port] = world.now()


def route_dropped(world: World, seconds: float) -> None:
    """Removes a route that was added before, if there is one."""
    if world.added_at:
        port = world.random_source.choice(sorted(world.added_at))
        del world.added_at[port], world.routes[port]
        world.configure()
        world.removed_at[port] = world.now()


def settings_changed(world: World, seconds: float) -> None:
    """Changes a setting that can be reloaded, and sends SIGHUP."""
    node = random_node(world)
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
    store_restored,
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
