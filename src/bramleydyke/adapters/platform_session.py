"""Platform calls of a command, which waits for each reply."""

from __future__ import annotations

import random
import time
from collections.abc import Generator
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.adapters.platform_client import PlatformClient
from bramleydyke.core.platform_calls import FAILED
from bramleydyke.core.retry import backoff
from bramleydyke.messages import PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.settings import PlatformAccess

PAUSE_BASE_S = 0.2
PAUSE_CAP_S = 2.0
"""Limit of the pause after a failed call, so that an outage is not polled."""

Result = TypeVar("Result")
PlatformCall = PlatformRead | PlatformWrite


class PlatformSession:
    """Makes one call after another.

    It turns the reactor itself, since a reactor that has run cannot be started
    again, and one command may make calls before and after a question.
    """

    def __init__(self, access: PlatformAccess) -> None:
        from twisted.internet import reactor

        self.reactor: Any = reactor
        if not self.reactor.running:
            # Signals keep Python's handlers, so that Ctrl-C ends the command.
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
        """Makes a call and returns its reply."""
        replies: list[PlatformReply] = []
        call: Deferred[PlatformReply] = self.client.call(message)
        call.addCallback(replies.append)
        while not replies:
            self.reactor.iterate(0.05)
        return replies[0]

    def run(self, steps: Generator[PlatformCall, PlatformReply, Result]) -> Result:
        """Makes the calls of a procedure and returns its result."""
        failures = 0
        reply: PlatformReply | None = None
        while True:
            try:
                call = next(steps) if reply is None else steps.send(reply)
            except StopIteration as end:
                return end.value
            if reply is not None and reply.status in FAILED:
                self.pause(failures)
                failures += 1
            reply = self.call(call)

    def pause(self, failures: int) -> None:
        """Waits before the next call after some failed ones."""
        delay = backoff(
            failures,
            random_source=self.random_source,
            base=PAUSE_BASE_S,
            cap=PAUSE_CAP_S,
        )
        time.sleep(delay)
