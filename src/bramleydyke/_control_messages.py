"""Messages of configuration dissemination, drain, status and counters."""

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
    """Generation of each partner's configuration at the sender.

    Peers compare digests to find out which of them lacks a newer one.
    """

    generations: dict[PartnerId, Generation]
    reply: bool = False
    """True in the reply to a digest, which is not answered again."""


class DeltaRequest(Message):
    """Asks for the services of a partner that changed after ``base``."""

    partner_id: PartnerId
    base: Generation
    service_id: ServiceId | None = None
    """Restricts the reply to an agent's own service; None: all services."""


# Drain and status. The sender holds a lease and adds its fencing token, so
# that a receiver can reject messages of an earlier lease holder.


class DrainOrder(Message):
    """Carries an operator's drain object, as the lease holder read it."""

    draining: bool
    version: int
    """Version of the drain object; an order with an older one is ignored."""

    path: str
    """Path of the drain object."""

    lease: str
    token: int


class DrainAck(Message):
    """Reply to ``DrainOrder``: acknowledges the order of this version."""

    path: str
    version: int
    incarnation: Incarnation


class StatusQuery(Message):
    """Asks a balancer of the zone for its part of the zone's status."""

    lease: str
    token: int


class StatusReply(Message):
    """Reply to ``StatusQuery``: generations held by a balancer and its agents.

    Its agents are those that send their heartbeats to this balancer.
    """

    generations: dict[PartnerId, Generation]
    agents: dict[PartnerId, dict[Generation, int]]
    drained: dict[PartnerId, list[str]] = {}
    """Upstreams without work whose agents drain, as ``service/upstream``."""


class Count(Message):
    """Adds ``amount`` to a counter of the local metrics."""

    name: str
    amount: int = 1


class SetDrain(Message):
    """Asks a process to drain, or to take new work again."""

    draining: bool
