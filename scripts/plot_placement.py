"""Plots the results of the placement benchmark as bar charts.

Reads ``build/bench.json``, which ``make bench`` writes. Needs the ``plots``
extra.
"""

from __future__ import annotations

import json
from pathlib import Path

import click
import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

METRICS = {
    "imbalance": "imbalance (largest over mean)",
    "p99_wait": "99th percentile wait (mean service times)",
}


def plot(values: dict[str, dict[str, float]], label: str, target: Path) -> None:
    """Writes a bar chart with a group for each service.

    Args:
        values: Value of each policy, by service.
        label: Label of the logarithmic axis.
        target: Image file to write.
    """
    policies = sorted({policy for row in values.values() for policy in row})
    width = 0.8 / len(policies)
    _, axes = pyplot.subplots(figsize=(9, 4))
    for index, policy in enumerate(policies):
        positions = [position + index * width for position in range(len(values))]
        heights = [row.get(policy, 0.0) for row in values.values()]
        axes.bar(positions, heights, width, label=policy)
    axes.set_xticks(range(len(values)), list(values))
    axes.set_ylabel(label)
    axes.set_yscale("log")
    axes.legend(fontsize="small")
    pyplot.tight_layout()
    pyplot.savefig(target)
    pyplot.close()


@click.command()
@click.option("--source", default="build/bench.json", type=Path, show_default=True)
@click.option("--target", default="build", type=Path, show_default=True)
def main(source: Path, target: Path) -> None:
    """Writes a PNG file for each metric, measured at 80% load."""
    results = json.loads(source.read_text())
    for metric, label in METRICS.items():
        plot(results[metric], label, target / f"{metric}.png")
        click.echo(target / f"{metric}.png")


if __name__ == "__main__":
    main()
