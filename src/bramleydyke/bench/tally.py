"""Statistics of the requests of one simulation."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bramleydyke.bench.topology import MEAN_SERVICE_S

WINDOW_S = 10.0
"""Length of the time windows for which the imbalance is computed."""

WARM_UP_S = WINDOW_S
"""Time at the start that is not measured, as the system starts empty."""

_MAX_WAIT_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


def wait_histogram() -> HdrHistogram:
    """Returns an empty histogram of waits in microseconds."""
    return HdrHistogram(1, _MAX_WAIT_US, _SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class RunStatistics:
    """Waits, busy time and outcomes of the requests of one simulation.

    Attributes:
        weights: Weight of each upstream.
        waits: Microseconds from arrival at the balancer until the request
            starts at the upstream; network delays are included.
        busy: Slot-seconds of each upstream, by the index of the window.
        counts: Requests by outcome, and sent messages by type.
    """

    weights: list[float]
    waits: HdrHistogram = field(default_factory=wait_histogram)
    busy: dict[int, list[float]] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def record_start(self, *, arrived_at: float, now: float) -> None:
        """Records the wait of a request that starts now at an upstream."""
        if arrived_at >= WARM_UP_S:
            self.waits.record_value(max(1, round((now - arrived_at) * 1e6)))

    def record_run(self, upstream: int, *, start: float, end: float) -> None:
        """Adds an ended request's slot-seconds to each window it spans."""
        while start < end:
            window = int(start // WINDOW_S)
            segment_end = min(end, (window + 1) * WINDOW_S)
            busy = self.busy.setdefault(window, [0.0] * len(self.weights))
            busy[upstream] += segment_end - start
            start = segment_end

    def imbalance(self, duration_s: float) -> float:
        """Returns the mean imbalance of the measured windows.

        The imbalance of a window is the largest busy time of an upstream
        divided by the mean, both relative to the weights; 1 is balanced.
        """
        first, last = int(WARM_UP_S // WINDOW_S), int(duration_s // WINDOW_S)
        ratios = [
            self._window_imbalance(self.busy[window])
            for window in range(first, last)
            if window in self.busy
        ]
        return sum(ratios) / len(ratios)

    def p99_wait(self) -> float:
        """Returns the 99th percentile of the waits, in mean service times."""
        return self.waits.get_value_at_percentile(99.0) / 1e6 / MEAN_SERVICE_S

    def _window_imbalance(self, busy: list[float]) -> float:
        pairs = zip(busy, self.weights, strict=True)
        shares = [time / weight for time, weight in pairs]
        return max(shares) * len(shares) / sum(shares)
