"""Operators' drains and the status of a zone."""

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


def status(net: Deployment, zone: int = 0) -> ZoneStatus:
    value, _ = net.net.store.objects[f"status/{ZONES[zone]}"]
    return msgspec.json.decode(value, type=ZoneStatus)


def test_operator_drains_and_undrains_an_upstream() -> None:
    """Guards against a drain object that does not reach the agent in time."""
    net = Deployment(seed=1)
    net.apply(service())
    net.run(10)
    net.net.loss = 0.05
    net.put(PATH, DrainObject(node_id=U0))
    net.run(DRAIN_NOTICE_S)
    assert net.net.nodes[U0].requests.draining
    assert net.states(U0) == {MemberState.DRAINING}
    net.add_agent(0, incarnation=2)
    net.run(5)
    assert net.net.nodes[U0].requests.draining
    net.put(PATH, DrainObject(node_id=U0, draining=False))
    net.run(DRAIN_NOTICE_S)
    assert not net.net.nodes[U0].requests.draining
    assert net.states(U0) == {MemberState.RUNNING}


def test_undrain_leaves_a_process_that_stops() -> None:
    """Guards against new work for a process that a signal is ending."""
    net = Deployment(seed=2)
    net.run(8)
    message = Envelope(NodeId("local/operator"), U0, SetDrain(draining=True))
    net.net.send(net.net.nodes[U0].receive(message, now=net.net.now))
    net.put(PATH, DrainObject(node_id=U0, draining=False))
    net.run(5)
    assert net.states(U0) == {MemberState.DRAINING}


def test_one_partner_cannot_drain_the_others_upstream() -> None:
    """Guards against a drain object that disrupts the other partner."""
    net = Deployment(seed=3)
    net.run(8)
    net.put("drains/studio/x", DrainObject(node_id=U0))
    net.run(4)
    assert net.states(U0) == {MemberState.RUNNING}


def test_draining_balancer_gives_up_its_lease() -> None:
    """Guards against a zone without watchers after a planned stop."""
    net = Deployment(seed=4)
    net.run(10)
    holder = next(
        node for node in net.balancers if node.control.watcher.holding(net.net.now)
    )
    net.put(f"drains/{PARTNER}/b", DrainObject(node_id=holder.node_id))
    net.run(DRAIN_NOTICE_S)
    assert net.states(holder.node_id) == {MemberState.DRAINING}
    assert not holder.control.watcher.holding(net.net.now)


def test_orders_of_an_older_holder_are_ignored() -> None:
    """Guards against a paused holder that drains after it lost its lease."""
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


def test_status_tells_what_is_in_force_and_what_is_not() -> None:
    """Guards against operators who cannot see what is missing."""
    net = Deployment(seed=5)
    net.add_agent(9)
    net.apply(service(upstreams=9))
    net.run(20)
    told = status(net).partners[PARTNER]
    assert told.generation == 1 and told.in_force
    assert told.balancers == {1: 3} and told.agents == {1: 2}
    assert told.announced == 1
    assert set(told.missing) == {f"{SERVICE}/u3", f"{SERVICE}/u6"}
    assert set(told.undeclared) == {f"{SERVICE}/u9"}
    net.put(PATH, DrainObject(node_id=U0))
    net.run(15)
    assert set(status(net).partners[PARTNER].draining) == {f"{SERVICE}/u0"}


def test_status_does_not_claim_what_a_silent_balancer_holds() -> None:
    """Guards against a status in force while a balancer has not answered."""
    net = Deployment(seed=7)
    net.apply(service())
    net.run(20)
    assert status(net).partners[PARTNER].in_force
    writer = status(net).writer
    silent = next(item for item in net.seeds[0::3] if item != writer)
    net.net.cut = lambda a, b: silent in (a, b)
    net.apply(service(2.0))
    net.run(7)
    told = status(net)
    assert told.replied < told.balancers
    assert not told.partners[PARTNER].in_force


def test_status_names_an_upstream_as_drained_only_without_work() -> None:
    """Guards against a VM that is replaced while its upstream has work."""
    net = Deployment(seed=7)
    net.apply(service())
    net.run(10)
    agent = net.net.nodes[U0]
    agent.link.idle = lambda: False
    net.put(PATH, DrainObject(node_id=U0))
    net.run(200)
    assert status(net).partners[PARTNER].drained == ()
    agent.link.idle = lambda: True
    net.run(70)
    assert status(net).partners[PARTNER].drained == (f"{SERVICE}/u0",)
    net.put(PATH, DrainObject(node_id=U0, draining=False))
    net.run(70)
    assert status(net).partners[PARTNER].drained == ()


def test_status_writes_are_bounded_while_everything_changes() -> None:
    """Guards against status writes that grow with the rate of changes."""
    net = Deployment(seed=6)
    net.run(10)
    before = net.net.store.objects.copy()
    writes = 0
    for index in range(60):
        net.apply(service(1.0 + index))
        net.run(5)
        writes += sum(
            net.net.store.objects[path] != before.get(path)
            for path in net.net.store.objects
            if path.startswith("status/")
        )
        before = net.net.store.objects.copy()
    assert 9 <= writes <= 3 * (300 / 60 + 3 + 1)
