"""Makes the fakes of the history tests importable from the steps."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests" / "history"))


def before_feature(context, feature):
    context.exercised = set()
