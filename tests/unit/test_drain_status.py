"""Drains that operators request, and the status of a zone."""

from __future__ import annotations

import msgspec
from control_fixture import PARTNER, SERVICE, ZONES, Deployment, service

from bramleydyke.constants import DRAIN_NOTICE_S
from bramleydyke.core.drain import DrainObject, DrainState
from bramleydyke.core.status import ZoneStatus
from bramleydyke.messages import DrainOrder, Envelope, SetDrain
from bramleydyke.types import (
    Incarnation,
    MemberState,
    NodeId,
    UpstreamId,
    agent_node,
    balancer_node,
)

U0 = agent_node(SERVICE, UpstreamId("u0"))
PATH = f"drains/{PARTNER}/bourse-beurre/u0"


def status(deployment: Deployment, zone: int = 0) -> ZoneStatus:
    value, _ = deployment.network.store.objects[f"status/{ZONES[zone]}"]
    return msgspec.json.decode(value, type=ZoneStatus)


def test_operator_drains_and_undrains_an_upstream() -> None:
    """Guards against a drain object that does not reach the agent in time."""
    deployment = Deployment(seed=1)
    deployment.apply(service())
    deployment.run(10)
    deployment.network.loss = 0.05
    deployment.put(PATH, DrainObject(node_id=U0))
    deployment.run(DRAIN_NOTICE_S)
    assert deployment.network.nodes[U0].requests.draining
    assert deployment.states(U0) == {MemberState.DRAINING}
    deployment.add_agent(0, incarnation=2)
    deployment.run(5)
    assert deployment.network.nodes[U0].requests.draining
    deployment.put(PATH, DrainObject(node_id=U0, draining=False))
    deployment.run(DRAIN_NOTICE_S)
    assert not deployment.network.nodes[U0].requests.draining
    assert deployment.states(U0) == {MemberState.RUNNING}


def test_undrain_does_not_end_the_drain_of_a_stopping_process() -> None:
    """Guards against an undrain that gives a stopping process new work."""
    deployment = Deployment(seed=2)
    deployment.run(8)
    message = Envelope(NodeId("local/operator"), U0, SetDrain(draining=True))
    deployment.network.send(
        deployment.network.nodes[U0].receive(message, now=deployment.network.now)
    )
    deployment.put(PATH, DrainObject(node_id=U0, draining=False))
    deployment.run(5)
    assert deployment.states(U0) == {MemberState.DRAINING}


def test_partner_cannot_drain_an_upstream_of_another_partner() -> None:
    """Guards against one partner disrupting another partner's service."""
    deployment = Deployment(seed=3)
    deployment.run(8)
    deployment.put("drains/studio/x", DrainObject(node_id=U0))
    deployment.run(4)
    assert deployment.states(U0) == {MemberState.RUNNING}


def test_draining_balancer_releases_its_lease() -> None:
    """Guards against a lease that a draining balancer keeps until expiry."""
    deployment = Deployment(seed=4)
    deployment.run(10)
    holder = next(
        node
        for node in deployment.balancers
        if node.control.watcher.holding(deployment.network.now)
    )
    deployment.put(f"drains/{PARTNER}/b", DrainObject(node_id=holder.node_id))
    deployment.run(DRAIN_NOTICE_S)
    assert deployment.states(holder.node_id) == {MemberState.DRAINING}
    assert not holder.control.watcher.holding(deployment.network.now)


def test_outdated_drain_orders_are_ignored() -> None:
    """Guards against drain orders that are no longer valid.

    These come from a former lease holder, or from an older version of the
    drain object.
    """
    state = DrainState(node_id=U0, incarnation=Incarnation(1))
    lease = "leases/meknes/0"
    holder, paused = balancer_node("b0"), balancer_node("b1")
    new = DrainOrder(draining=False, version=5, path=PATH, lease=lease, token=9)
    state.order(holder, new)
    late = DrainOrder(draining=True, version=6, path=PATH, lease=lease, token=8)
    [sent] = state.order(paused, late)
    assert sent.payload.name == "refused.fenced"
    old = DrainOrder(draining=True, version=4, path=PATH, lease=lease, token=10)
    state.order(holder, old)
    assert not state.draining


def test_status_reports_generations_and_conditions() -> None:
    """Guards against a status that hides missing or undeclared upstreams."""
    deployment = Deployment(seed=5)
    deployment.add_agent(9)
    deployment.apply(service(upstreams=9))
    deployment.run(20)
    partner_status = status(deployment).partners[PARTNER]
    assert partner_status.generation == 1 and partner_status.in_force
    assert partner_status.balancers == {1: 3} and partner_status.agents == {1: 2}
    assert partner_status.announced == 1
    assert set(partner_status.missing) == {f"{SERVICE}/u3", f"{SERVICE}/u6"}
    assert set(partner_status.undeclared) == {f"{SERVICE}/u9"}
    deployment.put(PATH, DrainObject(node_id=U0))
    deployment.run(15)
    assert set(status(deployment).partners[PARTNER].draining) == {f"{SERVICE}/u0"}


def test_status_is_not_in_force_while_a_balancer_is_silent() -> None:
    """Guards against reporting a sheet as in force too early.

    A balancer that has not replied may still have the previous sheet.
    """
    deployment = Deployment(seed=7)
    deployment.apply(service())
    deployment.run(20)
    assert status(deployment).partners[PARTNER].in_force
    writer = status(deployment).writer
    silent = next(item for item in deployment.seeds[0::3] if item != writer)
    deployment.network.is_cut = lambda a, b: silent in (a, b)
    deployment.apply(service(2.0))
    deployment.run(7)
    zone_status = status(deployment)
    assert zone_status.replied < zone_status.balancers
    assert not zone_status.partners[PARTNER].in_force


def test_upstream_is_reported_as_drained_only_without_work() -> None:
    """Guards against operators replacing a VM whose upstream has work."""
    deployment = Deployment(seed=7)
    deployment.apply(service())
    deployment.run(10)
    agent = deployment.network.nodes[U0]
    agent.link.idle = lambda: False
    deployment.put(PATH, DrainObject(node_id=U0))
    deployment.run(200)
    assert status(deployment).partners[PARTNER].drained == ()
    agent.link.idle = lambda: True
    deployment.run(70)
    assert status(deployment).partners[PARTNER].drained == (f"{SERVICE}/u0",)
    deployment.put(PATH, DrainObject(node_id=U0, draining=False))
    deployment.run(70)
    assert status(deployment).partners[PARTNER].drained == ()


def test_status_writes_are_rate_limited() -> None:
    """Guards against one status write for each change."""
    deployment = Deployment(seed=6)
    deployment.run(10)
    before = deployment.network.store.objects.copy()
    writes = 0
    for index in range(60):
        deployment.apply(service(1.0 + index))
        deployment.run(5)
        writes += sum(
            deployment.network.store.objects[path] != before.get(path)
            for path in deployment.network.store.objects
            if path.startswith("status/")
        )
        before = deployment.network.store.objects.copy()
    assert 9 <= writes <= 3 * (300 / 60 + 3 + 1)
