"""Repair of upstream entries after the store was restored from a copy.

The copy lacks entries and updates that were written after it was made, and
holds entries that were removed since. Agents write their own entries again,
but call the store rarely, so balancers tell them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bramleydyke.direct.constants import LOST_ENTRY_CHECK_S, LOST_ENTRY_S
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.entries import UpstreamEntry
from bramleydyke.direct.messages import Announcement, EntryOutdated
from bramleydyke.direct.ports import Count, Record, Send
from bramleydyke.direct.store import Era, Revision, StoredObject
from bramleydyke.direct.types import NodeIp, UpstreamState
from bramleydyke.ports import Clock


def is_outdated(known: Announcement, entry: UpstreamEntry | None) -> bool:
    """Returns whether the store lacks what is known of an upstream.

    Args:
        known: Newest announcement of the upstream.
        entry: Entry of the upstream's agent in the store, if any.
    """
    if known.state is UpstreamState.GONE:
        return entry is not None and entry.lifetime <= known.lifetime
    if entry is None or entry.lifetime < known.lifetime:
        return True
    unstored_drain = (
        known.state is UpstreamState.DRAINING and entry.state is UpstreamState.READY
    )
    return entry.lifetime == known.lifetime and unstored_drain


@dataclass(slots=True, kw_only=True)
class LostEntries:
    """Tells agents after a restore which of their entries are outdated.

    Attributes:
        directory: Upstreams known to this balancer.
        listed: Upstream entries in the store, by the IP address of the agent.
        remove: Removes the entry of an ended upstream whose agent has not.
        poll: Updates ``listed`` soon, beside the watch, which may pause.
        era: Newest era; the repairs of earlier ones end early.
    """

    directory: Directory
    listed: Mapping[NodeIp, StoredObject]
    clock: Clock
    send: Send
    count: Count
    record: Record
    remove: Callable[[NodeIp], None]
    poll: Callable[[], None]
    era: Era = Era(0)
    stopped: bool = False

    def start(self, era: Era) -> None:
        """Starts the repairs of a restore, once the entries were listed."""
        self.era = era
        ends_at = self.clock.seconds() + LOST_ENTRY_S
        self._check(era, ends_at)

    def outdated(self) -> dict[NodeIp, Revision]:
        """Returns the agents with outdated entries.

        The values are the revisions of the entries, or 0.
        """
        found: dict[NodeIp, Revision] = {}
        for node, known in self.directory.entries.items():
            stored = self.listed.get(node)
            value = None if stored is None else stored.value
            entry = value if isinstance(value, UpstreamEntry) else None
            if is_outdated(known.announcement, entry):
                found[node] = Revision(0) if stored is None else stored.revision
        return found

    def _check(self, era: Era, ends_at: float) -> None:
        if self.stopped or era != self.era:
            return
        outdated = self.outdated()
        for node, revision in outdated.items():
            self.count("store.entry_outdated")
            self.record("entry_outdated", agent=node, era=era, revision=revision)
            self.send(node, EntryOutdated(era, revision))
        self.poll()
        if self.clock.seconds() < ends_at:
            self.clock.callLater(LOST_ENTRY_CHECK_S, self._check, era, ends_at)
            return
        for node in outdated:
            known = self.directory.entries[node].announcement
            if known.state is UpstreamState.GONE:
                self.remove(node)
