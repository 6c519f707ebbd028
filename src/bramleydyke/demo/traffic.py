"""Traffic of each protocol, and what all traffic counts together."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol as TypingProtocol

from bramleydyke.core.config import ServiceConfig
from bramleydyke.demo.http_traffic import HttpTraffic
from bramleydyke.demo.system import System
from bramleydyke.demo.tcp_traffic import TcpTraffic
from bramleydyke.demo.udp_traffic import UdpTraffic
from bramleydyke.types import Protocol

RATE_PER_SLOT = 2.0
"""Requests a second for each slot: a tenth of what 50 ms services can do.

The demo runs in one process, whose one core carries all nodes, upstreams and
callers.
"""


FLOWS_PER_SLOT = 3
"""Boards that are held open for each slot of a UDP service."""

DOWNLOADS_PER_SLOT = 0.5
"""Downloads a second for each slot of a TCP service."""


class Traffic(TypingProtocol):
    """Callers of one service.

    ``counts`` may have ``requests``, ``answered``, ``refused_not_run``,
    ``unknown``, ``wrong_answer``, ``wrong_service``, ``downloads``,
    ``refused_connections``, ``flows``, ``broken_flows`` and
    ``flows_lost_with_balancer``.
    """

    counts: Counter[str]
    errors: Counter[str]

    def start(self) -> None:
        """Starts to send."""

    def stop(self) -> None:
        """Starts nothing new."""

    def ended(self) -> bool:
        """Tells whether nothing is open."""


MakeTraffic = Callable[[System, ServiceConfig, random.Random], Traffic]


def http_traffic(
    system: System, service: ServiceConfig, random_source: random.Random
) -> Traffic:
    """Returns the callers of an HTTP service."""
    return HttpTraffic(
        environment=system.environment,
        service_id=service.service_id,
        address=service.addresses[0],
        rate=RATE_PER_SLOT * _slots(service),
        random_source=random_source,
    )


def udp_traffic(
    system: System, service: ServiceConfig, random_source: random.Random
) -> Traffic:
    """Returns the callers of a UDP service."""
    return UdpTraffic(
        environment=system.environment,
        service_id=service.service_id,
        address=service.addresses[0],
        flows=FLOWS_PER_SLOT * _slots(service),
        random_source=random_source,
    )


def tcp_traffic(
    system: System, service: ServiceConfig, random_source: random.Random
) -> Traffic:
    """Returns the callers of a TCP service."""
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
"""How to make the traffic of a protocol."""


def total_counts(traffic: Iterable[Traffic]) -> Counter[str]:
    """Returns the sums of all counts."""
    total: Counter[str] = Counter()
    for item in traffic:
        total.update(item.counts)
    return total
