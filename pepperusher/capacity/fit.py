"""Least squares through measured sizes: slope with its 95% interval, residuals, and a size that was held
out; free of I/O.

Growth that is no line is fitted in another curve of the size, still linear in its two figures: y = base +
slope * f(size).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import isfinite, log2, sqrt
from typing import NamedTuple

# A slope is never taken from fewer sizes.
LEAST_SIZES = 5
# Student's t at 97.5% by degrees of freedom, from 1; beyond the last, the normal's figure.
T_975 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179)
NORMAL_975 = 1.960
# Another curve than the line is taken only where it leaves less than this part of the line's residuals.
CLEARLY = 0.5
# Where the line's own mean residual is under this part of the mean value, it is a line.
STRAIGHT = 0.02
# A list of fewer backends than this has arcs of MIN_BACKENDS_PER_PROXY backends in a group of 1,000 proxies, whatever its
# length; of more, arcs of PROXIES_PER_BACKEND in 1,000 of it (`policy.py`).
ARC_BEND = 400.0
# Of so many routes what each looks through (`changes/active_configuration.py` sweep) takes as long as what it takes
# itself: by trials at 200 and 400 routes, with that and without (docs/results.md).
SWEEP_EVEN = 84.0
CURVES: dict[str, Callable[[float], float]] = {
    "line": lambda size: size,
    "n log n": lambda size: size * log2(size + 1),
    "log n": lambda size: log2(size + 1),
    "root of n": sqrt,
    "n squared": lambda size: size * size,
    "1 over n": lambda size: 1.0 / size,
    "n over 400": lambda size: max(size, ARC_BEND),
    "n + n squared / 84": lambda size: size + size * size / SWEEP_EVEN,
}


class Point(NamedTuple):
    size: float
    value: float


class Fit(NamedTuple):
    """`low` and `high` bound the slope at 95%. `residual` is the mean absolute one, as a part of the mean
    value; `residuals` are one for each point, in the value's unit.
    """

    curve: str
    base: float
    slope: float
    low: float
    high: float
    residual: float
    residuals: tuple[float, ...]

    def at(self, size: float) -> float:
        return self.base + self.slope * CURVES[self.curve](size)


class Checked(NamedTuple):
    """What the fit says at a size that was not fitted, against what was measured there; `error` is a part of
    that.
    """

    size: float
    said: float
    measured: float
    error: float


def fitted(points: Sequence[Point], curve: str = "line") -> Fit:
    """Raises ValueError for fewer than LEAST_SIZES different sizes, or a value that is no figure."""
    if len({one.size for one in points}) < LEAST_SIZES:
        there = len({one.size for one in points})
        raise ValueError(f"a slope needs {LEAST_SIZES} different sizes, not {there}")
    if not all(isfinite(one.value) and isfinite(one.size) for one in points):
        raise ValueError("a size or a value is no finite figure")
    across = [CURVES[curve](one.size) for one in points]
    up = [one.value for one in points]
    count = len(points)
    mean_x, mean_y = sum(across) / count, sum(up) / count
    spread = sum((x - mean_x) ** 2 for x in across)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(across, up)) / spread
    base = mean_y - slope * mean_x
    residuals = tuple(y - base - slope * x for x, y in zip(across, up))
    free = count - 2
    student = T_975[free - 1] if free <= len(T_975) else NORMAL_975
    wide = student * sqrt(sum(r * r for r in residuals) / free / spread)
    residual = sum(map(abs, residuals)) / count / abs(mean_y) if mean_y else 0.0
    return Fit(curve, base, slope, slope - wide, slope + wide, residual, residuals)


def best(
    points: Sequence[Point], curves: Sequence[str] = ("line", "n log n", "log n", "root of n", "n squared")
) -> Fit:
    """The line, unless another curve leaves clearly less. Raises ValueError as `fitted`."""
    line = fitted(points)
    if line.residual <= STRAIGHT:
        return line
    other = min((fitted(points, curve) for curve in curves), key=lambda one: one.residual)
    return other if other.residual < CLEARLY * line.residual else line


def checked(fit: Fit, held_out: Point) -> Checked:
    said = fit.at(held_out.size)
    error = (said - held_out.value) / held_out.value if held_out.value else 0.0
    return Checked(held_out.size, said, held_out.value, error)
