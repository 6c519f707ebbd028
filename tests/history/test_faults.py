"""Regression tests for bugs that random histories found.

The owner of a keyed request is the agent that is first in the rendezvous order
of its key; it decides where the request runs.
"""

from __future__ import annotations

import msgspec
import pytest
from checker import Result, Start
from fakes import BOARD, Behaviour
from harness import World

from bramleydyke.core.records import RequestRecords, Waiter
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import Accepted, Envelope, Offer
from bramleydyke.types import (
    LOCAL_PLATFORM,
    MemberState,
    NodeId,
    RequestId,
    UpstreamId,
    agent_node,
    balancer_node,
)


def test_late_copy_of_a_refusal_does_not_replace_a_newer_one() -> None:
    """Guards against running an offer that was already refused.

    A delayed duplicate of an older refusal must not replace a newer one;
    otherwise an offer numbered between the two would run.
    """
    records = RequestRecords()
    waiter = Waiter(NodeId("balancer/b0"), 1)
    request_id = RequestId("key/k")
    for ask in (4, 2):
        records.refuse(
            request_id, waiter, ask=ask, kind=ErrorKind.CANCELLED, now=float(ask)
        )
    assert records.refused_kind(request_id, waiter, 3) is ErrorKind.CANCELLED


def test_refused_repetition_is_unknown_after_a_run() -> None:
    """Guards against "not run" for a repeated request that has run.

    The only agent runs the first attempt and crashes, so nothing can tell the
    second attempt whether the request ran.
    """
    world = World(1, upstreams=1)
    world.call(BOARD, "k", balancer="b0", first=True)
    world.run(world.now + 2.0)
    (agent,) = world.agents(BOARD)
    world.kill(agent)
    world.run(world.now + 5.0)
    world.call(BOARD, "k", balancer="b1")
    world.run(world.now + 10.0)
    assert [item.result for item in world.outcomes()] == [Result.ANSWER, Result.UNKNOWN]


def test_owner_refused_by_every_agent_answers_not_run() -> None:
    """Guards against an unknown outcome if every agent refused a request.

    The owner has asked all agents and knows that none ran the request.
    """
    world = World(1)
    for agent in world.agents(BOARD):
        world.behaviour[agent] = Behaviour(shed=1.0)
    world.call(BOARD, "k", balancer="b0")
    world.run(world.now + 10.0)
    assert [item.result for item in world.outcomes()] == [Result.NOT_RUN]


def test_owners_that_do_not_know_each_other_run_a_request_once() -> None:
    """Guards against a second run while an agent's start is not yet known.

    Only one balancer knows the new agent, so the two balancers choose
    different owners for the same keys.
    """
    world = World(1, upstreams=1, absent=["late"])
    world.max_propagation_s = 1e9
    world.start_agent(BOARD, "late")
    late = agent_node(BOARD, UpstreamId("late"))
    announcement = Envelope(
        LOCAL_PLATFORM, balancer_node("b0"), world.announcements[late]
    )
    world.deliver(announcement)
    keys = [f"k{index}" for index in range(20)]
    for key in keys:
        world.call(BOARD, key, balancer="b0", first=True)
    world.run(world.now + 2.0)
    for key in keys:
        world.call(BOARD, key, balancer="b1")
    world.run(world.now + 10.0)
    assert world.violations() == []
    ran = {event.upstream for event in world.history if isinstance(event, Start)}
    assert "late" in ran


def test_late_offer_of_a_request_that_ran_elsewhere_does_not_run() -> None:
    """Guards against running a late first offer of a request that has run.

    The first offer is delayed by 3 s and its balancer crashes. Another
    balancer suspects the owner and has the repeated attempt run elsewhere.
    """
    world = World(3, upstreams=2)
    offers: list[Envelope] = []

    def delay_first_offer(envelope: Envelope) -> list[float] | None:
        if isinstance(envelope.payload, Offer) and not offers:
            offers.append(envelope)
            world.kill(envelope.sender)
            return [3.0]
        return None

    world.taps.append(delay_first_offer)
    world.call(BOARD, "k", balancer="b0", first=True)
    world.run(world.now + 0.1)
    owner = world.announcements[offers[0].receiver]
    suspected = msgspec.structs.replace(owner, state=MemberState.SUSPECT)
    world.deliver(Envelope(LOCAL_PLATFORM, balancer_node("b1"), suspected))
    world.run(world.now + 1.0)
    world.call(BOARD, "k", balancer="b1")
    world.run(world.now + 10.0)
    assert world.violations() == []
    assert [item.result for item in world.outcomes()] == [
        Result.DISCONNECTED,
        Result.ANSWER,
    ]


def test_refusals_after_a_dead_agent_are_unknown() -> None:
    """Guards against "not run" for a request that a dead agent may have run.

    An agent accepts the request and crashes; all others refuse it.
    """
    world = World(1, upstreams=2)

    def kill_owner(envelope: Envelope) -> list[float] | None:
        if not isinstance(envelope.payload, Accepted):
            return None
        world.kill(envelope.sender)
        for agent in world.agents(BOARD):
            world.behaviour[agent] = Behaviour(shed=1.0)
        world.taps.clear()
        return []

    world.taps.append(kill_owner)
    world.call(BOARD, "k", balancer="b0", idempotent=True, keyed=False)
    world.run(world.now + 10.0)
    assert [item.result for item in world.outcomes()] == [Result.UNKNOWN]


def test_acceptance_of_an_agent_not_asked_is_ignored() -> None:
    """Guards against an acceptance that is attributed to the wrong agent.

    The balancer would go on waiting for its current agent, which has not
    accepted anything.
    """
    world = World(1, upstreams=2)
    world.call(BOARD, "k", balancer="b0", idempotent=True, keyed=False)
    world.run(world.now)
    placer = world.nodes[balancer_node("b0")].placer
    (placement,) = placer.pending.values()
    accepted = Accepted(
        request_id=placement.request_id,
        placement=placement.number,
        ask=placement.ask,
        backlog=0.0,
        incarnation=placement.incarnation,
    )
    for upstream in world.upstreams(BOARD):
        if upstream != placement.upstream_id:
            other = agent_node(BOARD, UpstreamId(upstream))
            world.deliver(Envelope(other, balancer_node("b0"), accepted))
    assert not placement.accepted


@pytest.mark.parametrize("pause_s", [4.0, 15.0])
@pytest.mark.parametrize("seed", range(6))
def test_first_attempt_delayed_by_a_paused_balancer(seed: int, pause_s: float) -> None:
    """Guards against a "first attempt" flag that is no longer true.

    The flagged attempt waits at a paused balancer. Meanwhile the caller's
    second attempt runs, and the agent that ran it restarts without a record.
    """
    world = World(seed, upstreams=3)
    world.pause(balancer_node("b0"))
    world.call(BOARD, "k", balancer="b0", first=True)
    world.run(world.now + 1.0)
    world.call(BOARD, "k", balancer="b1")
    world.run(world.now + 1.0)
    (start,) = (event for event in world.history if isinstance(event, Start))
    world.kill(agent_node(BOARD, UpstreamId(start.upstream)))
    world.start_agent(BOARD, start.upstream)
    world.run(world.now + pause_s)
    world.resume(balancer_node("b0"))
    world.run(world.now + 10.0)
    assert world.violations() == []


def test_restarted_balancer_does_not_reuse_placement_numbers() -> None:
    """Guards against a late refusal that matches a new placement.

    A restarted balancer that reused its placement numbers would take a
    refusal of an old placement for one of a new placement.
    """
    world = World(1, upstreams=1)
    numbers = []
    for _ in range(2):
        world.call(BOARD, "k", balancer="b0")
        world.run(world.now)
        numbers += world.nodes[balancer_node("b0")].placer.pending
        world.kill(balancer_node("b0"))
        world.join_balancer("b0")
    assert len(set(numbers)) == 2


@pytest.mark.parametrize("seed", range(12))
def test_queued_request_does_not_start_after_its_deadline(seed: int) -> None:
    """Guards against running a request whose caller has timed out."""
    world = World(seed, upstreams=1)
    (agent,) = world.agents(BOARD)
    for key in ("running", "queued"):
        world.behaviour[agent] = Behaviour(mean_time_s=2.0)
        world.call(BOARD, key, balancer="b0", keyed=False, timeout=3.0)
        world.run(world.now + 0.05)
    world.pause(agent)
    world.run(world.now + 20.0)
    world.resume(agent)
    world.run(world.now + 5.0)
    starts = [event for event in world.history if isinstance(event, Start)]
    assert [event.key for event in starts] == ["running"]


def test_request_that_timed_out_in_the_queue_was_not_run() -> None:
    """Guards against an unknown outcome for a request that only queued."""
    world = World(1, upstreams=1)
    (agent,) = world.agents(BOARD)
    world.behaviour[agent] = Behaviour(no_reply=1.0)
    world.call(BOARD, "running", balancer="b0", keyed=False, timeout=9.0)
    world.run(world.now + 0.1)
    queued = world.call(BOARD, "queued", balancer="b0", keyed=False, timeout=1.0)
    world.run(world.now + 5.0)
    (outcome,) = (item for item in world.outcomes() if item.attempt == queued)
    assert outcome.result is Result.NOT_RUN
