"""Reading of sheets, with a scripted platform and a paused clock."""

from __future__ import annotations

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bramleydyke.adapters.metrics import Metrics
from bramleydyke.adapters.sheet_poll import PAUSE_S, SheetPoll
from bramleydyke.core.config import ConfigDelta, PartnerConfig
from bramleydyke.messages import PlatformRead, PlatformReply
from bramleydyke.types import Generation, PartnerId, PlatformStatus

PARTNER = PartnerId("federation")


class Client:
    """Keeps each call until the test replies to it."""

    def __init__(self) -> None:
        self.calls: list[tuple[PlatformRead, Deferred[PlatformReply]]] = []

    def call(self, message: PlatformRead) -> Deferred[PlatformReply]:
        reply: Deferred[PlatformReply] = Deferred()
        self.calls.append((message, reply))
        return reply

    def reply(self, status: PlatformStatus, **fields: object) -> None:
        message, reply = self.calls.pop()
        reply.callback(PlatformReply(call=message.call, status=status, **fields))


def new_poll() -> tuple[Client, Clock, Metrics, list[ConfigDelta]]:
    client, clock, metrics = Client(), Clock(), Metrics()
    applied: list[ConfigDelta] = []
    SheetPoll(
        partner_id=PARTNER,
        client=client,
        clock=clock,
        apply=applied.append,
        count=metrics.count,
    ).start()
    return client, clock, metrics, applied


def sheet(partner: str, generation: int) -> bytes:
    config = PartnerConfig(PartnerId(partner), Generation(generation))
    return msgspec.json.encode(config)


def test_each_new_version_is_applied_once() -> None:
    """Guards against a sheet that is missed, or a watch that never waits."""
    client, clock, _, applied = new_poll()
    value = sheet(PARTNER, 1)
    client.reply(PlatformStatus.OK, version=3, value=value)
    clock.advance(0)
    assert client.calls[0][0].after == 3
    client.reply(PlatformStatus.OK, version=3)
    clock.advance(0)
    assert [delta.generation for delta in applied] == [1]
    assert len(client.calls) == 1


def test_failed_call_is_repeated_after_a_pause() -> None:
    """Guards against a flood of calls to a platform that is down."""
    client, clock, metrics, _ = new_poll()
    client.reply(PlatformStatus.UNAVAILABLE)
    clock.advance(PAUSE_S - 0.1)
    assert not client.calls
    clock.advance(0.2)
    assert len(client.calls) == 1
    assert metrics.counts["refused.store_unavailable"] == 1


@pytest.mark.parametrize(
    ("value", "counter"),
    [
        (b"\0not a sheet", "refused.bad_sheet"),
        (b'["federation", "one"]', "refused.bad_sheet"),
        (sheet("studio", 9), "refused.wrong_partner"),
    ],
)
def test_bad_sheet_is_refused_and_the_watch_goes_on(value: bytes, counter: str) -> None:
    """Guards against a sheet that stops a node or touches another partner."""
    client, clock, metrics, applied = new_poll()
    client.reply(PlatformStatus.OK, version=1, value=value)
    clock.advance(0)
    assert metrics.counts[counter] == 1
    assert not applied
    assert len(client.calls) == 1
