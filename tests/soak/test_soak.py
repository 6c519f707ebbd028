"""A short part of the fault soak, and the seeds that once failed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

SOAK = Path(__file__).parent / "soak.py"
SECONDS = 6.0
SEEDS = [1, 2]
FAILED_BEFORE: dict[int, str] = {}
"""Seeds that failed once, and what the cause was."""


@pytest.mark.parametrize("seed", [*SEEDS, *FAILED_BEFORE])
def test_promises_hold_under_faults_from_outside(seed):
    command = [sys.executable, str(SOAK), "--seed", str(seed)]
    done = subprocess.run(
        [*command, "--seconds", str(SECONDS)],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr
