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
"""Agents at the head of the owner order that a restarted agent asks.

An agent that has run for longer asks only the first of them. Both also ask the
first owners by earlier configurations.
"""


def plan_packet(
    packet: PacketForward, config: ConfigStore, *, wide_lookup: bool
) -> PacketForward:
    """Returns the packet with its lookup and admission lists filled in.

    The lists of an agent with a newer configuration than this one stay, and so
    do those of a packet whose service is not known here.

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
    earlier = (
        owner_order(key, weights)[:1]
        for weights in config.previous_weights(packet.service_id)
    )
    chain = order[: WIDE_LOOKUPS if wide_lookup else 1]
    chain += [upstream_id for first in earlier for upstream_id in first]
    return msgspec.structs.replace(
        packet,
        generation=generation,
        lookup=tuple(dict.fromkeys(chain)),
        admit=tuple(order),
    )
