"""What an agent does with the reports of its upstream.

Besides the upstream's own reports, an agent gets what its earlier process had
reported: the entry in the store, and reminders of balancers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bramleydyke.direct.announcer import Announcer
from bramleydyke.direct.entries import entry_of
from bramleydyke.direct.messages import Announcement
from bramleydyke.direct.ports import Count, Record
from bramleydyke.direct.types import UpstreamState
from bramleydyke.direct.upstream_flows import UpstreamFlows
from bramleydyke.direct.upstream_view import Report, ReportResult, UpstreamView
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import ServiceId, UpstreamId

LEAVING_STATES = frozenset({UpstreamState.DRAINING, UpstreamState.GONE})
"""States in which a drain is in force."""


@dataclass(slots=True, kw_only=True)
class UpstreamReports:
    """Applies reports to the state of one upstream and announces changes.

    Attributes:
        service: Service of the upstream.
        view: State of the upstream.
        flows: Flows of the upstream, which follow the number of its lifetime.
        announcer: Sends the state to balancers.
        announce: Announces the state, after queued flows were checked.
        check_queue: Refuses queued flows if the upstream takes no new ones.
    """

    service: ServiceId
    view: UpstreamView
    flows: UpstreamFlows
    announcer: Announcer
    announce: Callable[..., None]
    check_queue: Callable[..., None]
    count: Count
    record: Record

    def report(self, report: Report, *, now: float) -> ReportResult:
        """Applies a report of the upstream and announces the new state.

        A drain that was not applied, because the report is late or may be
        late, is not in force unless an earlier report had the same effect.
        """
        if report.service != self.service:
            self.count(counter_name(ErrorKind.WRONG_SERVICE))
            return ReportResult.WRONG_SERVICE
        if self.view.apply(report, now=now):
            self.announcer.revision = 0
            self.announce(now=now)
            return ReportResult.ACCEPTED
        self.count("late.reports")
        if self.view.unconfirmed is not None:
            self.record(
                "lifetime_unconfirmed",
                upstream=report.upstream,
                start_ms=report.start_ms,
                sequence=report.sequence,
                lifetime=self.view.lifetime,
            )
            self.announce(now=now)
        if report.draining and self.view.state(now=now) not in LEAVING_STATES:
            return ReportResult.UNCONFIRMED
        return ReportResult.ACCEPTED

    def restore(self, report: Report, *, now: float) -> None:
        """Restores a report that was stored before this agent's restart.

        The upstream is announced at once, so that balancers that got no answer
        during the restart use the agent again.
        """
        earlier = self.view.lifetime
        if self.view.restore(report):
            self.flows.renumber(earlier, self.view.lifetime)
            self.announcer.revision = 0
            self.record(
                "lifetime_renumbered", earlier=earlier, lifetime=self.view.lifetime
            )
            self.announce(now=now)
        elif self.view.report is None:
            self.announce(now=now)

    def reminded(self, announced: Announcement, *, now: float) -> None:
        """Adopts what an earlier process of this agent had announced.

        Once the upstream has reported to this process, only the number of its
        lifetime may change, which must be above that of any earlier upstream
        of this VM.
        """
        report = entry_of(announced).report()
        if self.view.report is not None:
            self.restore(report, now=now)
            return
        stored = self.view.stored_report
        outdated = stored is not None and announced.lifetime < stored.lifetime
        if announced.service != self.service or outdated:
            return
        self.record(
            "state_recalled",
            upstream=announced.upstream,
            state=announced.state.value,
            lifetime=announced.lifetime,
            sequence=announced.sequence,
        )
        self.view.restore(report)
        self.check_queue(now=now)

    def ended(self, upstream: UpstreamId, *, now: float) -> None:
        """Handles an upstream's notice that it has ended."""
        if self.view.mark_ended(upstream):
            self.announce(now=now)
