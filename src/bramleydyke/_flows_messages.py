"""Messages of datagram flows: local ports, balancers and agents."""

from __future__ import annotations

from bramleydyke._message_base import Message
from bramleydyke.errors import ErrorKind
from bramleydyke.types import (
    CallerAddress,
    FlowId,
    Generation,
    NodeId,
    PartnerId,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

# Between a role and its local caller or upstream port.


class PacketIn(Message):
    """From the caller port: a caller sent a datagram to a service address."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketOut(Message):
    """Asks the caller port to send a datagram from a service address."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketDeliver(Message):
    """Asks the upstream port to send a caller's datagram to the upstream."""

    flow_id: FlowId
    binding: int
    """Number of the flow's upstream socket; a new number opens another one."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketAnswered(Message):
    """From the upstream port: the upstream sent a datagram of a flow."""

    flow_id: FlowId
    binding: int
    data: bytes


# Between a balancer and an agent, or between two agents of a service.


class PacketForward(Message):
    """Carries a caller's datagram to the agent that owns its flow.

    An agent that does not hold the flow forwards the datagram to another agent
    and adds to the lists ``visited``, ``refused`` and ``followed``.
    """

    flow_id: FlowId
    address: ServiceAddress
    caller: CallerAddress
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    """Configuration generation that ``lookup`` and ``admit`` are based on."""

    balancer: NodeId
    """Balancer that received the datagram; answers return through it."""

    data: bytes
    hinted: UpstreamId | None = None
    """Owner of the flow by a confirmed hint of the balancer, if it has one."""

    hops: int = 0
    """Number of agents that have forwarded the datagram, for the hop limit."""

    visited: tuple[UpstreamId, ...] = ()
    """Upstreams that do not hold the flow or are unreachable."""

    refused: tuple[UpstreamId, ...] = ()
    """Upstreams that must not admit the flow or have refused it."""

    lookup: tuple[UpstreamId, ...] = ()
    """Upstreams that may hold the flow, most likely first."""

    admit: tuple[UpstreamId, ...] = ()
    """Upstreams that may admit the flow, in order of preference."""

    followed: tuple[UpstreamId, ...] = ()
    """Upstreams to which the datagram was forwarded by following a pointer."""

    admissible: bool = True
    """Whether an agent may admit a new flow for the datagram."""


class PacketReturn(Message):
    """Carries an upstream's datagram to a balancer, for the caller."""

    flow_id: FlowId
    service_id: ServiceId
    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class FlowHint(Message):
    """Reports the owner of a flow to a balancer or to another agent."""

    flow_id: FlowId
    service_id: ServiceId
    address: ServiceAddress
    caller: CallerAddress
    owner: UpstreamId
    age: float = 0.0
    """Seconds since the owner admitted the flow.

    If two agents have admitted a flow, the age decides which of them keeps it:
    the one that admitted it earlier or, if both did so within
    ``flow_peers.CONCURRENT_ADMISSION_S``, the one with the higher upstream id.
    """

    reply: bool = False
    """True in the reply to the hint of another agent that holds the flow."""


class FlowReset(Message):
    """Reports that an upstream does not hold a flow.

    Sent to the upstream port, the message closes the flow's upstream socket.
    """

    flow_id: FlowId
    service_id: ServiceId
    upstream_id: UpstreamId
    kind: ErrorKind


class FlowProbe(Message):
    """Asks an agent whether it holds a flow, or a balancer whether it runs."""

    flow_id: FlowId
    service_id: ServiceId


class FlowAlive(Message):
    """Reply to ``FlowProbe``: the agent holds the flow, or the balancer runs.

    A stopping balancer also sends it without a probe.
    """

    flow_id: FlowId
    service_id: ServiceId
    leaving: bool = False
    """True if the balancer is stopping and accepts no more answers."""
