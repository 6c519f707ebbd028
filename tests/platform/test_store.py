"""Tests of requests to the platform's store and of its responses."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, strategies as st
from twisted.internet.task import Clock

from bramleydyke.direct.entries import BalancerEntry, UpstreamEntry
from bramleydyke.direct.store import CallStatus, Kind, Revision
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.platform.store import PlatformStore
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId

ENTRY = UpstreamEntry(
    node=NodeIp("10.0.0.1"),
    zone=AvailabilityZone("z1"),
    service=ServiceId("board"),
    upstream=UpstreamId("i-1"),
    lifetime=Lifetime(5),
    sequence=2,
    revision=1,
    state=UpstreamState.READY,
)
SPEC = {
    "node": "10.0.0.1",
    "zone": "z1",
    "service": "board",
    "upstream": "i-1",
    "lifetime": 5,
    "sequence": 2,
    "revision": 1,
    "state": "ready",
    "slots": 1,
    "start_ms": 0,
}


class FakeHttpClient:
    """HTTP client that returns prepared responses and records the requests.

    Attributes:
        eras: Era in each of the responses; none is sent once it is empty.
    """

    def __init__(self, *answers: tuple[int | None, Any]) -> None:
        self.answers = list(answers)
        self.eras: list[str] = []
        self.requests: list[tuple[str, str, Any]] = []
        self.clock = Clock()

    def request(
        self,
        method,
        endpoint,
        target,
        *,
        timeout_s,
        on_response,
        on_headers,
        body=None,
    ):
        self.requests.append(
            (method, target, None if body is None else json.loads(body))
        )
        status, answer = self.answers.pop(0)
        raw = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        on_headers({"store-era": self.eras.pop(0)} if self.eras else {})
        on_response(status, raw)


def store_with(*answers):
    calls = FakeHttpClient(*answers)
    counts: list[str] = []
    return PlatformStore(
        calls=calls,
        endpoint="10.9.9.9:1",
        count=counts.append,
        observe=lambda name, seconds: None,
    ), calls


def record_replies():
    replies: list[tuple[CallStatus, Any]] = []
    return replies, lambda status, value: replies.append((status, value))


def item(name: str, revision: int, spec: Any) -> dict[str, Any]:
    return {"meta": {"name": name, "revision": revision}, "spec": spec}


def test_reports_a_higher_era_before_the_reply():
    listing = (200, {"items": [], "current_rev": 9})
    store, calls = store_with(*[listing] * 6)
    calls.eras = ["7", "7", "8", "8", "x", ""]
    seen: list[Any] = []
    store.on_restored = seen.append
    for _ in range(6):
        store.list(Kind.BALANCERS, lambda status, value: seen.append(status))
    ok = CallStatus.OK
    assert seen == [ok, ok, 8, ok, ok, ok, ok]
    assert store.era == 8


def test_lists_all_pages():
    store, calls = store_with(
        (200, {"items": [item("a", 3, SPEC)], "more": True, "current_rev": 8}),
        (200, {"items": [item("b", 4, SPEC)], "more": False, "current_rev": 9}),
    )
    replies, reply = record_replies()
    store.list(Kind.UPSTREAMS, reply, stale=True)
    [(status, listing)] = replies
    assert status is CallStatus.OK
    assert [stored.name for stored in listing.objects] == ["a", "b"]
    assert listing.objects[0].value == ENTRY
    assert listing.revision == 9
    assert [target for _, target, _ in calls.requests] == [
        "/objects/bramleydyke-upstreams?allow_stale=1",
        "/objects/bramleydyke-upstreams?allow_stale=1&after=a",
    ]


def test_unreadable_objects_have_no_value_and_others_are_kept():
    unreadable = [None, 5, "x", [], {}, SPEC | {"state": "odd"}, SPEC | {"node": 1}]
    items = [item(f"x{n}", n, spec) for n, spec in enumerate(unreadable)]
    store, _ = store_with(
        (200, {"items": [*items, item("10.0.0.1", 9, SPEC)], "current_rev": 9})
    )
    replies, reply = record_replies()
    store.list(Kind.UPSTREAMS, reply)
    values = [stored.value for stored in replies[0][1].objects]
    assert values == [None] * len(unreadable) + [ENTRY]


def test_watches_changes_and_reports_a_dropped_history():
    store, calls = store_with(
        (
            200,
            {
                "events": [{"object": item("10.0.0.1", 7, SPEC), "removed": True}],
                "current_rev": 7,
            },
        ),
        (410, {}),
    )
    replies, reply = record_replies()
    store.watch(Kind.UPSTREAMS, Revision(3), 10.0, reply)
    store.watch(Kind.UPSTREAMS, Revision(3), 10.0, reply)
    assert replies[0][1].changes[0].removed
    assert replies[0][1].revision == 7
    assert replies[1] == (CallStatus.HISTORY_GONE, None)
    assert calls.requests[0][1].endswith("?watch=3&wait_ms=10000")


def test_an_answer_from_before_a_restore_counts_as_lost():
    """It was delayed; what it says may be gone from the store."""
    store, calls = store_with(
        (200, {"items": [], "current_rev": 9}),
        (200, {"items": [item("10.0.0.1", 30, SPEC)], "current_rev": 30}),
        (201, item("10.0.0.1", 30, SPEC)),
    )
    calls.eras = ["8", "7", "7"]
    replies, reply = record_replies()
    store.list(Kind.UPSTREAMS, reply)
    store.list(Kind.UPSTREAMS, reply)
    store.create(Kind.UPSTREAMS, "10.0.0.1", ENTRY, reply)
    statuses = [status for status, _ in replies]
    assert statuses == [CallStatus.OK, CallStatus.LOST, CallStatus.LOST]


def test_pages_from_before_and_after_a_restore_are_not_joined():
    store, calls = store_with(
        (200, {"items": [item("a", 3, SPEC)], "more": True, "current_rev": 30}),
        (200, {"items": [item("b", 4, SPEC)], "current_rev": 9}),
    )
    calls.eras = ["7", "8"]
    replies, reply = record_replies()
    store.list(Kind.UPSTREAMS, reply)
    assert replies == [(CallStatus.LOST, None)]


def manifest(version: int, port: int) -> dict[str, Any]:
    route = {"hostname": "10.0.9.1", "path_prefix": f"/{port}/", "service": "board"}
    return {"version": version, "routes": [route]}


def test_a_configuration_with_the_revision_of_a_lost_one_is_read():
    """A store that was restored from a copy assigns revisions again."""
    answers = [
        (200, {"items": [item("main", 22, spec)], "current_rev": 22})
        for spec in (manifest(16, 80), manifest(18, 81))
    ]
    store, _ = store_with(*answers)
    replies, reply = record_replies()
    store.list(Kind.CONFIGURATION, reply)
    store.list(Kind.CONFIGURATION, reply)
    versions = [listing.objects[0].value.version for _, listing in replies]
    assert versions == [16, 18]


def test_an_unchanged_configuration_is_decoded_once():
    body = {"items": [item("main", 22, manifest(16, 80))], "current_rev": 22}
    store, _ = store_with((200, body), (200, body))
    replies, reply = record_replies()
    store.list(Kind.CONFIGURATION, reply)
    store.list(Kind.CONFIGURATION, reply)
    first, second = (listing.objects[0].value for _, listing in replies)
    assert first is second


def test_writes_carry_the_revision_that_they_replace():
    answer = item("10.0.0.1", 12, SPEC)
    store, calls = store_with((201, answer), (200, answer), (409, answer), (200, {}))
    replies, reply = record_replies()
    store.create(Kind.UPSTREAMS, "10.0.0.1", ENTRY, reply)
    store.replace(Kind.UPSTREAMS, "10.0.0.1", ENTRY, Revision(11), reply)
    store.remove(Kind.UPSTREAMS, "10.0.0.1", Revision(12), reply)
    store.remove(Kind.UPSTREAMS, "10.0.0.1", Revision(12), reply)
    assert [status for status, _ in replies] == [
        CallStatus.OK,
        CallStatus.OK,
        CallStatus.CONFLICT,
        CallStatus.OK,
    ]
    assert replies[2][1].revision == 12
    assert [(method, body) for method, _, body in calls.requests] == [
        ("POST", {"meta": {"name": "10.0.0.1"}, "spec": SPEC}),
        ("PUT", {"meta": {"name": "10.0.0.1", "revision": 11}, "spec": SPEC}),
        ("DELETE", None),
        ("DELETE", None),
    ]
    assert calls.requests[2][1].endswith("/10.0.0.1?revision=12")


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (None, CallStatus.LOST),
        (404, CallStatus.NOT_FOUND),
        (429, CallStatus.REFUSED),
        (503, CallStatus.REFUSED),
        (500, CallStatus.LOST),
    ],
)
def test_results_say_whether_a_call_may_have_had_an_effect(status, expected):
    store, _ = store_with((status, b""), (status, b""))
    replies, reply = record_replies()
    store.get(Kind.BALANCERS, "10.0.0.1", reply)
    store.list(Kind.BALANCERS, reply)
    assert [one for one, _ in replies] == [expected, expected]


def test_balancers_round_trip():
    entry = BalancerEntry(NodeIp("10.0.0.2"), AvailabilityZone("z2"))
    spec = {"node": "10.0.0.2", "zone": "z2"}
    store, calls = store_with((200, item("10.0.0.2", 1, spec)), (200, {}))
    replies, reply = record_replies()
    store.get(Kind.BALANCERS, "10.0.0.2", reply)
    store.create(Kind.BALANCERS, "10.0.0.2", entry, reply)
    assert replies[0][1].value == entry
    assert calls.requests[1][2]["spec"] == spec


@given(st.binary(max_size=200))
def test_any_answer_is_read_or_counts_as_lost(body):
    for call in ("list", "watch", "get"):
        store, _ = store_with((200, body))
        replies, reply = record_replies()
        if call == "list":
            store.list(Kind.CONFIGURATION, reply)
        elif call == "watch":
            store.watch(Kind.CONFIGURATION, Revision(1), 1.0, reply)
        else:
            store.get(Kind.CONFIGURATION, "main", reply)
        assert len(replies) == 1
