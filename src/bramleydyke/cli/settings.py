"""The ``settings check`` command."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec
from returns.result import Failure

from bramleydyke.cli.exits import ExitCode, fail
from bramleydyke.settings import (
    AgentSettings,
    BalancerSettings,
    OperatorSettings,
    PlatformSettings,
    load,
)

SETTINGS_TYPES = {
    "balancer": BalancerSettings,
    "agent": AgentSettings,
    "operator": OperatorSettings,
    "platform": PlatformSettings,
}
"""Settings type that a file of each role must match."""


@click.group("settings")
def settings_group() -> None:
    """Checks settings files."""


@settings_group.command("check")
@click.argument("role", type=click.Choice(sorted(SETTINGS_TYPES)))
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def check(role: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Checks settings files of one role without starting a program.

    Example: bramleydyke settings check agent examples/local/agent-1.json
    """
    results = [(path, load(path, SETTINGS_TYPES[role])) for path in files]
    errors = [item.failure() for _, item in results if isinstance(item, Failure)]
    if as_json:
        report = {"files": [str(path) for path in files], "errors": errors}
        click.echo(msgspec.json.encode(report).decode())
    elif not errors:
        click.echo(f"{len(files)} files: valid")
    if errors:
        for error in errors[:-1]:
            click.echo(f"error: {error}", err=True)
        fail(errors[-1], ExitCode.DOES_NOT_HOLD)
