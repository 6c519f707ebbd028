"""Queue of opening packets at an agent whose upstream has no capacity.

The most urgent packets leave first. Among equally urgent packets the newest
leaves first: it can still be served in time, while the oldest are late in any
case. Under overload, the upstream still serves about as many callers in time
as its capacity allows.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.core.timers import Timers
from bramleydyke.direct.constants import MAX_QUEUED, QUEUE_S
from bramleydyke.direct.types import FlowTuple, NodeIp, Packet


@dataclass(slots=True)
class WaitingOpening:
    """An opening packet in the queue.

    Attributes:
        balancer: Balancer that offered the packet and gets the answer.
        priority: Priority of the flow's route; 0 is the most urgent.
        arrived_at: When the balancer received the packet, in seconds of the
            agent's clock.
    """

    balancer: NodeIp
    packet: Packet
    priority: int
    arrived_at: float

    def rank(self) -> tuple[int, float]:
        """Returns a sort key; the smallest key leaves the queue first."""
        return (self.priority, -self.arrived_at)


@dataclass(slots=True)
class OpeningQueue:
    """Up to ``MAX_QUEUED`` waiting opening packets, by flow.

    Attributes:
        waiting: Packets in the queue, by flow.
        timers: When each packet will have waited for ``QUEUE_S``.
    """

    waiting: dict[FlowTuple, WaitingOpening] = field(default_factory=dict)
    timers: Timers[FlowTuple] = field(default_factory=Timers)

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, opening: WaitingOpening, *, now: float) -> WaitingOpening | None:
        """Adds a packet; returns the one that leaves a full queue, if any.

        That may be the new packet itself.
        """
        flow = opening.packet.flow
        self.waiting[flow] = opening
        self.timers.set(flow, now + QUEUE_S)
        if len(self.waiting) <= MAX_QUEUED:
            return None
        return self._remove(max(self.waiting.values(), key=WaitingOpening.rank))

    def pop(self) -> WaitingOpening:
        """Removes and returns the packet to serve first."""
        return self._remove(min(self.waiting.values(), key=WaitingOpening.rank))

    def pop_overdue(self, *, now: float) -> list[WaitingOpening]:
        """Removes and returns the packets that have waited for ``QUEUE_S``."""
        return [self.waiting.pop(flow) for flow in self.timers.pop_due(now)]

    def clear(self) -> list[WaitingOpening]:
        """Removes and returns all packets."""
        return [self._remove(opening) for opening in list(self.waiting.values())]

    def _remove(self, opening: WaitingOpening) -> WaitingOpening:
        flow = opening.packet.flow
        del self.waiting[flow]
        self.timers.cancel(flow)
        return opening
