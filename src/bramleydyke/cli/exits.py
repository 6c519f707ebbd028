"""Exit codes and one-line errors of all commands."""

from __future__ import annotations

from enum import IntEnum
from pathlib import Path
from typing import NoReturn, TypeVar

import click
from returns.result import Failure, Success

from bramleydyke.settings import load

SettingsType = TypeVar("SettingsType")


class Exit(IntEnum):
    """Exit codes of the command."""

    HOLDS = 0
    DOES_NOT_HOLD = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4


def fail(message: str, code: Exit) -> NoReturn:
    """Ends the command with one line on standard error."""
    click.echo(f"error: {message}", err=True)
    raise SystemExit(int(code))


def load_or_fail(path: Path, settings_type: type[SettingsType]) -> SettingsType:
    """Returns the settings in a file, or ends the command."""
    match load(path, settings_type):
        case Success(settings):
            return settings
        case Failure(message):
            fail(message, Exit.REFUSED)
    raise AssertionError("a result is a success or a failure")
