"""Exit codes and error output that all commands share."""

from __future__ import annotations

from enum import IntEnum
from pathlib import Path
from typing import NoReturn, TypeVar

import click
from returns.result import Failure, Success

from bramleydyke.settings import load

SettingsType = TypeVar("SettingsType")


class ExitCode(IntEnum):
    """Exit codes of all commands.

    Attributes:
        HOLDS: The command succeeded, or the state it checks is reached.
        DOES_NOT_HOLD: The state it checks is not reached, a checked settings
            file is invalid, or the operator declined the change.
        USAGE: Wrong arguments; click exits with the same code.
        REFUSED: The input is invalid, or the change did not take effect.
        UNKNOWN: The status could not be read, or the change may have taken
            effect.
    """

    HOLDS = 0
    DOES_NOT_HOLD = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4


def fail(message: str, code: ExitCode) -> NoReturn:
    """Prints one line on standard error and exits with a code."""
    click.echo(f"error: {message}", err=True)
    raise SystemExit(int(code))


def load_or_fail(path: Path, settings_type: type[SettingsType]) -> SettingsType:
    """Returns the settings in a file, or exits as refused if it is invalid."""
    match load(path, settings_type):
        case Success(settings):
            return settings
        case Failure(message):
            fail(message, ExitCode.REFUSED)
    raise AssertionError("a Result is either Success or Failure")
