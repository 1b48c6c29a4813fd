"""How many at once: a limit that follows the times of what it lets through.

The method is the gradient of Netflix's concurrency limits (Gradient, 2018): the time without waiting over the
time now tells how much of a time is waiting. While times stand as without waiting the limit grows by the
square root of itself, which probes for room; where they grow by more than `tolerance` it shrinks in
proportion, by half at the most. Chosen over additive increase with halving on errors (TCP's), which needs
errors to learn, and over Vegas, whose least time ever seen stays wrong for good after a release made all
slower.

The later Gradient2 takes a long mean for the time without waiting, and was tried: under steady overload its
mean follows the waiting that the limit itself lets grow, and the limit went to its end
(tests/test_limits.py). Here the time without waiting is the least short mean of the last two spells, and each
spell begins with a dip to half the limit, in which waiting goes and the least is seen again, as the first
Gradient's probes do.

Departures: what is answered without being worked on (turned away, bounced) is no time; and a limit of which
less than half is used is no test of it, and does not grow.
"""

from __future__ import annotations

from math import inf, sqrt

# Times in the mean now, in a spell, and in the dip at its begin.
SHORT = 50
SPELL = 600
DIP = 60
# Of a dip the first that end began before it.
DIP_SETTLES = 10
# The part of each new limit that is taken.
SMOOTH = 0.2
USED = 0.5


class Gradient:
    """`limit` moves between `least` and `most`."""

    __slots__ = ("_limit", "_least", "_most", "_tolerance", "_short", "_seen", "_before", "_dip", "_in_dip")

    def __init__(self, least: int, most: int, start: int, tolerance: float) -> None:
        self._limit = float(start)
        self._short = 0.0
        self._seen = 0
        self._before = inf  # the mean of the dip before the last
        self._dip = inf  # of the last, or of this one so far
        self._in_dip = 0
        self.change(least, most, tolerance)

    def change(self, least: int, most: int, tolerance: float) -> None:
        self._least, self._most, self._tolerance = least, most, tolerance
        self._limit = min(float(most), max(float(least), self._limit))

    @property
    def _dips(self) -> bool:
        return self._seen % SPELL < DIP

    @property
    def limit(self) -> float:
        # Not at the first: nothing waits yet that would have to go.
        return max(float(self._least), self._limit / 2.0) if self._dips and self._seen >= SPELL else self._limit

    def heard(self, took: int, in_use: int) -> None:
        """One that was let through took so long (us), while `in_use` were."""
        dips = self._dips
        self._seen += 1
        # The first ones are the mean itself.
        self._short += (took - self._short) / min(SHORT, self._seen)
        if dips:
            if (self._seen - 1) % SPELL == DIP_SETTLES:
                self._before, self._dip, self._in_dip = self._dip, 0.0, 0
            if (self._seen - 1) % SPELL >= DIP_SETTLES:
                self._in_dip += 1
                self._dip += (took - self._dip) / self._in_dip
            return
        if in_use < self._limit * USED:
            return
        without = min(self._before, self._dip)
        gradient = max(0.5, min(1.0, self._tolerance * without / max(1.0, self._short)))
        wanted = self._limit * gradient + sqrt(self._limit)
        self._limit = min(float(self._most), max(float(self._least), (1.0 - SMOOTH) * self._limit + SMOOTH * wanted))


class Fixed:
    """A limit that stands."""

    __slots__ = ("limit",)

    def __init__(self, limit: int) -> None:
        self.limit = float(limit)

    def heard(self, took: int, in_use: int) -> None:
        pass
