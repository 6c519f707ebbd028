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

MAX_WATCH_S = 10.0
"""Longest wait of one watch of the status objects."""


def wait_for_report(
    session: PlatformSession,
    partner_id: PartnerId,
    timeout_s: float,
    *,
    until: Callable[[SheetReport], bool],
) -> SheetReport | ErrorKind:
    """Reads the status again after each change until the time is over.

    Args:
        session: The platform.
        partner_id: The operator's partner.
        timeout_s: Seconds; 0 reads once.
        until: Tells whether a report ends the wait.
    """
    deadline = time.monotonic() + timeout_s
    failures = 0
    while True:
        # Read before the objects: a change after it ends the watch below.
        version = session.call(PlatformRead(call=0, path=STATUS_PREFIX)).version
        result = session.run(read_status(partner_id))
        time_left = deadline - time.monotonic()
        if time_left <= 0 or isinstance(result, SheetReport) and until(result):
            return result
        if isinstance(result, ErrorKind):
            session.pause(failures)
            failures += 1
            continue
        watch_timeout = min(time_left, MAX_WATCH_S)
        session.call(
            PlatformRead(
                call=0, path=STATUS_PREFIX, after=version, timeout=watch_timeout
            )
        )
