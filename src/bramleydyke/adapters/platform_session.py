"""Blocking platform calls for the commands of the command line."""

from __future__ import annotations

import random
import time
from collections.abc import Generator
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.adapters.platform_client import PlatformClient
from bramleydyke.core.platform_calls import FAILED_STATUSES
from bramleydyke.core.retry import backoff
from bramleydyke.messages import PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.settings import PlatformAccess

PAUSE_BASE_S = 0.2
"""Maximum delay after a failed call; doubles with each further failure."""

PAUSE_CAP_S = 2.0
"""Upper limit of the maximum delay, however many calls have failed.

The delays limit the load on the platform during an outage.
"""

Result = TypeVar("Result")
PlatformCall = PlatformRead | PlatformWrite


class PlatformSession:
    """Makes platform calls one after another and waits for each reply.

    It iterates the reactor itself instead of running it. A reactor cannot be
    restarted after it has run, and a command may make calls both before and
    after it asks the user for confirmation.
    """

    def __init__(self, access: PlatformAccess) -> None:
        from twisted.internet import reactor

        self.reactor: Any = reactor
        if not self.reactor.running:
            # Twisted must not replace Python's signal handlers, so that Ctrl-C
            # ends the command.
            self.reactor.startRunning(installSignalHandlers=False)
        self.client = PlatformClient(
            reactor=self.reactor,
            clock=MonotonicClock(self.reactor),
            base_url=access.url,
            credential=access.credential,
            deliver=lambda *_: None,
        )
        self.random_source = random.Random()

    def call(self, message: PlatformCall) -> PlatformReply:
        """Makes a call and waits for its reply; the status reports errors."""
        replies: list[PlatformReply] = []
        call: Deferred[PlatformReply] = self.client.call(message)
        call.addCallback(replies.append)
        while not replies:
            self.reactor.iterate(0.05)
        return replies[0]

    def run(self, steps: Generator[PlatformCall, PlatformReply, Result]) -> Result:
        """Runs a procedure of several calls and returns its result.

        Waits a random time after each failed call, with exponential backoff.

        Args:
            steps: Generator that yields calls and is sent their replies.
        """
        failures = 0
        reply: PlatformReply | None = None
        while True:
            try:
                call = next(steps) if reply is None else steps.send(reply)
            except StopIteration as end:
                return end.value
            if reply is not None and reply.status in FAILED_STATUSES:
                self.pause(failures)
                failures += 1
            reply = self.call(call)

    def pause(self, failures: int) -> None:
        """Sleeps before the next call.

        Args:
            failures: Number of failed calls before this one.
        """
        delay = backoff(
            failures,
            random_source=self.random_source,
            base=PAUSE_BASE_S,
            cap=PAUSE_CAP_S,
        )
        time.sleep(delay)
