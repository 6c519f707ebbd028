"""Tests of the decoding of the platform's manifests and liveness reports."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, strategies as st

from bramleydyke.direct.routes import Route, Share
from bramleydyke.platform.manifest import read_manifest
from bramleydyke.platform.reports import read_report

REPORT = {
    "service": "board",
    "address": "10.3.0.7:8080",
    "zone": "z1",
    "version": "v2",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 12,
    "born": 1_770_000_000_123,
}
MANIFEST = {
    "version": 31,
    "routes": [
        {
            "name": "r-1",
            "hostname": "198.18.5.2",
            "path_prefix": "/8443/",
            "service": "board",
            "priority": 2,
            "timeout_ms": 800,
            "route_type": "safe",
        },
        {
            "name": "r-2",
            "hostname": "198.18.5.2",
            "path_prefix": "/80/",
            "priority": 1,
            "traffic_split": [
                {"service": "board", "weight": 90},
                {"service": "vault", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "board", "health_path": "/h"}, {"name": "vault"}],
    "limits": {"idle_timeout_ms": 15000},
}


def encoded(document: object) -> bytes:
    return json.dumps(document).encode()


def test_reads_a_report():
    report = read_report("i-1", encoded(REPORT))
    assert (report.upstream, report.service) == ("i-1", "board")
    assert (report.lifetime, report.sequence) == (1_770_000_000_123, 12)
    assert (report.slots, report.cold_s, report.draining) == (3, 1.5, False)


def test_a_report_with_unknown_fields_is_read():
    report = read_report("i-1", encoded(REPORT | {"more": [1], "state": "draining"}))
    assert report.draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"state": None},
        {"sequence": "12"},
        {"sequence": -1},
        {"born": 1.5},
        {"born": None},
        {"slots": 0},
        {"service": 5},
    ],
)
def test_a_mistyped_report_is_refused(change):
    with pytest.raises(ValueError):
        read_report("i-1", encoded(REPORT | change))


@pytest.mark.parametrize("field", ["service", "state", "sequence", "born"])
def test_a_report_with_a_missing_field_is_refused(field):
    report = {name: value for name, value in REPORT.items() if name != field}
    with pytest.raises(ValueError):
        read_report("i-1", encoded(report))


@given(st.binary(max_size=300))
def test_any_bytes_are_a_report_or_a_value_error(body):
    try:
        read_report("i-1", body)
    except ValueError:
        pass


def test_reads_a_manifest():
    routes = read_manifest(encoded(MANIFEST))
    assert routes.version == 31
    host = bytes((198, 18, 5, 2))
    assert routes.routes == {
        host + (8_443).to_bytes(2, "big"): Route([Share("board", 1.0)], 2, 0.8),
        host + (80).to_bytes(2, "big"): Route(
            [Share("board", 90.0), Share("vault", 10.0)], 1
        ),
    }


@pytest.mark.parametrize(
    "change",
    [
        {"hostname": "not-an-ip"},
        {"path_prefix": "/seventy/"},
        {"path_prefix": "/70000/"},
        {"path_prefix": 80},
    ],
)
def test_a_route_without_an_address_is_refused(change):
    manifest = MANIFEST | {"routes": [MANIFEST["routes"][0] | change]}
    with pytest.raises(ValueError):
        read_manifest(encoded(manifest))


@given(st.binary(max_size=300))
def test_any_bytes_are_a_manifest_or_a_value_error(body):
    try:
        read_manifest(body)
    except ValueError:
        pass
