"""Requests of the load experiment; the same for every policy of a seed."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass

from bramleydyke.bench.topology import MEAN_SERVICE_S, Deployment

FLOWS = 2_000
"""Flows of each service."""

PARETO_SHAPE = 1.5
"""Shape of the law of the flows' request rates."""

SIGMA = 0.8
"""Standard deviation of the logarithm of the service times."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request of the experiment.

    Attributes:
        at: Arrival at the balancer, in seconds.
        flow: Number of the flow that sends it.
        balancer: Number of the balancer to which the fabric sprays it.
        service_s: Time that it takes at the upstream.
    """

    at: float
    flow: int
    balancer: int
    service_s: float


def make_requests(
    deployment: Deployment, *, load: float, duration_s: float, seed: int
) -> list[Request]:
    """Returns the requests of one run in order of arrival.

    Args:
        deployment: Service and balancers.
        load: Share of the upstreams' capacity.
        duration_s: Time over which requests arrive.
        seed: Start value of the random source.
    """
    source = random.Random(f"{seed}/{deployment.name}/{load}")
    flow_rates = [source.paretovariate(PARETO_SHAPE) for _ in range(FLOWS)]
    cumulative = list(itertools.accumulate(flow_rates))
    rate = deployment.request_rate(load)
    mu = math.log(MEAN_SERVICE_S) - SIGMA**2 / 2
    requests = []
    at = source.expovariate(rate)
    while at < duration_s:
        requests.append(
            Request(
                at=at,
                flow=source.choices(range(FLOWS), cum_weights=cumulative)[0],
                balancer=source.randrange(deployment.balancers),
                service_s=source.lognormvariate(mu, SIGMA),
            )
        )
        at += source.expovariate(rate)
    return requests
