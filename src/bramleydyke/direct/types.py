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
"""Start of an upstream in Unix milliseconds.

Of two upstreams at one address, the one with the larger number is newer.
"""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the configuration, numbered by the operator."""


class UpstreamState(Enum):
    """State of an upstream, as its agent announces it."""

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"
    """It sends no reports or did not answer an opening packet."""

    PAUSED = "paused"
    """Its agent is about to stop and takes no new flows."""

    GONE = "gone"
    """It has ended; its flows are dead."""


class Packet(NamedTuple):
    """Parsed header fields of a packet, with the packet as received.

    Attributes:
        flow: Caller and route that the packet belongs to.
        route: Address that the caller sends to.
        opening: True for a caller's first packet, which asks for a flow.
        accepting: True for an upstream's answer to an opening packet.
        bounced: True if an upstream returned the packet.
        reset: True if the sender ends the flow at once.
        finish: True if the sender has sent all its data.
        copies: Times that the caller has repeated an opening packet; 0 for
            the original.
        sequence: Sequence number of the packet's first byte.
        acknowledged: Sequence number of the next byte the sender expects.
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
