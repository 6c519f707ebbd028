"""Decides which new flows open at an upstream, and when.

An upstream gets a limited number of requests at once. Further flows wait in
the agent's queue. The agent can still reorder or refuse them; the balancer
then offers them to other agents.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.core.timers import Timers
from bramleydyke.direct.constants import (
    COLD_FACTOR,
    REQUESTS_PER_SLOT,
    UPSTREAM_SILENT_S,
)
from bramleydyke.direct.messages import Load, Offer, Queued, Refused
from bramleydyke.direct.opening_queue import OpeningQueue, WaitingOpening
from bramleydyke.direct.ports import Count, Send
from bramleydyke.direct.types import FlowTuple, Packet, UpstreamState
from bramleydyke.direct.upstream_flows import UpstreamFlow, UpstreamFlows
from bramleydyke.direct.upstream_view import UpstreamView
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import ServiceId

REFUSALS = {
    None: ErrorKind.STALE_GENERATION,
    UpstreamState.DRAINING: ErrorKind.DRAINING,
    UpstreamState.SILENT: ErrorKind.UPSTREAM_FAILED,
    UpstreamState.PAUSED: ErrorKind.DRAINING,
    UpstreamState.GONE: ErrorKind.DRAINING,
}
"""Error kind for each state in which an upstream accepts no new flows.

The state is None before the first report.
"""


@dataclass(slots=True, kw_only=True)
class Admission:
    """Accepts, queues or refuses new flows of one upstream.

    Attributes:
        service: Service of the upstream.
        forward_to_upstream: Forwards a caller's packet to the upstream.
        stopping: True once this process is about to stop.
        queue: Opening packets that wait for capacity at the upstream.
        unanswered: Timeouts of opening packets that the upstream has not
            answered.
    """

    service: ServiceId
    view: UpstreamView
    flows: UpstreamFlows
    send: Send
    forward_to_upstream: Callable[[Packet], None]
    count: Count
    stopping: bool = False
    queue: OpeningQueue = field(default_factory=OpeningQueue)
    unanswered: Timers[FlowTuple] = field(default_factory=Timers)

    def offered(self, opening: WaitingOpening, offer: Offer, *, now: float) -> None:
        """Opens a flow, queues its packet or refuses it.

        The packet is queued only if the balancer allows it or if the queue
        already has an opening packet of the flow.
        """
        flow = opening.packet.flow
        kind = self.refusal(offer.service, now=now)
        if kind is not None:
            self._refuse(opening, kind, now=now)
        elif self._has_capacity(now=now):
            self._open(opening, now=now)
        elif offer.may_wait or flow in self.queue.waiting:
            surplus = self.queue.add(opening, now=now)
            self.send(opening.balancer, Queued(flow, self.load(now=now)))
            if surplus is not None:
                self._refuse(surplus, ErrorKind.BUSY, now=now)
        else:
            self._refuse(opening, ErrorKind.BUSY, now=now)

    def refusal(self, service: ServiceId, *, now: float) -> ErrorKind | None:
        """Returns why a new flow cannot open now, or None if it can."""
        if service != self.service:
            return ErrorKind.WRONG_SERVICE
        if self.stopping:
            return ErrorKind.DRAINING
        return REFUSALS.get(self.view.state(now=now))

    def load(self, *, now: float) -> Load:
        """Returns the upstream's load, including the flows in the queue."""
        self.flows.expire_requests(now=now)
        return self.flows.load(
            self.view.slots, factor=self._slowdown(now=now), waiting=len(self.queue)
        )

    def open_queued(self, *, now: float) -> None:
        """Opens queued flows while the upstream has capacity."""
        if not self.queue or self.refusal(self.service, now=now) is not None:
            return
        while self.queue and self._has_capacity(now=now):
            self._open(self.queue.pop(), now=now)

    def check_queue(self, *, now: float) -> None:
        """Refuses all queued flows if the upstream accepts no new flows."""
        kind = self.refusal(self.service, now=now)
        if kind is not None:
            for opening in self.queue.clear():
                self._refuse(opening, kind, now=now)

    def next_wakeup(self) -> float:
        """Returns when ``wake`` must be called next; infinity if never."""
        times = (self.unanswered.next(), self.queue.timers.next())
        return min((time for time in times if time is not None), default=float("inf"))

    def wake(self, *, now: float) -> bool:
        """Handles expired timeouts and opens queued flows.

        Returns:
            True if the upstream did not answer an opening packet and was not
            suspected before.
        """
        silent = [
            flow
            for flow in self.unanswered.pop_due(now)
            if (known := self.flows.flows.get(flow)) is not None
            and known.first_sequence is None
        ]
        for flow in silent:
            self.flows.remove(flow)
        newly_silent = bool(silent) and not self.view.suspected
        if newly_silent:
            self.view.suspected = True
            self.count(counter_name(ErrorKind.UPSTREAM_FAILED, action="suspected"))
        self.check_queue(now=now)
        # After a pause, all flows that were queued before it are overdue.
        for opening in self.queue.pop_overdue(now=now):
            self._refuse(opening, ErrorKind.BUSY, now=now)
        self.open_queued(now=now)
        return newly_silent

    def _open(self, opening: WaitingOpening, *, now: float) -> None:
        """Adds a new flow and forwards its opening packet to the upstream."""
        flow = opening.packet.flow
        self.flows.add(flow, UpstreamFlow(opening.balancer, self.view.lifetime, now))
        self.flows.add_request(flow, now=now)
        self.unanswered.set(flow, now + UPSTREAM_SILENT_S)
        self.forward_to_upstream(opening.packet)

    def _refuse(self, opening: WaitingOpening, kind: ErrorKind, *, now: float) -> None:
        self.count(counter_name(kind))
        refused = Refused(opening.packet.flow, kind, self.load(now=now))
        self.send(opening.balancer, refused)

    def _has_capacity(self, *, now: float) -> bool:
        """Returns whether the upstream may get another request now."""
        self.flows.expire_requests(now=now)
        load = self.flows.load(self.view.slots, factor=self._slowdown(now=now))
        return load.requests < REQUESTS_PER_SLOT

    def _slowdown(self, *, now: float) -> float:
        """Returns the factor by which requests currently take longer."""
        return COLD_FACTOR if self.view.is_cold(now=now) else 1.0
