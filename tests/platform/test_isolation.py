"""Only the platform adapter may import or name parts of the platform."""

from __future__ import annotations

import re
from pathlib import Path

import bramleydyke

SOURCE = Path(bramleydyke.__file__).parent
ADAPTER = SOURCE / "platform"
STAND_IN = SOURCE / "standins" / "platform_vm"

NAMES = [
    "heartbeat_address",
    "heartbeat_interval_ms",
    "cold_remaining_ms",
    "path_prefix",
    "route_type",
    "traffic_split",
    "datagram_address",
    "current_rev",
    "allow_stale",
    "hash_scheme",
    "forwarding_mode",
    "internal_port_range",
    "fleetbench",
    "BRAMLEYDYKE_SETTINGS",
    "/readiness",
    "/instances/",
    "liveness report",
    "outbound",
]
"""Words of the platform's protocol, settings and benchmark."""


def modules_outside_the_adapter():
    return [
        path
        for path in SOURCE.rglob("*.py")
        if ADAPTER not in path.parents and STAND_IN not in path.parents
    ]


def test_no_module_imports_the_adapter():
    pattern = re.compile(r"^\s*(from|import) bramleydyke\.platform\b", re.MULTILINE)
    assert not [
        path
        for path in modules_outside_the_adapter()
        if pattern.search(path.read_text())
    ]


def test_no_module_uses_the_platforms_names():
    found = [
        (path.name, name)
        for path in modules_outside_the_adapter()
        for name in NAMES
        if name in path.read_text()
    ]
    assert not found


def test_the_adapter_is_small():
    lines = sum(len(p.read_text().splitlines()) for p in ADAPTER.glob("*.py"))
    assert lines < 1_000
