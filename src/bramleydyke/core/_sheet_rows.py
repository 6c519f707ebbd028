"""Schema of a JSON sheet, and validation that reports all errors."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, get_type_hints

import msgspec


@dataclass(frozen=True, slots=True)
class SheetFault:
    """A value of a sheet that is missing or invalid."""

    row: str
    """Row of a CSV sheet as ``row N``, or path within a JSON sheet."""

    column: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.row}: {self.column}: {self.value!r}, expected {self.expected}"


class UpstreamRow(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """An upstream in a JSON sheet; ``place`` is its availability zone."""

    id: str
    place: str
    weight: float = 1.0
    slots: int = 1


class ServiceRow(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A service in a JSON sheet, with its addresses as ``ip:port``."""

    name: str
    protocol: str
    addresses: list[str]
    upstreams: list[UpstreamRow]


class Sheet(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Top level of a JSON sheet: a partner and all of its services."""

    partner: str
    services: list[ServiceRow]


_ROWS: dict[str, type[msgspec.Struct]] = {
    "services": ServiceRow,
    "upstreams": UpstreamRow,
}
"""Fields that hold lists of other structs."""

_EXPECTED: dict[Any, str] = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    list[str]: "a list of strings",
}


def shape_faults(
    content: Any, kind: type[msgspec.Struct], where: str
) -> Iterator[SheetFault]:
    """Yields all missing, unknown and mistyped fields.

    msgspec's decoder stops at the first error, so an operator would need one
    run for each error.

    Args:
        content: Decoded JSON to validate.
        kind: Struct type that the content should match.
        where: Path of the content within the sheet.
    """
    if not isinstance(content, dict):
        yield SheetFault(where, "row", _excerpt(content), "an object")
        return
    types = get_type_hints(kind)
    for name in content.keys() - types.keys():
        yield SheetFault(where, name, _excerpt(content[name]), "a known field")
    for item in msgspec.structs.fields(kind):
        if item.name not in content:
            if item.required:
                yield SheetFault(where, item.name, "", "a value")
        elif item.name in _ROWS:
            yield from _row_faults(content[item.name], item.name, where)
        else:
            yield from _value_faults(content[item.name], item, where)


def _row_faults(rows: Any, name: str, where: str) -> Iterator[SheetFault]:
    if not isinstance(rows, list):
        yield SheetFault(where, name, _excerpt(rows), "a list")
        return
    path = name if where == "sheet" else f"{where}.{name}"
    for index, row in enumerate(rows):
        yield from shape_faults(row, _ROWS[name], f"{path}[{index}]")


def _value_faults(
    value: Any, item: msgspec.structs.FieldInfo, where: str
) -> Iterator[SheetFault]:
    try:
        msgspec.convert(value, type=item.type)
    except msgspec.ValidationError:
        yield SheetFault(where, item.name, _excerpt(value), _EXPECTED[item.type])


def _excerpt(value: Any) -> str:
    return msgspec.json.encode(value).decode()[:120]
