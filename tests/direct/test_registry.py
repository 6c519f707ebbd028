"""Removal of stored entries, and what balancers conclude from it."""

from __future__ import annotations

import random

import msgspec
import pytest
from network import SERVICE, ZONE, routes
from twisted.internet.task import Clock

from bramleydyke.direct.constants import (
    AGENT_CHECK_S,
    BALANCER_LIST_S,
    ENTRY_EXPIRY_S,
    LOST_ENTRY_CHECK_S,
    LOST_ENTRY_S,
)
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.entries import entry_of
from bramleydyke.direct.gossip import Gossip
from bramleydyke.direct.lost_entries import is_outdated
from bramleydyke.direct.messages import Announcement, EntryOutdated
from bramleydyke.direct.registry import Registry
from bramleydyke.direct.routes import Routes
from bramleydyke.direct.store import (
    CallStatus,
    Change,
    Changes,
    Era,
    Kind,
    Listing,
    Revision,
    StoredObject,
)
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.types import UpstreamId

GONE = NodeIp("10.0.2.1")
ALIVE = NodeIp("10.0.2.2")


class RecordingStore:
    """Store in which every entry exists; records removals.

    Attributes:
        sent: Messages that the registry has sent to agents.
        entry: Object that reads return, if set.
        watched: Revision of each call for changes.
    """

    def __init__(self) -> None:
        self.removed = []
        self.sent = []
        self.entry = None
        self.watched = []

    def get(self, kind, name, reply):
        reply(CallStatus.OK, self.entry or StoredObject(name, Revision(7), "entry"))

    def remove(self, kind, name, revision, reply):
        self.removed.append((kind, name, revision))
        reply(CallStatus.OK, None)

    def list(self, kind, reply, *, stale=False):
        """Does not answer."""

    def watch(self, kind, revision, wait_s, reply):
        """Does not answer."""
        self.watched.append((kind, revision, reply))


def announcement(node: NodeIp, lifetime: int) -> Announcement:
    return Announcement(
        node=node,
        zone=ZONE,
        service=SERVICE,
        upstream=UpstreamId("i"),
        lifetime=Lifetime(lifetime),
        sequence=1,
        revision=0,
        state=UpstreamState.READY,
    )


def start_registry(clock: Clock, store: RecordingStore) -> Registry:
    directory = Directory(ZONE)
    sent = store.sent
    routes = Routes()
    gossip = Gossip(
        node=NodeIp("10.0.1.1"),
        routes=routes,
        send=lambda node, message: None,
        fetch=lambda node, version: None,
        random_source=random.Random(1),
    )
    for node in (GONE, ALIVE):
        directory.apply(announcement(node, 5), now=clock.seconds(), from_agent=True)
    registry = Registry(
        store=store,
        clock=clock,
        random_source=random.Random(1),
        routes=routes,
        directory=directory,
        on_announcement=lambda found, *, now, source: directory.apply(
            found, now=now, from_agent=False
        ),
        gossip=gossip,
        send=lambda node, message: sent.append((node, message)),
        count=lambda name: None,
        record=lambda event, **inputs: None,
    )
    registry.start()
    watch = registry.watches[1]
    objects = [stored(announcement(node, 5)) for node in (GONE, ALIVE)]
    watch.listed(Listing(objects, Revision(7)), clock.seconds())
    return registry


def stored(source: Announcement) -> StoredObject:
    return StoredObject(source.node, Revision(7), entry_of(source))


def removals_as_changes(registry: Registry, *nodes: NodeIp) -> None:
    """Reports removals of entries as the watch of the store does."""
    changes = [Change(StoredObject(n, Revision(8), None), True) for n in nodes]
    registry.watches[1].changed(Changes(changes, Revision(8)), registry.clock.seconds())


def removals_as_listing(registry: Registry, *nodes: NodeIp) -> None:
    """Reports removals by a listing that lacks the entries."""
    kept = [n for n in registry.directory.entries if n not in nodes]
    objects = [stored(announcement(node, 5)) for node in kept]
    registry.watches[1].listed(Listing(objects, Revision(8)), registry.clock.seconds())


def pass_in_silence(registry: Registry, clock: Clock, seconds: float) -> None:
    """Advances the clock while an agent does not answer a balancer."""
    for _ in range(int(seconds / AGENT_CHECK_S)):
        registry.directory.mark_suspect(GONE, now=clock.seconds())
        clock.advance(AGENT_CHECK_S)


both_paths = pytest.mark.parametrize(
    "report_removals", [removals_as_changes, removals_as_listing]
)


@both_paths
def test_a_removal_ends_the_lifetime_of_the_removed_entry(report_removals):
    registry = start_registry(Clock(), RecordingStore())
    report_removals(registry, GONE)
    assert registry.directory.lifetime_ended(GONE, 5)
    assert not registry.directory.lifetime_ended(ALIVE, 5)


@both_paths
def test_a_late_removal_does_not_end_the_next_lifetime(report_removals):
    """Guards against resets of flows at an upstream that has been replaced.

    The agent announced the new upstream directly. The removal of the old
    upstream's entry arrived seconds later, with the next answer to the watch.
    """
    registry = start_registry(Clock(), RecordingStore())
    directory = registry.directory
    directory.apply(announcement(GONE, 9), now=1.0, from_agent=True)
    report_removals(registry, GONE)
    assert not directory.lifetime_ended(GONE, 9)
    assert directory.lifetime_ended(GONE, 5)
    states = {node: e.announcement.state for node, e in directory.entries.items()}
    assert states == {GONE: UpstreamState.READY, ALIVE: UpstreamState.READY}


def test_an_upstream_without_an_entry_ends_after_a_long_silence():
    """The upstream's agent died before it could write an entry."""
    clock = Clock()
    registry = start_registry(clock, RecordingStore())
    directory = registry.directory
    directory.apply(announcement(GONE, 9), now=0.0, from_agent=True)
    removals_as_changes(registry, GONE)
    for _ in range(int(ENTRY_EXPIRY_S / BALANCER_LIST_S)):
        pass_in_silence(registry, clock, BALANCER_LIST_S)
        assert not directory.lifetime_ended(GONE, 9)
    pass_in_silence(registry, clock, BALANCER_LIST_S)
    assert directory.lifetime_ended(GONE, 9)
    assert not directory.lifetime_ended(ALIVE, 5)


def test_entries_of_vms_that_were_silent_for_long_are_removed():
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    registry.gossip.add_peer(NodeIp("10.0.1.9"), now=0.0)
    for _ in range(int(ENTRY_EXPIRY_S / BALANCER_LIST_S) + 1):
        assert store.removed == []
        registry.directory.answered(ALIVE, now=clock.seconds())
        pass_in_silence(registry, clock, BALANCER_LIST_S)
    assert sorted(store.removed, key=str) == [
        (Kind.BALANCERS, "10.0.1.9", 7),
        (Kind.UPSTREAMS, GONE, 7),
    ]


def test_an_agent_that_nobody_asks_keeps_its_entry():
    """Guards against removal of a running upstream after one short silence."""
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    for _ in range(2):
        registry.directory.mark_suspect(GONE, now=0.0)
    clock.advance(2 * ENTRY_EXPIRY_S)
    assert store.removed == []
    assert not registry.directory.lifetime_ended(GONE, 5)


def test_one_balancer_looks_after_each_entry():
    clock, store = Clock(), RecordingStore()
    gossip = start_registry(clock, store).gossip
    peers = [NodeIp(f"10.0.1.{number}") for number in range(2, 8)]
    for peer in peers:
        gossip.add_peer(peer, now=0.0)
    nodes = [NodeIp(f"10.0.2.{number}") for number in range(700)]
    mine = sum(gossip.is_responsible_for(node, now=0.0) for node in nodes)
    assert 60 <= mine <= 140
    gossip.peers.clear()
    assert all(gossip.is_responsible_for(node, now=0.0) for node in nodes)


def test_a_listing_from_before_a_pause_does_not_complete_the_directory():
    """The call was answered before the pause and its answer read after it.

    Upstreams that joined during the pause are missing from the answer.
    """
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    called_at = clock.seconds()
    clock.advance(5.0)
    registry.directory.complete = False
    registry.resumed()
    listing = Listing([stored(announcement(ALIVE, 5))], Revision(9))
    registry.watches[1].listed(listing, called_at)
    assert not registry.directory.complete
    registry.watches[1].listed(listing, clock.seconds())
    assert registry.directory.complete


def test_all_kinds_are_read_again_after_a_pause():
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    kinds = []
    store.list = lambda kind, reply, *, stale=False: kinds.append(kind)
    registry.resumed()
    assert kinds == [Kind.CONFIGURATION, Kind.UPSTREAMS]


def test_a_confirmation_is_as_old_as_the_call():
    """An answer may be read long after it was sent, for example by a pause."""
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    called_at = clock.seconds()
    clock.advance(5.0)
    registry.watches[0].changed(Changes([], Revision(8)), called_at)
    assert registry.routes.confirmed_at == called_at


def restore(registry: Registry, *objects: StoredObject) -> None:
    """Lets the store return as a copy with these upstream entries."""
    registry.store_restored(Era(2))
    registry.watches[1].listed(
        Listing(list(objects), Revision(3)), registry.clock.seconds()
    )


def test_a_running_upstream_whose_entry_was_lost_in_a_restore_is_kept():
    """Guards against resets of its flows until the next announcement."""
    registry = start_registry(Clock(), RecordingStore())
    restore(registry, stored(announcement(ALIVE, 5)))
    entries = registry.directory.entries
    assert not registry.directory.lifetime_ended(GONE, 5)
    assert entries[GONE].announcement.state is UpstreamState.READY


def test_a_removal_after_a_restore_ends_an_upstream():
    registry = start_registry(Clock(), RecordingStore())
    restore(registry, *[stored(announcement(node, 5)) for node in (GONE, ALIVE)])
    removals_as_changes(registry, GONE)
    assert registry.directory.lifetime_ended(GONE, 5)


def test_agents_are_told_which_entries_a_restore_has_lost():
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    restore(registry, stored(announcement(ALIVE, 5)))
    assert store.sent == [(GONE, EntryOutdated(Era(2), Revision(0)))]
    clock.advance(LOST_ENTRY_CHECK_S)
    assert len(store.sent) == 2
    found = Change(stored(announcement(GONE, 5)), removed=False)
    registry.watches[1].changed(Changes([found], Revision(8)), clock.seconds())
    clock.advance(LOST_ENTRY_CHECK_S)
    assert len(store.sent) == 2


def test_a_directory_is_complete_once_lost_entries_had_time_to_return():
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    restore(registry, stored(announcement(ALIVE, 5)))
    for _ in range(round(LOST_ENTRY_S / LOST_ENTRY_CHECK_S)):
        assert not registry.directory.complete
        clock.advance(LOST_ENTRY_CHECK_S)
    polls = [reply for kind, _, reply in store.watched if kind is Kind.UPSTREAMS]
    *early, last = polls
    for reply in early:
        reply(CallStatus.OK, Changes([], Revision(4)))
    assert not registry.directory.complete
    last(CallStatus.OK, Changes([], Revision(4)))
    assert registry.directory.complete


def configuration(version: int) -> StoredObject:
    return StoredObject("main", Revision(version), routes(version))


def test_an_older_configuration_of_a_restored_store_confirms_nothing():
    """Guards against refusals of flows whose route the copy lacks."""
    clock = Clock()
    registry = start_registry(clock, RecordingStore())
    watch = registry.watches[0]
    watch.listed(Listing([configuration(13)], Revision(9)), clock.seconds())
    registry.store_restored(Era(2))
    clock.advance(5.0)
    watch.listed(Listing([configuration(6)], Revision(4)), clock.seconds())
    watch.changed(Changes([], Revision(5)), clock.seconds())
    assert not registry.routes.is_fresh(within=1.0, now=clock.seconds())
    watch.listed(Listing([], Revision(4)), clock.seconds())
    assert not registry.routes.is_fresh(within=1.0, now=clock.seconds())
    written = Change(configuration(13), removed=False)
    watch.changed(Changes([written], Revision(6)), clock.seconds())
    assert registry.routes.is_fresh(within=1.0, now=clock.seconds())
    assert registry.routes.version == 13


@pytest.mark.parametrize(("lifetime", "removed"), [(5, True), (6, False)])
def test_an_ended_upstream_that_a_restored_store_has_again_is_removed(
    lifetime, removed
):
    """Its agent is gone as well, so nobody else removes the entry."""
    clock, store = Clock(), RecordingStore()
    registry = start_registry(clock, store)
    removals_as_changes(registry, GONE)
    restore(registry, *[stored(announcement(node, 5)) for node in (GONE, ALIVE)])
    store.entry = stored(announcement(GONE, lifetime))
    for _ in range(round(LOST_ENTRY_S / LOST_ENTRY_CHECK_S)):
        assert store.removed == []
        clock.advance(LOST_ENTRY_CHECK_S)
    assert store.removed == [(Kind.UPSTREAMS, GONE, 7)] * removed


@pytest.mark.parametrize(
    ("known_state", "known_lifetime", "entry", "expected"),
    [
        ("ready", 5, None, True),
        ("ready", 5, ("ready", 5), False),
        ("ready", 5, ("ready", 4), True),
        ("ready", 5, ("draining", 5), False),
        ("ready", 5, ("ready", 6), False),
        ("silent", 5, ("ready", 5), False),
        ("draining", 5, ("ready", 5), True),
        ("draining", 5, ("draining", 5), False),
        ("gone", 5, None, False),
        ("gone", 5, ("ready", 5), True),
        ("gone", 5, ("draining", 4), True),
        ("gone", 5, ("ready", 6), False),
    ],
)
def test_entries_that_are_older_than_what_is_known(
    known_state, known_lifetime, entry, expected
):
    def announced(state, lifetime):
        return msgspec.structs.replace(
            announcement(GONE, lifetime), state=UpstreamState(state)
        )

    known = announced(known_state, known_lifetime)
    found = None if entry is None else entry_of(announced(*entry))
    assert is_outdated(known, found) is expected
