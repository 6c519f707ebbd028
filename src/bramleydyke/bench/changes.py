"""Counts unanswered requests during changes and the loss of a zone.

Each scenario changes a simulated cluster of real cores under load. Callers
send every request once and mark it as not idempotent, so that no
retry by a caller hides a failure.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import msgspec

from bramleydyke.bench.cluster import Cluster, make_cluster
from bramleydyke.bench.topology import COOL_DOWN_S, DEPLOYMENTS, Deployment
from bramleydyke.bench.workload import make_requests
from bramleydyke.constants import SUSPECT_AFTER_S
from bramleydyke.core.agent import Agent
from bramleydyke.messages import Announcement, Envelope, SetDrain
from bramleydyke.types import LOCAL_PLATFORM, MemberState, NodeId

DURATION_S = 30.0
CHANGE_AT_S = 10.0
MAX_DELIVERY_DELAY_S = 3.0
"""Longest delay until a process learns of a change."""

LOADS = (0.5, 0.8, 0.95)
SEEDS = 3
PROCESSES = 8

Scenario = Callable[[Cluster], None]


def announce_with_delays(cluster: Cluster, announcement: Announcement) -> None:
    """Delivers an announcement to each process after a random delay."""
    for node_id in list(cluster.nodes):
        at = cluster.events.now + cluster.random_source.uniform(
            0.0, MAX_DELIVERY_DELAY_S
        )
        cluster.events.schedule(
            at, lambda node_id=node_id: cluster.deliver_update(node_id, announcement)
        )


def rolling_replacement(cluster: Cluster) -> None:
    """Replaces all balancers one after the other.

    Each replacement gets the new requests of its predecessor, which stops once
    its pending requests have ended.
    """
    old = list(cluster.active_balancers)

    def replace_next() -> None:
        if not old:
            return
        leaving = old.pop(0)
        joining = f"{leaving.split('/')[1]}-new"
        balancer = cluster.add_balancer(joining, zone=cluster.zones[leaving])
        cluster.deliver_update(balancer.node_id, cluster.newest_config())
        for agent in cluster.agents():
            cluster.deliver_update(balancer.node_id, agent.announcement)
        cluster.active_balancers[cluster.active_balancers.index(leaving)] = (
            balancer.node_id
        )
        stop_when_idle(leaving)

    def stop_when_idle(leaving: NodeId) -> None:
        if cluster.nodes[leaving].placer.pending:
            later = cluster.events.now + 0.05
            cluster.events.schedule(later, lambda: stop_when_idle(leaving))
            return
        cluster.stop(leaving)
        replace_next()

    replace_next()


def drain_upstream(cluster: Cluster) -> None:
    """Drains one upstream; its agent stops once it is idle."""
    agent = cluster.agents()[0]
    cluster.deliver(Envelope(LOCAL_PLATFORM, agent.node_id, SetDrain(draining=True)))
    announce_with_delays(cluster, agent.announcement)

    def stop_when_idle() -> None:
        if agent.idle():
            stopped = msgspec.structs.replace(
                agent.announcement, state=MemberState.STOPPED
            )
            cluster.stop(agent.node_id)
            announce_with_delays(cluster, stopped)
        else:
            cluster.events.schedule(cluster.events.now + 0.05, stop_when_idle)

    cluster.events.schedule(cluster.events.now + MAX_DELIVERY_DELAY_S, stop_when_idle)


def weight_change(cluster: Cluster) -> None:
    """Doubles an upstream's weight; processes learn of it at random times."""
    weights = [2.0] + [1.0] * (cluster.deployment.upstreams - 1)
    config = cluster.next_generation(weights)
    for node_id in list(cluster.nodes):
        at = cluster.events.now + cluster.random_source.uniform(
            0.0, MAX_DELIVERY_DELAY_S
        )
        cluster.events.schedule(
            at, lambda node_id=node_id: cluster.deliver_update(node_id, config)
        )


def zone_loss(cluster: Cluster) -> None:
    """Stops all processes of one availability zone at once.

    New requests go to the other zones from then on. Agents of the lost zone
    are suspected ``SUSPECT_AFTER_S`` later.
    """
    lost = [node_id for node_id, zone in cluster.zones.items() if zone == 0]
    agents = [cluster.nodes[node_id] for node_id in lost]
    cluster.active_balancers = [
        node_id for node_id in cluster.active_balancers if node_id not in lost
    ]
    for node_id in lost:
        cluster.stop(node_id)

    def mark_suspect() -> None:
        for agent in agents:
            if isinstance(agent, Agent):
                state = MemberState.SUSPECT
                announce_with_delays(
                    cluster, msgspec.structs.replace(agent.announcement, state=state)
                )

    cluster.events.schedule(cluster.events.now + SUSPECT_AFTER_S, mark_suspect)


PLANNED: dict[str, Scenario] = {
    "rolling_replacement": rolling_replacement,
    "drain_upstream": drain_upstream,
    "weight_change": weight_change,
}
UNPLANNED: dict[str, Scenario] = {"zone_loss": zone_loss}
CONTROL_SCENARIO: dict[str, Scenario] = {"no_change": lambda cluster: None}
SCENARIOS = PLANNED | UNPLANNED | CONTROL_SCENARIO


@dataclass(frozen=True, slots=True)
class ChangeJob:
    """One simulation: a scenario with one service, load and seed."""

    scenario: str
    deployment: Deployment
    load: float
    seed: int


def run_change(job: ChangeJob) -> tuple[ChangeJob, Counter[str]]:
    """Simulates a scenario; returns the job with its request counts."""
    requests = make_requests(
        job.deployment, load=job.load, duration_s=DURATION_S, seed=job.seed
    )
    cluster = make_cluster(job.deployment, requests, seed=job.seed)
    scenario = SCENARIOS[job.scenario]
    cluster.events.schedule(CHANGE_AT_S, lambda: scenario(cluster))
    cluster.events.run(DURATION_S + COOL_DOWN_S)
    return job, cluster.tally.counts


def measure(*, seed: int, quick: bool = False) -> dict[str, object]:
    """Runs all scenarios and counts the requests without an answer.

    Refused requests also count, even those that did not run.

    Args:
        seed: First of the three seeds.
        quick: Runs one seed instead of three.

    Returns:
        ``changes`` with a row for each scenario, service and load, and
        ``broken_flows_planned``, the sum of ``broken`` over planned changes.
        In a row, ``refused`` has the number of refusals by reason.
    """
    jobs = [
        ChangeJob(scenario, deployment, load, seed + index)
        for scenario in SCENARIOS
        for deployment in DEPLOYMENTS
        for load in LOADS
        for index in range(1 if quick else SEEDS)
    ]
    random.Random(seed).shuffle(jobs)
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(run_change, jobs))
    rows = _rows(results)
    planned = sum(row["broken"] for row in rows if row["scenario"] in PLANNED)
    return {"broken_flows_planned": planned, "changes": rows}


def _rows(
    results: Iterable[tuple[ChangeJob, Counter[str]]],
) -> list[dict[str, object]]:
    totals: dict[tuple[str, str, float], Counter[str]] = {}
    for job, counts in results:
        key = job.scenario, job.deployment.name, job.load
        totals.setdefault(key, Counter()).update(counts)
    return [_row(*key, counts) for key, counts in sorted(totals.items())]


def _row(
    scenario: str, service: str, load: float, counts: Counter[str]
) -> dict[str, object]:
    prefix = "refused_to_caller."
    refused = {
        name.removeprefix(prefix): count
        for name, count in sorted(counts.items())
        if name.startswith(prefix)
    }
    return {
        "scenario": scenario,
        "service": service,
        "load": load,
        "requests": counts["requests"],
        "broken": counts["requests"] - counts["answered"],
        "refused": refused,
        "ran_twice": counts["ran_twice"],
    }
