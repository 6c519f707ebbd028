"""The balancer: messages in at a time, messages out, next wake-up time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from bramleydyke.core.config import ConfigDelta, ConfigStore
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement, Placer
from bramleydyke.core.request_edge import RequestEdge
from bramleydyke.messages import (
    Accepted,
    Announcement,
    Answer,
    BacklogReport,
    Cancelled,
    Envelope,
    Refusal,
    RequestAbandoned,
    RequestArrived,
)
from bramleydyke.types import (
    Incarnation,
    MemberState,
    NodeId,
    ServiceId,
    UpstreamId,
)

Handler = Callable[[NodeId, Any, float], list[Envelope]]
"""Takes the sender, the payload and the time."""


class Balancer:
    """One balancer, free of input and output.

    Attributes:
        config: Configuration in force here.
        members: Agents and balancers known here.
        placer: Requests on their way to an agent.
        edge: Callers that wait here.
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
        self.placer = Placer(
            node_id=node_id,
            members=self.members,
            usable=self.usable,
            weights=self.weights,
            ended=lambda placement, result, now: self.edge.ended(
                placement, result, now
            ),
            random_source=random_source,
        )
        self.edge = RequestEdge(
            node_id=node_id,
            incarnation=incarnation,
            config=self.config,
            placer=self.placer,
            limits=limits or PartnerLimits(),
        )
        self.handlers: dict[type, Handler] = {
            RequestArrived: lambda _, msg, now: self.edge.arrived(msg, now=now),
            RequestAbandoned: lambda _, msg, now: self.edge.abandoned(msg, now=now),
            Accepted: lambda _, msg, now: self.placer.accepted(msg, now=now),
            Answer: lambda who, msg, now: self.placer.answered(who, msg, now=now),
            Refusal: lambda who, msg, now: self.placer.refused(who, msg, now=now),
            Cancelled: lambda _, msg, now: self.placer.cancelled(msg, now=now),
            BacklogReport: lambda who, msg, now: self.placer.reported(
                who, msg, now=now
            ),
            ConfigDelta: self._config_delta,
            Announcement: self._announcement,
        }

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Takes one message; returns the messages that follow from it."""
        handler = self.handlers.get(type(envelope.payload))
        if handler is None:
            return []
        return handler(envelope.sender, envelope.payload, now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Does what is due; returns the messages that follow from it."""
        return self.placer.wake(now=now)

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has something to do, in seconds."""
        return self.placer.next_wakeup()

    def usable(self, service_id: ServiceId) -> list[UpstreamId]:
        """Returns the upstreams that may take new work."""
        return list(self.members.upstreams(service_id, MemberState.RUNNING))

    def weights(self, placement: Placement, now: float) -> dict[UpstreamId, float]:
        """Returns the weights of the upstreams that a request may go to."""
        if placement.keyed:
            return self.config.settled_weights(placement.service_id, now=now)
        service = self.config.service(placement.service_id)
        return {} if service is None else service.weights()

    def _config_delta(
        self, _: NodeId, delta: ConfigDelta, now: float
    ) -> list[Envelope]:
        self.config.apply(delta, now=now)
        return []

    def _announcement(
        self, _: NodeId, announcement: Announcement, now: float
    ) -> list[Envelope]:
        self.members.merge(announcement, now=now)
        return []
