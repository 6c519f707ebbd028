"""Failure detection by home balancers.

A node sends heartbeats to its home balancers. A home balancer that has
received nothing for ``SUSPECT_AFTER_S`` queries the node's other home. It
announces the node as suspect only if the other home has received nothing
either.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import HEALTH_FLOOR, HEARTBEAT_S, SUSPECT_AFTER_S
from bramleydyke.core.counting import count
from bramleydyke.core.homes import HomeMap
from bramleydyke.core.members import ABSENT_STATES, Members
from bramleydyke.messages import Announcement, Envelope, SuspectQuery, SuspectReply
from bramleydyke.types import MemberState, NodeId

MIN_WATCHED_NODES = 3
"""Minimum watched nodes for a meaningful fraction of silent ones.

With fewer, one or two dead nodes would look like a fault of this balancer.
"""


@dataclass(slots=True, kw_only=True)
class SuspicionDetector:
    """Detects silent nodes among those that one balancer is a home of.

    Attributes:
        node_id: This balancer.
        members: Newest announcement of each known node.
        homes: Computes the home balancers of each node.
        publish: Stores an announcement and gossips it.
        last_contact: Time of the last message from each watched node.
        checked_at: Time of the last check; None before the first.
    """

    node_id: NodeId
    members: Members
    homes: HomeMap
    publish: Callable[[Announcement, float], object]
    last_contact: dict[NodeId, float] = field(default_factory=dict)
    other_homes: dict[NodeId, list[NodeId]] = field(default_factory=dict)
    """The other home balancers of each watched node."""

    checked_at: float | None = None
    unreliable: bool = False
    """True while more than ``HEALTH_FLOOR`` of the watched nodes are silent.

    The likelier cause is then this balancer's own network.
    """

    _version: int = -1

    def record_contact(self, node_id: NodeId, *, now: float) -> None:
        """Records a message from a node."""
        self.last_contact[node_id] = now

    def check(self, *, now: float) -> list[Envelope]:
        """Finds silent nodes and queries their other homes."""
        self._reset_after_pause(now=now)
        self._update_watched(now=now)
        watched = [item for item in self.other_homes if self._is_present(item)]
        silent = [item for item in watched if self.is_silent(item, now=now)]
        self.unreliable = len(watched) >= MIN_WATCHED_NODES and (
            len(silent) > HEALTH_FLOOR * len(watched)
        )
        if self.unreliable:
            return [count(self.node_id, "suspicion.blind")]
        return [out for item in silent for out in self._ask(item, now=now)]

    def is_silent(self, node_id: NodeId, *, now: float) -> bool:
        """Returns whether a node sent nothing for over ``SUSPECT_AFTER_S``."""
        contact_at = self.last_contact.get(node_id)
        return contact_at is not None and now - contact_at > SUSPECT_AFTER_S

    def handle_query(
        self, sender: NodeId, query: SuspectQuery, *, now: float
    ) -> list[Envelope]:
        """Replies to another home's query whether a node is silent here too.

        The reply is negative while this balancer cannot tell: after a pause of
        its process, or while most nodes that it watches are silent.
        """
        paused = self.checked_at is None or now - self.checked_at > SUSPECT_AFTER_S
        watched = (
            query.node_id in self.other_homes and not paused and not self.unreliable
        )
        silent = watched and self.is_silent(query.node_id, now=now)
        reply = SuspectReply(
            node_id=query.node_id,
            incarnation=query.incarnation,
            revision=query.revision,
            silent=silent,
        )
        return [Envelope(self.node_id, sender, reply)]

    def handle_reply(self, sender: NodeId, reply: SuspectReply, *, now: float) -> None:
        """Announces a node as suspect if its other home confirms the silence.

        A reply about an older version of the node's announcement is ignored.
        """
        if not reply.silent or self.unreliable:
            return
        known = self.members.by_node.get(reply.node_id)
        same = known is not None and (known.incarnation, known.revision) == (
            reply.incarnation,
            reply.revision,
        )
        asked = sender in self.other_homes.get(reply.node_id, ())
        if same and asked and self.is_silent(reply.node_id, now=now):
            self._suspect(reply.node_id, now=now)

    def _ask(self, node_id: NodeId, *, now: float) -> Iterable[Envelope]:
        """Queries a node's other homes; suspects the node if it has none."""
        known = self.members.by_node[node_id]
        others = self.other_homes[node_id]
        if not others:
            self._suspect(node_id, now=now)
            return []
        query = SuspectQuery(
            node_id=node_id, incarnation=known.incarnation, revision=known.revision
        )
        return [Envelope(self.node_id, other, query) for other in others]

    def _suspect(self, node_id: NodeId, *, now: float) -> None:
        known = self.members.by_node[node_id]
        suspect = msgspec.structs.replace(known, state=MemberState.SUSPECT)
        self.publish(suspect, now)

    def _is_present(self, node_id: NodeId) -> bool:
        known = self.members.by_node.get(node_id)
        return known is not None and known.state not in ABSENT_STATES

    def _reset_after_pause(self, *, now: float) -> None:
        """Restarts the silence timers of all nodes after a process pause."""
        last = self.checked_at
        self.checked_at = now
        if last is not None and now - last > HEARTBEAT_S + SUSPECT_AFTER_S / 2:
            self.last_contact = dict.fromkeys(self.last_contact, now)

    def _update_watched(self, *, now: float) -> None:
        """Updates the watched nodes, of which this balancer is a home.

        A newly watched node counts as silent only after twice
        ``SUSPECT_AFTER_S``, since it learns of its new home only from a reply
        of another home.
        """
        if self._version == self.members.version:
            return
        self._version = self.members.version
        self.other_homes = {
            node_id: [home for home in homes if home != self.node_id]
            for node_id, homes in self._homes_of_candidates()
            if self.node_id in homes
        }
        fresh = now + SUSPECT_AFTER_S
        self.last_contact = {
            node_id: self.last_contact.get(node_id, fresh)
            for node_id in self.other_homes
        }

    def _homes_of_candidates(self) -> Iterable[tuple[NodeId, list[NodeId]]]:
        """Yields present nodes that may have a home here, with their homes.

        Skips nodes of other zones that have enough balancers of their own.
        """
        own = self.members.by_node[self.node_id]
        others = self.homes.zones_with_own_homes() - {own.zone}
        for node_id, known in self.members.by_node.items():
            if known.zone in others or known.state in ABSENT_STATES or known is own:
                continue
            yield node_id, self.homes.homes(node_id, known.zone)
