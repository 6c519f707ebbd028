"""Watches all objects of one kind in the store, also across outages."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from bramleydyke.core.retry import backoff
from bramleydyke.direct.constants import (
    POLLS_PER_FULL_POLL,
    STORE_BACKOFF_BASE_S,
    STORE_BACKOFF_CAP_S,
    WATCH_WAIT_S,
)
from bramleydyke.direct.ports import Count, Record
from bramleydyke.direct.store import (
    CallStatus,
    Changes,
    Kind,
    Listing,
    Revision,
    Store,
)
from bramleydyke.ports import Clock

_Answer = TypeVar("_Answer", Listing, Changes)


@dataclass(slots=True, kw_only=True)
class KindWatch:
    """Lists the objects of a kind, then watches them for changes.

    After a failed call, and after the store was restored from a copy, the
    objects are listed again. A watch may stay open without delivering a
    change, so polls can run in parallel to it.

    Attributes:
        listed: Called with each full listing of the objects and with the time
            of the call, in seconds. The answer may have been read much later.
        changed: Called with the changes returned by each watch or poll, and
            with the time of the call.
        poll_s: Returns the interval of the polls in seconds; None to disable
            polls.
        pause_s: Seconds to wait after changes before the next watch, which
            then returns several changes at once.
        on_lost: Called when the store stops answering.
        lost: True while the store does not answer.
        failures: Number of consecutive failed calls, which lengthen the pause
            before the next one.
        revision: Newest revision that the store has returned since it was
            last restored.
        sequence: Number of the sequence of a listing and watches that is in
            progress. Answers and timers of earlier sequences are ignored.
        listing: True while the listing of the sequence has no answer.
        restores: Number of restores of the store so far.
        polls: Number of polls so far.
    """

    kind: Kind
    store: Store
    clock: Clock
    random_source: random.Random
    listed: Callable[[Listing, float], None]
    changed: Callable[[Changes, float], None]
    count: Count
    record: Record
    poll_s: Callable[[], float] | None = None
    pause_s: float = 0.0
    on_lost: Callable[[], None] = lambda: None
    lost: bool = False
    failures: int = 0
    revision: Revision = Revision(0)
    sequence: int = 0
    listing: bool = False
    restores: int = 0
    polls: int = 0
    stopped: bool = False

    def start(self) -> None:
        """Lists the objects and starts the watch and the polls."""
        self._list()
        if self.poll_s is not None:
            self._schedule_poll()

    def stop(self) -> None:
        """Stops making calls; later answers are ignored."""
        self.stopped = True

    def store_restored(self) -> None:
        """Lists the objects, because changes and their revisions were lost.

        The restored store may already have passed ``revision`` with other
        changes, so no call may continue from it.
        """
        self.restores += 1
        self.revision = Revision(0)
        if not self.listing:
            self._list()

    def _list(self) -> None:
        """Starts a new sequence of calls."""
        if self.stopped:
            return
        self.sequence += 1
        self.listing = True
        on_list = partial(self._on_list, self.sequence, self.clock.seconds())
        self.store.list(self.kind, on_list)

    def _list_again(self, sequence: int) -> None:
        """Lists the objects unless a later sequence has begun."""
        if sequence == self.sequence:
            self._list()

    def _on_list(
        self,
        sequence: int,
        called_at: float,
        status: CallStatus,
        listing: Listing | None,
    ) -> None:
        if self.stopped or sequence != self.sequence:
            return
        self.listing = False
        if status is not CallStatus.OK or listing is None:
            self._retry(status)
            return
        self._regained()
        self._deliver(self.listed, listing, called_at)
        self._watch(sequence, listing.revision)

    def _watch(self, sequence: int, revision: Revision) -> None:
        if self.stopped or sequence != self.sequence:
            return
        self.revision = max(self.revision, revision)
        on_watch = partial(self._on_watch, sequence, self.clock.seconds())
        self.store.watch(self.kind, revision, WATCH_WAIT_S, on_watch)

    def _on_watch(
        self,
        sequence: int,
        called_at: float,
        status: CallStatus,
        changes: Changes | None,
    ) -> None:
        if self.stopped or sequence != self.sequence:
            return
        if status is CallStatus.OK and changes is not None:
            self._regained()
            self._deliver(self.changed, changes, called_at)
            if self.pause_s and changes.changes:
                self.clock.callLater(
                    self.pause_s, self._watch, sequence, changes.revision
                )
            else:
                self._watch(sequence, changes.revision)
        elif status is CallStatus.HISTORY_GONE:
            self.count(f"store.{self.kind.value}.history_gone")
            self._list()
        else:
            self._retry(status)

    def _deliver(
        self, receive: Callable[[_Answer, float], None], answer: _Answer, at: float
    ) -> None:
        """Passes on an answer; an exception is logged and ends no watch."""
        try:
            receive(answer, at)
        except Exception as error:
            self.count(f"store.{self.kind.value}.not_applied")
            self.record("store_answer_failed", kind=self.kind.value, error=repr(error))

    def _retry(self, status: CallStatus) -> None:
        self.count(f"store.{self.kind.value}.{status.value}")
        if not self.lost:
            self.lost = True
            self.on_lost()
            self.record("store_lost", kind=self.kind.value, status=status.value)
        delay = backoff(
            self.failures,
            random_source=self.random_source,
            base=STORE_BACKOFF_BASE_S,
            cap=STORE_BACKOFF_CAP_S,
        )
        self.failures += 1
        self.clock.callLater(delay, self._list_again, self.sequence)

    def _regained(self) -> None:
        self.failures = 0
        if self.lost:
            self.lost = False
            self.record("store_regained", kind=self.kind.value)

    def _schedule_poll(self) -> None:
        assert self.poll_s is not None
        delay = self.poll_s() * self.random_source.uniform(0.75, 1.0)
        self.clock.callLater(delay, self._poll)

    def _poll(self) -> None:
        if self.stopped:
            return
        self._schedule_poll()
        if self.lost:
            return
        self.polls += 1
        if self.polls % POLLS_PER_FULL_POLL:
            self.poll_changes()
        else:
            self.poll_all()

    def poll_changes(self) -> None:
        """Asks for the changes so far, beside the watch."""
        if not self.stopped and not self.lost:
            on_poll = partial(self._on_poll, self.restores, self.clock.seconds())
            self.store.watch(self.kind, self.revision, 0.0, on_poll)

    def poll_all(self) -> None:
        """Lists all objects, beside the watch."""
        if not self.stopped and not self.lost:
            on_full_poll = partial(self._on_full_poll, self.clock.seconds())
            self.store.list(self.kind, on_full_poll)

    def _on_poll(
        self,
        restores: int,
        called_at: float,
        status: CallStatus,
        changes: Changes | None,
    ) -> None:
        """Handles the answer to a poll: changes after ``revision``."""
        if self.stopped or restores != self.restores:
            return
        if status is CallStatus.HISTORY_GONE:
            self.poll_all()
        elif status is CallStatus.OK and changes is not None:
            self.revision = max(self.revision, changes.revision)
            self._deliver(self.changed, changes, called_at)

    def _on_full_poll(
        self, called_at: float, status: CallStatus, listing: Listing | None
    ) -> None:
        """Handles the answer to a full poll, which lists all objects."""
        if not self.stopped and status is CallStatus.OK and listing is not None:
            self.revision = max(self.revision, listing.revision)
            self._deliver(self.listed, listing, called_at)
