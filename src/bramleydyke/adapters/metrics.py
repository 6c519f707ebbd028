"""Counters that are kept in memory and, if configured, sent to statsd."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from statsd import StatsClient

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.messages import Count, Payload


@dataclass(slots=True)
class Metrics:
    """Counters of one node.

    Attributes:
        statsd: Client of the statsd server, or None if none is configured.
        counts: Value of each counter since the node was created, by name.
    """

    statsd: StatsClient | None = None
    counts: Counter[str] = field(default_factory=Counter)

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter, here and at the statsd server."""
        self.counts[name] += amount
        if self.statsd is not None:
            self.statsd.incr(name, amount)

    def handle(self, payload: Payload) -> None:
        """Handles a role's ``Count`` message; other messages are ignored."""
        if isinstance(payload, Count):
            self.count(payload.name, payload.amount)


def new_metrics(endpoint: str | None, *, prefix: str) -> Metrics:
    """Returns counters that are sent to a statsd server.

    Args:
        endpoint: ``ip:port`` of the server. With None or a malformed
            endpoint, the counters are only kept in memory.
        prefix: Prefix of all counter names; each ``/`` becomes a ``.``.
    """
    address = None if endpoint is None else parse_endpoint(endpoint)
    if address is None:
        return Metrics()
    host, port = address
    return Metrics(StatsClient(host, port, prefix=prefix.replace("/", ".")))
