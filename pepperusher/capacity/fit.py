"""Least-squares fits of measured values by size: the slope with its 95% interval, the residuals, and a check at a
held-out size. This module does no I/O.

Growth that is not linear in the size is fitted by another curve f, still linear in its two parameters: y = base +
slope * f(size).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import isfinite, log2, sqrt
from typing import NamedTuple

MIN_SIZES = 5
# The 97.5% quantiles of Student's t distribution for 1, 2, ... degrees of freedom; beyond the last one the quantile of
# the normal distribution is used.
T_QUANTILES_975 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179)
NORMAL_QUANTILE_975 = 1.960
# A curve replaces the line only if its mean residual is below this fraction of the line's: noise alone gives smaller
# improvements.
MAX_RESIDUAL_RATIO = 0.5
# A line whose mean residual is at most this fraction of the mean value is accepted without trying other curves.
MAX_LINE_RESIDUAL = 0.02
# In a group of 1,000 proxies, a proxy connects to MIN_BACKENDS_PER_PROXY backends of a list shorter than this, and to
# PROXIES_PER_BACKEND in 1,000 of the backends of a longer list (`policy.py`).
ARC_BEND = 400.0
# The number of routes at which the quadratic part of the sweep, where each route searches all routes
# (`changes/active_configuration.py`), takes as long as the linear part: determined by trials at 200 and 400 routes,
# with and without the search (docs/results.md).
SWEEP_EQUAL_ROUTES = 84.0
CURVES: dict[str, Callable[[float], float]] = {
    "line": lambda size: size,
    "n log n": lambda size: size * log2(size + 1),
    "log n": lambda size: log2(size + 1),
    "root of n": sqrt,
    "n squared": lambda size: size * size,
    "1 over n": lambda size: 1.0 / size,
    "n over 400": lambda size: max(size, ARC_BEND),
    "n + n squared / 84": lambda size: size + size * size / SWEEP_EQUAL_ROUTES,
}


class Point(NamedTuple):
    """A measured value at one size."""

    size: float
    value: float


class Fit(NamedTuple):
    """A fitted curve. `low` and `high` are the 95% interval of the slope. `residual` is the mean absolute residual as
    a fraction of the mean value; `residuals` has one residual for each point, in the unit of the value.
    """

    curve: str
    base: float
    slope: float
    low: float
    high: float
    residual: float
    residuals: tuple[float, ...]

    def at(self, size: float) -> float:
        """Returns the fitted value at a size."""
        return self.base + self.slope * CURVES[self.curve](size)


class FitCheck(NamedTuple):
    """The predicted value at a held-out size and the value measured there; `error` is a fraction of the latter."""

    size: float
    predicted: float
    measured: float
    error: float


def fit_curve(points: Sequence[Point], curve: str = "line") -> Fit:
    """Fits `curve` by least squares. Raises ValueError for fewer than MIN_SIZES distinct sizes, or a size or value that
    is not finite.
    """
    if len({point.size for point in points}) < MIN_SIZES:
        distinct_sizes = len({point.size for point in points})
        raise ValueError(f"a slope needs {MIN_SIZES} different sizes, not {distinct_sizes}")
    if not all(isfinite(point.value) and isfinite(point.size) for point in points):
        raise ValueError("a size or a value is not finite")
    xs = [CURVES[curve](point.size) for point in points]
    ys = [point.value for point in points]
    count = len(points)
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    base = mean_y - slope * mean_x
    residuals = tuple(y - base - slope * x for x, y in zip(xs, ys))
    degrees_of_freedom = count - 2
    quantile = (
        T_QUANTILES_975[degrees_of_freedom - 1] if degrees_of_freedom <= len(T_QUANTILES_975) else NORMAL_QUANTILE_975
    )
    half_width = quantile * sqrt(
        sum(residual_value * residual_value for residual_value in residuals) / degrees_of_freedom / spread
    )
    residual = sum(map(abs, residuals)) / count / abs(mean_y) if mean_y else 0.0
    return Fit(curve, base, slope, slope - half_width, slope + half_width, residual, residuals)


def best_fit(
    points: Sequence[Point], curves: Sequence[str] = ("line", "n log n", "log n", "root of n", "n squared")
) -> Fit:
    """Returns the fitted line, unless another curve has a clearly smaller residual. Raises ValueError as `fit_curve`
    does.
    """
    line = fit_curve(points)
    if line.residual <= MAX_LINE_RESIDUAL:
        return line
    best = min((fit_curve(points, curve) for curve in curves), key=lambda fit: fit.residual)
    return best if best.residual < MAX_RESIDUAL_RATIO * line.residual else line


def check_fit(fit: Fit, held_out: Point) -> FitCheck:
    """Compares the fit with the value measured at a held-out size."""
    predicted = fit.at(held_out.size)
    error = (predicted - held_out.value) / held_out.value if held_out.value else 0.0
    return FitCheck(held_out.size, predicted, held_out.value, error)
