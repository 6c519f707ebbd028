"""The balancer: messages in at a time, messages out, next wake-up time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from bramleydyke.core.config import ConfigDelta, ConfigStore
from bramleydyke.core.flow_router import FlowRouter
from bramleydyke.core.health import HealthView
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement, Placer
from bramleydyke.core.request_edge import RequestEdge
from bramleydyke.core.stream_edge import StreamEdge
from bramleydyke.messages import (
    Accepted,
    Announcement,
    Answer,
    Cancelled,
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionOpened,
    ConnectionWritten,
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
    Incarnation,
    NodeId,
    ServiceId,
    UpstreamId,
    agent_node,
)

Handler = Callable[[NodeId, Any, float], list[Envelope]]
"""Takes the sender, the payload and the time."""


class Balancer:
    """One balancer, free of input and output.

    Attributes:
        config: Configuration in force here.
        members: Agents and balancers known here.
        health: Outcomes of the agents, as seen here.
        limits: What each partner may use of this balancer.
        placer: Requests on their way to an agent.
        edge: Callers that wait here.
        flows: Datagram flows.
        streams: Byte streams.
        time: Time of the last call, in seconds.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        incarnation: Incarnation,
        random_source: random.Random,
        limits: PartnerLimits | None = None,
    ) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.config = ConfigStore()
        self.members = Members()
        self.health = HealthView(self.members)
        self.limits = limits or PartnerLimits()
        self.time = 0.0
        self.placer = Placer(
            node_id=node_id,
            members=self.members,
            usable=self.usable,
            weights=self.weights,
            ended=lambda placement, result, now: self.edge.ended(
                placement, result, now
            ),
            random_source=random_source,
            silent=self.health.silent,
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
        self.handlers: dict[type, Handler] = {
            ConnectionOpened: lambda _, msg, now: streams.connected(msg, now=now),
            ConnectionData: lambda _, msg, now: streams.read(msg, now=now),
            ConnectionWritten: lambda _, msg, now: table.wrote(msg),
            ConnectionEnd: lambda _, msg, now: streams.half_closed(msg, now=now),
            ConnectionAbort: lambda _, msg, now: streams.aborted(msg),
            StreamOpened: lambda who, msg, now: streams.opened(who, msg, now=now),
            StreamReset: lambda who, msg, now: streams.reset(who, msg, now=now),
            StreamData: lambda who, msg, now: streams.data(who, msg, now=now),
            StreamAck: lambda who, msg, now: table.acked(who, msg, now=now),
            StreamClose: lambda who, msg, now: streams.closed(who, msg, now=now),
            PacketIn: flows.packet_in,
            PacketReturn: flows.returned,
            FlowHint: lambda who, msg, now: flows.hinted(who, msg, now=now),
            FlowReset: lambda who, msg, now: flows.reset(who, msg, now=now),
            FlowAlive: lambda who, msg, now: flows.alive(who, msg, now=now),
            FlowProbe: lambda who, msg, _: flows.probed(who, msg),
            SetDrain: self._set_drain,
            RequestArrived: lambda _, msg, now: self.edge.arrived(msg, now=now),
            RequestAbandoned: lambda _, msg, now: self.edge.abandoned(msg, now=now),
            Accepted: lambda _, msg, now: self.placer.accepted(msg, now=now),
            Answer: self._answered,
            Refusal: self._refused,
            Cancelled: lambda _, msg, now: self.placer.cancelled(msg, now=now),
            ConfigDelta: self._config_delta,
            Announcement: self._announcement,
        }

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Takes one message; returns the messages that follow from it."""
        self.time = now
        handler = self.handlers.get(type(envelope.payload))
        if handler is None:
            return []
        return handler(envelope.sender, envelope.payload, now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Does what is due; returns the messages that follow from it."""
        self.time = now
        out = self.placer.wake(now=now) + self.flows.wake(now=now)
        return out + self.streams.wake(now=now)

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has something to do, in seconds."""
        parts = (self.placer, self.flows, self.streams)
        times = (part.next_wakeup() for part in parts)
        return min((at for at in times if at is not None), default=None)

    def usable(self, service_id: ServiceId) -> list[UpstreamId]:
        """Returns the upstreams that may take new work."""
        return self.health.usable(service_id, now=self.time)

    def weights(self, placement: Placement, now: float) -> dict[UpstreamId, float]:
        """Returns the weights of the upstreams that a request may go to.

        The home of a keyed request must not depend on this balancer's view.
        """
        if placement.keyed:
            return self.config.settled_weights(placement.service_id, now=now)
        return self.current_weights(placement.service_id, now=now)

    def current_weights(
        self, service_id: ServiceId, *, now: float
    ) -> dict[UpstreamId, float]:
        """Returns the declared weights, lowered during slow starts."""
        service = self.config.service(service_id)
        weights = {} if service is None else service.weights()
        return {
            upstream_id: weight
            * self.health.weight_factor(agent_node(service_id, upstream_id), now=now)
            for upstream_id, weight in weights.items()
        }

    def _answered(self, sender: NodeId, message: Answer, now: float) -> list[Envelope]:
        self.health.answered(sender, now=now)
        return self.placer.answered(sender, message, now=now)

    def _refused(self, sender: NodeId, message: Refusal, now: float) -> list[Envelope]:
        self.health.refused(sender, message.kind, now=now)
        return self.placer.refused(sender, message, now=now)

    def _set_drain(self, _: NodeId, message: SetDrain, now: float) -> list[Envelope]:
        self.flows.draining = message.draining
        return []

    def _config_delta(
        self, _: NodeId, delta: ConfigDelta, now: float
    ) -> list[Envelope]:
        self.config.apply(delta, now=now)
        self.flows.configured()
        return []

    def _announcement(
        self, _: NodeId, announcement: Announcement, now: float
    ) -> list[Envelope]:
        self.members.merge(announcement, now=now)
        return []
