"""Prints a sheet report as text tables for an operator."""

from __future__ import annotations

from collections.abc import Mapping

import click
from rich.console import Console
from rich.table import Table

from bramleydyke.core.sheet_status import PlaceReport, SheetReport
from bramleydyke.core.status import Names

UPSTREAM_CONDITIONS = ("missing", "draining", "suspect", "undeclared")
"""Fields of `ServiceReport` that become table columns."""


def print_report(report: SheetReport) -> None:
    """Prints one table of places and one of services.

    The tables are as wide as the terminal, or 120 columns without one.
    """
    state = "in force" if report.in_force else "not in force everywhere"
    click.echo(f"{report.partner}: generation {report.generation}, {state}")
    console = Console()
    if not console.is_terminal:
        console.width = 120
    console.print(_places_table(report))
    console.print(_services_table(report))


def _places_table(report: SheetReport) -> Table:
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
            f"{_format_counts(item.balancers)} {_format_replies(item)}",
            _format_counts(item.agents),
        )
    return table


def _format_replies(item: PlaceReport) -> str:
    return f"({item.balancers_replied}/{item.balancers_asked} answered)"


def _format_counts(nodes: Mapping[int, int]) -> str:
    """Returns node counts by generation as text.

    ``{7: 2, 8: 1}`` becomes ``2 at 7, 1 at 8``.
    """
    counts = (f"{count} at {generation}" for generation, count in sorted(nodes.items()))
    return ", ".join(counts) or "none"


def _services_table(report: SheetReport) -> Table:
    table = Table("service", "place", "announced", *UPSTREAM_CONDITIONS)
    for item in report.services:
        conditions = (
            _format_names(getattr(item, name)) for name in UPSTREAM_CONDITIONS
        )
        announced = f"{item.announced} of {item.declared}"
        table.add_row(item.service, item.place, announced, *conditions)
    return table


def _format_names(ages: Names) -> str:
    return ", ".join(f"{name} ({age:.0f} s)" for name, age in ages.items()) or "-"
