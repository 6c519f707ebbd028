"""Watches the platform while this balancer holds a lease of its zone.

Lease holders read the partners' sheets and the drain objects on behalf of all
balancers of the zone, so that the platform's load does not grow with the
number of balancers.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import (
    DRAIN_RESEND_S,
    LEASE_CANDIDATES,
    WATCHERS_PER_ZONE,
)
from bramleydyke.core.config import PartnerConfig
from bramleydyke.core.counting import count_refused
from bramleydyke.core.drain import DRAIN_PREFIX, DrainOrders
from bramleydyke.core.homes import rendezvous_ranking
from bramleydyke.core.lease import Lease
from bramleydyke.core.members import Members
from bramleydyke.core.platform_calls import PlatformCalls, store_backoff
from bramleydyke.core.watch import Watch
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import Announcement, DrainAck, Envelope, PlatformReply
from bramleydyke.types import MemberState, NodeId, PartnerId

LEASE_CHECK_S = 1.0
"""Interval between checks whether a call for a lease is due."""

FIRST_LEASE_CHECK_S = (1.0, 2.0)
"""Range of the random delay before the first check.

The delay leaves time to learn the members: a balancer that knows no other
balancer of its zone would acquire all leases.
"""

ConfigHandler = Callable[[PartnerConfig, float], list[Envelope]]
"""Called with a configuration read from the platform, and the time."""


@dataclass(slots=True, kw_only=True)
class Watcher:
    """Manages one balancer's leases, and its watches while it holds one.

    Attributes:
        own: This balancer's announcement.
        members: Newest announcement of each known node.
        partners: Partners whose sheets are watched; if there are none, the
            watcher does nothing.
        new_config: Applies a configuration and distributes it.
        calls: Calls to the platform that are in flight.
        leases: A lease for each lease slot of the zone.
        watches: A watch for each partner's sheet, and one for the drain
            objects.
        orders: Drain orders that operators have written.
        enabled: False while this balancer drains or stops; it then releases
            its lease.
        check_at: When to check the leases, in seconds.
        resend_at: When to repeat unacknowledged drain orders, in seconds.
    """

    own: Announcement
    members: Members
    partners: Iterable[PartnerId]
    new_config: ConfigHandler
    random_source: random.Random
    calls: PlatformCalls = field(init=False)
    leases: list[Lease] = field(init=False)
    watches: list[Watch] = field(init=False)
    orders: DrainOrders = field(init=False)
    enabled: bool = True
    check_at: float | None = None
    resend_at: float = 0.0
    _drain_versions: dict[str, int] = field(default_factory=dict)
    _drain_retry_at: dict[str, float] = field(default_factory=dict)
    _version: int = -1
    _running: list[NodeId] = field(default_factory=list)
    _slot_candidates: list[list[NodeId]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.calls = PlatformCalls(node_id=self.own.node_id)
        self.orders = DrainOrders(node_id=self.own.node_id, members=self.members)
        self.leases = [
            Lease(
                zone=self.own.zone,
                slot=slot,
                node_id=self.own.node_id,
                incarnation=self.own.incarnation,
                calls=self.calls,
                random_source=self.random_source,
            )
            for slot in range(WATCHERS_PER_ZONE)
        ]
        self.watches = [self._sheet_watch(partner_id) for partner_id in self.partners]
        if self.watches:
            self.watches.append(self._watch(DRAIN_PREFIX, self._drains_changed))

    def held_lease(self, now: float) -> Lease | None:
        """Returns a lease that this balancer holds, preferably slot 0."""
        return next((lease for lease in self.leases if lease.holding(now)), None)

    def holding(self, now: float) -> bool:
        """Returns whether this balancer holds a lease."""
        return self.held_lease(now) is not None

    def handle_drain_ack(self, sender: NodeId, ack: DrainAck) -> list[Envelope]:
        """Records a node's acknowledgement of a drain order."""
        self.orders.acknowledge(sender, ack)
        return []

    def wake(self, *, now: float) -> list[Envelope]:
        """Processes due leases, watches and drain orders."""
        if not self.watches:
            return []
        out = self.calls.wake(now=now)
        if self.check_at is None:
            self.check_at = now + self.random_source.uniform(*FIRST_LEASE_CHECK_S)
        if now >= self.check_at:
            self.check_at = now + LEASE_CHECK_S
            out += self._check_leases(now=now)
        lease_held = self.held_lease(now)
        if lease_held is None:
            return out
        out += [item for watch in self.watches for item in watch.wake(now=now)]
        if now >= self.resend_at:
            self.resend_at = now + DRAIN_RESEND_S
            out += self._due_orders(lease_held)
        return out

    def next_wakeup(self, now: float) -> float | None:
        """Returns the time of the next due ``wake``, or None.

        It is None if there are no partners.
        """
        if not self.watches:
            return None
        if self.check_at is None:
            return now
        times = [self.check_at, self.calls.next_wakeup()]
        if self.holding(now):
            times += [watch.next_at for watch in self.watches]
            times.append(self.resend_at if self.orders.requests else None)
        return min((at for at in times if at is not None), default=None)

    def _check_leases(self, *, now: float) -> list[Envelope]:
        """Wakes the leases; repeats failed reads of drain objects."""
        out = [
            envelope
            for slot, lease in enumerate(self.leases)
            for envelope in lease.wake(now=now, wanted=self._wants_lease(slot, now=now))
        ]
        due = [path for path, at in self._drain_retry_at.items() if at <= now]
        for path in due:
            del self._drain_retry_at[path]
        return out + [item for path in due for item in self._read_drain(path, now=now)]

    def _due_orders(self, lease: Lease) -> list[Envelope]:
        return self.orders.unacknowledged(lease=lease.path, token=lease.token)

    def _watch(
        self, path: str, changed: Callable[[PlatformReply, float], list[Envelope]]
    ) -> Watch:
        return Watch(
            path=path,
            calls=self.calls,
            changed=changed,
            active=self.holding,
            random_source=self.random_source,
        )

    def _wants_lease(self, slot: int, *, now: float) -> bool:
        """Returns whether this balancer should read, acquire or keep a lease.

        Only a few balancers of the zone poll each lease, so that the number of
        calls does not grow with the number of balancers. A balancer holds at
        most one lease, unless it is the only balancer of its zone.
        """
        if not self.enabled:
            return False
        running, candidates = self._candidates()
        lease, held = self.leases[slot], self.held_lease(now)
        other_busy = any(
            item.call_in_flight for item in self.leases if item is not lease
        )
        if held is None and other_busy:
            return False
        if held is not None and held is not lease and len(running) > 1:
            return False
        return held is lease or self.own.node_id in candidates[slot]

    def _candidates(self) -> tuple[list[NodeId], list[list[NodeId]]]:
        """Returns the zone's running balancers and the lease candidates."""
        if self._version != self.members.balancers_version:
            self._version = self.members.balancers_version
            zone = self.own.zone
            known = self.members.balancers_in(MemberState.RUNNING, zone=zone)
            self._running = [item.node_id for item in known]
            self._slot_candidates = [
                rendezvous_ranking(lease.path, self._running, count=LEASE_CANDIDATES)
                for lease in self.leases
            ]
        return self._running, self._slot_candidates

    def _sheet_watch(self, partner_id: PartnerId) -> Watch:
        def changed(reply: PlatformReply, now: float) -> list[Envelope]:
            return self._sheet_changed(partner_id, reply, now)

        return self._watch(f"sheets/{partner_id}", changed)

    def _sheet_changed(
        self, partner_id: PartnerId, reply: PlatformReply, now: float
    ) -> list[Envelope]:
        try:
            config = msgspec.json.decode(reply.value or b"", type=PartnerConfig)
        except msgspec.MsgspecError:
            return [count_refused(self.own.node_id, ErrorKind.BAD_SHEET)]
        if config.partner_id != partner_id:
            return [count_refused(self.own.node_id, ErrorKind.WRONG_PARTNER)]
        return self.new_config(config, now)

    def _drains_changed(self, reply: PlatformReply, now: float) -> list[Envelope]:
        """Reads the drain objects whose versions in the listing are newer."""
        try:
            versions = msgspec.json.decode(reply.value or b"", type=dict[str, int])
        except msgspec.MsgspecError:
            return [count_refused(self.own.node_id, ErrorKind.BAD_REQUEST)]
        changed = [
            path
            for path, version in versions.items()
            if version > self._drain_versions.get(path, 0)
        ]
        return [item for path in changed for item in self._read_drain(path, now=now)]

    def _read_drain(self, path: str, *, now: float) -> list[Envelope]:
        def read(reply: PlatformReply, at: float) -> list[Envelope]:
            return self._drain_read(path, reply, at)

        return self.calls.read(path, read, now=now)

    def _drain_read(
        self, path: str, reply: PlatformReply, now: float
    ) -> list[Envelope]:
        lease = self.held_lease(now)
        if lease is None or reply.value is None:
            wait = store_backoff(0, random_source=self.random_source)
            self._drain_retry_at[path] = now + wait
            return []
        self._drain_versions[path] = reply.version
        refused = self.orders.update(path, reply.value, reply.version)
        if refused is not None:
            return [count_refused(self.own.node_id, refused)]
        return self._due_orders(lease)
