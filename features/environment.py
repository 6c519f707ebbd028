"""Behave hooks; makes the modules of tests/history importable."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests" / "history"))


def before_feature(context, feature):
    # Pairs of step and fault, collected over all scenarios of a feature.
    context.effective_pairs = set()
