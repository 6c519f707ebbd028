"""A lease based on an object of the platform, with expiry and fencing token.

A balancer acquires or renews the lease by a conditional write. The holder
counts the duration from when it sent the write. Every other process counts
from when it first read that version, and adds a margin. The holder checks its
own clock before it acts, so it stops before another process can take over.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from bramleydyke.constants import (
    LEASE_DURATION_S,
    LEASE_MARGIN_S,
    LEASE_POLL_S,
    LEASE_RENEW_S,
)
from bramleydyke.core.platform_calls import (
    FAILED_STATUSES,
    PlatformCalls,
    store_backoff,
)
from bramleydyke.messages import Envelope, PlatformReply
from bramleydyke.types import AvailabilityZone, Incarnation, NodeId, PlatformStatus

POLL_JITTER_S = 1.0
"""Largest random delay before a read, so that candidates do not race."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Content of a lease object, as JSON at ``leases/<zone>/<slot>``."""

    holder: str
    """Node id; empty after the holder has released the lease."""

    incarnation: Incarnation
    renewal: int = 0
    """Sequence number of the write.

    After a lost reply it shows whether the last write or the previous one is
    in the store.
    """


class _Events(Protocol):
    """Events of the lease's state machine."""

    def due(self, now: float) -> list[Envelope]:
        """The next read or renewal is due."""

    def found_vacant(self, now: float) -> list[Envelope]:
        """A read shows that no other process holds the lease."""

    def held_elsewhere(self, now: float) -> list[Envelope]:
        """A read or write conflict shows that another process holds it."""

    def confirmed(self, now: float) -> list[Envelope]:
        """This process's last write has taken effect."""

    def outcome_unknown(self, now: float) -> list[Envelope]:
        """A write got no reply; whether it took effect is unknown."""

    def call_failed(self, now: float) -> list[Envelope]:
        """A call failed; the state of the lease is unknown."""

    def expired(self, now: float) -> list[Envelope]:
        """This process's lease has expired."""

    def release_due(self, now: float) -> list[Envelope]:
        """This process should no longer hold the lease."""


@dataclass(slots=True, kw_only=True)
class _LeaseData:
    """State of a lease that the state machine's transitions work on.

    Attributes:
        path: Path of the lease object.
        record: Content of this process's last write.
        version: Newest known version of the lease object.
        seen_at: When that version was first seen, in seconds.
        sent_at: When the last write was sent, in seconds.
        expires_at: End of this process's lease by its own clock; 0 if none.
        next_at: When to read or renew; None while a call is in flight.
        failures: Consecutive failures, for the backoff.
    """

    path: str
    record: LeaseRecord
    calls: PlatformCalls
    random_source: random.Random
    version: int = 0
    seen_at: float = 0.0
    sent_at: float = 0.0
    expires_at: float = 0.0
    next_at: float | None = 0.0
    failures: int = 0
    events: _Events | None = None

    def observe_version(self, version: int, now: float) -> None:
        """Records the object's version; a change restarts the expiry time."""
        if version != self.version:
            self.version = version
            self.seen_at = now

    def read_done(self, reply: PlatformReply, now: float) -> list[Envelope]:
        """Passes the outcome of a read to the state machine."""
        assert self.events is not None
        if reply.status in FAILED_STATUSES:
            return self.events.call_failed(now)
        self.observe_version(reply.version, now)
        record = _decoded(reply)
        if record == self.record:
            return self.events.confirmed(now)
        if record is None or not record.holder or self._is_own(record):
            return self.events.found_vacant(now)
        if now - self.seen_at > LEASE_DURATION_S + LEASE_MARGIN_S:
            return self.events.found_vacant(now)
        return self.events.held_elsewhere(now)

    def _is_own(self, record: LeaseRecord) -> bool:
        """Returns whether this incarnation of the process wrote a record."""
        return (record.holder, record.incarnation) == (
            self.record.holder,
            self.record.incarnation,
        )

    def write_done(self, reply: PlatformReply, now: float) -> list[Envelope]:
        """Passes the outcome of a write to the state machine."""
        assert self.events is not None
        if reply.status is PlatformStatus.LOST:
            return self.events.outcome_unknown(now)
        if reply.status in FAILED_STATUSES:
            return self.events.call_failed(now)
        self.observe_version(reply.version, now)
        if reply.status is PlatformStatus.OK:
            return self.events.confirmed(now)
        return self.events.held_elsewhere(now)


def _decoded(reply: PlatformReply) -> LeaseRecord | None:
    if reply.status is not PlatformStatus.OK or reply.value is None:
        return None
    try:
        return msgspec.json.decode(reply.value, type=LeaseRecord)
    except msgspec.MsgspecError:
        return None


_builder = TypeMachineBuilder(_Events, _LeaseData)
_idle = _builder.state("idle")
_reading = _builder.state("reading")
_writing = _builder.state("writing")
_held = _builder.state("held")
_renewing = _builder.state("renewing")
_checking = _builder.state("checking")


def _read(data: _LeaseData, now: float) -> list[Envelope]:
    data.next_at = None
    return data.calls.read(data.path, data.read_done, now=now)


def _write(data: _LeaseData, now: float) -> list[Envelope]:
    data.next_at = None
    data.sent_at = now
    data.record = msgspec.structs.replace(data.record, renewal=data.record.renewal + 1)
    value = msgspec.json.encode(data.record)
    return data.calls.write(
        data.path, value, data.write_done, expected=data.version, now=now
    )


@_idle.upon(_Events.due).to(_reading)
@_checking.upon(_Events.due).to(_checking)
def _poll(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    return _read(data, now)


@_reading.upon(_Events.found_vacant).to(_writing)
@_reading.upon(_Events.confirmed).to(_writing)
@_checking.upon(_Events.found_vacant).to(_writing)
@_held.upon(_Events.due).to(_renewing)
def _write_lease(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    """Acquires or renews the lease, or repeats a write that had no effect."""
    return _write(data, now)


@_writing.upon(_Events.confirmed).to(_held)
@_renewing.upon(_Events.confirmed).to(_held)
@_checking.upon(_Events.confirmed).to(_held)
def _record_holding(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    data.failures = 0
    data.expires_at = data.sent_at + LEASE_DURATION_S
    data.next_at = max(now, data.sent_at + LEASE_RENEW_S)
    return []


@_writing.upon(_Events.outcome_unknown).to(_checking)
@_renewing.upon(_Events.outcome_unknown).to(_checking)
def _read_back(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    return _read(data, now)


@_reading.upon(_Events.held_elsewhere).to(_idle)
@_writing.upon(_Events.held_elsewhere).to(_idle)
@_renewing.upon(_Events.held_elsewhere).to(_idle)
@_checking.upon(_Events.held_elsewhere).to(_idle)
def _wait_for_expiry(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    """Schedules a read for when the lease may have expired, with jitter.

    The read is at most ``LEASE_POLL_S`` away. The expiry counts from the
    first read of the newest version, so renewals must be noticed early.
    """
    data.failures = 0
    data.expires_at = 0.0
    free_in = data.seen_at + LEASE_DURATION_S + LEASE_MARGIN_S - now
    jitter = data.random_source.uniform(0.0, POLL_JITTER_S)
    data.next_at = now + min(max(free_in, 0.0), LEASE_POLL_S) + jitter
    return []


def _back_off(data: _LeaseData, now: float) -> list[Envelope]:
    delay = store_backoff(data.failures, random_source=data.random_source)
    data.failures += 1
    data.next_at = now + delay
    return []


@_reading.upon(_Events.call_failed).to(_idle)
@_writing.upon(_Events.call_failed).to(_idle)
@_renewing.upon(_Events.call_failed).to(_held)
@_checking.upon(_Events.call_failed).to(_checking)
def _retry(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    return _back_off(data, now)


@_held.upon(_Events.expired).to(_idle)
def _expired(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    data.expires_at = 0.0
    return _back_off(data, now)


@_held.upon(_Events.release_due).to(_idle)
def _released(events: _Events, data: _LeaseData, now: float) -> list[Envelope]:
    """Marks the lease as vacant; if that write is lost, the lease expires."""
    data.expires_at = 0.0
    data.next_at = now + LEASE_DURATION_S + LEASE_MARGIN_S
    vacant = LeaseRecord(holder="", incarnation=data.record.incarnation)
    value = msgspec.json.encode(vacant)
    return data.calls.write(
        data.path, value, lambda reply, at: [], expected=data.version, now=now
    )


for _state in (_idle, _reading, _writing, _renewing, _checking):
    _state.upon(_Events.release_due).loop().returns([])
for _state in (_idle, _reading, _writing, _renewing, _checking):
    _state.upon(_Events.expired).loop().returns([])

_new_machine = _builder.build()


class Lease:
    """One balancer's view of one lease slot of its zone.

    Attributes:
        path: Path of the lease object.
    """

    def __init__(
        self,
        *,
        zone: AvailabilityZone,
        slot: int,
        node_id: NodeId,
        incarnation: Incarnation,
        calls: PlatformCalls,
        random_source: random.Random,
    ) -> None:
        self.path = f"leases/{zone}/{slot}"
        self._data = _LeaseData(
            path=self.path,
            record=LeaseRecord(holder=node_id, incarnation=incarnation),
            calls=calls,
            random_source=random_source,
        )
        self._machine = _new_machine(self._data)
        self._data.events = self._machine

    def holding(self, now: float) -> bool:
        """Returns whether this process holds the lease by its own clock."""
        return now < self._data.expires_at

    @property
    def token(self) -> int:
        """Fencing token: the last known version of the lease object.

        Versions only increase, so receivers can reject a former holder.
        """
        return self._data.version

    @property
    def call_in_flight(self) -> bool:
        """True while a call for the lease is in flight."""
        return self._data.next_at is None

    def wake(self, *, now: float, wanted: bool) -> list[Envelope]:
        """Reads, acquires, renews or releases the lease if this is due.

        Args:
            now: Time in seconds.
            wanted: Whether this process should hold the lease.
        """
        data = self._data
        if data.expires_at and now >= data.expires_at:
            data.expires_at = 0.0
            self._machine.expired(now)
        if not wanted:
            return self._machine.release_due(now) if self.holding(now) else []
        if data.next_at is None or now < data.next_at:
            return []
        return self._machine.due(now)
