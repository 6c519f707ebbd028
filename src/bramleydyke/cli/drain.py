"""Commands that drain an upstream or a balancer, and end the drain."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from bramleydyke.cli._waiting import wait_for
from bramleydyke.cli.exits import Exit, fail, load_or_fail
from bramleydyke.cli.operator import JSON, SETTINGS, exit_code, fail_kind, print_json
from bramleydyke.core.drain_apply import node_of, write_drain
from bramleydyke.core.sheet_status import SheetReport, read_status
from bramleydyke.errors import ErrorKind
from bramleydyke.settings import OperatorSettings
from bramleydyke.types import PartnerId

if TYPE_CHECKING:
    from bramleydyke.adapters.platform_session import PlatformSession


@click.command()
@click.argument("name")
@SETTINGS
@click.option(
    "--wait",
    type=click.FloatRange(min=0),
    default=None,
    metavar="SECONDS",
    help="Wait until an upstream has no work left.",
)
@JSON
def drain(name: str, settings_file: Path, wait: float | None, as_json: bool) -> None:
    """Drains an upstream (SERVICE/UPSTREAM) or a balancer (balancer/NAME).

    The order stays until `undrain`; `sheet status` shows when it is obeyed.
    `--wait` exits with 0 when no work is left, 1 if that takes longer.

    Example: bramleydyke drain bourse-beurre/bb-1 --settings operator.json
    """
    _order(name, settings_file, as_json, draining=True, wait=wait)


@click.command()
@click.argument("name")
@SETTINGS
@JSON
def undrain(name: str, settings_file: Path, as_json: bool) -> None:
    """Lets a drained upstream or balancer take new work again.

    Example: bramleydyke undrain bourse-beurre/bb-1 --settings operator.json
    """
    _order(name, settings_file, as_json, draining=False)


def _order(
    name: str,
    settings_file: Path,
    as_json: bool,
    *,
    draining: bool,
    wait: float | None = None,
) -> None:
    settings = load_or_fail(settings_file, OperatorSettings)
    if node_of(settings.partner_id, name) is None:
        expected = "SERVICE/UPSTREAM or balancer/NAME"
        fail(f"command line: NAME: {name!r}, expected {expected}", Exit.USAGE)
    if wait is not None and name.startswith("balancer/"):
        expected = "an upstream: the status does not tell a balancer's work"
        fail(f"command line: --wait: {name!r}, expected {expected}", Exit.USAGE)
    from bramleydyke.adapters.platform_session import PlatformSession

    session = PlatformSession(settings.platform)
    stale = wait is not None and _drained_now(session, settings.partner_id, name)
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
        fail_kind(outcome.kind, outcome.detail)
    if not as_json:
        order = "drain" if draining else "undrain"
        state = "accepted" if outcome.changed else "accepted before"
        click.echo(f"{order} {name}: {state}")
    if wait is not None:
        seen = stale and outcome.changed
        _wait_drained(session, settings.partner_id, name, wait, stale=seen)


def _drained_now(session: PlatformSession, partner_id: PartnerId, name: str) -> bool:
    found = session.run(read_status(partner_id))
    return isinstance(found, SheetReport) and _drained(found, partner_id, name)


def _drained(report: SheetReport, partner_id: PartnerId, name: str) -> bool:
    service, _, upstream = name.partition("/")
    return any(
        upstream in item.drained
        for item in report.services
        if item.service == f"{partner_id}/{service}"
    )


def _wait_drained(
    session: PlatformSession,
    partner_id: PartnerId,
    name: str,
    wait: float,
    *,
    stale: bool,
) -> None:
    """Ends the command when an upstream has drained, or time is over.

    Args:
        session: The platform.
        partner_id: The operator's partner.
        name: The upstream as ``SERVICE/UPSTREAM``.
        wait: Seconds.
        stale: The status still told of an earlier drain when this one was
            ordered, so it must first tell otherwise.
    """
    believed = not stale

    def holds(report: SheetReport) -> bool:
        nonlocal believed
        drained = _drained(report, partner_id, name)
        believed = believed or not drained
        return drained and believed

    found = wait_for(session, partner_id, wait, holds=holds)
    if isinstance(found, ErrorKind):
        fail_kind(found, f"{name}: status", code=Exit.UNKNOWN)
    if not holds(found):
        expected = f"no work left within {wait:g} s"
        fail(
            f"status: {name}: not known to be drained, expected {expected}",
            Exit.DOES_NOT_HOLD,
        )
    click.echo(f"{name}: drained", err=True)
