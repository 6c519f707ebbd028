"""Main functions of the processes: balancer, agent and platform stand-in."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any, Protocol

import zmq
from twisted.internet.error import CannotListenError

from bramleydyke.adapters.logs import json_handler
from bramleydyke.daemons.agent import AgentNode
from bramleydyke.daemons.balancer import BalancerNode
from bramleydyke.daemons.environment import Environment, new_environment
from bramleydyke.daemons.lifecycle import ShutdownActions, new_lifecycle
from bramleydyke.settings import AgentSettings, BalancerSettings, PlatformSettings
from bramleydyke.standins.platform import PlatformServer

EXIT_DELAY_S = 0.6
"""Wait after a regular stop before the reactor is stopped.

Queued frames are sent during this time.
"""


class StartError(Exception):
    """The process cannot start; the message gives the cause in one line."""


class _Runnable(Protocol):
    """A node or server that ``_run`` can start and stop."""

    def start(self) -> None:
        """Opens the sockets and starts serving."""

    def drain(self) -> None:
        """Refuses new work; work in progress continues."""

    def idle(self) -> bool:
        """Returns whether no work is in progress."""

    def stop(self, *, abrupt: bool = False) -> None:
        """Stops at once.

        If ``abrupt`` is true, the process notifies no other node, as in a
        crash.
        """


def run_balancer(settings: BalancerSettings) -> None:
    """Runs a balancer until signals have stopped it.

    Raises:
        StartError: An address cannot be used.
    """
    _run(lambda env: BalancerNode(settings, environment=env), settings.log_level)


def run_agent(settings: AgentSettings) -> None:
    """Runs an agent until signals have stopped it.

    Raises:
        StartError: An address cannot be used.
    """
    _run(lambda env: AgentNode(settings, environment=env), settings.log_level)


def run_platform(settings: PlatformSettings) -> None:
    """Runs the platform stand-in until signals have stopped it.

    Raises:
        StartError: An address cannot be used.
    """
    _run(lambda env: PlatformServer(settings, environment=env), settings.log_level)


def _run(new_runnable: Callable[[Environment], _Runnable], log_level: str) -> None:
    from twisted.internet import reactor as any_reactor

    # Importing the reactor installs it globally, so library modules don't.
    reactor: Any = any_reactor
    with json_handler(level=log_level).applicationbound():
        environment = new_environment(reactor)
        try:
            runnable = new_runnable(environment)
            runnable.start()
        except (CannotListenError, zmq.ZMQError) as error:
            raise StartError(str(error)) from error
        _stop_on_signals(runnable, environment)
        reactor.run(installSignalHandlers=False)
    environment.context.destroy(linger=0)


def _stop_on_signals(runnable: _Runnable, environment: Environment) -> None:
    """Drains the process on the first signal and stops it on the second."""
    reactor = environment.reactor

    def stop(abrupt: bool) -> None:
        runnable.stop(abrupt=abrupt)
        reactor.callLater(0 if abrupt else EXIT_DELAY_S, reactor.stop)

    actions = ShutdownActions(
        drain=runnable.drain,
        idle=runnable.idle,
        stop=stop,
        clock=environment.clock,
    )
    lifecycle = new_lifecycle(actions)

    def on_signal(number: int, frame: object) -> None:
        reactor.callFromThread(lifecycle.terminate)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
