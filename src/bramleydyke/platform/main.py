"""Builds and runs a balancer or an agent on the users' platform."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from bramleydyke.adapters.early_sockets import EarlySockets
from bramleydyke.daemons.direct import DirectNode, run_node
from bramleydyke.direct.settings import (
    DirectSettings,
    Role,
    SettingsError,
    load_settings,
)

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
) -> DirectNode:
    """Returns a balancer or an agent that uses the platform's protocol.

    Its HTTP endpoints are already listening; ``start`` opens the rest.

    Args:
        reactor: Twisted's reactor.
        settings: Settings of the node, including its role.
        settings_path: Settings file; the node reloads it when it changes.
        options: Further keyword arguments of ``DirectNode``.
    """
    # A process loads the modules of its own role only, to start faster.
    if settings.role is Role.BALANCER:
        from bramleydyke.platform.balancer import new_balancer

        return new_balancer(reactor, settings, settings_path, **options)
    from bramleydyke.platform.agent import new_agent

    return new_agent(reactor, settings, settings_path, **options)
