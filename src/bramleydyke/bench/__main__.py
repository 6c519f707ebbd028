"""Runs the benchmarks: ``python -m bramleydyke.bench``."""

from __future__ import annotations

import importlib
import importlib.util
import inspect
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

MODULES = (
    "placement",
    "changes",
    "relay",
    "flow_memory",
    "reroute",
    "spread",
    "slopes",
    "role_costs",
)
"""Benchmark modules in the order in which they run.

Each has ``measure(*, seed) -> dict``; some also accept ``quick``.
"""

RESULT_FILE = Path("build/bench.json")

Measure = Callable[..., dict[str, object]]


def find_measure(name: str) -> Measure | None:
    """Returns a module's ``measure`` function, None if there is no module."""
    qualified = f"bramleydyke.bench.{name}"
    if importlib.util.find_spec(qualified) is None:
        return None
    return importlib.import_module(qualified).measure


def call_measure(measure: Measure, *, seed: int, quick: bool) -> dict[str, object]:
    """Calls a measure function; passes ``quick`` only if it accepts that."""
    if quick and "quick" in inspect.signature(measure).parameters:
        return measure(seed=seed, quick=True)
    return measure(seed=seed)


def merge_results(into: dict[str, Any], result: dict[str, Any]) -> None:
    """Adds results to ``into``; dicts with the same key are merged too.

    Raises:
        ValueError: Two modules report different values for one key.
    """
    for key, value in result.items():
        if key not in into or into[key] == value:
            into[key] = value
        elif isinstance(into[key], dict) and isinstance(value, dict):
            merge_results(into[key], value)
        else:
            raise ValueError(f"two modules report different values for {key!r}")


def run_modules(names: tuple[str, ...], *, seed: int, quick: bool) -> dict[str, object]:
    """Runs modules in turn and returns their merged results.

    They do not run in parallel, because some use all processors.
    """
    results: dict[str, Any] = {"seed": seed}
    for name in names:
        measure = find_measure(name)
        if measure is None:
            click.echo(f"{name}: no such module, skipped")
            continue
        started = time.monotonic()
        merge_results(results, call_measure(measure, seed=seed, quick=quick))
        click.echo(f"{name}: {time.monotonic() - started:.1f} s")
    return results


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of all benchmarks.")
@click.option(
    "--only",
    multiple=True,
    type=click.Choice(MODULES),
    help="Run this module only; may be repeated.",
)
@click.option("--quick", is_flag=True, help="Shorter runs, to check that all work.")
def main(seed: int, only: tuple[str, ...], quick: bool) -> None:
    """Runs the benchmarks and writes build/bench.json.

    The last line of the output is the result as one JSON object.

    Example: python -m bramleydyke.bench --only placement --quick
    """
    click.echo(f"seed {seed}")
    results = run_modules(only or MODULES, seed=seed, quick=quick)
    RESULT_FILE.parent.mkdir(parents=True, exist_ok=True)
    RESULT_FILE.write_text(json.dumps(results, indent=2, sort_keys=True) + "\n")
    click.echo(json.dumps(results, sort_keys=True))


if __name__ == "__main__":
    main()
