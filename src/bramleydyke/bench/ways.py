"""Alternatives to gossip for distributing the configuration.

In one, every process watches the platform; in the other, the balancers form a
tree. Both replace only the distribution of the configuration. Membership,
heartbeats and the agents' side are unchanged, so that results are comparable.
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
from bramleydyke.core.members import ABSENT_STATES, Members
from bramleydyke.core.platform_calls import PlatformCalls
from bramleydyke.core.watch import Watch
from bramleydyke.messages import Envelope, PlatformReply
from bramleydyke.types import NodeId, PartnerId, ServiceId

TREE_FANOUT = 4
"""Number of children of each node of the tree."""

NULL_NODE = NodeId("local/nobody")
"""Address for messages to discard; the network drops them."""


class WatchingCore:
    """Wraps a balancer or agent so that it watches its partners' sheets."""

    def __init__(
        self,
        core: Balancer | Agent,
        *,
        partners: list[PartnerId],
        random_source: random.Random,
    ) -> None:
        self.core = core
        self.node_id = core.node_id
        # Call numbers start high to differ from those of the wrapped core.
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
        """Handles one message; replies to watches do not reach the core."""
        payload = envelope.payload
        if isinstance(payload, PlatformReply) and payload.call in self.calls.pending:
            return self.calls.replied(payload, now=now)
        return self.core.receive(envelope, now=now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Runs the timers that are due, also those of the watches."""
        out = self.core.wake(now=now) + self.calls.wake(now=now)
        return out + [item for watch in self.watches for item in watch.wake(now=now)]

    def next_wakeup(self) -> float | None:
        """Returns the time of the next timer, None without one."""
        times = [self.core.next_wakeup(), self.calls.next_wakeup()]
        times += [watch.next_at for watch in self.watches]
        return min((at for at in times if at is not None), default=None)

    def _changed(self, reply: PlatformReply, now: float) -> list[Envelope]:
        config = msgspec.json.decode(reply.value or b"", type=PartnerConfig)
        delta = full_delta(config)
        if isinstance(self.core, Agent):
            delta = _for_service(delta, self.core.service_id)
        return self.core.receive(Envelope(NULL_NODE, self.node_id, delta), now=now)


def _for_service(delta: ConfigDelta, service_id: ServiceId) -> ConfigDelta:
    own = (item for item in delta.services if item.service_id == service_id)
    return msgspec.structs.replace(delta, services=tuple(own))


@dataclass(slots=True, kw_only=True)
class NoDistribution(Dissemination):
    """Turns off gossip: sends no digests to other balancers."""

    def push(self) -> list[Envelope]:
        """Returns no messages."""
        return []

    def digest(self, peer: NodeId, *, reply: bool = False) -> Envelope:
        """Returns a digest that the network drops."""
        return Envelope(
            self.node_id, NULL_NODE, Dissemination.digest(self, peer).payload
        )


@dataclass(slots=True, kw_only=True)
class TreeDistribution(Dissemination):
    """Sends digests along a tree of balancers instead of to random ones.

    A balancer pushes to its children and runs anti-entropy with its nearest
    running ancestor.

    Attributes:
        order: All balancers, the roots first.
        roots: Number of roots. Only these balancers watch the platform.
        index: Position of this balancer in ``order``.
    """

    order: list[NodeId]
    roots: int
    members: Members
    index: int = field(init=False)

    def __post_init__(self) -> None:
        Dissemination.__post_init__(self)
        self.index = self.order.index(self.node_id)

    def push(self) -> list[Envelope]:
        """Returns a digest for each child."""
        first = self.roots + TREE_FANOUT * self.index
        children = self.order[first : first + TREE_FANOUT]
        return [Dissemination.digest(self, child) for child in children]

    def digest(self, peer: NodeId, *, reply: bool = False) -> Envelope:
        """Returns a digest: a reply to the peer, else one for an ancestor."""
        receiver = peer if reply else self._ancestor()
        return Dissemination.digest(self, receiver, reply=reply)

    def _ancestor(self) -> NodeId:
        index = self.index
        while index >= self.roots:
            index = (index - self.roots) // TREE_FANOUT
            known = self.members.by_node.get(self.order[index])
            if known is not None and known.state not in ABSENT_STATES:
                return self.order[index]
        return NULL_NODE


Wrapper = Callable[[Balancer | Agent], Core]
"""Adapts a balancer or agent to a distribution method."""


def gossip(core: Balancer | Agent) -> Core:
    """Returns the core unchanged; balancers use gossip."""
    return core


def watch_per_process(
    partners: list[PartnerId], random_source: random.Random
) -> Wrapper:
    """Returns a wrapper that makes each process watch the platform."""

    def wrap(core: Balancer | Agent) -> Core:
        if isinstance(core, Agent):
            partner_id = core.announcement.partner_id
            own = [item for item in partners if item == partner_id]
        else:
            own = partners
            control = core.control
            control.dissemination = NoDistribution(
                node_id=core.node_id, config=core.config, peers=lambda count: []
            )
        return WatchingCore(core, partners=own, random_source=random_source)

    return wrap


def tree(
    partners: list[PartnerId],
    random_source: random.Random,
    order: list[NodeId],
    roots: int,
) -> Wrapper:
    """Returns a wrapper that arranges the balancers in a tree.

    Args:
        partners: Partners whose sheets the roots watch.
        random_source: Random source of the watches.
        order: All balancers, the roots first.
        roots: Number of roots.
    """

    def wrap(core: Balancer | Agent) -> Core:
        if isinstance(core, Agent):
            return core
        core.control.dissemination = TreeDistribution(
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
