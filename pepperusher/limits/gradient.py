"""An adaptive concurrency limit that follows the latency of the calls it admits.

The method is the gradient of Netflix's concurrency-limits (Gradient, 2018): the ratio of the latency without queueing
to the current latency shows how much of a call is queueing. While latency stays at its level without queueing, the
limit grows by its square root to probe for capacity; when latency exceeds that level by more than `tolerance`, the
limit shrinks in proportion, by half at most. Two alternatives were rejected: additive increase with halving on errors,
as in TCP, needs errors to learn from, and Vegas keeps the lowest latency ever seen, which stays wrong after a release
that makes every call slower.

The later Gradient2 takes a long-term mean as the latency without queueing. Under steady overload that mean follows the
queueing that the limit itself lets grow, and the limit rises to its maximum (tests/test_limits.py). Here the latency
without queueing is the lower of the mean latencies in the last two dips. Each cycle begins with such a dip to half the
limit, in which queues drain, like the probes of the first Gradient.

Differences from Gradient: calls that are answered without being worked on (turned away, bounced) are no samples, and
the limit does not grow while less than half of it is used.
"""

from __future__ import annotations

from math import inf, sqrt

# Numbers of samples in the short-term mean, in a cycle, and in the dip at its start.
SHORT_MEAN_SAMPLES = 50
CYCLE_SAMPLES = 600
DIP_SAMPLES = 60
# Samples at the start of a dip that are ignored, because their calls began before it.
DIP_IGNORED_SAMPLES = 10
# Weight of each newly computed limit in the smoothed one.
SMOOTHING = 0.2
MIN_USED_SHARE = 0.5


class Gradient:
    """An adaptive limit between a minimum and a maximum."""

    __slots__ = (
        "_limit",
        "_min_limit",
        "_max_limit",
        "_tolerance",
        "_short_mean",
        "_sample_count",
        "_previous_dip_mean",
        "_dip_mean",
        "_dip_sample_count",
    )

    def __init__(self, min_limit: int, max_limit: int, initial_limit: int, tolerance: float) -> None:
        self._limit = float(initial_limit)
        self._short_mean = 0.0
        self._sample_count = 0
        self._previous_dip_mean = inf  # mean latency in the previous dip
        self._dip_mean = inf  # mean latency in the latest dip, or so far in the current one
        self._dip_sample_count = 0
        self.change(min_limit, max_limit, tolerance)

    def change(self, min_limit: int, max_limit: int, tolerance: float) -> None:
        """Sets the bounds and the tolerance, and moves the limit into the bounds."""
        self._min_limit, self._max_limit, self._tolerance = min_limit, max_limit, tolerance
        self._limit = min(float(max_limit), max(float(min_limit), self._limit))

    @property
    def _is_dip(self) -> bool:
        """Whether the current cycle is in its dip."""
        return self._sample_count % CYCLE_SAMPLES < DIP_SAMPLES

    @property
    def limit(self) -> float:
        """The limit in force, which is halved during a dip."""
        # The first cycle has no dip, since no queue has formed yet.
        return (
            max(float(self._min_limit), self._limit / 2.0)
            if self._is_dip and self._sample_count >= CYCLE_SAMPLES
            else self._limit
        )

    def record(self, duration: int, in_use: int) -> None:
        """Records the duration (us) of a call that ended while `in_use` calls were admitted."""
        is_dip = self._is_dip
        self._sample_count += 1
        # The first samples are averaged with equal weights.
        self._short_mean += (duration - self._short_mean) / min(SHORT_MEAN_SAMPLES, self._sample_count)
        if is_dip:
            if (self._sample_count - 1) % CYCLE_SAMPLES == DIP_IGNORED_SAMPLES:
                self._previous_dip_mean, self._dip_mean, self._dip_sample_count = self._dip_mean, 0.0, 0
            if (self._sample_count - 1) % CYCLE_SAMPLES >= DIP_IGNORED_SAMPLES:
                self._dip_sample_count += 1
                self._dip_mean += (duration - self._dip_mean) / self._dip_sample_count
            return
        if in_use < self._limit * MIN_USED_SHARE:
            return
        unqueued = min(self._previous_dip_mean, self._dip_mean)
        gradient = max(0.5, min(1.0, self._tolerance * unqueued / max(1.0, self._short_mean)))
        new_limit = self._limit * gradient + sqrt(self._limit)
        self._limit = min(
            float(self._max_limit), max(float(self._min_limit), (1.0 - SMOOTHING) * self._limit + SMOOTHING * new_limit)
        )


class Fixed:
    """A constant limit."""

    __slots__ = ("limit",)

    def __init__(self, limit: int) -> None:
        self.limit = float(limit)

    def record(self, duration: int, in_use: int) -> None:
        pass
