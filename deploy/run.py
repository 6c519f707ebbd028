"""Starts a program of the system from the compiled copy of its sources.

Processes cannot write into the source tree, so without the copy each start
would compile all modules again.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

import bramleydyke.platform.__main__  # noqa: E402, F401
