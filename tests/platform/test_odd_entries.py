"""Entries and reports of other writers that cannot be used.

Such an object names no upstream. It must not hide the objects beside it, end
what follows the store, or leave an agent with numbers that it cannot send.
"""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given, strategies as st
from test_store import ENTRY, SPEC, record_replies, store_with

from bramleydyke.adapters.json_text import split_json, split_members
from bramleydyke.direct.messages import encode
from bramleydyke.direct.store import CallStatus, Kind
from bramleydyke.platform.reports import read_report

DEEP = 5_000
"""Levels of nesting; decoders allow about a thousand."""

DIGITS = "9" * 5_000

UNDECODABLE = {
    "text that is not Unicode": '{"text":"\\ud800"}',
    "text that is not UTF-8": '{"text":"\udcff"}',
    "nested arrays": "[" * DEEP + "]" * DEEP,
    "nested objects": '{"a":' * DEEP + "1" + "}" * DEEP,
    "brackets in text": '{"text":"}]\\"{[","x":"\\ud800"}',
}
FIELDS = {
    "a number of 5,000 digits": {"lifetime": DIGITS},
    "a number of 65 bits": {"lifetime": str(2**64)},
    "a number beyond floating point": {"sequence": "1e999"},
    "a negative lifetime": {"lifetime": "-1"},
    "a negative sequence": {"sequence": "-1"},
    "a fraction": {"sequence": "1.5"},
    "a large revision": {"revision": str(2**63)},
    "a large start": {"start_ms": str(2**64)},
    "no slots": {"slots": "0"},
    "too many slots": {"slots": str(2**40)},
    "a port": {"node": '"10.0.0.1:99999"'},
    "a number in the address": {"node": '"10.0.0.256"'},
    "a host name": {"node": '"localhost"'},
    "a line end": {"node": '"10.0.0.1\\n"'},
    "a NUL": {"node": '"10.0.0.1\\u0000"'},
    "other digits": {"node": '"10.0.0.\u0661"'},
    "no state": {"state": '"asleep"'},
    "a long name": {"upstream": f'"{"x" * 1_000}"'},
}


def spec_text(fields: dict[str, str]) -> str:
    """Returns an entry as JSON, with some fields replaced by other texts."""
    texts = {name: json.dumps(value) for name, value in SPEC.items()} | fields
    return "{" + ",".join(f'"{name}":{text}' for name, text in texts.items()) + "}"


ODD = UNDECODABLE | {name: spec_text(fields) for name, fields in FIELDS.items()}


def item_text(name: str, spec: str) -> str:
    return f'{{"spec":{spec},"meta":{{"name":"{name}","revision":7}},"status":null}}'


def body(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def listing(*items: str) -> bytes:
    return body(f'{{"items":[{",".join(items)}],"more":false,"current_rev":9}}')


def changes(*items: str) -> bytes:
    events = ",".join(f'{{"removed":false,"object":{item}}}' for item in items)
    return body(f'{{"events": [ {events} ] , "current_rev": 9}}')


@pytest.fixture(params=ODD)
def items(request) -> list[str]:
    """An object that cannot be used between two others."""
    usable = json.dumps(SPEC)
    return [
        item_text("10.0.0.1", usable),
        item_text("10.0.0.2", ODD[request.param]),
        item_text("10.0.0.3", usable),
    ]


def test_a_listing_with_an_odd_entry_holds_the_others(items):
    """Guards against one entry that makes its whole kind unreadable."""
    store, _ = store_with((200, listing(*items)))
    replies, reply = record_replies()
    store.list(Kind.UPSTREAMS, reply)
    [(status, found)] = replies
    assert status is CallStatus.OK
    assert found.revision == 9
    values = {stored.name: stored.value for stored in found.objects}
    assert values == {"10.0.0.1": ENTRY, "10.0.0.2": None, "10.0.0.3": ENTRY}


def test_changes_with_an_odd_entry_hold_the_others(items):
    """Guards against a watch that ends with one entry."""
    store, _ = store_with((200, changes(*items)))
    replies, reply = record_replies()
    store.watch(Kind.UPSTREAMS, 5, 1.0, reply)
    [(status, found)] = replies
    assert status is CallStatus.OK
    values = {change.object.name: change.object.value for change in found.changes}
    assert values == {"10.0.0.1": ENTRY, "10.0.0.2": None, "10.0.0.3": ENTRY}


def test_an_odd_entry_under_the_own_name_has_a_revision(items):
    """Guards against an agent that can never replace such an entry."""
    store, _ = store_with((200, body(items[1])))
    replies, reply = record_replies()
    store.get(Kind.UPSTREAMS, "10.0.0.2", reply)
    [(status, found)] = replies
    assert status is CallStatus.OK
    assert (found.name, found.revision, found.value) == ("10.0.0.2", 7, None)


def test_an_object_whose_name_cannot_be_decoded_is_left_out_and_counted():
    """Guards against a listing that is lost with one name."""
    store, calls = store_with(
        (200, listing(item_text("\\ud800", "{}"), item_text("a", json.dumps(SPEC))))
    )
    counts = []
    store.count = counts.append
    replies, reply = record_replies()
    store.list(Kind.UPSTREAMS, reply)
    assert [stored.name for stored in replies[0][1].objects] == ["a"]
    assert counts.count("store.upstreams.unreadable") == 1


@pytest.mark.parametrize("node", ["10.0.0.1:70000", "localhost", "10.0.0.1\\u0000", ""])
def test_a_balancer_with_an_odd_address_is_left_out(node):
    """Guards against names that a process would try to look up or send to."""
    spec = f'{{"node":"{node}","zone":"z1"}}'
    store, _ = store_with((200, listing(item_text("other", spec))))
    replies, reply = record_replies()
    store.list(Kind.BALANCERS, reply)
    assert [stored.value for stored in replies[0][1].objects] == [None]


def test_numbers_of_entries_can_be_sent():
    """Guards against entries that end a process's handlers when it relays."""
    largest = msgspec.structs.replace(
        ENTRY,
        lifetime=2**62,
        sequence=2**62,
        revision=2**62,
        start_ms=2**62,
        slots=2**16,
    )
    decoded = msgspec.json.decode(msgspec.json.encode(largest), type=type(ENTRY))
    following = msgspec.structs.replace(decoded, lifetime=decoded.lifetime + 1)
    assert encode(following.announcement())


REPORT = {
    "service": '"board"',
    "address": '"10.0.0.1:80"',
    "state": '"ready"',
    "sequence": "3",
    "born": "5",
    "slots": "1",
}


@pytest.mark.parametrize(
    "fields",
    [
        {"born": DIGITS},
        {"born": str(2**64)},
        {"born": "-1"},
        {"sequence": str(2**63)},
        {"sequence": "1e999"},
        {"slots": "0"},
        {"slots": str(2**64)},
        {"cold_remaining_ms": "1e300"},
        {"cold_remaining_ms": "-1"},
        {"address": '"10.0.0.1:65536"'},
        {"address": '"10.0.0.1:0"'},
        {"address": '"10.0.0.256:80"'},
        {"service": '"\\ud800"'},
        {"x": "[" * DEEP + "]" * DEEP},
    ],
)
def test_an_odd_report_is_refused(fields):
    """Guards against reports that an agent takes and cannot announce."""
    texts = ",".join(f'"{name}":{text}' for name, text in (REPORT | fields).items())
    with pytest.raises(ValueError):
        read_report("i-1", body(f"{{{texts}}}"))


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@given(st.lists(JSON), st.sampled_from([None, 1]))
def test_the_parts_of_an_array_are_its_elements(value, indent):
    text = json.dumps(value, indent=indent).encode()
    assert [json.loads(part) for part in split_json(text)] == value


@given(
    st.dictionaries(st.text(st.characters(exclude_categories=["Cs"])), JSON),
    st.sampled_from([None, 1]),
)
def test_the_parts_of_an_object_are_its_members(value, indent):
    text = json.dumps(value, indent=indent).encode()
    parts = split_members(text)
    assert {name: json.loads(part) for name, part in parts.items()} == value


@given(st.binary(max_size=80))
def test_any_text_is_split_or_refused(text):
    for split in (split_json, split_members):
        try:
            split(text)
        except ValueError:
            continue
