"""Dissemination of the configuration among balancers and to agents.

After a change, a balancer pushes its generations to a few random peers. A peer
with an older generation requests the delta. The generation alone determines
which configuration is newer, and the platform's conditional write makes it
unique, so lost, duplicate or late messages never restore an older
configuration.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import CHANGE_FANOUT, DELTA_TIMEOUT_S, SECOND_PUSH_DELAY_S
from bramleydyke.core.config import ConfigDelta, ConfigStore
from bramleydyke.core.config_parts import ConfigReceiver, split_delta
from bramleydyke.core.timers import Timers
from bramleydyke.messages import ConfigDigest, DeltaRequest, Envelope
from bramleydyke.types import Generation, NodeId, PartnerId

MAX_SOURCES = 4
"""Maximum number of peers from which one generation is requested."""

MAX_ATTEMPTS = 6
"""Requests for one generation before the fetch is given up.

The next digest with a newer generation starts another fetch.
"""


@dataclass(slots=True)
class _Fetch:
    """A generation that was requested and has not arrived yet."""

    generation: Generation
    sources: deque[NodeId]
    """Peers that have the generation; the last request went to the first."""

    attempts: int = 1


@dataclass(slots=True, kw_only=True)
class Dissemination:
    """Exchanges the configuration with other balancers and serves agents.

    Attributes:
        node_id: This balancer.
        config: Configuration in force here.
        peers: Returns up to the given number of random peers to push to.
        receiver: Applies deltas and reassembles those in parts.
        fetches: Fetch in progress of each partner.
        timers: When each fetch tries the next source, in seconds.
        push_at: When to repeat the push after a change; None if not pending.
    """

    node_id: NodeId
    config: ConfigStore
    peers: Callable[[int], list[NodeId]]
    receiver: ConfigReceiver = field(init=False)
    fetches: dict[PartnerId, _Fetch] = field(default_factory=dict)
    timers: Timers[PartnerId] = field(default_factory=Timers)
    push_at: float | None = None

    def __post_init__(self) -> None:
        self.receiver = ConfigReceiver(node_id=self.node_id, config=self.config)

    def digest(self, peer: NodeId, *, reply: bool = False) -> Envelope:
        """Returns a message with this balancer's generations for a peer."""
        digest = ConfigDigest(generations=dict(self.config.generations), reply=reply)
        return Envelope(self.node_id, peer, digest)

    def push(self) -> list[Envelope]:
        """Sends this balancer's digest to ``CHANGE_FANOUT`` random peers."""
        return [self.digest(peer) for peer in self.peers(CHANGE_FANOUT)]

    def handle_digest(
        self, sender: NodeId, digest: ConfigDigest, *, now: float
    ) -> list[Envelope]:
        """Requests a peer's newer generations; replies if it has older ones.

        A digest that is itself a reply gets no reply.
        """
        out = [
            envelope
            for partner_id, generation in digest.generations.items()
            if generation > self.config.generation(partner_id)
            for envelope in self._fetch(partner_id, generation, sender, now=now)
        ]
        behind = any(
            generation > digest.generations.get(partner_id, Generation(0))
            for partner_id, generation in self.config.generations.items()
        )
        if behind and not digest.reply:
            out.append(self.digest(sender, reply=True))
        return out

    def handle_request(self, sender: NodeId, request: DeltaRequest) -> list[Envelope]:
        """Sends the entries that a balancer or agent lacks, in parts."""
        if request.base >= self.config.generation(request.partner_id):
            return []
        delta = self.config.delta_since(request.partner_id, request.base)
        if request.service_id is not None:
            own = (
                item for item in delta.services if item.service_id == request.service_id
            )
            delta = msgspec.structs.replace(delta, services=tuple(own))
        return [Envelope(self.node_id, sender, part) for part in split_delta(delta)]

    def take(self, sender: NodeId, delta: ConfigDelta, *, now: float) -> list[Envelope]:
        """Applies a delta and pushes the new generation to random peers.

        Pushes nothing if the delta is incomplete or not newer.
        """
        applied, out = self.receiver.apply_delta(sender, delta, now=now)
        if not applied:
            return out
        fetch = self.fetches.get(delta.partner_id)
        if fetch is not None and fetch.generation <= delta.generation:
            del self.fetches[delta.partner_id]
            self.timers.cancel(delta.partner_id)
        self.push_at = now + SECOND_PUSH_DELAY_S
        return self.push()

    def wake(self, *, now: float) -> list[Envelope]:
        """Repeats a due push; requests overdue deltas from other sources."""
        out: list[Envelope] = []
        if self.push_at is not None and now >= self.push_at:
            self.push_at = None
            out = self.push()
        due = [(item, self.fetches[item]) for item in self.timers.pop_due(now)]
        return out + [
            envelope
            for partner_id, fetch in due
            for envelope in self._fetch_from_next(partner_id, fetch, now=now)
        ]

    def next_wakeup(self) -> float | None:
        """Returns the time of the next due ``wake``; None if there is none."""
        times = (self.timers.next(), self.push_at)
        return min((at for at in times if at is not None), default=None)

    def _fetch(
        self, partner_id: PartnerId, generation: Generation, peer: NodeId, *, now: float
    ) -> list[Envelope]:
        """Requests a generation from a peer.

        If the generation was requested already, the peer is stored as an
        alternative source.
        """
        fetch = self.fetches.get(partner_id)
        if fetch is not None and fetch.generation >= generation:
            if len(fetch.sources) < MAX_SOURCES and peer not in fetch.sources:
                fetch.sources.append(peer)
            return []
        self.fetches[partner_id] = _Fetch(generation, deque([peer]))
        self.timers.set(partner_id, now + DELTA_TIMEOUT_S)
        return [self.receiver.request(partner_id, peer)]

    def _fetch_from_next(
        self, partner_id: PartnerId, fetch: _Fetch, *, now: float
    ) -> list[Envelope]:
        fetch.sources.rotate(-1)
        fetch.attempts += 1
        if fetch.attempts > MAX_ATTEMPTS:
            del self.fetches[partner_id]
            return []
        self.timers.set(partner_id, now + DELTA_TIMEOUT_S)
        return [self.receiver.request(partner_id, fetch.sources[0])]
