"""Statistics of a scale test: propagation times of changes, and processor and memory use."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

Row = tuple[
    int, int, list[tuple[str, int, int]]
]  # index, view, [(resource, version, time in us at which it came into force)]


class Propagation(NamedTuple):
    """Seconds from a change until it was in force at 50%, 99% and all of the expected proxies, or None if that many
    never had it. `of` is the number of expected proxies, `had` the number of those that have the change.
    """

    half: float | None
    most: float | None
    all: float | None
    had: int
    of: int

    def row(self) -> dict[str, Any]:
        return {"50%_s": self.half, "99%_s": self.most, "all_s": self.all, "had": self.had, "of": self.of}


def propagation_times(
    rows: Iterable[Row], resource: str, versions: Mapping[int, int], changed_at: int, expected: set[int] | None = None
) -> Propagation:
    """Propagation times of a change made at `changed_at` (us on the monotonic clock). A proxy has the change from its
    first record after `changed_at` with at least the version that `versions` gives for its view. `expected` limits
    the proxies.
    """
    times: list[float] = []
    expected_count = 0
    for index, view, records in rows:
        wanted = versions.get(view)
        if wanted is None or expected is not None and index not in expected:
            continue
        expected_count += 1
        activated_at = next(
            (
                activated_at_us
                for record_resource, version, activated_at_us in records
                if record_resource == resource and version >= wanted and activated_at_us >= changed_at
            ),
            None,
        )
        if activated_at is not None:
            times.append((activated_at - changed_at) / 1e6)
    times.sort()

    def percentile(share: float) -> float | None:
        position = max(0, -(-expected_count * round(share * 100) // 100) - 1)
        return round(times[position], 3) if position < len(times) else None

    return Propagation(percentile(0.5), percentile(0.99), percentile(1.0), len(times), expected_count)


def count_version_regressions(rows: Iterable[Row]) -> int:
    """Counts records of a proxy with an older version of a resource in force after a newer one. Without a restart of
    the proxy there are none.
    """
    count = 0
    for _, _, records in rows:
        latest: dict[str, int] = defaultdict(int)
        for resource, version, _ in records:
            count += version < latest[resource]
            latest[resource] = version
    return count


class ResourceUsage(NamedTuple):
    """Use by all processes of one role over a time span: mean cores, cores in the worst second, and memory in MB."""

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
    """Computes the use by role from samples (time, {process name: (processor seconds, memory in MB)}). A role is the
    process name without its number. Only processes in both of two successive samples count for that interval.
    """
    rates: dict[str, list[float]] = defaultdict(list)
    memory: dict[str, float] = defaultdict(float)
    process_names: dict[str, set[str]] = defaultdict(set)
    for (previous_at, previous), (sampled_at, current) in zip(samples, samples[1:]):
        processor_sums: dict[str, float] = defaultdict(float)
        memory_sums: dict[str, float] = defaultdict(float)
        for name, (processor, megabytes) in current.items():
            role = name.rpartition(" ")[0]
            process_names[role].add(name)
            memory_sums[role] += megabytes
            if name in previous:
                processor_sums[role] += max(0.0, processor - previous[name][0])
        for role, processor_seconds in processor_sums.items():
            rates[role].append(processor_seconds / (sampled_at - previous_at))
        for role, megabytes in memory_sums.items():
            memory[role] = max(memory[role], megabytes)
    return {
        role: ResourceUsage(
            round(sum(role_rates) / len(role_rates), 4),
            round(max(role_rates), 4),
            len(process_names[role]),
            round(memory[role], 1),
        )
        for role, role_rates in rates.items()
    }
