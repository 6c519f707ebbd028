"""Creates a balancer or an agent of one service, for benchmarks and tests."""

from __future__ import annotations

import random

from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import ConfigDelta, ServiceConfig, UpstreamSpec
from bramleydyke.core.flow_hints import flow_id_of
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.messages import Announcement, Envelope, FlowHint, PacketIn
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_PLATFORM,
    AvailabilityZone,
    CallerAddress,
    Generation,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    agent_node,
    balancer_node,
)

PARTNER = PartnerId("studio")
SERVICE = ServiceId("studio/preview")
ZONE = AvailabilityZone("swakop-a")
UPSTREAMS = [UpstreamId(f"u{index}") for index in range(7)]


def make_balancer(
    address: ServiceAddress,
    *,
    seed: int,
    protocol: Protocol = Protocol.UDP,
    agents: str = "127.0.0.1:1",
) -> Balancer:
    """Returns a balancer that serves an address with seven upstreams.

    Its packet limit is too high to be reached, so that it drops no packets.

    Args:
        address: The service address.
        seed: Seed of the balancer's random source.
        protocol: Protocol of the service.
        agents: Endpoint that all agents announce.
    """
    balancer = Balancer(
        node_id=balancer_node("b1"),
        incarnation=Incarnation(1),
        random_source=random.Random(seed),
        limits=PartnerLimits(packets_per_s=1e9),
    )
    service = ServiceConfig(
        service_id=SERVICE,
        partner_id=PARTNER,
        protocol=protocol,
        addresses=(address,),
        upstreams=tuple(UpstreamSpec(name, ZONE) for name in UPSTREAMS),
        changed_at=Generation(1),
    )
    config = ConfigDelta(PARTNER, Generation(0), Generation(1), (service,))
    balancer.receive(Envelope(LOCAL_PLATFORM, balancer.node_id, config), now=0.0)
    for name in UPSTREAMS:
        node_id = agent_node(SERVICE, name)
        announcement = Announcement(
            node_id=node_id,
            incarnation=Incarnation(1),
            revision=1,
            state=MemberState.RUNNING,
            zone=ZONE,
            endpoint=agents,
            partner_id=PARTNER,
            service_id=SERVICE,
            upstream_id=name,
        )
        balancer.receive(Envelope(node_id, balancer.node_id, announcement), now=0.0)
    return balancer


def establish_flow(
    balancer: Balancer,
    address: ServiceAddress,
    caller: CallerAddress,
    *,
    owner: UpstreamId,
    now: float,
) -> NodeId:
    """Opens a caller's flow with a hint of its owner and a first packet.

    Without the hint, the balancer would compute the flow's owner order. That
    takes most of the time but leaves nothing in memory.

    Returns:
        Node id of the owner's agent.
    """
    node_id = agent_node(SERVICE, owner)
    hint = FlowHint(
        flow_id=flow_id_of(address, caller),
        service_id=SERVICE,
        address=address,
        caller=caller,
        owner=owner,
    )
    packet = PacketIn(address=address, caller=caller, data=b"x")
    balancer.receive(Envelope(node_id, balancer.node_id, hint), now=now)
    sent = balancer.receive(Envelope(LOCAL_CALLER, balancer.node_id, packet), now=now)
    assert sent[0].receiver == node_id
    return node_id


def make_agent(
    service_id: ServiceId,
    upstream_id: UpstreamId,
    *,
    incarnation: int,
    balancers: list[NodeId],
    now: float,
) -> Agent:
    """Returns an agent; the service id must start with the partner id."""
    return Agent(
        partner_id=PartnerId(service_id.split("/")[0]),
        service_id=service_id,
        upstream_id=upstream_id,
        incarnation=Incarnation(incarnation),
        zone=ZONE,
        endpoint="127.0.0.1:1",
        slots=1,
        credential="",
        balancers=balancers,
        random_source=random.Random(7),
        now=now,
    )
