"""Messages between balancers and agents: msgpack in UDP datagrams."""

from __future__ import annotations

from typing import Any

import msgspec

from bramleydyke.direct.store import Era, Revision
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
    """Base class of the messages, encoded as arrays that start with a tag."""


class Forward(Message, tag=1):
    """Balancer to agent: a caller's packet that is not an opening packet."""

    service: ServiceId
    probe: bool
    """True if the balancer does not know the holder of the flow.

    The agent then forwards the packet to its upstream as a probe and reports
    whether the upstream holds the flow.
    """

    lifetime: Lifetime
    """Lifetime of the upstream when the flow opened; 0 if unknown."""

    datagram: bytes


class Offer(Message, tag=11):
    """Balancer to agent: a caller's opening packet."""

    service: ServiceId
    priority: int
    """Priority of the flow's route; 0 is the most urgent."""

    age_s: float
    """Seconds since the balancer received the packet."""

    may_wait: bool
    """True if the agent may queue the packet until there is capacity."""

    datagram: bytes


class HandedOver(Message, tag=13):
    """Balancer to balancer: an opening packet of a stopping balancer."""

    age_s: float
    """Seconds since the caller sent the packet first."""

    datagram: bytes


class Load(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Load of an upstream per slot."""

    requests: float = 0.0
    """Unanswered requests, including flows in the agent's queue."""

    total: float = 0.0
    """``requests`` plus ``OPEN_FLOW_LOAD`` for each flow without a request."""


class HolderQuery(Message, tag=10):
    """Balancer to agent: asks which of these flows the upstream holds."""

    service: ServiceId
    flows: list[tuple[FlowTuple, int]]
    """Each flow with the sequence number acknowledged by its caller.

    If two upstreams accepted the flow, the number shows which of them the
    caller continues with.
    """


class Placed(Message, tag=2):
    """Agent to balancer: the upstream holds a flow or is opening it."""

    flow: FlowTuple
    lifetime: Lifetime
    first_sequence: int | None
    """First sequence number of the upstream; None for an open flow."""

    load: Load


class Refused(Message, tag=3):
    """Agent to balancer: the upstream does not accept the offered flow.

    The balancer then offers it to another agent.
    """

    flow: FlowTuple
    kind: ErrorKind
    load: Load


class Queued(Message, tag=12):
    """Agent to balancer: the opening packet waits in the agent's queue.

    The agent opens or refuses the flow within ``QUEUE_S``.
    """

    flow: FlowTuple
    load: Load


class Returned(Message, tag=4):
    """Agent to balancer: returns a packet of a flow it does not hold.

    The balancer then looks up the holder and sends the packet there.
    """

    flow: FlowTuple
    datagram: bytes


class NotHeld(Message, tag=8):
    """Agent to balancer: the upstream does not hold these flows."""

    flows: list[FlowTuple]


class ProbeNeeded(Message, tag=9):
    """Agent to balancer: only a probe can show whether it holds the flows.

    The agent has restarted and does not know which flows opened before.
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
    """Sequence number of the report that the announcement is based on."""

    revision: int
    """Number of the announcement among those based on the same report."""

    state: UpstreamState
    load: Load = Load()
    slots: int = 1
    start_ms: int = 0
    """Start of the upstream if ``lifetime`` is another number, otherwise 0."""

    def order(self) -> tuple[int, int, int]:
        """Returns a sort key that is larger for later announcements."""
        return (self.lifetime, self.sequence, self.revision)


class Notice(Message, tag=6):
    """Balancer to balancer: the sender's configuration version.

    ``leaving`` is True if the sender is about to stop.
    """

    node: NodeIp
    version: ConfigVersion
    leaving: bool = False


class Relayed(Message, tag=7):
    """Balancer to balancer: relays an announcement of a changed upstream.

    A balancer also sends it to an agent that has announced less, or a smaller
    number of its upstream's lifetime, than its earlier process did.
    """

    announcement: Announcement


class EntryOutdated(Message, tag=14):
    """Balancer to agent: the store's entry is older than what is known.

    Sent after the store was restored from a copy. The agent writes its entry
    again and announces its upstream to the sender.
    """

    era: Era
    """Era in which the balancer has read the entry."""

    revision: Revision
    """Revision of the entry; 0 if there is none."""


MeshMessage = (
    Forward
    | Offer
    | HandedOver
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
    | EntryOutdated
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
