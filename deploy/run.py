"""Starts a program of the system from the compiled copy of its sources.

Processes cannot write into the source tree, so without the copy each start
would compile all modules again. The sockets are opened before the other
modules are loaded, so that packets of that time are not lost.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

from bramleydyke.adapters.early_sockets import bind_early  # noqa: E402

settings = Path(os.environ.get("BRAMLEYDYKE_SETTINGS", ""))
early = bind_early(settings)

from bramleydyke.platform.main import main  # noqa: E402

sys.exit(main(settings, early))
