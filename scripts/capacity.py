"""Generates the tables and plots of docs/CAPACITY.md from benchmark results.

Usage: ``python scripts/capacity.py [build/bench.json]``. With a results file,
the script first copies the values that it needs to docs/capacity.json. Without
one, it regenerates the page from docs/capacity.json.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

RESULTS_FILE = Path("docs/capacity.json")
PAGE_FILE = Path("docs/CAPACITY.md")
PLOT_FOLDER = Path("docs/plots")
BEGIN, END = "<!-- begin: {} -->", "<!-- end: {} -->"

RESULT_KEYS = (
    "seed",
    "slopes",
    "message_bytes",
    "bytes_per_flow",
    "in_force_s",
    "control_bytes_per_node_s",
    "processor_s_per_node_s",
    "store_calls_per_change",
    "at_target",
    "weighed",
    "relay_ratio",
)

DAY_S = 86_400.0
MAX_FLOW_HINTS = 250_000
"""Flow hints that one balancer may keep, for the memory estimate."""

KIB = 1024.0
MIB = 1024.0 * 1024.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSize:
    """Size and load of a whole deployment.

    Attributes:
        nodes: Number of balancers.
        upstreams: Number of upstreams, each with an agent of its own.
        flows: Number of concurrently open flows.
        new_per_s: New flows per second.
        changes_per_day: Configuration changes per day.
        zones: Number of availability zones.
        restarts_per_day: Restarts per day; not used in any table.
    """

    name: str
    nodes: float
    upstreams: float
    services: float
    flows: float
    new_per_s: float
    changes_per_day: float
    zones: float
    restarts_per_day: float


SIZES = (
    DeploymentSize(
        name="maroc-nord",
        nodes=6,
        upstreams=10,
        services=2,
        flows=20_000,
        new_per_s=250,
        changes_per_day=5,
        zones=3,
        restarts_per_day=4,
    ),
    DeploymentSize(
        name="nam-central",
        nodes=8,
        upstreams=11,
        services=2,
        flows=22_000,
        new_per_s=180,
        changes_per_day=5,
        zones=4,
        restarts_per_day=4,
    ),
    DeploymentSize(
        name="target",
        nodes=550,
        upstreams=3_800,
        services=830,
        flows=5_600_000,
        new_per_s=59_000,
        changes_per_day=2_800,
        zones=9,
        restarts_per_day=1_409,
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a role's table: a cost estimated for each size.

    Attributes:
        label: Name of the cost.
        estimate: Estimates the cost from a size and the benchmark results.
        source: Benchmark result or assumption behind the estimate.
        mechanism: Part of the design that determines the cost.
        bound: Limit in the row's unit; the table marks a target above it.
    """

    label: str
    unit: str
    estimate: Callable[[DeploymentSize, dict[str, Any]], float]
    source: str
    mechanism: str
    bound: float | None = None


def cost_per_unit(results: dict[str, Any], name: str) -> float:
    """Returns the cost per unit of size from a fitted line."""
    return results["slopes"][name]["slope"]


def per_balancer(total: float, size: DeploymentSize) -> float:
    """Returns a total divided evenly among the balancers."""
    return total / size.nodes


def per_agent(total: float, size: DeploymentSize) -> float:
    """Returns a total divided evenly among the agents."""
    return total / size.upstreams


def heartbeats_received_per_s(size: DeploymentSize) -> float:
    """Returns the heartbeats that one balancer receives per second.

    Each agent and balancer sends one per second to two home balancers.
    """
    return 2.0 * (size.upstreams + size.nodes) / size.nodes


def extrapolate(results: dict[str, Any], key: str, size: DeploymentSize) -> float:
    """Extrapolates a result to the number of balancers of a size.

    The straight line goes through the two largest measured numbers of
    balancers. If the size is not above the smallest measured number, it goes
    through the two smallest. A negative value becomes 0.
    """
    points = sorted((float(n), float(value)) for n, value in results[key].items())
    nearest = points[-2:] if size.nodes > points[0][0] else points[:2]
    (x0, y0), (x1, y1) = nearest
    return max(0.0, y0 + (y1 - y0) / (x1 - x0) * (size.nodes - x0))


BALANCER = (
    Row(
        label="memory: flow hints",
        unit="MB",
        estimate=lambda s, r: min(MAX_FLOW_HINTS, s.flows) * r["bytes_per_flow"] / MIB,
        source="bytes_per_flow",
        mechanism="bounded LRU of hints; a miss costs a lookup",
        bound=256,
    ),
    Row(
        label="memory: configuration",
        unit="MB",
        estimate=lambda s, r: s.services * cost_per_unit(r, "config_memory") / MIB,
        source="config_memory",
        mechanism="one entry a service with 4 earlier owner sets",
        bound=256,
    ),
    Row(
        label="memory: members",
        unit="MB",
        estimate=lambda s, r: (
            (s.nodes + s.upstreams) * cost_per_unit(r, "member_memory") / MIB
        ),
        source="member_memory",
        mechanism="newest announcement of each process",
        bound=256,
    ),
    Row(
        label="control bytes out",
        unit="KB/s",
        estimate=lambda s, r: extrapolate(r, "control_bytes_per_node_s", s) / KIB,
        source="control_bytes_per_node_s",
        mechanism="digests and deltas to 4 peers, heartbeats to 2 homes",
        bound=28,
    ),
    Row(
        label="control processor time",
        unit="% of a core",
        estimate=lambda s, r: extrapolate(r, "processor_s_per_node_s", s) * 100,
        source="processor_s_per_node_s",
        mechanism="the same",
        bound=2.1,
    ),
    Row(
        label="heartbeats in",
        unit="1/s",
        estimate=lambda s, r: heartbeats_received_per_s(s),
        source="two homes, one a second",
        mechanism="home balancers by rendezvous within the zone",
    ),
    Row(
        label="heartbeat processor time",
        unit="% of a core",
        estimate=lambda s, r: (
            heartbeats_received_per_s(s)
            * cost_per_unit(r, "balancer_heartbeat_cpu")
            * 100
        ),
        source="balancer_heartbeat_cpu",
        mechanism="one dictionary update and a reply",
        bound=2.1,
    ),
    Row(
        label="data: new requests, processor time",
        unit="% of a core",
        estimate=lambda s, r: (
            per_balancer(s.new_per_s, s)
            * cost_per_unit(r, "balancer_request_cpu")
            * 100
        ),
        source="balancer_request_cpu",
        mechanism="offer, probe, answer; all new flows taken as requests",
    ),
    Row(
        label="data: new datagram flows, processor time",
        unit="% of a core",
        estimate=lambda s, r: (
            per_balancer(s.new_per_s, s) * cost_per_unit(r, "balancer_flow_cpu") * 100
        ),
        source="balancer_flow_cpu",
        mechanism="owner order by weighted rendezvous over 4.6 upstreams",
    ),
)

AGENT = (
    Row(
        label="memory: datagram flows",
        unit="MB",
        estimate=lambda s, r: (
            per_agent(s.flows, s) * cost_per_unit(r, "agent_flow_memory") / MIB
        ),
        source="agent_flow_memory",
        mechanism="table bounded at 2,000 flows",
        bound=256,
    ),
    Row(
        label="memory: request records",
        unit="MB",
        estimate=lambda s, r: (
            per_agent(s.new_per_s, s) * 122 * cost_per_unit(r, "record_memory") / MIB
        ),
        source="record_memory",
        mechanism="122 s of requests (120 s retention), answers bounded at 16 MB",
        bound=256,
    ),
    Row(
        label="heartbeats out",
        unit="KB/s",
        estimate=lambda s, r: 2 * r["message_bytes"]["Heartbeat"] / KIB,
        source="message_bytes",
        mechanism="two homes, one a second",
        bound=28,
    ),
    Row(
        label="requests, processor time",
        unit="% of a core",
        estimate=lambda s, r: (
            per_agent(s.new_per_s, s) * cost_per_unit(r, "agent_request_cpu") * 100
        ),
        source="agent_request_cpu",
        mechanism="admission, record, run, answer",
    ),
    Row(
        label="new datagram flows, processor time",
        unit="% of a core",
        estimate=lambda s, r: (
            per_agent(s.new_per_s, s) * cost_per_unit(r, "agent_flow_cpu") * 100
        ),
        source="agent_flow_cpu",
        mechanism="admitted by the first owner",
    ),
)

PLATFORM = (
    Row(
        label="pending watches",
        unit="calls",
        estimate=lambda s, r: 2 * s.zones * 3,
        source="2 lease holders a zone, 2 sheets and the drains each",
        mechanism="watcher leases",
    ),
    Row(
        label="lease renewals and looks",
        unit="1/s",
        estimate=lambda s, r: s.zones * (2 / 5.0 + 3 * 2 / 7.5),
        source="renewal each 5 s, three candidates look each 7.5 s",
        mechanism="conditional update",
        bound=2_000,
    ),
    Row(
        label="calls for changes",
        unit="1/s",
        estimate=lambda s, r: (
            s.changes_per_day
            / DAY_S
            * max(map(float, r["store_calls_per_change"].values()))
        ),
        source="store_calls_per_change",
        mechanism="watchers read, all others learn from peers",
        bound=2_000,
    ),
    Row(
        label="status writes",
        unit="1/s",
        estimate=lambda s, r: s.zones / 60.0,
        source="one a minute and zone",
        mechanism="sums of a zone by one lease holder",
        bound=200,
    ),
    Row(
        label="sheet object of one partner",
        unit="KB",
        estimate=lambda s, r: s.services / 2 * cost_per_unit(r, "config_object") / KIB,
        source="config_object",
        mechanism="half of the services each; at most 1 MB",
        bound=976,
    ),
)

ROLES = {"balancer": BALANCER, "agent": AGENT, "platform": PLATFORM}


def format_number(value: float) -> str:
    """Formats a number with three digits, or as an integer from 1,000 on."""
    return f"{value:,.0f}" if value >= 1000 else f"{value:.3g}"


def role_table(rows: tuple[Row, ...], results: dict[str, Any]) -> Iterator[str]:
    """Yields the Markdown lines of a role's table, one row a cost."""
    names = " | ".join(size.name for size in SIZES)
    yield f"| what | unit | {names} | bound | worked out from | carried by |"
    yield "|---|---|" + "---|" * (len(SIZES) + 3)
    for row in rows:
        values = [row.estimate(size, results) for size in SIZES]
        over = row.bound is not None and values[-1] > row.bound
        cells = " | ".join(format_number(value) for value in values)
        bound = "" if row.bound is None else format_number(row.bound)
        bound += " **over**" if over else ""
        yield (
            f"| {row.label} | {row.unit} | {cells} | {bound} "
            f"| `{row.source}` | {row.mechanism} |"
        )


def slope_table(results: dict[str, Any]) -> Iterator[str]:
    """Yields a Markdown table of the fitted lines, with points and errors."""
    yield "| line | slope | intercept | largest error | points |"
    yield "|---|---|---|---|---|"
    for name, line in sorted(results["slopes"].items()):
        points = ", ".join(f"{format_number(x)}: {y:.4g}" for x, y in line["points"])
        yield (
            f"| `{name}` | {line['slope']:.4g} {line['unit']} / {line['size']} "
            f"| {line['intercept']:.4g} | {line['error']:.1%} | {points} |"
        )


def spread_table(results: dict[str, Any]) -> Iterator[str]:
    """Yields a Markdown table of control plane costs by balancer count."""
    keys = (
        "in_force_s",
        "control_bytes_per_node_s",
        "processor_s_per_node_s",
        "store_calls_per_change",
    )
    counts = sorted(results["in_force_s"], key=float)
    target = SIZES[-1]
    yield "| figure | " + " | ".join(counts) + " | 550 by the line | 550 / largest |"
    yield "|---|" + "---|" * (len(counts) + 2)
    for key in keys:
        cells = " | ".join(f"{float(results[key][count]):.4g}" for count in counts)
        ratio = f"{target.nodes / float(counts[-1]):.2f}x"
        yield (
            f"| `{key}` | {cells} | {extrapolate(results, key, target):.4g} | {ratio} |"
        )


def plot(results: dict[str, Any]) -> None:
    """Plots measured points and fitted lines; needs the ``plots`` extra."""
    from matplotlib import pyplot

    PLOT_FOLDER.mkdir(parents=True, exist_ok=True)
    lines = sorted(results["slopes"].items())
    chart, axes = pyplot.subplots(3, 4, figsize=(14, 9))
    for axis, (name, line) in zip(axes.flat, lines, strict=False):
        sizes, costs = zip(*line["points"], strict=True)
        axis.plot(sizes, costs, "o")
        axis.plot(sizes, [line["slope"] * x + line["intercept"] for x in sizes])
        axis.set_title(name)
        axis.set_xlabel(line["size"])
        axis.set_ylabel(line["unit"])
    chart.tight_layout()
    chart.savefig(PLOT_FOLDER / "slopes.svg")
    pyplot.close(chart)


def replace_section(page: str, name: str, lines: Iterator[str]) -> str:
    """Returns the page with the lines between a section's markers replaced."""
    begin, end = BEGIN.format(name), END.format(name)
    before, _, rest = page.partition(begin)
    _, _, after = rest.partition(end)
    return f"{before}{begin}\n" + "\n".join(lines) + f"\n{end}{after}"


def main() -> None:
    """Stores new results, if a file is given, and updates page and plots."""
    if len(sys.argv) > 1:
        benchmark = json.loads(Path(sys.argv[1]).read_text())
        selected = {key: benchmark[key] for key in RESULT_KEYS if key in benchmark}
        RESULTS_FILE.write_text(json.dumps(selected, indent=1, sort_keys=True) + "\n")
    results = json.loads(RESULTS_FILE.read_text())
    page = PAGE_FILE.read_text()
    for role, rows in ROLES.items():
        page = replace_section(page, role, role_table(rows, results))
    page = replace_section(page, "slopes", slope_table(results))
    page = replace_section(page, "spread", spread_table(results))
    PAGE_FILE.write_text(page)
    plot(results)


if __name__ == "__main__":
    main()
