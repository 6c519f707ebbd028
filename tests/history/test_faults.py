"""Faults of the request path that histories have found, each by itself."""

from __future__ import annotations

from checker import Got
from harness import BOARD, Behaviour, World

from bramleydyke.core.records import Asker, RequestRecords
from bramleydyke.errors import ErrorKind
from bramleydyke.types import NodeId, RequestId


def test_late_copy_does_not_lower_the_refused_ask() -> None:
    """Guards against running an offer between a late copy and a refusal."""
    records = RequestRecords()
    asker = Asker(NodeId("balancer/b0"), 1)
    request_id = RequestId("key/k")
    for ask in (4, 2):
        records.refuse(
            request_id, asker, ask=ask, kind=ErrorKind.CANCELLED, now=float(ask)
        )
    assert records.refused_kind(request_id, asker, 3) is ErrorKind.CANCELLED


def test_refused_repetition_is_unknown_after_a_run() -> None:
    """Guards against "not run" for a repetition whose first attempt ran."""
    world = World(1, upstreams=1)
    world.call(BOARD, "k", balancer="b0", first=True)
    world.run(world.now + 2.0)
    (agent,) = world.agents(BOARD)
    world.kill(agent)
    world.run(world.now + 5.0)
    world.call(BOARD, "k", balancer="b1")
    world.run(world.now + 10.0)
    assert [item.got for item in world.outcomes()] == [Got.ANSWER, Got.UNKNOWN]


def test_home_that_asked_all_says_not_run() -> None:
    """Guards against an unknown outcome where a home is certain."""
    world = World(1)
    for agent in world.agents(BOARD):
        world.behaviour[agent] = Behaviour(shed=1.0)
    world.call(BOARD, "k", balancer="b0")
    world.run(world.now + 10.0)
    assert [item.got for item in world.outcomes()] == [Got.NOT_RUN]
