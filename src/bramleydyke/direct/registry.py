"""Keeps a balancer in sync with the store; removes entries of dead VMs."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.direct.constants import (
    BALANCER_LIST_S,
    CONFIG_PAUSE_S,
    CONFIG_POLL_PER_PEER_S,
    CONFIG_POLL_S,
    ENTRY_EXPIRY_S,
    LOST_ENTRY_S,
    STORE_BACKOFF_CAP_S,
    UPSTREAM_PAUSE_S,
)
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.entries import BalancerEntry, UpstreamEntry
from bramleydyke.direct.gossip import Gossip
from bramleydyke.direct.kind_watch import KindWatch
from bramleydyke.direct.lost_entries import LostEntries
from bramleydyke.direct.ports import Count, Record, Send
from bramleydyke.direct.routes import Routes, RouteSet
from bramleydyke.direct.store import (
    CallStatus,
    Changes,
    Era,
    Kind,
    Listing,
    Store,
    StoredObject,
)
from bramleydyke.direct.types import ConfigVersion, Lifetime, NodeIp
from bramleydyke.ports import Clock


@dataclass(slots=True, kw_only=True)
class Registry:
    """Keeps a balancer in sync with the store; removes entries of dead VMs.

    Attributes:
        routes: Configuration in force, updated from the store.
        directory: Upstreams known to this balancer.
        on_announcement: Called for each upstream entry that is read, with the
            parameters of ``Balancer.apply_announcement``.
        gossip: Exchanges state with the other balancers.
        on_listed: Called after each full listing of the configuration or of
            the upstreams, which may bring many changes at once.
        watches: Watches of the configuration and the upstreams.
        listed: Stored entry of each agent that has one.
        lost_entries: Repairs entries after a restore of the store.
        restored_era: New era of the store, until the upstreams are listed
            again.
        complete_from: Only calls made from this time on, in seconds, show all
            upstreams: not those from before a pause of this process, or from
            before agents have written again what a restored store had lost.
        stored_version: Version of the configuration that the store returned
            last; 0 before the first one.
    """

    store: Store
    clock: Clock
    random_source: random.Random
    routes: Routes
    directory: Directory
    on_announcement: Callable[..., bool]
    gossip: Gossip
    send: Send
    count: Count
    record: Record
    on_listed: Callable[[], None] = lambda: None
    watches: list[KindWatch] = field(default_factory=list)
    stopped: bool = False
    listed: dict[NodeIp, StoredObject] = field(default_factory=dict)
    lost_entries: LostEntries = field(init=False)
    restored_era: Era | None = None
    complete_from: float = float("-inf")
    stored_version: ConfigVersion = ConfigVersion(0)

    def __post_init__(self) -> None:
        self.lost_entries = LostEntries(
            directory=self.directory,
            listed=self.listed,
            clock=self.clock,
            send=self.send,
            count=self.count,
            record=self.record,
            remove=self._remove_ended,
            poll=self._poll_upstreams,
        )

    def start(self) -> None:
        """Starts the watches, the lists of balancers and entry expiry."""
        self.watches = [
            self._watch(
                Kind.CONFIGURATION,
                self._routes_listed,
                self._routes_changed,
                poll_s=self.poll_interval_s,
                pause_s=CONFIG_PAUSE_S,
            ),
            self._watch(
                Kind.UPSTREAMS,
                self._upstreams_listed,
                self._upstreams_changed,
                on_lost=self._upstreams_lost,
                pause_s=UPSTREAM_PAUSE_S,
            ),
        ]
        for watch in self.watches:
            watch.start()
        self._list_balancers(stale=False)
        self.clock.callLater(BALANCER_LIST_S, self._expire)

    def stop(self) -> None:
        """Stops making calls to the store."""
        self.stopped = self.lost_entries.stopped = True
        for watch in self.watches:
            watch.stop()

    def resumed(self) -> None:
        """Reads everything again after a pause of this process."""
        self.complete_from = max(self.complete_from, self.clock.seconds())
        for watch in self.watches:
            watch.poll_all()

    def store_restored(self, era: Era) -> None:
        """Reads everything again, because the store has lost changes.

        Args:
            era: New era of the store.
        """
        self.restored_era = era
        self.directory.complete = False
        self.complete_from = self.clock.seconds() + LOST_ENTRY_S
        for watch in self.watches:
            watch.store_restored()

    def poll_interval_s(self) -> float:
        """Returns the interval of this balancer's configuration polls.

        It is proportional to the number of running balancers, so that the
        store gets polls at a steady rate. The first balancer that sees a
        change notifies others.
        """
        peers = self.gossip.live_peers(now=self.clock.seconds())
        return max(CONFIG_POLL_S, CONFIG_POLL_PER_PEER_S * peers)

    def apply_routes(self, routes: RouteSet, *, source: str) -> bool:
        """Applies a newer configuration and notifies other balancers.

        Args:
            routes: The configuration.
            source: Origin of the configuration, for the log.

        Returns:
            False if the configuration is not newer than the one in force.
        """
        if not self.routes.apply(routes):
            return False
        self.record(
            "configuration_applied",
            version=routes.version,
            routes=len(routes.routes),
            source=source,
        )
        self.gossip.configuration_changed(now=self.clock.seconds())
        return True

    def _watch(
        self,
        kind: Kind,
        listed: Callable[[Listing, float], None],
        changed: Callable[[Changes, float], None],
        *,
        poll_s: Callable[[], float] | None = None,
        on_lost: Callable[[], None] = lambda: None,
        pause_s: float = 0.0,
    ) -> KindWatch:
        return KindWatch(
            kind=kind,
            store=self.store,
            clock=self.clock,
            random_source=self.random_source,
            listed=listed,
            changed=changed,
            count=self.count,
            record=self.record,
            poll_s=poll_s,
            on_lost=on_lost,
            pause_s=pause_s,
        )

    # Configuration.

    def _routes_listed(self, listing: Listing, called_at: float) -> None:
        if not listing.objects:
            self.stored_version = ConfigVersion(0)
        for stored in listing.objects:
            self._apply_stored_routes(stored)
        self._confirm_routes(called_at)
        self.on_listed()

    def _routes_changed(self, changes: Changes, called_at: float) -> None:
        for change in changes.changes:
            if not change.removed:
                self._apply_stored_routes(change.object)
        self._confirm_routes(called_at)

    def _confirm_routes(self, called_at: float) -> None:
        """Confirms the configuration unless the store has an older one.

        A restored store has an older one until the operator writes it again.
        """
        if self.stored_version >= self.routes.version:
            self.routes.confirm(now=called_at)
        else:
            self.count("store.configuration_outdated")

    def _apply_stored_routes(self, stored: StoredObject) -> None:
        if not isinstance(stored.value, RouteSet):
            return
        if stored.value.version != self.stored_version:
            self.stored_version = stored.value.version
            self.record(
                "configuration_read",
                version=stored.value.version,
                revision=stored.revision,
                in_force=self.routes.version,
            )
        self.apply_routes(stored.value, source="store")

    # Upstreams.

    def _upstreams_listed(self, listing: Listing, called_at: float) -> None:
        earlier = dict(self.listed)
        self.listed.clear()
        for stored in listing.objects:
            self._apply_stored_upstream(stored)
        era, self.restored_era = self.restored_era, None
        if era is None:
            for node in earlier.keys() - self.listed.keys():
                self._entry_removed(node, _lifetime(earlier[node]), reason="not_listed")
        else:
            # The copy may lack entries of running upstreams.
            self.lost_entries.start(era)
        self.directory.complete = called_at >= self.complete_from
        self.on_listed()

    def _poll_upstreams(self) -> None:
        self.watches[1].poll_changes()

    def _upstreams_lost(self) -> None:
        self.directory.complete = False

    def _upstreams_changed(self, changes: Changes, called_at: float) -> None:
        for change in changes.changes:
            if change.removed:
                node = NodeIp(change.object.name)
                lifetime = _lifetime(self.listed.pop(node, None))
                self._entry_removed(node, lifetime, reason="removed")
            else:
                self._apply_stored_upstream(change.object)
        listed = self.restored_era is None and not self.watches[1].lost
        if listed and called_at >= self.complete_from:
            self.directory.complete = True

    def _entry_removed(self, node: NodeIp, lifetime: Lifetime, *, reason: str) -> None:
        """Marks an upstream as gone.

        Args:
            node: IP address of the agent.
            lifetime: Lifetime of the upstream in the entry.
            reason: How this balancer learned of the end, for the log.
        """
        if self.directory.removed(node, lifetime, now=self.clock.seconds()):
            self.record("upstream_removed", agent=node, reason=reason)

    def _apply_stored_upstream(self, stored: StoredObject) -> None:
        earlier = self.listed.get(NodeIp(stored.name))
        self.listed[NodeIp(stored.name)] = stored
        if not isinstance(stored.value, UpstreamEntry):
            if earlier is None or earlier.revision != stored.revision:
                self.record(
                    "entry_unreadable", name=stored.name, revision=stored.revision
                )
            return
        announcement = stored.value.announcement()
        if announcement.node != stored.name:
            self.count("store.upstreams.foreign")
            return
        now = self.clock.seconds()
        self.on_announcement(announcement, now=now, source="store")

    # Balancers.

    def _list_balancers(self, *, stale: bool = True) -> None:
        if self.stopped:
            return
        self.store.list(Kind.BALANCERS, self._balancers_listed, stale=stale)

    def _balancers_listed(self, status: CallStatus, listing: Listing | None) -> None:
        """Adds the listed balancers as peers; a failed call is retried."""
        if status is not CallStatus.OK or listing is None:
            self.count(f"store.balancers.{status.value}")
            self.clock.callLater(STORE_BACKOFF_CAP_S, self._list_balancers)
            return
        self.clock.callLater(BALANCER_LIST_S, self._list_balancers)
        for stored in listing.objects:
            self._add_stored_balancer(stored)

    # Expiry of entries whose writers no longer run.

    def _expire(self) -> None:
        """Removes entries of VMs that were silent for ``ENTRY_EXPIRY_S``.

        Rendezvous hashing assigns each stored entry to one running balancer,
        and only that balancer removes it. An upstream without a stored entry
        is removed from this balancer's directory only.
        """
        if self.stopped:
            return
        self.clock.callLater(BALANCER_LIST_S, self._expire)
        now = self.clock.seconds()
        self.directory.expire(now=now)
        silent_agents = [
            node
            for node in self.directory.entries
            if self.directory.is_dead(node, now=now, after_s=ENTRY_EXPIRY_S)
        ]
        for node in silent_agents:
            if node not in self.listed:
                lifetime = self.directory.entries[node].announcement.lifetime
                self._entry_removed(node, lifetime, reason="silent")
        silent = [(Kind.UPSTREAMS, n) for n in silent_agents if n in self.listed]
        silent += [
            (Kind.BALANCERS, node)
            for node, heard_at in self.gossip.peers.items()
            if now - heard_at > ENTRY_EXPIRY_S
        ]
        for kind, node in silent:
            if self.gossip.is_responsible_for(node, now=now):
                self._remove(kind, node)

    def _remove_ended(self, node: NodeIp) -> None:
        """Removes the entry of an upstream that has ended."""

        def has_ended(stored: StoredObject) -> bool:
            return self.directory.lifetime_ended(node, _lifetime(stored))

        if self.gossip.is_responsible_for(node, now=self.clock.seconds()):
            self._remove(Kind.UPSTREAMS, node, condition=has_ended)

    def _remove(
        self,
        kind: Kind,
        node: NodeIp,
        *,
        condition: Callable[[StoredObject], bool] = lambda stored: True,
    ) -> None:
        """Reads an entry and removes it unless it changes in between.

        Args:
            kind: Kind of the entry.
            node: IP address of the VM that wrote it.
            condition: Returns whether to remove the entry that was read.
        """

        def found(status: CallStatus, stored: StoredObject | None) -> None:
            if status is not CallStatus.OK or stored is None:
                self.count(f"store.expire.{status.value}")
                return
            if not condition(stored):
                return
            self.record("entry_expired", kind=kind.value, agent=node)
            self.store.remove(kind, node, stored.revision, removed)

        def removed(status: CallStatus, _: StoredObject | None) -> None:
            self.count(f"store.expire.{status.value}")
            if status is CallStatus.OK and kind is Kind.BALANCERS:
                self.gossip.remove_peer(node)

        self.store.get(kind, node, found)

    def _add_stored_balancer(self, stored: StoredObject) -> None:
        entry = stored.value
        if not isinstance(entry, BalancerEntry) or entry.node != stored.name:
            self.count("store.balancers.foreign")
        else:
            self.gossip.add_peer(entry.node, now=self.clock.seconds())


def _lifetime(stored: StoredObject | None) -> Lifetime:
    """Returns the lifetime in an entry; 0 if it is missing or unreadable."""
    readable = stored is not None and isinstance(stored.value, UpstreamEntry)
    return stored.value.lifetime if readable else Lifetime(0)
