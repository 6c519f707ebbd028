"""Tests of the bundle from which a process loads its modules.

Without it, a process that starts during an outage makes some 6,000 system
calls before it forwards the first packet.
"""

from __future__ import annotations

import importlib
import subprocess
import sys
from pathlib import Path

import pytest

from bramleydyke.adapters import module_bundle
from bramleydyke.adapters.bundle_writer import write_bundle
from bramleydyke.adapters.module_bundle import ModuleBundle, install_bundle

SOURCE = Path(module_bundle.__file__).parents[2]

SOURCES = {
    "bundled_package/__init__.py": '"""A package."""\nfrom . import part\n',
    "bundled_package/part.py": (
        '"""A module."""\n'
        "class Kept:\n"
        '    """A class."""\n'
        "    def call(self):\n"
        '        """A method."""\n'
        "        assert self\n"
        "        return 7\n"
        "    def empty(self):\n"
        '        """A method without statements."""\n'
    ),
}


@pytest.fixture
def bundle(tmp_path, monkeypatch):
    """Bundle of a package whose sources are removed after the build."""
    for name, text in SOURCES.items():
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    monkeypatch.syspath_prepend(tmp_path)
    importlib.import_module("bundled_package")
    names = ("bundled_package", "bundled_package.part", "itertools")
    path = tmp_path / "modules.bundle"
    assert write_bundle(path, [sys.modules[name] for name in names]) == 2
    monkeypatch.setattr(sys, "meta_path", list(sys.meta_path))
    for name in SOURCES:
        (tmp_path / name).unlink()
    for name in names[:2]:
        del sys.modules[name]
    yield path
    for name in names[:2]:
        sys.modules.pop(name, None)


def test_modules_are_loaded_from_the_bundle(bundle):
    assert install_bundle(str(bundle))
    part = importlib.import_module("bundled_package.part")
    assert isinstance(part.__loader__, ModuleBundle)
    assert part.__file__ == str(bundle.parent / "bundled_package" / "part.py")
    assert part.Kept().call() == 7
    assert part.Kept().empty() is None
    package = sys.modules["bundled_package"]
    assert package.__path__ == [str(bundle.parent / "bundled_package")]


def test_only_functions_lose_their_docstrings(bundle):
    install_bundle(str(bundle))
    part = importlib.import_module("bundled_package.part")
    assert (part.__doc__, part.Kept.__doc__) == ("A module.", "A class.")
    assert part.Kept.call.__doc__ is None


def test_a_bundle_may_move_with_its_directory(bundle, tmp_path):
    moved = tmp_path / "elsewhere"
    moved.mkdir()
    install_bundle(str(bundle.rename(moved / bundle.name)))
    part = importlib.import_module("bundled_package.part")
    assert part.__file__ == str(moved / "bundled_package" / "part.py")


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"not a bundle",
        (1 << 40).to_bytes(8, "big"),
        (5).to_bytes(8, "big") + b"\xe9\x00\x00\x00\x00",
    ],
)
def test_an_unusable_bundle_is_ignored(tmp_path, content, monkeypatch):
    monkeypatch.setattr(sys, "meta_path", list(sys.meta_path))
    path = tmp_path / "modules.bundle"
    path.write_bytes(content)
    assert not install_bundle(str(path))
    assert not any(isinstance(finder, ModuleBundle) for finder in sys.meta_path)


def test_a_missing_bundle_is_ignored(tmp_path):
    assert not install_bundle(str(tmp_path / "none"))


def test_a_bundle_of_another_interpreter_is_ignored(bundle, monkeypatch):
    monkeypatch.setattr(module_bundle, "INTERPRETER", "cpython-299")
    assert not install_bundle(str(bundle))


def test_the_program_is_loaded_from_the_bundle(tmp_path):
    build = (
        "import sys; from pathlib import Path\n"
        "import twisted.internet.reactor, bramleydyke.platform.main\n"
        "import bramleydyke.platform.agent, bramleydyke.platform.balancer\n"
        "from bramleydyke.adapters.bundle_writer import write_bundle\n"
        "write_bundle(Path(sys.argv[1]), list(sys.modules.values()))\n"
    )
    start = (
        "import sys\n"
        "from bramleydyke.adapters.module_bundle import ModuleBundle, install_bundle\n"
        "known = set(sys.modules)\n"
        "assert install_bundle(sys.argv[1])\n"
        "import bramleydyke.platform.main, twisted.internet.reactor\n"
        "import bramleydyke.platform.agent, bramleydyke.platform.balancer\n"
        "loaded = [m for n, m in list(sys.modules.items()) if n not in known]\n"
        "files = [m.__name__ for m in loaded if getattr(m, '__spec__', None)\n"
        "         and str(m.__spec__.origin).endswith('.py')\n"
        "         and not isinstance(m.__spec__.loader, ModuleBundle)]\n"
        "assert len(loaded) > 200, len(loaded)\n"
        "assert not files, files\n"
    )
    path = tmp_path / "modules.bundle"
    for program in (build, start):
        subprocess.run(
            [sys.executable, "-c", program, str(path)],
            check=True,
            env={"PYTHONPATH": str(SOURCE)},
            timeout=60,
        )
