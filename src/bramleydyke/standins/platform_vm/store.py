"""Stand-in for the platform's metadata store.

It has revisions, conditional writes, watches and outages, and can be restored
from an earlier copy.
"""

from __future__ import annotations

import json
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from bramleydyke.adapters.http_server import DeferredReply, HttpReply, listen_http
from bramleydyke.ports import Clock, DelayedCall

MAX_HISTORY = 1_000
"""Number of past changes that a watch can still report."""


class StoreCopy(NamedTuple):
    """Copy of the store's contents at a revision.

    Attributes:
        history: See ``StoreStandIn``.
    """

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[tuple[int, str, dict[str, Any], bool]]


@dataclass(slots=True)
class PendingWatch:
    """A watch that waits for the next change of an object of its kind."""

    kind: str
    revision: int
    answer: DeferredReply
    timer: DelayedCall


@dataclass(slots=True, kw_only=True)
class StoreStandIn:
    """The metadata store, in memory.

    Attributes:
        down: True while calls get no answer.
        lost_reply_share: Fraction of the writes that take effect but get no
            answer.
        calls: Number of HTTP calls so far.
        revision: Revision of the last change; each change adds 1.
        objects: Objects by kind and name.
        history: Last changes as revision, kind, object and whether it was
            removed.
        compacted_revision: Watches from before this revision get 410.
        era: Number of restores; each response contains it.
        operator_objects: Last value that ``put`` wrote, by kind and name.
    """

    clock: Clock
    random_source: random.Random
    down: bool = False
    lost_reply_share: float = 0.0
    calls: int = 0
    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    history: deque[tuple[int, str, dict[str, Any], bool]] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY)
    )
    compacted_revision: int = 0
    watches: list[PendingWatch] = field(default_factory=list)
    era: int = 1
    operator_objects: dict[tuple[str, str], Any] = field(default_factory=dict)

    def listen(self, reactor: Any, endpoint: str) -> Any:
        """Serves the store over HTTP at ``ip:port``; returns the port."""
        return listen_http(reactor, endpoint, self.handle)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object without a condition, as the platform's operator."""
        self.operator_objects[kind, name] = spec
        self._store(kind, name, spec)

    def fail_watches(self) -> None:
        """Ends all pending watches with 503, as an outage does."""
        for pending in self.watches:
            pending.timer.cancel()
            pending.answer(self._reply(503))
        self.watches.clear()

    def copy(self) -> StoreCopy:
        """Returns a copy of the contents, for ``restore``."""
        return StoreCopy(self.revision, dict(self.objects), list(self.history))

    def restore(self, copy: StoreCopy, *, rewrite: bool = True) -> None:
        """Replaces the contents by a copy; later changes are lost.

        Pending watches get no answer. Revisions after that of the copy are
        assigned again.

        Args:
            copy: Contents from now on.
            rewrite: Whether the operator writes its objects again at once.
        """
        for pending in self.watches:
            pending.timer.cancel()
        self.watches.clear()
        self.era += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self.history = deque(copy.history, maxlen=MAX_HISTORY)
        if rewrite:
            self.rewrite()

    def rewrite(self) -> None:
        """Writes the operator's objects again that a restore has changed."""
        for (kind, name), spec in self.operator_objects.items():
            if self.objects.get((kind, name), {}).get("spec") != spec:
                self._store(kind, name, spec)

    def compact(self) -> None:
        """Drops the history and ends all pending watches with 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        for pending in self.watches:
            pending.timer.cancel()
            pending.answer(self._reply(410))
        self.watches.clear()

    def handle(
        self, method: str, target: str, body: bytes
    ) -> HttpReply | DeferredReply:
        """Answers an HTTP call; while ``down``, the answer never comes."""
        self.calls += 1
        if self.down:
            return DeferredReply()
        path, _, query = target.partition("?")
        parts = path.split("/")[2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        options = dict(parse_qsl(query))
        if method == "GET":
            return self._read(kind, name, options)
        reply = self._write(method, kind, name, options, body)
        if self.random_source.random() < self.lost_reply_share:
            return DeferredReply()
        return reply

    def _read(
        self, kind: str, name: str, options: dict[str, str]
    ) -> HttpReply | DeferredReply:
        if name:
            found = self.objects.get((kind, name))
            return self._reply(404) if found is None else self._reply(200, found)
        if "watch" in options:
            return self._watch(
                kind, int(options["watch"]), int(options["wait_ms"]) / 1_000
            )
        items = [
            item
            for (object_kind, _), item in sorted(self.objects.items())
            if object_kind == kind
        ]
        return self._reply(
            200, {"items": items, "more": False, "current_rev": self.revision}
        )

    def _watch(
        self, kind: str, revision: int, wait_s: float
    ) -> HttpReply | DeferredReply:
        if not self.compacted_revision <= revision <= self.revision:
            return self._reply(410)
        events = self._events(kind, revision)
        if events:
            return self._reply(200, {"events": events, "current_rev": self.revision})
        answer = DeferredReply()
        timer = self.clock.callLater(wait_s, self._end_watch, answer)
        self.watches.append(PendingWatch(kind, revision, answer, timer))
        return answer

    def _end_watch(self, answer: DeferredReply) -> None:
        self.watches = [watch for watch in self.watches if watch.answer is not answer]
        answer(self._reply(200, {"events": [], "current_rev": self.revision}))

    def _events(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "removed": removed}
            for changed_at, object_kind, item, removed in self.history
            if changed_at > revision and object_kind == kind
        ]

    def _write(
        self, method: str, kind: str, name: str, options: dict[str, str], body: bytes
    ) -> HttpReply:
        request = json.loads(body) if body else {}
        name = name or request["meta"]["name"]
        found = self.objects.get((kind, name))
        expected = options.get("revision") or request.get("meta", {}).get("revision")
        if method == "POST":
            if found is not None:
                return self._reply(409, found)
            return self._reply(201, self._store(kind, name, request["spec"]))
        if found is None:
            return self._reply(404)
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return self._reply(409, found)
        if method == "DELETE":
            del self.objects[kind, name]
            self._record_change(kind, found, removed=True)
            return self._reply(200, {})
        if request["spec"] == found["spec"]:
            return self._reply(200, found)
        return self._reply(200, self._store(kind, name, request["spec"]))

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        item = {"meta": {"name": name, "revision": self.revision + 1}, "spec": spec}
        self.objects[kind, name] = item
        self._record_change(kind, item, removed=False)
        return item

    def _record_change(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, item, removed))
        matching = [watch for watch in self.watches if watch.kind == kind]
        self.watches = [watch for watch in self.watches if watch.kind != kind]
        for pending in matching:
            pending.timer.cancel()
            events = self._events(kind, pending.revision)
            pending.answer(
                self._reply(200, {"events": events, "current_rev": self.revision})
            )

    def _reply(self, status: int, document: Any = None) -> HttpReply:
        body = b"" if document is None else json.dumps(document).encode()
        headers = (("Store-Era", str(self.era)),)
        return HttpReply(status, body, headers=headers)
