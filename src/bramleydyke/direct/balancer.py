"""Balancer of the direct mode: decides where each packet goes."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.direct.agent_checks import AgentChecks
from bramleydyke.direct.constants import (
    MAX_CONFIG_AGE_S,
    MAX_PAUSE_S,
    REQUESTS_PER_SLOT,
)
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.gossip import Gossip
from bramleydyke.direct.holders import Holders
from bramleydyke.direct.lookups import Lookups
from bramleydyke.direct.messages import (
    Announcement,
    Forward,
    HandedOver,
    NotHeld,
    Notice,
    Placed,
    ProbeNeeded,
    Queued,
    Refused,
    Relayed,
    Returned,
)
from bramleydyke.direct.openings import Openings
from bramleydyke.direct.ports import (
    Count,
    Observe,
    PacketCodec,
    Record,
    Send,
    SendToCaller,
)
from bramleydyke.direct.routes import Routes
from bramleydyke.direct.types import NodeIp, Packet, UpstreamState
from bramleydyke.errors import ErrorKind, counter_name


@dataclass(slots=True, kw_only=True)
class Balancer:
    """Routes callers' packets to agents and exchanges state with its peers.

    Attributes:
        node: IP address of this balancer's VM.
        routes: Newest configuration known to this process.
        directory: Upstreams known to this process.
        gossip: Exchanges configuration and upstream changes with other
            balancers.
        send: Sends a message to another node.
        reset: Sends a reset to the caller of a packet.
        holders: Agents that hold the flows seen by this process.
        on_resumed: Called after a pause of this process.
        active_at: Time of the last packet, message or timer, in seconds; None
            before the first one.
        openings: Offers opening packets to agents.
        lookups: Searches for the holders of unknown flows.
        agent_checks: Repeats questions to agents that have not answered.
    """

    node: NodeIp
    codec: PacketCodec
    routes: Routes
    directory: Directory
    gossip: Gossip
    send: Send
    reset: SendToCaller
    count: Count
    record: Record
    observe: Observe
    holders: Holders = field(default_factory=Holders)
    on_resumed: Callable[[], None] = lambda: None
    active_at: float | None = None
    openings: Openings = field(init=False)
    lookups: Lookups = field(init=False)
    agent_checks: AgentChecks = field(init=False)

    def __post_init__(self) -> None:
        self.openings = Openings(
            directory=self.directory,
            holders=self.holders,
            send=self.send,
            reset=self.reset_flow,
            count=self.count,
            record=self.record,
            observe=self.observe,
        )
        self.lookups = Lookups(
            directory=self.directory,
            send=self.send,
            reset=self.reset_flow,
            count=self.count,
            record=self.record,
        )
        self.agent_checks = AgentChecks(directory=self.directory, send=self.send)

    def packet_in(self, datagram: bytes, *, now: float) -> None:
        """Handles a datagram from a caller.

        Datagrams that are malformed, or that only an upstream sends, are
        counted and dropped.
        """
        self._detect_pause(now=now)
        packet = self.codec.from_caller(datagram)
        if packet is None or packet.accepting:
            self.count(counter_name(ErrorKind.BAD_FRAME))
            return
        route = self.routes.find(packet.route)
        if route is None:
            self._handle_missing_route(packet, now=now)
        elif packet.opening:
            self.openings.packet_in(packet, route, now=now)
        else:
            self._established(packet, now=now)

    def message_in(self, sender: NodeIp, message: object, *, now: float) -> None:
        """Handles a message from an agent or another balancer.

        An agent's announcement must name the agent itself.
        """
        self._detect_pause(now=now)
        match message:
            case Placed():
                self.openings.placed(sender, message, now=now)
                for packet in self.lookups.found(message.flow):
                    self._established(packet, now=now)
            case Refused():
                self.openings.refused(sender, message, now=now)
            case Queued():
                self.openings.queued(sender, message, now=now)
            case Returned():
                self._returned(sender, message, now=now)
            case HandedOver():
                self._handed_over(message, now=now)
            case NotHeld():
                for flow in self.agent_checks.answered(sender, message.flows):
                    self.lookups.absent(flow, sender, now=now)
            case ProbeNeeded():
                for flow in self.agent_checks.answered(sender, message.flows):
                    self.lookups.probe_needed(flow, sender, now=now)
            case Announcement() if message.node != sender:
                self.count("refused.foreign_announcement")
                self.record("foreign_announcement", peer=sender, agent=message.node)
            case Announcement():
                if self.apply_announcement(message, now=now, source="agent"):
                    self.gossip.relay(message)
                else:
                    self._remind_agent(message)
            case Relayed():
                announcement = message.announcement
                if self.apply_announcement(announcement, now=now, source=sender):
                    self.gossip.relay(announcement)
            case Notice():
                self.gossip.notice_received(message, now=now)
            case _:
                self.count(counter_name(ErrorKind.BAD_FRAME))

    def wake(self, *, now: float) -> None:
        """Handles all timers that are due."""
        self._detect_pause(now=now)
        self.openings.wake(now=now)
        self.lookups.wake(now=now)
        self.gossip.wake(now=now)
        self.agent_checks.wake(now=now)

    def _remind_agent(self, announced: Announcement) -> None:
        """Tells a restarted agent what its earlier process has announced.

        The store may have been away at that time. The entry from which the
        agent started may then show a ready upstream that has begun to leave,
        or the agent may have given its upstream the number of an earlier one.
        """
        known = self.directory.entries[announced.node].announcement
        leaving = known.state in (UpstreamState.DRAINING, UpstreamState.GONE)
        outdated = leaving and known.order() > announced.order()
        if outdated or known.lifetime > announced.lifetime:
            self.send(announced.node, Relayed(known))

    def _detect_pause(self, *, now: float) -> None:
        """Discards beliefs that a pause of this process has made too old.

        Meanwhile upstreams may have joined and the configuration may have
        changed. Until both are read again, no flow is reset because no known
        agent holds it or because it has no route.
        """
        paused_s = 0.0 if self.active_at is None else now - self.active_at
        self.active_at = now
        if paused_s <= MAX_PAUSE_S:
            return
        self.count("paused")
        self.record("resumed", paused_s=round(paused_s, 3))
        self.directory.complete = False
        self.agent_checks.resumed()
        self.routes.doubt()
        self.on_resumed()

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` must be called next, in seconds."""
        times = (
            self.openings.timers.next(),
            self.lookups.next_wakeup(),
            self.gossip.next_wakeup(),
            self.agent_checks.due_at,
        )
        return min((time for time in times if time is not None), default=None)

    def ready(self, *, now: float) -> bool:
        """Returns whether the routers should send callers' packets here.

        True if this process has a configuration and an upstream for new flows
        and is not stopping.
        """
        return (
            not self.gossip.leaving
            and self.routes.current is not None
            and bool(self.directory.usable_services(now=now))
        )

    def stop(self, *, now: float) -> None:
        """Hands over what waits here, because this process ends."""
        self.openings.hand_over(self.gossip.recent_peers(now=now), now=now)

    def reset_flow(self, packet: Packet, _: bytes = b"") -> None:
        """Resets the flow of a caller's packet; ignores reset packets."""
        if not packet.reset:
            self.reset(packet, self.codec.reset_for(packet))

    def _established(self, packet: Packet, *, now: float) -> None:
        """Sends a packet to the holder of its flow, or looks the holder up.

        If the holder's upstream has ended or restarted since the flow opened,
        the flow is reset.
        """
        holder = self.holders.find(packet.flow, packet.acknowledged)
        if holder is None:
            route = self.routes.find(packet.route)
            self.lookups.packet_in(
                packet,
                self.routes.holders(packet.route),
                now=now,
                timeout_s=0.0 if route is None else route.timeout_s,
            )
            return
        if self.directory.lifetime_ended(holder.node, holder.lifetime):
            self.holders.forget(packet.flow)
            self.count(counter_name(ErrorKind.FORGOTTEN, action="reset"))
            self.record("flow_reset", flow=packet.flow, agent=holder.node, why="ended")
            self.reset_flow(packet)
            return
        entry = self.directory.entries.get(holder.node)
        service = entry.announcement.service if entry else ""
        forward = Forward(service, False, holder.lifetime, packet.datagram)
        self.send(holder.node, forward)

    def _handed_over(self, message: HandedOver, *, now: float) -> None:
        """Places an opening packet that a stopping balancer kept."""
        packet = self.codec.from_caller(message.datagram)
        if packet is None or not packet.opening:
            self.count(counter_name(ErrorKind.BAD_FRAME))
            return
        route = self.routes.find(packet.route)
        if route is not None:
            self.openings.packet_in(packet, route, now=now, age_s=message.age_s)

    def _returned(self, sender: NodeIp, message: Returned, *, now: float) -> None:
        """Looks up a flow's holder after an agent returned its packet."""
        self.count(counter_name(ErrorKind.MOVED, action="retried"))
        self.holders.forget(message.flow, sender)
        packet = self.codec.from_caller(message.datagram)
        if packet is not None and self.routes.find(packet.route) is not None:
            self._established(packet, now=now)

    def _handle_missing_route(self, packet: Packet, *, now: float) -> None:
        """Resets a flow whose route does not exist.

        If the configuration may be out of date, the packet is only dropped:
        the route may be known when the caller's next retransmission arrives.
        """
        self.count(counter_name(ErrorKind.NO_SERVICE))
        if not self.routes.is_fresh(within=MAX_CONFIG_AGE_S, now=now):
            return
        self.holders.forget(packet.flow)
        self.record(
            "refused",
            flow=packet.flow,
            kind=ErrorKind.NO_SERVICE.value,
            version=self.routes.version,
        )
        self.reset_flow(packet)

    def apply_announcement(
        self, announcement: Announcement, *, now: float, source: str
    ) -> bool:
        """Applies an announcement and offers parked packets again.

        Args:
            announcement: State of an upstream.
            now: Time in seconds.
            source: ``agent``, ``store`` or the balancer that relayed it.

        Returns:
            True if the upstream is new, or its service, state or lifetime
            changed.
        """
        from_agent = source == "agent"
        changed = self.directory.apply(announcement, now=now, from_agent=from_agent)
        if announcement.state is UpstreamState.READY and (from_agent or changed):
            capacity = REQUESTS_PER_SLOT - announcement.load.requests
            flows = math.ceil(capacity * announcement.slots)
            self.openings.place_parked(
                announcement.service, limit=max(0, flows), now=now
            )
        if not changed:
            return False
        self.record(
            "upstream_changed",
            agent=announcement.node,
            service=announcement.service,
            upstream=announcement.upstream,
            state=announcement.state.value,
            lifetime=announcement.lifetime,
            sequence=announcement.sequence,
            source=source,
        )
        return True
