"""Simulation of many balancers and agents in one process.

Real ``Balancer`` and ``Agent`` objects exchange encoded messages without
sockets and share an object store. Time is simulated; the order of events
depends only on the random seed.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, Union

import msgspec

from bramleydyke.core.config import ConfigDelta
from bramleydyke.messages import (
    Count,
    Envelope,
    Message,
    Payload,
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from bramleydyke.types import (
    LOCAL_METRICS,
    LOCAL_PLATFORM,
    NodeId,
    PlatformStatus,
)

STORE_DELAY_S = 0.005
"""Delay of each reply from the store."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(
    Union[(ConfigDelta, *Message.__subclasses__())]  # noqa: UP007
)


class Core(Protocol):
    """Interface of a simulated node: a balancer, an agent or a wrapper."""

    node_id: NodeId

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        """Handles one message; returns the messages to send."""

    def wake(self, *, now: float) -> list[Envelope]:
        """Runs the timers that are due; returns the messages to send."""

    def next_wakeup(self) -> float | None:
        """Returns the time of the next timer, None without one."""


@dataclass(slots=True)
class _WaitingRead:
    caller: NodeId
    read: PlatformRead
    ends_at: float


@dataclass(slots=True)
class Store:
    """Object store with versions, conditional writes and waiting reads.

    Attributes:
        objects: Value and version of each object, by path.
        calls: Number of calls by the first component of the path.
        down: Whether every call fails immediately, as in an outage.
        lose_replies: Whether the replies to successful writes are lost.
        waiting_reads: Reads that wait for a newer version.
    """

    objects: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)
    down: bool = False
    lose_replies: bool = False
    waiting_reads: list[_WaitingRead] = field(default_factory=list)
    _last_version: int = 0

    def put(self, path: str, value: bytes) -> int:
        """Writes an object unconditionally; returns its version."""
        self._last_version += 1
        self.objects[path] = (value, self._last_version)
        return self._last_version

    def call(
        self, caller: NodeId, message: Payload, *, now: float
    ) -> PlatformReply | None:
        """Handles a read or write.

        Returns:
            The reply; None for a read that waits for a newer version and for a
            write whose reply is lost.
        """
        assert isinstance(message, PlatformRead | PlatformWrite)
        self.calls[message.path.split("/")[0]] += 1
        if self.down:
            return PlatformReply(call=message.call, status=PlatformStatus.UNAVAILABLE)
        if isinstance(message, PlatformWrite):
            return self._write(message)
        value, version = self._value(message.path)
        if message.after is not None and version <= message.after:
            self.waiting_reads.append(
                _WaitingRead(caller, message, now + message.timeout)
            )
            return None
        return self._read_reply(message.call, value, version)

    def pop_replies(self, *, now: float) -> list[tuple[NodeId, PlatformReply]]:
        """Returns replies to reads whose object changed or that timed out.

        These reads no longer wait afterwards.
        """
        out = []
        still_waiting = []
        for wait in self.waiting_reads:
            value, version = self._value(wait.read.path)
            if wait.read.after is not None and version > wait.read.after:
                out.append(
                    (wait.caller, self._read_reply(wait.read.call, value, version))
                )
            elif now >= wait.ends_at:
                unchanged = self._read_reply(wait.read.call, None, version)
                out.append((wait.caller, unchanged))
            else:
                still_waiting.append(wait)
        self.waiting_reads = still_waiting
        return out

    def _write(self, message: PlatformWrite) -> PlatformReply | None:
        value, version = self._value(message.path)
        if version != message.expected:
            return PlatformReply(
                call=message.call,
                status=PlatformStatus.CONFLICT,
                version=version,
                value=value,
            )
        version = self.put(message.path, message.value)
        if self.lose_replies:
            return None
        return PlatformReply(
            call=message.call, status=PlatformStatus.OK, version=version
        )

    def _value(self, path: str) -> tuple[bytes | None, int]:
        if not path.endswith("/"):
            return self.objects.get(path, (None, 0))
        below = {
            name: version
            for name, (_, version) in self.objects.items()
            if name.startswith(path)
        }
        return msgspec.json.encode(below), max(below.values(), default=0)

    def _read_reply(
        self, call: int, value: bytes | None, version: int
    ) -> PlatformReply:
        status = PlatformStatus.OK if version or value else PlatformStatus.NOT_FOUND
        return PlatformReply(call=call, status=status, version=version, value=value)


@dataclass(slots=True, kw_only=True)
class Usage:
    """Traffic and processor time of one node since it was added."""

    sent_bytes: int = 0
    received_bytes: int = 0
    processor_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class SimulatedNetwork:
    """Simulated network with delay, loss, duplication and partitions.

    Attributes:
        delay: Returns the delay from a sender to a receiver, in seconds.
        loss: Fraction of messages between nodes that are lost.
        duplicate_share: Fraction of messages between nodes that are delivered
            twice.
        is_cut: Returns whether messages from a sender to a receiver are
            dropped, as in a network partition.
        now: Simulated time, in seconds.
        counters: Counters that the cores have reported.
        disconnected_from_store: Nodes that cannot reach the store.
        paused: Nodes that do not run; messages to them wait for ``resume``.
    """

    random_source: random.Random
    delay: Callable[[NodeId, NodeId], float]
    loss: float = 0.0
    duplicate_share: float = 0.0
    is_cut: Callable[[NodeId, NodeId], bool] = lambda sender, receiver: False
    now: float = 0.0
    store: Store = field(default_factory=Store)
    nodes: dict[NodeId, Core] = field(default_factory=dict)
    usage: dict[NodeId, Usage] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)
    bytes_by_type: Counter[str] = field(default_factory=Counter)
    """Bytes sent between nodes, by message type."""

    disconnected_from_store: set[NodeId] = field(default_factory=set)
    paused: set[NodeId] = field(default_factory=set)
    _heap: list[tuple[float, int, NodeId, Envelope | None, bytes]] = field(
        default_factory=list
    )
    _sequence: int = 0
    _wakeup_at: dict[NodeId, float] = field(default_factory=dict)
    _waiting_messages: dict[NodeId, list[tuple[Envelope, bytes]]] = field(
        default_factory=dict
    )

    def add(self, core: Core) -> None:
        """Adds a core and schedules its first wakeup for now."""
        self.nodes[core.node_id] = core
        self.usage[core.node_id] = Usage()
        self._schedule_wakeup(core.node_id, self.now)

    def remove(self, node_id: NodeId) -> None:
        """Removes a core without a shutdown, as in a crash."""
        del self.nodes[node_id]
        self._wakeup_at.pop(node_id, None)
        self._waiting_messages.pop(node_id, None)
        self.paused.discard(node_id)

    def resume(self, node_id: NodeId) -> None:
        """Resumes a paused core; messages that waited arrive at once."""
        self.paused.discard(node_id)
        for envelope, data in self._waiting_messages.pop(node_id, []):
            self._push(self.now, node_id, envelope, data)
        self._schedule_wakeup(node_id, self.now)

    def send(self, envelopes: list[Envelope]) -> None:
        """Sends messages to nodes and the store, and adds up counters.

        Messages to other receivers are dropped.
        """
        for envelope in envelopes:
            if envelope.receiver == LOCAL_METRICS:
                assert isinstance(envelope.payload, Count)
                self.counters[envelope.payload.name] += envelope.payload.amount
            elif envelope.receiver == LOCAL_PLATFORM:
                self._call_store(envelope)
            elif envelope.receiver.startswith(("balancer/", "agent/")):
                self._send(envelope)

    def run(self, until: float) -> None:
        """Handles all events up to a time and advances the clock to it."""
        while self._heap and self._heap[0][0] <= until:
            at, _, node_id, envelope, data = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            self._handle_event(node_id, envelope, data)
        self.now = until

    def run_until(self, done: Callable[[], bool], *, step: float, end: float) -> bool:
        """Runs in steps until a condition holds.

        Args:
            done: Condition, checked after each step.
            step: Simulated seconds of one step.
            end: Simulated time at which to give up.

        Returns:
            False if ``end`` was reached before the condition held.
        """
        while not done():
            if self.now >= end:
                return False
            self.run(min(self.now + step, end))
        return True

    def _handle_event(
        self, node_id: NodeId, envelope: Envelope | None, data: bytes
    ) -> None:
        if node_id == LOCAL_PLATFORM:
            self._reply_to_waiting_reads(envelope)
            return
        core = self.nodes.get(node_id)
        if core is None:
            return
        if node_id in self.paused:
            if envelope is not None:
                self._waiting_messages.setdefault(node_id, []).append((envelope, data))
            return
        if envelope is None and self._wakeup_at.get(node_id) != self.now:
            return
        started = time.thread_time()
        if envelope is None:
            del self._wakeup_at[node_id]
            out = core.wake(now=self.now)
        else:
            payload = _decoder.decode(data)
            out = core.receive(
                Envelope(envelope.sender, node_id, payload), now=self.now
            )
        next_at = core.next_wakeup()
        self.send(out)
        self.usage[node_id].processor_s += time.thread_time() - started
        if next_at is not None:
            self._schedule_wakeup(node_id, next_at)

    def _schedule_wakeup(self, node_id: NodeId, at: float) -> None:
        at = max(at, self.now)
        planned = self._wakeup_at.get(node_id)
        if planned is None or at < planned or planned < self.now:
            self._wakeup_at[node_id] = at
            self._push(at, node_id, None, b"")

    def _send(self, envelope: Envelope) -> None:
        data = _encoder.encode(envelope.payload)
        sender, receiver = envelope.sender, envelope.receiver
        self.bytes_by_type[type(envelope.payload).__name__] += len(data)
        if sender in self.usage:
            self.usage[sender].sent_bytes += len(data)
        lost = self.random_source.uniform(0.0, 1.0) < self.loss
        if lost or receiver not in self.nodes or self.is_cut(sender, receiver):
            return
        duplicated = (
            self.duplicate_share > 0
            and self.random_source.random() < self.duplicate_share
        )
        for _ in range(2 if duplicated else 1):
            self.usage[receiver].received_bytes += len(data)
            at = self.now + self.delay(sender, receiver)
            self._push(at, receiver, envelope, data)

    def _call_store(self, envelope: Envelope) -> None:
        if envelope.sender in self.disconnected_from_store:
            return
        reply = self.store.call(envelope.sender, envelope.payload, now=self.now)
        if reply is not None:
            self._reply(envelope.sender, reply)
        elif isinstance(envelope.payload, PlatformRead):
            end = self.now + envelope.payload.timeout
            self._push(end, LOCAL_PLATFORM, None, b"")
        self._push(self.now, LOCAL_PLATFORM, None, b"")

    def store_changed(self) -> None:
        """Replies to waiting reads; to be called after ``store.put``."""
        self._reply_to_waiting_reads(None)

    def _reply_to_waiting_reads(self, _: Envelope | None) -> None:
        for caller, reply in self.store.pop_replies(now=self.now):
            self._reply(caller, reply)

    def _reply(self, caller: NodeId, reply: PlatformReply) -> None:
        if caller in self.disconnected_from_store:
            return
        at = self.now + STORE_DELAY_S
        data = _encoder.encode(reply)
        if caller in self.usage:
            self.usage[caller].received_bytes += len(data)
        self._push(at, caller, Envelope(LOCAL_PLATFORM, caller, reply), data)

    def _push(
        self, at: float, node_id: NodeId, envelope: Envelope | None, data: bytes
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, node_id, envelope, data))
