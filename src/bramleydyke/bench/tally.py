"""What one run of the load experiment counts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bramleydyke.bench.topology import MEAN_SERVICE_S

WINDOW_S = 10.0
"""Length of a window in which the imbalance is taken."""

WARM_UP_S = WINDOW_S
"""Requests and windows before this are left out: the system starts empty."""

_MAX_WAIT_US = 3_600_000_000
_DIGITS = 3


def wait_histogram() -> HdrHistogram:
    """Returns an empty histogram of waits in microseconds."""
    return HdrHistogram(1, _MAX_WAIT_US, _DIGITS)


@dataclass(slots=True)
class Tally:
    """Waits, busy time and ends of the requests of one run.

    Attributes:
        weights: Weight of each upstream.
        waits: From arrival at the balancer until the upstream starts, in
            microseconds; no delay is taken off.
        busy: Slot-seconds of each upstream in each window.
        counts: Requests by how they ended, and messages by type.
    """

    weights: list[float]
    waits: HdrHistogram = field(default_factory=wait_histogram)
    busy: dict[int, list[float]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def started(self, *, arrived_at: float, now: float) -> None:
        """Notes the wait of a request that starts at an upstream."""
        if arrived_at >= WARM_UP_S:
            self.waits.record_value(max(1, round((now - arrived_at) * 1e6)))

    def ran(self, upstream: int, *, start: float, end: float) -> None:
        """Adds the slot-seconds of a request to the windows that it spans."""
        while start < end:
            window = int(start // WINDOW_S)
            cut = min(end, (window + 1) * WINDOW_S)
            busy = self.busy.setdefault(window, [0.0] * len(self.weights))
            busy[upstream] += cut - start
            start = cut

    def imbalance(self, duration_s: float) -> float:
        """Returns the mean over windows of the largest over the mean."""
        first, last = int(WARM_UP_S // WINDOW_S), int(duration_s // WINDOW_S)
        ratios = [
            self._ratio(self.busy[window])
            for window in range(first, last)
            if window in self.busy
        ]
        return sum(ratios) / len(ratios)

    def p99_wait(self) -> float:
        """Returns the 99th percentile wait in mean service times."""
        return self.waits.get_value_at_percentile(99.0) / 1e6 / MEAN_SERVICE_S

    def _ratio(self, busy: list[float]) -> float:
        pairs = zip(busy, self.weights, strict=True)
        shares = [time / weight for time, weight in pairs]
        return max(shares) * len(shares) / sum(shares)
