"""The agent's decisions in the direct mode: what its upstream gets.

The agent is on the path of every packet to its upstream, so it alone decides
whether a new flow may open there, whatever the balancers believe.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from bramleydyke.direct.admission import Admission
from bramleydyke.direct.announcer import Announcer
from bramleydyke.direct.constants import (
    FLOW_IDLE_S,
    MAX_PROBES,
)
from bramleydyke.direct.messages import (
    Absent,
    Forward,
    Load,
    Offer,
    Placed,
    Refused,
    Returned,
    Seek,
    Unsure,
)
from bramleydyke.direct.opening_queue import WaitingOpening
from bramleydyke.direct.ports import (
    Count,
    Deliver,
    PacketCodec,
    Record,
    Send,
    SendToCaller,
)
from bramleydyke.direct.types import (
    FlowTuple,
    NodeIp,
    Packet,
)
from bramleydyke.direct.upstream_flows import UpstreamFlow, UpstreamFlows
from bramleydyke.direct.upstream_view import Report, UpstreamView
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId


class Probe(NamedTuple):
    """A packet of an unknown flow, handed over to learn of the flow."""

    balancer: NodeIp
    sought: bool
    """True if the balancer does not know the holder."""


@dataclass(slots=True, kw_only=True)
class Agent:
    """One agent: packets and messages in, packets and messages out.

    Attributes:
        started_at: Start of this process, in seconds.
        probes: Packets whose flows the upstream may hold from earlier.
        admission: Decides which new flows open at the upstream, and when.
        announcer: Tells balancers of the upstream.
    """

    node: NodeIp
    zone: AvailabilityZone
    service: ServiceId
    codec: PacketCodec
    view: UpstreamView
    started_at: float
    send: Send
    send_to_caller: SendToCaller
    deliver: Deliver
    count: Count
    record: Record
    flows: UpstreamFlows = field(default_factory=UpstreamFlows)
    probes: dict[FlowTuple, Probe] = field(default_factory=dict)
    admission: Admission = field(init=False)
    announcer: Announcer = field(init=False)

    def __post_init__(self) -> None:
        self.admission = Admission(
            service=self.service,
            view=self.view,
            flows=self.flows,
            send=self.send,
            hand_over=self._hand_over,
            count=self.count,
        )
        self.announcer = Announcer(
            node=self.node,
            zone=self.zone,
            service=self.service,
            view=self.view,
            load=lambda now: self.load(now=now),
            send=self.send,
            record=self.record,
        )

    # Packets of callers, through a balancer.

    def message_in(self, sender: NodeIp, message: object, *, now: float) -> None:
        """Takes a message from a balancer."""
        match message:
            case Seek():
                self.announcer.add_balancer(sender)
                self._sought(sender, message, now=now)
            case Offer() | Forward():
                self.announcer.add_balancer(sender)
                packet = self.codec.from_caller(message.datagram)
                if packet is None or packet.opening != isinstance(message, Offer):
                    self.count(counter_name(ErrorKind.BAD_FRAME))
                elif isinstance(message, Offer):
                    self._offered(sender, message, packet, now=now)
                else:
                    self._established(sender, message, packet, now=now)
            case _:
                self.count(counter_name(ErrorKind.BAD_FRAME))

    def _offered(
        self, sender: NodeIp, message: Offer, packet: Packet, *, now: float
    ) -> None:
        """Hands over an opening packet, keeps it for later or refuses it."""
        key = packet.flow
        flow = self.flows.touch(key, now=now)
        if flow is not None and flow.lifetime == self.view.lifetime:
            # Copies take different ways, so the first one may be the last.
            refused = self.admission.refusal(message.service, now=now)
            if packet.copies or not (flow.finished or refused):
                flow.balancer = sender
                self._hand_over(packet)
                self._tell_placed(key, flow, now=now)
                return
        opening = WaitingOpening(sender, packet, message.priority, now - message.age_s)
        self.admission.offered(opening, message, now=now)

    def load(self, *, now: float) -> Load:
        """Returns how busy the upstream is."""
        return self.admission.load(now=now)

    def _established(
        self, sender: NodeIp, message: Forward, packet: Packet, *, now: float
    ) -> None:
        """Hands over a packet of an open flow that the upstream holds."""
        key = packet.flow
        flow = self.flows.touch(key, now=now)
        if flow is None:
            self._unknown(sender, message, packet, now=now)
            return
        lifetime = self.view.lifetime
        if 0 < flow.lifetime < lifetime:
            self._reset(packet, why="upstream restarted")
            return
        if not flow.is_meant(packet.acknowledged):
            self._not_here(sender, message, packet)
            return
        flow.open = True
        flow.balancer = sender
        if packet.payload_bytes:
            self.flows.requested(key, now=now)
        if packet.finish:
            self.flows.finish(flow, caller=True)
        if packet.reset:
            self.flows.end(flow)
        if message.probe:
            self.send(sender, Placed(key, flow.lifetime, None, self.load(now=now)))
        self._hand_over(packet)

    def _sought(self, sender: NodeIp, message: Seek, *, now: float) -> None:
        """Tells a balancer which of some flows the upstream holds."""
        absent: list[FlowTuple] = []
        unsure: list[FlowTuple] = []
        for key, acknowledged in message.flows:
            flow = self.flows.flows.get(key)
            if flow is not None and flow.is_meant(acknowledged):
                placed = Placed(key, flow.lifetime, None, self.load(now=now))
                self.send(sender, placed)
            elif flow or self._surely_absent(key, message.service, now=now):
                absent.append(key)
            else:
                unsure.append(key)
        if absent:
            self.send(sender, Absent(absent))
        if unsure:
            self.send(sender, Unsure(unsure))

    def _surely_absent(self, key: FlowTuple, service: ServiceId, *, now: float) -> bool:
        """Tells whether the upstream cannot hold a flow that is not known."""
        known = self.view.seen_from_start or now - self.started_at > FLOW_IDLE_S
        return known or service != self.service or key in self.flows.absent

    def _unknown(
        self, sender: NodeIp, message: Forward, packet: Packet, *, now: float
    ) -> None:
        """Handles a packet of a flow that this process has not seen.

        After a restart the upstream may hold it from before. It gives back
        packets of flows that it does not hold.
        """
        if 0 < message.lifetime < self.view.lifetime:
            self._reset(packet, why="upstream restarted")
            return
        if self._surely_absent(packet.flow, message.service, now=now):
            self._not_here(sender, message, packet)
            return
        self.probes[packet.flow] = Probe(sender, message.probe)
        self._hand_over(packet)

    def _not_here(self, sender: NodeIp, message: Forward, packet: Packet) -> None:
        if message.probe:
            self.send(sender, Absent([packet.flow]))
        else:
            self.count(counter_name(ErrorKind.MOVED))
            self.send(sender, Returned(packet.flow, packet.datagram))

    def _hand_over(self, packet: Packet) -> None:
        self.deliver(self.codec.deliverable(packet))

    def _reset(self, packet: Packet, *, why: str) -> None:
        """Resets a flow that is surely dead, so that the caller tries anew."""
        if packet.reset:
            return
        self.count(counter_name(ErrorKind.FORGOTTEN, action="reset"))
        self.record("flow_reset", flow=packet.flow, why=why)
        self.send_to_caller(packet, self.codec.reset_for(packet))

    # Packets of the upstream.

    def upstream_packet(self, datagram: bytes, *, now: float) -> None:
        """Takes a datagram that the upstream sent or gave back."""
        packet = self.codec.from_upstream(datagram)
        if packet is None:
            self.count(counter_name(ErrorKind.BAD_FRAME))
        elif packet.bounced:
            self._bounced(packet, now=now)
        else:
            self._answer(packet, now=now)
        self.admission.serve(now=now)

    def _bounced(self, packet: Packet, *, now: float) -> None:
        """Handles a packet that the upstream gave back."""
        key = packet.flow
        flow = self.flows.flows.get(key)
        if packet.opening:
            if flow is None or flow.balancer is None or flow.first_sequence is not None:
                self.count("dropped.bounced")
                return
            self.flows.remove(key)
            self.admission.unanswered.cancel(key)
            self.count(counter_name(ErrorKind.QUEUE_FULL))
            refused = Refused(key, ErrorKind.QUEUE_FULL, self.load(now=now))
            self.send(flow.balancer, refused)
            return
        probe = self.probes.pop(key, None)
        if flow is not None and flow.open:
            self.flows.remove(key)
            self._reset(packet, why="upstream lost the flow")
            return
        self.flows.mark_absent(key)
        if probe is None:
            return
        if probe.sought:
            self.send(probe.balancer, Absent([key]))
        else:
            self.send(probe.balancer, Returned(key, packet.datagram))

    def _answer(self, packet: Packet, *, now: float) -> None:
        """Sends an upstream's packet to its caller."""
        key = packet.flow
        flow = self.flows.touch(key, now=now)
        if flow is None:
            flow = self._learn(key, packet, now=now)
        if packet.accepting:
            self.admission.unanswered.cancel(key)
            if not flow.open:
                flow.first_sequence = packet.sequence
            self._tell_placed(key, flow, now=now)
        if packet.finish:
            self.flows.finish(flow, caller=False)
        if packet.reset:
            self.flows.end(flow)
        if packet.payload_bytes or packet.finish or packet.reset:
            self.flows.responded(key)
        self.send_to_caller(packet, packet.datagram)

    def _learn(self, key: FlowTuple, packet: Packet, *, now: float) -> UpstreamFlow:
        """Notes a flow that the upstream holds from before this process."""
        probe = self.probes.pop(key, None)
        flow = UpstreamFlow(None, self.view.lifetime, now, open=not packet.accepting)
        self.flows.add(key, flow)
        if probe is not None:
            flow.balancer = probe.balancer
            if probe.sought:
                self._tell_placed(key, flow, now=now)
        return flow

    def _tell_placed(self, key: FlowTuple, flow: UpstreamFlow, *, now: float) -> None:
        if flow.balancer is None or (flow.first_sequence is None and not flow.open):
            return
        first = None if flow.open else flow.first_sequence
        placed = Placed(key, flow.lifetime, first, self.load(now=now))
        self.send(flow.balancer, placed)

    # The upstream's reports.

    def report(self, report: Report, *, now: float) -> bool:
        """Takes a report; returns False if it is not from this upstream."""
        if report.service != self.service:
            self.count(counter_name(ErrorKind.WRONG_SERVICE))
            return False
        if self.view.take(report, now=now):
            self.announcer.revision = 0
            self.announce(now=now)
        else:
            self.count("late.reports")
        return True

    def recall(self, report: Report, *, now: float) -> None:
        """Takes a report that an earlier process of this VM stored.

        Balancers that had no answer meanwhile hear at once that the agent
        is back.
        """
        self.view.recall(report)
        if self.view.report is None:
            self.announce(now=now)

    def left(self, upstream: UpstreamId, *, now: float) -> None:
        """Takes an upstream's word that it is gone."""
        if self.view.left(upstream):
            self.announce(now=now)

    # Time.

    def pause(self, *, now: float) -> None:
        """Takes no new flow any more: this process is about to stop."""
        self.admission.pausing = self.announcer.pausing = True
        self.announce(now=now)

    def announce(self, *, now: float) -> None:
        """Forgets what is over and tells balancers of the upstream."""
        self.admission.check(now=now)
        self.flows.expire(now=now)
        if len(self.probes) > MAX_PROBES:
            self.probes.clear()
        self.announcer.announce(now=now)

    def next_wakeup(self) -> float:
        """Returns when ``wake`` has something to do, in seconds."""
        times = (
            self.admission.next_wakeup(),
            self.announcer.due_at,
        )
        return min(time for time in times if time is not None)

    def wake(self, *, now: float) -> None:
        """Does what is due; announces the upstream."""
        if self.admission.wake(now=now):
            self.announce(now=now)
        if now >= self.announcer.due_at:
            self.announce(now=now)
