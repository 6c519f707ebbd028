"""A drain is acknowledged and ignored after a step of the time of day."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world import World, main  # noqa: E402

SERVICE = "board"
PORT = 8443
STEP_MS = 2_400
"""Step of the time of day, as in the site file."""

POWER_OFF_S = 0.62
"""Time for which the machine has no power, as in the site file."""

UPSTREAM_START_S = 0.6
"""Time from the start of the agent to that of the upstream beside it."""

DRAIN_S = 3.0
"""Time after its acknowledgement from which a drain must hold."""

OLD = range(1, 8)
NEW = 8


def open_flows(world: World, name: str, count: int) -> None:
    """Opens flows, sends a request on each and closes them."""
    for number in range(count):
        text = b"%s-%d" % (name.encode(), number)
        flow = world.open_flow(PORT, text)
        world.run(0.1)
        world.note_answer(flow, text)
        flow.finish()
        flow.state = "finished"


def case(world: World) -> bool:
    """Starts an upstream twice, lets it drain and opens flows.

    Returns:
        False if the case could not run.
    """
    world.configure({PORT: SERVICE})
    for number in (1, 2):
        world.add_balancer(number)
    for number in (*OLD, NEW):
        world.add_agent(number, SERVICE)
    world.run(1.5)
    for number in OLD:
        world.add_upstream(number, SERVICE)
    ready = world.run_until(
        lambda: max(world.routers.failed_checks.values()) == 0, 10.0
    )
    if not ready:
        return False
    world.run(4.0)
    ip = f"{world.network}.2.{NEW}"

    # The upstream starts while the time of day of its machine is ahead.
    ahead_ms = STEP_MS if world.trouble else 0
    first = world.add_upstream(NEW, SERVICE, ahead_ms=ahead_ms)
    world.run(0.6)
    if world.trouble:
        # The step ends; the machine loses power and comes back.
        world.note(f"machine {ip} loses power; its time of day is right again")
        first.stop()
        world.nodes[ip].restart = False
        world.kill(world.nodes[ip])
        world.run(POWER_OFF_S)
        world.nodes[ip].start()
        world.run(UPSTREAM_START_S)
        upstream = world.add_upstream(NEW, SERVICE, name=first.name)
    else:
        upstream = first
    world.run(10.0)
    open_flows(world, "before", 12)

    upstream.draining = True
    if not world.run_until(lambda: upstream.acknowledged_drain, 5.0):
        return False
    acknowledged_at = world.now()
    world.note(f"{upstream.name} at {ip} says draining and is acknowledged")
    world.run(DRAIN_S + 0.5)
    open_flows(world, "after", 60)
    late_s = upstream.last_opening_at - acknowledged_at
    if late_s > DRAIN_S:
        world.break_rule(
            f"DRAIN: {upstream.name} took an opening packet {late_s:.1f} s after"
            " the acknowledgement of its drain"
        )
    return True


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
