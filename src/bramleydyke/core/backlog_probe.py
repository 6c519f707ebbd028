"""Asks candidates for their backlog while one of them has the offer."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.messages import BacklogReport
from bramleydyke.types import UpstreamId


@dataclass(slots=True, kw_only=True)
class Probe:
    """The backlog reports that one placement waits for.

    A report promises nothing, so a probe may run while another agent has the
    offer: the request itself stays at one agent.

    Attributes:
        ask: Number of the probe within the placement.
        until: When reports are no longer waited for.
        awaited: Candidates that have not reported.
        draining: Candidates that reported that they are leaving.
        backlogs: Backlog per slot of the others that reported.
    """

    ask: int
    until: float
    awaited: set[UpstreamId]
    draining: set[UpstreamId] = field(default_factory=set)
    backlogs: dict[UpstreamId, float] = field(default_factory=dict)

    def take(self, report: BacklogReport, *, unconfirmed: float) -> None:
        """Takes a report of this probe.

        Args:
            report: The agent's reply.
            unconfirmed: Own offers per slot that the agent had not seen.
        """
        if report.ask != self.ask or report.upstream_id not in self.awaited:
            return
        self.awaited.remove(report.upstream_id)
        if report.draining:
            self.draining.add(report.upstream_id)
        else:
            self.backlogs[report.upstream_id] = report.backlog + unconfirmed

    def pending(self, *, now: float) -> bool:
        """Tells whether more reports are worth waiting for."""
        return bool(self.awaited) and now < self.until
