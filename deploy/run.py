"""Starts a balancer or an agent from the compiled copy of the sources.

Processes cannot write bytecode into the source tree, so without the copy each
start would compile all modules again.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

import bramleydyke.platform.__main__  # noqa: E402, F401
