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
