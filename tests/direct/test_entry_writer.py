"""Tests of EntryWriter with a store that loses answers and delays writes."""

from __future__ import annotations

import random
from typing import Any

import pytest
from twisted.internet.task import Clock

from bramleydyke.direct.entry_writer import EntryWriter
from bramleydyke.direct.store import CallStatus, Kind, Revision, StoredObject


class FakeStore:
    """Store with a single object.

    While ``faulty`` is set, a write may be refused, or its answer may be lost
    while it takes effect at once or up to 6 s later. Reads may get no answer.
    """

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self.clock = clock
        self.random = random_source
        self.object: StoredObject | None = None
        self.revision = 0
        self.faulty = False
        self.history: list[Any] = []

    def get(self, kind, name, reply):
        if self.faulty and self.random.random() < 0.3:
            self.clock.callLater(0.5, reply, CallStatus.LOST, None)
            return
        found = CallStatus.NOT_FOUND if self.object is None else CallStatus.OK
        self.clock.callLater(0.004, reply, found, self.object)

    def create(self, kind, name, value, reply):
        self.write(lambda: self.object is None, name, value, reply)

    def replace(self, kind, name, value, revision, reply):
        self.write(lambda: self.matches(revision), name, value, reply)

    def remove(self, kind, name, revision, reply):
        self.write(lambda: self.matches(revision), name, None, reply)

    def matches(self, revision):
        return self.object is not None and self.object.revision == revision

    def write(self, condition, name, value, reply):
        def take_effect() -> CallStatus:
            if not condition():
                return CallStatus.CONFLICT
            self.revision += 1
            self.object = (
                None
                if value is None
                else StoredObject(name, Revision(self.revision), value)
            )
            self.history.append(value)
            return CallStatus.OK

        if not self.faulty:
            status = take_effect()
            self.clock.callLater(0.004, reply, status, self.object)
            return
        kind = self.random.choice(["fine", "lost", "late", "refused"])
        if kind == "refused":
            self.clock.callLater(0.004, reply, CallStatus.REFUSED, None)
        elif kind == "late":
            self.clock.callLater(self.random.uniform(1.0, 6.0), take_effect)
            self.clock.callLater(1.5, reply, CallStatus.LOST, None)
        else:
            status = take_effect()
            lost = kind == "lost"
            answer = (CallStatus.LOST, None) if lost else (status, self.object)
            self.clock.callLater(1.5 if lost else 0.004, reply, *answer)


def make_writer(store, clock, random_source, **options):
    return EntryWriter(
        kind=Kind.UPSTREAMS,
        name="n",
        store=store,
        clock=clock,
        random_source=random_source,
        count=lambda name: None,
        **options,
    )


def advance(clock: Clock, seconds: float) -> None:
    clock.pump([0.01] * round(seconds / 0.01))


@pytest.mark.parametrize("seed", range(40))
def test_the_last_value_stays_through_lost_and_late_writes(seed):
    print(f"seed {seed}")
    random_source = random.Random(seed)
    clock = Clock()
    store = FakeStore(clock, random_source)
    writer = make_writer(store, clock, random_source)
    writer.start()
    advance(clock, 0.1)
    store.faulty = True
    for value in ["a1", "a2", None, "b1", "b2", "b3"]:
        writer.set_value(value)
        advance(clock, random_source.uniform(0.05, 2.5))
    store.faulty = False
    advance(clock, 8.0)
    # All delayed writes have been attempted by now.
    assert store.object is not None
    assert store.object.value == "b3"
    assert writer.is_up_to_date()


def test_an_entry_of_an_earlier_process_is_recalled_and_kept():
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    store.object = StoredObject("n", Revision(4), "old")
    recalled = []
    writer = make_writer(store, clock, random.Random(1), on_found=recalled.append)
    writer.start()
    advance(clock, 1.0)
    assert [stored.value for stored in recalled] == ["old"]
    assert store.object.value == "old"
    assert store.history == []


def test_writes_only_changes():
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    writer = make_writer(store, clock, random.Random(1))
    for _ in range(5):
        writer.set_value("a")
        advance(clock, 0.1)
    assert store.history == ["a"]


def test_an_entry_that_the_store_has_lost_is_written_again():
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    writer = make_writer(store, clock, random.Random(1))
    writer.set_value("a")
    advance(clock, 0.1)
    store.object = None
    writer.store_restored()
    assert not writer.is_up_to_date()
    advance(clock, 0.1)
    assert store.object is not None and store.object.value == "a"
    assert writer.is_up_to_date()


def test_an_older_entry_of_a_restored_store_is_replaced():
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    recalled = []
    writer = make_writer(store, clock, random.Random(1), on_found=recalled.append)
    for value in ("a", "b"):
        writer.set_value(value)
        advance(clock, 0.1)
    store.object = StoredObject("n", Revision(1), "a")
    store.revision = 1
    writer.store_restored()
    advance(clock, 0.1)
    assert store.object.value == "b"
    assert recalled == []


def test_a_removed_entry_that_a_restored_store_has_again_is_removed():
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    writer = make_writer(store, clock, random.Random(1))
    for value in ("a", None):
        writer.set_value(value)
        advance(clock, 0.1)
    store.object = StoredObject("n", Revision(1), "a")
    writer.store_restored()
    advance(clock, 0.1)
    assert store.object is None


def test_an_unchanged_entry_is_not_written_after_a_restore():
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    writer = make_writer(store, clock, random.Random(1))
    writer.set_value("a")
    advance(clock, 0.1)
    writer.store_restored()
    advance(clock, 0.1)
    assert store.history == ["a"]
    assert writer.is_up_to_date()


def test_the_entry_of_an_earlier_process_is_recalled_only_once():
    """After a restore the store may hold an older entry than was recalled."""
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    store.object = StoredObject("n", Revision(4), "draining")
    recalled = []
    writer = make_writer(store, clock, random.Random(1), on_found=recalled.append)
    writer.start()
    advance(clock, 0.1)
    store.object = StoredObject("n", Revision(3), "ready")
    writer.store_restored()
    advance(clock, 0.1)
    assert [stored.value for stored in recalled] == ["draining"]


@pytest.mark.parametrize("seed", range(40))
def test_the_last_value_stays_through_restores_of_the_store(seed):
    """Restores come during calls and pauses and before answers to writes."""
    print(f"seed {seed}")
    random_source = random.Random(seed)
    clock = Clock()
    store = FakeStore(clock, random_source)
    writer = make_writer(store, clock, random_source)
    writer.start()
    copies = [(store.object, store.revision)]
    for value in ["a1", "a2", None, "b1", "b2", "b3"]:
        store.faulty = random_source.random() < 0.5
        writer.set_value(value)
        advance(clock, random_source.choice([0.0, 0.01, 0.5, 2.0]))
        copies.append((store.object, store.revision))
        if random_source.random() < 0.6:
            store.object, store.revision = random_source.choice(copies)
            writer.store_restored()
            advance(clock, random_source.choice([0.0, 0.01, 2.0]))
    store.faulty = False
    advance(clock, 8.0)
    # A delayed write may have replaced the last one after a restore.
    writer.newer_seen(Revision(0) if store.object is None else store.object.revision)
    advance(clock, 1.0)
    assert store.object is not None
    assert store.object.value == "b3"
    assert writer.is_up_to_date()


def test_an_entry_is_written_after_an_outage_of_a_day():
    """Guards against a pause that overflows after a thousand failed calls."""
    clock = Clock()
    store = FakeStore(clock, random.Random(1))
    store.get = lambda kind, name, reply: reply(CallStatus.LOST, None)
    writer = make_writer(store, clock, random.Random(1))
    writer.start()
    writer.set_value("a")
    while clock.seconds() < 24 * 3_600:
        clock.advance(0.25)
    assert writer.failures > 2_000
    del store.get
    advance(clock, 2.0)
    assert writer.is_up_to_date()
