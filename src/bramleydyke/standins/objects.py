"""In-memory object store of the platform stand-in.

Objects have versions, writes are conditional and changes can be watched.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bramleydyke.types import PartnerId

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of an object's value in bytes."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A value and its version; version 0 means that the object is absent."""

    version: int = 0
    value: bytes = b""


ABSENT = StoredObject()


@dataclass(slots=True)
class ObjectStore:
    """All objects and their watchers.

    Attributes:
        objects: Objects by path.
        watchers: Callbacks by path, each called once at the next change.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    watchers: dict[str, list[Callable[[], None]]] = field(default_factory=dict)

    def get(self, path: str) -> StoredObject:
        """Returns an object, with version 0 if there is none."""
        return self.objects.get(path, ABSENT)

    def put(self, path: str, value: bytes, *, expected: int) -> bool:
        """Writes an object if its version is ``expected``.

        Returns:
            False, without a change, if it has another version.
        """
        if self.get(path).version != expected:
            return False
        self.objects[path] = StoredObject(expected + 1, value)
        matching_paths = [
            watched_path
            for watched_path in self.watchers
            if _is_affected(watched_path, path)
        ]
        callbacks = [
            on_change
            for watched_path in matching_paths
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
        """Returns the version of an object or a list.

        The path of a list ends in ``/``. A list's version grows with each
        write to one of its objects.
        """
        if path.endswith("/"):
            return sum(self.list(path).values())
        return self.get(path).version

    def watch(self, path: str, on_change: Callable[[], None]) -> None:
        """Calls ``on_change`` once, when an object or list next changes."""
        self.watchers.setdefault(path, []).append(on_change)

    def notify_all(self) -> None:
        """Calls all watchers, to end all pending watches at an outage."""
        watchers, self.watchers = self.watchers, {}
        for on_change in [
            item for callbacks in watchers.values() for item in callbacks
        ]:
            on_change()

    def unwatch(self, path: str, on_change: Callable[[], None]) -> None:
        """Removes a watcher; does nothing if it is not registered."""
        callbacks = self.watchers.get(path, [])
        if on_change in callbacks:
            callbacks.remove(on_change)


def _is_affected(watched: str, path: str) -> bool:
    """Returns whether a write to a path changes a watched object or list."""
    return watched == path or (watched.endswith("/") and path.startswith(watched))


def may_write(
    path: str, value: bytes, *, current: bytes, partner: PartnerId | None
) -> bool:
    """Returns whether a credential may write an object.

    Nodes write leases and statuses. A partner writes its own sheet and drains,
    and claims that are free or its own.

    Args:
        path: Path of the object.
        value: The new value; an empty one releases a claim.
        current: The stored value.
        partner: Partner of the credential; None for the nodes' credential.
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
