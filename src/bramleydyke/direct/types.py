"""Identifiers, upstream states and parsed packets of the direct mode."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, NewType

NodeIp = NewType("NodeIp", str)
"""IP address of a VM, which runs one balancer or one agent."""

FlowTuple = NewType("FlowTuple", bytes)
"""IPv4 address and port of the caller, then of the route: 12 bytes."""

RouteAddress = NewType("RouteAddress", bytes)
"""IPv4 address and port that callers send to: 6 bytes."""

Lifetime = NewType("Lifetime", int)
"""Identifies one run of an upstream; its agent assigns the number.

It is the upstream's start in Unix milliseconds. If the time of day was set
back before the start, it is a larger number: of two upstreams at one address,
the one with the larger value is newer.
"""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the configuration, numbered by the operator."""


class UpstreamState(Enum):
    """State of an upstream, as its agent announces it."""

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"
    """The upstream sends no reports or did not answer an opening packet."""

    PAUSED = "paused"
    """The upstream's agent is about to stop and accepts no new flows."""

    GONE = "gone"
    """The upstream has ended; its flows are dead."""


class Packet(NamedTuple):
    """Parsed header fields of a packet, with the packet as received.

    Attributes:
        flow: Caller and route that the packet belongs to.
        route: Address that the caller sends to.
        opening: True for the packet with which a caller opens a flow.
        accepting: True for an upstream's answer to an opening packet.
        bounced: True if the upstream returned the packet to the agent.
        reset: True if the sender aborts the flow.
        finish: True if the sender has sent all its data.
        copies: Number of the retransmission of an opening packet; 0 for the
            original.
        sequence: Sequence number of the packet's first byte.
        acknowledged: Sequence number of the next byte that the sender expects.
        payload_bytes: Size of the payload.
        datagram: The packet as received, which is forwarded unchanged.
    """

    flow: FlowTuple
    route: RouteAddress
    opening: bool
    accepting: bool
    bounced: bool
    reset: bool
    finish: bool
    copies: int
    sequence: int
    acknowledged: int
    payload_bytes: int
    datagram: bytes
