"""Choice of the balancer through which an agent answers a flow.

Any balancer can send from a service address. An upstream may send packets for
hours while the caller sends none, so the agent itself must detect that the
balancer that forwarded the caller's last packet has stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bramleydyke.core.probes import Probes
from bramleydyke.messages import Envelope, FlowAlive, FlowProbe
from bramleydyke.types import FlowId, NodeId, ServiceId

PROBE_AFTER_SILENCE_S = 2.0
"""Silence after which a balancer is probed at its next use."""

LEAVING_NOTICE_TTL_S = 30.0
"""Validity of a balancer's notice that it will stop.

The balancer repeats the notice while answers are sent through it.
"""


@dataclass(slots=True, kw_only=True)
class ReturnPath:
    """Tracks which balancers an agent can send answers through.

    Attributes:
        known_balancers: Returns the balancers that the agent knows from
            announcements and from its seed list.
        probes: Unanswered probes of balancers, and the time of the last
            message from each balancer.
        silent: Balancers that answered none of their probes and have sent no
            message since.
        leaving: Balancers that announced their stop, and the time at which the
            notice expires. Notices expire because a restarted balancer may
            have the same name.
    """

    node_id: NodeId
    service_id: ServiceId
    known_balancers: Callable[[], Iterable[NodeId]]
    probes: Probes = field(default_factory=Probes)
    silent: set[NodeId] = field(default_factory=set)
    leaving: dict[NodeId, float] = field(default_factory=dict)

    def heard(self, node_id: NodeId, *, now: float) -> None:
        """Records that a message from a balancer arrived."""
        self.probes.heard(node_id, now=now)
        self.silent.discard(node_id)

    def alive(self, sender: NodeId, message: FlowAlive, *, now: float) -> None:
        """Handles a balancer's reply to a probe, or its notice of a stop."""
        self.heard(sender, now=now)
        if message.leaving:
            self.leaving[sender] = now + LEAVING_NOTICE_TTL_S
        else:
            self.leaving.pop(sender, None)

    def choose(self, preferred: NodeId, *, now: float) -> NodeId:
        """Returns the balancer that sends an answer to the caller.

        Returns the preferred balancer if it is usable, else the usable one
        with the most recent message. If none is usable, returns the preferred
        one.
        """
        if self._usable(preferred, now=now):
            return preferred
        heard_at = self.probes.heard_at
        known = dict.fromkeys([*heard_at, *self.known_balancers()])
        usable = [node for node in known if self._usable(node, now=now)]
        if usable:
            return max(usable, key=lambda node: (heard_at.get(node, 0.0), node))
        return preferred

    def _usable(self, node_id: NodeId, *, now: float) -> bool:
        return node_id not in self.silent and self.leaving.get(node_id, now) <= now

    def probe(self, balancer: NodeId, flow_id: FlowId, *, now: float) -> list[Envelope]:
        """Probes a balancer that was silent for ``PROBE_AFTER_SILENCE_S``.

        Does nothing while a probe is pending.
        """
        if balancer in self.probes.pending or self.probes.heard_within(
            balancer, PROBE_AFTER_SILENCE_S, now=now
        ):
            return []
        probe = FlowProbe(flow_id=flow_id, service_id=self.service_id)
        self.probes.start(balancer, probe, now=now)
        return [Envelope(self.node_id, balancer, probe)]

    def wake(self, *, now: float) -> list[Envelope]:
        """Repeats unanswered probes and marks balancers that answered none."""
        repeated, silent = self.probes.due(now=now)
        for node_id in silent:
            self.silent.add(node_id)
            self.probes.heard_at.pop(node_id, None)
        return [Envelope(self.node_id, node, probe) for node, probe in repeated]
