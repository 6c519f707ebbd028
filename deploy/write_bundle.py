"""Writes the bundle of all modules that a balancer or an agent imports."""

from __future__ import annotations

import sys
from pathlib import Path

TARGET = Path(__file__).resolve().parent.parent / "target"
sys.path[:0] = [str(TARGET / "app"), str(TARGET / "deps")]

import twisted.internet.reactor  # noqa: E402, F401

import bramleydyke.platform.agent  # noqa: E402
import bramleydyke.platform.balancer  # noqa: E402
import bramleydyke.platform.main  # noqa: E402, F401
from bramleydyke.adapters.bundle_writer import write_bundle  # noqa: E402

write_bundle(TARGET / "modules.bundle", list(sys.modules.values()))
