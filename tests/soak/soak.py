"""Soak test: runs the real programs as processes under random faults.

Callers open and use flows throughout, while faults follow each other and
overlap. Everything that callers and upstreams receive is checked during the
run. A failure names its rule: ROUTE (answer from another service), CONFIG
(route change not in force in time), FLOW (flow reset without reason), DRAIN
(new flow after a drain), UNASKED or MIXED (forged packet at an upstream or at
a caller), RECOVER (too few new flows open after the faults).

Usage: ``python tests/soak/soak.py --seed 1 --runs 50 --jobs 4``.
"""

from __future__ import annotations

import random
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import accumulate, count, takewhile
from pathlib import Path
from typing import Any

import click

sys.path.insert(0, str(Path(__file__).parent))

from faults import CALM_S, DRAIN_S, FAULTS  # noqa: E402
from world import ROUTE_IP, World  # noqa: E402

ROUTES = {8443: "board", 80: "vault"}
"""Initial routes: services by target port."""

CONFIG_S = 3.0
"""Maximum time for a route change to take effect, in seconds."""

SETTLE_S = 4.0
"""Time from the start of the processes to the first fault, in seconds."""

RECOVER_S = 6.0
"""Maximum time for callers to be served after the last fault, in seconds."""

SERVED = 0.9
"""Minimum share of final flows that must open for a run to pass."""

FAULTS_PER_S = 0.8
"""Mean rate at which faults start."""

MAX_FAULT_S = 3.0
"""Maximum duration of a fault; an agent silent for 4 s counts as lost."""

TRAFFIC_SEED = 1_000_000
"""Offset from a run's seed to the seed of its traffic.

The number of random choices for traffic depends on the run's timing. With a
generator of their own they leave the sequence of faults unchanged.
"""

TICK_S = 0.03
"""Interval at which callers act and results are checked, in seconds."""

MAX_OPEN = 40
"""Number of open flows from which on callers open no others."""


@dataclass(slots=True)
class Use:
    """A flow of a caller, with what is needed to check it.

    Attributes:
        flow: Caller's end of the flow.
        port: Target port, which selects the route.
        opened_at: When its opening packet was sent, in seconds.
        probe: True if it only tests which routes are in force.
        asked: Payloads of its requests.
        judged: True if it needs no further checks.
    """

    flow: Any
    port: int
    opened_at: float
    probe: bool = False
    asked: list[bytes] = field(default_factory=list)
    judged: bool = False


class Soak:
    """One run: opens flows, injects faults and checks the results.

    Attributes:
        uses: All flows of the run.
        requests: Numbers of requests, unique in the run.
        stats: Numbers of faults by name, and of flows by their end.
        faults: Log of injected faults, one line each.
    """

    def __init__(self, world: World, source: random.Random) -> None:
        self.world = world
        self.random = source
        self.uses: list[Use] = []
        self.requests = count(1)
        self.stats: Counter[str] = Counter()
        self.faults: list[str] = []

    def open(self, port: int, *, probe: bool = False) -> Use:
        flow = self.world.callers.open((ROUTE_IP, port))
        use = Use(flow, port, self.world.now(), probe)
        self.uses.append(use)
        return use

    def ask(self, use: Use) -> None:
        text = b"q%d" % next(self.requests)
        use.asked.append(text)
        use.flow.request(text)

    def tick(self) -> None:
        """Opens and uses flows, checks all, and schedules the next tick."""
        if self.world.closed:
            return
        self.world.clock.callLater(TICK_S, self.tick)
        usable = [use for use in self.uses if use.flow.state == "open"]
        if len(usable) < MAX_OPEN and self.random.random() < 0.5:
            self.open(self.random.choice(list(ROUTES)))
        if usable:
            use = self.random.choice(usable)
            self.ask(use)
            if len(use.asked) > 20:
                use.flow.finish()
                use.flow.state = "finished"
        if self.random.random() < 0.1:
            self._probe_routes()
        self._check()

    def inject(self) -> None:
        """Injects a fault; its choice depends on the seed alone."""
        source = self.world.random_source
        fault = source.choice(FAULTS)
        seconds = source.uniform(0.3, MAX_FAULT_S)
        at = self.world.now()
        self.faults.append(f"{at:.2f} {fault.__name__} {seconds:.2f}")
        self.stats[fault.__name__] += 1
        fault(self.world, seconds)

    def _probe_routes(self) -> None:
        world = self.world
        ports = [*world.added, *world.dropped]
        if ports:
            self.open(self.random.choice(ports), probe=True)

    def _fail(self, rule: str, text: str) -> None:
        self.world.failures.append(f"{self.world.now():.2f} {rule}: {text}")

    def _check(self) -> None:
        for use in self.uses:
            if not use.judged:
                self._check_use(use)
        self._check_drains()
        if self.world.callers.forged:
            self._fail("MIXED", "a caller got a forged packet")
            self.world.callers.forged = 0

    def _check_use(self, use: Use) -> None:
        flow, world = use.flow, self.world
        expected = world.routes.get(use.port)
        for text in use.asked:
            answer = flow.answers.get(text)
            if answer and expected and answer.split()[0] != expected.encode():
                self._fail("ROUTE", f"{flow.source} got {answer!r}")
                use.judged = True
        if use.probe and flow.state != "opening":
            use.judged = True
            self._check_probe(use)
        elif flow.state == "reset":
            use.judged = True
            self.stats["resets"] += 1
            if use.asked:
                self._check_reset(use)
        elif flow.state in ("not opened", "finished"):
            use.judged = True
            self.stats[flow.state] += 1

    def _check_probe(self, use: Use) -> None:
        world = self.world
        state = use.flow.state
        calm = world.calm(*world.balancers, for_s=CALM_S)
        dropped = world.dropped.get(use.port, float("inf"))
        if dropped + CONFIG_S < use.opened_at and state == "open" and calm:
            self._fail("CONFIG", f"opened through removed route {use.port}")
        added = world.added.get(use.port, float("inf"))
        if added + CONFIG_S < use.opened_at and state == "reset" and calm:
            service = world.routes[use.port]
            if any(u.service == service for u in world.upstreams.values() if u.alive):
                self._fail("CONFIG", f"refused added route {use.port}")
        if state == "open":
            use.flow.finish()
            use.flow.state = "finished"

    def _check_reset(self, use: Use) -> None:
        flow, world = use.flow, self.world
        for ip, upstream in world.upstreams.items():
            held = (flow.source, flow.target) in upstream.open
            if held and upstream.alive and world.calm(ip, for_s=CALM_S):
                self._fail("FLOW", f"{flow.source} was reset although {ip} has it open")

    def _check_drains(self) -> None:
        world = self.world
        for ip, upstream in world.upstreams.items():
            if upstream.forged:
                self._fail("UNASKED", f"{ip} got a forged packet")
                upstream.forged = 0
            if not (upstream.alive and upstream.acknowledged_drain):
                continue
            acknowledged_at = world.drains.setdefault(ip, world.now())
            if upstream.taken_at > acknowledged_at + DRAIN_S:
                self._fail("DRAIN", f"{ip} got a new flow after its drain")
                upstream.taken_at = 0.0

    def finish(self) -> list[Use]:
        """Opens the final flows, which show whether the system recovered."""
        return [self.open(port) for port in ROUTES for _ in range(15)]

    def judge(self, last: list[Use]) -> None:
        """Checks that enough of the final flows opened."""
        share = sum(use.flow.state in ("open", "finished") for use in last) / len(last)
        if share < SERVED:
            self._fail("RECOVER", f"only {share:.0%} of the final flows opened")


def fault_times(source: random.Random, seconds: float) -> list[float]:
    """Returns start times of faults, in seconds from the start of the run."""
    gaps = accumulate(source.expovariate(FAULTS_PER_S) for _ in range(1_000))
    ends = takewhile(lambda at: at < seconds, gaps)
    return [SETTLE_S + at for at in ends]


def play(seed: int, *, seconds: float) -> tuple[list[str], str]:
    """Runs the soak test once; returns its failures and a summary.

    Args:
        seed: Seed of the faults and of the traffic. It also selects the
            loopback network, so that concurrent runs do not collide.
        seconds: Length of the period in which faults start.
    """
    from twisted.internet import reactor as any_reactor

    reactor: Any = any_reactor
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    source = random.Random(seed + TRAFFIC_SEED)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    world = World(
        reactor=reactor,
        network=f"127.{60 + seed % 150}",
        folder=folder,
        random_source=random.Random(seed),
    )
    soak = Soak(world, source)

    def run(until: float) -> None:
        while world.now() < until:
            reactor.iterate(0.01)

    try:
        world.start(ROUTES, balancers=3, upstreams=6)
        started = world.now()
        for at in fault_times(world.random_source, seconds):
            world.later(at, soak.inject)
        run(started + SETTLE_S / 2)
        soak.tick()
        run(started + SETTLE_S + seconds + MAX_FAULT_S + RECOVER_S)
        last = soak.finish()
        run(world.now() + 2.0)
        soak.judge(last)
    finally:
        world.close()
        run(world.now() + 0.1)
    stats = ", ".join(f"{name} {n}" for name, n in sorted(soak.stats.items()))
    summary = f"seed {seed}: {len(soak.uses)} flows, {stats}; logs in {folder}"
    if world.failures:
        (folder / "faults.txt").write_text("\n".join(soak.faults))
    return world.failures, summary


@click.command()
@click.option("--seed", default=1, help="Seed of the first run.")
@click.option("--runs", default=1, help="Number of runs, with one seed each.")
@click.option("--jobs", default=1, help="Number of concurrent runs.")
@click.option(
    "--seconds", default=12.0, help="Length of the period in which faults start."
)
def main(*, seed: int, runs: int, jobs: int, seconds: float) -> None:
    """Runs the soak test and prints the failures of each run."""
    seeds = range(seed, seed + runs)
    failed = 0
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        futures = [pool.submit(play, one, seconds=seconds) for one in seeds]
        for future in futures:
            failures, summary = future.result()
            click.echo(summary)
            for failure in failures:
                click.echo(f"  {failure}")
            failed += bool(failures)
    click.echo(f"{failed} of {runs} runs failed")
    sys.exit(failed > 0)


if __name__ == "__main__":
    main()
