"""A new upstream's agent is stopped as planned before the second report."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world import World, main  # noqa: E402

SERVICE = "board"
PORT = 8443
OLD = (1, 2, 3, 4)
NEW = 5


def case(world: World) -> bool:
    """Opens flows at a new upstream and restarts its agent.

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
    world.run(6.0)

    # Scale-out: one more upstream. Callers open flows and use each once.
    new = world.add_upstream(NEW, SERVICE)
    ip = f"{world.network}.2.{NEW}"
    world.run(0.05)
    flows = []
    for number in range(24):
        flows.append(world.open_flow(PORT, b"first-%d" % number))
        world.run(0.006)
    world.run(0.08)
    for number, flow in enumerate(flows):
        world.note_answer(flow, b"first-%d" % number)
    held = [flow for flow in flows if world.holder(flow) == ip]
    if not held or new.sequence != 1:
        return False

    if world.trouble:
        world.terminate(world.nodes[ip])
    # The callers pause between two requests.
    world.run(2.6)
    world.note(f"upstream at {ip} has sent {new.sequence} reports")
    for number, flow in enumerate(flows):
        world.request(flow, b"second-%d" % number)
    world.run(2.5)
    for number, flow in enumerate(flows):
        holder = world.holder(flow)
        world.note_answer(flow, b"second-%d" % number)
        if flow.state == "reset" and holder is not None:
            world.break_rule(
                f"FLOW: caller {flow.source[1]} got a reset while {holder} has"
                " its flow open"
            )
    return True


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
