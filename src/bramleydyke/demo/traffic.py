"""Creates the traffic of each protocol and sums its counts."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol as TypingProtocol

from bramleydyke.core.config import ServiceConfig
from bramleydyke.demo.http_traffic import HttpTraffic
from bramleydyke.demo.system import DemoSystem
from bramleydyke.demo.tcp_traffic import TcpTraffic
from bramleydyke.demo.udp_traffic import UdpTraffic
from bramleydyke.types import Protocol

RATE_PER_SLOT = 2.0
"""HTTP requests per second for each slot.

A slot with a service time of 50 ms could serve ten times as many, but all
nodes, upstreams and callers of the demo share one process and one core.
"""


FLOWS_PER_SLOT = 3
"""Flows that stay open for each slot of a UDP service."""

DOWNLOADS_PER_SLOT = 0.5
"""Downloads per second for each slot of a TCP service."""


class Traffic(TypingProtocol):
    """Simulated callers of one service.

    The keys of ``counts`` may be ``requests``, ``answered``,
    ``refused_not_run``, ``unknown``, ``wrong_answer``, ``wrong_service``,
    ``downloads``, ``refused_connections``, ``flows``, ``broken_flows`` and
    ``flows_lost_with_balancer``.
    """

    counts: Counter[str]
    errors: Counter[str]

    def start(self) -> None:
        """Starts sending."""

    def stop(self) -> None:
        """Starts no new work; work in progress may continue."""

    def ended(self) -> bool:
        """Returns whether traffic has stopped and no work is in progress."""


MakeTraffic = Callable[[DemoSystem, ServiceConfig, random.Random], Traffic]


def http_traffic(
    system: DemoSystem, service: ServiceConfig, random_source: random.Random
) -> Traffic:
    """Returns callers for an HTTP service; its slots determine the rate."""
    return HttpTraffic(
        environment=system.environment,
        service_id=service.service_id,
        address=service.addresses[0],
        rate=RATE_PER_SLOT * _slots(service),
        random_source=random_source,
    )


def udp_traffic(
    system: DemoSystem, service: ServiceConfig, random_source: random.Random
) -> Traffic:
    """Returns callers for a UDP service; its slots determine the flows."""
    return UdpTraffic(
        environment=system.environment,
        service_id=service.service_id,
        address=service.addresses[0],
        flows=FLOWS_PER_SLOT * _slots(service),
        random_source=random_source,
    )


def tcp_traffic(
    system: DemoSystem, service: ServiceConfig, random_source: random.Random
) -> Traffic:
    """Returns callers for a TCP service; its slots determine the rate."""
    return TcpTraffic(
        environment=system.environment,
        service_id=service.service_id,
        address=service.addresses[0],
        rate=DOWNLOADS_PER_SLOT * _slots(service),
        random_source=random_source,
        used_killed_balancer=system.used_killed_balancer,
    )


def _slots(service: ServiceConfig) -> int:
    return sum(spec.slots for spec in service.upstreams)


TRAFFIC_BY_PROTOCOL: dict[Protocol, MakeTraffic] = {
    Protocol.HTTP: http_traffic,
    Protocol.TCP: tcp_traffic,
    Protocol.UDP: udp_traffic,
}
"""Function that creates the traffic for a service of each protocol."""


def total_counts(traffic: Iterable[Traffic]) -> Counter[str]:
    """Returns the sum of the counts of all traffic, by name."""
    total: Counter[str] = Counter()
    for item in traffic:
        total.update(item.counts)
    return total
