"""Ejection of unhealthy upstreams, slow start and per-partner limits."""

from __future__ import annotations

import msgspec
import pytest

from bramleydyke.bench.flow_setup import SERVICE, make_balancer
from bramleydyke.constants import OFFER_TIMEOUT_S, SUSPECT_AFTER_S
from bramleydyke.core.balancer import Balancer
from bramleydyke.core.health import (
    EJECT_FAILURES,
    EJECT_S,
    SLOW_START_FRACTION,
    SLOW_START_S,
    HealthView,
)
from bramleydyke.core.limits import PartnerLimits
from bramleydyke.core.members import Members
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import Announcement, Envelope, Offer, Refusal, RequestArrived
from bramleydyke.types import (
    LOCAL_CALLER,
    AvailabilityZone,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    Protocol,
    ServiceAddress,
    ServiceId,
    UpstreamId,
    agent_node,
)

OURS = ServiceId("federation/board")
ADDRESS = ServiceAddress("127.0.0.1:9000")
THEIRS = ServiceId("studio/preview")


def _announcement(service_id: ServiceId, index: int, **changes) -> Announcement:
    upstream_id = UpstreamId(f"u{index}")
    announcement = Announcement(
        node_id=agent_node(service_id, upstream_id),
        incarnation=Incarnation(1),
        revision=1,
        state=MemberState.RUNNING,
        zone=AvailabilityZone("fes"),
        endpoint="127.0.0.1:1",
        partner_id=PartnerId(service_id.split("/")[0]),
        service_id=service_id,
        upstream_id=upstream_id,
    )
    return msgspec.structs.replace(announcement, **changes)


def _view(count: int) -> HealthView:
    view = HealthView(Members())
    for service_id in (OURS, THEIRS):
        for index in range(count):
            view.members.merge(_announcement(service_id, index), now=0.0)
    return view


def _node(index: int, service_id: ServiceId = OURS) -> NodeId:
    return agent_node(service_id, UpstreamId(f"u{index}"))


def _fail(view: HealthView, index: int, *, now: float) -> None:
    for _ in range(EJECT_FAILURES):
        view.record_failure(_node(index), now=now)


def test_failures_eject_an_upstream_that_reports_itself_healthy() -> None:
    """Guards against trusting an upstream's reports while requests fail."""
    view = _view(4)
    _fail(view, 1, now=10.0)
    assert view.usable_upstreams(OURS, now=10.0) == ["u0", "u2", "u3"]
    assert view.usable_upstreams(OURS, now=10.0 + EJECT_S) == ["u0", "u1", "u2", "u3"]
    _fail(view, 1, now=21.0)
    assert "u1" not in view.usable_upstreams(OURS, now=21.0 + 1.5 * EJECT_S)


@pytest.mark.parametrize("count, kept", [(1, 1), (2, 1), (5, 3), (7, 4)])
def test_health_floor_limits_ejections(count: int, kept: int) -> None:
    """Guards against a faulty detector that ejects all upstreams."""
    view = _view(count)
    for index in range(count):
        view.eject_silent(_node(index), now=10.0)
    assert len(view.usable_upstreams(OURS, now=10.0)) == kept


def test_answers_override_a_suspicion_but_not_a_drain() -> None:
    """Guards against avoiding an upstream that answers but is suspected."""
    view = _view(4)
    suspect = _announcement(OURS, 0, state=MemberState.SUSPECT)
    view.members.merge(suspect, now=1.0)
    assert "u0" not in view.usable_upstreams(OURS, now=1.0)
    view.record_success(_node(0), now=2.0)
    assert "u0" in view.usable_upstreams(OURS, now=2.0)
    assert "u0" not in view.usable_upstreams(OURS, now=2.1 + SUSPECT_AFTER_S)
    view.record_refusal(_node(1), ErrorKind.DRAINING, now=3.0)
    assert "u1" not in view.usable_upstreams(OURS, now=3.0)
    assert view.members.by_node[_node(1)].state is MemberState.DRAINING
    again = _announcement(OURS, 1, revision=2)
    view.members.merge(again, now=4.0)
    assert "u1" in view.usable_upstreams(OURS, now=4.0)


def test_no_upstream_is_usable_when_all_are_draining() -> None:
    """Guards against the health floor sending new work to draining ones."""
    view = _view(2)
    for index in range(2):
        view.record_refusal(_node(index), ErrorKind.DRAINING, now=1.0)
    assert view.usable_upstreams(OURS, now=1.0) == []


def test_slow_start_after_restart_and_ejection() -> None:
    """Guards against full load on an upstream that has just started."""
    view = _view(2)
    assert view.weight_factor(_node(0), now=10.0) == pytest.approx(SLOW_START_FRACTION)
    assert view.weight_factor(_node(0), now=10.0 + SLOW_START_S) == 1.0
    _fail(view, 0, now=100.0)
    back = 100.0 + EJECT_S
    assert view.weight_factor(_node(0), now=back) == pytest.approx(SLOW_START_FRACTION)
    assert view.weight_factor(_node(0), now=back + SLOW_START_S) == 1.0
    restarted = _announcement(OURS, 0, incarnation=Incarnation(2))
    view.members.merge(restarted, now=200.0)
    assert view.weight_factor(_node(0), now=200.0) == pytest.approx(SLOW_START_FRACTION)


def test_failures_of_one_partner_do_not_affect_another() -> None:
    """Guards against health state shared between partners."""
    view = _view(2)
    _fail(view, 0, now=1.0)
    view.eject_silent(_node(1), now=1.0)
    assert view.usable_upstreams(THEIRS, now=1.0) == ["u0", "u1"]
    assert not view.is_unresponsive(_node(1, THEIRS), now=1.0)


def test_packet_flood_spares_established_flows_and_other_partners() -> None:
    """Guards against new flows that use up the rate limit of other flows."""
    limits = PartnerLimits(packets_per_s=100.0)
    ours = limits.packet_bucket(PartnerId("federation"), now=0.0)
    theirs = limits.packet_bucket(PartnerId("studio"), now=0.0)
    new = sum(ours.take(now=0.0, reserve=25.0) for _ in range(1_000))
    established = sum(ours.take(now=0.0) for _ in range(1_000))
    assert (new, established) == (75, 25)
    assert theirs.take(now=0.0, reserve=25.0)
    assert sum(ours.take(now=0.5, reserve=25.0) for _ in range(1_000)) == 25


def _balancer() -> Balancer:
    return make_balancer(ADDRESS, seed=5, protocol=Protocol.HTTP)


def _offers(balancer: Balancer, count: int, *, now: float) -> list[Envelope]:
    offers = []
    for caller in range(count):
        arrived = RequestArrived(
            caller=caller, address=ADDRESS, payload=b"", idempotent=True, timeout=9.0
        )
        sent = balancer.receive(
            Envelope(LOCAL_CALLER, balancer.node_id, arrived), now=now
        )
        offers += [item for item in sent if isinstance(item.payload, Offer)]
    return offers


def _refuse(balancer: Balancer, offer: Envelope, kind: ErrorKind, now: float) -> None:
    refusal = Refusal(
        request_id=offer.payload.request_id,
        placement=offer.payload.placement,
        ask=offer.payload.ask,
        kind=kind,
        backlog=0.0,
        incarnation=Incarnation(1),
    )
    balancer.receive(Envelope(offer.receiver, balancer.node_id, refusal), now=now)


@pytest.mark.parametrize(
    "kind, refusals",
    [(ErrorKind.DRAINING, 1), (ErrorKind.UPSTREAM_FAILED, EJECT_FAILURES)],
)
def test_agent_that_refused_requests_gets_no_new_ones(
    kind: ErrorKind, refusals: int
) -> None:
    """Guards against new requests to an agent that is draining or failing."""
    balancer = _balancer()
    offers = _offers(balancer, 70, now=1.0)
    to_first = [offer for offer in offers if offer.receiver == _node(0, SERVICE)]
    for offer in to_first[:refusals]:
        _refuse(balancer, offer, kind, now=1.0)
    later = {offer.receiver for offer in _offers(balancer, 70, now=1.1)}
    assert later == {_node(index, SERVICE) for index in range(1, 7)}


def test_agent_that_answers_no_offer_gets_no_new_requests() -> None:
    """Guards against offering new requests to a dead agent."""
    balancer = _balancer()
    dead = _offers(balancer, 1, now=1.0)[0].receiver
    now = 1.0
    while (wakeup := balancer.next_wakeup()) < 1.0 + 8 * OFFER_TIMEOUT_S:
        now = wakeup
        balancer.wake(now=now)
    assert dead not in {offer.receiver for offer in _offers(balancer, 40, now=now)}


def test_upstream_in_slow_start_gets_few_requests() -> None:
    """Guards against a full load of requests right after a restart."""
    balancer = _balancer()
    _offers(balancer, 4, now=1.0)
    restarted = _announcement(SERVICE, 0, incarnation=Incarnation(2))
    balancer.receive(Envelope(_node(0, SERVICE), balancer.node_id, restarted), now=60.0)
    offers = _offers(balancer, 400, now=60.0)
    share = sum(offer.receiver == _node(0, SERVICE) for offer in offers) / len(offers)
    assert 0.0 < share < 0.08
