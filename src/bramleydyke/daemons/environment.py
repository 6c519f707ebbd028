"""Objects that all nodes in one process share."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import zmq

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.adapters.links import new_context
from bramleydyke.ports import Clock
from bramleydyke.types import Incarnation


@dataclass(slots=True)
class Environment:
    """Reactor, clock and ZeroMQ context of one process."""

    reactor: Any
    clock: Clock
    context: zmq.Context[Any] = field(default_factory=new_context)


def new_environment(reactor: Any) -> Environment:
    """Returns an environment with monotonic time for a reactor."""
    return Environment(reactor, MonotonicClock(reactor))


def new_incarnation() -> Incarnation:
    """Returns a number greater than those of earlier runs on this VM.

    A process stores nothing on its VM, so the number comes from the wall
    clock. It counts microseconds, so that a process that restarts at once
    gets another number.
    """
    return Incarnation(time.time_ns() // 1_000)
