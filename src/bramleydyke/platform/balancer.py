"""Builds a balancer that uses the platform's protocol."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from bramleydyke.daemons.direct_balancer import DirectBalancer
from bramleydyke.direct.settings import DirectSettings
from bramleydyke.platform.endpoints import readiness_handler, reject_reports
from bramleydyke.platform.packets import PlatformPackets
from bramleydyke.platform.store import store_factory


def new_balancer(
    reactor: Any, settings: DirectSettings, settings_path: Path, **options: Any
) -> DirectBalancer:
    """Returns a balancer whose HTTP endpoints are already listening.

    Args:
        reactor: Twisted's reactor.
        settings: Settings of the node.
        settings_path: Settings file; the node reloads it when it changes.
        options: Further keyword arguments of ``DirectNode``.
    """
    node = DirectBalancer(
        reactor,
        settings,
        settings_path,
        codec=PlatformPackets(),
        new_store=store_factory(settings.store_endpoint),
        **options,
    )
    if settings.ready_endpoint is not None:
        node.listen(settings.ready_endpoint, readiness_handler(node.ready))
    if settings.control_endpoint is not None:
        node.listen(settings.control_endpoint, reject_reports)
    return node
