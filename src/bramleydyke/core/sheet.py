"""Parsing, validation and comparison of sheets.

A sheet is the configuration that a partner requests: its services with their
addresses and upstreams. Validation reports all errors of a sheet at once.
"""

from __future__ import annotations

import csv
import io
import ipaddress
import itertools
import math
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from bramleydyke.core._sheet_rows import (
    ServiceRow,
    Sheet,
    SheetFault,
    UpstreamRow,
    shape_faults,
)
from bramleydyke.core.config import PartnerConfig, ServiceConfig, UpstreamSpec
from bramleydyke.types import (
    AvailabilityZone,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
)

MAX_SHEET_BYTES = 1_000_000
"""Largest object that the platform stores, in bytes."""

MAX_WEIGHT = 1_000.0
MAX_SLOTS = 10_000

CSV_COLUMNS = (
    "service",
    "protocol",
    "addresses",
    "upstream",
    "place",
    "weight",
    "slots",
)
"""Columns of a CSV sheet, which has a row for each upstream."""

Number = TypeVar("Number", int, float)

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


@dataclass(slots=True, kw_only=True)
class SheetDifference:
    """Changes from one sheet to the next, one line of text for each."""

    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Returns all changes, each marked with ``+``, ``-`` or ``~``."""
        return [
            *(f"+ {line}" for line in self.added),
            *(f"- {line}" for line in self.removed),
            *(f"~ {line}" for line in self.changed),
        ]


Services = list[ServiceConfig]
Faults = list[SheetFault]


def parse_json(text: bytes, *, partner_id: PartnerId) -> Result[Services, Faults]:
    """Parses and validates a JSON sheet.

    Args:
        text: The file's content.
        partner_id: The partner that applies the sheet. The sheet must name the
            same partner.

    Returns:
        The services, or all errors that were found.
    """
    if len(text) > MAX_SHEET_BYTES:
        return Failure([_too_large(len(text))])
    try:
        content = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure([SheetFault("sheet", "json", str(error), "a valid sheet")])
    faults = list(shape_faults(content, Sheet, "sheet"))
    if faults:
        return Failure(faults)
    sheet = msgspec.convert(content, type=Sheet)
    faults = list(_sheet_faults(sheet, partner_id))
    if faults:
        return Failure(faults)
    return Success([_service(row, partner_id) for row in sheet.services])


def parse_csv(text: bytes, *, partner_id: PartnerId) -> Result[Services, Faults]:
    """Parses and validates a CSV sheet with the columns ``CSV_COLUMNS``.

    Semicolons separate the addresses of a service.

    Args:
        text: The file's content.
        partner_id: The partner that applies the sheet.

    Returns:
        The services, or all errors with their rows and columns in the table.
    """
    if len(text) > MAX_SHEET_BYTES:
        return Failure([_too_large(len(text))])
    try:
        reader = csv.DictReader(io.StringIO(text.decode("utf-8-sig")), strict=True)
        rows = list(reader)
    except (csv.Error, UnicodeDecodeError) as error:
        return Failure([SheetFault("table", "csv", str(error), "a valid table")])
    if tuple(reader.fieldnames or ()) != CSV_COLUMNS:
        found = ",".join(reader.fieldnames or ())
        return Failure([SheetFault("row 1", "header", found, ",".join(CSV_COLUMNS))])
    grouped = _group(rows)
    sheet = Sheet(
        partner=partner_id,
        services=[_service_row(name, group) for name, group in grouped.items()],
    )
    lines = _line_numbers(grouped)
    faults = [
        *_table_faults(rows),
        *(_as_table_fault(fault, lines) for fault in _sheet_faults(sheet, partner_id)),
    ]
    if faults:
        return Failure(faults)
    return Success([_service(row, partner_id) for row in sheet.services])


def difference(
    current: PartnerConfig, wanted: Iterable[ServiceConfig]
) -> SheetDifference:
    """Returns the changes from the configuration in force to a new sheet."""
    before = {item.service_id: item for item in current.services if not item.deleted}
    after = {item.service_id: item for item in wanted}
    both = [name for name in before if name in after]
    return SheetDifference(
        added=[_service_text(after[name]) for name in after if name not in before],
        removed=[str(name) for name in before if name not in after],
        changed=[line for name in both for line in _changes(before[name], after[name])],
    )


def _too_large(size: int) -> SheetFault:
    return SheetFault("sheet", "size", str(size), f"at most {MAX_SHEET_BYTES} bytes")


def _service_text(entry: ServiceConfig) -> str:
    addresses = ", ".join(entry.addresses)
    count = len(entry.upstreams)
    return f"{entry.service_id} {entry.protocol.value} {addresses} upstreams={count}"


def _changes(before: ServiceConfig, after: ServiceConfig) -> Iterator[str]:
    name = after.service_id
    if before.protocol != after.protocol:
        yield f"{name} protocol {before.protocol.value} -> {after.protocol.value}"
    if before.addresses != after.addresses:
        old, new = ", ".join(before.addresses), ", ".join(after.addresses)
        yield f"{name} addresses {old} -> {new}"
    old_specs = {spec.upstream_id: spec for spec in before.upstreams}
    new_specs = {spec.upstream_id: spec for spec in after.upstreams}
    for upstream in dict.fromkeys((*old_specs, *new_specs)):
        old, new = old_specs.get(upstream), new_specs.get(upstream)
        if old != new:
            yield f"{name} {upstream} {_spec_text(old)} -> {_spec_text(new)}"


def _spec_text(spec: UpstreamSpec | None) -> str:
    if spec is None:
        return "absent"
    return f"weight={spec.weight:g} slots={spec.slots} place={spec.zone}"


def _service(row: ServiceRow, partner_id: PartnerId) -> ServiceConfig:
    return ServiceConfig(
        service_id=ServiceId(f"{partner_id}/{row.name}"),
        partner_id=partner_id,
        protocol=Protocol(row.protocol),
        addresses=tuple(ServiceAddress(address) for address in row.addresses),
        upstreams=tuple(
            UpstreamSpec(
                upstream_id=UpstreamId(item.id),
                zone=AvailabilityZone(item.place),
                weight=item.weight,
                slots=item.slots,
            )
            for item in row.upstreams
        ),
    )


def _sheet_faults(sheet: Sheet, partner_id: PartnerId) -> Iterator[SheetFault]:
    if sheet.partner != partner_id:
        yield SheetFault("sheet", "partner", sheet.partner, repr(partner_id))
    yield from _duplicates(
        ((f"services[{i}]", row.name) for i, row in enumerate(sheet.services)),
        column="name",
    )
    addresses = (
        (f"services[{i}]", address)
        for i, row in enumerate(sheet.services)
        for address in row.addresses
    )
    yield from _duplicates(addresses, column="addresses")
    for index, row in enumerate(sheet.services):
        yield from _service_faults(f"services[{index}]", row)


def _service_faults(where: str, row: ServiceRow) -> Iterator[SheetFault]:
    if not _NAME.fullmatch(row.name):
        yield SheetFault(where, "name", row.name, "lower-case letters, digits, . _ -")
    kinds = [protocol.value for protocol in Protocol]
    if row.protocol not in kinds:
        yield SheetFault(where, "protocol", row.protocol, " or ".join(kinds))
    if not row.addresses:
        yield SheetFault(where, "addresses", "", "at least one ip:port")
    for address in itertools.filterfalse(is_address, row.addresses):
        yield SheetFault(where, "addresses", address, "ip:port")
    if not any(item.weight > 0 for item in row.upstreams):
        yield SheetFault(where, "upstreams", "", "at least one with a weight above 0")
    names = (
        (f"{where}.upstreams[{i}]", item.id) for i, item in enumerate(row.upstreams)
    )
    yield from _duplicates(names, column="id")
    for index, item in enumerate(row.upstreams):
        yield from _upstream_faults(f"{where}.upstreams[{index}]", item)


def _upstream_faults(where: str, row: UpstreamRow) -> Iterator[SheetFault]:
    if not _NAME.fullmatch(row.id):
        yield SheetFault(where, "id", row.id, "lower-case letters, digits, . _ -")
    if not _NAME.fullmatch(row.place):
        yield SheetFault(where, "place", row.place, "name of an availability zone")
    if not (math.isfinite(row.weight) and 0 <= row.weight <= MAX_WEIGHT):
        yield SheetFault(where, "weight", str(row.weight), f"0 to {MAX_WEIGHT:g}")
    if not 1 <= row.slots <= MAX_SLOTS:
        yield SheetFault(where, "slots", str(row.slots), f"1 to {MAX_SLOTS}")


def _duplicates(
    items: Iterable[tuple[str, str]], *, column: str
) -> Iterator[SheetFault]:
    seen: dict[str, str] = {}
    for where, value in items:
        if value in seen:
            yield SheetFault(where, column, value, f"not that of {seen[value]}")
        seen.setdefault(value, where)


def is_address(text: str) -> bool:
    """Returns whether a text is ``ip:port``, with IPv6 IPs in brackets."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        return port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        return False


def _table_faults(rows: list[dict[str, str]]) -> Iterator[SheetFault]:
    """Yields the errors that only a CSV sheet can have.

    These are missing cells, invalid numbers, and rows of one service with
    different protocols or addresses. Row 1 is the header.
    """
    first: dict[str, tuple[int, dict[str, str]]] = {}
    for number, row in enumerate(rows, start=2):
        where = f"row {number}"
        if None in row or None in row.values():
            yield SheetFault(where, "row", "", f"{len(CSV_COLUMNS)} cells")
            continue
        for column, read in (("weight", float), ("slots", int)):
            try:
                read(row[column])
            except ValueError:
                yield SheetFault(where, column, row[column], "a number")
        first_number, start = first.setdefault(row["service"], (number, row))
        for column in ("protocol", "addresses"):
            if row[column] != start[column]:
                expected = f"{start[column]!r} as in row {first_number}"
                yield SheetFault(where, column, row[column], expected)


_Groups = dict[str, list[tuple[int, dict[str, str]]]]
"""Rows of each service, with their row numbers in the table."""


def _group(rows: list[dict[str, str]]) -> _Groups:
    """_Groups rows by service.

    Incomplete rows are skipped; ``_table_faults`` reports them.
    """
    grouped: _Groups = {}
    for number, row in enumerate(rows, start=2):
        if None not in row and None not in row.values():
            grouped.setdefault(row["service"], []).append((number, row))
    return grouped


def _service_row(name: str, group: list[tuple[int, dict[str, str]]]) -> ServiceRow:
    """Returns the service that a group of rows describes.

    Invalid numbers are replaced by 1, so that the other errors of the sheet
    are found as well. ``_table_faults`` reports the invalid numbers.
    """
    first = group[0][1]
    return ServiceRow(
        name=name,
        protocol=first["protocol"],
        addresses=first["addresses"].split(";"),
        upstreams=[
            UpstreamRow(
                id=row["upstream"],
                place=row["place"],
                weight=_parse_or_one(row["weight"], float),
                slots=_parse_or_one(row["slots"], int),
            )
            for _, row in group
        ],
    )


def _parse_or_one(text: str, read: Callable[[str], Number]) -> Number:
    try:
        return read(text)
    except ValueError:
        return read("1")


def _line_numbers(grouped: _Groups) -> dict[str, str]:
    """Returns the table row for each path within the sheet."""
    lines = {}
    for index, group in enumerate(grouped.values()):
        lines[f"services[{index}]"] = f"row {group[0][0]}"
        for position, (number, _) in enumerate(group):
            lines[f"services[{index}].upstreams[{position}]"] = f"row {number}"
    return lines


_COLUMN_NAMES = {"name": "service", "id": "upstream", "upstreams": "weight"}
"""Table columns of the JSON fields that have another name."""


def _as_table_fault(fault: SheetFault, lines: dict[str, str]) -> SheetFault:
    """Replaces JSON paths in an error by the rows and columns of the table."""
    expected = re.sub(
        r"services\[\d+\](\.upstreams\[\d+\])?",
        lambda match: lines.get(match[0], match[0]),
        fault.expected,
    )
    return SheetFault(
        row=lines.get(fault.row, fault.row),
        column=_COLUMN_NAMES.get(fault.column, fault.column),
        value=fault.value,
        expected=expected,
    )
