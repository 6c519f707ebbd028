"""Agent of the direct mode: decides which packets its upstream gets.

Every packet to the upstream passes through its agent, so the agent alone
decides whether a new flow may open there. The balancers' knowledge of the
upstream may be out of date.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.direct.admission import Admission
from bramleydyke.direct.announcer import Announcer
from bramleydyke.direct.constants import FLOW_IDLE_S, MAX_PROBES
from bramleydyke.direct.messages import (
    EntryOutdated,
    Forward,
    HolderQuery,
    Load,
    NotHeld,
    Offer,
    Placed,
    ProbeNeeded,
    Refused,
    Relayed,
    Returned,
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
from bramleydyke.direct.types import FlowTuple, NodeIp, Packet
from bramleydyke.direct.upstream_flows import Probe, UpstreamFlow, UpstreamFlows
from bramleydyke.direct.upstream_reports import UpstreamReports
from bramleydyke.direct.upstream_view import Report, ReportResult, UpstreamView
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId


@dataclass(slots=True, kw_only=True)
class Agent:
    """Passes packets from balancers to one upstream and from it to callers.

    Attributes:
        node: IP address of this agent's VM.
        service: Service of the upstream.
        view: State of the upstream according to its reports.
        started_at: Start of this process, in seconds.
        deliver: Sends a datagram to the upstream.
        on_entry_outdated: Called when a balancer has found an outdated entry
            of this agent in the store.
        flows: Flows that the upstream holds or is opening.
        probes: Unanswered probes, by flow.
        admission: Decides which new flows open at the upstream, and when.
        announcer: Sends the upstream's state to balancers.
        reports: Applies the reports of the upstream.
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
    on_entry_outdated: Callable[[EntryOutdated], None] = lambda message: None
    flows: UpstreamFlows = field(default_factory=UpstreamFlows)
    probes: dict[FlowTuple, Probe] = field(default_factory=dict)
    admission: Admission = field(init=False)
    announcer: Announcer = field(init=False)
    reports: UpstreamReports = field(init=False)

    def __post_init__(self) -> None:
        self.admission = Admission(
            service=self.service,
            view=self.view,
            flows=self.flows,
            send=self.send,
            forward_to_upstream=self._forward_to_upstream,
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
        self.reports = UpstreamReports(
            service=self.service,
            view=self.view,
            flows=self.flows,
            announcer=self.announcer,
            announce=self.announce,
            check_queue=self.admission.check_queue,
            count=self.count,
            record=self.record,
        )

    # Callers' packets, which balancers forward.

    def message_in(self, sender: NodeIp, message: object, *, now: float) -> None:
        """Handles a message from a balancer.

        The sender is added to the balancers that get announcements.
        """
        match message:
            case HolderQuery():
                self.announcer.add_balancer(sender)
                self._answer_query(sender, message, now=now)
            case Offer() | Forward():
                self.announcer.add_balancer(sender)
                packet = self.codec.from_caller(message.datagram)
                if packet is None or packet.opening != isinstance(message, Offer):
                    self.count(counter_name(ErrorKind.BAD_FRAME))
                elif isinstance(message, Offer):
                    self._offered(sender, message, packet, now=now)
                else:
                    self._established(sender, message, packet, now=now)
            case Relayed() if message.announcement.node == self.node:
                self.reports.reminded(message.announcement, now=now)
            case EntryOutdated():
                self.announcer.add_balancer(sender)
                self.announcer.announce_to(sender, now=now)
                self.on_entry_outdated(message)
            case _:
                self.count(counter_name(ErrorKind.BAD_FRAME))

    def _offered(
        self, sender: NodeIp, message: Offer, packet: Packet, *, now: float
    ) -> None:
        """Forwards an opening packet to the upstream, or queues or refuses it.

        A retransmitted packet of a flow that the upstream already has is
        forwarded again, and the balancer gets ``Placed`` again.
        """
        key = packet.flow
        flow = self.flows.touch(key, now=now)
        if flow is not None and flow.lifetime == self.view.lifetime:
            # Retransmissions may overtake the original packet, so the original
            # may also belong to a flow that exists already.
            refused = self.admission.refusal(message.service, now=now)
            if packet.copies or not (flow.finished or refused):
                flow.balancer = sender
                self._forward_to_upstream(packet)
                self._report_placed(key, flow, now=now)
                return
        opening = WaitingOpening(sender, packet, message.priority, now - message.age_s)
        self.admission.offered(opening, message, now=now)

    def load(self, *, now: float) -> Load:
        """Returns the upstream's load, including queued flows."""
        return self.admission.load(now=now)

    def _established(
        self, sender: NodeIp, message: Forward, packet: Packet, *, now: float
    ) -> None:
        """Forwards a packet of an established flow to the upstream.

        The flow is reset if the upstream has restarted since the flow opened.
        If the upstream does not hold the flow, the balancer is told so.
        """
        key = packet.flow
        flow = self.flows.touch(key, now=now)
        if flow is None:
            self._unknown_flow(sender, message, packet, now=now)
            return
        lifetime = self.view.lifetime
        if 0 < flow.lifetime < lifetime:
            self._reset(packet, why="upstream restarted")
            return
        if not flow.matches_acknowledgement(packet.acknowledged):
            self._report_absent(sender, message, packet)
            return
        flow.open = True
        flow.balancer = sender
        if packet.payload_bytes:
            self.flows.add_request(key, now=now)
        if packet.finish:
            self.flows.finish(flow, caller=True)
        if packet.reset:
            self.flows.end(flow)
        if message.probe:
            self.send(sender, Placed(key, flow.lifetime, None, self.load(now=now)))
        self._forward_to_upstream(packet)

    def _answer_query(
        self, sender: NodeIp, message: HolderQuery, *, now: float
    ) -> None:
        """Answers a balancer's query about which flows the upstream holds.

        For each flow the answer is that the upstream holds it, that it does
        not, or that only a probe can show whether it does.
        """
        absent: list[FlowTuple] = []
        probe_needed: list[FlowTuple] = []
        for key, acknowledged in message.flows:
            flow = self.flows.flows.get(key)
            if flow is not None and flow.matches_acknowledgement(acknowledged):
                placed = Placed(key, flow.lifetime, None, self.load(now=now))
                self.send(sender, placed)
            elif flow or self._cannot_hold(key, message.service, now=now):
                absent.append(key)
            else:
                probe_needed.append(key)
        if absent:
            self.send(sender, NotHeld(absent))
        if probe_needed:
            self.send(sender, ProbeNeeded(probe_needed))

    def _cannot_hold(self, key: FlowTuple, service: ServiceId, *, now: float) -> bool:
        """Returns whether the upstream cannot hold a flow unknown here.

        This is the case if the agent has been running longer than any flow of
        the upstream can have existed, if the flow belongs to another service,
        or if the upstream has already returned a packet of the flow.
        """
        known = self.view.started_after_agent or now - self.started_at > FLOW_IDLE_S
        return known or service != self.service or key in self.flows.absent

    def _unknown_flow(
        self, sender: NodeIp, message: Forward, packet: Packet, *, now: float
    ) -> None:
        """Handles a packet of a flow that this process has not seen.

        If the flow may have opened before the agent's start, the packet is
        forwarded as a probe: the upstream returns packets of flows that it
        does not hold.
        """
        if self.view.has_ended(message.lifetime):
            self._reset(packet, why="upstream restarted")
            return
        if self._cannot_hold(packet.flow, message.service, now=now):
            self._report_absent(sender, message, packet)
            return
        self.probes[packet.flow] = Probe(sender, message.probe)
        self._forward_to_upstream(packet)

    def _report_absent(self, sender: NodeIp, message: Forward, packet: Packet) -> None:
        """Tells a balancer that the upstream does not hold a packet's flow."""
        if message.probe:
            self.send(sender, NotHeld([packet.flow]))
        else:
            self.count(counter_name(ErrorKind.MOVED))
            self.send(sender, Returned(packet.flow, packet.datagram))

    def _forward_to_upstream(self, packet: Packet) -> None:
        self.deliver(self.codec.packet_for_upstream(packet))

    def _reset(self, packet: Packet, *, why: str) -> None:
        """Resets a flow that cannot continue, so the caller can reconnect."""
        if packet.reset:
            return
        self.count(counter_name(ErrorKind.FORGOTTEN, action="reset"))
        self.record("flow_reset", flow=packet.flow, why=why)
        self.send_to_caller(packet, self.codec.reset_for(packet))

    # Packets from the upstream.

    def upstream_packet(self, datagram: bytes, *, now: float) -> None:
        """Handles a datagram that the upstream sent or returned."""
        packet = self.codec.from_upstream(datagram)
        if packet is None:
            self.count(counter_name(ErrorKind.BAD_FRAME))
        elif packet.bounced:
            self._returned_by_upstream(packet, now=now)
        else:
            self._forward_to_caller(packet, now=now)
        self.admission.open_queued(now=now)

    def _returned_by_upstream(self, packet: Packet, *, now: float) -> None:
        """Handles a packet that the upstream returned.

        The upstream returns an opening packet if it is full, and any other
        packet if it does not hold the flow.
        """
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
        if probe.is_lookup:
            self.send(probe.balancer, NotHeld([key]))
        else:
            self.send(probe.balancer, Returned(key, packet.datagram))

    def _forward_to_caller(self, packet: Packet, *, now: float) -> None:
        """Sends a packet of the upstream to the caller; updates the flow."""
        key = packet.flow
        flow = self.flows.touch(key, now=now)
        if flow is None:
            flow = self._add_earlier_flow(key, packet, now=now)
        if packet.accepting:
            self.admission.unanswered.cancel(key)
            if not flow.open:
                flow.first_sequence = packet.sequence
            self._report_placed(key, flow, now=now)
        if packet.finish:
            self.flows.finish(flow, caller=False)
        if packet.reset:
            self.flows.end(flow)
        if packet.payload_bytes or packet.finish or packet.reset:
            self.flows.remove_request(key)
        self.send_to_caller(packet, packet.datagram)

    def _add_earlier_flow(
        self, key: FlowTuple, packet: Packet, *, now: float
    ) -> UpstreamFlow:
        """Adds a flow that opened before this process started."""
        probe = self.probes.pop(key, None)
        flow = UpstreamFlow(None, self.view.lifetime, now, open=not packet.accepting)
        self.flows.add(key, flow)
        if probe is not None:
            flow.balancer = probe.balancer
            if probe.is_lookup:
                self._report_placed(key, flow, now=now)
        return flow

    def _report_placed(self, key: FlowTuple, flow: UpstreamFlow, *, now: float) -> None:
        """Tells a flow's balancer that the upstream has accepted the flow."""
        if flow.balancer is None or (flow.first_sequence is None and not flow.open):
            return
        first = None if flow.open else flow.first_sequence
        placed = Placed(key, flow.lifetime, first, self.load(now=now))
        self.send(flow.balancer, placed)

    # Reports from the upstream.

    def report(self, report: Report, *, now: float) -> ReportResult:
        """Applies a report; see ``UpstreamReports.report``."""
        return self.reports.report(report, now=now)

    def restore(self, report: Report, *, now: float) -> None:
        """Restores a report that an earlier process of this agent stored."""
        self.reports.restore(report, now=now)

    def upstream_ended(self, upstream: UpstreamId, *, now: float) -> None:
        """Handles an upstream's notice that it has ended."""
        self.reports.ended(upstream, now=now)

    # Timers and shutdown.

    def pause(self, *, now: float) -> None:
        """Refuses new flows from now on, because this process is stopping."""
        self.admission.stopping = self.announcer.stopping = True
        self.announce(now=now)

    def announce(self, *, now: float) -> None:
        """Removes expired flows and announces the upstream to balancers."""
        self.admission.check_queue(now=now)
        self.flows.expire(now=now)
        if len(self.probes) > MAX_PROBES:
            self.probes.clear()
        self.announcer.announce(now=now)

    def next_wakeup(self) -> float:
        """Returns when ``wake`` must be called next, in seconds."""
        return min(self.admission.next_wakeup(), self.announcer.due_at)

    def wake(self, *, now: float) -> None:
        """Handles due timers and sends announcements that are due."""
        if self.admission.wake(now=now):
            self.announce(now=now)
        if now >= self.announcer.due_at:
            self.announce(now=now)
