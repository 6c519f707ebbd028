"""The benchmark of configuration distribution, with 10 nodes."""

from __future__ import annotations

import pytest

from bramleydyke.bench.spread import IN_FORCE_LIMIT_S, at_target, run


@pytest.mark.parametrize("method", ["gossip", "watch_per_process", "tree"])
def test_each_method_applies_changes_in_time(method: str) -> None:
    """Guards against results of a distribution method that does not work."""
    result = run(10, method, seed=1)
    assert 0 < result.in_force_s < IN_FORCE_LIMIT_S
    assert result.control_bytes_per_node_s > result.quiet_bytes_per_node_s > 0
    assert result.store_calls_per_change >= 1


def test_falling_values_are_not_extrapolated() -> None:
    """Guards against extrapolation of a falling line below zero."""
    assert at_target({"10": 9.0, "50": 5.0, "200": 2.0}) == 2.0
    assert at_target({"10": 0.0, "50": 1.0, "200": 2.5}) == 6.0
