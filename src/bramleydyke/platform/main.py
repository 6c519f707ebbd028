"""Builds and runs a balancer or an agent on the users' platform."""

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
"""Exit status when the settings file cannot be used."""


def main(path: Path, early: EarlySockets) -> int:
    """Runs a balancer or an agent until it ends; returns the exit status.

    Args:
        path: Settings file, which also selects the role.
        early: Sockets that ``bind_early`` has opened, by type and endpoint.
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
    """Returns a balancer or an agent that uses the platform's protocol.

    Its HTTP endpoints are open on return; ``start`` does the rest.

    Args:
        reactor: Twisted's reactor.
        settings: Settings of the node, including its role.
        path: Settings file, which the node reads again when it changes.
        options: Further keyword arguments of ``DirectNode``.
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
