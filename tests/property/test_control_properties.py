"""Properties of leases, generations and announcements."""

from __future__ import annotations

import random

from hypothesis import given, settings, strategies as st

from bramleydyke.bench.cores import Store
from bramleydyke.core.config import (
    ConfigStore,
    PartnerConfig,
    ServiceConfig,
    UpstreamSpec,
    full_delta,
    next_config,
)
from bramleydyke.core.dissemination import Dissemination
from bramleydyke.core.homes import HomeMap
from bramleydyke.core.lease import Lease
from bramleydyke.core.members import Members
from bramleydyke.core.platform_calls import PlatformCalls
from bramleydyke.messages import Announcement, Envelope, PlatformReply
from bramleydyke.types import (
    LOCAL_PLATFORM,
    AvailabilityZone,
    Incarnation,
    MemberState,
    NodeId,
    PartnerId,
    Protocol,
    ServiceId,
    UpstreamId,
    balancer_node,
)

ZONE = AvailabilityZone("meknes")
PARTNER = PartnerId("p")
NAMES = [balancer_node(f"b{index}") for index in range(3)]


def _service(index: int, weight: float) -> ServiceConfig:
    return ServiceConfig(
        service_id=ServiceId(f"p/s{index}"),
        partner_id=PARTNER,
        protocol=Protocol.HTTP,
        addresses=(),
        upstreams=(UpstreamSpec(UpstreamId("u"), ZONE, weight),),
    )


def _history(length: int) -> list[PartnerConfig]:
    configs = [PartnerConfig(PARTNER)]
    for step in range(length):
        wanted = [_service(step % 3, step + 2.0)]
        wanted += [_service(index, 1.0) for index in range(3) if index != step % 3]
        configs.append(next_config(configs[-1], wanted[: 1 + step % 3], change_id="c"))
    return configs


@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.data())
def test_generations_only_grow_and_have_one_content(
    data: st.DataObject,
) -> None:
    """Guards against mixed generations by lost, duplicate or late messages.

    A node's generation never decreases, and all nodes at one generation have
    the same services.
    """
    history = _history(6)
    nodes = {
        name: Dissemination(
            node_id=name,
            config=ConfigStore(),
            peers=lambda count, name=name: [item for item in NAMES if item != name],
        )
        for name in NAMES
    }
    wire: list[Envelope] = []
    held = dict.fromkeys(NAMES, 0)
    for _ in range(data.draw(st.integers(5, 40))):
        name = data.draw(st.sampled_from(NAMES))
        node = nodes[name]
        if not wire or data.draw(st.integers(0, 3)) == 0:
            config = data.draw(st.sampled_from(history))
            wire += node.take(name, full_delta(config), now=0.0)
        else:
            index = data.draw(st.integers(0, len(wire) - 1))
            repeat = data.draw(st.booleans())
            envelope = wire[index] if repeat else wire.pop(index)
            wire += _deliver(nodes[envelope.receiver], envelope)
        for item in NAMES:
            generation = nodes[item].config.generation(PARTNER)
            assert generation >= held[item]
            held[item] = generation
            services = set(nodes[item].config.services.values())
            assert services == set(history[generation].services)


def _deliver(node: Dissemination, envelope: Envelope) -> list[Envelope]:
    payload = envelope.payload
    match type(payload).__name__:
        case "ConfigDigest":
            return node.handle_digest(envelope.sender, payload, now=0.0)
        case "DeltaRequest":
            return node.handle_request(envelope.sender, payload)
        case _:
            return node.take(envelope.sender, payload, now=0.0)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32))
def test_two_processes_never_hold_one_lease(seed: int) -> None:
    """Guards against two holders under delays, pauses and lost replies."""
    source = random.Random(seed)
    store = Store()
    calls = [PlatformCalls(node_id=name) for name in NAMES]
    leases = [
        Lease(
            zone=ZONE,
            slot=0,
            node_id=name,
            incarnation=Incarnation(1),
            calls=call,
            random_source=random.Random(seed),
        )
        for name, call in zip(NAMES, calls, strict=True)
    ]
    wire: list[tuple[float, int, bool, object]] = []
    for tick in range(400):
        now = tick * 0.5
        for index, lease in enumerate(leases):
            if source.randrange(60) == 0:
                continue
            out = calls[index].wake(now=now) + lease.wake(now=now, wanted=True)
            wire += _sent(index, out, now=now, source=source)
        due = [item for item in wire if item[0] <= now]
        wire = [item for item in wire if item[0] > now]
        for _, index, is_reply, payload in due:
            if is_reply:
                assert isinstance(payload, PlatformReply)
                out = calls[index].replied(payload, now=now)
                wire += _sent(index, out, now=now, source=source)
                continue
            reply = store.call(NAMES[index], payload, now=now)
            if reply is not None and source.randrange(10):
                wire.append((now + source.uniform(0.0, 8.0), index, True, reply))
        assert sum(lease.holding(now) for lease in leases) <= 1


def _sent(
    index: int, out: list[Envelope], *, now: float, source: random.Random
) -> list[tuple[float, int, bool, object]]:
    return [
        (now + source.uniform(0.0, 8.0), index, False, item.payload)
        for item in out
        if item.receiver == LOCAL_PLATFORM and source.randrange(20)
    ]


announcements = st.builds(
    Announcement,
    node_id=st.sampled_from([NodeId("balancer/x"), NodeId("balancer/y")]),
    incarnation=st.integers(1, 3).map(Incarnation),
    revision=st.integers(1, 3),
    state=st.sampled_from(MemberState),
    zone=st.just(ZONE),
    endpoint=st.just(""),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(items=st.lists(announcements, max_size=12), seed=st.integers(0, 2**32))
def test_announcements_in_any_order_give_the_same_members(
    items: list[Announcement], seed: int
) -> None:
    """Guards against tables or digests that depend on the order of arrival."""
    shuffled = list(items) + list(items)
    random.Random(seed).shuffle(shuffled)
    first, second = Members(), Members()
    for item in items:
        first.merge(item, now=0.0)
    for item in shuffled:
        second.merge(item, now=0.0)
    assert first.by_node == second.by_node
    assert first.digest() == second.digest()
    for node_id in list(second.by_node):
        second.forget(node_id)
    assert second.digest() == Members().digest()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(steps=st.lists(st.tuples(st.integers(0, 7), st.booleans()), max_size=30))
def test_cached_homes_equal_recomputed_homes(
    steps: list[tuple[int, bool]],
) -> None:
    """Guards against stale cache entries.

    Processes that know the same balancers must agree on a node's homes.
    """
    members = Members()
    cached = HomeMap(members)
    nodes = [NodeId(f"agent/p/s/u{index}") for index in range(5)]
    nodes += [balancer_node(f"h{index}") for index in range(3)]
    for revision, (index, running) in enumerate(steps, 1):
        state = MemberState.RUNNING if running else MemberState.SUSPECT
        announcement = Announcement(
            node_id=balancer_node(f"h{index}"),
            incarnation=Incarnation(1),
            revision=revision,
            state=state,
            zone=ZONE if index < 6 else AvailabilityZone("fes"),
            endpoint="",
        )
        members.merge(announcement, now=0.0)
        for node_id in nodes:
            fresh = HomeMap(members).homes(node_id, ZONE)
            assert cached.homes(node_id, ZONE) == fresh
