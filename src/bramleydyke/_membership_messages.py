"""Messages of membership: announcements, heartbeats, suspicion."""

from __future__ import annotations

import msgspec

from bramleydyke._message_base import Message
from bramleydyke.types import (
    AvailabilityZone,
    Generation,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    ServiceId,
    UpstreamId,
)

# Membership.


class Announcement(Message):
    """An agent or balancer as it describes itself."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    """Grows with each change within an incarnation."""

    state: MemberState
    zone: AvailabilityZone
    endpoint: str
    """Control and data address as ``ip:port``."""

    partner_id: PartnerId | None = None
    service_id: ServiceId | None = None
    upstream_id: UpstreamId | None = None
    slots: int = 1
    credential: str = ""
    """Proof that the announcement is made for the partner."""


class Heartbeat(Message):
    """An announced process tells a home balancer that it is alive."""

    incarnation: Incarnation
    revision: int
    view: int = 0
    """Hash of the agents and balancers that an agent knows."""

    partner_id: PartnerId | None = None
    generation: Generation = Generation(0)
    """Generation of its partner that an agent has in force."""

    drained: bool = False
    """True if an agent drains and has no work in progress."""


class HeartbeatReply(Message):
    """What a home balancer knows of the sender of a heartbeat."""

    incarnation: Incarnation
    revision: int
    state: MemberState | None
    """None: the balancer does not know the sender."""

    generation: Generation = Generation(0)
    """Generation of the agent's partner at the balancer."""


class MemberDigest(Message):
    """Hash of the members in each bucket, 4 bytes a bucket."""

    buckets: bytes


class MemberVersion(msgspec.Struct, frozen=True, array_like=True):
    """Which announcement of a node a process holds."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    state: MemberState


class MemberSummary(Message):
    """The announcements that a process holds in one bucket."""

    bucket: int
    versions: tuple[MemberVersion, ...]


class MemberDelta(Message):
    """Announcements that the receiver may lack."""

    announcements: tuple[Announcement, ...]
    wanted: tuple[NodeId, ...] = ()
    """Nodes whose announcement the sender lacks."""

    complete: bool = False
    """True: all members that concern the receiving agent."""

    bulk: bool = False
    """True: for a process that has joined; not spread any further."""

    again: bool = False
    """True: the receiver should compare once more, as there may be more."""


class SuspectQuery(Message):
    """Asks the other home balancer whether a node is silent there too."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int


class SuspectReply(Message):
    """Reply to ``SuspectQuery``."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    silent: bool
