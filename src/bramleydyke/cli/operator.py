"""What the operator's commands share: settings, reports, refusals."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from bramleydyke.cli.exits import Exit, fail
from bramleydyke.errors import ANSWERS, ErrorKind
from bramleydyke.types import Outcome

SETTINGS_OPTION = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path, dir_okay=False),
    default=Path("operator.json"),
    show_default=True,
    help="The operator's settings.",
)
JSON_OPTION = click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object."
)


def print_json(content: Any) -> None:
    """Prints one JSON object."""
    click.echo(msgspec.json.encode(content).decode())


def exit_code(kind: ErrorKind | None) -> Exit:
    """Returns the exit code for how a change ended."""
    if kind is None:
        return Exit.HOLDS
    if kind is ErrorKind.CANCELLED:
        return Exit.DOES_NOT_HOLD
    is_unknown = ANSWERS[kind].outcome is Outcome.UNKNOWN
    return Exit.UNKNOWN if is_unknown else Exit.REFUSED


def fail_with_kind(
    kind: ErrorKind, detail: str, *, code: Exit | None = None
) -> NoReturn:
    """Ends the command with a kind, its object and what to do."""
    message = f"{detail}: {kind.value}: {ANSWERS[kind].action}"
    fail(message, exit_code(kind) if code is None else code)
