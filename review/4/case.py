"""An agent that was killed once is taken for dead in a planned restart."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world import World, main  # noqa: E402

SERVICE = "board"
PORT = 8443
BALANCERS = 16
AGENTS = 8
LONG_FLOWS = 160


def case(world: World) -> bool:
    """Kills an agent once; later restarts it beside a balancer.

    Returns:
        False if the case could not run.
    """
    world.configure({PORT: SERVICE})
    for number in range(1, BALANCERS + 1):
        world.add_balancer(number)
    for number in range(1, AGENTS + 1):
        world.add_agent(number, SERVICE)
    world.run(2.0)
    for number in range(1, AGENTS + 1):
        world.add_upstream(number, SERVICE)
    ready = world.run_until(
        lambda: max(world.routers.failed_checks.values()) == 0, 15.0
    )
    if not ready:
        return False
    # The agents list the balancers every 10 s.
    world.run(12.0)
    flows = []
    for number in range(LONG_FLOWS):
        flows.append(world.open_flow(PORT, b"first-%d" % number))
        world.run(0.03)
    world.run(1.0)
    if any(flow.state != "open" for flow in flows):
        world.note("not all flows are open")
        return False
    first = f"{world.network}.2.1"
    agent = world.nodes[first]
    balancer = world.nodes[f"{world.network}.1.1"]
    held = [flow for flow in flows if world.holder(flow) == first]
    world.note(f"{len(flows)} flows are open, {len(held)} of them at {first}")

    # The agent is killed once. Callers open flows while it is down.
    if world.trouble:
        world.kill(agent)
    short = []
    for number in range(180):
        short.append(world.open_flow(PORT, b"short-%d" % number))
        world.run(0.002)
    world.run(2.0)
    for number, flow in enumerate(short):
        world.note_answer(flow, b"short-%d" % number)
        flow.finish()
        flow.state = "finished"
    for number, flow in enumerate(flows):
        world.request(flow, b"second-%d" % number)
    world.run(5.0)

    # Planned work, more than 7 s later: a balancer and the agent are stopped
    # and started in turn.
    if world.trouble:
        world.terminate(balancer)
        world.run_until(lambda: world.routers.failed_checks[balancer.ip] >= 1, 3.0)
        world.run(0.22)
        world.terminate(agent)
        world.run_until(lambda: world.routers.failed_checks[balancer.ip] >= 2, 3.0)
        world.run_until(lambda: agent.process is None, 3.0)
    for number, flow in enumerate(flows):
        world.request(flow, b"third-%d" % number)
    world.run(4.0)
    for number, flow in enumerate(flows):
        holder = world.holder(flow)
        world.note_answer(flow, b"third-%d" % number)
        if flow.state == "reset" and holder is not None:
            world.break_rule(
                f"FLOW: caller {flow.source[1]} got a reset while {holder} has"
                " its flow open"
            )
    return True


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
