"""Loads the modules of a program from one file.

Importing a module from its own file takes about twenty system calls, and a
process imports 300 modules before it forwards the first packet. A bundle holds
the code of all of them, so that each costs one read.

Modules that are not in the bundle, such as extension modules, are imported
from their files as usual. This module itself imports only what the interpreter
has loaded at its start.
"""

from __future__ import annotations

import marshal
import os
import sys
from importlib.machinery import ModuleSpec

TYPE_CHECKING = False
if TYPE_CHECKING:
    from types import CodeType, ModuleType
    from typing import Any

INTERPRETER = f"{sys.implementation.cache_tag}-{sys.hexversion:x}"
"""Identifies the interpreter; another version cannot load the same code."""

LENGTH_BYTES = 8
"""Size of the number at the start of a bundle: the length of its index."""


class BundledModule:
    """Position of a module's code in a bundle.

    Attributes:
        filename: Source file; relative to the bundle's directory if it is
            below that directory.
        is_package: True if the module is a package.
        offset: Start of the code, in bytes after the index.
        size: Length of the code, in bytes.
    """

    __slots__ = ("filename", "is_package", "offset", "size")

    def __init__(self, filename: str, is_package: bool, offset: int, size: int) -> None:
        self.filename = filename
        self.is_package = is_package
        self.offset = offset
        self.size = size


class ModuleBundle:
    """Import finder and loader for the modules in one file.

    Attributes:
        directory: Directory of the bundle.
        descriptor: The open file.
        modules: Position of each module's code, by module name.
        code_start: Position of the first module's code, in bytes.
    """

    def __init__(self, path: str) -> None:
        """Opens a bundle and reads its index.

        Raises:
            OSError: The file cannot be read.
            ValueError: The file is not a bundle for this interpreter.
        """
        self.directory = os.path.dirname(path)
        self.descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            length = int.from_bytes(os.read(self.descriptor, LENGTH_BYTES), "big")
            if length > os.fstat(self.descriptor).st_size:
                raise ValueError("the index is longer than the file")
            index = os.pread(self.descriptor, length, LENGTH_BYTES)
            interpreter, entries = marshal.loads(index)
            if interpreter != INTERPRETER:
                raise ValueError(f"{path} is a bundle for {interpreter}")
        except (EOFError, TypeError, ValueError, OverflowError) as error:
            os.close(self.descriptor)
            raise ValueError(f"{path} is not a bundle for {INTERPRETER}") from error
        self.code_start = LENGTH_BYTES + length
        self.modules = {name: BundledModule(*entry) for name, entry in entries.items()}

    def find_spec(
        self, name: str, path: Any = None, target: Any = None
    ) -> ModuleSpec | None:
        """Returns the import spec of a bundled module, None for others."""
        module = self.modules.get(name)
        if module is None:
            return None
        filename = os.path.join(self.directory, module.filename)
        spec = ModuleSpec(name, self, origin=filename, is_package=module.is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if module.is_package:
            spec.submodule_search_locations = [os.path.dirname(filename)]
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Returns None: the import system creates the module."""
        return None

    def exec_module(self, module: ModuleType) -> None:
        """Executes the code of a module."""
        exec(self.get_code(module.__name__), module.__dict__)

    def get_code(self, name: str) -> CodeType:
        """Returns the code of a bundled module."""
        module = self.modules[name]
        offset = self.code_start + module.offset
        code: CodeType = marshal.loads(os.pread(self.descriptor, module.size, offset))
        return code


def install_bundle(path: str) -> bool:
    """Makes imports look in a bundle before all other places.

    Returns:
        False if there is no bundle for this interpreter. All modules are then
        imported from their files.
    """
    try:
        bundle = ModuleBundle(path)
    except (OSError, ValueError):
        return False
    sys.meta_path.insert(0, bundle)  # type: ignore[arg-type]
    return True
