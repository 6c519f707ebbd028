"""Objects of the platform stand-in: versions, conditions, watches."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.types import PartnerId

MAX_VALUE_BYTES = 1_000_000
"""Largest value that is stored."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A value and its version; version 0 means that there is none."""

    version: int = 0
    value: bytes = b""


ABSENT = StoredObject()


@dataclass(slots=True)
class ObjectStore:
    """All objects by path.

    Attributes:
        watchers: Called at the next change of a path.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    watchers: dict[str, list[Callable[[], None]]] = field(default_factory=dict)

    def get(self, path: str) -> StoredObject:
        """Returns an object, with version 0 if there is none."""
        return self.objects.get(path, ABSENT)

    def put(self, path: str, value: bytes, *, expected: int) -> bool:
        """Writes an object if its version is ``expected``."""
        if self.get(path).version != expected:
            return False
        self.objects[path] = StoredObject(expected + 1, value)
        prefixes = [
            watched_path
            for watched_path in self.watchers
            if _is_affected(watched_path, path)
        ]
        callbacks = [
            on_change
            for watched_path in prefixes
            for on_change in self.watchers.pop(watched_path)
        ]
        for on_change in callbacks:
            on_change()
        return True

    def list(self, prefix: str) -> dict[str, int]:
        """Returns the versions of all objects under a prefix."""
        return {
            path: item.version
            for path, item in sorted(self.objects.items())
            if path.startswith(prefix)
        }

    def version(self, path: str) -> int:
        """Returns the version of an object or, ending in ``/``, of a list.

        A list's version grows with each write to one of its objects.
        """
        if path.endswith("/"):
            return sum(self.list(path).values())
        return self.get(path).version

    def watch(self, path: str, on_change: Callable[[], None]) -> None:
        """Calls ``on_change`` at the next change of an object or list."""
        self.watchers.setdefault(path, []).append(on_change)

    def notify_all(self) -> None:
        """Calls all watchers, as at the start of an outage."""
        watchers, self.watchers = self.watchers, {}
        for on_change in [
            item for callbacks in watchers.values() for item in callbacks
        ]:
            on_change()

    def unwatch(self, path: str, on_change: Callable[[], None]) -> None:
        """Forgets a watcher; unknown ones are ignored."""
        callbacks = self.watchers.get(path, [])
        if on_change in callbacks:
            callbacks.remove(on_change)


def _is_affected(watched: str, path: str) -> bool:
    """Tells whether a write to a path concerns a watched object or list."""
    return watched == path or (watched.endswith("/") and path.startswith(watched))


def may_write(
    path: str, value: bytes, *, current: bytes, partner: PartnerId | None
) -> bool:
    """Tells whether a credential may write an object.

    Args:
        path: The object.
        value: The value to be written; an empty claim is given up.
        current: The value before.
        partner: Partner of the credential; None for the nodes' own.
    """
    kind, _, rest = path.partition("/")
    if kind in ("leases", "status"):
        return partner is None
    if partner is None:
        return False
    if kind == "claims":
        own = (b"", partner.encode())
        return value in own and current in own
    return kind in ("sheets", "drains") and rest.split("/")[0] == partner
