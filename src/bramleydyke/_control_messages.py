"""Messages of configuration, drain, status and counters."""

from __future__ import annotations

from bramleydyke._message_base import Message
from bramleydyke.types import (
    Generation,
    Incarnation,
    PartnerId,
    ServiceId,
)

# Configuration dissemination; ``ConfigDelta`` is in ``core.config``.


class ConfigDigest(Message):
    """Newest generation of each partner at the sender."""

    generations: dict[PartnerId, Generation]
    reply: bool = False
    """True: an answer to a digest, which needs no answer itself."""


class DeltaRequest(Message):
    """Asks for the entries that changed after a generation."""

    partner_id: PartnerId
    base: Generation
    service_id: ServiceId | None = None
    """Only this service, for an agent; None: all services."""


# Drain and status; sent by the holder of a lease with its fencing token.


class DrainOrder(Message):
    """An operator's drain object as a lease holder read it."""

    draining: bool
    version: int
    """Version of the drain object; older orders are ignored."""

    path: str
    """Path of the drain object."""

    lease: str
    token: int


class DrainAck(Message):
    """The receiver of a drain order acts on it."""

    path: str
    version: int
    incarnation: Incarnation


class StatusQuery(Message):
    """Asks a balancer of the zone for its share of the zone's status."""

    lease: str
    token: int


class StatusReply(Message):
    """Generations that a balancer and the agents it is home of hold."""

    generations: dict[PartnerId, Generation]
    agents: dict[PartnerId, dict[Generation, int]]
    drained: dict[PartnerId, list[str]] = {}
    """Upstreams without work whose agents drain, as ``service/upstream``."""


class Count(Message):
    """Adds to a counter."""

    name: str
    amount: int = 1


class SetDrain(Message):
    """Asks a process to drain, or to take new work again."""

    draining: bool
