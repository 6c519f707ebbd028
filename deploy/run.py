"""Starts a program of the system from the source tree."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from bramleydyke.platform.main import main  # noqa: E402

sys.exit(main())
