"""Options, JSON output and exit codes that the operator's commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from bramleydyke.cli.exits import ExitCode, fail
from bramleydyke.errors import ANSWERS, ErrorKind
from bramleydyke.types import Outcome

SETTINGS_OPTION = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path, dir_okay=False),
    default=Path("operator.json"),
    show_default=True,
    help="The operator's settings file.",
)
JSON_OPTION = click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object."
)


def print_json(content: Any) -> None:
    """Prints an object as one line of JSON on standard output."""
    click.echo(msgspec.json.encode(content).decode())


def exit_code(kind: ErrorKind | None) -> ExitCode:
    """Returns the exit code for the result of a change.

    Args:
        kind: Why the change failed; None if it was accepted.
    """
    if kind is None:
        return ExitCode.HOLDS
    if kind is ErrorKind.CANCELLED:
        return ExitCode.DOES_NOT_HOLD
    is_unknown = ANSWERS[kind].outcome is Outcome.UNKNOWN
    return ExitCode.UNKNOWN if is_unknown else ExitCode.REFUSED


def fail_with_kind(
    kind: ErrorKind, detail: str, *, code: ExitCode | None = None
) -> NoReturn:
    """Exits with an error line that says what the operator should do.

    Args:
        kind: Why the command failed.
        detail: Subject of the error, such as a path or a name.
        code: Exit code; None for the usual one of ``kind``.
    """
    message = f"{detail}: {kind.value}: {ANSWERS[kind].action}"
    fail(message, exit_code(kind) if code is None else code)
