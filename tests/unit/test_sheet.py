from __future__ import annotations

import json

from hypothesis import given, strategies as st
from returns.result import Success

from bramleydyke.core.sheet import CSV_COLUMNS, parse_csv, parse_json
from bramleydyke.types import PartnerId

PARTNER = PartnerId("federation")


def sheet(**changes: object) -> bytes:
    service = {
        "name": "bourse-beurre",
        "protocol": "http",
        "addresses": ["127.0.0.1:9001"],
        "upstreams": [{"id": "bb-1", "place": "meknes", "weight": 1, "slots": 2}],
    }
    return json.dumps(
        {"partner": "federation", "services": [service | changes]}
    ).encode()


def test_csv_and_json_sheets_give_the_same_services() -> None:
    """Guards against differences between a CSV sheet and its JSON form."""
    table = ",".join(CSV_COLUMNS) + "\nbourse-beurre,http,127.0.0.1:9001,bb-1,meknes,"
    from_table = parse_csv((table + "1,2\n").encode(), partner_id=PARTNER)
    assert from_table == parse_json(sheet(), partner_id=PARTNER)
    assert isinstance(from_table, Success)


def test_all_mistyped_fields_are_reported_at_once() -> None:
    """Guards against reporting only the first field with a wrong type."""
    upstreams = [{"id": 7, "weight": "x", "wieght": 1}, "bb-2"]
    text = sheet(addresses=[1], upstreams=upstreams)
    faults = parse_json(text, partner_id=PARTNER).failure()
    first = "services[0].upstreams[0]"
    assert {(fault.row, fault.column) for fault in faults} == {
        ("services[0]", "addresses"),
        *((first, name) for name in ("id", "place", "weight", "wieght")),
        ("services[0].upstreams[1]", "row"),
    }


def test_all_errors_are_reported_at_once() -> None:
    """Guards against reporting only the first error in each run."""
    upstreams = [
        {"id": "bb-1", "place": "Mek nes", "weight": -1, "slots": 0},
        {"id": "bb-1", "place": "fes", "weight": 0},
    ]
    text = sheet(protocol="sctp", addresses=["9001"], upstreams=upstreams)
    faults = parse_json(text, partner_id=PARTNER).failure()
    assert {(fault.row, fault.column) for fault in faults} == {
        ("services[0]", "protocol"),
        ("services[0]", "addresses"),
        ("services[0]", "upstreams"),
        ("services[0].upstreams[0]", "place"),
        ("services[0].upstreams[0]", "weight"),
        ("services[0].upstreams[0]", "slots"),
        ("services[0].upstreams[1]", "id"),
    }


def test_sheet_of_another_partner_is_rejected() -> None:
    """Guards against one partner changing another partner's services."""
    faults = parse_json(sheet(), partner_id=PartnerId("studio")).failure()
    assert [fault.column for fault in faults] == ["partner"]


@given(st.binary(max_size=400))
def test_random_bytes_are_refused_with_a_fault(text: bytes) -> None:
    """Guards against an exception on a malformed sheet."""
    for parse in (parse_json, parse_csv):
        assert parse(text, partner_id=PARTNER).failure()


@given(st.lists(st.lists(st.text(max_size=8), max_size=9), max_size=4))
def test_random_cells_are_refused_or_read(rows: list[list[str]]) -> None:
    """Guards against an exception on an unreadable cell."""
    lines = [",".join(CSV_COLUMNS), *(",".join(row) for row in rows)]
    parse_csv("\n".join(lines).encode("utf-8", "replace"), partner_id=PARTNER)
