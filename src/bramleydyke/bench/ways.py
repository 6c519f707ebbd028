"""Ways of spreading the configuration that were weighed and not chosen.

Both replace only the spread of the configuration; membership, heartbeats and
the agents' side are those of the real balancer, so that figures compare.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.bench.cores import Core
from bramleydyke.core.agent import Agent
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.config import ConfigDelta, PartnerConfig, full_delta
from bramleydyke.core.dissemination import Dissemination
from bramleydyke.core.members import GONE, Members
from bramleydyke.core.platform_calls import PlatformCalls
from bramleydyke.core.watch import Watch
from bramleydyke.messages import Envelope, PlatformReply
from bramleydyke.types import NodeId, PartnerId, ServiceId

TREE_FANOUT = 4
"""Children of each node of the tree."""

NOBODY = NodeId("local/nobody")
"""Receiver of messages that a way does not need; they are not sent."""


class WatchingCore:
    """A balancer or agent that watches the sheets of its partners itself."""

    def __init__(
        self,
        core: Balancer | Agent,
        *,
        partners: list[PartnerId],
        random_source: random.Random,
    ) -> None:
        self.core = core
        self.node_id = core.node_id
        self.calls = PlatformCalls(
            node_id=core.node_id, _numbers=itertools.count(1_000_000)
        )
        self.watches = [
            Watch(
                path=f"sheets/{partner_id}",
                calls=self.calls,
                changed=self._changed,
                active=lambda now: True,
                random_source=random_source,
            )
            for partner_id in partners
        ]

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Takes one message."""
        payload = envelope.payload
        if isinstance(payload, PlatformReply) and payload.call in self.calls.pending:
            return self.calls.replied(payload, now=now)
        return self.core.receive(envelope, now=now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Does what is due."""
        out = self.core.wake(now=now) + self.calls.wake(now=now)
        return out + [item for watch in self.watches for item in watch.wake(now=now)]

    def next_wakeup(self) -> float | None:
        """Returns when something is due."""
        times = [self.core.next_wakeup(), self.calls.next_wakeup()]
        times += [watch.next_at for watch in self.watches]
        return min((at for at in times if at is not None), default=None)

    def _changed(self, reply: PlatformReply, now: float) -> list[Envelope]:
        config = msgspec.json.decode(reply.value or b"", type=PartnerConfig)
        delta = full_delta(config)
        if isinstance(self.core, Agent):
            delta = _reduced(delta, self.core.service_id)
        return self.core.receive(Envelope(NOBODY, self.node_id, delta), now=now)


def _reduced(delta: ConfigDelta, service_id: ServiceId) -> ConfigDelta:
    own = (item for item in delta.services if item.service_id == service_id)
    return msgspec.structs.replace(delta, services=tuple(own))


@dataclass(slots=True, kw_only=True)
class NoSpread(Dissemination):
    """Neither pushes news nor compares states."""

    def push(self) -> list[Envelope]:
        """Tells nobody."""
        return []

    def digest(self, peer: NodeId, *, reply: bool = False) -> Envelope:
        """Returns a digest that is not sent."""
        return Envelope(self.node_id, NOBODY, Dissemination.digest(self, peer).payload)


@dataclass(slots=True, kw_only=True)
class TreeSpread(Dissemination):
    """Pushes news to children; compares states with the nearest live ancestor.

    Attributes:
        order: All balancers, the watchers at the roots first.
        roots: Number of watchers.
    """

    order: list[NodeId]
    roots: int
    members: Members
    index: int = field(init=False)

    def __post_init__(self) -> None:
        Dissemination.__post_init__(self)
        self.index = self.order.index(self.node_id)

    def push(self) -> list[Envelope]:
        """Tells the children."""
        first = self.roots + TREE_FANOUT * self.index
        children = self.order[first : first + TREE_FANOUT]
        return [Dissemination.digest(self, child) for child in children]

    def digest(self, peer: NodeId, *, reply: bool = False) -> Envelope:
        """Returns a digest for a peer that asked, or for the ancestor."""
        receiver = peer if reply else self._ancestor()
        return Dissemination.digest(self, receiver, reply=reply)

    def _ancestor(self) -> NodeId:
        index = self.index
        while index >= self.roots:
            index = (index - self.roots) // TREE_FANOUT
            known = self.members.by_node.get(self.order[index])
            if known is not None and known.state not in GONE:
                return self.order[index]
        return NOBODY


Wrap = Callable[[Balancer | Agent], Core]
"""Turns a balancer or agent into the core that a way runs."""


def gossip(core: Balancer | Agent) -> Core:
    """The chosen way: the core as it is."""
    return core


def watch_per_process(partners: list[PartnerId], random_source: random.Random) -> Wrap:
    """Each balancer and agent watches the platform."""

    def wrap(core: Balancer | Agent) -> Core:
        if isinstance(core, Agent):
            partner_id = core.announcement.partner_id
            own = [item for item in partners if item == partner_id]
        else:
            own = partners
            control = core.control
            control.dissemination = NoSpread(
                node_id=core.node_id, config=core.config, peers=lambda count: []
            )
        return WatchingCore(core, partners=own, random_source=random_source)

    return wrap


def tree(
    partners: list[PartnerId],
    random_source: random.Random,
    order: list[NodeId],
    roots: int,
) -> Wrap:
    """A tree of balancers whose roots watch the platform."""

    def wrap(core: Balancer | Agent) -> Core:
        if isinstance(core, Agent):
            return core
        core.control.dissemination = TreeSpread(
            node_id=core.node_id,
            config=core.config,
            peers=lambda count: [],
            order=order,
            roots=roots,
            members=core.members,
        )
        if order.index(core.node_id) >= roots:
            return core
        return WatchingCore(core, partners=partners, random_source=random_source)

    return wrap
