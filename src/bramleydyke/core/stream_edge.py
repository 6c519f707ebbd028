"""Byte streams at a balancer: opens a stream for each caller connection.

No byte is sent before an agent has opened the stream. After a refusal or a
timeout, it is therefore safe to try the next candidate.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import (
    MAX_CANDIDATES,
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
class _PendingStream:
    """A caller's connection whose stream no agent has opened yet.

    Attributes:
        stream: Buffers the caller's bytes; its peer is the agent that is asked
            to open it.
        deadline: Time at which the connection is refused.
        candidates: Upstreams to try in this round, best first.
        open_attempts: ``StreamOpen`` messages sent to the current agent; 0
            between rounds.
        rounds: Number of retry rounds over the candidates so far.
        last_kind: Reason of the last refusal, given to the caller if no agent
            opens the stream.
    """

    stream: Stream
    service_id: ServiceId
    deadline: float
    candidates: list[UpstreamId] = field(default_factory=list)
    open_attempts: int = 0
    rounds: int = 0
    last_kind: ErrorKind = ErrorKind.NO_UPSTREAM


@dataclass(slots=True, kw_only=True)
class StreamEdge:
    """Opens streams for callers' connections and transfers their bytes.

    Attributes:
        usable: Returns the upstreams of a service that may take new streams.
        weights: Returns the weights of a service's upstreams at a time.
        budget: Returns the retry budget of a service.
        pending_streams: Connections without an open stream, by connection
            name.
        connection_by_stream: Connection name of each stream that is being
            opened, by stream id.
        load: Number of this balancer's open streams at each agent.
        timers: Time of the next retry of each connection in
            ``pending_streams``.
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
    pending_streams: dict[str, _PendingStream] = field(default_factory=dict)
    connection_by_stream: dict[StreamId, str] = field(default_factory=dict)
    load: Counter[NodeId] = field(default_factory=Counter)
    timers: Timers[str] = field(default_factory=Timers)
    table: StreamTable = field(init=False)
    _stream_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def __post_init__(self) -> None:
        self.table = StreamTable(node_id=self.node_id, removed=self._release_stream)

    def next_wakeup(self) -> float | None:
        """Returns the time at which ``wake`` is due, or None if nothing is."""
        times = (self.timers.next(), self.table.timers.next())
        return min((at for at in times if at is not None), default=None)

    def wake(self, *, now: float) -> list[Envelope]:
        """Continues opening pending streams and wakes open ones."""
        opened = [
            sent
            for connection in self.timers.pop_due(now)
            for sent in self._handle_timer(self.pending_streams[connection], now=now)
        ]
        return opened + self.table.wake(now=now)

    # Caller port.

    def connected(self, message: ConnectionOpened, *, now: float) -> list[Envelope]:
        """Starts opening a stream for a new connection, or refuses it."""
        service_id = self.config.by_address.get(message.address)
        service = None if service_id is None else self.config.service(service_id)
        if service is None or service.protocol is not Protocol.TCP:
            return self._refuse(message.connection, ErrorKind.NO_SERVICE)
        if not self.limits.start_stream(service.partner_id):
            return self._refuse(message.connection, ErrorKind.PARTNER_LIMIT)
        self.budget(service.service_id).count_request(now=now)
        pending = _PendingStream(
            stream=self._new_stream(message.connection, service, now=now),
            service_id=service.service_id,
            deadline=now + STREAM_OPEN_S,
        )
        self.pending_streams[message.connection] = pending
        self._order_candidates(pending, now=now)
        return self._ask_next(pending, now=now)

    def port_data(self, message: ConnectionData, *, now: float) -> list[Envelope]:
        """Sends a caller's bytes, or buffers them until the stream is open."""
        pending = self.pending_streams.get(message.connection)
        if pending is None:
            return self.table.port_data(message, now=now)
        return pending.stream.buffer_data(message.data)

    def half_closed(self, message: ConnectionEnd, *, now: float) -> list[Envelope]:
        """Ends the direction from the caller, which sends no more bytes."""
        pending = self.pending_streams.get(message.connection)
        if pending is None:
            return self.table.half_closed(message, now=now)
        pending.stream.sender.close()
        return []

    def aborted(self, message: ConnectionAbort) -> list[Envelope]:
        """Resets the stream of a caller whose connection was lost."""
        pending = self.pending_streams.get(message.connection)
        if pending is None:
            return self.table.aborted(message)
        cancelled = self._cancel_attempt(pending)
        self._remove_pending(pending)
        return cancelled

    # Messages from agents.

    def opened(
        self, sender: NodeId, message: StreamOpened, *, now: float
    ) -> list[Envelope]:
        """Sends the buffered bytes to the agent that opened the stream."""
        pending = self._find_pending(sender, message.stream_id)
        if pending is None:
            return []
        self.health.record_success(sender, now=now)
        stream = pending.stream
        self._remove_pending(pending, is_open=True)
        self.load[sender] += 1
        stream.heard_at = now
        stream.resend_at = now + STREAM_KEEPALIVE_S
        sent = stream.flush(now=now)
        self.table.add(stream)
        return sent

    def data(
        self, sender: NodeId, message: StreamData, *, now: float
    ) -> list[Envelope]:
        """Receives bytes from an agent.

        The bytes may arrive before the ``StreamOpened`` message, and also
        prove that the agent has opened the stream.
        """
        opened = self.opened(sender, StreamOpened(stream_id=message.stream_id), now=now)
        return opened + self.table.data(sender, message, now=now)

    def closed(
        self, sender: NodeId, message: StreamClose, *, now: float
    ) -> list[Envelope]:
        """Handles the end of the direction from an agent.

        The ``StreamClose`` message may arrive before ``StreamOpened``, and
        also proves that the agent has opened the stream.
        """
        opened = self.opened(sender, StreamOpened(stream_id=message.stream_id), now=now)
        return opened + self.table.closed(sender, message, now=now)

    def reset(
        self, sender: NodeId, message: StreamReset, *, now: float
    ) -> list[Envelope]:
        """Tries the next candidate after a refusal, or ends an open stream."""
        pending = self._find_pending(sender, message.stream_id)
        if pending is None:
            return self.table.reset(sender, message)
        self.health.record_refusal(sender, message.kind, now=now)
        pending.last_kind = message.kind
        del self.connection_by_stream[message.stream_id]
        counted = self._count(counter_name(message.kind))
        return counted + self._ask_next(pending, now=now)

    # Opening a stream.

    def _new_stream(
        self, connection: str, service: ServiceConfig, *, now: float
    ) -> Stream:
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

    def _find_pending(
        self, sender: NodeId, stream_id: StreamId
    ) -> _PendingStream | None:
        """Returns the pending connection that a reply is for.

        Returns None for a reply to an earlier attempt or from an agent that
        is not the current candidate.
        """
        pending = self.pending_streams.get(self.connection_by_stream.get(stream_id, ""))
        if pending is None or pending.stream.peer != sender:
            return None
        return pending

    def _order_candidates(self, pending: _PendingStream, *, now: float) -> None:
        """Puts the candidates of a round into a weighted random order.

        The first ``MAX_CANDIDATES`` of them are then sorted by the number of
        this balancer's open streams in relation to the weight, lowest first.
        """
        service_id = pending.service_id
        weights = self.weights(service_id, now)
        usable = set(self.usable(service_id))
        salt = self.random_source.randbytes(8)
        order = [up for up in owner_order(salt, weights) if up in usable]
        preferred = sorted(
            order[:MAX_CANDIDATES],
            key=lambda up: self.load[agent_node(service_id, up)] / weights[up],
        )
        pending.candidates = preferred + order[MAX_CANDIDATES:]

    def _ask_next(self, pending: _PendingStream, *, now: float) -> list[Envelope]:
        """Tries the next candidate, or schedules the next round.

        Each attempt has a new stream id, so that late replies to earlier
        attempts are recognized.
        """
        if not pending.candidates:
            return self._next_round(pending, now=now)
        upstream_id = pending.candidates.pop(0)
        stream = pending.stream
        stream.peer = agent_node(pending.service_id, upstream_id)
        number = next(self._stream_numbers)
        stream.stream_id = StreamId(f"{self.node_id}/{self.incarnation}/{number}")
        self.connection_by_stream[stream.stream_id] = stream.connection
        pending.open_attempts = 0
        return self._send_open(pending, now=now)

    def _send_open(self, pending: _PendingStream, *, now: float) -> list[Envelope]:
        stream = pending.stream
        wait = PROBE_TIMEOUT_S * 2.0**pending.open_attempts
        pending.open_attempts += 1
        self.timers.set(stream.connection, min(now + wait, pending.deadline))
        message = StreamOpen(
            stream_id=stream.stream_id,
            partner_id=stream.partner_id,
            service_id=pending.service_id,
            generation=self.config.generation(stream.partner_id),
        )
        return [Envelope(self.node_id, stream.peer, message)]

    def _next_round(self, pending: _PendingStream, *, now: float) -> list[Envelope]:
        delay = backoff(pending.rounds, random_source=self.random_source)
        allowed = self.budget(pending.service_id).take_token(now=now)
        if not allowed or now + delay >= pending.deadline:
            self._remove_pending(pending)
            return self._refuse(pending.stream.connection, pending.last_kind)
        pending.rounds += 1
        pending.open_attempts = 0
        self.timers.set(pending.stream.connection, now + delay)
        return self._count(counter_name(pending.last_kind, action="retried"))

    def _handle_timer(self, pending: _PendingStream, *, now: float) -> list[Envelope]:
        if now >= pending.deadline:
            cancelled = self._cancel_attempt(pending)
            self._remove_pending(pending)
            return cancelled + self._refuse(
                pending.stream.connection, pending.last_kind
            )
        if pending.open_attempts == 0:
            self._order_candidates(pending, now=now)
            return self._ask_next(pending, now=now)
        if pending.open_attempts < PROBE_TRIES:
            return self._send_open(pending, now=now)
        self.health.eject_silent(pending.stream.peer, now=now)
        pending.last_kind = ErrorKind.DEADLINE
        return self._cancel_attempt(pending) + self._ask_next(pending, now=now)

    def _cancel_attempt(self, pending: _PendingStream) -> list[Envelope]:
        """Cancels the current attempt to open the stream at an agent."""
        stream = pending.stream
        if self.connection_by_stream.pop(stream.stream_id, None) is None:
            return []
        reset = StreamReset(stream_id=stream.stream_id, kind=ErrorKind.CANCELLED)
        return [Envelope(self.node_id, stream.peer, reset)]

    def _remove_pending(
        self, pending: _PendingStream, *, is_open: bool = False
    ) -> None:
        stream = pending.stream
        del self.pending_streams[stream.connection]
        self.connection_by_stream.pop(stream.stream_id, None)
        self.timers.cancel(stream.connection)
        if not is_open:
            self.limits.end_stream(stream.partner_id)

    def _release_stream(self, stream: Stream) -> None:
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
