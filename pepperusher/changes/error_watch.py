"""Compares ticket outcomes before and after a configuration change to detect harm; free of I/O.

The count after a change includes only tickets that started under the changed configuration. The count before it
includes only tickets that ended within one watch period before the change. Tickets in flight at the moment of the
change belong to neither. Latencies are counted in bins, each an eighth wider than the one before, so a percentile is
accurate to about 6%.
"""

from __future__ import annotations

from math import exp, log
from typing import NamedTuple

LOG_BIN_RATIO = log(1.125)
BIN_COUNT = 180
# A latency increase below this is not harm, however large its ratio: clients don't notice it.
MIN_LATENCY_INCREASE_US = 10_000

DONE, BOUNCED, SCRAPPED = "done", "bounced", "scrapped"


class Harm(NamedTuple):
    """Why a change is rolled back: the metric rose from `before` to `since`."""

    metric: str
    before: float
    since: float

    def __str__(self) -> str:
        if self.metric == "latency":
            return f"the 90th percentile went from {self.before / 1000:.0f} ms to {self.since / 1000:.0f} ms"
        return f"{self.metric} went from {100 * self.before:.1f}% to {100 * self.since:.1f}%"


class Counts:
    """Counts of ticket outcomes, and a latency histogram of the tickets that were done."""

    __slots__ = ("done", "bounced", "scrapped", "_bins")

    def __init__(self) -> None:
        self.done = self.bounced = self.scrapped = 0
        self._bins = [0] * BIN_COUNT

    def add(self, outcome: str, latency: int) -> None:
        if outcome == DONE:
            self.done += 1
            self._bins[min(BIN_COUNT - 1, int(log(max(1, latency)) / LOG_BIN_RATIO))] += 1
        elif outcome == BOUNCED:
            self.bounced += 1
        else:
            self.scrapped += 1

    def merge(self, other: Counts) -> None:
        self.done += other.done
        self.bounced += other.bounced
        self.scrapped += other.scrapped
        self._bins = [own_count + other_count for own_count, other_count in zip(self._bins, other._bins)]

    @property
    def total(self) -> int:
        return self.done + self.bounced + self.scrapped

    def share(self, count: int) -> float:
        return count / self.total if self.total else 0.0

    def percentile(self, fraction: float) -> int:
        """The latency percentile of the tickets that were done, in us; 0 if there are none."""
        remaining = fraction * self.done
        for bin_index, count in enumerate(self._bins):
            remaining -= count
            if count and remaining <= 0:
                return round(exp((bin_index + 0.5) * LOG_BIN_RATIO))
        return 0


class ErrorWatch:
    """Outcome counts per second over the last `span` us, and separate counts since the last applied change."""

    def __init__(self, span: int) -> None:
        self._span = span
        self._counts_by_second: dict[int, Counts] = {}  # by second; entries older than the span are removed
        self._before: Counts | None = None
        self._since: Counts | None = None
        self._version = -1

    def add(self, version: int, outcome: str, latency: int, now: int) -> None:
        if self._since is not None and version == self._version:
            self._since.add(outcome, latency)
        second = now // 1_000_000
        counts = self._counts_by_second.get(second)
        if counts is None:
            counts = self._counts_by_second[second] = Counts()
            for old in [key for key in self._counts_by_second if key < second - self._span // 1_000_000]:
                del self._counts_by_second[old]
        counts.add(outcome, latency)

    def recent_counts(self, now: int) -> Counts:
        """The counts over the last `span` us together."""
        merged = Counts()
        for second, counts in self._counts_by_second.items():
            if now // 1_000_000 - self._span // 1_000_000 <= second:
                merged.merge(counts)
        return merged

    def start_comparison(self, version: int, span: int, now: int) -> None:
        """Starts the comparison for a change that is applied as `version`, against the counts up to now."""
        self._before, self._since, self._version = self.recent_counts(now), Counts(), version
        self._span = span

    def stop_comparison(self) -> None:
        self._before = self._since = None
        self._version = -1

    @property
    def since(self) -> Counts:
        return self._since or Counts()

    def find_harm(
        self, min_tickets: int, max_error_increase: float, max_bounce_increase: float, max_latency_ratio: float
    ) -> Harm | None:
        """The first metric that rose by more than its allowed margin, once `min_tickets` tickets have ended since the
        change; None if there is none or too few tickets have ended."""
        before, since = self._before, self._since
        if before is None or since is None or since.total < min_tickets:
            return None
        for metric, max_increase, share_before, share_since in (
            ("scrapped", max_error_increase, before.share(before.scrapped), since.share(since.scrapped)),
            ("bounced", max_bounce_increase, before.share(before.bounced), since.share(since.bounced)),
        ):
            if share_since - share_before > max_increase:
                return Harm(metric, share_before, share_since)
        if before.done >= min_tickets and since.done >= min_tickets:
            latency_before, latency_since = before.percentile(0.9), since.percentile(0.9)
            if (
                latency_since > max_latency_ratio * latency_before
                and latency_since - latency_before > MIN_LATENCY_INCREASE_US
            ):
                return Harm("latency", latency_before, latency_since)
        return None
