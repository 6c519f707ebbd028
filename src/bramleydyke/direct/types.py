"""Identifiers, states and the view of a packet in the direct mode."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, NewType

NodeIp = NewType("NodeIp", str)
"""IP number of a VM; it runs one process of the system."""

FlowTuple = NewType("FlowTuple", bytes)
"""Caller's address and port, then the route's, 12 bytes."""

RouteAddress = NewType("RouteAddress", bytes)
"""Address and port that callers send to, 6 bytes."""

Lifetime = NewType("Lifetime", int)
"""Start of an upstream in Unix milliseconds; orders those at one address."""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the configuration, as the operator numbers it."""


class UpstreamState(Enum):
    """State of an upstream, as its agent sees it."""

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"
    """It sends no reports, or leaves opening packets unanswered."""

    PAUSED = "paused"
    """Its agent is about to restart."""

    GONE = "gone"
    """It has ended; its flows are dead."""


class Packet(NamedTuple):
    """What the system reads in a packet; it cannot change the rest.

    Attributes:
        opening: True for the packet that asks for a flow.
        accepting: True for an upstream's answer to it.
        bounced: True if an upstream gave the packet back.
        reset: True if the sender ends the flow at once.
        finish: True if the sender has sent all its data.
        copies: Number of the copy of an opening packet, from 0.
        sequence: Number of the packet's first byte.
        acknowledged: Next byte that the sender expects.
        datagram: The packet as received.
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
