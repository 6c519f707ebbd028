"""Waits until the zones' status says what a command wants."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from bramleydyke.core.sheet_status import STATUS_PREFIX, SheetReport, read_status
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import PlatformRead
from bramleydyke.types import PartnerId

if TYPE_CHECKING:
    from bramleydyke.adapters.platform_session import PlatformSession

WATCH_S = 10.0
"""Longest wait of one watch of the status objects."""


def wait_for(
    session: PlatformSession,
    partner_id: PartnerId,
    wait: float,
    *,
    holds: Callable[[SheetReport], bool],
) -> SheetReport | ErrorKind:
    """Reads the status again after each change until the time is over.

    Args:
        session: The platform.
        partner_id: The operator's partner.
        wait: Seconds; 0 reads once.
        holds: Tells whether a report ends the wait.
    """
    ends_at = time.monotonic() + wait
    failures = 0
    while True:
        # Read before the objects: a change after it ends the watch below.
        version = session.call(PlatformRead(call=0, path=STATUS_PREFIX)).version
        found = session.run(read_status(partner_id))
        left = ends_at - time.monotonic()
        if left <= 0 or isinstance(found, SheetReport) and holds(found):
            return found
        if isinstance(found, ErrorKind):
            session.pause(failures)
            failures += 1
            continue
        timeout = min(left, WATCH_S)
        session.call(
            PlatformRead(call=0, path=STATUS_PREFIX, after=version, timeout=timeout)
        )
