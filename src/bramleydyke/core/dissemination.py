"""Dissemination of the configuration among balancers and to agents.

News is announced to a few random peers by generation; whoever is behind asks
for the difference. Generations of the platform are the only order, so lost,
doubled or old messages never bring an older configuration back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import DELTA_TIMEOUT_S, FANOUT, PUSH_AGAIN_S
from bramleydyke.core.config import ConfigDelta, ConfigStore
from bramleydyke.core.config_parts import ConfigReceiver, split_delta
from bramleydyke.core.timers import Timers
from bramleydyke.messages import ConfigDigest, DeltaRequest, Envelope
from bramleydyke.types import Generation, NodeId, PartnerId

MAX_SOURCES = 4
"""Peers with a newer generation that are kept in case one does not answer."""

MAX_ATTEMPTS = 6
"""Requests for one generation; after that the next digest starts anew."""


@dataclass(slots=True)
class _Fetch:
    generation: Generation
    sources: deque[NodeId]
    """Peers that have the generation; the first has been asked."""

    attempts: int = 1


@dataclass(slots=True, kw_only=True)
class Dissemination:
    """The configuration's way through one balancer.

    Attributes:
        node_id: This balancer.
        config: Configuration in force here.
        peers: Returns the balancers that news is sent to.
        receiver: Applies deltas, whole or in parts.
        fetches: Generation of each partner that has been asked for.
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
        """Returns this balancer's digest for a peer."""
        digest = ConfigDigest(generations=dict(self.config.generations), reply=reply)
        return Envelope(self.node_id, peer, digest)

    def push(self) -> list[Envelope]:
        """Returns digests that tell random peers of news."""
        return [self.digest(peer) for peer in self.peers(FANOUT)]

    def handle_digest(
        self, sender: NodeId, digest: ConfigDigest, *, now: float
    ) -> list[Envelope]:
        """Asks for what a peer has newer; tells it what it lacks."""
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
        """Answers with the entries that a peer or an agent lacks."""
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
        """Takes a delta into force and tells peers of it."""
        applied, out = self.receiver.take(sender, delta, now=now)
        if not applied:
            return out
        fetch = self.fetches.get(delta.partner_id)
        if fetch is not None and fetch.generation <= delta.generation:
            del self.fetches[delta.partner_id]
            self.timers.cancel(delta.partner_id)
        self.push_at = now + PUSH_AGAIN_S
        return self.push()

    def wake(self, *, now: float) -> list[Envelope]:
        """Pushes news again; asks the next peer where one did not answer."""
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
        """Returns when ``wake`` has something to do."""
        times = (self.timers.next(), self.push_at)
        return min((at for at in times if at is not None), default=None)

    def _fetch(
        self, partner_id: PartnerId, generation: Generation, peer: NodeId, *, now: float
    ) -> list[Envelope]:
        """Asks a peer, unless another one has been asked for the same."""
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
