"""Client of the platform's metadata store.

Implements ``bramleydyke.direct.store.Store`` over HTTP.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import urlencode

import msgspec
from xxhash import xxh3_128_digest

from bramleydyke.adapters.http_client import HttpClient
from bramleydyke.daemons.direct import StoreFactory
from bramleydyke.direct.constants import STORE_TIMEOUT_S
from bramleydyke.direct.entries import BalancerEntry, UpstreamEntry
from bramleydyke.direct.ports import Count, Observe
from bramleydyke.direct.store import (
    CallStatus,
    Change,
    Changes,
    Era,
    Kind,
    Listing,
    OnRestored,
    Reply,
    Revision,
    StoredObject,
)
from bramleydyke.platform.listings import (
    UNDECODABLE,
    Item,
    read_events,
    read_item,
    read_page,
)
from bramleydyke.platform.manifest import read_manifest
from bramleydyke.ports import Clock

CONFIG_KIND = "config"
CONFIG_NAME = "main"

ERA_HEADER = "store-era"
"""Response header with the era, in lower case."""

KIND_NAMES = {
    Kind.CONFIGURATION: CONFIG_KIND,
    Kind.UPSTREAMS: "bramleydyke-upstreams",
    Kind.BALANCERS: "bramleydyke-balancers",
}
"""Name of each kind in the store.

The operator writes the configuration; this software writes the other kinds.
"""

CALL_STATUSES = {
    200: CallStatus.OK,
    201: CallStatus.OK,
    404: CallStatus.NOT_FOUND,
    409: CallStatus.CONFLICT,
    410: CallStatus.HISTORY_GONE,
}

NO_EFFECT_STATUSES = frozenset({400, 403, 405, 413, 429, 503})
"""HTTP statuses after which the call certainly had no effect.

After a status that neither this set nor ``CALL_STATUSES`` lists, a write may
have taken effect.
"""


class _NewObject(msgspec.Struct):
    meta: dict[str, Any]
    spec: Any


_DECODERS: dict[Kind, Callable[[bytes], Any]] = {
    Kind.CONFIGURATION: read_manifest,
    Kind.UPSTREAMS: msgspec.json.Decoder(UpstreamEntry).decode,
    Kind.BALANCERS: msgspec.json.Decoder(BalancerEntry).decode,
}


class PlatformStore:
    """Client of the store's HTTP interface.

    Attributes:
        endpoint: ``ip:port`` of the store.
        era: Newest era that an answer has shown.
        on_restored: Called when an answer shows a new era.
        latest_manifest: Digest and decoded routes of the manifest that was
            read last; avoids decoding an unchanged manifest again.
    """

    def __init__(
        self, *, calls: HttpClient, endpoint: str, count: Count, observe: Observe
    ) -> None:
        self.calls = calls
        self.observe = observe
        self.endpoint = endpoint
        self.count = count
        self.era = Era(0)
        self.on_restored: OnRestored = lambda era: None
        self.latest_manifest: tuple[bytes, Any] = (b"", None)

    def list(self, kind: Kind, reply: Reply, *, stale: bool = False) -> None:
        """Replies with all objects of a kind, which it reads page by page."""
        self._list_page(kind, [], {"allow_stale": "1"} if stale else {}, reply)

    def watch(
        self, kind: Kind, revision: Revision, wait_s: float, reply: Reply
    ) -> None:
        """Replies with the changes after a revision when there are any.

        The request stays open at the store for up to ``wait_s`` seconds.
        """
        wait_ms = max(1, int(wait_s * 1_000))
        query = f"?watch={revision}&wait_ms={wait_ms}"

        def on_response(status: int | None, body: bytes) -> None:
            events = self._decode_response(kind, status, body, read_events, reply)
            if events is None:
                return
            changes = [
                Change(self._stored_object(kind, event.object), event.removed)
                for event in events.events
            ]
            reply(CallStatus.OK, Changes(changes, Revision(events.current_rev)))

        self._call(
            "GET",
            KIND_NAMES[kind] + query,
            on_response,
            timeout_s=wait_s + STORE_TIMEOUT_S,
        )

    def get(self, kind: Kind, name: str, reply: Reply) -> None:
        """Replies with the object that has a name, or ``NOT_FOUND``."""
        self._object_call("GET", f"{KIND_NAMES[kind]}/{name}", kind, reply)

    def create(self, kind: Kind, name: str, value: Any, reply: Reply) -> None:
        """Creates an object; replies ``CONFLICT`` if the name is taken."""
        body = _NewObject({"name": name}, value)
        self._object_call("POST", KIND_NAMES[kind], kind, reply, body=body)

    def replace(
        self, kind: Kind, name: str, value: Any, revision: Revision, reply: Reply
    ) -> None:
        """Replaces an object if it still has the given revision."""
        body = _NewObject({"name": name, "revision": revision}, value)
        self._object_call("PUT", f"{KIND_NAMES[kind]}/{name}", kind, reply, body=body)

    def remove(self, kind: Kind, name: str, revision: Revision, reply: Reply) -> None:
        """Removes an object if it still has the given revision."""
        path = f"{KIND_NAMES[kind]}/{name}?revision={revision}"
        self._object_call("DELETE", path, kind, reply)

    def _list_page(
        self,
        kind: Kind,
        earlier_objects: list[StoredObject],
        query: dict[str, str],
        reply: Reply,
    ) -> None:
        era = self.era

        def on_response(status: int | None, body: bytes) -> None:
            page = self._decode_response(kind, status, body, read_page, reply)
            if page is None:
                return
            changed = earlier_objects and era != self.era
            if changed or (page.more and not page.items):
                reply(CallStatus.LOST, None)
                return
            objects = earlier_objects + [
                self._stored_object(kind, item) for item in page.items
            ]
            if page.more:
                after = {"after": page.items[-1].meta.name}
                self._list_page(kind, objects, query | after, reply)
            else:
                reply(CallStatus.OK, Listing(objects, Revision(page.current_rev)))

        path = KIND_NAMES[kind] + (f"?{urlencode(query)}" if query else "")
        self._call("GET", path, on_response)

    def _object_call(
        self, method: str, path: str, kind: Kind, reply: Reply, *, body: Any = None
    ) -> None:
        def on_response(status: int | None, answer: bytes) -> None:
            result = _call_status(status)
            if result not in (CallStatus.OK, CallStatus.CONFLICT):
                reply(result, None)
                return
            try:
                item = read_item(answer)
            except ValueError:
                # Some responses carry no object, such as those to removals.
                reply(result, None)
                return
            reply(result, self._stored_object(kind, item))

        encoded = None if body is None else msgspec.json.encode(body)
        self._call(method, path, on_response, body=encoded)

    def _call(
        self,
        method: str,
        path: str,
        on_response: Callable[[int | None, bytes], None],
        *,
        timeout_s: float = STORE_TIMEOUT_S,
        body: bytes | None = None,
    ) -> None:
        self.count("store.calls")
        started_at = self.calls.clock.seconds()
        from_earlier_era = False

        def on_headers(headers: Mapping[str, str]) -> None:
            nonlocal from_earlier_era
            from_earlier_era = self._check_era(headers)

        def observe_and_reply(status: int | None, answer: bytes) -> None:
            if from_earlier_era:
                self.count("store.outdated_answer")
                status = None
            if "watch=" not in path:
                self.observe("store_call", self.calls.clock.seconds() - started_at)
            on_response(status, answer)

        self.calls.request(
            method,
            self.endpoint,
            f"/objects/{path}",
            timeout_s=timeout_s,
            on_response=observe_and_reply,
            on_headers=on_headers,
            body=body,
        )

    def _check_era(self, headers: Mapping[str, str]) -> bool:
        """Reports a restored store if the era in a response has increased.

        Returns:
            True if the response is from an earlier era. What it says may be
            lost, so the call counts as unanswered.
        """
        text = headers.get(ERA_HEADER, "")
        if not text.isdecimal():
            if text:
                self.count("store.bad_era")
            return False
        earlier, era = self.era, Era(int(text))
        if era <= earlier:
            return era < earlier
        self.era = era
        if earlier:
            self.count("store.restored")
            self.on_restored(era)
        return False

    def _decode_response(
        self,
        kind: Kind,
        status: int | None,
        body: bytes,
        read: Callable[[bytes], tuple[Any, int]],
        reply: Reply,
    ) -> Any:
        """Returns a decoded answer; without one, replies and returns None."""
        result = _call_status(status)
        if result is not CallStatus.OK:
            reply(result, None)
            return None
        try:
            answer, left_out = read(body)
        except ValueError:
            self.count("store.bad_answer")
            reply(CallStatus.LOST, None)
            return None
        for _ in range(left_out):
            self.count(f"store.{kind.value}.unreadable")
        return answer

    def _stored_object(self, kind: Kind, item: Item) -> StoredObject:
        """Decodes an object; the value is None if it is unreadable."""
        revision = Revision(item.meta.revision)
        if kind is Kind.CONFIGURATION and item.meta.name == CONFIG_NAME:
            return StoredObject(CONFIG_NAME, revision, self._manifest_routes(item))
        return StoredObject(item.meta.name, revision, self._decode_value(kind, item))

    def _manifest_routes(self, item: Item) -> Any:
        """Returns the routes; decodes them only if the manifest has changed.

        The revision does not tell: a restored store may assign the revision of
        a lost manifest to another one.
        """
        latest_digest, routes = self.latest_manifest
        digest = xxh3_128_digest(item.spec)
        if routes is None or digest != latest_digest:
            routes = self._decode_value(Kind.CONFIGURATION, item)
            self.latest_manifest = (digest, routes)
        return routes

    def _decode_value(self, kind: Kind, item: Item) -> Any:
        try:
            return _DECODERS[kind](bytes(item.spec))
        except UNDECODABLE:
            self.count(f"store.{kind.value}.unreadable")
            return None


def _call_status(status: int | None) -> CallStatus:
    if status is None:
        return CallStatus.LOST
    if status in CALL_STATUSES:
        return CALL_STATUSES[status]
    return CallStatus.REFUSED if status in NO_EFFECT_STATUSES else CallStatus.LOST


def store_factory(endpoint: str) -> StoreFactory:
    """Returns a function that connects a node to the store at an endpoint."""

    def new_store(
        reactor: Any, clock: Clock, count: Count, observe: Observe
    ) -> PlatformStore:
        calls = HttpClient(
            reactor=reactor, clock=clock, content_type="application/json"
        )
        return PlatformStore(
            calls=calls, endpoint=endpoint, count=count, observe=observe
        )

    return new_store
