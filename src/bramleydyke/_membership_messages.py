"""Messages of membership: announcements, heartbeats and failure detection.

Each process sends its heartbeats to its home balancers, which suspect it when
the heartbeats stop.
"""

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


class Announcement(Message):
    """Describes an agent or balancer to other nodes.

    Created by the process itself. A home balancer that suspects the process
    distributes the announcement with the state ``SUSPECT``.
    """

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    """Increases with each change within an incarnation."""

    state: MemberState
    zone: AvailabilityZone
    endpoint: str
    """Address for control and data messages as ``ip:port``."""

    partner_id: PartnerId | None = None
    service_id: ServiceId | None = None
    upstream_id: UpstreamId | None = None
    slots: int = 1
    credential: str = ""
    """Proves that the agent belongs to the partner."""


class Heartbeat(Message):
    """Tells a home balancer that the sender is running."""

    incarnation: Incarnation
    revision: int
    view: int = 0
    """Hash of the members that an agent knows, to detect missing members."""

    partner_id: PartnerId | None = None
    generation: Generation = Generation(0)
    """Generation of its partner's configuration that an agent has applied."""

    drained: bool = False
    """True if an agent is draining and has no work in progress."""


class HeartbeatReply(Message):
    """Reply to ``Heartbeat``: what the balancer knows of its sender."""

    incarnation: Incarnation
    revision: int
    state: MemberState | None
    """None if the balancer does not know the sender."""

    generation: Generation = Generation(0)
    """Generation of the partner's configuration at the home balancer."""


class MemberDigest(Message):
    """One hash per bucket of members.

    Balancers compare digests to find the buckets whose members differ.
    """

    buckets: bytes
    """Concatenated hashes of 4 bytes, one per bucket."""


class MemberVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version of the announcement of a node that a process holds."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    state: MemberState


class MemberSummary(Message):
    """Versions of the announcements that the sender holds in one bucket."""

    bucket: int
    versions: tuple[MemberVersion, ...]


class MemberDelta(Message):
    """Carries announcements that the receiver may lack."""

    announcements: tuple[Announcement, ...]
    wanted: tuple[NodeId, ...] = ()
    """Nodes whose announcements the sender lacks and asks for."""

    complete: bool = False
    """True if the message has all members that the receiving agent needs."""

    bulk: bool = False
    """True if sent to a process that is joining, which does not forward it."""

    again: bool = False
    """True if more members may differ: the receiver should compare again."""


class SuspectQuery(Message):
    """Asks another home balancer whether it misses a node's heartbeats too."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int


class SuspectReply(Message):
    """Reply to ``SuspectQuery`` about the same version of a node."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    silent: bool
    """True if the sender of the reply receives no heartbeats either.

    False also if it does not watch the node or cannot tell.
    """
