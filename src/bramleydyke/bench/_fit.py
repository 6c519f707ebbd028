"""Least-squares fit of costs that were measured at several sizes."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec


class LinearFit(msgspec.Struct, frozen=True, kw_only=True):
    """A line fitted to costs that were measured at several sizes."""

    unit: str
    """Unit of the cost, such as bytes."""

    size: str
    """What is counted as the size, such as services."""

    points: list[tuple[float, float]]
    """Measured sizes, each with its cost."""

    slope: float
    """Cost of one unit of size."""

    intercept: float
    """Cost at size zero."""

    error: float
    """Largest relative deviation of a measured cost from the line."""


def fit_line(
    points: Sequence[tuple[float, float]], *, unit: str, size: str
) -> LinearFit:
    """Fits a line to pairs of size and cost by least squares."""
    sizes, costs = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(sizes, costs)
    deviations = (
        abs(slope * at + intercept - cost) / cost for at, cost in points if cost
    )
    return LinearFit(
        unit=unit,
        size=size,
        points=list(points),
        slope=slope,
        intercept=intercept,
        error=max(deviations, default=0.0),
    )
