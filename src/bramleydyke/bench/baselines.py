"""Simple placement policies, for comparison with bramleydyke's.

They get the same requests and the same kind of network delays. A balancer
sends each request to an upstream at once; the upstream's queue is unbounded
and first in, first out.
"""

from __future__ import annotations

import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.bench.events import EventQueue
from bramleydyke.bench.tally import RunStatistics
from bramleydyke.bench.topology import COOL_DOWN_S, Deployment
from bramleydyke.bench.workload import Request
from bramleydyke.core.rendezvous import owner_order
from bramleydyke.types import UpstreamId

REPORT_INTERVAL_S = 0.5
"""Interval at which the backlogs known to ``two_choices`` are updated."""

ChooseUpstream = Callable[[Request], int]
"""Returns the number of the upstream that gets a request."""


@dataclass(slots=True)
class SimulatedUpstream:
    """An upstream that runs ``slots`` requests at a time and queues others."""

    number: int
    slots: int
    events: EventQueue
    tally: RunStatistics
    running: int = 0
    waiting: deque[Request] = field(default_factory=deque)

    def arrive(self, request: Request) -> None:
        """Queues a request and starts it if a slot is free."""
        self.waiting.append(request)
        self._start()

    def backlog(self) -> int:
        """Returns the number of running and queued requests."""
        return self.running + len(self.waiting)

    def _start(self) -> None:
        while self.waiting and self.running < self.slots:
            request = self.waiting.popleft()
            now = self.events.now
            end = now + request.service_s
            self.running += 1
            self.tally.record_start(arrived_at=request.at, now=now)
            self.tally.record_run(self.number, start=now, end=end)
            self.events.schedule(end, self._end)

    def _end(self) -> None:
        self.running -= 1
        self.tally.counts["answered"] += 1
        self._start()


def flow_hash(
    upstreams: list[SimulatedUpstream], _: random.Random, __: EventQueue
) -> ChooseUpstream:
    """Chooses the flow's owner by rendezvous hashing."""
    weights = {UpstreamId(str(upstream.number)): 1.0 for upstream in upstreams}
    owners: dict[int, int] = {}

    def choose(request: Request) -> int:
        if request.flow not in owners:
            order = owner_order(str(request.flow).encode(), weights)
            owners[request.flow] = int(order[0])
        return owners[request.flow]

    return choose


def round_robin(
    upstreams: list[SimulatedUpstream], random_source: random.Random, _: EventQueue
) -> ChooseUpstream:
    """Cycles through the upstreams at each balancer, from a random start."""
    counters: dict[int, itertools.count[int]] = {}

    def choose(request: Request) -> int:
        start = random_source.randrange(len(upstreams))
        counter = counters.setdefault(request.balancer, itertools.count(start))
        return next(counter) % len(upstreams)

    return choose


def random_choice(
    upstreams: list[SimulatedUpstream], random_source: random.Random, _: EventQueue
) -> ChooseUpstream:
    """Chooses a random upstream for each request."""
    return lambda request: random_source.randrange(len(upstreams))


def two_choices(
    upstreams: list[SimulatedUpstream], random_source: random.Random, events: EventQueue
) -> ChooseUpstream:
    """Chooses the less loaded of two random upstreams.

    The backlogs that it compares are up to ``REPORT_INTERVAL_S`` old.
    """
    reported = [0] * len(upstreams)

    def report() -> None:
        reported[:] = [upstream.backlog() for upstream in upstreams]
        events.schedule(events.now + REPORT_INTERVAL_S, report)

    def choose(request: Request) -> int:
        pair = random_source.sample(range(len(upstreams)), 2)
        return min(pair, key=reported.__getitem__)

    events.schedule(0.0, report)
    return choose


BASELINES = {
    "hash": flow_hash,
    "round_robin": round_robin,
    "random": random_choice,
    "two_choices_stale": two_choices,
}
"""Policies by their names in the results."""


def run_baseline(
    name: str,
    deployment: Deployment,
    requests: list[Request],
    *,
    duration_s: float,
    seed: int,
) -> RunStatistics:
    """Simulates one policy with the given requests; no message is lost."""
    random_source = random.Random(f"{seed}/{name}")
    events = EventQueue()
    tally = RunStatistics([1.0] * deployment.upstreams)
    upstreams = [
        SimulatedUpstream(number, deployment.slots, events, tally)
        for number in range(deployment.upstreams)
    ]
    choose = BASELINES[name](upstreams, random_source, events)

    def arrive(request: Request) -> None:
        tally.counts["requests"] += 1
        upstream = upstreams[choose(request)]
        zones = request.balancer % deployment.zones, upstream.number % deployment.zones
        delay = deployment.delay(*zones, random_source)
        events.schedule(events.now + delay, lambda: upstream.arrive(request))

    for request in requests:
        events.schedule(request.at, lambda request=request: arrive(request))
    events.run(duration_s + COOL_DOWN_S)
    return tally
