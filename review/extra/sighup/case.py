"""Signals that announce changed settings end the processes that just start."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from world import CONTROL, RESTART_S, ROUTE_IP, Node, World, main  # noqa: E402

SERVICE = "board"
PORT = 8443
CHANGES = 8
"""Changes of the settings file, each announced by a SIGHUP."""

SIGNAL_AFTER_S = 0.1
"""Time from the first start of the process to the first SIGHUP."""

EXCUSED_S = 1.0
"""Time after a disturbance in which an end of a process isn't counted."""

ENDS_ALLOWED = 2
"""A machine counts as faulty with three ends in the day."""


def change_settings(world: World, node: Node, number: int) -> None:
    """Changes the settings file and sends a SIGHUP to the process."""
    settings = json.loads(node.settings.read_text())
    seeds = [f"{world.network}.1.{ip}:{CONTROL}" for ip in range(1, 5)]
    settings["seed_endpoints"] = seeds[number % 2 :][:3]
    node.settings.write_text(json.dumps(settings))
    node.signal(signal.SIGHUP)
    world.note(f"settings of {node.ip} change, SIGHUP")


def case(world: World) -> bool:
    """Restarts two processes as planned; changes their settings meanwhile.

    Returns:
        False if the case could not run.
    """
    world.configure({PORT: SERVICE})
    for number in (1, 2, 3, 4):
        world.add_balancer(number)
    for number in (1, 2, 3, 4):
        world.add_agent(number, SERVICE)
    world.run(2.0)
    for number in (1, 2, 3, 4):
        world.add_upstream(number, SERVICE)
    ready = world.run_until(
        lambda: max(world.routers.failed_checks.values()) == 0, 15.0
    )
    if not ready:
        return False
    world.run(6.0)
    faulty = 0
    for number in (1, 2):
        node = world.nodes[f"{world.network}.1.{number}"]
        world.terminate(node)
        starts = len(node.starts)
        if not world.run_until(lambda n=node, s=starts: len(n.starts) > s, 8.0):
            return False
        started_at = world.now()
        world.run(SIGNAL_AFTER_S)
        ends = []
        known = len(node.ends)
        for change in range(CHANGES):
            if world.trouble:
                change_settings(world, node, change)
            world.run(RESTART_S + SIGNAL_AFTER_S)
            if len(node.ends) > known:
                known = len(node.ends)
                ends.append(world.now() - started_at - RESTART_S - SIGNAL_AFTER_S)
        counted = [at for at in ends if at > EXCUSED_S]
        world.note(
            f"{node.ip} ended by itself {len(ends)} times, {len(counted)} of them"
            f" over {EXCUSED_S:g} s after its start: {node.ends}"
        )
        faulty += len(counted) > ENDS_ALLOWED
        world.run(5.0)
    flow = world.callers.open((ROUTE_IP, PORT))
    world.run(1.0)
    world.note(f"a flow at the end: {flow.state}")
    if faulty >= 2:
        world.break_rule(
            f"FAULT: on {faulty} of {len(world.nodes)} machines processes end by"
            " themselves three times or more"
        )
    return True


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
