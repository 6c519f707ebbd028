"""Keeps this process's own object in the store up to date.

No other process writes the object, but a write whose answer was lost may take
effect seconds later. Each write names the revision that it replaces, so a late
write cannot overwrite a newer one. A restored store may hold an older object
or none, so the object is read again and, if it differs, written again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bramleydyke.core.retry import backoff
from bramleydyke.direct.constants import STORE_BACKOFF_BASE_S, STORE_BACKOFF_CAP_S
from bramleydyke.direct.ports import Count
from bramleydyke.direct.store import CallStatus, Kind, Revision, Store, StoredObject
from bramleydyke.ports import Clock


@dataclass(slots=True, kw_only=True)
class EntryWriter:
    """Writes one object until the store holds the desired value.

    Attributes:
        kind: Kind of the object.
        name: Name of the object: the IP address of this VM.
        on_found: Called with the object that the first read finds.
        desired: Value to store; None if the object must not exist.
        has_desired: True once ``set_value`` was called. Nothing is written
            before.
        stored: Object in the store according to the last answer; None if it
            does not exist.
        known: True if ``stored`` is current. False before the first read,
            after a write whose result is unknown and after a restore of the
            store.
        has_read: True after the first read.
        read_again: True if the store was restored during the current call,
            whose answer may not show the restored object.
        busy: True during a call and during the pause before a retry.
        failures: Number of consecutive failed calls, which lengthen the pause.
    """

    kind: Kind
    name: str
    store: Store
    clock: Clock
    random_source: random.Random
    count: Count
    on_found: Callable[[StoredObject], None] = lambda _: None
    desired: Any = None
    has_desired: bool = False
    stored: StoredObject | None = None
    known: bool = False
    has_read: bool = False
    read_again: bool = False
    busy: bool = False
    stopped: bool = False
    failures: int = 0

    def start(self) -> None:
        """Reads the object that an earlier process may have stored."""
        if not self.busy:
            self._read()

    def stop(self) -> None:
        """Stops making calls to the store."""
        self.stopped = True

    def set_value(self, value: Any) -> None:
        """Sets the value to store; None removes the object."""
        self.desired = value
        self.has_desired = True
        self._reconcile()

    def store_restored(self) -> None:
        """Reads the object again, which the store may have lost."""
        self.known = False
        self.read_again = self.busy
        self._reconcile()

    def newer_seen(self, revision: Revision) -> None:
        """Reads the object again if this revision of it is not known here.

        After a restore a late write may replace a newer one, because the
        revision that it names was assigned twice.
        """
        known = self.stored is not None and self.stored.revision >= revision
        if self.known and not known:
            self.known = False
            self._reconcile()

    def is_up_to_date(self) -> bool:
        """Returns whether the store is known to hold the desired value."""
        stored = None if self.stored is None else self.stored.value
        return self.known and stored == self.desired

    def _reconcile(self) -> None:
        """Makes the next call if the store does not hold the desired value."""
        if self.stopped or self.busy or not self.has_desired or self.is_up_to_date():
            return
        if not self.known:
            self._read()
            return
        self.busy = True
        if self.desired is None:
            assert self.stored is not None
            self.store.remove(
                self.kind, self.name, self.stored.revision, self._on_removed
            )
        elif self.stored is None:
            self.store.create(self.kind, self.name, self.desired, self._on_written)
        else:
            revision: Revision = self.stored.revision
            self.store.replace(
                self.kind, self.name, self.desired, revision, self._on_written
            )

    def _read(self) -> None:
        if self.stopped:
            return
        self.busy = True
        self.read_again = False
        self.store.get(self.kind, self.name, self._on_read)

    def _on_read(self, status: CallStatus, stored: StoredObject | None) -> None:
        if status not in (CallStatus.OK, CallStatus.NOT_FOUND):
            self._retry(status)
            return
        first = not self.has_read
        self.has_read = True
        self._set_stored(stored)
        if first and stored is not None:
            self.on_found(stored)
        self._reconcile()

    def _on_written(self, status: CallStatus, stored: StoredObject | None) -> None:
        if status is CallStatus.NOT_FOUND:
            stored = None
        elif status not in (CallStatus.OK, CallStatus.CONFLICT) or stored is None:
            self._unknown_result(status)
            return
        self._set_stored(stored)
        self._reconcile()

    def _on_removed(self, status: CallStatus, stored: StoredObject | None) -> None:
        if status is CallStatus.CONFLICT and stored is not None:
            self._set_stored(stored)
        elif status in (CallStatus.OK, CallStatus.NOT_FOUND):
            self._set_stored(None)
        else:
            self._unknown_result(status)
            return
        self._reconcile()

    def _set_stored(self, stored: StoredObject | None) -> None:
        self.stored = stored
        self.known = not self.read_again
        self.busy = False
        self.failures = 0

    def _unknown_result(self, status: CallStatus) -> None:
        """Reads the object before the next write.

        The last write may have taken effect or may still do so.
        """
        self.known = False
        self._retry(status)

    def _retry(self, status: CallStatus) -> None:
        self.count(f"store.write.{status.value}")
        delay = backoff(
            self.failures,
            random_source=self.random_source,
            base=STORE_BACKOFF_BASE_S,
            cap=STORE_BACKOFF_CAP_S,
        )
        self.failures += 1
        self.clock.callLater(delay, self._after_pause)

    def _after_pause(self) -> None:
        """Retries the failed call after the pause."""
        self.busy = False
        if self.known or self.has_desired:
            self._reconcile()
        else:
            self._read()
