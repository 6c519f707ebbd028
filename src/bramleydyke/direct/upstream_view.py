"""What an agent believes about the upstream on its VM."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.direct.constants import LOST_REPORTS
from bramleydyke.direct.types import Lifetime, UpstreamState
from bramleydyke.types import ServiceId, UpstreamId

FIRST_SEQUENCES = 2
"""A first report numbered up to this is of an upstream that just started."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What an upstream says of itself.

    Attributes:
        lifetime: Start of the upstream in Unix milliseconds.
        sequence: Number of the report within the lifetime.
        slots: Requests that it works on at once.
        cold_s: Time for which the upstream is still slow after its start.
    """

    upstream: UpstreamId
    service: ServiceId
    lifetime: Lifetime
    sequence: int
    draining: bool
    slots: int = 1
    cold_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class UpstreamView:
    """The newest report and what followed from it.

    An agent that has just started takes no new flow before the first report,
    because the upstream may have drained under an earlier process, unless the
    stored entry says that it has not: a drain is stored before it is
    acknowledged.

    Attributes:
        reported_at: When the last report arrived, in seconds.
        suspected: True if an opening packet got no answer since then.
        ended: True if the upstream has said that it is gone.
        seen_from_start: True if it started under this process.
        recalled: Report that an earlier process took and stored.
    """

    report_interval_s: float
    report: Report | None = None
    reported_at: float = 0.0
    suspected: bool = False
    ended: bool = False
    seen_from_start: bool = False
    recalled: Report | None = None

    def recall(self, report: Report) -> None:
        """Takes a report that an earlier process stored."""
        self.recalled = report

    @property
    def newest(self) -> Report | None:
        """The newest report, which an earlier process may have taken."""
        return self.recalled if self.report is None else self.report

    def take(self, report: Report, *, now: float) -> bool:
        """Takes a report; returns False if a later one is known."""
        old = self.report
        newest = self.newest
        if newest is not None and _order(report) <= _order(newest):
            return False
        if old is None or report.lifetime > old.lifetime:
            self.ended = False
            self.seen_from_start = old is not None or report.sequence <= FIRST_SEQUENCES
        self.report = report
        self.reported_at = now
        self.suspected = False
        return True

    def left(self, upstream: UpstreamId) -> bool:
        """Notes that an upstream is gone; False if it is another one."""
        if self.newest is None or self.newest.upstream != upstream:
            return False
        self.ended = True
        return True

    @property
    def slots(self) -> int:
        """Requests that the upstream works on at once."""
        return 1 if self.newest is None else max(1, self.newest.slots)

    def cold(self, *, now: float) -> bool:
        """Tells whether the upstream is still slow after its start."""
        return self.report is not None and now < self.reported_at + self.report.cold_s

    @property
    def lifetime(self) -> Lifetime:
        """Lifetime of the upstream; 0 before the first report."""
        return Lifetime(0) if self.report is None else self.report.lifetime

    def state(self, *, now: float) -> UpstreamState | None:
        """Returns the state, or None if nothing is known."""
        if self.ended:
            return UpstreamState.GONE
        if self.report is None:
            ready = self.recalled is not None and not self.recalled.draining
            return UpstreamState.READY if ready and not self.suspected else None
        if self.report.draining:
            return UpstreamState.DRAINING
        overdue = now - self.reported_at > LOST_REPORTS * self.report_interval_s
        if self.suspected or overdue:
            return UpstreamState.SILENT
        return UpstreamState.READY


def _order(report: Report) -> tuple[int, int]:
    return (report.lifetime, report.sequence)
