"""Messages of datagram flows."""

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

# Datagram flows: local ports.


class PacketIn(Message):
    """A caller's datagram arrived at a service address."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketOut(Message):
    """A datagram that leaves from a service address to a caller."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketDeliver(Message):
    """A caller's datagram for the upstream."""

    flow_id: FlowId
    binding: int
    """Number of the flow's upstream socket; a new number opens a new one."""

    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class PacketAnswered(Message):
    """A datagram that the upstream sent on a flow's socket."""

    flow_id: FlowId
    binding: int
    data: bytes


# Datagram flows: balancer and agent, agent and agent.


class PacketForward(Message):
    """A caller's datagram on its way to the agent that owns its flow."""

    flow_id: FlowId
    address: ServiceAddress
    caller: CallerAddress
    partner_id: PartnerId
    service_id: ServiceId
    generation: Generation
    """Generation by which ``lookup`` and ``admit`` were made."""

    balancer: NodeId
    """The balancer that took the datagram; answers go back through it."""

    data: bytes
    hinted: UpstreamId | None = None
    """Owner that the balancer knew of; None if it knew of none."""

    hops: int = 0
    """Agents that have passed the datagram on."""

    visited: tuple[UpstreamId, ...] = ()
    """Upstreams that do not hold the flow or cannot be reached."""

    refused: tuple[UpstreamId, ...] = ()
    """Upstreams that do not admit the flow."""

    lookup: tuple[UpstreamId, ...] = ()
    """Upstreams that may hold the flow, most likely first."""

    admit: tuple[UpstreamId, ...] = ()
    """Upstreams in the order in which they may admit the flow."""

    followed: tuple[UpstreamId, ...] = ()
    """Upstreams that were asked because they had said that they hold it."""

    admissible: bool = True
    """False if the datagram is only for an established flow."""


class PacketReturn(Message):
    """An upstream's datagram on its way back to the caller."""

    flow_id: FlowId
    service_id: ServiceId
    address: ServiceAddress
    caller: CallerAddress
    data: bytes


class FlowHint(Message):
    """Names the owner of a flow to a balancer, or to another agent."""

    flow_id: FlowId
    service_id: ServiceId
    address: ServiceAddress
    caller: CallerAddress
    owner: UpstreamId
    age: float = 0.0
    """Seconds since the owner admitted the flow."""

    reply: bool = False
    """True if it answers another agent that also holds the flow."""


class FlowReset(Message):
    """An upstream does not hold a flow any more, or never did."""

    flow_id: FlowId
    service_id: ServiceId
    upstream_id: UpstreamId
    kind: ErrorKind


class FlowProbe(Message):
    """Asks an agent whether it holds a flow, or a balancer whether it runs."""

    flow_id: FlowId
    service_id: ServiceId


class FlowAlive(Message):
    """Reply to ``FlowProbe``: the flow is held, or the balancer runs."""

    flow_id: FlowId
    service_id: ServiceId
    leaving: bool = False
    """True if the balancer is about to stop; answers should go elsewhere."""
