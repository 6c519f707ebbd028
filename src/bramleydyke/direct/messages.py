"""Messages between balancers and agents: msgpack in UDP datagrams."""

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
    """Base class of the messages, which are arrays that start with a tag."""


class Forward(Message, tag=1):
    """Balancer to agent: a caller's packet that is not an opening packet."""

    service: ServiceId
    probe: bool
    """True if the balancer does not know the holder of the flow.

    The agent then hands the packet to its upstream as a probe and reports
    whether the upstream holds the flow.
    """

    lifetime: Lifetime
    """Lifetime of the upstream in which the flow opened; 0 if unknown."""

    datagram: bytes


class Offer(Message, tag=11):
    """Balancer to agent: a caller's opening packet."""

    service: ServiceId
    priority: int
    """Priority of the flow's route; 0 is the most urgent."""

    age_s: float
    """Seconds since the balancer received the packet."""

    may_wait: bool
    """True if the agent may queue the packet until its upstream has room."""

    datagram: bytes


class Load(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Load of an upstream, divided by the number of its slots."""

    requests: float = 0.0
    """Unanswered requests, including flows that wait to open."""

    total: float = 0.0
    """``requests`` plus ``OPEN_FLOW_LOAD`` for each flow without a request."""


class HolderQuery(Message, tag=10):
    """Balancer to agent: asks which of some flows the upstream holds."""

    service: ServiceId
    flows: list[tuple[FlowTuple, int]]
    """Each flow with the sequence number that its caller acknowledges.

    If two upstreams accepted the flow, that number shows with which of them
    the caller continues.
    """


class Placed(Message, tag=2):
    """Agent to balancer: the upstream holds a flow or is opening it."""

    flow: FlowTuple
    lifetime: Lifetime
    first_sequence: int | None
    """Sequence number of the upstream's answer; None for an open flow."""

    load: Load


class Refused(Message, tag=3):
    """Agent to balancer: the upstream does not take the offered flow.

    The balancer then offers it to another agent.
    """

    flow: FlowTuple
    kind: ErrorKind
    load: Load


class Queued(Message, tag=12):
    """Agent to balancer: an opening packet is queued until there is room.

    The agent opens the flow or refuses it within ``QUEUE_S``.
    """

    flow: FlowTuple
    load: Load


class Returned(Message, tag=4):
    """Agent to balancer: returns a packet of a flow that is not held here.

    The balancer then looks up the holder and sends the packet there.
    """

    flow: FlowTuple
    datagram: bytes


class NotHeld(Message, tag=8):
    """Agent to balancer: the upstream does not hold these flows."""

    flows: list[FlowTuple]


class ProbeNeeded(Message, tag=9):
    """Agent to balancer: a probe must show whether these flows are held.

    The agent has restarted and does not know the earlier flows.
    """

    flows: list[FlowTuple]


class Announcement(Message, tag=5):
    """State of an upstream, sent by its agent to balancers.

    Announcements are ordered by lifetime, sequence and revision.
    """

    node: NodeIp
    zone: AvailabilityZone
    service: ServiceId
    upstream: UpstreamId
    lifetime: Lifetime
    sequence: int
    """Number of the upstream's report that the announcement is based on."""

    revision: int
    """Number of the announcement among those based on that report."""

    state: UpstreamState
    load: Load = Load()
    slots: int = 1

    def order(self) -> tuple[int, int, int]:
        """Returns a sort key that is larger for later announcements."""
        return (self.lifetime, self.sequence, self.revision)


class Notice(Message, tag=6):
    """Balancer to balancer: the configuration version used by the sender."""

    node: NodeIp
    version: ConfigVersion
    leaving: bool = False


class Relayed(Message, tag=7):
    """Balancer to balancer: relays an announcement that changed a state."""

    announcement: Announcement


MeshMessage = (
    Forward
    | Offer
    | HolderQuery
    | Placed
    | Queued
    | Refused
    | Returned
    | NotHeld
    | ProbeNeeded
    | Announcement
    | Notice
    | Relayed
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(MeshMessage)


def encode(message: Any) -> bytes:
    """Encodes a message as a datagram."""
    return _ENCODER.encode(message)


def decode(datagram: bytes) -> Any:
    """Decodes a message from a datagram.

    Raises:
        msgspec.MsgspecError: The datagram is not a message.
    """
    return _DECODER.decode(datagram)
