"""Generates the tables and plots of docs/CAPACITY.md from benchmark results.

Usage: ``python scripts/capacity.py [build/bench.json]``. With a results file,
the script first copies what it needs from it to docs/capacity.json. Without
one, it regenerates the page from docs/capacity.json.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

KEPT = Path("docs/capacity.json")
PAGE = Path("docs/CAPACITY.md")
PLOTS = Path("docs/plots")
BEGIN, END = "<!-- begin: {} -->", "<!-- end: {} -->"

KEYS = (
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
HINTS = 250_000
"""Flow hints that one balancer may keep, for the memory estimate."""

KIB = 1024.0
MIB = 1024.0 * 1024.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Size and load of a whole deployment.

    Attributes:
        nodes: Balancers.
        upstreams: Upstreams, each with an agent of its own.
        flows: Flows that are open at a time.
        new_per_s: New flows a second.
        changes_per_day: Configuration changes a day.
        zones: Availability zones.
        restarts_per_day: Restarts a day; no table uses them.
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
    Size(
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
    Size(
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
    Size(
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
class Line:
    """One row of a role's table: a cost estimated for each size.

    Attributes:
        what: Cost that is estimated.
        figure: Estimates the cost from a size and the benchmark results.
        source: Benchmark result or assumption behind the estimate.
        mechanism: Part of the design that determines the cost.
        bound: Limit in the row's unit; the table marks a target above it.
    """

    what: str
    unit: str
    figure: Callable[[Size, dict[str, Any]], float]
    source: str
    mechanism: str
    bound: float | None = None


def slope(results: dict[str, Any], name: str) -> float:
    """Returns the cost per unit of size from a fitted line."""
    return results["slopes"][name]["slope"]


def per_balancer(total: float, size: Size) -> float:
    """Returns a total divided evenly among the balancers."""
    return total / size.nodes


def per_agent(total: float, size: Size) -> float:
    """Returns a total divided evenly among the agents."""
    return total / size.upstreams


def heartbeats(size: Size) -> float:
    """Returns the heartbeats that one balancer receives per second.

    Each agent and balancer sends one a second to two home balancers.
    """
    return 2.0 * (size.upstreams + size.nodes) / size.nodes


def at(results: dict[str, Any], key: str, size: Size) -> float:
    """Extrapolates a result to the number of balancers of a size.

    The straight line goes through the two largest measured numbers of
    balancers. If the size is not above the smallest measured number, it goes
    through the two smallest. A negative value becomes 0.
    """
    points = sorted((float(n), float(value)) for n, value in results[key].items())
    pair = points[-2:] if size.nodes > points[0][0] else points[:2]
    (x0, y0), (x1, y1) = pair
    return max(0.0, y0 + (y1 - y0) / (x1 - x0) * (size.nodes - x0))


BALANCER = (
    Line(
        what="memory: flow hints",
        unit="MB",
        figure=lambda s, r: min(HINTS, s.flows) * r["bytes_per_flow"] / MIB,
        source="bytes_per_flow",
        mechanism="bounded LRU of hints; a miss costs a lookup",
        bound=256,
    ),
    Line(
        what="memory: configuration",
        unit="MB",
        figure=lambda s, r: s.services * slope(r, "config_memory") / MIB,
        source="config_memory",
        mechanism="one entry a service with 4 earlier owner sets",
        bound=256,
    ),
    Line(
        what="memory: members",
        unit="MB",
        figure=lambda s, r: (s.nodes + s.upstreams) * slope(r, "member_memory") / MIB,
        source="member_memory",
        mechanism="newest announcement of each process",
        bound=256,
    ),
    Line(
        what="control bytes out",
        unit="KB/s",
        figure=lambda s, r: at(r, "control_bytes_per_node_s", s) / KIB,
        source="control_bytes_per_node_s",
        mechanism="digests and deltas to 4 peers, heartbeats to 2 homes",
        bound=28,
    ),
    Line(
        what="control processor time",
        unit="% of a core",
        figure=lambda s, r: at(r, "processor_s_per_node_s", s) * 100,
        source="processor_s_per_node_s",
        mechanism="the same",
        bound=2.1,
    ),
    Line(
        what="heartbeats in",
        unit="1/s",
        figure=lambda s, r: heartbeats(s),
        source="two homes, one a second",
        mechanism="home balancers by rendezvous within the zone",
    ),
    Line(
        what="heartbeat processor time",
        unit="% of a core",
        figure=lambda s, r: heartbeats(s) * slope(r, "balancer_heartbeat_cpu") * 100,
        source="balancer_heartbeat_cpu",
        mechanism="one dictionary update and a reply",
        bound=2.1,
    ),
    Line(
        what="data: new requests, processor time",
        unit="% of a core",
        figure=lambda s, r: (
            per_balancer(s.new_per_s, s) * slope(r, "balancer_request_cpu") * 100
        ),
        source="balancer_request_cpu",
        mechanism="offer, probe, answer; all new flows taken as requests",
    ),
    Line(
        what="data: new datagram flows, processor time",
        unit="% of a core",
        figure=lambda s, r: (
            per_balancer(s.new_per_s, s) * slope(r, "balancer_flow_cpu") * 100
        ),
        source="balancer_flow_cpu",
        mechanism="owner order by weighted rendezvous over 4.6 upstreams",
    ),
)

AGENT = (
    Line(
        what="memory: datagram flows",
        unit="MB",
        figure=lambda s, r: per_agent(s.flows, s) * slope(r, "agent_flow_memory") / MIB,
        source="agent_flow_memory",
        mechanism="table bounded at 2,000 flows",
        bound=256,
    ),
    Line(
        what="memory: request records",
        unit="MB",
        figure=lambda s, r: (
            per_agent(s.new_per_s, s) * 122 * slope(r, "record_memory") / MIB
        ),
        source="record_memory",
        mechanism="122 s of requests (120 s retention), answers bounded at 16 MB",
        bound=256,
    ),
    Line(
        what="heartbeats out",
        unit="KB/s",
        figure=lambda s, r: 2 * r["message_bytes"]["Heartbeat"] / KIB,
        source="message_bytes",
        mechanism="two homes, one a second",
        bound=28,
    ),
    Line(
        what="requests, processor time",
        unit="% of a core",
        figure=lambda s, r: (
            per_agent(s.new_per_s, s) * slope(r, "agent_request_cpu") * 100
        ),
        source="agent_request_cpu",
        mechanism="admission, record, run, answer",
    ),
    Line(
        what="new datagram flows, processor time",
        unit="% of a core",
        figure=lambda s, r: (
            per_agent(s.new_per_s, s) * slope(r, "agent_flow_cpu") * 100
        ),
        source="agent_flow_cpu",
        mechanism="admitted by the first owner",
    ),
)

PLATFORM = (
    Line(
        what="pending watches",
        unit="calls",
        figure=lambda s, r: 2 * s.zones * 3,
        source="2 lease holders a zone, 2 sheets and the drains each",
        mechanism="watcher leases",
    ),
    Line(
        what="lease renewals and looks",
        unit="1/s",
        figure=lambda s, r: s.zones * (2 / 5.0 + 3 * 2 / 7.5),
        source="renewal each 5 s, three candidates look each 7.5 s",
        mechanism="conditional update",
        bound=2_000,
    ),
    Line(
        what="calls for changes",
        unit="1/s",
        figure=lambda s, r: (
            s.changes_per_day
            / DAY_S
            * max(map(float, r["store_calls_per_change"].values()))
        ),
        source="store_calls_per_change",
        mechanism="watchers read, all others learn from peers",
        bound=2_000,
    ),
    Line(
        what="status writes",
        unit="1/s",
        figure=lambda s, r: s.zones / 60.0,
        source="one a minute and zone",
        mechanism="sums of a zone by one lease holder",
        bound=200,
    ),
    Line(
        what="sheet object of one partner",
        unit="KB",
        figure=lambda s, r: s.services / 2 * slope(r, "config_object") / KIB,
        source="config_object",
        mechanism="half of the services each; at most 1 MB",
        bound=976,
    ),
)

ROLES = {"balancer": BALANCER, "agent": AGENT, "platform": PLATFORM}


def figure(value: float) -> str:
    """Formats a number with three digits, or as an integer from 1,000 on."""
    return f"{value:,.0f}" if value >= 1000 else f"{value:.3g}"


def role_table(lines: tuple[Line, ...], results: dict[str, Any]) -> Iterator[str]:
    """Yields the Markdown lines of a role's table, one row a cost."""
    names = " | ".join(size.name for size in SIZES)
    yield f"| what | unit | {names} | bound | worked out from | carried by |"
    yield "|---|---|" + "---|" * (len(SIZES) + 3)
    for line in lines:
        values = [line.figure(size, results) for size in SIZES]
        over = line.bound is not None and values[-1] > line.bound
        cells = " | ".join(figure(value) for value in values)
        bound = "" if line.bound is None else figure(line.bound)
        bound += " **over**" if over else ""
        yield (
            f"| {line.what} | {line.unit} | {cells} | {bound} "
            f"| `{line.source}` | {line.mechanism} |"
        )


def slope_table(results: dict[str, Any]) -> Iterator[str]:
    """Yields a Markdown table of the fitted lines, with points and errors."""
    yield "| line | slope | intercept | largest error | points |"
    yield "|---|---|---|---|---|"
    for name, line in sorted(results["slopes"].items()):
        points = ", ".join(f"{figure(x)}: {y:.4g}" for x, y in line["points"])
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
        reach = f"{target.nodes / float(counts[-1]):.2f}x"
        yield f"| `{key}` | {cells} | {at(results, key, target):.4g} | {reach} |"


def plot(results: dict[str, Any]) -> None:
    """Plots measured points and fitted lines; needs the ``plots`` extra."""
    from matplotlib import pyplot

    PLOTS.mkdir(parents=True, exist_ok=True)
    lines = sorted(results["slopes"].items())
    figure_, axes = pyplot.subplots(3, 4, figsize=(14, 9))
    for axis, (name, line) in zip(axes.flat, lines, strict=False):
        sizes, costs = zip(*line["points"], strict=True)
        axis.plot(sizes, costs, "o")
        axis.plot(sizes, [line["slope"] * x + line["intercept"] for x in sizes])
        axis.set_title(name)
        axis.set_xlabel(line["size"])
        axis.set_ylabel(line["unit"])
    figure_.tight_layout()
    figure_.savefig(PLOTS / "slopes.svg")
    pyplot.close(figure_)


def replace(page: str, name: str, lines: Iterator[str]) -> str:
    """Returns the page with the lines between a section's markers replaced."""
    begin, end = BEGIN.format(name), END.format(name)
    before, _, rest = page.partition(begin)
    _, _, after = rest.partition(end)
    return f"{before}{begin}\n" + "\n".join(lines) + f"\n{end}{after}"


def main() -> None:
    """Stores new results, if a file is given, and updates page and plots."""
    if len(sys.argv) > 1:
        found = json.loads(Path(sys.argv[1]).read_text())
        kept = {key: found[key] for key in KEYS if key in found}
        KEPT.write_text(json.dumps(kept, indent=1, sort_keys=True) + "\n")
    results = json.loads(KEPT.read_text())
    page = PAGE.read_text()
    for role, lines in ROLES.items():
        page = replace(page, role, role_table(lines, results))
    page = replace(page, "slopes", slope_table(results))
    page = replace(page, "spread", spread_table(results))
    PAGE.write_text(page)
    plot(results)


if __name__ == "__main__":
    main()
