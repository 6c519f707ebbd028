"""Writes the bundles that ``module_bundle`` loads, when a program is built."""

from __future__ import annotations

import ast
import marshal
import os
from collections.abc import Iterable
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType

from bramleydyke.adapters.module_bundle import INTERPRETER, LENGTH_BYTES


def write_bundle(path: Path, modules: Iterable[ModuleType]) -> int:
    """Writes the source modules among imported modules to a bundle.

    Args:
        path: File to write.
        modules: Imported modules; all but source modules are left out.

    Returns:
        Number of modules in the bundle.
    """
    specs = [getattr(module, "__spec__", None) for module in modules]
    sources = {
        spec.name: spec
        for spec in specs
        if spec is not None and isinstance(spec.loader, SourceFileLoader)
    }
    entries: dict[str, tuple[str, bool, int, int]] = {}
    contents: list[bytes] = []
    offset = 0
    for name, spec in sources.items():
        source = Path(spec.origin or "")
        content = marshal.dumps(compile_module(source))
        is_package = spec.submodule_search_locations is not None
        is_below = source.is_relative_to(path.parent)
        filename = os.path.relpath(source, path.parent) if is_below else str(source)
        entries[name] = (filename, is_package, offset, len(content))
        contents.append(content)
        offset += len(content)
    index = marshal.dumps((INTERPRETER, entries))
    head = len(index).to_bytes(LENGTH_BYTES, "big")
    path.write_bytes(b"".join([head, index, *contents]))
    return len(entries)


def compile_module(source: Path) -> CodeType:
    """Compiles a source file without the docstrings of its functions.

    Classes keep theirs: ``dataclass`` builds a docstring for each class that
    has none, which takes longer than loading one.
    """
    tree = ast.parse(source.read_bytes(), filename=str(source))
    functions = (
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )
    for function in functions:
        if ast.get_docstring(function, clean=False) is not None:
            function.body[0] = ast.copy_location(ast.Pass(), function.body[0])
    return compile(tree, str(source), "exec", dont_inherit=True)
