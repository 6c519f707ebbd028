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

from faults import DRAIN_GRACE_S, FAULTS, QUIET_S  # noqa: E402
from world import ROUTE_IP, World  # noqa: E402

ROUTES = {8443: "board", 80: "vault"}
"""Initial routes: services by target port."""

CONFIG_LIMIT_S = 3.0
"""Maximum time for a route change to take effect, in seconds."""

FIRST_FAULT_S = 4.0
"""Time from the start of the processes to the first fault, in seconds."""

RECOVERY_LIMIT_S = 6.0
"""Maximum time for callers to be served after the last fault, in seconds."""

MIN_OPENED_SHARE = 0.9
"""Minimum fraction of final flows that must open for a run to pass."""

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

MAX_OPEN_FLOWS = 40
"""Maximum number of open flows; at this number callers open no more."""


@dataclass(slots=True)
class TrackedFlow:
    """A flow of a caller, with what is needed to check it.

    Attributes:
        flow: Caller's end of the flow.
        port: Target port, which selects the route.
        opened_at: When its opening packet was sent, in seconds.
        probe: True if the flow only tests which routes are in force.
        sent_requests: Payloads of the requests sent on the flow.
        checked: True if the flow needs no further checks.
    """

    flow: Any
    port: int
    opened_at: float
    probe: bool = False
    sent_requests: list[bytes] = field(default_factory=list)
    checked: bool = False


class Soak:
    """One run: opens flows, injects faults and checks the results.

    Attributes:
        tracked_flows: All flows of the run.
        requests: Counter that numbers the run's requests.
        stats: Numbers of faults by name, and of flows by their end.
        faults: Log of injected faults, one line each.
    """

    def __init__(self, world: World, source: random.Random) -> None:
        self.world = world
        self.random = source
        self.tracked_flows: list[TrackedFlow] = []
        self.requests = count(1)
        self.stats: Counter[str] = Counter()
        self.faults: list[str] = []

    def open(self, port: int, *, probe: bool = False) -> TrackedFlow:
        flow = self.world.callers.open((ROUTE_IP, port))
        tracked = TrackedFlow(flow, port, self.world.now(), probe)
        self.tracked_flows.append(tracked)
        return tracked

    def send_request(self, tracked: TrackedFlow) -> None:
        text = b"q%d" % next(self.requests)
        tracked.sent_requests.append(text)
        tracked.flow.request(text)

    def tick(self) -> None:
        """Opens, uses and checks flows, and schedules the next tick."""
        if self.world.closed:
            return
        self.world.clock.callLater(TICK_S, self.tick)
        usable = [
            tracked for tracked in self.tracked_flows if tracked.flow.state == "open"
        ]
        if len(usable) < MAX_OPEN_FLOWS and self.random.random() < 0.5:
            self.open(self.random.choice(list(ROUTES)))
        if usable:
            tracked = self.random.choice(usable)
            self.send_request(tracked)
            if len(tracked.sent_requests) > 20:
                tracked.flow.finish()
                tracked.flow.state = "finished"
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
        ports = [*world.added_at, *world.removed_at]
        if ports:
            self.open(self.random.choice(ports), probe=True)

    def _record_failure(self, rule: str, text: str) -> None:
        self.world.failures.append(f"{self.world.now():.2f} {rule}: {text}")

    def _check(self) -> None:
        for tracked in self.tracked_flows:
            if not tracked.checked:
                self._check_flow(tracked)
        self._check_drains()
        if self.world.callers.corrupted_packets:
            self._record_failure("MIXED", "a caller got a forged packet")
            self.world.callers.corrupted_packets = 0

    def _check_flow(self, tracked: TrackedFlow) -> None:
        flow, world = tracked.flow, self.world
        expected = world.routes.get(tracked.port)
        for text in tracked.sent_requests:
            answer = flow.answers.get(text)
            if answer and expected and answer.split()[0] != expected.encode():
                self._record_failure("ROUTE", f"{flow.source} got {answer!r}")
                tracked.checked = True
        if tracked.probe and flow.state != "opening":
            tracked.checked = True
            self._check_probe(tracked)
        elif flow.state == "reset":
            tracked.checked = True
            self.stats["resets"] += 1
            if tracked.sent_requests:
                self._check_reset(tracked)
        elif flow.state in ("not opened", "finished"):
            tracked.checked = True
            self.stats[flow.state] += 1

    def _check_probe(self, tracked: TrackedFlow) -> None:
        world = self.world
        state = tracked.flow.state
        quiet = world.is_quiet(*world.balancers, for_s=QUIET_S)
        removed_at = world.removed_at.get(tracked.port, float("inf"))
        if (
            removed_at + CONFIG_LIMIT_S < tracked.opened_at
            and state == "open"
            and quiet
        ):
            self._record_failure(
                "CONFIG", f"opened through removed route {tracked.port}"
            )
        added_at = world.added_at.get(tracked.port, float("inf"))
        if added_at + CONFIG_LIMIT_S < tracked.opened_at and state == "reset" and quiet:
            service = world.routes[tracked.port]
            if any(u.service == service for u in world.upstreams.values() if u.alive):
                self._record_failure("CONFIG", f"refused added route {tracked.port}")
        if state == "open":
            tracked.flow.finish()
            tracked.flow.state = "finished"

    def _check_reset(self, tracked: TrackedFlow) -> None:
        flow, world = tracked.flow, self.world
        for ip, upstream in world.upstreams.items():
            held = (flow.source, flow.target) in upstream.open
            if held and upstream.alive and world.is_quiet(ip, for_s=QUIET_S):
                self._record_failure(
                    "FLOW", f"{flow.source} was reset although {ip} has it open"
                )

    def _check_drains(self) -> None:
        world = self.world
        for ip, upstream in world.upstreams.items():
            if upstream.corrupted_packets:
                self._record_failure("UNASKED", f"{ip} got a forged packet")
                upstream.corrupted_packets = 0
            if not (upstream.alive and upstream.acknowledged_drain):
                continue
            acknowledged_at = world.drains_acknowledged_at.setdefault(ip, world.now())
            if upstream.last_opening_at > acknowledged_at + DRAIN_GRACE_S:
                self._record_failure("DRAIN", f"{ip} got a new flow after its drain")
                upstream.last_opening_at = 0.0

    def open_final_flows(self) -> list[TrackedFlow]:
        """Opens the final flows, which show whether the system recovered."""
        return [self.open(port) for port in ROUTES for _ in range(15)]

    def check_recovery(self, final_flows: list[TrackedFlow]) -> None:
        """Checks that ``MIN_OPENED_SHARE`` of the final flows have opened."""
        share = sum(
            tracked.flow.state in ("open", "finished") for tracked in final_flows
        ) / len(final_flows)
        if share < MIN_OPENED_SHARE:
            self._record_failure(
                "RECOVER", f"only {share:.0%} of the final flows opened"
            )


def fault_times(source: random.Random, seconds: float) -> list[float]:
    """Returns start times of faults, in seconds from the start of the run."""
    gaps = accumulate(source.expovariate(FAULTS_PER_S) for _ in range(1_000))
    ends = takewhile(lambda at: at < seconds, gaps)
    return [FIRST_FAULT_S + at for at in ends]


def run_once(seed: int, *, seconds: float) -> tuple[list[str], str]:
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
            world.call_later(at, soak.inject)
        run(started + FIRST_FAULT_S / 2)
        soak.tick()
        run(started + FIRST_FAULT_S + seconds + MAX_FAULT_S + RECOVERY_LIMIT_S)
        final_flows = soak.open_final_flows()
        run(world.now() + 2.0)
        soak.check_recovery(final_flows)
    finally:
        world.close()
        run(world.now() + 0.1)
    stats = ", ".join(f"{name} {n}" for name, n in sorted(soak.stats.items()))
    summary = f"seed {seed}: {len(soak.tracked_flows)} flows, {stats}; logs in {folder}"
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
        futures = [pool.submit(run_once, one, seconds=seconds) for one in seeds]
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
