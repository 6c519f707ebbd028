"""Starts a balancer or an agent from the compiled copy of the sources.

Processes cannot write bytecode into the source tree, so without the copy each
start would compile all modules again. The bundle makes the imports faster.
"""

from __future__ import annotations

import os
import sys

TARGET = os.path.join(os.path.dirname(os.path.dirname(__file__)), "target")
sys.path.insert(0, os.path.join(TARGET, "app"))

from bramleydyke.adapters.module_bundle import install_bundle  # noqa: E402

install_bundle(os.path.join(TARGET, "modules.bundle"))

import bramleydyke.platform.__main__  # noqa: E402, F401
