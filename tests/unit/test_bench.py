"""The statistics of the benchmarks, and merging of their results."""

from __future__ import annotations

import pytest

from bramleydyke.bench.__main__ import merge_results
from bramleydyke.bench.tally import RunStatistics


def test_busy_time_is_split_at_window_borders() -> None:
    """Guards against busy time that is counted in the wrong window.

    It would falsify the imbalance, which is measured for each window.
    """
    tally = RunStatistics([1.0, 2.0])
    tally.record_run(0, start=8.0, end=13.0)
    tally.record_run(1, start=10.0, end=16.0)
    assert tally.busy == {0: [2.0, 0.0], 1: [3.0, 6.0]}
    assert tally.imbalance(20.0) == pytest.approx(1.0)


def test_one_result_from_two_modules_is_an_error() -> None:
    """Guards against a module that overwrites another module's result."""
    results: dict[str, object] = {"in_force_s": {"3": 1.0}}
    merge_results(results, {"in_force_s": {"50": 2.0}})
    assert results == {"in_force_s": {"3": 1.0, "50": 2.0}}
    with pytest.raises(ValueError, match="'3'"):
        merge_results(results, {"in_force_s": {"3": 4.0}})
