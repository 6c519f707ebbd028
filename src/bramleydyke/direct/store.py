"""Interface of the store: kinds of objects, calls and their results."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, NewType, Protocol

Revision = NewType("Revision", int)
"""Number of a change in the store; later changes have larger numbers."""


Era = NewType("Era", int)
"""Counts how often the store was restored from a copy; 0 if unknown.

A restored store lacks the changes since the copy was made, and assigns their
revisions again. Revisions of different eras cannot be compared.
"""

OnRestored = Callable[[Era], None]
"""Called with the new era after the store was restored from a copy."""


class Kind(Enum):
    """Kind of a stored object."""

    CONFIGURATION = "configuration"
    """A single object written by the operator, a ``RouteSet``."""

    UPSTREAMS = "upstreams"
    """An ``UpstreamEntry`` per agent, which writes it under its IP."""

    BALANCERS = "balancers"
    """A ``BalancerEntry`` per balancer, which writes it under its IP."""


class CallStatus(Enum):
    """Result of a call to the store."""

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object has a different revision; nothing was written."""

    HISTORY_GONE = "history_gone"
    """A watch asked for changes that the store no longer keeps."""

    REFUSED = "refused"
    """The store rejected the call, which had no effect."""

    LOST = "lost"
    """No answer arrived; a write may have taken effect or may still do so."""


class StoredObject(NamedTuple):
    """An object in the store; ``value`` is None if it cannot be decoded."""

    name: str
    revision: Revision
    value: Any


class Change(NamedTuple):
    """A change of an object; ``removed`` is True if it was deleted."""

    object: StoredObject
    removed: bool


class Listing(NamedTuple):
    """All objects of a kind at a revision."""

    objects: list[StoredObject]
    revision: Revision


class Changes(NamedTuple):
    """Changes after the requested revision, up to ``revision``."""

    changes: list[Change]
    revision: Revision


Reply = Callable[[CallStatus, Any], None]
"""Called with a call's result and its value, or None without a value."""


class Store(Protocol):
    """Asynchronous calls to the store.

    Each call returns at once and later calls ``reply`` once with its result.

    Attributes:
        era: Newest era that an answer has shown.
        on_restored: Called when an answer shows a new era, before the
            ``reply`` of that answer.
    """

    era: Era
    on_restored: OnRestored

    def list(self, kind: Kind, reply: Reply, *, stale: bool = False) -> None:
        """Replies with the ``Listing`` of a kind.

        Args:
            kind: Kind of the objects.
            reply: Called with the result.
            stale: True if the answer may be a few seconds old, which costs the
                store less.
        """

    def watch(
        self, kind: Kind, revision: Revision, wait_s: float, reply: Reply
    ) -> None:
        """Replies with the ``Changes`` after a revision once there are some.

        Args:
            kind: Kind of the objects.
            revision: Revision up to which the caller knows all changes.
            wait_s: Maximum wait for a change, in seconds. After it, the reply
                contains no changes.
            reply: Called with the result.
        """

    def get(self, kind: Kind, name: str, reply: Reply) -> None:
        """Replies with a ``StoredObject``, or ``NOT_FOUND``."""

    def create(self, kind: Kind, name: str, value: Any, reply: Reply) -> None:
        """Creates an object; replies with it, or with an existing one."""

    def replace(
        self, kind: Kind, name: str, value: Any, revision: Revision, reply: Reply
    ) -> None:
        """Replaces an object if it has this revision.

        Replies like ``create``.
        """

    def remove(self, kind: Kind, name: str, revision: Revision, reply: Reply) -> None:
        """Removes an object if it has this revision."""
