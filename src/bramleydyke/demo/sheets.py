"""Applies sheets in the demo, as an operator would."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

import msgspec
from twisted.internet.defer import Deferred

from bramleydyke.adapters.platform_client import PlatformClient
from bramleydyke.core.config import PartnerConfig, ServiceConfig, next_config
from bramleydyke.messages import PlatformReply, PlatformWrite
from bramleydyke.ports import Clock
from bramleydyke.types import Generation, PartnerId, PlatformStatus


class SheetWriter:
    """Writes one partner's sheet and measures when it is in force.

    Attributes:
        config: The configuration that was accepted last.
        version: Version of the stored sheet object.
        in_force: Returns whether every node has applied a generation.
        in_force_s: Seconds from each accepted write until every node had it.
        pending: Number of writes that are not yet in force.
    """

    def __init__(
        self,
        *,
        partner_id: PartnerId,
        client: PlatformClient,
        clock: Clock,
        in_force: Callable[[PartnerId, Generation], bool],
    ) -> None:
        self.partner_id = partner_id
        self.client = client
        self.clock = clock
        self.in_force = in_force
        self.config = PartnerConfig(partner_id)
        self.version = 0
        self.in_force_s: list[float] = []
        self.pending = 0
        self._calls = itertools.count(1)

    def write(self, services: Iterable[ServiceConfig]) -> Deferred[None]:
        """Writes the next generation; the result fires once it is accepted.

        It fails with ``RuntimeError`` if the platform refuses the write.
        """
        call = next(self._calls)
        config = next_config(self.config, services, change_id=f"demo-{call}")
        message = PlatformWrite(
            call=call,
            path=f"sheets/{self.partner_id}",
            value=msgspec.json.encode(config),
            expected=self.version,
        )
        self.pending += 1
        return self.client.call(message).addCallback(
            lambda reply: self._handle_reply(reply, config)
        )

    def _handle_reply(self, reply: PlatformReply, config: PartnerConfig) -> None:
        if reply.status is not PlatformStatus.OK:
            raise RuntimeError(f"sheet {self.partner_id}: {reply.status.value}")
        self.config = config
        self.version = reply.version
        self._wait_in_force(config.generation, self.clock.seconds())

    def _wait_in_force(self, generation: Generation, accepted_at: float) -> None:
        if self.in_force(self.partner_id, generation):
            self.in_force_s.append(self.clock.seconds() - accepted_at)
            self.pending -= 1
        else:
            self.clock.callLater(0.01, self._wait_in_force, generation, accepted_at)
