"""Collection and rate-limited writing of a zone's status."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import (
    MAX_DRAINED_NAMES,
    STATUS_BURST,
    STATUS_CHANGED_S,
    STATUS_COLLECT_S,
    STATUS_INTERVAL_S,
    STATUS_UNCHANGED_S,
)
from bramleydyke.core.config import ConfigStore
from bramleydyke.core.counting import count_refused
from bramleydyke.core.drain import Fence
from bramleydyke.core.lease import Lease
from bramleydyke.core.members import ABSENT_STATES
from bramleydyke.core.membership import Membership
from bramleydyke.core.platform_calls import FAILED_STATUSES
from bramleydyke.core.status import StatusBuilder, ZoneStatus, without_timing
from bramleydyke.core.watcher import Watcher
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import Envelope, PlatformReply, StatusQuery, StatusReply
from bramleydyke.types import (
    Generation,
    MemberState,
    NodeId,
    PartnerId,
    PlatformStatus,
)


@dataclass(slots=True, kw_only=True)
class StatusWriter:
    """Writes ``status/<zone>`` while this balancer holds the lease of slot 0.

    The holder of another slot writes only if the object has not changed for
    twice ``STATUS_UNCHANGED_S``; the lease of slot 0 is then vacant.

    Attributes:
        membership: Members, and the generations that their heartbeats report.
        config: Configuration in force at this balancer.
        watcher: Leases of this balancer, and its calls to the platform.
        partners: Partners to report on.
        builder: Computes the status.
        fence: Rejects queries of former lease holders.
        replies: Replies of the zone's balancers to the current query.
        queried_count: Number of balancers queried, this one included.
        query_at: When to send the next query; None without a lease.
        collect_at: When to evaluate the replies; None if no query is open.
        version: Last known version of the object; 0 if unknown.
        written: Status that this balancer wrote last.
        written_at: Time of that write, in seconds.
        other_write_at: When a write by another balancer was last noticed.
        write_tokens: Writes that the rate limit allows now (token bucket).
        refilled_at: When the tokens were last refilled, in seconds.
    """

    membership: Membership
    config: ConfigStore
    watcher: Watcher
    partners: Iterable[PartnerId]
    builder: StatusBuilder = field(init=False)
    fence: Fence = field(default_factory=Fence)
    replies: dict[NodeId, StatusReply] = field(default_factory=dict)
    queried_count: int = 0
    query_at: float | None = None
    collect_at: float | None = None
    version: int = 0
    written: ZoneStatus | None = None
    written_at: float = -math.inf
    other_write_at: float = -math.inf
    write_tokens: float = STATUS_BURST
    refilled_at: float = 0.0

    def __post_init__(self) -> None:
        self.builder = StatusBuilder(
            zone=self.membership.announcement.zone,
            members=self.membership.members,
            config=self.config,
        )

    def handle_query(self, sender: NodeId, query: StatusQuery) -> list[Envelope]:
        """Replies with the generations that this balancer and its agents have.

        A query of a former lease holder is refused and counted.
        """
        own = self.membership.announcement.node_id
        if not self.fence.admits(query.lease, query.token):
            return [count_refused(own, ErrorKind.FENCED)]
        return [Envelope(own, sender, self._own_reply())]

    def handle_reply(self, sender: NodeId, reply: StatusReply) -> list[Envelope]:
        """Stores a balancer's reply while a query is open."""
        if self.collect_at is not None:
            self.replies[sender] = reply
        return []

    def wake(self, *, now: float) -> list[Envelope]:
        """Queries the zone's balancers, or evaluates their replies.

        The replies are evaluated ``STATUS_COLLECT_S`` after the query.
        Without a lease, nothing is sent.
        """
        lease = self.watcher.held_lease(now)
        if lease is None:
            self.query_at = self.collect_at = None
            return []
        if self.query_at is None:
            self.query_at = now + STATUS_INTERVAL_S
        if self.collect_at is not None and now >= self.collect_at:
            self.collect_at = None
            return self._write_if_due(lease, now=now)
        if self.collect_at is None and now >= self.query_at:
            slot_zero = lease is self.watcher.leases[0]
            self.query_at = now + (
                STATUS_INTERVAL_S if slot_zero else STATUS_UNCHANGED_S
            )
            self.collect_at = now + STATUS_COLLECT_S
            return self._send_queries(lease)
        return []

    def next_wakeup(self, now: float) -> float | None:
        """Returns the time of the next due ``wake``; None without a lease."""
        if not self.watcher.holding(now):
            return None
        return self.query_at if self.collect_at is None else self.collect_at

    def _send_queries(self, lease: Lease) -> list[Envelope]:
        own = self.membership.announcement
        self.replies = {own.node_id: self._own_reply()}
        peers = [
            item.node_id
            for item in self.membership.members.balancers_in(
                MemberState.RUNNING, MemberState.DRAINING, zone=own.zone
            )
            if item.node_id != own.node_id
        ]
        self.queried_count = len(peers) + 1
        query = StatusQuery(lease=lease.path, token=lease.token)
        return [Envelope(own.node_id, peer, query) for peer in peers]

    def _own_reply(self) -> StatusReply:
        """Returns this balancer's generations and those of its agents.

        Only an agent's first home balancer counts the agent, and only if both
        are in the same zone, so that no agent is counted twice.
        """
        own, zone = self.membership.announcement.node_id, self.builder.zone
        members = self.membership.members
        agents: dict[PartnerId, Counter[Generation]] = {}
        drained: dict[PartnerId, list[str]] = {}
        for node_id, held in self.membership.generations.items():
            known = members.by_node.get(node_id)
            if known is None or known.state in ABSENT_STATES or known.zone != zone:
                continue
            homes = self.membership.link.home_map.homes(node_id, known.zone)
            if homes[:1] == [own]:
                partner_id, generation = held
                agents.setdefault(partner_id, Counter())[generation] += 1
                names = drained.setdefault(partner_id, [])
                done = node_id in self.membership.drained
                if done and len(names) < MAX_DRAINED_NAMES:
                    names.append(node_id.removeprefix("agent/"))
        return StatusReply(
            generations=dict(self.config.generations),
            agents={partner_id: dict(held) for partner_id, held in agents.items()},
            drained={
                partner_id: names for partner_id, names in drained.items() if names
            },
        )

    def _write_if_due(self, lease: Lease, *, now: float) -> list[Envelope]:
        """Writes the status if it has changed or was last written long ago.

        The object is read first if its version is unknown or if this balancer
        does not hold slot 0.
        """
        status = self._status(lease, now=now)
        before = None if self.written is None else without_timing(self.written)
        changed = before != without_timing(status)
        self._refill(now)
        if (
            self.write_tokens < 1
            or not changed
            and now - self.written_at < (STATUS_UNCHANGED_S)
        ):
            return []
        slot_zero = lease is self.watcher.leases[0]
        if self.version and slot_zero:
            return self._write(status, now=now)

        def read(reply: PlatformReply, at: float) -> list[Envelope]:
            return self._version_read(status, reply, at, slot_zero=slot_zero)

        return self.watcher.calls.read(self._path, read, now=now)

    def _version_read(
        self, status: ZoneStatus, reply: PlatformReply, now: float, *, slot_zero: bool
    ) -> list[Envelope]:
        """Writes the status after a read, unless the holder of slot 0 does."""
        lease = self.watcher.held_lease(now)
        if reply.status in FAILED_STATUSES or lease is None:
            self._delay_after_failure(now)
            return []
        version_changed = reply.version != self.version
        self.version = reply.version
        if not slot_zero and reply.version:
            if version_changed:
                self.other_write_at = now
            if now - self.other_write_at < 2 * STATUS_UNCHANGED_S:
                return []
        return self._write(status, now=now)

    def _refill(self, now: float) -> None:
        """Adds tokens to the rate limit for the time since the last call."""
        earned = max(0.0, now - self.refilled_at) / STATUS_CHANGED_S
        self.refilled_at = now
        self.write_tokens = min(STATUS_BURST, self.write_tokens + earned)

    def _write(self, status: ZoneStatus, *, now: float) -> list[Envelope]:
        self.write_tokens -= 1

        def done(reply: PlatformReply, at: float) -> list[Envelope]:
            if reply.status is PlatformStatus.OK:
                self.written = status
                self.version = reply.version
                self.written_at = at
            else:
                self.version = 0
                self._delay_after_failure(at)
            return []

        return self.watcher.calls.write(
            self._path,
            msgspec.json.encode(status),
            done,
            expected=self.version,
            now=now,
        )

    def _delay_after_failure(self, now: float) -> None:
        """Postpones the next query after a failed call, with jitter.

        The next write then reads the object's version first.
        """
        jitter = self.watcher.random_source.uniform(0.5, 1.0)
        self.query_at = now + jitter * STATUS_CHANGED_S

    def _status(self, lease: Lease, *, now: float) -> ZoneStatus:
        own = self.membership.announcement
        replies = self.replies.values()
        complete = len(replies) == self.queried_count
        return ZoneStatus(
            zone=own.zone,
            writer=own.node_id,
            token=lease.token,
            balancers=self.queried_count,
            replied=len(self.replies),
            partners={
                partner_id: self.builder.partner(
                    partner_id, replies, complete=complete, now=now
                )
                for partner_id in self.partners
            },
        )

    @property
    def _path(self) -> str:
        return f"status/{self.membership.announcement.zone}"
