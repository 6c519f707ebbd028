"""Tests of how a program drains and stops, with a simulated clock."""

from __future__ import annotations

from twisted.internet.task import Clock

from bramleydyke.constants import DRAIN_NOTICE_S
from bramleydyke.daemons.lifecycle import (
    IDLE_POLL_S,
    Lifecycle,
    ShutdownActions,
    new_lifecycle,
)


class FakeProgram:
    """Program that records the calls of its lifecycle."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.busy = True
        self.clock = Clock()

    def lifecycle(self) -> Lifecycle:
        return new_lifecycle(
            ShutdownActions(
                drain=lambda: self.calls.append("drain"),
                idle=lambda: not self.busy,
                stop=lambda abrupt: self.calls.append("abort" if abrupt else "stop"),
                clock=self.clock,
            )
        )


def test_first_signal_waits_for_the_work() -> None:
    """Guards against a planned stop that interrupts a request."""
    program = FakeProgram()
    program.lifecycle().terminate()
    program.clock.pump([1.0] * 20)
    assert program.calls == ["drain"]
    program.busy = False
    program.clock.pump([IDLE_POLL_S] * 5)
    assert program.calls == ["drain", "stop"]


def test_idle_program_stays_until_peers_know() -> None:
    """Guards against requests sent to a node that has stopped.

    Peers may send new work until ``DRAIN_NOTICE_S`` after the notice.
    """
    program = FakeProgram()
    program.busy = False
    program.lifecycle().terminate()
    program.clock.advance(DRAIN_NOTICE_S - 0.1)
    assert program.calls == ["drain"]
    program.clock.advance(0.2)
    assert program.calls == ["drain", "stop"]


def test_second_signal_stops_at_once_and_only_once() -> None:
    """Guards against a program that cannot be stopped, or stops twice."""
    program = FakeProgram()
    lifecycle = program.lifecycle()
    for _ in range(3):
        lifecycle.terminate()
    program.busy = False
    program.clock.pump([1.0] * 10)
    assert program.calls == ["drain", "abort"]
