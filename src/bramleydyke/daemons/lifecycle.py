"""Drain and stop of a program: RUNNING, DRAINING, STOPPED."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

from bramleydyke.constants import DRAIN_NOTICE_S
from bramleydyke.ports import Clock

IDLE_POLL_S = 0.1
"""Interval at which a draining program looks whether its work has ended."""


class Lifecycle(Protocol):
    """Events in the life of a program."""

    def terminate(self) -> None:
        """A signal asks the program to end."""

    def work_ended(self) -> None:
        """No request or flow is left."""


@dataclass(slots=True, kw_only=True)
class Program:
    """What a program does at each step of its end.

    Attributes:
        drain: Stops taking new work.
        idle: Tells whether no work is left.
        stop: Stops at once; ``abrupt`` if work may be left.
    """

    drain: Callable[[], None]
    idle: Callable[[], bool]
    stop: Callable[[bool], None]
    clock: Clock


def _machine() -> Callable[[Program], Lifecycle]:
    builder = TypeMachineBuilder(Lifecycle, Program)
    running = builder.state("running")
    draining = builder.state("draining")
    stopped = builder.state("stopped")

    @running.upon(Lifecycle.terminate).to(draining)
    def begin(lifecycle: Lifecycle, program: Program) -> None:
        """Drains for the time in which peers may still send new work.

        A node that left at once could not refuse an offer on its way, and
        the outcome of that request would be unknown.
        """
        program.drain()
        program.clock.callLater(DRAIN_NOTICE_S, _poll, lifecycle, program)

    @draining.upon(Lifecycle.terminate).to(stopped)
    def give_up(lifecycle: Lifecycle, program: Program) -> None:
        program.stop(True)

    @draining.upon(Lifecycle.work_ended).to(stopped)
    def end(lifecycle: Lifecycle, program: Program) -> None:
        program.stop(False)

    @stopped.upon(Lifecycle.terminate).loop()
    def ignore_signal(lifecycle: Lifecycle, program: Program) -> None:
        """A third signal changes nothing."""

    @stopped.upon(Lifecycle.work_ended).loop()
    def ignore_end(lifecycle: Lifecycle, program: Program) -> None:
        """The poll may find the work ended after a second signal."""

    return builder.build()


def _poll(lifecycle: Lifecycle, program: Program) -> None:
    if program.idle():
        lifecycle.work_ended()
    else:
        program.clock.callLater(IDLE_POLL_S, _poll, lifecycle, program)


new_lifecycle = _machine()
"""Returns the lifecycle of a program that is running."""
