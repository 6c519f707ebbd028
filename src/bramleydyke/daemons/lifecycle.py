"""State machine for the shutdown of a process: running, draining, stopped."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

from bramleydyke.constants import DRAIN_NOTICE_S
from bramleydyke.ports import Clock

IDLE_POLL_S = 0.1
"""Interval between the idle checks of a draining process."""


class Lifecycle(Protocol):
    """Events that advance the shutdown of a process."""

    def terminate(self) -> None:
        """Handles a signal; the first one drains, the second one stops."""

    def work_ended(self) -> None:
        """Handles the end of the last request or flow in progress."""


@dataclass(slots=True, kw_only=True)
class ShutdownActions:
    """Actions of a process during its shutdown.

    Attributes:
        drain: Makes the process refuse new work.
        idle: Returns whether no work is in progress.
        stop: Stops the process at once. The argument is True if work may
            still be in progress.
        clock: Schedules the checks whether the process is idle.
    """

    drain: Callable[[], None]
    idle: Callable[[], bool]
    stop: Callable[[bool], None]
    clock: Clock


def _build_machine() -> Callable[[ShutdownActions], Lifecycle]:
    builder = TypeMachineBuilder(Lifecycle, ShutdownActions)
    running = builder.state("running")
    draining = builder.state("draining")
    stopped = builder.state("stopped")

    @running.upon(Lifecycle.terminate).to(draining)
    def start_drain(lifecycle: Lifecycle, actions: ShutdownActions) -> None:
        """Drains for at least ``DRAIN_NOTICE_S``, even if no work is left.

        Peers may send new work during that time. A node that stopped at once
        could not refuse an offer in transit, and the outcome of that request
        would be unknown.
        """
        actions.drain()
        actions.clock.callLater(DRAIN_NOTICE_S, _check_idle, lifecycle, actions)

    @draining.upon(Lifecycle.terminate).to(stopped)
    def stop_abruptly(lifecycle: Lifecycle, actions: ShutdownActions) -> None:
        actions.stop(True)

    @draining.upon(Lifecycle.work_ended).to(stopped)
    def stop_when_idle(lifecycle: Lifecycle, actions: ShutdownActions) -> None:
        actions.stop(False)

    @stopped.upon(Lifecycle.terminate).loop()
    def ignore_signal(lifecycle: Lifecycle, actions: ShutdownActions) -> None:
        """Ignores a third signal."""

    @stopped.upon(Lifecycle.work_ended).loop()
    def ignore_work_ended(lifecycle: Lifecycle, actions: ShutdownActions) -> None:
        """Ignores a check that runs after the second signal."""

    return builder.build()


def _check_idle(lifecycle: Lifecycle, actions: ShutdownActions) -> None:
    if actions.idle():
        lifecycle.work_ended()
    else:
        actions.clock.callLater(IDLE_POLL_S, _check_idle, lifecycle, actions)


new_lifecycle = _build_machine()
"""Returns a lifecycle in the state ``running`` for a ``ShutdownActions``."""
