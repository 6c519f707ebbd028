"""Runs the demo and checks its result."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import click
import msgspec

from bramleydyke.adapters.logs import json_handler
from bramleydyke.daemons.environment import new_environment
from bramleydyke.demo.deployment import load_deployments, with_udp_service
from bramleydyke.demo.scenario import Scenario

MAX_IN_FORCE_S = 7.0
"""Maximum time in seconds until a generation is in force on all nodes."""

MAX_UNKNOWN_SHARE = 0.02
"""Maximum fraction of requests whose outcome may be unknown.

Requests in progress at the killed balancer have an unknown outcome.
"""

RUN_LIMIT_S = 55.0
"""Seconds after which the demo is stopped and counts as failed."""


def run_demo(*, seed: int | None) -> int:
    """Runs the demo and prints events, counters and the result.

    Args:
        seed: Seed of all random choices; None chooses one.

    Returns:
        0 if the run violated no guarantee, else 1.
    """
    from twisted.internet import reactor as any_reactor

    # Importing the reactor installs it, so only programs do so.
    reactor: Any = any_reactor
    seed = random.SystemRandom().getrandbits(32) if seed is None else seed
    click.echo(f"seed {seed}")
    environment = new_environment(reactor)
    results: list[dict[str, Any]] = []

    def finish(result: dict[str, Any]) -> None:
        results.append(result)
        reactor.callLater(0.5, reactor.stop)

    with json_handler(level="WARNING").applicationbound():
        scenario = Scenario(
            environment=environment,
            deployments=[with_udp_service(item) for item in load_deployments()],
            seed=seed,
            report_event=click.echo,
            finish=finish,
        )
        reactor.callWhenRunning(scenario.run)
        reactor.callLater(RUN_LIMIT_S, reactor.stop)
        reactor.run()
    _report_counters(scenario)
    result = results[0] if results else scenario.result()
    failures = failed_checks(result) + ([] if results else ["time limit"])
    for failure in failures:
        click.echo(f"check failed: {failure}")
    click.echo(msgspec.json.encode(result).decode())
    return 1 if failures else 0


def failed_checks(result: dict[str, Any]) -> list[str]:
    """Returns the guarantees that a run violated, as text."""
    ended = sum(
        result[name]
        for name in ("answered", "refused_not_run", "unknown", "wrong_answer")
    )
    checks = {
        "no work ran twice": result["ran_twice"] == 0,
        "no payload reached another service": result["wrong_service"] == 0,
        "every answer belongs to its request": result["wrong_answer"] == 0,
        "no planned change broke a flow": result["broken_flows"] == 0,
        "every request ended": ended == result["requests"] > 0,
        "few outcomes are unknown": result["unknown"]
        <= MAX_UNKNOWN_SHARE * result["requests"],
        "generations were in force in time": result["generation_in_force_s"]
        <= MAX_IN_FORCE_S,
    }
    return [text for text, passed in checks.items() if not passed] + result["failures"]


def _report_counters(scenario: Scenario) -> None:
    counters: Counter[str] = Counter()
    for node in scenario.system.stopped_nodes:
        counters.update(node.metrics.counts)
    for item in scenario.traffic:
        counters.update({f"caller.{name}": n for name, n in item.errors.items()})
    for name, amount in sorted(counters.items()):
        click.echo(f"{amount:8}  {name}")
