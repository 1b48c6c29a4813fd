"""Builds or settings compared pair by pair: the difference of paired rehearsals with an interval by
bootstrap.

Free of I/O. Two rehearsals are a pair when they were asked the same: the same script, parameters and seed.
The interval is the percentile bootstrap of the mean difference (Efron and Tibshirani 1993, ch. 13); one that
holds 0 is noise, and so is any from too few pairs to tell.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from pepperusher.rehearsal.tally import Figures

DRAWS = 10_000
LEVEL = 0.95
# Of fewer pairs the bootstrap knows no more than the pairs themselves.
FEWEST = 4

# What is compared: its name, where it stands, and whether more of it is better.
MEASURES = {
    "goodput": (lambda of: of.goodput, True),
    "worst window": (lambda of: of.worst_window, True),
    "in time": (lambda of: of.in_time / max(1, of.wishes), True),
    "p50": (lambda of: of.intended.percentiles["50"] / 1000, False),
    "p99": (lambda of: of.intended.percentiles["99"] / 1000, False),
    "p99.9": (lambda of: of.intended.percentiles["99.9"] / 1000, False),
    "tries": (lambda of: of.tries / max(1, of.wishes), False),
    "attempts": (lambda of: of.attempts / max(1, of.tickets), False),
    "wasted": (lambda of: of.wasted_share, False),
    "worst customer": (
        lambda of: min((one.goodput for one in of.customers if one.wishes), default=1.0),
        True,
    ),
    "CPU a ticket": (lambda of: _cpu(of), False),
}


def _cpu(of: Figures) -> float:
    tickets = sum(cost.tickets for cost in of.costs)
    return sum(cost.cpu * cost.tickets for cost in of.costs) / tickets / 1000 if tickets else 0.0


class Difference(NamedTuple):
    """`other` less `base` by one measure: means, the mean difference with its interval, and the verdict in a
    word: "better", "worse", "noise", or "too few" pairs to tell."""

    measure: str
    base: float
    other: float
    mean: float
    low: float
    high: float
    pairs: int
    verdict: str


def interval(differences: list[float], seed: int = 1) -> tuple[float, float]:
    """Where the mean difference lies, at LEVEL. The same differences and seed give the same interval."""
    values = np.asarray(differences, dtype=float)
    draws = np.random.default_rng(seed).integers(0, len(values), size=(DRAWS, len(values)))
    means = values[draws].mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def difference(measure: str, pairs: list[tuple[Figures, Figures]]) -> Difference:
    """Of pairs (base, other). Raises KeyError for a measure that is not known."""
    value, more_is_better = MEASURES[measure]
    base = [value(one) for one, _ in pairs]
    other = [value(one) for _, one in pairs]
    apart = [b - a for a, b in zip(base, other)]
    mean = sum(apart) / len(apart)
    if len(pairs) < FEWEST:
        low, high, verdict = min(apart), max(apart), "too few"
    else:
        low, high = interval(apart)
        if low <= 0.0 <= high:
            verdict = "noise"
        else:
            verdict = "better" if (mean > 0) == more_is_better else "worse"
    return Difference(measure, sum(base) / len(base), sum(other) / len(other), mean, low, high, len(pairs), verdict)
