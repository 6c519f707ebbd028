"""The ``drain`` and ``undrain`` commands for upstreams and balancers."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from bramleydyke.cli._waiting import wait_for_report
from bramleydyke.cli.exits import ExitCode, fail, load_or_fail
from bramleydyke.cli.operator import (
    JSON_OPTION,
    SETTINGS_OPTION,
    exit_code,
    fail_with_kind,
    print_json,
)
from bramleydyke.core.drain_apply import node_for_name, write_drain
from bramleydyke.core.sheet_status import SheetReport, read_status
from bramleydyke.errors import ErrorKind
from bramleydyke.settings import OperatorSettings
from bramleydyke.types import PartnerId

if TYPE_CHECKING:
    from bramleydyke.adapters.platform_session import PlatformSession


@click.command()
@click.argument("name")
@SETTINGS_OPTION
@click.option(
    "--wait",
    type=click.FloatRange(min=0),
    default=None,
    metavar="SECONDS",
    help="Wait until the upstream has no work in progress.",
)
@JSON_OPTION
def drain(name: str, settings_file: Path, wait: float | None, as_json: bool) -> None:
    """Drains an upstream (SERVICE/UPSTREAM) or a balancer (balancer/NAME).

    The drain lasts until `undrain`; `sheet status` shows when it takes
    effect. With `--wait`, exits with 0 once the upstream has no work in
    progress, or 1 if that takes longer.

    Example: bramleydyke drain bourse-beurre/bb-1 --settings operator.json
    """
    _set_drain(name, settings_file, as_json, draining=True, wait=wait)


@click.command()
@click.argument("name")
@SETTINGS_OPTION
@JSON_OPTION
def undrain(name: str, settings_file: Path, as_json: bool) -> None:
    """Ends a drain, so that the upstream or balancer takes new work again.

    Example: bramleydyke undrain bourse-beurre/bb-1 --settings operator.json
    """
    _set_drain(name, settings_file, as_json, draining=False)


def _set_drain(
    name: str,
    settings_file: Path,
    as_json: bool,
    *,
    draining: bool,
    wait: float | None = None,
) -> None:
    settings = load_or_fail(settings_file, OperatorSettings)
    if node_for_name(settings.partner_id, name) is None:
        expected = "SERVICE/UPSTREAM or balancer/NAME"
        fail(f"command line: NAME: {name!r}, expected {expected}", ExitCode.USAGE)
    if wait is not None and name.startswith("balancer/"):
        expected = "an upstream: the status does not report a balancer's work"
        fail(f"command line: --wait: {name!r}, expected {expected}", ExitCode.USAGE)
    from bramleydyke.adapters.platform_session import PlatformSession

    session = PlatformSession(settings.platform)
    was_drained = wait is not None and _is_drained_in_status(
        session, settings.partner_id, name
    )
    outcome = session.run(write_drain(settings.partner_id, name, draining=draining))
    if as_json:
        kind = None if outcome.kind is None else outcome.kind.value
        print_json(
            {
                "name": name,
                "draining": draining,
                "result": exit_code(outcome.kind).name.lower(),
                "kind": kind,
                "changed": outcome.changed,
                "detail": outcome.detail,
            }
        )
    if outcome.kind is not None:
        fail_with_kind(outcome.kind, outcome.detail)
    if not as_json:
        action = "drain" if draining else "undrain"
        state = "accepted" if outcome.changed else "already accepted"
        click.echo(f"{action} {name}: {state}")
    if wait is not None:
        earlier = was_drained and outcome.changed
        _wait_until_drained(
            session, settings.partner_id, name, wait, earlier_drain=earlier
        )


def _is_drained_in_status(
    session: PlatformSession, partner_id: PartnerId, name: str
) -> bool:
    result = session.run(read_status(partner_id))
    return isinstance(result, SheetReport) and _is_drained(result, partner_id, name)


def _is_drained(report: SheetReport, partner_id: PartnerId, name: str) -> bool:
    service, _, upstream = name.partition("/")
    return any(
        upstream in item.drained
        for item in report.services
        if item.service == f"{partner_id}/{service}"
    )


def _wait_until_drained(
    session: PlatformSession,
    partner_id: PartnerId,
    name: str,
    wait: float,
    *,
    earlier_drain: bool,
) -> None:
    """Waits until the status lists an upstream as drained.

    Ends the command with an error if that takes too long or the status cannot
    be read.

    Args:
        session: Blocking client of the platform's object API.
        partner_id: The operator's partner.
        name: The upstream as ``SERVICE/UPSTREAM``.
        wait: Longest wait in seconds.
        earlier_drain: True if the status already listed the upstream as
            drained before this drain was written. That entry is from an
            earlier drain, so it must disappear before a new one counts.
    """
    status_current = not earlier_drain

    def until(report: SheetReport) -> bool:
        nonlocal status_current
        drained = _is_drained(report, partner_id, name)
        status_current = status_current or not drained
        return drained and status_current

    result = wait_for_report(session, partner_id, wait, until=until)
    if isinstance(result, ErrorKind):
        fail_with_kind(result, f"{name}: status", code=ExitCode.UNKNOWN)
    if not until(result):
        expected = f"no work in progress within {wait:g} s"
        fail(
            f"status: {name}: not reported as drained, expected {expected}",
            ExitCode.DOES_NOT_HOLD,
        )
    click.echo(f"{name}: drained", err=True)
