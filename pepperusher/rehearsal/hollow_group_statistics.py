"""What the books of a group's members tell: when each found what, and whom it lost. Free of I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from math import log10

from pepperusher.rehearsal.hollow_statistics import Propagation, Row

# As docs/group.md has them for a small group: periods until silence is found by all, and until news of a
# member's own are with all. The first grows with the logarithm of the size, as suspicion does
# (group/membership.py).
LOST_PERIODS, NEWS_PERIODS = 15, 6
# Sent by one member in a period when nothing happens.
QUIET_MOST = 3.0


def detection_time_limit(size: int, period: int) -> float:
    """Seconds until all find a silent member, at the most."""
    return LOST_PERIODS * max(1.0, log10(size + 1)) * period / 1e6


def propagation_time_limit(period: int) -> float:
    """Seconds until all have heard what a member says of itself, or orders, at the most."""
    return NEWS_PERIODS * period / 1e6


def last_occurrence_times(rows: Iterable[Row], what: str, at: int, meant: set[int]) -> Propagation:
    """Seconds after `at` (us of the machine's clock) until it was so for the last time, at half, at 99 of 100
    and at all that are meant. Whose books do not name it at all had it so throughout.
    """
    times: list[float] = []
    for index, _, books in rows:
        if index in meant:
            named = [when for key, _, when in books if key == what and when >= at]
            times.append((named[-1] - at) / 1e6 if named else 0.0)
    times.sort()

    def part(share: float) -> float | None:
        place = max(0, -(-len(meant) * round(share * 100) // 100) - 1)
        return round(times[place], 3) if place < len(times) else None

    return Propagation(part(0.5), part(0.99), part(1.0), len(times), len(meant))


def count_observations(rows: Iterable[Row], what: str) -> Counter[str]:
    """How many members' books have it of whom ("lost" and "suspected", say), by name."""
    made: Counter[str] = Counter()
    for _, _, books in rows:
        for key, _, _ in books:
            kind, _, of = key.rpartition(" ")
            if kind == what:
                made[of] += 1
    return made
