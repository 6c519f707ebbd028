"""Counters, gauges and latency histograms as a page for scrapers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

CONTENT_TYPE = "text/plain; version=0.0.4"

BOUNDS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histograms' buckets, in seconds."""


class MetricsPage:
    """Metrics of one process.

    Attributes:
        counts: Value of each counter, kept by the process.
        gauges: Returns what the process believes now, by name.
    """

    def __init__(
        self, *, counts: dict[str, int], gauges: Callable[[], dict[str, float]]
    ) -> None:
        self.counts = counts
        self.gauges = gauges
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.histograms: dict[str, Histogram] = {}

    def observe(self, name: str, seconds: float) -> None:
        """Adds a latency to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram(
                f"bramleydyke_{name}_seconds",
                f"Latency of {name.replace('_', ' ')}.",
                buckets=BOUNDS_S,
                registry=self.registry,
            )
        histogram.observe(seconds)

    def collect(self) -> Iterator[Any]:
        """Yields counters and gauges; the registry calls it for each page."""
        for name, value in sorted(self.counts.items()):
            full = f"bramleydyke_{name.replace('.', '_')}"
            yield CounterMetricFamily(full, f"Number of {name}.", value=value)
        for name, value in sorted(self.gauges().items()):
            full = f"bramleydyke_{name}"
            yield GaugeMetricFamily(full, f"Current {name}.", value=value)

    def describe(self) -> list[Any]:
        """Names no metrics ahead: counters appear with their first event."""
        return []

    def render(self) -> bytes:
        """Returns the page."""
        return generate_latest(self.registry)
