"""What became of tickets before a change and since, and whether the change did harm; free of I/O.

Since counts only tickets that began under the changed terms, before only those that ended in the time of the
watch before it: what was in hand when it came belongs to neither. Times are counted in bins that grow by an
eighth, so a percentile is right to some 6%.
"""

from __future__ import annotations

from math import exp, log
from typing import NamedTuple

GROWTH = log(1.125)
BINS = 180
# What is under this is no difference that a client feels, however many times as long.
FELT = 10_000

DONE, BOUNCED, SCRAPPED = "done", "bounced", "scrapped"


class Harm(NamedTuple):
    """Why a change is undone: what rose, from what to what."""

    what: str
    before: float
    since: float

    def __str__(self) -> str:
        if self.what == "latency":
            return f"the 90th percentile went from {self.before / 1000:.0f} ms to {self.since / 1000:.0f} ms"
        return f"{self.what} went from {100 * self.before:.1f}% to {100 * self.since:.1f}%"


class Counts:
    """Ends of tickets, and times of those done."""

    __slots__ = ("done", "bounced", "scrapped", "_bins")

    def __init__(self) -> None:
        self.done = self.bounced = self.scrapped = 0
        self._bins = [0] * BINS

    def add(self, how: str, took: int) -> None:
        if how == DONE:
            self.done += 1
            self._bins[min(BINS - 1, int(log(max(1, took)) / GROWTH))] += 1
        elif how == BOUNCED:
            self.bounced += 1
        else:
            self.scrapped += 1

    def merge(self, other: Counts) -> None:
        self.done += other.done
        self.bounced += other.bounced
        self.scrapped += other.scrapped
        self._bins = [one + more for one, more in zip(self._bins, other._bins)]

    @property
    def all(self) -> int:
        return self.done + self.bounced + self.scrapped

    def share(self, count: int) -> float:
        return count / self.all if self.all else 0.0

    def percentile(self, part: float) -> int:
        """Of those done, in us; 0 of none."""
        left = part * self.done
        for place, count in enumerate(self._bins):
            left -= count
            if count and left <= 0:
                return round(exp((place + 0.5) * GROWTH))
        return 0


class ErrorWatch:
    """Counts by second of the last `span`, and since a change by itself. Holds as many seconds as the longest
    watch."""

    def __init__(self, span: int) -> None:
        self._span = span
        self._seconds: dict[int, Counts] = {}  # emptied as they pass out of the span
        self._before: Counts | None = None
        self._since: Counts | None = None
        self._version = -1

    def add(self, version: int, how: str, took: int, now: int) -> None:
        if self._since is not None and version == self._version:
            self._since.add(how, took)
        second = now // 1_000_000
        counts = self._seconds.get(second)
        if counts is None:
            counts = self._seconds[second] = Counts()
            for old in [one for one in self._seconds if one < second - self._span // 1_000_000]:
                del self._seconds[old]
        counts.add(how, took)

    def lately(self, now: int) -> Counts:
        merged = Counts()
        for second, counts in self._seconds.items():
            if now // 1_000_000 - self._span // 1_000_000 <= second:
                merged.merge(counts)
        return merged

    def begin(self, version: int, span: int, now: int) -> None:
        """A change is applied: what was is compared with what its version's tickets come to."""
        self._before, self._since, self._version = self.lately(now), Counts(), version
        self._span = span

    def end(self) -> None:
        self._before = self._since = None
        self._version = -1

    @property
    def since(self) -> Counts:
        return self._since or Counts()

    def harm(self, least: int, errors: float, bounces: float, latency: float) -> Harm | None:
        """What rose by more than it may, once `least` tickets have ended; None while all is well or too
        few."""
        before, since = self._before, self._since
        if before is None or since is None or since.all < least:
            return None
        for what, rise, was, now in (
            ("scrapped", errors, before.share(before.scrapped), since.share(since.scrapped)),
            ("bounced", bounces, before.share(before.bounced), since.share(since.bounced)),
        ):
            if now - was > rise:
                return Harm(what, was, now)
        if before.done >= least and since.done >= least:
            was_took, took = before.percentile(0.9), since.percentile(0.9)
            if took > latency * was_took and took - was_took > FELT:
                return Harm("latency", was_took, took)
        return None
