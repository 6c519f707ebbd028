"""State machine of an upstream's agent, driven by messages and timers."""

from __future__ import annotations

import random
from collections.abc import Iterable

from bramleydyke.constants import MEMBER_RETENTION_S, RECORD_RETENTION_S
from bramleydyke.core.admission import Admission
from bramleydyke.core.agent_link import AgentLink
from bramleydyke.core.config import ConfigDelta, ConfigStore
from bramleydyke.core.control import Handler
from bramleydyke.core.flows import FlowServer
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement
from bramleydyke.core.placer import Placer
from bramleydyke.core.request_server import RequestServer
from bramleydyke.core.return_path import ReturnPath
from bramleydyke.core.stream_server import StreamServer
from bramleydyke.messages import (
    Accepted,
    Announcement,
    Answer,
    BacklogQuery,
    BacklogReport,
    Cancelled,
    CancelRequest,
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionReady,
    ConnectionWritten,
    DrainOrder,
    Envelope,
    FlowAlive,
    FlowHint,
    FlowProbe,
    HeartbeatReply,
    IdleNotice,
    MemberDelta,
    Offer,
    PacketAnswered,
    PacketForward,
    RecordQuery,
    RecordReply,
    Refusal,
    RequestDone,
    RequestFailed,
    RequestShed,
    SetDrain,
    StreamAck,
    StreamClose,
    StreamData,
    StreamOpen,
    StreamReset,
)
from bramleydyke.types import (
    AvailabilityZone,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    ServiceId,
    UpstreamId,
    agent_node,
)


class Agent:
    """State machine of an agent, without input or output.

    The caller passes in received messages and the current time, and sends the
    messages that the methods return.

    Attributes:
        node_id: Node id of this agent.
        service_id: Service of the upstream.
        config: Configuration of that service.
        members: Agents of the service and balancers that this agent knows.
        link: Exchanges state with the home balancers.
        placer: Offers keyed requests to other agents when this agent is their
            home and has no free slot.
        requests: Handles the requests at this upstream.
        flows: Handles the datagram flows of this upstream.
        streams: Handles the byte streams of this upstream.
        handlers: Handler of each message type; other types are ignored.
    """

    def __init__(
        self,
        *,
        partner_id: PartnerId,
        service_id: ServiceId,
        upstream_id: UpstreamId,
        incarnation: Incarnation,
        zone: AvailabilityZone,
        endpoint: str,
        slots: int,
        credential: str,
        balancers: Iterable[NodeId],
        random_source: random.Random,
        now: float,
    ) -> None:
        """Creates an agent.

        Args:
            partner_id: Partner that owns the service.
            service_id: Service of the upstream.
            upstream_id: Upstream that the agent serves.
            incarnation: Number of this run, higher than that of every earlier
                one.
            zone: Availability zone from the settings.
            endpoint: Address that the agent announces, as ``ip:port``.
            slots: Requests that the upstream serves concurrently.
            credential: Proof that the agent belongs to the partner, created by
                ``credentials.make_credential``.
            balancers: Balancers to contact while no others are known.
            random_source: Seeded source of all random choices.
            now: Start of this incarnation, in seconds.
        """
        self.node_id = agent_node(service_id, upstream_id)
        self.service_id = service_id
        self.config = ConfigStore()
        self.members = Members()
        announcement = Announcement(
            node_id=self.node_id,
            incarnation=incarnation,
            revision=1,
            state=MemberState.RUNNING,
            zone=zone,
            endpoint=endpoint,
            partner_id=partner_id,
            service_id=service_id,
            upstream_id=upstream_id,
            slots=slots,
            credential=credential,
        )
        self.link = AgentLink(
            announcement=announcement,
            config=self.config,
            members=self.members,
            seeds=balancers,
            random_source=random_source,
            on_peer_announced=self._peer_announced,
            idle=self.idle,
            now=now,
        )
        self.placer = Placer(
            node_id=self.node_id,
            members=self.members,
            usable=self.usable_peers,
            weights=self.weights,
            on_ended=lambda placement, result, now: self.requests.keyed.placement_ended(
                placement, result, now=now
            ),
            random_source=random_source,
        )
        self.requests = RequestServer(
            node_id=self.node_id,
            partner_id=partner_id,
            service_id=service_id,
            upstream_id=upstream_id,
            incarnation=incarnation,
            started_at=now,
            admission=Admission(slots=slots),
            record_peers=self.record_peers,
            all_running=self.all_running,
            usable_peers=self.usable_peers,
            placer=self.placer,
        )
        self.flows = flows = FlowServer(
            node_id=self.node_id,
            partner_id=partner_id,
            service_id=service_id,
            upstream_id=upstream_id,
            started_at=now,
            config=self.config,
            is_unreachable=self.is_unreachable,
            return_path=ReturnPath(
                node_id=self.node_id,
                service_id=service_id,
                known_balancers=self._balancers,
            ),
        )
        self.streams = streams = StreamServer(
            node_id=self.node_id, partner_id=partner_id, service_id=service_id
        )
        server, link, table = self.requests, self.link, streams.table
        self.config.listeners.append(lambda now: flows.peers.configured(now=now))
        self.handlers: dict[type, Handler] = {
            Offer: lambda sender, msg, now: server.offered(sender, msg, now=now),
            CancelRequest: lambda sender, msg, now: server.cancel(sender, msg, now=now),
            IdleNotice: lambda _, msg, now: server.release_queued(msg, now=now),
            RecordQuery: lambda sender, msg, now: server.keyed.record_queried(
                sender, msg, now=now
            ),
            RecordReply: lambda _, msg, now: server.keyed.record_replied(msg, now=now),
            RequestDone: lambda _, msg, now: server.done(msg, now=now),
            RequestShed: lambda _, msg, now: server.shed(msg, now=now),
            RequestFailed: lambda _, msg, now: server.failed(msg, now=now),
            Accepted: lambda sender, msg, now: self.placer.accepted(
                sender, msg, now=now
            ),
            Answer: lambda sender, msg, now: self.placer.answered(sender, msg, now=now),
            Refusal: lambda sender, msg, now: self.placer.refused(sender, msg, now=now),
            Cancelled: lambda _, msg, now: self.placer.cancelled(msg, now=now),
            BacklogQuery: lambda sender, msg, now: server.backlog_queried(
                sender, msg, now=now
            ),
            BacklogReport: lambda sender, msg, now: self.placer.reported(
                sender, msg, now=now
            ),
            PacketForward: lambda _, msg, now: flows.forwarded(msg, now=now),
            PacketAnswered: lambda _, msg, now: flows.answered(msg, now=now),
            FlowHint: lambda sender, msg, now: flows.peers.hinted(sender, msg, now=now),
            FlowProbe: lambda sender, msg, _: flows.probed(sender, msg),
            FlowAlive: lambda sender, msg, now: flows.alive(sender, msg, now=now),
            StreamOpen: lambda sender, msg, now: streams.open(sender, msg, now=now),
            StreamReset: lambda sender, msg, now: streams.reset(sender, msg),
            StreamData: lambda sender, msg, now: table.data(sender, msg, now=now),
            StreamAck: lambda sender, msg, now: table.acked(sender, msg, now=now),
            StreamClose: lambda sender, msg, now: table.closed(sender, msg, now=now),
            ConnectionReady: lambda _, msg, now: streams.ready(msg, now=now),
            ConnectionData: lambda _, msg, now: table.port_data(msg, now=now),
            ConnectionWritten: lambda _, msg, now: table.port_written(msg),
            ConnectionEnd: lambda _, msg, now: table.half_closed(msg, now=now),
            ConnectionAbort: lambda _, msg, now: streams.aborted(msg),
            ConfigDelta: lambda sender, msg, now: link.apply_delta(
                sender, msg, now=now
            ),
            Announcement: lambda _, msg, now: link.announcement_received(msg, now=now),
            HeartbeatReply: lambda sender, msg, now: link.replied(sender, msg, now=now),
            MemberDelta: lambda _, msg, now: link.members_received(msg, now=now),
            SetDrain: self._set_drain,
            DrainOrder: self._drain_order,
        }

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Handles a message and returns the messages to send."""
        self.requests.pause_detector.observe(now=now)
        handler = self.handlers.get(type(envelope.payload))
        if handler is None:
            return []
        return handler(envelope.sender, envelope.payload, now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Handles the timers that are due and returns the messages to send."""
        self.requests.pause_detector.observe(now=now)
        self.members.remove_absent(before=now - MEMBER_RETENTION_S)
        out = self.requests.wake(now=now) + self.flows.wake(now=now)
        out += self.streams.wake(now=now)
        return out + self.link.heartbeat_client.wake(now=now)

    def next_wakeup(self) -> float:
        """Returns the time at which to call ``wake`` next, in seconds."""
        parts = (self.requests, self.flows, self.streams)
        times = [part.next_wakeup() for part in parts]
        heartbeat_at = self.link.heartbeat_client.heartbeat_at
        return min([heartbeat_at, *(at for at in times if at is not None)])

    @property
    def announcement(self) -> Announcement:
        """Current announcement of this agent."""
        return self.link.heartbeat_client.announcement

    def announce(self, *, now: float = 0.0) -> list[Envelope]:
        """Returns messages with the announcement to the home balancers."""
        return self.link.heartbeat_client.announce(now=now)

    def stop(self, *, now: float) -> list[Envelope]:
        """Announces that the agent is stopping.

        The process may exit once the returned messages are sent.
        """
        return self.link.stop(now=now)

    def idle(self) -> bool:
        """Returns whether a draining agent has no work and may stop."""
        return all(part.idle() for part in (self.requests, self.flows, self.streams))

    def record_peers(self, now: float) -> set[UpstreamId]:
        """Returns the upstreams that may have a record of a request.

        May include this agent's own upstream. Leaves out upstreams whose agent
        is unknown or has been unreachable for ``RECORD_RETENTION_S``: they
        cannot have run a request that a caller may still repeat.
        """
        service = self.config.service(self.service_id)
        current = set() if service is None else set(service.weights())
        earlier = self.config.previous_weights(self.service_id)
        return {
            upstream
            for upstream in current.union(*earlier)
            if self._may_have_record(upstream, now=now)
        }

    def all_running(self) -> bool:
        """Returns whether the agents of all other upstreams are running.

        The upstreams are those of the current configuration and of the
        earlier generations that are kept: each may have a record of a request.
        Draining agents count as running.
        """
        service = self.config.service(self.service_id)
        if service is None:
            return False
        earlier = self.config.previous_weights(self.service_id)
        others = set(service.weights()).union(*earlier)
        others.discard(self.announcement.upstream_id)
        states = (MemberState.RUNNING, MemberState.DRAINING)
        return others <= set(self.members.upstreams(self.service_id, *states))

    def usable_peers(self, service_id: ServiceId) -> list[UpstreamId]:
        """Returns the other upstreams that accept new work."""
        usable = self.members.usable_upstreams(service_id)
        own = self.announcement.upstream_id
        return [upstream for upstream in usable if upstream != own]

    def weights(self, placement: Placement, now: float) -> dict[UpstreamId, float]:
        """Returns the weights of the upstreams for a request."""
        return self.config.established_weights(placement.service_id, now=now)

    def is_unreachable(self, upstream_id: UpstreamId) -> bool:
        """Returns whether an upstream's agent has stopped or is suspected."""
        member = self.members.agent(self.service_id, upstream_id)
        unreachable = (MemberState.STOPPED, MemberState.SUSPECT)
        return member is not None and member.state in unreachable

    def _may_have_record(self, upstream_id: UpstreamId, *, now: float) -> bool:
        member = self.members.agent(self.service_id, upstream_id)
        if member is None:
            return False
        since = self.members.changed_at.get(member.node_id, now)
        return not self.is_unreachable(upstream_id) or now - since < RECORD_RETENTION_S

    def _balancers(self) -> list[NodeId]:
        """Returns the balancers through which flows can be answered."""
        return [*sorted(self.members.balancers), *self.link.heartbeat_client.seeds]

    def _peer_announced(
        self, announcement: Announcement, previous: Incarnation, now: float
    ) -> list[Envelope]:
        """Updates the flows on a newer announcement of another agent."""
        upstream_id = announcement.upstream_id
        assert upstream_id is not None
        if announcement.state is MemberState.STOPPED:
            self.flows.table.drop_pointers(upstream_id)
        elif announcement.incarnation > previous:
            return self.flows.peers.peer_restarted(upstream_id, now=now)
        return []

    def _set_drain(self, _: NodeId, message: SetDrain, now: float) -> list[Envelope]:
        return self._apply_drain(self.link.set_drain(message, now=now), now=now)

    def _drain_order(
        self, sender: NodeId, order: DrainOrder, now: float
    ) -> list[Envelope]:
        return self._apply_drain(
            self.link.drain_ordered(sender, order, now=now), now=now
        )

    def _apply_drain(self, out: list[Envelope], *, now: float) -> list[Envelope]:
        """Passes the drain state on to the requests, flows and streams."""
        draining = self.link.drain.draining
        self.flows.table.draining = draining
        self.streams.draining = draining
        return out + self.requests.set_draining(draining, now=now)
