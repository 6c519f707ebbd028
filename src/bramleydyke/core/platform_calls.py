"""Asynchronous calls of one balancer to the platform's object API."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bramleydyke.constants import (
    PLATFORM_TIMEOUT_S,
    STORE_BACKOFF_BASE_S,
    STORE_BACKOFF_CAP_S,
)
from bramleydyke.core.counting import count
from bramleydyke.core.retry import backoff
from bramleydyke.core.timers import Timers
from bramleydyke.messages import (
    Envelope,
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from bramleydyke.types import LOCAL_PLATFORM, NodeId, PlatformStatus

ReplyHandler = Callable[[PlatformReply, float], list[Envelope]]
"""Called with a reply and the time; returns the messages to send."""

REPLY_GRACE_S = 2.0
"""Time after a call's timeout at which its reply counts as lost."""

FAILED_STATUSES = frozenset(
    {PlatformStatus.UNAVAILABLE, PlatformStatus.LOST, PlatformStatus.FORBIDDEN}
)
"""Statuses of replies that say nothing about the object."""


def store_backoff(attempt: int, *, random_source: random.Random) -> float:
    """Returns the delay after a failed call, in seconds.

    The jitter spreads the calls of all processes after an outage. The minimum,
    half of the base delay, keeps a process from calling in a tight loop.
    """
    return STORE_BACKOFF_BASE_S / 2 + backoff(
        attempt,
        random_source=random_source,
        base=STORE_BACKOFF_BASE_S,
        cap=STORE_BACKOFF_CAP_S,
    )


@dataclass(slots=True, kw_only=True)
class PlatformCalls:
    """Matches replies to calls; ends calls without a reply as lost.

    Attributes:
        node_id: This balancer.
        pending: Handler of each call in flight, by call number.
        timers: When each call in flight ends as lost, in seconds.
    """

    node_id: NodeId
    pending: dict[int, ReplyHandler] = field(default_factory=dict)
    timers: Timers[int] = field(default_factory=Timers)
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def read(
        self,
        path: str,
        handler: ReplyHandler,
        *,
        now: float,
        after: int | None = None,
        timeout: float = PLATFORM_TIMEOUT_S,
    ) -> list[Envelope]:
        """Returns messages that read an object and count the call.

        With ``after``, the platform replies once the object's version is
        higher, or after ``timeout`` seconds.
        """
        call = self._start(handler, timeout=timeout, now=now)
        read = PlatformRead(call=call, path=path, after=after, timeout=timeout)
        name = "platform.read" if after is None else "platform.watch"
        return [
            Envelope(self.node_id, LOCAL_PLATFORM, read),
            count(self.node_id, name),
        ]

    def write(
        self,
        path: str,
        value: bytes,
        handler: ReplyHandler,
        *,
        expected: int,
        now: float,
    ) -> list[Envelope]:
        """Returns messages that write an object and count the call.

        The write takes effect only if the object has version ``expected``.
        """
        call = self._start(handler, timeout=PLATFORM_TIMEOUT_S, now=now)
        write = PlatformWrite(
            call=call,
            path=path,
            value=value,
            expected=expected,
            timeout=PLATFORM_TIMEOUT_S,
        )
        return [
            Envelope(self.node_id, LOCAL_PLATFORM, write),
            count(self.node_id, "platform.write"),
        ]

    def replied(self, reply: PlatformReply, *, now: float) -> list[Envelope]:
        """Passes a reply to its handler; drops late and duplicate ones."""
        handler = self.pending.pop(reply.call, None)
        self.timers.cancel(reply.call)
        return [] if handler is None else handler(reply, now)

    def wake(self, *, now: float) -> list[Envelope]:
        """Ends the calls that got no reply in time with status ``LOST``."""
        return [
            envelope
            for call in self.timers.pop_due(now)
            for envelope in self.replied(
                PlatformReply(call=call, status=PlatformStatus.LOST), now=now
            )
        ]

    def next_wakeup(self) -> float | None:
        """Returns the time of the next timeout; None if no call is open."""
        return self.timers.next()

    def _start(self, handler: ReplyHandler, *, timeout: float, now: float) -> int:
        call = next(self._numbers)
        self.pending[call] = handler
        self.timers.set(call, now + timeout + REPLY_GRACE_S)
        return call
