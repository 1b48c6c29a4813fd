"""Statistics of the observations of group members: when each member observed an event, and which members it lost.
Does no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from math import log10

from pepperusher.rehearsal.hollow_statistics import Propagation, Row

# Limits for a small group as in docs/group.md, in probe periods: until all members detect a silent member, and until
# an update that a member sends reaches all. The first grows with the logarithm of the group size, as the suspicion
# time does (group/membership.py).
DETECTION_PERIODS, PROPAGATION_PERIODS = 15, 6
# Datagrams that one member may send in a period while nothing happens.
MAX_IDLE_DATAGRAMS = 3.0


def detection_time_limit(size: int, period: int) -> float:
    """The longest time in seconds until all members detect a silent member."""
    return DETECTION_PERIODS * max(1.0, log10(size + 1)) * period / 1e6


def propagation_time_limit(period: int) -> float:
    """The longest time in seconds until an update or order of a member reaches all others."""
    return PROPAGATION_PERIODS * period / 1e6


def last_occurrence_times(rows: Iterable[Row], wanted: str, event_at: int, expected: set[int]) -> Propagation:
    """Seconds from `event_at` (us on the monotonic clock) to the last record of an observation, as percentiles over the
    members in `expected`. A member with no record since `event_at` counts as 0 s: its state did not change.
    """
    times: list[float] = []
    for index, _, records in rows:
        if index in expected:
            occurrences = [
                recorded_at
                for observation, _, recorded_at in records
                if observation == wanted and recorded_at >= event_at
            ]
            times.append((occurrences[-1] - event_at) / 1e6 if occurrences else 0.0)
    times.sort()

    def percentile(share: float) -> float | None:
        position = max(0, -(-len(expected) * round(share * 100) // 100) - 1)
        return round(times[position], 3) if position < len(times) else None

    return Propagation(percentile(0.5), percentile(0.99), percentile(1.0), len(times), len(expected))


def count_observations(rows: Iterable[Row], event: str) -> Counter[str]:
    """Counts the records of an event, such as "lost" or "suspected", by the member that it concerns."""
    counts: Counter[str] = Counter()
    for _, _, records in rows:
        for key, _, _ in records:
            kind, _, member = key.rpartition(" ")
            if kind == event:
                counts[member] += 1
    return counts
