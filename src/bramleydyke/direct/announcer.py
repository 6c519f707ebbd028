"""Announces the state of an agent's upstream to balancers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.core.rendezvous import owner_order
from bramleydyke.direct.constants import ANNOUNCE_FANOUT, ANNOUNCE_INTERVAL_S
from bramleydyke.direct.messages import Announcement, Load
from bramleydyke.direct.ports import Record, Send
from bramleydyke.direct.types import NodeIp, UpstreamState
from bramleydyke.direct.upstream_view import UpstreamView
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId


@dataclass(slots=True, kw_only=True)
class Announcer:
    """Sends the state of one upstream to balancers.

    Attributes:
        node: IP address of the agent's VM.
        load: Returns the upstream's load at a time in seconds.
        balancers: Known balancers; up to ``ANNOUNCE_FANOUT`` of them get each
            announcement. The values are unused.
        stopping: True once the agent is about to stop.
        revision: Number of announcements since the upstream's last report.
        last_state: State in the last announcement, to log only changes.
        due_at: When the next periodic announcement is due, in seconds.
    """

    node: NodeIp
    zone: AvailabilityZone
    service: ServiceId
    view: UpstreamView
    load: Callable[[float], Load]
    send: Send
    record: Record
    balancers: dict[NodeIp, None] = field(default_factory=dict)
    stopping: bool = False
    revision: int = 0
    last_state: UpstreamState | None = None
    due_at: float = 0.0

    def add_balancer(self, node: NodeIp) -> bool:
        """Adds a balancer that may get announcements; returns True if new."""
        if node in self.balancers:
            return False
        self.balancers[node] = None
        return True

    def announcement(self, *, now: float) -> Announcement | None:
        """Returns the announcement to send; None before the first report."""
        state = self.view.state(now=now)
        report = self.view.newest
        if state is None or report is None:
            return None
        if self.stopping and state is not UpstreamState.GONE:
            state = UpstreamState.PAUSED
        return Announcement(
            node=self.node,
            zone=self.zone,
            service=self.service,
            upstream=report.upstream,
            lifetime=report.lifetime,
            sequence=report.sequence,
            revision=self.revision,
            state=state,
            load=self.load(now),
            slots=self.view.slots,
            start_ms=0 if report.start_ms == report.lifetime else report.start_ms,
        )

    def announce(self, *, now: float) -> None:
        """Sends the upstream's state to the balancers of ``_recipients``."""
        self.due_at = now + ANNOUNCE_INTERVAL_S
        self.revision += 1
        announcement = self.announcement(now=now)
        if announcement is None:
            return
        if announcement.state is not self.last_state:
            self.last_state = announcement.state
            self.record(
                "upstream_state",
                upstream=announcement.upstream,
                state=announcement.state.value,
                lifetime=announcement.lifetime,
                sequence=announcement.sequence,
            )
        for balancer in self._recipients():
            self.send(balancer, announcement)

    def announce_to(self, balancer: NodeIp, *, now: float) -> None:
        """Sends the upstream's state to one balancer."""
        announcement = self.announcement(now=now)
        if announcement is not None:
            self.send(balancer, announcement)

    def _recipients(self) -> list[NodeIp]:
        """Returns at most ``ANNOUNCE_FANOUT`` balancers, chosen by rendezvous.

        The choice is stable: the same balancers get each announcement, and
        they relay changes to the others.
        """
        if len(self.balancers) <= ANNOUNCE_FANOUT:
            return list(self.balancers)
        weights = dict.fromkeys(map(UpstreamId, self.balancers), 1.0)
        order = owner_order(self.node.encode(), weights)
        return [NodeIp(node) for node in order[:ANNOUNCE_FANOUT]]
