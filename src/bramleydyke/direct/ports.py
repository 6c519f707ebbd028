"""What the environment provides to the roles of the direct mode."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from bramleydyke.direct.types import NodeIp, Packet


class PacketCodec(Protocol):
    """Reads the packets of the platform that the system runs on."""

    def from_caller(self, datagram: bytes) -> Packet | None:
        """Reads a caller's packet; None if it is malformed."""

    def from_upstream(self, datagram: bytes) -> Packet | None:
        """Reads a packet that an upstream sent or gave back."""

    def reset_for(self, packet: Packet) -> bytes:
        """Returns the packet that resets the flow of a caller's packet."""

    def deliverable(self, packet: Packet) -> bytes:
        """Returns a caller's packet as an upstream takes it."""


Send = Callable[[NodeIp, Any], None]
"""Sends a message to another node; it may be lost."""

SendToCaller = Callable[[Packet, bytes], None]
"""Sends a datagram to the caller of a packet's flow."""

Deliver = Callable[[bytes], None]
"""Hands a datagram to the upstream on this VM."""

Count = Callable[[str], None]
"""Adds one to a counter."""

Observe = Callable[[str, float], None]
"""Adds a latency in seconds to a histogram."""

Record = Callable[..., None]
"""Logs a decision: ``record(event, **inputs)``."""
