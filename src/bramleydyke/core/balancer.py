"""State machine of a balancer, driven by messages and timers."""

from __future__ import annotations

import random
from collections.abc import Iterable

from bramleydyke.core.config import ConfigStore
from bramleydyke.core.control import Control, Handler
from bramleydyke.core.credentials import Credentials
from bramleydyke.core.flow_router import FlowRouter
from bramleydyke.core.health import HealthView
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement
from bramleydyke.core.placer import Placer
from bramleydyke.core.request_edge import RequestEdge
from bramleydyke.core.stream_edge import StreamEdge
from bramleydyke.messages import (
    Accepted,
    Announcement,
    Answer,
    BacklogReport,
    Cancelled,
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionOpened,
    ConnectionWritten,
    DrainOrder,
    Envelope,
    FlowAlive,
    FlowHint,
    FlowProbe,
    FlowReset,
    PacketIn,
    PacketReturn,
    Refusal,
    RequestAbandoned,
    RequestArrived,
    SetDrain,
    StreamAck,
    StreamClose,
    StreamData,
    StreamOpened,
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


class Balancer:
    """State machine of a balancer, without input or output.

    The caller passes in received messages and the current time, and sends the
    messages that the methods return.

    Attributes:
        config: Configuration in force at this balancer.
        members: Agents and balancers that this balancer knows.
        health: Health of the agents, judged by this balancer's own requests
            and flows.
        limits: Limits per partner at this balancer.
        placer: Offers requests to agents.
        edge: Handles the requests of callers.
        control: Handles dissemination, membership, leases and status.
        flows: Routes the datagram flows.
        streams: Handles the byte streams.
        now: Time of the last call, in seconds.
        handlers: Handler of each message type; other types are ignored.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        incarnation: Incarnation,
        random_source: random.Random,
        limits: PartnerLimits | None = None,
        zone: AvailabilityZone | None = None,
        endpoint: str = "",
        seeds: Iterable[NodeId] = (),
        credentials: Credentials | None = None,
        partners: Iterable[PartnerId] = (),
    ) -> None:
        """Creates a balancer.

        Args:
            node_id: ``balancer/<name>``.
            incarnation: Number of this run, higher than that of every earlier
                one.
            random_source: Seeded source of all random choices.
            limits: Limits per partner; None applies the defaults.
            zone: Availability zone from the settings.
            endpoint: Address that the balancer announces, as ``ip:port``.
            seeds: Balancers to contact while no others are known.
            credentials: Secret of each partner, to verify the credentials of
                agents; None accepts any credential.
            partners: Partners whose sheets are watched in the platform's
                store.
        """
        self.node_id = node_id
        self.incarnation = incarnation
        self.config = ConfigStore()
        self.members = Members()
        self.health = HealthView(self.members)
        self.limits = limits or PartnerLimits()
        self.now = 0.0
        self.placer = Placer(
            node_id=node_id,
            members=self.members,
            usable=self.usable,
            weights=self.weights,
            on_ended=lambda placement, result, now: self.edge.ended(
                placement, result, now
            ),
            random_source=random_source,
            on_silent_agent=self.health.eject_silent,
        )
        self.edge = RequestEdge(
            node_id=node_id,
            incarnation=incarnation,
            config=self.config,
            placer=self.placer,
            limits=self.limits,
        )
        self.flows = flows = FlowRouter(
            node_id=node_id,
            config=self.config,
            members=self.members,
            health=self.health,
            limits=self.limits,
            usable=self.usable,
        )
        self.streams = streams = StreamEdge(
            node_id=node_id,
            incarnation=incarnation,
            config=self.config,
            health=self.health,
            limits=self.limits,
            usable=self.usable,
            weights=lambda service_id, now: self.current_weights(service_id, now=now),
            budget=self.placer.budget,
            random_source=random_source,
        )
        table = streams.table
        self.control = Control(
            announcement=Announcement(
                node_id=node_id,
                incarnation=incarnation,
                revision=1,
                state=MemberState.RUNNING,
                zone=zone or AvailabilityZone(""),
                endpoint=endpoint,
            ),
            config=self.config,
            members=self.members,
            seeds=seeds,
            credentials=credentials,
            partners=partners,
            random_source=random_source,
        )
        self.now = 0.0
        self.handlers: dict[type, Handler] = {
            ConnectionOpened: lambda _, msg, now: streams.connected(msg, now=now),
            ConnectionData: lambda _, msg, now: streams.port_data(msg, now=now),
            ConnectionWritten: lambda _, msg, now: table.port_written(msg),
            ConnectionEnd: lambda _, msg, now: streams.half_closed(msg, now=now),
            ConnectionAbort: lambda _, msg, now: streams.aborted(msg),
            StreamOpened: lambda sender, msg, now: streams.opened(sender, msg, now=now),
            StreamReset: lambda sender, msg, now: streams.reset(sender, msg, now=now),
            StreamData: lambda sender, msg, now: streams.data(sender, msg, now=now),
            StreamAck: lambda sender, msg, now: table.acked(sender, msg, now=now),
            StreamClose: lambda sender, msg, now: streams.closed(sender, msg, now=now),
            PacketIn: flows.packet_in,
            PacketReturn: flows.returned,
            FlowHint: lambda sender, msg, now: flows.hinted(sender, msg, now=now),
            FlowReset: lambda sender, msg, now: flows.reset(sender, msg, now=now),
            FlowAlive: lambda sender, msg, now: flows.alive(sender, msg, now=now),
            FlowProbe: lambda sender, msg, _: flows.probed(sender, msg),
            RequestArrived: lambda _, msg, now: self.edge.arrived(msg, now=now),
            RequestAbandoned: lambda _, msg, now: self.edge.abandoned(msg, now=now),
            Accepted: lambda sender, msg, now: self.placer.accepted(
                sender, msg, now=now
            ),
            Answer: self._answered,
            Refusal: self._refused,
            Cancelled: lambda _, msg, now: self.placer.cancelled(msg, now=now),
            BacklogReport: lambda sender, msg, now: self.placer.reported(
                sender, msg, now=now
            ),
        } | self.control.handlers()
        for kind in (SetDrain, DrainOrder):
            handle = self.handlers[kind]
            self.handlers[kind] = lambda sender, msg, now, handle=handle: (
                self._apply_drain(handle(sender, msg, now))
            )
        self.config.listeners.append(lambda _: flows.configured())

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Handles a message and returns the messages to send."""
        self.now = now
        self.edge.pause_detector.observe(now=now)
        handler = self.handlers.get(type(envelope.payload))
        if handler is None:
            return []
        return handler(envelope.sender, envelope.payload, now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Handles the timers that are due and returns the messages to send."""
        self.now = now
        self.edge.pause_detector.observe(now=now)
        out = self.placer.wake(now=now) + self.flows.wake(now=now)
        out += self.streams.wake(now=now)
        return out + self.control.wake(now=now)

    def next_wakeup(self) -> float:
        """Returns the time at which to call ``wake`` next, in seconds."""
        parts = (self.placer, self.flows, self.streams)
        times = [part.next_wakeup() for part in parts]
        times += [self.edge.pause_detector.wake_at, self.control.next_wakeup(self.now)]
        return min(at for at in times if at is not None)

    def stop(self, *, now: float) -> list[Envelope]:
        """Announces that the balancer is stopping.

        The process may exit once the returned messages are sent.
        """
        return self.control.stop(now=now)

    def idle(self) -> bool:
        """Returns whether a draining balancer has no work and may stop."""
        streams = self.streams
        no_streams = not streams.pending_streams and not streams.table.streams
        return not self.placer.pending and no_streams

    def usable(self, service_id: ServiceId) -> list[UpstreamId]:
        """Returns the upstreams that accept new work, as known here."""
        return self.health.usable_upstreams(service_id, now=self.now)

    def weights(self, placement: Placement, now: float) -> dict[UpstreamId, float]:
        """Returns the weights of the upstreams for a request.

        The weights for a keyed request do not depend on the health that this
        balancer observed, as all balancers must choose the same home agent.
        """
        if placement.keyed:
            return self.config.established_weights(placement.service_id, now=now)
        return self.current_weights(placement.service_id, now=now)

    def current_weights(
        self, service_id: ServiceId, *, now: float
    ) -> dict[UpstreamId, float]:
        """Returns the configured weights, reduced during slow starts."""
        service = self.config.service(service_id)
        weights = {} if service is None else service.weights()
        return {
            upstream_id: weight
            * self.health.weight_factor(agent_node(service_id, upstream_id), now=now)
            for upstream_id, weight in weights.items()
        }

    def _answered(self, sender: NodeId, message: Answer, now: float) -> list[Envelope]:
        self.health.record_success(sender, now=now)
        return self.placer.answered(sender, message, now=now)

    def _refused(self, sender: NodeId, message: Refusal, now: float) -> list[Envelope]:
        self.health.record_refusal(sender, message.kind, now=now)
        return self.placer.refused(sender, message, now=now)

    def _apply_drain(self, out: list[Envelope]) -> list[Envelope]:
        """Passes the drain state of the control plane on to the flows."""
        self.flows.draining = self.control.drain.draining
        return out
