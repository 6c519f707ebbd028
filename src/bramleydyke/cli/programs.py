"""Commands that run a balancer, agent, platform stand-in or the demo."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from bramleydyke.cli.exits import ExitCode, fail, load_or_fail
from bramleydyke.settings import AgentSettings, BalancerSettings, PlatformSettings

SettingsType = TypeVar("SettingsType")

_SETTINGS_FILE = click.argument(
    "settings_file", type=click.Path(path_type=Path, exists=True, dir_okay=False)
)


def _run_or_fail(
    run_program: Callable[[SettingsType], None], settings: SettingsType, path: Path
) -> None:
    """Runs a program until a signal ends it; exits if it cannot start."""
    from bramleydyke.daemons.main import StartError

    try:
        run_program(settings)
    except StartError as error:
        fail(f"{path}: cannot start: {error}", ExitCode.REFUSED)


@click.command()
@_SETTINGS_FILE
def balancer(settings_file: Path) -> None:
    """Runs a balancer with the settings in a JSON file.

    The first SIGTERM drains it, a second one stops it at once.

    Example: bramleydyke balancer examples/local/balancer-1.json
    """
    settings = load_or_fail(settings_file, BalancerSettings)
    from bramleydyke.daemons import main

    _run_or_fail(main.run_balancer, settings, settings_file)


@click.command()
@_SETTINGS_FILE
def agent(settings_file: Path) -> None:
    """Runs the agent beside one upstream.

    The first SIGTERM drains the upstream, a second one stops the agent at
    once.

    Example: bramleydyke agent examples/local/agent-1.json
    """
    settings = load_or_fail(settings_file, AgentSettings)
    from bramleydyke.daemons import main

    _run_or_fail(main.run_agent, settings, settings_file)


@click.command()
@_SETTINGS_FILE
def platform(settings_file: Path) -> None:
    """Runs a local stand-in for the platform's object API.

    Example: bramleydyke platform examples/local/platform.json
    """
    settings = load_or_fail(settings_file, PlatformSettings)
    from bramleydyke.daemons import main

    _run_or_fail(main.run_platform, settings, settings_file)


@click.command()
@click.option("--seed", type=int, default=None, help="Seed of all random choices.")
def demo(seed: int | None) -> None:
    """Runs the whole system on 127.0.0.1 for about half a minute.

    The last line of the output is one JSON object with the results.

    Example: bramleydyke demo --seed 7
    """
    from bramleydyke.demo.main import run_demo

    raise SystemExit(run_demo(seed=seed))
