"""Metrics page in the Prometheus text format.

``prometheus_client`` is imported when the first page is requested, because
the import would delay the startup of a process that has to restore a service.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

CONTENT_TYPE = "text/plain; version=0.0.4"

BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histogram buckets, in seconds."""


@dataclass(slots=True)
class LatencyHistogram:
    """Histogram of latencies.

    Attributes:
        buckets: Number of latencies in each bucket of ``BOUNDS_S``, not
            cumulative. The last one counts those above all bounds.
        total_s: Sum of all latencies, in seconds.
    """

    buckets: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Records a latency.

        A value equal to the bound of a bucket is counted in that bucket.
        """
        self.buckets[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Returns pairs of a bound and the number of latencies up to it.

        This is the form that Prometheus uses; the last bound is ``+Inf``.
        """
        bounds = [*map(str, BOUNDS_S), "+Inf"]
        return list(zip(bounds, accumulate(self.buckets), strict=True))


@dataclass(slots=True, kw_only=True, eq=False)
class MetricsPage:
    """Collects the metrics of one process and renders them for Prometheus.

    Attributes:
        counts: Value of each counter by name; the process updates this dict.
        gauges: Called for each page; returns the current gauges by name.
        latencies: Latency histograms by name.
    """

    counts: dict[str, int]
    gauges: Callable[[], dict[str, float]]
    latencies: dict[str, LatencyHistogram] = field(default_factory=dict)

    def observe(self, name: str, seconds: float) -> None:
        """Records a latency in a histogram, which is created if needed."""
        self.latencies.setdefault(name, LatencyHistogram()).observe(seconds)

    def collect(self) -> Iterator[Any]:
        """Yields all metrics; called by the Prometheus registry."""
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
        """Returns no metrics: counters exist only from their first event.

        The registry calls this at registration to detect duplicate names.
        """
        return []

    def render(self) -> bytes:
        """Renders the current metrics as the body of an HTTP response."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
