"""Builds an agent that uses the platform's protocol."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from bramleydyke.daemons.direct_agent import DirectAgent
from bramleydyke.direct.settings import DirectSettings
from bramleydyke.platform.endpoints import readiness_handler, report_handler
from bramleydyke.platform.packets import PlatformPackets
from bramleydyke.platform.store import store_factory


def new_agent(
    reactor: Any, settings: DirectSettings, settings_path: Path, **options: Any
) -> DirectAgent:
    """Returns an agent whose HTTP endpoints are already listening.

    Args:
        reactor: Twisted's reactor.
        settings: Settings of the node.
        settings_path: Settings file; the node reloads it when it changes.
        options: Further keyword arguments of ``DirectNode``.
    """
    node = DirectAgent(
        reactor,
        settings,
        settings_path,
        codec=PlatformPackets(),
        new_store=store_factory(settings.store_endpoint),
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
