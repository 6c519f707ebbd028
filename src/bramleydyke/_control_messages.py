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

    The receiver compares them with its own to find outdated configurations.
    """

    generations: dict[PartnerId, Generation]
    reply: bool = False
    """True if this is the reply to a digest; it gets no further reply."""


class DeltaRequest(Message):
    """Requests the services of a partner that changed after ``base``."""

    partner_id: PartnerId
    base: Generation
    service_id: ServiceId | None = None
    """Only service to return; None returns all. An agent asks for its own."""


# Drain and status. The sender holds a lease and adds its fencing token, so
# that a receiver can reject messages from a former lease holder.


class DrainOrder(Message):
    """Tells a process to apply an operator's drain object.

    The holder of the lease reads the object and sends its contents.
    """

    draining: bool
    version: int
    """Version of the drain object; orders with older versions are ignored."""

    path: str
    """Path of the drain object."""

    lease: str
    token: int


class DrainAck(Message):
    """Acknowledges the ``DrainOrder`` with the same path and version."""

    path: str
    version: int
    incarnation: Incarnation


class StatusQuery(Message):
    """Asks a balancer of a zone for its contribution to the zone's status."""

    lease: str
    token: int


class StatusReply(Message):
    """Reply to ``StatusQuery``: generations held by a balancer and its agents.

    Its agents are those that send their heartbeats to this balancer.
    """

    generations: dict[PartnerId, Generation]
    """Generation of each partner's configuration at the balancer."""

    agents: dict[PartnerId, dict[Generation, int]]
    """Number of agents that hold each generation, for each partner."""

    drained: dict[PartnerId, list[str]] = {}
    """Drained upstreams (draining, without work), as ``service/upstream``."""


class Count(Message):
    """Adds ``amount`` to a counter in the metrics of this process."""

    name: str
    amount: int = 1


class SetDrain(Message):
    """Tells a process to drain, or to accept new work again."""

    draining: bool
