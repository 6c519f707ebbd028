"""State of the upstream on an agent's VM, derived from its reports."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple

from bramleydyke.direct.constants import LOST_REPORTS
from bramleydyke.direct.types import Lifetime, UpstreamState
from bramleydyke.types import ServiceId, UpstreamId

FIRST_SEQUENCE = 1
"""Sequence number of the first report in each lifetime of an upstream.

An upstream counts all its reports, also those that got no answer. Only the
first one shows that no earlier process of the agent had a report of the same
lifetime, after which it would have opened flows.
"""

CONFIRM_REPORTS = 1.5
"""Report intervals after which a start that seems to be earlier is believed.

In that time an upstream that runs sends at least one report, so if reports
come from the earlier start alone, they are not late ones.
"""


class ReportResult(Enum):
    """What an agent did with a report."""

    ACCEPTED = "accepted"
    WRONG_SERVICE = "wrong_service"
    """The upstream belongs to another service."""

    UNCONFIRMED = "unconfirmed"
    """The upstream says that it drains, but the report may be late."""


class LifetimeIdentity(NamedTuple):
    """Id and start of an upstream, in Unix milliseconds."""

    upstream: UpstreamId
    start_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Periodic report of an upstream to its agent.

    Attributes:
        lifetime: Number of the upstream's lifetime, larger for later ones:
            its start in Unix milliseconds, or more if the time of day was set
            back before the start.
        start_ms: Start of the upstream in Unix milliseconds, as it says.
        sequence: Number of the report within the lifetime.
        draining: True if the upstream accepts no new flows.
        slots: Number of requests that the upstream processes in parallel.
        cold_s: Time after this report for which the upstream is slow because
            it has just started, in seconds.
    """

    upstream: UpstreamId
    service: ServiceId
    lifetime: Lifetime
    start_ms: int
    sequence: int
    draining: bool
    slots: int = 1
    cold_s: float = 0.0

    @property
    def identity(self) -> LifetimeIdentity:
        """What identifies the lifetime, whatever its number."""
        return LifetimeIdentity(self.upstream, self.start_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class UnconfirmedLifetime:
    """A lifetime that reports although a later one is known.

    Either its reports are late, or the time of day was set back before the
    upstream started.

    Attributes:
        identity: Id and start of the upstream.
        sequence: Largest sequence number of its reports.
        since: When its first report arrived, in seconds.
    """

    identity: LifetimeIdentity
    sequence: int
    since: float


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
        unconfirmed: Lifetime that has reported since the last report of the
            known one, and is not confirmed yet.
        ended_unknown: Upstream that announced its end before anything was
            known of it.
    """

    report_interval_s: float
    report: Report | None = None
    reported_at: float = 0.0
    suspected: bool = False
    ended: bool = False
    started_after_agent: bool = False
    stored_report: Report | None = None
    unconfirmed: UnconfirmedLifetime | None = None
    ended_unknown: UpstreamId | None = None

    def restore(self, report: Report) -> bool:
        """Uses what an earlier process of the agent had stored or announced.

        It counts as the state of the upstream until the upstream reports. If
        this process numbered the upstream's lifetime without knowing of an
        earlier process's numbers, it is numbered again.

        Returns:
            True if the lifetime of the upstream that reports was renumbered.
        """
        if self.report is None:
            self.stored_report = report
            self.ended = self.ended or report.upstream == self.ended_unknown
            return False
        same = report.identity == self.report.identity
        number = Lifetime(report.lifetime if same else report.lifetime + 1)
        if number <= self.report.lifetime:
            return False
        self.report = replace(self.report, lifetime=number)
        return True

    @property
    def newest(self) -> Report | None:
        """The newest report; until one arrives, the stored report."""
        return self.stored_report if self.report is None else self.report

    def apply(self, report: Report, *, now: float) -> bool:
        """Applies a report that comes from the upstream as it now runs.

        Returns:
            False if the report is late or may be late.
        """
        known = self.newest
        if known is None:
            lifetime = report.lifetime
        elif report.identity == known.identity:
            if report.sequence <= known.sequence:
                return False
            lifetime = known.lifetime
        elif report.start_ms > known.start_ms or self._confirm(report, now=now):
            lifetime = Lifetime(max(report.lifetime, known.lifetime + 1))
        else:
            return False
        if self.report is None or lifetime > self.report.lifetime:
            self.ended = False
            self.started_after_agent = report.sequence <= FIRST_SEQUENCE
        self.report = replace(report, lifetime=lifetime)
        self.reported_at = now
        self.suspected = False
        self.unconfirmed = None
        return True

    def _confirm(self, report: Report, *, now: float) -> bool:
        """Returns whether a start that seems to be earlier is the last one.

        A late report is followed by reports of the upstream that runs. If none
        arrives but this one's sequence goes on, the known lifetime has ended.
        """
        earlier = self.unconfirmed
        if earlier is None or earlier.identity != report.identity:
            self.unconfirmed = UnconfirmedLifetime(
                identity=report.identity, sequence=report.sequence, since=now
            )
            return False
        if report.sequence <= earlier.sequence:
            return False
        self.unconfirmed = replace(earlier, sequence=report.sequence)
        return now - earlier.since >= CONFIRM_REPORTS * self.report_interval_s

    def mark_ended(self, upstream: UpstreamId) -> bool:
        """Marks the upstream as ended; returns False for another ID."""
        if self.newest is None:
            self.ended_unknown = upstream
            return False
        if self.newest.upstream != upstream:
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

    def has_ended(self, lifetime: Lifetime) -> bool:
        """Returns whether a lifetime has ended; 0 means unknown.

        A lifetime that was renumbered is known by its start, too.
        """
        if self.report is None or not lifetime:
            return False
        return lifetime < self.report.lifetime and lifetime != self.report.start_ms

    def state(self, *, now: float) -> UpstreamState | None:
        """Returns the state of the upstream; None before the first report.

        Until then, a stored report that does not show a drain counts as ready.
        While it is not known which lifetime runs, a ready upstream counts as
        silent.
        """
        if self.ended:
            return UpstreamState.GONE
        if self.report is None:
            ready = self.stored_report is not None and not self.stored_report.draining
            if not ready or self.suspected:
                return None
            return UpstreamState.SILENT if self.unconfirmed else UpstreamState.READY
        if self.report.draining:
            return UpstreamState.DRAINING
        overdue = now - self.reported_at > LOST_REPORTS * self.report_interval_s
        if self.suspected or overdue or self.unconfirmed:
            return UpstreamState.SILENT
        return UpstreamState.READY
