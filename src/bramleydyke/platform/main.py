"""Builds and runs a balancer or an agent on the users' platform."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from bramleydyke.adapters.early_sockets import EarlySockets
from bramleydyke.adapters.http_client import HttpClient
from bramleydyke.daemons.direct import StoreFactory, run_node
from bramleydyke.daemons.direct_agent import DirectAgent
from bramleydyke.daemons.direct_balancer import DirectBalancer
from bramleydyke.direct.ports import Count, Observe
from bramleydyke.direct.settings import (
    DirectSettings,
    Role,
    SettingsError,
    load_settings,
)
from bramleydyke.platform.endpoints import (
    readiness_handler,
    reject_reports,
    report_handler,
)
from bramleydyke.platform.packets import PlatformPackets
from bramleydyke.platform.store import PlatformStore
from bramleydyke.ports import Clock

START_FAILED = 2
"""Exit status when the settings file cannot be used."""


def main(settings_path: Path, early_sockets: EarlySockets) -> int:
    """Runs a balancer or an agent until it exits; returns the exit status.

    Args:
        settings_path: Settings file, which also selects the role.
        early_sockets: Sockets that ``bind_early`` has opened.
    """
    try:
        settings = load_settings(settings_path)
    except SettingsError as error:
        sys.stderr.write(f"bramleydyke: {error}\n")
        return START_FAILED
    run_node(
        lambda reactor: new_node(
            reactor, settings, settings_path, early_sockets=early_sockets
        ),
        lambda node: node.terminate(),
    )
    return 0


def new_node(
    reactor: Any, settings: DirectSettings, settings_path: Path, **options: Any
) -> DirectBalancer | DirectAgent:
    """Returns a balancer or an agent that uses the platform's protocol.

    Its HTTP endpoints are already listening; ``start`` opens the rest.

    Args:
        reactor: Twisted's reactor.
        settings: Settings of the node, including its role.
        settings_path: Settings file; the node reloads it when it changes.
        options: Further keyword arguments of ``DirectNode``.
    """
    new_node_of_role = _new_balancer if settings.role is Role.BALANCER else _new_agent
    return new_node_of_role(reactor, settings, settings_path, **options)


def _new_store(settings: DirectSettings) -> StoreFactory:
    def new_store(
        reactor: Any, clock: Clock, count: Count, observe: Observe
    ) -> PlatformStore:
        calls = HttpClient(
            reactor=reactor, clock=clock, content_type="application/json"
        )
        return PlatformStore(
            calls=calls,
            endpoint=settings.store_endpoint,
            count=count,
            observe=observe,
        )

    return new_store


def _new_balancer(
    reactor: Any, settings: DirectSettings, settings_path: Path, **options: Any
) -> DirectBalancer:
    node = DirectBalancer(
        reactor,
        settings,
        settings_path,
        codec=PlatformPackets(),
        new_store=_new_store(settings),
        **options,
    )
    if settings.ready_endpoint is not None:
        node.listen(settings.ready_endpoint, readiness_handler(node.ready))
    if settings.control_endpoint is not None:
        node.listen(settings.control_endpoint, reject_reports)
    return node


def _new_agent(
    reactor: Any, settings: DirectSettings, settings_path: Path, **options: Any
) -> DirectAgent:
    node = DirectAgent(
        reactor,
        settings,
        settings_path,
        codec=PlatformPackets(),
        new_store=_new_store(settings),
        **options,
    )
    if settings.ready_endpoint is not None:
        node.listen(
            settings.ready_endpoint,
            readiness_handler(lambda: not node.role.announcer.stopping),
        )
    if settings.control_endpoint is not None:
        handler = report_handler(
            node.on_report,
            node.on_upstream_ended,
            count=node.count,
            record=node.log.record,
        )
        node.listen(settings.control_endpoint, handler)
    return node
