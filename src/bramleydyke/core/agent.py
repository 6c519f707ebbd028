"""The agent beside an upstream: messages in, out, and next wake-up time."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from bramleydyke.constants import HEARTBEAT_S, RECORD_RETENTION_S
from bramleydyke.core.admission import Admission
from bramleydyke.core.balancer import Handler
from bramleydyke.core.config import ConfigDelta, ConfigStore
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement, Placer
from bramleydyke.core.request_server import RequestServer
from bramleydyke.messages import (
    Accepted,
    Announcement,
    Answer,
    BacklogQuery,
    BacklogReport,
    Cancelled,
    CancelRequest,
    Envelope,
    IdleNotice,
    Offer,
    RecordQuery,
    RecordReply,
    Refusal,
    RequestDone,
    RequestFailed,
    RequestShed,
    SetDrain,
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
    """One agent, free of input and output.

    Attributes:
        config: Configuration of this agent's own service.
        members: Agents of the service and the home balancers.
        requests: Requests at this upstream.
        placer: Requests that this agent places as their home.
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
        self.node_id = agent_node(service_id, upstream_id)
        self.service_id = service_id
        self.balancers = list(balancers)
        self.config = ConfigStore()
        self.members = Members()
        self.heartbeat_at = now
        self.announcement = Announcement(
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
        self.placer = Placer(
            node_id=self.node_id,
            members=self.members,
            usable=self.usable_peers,
            weights=self.weights,
            ended=lambda placement, result, now: self.requests.placed(
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
            peers=self.peers,
            usable_peers=self.usable_peers,
            placer=self.placer,
        )
        server = self.requests
        self.handlers: dict[type, Handler] = {
            Offer: lambda who, msg, now: server.offered(who, msg, now=now),
            CancelRequest: lambda who, msg, now: server.cancel(who, msg, now=now),
            IdleNotice: lambda _, msg, now: server.release(msg, now=now),
            RecordQuery: lambda who, msg, now: server.queried(who, msg, now=now),
            RecordReply: lambda _, msg, now: server.replied(msg, now=now),
            RequestDone: lambda _, msg, now: server.done(msg, now=now),
            RequestShed: lambda _, msg, now: server.shed(msg, now=now),
            RequestFailed: lambda _, msg, now: server.failed(msg, now=now),
            Accepted: lambda _, msg, now: self.placer.accepted(msg, now=now),
            Answer: lambda who, msg, now: self.placer.answered(who, msg, now=now),
            Refusal: lambda who, msg, now: self.placer.refused(who, msg, now=now),
            Cancelled: lambda _, msg, now: self.placer.cancelled(msg, now=now),
            BacklogQuery: lambda who, msg, now: server.probed(who, msg, now=now),
            BacklogReport: lambda who, msg, now: self.placer.reported(
                who, msg, now=now
            ),
            ConfigDelta: self._config_delta,
            Announcement: self._peer_announced,
            SetDrain: self._set_drain,
        }

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Takes one message; returns the messages that follow from it."""
        handler = self.handlers.get(type(envelope.payload))
        if handler is None:
            return []
        return handler(envelope.sender, envelope.payload, now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Does what is due; returns the messages that follow from it."""
        out = self.requests.wake(now=now)
        if now >= self.heartbeat_at:
            self.heartbeat_at = now + HEARTBEAT_S
            out += self.announce()
        return out

    def next_wakeup(self) -> float:
        """Returns when ``wake`` has something to do, in seconds."""
        requests_at = self.requests.next_wakeup()
        if requests_at is None:
            return self.heartbeat_at
        return min(requests_at, self.heartbeat_at)

    def announce(self) -> list[Envelope]:
        """Returns this agent's announcement to its home balancers."""
        return [
            Envelope(self.node_id, balancer, self.announcement)
            for balancer in self.balancers
        ]

    def idle(self) -> bool:
        """Tells whether a draining agent may stop."""
        return self.requests.idle()

    def peers(self, now: float) -> set[UpstreamId]:
        """Returns the other upstreams that may know a request id.

        An upstream whose agent has been gone for longer than the retention
        cannot have run a request that a caller may still repeat.
        """
        service = self.config.service(self.service_id)
        current = set() if service is None else set(service.weights())
        earlier = self.config.earlier_owners(self.service_id)
        return {
            upstream
            for upstream in current.union(*earlier)
            if self._may_remember(upstream, now=now)
        }

    def usable_peers(self, service_id: ServiceId) -> list[UpstreamId]:
        """Returns the other upstreams that may take new work."""
        running = self.members.upstreams(service_id, MemberState.RUNNING)
        own = self.announcement.upstream_id
        return [upstream for upstream in running if upstream != own]

    def weights(self, placement: Placement, now: float) -> dict[UpstreamId, float]:
        """Returns the weights of upstreams that a keyed request may go to."""
        return self.config.settled_weights(placement.service_id, now=now)

    def _may_remember(self, upstream_id: UpstreamId, *, now: float) -> bool:
        member = self.members.agent(self.service_id, upstream_id)
        if member is None:
            return False
        gone = member.state in (MemberState.STOPPED, MemberState.SUSPECT)
        since = self.members.changed_at.get(member.node_id, now)
        return not gone or now - since < RECORD_RETENTION_S

    def _config_delta(
        self, _: NodeId, delta: ConfigDelta, now: float
    ) -> list[Envelope]:
        self.config.apply(delta, now=now)
        return []

    def _peer_announced(
        self, _: NodeId, announcement: Announcement, now: float
    ) -> list[Envelope]:
        if announcement.service_id == self.service_id:
            self.members.merge(announcement, now=now)
        return []

    def _set_drain(self, _: NodeId, message: SetDrain, now: float) -> list[Envelope]:
        moved = self.requests.set_draining(message.draining, now=now)
        state = MemberState.DRAINING if message.draining else MemberState.RUNNING
        self.announcement = msgspec.structs.replace(
            self.announcement, state=state, revision=self.announcement.revision + 1
        )
        return self.announce() + moved
