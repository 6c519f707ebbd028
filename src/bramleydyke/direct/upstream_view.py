"""State of the upstream on an agent's VM, derived from its reports."""

from __future__ import annotations

from dataclasses import dataclass

from bramleydyke.direct.constants import LOST_REPORTS
from bramleydyke.direct.types import Lifetime, UpstreamState
from bramleydyke.types import ServiceId, UpstreamId

FIRST_SEQUENCE = 1
"""Sequence number of the first report in each lifetime of an upstream.

An upstream counts all its reports, also those that got no answer. Only the
first one shows that no earlier process of the agent had a report of the same
lifetime, after which it would have opened flows.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Periodic report of an upstream to its agent.

    Attributes:
        lifetime: Start of the upstream in Unix milliseconds.
        sequence: Number of the report within the lifetime.
        draining: True if the upstream accepts no new flows.
        slots: Number of requests that the upstream processes in parallel.
        cold_s: Time after this report for which the upstream is slow because
            it has just started, in seconds.
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
    """State of the upstream as known to its agent.

    An agent that has just started accepts no new flow before the first report,
    because the upstream may have begun to drain before the agent's restart.
    If the stored entry shows that the upstream is not draining, the agent does
    not wait for a report: a drain is stored before it is acknowledged.

    Attributes:
        report_interval_s: Expected time between two reports, in seconds.
        report: Newest report that this process has received.
        reported_at: When ``report`` arrived, in seconds.
        suspected: True if an opening packet got no answer after ``report``.
        ended: True once the upstream has announced its end.
        started_after_agent: True if the upstream started after this process,
            so that this process has seen all of its flows.
        stored_report: Report from the store, received before this process
            started.
    """

    report_interval_s: float
    report: Report | None = None
    reported_at: float = 0.0
    suspected: bool = False
    ended: bool = False
    started_after_agent: bool = False
    stored_report: Report | None = None

    def restore(self, report: Report) -> None:
        """Uses a report from the store until the upstream sends one."""
        self.stored_report = report

    @property
    def newest(self) -> Report | None:
        """The newest report; until one arrives, the stored report."""
        return self.stored_report if self.report is None else self.report

    def apply(self, report: Report, *, now: float) -> bool:
        """Applies a report; returns False if a newer or equal one is known."""
        old = self.report
        newest = self.newest
        if newest is not None and _order(report) <= _order(newest):
            return False
        if old is None or report.lifetime > old.lifetime:
            self.ended = False
            self.started_after_agent = report.sequence <= FIRST_SEQUENCE
        self.report = report
        self.reported_at = now
        self.suspected = False
        return True

    def mark_ended(self, upstream: UpstreamId) -> bool:
        """Marks the upstream as ended; returns False for another ID."""
        if self.newest is None or self.newest.upstream != upstream:
            return False
        self.ended = True
        return True

    @property
    def slots(self) -> int:
        """Number of requests that the upstream processes in parallel."""
        return 1 if self.newest is None else max(1, self.newest.slots)

    def is_cold(self, *, now: float) -> bool:
        """Returns whether the upstream is slow because it has just started."""
        return self.report is not None and now < self.reported_at + self.report.cold_s

    @property
    def lifetime(self) -> Lifetime:
        """Lifetime of the upstream; 0 before the first report arrives."""
        return Lifetime(0) if self.report is None else self.report.lifetime

    def state(self, *, now: float) -> UpstreamState | None:
        """Returns the state of the upstream; None before the first report.

        Until then, a stored report that does not show a drain counts as ready.
        """
        if self.ended:
            return UpstreamState.GONE
        if self.report is None:
            ready = self.stored_report is not None and not self.stored_report.draining
            return UpstreamState.READY if ready and not self.suspected else None
        if self.report.draining:
            return UpstreamState.DRAINING
        overdue = now - self.reported_at > LOST_REPORTS * self.report_interval_s
        if self.suspected or overdue:
            return UpstreamState.SILENT
        return UpstreamState.READY


def _order(report: Report) -> tuple[int, int]:
    return (report.lifetime, report.sequence)
