"""Tests of the runner with a simulated clock and a simulated role."""

from __future__ import annotations

from twisted.internet.task import Clock

from bramleydyke.adapters.metrics import Metrics
from bramleydyke.adapters.runner import WAKEUP_RETRY_DELAY_S, Runner
from bramleydyke.core.members import Members
from bramleydyke.messages import Count, Envelope, SetDrain
from bramleydyke.types import LOCAL_METRICS, NodeId

ME = NodeId("agent/x")
PEER = NodeId("balancer/b")
IN = Envelope(PEER, ME, SetDrain(draining=True))


class FakeRole:
    """Role that returns fixed messages and wakes up at fixed times."""

    def __init__(self) -> None:
        self.node_id = ME
        self.members = Members()
        self.replies: list[Envelope] = []
        self.wakeups: list[float] = []
        self.woken_at: list[float] = []
        self.fails = False

    def receive(self, envelope: Envelope, *, now: float) -> list[Envelope]:
        if self.fails:
            raise ValueError("fault in a handler")
        return self.replies

    def wake(self, *, now: float) -> list[Envelope]:
        if self.fails:
            raise ValueError("fault in a wake-up")
        self.woken_at.append(now)
        self.wakeups = [at for at in self.wakeups if at > now]
        return []

    def next_wakeup(self) -> float | None:
        return min(self.wakeups, default=None)

    def idle(self) -> bool:
        return True


def new_runner() -> tuple[Runner, FakeRole, Clock, Metrics]:
    role, clock, metrics = FakeRole(), Clock(), Metrics()
    return Runner(role=role, clock=clock, count=metrics.count), role, clock, metrics


def test_messages_reach_ports_and_nodes() -> None:
    """Guards against a message that goes to the wrong port or node."""
    runner, role, _, metrics = new_runner()
    sent: list[Envelope] = []
    runner.send = sent.append
    runner.ports[LOCAL_METRICS] = metrics.handle
    to_peer = Envelope(ME, PEER, SetDrain(draining=False))
    to_nobody = Envelope(ME, NodeId("local/other"), Count(name="x"))
    count = Envelope(ME, LOCAL_METRICS, Count(name="seen"))
    role.replies = [to_peer, count, to_nobody]
    runner.deliver(IN)
    assert sent == [to_peer]
    assert metrics.counts == {"seen": 1, "runner.no_port": 1}


def test_wakes_at_the_earliest_time() -> None:
    """Guards against a wake-up that is missed, early or repeated."""
    runner, role, clock, _ = new_runner()
    role.wakeups = [5.0]
    runner.start()
    role.wakeups.append(2.0)
    runner.deliver(IN)
    clock.pump([1.0] * 6)
    assert role.woken_at == [2.0, 5.0]


def test_failure_in_the_role_is_counted_and_the_runner_goes_on() -> None:
    """Guards against one exception that stops all work of a node."""
    runner, role, clock, metrics = new_runner()
    role.fails = True
    role.wakeups = [1.0]
    runner.deliver(IN)
    clock.advance(1.0)
    assert metrics.counts["runner.failed"] == 2
    role.fails = False
    clock.advance(WAKEUP_RETRY_DELAY_S)
    assert role.woken_at == [1.0 + WAKEUP_RETRY_DELAY_S]


def test_port_that_answers_at_once_does_not_nest() -> None:
    """Guards against recursion, which would also reorder messages."""
    runner, role, _, _ = new_runner()
    order: list[int] = []

    def port(_: object) -> None:
        order.append(len(order))
        if len(order) < 2_000:
            runner.deliver(IN)

    runner.ports[LOCAL_METRICS] = port
    role.replies = [Envelope(ME, LOCAL_METRICS, Count(name="x"))]
    runner.deliver(IN)
    for _ in range(20):
        runner.clock.advance(0)
    assert len(order) == 2_000


def test_stopped_runner_does_nothing() -> None:
    """Guards against work after a stop, when all sockets are closed."""
    runner, role, clock, _ = new_runner()
    role.wakeups = [1.0]
    runner.start()
    runner.stop()
    runner.deliver(IN)
    clock.advance(2.0)
    assert role.woken_at == []
