"""Exchange of configuration and upstream state among balancers."""

from __future__ import annotations

import random

import pytest
from codec import flow_tuple
from network import OTHER, ROUTE, SERVICE, ZONE, routes, system

from bramleydyke.core.rendezvous import owner_order, unweighted_owner_order
from bramleydyke.direct.constants import ENTRY_EXPIRY_S, FLOW_IDLE_S, MAX_SUSPECT_S
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.messages import Announcement
from bramleydyke.direct.routes import Routes, Share, pick_service
from bramleydyke.direct.types import Lifetime, NodeIp, UpstreamState
from bramleydyke.types import AvailabilityZone, ServiceId, UpstreamId

IN_FORCE_S = 3.0


def announcement(
    lifetime: int,
    sequence: int = 1,
    revision: int = 0,
    *,
    node: str = "10.0.2.0",
    service: ServiceId = SERVICE,
    state: UpstreamState = UpstreamState.READY,
) -> Announcement:
    return Announcement(
        node=NodeIp(node),
        zone=AvailabilityZone("z1"),
        service=service,
        upstream=UpstreamId("i"),
        lifetime=Lifetime(lifetime),
        sequence=sequence,
        revision=revision,
        state=state,
    )


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("balancers", [2, 7, 25])
def test_a_change_that_one_balancer_sees_is_in_force_everywhere(seed, balancers):
    network = system(seed, balancers=balancers, upstreams=1, loss=0.05)
    nodes = sorted(network.balancers)
    first = network.balancers[nodes[seed % balancers]]
    assert first.routes.apply(routes(5))
    first.gossip.configuration_changed(now=network.now)
    network.run(IN_FORCE_S / 2)
    versions = {b.routes.version for b in network.balancers.values()}
    assert versions == {5}


@pytest.mark.parametrize("seed", range(10))
def test_versions_never_go_back_in_a_storm(seed):
    network = system(seed, balancers=5, upstreams=1, loss=0.1)
    choose = random.Random(seed)
    seen = {node: 0 for node in network.balancers}
    for version in range(2, 40):
        balancer = choose.choice(sorted(network.balancers))
        applied = network.balancers[balancer]
        if applied.routes.apply(routes(version)):
            applied.gossip.configuration_changed(now=network.now)
        network.run(choose.uniform(0.01, 0.1))
        for node, one in network.balancers.items():
            assert one.routes.version >= seen[node]
            seen[node] = one.routes.version
    network.run(IN_FORCE_S / 2)
    assert {b.routes.version for b in network.balancers.values()} == {39}


def test_a_balancer_that_was_cut_off_catches_up():
    network = system(1, balancers=4, upstreams=1)
    cut = NodeIp("10.0.1.3")
    network.links_down.add(cut)
    network.balancers[NodeIp("10.0.1.0")].routes.apply(routes(9))
    network.run(20.0)
    assert network.balancers[cut].routes.version == 1
    network.links_down.discard(cut)
    network.run(IN_FORCE_S)
    assert network.balancers[cut].routes.version == 9


def test_an_older_configuration_is_never_applied():
    found = Routes()
    assert found.apply(routes(4))
    assert not found.apply(routes(4))
    assert not found.apply(routes(3, service=OTHER))
    assert found.version == 4


def test_services_that_had_a_route_stay_holders_until_it_is_dropped():
    found = Routes()
    found.apply(routes(1))
    found.apply(routes(2, service=OTHER))
    assert found.holders(ROUTE) == [OTHER, SERVICE]
    dropped = type(routes(3))(routes(3).version, {})
    found.apply(dropped)
    found.apply(routes(4, service=OTHER))
    assert found.holders(ROUTE) == [OTHER]


def test_a_split_follows_its_weights_and_is_stable_for_a_flow():
    shares = [Share(SERVICE, 90.0), Share(OTHER, 10.0)]
    picked = [pick_service(shares, flow_tuple(number)) for number in range(4_000)]
    assert picked == [pick_service(shares, flow_tuple(n)) for n in range(4_000)]
    assert 320 <= picked.count(OTHER) <= 480
    assert pick_service([Share(SERVICE, 0.0)], flow_tuple(1)) is None


@pytest.mark.parametrize(
    ("old", "new", "changes"),
    [
        (announcement(5, 3), announcement(5, 4, state=UpstreamState.DRAINING), True),
        (announcement(5, 4, state=UpstreamState.DRAINING), announcement(5, 3), False),
        (announcement(5, 3, 2, state=UpstreamState.SILENT), announcement(5, 3), False),
        (announcement(5, 9), announcement(6, 1), True),
        (announcement(6, 1), announcement(5, 9), False),
        (announcement(5, 3), announcement(6, 1, service=OTHER), True),
        (announcement(6, 1, service=OTHER), announcement(5, 9), False),
        (announcement(5, 3), announcement(5, 4), False),
    ],
)
def test_announcements_are_ordered_by_lifetime_sequence_and_revision(old, new, changes):
    directory = Directory(ZONE)
    directory.apply(old, now=0.0, from_agent=True)
    assert directory.apply(new, now=0.0, from_agent=True) is changes
    newest = max(old, new, key=Announcement.order)
    entry = directory.entries[NodeIp("10.0.2.0")]
    assert entry.announcement == newest
    assert list(directory.by_service[newest.service]) == ["10.0.2.0"]
    others = {SERVICE, OTHER} - {newest.service}
    assert not any(directory.by_service.get(service) for service in others)


def test_an_address_that_another_service_uses_again_ends_its_old_flows():
    directory = Directory(ZONE)
    directory.apply(announcement(5), now=0.0, from_agent=True)
    assert not directory.lifetime_ended(NodeIp("10.0.2.0"), 5)
    directory.removed(NodeIp("10.0.2.0"), Lifetime(5), now=0.0)
    assert directory.lifetime_ended(NodeIp("10.0.2.0"), 5)
    directory.apply(announcement(9, service=OTHER), now=0.0, from_agent=True)
    assert directory.lifetime_ended(NodeIp("10.0.2.0"), 5)
    assert not directory.lifetime_ended(NodeIp("10.0.2.0"), 9)
    assert not directory.lifetime_ended(NodeIp("10.0.2.0"), 0)


def test_a_late_announcement_does_not_bring_a_removed_upstream_back():
    directory = Directory(ZONE)
    directory.apply(announcement(5, 3), now=0.0, from_agent=True)
    directory.removed(NodeIp("10.0.2.0"), Lifetime(5), now=0.0)
    directory.apply(announcement(5, 2), now=0.0, from_agent=False)
    assert directory.candidates(SERVICE, flow_tuple(1), width=3, now=0.0) == []


def test_flows_go_to_the_least_loaded_of_their_likely_holders():
    directory = Directory(ZONE)
    for number in range(5):
        node = f"10.0.2.{number}"
        directory.apply(announcement(5, node=node), now=0.0, from_agent=True)
    for number in range(1_000):
        flow = flow_tuple(number)
        node = directory.candidates(SERVICE, flow, width=3, now=0.0)[0]
        assert node in directory.owners(SERVICE, flow)[:3]
        directory.sent(node, now=0.0)
        # Counts only open flows in the load, not unanswered requests.
        entry = directory.entries[node]
        entry.load = type(entry.load)(0.0, entry.load.total)
    totals = [entry.load.total for entry in directory.entries.values()]
    assert max(totals) / (sum(totals) / len(totals)) < 1.05


def test_silent_agents_come_last_for_longer_each_time():
    directory = Directory(ZONE)
    for number in range(3):
        node = f"10.0.2.{number}"
        directory.apply(announcement(5, node=node), now=0.0, from_agent=True)
    flow = flow_tuple(7)
    first = directory.candidates(SERVICE, flow, width=3, now=0.0)[0]
    directory.mark_suspect(first, now=0.0)
    assert directory.candidates(SERVICE, flow, width=3, now=0.9)[-1] == first
    assert directory.entries[first].suspect_until == 1.0
    directory.mark_suspect(first, now=1.0)
    assert directory.entries[first].suspect_until == 3.0
    directory.answered(first, now=1.1)
    assert directory.entries[first].suspect_until == 0.0


def test_upstreams_that_are_gone_are_forgotten_after_their_flows():
    directory = Directory(ZONE)
    ended = announcement(5, state=UpstreamState.GONE)
    directory.apply(ended, now=0.0, from_agent=True)
    directory.apply(announcement(5, node="10.0.2.1"), now=0.0, from_agent=True)
    directory.apply(announcement(5, node="10.0.2.2"), now=0.0, from_agent=True)
    directory.removed(NodeIp("10.0.2.2"), Lifetime(5), now=10.0)
    directory.expire(now=FLOW_IDLE_S)
    assert len(directory.entries) == 3
    directory.expire(now=ENTRY_EXPIRY_S + 1)
    assert sorted(directory.entries) == ["10.0.2.1", "10.0.2.2"]
    directory.apply(announcement(6, node="10.0.2.2"), now=125.0, from_agent=True)
    directory.expire(now=ENTRY_EXPIRY_S + 100)
    assert sorted(directory.by_service[SERVICE]) == ["10.0.2.1", "10.0.2.2"]


def test_an_announcement_of_another_node_is_refused():
    network = system(1, balancers=1, upstreams=1)
    balancer = network.balancers[NodeIp("10.0.1.0")]
    forged = announcement(10**15, node="10.0.2.0", state=UpstreamState.GONE)
    balancer.message_in(NodeIp("10.0.2.9"), forged, now=network.now)
    assert network.states(balancer) == {"10.0.2.0": UpstreamState.READY}
    assert network.counts["refused.foreign_announcement"] == 1


def test_a_copy_of_the_last_announcement_does_not_bring_an_upstream_back():
    """Guards against an upstream that reappears after its entry was removed.

    The removal arrived from the store first. Then another balancer relayed the
    upstream's last announcement.
    """
    directory = Directory(ZONE)
    directory.apply(announcement(5, 3, 2), now=0.0, from_agent=True)
    directory.removed(NodeIp("10.0.2.0"), Lifetime(5), now=0.0)
    assert not directory.apply(announcement(5, 3, 2), now=0.1, from_agent=False)
    assert directory.lifetime_ended(NodeIp("10.0.2.0"), 5)
    assert directory.apply(announcement(5, 4, 1), now=9.0, from_agent=True)


def test_a_relayed_announcement_of_equal_order_changes_nothing():
    """Guards against two announcements that balancers relay endlessly.

    An agent was restarted before the next report of its upstream. Both
    processes announced the same lifetime, sequence and revision.
    """
    directory = Directory(ZONE)
    ready = announcement(5, 3, 2)
    paused = announcement(5, 3, 2, state=UpstreamState.PAUSED)
    directory.apply(ready, now=0.0, from_agent=True)
    assert not directory.apply(paused, now=0.1, from_agent=False)
    node = NodeIp("10.0.2.0")
    assert directory.entries[node].announcement == ready
    assert directory.apply(paused, now=0.2, from_agent=True)
    assert not directory.apply(ready, now=0.3, from_agent=False)
    assert directory.entries[node].announcement == paused
    assert directory.apply(announcement(5, 4, 1), now=0.4, from_agent=False)


def test_the_order_of_equals_is_that_of_the_owners():
    names = {UpstreamId(f"10.0.2.{number}"): 1.0 for number in range(40)}
    encoded = {name: name.encode() for name in names}
    for number in range(200):
        flow = flow_tuple(number)
        assert unweighted_owner_order(flow, encoded) == owner_order(flow, names)


def test_an_agent_may_stay_silent_for_any_time():
    """Guards against a suspicion that overflows after a thousand of them."""
    directory = Directory(AvailabilityZone("z1"))
    directory.apply(announcement(5), now=0.0, from_agent=True)
    node = NodeIp("10.0.2.0")
    for number in range(2_000):
        directory.mark_suspect(node, now=10.0 * number)
    assert directory.entries[node].suspicions == 2_000
    assert directory.entries[node].suspect_until <= 10.0 * 1_999 + MAX_SUSPECT_S
