"""Leases: takeover, pauses, lost replies and the load after an outage."""

from __future__ import annotations

import random

import msgspec
import pytest
from control_fixture import Deployment, service

from bramleydyke.constants import (
    LEASE_DURATION_S,
    LEASE_MARGIN_S,
    LEASE_POLL_S,
    LEASE_RENEW_S,
)
from bramleydyke.core.lease import POLL_JITTER_S, Lease, LeaseRecord
from bramleydyke.core.platform_calls import PlatformCalls
from bramleydyke.core.watch import Watch
from bramleydyke.messages import ConfigDigest, Envelope, PlatformReply, PlatformWrite
from bramleydyke.types import (
    AvailabilityZone,
    Incarnation,
    PlatformStatus,
    balancer_node,
)

ZONE = AvailabilityZone("meknes")


class Candidate:
    """A process that tries to acquire a lease.

    The test delivers the replies to its calls.
    """

    def __init__(self, name: str) -> None:
        self.calls = PlatformCalls(node_id=balancer_node(name))
        self.lease = Lease(
            zone=ZONE,
            slot=0,
            node_id=balancer_node(name),
            incarnation=Incarnation(1),
            calls=self.calls,
            random_source=random.Random(1),
        )

    def wake(self, now: float) -> list[Envelope]:
        return _calls(self.lease.wake(now=now, wanted=True))

    def reply(
        self,
        call: Envelope,
        status: PlatformStatus,
        *,
        now: float,
        version: int = 0,
        record: LeaseRecord | None = None,
    ) -> list[Envelope]:
        value = None if record is None else msgspec.json.encode(record)
        reply = PlatformReply(
            call=call.payload.call, status=status, version=version, value=value
        )
        return _calls(self.calls.replied(reply, now=now))

    def acquire(self, *, now: float) -> None:
        [read] = self.wake(now)
        [write] = self.reply(read, PlatformStatus.NOT_FOUND, now=now)
        self.reply(write, PlatformStatus.OK, now=now, version=1)


def _calls(envelopes: list[Envelope]) -> list[Envelope]:
    return [item for item in envelopes if hasattr(item.payload, "call")]


def _written_record(call: Envelope) -> LeaseRecord:
    assert isinstance(call.payload, PlatformWrite)
    return msgspec.json.decode(call.payload.value, type=LeaseRecord)


def test_lease_has_expired_after_a_long_pause_of_its_holder() -> None:
    """Guards against a paused holder that acts after its lease has expired."""
    holder = Candidate("a")
    holder.acquire(now=0.0)
    assert holder.lease.holding(LEASE_DURATION_S - 0.1)
    assert not holder.lease.holding(LEASE_DURATION_S)
    holder.wake(LEASE_DURATION_S + 60)
    assert not holder.lease.holding(LEASE_DURATION_S + 60)


def test_lease_duration_starts_when_the_write_is_sent() -> None:
    """Guards against a slow reply that extends the lease."""
    holder = Candidate("a")
    [read] = holder.wake(0.0)
    [write] = holder.reply(read, PlatformStatus.NOT_FOUND, now=1.0)
    holder.reply(write, PlatformStatus.OK, now=5.0, version=1)
    assert not holder.lease.holding(1.0 + LEASE_DURATION_S)


def test_lease_is_held_if_only_the_reply_to_the_write_is_lost() -> None:
    """Guards against a holder that does not know that it holds the lease.

    After a lost reply, it reads the lease object.
    """
    holder = Candidate("a")
    [read] = holder.wake(0.0)
    [write] = holder.reply(read, PlatformStatus.NOT_FOUND, now=0.0)
    [read_back] = holder.reply(write, PlatformStatus.LOST, now=5.0)
    holder.reply(
        read_back, PlatformStatus.OK, now=5.0, version=1, record=_written_record(write)
    )
    assert holder.lease.holding(LEASE_DURATION_S - 0.1)
    assert holder.lease.token == 1


def test_lost_renewal_does_not_extend_the_lease() -> None:
    """Guards against a renewal that had no effect but extends the lease.

    The object read back must be told apart by its renewal number.
    """
    holder = Candidate("a")
    [read] = holder.wake(0.0)
    [first] = holder.reply(read, PlatformStatus.NOT_FOUND, now=0.0)
    holder.reply(first, PlatformStatus.OK, now=0.0, version=1)
    [renewal] = holder.wake(LEASE_RENEW_S)
    now = LEASE_RENEW_S + 6
    [read_back] = holder.reply(renewal, PlatformStatus.LOST, now=now)
    [repeated] = holder.reply(
        read_back, PlatformStatus.OK, now=now, version=1, record=_written_record(first)
    )
    assert repeated.payload.expected == 1
    assert not holder.lease.holding(LEASE_DURATION_S + 0.1)


def test_lease_of_another_process_is_acquired_only_after_expiry() -> None:
    """Guards against two holders, and against an expired lease left vacant."""
    other = LeaseRecord(holder="balancer/b", incarnation=Incarnation(1))
    waiting = Candidate("a")
    [read] = waiting.wake(0.0)
    seen = {"version": 4, "record": other}
    assert waiting.reply(read, PlatformStatus.OK, now=0.0, **seen) == []
    [read] = waiting.wake(LEASE_DURATION_S)
    assert waiting.reply(read, PlatformStatus.OK, now=LEASE_DURATION_S, **seen) == []
    now = LEASE_DURATION_S + LEASE_MARGIN_S + POLL_JITTER_S
    [read] = waiting.wake(now)
    [write] = waiting.reply(read, PlatformStatus.OK, now=now, **seen)
    assert write.payload.expected == 4
    waiting.reply(write, PlatformStatus.CONFLICT, now=now, version=5, record=other)
    assert not waiting.lease.holding(now)


def test_each_zone_has_two_lease_holders_and_replaces_a_dead_one() -> None:
    """Guards against a zone that stops watching when a lease holder dies."""
    deployment = Deployment(seed=1)
    deployment.run(10)
    held = [
        node
        for node in deployment.balancers
        if node.control.watcher.holding(deployment.network.now)
    ]
    assert len(held) == 6
    deployment.network.remove(held[0].node_id)
    deployment.run(LEASE_DURATION_S + LEASE_MARGIN_S + LEASE_POLL_S + 5)
    held = [
        node
        for node in deployment.balancers
        if node.control.watcher.holding(deployment.network.now)
    ]
    assert len(held) == 6


@pytest.mark.parametrize("seed", [1, 2])
def test_outage_ends_without_a_burst_of_calls(seed: int) -> None:
    """Guards against calls without a pause or in lockstep in an outage."""
    deployment = Deployment(seed=seed)
    deployment.apply(service())
    deployment.run(20)
    deployment.network.store.down = True
    deployment.network.store.calls.clear()
    deployment.run(120)
    assert deployment.network.store.calls.total() < 500
    deployment.network.store.down = False
    deployment.apply(service(2.0))
    deployment.network.store.calls.clear()
    deployment.run(1)
    assert deployment.network.store.calls.total() < 40
    deployment.run(30)
    assert deployment.generations() == {2}


def test_watch_continues_while_replies_to_writes_are_lost() -> None:
    """Guards against leases that expire while replies to writes are lost."""
    deployment = Deployment(seed=3)
    deployment.run(10)
    deployment.network.store.lose_replies = True
    deployment.run(60)
    deployment.apply(service())
    deployment.run(10)
    assert deployment.generations() == {1}


def test_sheet_at_path_of_another_partner_is_rejected() -> None:
    """Guards against one partner changing another partner's services."""
    deployment = Deployment(seed=4)
    deployment.apply(service())
    deployment.run(10)
    forged = msgspec.structs.replace(
        deployment.config, partner_id="studio", generation=9
    )
    deployment.put("sheets/federation", forged)
    deployment.put("sheets/studio", deployment.config)
    deployment.run(5)
    assert deployment.generations() == {1}
    assert deployment.network.counters["refused.wrong_partner"] > 0


def test_reply_to_a_former_lease_holder_is_ignored() -> None:
    """Guards against a paused holder that acts on a reply after expiry."""
    seen: list[PlatformReply] = []
    active = True
    calls = PlatformCalls(node_id=balancer_node("a"))
    watch = Watch(
        path="sheets/federation",
        calls=calls,
        changed=lambda reply, now: seen.append(reply) or [],
        active=lambda now: active,
        random_source=random.Random(1),
    )
    [read] = _calls(watch.wake(now=0.0))
    active = False
    reply = PlatformReply(
        call=read.payload.call, status=PlatformStatus.OK, version=3, value=b"{}"
    )
    assert calls.replied(reply, now=60.0) == []
    assert seen == [] and watch.wake(now=60.0) == []
    active = True
    assert len(_calls(watch.wake(now=61.0))) == 1


def test_message_before_the_first_wake_is_handled() -> None:
    """Guards against an exception at a message before the first wake."""
    deployment = Deployment(seed=5, balancers=1, agents=0)
    balancer = deployment.balancers[0]
    digest = ConfigDigest(generations={})
    peer = balancer_node("b1")
    balancer.receive(Envelope(peer, balancer.node_id, digest), now=0.0)
    assert balancer.next_wakeup() == 0.0
