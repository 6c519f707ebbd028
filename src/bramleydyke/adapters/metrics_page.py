"""Counters, gauges and latency histograms as a page for scrapers.

The library that writes the page is loaded with the first one: a process that
has to recover a service should not load it before it serves.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

CONTENT_TYPE = "text/plain; version=0.0.4"

BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histograms' buckets, in seconds."""


@dataclass(slots=True)
class Latencies:
    """Latencies by bucket; the last bucket takes those above all bounds."""

    buckets: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Adds a latency."""
        self.buckets[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Returns each bound and the number of latencies up to it."""
        bounds = [*map(str, BOUNDS_S), "+Inf"]
        return list(zip(bounds, accumulate(self.buckets), strict=True))


@dataclass(slots=True, kw_only=True, eq=False)
class MetricsPage:
    """Metrics of one process.

    Attributes:
        counts: Value of each counter, kept by the process.
        gauges: Returns what the process believes now, by name.
    """

    counts: dict[str, int]
    gauges: Callable[[], dict[str, float]]
    latencies: dict[str, Latencies] = field(default_factory=dict)

    def observe(self, name: str, seconds: float) -> None:
        """Adds a latency to a histogram."""
        self.latencies.setdefault(name, Latencies()).observe(seconds)

    def collect(self) -> Iterator[Any]:
        """Yields all metrics; the registry calls it for each page."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, value in sorted(self.counts.items()):
            full = f"bramleydyke_{name.replace('.', '_')}"
            yield CounterMetricFamily(full, f"Number of {name}.", value=value)
        for name, value in sorted(self.gauges().items()):
            full = f"bramleydyke_{name}"
            yield GaugeMetricFamily(full, f"Current {name}.", value=value)
        for name, latencies in sorted(self.latencies.items()):
            yield HistogramMetricFamily(
                f"bramleydyke_{name}_seconds",
                f"Latency of {name.replace('_', ' ')}.",
                buckets=latencies.cumulative(),
                sum_value=latencies.total_s,
            )

    def describe(self) -> list[Any]:
        """Names no metrics ahead: counters appear with their first event."""
        return []

    def render(self) -> bytes:
        """Returns the page."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
