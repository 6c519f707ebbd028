"""Gossip of announcements among balancers, with anti-entropy repair.

A changed announcement is sent once to a few random peers. Anti-entropy repairs
lost messages: pairs of random balancers compare the hashes of their member
buckets.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import (
    BUCKETS_PER_EXCHANGE,
    CHANGE_FANOUT,
    GOSSIP_DELAY_S,
    MEMBERS_PER_BULK,
    MEMBERS_PER_DELTA,
    MEMBERS_PER_GOSSIP,
)
from bramleydyke.core.counting import count_refused
from bramleydyke.core.credentials import Credentials, has_valid_credential
from bramleydyke.core.members import Members, precedence, version_rank
from bramleydyke.core.peers import Peers
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    Announcement,
    Envelope,
    MemberDelta,
    MemberDigest,
    MemberSummary,
    MemberVersion,
)
from bramleydyke.types import NodeId


def member_deltas(
    sender: NodeId,
    receiver: NodeId,
    announcements: Iterable[Announcement],
    *,
    wanted: tuple[NodeId, ...] = (),
    complete: bool = False,
) -> list[Envelope]:
    """Returns messages of up to ``MEMBERS_PER_DELTA`` announcements each.

    Args:
        sender: Node that sends the messages.
        receiver: Node that receives them.
        announcements: Announcements to send; may be empty.
        wanted: Nodes whose announcements the sender requests.
        complete: Whether these are all members that the receiver needs. The
            message says so only if they fit into one message.
    """
    items = list(announcements)
    starts = range(0, max(len(items), 1), MEMBERS_PER_DELTA)
    parts = [tuple(items[start : start + MEMBERS_PER_DELTA]) for start in starts]
    complete = complete and len(parts) == 1
    return [
        Envelope(
            sender,
            receiver,
            MemberDelta(
                announcements=part,
                wanted=wanted if index == 0 else (),
                complete=complete,
            ),
        )
        for index, part in enumerate(parts)
    ]


@dataclass(slots=True, kw_only=True)
class MemberGossip:
    """Receives, verifies and forwards announcements.

    Attributes:
        node_id: This balancer.
        members: Table that accepted announcements are stored in.
        peers: Chooses the balancers to gossip with.
        credentials: Secret of each partner; None accepts any credential.
        pending: Nodes whose announcements are queued for gossip, oldest first.
        flush_at: When to send queued announcements; None if there are none.
    """

    node_id: NodeId
    members: Members
    peers: Peers
    credentials: Credentials | None
    pending: dict[NodeId, None] = field(default_factory=dict)
    flush_at: float | None = None

    def accept(
        self, announcement: Announcement, now: float, *, forward: bool = True
    ) -> list[Envelope]:
        """Stores an announcement that is newer and has a valid credential.

        Args:
            announcement: Announcement of any agent or balancer.
            now: Time in seconds.
            forward: Whether to gossip the announcement to other balancers.

        Returns:
            A message that counts the refusal if the credential is invalid,
            else nothing.
        """
        known = self.members.by_node.get(announcement.node_id)
        if known is not None and precedence(known) >= precedence(announcement):
            return []
        if not has_valid_credential(announcement, self.credentials):
            return [count_refused(self.node_id, ErrorKind.WRONG_PARTNER)]
        self.members.merge(announcement, now=now)
        if forward:
            self.enqueue(announcement.node_id, now=now)
        return []

    def enqueue(self, node_id: NodeId, *, now: float) -> None:
        """Queues a node's announcement for the next gossip round."""
        self.pending[node_id] = None
        if self.flush_at is None:
            self.flush_at = now + GOSSIP_DELAY_S

    def wake(self, *, now: float) -> list[Envelope]:
        """Gossips at most ``MEMBERS_PER_GOSSIP`` queued announcements."""
        if self.flush_at is None or now < self.flush_at:
            return []
        due = list(itertools.islice(self.pending, MEMBERS_PER_GOSSIP))
        for node_id in due:
            del self.pending[node_id]
        self.flush_at = now + GOSSIP_DELAY_S if self.pending else None
        announcements = self._announcements(due)
        return [
            envelope
            for peer in self.peers.gossip_targets(CHANGE_FANOUT)
            for envelope in member_deltas(self.node_id, peer, announcements)
        ]

    def digest(self, peer: NodeId) -> Envelope:
        """Returns a message with this balancer's bucket hashes for a peer."""
        return Envelope(self.node_id, peer, MemberDigest(buckets=self.members.digest()))

    def handle_digest(self, sender: NodeId, digest: MemberDigest) -> list[Envelope]:
        """Replies to a peer's digest where it differs from this balancer's.

        If many buckets are empty at the peer, for example after its start, it
        gets their announcements at once. Otherwise it gets the versions of
        the members of a few random buckets that differ.
        """
        missing = self.members.missing_buckets(digest.buckets)
        if len(missing) > BUCKETS_PER_EXCHANGE:
            return self._bulk(sender, missing)
        differing = self.members.differing_buckets(digest.buckets)
        source = self.peers.random_source
        chosen = source.sample(differing, min(BUCKETS_PER_EXCHANGE, len(differing)))
        return [self._summary(sender, bucket) for bucket in chosen]

    def handle_summary(self, sender: NodeId, summary: MemberSummary) -> list[Envelope]:
        """Sends announcements that are newer here; requests newer ones."""
        if not 0 <= summary.bucket < len(self.members.by_bucket):
            return []
        theirs = {
            item.node_id: version_rank(item.incarnation, item.revision, item.state)
            for item in summary.versions
        }
        own = {
            item.node_id: item
            for item in self._announcements(self.members.by_bucket[summary.bucket])
        }
        newer = [
            item
            for node_id, item in own.items()
            if node_id not in theirs or precedence(item) > theirs[node_id]
        ]
        wanted = tuple(
            node_id
            for node_id, rank in theirs.items()
            if node_id not in own or rank > precedence(own[node_id])
        )
        if not newer and not wanted:
            return []
        return member_deltas(self.node_id, sender, newer, wanted=wanted)

    def handle_delta(
        self, sender: NodeId, delta: MemberDelta, now: float
    ) -> list[Envelope]:
        """Stores a peer's announcements and sends those that it requests."""
        out = [
            envelope
            for announcement in delta.announcements
            for envelope in self.accept(announcement, now, forward=not delta.bulk)
        ]
        if delta.again:
            out.append(self.digest(sender))
        requested = self._announcements(delta.wanted)
        return out + (
            member_deltas(self.node_id, sender, requested) if requested else []
        )

    def _bulk(self, peer: NodeId, buckets: list[int]) -> list[Envelope]:
        """Returns the members of buckets that are empty at a peer.

        About ``MEMBERS_PER_BULK`` members are sent; the last message makes the
        peer request more. Buckets are never split, since the hash of an
        incomplete bucket would still differ.
        """
        nodes: list[NodeId] = []
        for bucket in buckets:
            if len(nodes) < MEMBERS_PER_BULK:
                nodes += self.members.by_bucket[bucket]
        chosen = self._announcements(nodes)
        deltas = member_deltas(self.node_id, peer, chosen)
        last = len(deltas) - 1
        return [
            Envelope(
                self.node_id,
                peer,
                msgspec.structs.replace(item.payload, bulk=True, again=index == last),
            )
            for index, item in enumerate(deltas)
        ]

    def _summary(self, peer: NodeId, bucket: int) -> Envelope:
        """Returns the versions of all members of a bucket."""
        versions = tuple(
            MemberVersion(item.node_id, item.incarnation, item.revision, item.state)
            for item in self._announcements(self.members.by_bucket[bucket])
        )
        summary = MemberSummary(bucket=bucket, versions=versions)
        return Envelope(self.node_id, peer, summary)

    def _announcements(self, node_ids: Iterable[NodeId]) -> list[Announcement]:
        """Returns the known announcements of the given nodes.

        Omits provisional entries, which no node has announced (see
        ``Members.record_incarnation``).
        """
        by_node = self.members.by_node
        known = (by_node[node_id] for node_id in node_ids if node_id in by_node)
        return [item for item in known if item.revision >= 0]
