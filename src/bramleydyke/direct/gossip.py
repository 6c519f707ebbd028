"""Gossip of the configuration and of upstream changes among balancers.

Each balancer sends its configuration version to a few random peers at a fixed
interval, and to more of them after a change. A balancer with an older version
fetches the routes from the sender, so it needs neither the store nor its own
watch for that.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.core.rendezvous import owner_order
from bramleydyke.direct.constants import (
    CHANGE_FANOUT,
    LIVE_PEER_S,
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
"""Fetches the routes from a balancer with at least the given version."""


@dataclass(slots=True, kw_only=True)
class Gossip:
    """Exchanges versions and upstream changes with other balancers.

    Attributes:
        node: IP address of this balancer's VM.
        fetch: Fetches the routes from a peer with a newer version.
        peers: Other balancers, each with the time of its last notice in
            seconds.
        due_at: When the next periodic notices are sent, in seconds.
        leaving: True once this balancer is about to stop.
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
        """Adds a peer from the store; a new peer counts as active now."""
        if node != self.node:
            self.peers.setdefault(node, now)

    def remove_peer(self, node: NodeIp) -> None:
        """Removes a peer whose stored entry was removed."""
        self.peers.pop(node, None)

    def notice_received(self, notice: Notice, *, now: float) -> None:
        """Handles a peer's notice of its version.

        A newer configuration is fetched from the peer. A peer with an older
        configuration, or an unknown peer, gets a notice back.
        """
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

    def configuration_changed(self, *, now: float) -> None:
        """Sends the version of a newly applied configuration to some peers."""
        for node in self._sample_peers(CHANGE_FANOUT, now=now):
            self.send(node, self._notice())

    def relay(self, announcement: Announcement) -> None:
        """Sends an announcement that changed the directory to some peers."""
        message = Relayed(announcement)
        peers = list(self.peers)
        for node in self.random_source.sample(peers, min(CHANGE_FANOUT, len(peers))):
            self.send(node, message)

    def leave(self) -> None:
        """Tells all peers that this balancer is about to stop."""
        self.leaving = True
        for node in self.peers:
            self.send(node, self._notice())

    def is_responsible_for(self, node: NodeIp, *, now: float) -> bool:
        """Returns whether this balancer must remove the entries of a dead VM.

        Rendezvous hashing assigns each VM to one running balancer.
        """
        oldest = now - LIVE_PEER_S
        live = [peer for peer, at in self.peers.items() if at >= oldest]
        weights = dict.fromkeys(map(UpstreamId, [self.node, *live]), 1.0)
        return owner_order(node.encode(), weights)[0] == self.node

    def live_peers(self, *, now: float) -> int:
        """Returns the number of peers heard from within ``LIVE_PEER_S``."""
        oldest = now - LIVE_PEER_S
        return sum(at >= oldest for at in self.peers.values())

    def recent_peers(self, *, now: float) -> list[NodeIp]:
        """Returns up to ``NOTICE_FANOUT`` live peers, last heard first."""
        oldest = now - LIVE_PEER_S
        live = [node for node, at in self.peers.items() if at >= oldest]
        live.sort(key=lambda node: -self.peers[node])
        return live[:NOTICE_FANOUT]

    def next_wakeup(self) -> float:
        """Returns when the next periodic notices are due, in seconds."""
        return self.due_at

    def wake(self, *, now: float) -> None:
        """Sends the periodic notices when they are due."""
        if now < self.due_at:
            return
        self.due_at = now + NOTICE_INTERVAL_S
        if self.leaving:
            return
        for node in self._sample_peers(NOTICE_FANOUT, now=now):
            self.send(node, self._notice())

    def _notice(self) -> Notice:
        return Notice(self.node, self.routes.version, self.leaving)

    def _sample_peers(self, fanout: int, *, now: float) -> list[NodeIp]:
        """Returns up to ``fanout`` random active peers and one idle peer."""
        active = [node for node, at in self.peers.items() if now - at <= PEER_IDLE_S]
        idle = [node for node, at in self.peers.items() if now - at > PEER_IDLE_S]
        chosen = self.random_source.sample(active, min(fanout, len(active)))
        return chosen + self.random_source.sample(idle, min(1, len(idle)))
