"""Store whose calls take effect and are answered in separate steps."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Any

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


@dataclass(slots=True)
class Call:
    """A call without an answer.

    Attributes:
        label: Caller, method and name of the object.
        run: Takes effect; returns status and value of the answer.
        reply: Takes the answer.
        writes: True if the call may change an object.
        is_ready: Returns whether there is an answer; a watch waits for one.
    """

    label: str
    run: Callable[[], tuple[CallStatus, Any]]
    reply: Callable[[CallStatus, Any], None]
    writes: bool = False
    is_ready: Callable[[], bool] = lambda: True


@dataclass(slots=True)
class StoreModel:
    """Objects and unanswered calls of all nodes.

    Attributes:
        objects: Objects by kind and name.
        history: All changes so far; the position is the revision before it.
        calls: Calls that have not been answered.
        late: Effects of writes whose answer was lost.
        era: Number of restores, plus one.
        copied: Objects and history of the last copy.
    """

    objects: dict[tuple[Kind, str], StoredObject] = field(default_factory=dict)
    history: list[tuple[Kind, Change]] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    late: list[Call] = field(default_factory=list)
    era: Era = Era(1)
    copied: tuple[dict, list] = field(default_factory=lambda: ({}, []))

    def take_copy(self) -> None:
        self.copied = (dict(self.objects), list(self.history))

    def restore(self) -> None:
        """Returns to the copy, from which pending calls are answered."""
        self.era = Era(self.era + 1)
        self.objects, self.history = dict(self.copied[0]), list(self.copied[1])

    def client(self, node: str, kinds: set[Kind]) -> StoreClient:
        """Returns a node's access; calls for other kinds get no answer."""
        return StoreClient(self, node, kinds)

    def answer(self, call: Call) -> None:
        """Lets a call take effect and answers it."""
        result = call.run()
        self.calls.remove(call)
        call.reply(*result)

    def lose(self, call: Call) -> None:
        """Tells the caller that no answer came; a write may still happen."""
        self.calls.remove(call)
        if call.writes:
            self.late.append(call)
        call.reply(CallStatus.LOST, None)

    def run_late(self, call: Call) -> None:
        self.late.remove(call)
        call.run()

    def drop_calls(self, node: str) -> None:
        """Forgets the caller of a node's calls, whose process has ended."""
        mine = [call for call in self.calls if call.label.startswith(f"{node} ")]
        self.calls = [call for call in self.calls if call not in mine]
        self.late += [call for call in mine if call.writes]

    def put(self, kind: Kind, name: str, value: Any) -> None:
        """Stores an object without a condition, as an operator does."""
        stored = StoredObject(name, Revision(len(self.history) + 1), value)
        self.objects[kind, name] = stored
        self.history.append((kind, Change(stored, removed=False)))

    def remove(self, kind: Kind, name: str) -> None:
        del self.objects[kind, name]
        gone = StoredObject(name, Revision(len(self.history) + 1), None)
        self.history.append((kind, Change(gone, removed=True)))

    def fingerprint(self) -> Hashable:
        calls = sorted(call.label for call in self.calls)
        late = sorted(call.label for call in self.late)
        return repr((self.history, calls, late, self.era, self.copied[1]))


@dataclass(slots=True)
class StoreClient:
    """One node's access to the store; implements ``Store``.

    Attributes:
        kinds: Kinds of objects for which calls are answered.
    """

    store: StoreModel
    node: str
    kinds: set[Kind]
    era: Era = Era(0)
    on_restored: Callable[[Era], None] = lambda era: None

    def observe_era(self) -> None:
        """Handles the era in an answer, perhaps to a call that is left out."""
        if self.era < self.store.era:
            earlier, self.era = self.era, self.store.era
            if earlier:
                self.on_restored(self.era)

    def list(self, kind, reply, *, stale=False):
        def run():
            found = [o for (k, _), o in self.store.objects.items() if k is kind]
            return CallStatus.OK, Listing(found, Revision(len(self.store.history)))

        self._call("list", kind, run, reply)

    def watch(self, kind, revision, wait_s, reply):
        def changes():
            return [c for k, c in self.store.history[revision:] if k is kind]

        def is_lost():
            return revision > len(self.store.history)

        def run():
            if is_lost():
                return CallStatus.HISTORY_GONE, None
            newest = Revision(len(self.store.history))
            return CallStatus.OK, Changes(changes(), newest)

        def is_ready():
            return is_lost() or bool(changes())

        self._call(f"watch from {revision}", kind, run, reply, is_ready=is_ready)

    def get(self, kind, name, reply):
        def run():
            found = self.store.objects.get((kind, name))
            return CallStatus.OK if found else CallStatus.NOT_FOUND, found

        self._call("get", kind, run, reply)

    def create(self, kind, name, value, reply):
        self._write("create", kind, name, value, None, reply)

    def replace(self, kind, name, value, revision, reply):
        self._write("replace", kind, name, value, revision, reply)

    def remove(self, kind, name, revision, reply):
        self._write("remove", kind, name, None, revision, reply)

    def _write(self, method, kind, name, value, revision, reply):
        def run():
            found = self.store.objects.get((kind, name))
            if revision is not None and found is None:
                return CallStatus.NOT_FOUND, None
            if found is not None and found.revision != revision:
                return CallStatus.CONFLICT, found
            if value is None:
                self.store.remove(kind, name)
                return CallStatus.OK, None
            self.store.put(kind, name, value)
            return CallStatus.OK, self.store.objects[kind, name]

        text = f"{method} at {revision}: {value!r}"
        self._call(text, kind, run, reply, writes=True)

    def _call(self, text, kind, run, reply, **options):
        def reply_in_era(status, value):
            if status is not CallStatus.LOST:
                self.observe_era()
            reply(status, value)

        if kind in self.kinds:
            label = f"{self.node} {text} {kind.value}"
            self.store.calls.append(Call(label, run, reply_in_era, **options))
