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
    """Describes an agent or balancer; made by the process itself."""

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
    """Proves that the announcement was made on behalf of the partner."""


class Heartbeat(Message):
    """Shows a home balancer that an announced process is alive."""

    incarnation: Incarnation
    revision: int
    view: int = 0
    """Hash of the members that an agent knows, to detect missing ones."""

    partner_id: PartnerId | None = None
    generation: Generation = Generation(0)
    """Generation of its partner's configuration that an agent applies."""

    drained: bool = False
    """True if an agent is draining and has no work in progress."""


class HeartbeatReply(Message):
    """Reply to ``Heartbeat``: what the home balancer knows of its sender."""

    incarnation: Incarnation
    revision: int
    state: MemberState | None
    """None if the balancer does not know the sender."""

    generation: Generation = Generation(0)
    """Generation of the agent's partner's configuration at the balancer."""


class MemberDigest(Message):
    """Hashes of the members in each bucket.

    Peers compare digests to find buckets whose members differ.
    """

    buckets: bytes
    """One hash of 4 bytes for each bucket."""


class MemberVersion(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the announcement of a node that a process holds."""

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
    """True if it carries all members that the receiving agent needs."""

    bulk: bool = False
    """True if sent to a process that has just joined; not spread further."""

    again: bool = False
    """True if the receiver should compare again, as more may differ."""


class SuspectQuery(Message):
    """Asks the other home balancer if a node sends it no heartbeats either."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int


class SuspectReply(Message):
    """Reply to ``SuspectQuery``."""

    node_id: NodeId
    incarnation: Incarnation
    revision: int
    silent: bool
    """True if the heartbeats stopped there too.

    False also if that balancer does not watch the node, or cannot judge it.
    """
