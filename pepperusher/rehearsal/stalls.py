"""Detects when a load generator did not run: a heartbeat at a fixed interval records each beat that comes late.

Does no I/O. A stall lasts from when a beat was due to when it came. The generator did not read the clock during a stall, so
the times of what it sent or received then are unreliable; such measurements are marked and can be left out.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable


class StallDetector:
    """Detects stalls from a heartbeat every `interval` us; a beat more than `tolerance` us late ends a stall."""

    def __init__(self, interval: int, tolerance: int) -> None:
        self._interval = interval
        self._tolerance = tolerance
        self._next_due = -1

    def beat(self, now: int) -> tuple[int, int] | None:
        """Records a beat; returns the stall that it ends as (start, end), or None."""
        due, self._next_due = self._next_due, now + self._interval
        if 0 <= due and now - due > self._tolerance:
            return due, now
        return None


class SleepMargin:
    """How long before a deadline a sleep has to end, since timers fire late; the rest of the time is spent polling.

    `now` is the present margin in us. It grows at once when a sleep ends late and shrinks by 1/200 at each other wake-up.
    """

    def __init__(self, minimum: int, maximum: int) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self.now = minimum

    def record_wakeup(self, lateness: int) -> None:
        """Adapts the margin to a sleep that ended `lateness` us late."""
        self.now = min(self._maximum, max(self._minimum, self.now - self.now // 200, lateness + lateness // 4))


class Spans:
    """Spans of time with unreliable measurements; spans that overlap or touch are joined."""

    def __init__(self, spans: Iterable[tuple[int, int]]) -> None:
        self.joined: list[tuple[int, int]] = []
        for start, end in sorted(spans):
            if self.joined and start <= self.joined[-1][1]:
                self.joined[-1] = (self.joined[-1][0], max(end, self.joined[-1][1]))
            else:
                self.joined.append((start, end))
        self._span_ends = [end for _, end in self.joined]

    def overlaps(self, start: int, end: int) -> bool:
        """Whether any part of `start` to `end` lies in a span."""
        index = bisect_left(self._span_ends, start)
        return index < len(self.joined) and self.joined[index][0] <= end

    def overlap_us(self, start: int, end: int) -> int:
        """Returns how much of `start` to `end` lies in the spans."""
        total = 0
        for index in range(bisect_left(self._span_ends, start), len(self.joined)):
            span_start, span_end = self.joined[index]
            if span_start >= end:
                break
            total += min(span_end, end) - max(span_start, start)
        return total

    def end_after(self, instant: int) -> int:
        """Returns the end of the span that contains `instant`, or `instant` if there is none."""
        index = bisect_left(self._span_ends, instant)
        if index < len(self.joined) and self.joined[index][0] <= instant:
            return self.joined[index][1]
        return instant

    def seconds(self) -> list[int]:
        """Returns the numbers of the seconds (from 0) that overlap a span."""
        return sorted(
            {second for start, end in self.joined for second in range(max(0, start) // 1_000_000, end // 1_000_000 + 1)}
        )
