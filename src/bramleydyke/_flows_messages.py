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
    """Caller port: a caller's datagram arrived at a service address."""

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
    """Number of the flow's upstream socket; a new number opens a new one."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketAnswered(Message):
    """Upstream port: the upstream sent a datagram on a flow's socket."""

    flow_id: FlowId
    binding: int
    data: bytes


# Between a balancer and an agent, or between two agents of a service.


class PacketForward(Message):
    """Carries a caller's datagram to the agent that owns its flow.

    Agents that do not hold the flow forward it and extend its lists.
    """

    flow_id: FlowId
    address: ServiceAddress
    caller: CallerAddress
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    """Configuration generation that ``lookup`` and ``admit`` are based on."""

    balancer: NodeId
    """Balancer that received the datagram; answers go back through it."""

    data: bytes
    hinted: UpstreamId | None = None
    """Owner in the balancer's confirmed hint; None without such a hint."""

    hops: int = 0
    """Number of agents that have forwarded the datagram, for the hop limit."""

    visited: tuple[UpstreamId, ...] = ()
    """Upstreams that do not hold the flow or are unreachable."""

    refused: tuple[UpstreamId, ...] = ()
    """Upstreams that must not or do not admit the flow."""

    lookup: tuple[UpstreamId, ...] = ()
    """Upstreams that may hold the flow, most likely first."""

    admit: tuple[UpstreamId, ...] = ()
    """Upstreams that may admit the flow, in order of preference."""

    followed: tuple[UpstreamId, ...] = ()
    """Upstreams that the datagram reached by following a pointer."""

    admissible: bool = True
    """False if agents must not admit a new flow for the datagram."""


class PacketReturn(Message):
    """Carries an upstream's datagram to the balancer that sends it on."""

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

    The age decides which agent keeps a flow that two agents have admitted.
    """

    reply: bool = False
    """True in the reply to the hint of another agent that holds the flow."""


class FlowReset(Message):
    """Reports that an upstream does not hold a flow.

    To the upstream port, it closes the flow's upstream socket.
    """

    flow_id: FlowId
    service_id: ServiceId
    upstream_id: UpstreamId
    kind: ErrorKind


class FlowProbe(Message):
    """Asks an agent if it holds a flow, or a balancer if it is running."""

    flow_id: FlowId
    service_id: ServiceId


class FlowAlive(Message):
    """Reply to ``FlowProbe``: the agent holds the flow, or the balancer runs.

    A stopping balancer also sends it without a probe.
    """

    flow_id: FlowId
    service_id: ServiceId
    leaving: bool = False
    """True if the balancer is about to stop and takes no more answers."""
