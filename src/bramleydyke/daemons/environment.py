"""What all nodes of one process share."""

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
    """Reactor, clock and zmq context of one process."""

    reactor: Any
    clock: Clock
    context: zmq.Context[Any] = field(default_factory=new_context)


def environment_of(reactor: Any) -> Environment:
    """Returns the environment of a running process."""
    return Environment(reactor, MonotonicClock(reactor))


def new_incarnation() -> Incarnation:
    """Returns a number above those of earlier runs on this VM.

    VMs keep no state, so the wall clock is the only source; in microseconds,
    so that a process that restarts at once gets another number.
    """
    return Incarnation(time.time_ns() // 1_000)
