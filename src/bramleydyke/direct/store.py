"""The store as the product sees it: kinds, objects and results of calls."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, NewType, Protocol

Revision = NewType("Revision", int)
"""Counter of the store's changes."""


class Kind(Enum):
    """Kinds of objects."""

    CONFIGURATION = "configuration"
    """The operator's; one object, whose value is a ``RouteSet``."""

    UPSTREAMS = "upstreams"
    """An ``Announcement`` by IP number, written by the upstream's agent."""

    BALANCERS = "balancers"
    """A ``BalancerEntry`` by IP number, written by the balancer."""


class CallStatus(Enum):
    """Result of a call."""

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object's revision is another one; nothing was written."""

    HISTORY_GONE = "history_gone"
    """A watch asked for changes that the store has dropped."""

    REFUSED = "refused"
    """Nothing was done."""

    LOST = "lost"
    """No answer came; a write may take effect, now or later."""


class StoredObject(NamedTuple):
    """An object of the store; ``value`` is None if it cannot be read."""

    name: str
    revision: Revision
    value: Any


class Change(NamedTuple):
    """A change that a watch saw."""

    object: StoredObject
    removed: bool


class Listing(NamedTuple):
    """All objects of a kind at a revision."""

    objects: list[StoredObject]
    revision: Revision


class Changes(NamedTuple):
    """Changes up to a revision."""

    changes: list[Change]
    revision: Revision


Reply = Callable[[CallStatus, Any], None]
"""Takes a call's result and, if there is one, its value."""


class Store(Protocol):
    """Calls to the store. Each makes one reply, some time later."""

    def list(self, kind: Kind, reply: Reply, *, stale: bool = False) -> None:
        """Replies with the ``Listing`` of a kind.

        Args:
            kind: Kind of the objects.
            reply: Takes the result.
            stale: True if data that is seconds old will do; it costs less.
        """

    def watch(
        self, kind: Kind, revision: Revision, wait_s: float, reply: Reply
    ) -> None:
        """Replies with the ``Changes`` after a revision, when there are some.

        Args:
            kind: Kind of the objects.
            revision: Revision up to which the caller knows all changes.
            wait_s: Longest wait for a change, in seconds.
            reply: Takes the result.
        """

    def get(self, kind: Kind, name: str, reply: Reply) -> None:
        """Replies with a ``StoredObject``."""

    def create(self, kind: Kind, name: str, value: Any, reply: Reply) -> None:
        """Creates an object; replies with it, or with the existing one."""

    def replace(
        self, kind: Kind, name: str, value: Any, revision: Revision, reply: Reply
    ) -> None:
        """Replaces an object of a revision; replies as ``create``."""

    def remove(self, kind: Kind, name: str, revision: Revision, reply: Reply) -> None:
        """Removes an object of a revision."""
