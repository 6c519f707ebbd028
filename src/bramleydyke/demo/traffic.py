"""Traffic of each protocol, and what all traffic counts together."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol as TypingProtocol

from bramleydyke.core.config import ServiceConfig
from bramleydyke.daemons.environment import Environment
from bramleydyke.demo.http_traffic import HttpTraffic
from bramleydyke.types import Protocol

RATE_PER_SLOT = 2.0
"""Requests a second for each slot: a tenth of what 50 ms services can do.

The demo runs in one process, whose one core carries all nodes, upstreams and
callers.
"""


class Traffic(TypingProtocol):
    """Callers of one service.

    ``counts`` may have ``requests``, ``answered``, ``refused_not_run``,
    ``unknown``, ``wrong_answer``, ``flows``, ``broken_flows`` and
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


MakeTraffic = Callable[[Environment, ServiceConfig, random.Random], Traffic]


def http_traffic(
    environment: Environment, service: ServiceConfig, random_source: random.Random
) -> Traffic:
    """Returns the callers of an HTTP service."""
    slots = sum(spec.slots for spec in service.upstreams)
    return HttpTraffic(
        environment=environment,
        service_id=service.service_id,
        address=service.addresses[0],
        rate=RATE_PER_SLOT * slots,
        random_source=random_source,
    )


TRAFFIC: dict[Protocol, MakeTraffic] = {Protocol.HTTP: http_traffic}
"""How to make the traffic of a protocol.

Services of other protocols are in the sheets but get no traffic; an entry
here gives them some.
"""


def totals(traffic: Iterable[Traffic]) -> Counter[str]:
    """Returns the sums of all counts."""
    total: Counter[str] = Counter()
    for item in traffic:
        total.update(item.counts)
    return total
