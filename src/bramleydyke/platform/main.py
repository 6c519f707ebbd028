"""Entry point of the programs on the users' platform."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from bramleydyke.adapters.early_sockets import EarlySockets
from bramleydyke.adapters.http_calls import HttpCalls
from bramleydyke.daemons.direct import NewStore, run_node
from bramleydyke.daemons.direct_agent import DirectAgent
from bramleydyke.daemons.direct_balancer import DirectBalancer
from bramleydyke.direct.ports import Count, Observe
from bramleydyke.direct.settings import (
    DirectSettings,
    Role,
    SettingsError,
    load_settings,
)
from bramleydyke.platform.endpoints import no_reports, readiness, reports
from bramleydyke.platform.packets import PlatformPackets
from bramleydyke.platform.store import PlatformStore
from bramleydyke.ports import Clock

START_FAILED = 2
"""Exit status of a program that cannot start."""


def main(path: Path, early: EarlySockets) -> int:
    """Runs the program that the settings name; returns its exit status.

    Args:
        path: Settings file.
        early: Sockets that are open already.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"bramleydyke: {error}\n")
        return START_FAILED
    run_node(
        lambda reactor: new_node(reactor, settings, path, early=early),
        lambda node: node.terminate(),
    )
    return 0


def new_node(
    reactor: Any, settings: DirectSettings, path: Path, **options: Any
) -> DirectBalancer | DirectAgent:
    """Returns the program of some settings, with the platform's interfaces.

    Args:
        reactor: Twisted's reactor.
        settings: Settings of the program.
        path: File that the settings came from.
        options: Passed to the program.
    """
    make = _balancer if settings.role is Role.BALANCER else _agent
    return make(reactor, settings, path, **options)


def _new_store(settings: DirectSettings) -> NewStore:
    def new_store(
        reactor: Any, clock: Clock, count: Count, observe: Observe
    ) -> PlatformStore:
        calls = HttpCalls(reactor=reactor, clock=clock, content_type="application/json")
        return PlatformStore(
            calls=calls,
            endpoint=settings.store_endpoint,
            count=count,
            observe=observe,
        )

    return new_store


def _balancer(
    reactor: Any, settings: DirectSettings, path: Path, **options: Any
) -> DirectBalancer:
    node = DirectBalancer(
        reactor,
        settings,
        path,
        codec=PlatformPackets(),
        new_store=_new_store(settings),
        **options,
    )
    if settings.ready_endpoint is not None:
        node.listen(settings.ready_endpoint, readiness(node.ready))
    if settings.control_endpoint is not None:
        node.listen(settings.control_endpoint, no_reports)
    return node


def _agent(
    reactor: Any, settings: DirectSettings, path: Path, **options: Any
) -> DirectAgent:
    node = DirectAgent(
        reactor,
        settings,
        path,
        codec=PlatformPackets(),
        new_store=_new_store(settings),
        **options,
    )
    if settings.ready_endpoint is not None:
        node.listen(
            settings.ready_endpoint, readiness(lambda: not node.role.announcer.pausing)
        )
    if settings.control_endpoint is not None:
        handler = reports(
            node.report, node.left, count=node.count, record=node.log.record
        )
        node.listen(settings.control_endpoint, handler)
    return node
