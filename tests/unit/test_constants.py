"""Checks on the modules that define constants."""

from __future__ import annotations

import ast
from collections import Counter
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "bramleydyke"


def names_defined_twice(path: Path) -> list[str]:
    statements = ast.parse(path.read_text()).body
    names = Counter(
        target.id
        for statement in statements
        if isinstance(statement, ast.Assign)
        for target in statement.targets
        if isinstance(target, ast.Name)
    )
    return [name for name, times in names.items() if times > 1]


def test_no_module_defines_a_constant_twice() -> None:
    """Guards against a second definition that replaces the first one."""
    found = {path: names_defined_twice(path) for path in SOURCE.rglob("*.py")}
    assert {path: names for path, names in found.items() if names} == {}
