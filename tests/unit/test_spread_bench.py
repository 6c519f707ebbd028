"""The benchmark of configuration distribution, with 10 nodes."""

from __future__ import annotations

import pytest

from bramleydyke.bench.spread import (
    PROPAGATION_TIMEOUT_S,
    extrapolate_to_target,
    measure_deployment,
)


@pytest.mark.parametrize("method", ["gossip", "watch_per_process", "tree"])
def test_each_method_applies_changes_in_time(method: str) -> None:
    """Guards against results of a distribution method that does not work."""
    result = measure_deployment(10, method, seed=1)
    assert 0 < result.in_force_s < PROPAGATION_TIMEOUT_S
    assert result.control_bytes_per_node_s > result.quiet_bytes_per_node_s > 0
    assert result.store_calls_per_change >= 1


def test_falling_values_are_not_extrapolated() -> None:
    """Guards against extrapolation of a falling line below zero."""
    assert extrapolate_to_target({"10": 9.0, "50": 5.0, "200": 2.0}) == 2.0
    assert extrapolate_to_target({"10": 0.0, "50": 1.0, "200": 2.5}) == 6.0
