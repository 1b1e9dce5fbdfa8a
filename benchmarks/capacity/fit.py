"""Least-squares lines through measured points."""

from __future__ import annotations

import math
import statistics
from typing import NamedTuple


class Line(NamedTuple):
    """A least-squares line.

    Attributes:
        slope: Increase of y per unit of x.
        intercept: Value of y at x = 0.
        error: Standard error of the slope.
        points: Fitted points as (x, y).
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
    residual_sum = sum((y - slope * x - intercept) ** 2 for x, y in points)
    x_mean = statistics.fmean(xs)
    x_sum_of_squares = sum((x - x_mean) ** 2 for x in xs)
    error = math.sqrt(residual_sum / (len(points) - 2) / x_sum_of_squares)
    return Line(slope, intercept, error, points)
