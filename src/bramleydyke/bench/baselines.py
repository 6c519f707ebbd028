"""Simple policies for comparison, over the same delays and requests.

Each balancer sends a request at once to one upstream, which queues without
bound, first in, first out.
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
"""Interval of the reports that two choices are based on."""

Choose = Callable[[Request], int]


@dataclass(slots=True)
class Queue:
    """An upstream with its slots and an unbounded queue."""

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
        """Returns the requests that run or wait."""
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
    """Sends all requests of a flow to its owner."""
    weights = {UpstreamId(str(queue.number)): 1.0 for queue in queues}
    owners: dict[int, int] = {}

    def choose(request: Request) -> int:
        if request.flow not in owners:
            order = owner_order(str(request.flow).encode(), weights)
            owners[request.flow] = int(order[0])
        return owners[request.flow]

    return choose


def round_robin(queues: list[Queue], source: random.Random, _: EventHeap) -> Choose:
    """Goes round the upstreams at each balancer, from a random start."""
    turns: dict[int, itertools.count[int]] = {}

    def choose(request: Request) -> int:
        start = source.randrange(len(queues))
        turn = turns.setdefault(request.balancer, itertools.count(start))
        return next(turn) % len(queues)

    return choose


def random_choice(queues: list[Queue], source: random.Random, _: EventHeap) -> Choose:
    """Chooses any upstream."""
    return lambda request: source.randrange(len(queues))


def two_choices(queues: list[Queue], source: random.Random, now: EventHeap) -> Choose:
    """Chooses the better of two upstreams by reports ``REPORT_AGE_S`` old."""
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
"""Policies by the name under which they are reported."""


def run_baseline(
    name: str,
    deployment: Deployment,
    requests: list[Request],
    *,
    duration_s: float,
    seed: int,
) -> Tally:
    """Runs one policy over the requests, without loss."""
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
