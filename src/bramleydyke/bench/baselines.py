"""Simple placement policies, for comparison with the real cores.

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

from bramleydyke.bench.events import EventHeap
from bramleydyke.bench.tally import Tally
from bramleydyke.bench.topology import DRAIN_S, Deployment
from bramleydyke.bench.workload import Request
from bramleydyke.core.rendezvous import owner_order
from bramleydyke.types import UpstreamId

REPORT_AGE_S = 0.5
"""Interval at which the backlogs known to ``two_choices`` are updated."""

Choose = Callable[[Request], int]
"""Returns the number of the upstream that gets a request."""


@dataclass(slots=True)
class Queue:
    """An upstream that runs ``slots`` requests at a time and queues others."""

    number: int
    slots: int
    events: EventHeap
    tally: Tally
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
            self.tally.started(arrived_at=request.at, now=now)
            self.tally.ran(self.number, start=now, end=end)
            self.events.at(end, self._end)

    def _end(self) -> None:
        self.running -= 1
        self.tally.counts["answered"] += 1
        self._start()


def hash_of_flow(queues: list[Queue], _: random.Random, __: EventHeap) -> Choose:
    """Chooses the flow's owner by rendezvous hashing."""
    weights = {UpstreamId(str(queue.number)): 1.0 for queue in queues}
    owners: dict[int, int] = {}

    def choose(request: Request) -> int:
        if request.flow not in owners:
            order = owner_order(str(request.flow).encode(), weights)
            owners[request.flow] = int(order[0])
        return owners[request.flow]

    return choose


def round_robin(queues: list[Queue], source: random.Random, _: EventHeap) -> Choose:
    """Cycles through the upstreams at each balancer, from a random start."""
    turns: dict[int, itertools.count[int]] = {}

    def choose(request: Request) -> int:
        start = source.randrange(len(queues))
        turn = turns.setdefault(request.balancer, itertools.count(start))
        return next(turn) % len(queues)

    return choose


def random_choice(queues: list[Queue], source: random.Random, _: EventHeap) -> Choose:
    """Chooses a random upstream for each request."""
    return lambda request: source.randrange(len(queues))


def two_choices(queues: list[Queue], source: random.Random, now: EventHeap) -> Choose:
    """Chooses the less loaded of two random upstreams.

    The backlogs that it compares are up to ``REPORT_AGE_S`` old.
    """
    reported = [0] * len(queues)

    def report() -> None:
        reported[:] = [queue.backlog() for queue in queues]
        now.at(now.now + REPORT_AGE_S, report)

    def choose(request: Request) -> int:
        pair = source.sample(range(len(queues)), 2)
        return min(pair, key=reported.__getitem__)

    now.at(0.0, report)
    return choose


BASELINES = {
    "hash": hash_of_flow,
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
) -> Tally:
    """Simulates one policy with the requests; no message is lost."""
    source = random.Random(f"{seed}/{name}")
    events = EventHeap()
    tally = Tally([1.0] * deployment.upstreams)
    queues = [
        Queue(number, deployment.slots, events, tally)
        for number in range(deployment.upstreams)
    ]
    choose = BASELINES[name](queues, source, events)

    def arrive(request: Request) -> None:
        tally.counts["requests"] += 1
        queue = queues[choose(request)]
        zones = request.balancer % deployment.zones, queue.number % deployment.zones
        delay = deployment.delay(*zones, source)
        events.at(events.now + delay, lambda: queue.arrive(request))

    for request in requests:
        events.at(request.at, lambda request=request: arrive(request))
    events.run(duration_s + DRAIN_S)
    return tally
