"""Memory that one open datagram flow takes in a balancer."""

from __future__ import annotations

import gc
import random
import tracemalloc

from bramleydyke.bench.flow_setup import (
    PARTNER,
    UPSTREAMS,
    establish_flow,
    make_balancer,
)
from bramleydyke.types import CallerAddress, ServiceAddress

FLOWS = 200_000
"""Number of open flows for which the memory target is set."""

ADDRESS = ServiceAddress("127.0.0.1:7000")


def measure(*, seed: int) -> dict[str, object]:
    """Measures the memory of a balancer with ``FLOWS`` open flows.

    Counts every allocation that remains after packets from random callers in
    random order at distinct times.

    Returns:
        ``bytes_per_flow``: all memory of the balancer divided by ``FLOWS``.

    Raises:
        RuntimeError: The balancer does not have an entry for every flow.
    """
    random_source = random.Random(seed)
    callers = random_source.sample(range(2**32), FLOWS)
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        balancer = make_balancer(ADDRESS, seed=seed)
        for number, caller in enumerate(callers):
            name = ".".join(str(caller >> shift & 255) for shift in (24, 16, 8, 0))
            address = CallerAddress(f"{name}:{1024 + caller % 60_000}")
            owner = UPSTREAMS[caller % len(UPSTREAMS)]
            now = 1.0 + number / 20_000
            establish_flow(balancer, ADDRESS, address, owner=owner, now=now)
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    entry_count = len(balancer.flows.hints[PARTNER].entries)
    if entry_count != FLOWS:
        raise RuntimeError(f"the balancer holds {entry_count} flows instead of {FLOWS}")
    return {"bytes_per_flow": round(used / FLOWS, 1)}
