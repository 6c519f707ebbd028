"""Starts a balancer or an agent on the users' platform.

The sockets are opened before the other modules are imported, so that packets
which arrive during the import wait in the sockets' buffers.
"""

from __future__ import annotations

import gc
import os
import sys

# Collections during the imports find no garbage. The main loop turns them on.
gc.disable()

from pathlib import Path  # noqa: E402

from bramleydyke.adapters.early_sockets import bind_early  # noqa: E402

SETTINGS_VARIABLE = "BRAMLEYDYKE_SETTINGS"
"""Environment variable that holds the path of the settings file."""

settings_path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
early_sockets = bind_early(settings_path)

from bramleydyke.platform.main import main  # noqa: E402

sys.exit(main(settings_path, early_sockets))
