"""Tables of a sheet report for people."""

from __future__ import annotations

from collections.abc import Mapping

import click
from rich.console import Console
from rich.table import Table

from bramleydyke.core.sheet_status import PlaceReport, SheetReport
from bramleydyke.core.status import Names

CONDITIONS = ("missing", "draining", "suspect", "undeclared")


def print_report(report: SheetReport) -> None:
    """Prints a report as tables, as wide as the terminal or 120 columns."""
    state = "in force" if report.in_force else "not in force everywhere"
    click.echo(f"{report.partner}: generation {report.generation}, {state}")
    console = Console()
    if not console.is_terminal:
        console.width = 120
    console.print(_places(report))
    console.print(_services(report))


def _places(report: SheetReport) -> Table:
    table = Table("place", "generation", "in force", "since", "balancers", "agents")
    for item in report.places:
        if not item.reported:
            table.add_row(item.place, "-", "no report", "-", "-", "-")
            continue
        table.add_row(
            item.place,
            str(item.generation),
            "yes" if item.in_force else "no",
            f"{item.for_s:.0f} s",
            f"{_counts(item.balancers)} {_answers(item)}",
            _counts(item.agents),
        )
    return table


def _answers(item: PlaceReport) -> str:
    return f"({item.balancers_replied}/{item.balancers_asked} answered)"


def _counts(held: Mapping[int, int]) -> str:
    """Returns the nodes that hold each generation, as ``2 at 7``."""
    counts = (f"{count} at {generation}" for generation, count in sorted(held.items()))
    return ", ".join(counts) or "none"


def _services(report: SheetReport) -> Table:
    table = Table("service", "place", "announced", *CONDITIONS)
    for item in report.services:
        conditions = (_names(getattr(item, name)) for name in CONDITIONS)
        announced = f"{item.announced} of {item.declared}"
        table.add_row(item.service, item.place, announced, *conditions)
    return table


def _names(names: Names) -> str:
    return ", ".join(f"{name} ({age:.0f} s)" for name, age in names.items()) or "-"
