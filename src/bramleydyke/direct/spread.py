"""Spread of the configuration and of changed upstreams among balancers.

Each balancer tells a few others its version at a steady interval and all of
them, up to a bound, at a change. One that is behind fetches the routes from
the sender, so that it needs neither the store nor its own watch.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.core.rendezvous import owner_order
from bramleydyke.direct.constants import (
    LIVE_PEER_S,
    NEWS_FANOUT,
    NOTICE_FANOUT,
    NOTICE_INTERVAL_S,
    PEER_IDLE_S,
)
from bramleydyke.direct.messages import Announcement, Notice, Relayed
from bramleydyke.direct.ports import Send
from bramleydyke.direct.routes import Routes
from bramleydyke.direct.types import ConfigVersion, NodeIp
from bramleydyke.types import UpstreamId

Fetch = Callable[[NodeIp, ConfigVersion], None]
"""Fetches the routes of a balancer that has at least a version."""


@dataclass(slots=True, kw_only=True)
class Spread:
    """Notices between this balancer and the others.

    Attributes:
        peers: Other balancers and when each was last heard, in seconds.
    """

    node: NodeIp
    routes: Routes
    send: Send
    fetch: Fetch
    random_source: random.Random
    peers: dict[NodeIp, float] = field(default_factory=dict)
    due_at: float = 0.0
    leaving: bool = False

    def add_peer(self, node: NodeIp, *, now: float) -> None:
        """Adds a balancer; an unknown one counts as just heard."""
        if node != self.node:
            self.peers.setdefault(node, now)

    def remove_peer(self, node: NodeIp) -> None:
        """Forgets a balancer whose entry was removed."""
        self.peers.pop(node, None)

    def noticed(self, notice: Notice, *, now: float) -> None:
        """Takes another balancer's version."""
        if notice.node == self.node:
            return
        if notice.leaving:
            self.peers.pop(notice.node, None)
            return
        known = notice.node in self.peers
        self.peers[notice.node] = now
        if notice.version > self.routes.version:
            self.fetch(notice.node, notice.version)
        elif notice.version < self.routes.version or not known:
            self.send(notice.node, self._notice())

    def changed(self, *, now: float) -> None:
        """Tells other balancers of a configuration that is new here."""
        for node in self._some(NEWS_FANOUT, now=now):
            self.send(node, self._notice())

    def relay(self, announcement: Announcement) -> None:
        """Passes a changed announcement on to other balancers."""
        message = Relayed(announcement)
        peers = list(self.peers)
        for node in self.random_source.sample(peers, min(NEWS_FANOUT, len(peers))):
            self.send(node, message)

    def leave(self) -> None:
        """Tells the other balancers that this one stops."""
        self.leaving = True
        for node in self.peers:
            self.send(node, self._notice())

    def looks_after(self, node: NodeIp, *, now: float) -> bool:
        """Tells whether this balancer cleans up after a VM that is gone."""
        oldest = now - LIVE_PEER_S
        live = [peer for peer, at in self.peers.items() if at >= oldest]
        weights = dict.fromkeys(map(UpstreamId, [self.node, *live]), 1.0)
        return owner_order(node.encode(), weights)[0] == self.node

    def live_peers(self, *, now: float) -> int:
        """Returns the number of balancers that were heard a moment ago."""
        oldest = now - LIVE_PEER_S
        return sum(at >= oldest for at in self.peers.values())

    def next_wakeup(self) -> float:
        """Returns when the next notice is due."""
        return self.due_at

    def wake(self, *, now: float) -> None:
        """Sends the periodic notices."""
        if now < self.due_at:
            return
        self.due_at = now + NOTICE_INTERVAL_S
        if self.leaving:
            return
        for node in self._some(NOTICE_FANOUT, now=now):
            self.send(node, self._notice())

    def _notice(self) -> Notice:
        return Notice(self.node, self.routes.version, self.leaving)

    def _some(self, fanout: int, *, now: float) -> list[NodeIp]:
        """Returns random peers: those heard lately, and one of the others."""
        heard = [node for node, at in self.peers.items() if now - at <= PEER_IDLE_S]
        idle = [node for node, at in self.peers.items() if now - at > PEER_IDLE_S]
        chosen = self.random_source.sample(heard, min(fanout, len(heard)))
        return chosen + self.random_source.sample(idle, min(1, len(idle)))
