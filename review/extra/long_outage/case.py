"""Nothing follows the store any more after an outage of 11 minutes.

Usage: ``run.sh``. The store refuses connections for the seconds that are given
as the argument and is then back; the operator adds a route. No flow to the
route opens.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from world import ROUTE_IP, STORE, World, main  # noqa: E402

SERVICE = "board"


def open_flows(world: World, port: int) -> int:
    """Opens ten flows to a route; returns how many of them opened."""
    flows = []
    for _ in range(10):
        flows.append(world.callers.open((ROUTE_IP, port)))
        world.run(0.1)
    world.run(2.0)
    opened = sum(flow.state == "open" for flow in flows)
    world.note(f"{opened} of {len(flows)} flows to port {port} opened")
    return opened


def case(world: World) -> bool:
    """Lets the store refuse connections, then adds a route.

    Returns:
        False if the case could not run.
    """
    world.configure({8443: SERVICE})
    for number in (1, 2):
        world.add_balancer(number)
    for number in (1, 2, 3):
        world.add_agent(number, SERVICE)
    world.run(2.0)
    for number in (1, 2, 3):
        world.add_upstream(number, SERVICE)
    world.run(8.0)
    if not open_flows(world, 8443):
        return False
    outage_s = float(sys.argv[1])
    if world.trouble:
        world.store_port.close()
        world.store.fail_watches()
        world.note("the store refuses connections")
        world.run(outage_s)
        world.store_port = world.store.listen(
            world.reactor, f"{world.network}.9.1:{STORE}"
        )
        world.note("the store is back")
        world.run(5.0)
    world.configure({8443: SERVICE, 9001: SERVICE})
    world.run(30.0)
    open_flows(world, 8443)
    if not open_flows(world, 9001):
        world.break_rule("CONFIG: a route isn't in force 30 s after its manifest")
    return True


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case)
