"""What the books of a scale test tell: until when a change was in force at so many, and what each second
cost."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

Row = tuple[int, int, list[tuple[str, int, int]]]  # index, view, what it had in force when


class Propagation(NamedTuple):
    """Seconds after the change until it was in force at half, at 99 of 100 and at all that are meant; None
    where it never was at so many. `of` are those meant, `had` those that have it."""

    half: float | None
    most: float | None
    all: float | None
    had: int
    of: int

    def row(self) -> dict[str, Any]:
        return {"50%_s": self.half, "99%_s": self.most, "all_s": self.all, "had": self.had, "of": self.of}


def propagation_times(
    rows: Iterable[Row], what: str, versions: Mapping[int, int], at: int, meant: set[int] | None = None
) -> Propagation:
    """`versions` is what each view has to have at least; `at` the time of the change on the machine's clock
    (us). One that has it several times counts from the first after `at`."""
    times: list[float] = []
    of = 0
    for index, view, books in rows:
        wanted = versions.get(view)
        if wanted is None or meant is not None and index not in meant:
            continue
        of += 1
        first = next((when for key, version, when in books if key == what and version >= wanted and when >= at), None)
        if first is not None:
            times.append((first - at) / 1e6)
    times.sort()

    def part(share: float) -> float | None:
        place = max(0, -(-of * round(share * 100) // 100) - 1)
        return round(times[place], 3) if place < len(times) else None

    return Propagation(part(0.5), part(0.99), part(1.0), len(times), of)


def count_version_regressions(rows: Iterable[Row]) -> int:
    """How often one had something older in force after something newer: none, while it runs on."""
    count = 0
    for _, _, books in rows:
        latest: dict[str, int] = defaultdict(int)
        for what, version, _ in books:
            count += version < latest[what]
            latest[what] = version
    return count


class ResourceUsage(NamedTuple):
    """Of one role over a span: cores in the mean and in the worst second, of so many processes; memory in
    MB."""

    mean: float
    worst: float
    processes: int
    memory: float

    def row(self) -> dict[str, Any]:
        return {
            "cores_mean": self.mean,
            "cores_worst_s": self.worst,
            "processes": self.processes,
            "memory_mb": self.memory,
        }


def resource_usage(samples: Sequence[tuple[float, Mapping[str, tuple[float, float]]]]) -> dict[str, ResourceUsage]:
    """By role, from samples (time, {process: (processor seconds, memory MB)}), roles being processes' names
    without their numbers. Between two samples only processes in both count."""
    rates: dict[str, list[float]] = defaultdict(list)
    memory: dict[str, float] = defaultdict(float)
    named: dict[str, set[str]] = defaultdict(set)
    for (before_at, before), (at, now) in zip(samples, samples[1:]):
        sums: dict[str, float] = defaultdict(float)
        held: dict[str, float] = defaultdict(float)
        for name, (processor, megabytes) in now.items():
            role = name.rpartition(" ")[0]
            named[role].add(name)
            held[role] += megabytes
            if name in before:
                sums[role] += max(0.0, processor - before[name][0])
        for role, spent in sums.items():
            rates[role].append(spent / (at - before_at))
        for role, megabytes in held.items():
            memory[role] = max(memory[role], megabytes)
    return {
        role: ResourceUsage(
            round(sum(all_) / len(all_), 4), round(max(all_), 4), len(named[role]), round(memory[role], 1)
        )
        for role, all_ in rates.items()
    }
