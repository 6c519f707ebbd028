"""Choice of an agent by a placer, and the queue of an agent."""

from __future__ import annotations

import random

from bramleydyke.constants import FIRST_REPEAT_S
from bramleydyke.core.admission import Admission
from bramleydyke.core.agent import Agent
from bramleydyke.core.members import Members
from bramleydyke.core.placement import Placement
from bramleydyke.core.placer import Placer
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import (
    Announcement,
    BacklogQuery,
    BacklogReport,
    Envelope,
    IdleNotice,
    Offer,
    Refusal,
    RunRequest,
    SetDrain,
)
from bramleydyke.types import (
    LOCAL_PLATFORM,
    AvailabilityZone,
    Generation,
    Incarnation,
    MemberState,
    PartnerId,
    RequestId,
    ServiceId,
    UpstreamId,
    agent_node,
    balancer_node,
)

PARTNER = PartnerId("p")
SERVICE = ServiceId("p/s")
BALANCER = balancer_node("b")
UPSTREAMS = [UpstreamId(name) for name in "abcd"]
RTT = 0.01
MAX_REPORT_WAIT_S = 0.025
"""Two round trips between the availability zones of a region, in seconds."""

SEED = 11


def make_placer(*, backlog: float = 1.0) -> Placer:
    print("seed", SEED)
    members = Members()
    for name in UPSTREAMS:
        agent = Announcement(
            node_id=agent_node(SERVICE, name),
            incarnation=Incarnation(1),
            revision=1,
            state=MemberState.RUNNING,
            zone=AvailabilityZone("z"),
            endpoint="",
            service_id=SERVICE,
            upstream_id=name,
        )
        members.merge(agent, now=0.0)
    placer = Placer(
        node_id=BALANCER,
        members=members,
        usable=lambda _: UPSTREAMS,
        weights=lambda _, __: dict.fromkeys(UPSTREAMS, 1.0),
        on_ended=lambda _, __, ___: [],
        random_source=random.Random(SEED),
    )
    for name in UPSTREAMS:
        placer.load.record_report(agent_node(SERVICE, name), backlog, now=0.0)
    return placer


def place_request(placer: Placer, *, now: float = 0.0) -> list[Envelope]:
    placement = Placement(
        number=len(placer.pending) + 1,
        request_id=RequestId("r"),
        partner_id=PARTNER,
        service_id=SERVICE,
        generation=Generation(1),
        idempotent=False,
        keyed=False,
        first_attempt_until=0.0,
        deadline=now + 30.0,
        payload=b"",
    )
    return placer.place(placement, now=now)


def only_offers(sent: list[Envelope]) -> list[Envelope]:
    return [item for item in sent if isinstance(item.payload, Offer)]


def deliver_report(placer: Placer, query: Envelope, backlog: float) -> list[Envelope]:
    message = BacklogReport(
        placement=query.payload.placement,
        ask=query.payload.ask,
        upstream_id=UpstreamId(query.receiver.rsplit("/", 1)[1]),
        backlog=backlog,
        draining=False,
    )
    return placer.reported(query.receiver, message, now=RTT)


def make_refusal(offer: Envelope, **fields: object) -> Refusal:
    return Refusal(
        request_id=offer.payload.request_id,
        placement=offer.payload.placement,
        ask=offer.payload.ask,
        incarnation=Incarnation(1),
        **{"kind": ErrorKind.BUSY, "backlog": 2.0} | fields,
    )


def refuse_offer(placer: Placer, offer: Envelope, **fields: object) -> list[Envelope]:
    return only_offers(
        placer.refused(offer.receiver, make_refusal(offer, **fields), now=RTT)
    )


def make_agent() -> Agent:
    return Agent(
        partner_id=PARTNER,
        service_id=SERVICE,
        upstream_id=UpstreamId("a"),
        incarnation=Incarnation(1),
        zone=AvailabilityZone("z"),
        endpoint="",
        slots=1,
        credential="",
        balancers=(),
        random_source=random.Random(SEED),
        now=0.0,
    )


def deliver(agent: Agent, payload: object) -> list[object]:
    sent = agent.receive(Envelope(BALANCER, agent.node_id, payload), now=1.0)
    return [item.payload for item in sent]


def make_offer(number: int, *, ask: int = 1) -> Offer:
    return Offer(
        request_id=RequestId(f"r{number}"),
        placement=number,
        ask=ask,
        partner_id=PARTNER,
        service_id=SERVICE,
        generation=Generation(1),
        incarnation=Incarnation(1),
        idempotent=False,
        keyed=False,
        first_attempt=False,
        ttl=30.0,
        backlog_limit=None,
        payload=b"",
    )


def refusals(sent: list[object]) -> list[tuple[RequestId, ErrorKind]]:
    return [(msg.request_id, msg.kind) for msg in sent if isinstance(msg, Refusal)]


def test_reports_of_free_agents_do_not_move_an_offered_request() -> None:
    """Guards against offering a request to two agents at the same time.

    This happens if a report of an agent with a free slot triggers an offer.
    """
    placer = make_placer()
    sent = place_request(placer)
    queries = [item for item in sent if isinstance(item.payload, BacklogQuery)]
    assert (len(only_offers(sent)), len(queries)) == (1, 3)
    assert [deliver_report(placer, query, 0.0) for query in queries] == [[], [], []]


def test_refused_request_goes_to_the_smallest_backlog() -> None:
    """Guards against ignoring backlog reports when choosing the next agent."""
    placer = make_placer()
    offer, *queries = place_request(placer)
    for query, backlog in zip(queries, (2.0, 0.0, 1.0), strict=True):
        deliver_report(placer, query, backlog)
    assert [item.receiver for item in refuse_offer(placer, offer)] == [
        queries[1].receiver
    ]


def test_probe_waits_for_a_refusal_while_agents_seem_free() -> None:
    """Guards against unnecessary probes while a service is idle."""
    placer = make_placer(backlog=0.0)
    (offer,) = place_request(placer)
    sent = placer.refused(offer.receiver, make_refusal(offer), now=RTT)
    queries = [item for item in sent if isinstance(item.payload, BacklogQuery)]
    assert (len(only_offers(sent)), len(queries)) == (0, 3)


def test_wait_for_reports_ends_after_two_round_trips() -> None:
    """Guards against a request that waits forever for a lost report."""
    placer = make_placer()
    offer, first, *_ = place_request(placer)
    deliver_report(placer, first, 3.0)
    assert refuse_offer(placer, offer) == []
    at = placer.next_wakeup()
    assert at is not None
    assert at <= MAX_REPORT_WAIT_S
    assert [item.receiver for item in only_offers(placer.wake(now=at))] == [
        offer.receiver
    ]


def test_lost_offer_is_repeated_early_at_the_same_agent() -> None:
    """Guards against waiting ``OFFER_TIMEOUT_S`` to repeat a lost offer."""
    placer = make_placer()
    offer = place_request(placer)[0]
    assert placer.next_wakeup() == FIRST_REPEAT_S
    again = only_offers(placer.wake(now=FIRST_REPEAT_S))
    assert [item.receiver for item in again] == [offer.receiver]


def test_agent_that_left_an_offer_unanswered_comes_last() -> None:
    """Guards against further requests to an agent that has failed."""
    placer = make_placer()
    offer = place_request(placer)[0]
    placer.wake(now=FIRST_REPEAT_S)
    placer.load.in_flight.clear()
    later = [only_offers(place_request(placer, now=1.0))[0].receiver for _ in range(10)]
    assert offer.receiver not in later


def test_released_request_goes_to_the_free_agent() -> None:
    """Guards against a released request that no other agent is offered."""
    placer = make_placer()
    offer, other, *_ = place_request(placer)
    free = UpstreamId(other.receiver.rsplit("/", 1)[1])
    moved = refuse_offer(placer, offer, kind=ErrorKind.RELEASED, backlog=1.0, free=free)
    assert [item.receiver for item in moved] == [other.receiver]


def test_released_request_does_not_run_from_a_late_copy() -> None:
    """Guards against running a late duplicate of a refused offer."""
    agent = make_agent()
    for number in (1, 2):
        deliver(agent, make_offer(number))
    notice = IdleNotice(service_id=SERVICE, upstream_id=UpstreamId("b"))
    released = [(RequestId("r2"), ErrorKind.RELEASED)]
    assert refusals(deliver(agent, notice)) == released
    assert refusals(deliver(agent, make_offer(2))) == released
    assert agent.requests.executor.admission.queued() == []


def test_running_request_is_not_released() -> None:
    """Guards against refusing a request that is running at the upstream."""
    agent = make_agent()
    assert any(isinstance(msg, RunRequest) for msg in deliver(agent, make_offer(1)))
    notice = IdleNotice(service_id=SERVICE, upstream_id=UpstreamId("b"))
    assert deliver(agent, notice) == []


def test_drain_moves_queued_but_not_running_requests() -> None:
    """Guards against queued requests that start long after a drain did."""
    agent = make_agent()
    for number in (1, 2, 3):
        deliver(agent, make_offer(number))
    drain = Envelope(LOCAL_PLATFORM, agent.node_id, SetDrain(draining=True))
    sent = [item.payload for item in agent.receive(drain, now=1.0)]
    assert [request for request, _ in refusals(sent)] == ["r2", "r3"]
    assert list(agent.requests.executor.admission.running) == ["r1"]


def test_queue_serves_the_longest_wait_first() -> None:
    """Guards against a moved request that goes to the end of the queue.

    The new agent has to include the time that the request waited elsewhere.
    """
    admission = Admission(slots=1)
    for name, since in (("new", 5.0), ("moved", 1.0), ("newest", 6.0)):
        admission.enqueue(RequestId(name), since=since)
    assert admission.queued() == ["moved", "new", "newest"]
