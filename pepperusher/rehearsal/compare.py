"""Compares builds or settings by paired rehearsals: the mean difference with a bootstrap confidence interval.

Does no I/O. Two rehearsals are a pair if they had the same script, parameters and seed. The interval is the percentile
bootstrap of the mean difference (Efron and Tibshirani 1993, ch. 13). A difference whose interval contains 0 is noise; with
fewer than MIN_PAIRS pairs there is no verdict.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from pepperusher.rehearsal.tally import RunStatistics

BOOTSTRAP_RESAMPLES = 10_000
CONFIDENCE_LEVEL = 0.95
# With fewer pairs a bootstrap gives no more information than the pairs themselves.
MIN_PAIRS = 4

# The measures by name: a function that extracts the value, and whether a higher value is better.
MEASURES = {
    "goodput": (lambda statistics: statistics.goodput, True),
    "worst window": (lambda statistics: statistics.worst_window, True),
    "in time": (lambda statistics: statistics.in_time / max(1, statistics.wishes), True),
    "p50": (lambda statistics: statistics.intended.percentiles["50"] / 1000, False),
    "p99": (lambda statistics: statistics.intended.percentiles["99"] / 1000, False),
    "p99.9": (lambda statistics: statistics.intended.percentiles["99.9"] / 1000, False),
    "tries": (lambda statistics: statistics.tries / max(1, statistics.wishes), False),
    "attempts": (lambda statistics: statistics.attempts / max(1, statistics.tickets), False),
    "wasted": (lambda statistics: statistics.wasted_share, False),
    "worst customer": (
        lambda statistics: min((group.goodput for group in statistics.customers if group.wishes), default=1.0),
        True,
    ),
    "CPU a ticket": (lambda statistics: _cpu_ms_per_ticket(statistics), False),
}


def _cpu_ms_per_ticket(statistics: RunStatistics) -> float:
    tickets = sum(cost.tickets for cost in statistics.costs)
    return sum(cost.cpu * cost.tickets for cost in statistics.costs) / tickets / 1000 if tickets else 0.0


class Difference(NamedTuple):
    """The difference `other` - `base` in one measure.

    `base` and `other` are means, `mean` is the mean difference and `low` to `high` its confidence interval. `verdict` is
    "better", "worse", "noise" or "too few" (pairs).
    """

    measure: str
    base: float
    other: float
    mean: float
    low: float
    high: float
    pairs: int
    verdict: str


def interval(differences: list[float], seed: int = 1) -> tuple[float, float]:
    """Returns the confidence interval of the mean difference; it is deterministic for a given seed."""
    values = np.asarray(differences, dtype=float)
    draws = np.random.default_rng(seed).integers(0, len(values), size=(BOOTSTRAP_RESAMPLES, len(values)))
    means = values[draws].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return float(low), float(high)


def difference(measure: str, pairs: list[tuple[RunStatistics, RunStatistics]]) -> Difference:
    """Compares pairs (base, other) by one measure. Raises KeyError for an unknown measure."""
    measure_of, more_is_better = MEASURES[measure]
    base = [measure_of(statistics) for statistics, _ in pairs]
    other = [measure_of(statistics) for _, statistics in pairs]
    differences = [other_value - base_value for base_value, other_value in zip(base, other)]
    mean = sum(differences) / len(differences)
    if len(pairs) < MIN_PAIRS:
        low, high, verdict = min(differences), max(differences), "too few"
    else:
        low, high = interval(differences)
        if low <= 0.0 <= high:
            verdict = "noise"
        else:
            verdict = "better" if (mean > 0) == more_is_better else "worse"
    return Difference(measure, sum(base) / len(base), sum(other) / len(other), mean, low, high, len(pairs), verdict)
