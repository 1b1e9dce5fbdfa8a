"""Straight lines through measured points, with their error."""

from __future__ import annotations

import math
import statistics
from typing import NamedTuple


class Line(NamedTuple):
    """A least-squares line.

    Attributes:
        slope: Rise of y for one more of x.
        intercept: y at x = 0.
        error: Standard error of the slope.
        points: What it was fitted to, as (x, y).
    """

    slope: float
    intercept: float
    error: float
    points: list[tuple[float, float]]


def line(points: list[tuple[float, float]]) -> Line:
    """Fits a line through at least three points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    residue = sum((y - slope * x - intercept) ** 2 for x, y in points)
    mean = statistics.fmean(xs)
    spread = sum((x - mean) ** 2 for x in xs)
    error = math.sqrt(residue / (len(points) - 2) / spread)
    return Line(slope, intercept, error, points)
