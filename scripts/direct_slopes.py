"""Measures memory, message sizes and processor time of the direct mode.

Prints each result as a line of JSON; ``docs/CAPACITY.md`` is based on them.
Usage: ``PYTHONPATH=src:tests/direct python scripts/direct_slopes.py``.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from network import routes, system

from bramleydyke.direct.directory import Directory
from bramleydyke.direct.holders import Holder, Holders
from bramleydyke.direct.messages import (
    Announcement,
    HolderQuery,
    Load,
    NotHeld,
    Notice,
    Placed,
    encode,
)
from bramleydyke.direct.routes import Route, RouteSet, Share
from bramleydyke.direct.types import (
    ConfigVersion,
    FlowTuple,
    Lifetime,
    NodeIp,
    RouteAddress,
    UpstreamState,
)
from bramleydyke.direct.upstream_flows import UpstreamFlow, UpstreamFlows
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId

FLOWS = 50_000
UPSTREAMS = 3_800
SERVICES = 830
BALANCER_COUNTS = (10, 50, 200, 550)
SEED = 1
NODE = NodeIp("10.128.0.10")
LIFETIME = Lifetime(1_770_073_521_800)


def numbered_flow(number: int) -> FlowTuple:
    """Returns a flow that is distinct for each number."""
    return FlowTuple(number.to_bytes(12, "big"))


def allocated_bytes(make: Callable[[], Any]) -> int:
    """Returns the bytes of memory that a newly built object takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return after - before


def make_holders() -> Holders:
    """Returns a balancer's flow table with ``FLOWS`` flows."""
    table = Holders()
    for number in range(FLOWS):
        table.record_holder(numbered_flow(number), Holder(NODE, LIFETIME, None))
    return table


def make_upstream_flows() -> UpstreamFlows:
    """Returns an agent's flow table with ``FLOWS`` open flows."""
    table = UpstreamFlows()
    for number in range(FLOWS):
        table.add(numbered_flow(number), UpstreamFlow(NODE, LIFETIME, 1.0, open=True))
    return table


def make_route_set() -> RouteSet:
    """Returns a configuration with one route for each of the services."""
    names = [ServiceId(f"svc{number}") for number in range(SERVICES)]
    by_address = {
        RouteAddress(number.to_bytes(6, "big")): Route([Share(name, 1.0)], 1)
        for number, name in enumerate(names)
    }
    return RouteSet(ConfigVersion(1), by_address)


def make_announcement(number: int) -> Announcement:
    """Returns the announcement of the upstream with the given number."""
    return Announcement(
        node=NodeIp(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"),
        zone=AvailabilityZone("zone-north"),
        service=ServiceId(f"svc{number % SERVICES}"),
        upstream=UpstreamId(f"i-{number:010x}"),
        lifetime=LIFETIME,
        sequence=12,
        revision=1,
        state=UpstreamState.READY,
    )


def make_directory() -> Directory:
    """Returns a balancer's directory of ``UPSTREAMS`` upstreams."""
    directory = Directory(AvailabilityZone("zone-north"))
    for number in range(UPSTREAMS):
        directory.apply(make_announcement(number), now=1.0, from_agent=True)
    return directory


def placement_us() -> float:
    """Measures how long a balancer takes to choose agents for a new flow.

    Returns:
        Mean processor time for one flow, in microseconds.
    """
    directory = make_directory()
    started = time.process_time()
    for number in range(FLOWS):
        service = ServiceId(f"svc{number % SERVICES}")
        directory.candidates(service, numbered_flow(number), width=3, now=1.0)
    return (time.process_time() - started) / FLOWS * 1e6


def imbalance(width: int) -> float:
    """Measures how unevenly new flows spread over 51 upstreams.

    Args:
        width: Number of candidates, of which each flow gets the least loaded.

    Returns:
        Load of the busiest upstream divided by the mean load.
    """
    directory = Directory(AvailabilityZone("zone-north"))
    for number in range(0, 51 * SERVICES, SERVICES):
        directory.apply(make_announcement(number), now=1.0, from_agent=True)
    for number in range(200 * 51):
        nodes = directory.candidates(
            ServiceId("svc0"), numbered_flow(number), width=width, now=1.0
        )
        directory.sent(nodes[0], now=1.0)
        # The flows stay open, but the requests that opened them have ended.
        entry = directory.entries[nodes[0]]
        entry.load = Load(0.0, entry.load.total)
    totals = [entry.load.total for entry in directory.entries.values()]
    return max(totals) / (sum(totals) / len(totals))


def in_force_s(nodes: int) -> float:
    """Returns the simulated seconds until all balancers apply a change."""
    network = system(SEED, balancers=nodes, upstreams=1)
    first = next(iter(network.balancers.values()))
    first.routes.apply(routes(2))
    first.gossip.configuration_changed(now=network.now)
    started = network.now
    while {b.routes.version for b in network.balancers.values()} != {2}:
        network.run(0.01)
    return network.now - started


def main() -> None:
    """Runs all measurements; prints each result as a line of JSON."""
    results: dict[str, float] = {
        "balancer_bytes_per_flow": allocated_bytes(make_holders) / FLOWS,
        "agent_bytes_per_flow": allocated_bytes(make_upstream_flows) / FLOWS,
        "bytes_per_upstream": allocated_bytes(make_directory) / UPSTREAMS,
        "bytes_per_route": allocated_bytes(make_route_set) / SERVICES,
        "snapshot_bytes_per_route": len(encode(make_route_set())) / SERVICES,
        "announcement_bytes": len(encode(make_announcement(70_000))),
        "seek_bytes": len(
            encode(HolderQuery(ServiceId("svc830"), [(numbered_flow(1), 12_345_678)]))
        ),
        "placed_bytes": len(
            encode(Placed(numbered_flow(1), LIFETIME, 123_456, Load(1, 2)))
        ),
        "absent_bytes": len(encode(NotHeld([numbered_flow(1)]))),
        "notice_bytes": len(encode(Notice(NODE, ConfigVersion(1_000)))),
        "placement_us": placement_us(),
    }
    results |= {f"imbalance_of_{width}": imbalance(width) for width in (1, 2, 3, 51)}
    for name, value in results.items():
        print(json.dumps({name: round(value, 3)}))
    for nodes in BALANCER_COUNTS:
        print(json.dumps({"in_force_s": round(in_force_s(nodes), 2), "nodes": nodes}))


if __name__ == "__main__":
    main()
