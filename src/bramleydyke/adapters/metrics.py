"""Counters: kept in the process and sent to statsd."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from statsd import StatsClient

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.messages import Count, Payload


@dataclass(slots=True)
class Metrics:
    """Counters of one process.

    Attributes:
        statsd: Client for the statsd server, or None if there is none.
        counts: Value of each counter since the start.
    """

    statsd: StatsClient | None = None
    counts: Counter[str] = field(default_factory=Counter)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counts[name] += amount
        if self.statsd is not None:
            self.statsd.incr(name, amount)

    def take(self, payload: Payload) -> None:
        """Takes a message to the metrics port."""
        if isinstance(payload, Count):
            self.count(payload.name, payload.amount)


def metrics_to(endpoint: str | None, *, prefix: str) -> Metrics:
    """Returns counters that go to a statsd server at ``ip:port``.

    Args:
        endpoint: The server, or None to keep the counters in the process.
        prefix: Put before each name.
    """
    address = None if endpoint is None else parse_endpoint(endpoint)
    if address is None:
        return Metrics()
    host, port = address
    return Metrics(StatsClient(host, port, prefix=prefix.replace("/", ".")))
