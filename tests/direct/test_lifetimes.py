"""Lifetimes of an upstream whose time of day was set back before its start.

The start that an upstream reports is then smaller than that of its previous
lifetime, as if its reports were late ones of a lifetime that has ended.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest
from codec import pack
from network import OTHER, REPORT_S, SERVICE, Network, Upstream, system

from bramleydyke.direct.entries import UpstreamEntry, entry_of
from bramleydyke.direct.messages import Forward, Load, Placed, decode, encode
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.direct.upstream_view import Report, ReportResult, UpstreamView
from bramleydyke.types import UpstreamId

NODE = NodeIp("10.0.2.2")
STEP_MS = 2_400
CONFIRMED_S = 4 * REPORT_S
"""Time in which a start that seems to be earlier is confirmed, in seconds."""

SAME_ID, OTHER_ID = UpstreamId("i-1"), UpstreamId("i-2")
READY, DRAINING = UpstreamState.READY, UpstreamState.DRAINING
SILENT, GONE = UpstreamState.SILENT, UpstreamState.GONE


def report(lifetime: int, sequence: int, **fields) -> Report:
    return Report(
        **{
            "upstream": SAME_ID,
            "service": SERVICE,
            "lifetime": Lifetime(lifetime),
            "start_ms": lifetime,
            "sequence": sequence,
            "draining": False,
            **fields,
        }
    )


def view_after(*reports: Report, restored: Report | None = None) -> UpstreamView:
    """Returns a view that got one report in each interval."""
    view = UpstreamView(report_interval_s=REPORT_S)
    if restored is not None:
        view.restore(restored)
    for number, sent in enumerate(reports):
        view.apply(sent, now=number * REPORT_S)
    return view


@pytest.mark.parametrize("upstream", [SAME_ID, OTHER_ID])
@pytest.mark.parametrize("known", ["restored", "reported"])
def test_a_start_that_seems_earlier_is_believed_if_it_goes_on(known, upstream):
    """Guards against reports that are dropped for good after a step back."""
    reports = [report(3_000, n, upstream=upstream) for n in (1, 2, 3)]
    if known == "restored":
        view = view_after(*reports, restored=report(5_400, 7))
    else:
        view = view_after(report(5_400, 7), *reports)
    assert view.state(now=view.reported_at) is READY
    assert view.newest.upstream == upstream
    assert view.lifetime > 5_400
    assert view.newest.start_ms == 3_000


@pytest.mark.parametrize("upstream", [SAME_ID, OTHER_ID])
def test_late_reports_end_no_lifetime_that_reports(upstream):
    """Guards against late reports that bring an ended upstream back."""
    late = [report(3_000, n, upstream=upstream, draining=True) for n in range(8, 14)]
    current = [report(5_400, n) for n in range(1, 7)]
    mixed = [r for pair in zip(current, late, strict=True) for r in pair]
    view = UpstreamView(report_interval_s=REPORT_S)
    for number, sent in enumerate(mixed):
        assert view.apply(sent, now=number * REPORT_S / 2) == (sent in current)


def test_late_reports_that_arrive_together_end_no_lifetime():
    """Guards against a burst of late reports after a pause."""
    view = view_after(report(5_400, 1))
    late = [report(3_000, n) for n in range(8, 14)]
    assert not any(view.apply(sent, now=0.5) for sent in late)
    assert view.state(now=0.6) is SILENT
    assert view.apply(report(5_400, 2), now=REPORT_S)
    assert view.state(now=REPORT_S) is READY


def test_a_third_lifetime_is_later_although_its_number_is_smaller():
    """Guards against comparing a start with an assigned number."""
    view = view_after(report(5_400, 1), *[report(3_000, n) for n in (1, 2, 3)])
    assert view.apply(report(3_900, 1), now=9.0)
    assert view.lifetime == 5_402
    assert view.newest.start_ms == 3_900
    assert view.started_after_agent


@pytest.mark.parametrize(
    ("restored", "lifetime"),
    [
        (report(5_400, 7), 5_401),
        (report(3_000, 7), 3_000),
        (report(5_401, 7, start_ms=3_000), 5_401),
        (report(2_000, 7), 3_000),
    ],
)
def test_a_lifetime_gets_its_number_also_if_the_entry_is_read_late(restored, lifetime):
    """Guards against a number below the one that balancers know."""
    view = view_after(report(3_000, 8))
    assert view.restore(restored) is (lifetime != 3_000)
    assert view.lifetime == lifetime
    assert not view.has_ended(Lifetime(3_000))
    assert not view.apply(report(3_000, 8), now=1.0)
    assert view.apply(report(3_000, 9), now=1.0)
    assert view.lifetime == lifetime


def test_an_end_that_was_acknowledged_holds_if_the_entry_is_read_later():
    """Guards against an acknowledged end that a stored entry undoes."""
    view = UpstreamView(report_interval_s=REPORT_S)
    assert not view.mark_ended(SAME_ID)
    view.restore(report(5_400, 7))
    assert view.state(now=0.0) is GONE


def test_objects_of_the_version_before_start_at_their_lifetime():
    """Guards against lifetimes that change their identity in an upgrade."""
    network = system(1, upstreams=1)
    [agent] = network.agents.values()
    known = agent.announcer.announcement(now=network.now)
    entry = msgspec.to_builtins(entry_of(known))
    del entry["start_ms"]
    restored = msgspec.convert(entry, UpstreamEntry).report()
    assert restored.identity == agent.view.report.identity
    *fields, start_ms = msgspec.msgpack.decode(encode(known))
    assert start_ms == 0
    assert decode(msgspec.msgpack.encode(fields)) == known


# The agent and its balancers.


def start_earlier(network: Network) -> Upstream:
    """Starts the upstream of ``NODE`` again with an earlier time of day."""
    old = network.upstreams[NODE]
    old.alive = False
    new = Upstream(network, NODE, SERVICE, started_ms=old.started_ms - STEP_MS)
    network.upstreams[NODE] = new
    return new


def restart_with_entry(network: Network) -> Callable[[], None]:
    """Restarts the agent; returns a function that restores its entry."""
    entry = entry_of(network.agents[NODE].announcer.announcement(now=network.now))
    del network.agents[NODE]
    network.run(0.5)
    agent = network.start_agent(NODE)
    return lambda: agent.restore(entry.report(), now=network.now)


@pytest.mark.parametrize("agent_restarts", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_a_drain_holds_after_the_time_of_day_was_set_back(seed, agent_restarts):
    """Guards against a drain that is acknowledged and dropped.

    The drain must not be accepted before it is in force.
    """
    network = system(seed)
    if agent_restarts:
        restart_with_entry(network)()
    upstream = start_earlier(network)
    network.report_loop(upstream)
    network.run(CONFIRMED_S)
    for _ in range(20):
        network.open_flow()
    network.run(0.5)
    assert upstream.opened_at
    upstream.draining = True
    agent = network.agents[NODE]
    assert agent.report(upstream.report(), now=network.now) is ReportResult.ACCEPTED
    network.run(0.05)
    drained_at = network.now
    for _ in range(30):
        network.open_flow()
    network.run(1.0)
    assert max(at for at, _ in upstream.opened_at) <= drained_at


@pytest.mark.parametrize("agent_restarts", [False, True])
def test_a_drain_that_may_be_late_is_not_accepted(agent_restarts):
    """Guards against acknowledgement of a drain that is not in force."""
    network = system(1)
    if agent_restarts:
        restart_with_entry(network)()
    agent = network.agents[NODE]
    upstream = start_earlier(network)
    upstream.draining = True
    sent = upstream.report()
    assert agent.report(sent, now=network.now) is ReportResult.UNCONFIRMED
    assert agent.report(sent, now=network.now) is ReportResult.UNCONFIRMED
    network.run(REPORT_S)
    assert agent.report(upstream.report(), now=network.now) is ReportResult.UNCONFIRMED
    network.run(REPORT_S)
    assert agent.report(upstream.report(), now=network.now) is ReportResult.ACCEPTED
    assert agent.view.state(now=network.now) is DRAINING


def test_a_late_drain_of_a_ready_upstream_is_not_accepted():
    """Guards against acknowledgement of a drain that was taken back."""
    network = system(1)
    agent = network.agents[NODE]
    late = replace(network.upstreams[NODE].report(), draining=True)
    agent.report(network.upstreams[NODE].report(), now=network.now)
    assert agent.report(late, now=network.now) is ReportResult.UNCONFIRMED


@pytest.mark.parametrize("entry_after_s", [0.0, 0.05, 0.3, None])
@pytest.mark.parametrize("seed", range(5))
def test_flows_of_a_renumbered_lifetime_survive(seed, entry_after_s):
    """Guards against resets because balancers know a larger number.

    The agent gets the first report before it has read the stored entry, or
    the store does not answer and balancers tell the agent.
    """
    network = system(seed)
    restore = restart_with_entry(network)
    upstream = start_earlier(network)
    network.report_loop(upstream)
    if entry_after_s is not None:
        network.later(entry_after_s, restore)
    callers = [network.open_flow() for _ in range(60)]
    network.run(2 * REPORT_S)
    held = [caller for caller in callers if network.holder(caller) is upstream]
    assert held
    for restart in (False, True):
        if restart:
            restart_with_entry(network)()
            network.run(0.3)
        payloads = [(caller, caller.send_request()) for caller in held]
        network.run(2.0)
        assert not [c.flow for c, payload in payloads if payload not in c.answers]
        assert not [c.flow for c in held if c.ended]
    states = {network.states(b)[NODE] for b in network.balancers.values()}
    assert states == {READY}


def test_balancers_follow_an_agent_that_cannot_read_its_entry():
    """Guards against announcements that count as older for good.

    The agent restarted while the store was away and numbered its upstream
    below the lifetime that balancers know.
    """
    network = system(3)
    restart_with_entry(network)
    upstream = start_earlier(network)
    network.report_loop(upstream)
    network.run(2 * REPORT_S)
    upstream.draining = True
    network.run(2 * REPORT_S)
    states = {network.states(b)[NODE] for b in network.balancers.values()}
    assert states == {DRAINING}


def test_flows_live_on_when_the_entry_is_read_after_they_opened():
    """Guards against resets of flows that opened under the first number."""
    network = system(4, balancers=1)
    balancer = network.balancers[NodeIp("10.0.1.0")]
    restore = restart_with_entry(network)
    del balancer.directory.entries[NODE], balancer.directory.by_service[SERVICE][NODE]
    upstream = start_earlier(network)
    network.report_loop(upstream)
    callers = [network.open_flow() for _ in range(60)]
    network.run(0.5)
    held = [caller for caller in callers if network.holder(caller) is upstream]
    assert held
    restore()
    for _ in range(2):
        payloads = [(caller, caller.send_request()) for caller in held]
        network.run(REPORT_S)
        assert not [c.flow for c, payload in payloads if payload not in c.answers]


def test_an_agent_that_places_a_flow_under_a_smaller_number_keeps_it():
    """Guards against resets before a balancer has told the agent."""
    network = system(5, balancers=1)
    balancer = network.balancers[NodeIp("10.0.1.0")]
    caller = network.open_flow()
    network.run(0.5)
    known = balancer.directory.entries[NODE].announcement.lifetime
    placed = Placed(caller.flow, Lifetime(known - STEP_MS), None, Load())
    balancer.message_in(NODE, placed, now=network.now)
    sent = []
    balancer.send = lambda node, message: sent.append((node, message))
    datagram = pack(flow=caller.flow, acknowledged=7, payload=b"x")
    balancer.packet_in(datagram, now=network.now)
    network.run(0.01)
    assert not network.resets
    assert (NODE, Forward(SERVICE, False, Lifetime(0), datagram)) in sent


def test_the_address_of_an_upstream_is_used_again_by_another_service():
    """Guards against a new upstream that counts as the older one.

    The clock of the new VM is behind that of the old one.
    """
    network = system(6)
    del network.agents[NODE]
    old = network.upstreams.pop(NODE)
    old.alive = False
    new = Upstream(network, NODE, OTHER, started_ms=old.started_ms - STEP_MS)
    network.upstreams[NODE] = new
    network.start_agent(NODE)
    network.report_loop(new)
    network.run(2 * REPORT_S)
    for balancer in network.balancers.values():
        known = balancer.directory.entries[NODE].announcement
        assert (known.service, known.state) == (OTHER, READY)
        assert balancer.directory.lifetime_ended(NODE, old.started_ms)
