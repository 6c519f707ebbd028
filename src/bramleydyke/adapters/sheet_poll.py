"""Reads the sheet objects for one node, until the watcher does it.

Temporary: ``core/watcher.py`` and the dissemination among balancers replace
this adapter. Only the daemons use it; nothing else depends on it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from bramleydyke.adapters.platform_client import PlatformClient
from bramleydyke.core.config import ConfigDelta, PartnerConfig, full_delta
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import PlatformRead, PlatformReply
from bramleydyke.ports import Clock, Counter
from bramleydyke.types import PartnerId, PlatformStatus

WAIT_S = 10.0
"""Longest wait of one watch call."""

PAUSE_S = 0.5
"""Pause after a call that failed."""


class SheetPoll:
    """Watches one partner's sheet.

    Attributes:
        version: Version of the object that was read last.
    """

    def __init__(
        self,
        *,
        partner_id: PartnerId,
        client: PlatformClient,
        clock: Clock,
        apply: Callable[[ConfigDelta], None],
        count: Counter,
    ) -> None:
        self.partner_id = partner_id
        self.client = client
        self.clock = clock
        self.apply = apply
        self.count = count
        self.version = 0
        self.stopped = False

    def start(self) -> None:
        """Starts to watch."""
        if self.stopped:
            return
        read = PlatformRead(
            call=0, path=f"sheets/{self.partner_id}", after=self.version, timeout=WAIT_S
        )
        self.client.call(read).addCallback(self._replied)

    def stop(self) -> None:
        """Makes no more calls."""
        self.stopped = True

    def _replied(self, reply: PlatformReply) -> None:
        if self.stopped:
            return
        if reply.status is not PlatformStatus.OK:
            self.count(counter_name(ErrorKind.STORE_UNAVAILABLE))
            self.clock.callLater(PAUSE_S, self.start)
            return
        if reply.value is not None and reply.version > self.version:
            self.version = reply.version
            self._apply(reply.value)
        self.clock.callLater(0, self.start)

    def _apply(self, value: bytes) -> None:
        try:
            config = msgspec.json.decode(value, type=PartnerConfig)
        except msgspec.DecodeError:
            self.count(counter_name(ErrorKind.BAD_SHEET))
            return
        if config.partner_id != self.partner_id:
            self.count(counter_name(ErrorKind.WRONG_PARTNER))
            return
        self.apply(full_delta(config))
