"""Messages between balancers and agents, msgpack over UDP."""

from __future__ import annotations

from typing import Any

import msgspec

from bramleydyke.direct.types import (
    ConfigVersion,
    FlowTuple,
    Lifetime,
    NodeIp,
    UpstreamState,
)
from bramleydyke.errors import ErrorKind
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base of the messages."""


class Forward(Message, tag=1):
    """Balancer to agent: a caller's packet, but for opening packets."""

    service: ServiceId
    probe: bool
    """True if the agent shall try the flow at its upstream and tell."""

    lifetime: Lifetime
    """Upstream lifetime that opened the flow; 0 if not known."""

    datagram: bytes


class Offer(Message, tag=11):
    """Balancer to agent: a caller's opening packet."""

    service: ServiceId
    priority: int
    """Priority of its route; 0 is the most urgent."""

    age_s: float
    """Time since the balancer received it."""

    may_wait: bool
    """True if the agent may keep it until its upstream has room."""

    datagram: bytes


class Load(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """How busy an upstream is, for each of its slots."""

    requests: float = 0.0
    """Requests that have no response yet, with those that wait to open."""

    total: float = 0.0
    """The same, with a small part for each open flow."""


class Seek(Message, tag=10):
    """Balancer to agent: which of some flows does the upstream hold?"""

    service: ServiceId
    flows: list[tuple[FlowTuple, int]]
    """Each flow with what its caller acknowledges.

    The acknowledgement shows the upstream that the caller means.
    """


class Placed(Message, tag=2):
    """Agent to balancer: the upstream holds a flow or is opening it."""

    flow: FlowTuple
    lifetime: Lifetime
    first_sequence: int | None
    """Sequence of the upstream's answer; None once the flow is open."""

    load: Load


class Refused(Message, tag=3):
    """Agent to balancer: the upstream takes no new flow."""

    flow: FlowTuple
    kind: ErrorKind
    load: Load


class Queued(Message, tag=12):
    """Agent to balancer: an opening packet waits for room at the upstream."""

    flow: FlowTuple
    load: Load


class Returned(Message, tag=4):
    """Agent to balancer: a packet whose flow the upstream does not hold."""

    flow: FlowTuple
    datagram: bytes


class Absent(Message, tag=8):
    """Agent to balancer: the upstream surely does not hold these flows."""

    flows: list[FlowTuple]


class Unsure(Message, tag=9):
    """Agent to balancer: the upstream may hold these flows from earlier."""

    flows: list[FlowTuple]


class Announcement(Message, tag=5):
    """State of an upstream; ordered by lifetime, sequence and revision."""

    node: NodeIp
    zone: AvailabilityZone
    service: ServiceId
    upstream: UpstreamId
    lifetime: Lifetime
    sequence: int
    """Number of the upstream's report that it rests on."""

    revision: int
    """Number of the agent's announcement for that report."""

    state: UpstreamState
    load: Load = Load()
    slots: int = 1

    def order(self) -> tuple[int, int, int]:
        """Returns what later announcements have larger."""
        return (self.lifetime, self.sequence, self.revision)


class Notice(Message, tag=6):
    """Balancer to balancer: the version that is in force at the sender."""

    node: NodeIp
    version: ConfigVersion
    leaving: bool = False


class Relayed(Message, tag=7):
    """Balancer to balancer: a changed announcement that it received."""

    announcement: Announcement


MeshMessage = (
    Forward
    | Offer
    | Seek
    | Placed
    | Queued
    | Refused
    | Returned
    | Absent
    | Unsure
    | Announcement
    | Notice
    | Relayed
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(MeshMessage)


def encode(message: Any) -> bytes:
    """Returns the datagram of a message."""
    return _ENCODER.encode(message)


def decode(datagram: bytes) -> Any:
    """Returns the message of a datagram.

    Raises:
        msgspec.MsgspecError: The datagram is not a message.
    """
    return _DECODER.decode(datagram)
