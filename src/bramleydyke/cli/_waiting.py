"""Waits until the status objects in the platform's store meet a condition."""

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
"""Maximum time in seconds of one watch; without a change it is repeated."""


def wait_for_report(
    session: PlatformSession,
    partner_id: PartnerId,
    timeout_s: float,
    *,
    until: Callable[[SheetReport], bool],
) -> SheetReport | ErrorKind:
    """Reads a partner's status after each change until a report matches.

    Args:
        session: Blocking client of the platform's object API.
        partner_id: The partner whose sheet is reported.
        timeout_s: Longest wait in seconds; 0 reads once.
        until: Returns whether a report ends the wait.

    Returns:
        The first report that matches, or after the timeout the last report or
        the error of the last read.
    """
    deadline = time.monotonic() + timeout_s
    failures = 0
    while True:
        # Read the version before the objects, so that the watch below returns
        # at once if one of them changes after it was read.
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
