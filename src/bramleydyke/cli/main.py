"""Entry point of the ``bramleydyke`` command."""

from __future__ import annotations

import click

from bramleydyke.cli.drain import drain, undrain
from bramleydyke.cli.programs import agent, balancer, demo, platform
from bramleydyke.cli.settings import settings_group
from bramleydyke.cli.sheet import sheet_group

COMMANDS: tuple[click.Command, ...] = (
    balancer,
    agent,
    platform,
    demo,
    settings_group,
    sheet_group,
    drain,
    undrain,
)
"""Commands and command groups at the top level."""


@click.group()
@click.version_option(package_name="bramleydyke")
def main() -> None:
    """Runs and operates bramleydyke.

    Exit codes: 0 success, 1 the checked condition does not hold, 2 usage
    error, 3 refused, 4 unknown outcome.
    """


for command in COMMANDS:
    main.add_command(command)

if __name__ == "__main__":
    main()
