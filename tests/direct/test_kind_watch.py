"""Tests of KindWatch: outages, lost history and a watch without answers."""

from __future__ import annotations

import random

import pytest
from twisted.internet.task import Clock

from bramleydyke.direct.constants import POLLS_PER_FULL_POLL
from bramleydyke.direct.kind_watch import KindWatch
from bramleydyke.direct.store import (
    CallStatus,
    Change,
    Changes,
    Kind,
    Listing,
    Revision,
    StoredObject,
)


class ScriptedStore:
    """Records the reply callbacks of calls; the test answers the calls."""

    def __init__(self) -> None:
        self.lists = []
        self.watches = []

    def list(self, kind, reply, *, stale=False):
        self.lists.append(reply)

    def watch(self, kind, revision, wait_s, reply):
        self.watches.append((revision, reply))


def make_watch(store, clock, **options):
    seen = []
    events = []
    watch = KindWatch(
        kind=Kind.CONFIGURATION,
        store=store,
        clock=clock,
        random_source=random.Random(1),
        listed=lambda listing, at: seen.append(("listed", listing.revision)),
        changed=lambda changes, at: seen.append(("changed", changes.revision)),
        count=lambda name: None,
        record=lambda event, **inputs: events.append(event),
        **options,
    )
    return watch, seen, events


def test_lists_then_watches_from_each_revision():
    store, clock = ScriptedStore(), Clock()
    watch, seen, _ = make_watch(store, clock)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    revision, reply = store.watches.pop()
    assert revision == 5
    reply(CallStatus.OK, Changes([], Revision(7)))
    assert store.watches.pop()[0] == 7
    assert seen == [("listed", 5), ("changed", 7)]


def test_lists_again_at_once_when_history_is_gone():
    store, clock = ScriptedStore(), Clock()
    watch, _, events = make_watch(store, clock)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    store.watches.pop()[1](CallStatus.HISTORY_GONE, None)
    assert len(store.lists) == 1
    assert events == []


def test_an_outage_is_logged_once_and_ends_within_a_second_of_the_return():
    store, clock = ScriptedStore(), Clock()
    lost = []
    watch, seen, events = make_watch(store, clock, on_lost=lambda: lost.append(1))
    watch.start()
    for _ in range(20):
        store.lists.pop()(CallStatus.LOST, None)
        clock.advance(1.0)
    assert len(store.lists) == 1
    store.lists.pop()(CallStatus.OK, Listing([], Revision(9)))
    assert events == ["store_lost", "store_regained"]
    assert lost == [1]
    assert seen == [("listed", 9)]


def test_polls_beside_a_watch_that_hears_nothing():
    store, clock = ScriptedStore(), Clock()
    watch, seen, _ = make_watch(store, clock, poll_s=lambda: 1.0)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    for number in range(1, POLLS_PER_FULL_POLL):
        clock.advance(1.0)
        revision, reply = store.watches.pop()
        assert revision == 4 + number
        reply(CallStatus.OK, Changes([], Revision(5 + number)))
    clock.advance(1.0)
    store.lists.pop()(CallStatus.OK, Listing([], Revision(9)))
    assert seen == [
        ("listed", 5),
        ("changed", 6),
        ("changed", 7),
        ("changed", 8),
        ("listed", 9),
    ]
    # The watch that got no answer is still open.
    assert [revision for revision, _ in store.watches] == [5]


def test_a_poll_that_finds_the_history_gone_lists_at_once():
    store, clock = ScriptedStore(), Clock()
    watch, seen, _ = make_watch(store, clock, poll_s=lambda: 1.0)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    clock.advance(1.0)
    store.watches.pop()[1](CallStatus.HISTORY_GONE, None)
    store.lists.pop()(CallStatus.OK, Listing([], Revision(8)))
    assert seen == [("listed", 5), ("listed", 8)]


def test_a_stopped_watch_makes_no_calls():
    store, clock = ScriptedStore(), Clock()
    watch, _, _ = make_watch(store, clock, poll_s=lambda: 1.0)
    watch.start()
    watch.stop()
    store.lists.pop()(CallStatus.LOST, None)
    clock.advance(10.0)
    assert store.lists == [] and store.watches == []


def test_pauses_after_changes_so_that_one_call_brings_several():
    store, clock = ScriptedStore(), Clock()
    watch, _, _ = make_watch(store, clock, pause_s=0.3)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    change = Change(StoredObject("main", Revision(6), None), False)
    store.watches.pop()[1](CallStatus.OK, Changes([change], Revision(6)))
    assert store.watches == []
    clock.advance(0.3)
    assert store.watches.pop()[0] == 6


def test_a_restore_is_followed_by_a_listing_not_by_the_old_revision():
    """A restored store may have passed the old revision with other changes."""
    store, clock = ScriptedStore(), Clock()
    watch, seen, _ = make_watch(store, clock, poll_s=lambda: 1.0)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(30)))
    _, old_watch = store.watches.pop()
    clock.advance(1.0)
    _, old_poll = store.watches.pop()
    watch.store_restored()
    old_watch(CallStatus.OK, Changes([], Revision(31)))
    old_poll(CallStatus.OK, Changes([], Revision(31)))
    assert seen == [("listed", 30)]
    assert store.watches == []
    store.lists.pop()(CallStatus.OK, Listing([], Revision(12)))
    assert seen == [("listed", 30), ("listed", 12)]
    assert store.watches.pop()[0] == 12
    clock.advance(1.0)
    assert store.watches.pop()[0] == 12


def test_a_restore_ends_the_pause_after_a_change():
    store, clock = ScriptedStore(), Clock()
    watch, _, _ = make_watch(store, clock, pause_s=3.0)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    change = Change(StoredObject("main", Revision(6), None), False)
    store.watches.pop()[1](CallStatus.OK, Changes([change], Revision(6)))
    watch.store_restored()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(4)))
    clock.advance(3.0)
    assert [revision for revision, _ in store.watches] == [4]


def test_a_listing_that_shows_the_restore_is_not_repeated():
    store, clock = ScriptedStore(), Clock()
    watch, seen, _ = make_watch(store, clock)
    watch.start()
    watch.store_restored()
    [reply] = store.lists
    reply(CallStatus.OK, Listing([], Revision(5)))
    assert seen == [("listed", 5)]
    assert [revision for revision, _ in store.watches] == [5]


def test_a_restore_during_an_outage_starts_one_sequence_of_calls():
    store, clock = ScriptedStore(), Clock()
    watch, _, events = make_watch(store, clock)
    watch.start()
    store.lists.pop()(CallStatus.LOST, None)
    watch.store_restored()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    clock.advance(5.0)
    assert store.lists == []
    assert len(store.watches) == 1
    assert events == ["store_lost", "store_regained"]


def test_an_outage_of_a_day_ends_within_a_second_of_the_return():
    """Guards against a pause that overflows after a thousand failed calls."""
    store, clock = ScriptedStore(), Clock()
    watch, seen, _ = make_watch(store, clock)
    watch.start()
    attempts = 0
    while clock.seconds() < 24 * 3_600:
        clock.advance(0.25)
        while store.lists:
            attempts += 1
            store.lists.pop()(CallStatus.LOST, None)
    assert attempts > 2_000
    clock.advance(1.0)
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    assert seen == [("listed", 5)]
    assert store.watches.pop()[0] == 5


@pytest.mark.parametrize("fails", ["listed", "changed"])
def test_an_answer_that_cannot_be_applied_does_not_end_the_watch(fails):
    """Guards against a watch that ends with an exception of its receiver."""
    store, clock = ScriptedStore(), Clock()

    def fail(answer, at):
        raise OverflowError("number too large")

    watch, _, events = make_watch(store, clock)
    setattr(watch, fails, fail)
    watch.start()
    store.lists.pop()(CallStatus.OK, Listing([], Revision(5)))
    store.watches.pop()[1](CallStatus.OK, Changes([], Revision(7)))
    assert store.watches.pop()[0] == 7
    assert events == ["store_answer_failed"]
