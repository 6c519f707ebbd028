"""The balancer: messages in at a time, messages out, next wake-up time."""

from __future__ import annotations

import random
from collections.abc import Iterable

from bramleydyke.core.config import ConfigStore
from bramleydyke.core.control import Control, Handler
from bramleydyke.core.credentials import Credentials
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement, Placer
from bramleydyke.core.request_edge import RequestEdge
from bramleydyke.messages import (
    Accepted,
    Announcement,
    Answer,
    Cancelled,
    Envelope,
    Refusal,
    RequestAbandoned,
    RequestArrived,
)
from bramleydyke.types import (
    AvailabilityZone,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    ServiceId,
    UpstreamId,
)


class Balancer:
    """One balancer, free of input and output.

    Attributes:
        config: Configuration in force here.
        members: Agents and balancers known here.
        placer: Requests on their way to an agent.
        edge: Callers that wait here.
        control: Dissemination, membership, leases and status.
        now: Time of the last call, in seconds.
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
            incarnation: Higher than that of every earlier run.
            random_source: Seeded source.
            limits: Limits of each partner.
            zone: Availability zone from the settings.
            endpoint: Address that it announces, as ``ip:port``.
            seeds: Balancers that are asked first.
            credentials: Secret of each partner; None accepts any proof.
            partners: Partners whose sheets are watched at the platform.
        """
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
            RequestArrived: lambda _, msg, now: self.edge.arrived(msg, now=now),
            RequestAbandoned: lambda _, msg, now: self.edge.abandoned(msg, now=now),
            Accepted: lambda _, msg, now: self.placer.accepted(msg, now=now),
            Answer: lambda who, msg, now: self.placer.answered(who, msg, now=now),
            Refusal: lambda who, msg, now: self.placer.refused(who, msg, now=now),
            Cancelled: lambda _, msg, now: self.placer.cancelled(msg, now=now),
        } | self.control.handlers()

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Takes one message; returns the messages that follow from it."""
        self.now = now
        handler = self.handlers.get(type(envelope.payload))
        if handler is None:
            return []
        return handler(envelope.sender, envelope.payload, now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Does what is due; returns the messages that follow from it."""
        self.now = now
        return self.placer.wake(now=now) + self.control.wake(now=now)

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has something to do, in seconds."""
        control_at = self.control.next_wakeup(self.now)
        requests_at = self.placer.next_wakeup()
        return control_at if requests_at is None else min(requests_at, control_at)

    def stop(self, *, now: float) -> list[Envelope]:
        """Announces a clean stop; the process ends after it is sent."""
        return self.control.stop(now=now)

    def idle(self) -> bool:
        """Tells whether a draining balancer may stop."""
        return not self.placer.pending

    def usable(self, service_id: ServiceId) -> list[UpstreamId]:
        """Returns the upstreams that may take new work."""
        return self.members.usable(service_id)

    def weights(self, placement: Placement, now: float) -> dict[UpstreamId, float]:
        """Returns the weights of the upstreams that a request may go to."""
        if placement.keyed:
            return self.config.settled_weights(placement.service_id, now=now)
        service = self.config.service(placement.service_id)
        return {} if service is None else service.weights()
