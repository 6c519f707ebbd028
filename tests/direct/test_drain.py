"""Draining upstreams, admission of flows and the start of an agent."""

from __future__ import annotations

import itertools

import msgspec
import pytest
from codec import flow_tuple, pack
from network import OTHER, SERVICE, system

from bramleydyke.direct.constants import (
    FLOW_IDLE_S,
    MAX_QUEUED,
    QUEUE_S,
    REQUESTS_PER_SLOT,
    SUSPECT_S,
)
from bramleydyke.direct.entries import entry_of
from bramleydyke.direct.messages import Offer, Placed, Queued, Refused
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.direct.upstream_flows import UpstreamFlow
from bramleydyke.direct.upstream_view import Report, ReportResult, UpstreamView
from bramleydyke.errors import ErrorKind
from bramleydyke.types import ServiceId, UpstreamId

INTERVAL_S = 1.0


def report(
    lifetime: int,
    sequence: int,
    *,
    draining: bool = False,
    upstream: str = "i-1",
    service: ServiceId = SERVICE,
) -> Report:
    return Report(
        upstream=UpstreamId(upstream),
        service=service,
        lifetime=Lifetime(lifetime),
        start_ms=lifetime,
        sequence=sequence,
        draining=draining,
    )


def new_view() -> UpstreamView:
    return UpstreamView(report_interval_s=INTERVAL_S)


# BEFORE brings a view into a state. AFTER lists, for each of these states, the
# state that results from each of the EVENTS.

BEFORE = {
    "unknown": lambda view: None,
    "recalled ready": lambda view: view.restore(report(5, 3)),
    "recalled draining": lambda view: view.restore(report(5, 3, draining=True)),
    "ready": lambda view: view.apply(report(5, 3), now=0.0),
    "draining": lambda view: view.apply(report(5, 3, draining=True), now=0.0),
    "suspected": lambda view: (
        view.apply(report(5, 3), now=0.0),
        setattr(view, "suspected", True),
    ),
    "gone": lambda view: (
        view.apply(report(5, 3), now=0.0),
        view.mark_ended(UpstreamId("i-1")),
    ),
}
EVENTS = {
    "next ready report": lambda view: view.apply(report(5, 4), now=0.5),
    "next draining report": lambda view: view.apply(
        report(5, 4, draining=True), now=0.5
    ),
    "late ready report": lambda view: view.apply(report(5, 2), now=0.5),
    "report of an earlier lifetime": lambda view: view.apply(report(4, 90), now=0.5),
    "report of a new lifetime": lambda view: view.apply(report(6, 1), now=0.5),
    "leave": lambda view: view.mark_ended(UpstreamId("i-1")),
    "leave of another": lambda view: view.mark_ended(UpstreamId("i-2")),
    "silence": lambda view: None,
}
READY, DRAINING = UpstreamState.READY, UpstreamState.DRAINING
SILENT, GONE = UpstreamState.SILENT, UpstreamState.GONE
AFTER = {
    "unknown": [READY, DRAINING, READY, READY, READY, None, None, None],
    "recalled ready": [READY, DRAINING, READY, SILENT, READY, GONE, READY, READY],
    "recalled draining": [READY, DRAINING, None, None, READY, GONE, None, None],
    "ready": [READY, DRAINING, READY, SILENT, READY, GONE, READY, SILENT],
    "draining": [READY, DRAINING, DRAINING, DRAINING, READY, GONE, DRAINING, DRAINING],
    "suspected": [READY, DRAINING, SILENT, SILENT, READY, GONE, SILENT, SILENT],
    "gone": [GONE, GONE, GONE, GONE, READY, GONE, GONE, GONE],
}


@pytest.mark.parametrize(
    ("before", "event"), list(itertools.product(BEFORE, EVENTS)), ids=" then ".join
)
def test_state_of_an_upstream(before, event):
    view = new_view()
    BEFORE[before](view)
    EVENTS[event](view)
    now = 5.0 if event == "silence" else 0.6
    assert view.state(now=now) is AFTER[before][list(EVENTS).index(event)]


def record_messages(agent, sent) -> None:
    """Collects the messages of an agent instead of delivering them."""
    for part in (agent, agent.announcer, agent.admission):
        part.send = lambda to, message: sent.append(message)


def network_with_agent():
    network = system(11, upstreams=1)
    node = NodeIp("10.0.2.0")
    sent = []
    agent = network.agents[node]
    agent.send = agent.announcer.send = agent.admission.send = lambda to, message: (
        sent.append(message)
    )
    return network, agent, sent


def opening(
    service: ServiceId = SERVICE, number: int = 900, *, may_wait: bool = False
) -> Offer:
    datagram = pack(flow=flow_tuple(number), opening=True)
    return Offer(service, 0, 0.0, may_wait, datagram)


def fill(network, agent) -> None:
    """Adds open flows until the upstream has the maximum of requests."""
    for number in range(REQUESTS_PER_SLOT):
        flow = UpstreamFlow(None, agent.view.lifetime, network.now, open=True)
        agent.flows.add(flow_tuple(number), flow)
        agent.flows.add_request(flow_tuple(number), now=network.now)


def refusals(sent) -> list[ErrorKind]:
    return [message.kind for message in sent if isinstance(message, Refused)]


def test_a_draining_upstream_gets_no_new_flow_from_the_report_on():
    network, agent, sent = network_with_agent()
    upstream = network.upstreams[agent.node]
    upstream.draining = True
    agent.report(upstream.report(), now=network.now)
    agent.message_in(NodeIp("10.0.1.0"), opening(), now=network.now)
    network.run(0.1)
    assert refusals(sent) == [ErrorKind.DRAINING]
    assert upstream.opened_at == []


def test_open_flows_of_a_draining_upstream_stay():
    network = system(12, upstreams=2)
    callers = [network.open_flow() for _ in range(8)]
    network.run(0.5)
    upstream = network.upstreams[NodeIp("10.0.2.0")]
    upstream.draining = True
    network.agents[upstream.node].report(upstream.report(), now=network.now)
    payloads = [(caller, caller.send_request()) for caller in callers]
    network.run(1.0)
    assert all(payload in caller.answers for caller, payload in payloads)


@pytest.mark.parametrize("seed", range(10))
def test_no_new_flow_after_a_drain_through_restarts_and_stale_balancers(seed):
    network = system(seed)
    upstream = network.upstreams[NodeIp("10.0.2.2")]
    stale = [a.announcer.announcement(now=network.now) for a in network.agents.values()]
    upstream.draining = True
    agent = network.agents[upstream.node]
    agent.report(upstream.report(), now=network.now)
    stored = entry_of(agent.announcer.announcement(now=network.now))
    drained_at = network.now
    network.restart_agent(upstream.node, down_s=0.6, planned=False)
    network.run(0.3)
    balancer = network.add_balancer("10.0.8.0", knows_upstreams=False)
    for announcement in stale:
        balancer.apply_announcement(announcement, now=network.now, source="store")
    network.run(0.6)
    restarted = network.agents[upstream.node]
    restarted.restore(stored.report(), now=network.now)
    for _ in range(40):
        network.open_flow()
    network.run(1.0)
    late = [at for at, _ in upstream.opened_at if at > drained_at + 0.01]
    assert not late


def test_a_packet_for_another_service_is_refused():
    network, agent, sent = network_with_agent()
    agent.message_in(NodeIp("10.0.1.0"), opening(OTHER), now=network.now)
    assert refusals(sent) == [ErrorKind.WRONG_SERVICE]


def test_a_report_of_another_service_is_not_taken():
    network, agent, _ = network_with_agent()
    result = agent.report(report(10**15, 1, service=OTHER), now=network.now)
    assert result is ReportResult.WRONG_SERVICE
    assert agent.view.report.service == SERVICE


def test_an_agent_without_a_report_takes_flows_only_from_its_stored_entry():
    network, _, _ = network_with_agent()
    agent = network.start_agent("10.0.2.0")
    sent = []
    agent.send = agent.announcer.send = agent.admission.send = lambda to, message: (
        sent.append(message)
    )
    agent.message_in(NodeIp("10.0.1.0"), opening(number=1), now=network.now)
    assert refusals(sent) == [ErrorKind.STALE_GENERATION]
    agent.view.restore(report(5, 3))
    agent.message_in(NodeIp("10.0.1.0"), opening(number=2), now=network.now)
    network.run(0.1)
    assert any(isinstance(message, Placed) for message in sent)


def test_flows_of_an_earlier_lifetime_are_reset():
    network = system(13, upstreams=1)
    caller = network.open_flow()
    network.run(0.5)
    old = network.upstreams[NodeIp("10.0.2.0")]
    old.open.clear()
    old.started_ms += 100_000
    old.sequence = 0
    network.agents[old.node].report(old.report(), now=network.now)
    # A dead upstream returns no packet, so the reset comes from the agent.
    old.alive = False
    caller.send_request()
    network.run(0.05)
    assert caller.ended == "reset"


def test_a_full_upstream_refuses_flows_that_may_not_wait():
    network, agent, sent = network_with_agent()
    network.upstreams[agent.node].alive = False
    for number in range(REQUESTS_PER_SLOT + 1):
        agent.message_in(NodeIp("10.0.1.0"), opening(number=number), now=network.now)
    assert refusals(sent) == [ErrorKind.BUSY]


def test_a_waiting_flow_opens_as_soon_as_there_is_room():
    network, agent, sent = network_with_agent()
    fill(network, agent)
    waits = opening(number=50, may_wait=True)
    agent.message_in(NodeIp("10.0.1.0"), waits, now=network.now)
    assert [type(message) for message in sent[-1:]] == [Queued]
    assert sent[-1].load.requests == REQUESTS_PER_SLOT + 1
    answer = pack(flow=flow_tuple(0), payload=b"x")
    agent.upstream_packet(answer, now=network.now)
    assert flow_tuple(50) in agent.flows.flows
    assert refusals(sent) == []


def test_the_most_urgent_and_newest_waiting_flow_opens_first():
    network, agent, _ = network_with_agent()
    fill(network, agent)
    for number, priority, age_s in ((50, 1, 0.0), (51, 0, 0.2), (52, 0, 0.1)):
        waits = opening(number=number, may_wait=True)
        waits = msgspec.structs.replace(waits, priority=priority, age_s=age_s)
        agent.message_in(NodeIp("10.0.1.0"), waits, now=network.now)
    opened = [flow_tuple(0)]
    for _ in range(3):
        before = set(agent.flows.requests)
        answer = pack(flow=opened[-1], payload=b"x")
        agent.upstream_packet(answer, now=network.now)
        opened += set(agent.flows.requests) - before
    assert opened[1:] == [flow_tuple(52), flow_tuple(51), flow_tuple(50)]


def test_a_flow_that_waits_too_long_goes_back_to_its_balancer():
    network, agent, sent = network_with_agent()
    fill(network, agent)
    waits = opening(number=50, may_wait=True)
    agent.message_in(NodeIp("10.0.1.0"), waits, now=network.now)
    agent.wake(now=network.now + QUEUE_S)
    assert refusals(sent) == [ErrorKind.BUSY]
    assert not agent.admission.queue


def test_the_oldest_of_too_many_waiting_flows_goes_back():
    network, agent, sent = network_with_agent()
    fill(network, agent)
    for number in range(MAX_QUEUED + 1):
        waits = opening(number=100 + number, may_wait=True)
        waits = msgspec.structs.replace(waits, age_s=0.2 if number == 7 else 0.0)
        agent.message_in(NodeIp("10.0.1.0"), waits, now=network.now)
    refused = [message.flow for message in sent if isinstance(message, Refused)]
    assert refused == [flow_tuple(107)]
    assert len(agent.admission.queue) == MAX_QUEUED


@pytest.mark.parametrize("how", ["drains", "leaves", "pauses"])
def test_waiting_flows_go_back_when_the_upstream_takes_no_more(how):
    network, agent, sent = network_with_agent()
    upstream = network.upstreams[agent.node]
    fill(network, agent)
    waits = opening(number=50, may_wait=True)
    agent.message_in(NodeIp("10.0.1.0"), waits, now=network.now)
    if how == "drains":
        upstream.draining = True
        agent.report(upstream.report(), now=network.now)
    elif how == "leaves":
        agent.upstream_ended(upstream.report().upstream, now=network.now)
    else:
        agent.pause(now=network.now)
    assert refusals(sent) == [ErrorKind.DRAINING]
    assert not agent.admission.queue


def test_requests_that_never_end_do_not_block_an_upstream_for_ever():
    network, agent, sent = network_with_agent()
    fill(network, agent)
    agent.message_in(NodeIp("10.0.1.0"), opening(), now=network.now)
    assert refusals(sent) == [ErrorKind.BUSY]
    later = network.now + 4.0
    agent.view.reported_at = later
    agent.message_in(NodeIp("10.0.1.0"), opening(), now=later)
    assert refusals(sent) == [ErrorKind.BUSY]


def test_a_restarted_agent_tells_balancers_at_once_that_it_is_back():
    """Guards against a restarted agent that gets no flows for too long.

    Balancers that suspected it sent no new flows until the upstream's next
    report.
    """
    network, agent, _ = network_with_agent()
    balancer = next(iter(network.balancers.values()))
    stored = entry_of(agent.announcer.announcement(now=network.now))
    for _ in range(4):
        balancer.directory.mark_suspect(agent.node, now=network.now)
    restarted = network.start_agent(agent.node)
    # The first periodic announcement is due before the store answers.
    network.run(0.05)
    assert not balancer.directory.is_responsive(agent.node, now=network.now)
    restarted.restore(stored.report(), now=network.now)
    network.run(0.05)
    assert balancer.directory.is_responsive(agent.node, now=network.now)


def test_several_open_questions_suspect_an_agent_only_once():
    network, agent, _ = network_with_agent()
    directory = next(iter(network.balancers.values())).directory
    for _ in range(10):
        directory.mark_suspect(agent.node, now=network.now)
    assert directory.is_responsive(agent.node, now=network.now + SUSPECT_S)


def test_idle_flows_are_forgotten():
    network, agent, _ = network_with_agent()
    agent.message_in(NodeIp("10.0.1.0"), opening(), now=network.now)
    network.run(0.1)
    assert agent.flows.unfinished == 1
    agent.announce(now=network.now + FLOW_IDLE_S + 1)
    assert agent.flows.unfinished == 0
    assert not agent.flows.flows
