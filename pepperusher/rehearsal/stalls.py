"""How a generator knows that it was not running: a heart that beats evenly and notes each beat that came
late.

Free of I/O. A stall spans from when a beat was due to when it came; what was intended, sent or heard within
one was timed by a clock nobody looked at, so figures of that time are marked and can be left out.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable


class StallDetector:
    """Beats each `every` us; a beat more than `most` us late is a stall."""

    def __init__(self, every: int, most: int) -> None:
        self._every = every
        self._most = most
        self._due = -1

    def beat(self, now: int) -> tuple[int, int] | None:
        """The stall that this beat ends, as (from, until), or None."""
        due, self._due = self._due, now + self._every
        if 0 <= due and now - due > self._most:
            return due, now
        return None


class SleepMargin:
    """How short of a time to sleep: a timer wakes late by what the machine makes of it, and the rest is gone
    round without sleeping. Grows at once with a late waking, and shrinks by a two-hundredth with each that is
    not."""

    def __init__(self, least: int, most: int) -> None:
        self._least = least
        self._most = most
        self.now = least

    def woke(self, late: int) -> None:
        self.now = min(self._most, max(self._least, self.now - self.now // 200, late + late // 4))


class Spans:
    """Times that are not to be trusted, joined where they touch."""

    def __init__(self, spans: Iterable[tuple[int, int]]) -> None:
        self.joined: list[tuple[int, int]] = []
        for at, until in sorted(spans):
            if self.joined and at <= self.joined[-1][1]:
                self.joined[-1] = (self.joined[-1][0], max(until, self.joined[-1][1]))
            else:
                self.joined.append((at, until))
        self._ends = [until for _, until in self.joined]

    def touch(self, at: int, until: int) -> bool:
        """Whether any part of `at` to `until` lies in one."""
        place = bisect_left(self._ends, at)
        return place < len(self.joined) and self.joined[place][0] <= until

    def covered(self, at: int, until: int) -> int:
        """How much of `at` to `until` lies in them."""
        made = 0
        for place in range(bisect_left(self._ends, at), len(self.joined)):
            start, end = self.joined[place]
            if start >= until:
                break
            made += min(end, until) - max(start, at)
        return made

    def until(self, at: int) -> int:
        """When the one that `at` lies in is over; `at` where it lies in none."""
        place = bisect_left(self._ends, at)
        if place < len(self.joined) and self.joined[place][0] <= at:
            return self.joined[place][1]
        return at

    def seconds(self) -> list[int]:
        """The whole seconds (from 0) that hold a part of one."""
        return sorted(
            {second for at, until in self.joined for second in range(max(0, at) // 1_000_000, until // 1_000_000 + 1)}
        )
