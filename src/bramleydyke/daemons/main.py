"""Main loops: one program each, from its settings to its last signal."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any, Protocol

import zmq
from twisted.internet.error import CannotListenError

from bramleydyke.adapters.logs import json_handler
from bramleydyke.daemons.agent import AgentNode
from bramleydyke.daemons.balancer import BalancerNode
from bramleydyke.daemons.environment import Environment, environment_of
from bramleydyke.daemons.lifecycle import Program, new_lifecycle
from bramleydyke.settings import AgentSettings, BalancerSettings, PlatformSettings
from bramleydyke.standins.platform import PlatformServer

EXIT_DELAY_S = 0.6
"""Time between the last message and the end, for frames on their way out."""


class StartError(Exception):
    """A program cannot start; the text says why, in one line."""


class _Runnable(Protocol):
    def start(self) -> None:
        """Starts to work."""

    def drain(self) -> None:
        """Takes no new work."""

    def idle(self) -> bool:
        """Tells whether no work is left."""

    def stop(self, *, abrupt: bool = False) -> None:
        """Stops at once."""


def run_balancer(settings: BalancerSettings) -> None:
    """Runs a balancer until it is told to end."""
    _run(lambda env: BalancerNode(settings, environment=env), settings.log_level)


def run_agent(settings: AgentSettings) -> None:
    """Runs an agent until it is told to end."""
    _run(lambda env: AgentNode(settings, environment=env), settings.log_level)


def run_platform(settings: PlatformSettings) -> None:
    """Runs the platform stand-in until it is told to end."""
    _run(lambda env: PlatformServer(settings, environment=env), settings.log_level)


def _run(make: Callable[[Environment], _Runnable], log_level: str) -> None:
    from twisted.internet import reactor as any_reactor

    # Importing the reactor installs it, so only programs do so.
    reactor: Any = any_reactor
    with json_handler(level=log_level).applicationbound():
        environment = environment_of(reactor)
        try:
            runnable = make(environment)
            runnable.start()
        except (CannotListenError, zmq.ZMQError) as error:
            raise StartError(str(error)) from error
        _end_on_signals(runnable, environment)
        reactor.run(installSignalHandlers=False)
    environment.context.destroy(linger=0)


def _end_on_signals(runnable: _Runnable, environment: Environment) -> None:
    """Makes the first signal drain the program and the second one stop it."""
    reactor = environment.reactor

    def stop(abrupt: bool) -> None:
        runnable.stop(abrupt=abrupt)
        reactor.callLater(0 if abrupt else EXIT_DELAY_S, reactor.stop)

    program = Program(
        drain=runnable.drain,
        idle=runnable.idle,
        stop=stop,
        clock=environment.clock,
    )
    lifecycle = new_lifecycle(program)

    def on_signal(number: int, frame: object) -> None:
        reactor.callFromThread(lifecycle.terminate)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
