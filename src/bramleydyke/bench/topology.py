"""Simulated deployments for the placement benchmarks."""

from __future__ import annotations

import random
from dataclasses import dataclass

MEAN_SERVICE_S = 0.05
"""Mean service time of a request."""

LOCAL_DELAY_S = 0.0002
"""One-way delay between two processes of one availability zone."""

JITTER_S = 0.0002
"""Mean of the exponential jitter on top of each one-way delay."""

LOSS = 0.001
"""Fraction of the messages between processes that are lost."""

COOL_DOWN_S = 40.0
"""Time for requests to end after the last arrival; exceeds their timeout."""


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """One service, its upstreams and the balancers in front of it.

    Attributes:
        zones: Number of availability zones.
        slots: Number of requests that each upstream runs concurrently.
        zone_delay_s: One-way delay between two availability zones.
        client_delay_s: One-way delay between callers and balancers.
        balancers_per_zone: Balancers in each availability zone.
    """

    name: str
    zones: int
    upstreams: int
    slots: int
    zone_delay_s: float
    client_delay_s: float
    balancers_per_zone: int = 2

    @property
    def balancers(self) -> int:
        """Returns the number of balancers in all availability zones."""
        return self.zones * self.balancers_per_zone

    def request_rate(self, load: float) -> float:
        """Returns the requests per second for a given utilisation."""
        return load * self.upstreams * self.slots / MEAN_SERVICE_S

    def delay(self, zone_a: int, zone_b: int, random_source: random.Random) -> float:
        """Returns a random one-way delay between two zones, in seconds."""
        fixed = LOCAL_DELAY_S if zone_a == zone_b else self.zone_delay_s
        return fixed + random_source.expovariate(1 / JITTER_S)


DEPLOYMENTS = (
    Deployment(
        name="bourse-beurre",
        zones=3,
        upstreams=7,
        slots=2,
        zone_delay_s=0.005,
        client_delay_s=0.001,
    ),
    Deployment(
        name="bulletin-laitier",
        zones=3,
        upstreams=3,
        slots=2,
        zone_delay_s=0.005,
        client_delay_s=0.001,
    ),
    Deployment(
        name="proof-desk",
        zones=4,
        upstreams=7,
        slots=1,
        zone_delay_s=0.004,
        client_delay_s=0.003,
    ),
    Deployment(
        name="frame-vault",
        zones=4,
        upstreams=4,
        slots=1,
        zone_delay_s=0.004,
        client_delay_s=0.003,
    ),
)
"""The services of both partners, at their current size."""
