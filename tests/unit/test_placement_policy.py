"""How a balancer chooses an agent, and how agents keep their queues."""

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
        placer.load.report(agent_node(SERVICE, name), backlog, now=0.0)
    return placer


def place(placer: Placer, *, now: float = 0.0) -> list[Envelope]:
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


def offers(sent: list[Envelope]) -> list[Envelope]:
    return [item for item in sent if isinstance(item.payload, Offer)]


def report(placer: Placer, query: Envelope, backlog: float) -> list[Envelope]:
    message = BacklogReport(
        placement=query.payload.placement,
        ask=query.payload.ask,
        upstream_id=UpstreamId(query.receiver.rsplit("/", 1)[1]),
        backlog=backlog,
        draining=False,
    )
    return placer.reported(query.receiver, message, now=RTT)


def busy(offer: Envelope, **fields: object) -> Refusal:
    return Refusal(
        request_id=offer.payload.request_id,
        placement=offer.payload.placement,
        ask=offer.payload.ask,
        incarnation=Incarnation(1),
        **{"kind": ErrorKind.BUSY, "backlog": 2.0} | fields,
    )


def refuse(placer: Placer, offer: Envelope, **fields: object) -> list[Envelope]:
    return offers(placer.refused(offer.receiver, busy(offer, **fields), now=RTT))


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


def give(agent: Agent, payload: object) -> list[object]:
    sent = agent.receive(Envelope(BALANCER, agent.node_id, payload), now=1.0)
    return [item.payload for item in sent]


def offer_to(number: int, *, ask: int = 1) -> Offer:
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
    """Guards against a request at two agents when a probe finds a free one."""
    placer = make_placer()
    sent = place(placer)
    queries = [item for item in sent if isinstance(item.payload, BacklogQuery)]
    assert (len(offers(sent)), len(queries)) == (1, 3)
    assert [report(placer, query, 0.0) for query in queries] == [[], [], []]


def test_refused_request_goes_to_the_smallest_report() -> None:
    """Guards against probing without using what was reported."""
    placer = make_placer()
    offer, *queries = place(placer)
    for query, backlog in zip(queries, (2.0, 0.0, 1.0), strict=True):
        report(placer, query, backlog)
    assert [item.receiver for item in refuse(placer, offer)] == [queries[1].receiver]


def test_probe_waits_for_a_refusal_while_agents_seem_free() -> None:
    """Guards against probes for each request of an idle service."""
    placer = make_placer(backlog=0.0)
    (offer,) = place(placer)
    sent = placer.refused(offer.receiver, busy(offer), now=RTT)
    queries = [item for item in sent if isinstance(item.payload, BacklogQuery)]
    assert (len(offers(sent)), len(queries)) == (0, 3)


def test_refused_request_waits_for_reports_no_longer_than_the_timeout() -> None:
    """Guards against a lost report that holds up the request."""
    placer = make_placer()
    offer, first, *_ = place(placer)
    report(placer, first, 3.0)
    assert refuse(placer, offer) == []
    at = placer.next_wakeup()
    assert at is not None
    assert [item.receiver for item in offers(placer.wake(now=at))] == [offer.receiver]


def test_lost_offer_is_repeated_early_at_the_same_agent() -> None:
    """Guards against a lost offer that costs a whole offer time-out."""
    placer = make_placer()
    offer = place(placer)[0]
    assert placer.next_wakeup() == FIRST_REPEAT_S
    again = offers(placer.wake(now=FIRST_REPEAT_S))
    assert [item.receiver for item in again] == [offer.receiver]


def test_agent_that_left_an_offer_unanswered_comes_last() -> None:
    """Guards against more requests for an agent that has just died."""
    placer = make_placer()
    offer = place(placer)[0]
    placer.wake(now=FIRST_REPEAT_S)
    placer.load.in_flight.clear()
    later = [offers(place(placer, now=1.0))[0].receiver for _ in range(10)]
    assert offer.receiver not in later


def test_released_request_goes_to_the_free_agent() -> None:
    """Guards against a request that is given up by its agent and lost."""
    placer = make_placer()
    offer, other, *_ = place(placer)
    free = UpstreamId(other.receiver.rsplit("/", 1)[1])
    moved = refuse(placer, offer, kind=ErrorKind.RELEASED, backlog=1.0, free=free)
    assert [item.receiver for item in moved] == [other.receiver]


def test_released_request_does_not_run_from_a_late_copy() -> None:
    """Guards against a second run when a copy of the old offer comes late."""
    agent = make_agent()
    for number in (1, 2):
        give(agent, offer_to(number))
    notice = IdleNotice(service_id=SERVICE, upstream_id=UpstreamId("b"))
    released = [(RequestId("r2"), ErrorKind.RELEASED)]
    assert refusals(give(agent, notice)) == released
    assert refusals(give(agent, offer_to(2))) == released
    assert agent.requests.work.admission.queued() == []


def test_running_request_is_not_released() -> None:
    """Guards against a refusal of a request that the upstream has."""
    agent = make_agent()
    assert any(isinstance(msg, RunRequest) for msg in give(agent, offer_to(1)))
    notice = IdleNotice(service_id=SERVICE, upstream_id=UpstreamId("b"))
    assert give(agent, notice) == []


def test_drain_moves_the_queue_and_leaves_what_runs() -> None:
    """Guards against new work for an upstream long after its drain began."""
    agent = make_agent()
    for number in (1, 2, 3):
        give(agent, offer_to(number))
    drain = Envelope(LOCAL_PLATFORM, agent.node_id, SetDrain(draining=True))
    sent = [item.payload for item in agent.receive(drain, now=1.0)]
    assert [request for request, _ in refusals(sent)] == ["r2", "r3"]
    assert list(agent.requests.work.admission.running) == ["r1"]


def test_queue_serves_the_longest_wait_first() -> None:
    """Guards against a moved request that starts again at the end."""
    admission = Admission(slots=1)
    for name, since in (("new", 5.0), ("moved", 1.0), ("newest", 6.0)):
        admission.enqueue(RequestId(name), since=since)
    assert admission.queued() == ["moved", "new", "newest"]
