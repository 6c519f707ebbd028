"""Interfaces that a balancer or an agent needs from its environment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from bramleydyke.direct.types import NodeIp, Packet


class PacketCodec(Protocol):
    """Parses and builds packets in the platform's format."""

    def from_caller(self, datagram: bytes) -> Packet | None:
        """Parses a caller's packet; returns None if it is malformed."""

    def from_upstream(self, datagram: bytes) -> Packet | None:
        """Parses an upstream's packet; returns None if it is malformed."""

    def reset_for(self, packet: Packet) -> bytes:
        """Returns the packet that resets the flow of a caller's packet."""

    def packet_for_upstream(self, packet: Packet) -> bytes:
        """Returns a caller's packet in the form that an upstream expects."""


Send = Callable[[NodeIp, Any], None]
"""Sends a message to another node, without a guarantee of delivery."""

SendToCaller = Callable[[Packet, bytes], None]
"""Sends a datagram to the caller of a packet's flow."""

Deliver = Callable[[bytes], None]
"""Sends a datagram to the upstream on this VM."""

Count = Callable[[str], None]
"""Adds one to the counter with the given name."""

Observe = Callable[[str, float], None]
"""Adds a latency in seconds to the histogram with the given name."""

Record = Callable[..., None]
"""Logs an event with its inputs: ``record(event, **inputs)``."""
