"""Plans which agents a packet of an unknown flow visits.

A plan lists the agents that may hold the flow and those that may admit it.
"""

from __future__ import annotations

import msgspec

from bramleydyke.core.config import ConfigStore
from bramleydyke.core.flow_hints import flow_key
from bramleydyke.core.rendezvous import owner_order
from bramleydyke.messages import PacketForward

WIDE_LOOKUPS = 4
"""Number of first agents in the owner order that a restarted agent asks.

An agent that has run for longer asks only the first one. Both also ask the
first owners under previous weights.
"""


def plan_packet(
    packet: PacketForward, config: ConfigStore, *, wide_lookup: bool
) -> PacketForward:
    """Returns the packet with its lookup and admission lists filled in.

    The lists are kept if an agent with a newer configuration than this one
    filled them in, or if the packet's service is unknown here.

    Args:
        packet: A packet whose flow is not held here.
        config: Configuration of this agent.
        wide_lookup: True shortly after this agent started. Other agents may
            have admitted flows while it was down, so more of them are asked.
    """
    generation = config.generation(packet.partner_id)
    if packet.admit and packet.generation > generation:
        return packet
    service = config.service(packet.service_id)
    if service is None:
        return packet
    key = flow_key(packet.flow_id)
    order = owner_order(key, service.weights())
    previous_owners = (
        owner_order(key, weights)[:1]
        for weights in config.previous_weights(packet.service_id)
    )
    lookup_order = order[: WIDE_LOOKUPS if wide_lookup else 1]
    lookup_order += [upstream_id for first in previous_owners for upstream_id in first]
    return msgspec.structs.replace(
        packet,
        generation=generation,
        lookup=tuple(dict.fromkeys(lookup_order)),
        admit=tuple(order),
    )
