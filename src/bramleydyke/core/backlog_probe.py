"""Backlog queries to the candidates of a placement."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.messages import BacklogReport
from bramleydyke.types import UpstreamId


@dataclass(slots=True, kw_only=True)
class BacklogProbe:
    """Collects the replies to the backlog queries of one placement.

    A report reserves no capacity at its agent. Candidates may therefore be
    probed while another agent holds the offer.

    Attributes:
        ask: Sequence number of the query within the placement.
        expires_at: Time at which the wait for reports ends, in seconds.
        awaited: Candidates that have not reported yet.
        draining: Candidates that reported that they are draining.
        backlogs: Backlog per slot of the other candidates that reported.
    """

    ask: int
    expires_at: float
    awaited: set[UpstreamId]
    draining: set[UpstreamId] = field(default_factory=set)
    backlogs: dict[UpstreamId, float] = field(default_factory=dict)

    def add_report(self, report: BacklogReport, *, unconfirmed: float) -> None:
        """Adds a report; ignores duplicates and reports of another probe.

        Args:
            report: Reply of an agent.
            unconfirmed: Offers per slot of this placer that the agent has not
                accepted yet; they are added to the reported backlog.
        """
        if report.ask != self.ask or report.upstream_id not in self.awaited:
            return
        self.awaited.remove(report.upstream_id)
        if report.draining:
            self.draining.add(report.upstream_id)
        else:
            self.backlogs[report.upstream_id] = report.backlog + unconfirmed

    def pending(self, *, now: float) -> bool:
        """Returns whether reports are missing and the probe is not expired."""
        return bool(self.awaited) and now < self.expires_at
