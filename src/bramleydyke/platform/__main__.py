"""Starts a program; its sockets are opened before its modules are loaded."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from bramleydyke.adapters.early_sockets import bind_early

SETTINGS_VARIABLE = "BRAMLEYDYKE_SETTINGS"

settings = Path(os.environ.get(SETTINGS_VARIABLE, ""))
early = bind_early(settings)

from bramleydyke.platform.main import main  # noqa: E402

sys.exit(main(settings, early))
