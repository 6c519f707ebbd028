"""Compares placement policies by load imbalance and waiting time.

Every policy is simulated with the same requests, network delays and seeds;
runs are spread over several processes. ``bramleydyke`` runs the real cores
unchanged. ``first_version`` runs them with the settings of the first version,
which offered a request to one candidate after the other.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import click

from bramleydyke.bench.baselines import BASELINES, run_baseline
from bramleydyke.bench.cluster import make_cluster
from bramleydyke.bench.tally import RunStatistics, wait_histogram
from bramleydyke.bench.topology import (
    COOL_DOWN_S,
    DEPLOYMENTS,
    MEAN_SERVICE_S,
    Deployment,
)
from bramleydyke.bench.variants import DEFAULT_VARIANTS, VARIANTS
from bramleydyke.bench.workload import Request, make_requests

DURATION_S = 300.0
LOADS = (0.5, 0.8, 0.95)
SEEDS = 3
PROCESSES = 8
OURS = "bramleydyke"


@dataclass(frozen=True, slots=True)
class Job:
    """One simulation: a policy with one service, load and seed."""

    policy: str
    deployment: Deployment
    load: float
    seed: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class RunResult:
    """Results of one simulation.

    Attributes:
        waits: Histogram of waits, encoded to be passed between processes.
        counts: Requests by outcome, and sent messages by type.
    """

    job: Job
    imbalance: float
    waits: bytes
    counts: Counter[str]


def run(job: Job) -> RunResult:
    """Simulates one job in this process."""
    requests = make_requests(
        job.deployment, load=job.load, duration_s=job.duration_s, seed=job.seed
    )
    if job.policy in BASELINES:
        tally = run_baseline(
            job.policy,
            job.deployment,
            requests,
            duration_s=job.duration_s,
            seed=job.seed,
        )
    else:
        tally = _run_cores(job, requests)
    return RunResult(
        job, tally.imbalance(job.duration_s), tally.waits.encode(), tally.counts
    )


def _run_cores(job: Job, requests: list[Request]) -> RunStatistics:
    cluster = make_cluster(job.deployment, requests, seed=job.seed)
    for node in cluster.nodes.values():
        VARIANTS[job.policy](node)
    cluster.events.run(job.duration_s + COOL_DOWN_S)
    return cluster.tally


def run_all(jobs: Iterable[Job]) -> list[RunResult]:
    """Runs jobs in several processes, those expected to take longest first."""
    ordered = sorted(
        jobs, key=lambda job: (job.policy in BASELINES, -_expected_requests(job))
    )
    with ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(run, ordered))


def _expected_requests(job: Job) -> float:
    return job.deployment.request_rate(job.load) * job.duration_s


def summarise(results: Iterable[RunResult]) -> list[dict[str, object]]:
    """Returns a row for each service, policy and load, over all seeds."""
    groups: dict[tuple[str, str, float], list[RunResult]] = {}
    for result in results:
        job = result.job
        key = job.deployment.name, job.policy, job.load
        groups.setdefault(key, []).append(result)
    return [_row(*key, runs) for key, runs in sorted(groups.items())]


def _row(
    service: str, policy: str, load: float, runs: list[RunResult]
) -> dict[str, object]:
    waits = wait_histogram()
    counts: Counter[str] = Counter()
    for result in runs:
        waits.decode_and_add(result.waits)
        counts += result.counts
    requests = counts["requests"]
    sent = sum(count for name, count in counts.items() if name.startswith("sent."))
    refused = sum(
        count for name, count in counts.items() if name.startswith("refused_to_caller.")
    )
    p99 = waits.get_value_at_percentile(99.0) / 1e6 / MEAN_SERVICE_S
    return {
        "service": service,
        "policy": policy,
        "load": load,
        "imbalance": round(sum(run.imbalance for run in runs) / len(runs), 4),
        "p99_wait": round(p99, 2),
        "mean_wait": round(waits.get_mean_value() / 1e6 / MEAN_SERVICE_S, 3),
        "messages_per_request": round(sent / requests, 2),
        "refused": refused,
        "unanswered": requests - counts["answered"] - refused,
        "ran_twice": counts["ran_twice"],
    }


def make_jobs(
    policies: Iterable[str],
    *,
    seed: int,
    loads: Iterable[float] = LOADS,
    duration_s: float = DURATION_S,
    seeds: int = SEEDS,
) -> list[Job]:
    """Returns a job for each policy, service, load and seed."""
    loads = list(loads)
    return [
        Job(policy, deployment, load, seed + index, duration_s)
        for policy in policies
        for deployment in DEPLOYMENTS
        for load in loads
        for index in range(seeds)
    ]


def measure(*, seed: int, quick: bool = False) -> dict[str, object]:
    """Simulates all policies.

    Args:
        seed: First of the three seeds.
        quick: Runs one seed for 30 simulated seconds, as a check only.

    Returns:
        ``placement`` with a row for each service, policy and load, and
        ``imbalance`` and ``p99_wait`` at 80% load by service and policy.
    """
    duration_s, seeds = (30.0, 1) if quick else (DURATION_S, SEEDS)
    jobs = [
        job
        for policy in [*DEFAULT_VARIANTS, *BASELINES]
        for job in make_jobs(
            [policy],
            seed=seed,
            # Other loads would take two minutes more with the first version.
            loads=(0.8,) if policy == "first_version" else LOADS,
            duration_s=duration_s,
            seeds=seeds,
        )
    ]
    rows = summarise(run_all(jobs))
    result: dict[str, object] = {"placement": rows}
    for metric in ("imbalance", "p99_wait"):
        by_service: dict[str, dict[str, object]] = {}
        for row in rows:
            if row["load"] == 0.8:
                policy_values = by_service.setdefault(str(row["service"]), {})
                policy_values[str(row["policy"])] = row[metric]
        result[metric] = by_service
    return result


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=SEEDS, show_default=True, help="Number of seeds.")
@click.option(
    "--duration", default=DURATION_S, show_default=True, help="Simulated seconds."
)
@click.option("--load", "loads", multiple=True, type=float, default=(0.8,))
@click.option("--policy", "policies", multiple=True, default=tuple(DEFAULT_VARIANTS))
def main(
    seed: int,
    seeds: int,
    duration: float,
    loads: tuple[float, ...],
    policies: tuple[str, ...],
) -> None:
    """Simulates policies; prints each row of the results as JSON."""
    jobs = make_jobs(policies, seed=seed, loads=loads, duration_s=duration, seeds=seeds)
    for row in summarise(run_all(jobs)):
        click.echo(json.dumps(row))


if __name__ == "__main__":
    main()
