"""Byte streams at a balancer: opens a stream to an agent per connection.

No byte is sent before an agent has opened the stream. Until then a refusal or
a timeout is safe to retry with the next candidate.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import (
    CHAIN_LENGTH,
    PROBE_TIMEOUT_S,
    PROBE_TRIES,
    STREAM_KEEPALIVE_S,
    STREAM_OPEN_S,
)
from bramleydyke.core.config import ConfigStore, ServiceConfig
from bramleydyke.core.health import HealthView
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.rendezvous import owner_order
from bramleydyke.core.retry import RetryBudget, backoff
from bramleydyke.core.stream_table import StreamTable
from bramleydyke.core.streams import Stream
from bramleydyke.core.timers import Timers
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import (
    ConnectionAbort,
    ConnectionData,
    ConnectionEnd,
    ConnectionOpened,
    Count,
    Envelope,
    StreamClose,
    StreamData,
    StreamOpen,
    StreamOpened,
    StreamReset,
)
from bramleydyke.types import (
    LOCAL_CALLER,
    LOCAL_METRICS,
    Incarnation,
    NodeId,
    Protocol,
    ServiceId,
    StreamId,
    UpstreamId,
    agent_node,
)


@dataclass(slots=True, kw_only=True)
class _Opening:
    """A caller's connection whose stream no agent has opened yet.

    Attributes:
        stream: Buffers the caller's bytes; its peer is the agent being asked.
        deadline: Time at which the connection is refused.
        candidates: Upstreams still to ask in this round, best first.
        asked: ``StreamOpen`` messages sent to the current agent; 0 between
            rounds.
        rounds: Rounds over all candidates that were retried.
        last_kind: Reason of the last refusal, given to the caller if no agent
            opens the stream.
    """

    stream: Stream
    service_id: ServiceId
    deadline: float
    candidates: list[UpstreamId] = field(default_factory=list)
    asked: int = 0
    rounds: int = 0
    last_kind: ErrorKind = ErrorKind.NO_UPSTREAM


@dataclass(slots=True, kw_only=True)
class StreamEdge:
    """Opens streams for callers' connections and carries their bytes.

    Attributes:
        usable: Returns the upstreams of a service that may take new streams.
        weights: Returns the weights of a service's upstreams at a time.
        budget: Returns the retry budget of a service.
        opening: Connections without an open stream, by connection name.
        attempts: Connection name of each stream id that is being opened.
        load: Number of this balancer's open streams at each agent.
        timers: Time of the next retry of each connection in ``opening``.
        table: Open streams.
    """

    node_id: NodeId
    incarnation: Incarnation
    config: ConfigStore
    health: HealthView
    limits: PartnerLimits
    usable: Callable[[ServiceId], Iterable[UpstreamId]]
    weights: Callable[[ServiceId, float], dict[UpstreamId, float]]
    budget: Callable[[ServiceId], RetryBudget]
    random_source: random.Random
    opening: dict[str, _Opening] = field(default_factory=dict)
    attempts: dict[StreamId, str] = field(default_factory=dict)
    load: Counter[NodeId] = field(default_factory=Counter)
    timers: Timers[str] = field(default_factory=Timers)
    table: StreamTable = field(init=False)
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self) -> None:
        self.table = StreamTable(node_id=self.node_id, removed=self._removed)

    def next_wakeup(self) -> float | None:
        """Returns the time at which ``wake`` is due, or None if nothing is."""
        times = (self.timers.next(), self.table.timers.next())
        return min((at for at in times if at is not None), default=None)

    def wake(self, *, now: float) -> list[Envelope]:
        """Retries unanswered opens, starts rounds and wakes open streams."""
        opened = [
            sent
            for connection in self.timers.pop_due(now)
            for sent in self._due(self.opening[connection], now=now)
        ]
        return opened + self.table.wake(now=now)

    # Caller port.

    def connected(self, message: ConnectionOpened, *, now: float) -> list[Envelope]:
        """Starts to open a stream for a new connection, or refuses it."""
        service_id = self.config.by_address.get(message.address)
        service = None if service_id is None else self.config.service(service_id)
        if service is None or service.protocol is not Protocol.TCP:
            return self._refuse(message.connection, ErrorKind.NO_SERVICE)
        if not self.limits.start_stream(service.partner_id):
            return self._refuse(message.connection, ErrorKind.PARTNER_LIMIT)
        self.budget(service.service_id).request(now=now)
        opening = _Opening(
            stream=self._stream(message.connection, service, now=now),
            service_id=service.service_id,
            deadline=now + STREAM_OPEN_S,
        )
        self.opening[message.connection] = opening
        self._fill(opening, now=now)
        return self._next(opening, now=now)

    def read(self, message: ConnectionData, *, now: float) -> list[Envelope]:
        """Sends a caller's bytes, or buffers them until the stream is open."""
        opening = self.opening.get(message.connection)
        if opening is None:
            return self.table.read(message, now=now)
        return opening.stream.hold(message.data)

    def half_closed(self, message: ConnectionEnd, *, now: float) -> list[Envelope]:
        """Ends the direction from the caller, which sends no more bytes."""
        opening = self.opening.get(message.connection)
        if opening is None:
            return self.table.half_closed(message, now=now)
        opening.stream.sender.close()
        return []

    def aborted(self, message: ConnectionAbort) -> list[Envelope]:
        """Resets the stream of a caller whose connection broke."""
        opening = self.opening.get(message.connection)
        if opening is None:
            return self.table.aborted(message)
        withdrawn = self._withdraw(opening)
        self._end_opening(opening)
        return withdrawn

    # Messages from agents.

    def opened(
        self, sender: NodeId, message: StreamOpened, *, now: float
    ) -> list[Envelope]:
        """Sends the buffered bytes to the agent that opened the stream."""
        opening = self._asked(sender, message.stream_id)
        if opening is None:
            return []
        self.health.answered(sender, now=now)
        stream = opening.stream
        self._end_opening(opening, keep=True)
        self.load[sender] += 1
        stream.heard_at = now
        stream.resend_at = now + STREAM_KEEPALIVE_S
        sent = stream.flush(now=now)
        self.table.add(stream)
        return sent

    def data(
        self, sender: NodeId, message: StreamData, *, now: float
    ) -> list[Envelope]:
        """Receives an agent's bytes; they also show that the stream is open.

        The bytes may arrive before the ``StreamOpened`` message.
        """
        opened = self.opened(sender, StreamOpened(stream_id=message.stream_id), now=now)
        return opened + self.table.data(sender, message, now=now)

    def closed(
        self, sender: NodeId, message: StreamClose, *, now: float
    ) -> list[Envelope]:
        """Receives the end of an agent's direction.

        It may arrive before the ``StreamOpened`` message, and shows that the
        stream is open.
        """
        opened = self.opened(sender, StreamOpened(stream_id=message.stream_id), now=now)
        return opened + self.table.closed(sender, message, now=now)

    def reset(
        self, sender: NodeId, message: StreamReset, *, now: float
    ) -> list[Envelope]:
        """Asks the next candidate after a refusal; breaks an open stream."""
        opening = self._asked(sender, message.stream_id)
        if opening is None:
            return self.table.reset(sender, message)
        self.health.refused(sender, message.kind, now=now)
        opening.last_kind = message.kind
        del self.attempts[message.stream_id]
        counted = self._count(counter_name(message.kind))
        return counted + self._next(opening, now=now)

    # Opening a stream.

    def _stream(self, connection: str, service: ServiceConfig, *, now: float) -> Stream:
        return Stream(
            node_id=self.node_id,
            peer=self.node_id,
            port=LOCAL_CALLER,
            stream_id=StreamId(""),
            partner_id=service.partner_id,
            connection=connection,
            heard_at=now,
            resend_at=now + STREAM_KEEPALIVE_S,
        )

    def _asked(self, sender: NodeId, stream_id: StreamId) -> _Opening | None:
        """Returns the pending connection that a reply is for.

        Returns None for a reply to an earlier attempt, or from another agent
        than the one being asked.
        """
        opening = self.opening.get(self.attempts.get(stream_id, ""))
        if opening is None or opening.stream.peer != sender:
            return None
        return opening

    def _fill(self, opening: _Opening, *, now: float) -> None:
        """Orders the candidates of a round in a random, weighted order.

        The first ``CHAIN_LENGTH`` of them are sorted by the open streams of
        this balancer per weight, fewest first.
        """
        service_id = opening.service_id
        weights = self.weights(service_id, now)
        usable = set(self.usable(service_id))
        salt = self.random_source.randbytes(8)
        order = [up for up in owner_order(salt, weights) if up in usable]
        chain = sorted(
            order[:CHAIN_LENGTH],
            key=lambda up: self.load[agent_node(service_id, up)] / weights[up],
        )
        opening.candidates = chain + order[CHAIN_LENGTH:]

    def _next(self, opening: _Opening, *, now: float) -> list[Envelope]:
        """Asks the next candidate, or schedules the next round.

        Each attempt has a new stream id, so that late replies to an earlier
        one are recognized.
        """
        if not opening.candidates:
            return self._next_round(opening, now=now)
        upstream_id = opening.candidates.pop(0)
        stream = opening.stream
        stream.peer = agent_node(opening.service_id, upstream_id)
        number = next(self._numbers)
        stream.stream_id = StreamId(f"{self.node_id}/{self.incarnation}/{number}")
        self.attempts[stream.stream_id] = stream.connection
        opening.asked = 0
        return self._ask(opening, now=now)

    def _ask(self, opening: _Opening, *, now: float) -> list[Envelope]:
        stream = opening.stream
        wait = PROBE_TIMEOUT_S * 2.0**opening.asked
        opening.asked += 1
        self.timers.set(stream.connection, min(now + wait, opening.deadline))
        message = StreamOpen(
            stream_id=stream.stream_id,
            partner_id=stream.partner_id,
            service_id=opening.service_id,
            generation=self.config.generation(stream.partner_id),
        )
        return [Envelope(self.node_id, stream.peer, message)]

    def _next_round(self, opening: _Opening, *, now: float) -> list[Envelope]:
        delay = backoff(opening.rounds, random_source=self.random_source)
        allowed = self.budget(opening.service_id).allow(now=now)
        if not allowed or now + delay >= opening.deadline:
            self._end_opening(opening)
            return self._refuse(opening.stream.connection, opening.last_kind)
        opening.rounds += 1
        opening.asked = 0
        self.timers.set(opening.stream.connection, now + delay)
        return self._count(counter_name(opening.last_kind, action="retried"))

    def _due(self, opening: _Opening, *, now: float) -> list[Envelope]:
        if now >= opening.deadline:
            withdrawn = self._withdraw(opening)
            self._end_opening(opening)
            return withdrawn + self._refuse(
                opening.stream.connection, opening.last_kind
            )
        if opening.asked == 0:
            self._fill(opening, now=now)
            return self._next(opening, now=now)
        if opening.asked < PROBE_TRIES:
            return self._ask(opening, now=now)
        self.health.silent(opening.stream.peer, now=now)
        opening.last_kind = ErrorKind.DEADLINE
        return self._withdraw(opening) + self._next(opening, now=now)

    def _withdraw(self, opening: _Opening) -> list[Envelope]:
        """Cancels the current attempt at the agent that was asked."""
        stream = opening.stream
        if self.attempts.pop(stream.stream_id, None) is None:
            return []
        reset = StreamReset(stream_id=stream.stream_id, kind=ErrorKind.CANCELLED)
        return [Envelope(self.node_id, stream.peer, reset)]

    def _end_opening(self, opening: _Opening, *, keep: bool = False) -> None:
        stream = opening.stream
        del self.opening[stream.connection]
        self.attempts.pop(stream.stream_id, None)
        self.timers.cancel(stream.connection)
        if not keep:
            self.limits.end_stream(stream.partner_id)

    def _removed(self, stream: Stream) -> None:
        self.load[stream.peer] -= 1
        if self.load[stream.peer] <= 0:
            del self.load[stream.peer]
        self.limits.end_stream(stream.partner_id)

    def _refuse(self, connection: str, kind: ErrorKind) -> list[Envelope]:
        abort = ConnectionAbort(connection=connection, kind=kind)
        counted = self._count(counter_name(kind, action="answered"))
        return [Envelope(self.node_id, LOCAL_CALLER, abort), *counted]

    def _count(self, name: str) -> list[Envelope]:
        return [Envelope(self.node_id, LOCAL_METRICS, Count(name=name))]
