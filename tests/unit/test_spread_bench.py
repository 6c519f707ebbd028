"""The deployments of the spread measurement at their smallest size."""

from __future__ import annotations

import pytest

from bramleydyke.bench.spread import IN_FORCE_LIMIT_S, at_target, run


@pytest.mark.parametrize("way", ["gossip", "watch_per_process", "tree"])
def test_each_way_brings_changes_into_force(way: str) -> None:
    """Guards against figures of a way that does not work at all."""
    result = run(10, way, seed=1)
    assert 0 < result.in_force_s < IN_FORCE_LIMIT_S
    assert result.control_bytes_per_node_s > result.quiet_bytes_per_node_s > 0
    assert result.store_calls_per_change >= 1


def test_falling_figures_are_not_extended() -> None:
    """Guards against targets that are met by a line below zero."""
    assert at_target({"10": 9.0, "50": 5.0, "200": 2.0}) == 2.0
    assert at_target({"10": 0.0, "50": 1.0, "200": 2.5}) == 6.0
