"""Generates simulated requests; a seed gives every policy the same ones."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass

from bramleydyke.bench.topology import MEAN_SERVICE_S, Deployment

FLOWS = 2_000
"""Number of flows of each service."""

PARETO_SHAPE = 1.5
"""Shape of the Pareto distribution of the flows' request rates."""

SERVICE_TIME_SIGMA = 0.8
"""Standard deviation of the logarithm of the log-normal service times."""


@dataclass(frozen=True, slots=True)
class Request:
    """One simulated request.

    Attributes:
        at: Time of arrival at the balancer, in seconds.
        flow: Number of the request's flow.
        balancer: Number of the balancer that receives the request.
        service_s: Service time at the upstream, in seconds.
    """

    at: float
    flow: int
    balancer: int
    service_s: float


def make_requests(
    deployment: Deployment, *, load: float, duration_s: float, seed: int
) -> list[Request]:
    """Returns the requests of one simulation, in order of arrival.

    Args:
        deployment: Service and balancers.
        load: Mean arrival rate as a fraction of the upstreams' capacity.
        duration_s: Time over which requests arrive, in seconds.
        seed: Seed of the random source.
    """
    random_source = random.Random(f"{seed}/{deployment.name}/{load}")
    flow_rates = [random_source.paretovariate(PARETO_SHAPE) for _ in range(FLOWS)]
    cumulative = list(itertools.accumulate(flow_rates))
    rate = deployment.request_rate(load)
    mu = math.log(MEAN_SERVICE_S) - SERVICE_TIME_SIGMA**2 / 2
    requests = []
    at = random_source.expovariate(rate)
    while at < duration_s:
        requests.append(
            Request(
                at=at,
                flow=random_source.choices(range(FLOWS), cum_weights=cumulative)[0],
                balancer=random_source.randrange(deployment.balancers),
                service_s=random_source.lognormvariate(mu, SERVICE_TIME_SIGMA),
            )
        )
        at += random_source.expovariate(rate)
    return requests
