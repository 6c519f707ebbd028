"""The ``sheet`` commands: check, apply and status."""

from __future__ import annotations

from pathlib import Path

import click
from returns.result import Failure, Result, Success

from bramleydyke.cli._waiting import wait_for_report
from bramleydyke.cli.exits import ExitCode, fail, load_or_fail
from bramleydyke.cli.operator import (
    JSON_OPTION,
    SETTINGS_OPTION,
    exit_code,
    fail_with_kind,
    print_json,
)
from bramleydyke.core.config import ServiceConfig
from bramleydyke.core.sheet import SheetDifference, SheetFault, parse_csv, parse_json
from bramleydyke.core.sheet_apply import ApplyOutcome, apply_sheet, sheet_path
from bramleydyke.errors import ErrorKind
from bramleydyke.settings import OperatorSettings
from bramleydyke.types import PartnerId

FILE_ARGUMENT = click.argument("file", type=click.Path(path_type=Path))


@click.group("sheet")
def sheet_group() -> None:
    """Checks and applies sheets and shows their status."""


@sheet_group.command("check")
@FILE_ARGUMENT
@click.option("--partner", required=True, help="The partner that owns the sheet.")
@JSON_OPTION
def check(file: Path, partner: str, as_json: bool) -> None:
    """Checks a sheet (.json or .csv) without the platform.

    Example: bramleydyke sheet check sheet.csv --partner federation
    """
    services = _parse_or_fail(file, PartnerId(partner), as_json)
    upstreams = sum(len(item.upstreams) for item in services)
    if as_json:
        counts = {"services": len(services), "upstreams": upstreams}
        print_json({"file": str(file), **counts, "faults": []})
    else:
        click.echo(f"{file}: {len(services)} services, {upstreams} upstreams: valid")


@sheet_group.command("apply")
@FILE_ARGUMENT
@SETTINGS_OPTION
@click.option("--yes", is_flag=True, help="Apply without asking.")
@click.option(
    "--change-id",
    default=None,
    help="Id that makes a repeated change safe; derived if absent.",
)
@JSON_OPTION
def apply(
    file: Path, settings_file: Path, yes: bool, change_id: str | None, as_json: bool
) -> None:
    """Applies a sheet; safe to run again.

    Example: bramleydyke sheet apply sheet.csv --settings operator.json
    """
    settings = load_or_fail(settings_file, OperatorSettings)
    services = _parse_or_fail(file, settings.partner_id, as_json)
    from bramleydyke.adapters.platform_session import PlatformSession

    def confirm(changes: SheetDifference) -> bool:
        _echo_lines(changes, err=as_json)
        return yes or click.confirm("Apply?", err=as_json)

    steps = apply_sheet(
        settings.partner_id, services, change_id=change_id, confirm=confirm
    )
    try:
        outcome = PlatformSession(settings.platform).run(steps)
    except KeyboardInterrupt:
        # The write may have been sent, so its outcome is unknown.
        fail_with_kind(ErrorKind.STORE_ANSWER_LOST, sheet_path(settings.partner_id))
    _report_outcome(outcome, as_json)


def _report_outcome(outcome: ApplyOutcome, as_json: bool) -> None:
    code = exit_code(outcome.kind)
    if as_json:
        results = {ExitCode.HOLDS: "accepted", ExitCode.UNKNOWN: "unknown"}
        print_json(
            {
                "result": results.get(code, "refused"),
                "kind": None if outcome.kind is None else outcome.kind.value,
                "generation": outcome.generation,
                "detail": outcome.detail,
                "difference": outcome.difference.lines(),
            }
        )
    elif outcome.kind is None:
        click.echo(f"accepted: generation {outcome.generation}")
    elif outcome.kind is ErrorKind.CONFLICT:
        click.echo(f"generation {outcome.generation} was accepted first; it changed:")
        _echo_lines(outcome.difference)
    if outcome.kind is not None:
        fail_with_kind(outcome.kind, outcome.detail or "sheet")


def _echo_lines(changes: SheetDifference, *, err: bool = False) -> None:
    for line in changes.lines():
        click.echo(line, err=err)


@sheet_group.command("status")
@SETTINGS_OPTION
@click.option("--wait", type=click.FloatRange(min=0), default=0.0, metavar="SECONDS")
@JSON_OPTION
def status(settings_file: Path, wait: float, as_json: bool) -> None:
    """Compares the accepted sheet with the state that each place reports.

    Exits with 0 if the sheet is in force everywhere, 1 if not, 4 if the
    platform cannot be read. `--wait` waits until it is in force.

    Example: bramleydyke sheet status --settings operator.json --wait 30
    """
    settings = load_or_fail(settings_file, OperatorSettings)
    from bramleydyke.adapters.platform_session import PlatformSession
    from bramleydyke.cli._tables import print_report

    session = PlatformSession(settings.platform)
    status_report = wait_for_report(
        session, settings.partner_id, wait, until=lambda report: report.in_force
    )
    if isinstance(status_report, ErrorKind):
        fail_with_kind(
            status_report, f"{settings_file}: platform", code=ExitCode.UNKNOWN
        )
    if as_json:
        print_json(status_report)
    else:
        print_report(status_report)
    raise SystemExit(
        int(ExitCode.HOLDS if status_report.in_force else ExitCode.DOES_NOT_HOLD)
    )


def _parse_or_fail(
    file: Path, partner_id: PartnerId, as_json: bool
) -> list[ServiceConfig]:
    match _parse(file, partner_id):
        case Success(services):
            return services
        case Failure(faults):
            if as_json:
                print_json({"file": str(file), "faults": faults})
            for fault in faults[:-1]:
                click.echo(f"error: {file}: {fault}", err=True)
            fail(f"{file}: {faults[-1]}", ExitCode.REFUSED)
    raise AssertionError("a Result is either Success or Failure")


def _parse(
    file: Path, partner_id: PartnerId
) -> Result[list[ServiceConfig], list[SheetFault]]:
    parsers = {".json": parse_json, ".csv": parse_csv}
    parser = parsers.get(file.suffix.lower())
    if parser is None:
        return Failure([SheetFault("file", "suffix", file.suffix, ".json or .csv")])
    try:
        text = file.read_bytes()
    except OSError as error:
        fault = SheetFault("file", "content", str(error.strerror), "a readable file")
        return Failure([fault])
    return parser(text, partner_id=partner_id)
