"""Straight-line fits of measured points."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A measured cost as a straight line over a size."""

    unit: str
    """Unit of the cost, for each unit of the size."""

    size: str
    """What grows."""

    points: list[tuple[float, float]]
    """Measured pairs of size and cost."""

    slope: float
    intercept: float
    error: float
    """Largest deviation of a point from the line, as a share of the point."""


def fit(points: Sequence[tuple[float, float]], *, unit: str, size: str) -> Slope:
    """Returns the least-squares line through the points."""
    sizes, costs = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(sizes, costs)
    deviations = (
        abs(slope * at + intercept - cost) / cost for at, cost in points if cost
    )
    return Slope(
        unit=unit,
        size=size,
        points=list(points),
        slope=slope,
        intercept=intercept,
        error=max(deviations, default=0.0),
    )
