"""Simulated figures of a group in virtual time, by group size, packet loss and processor starvation. The members are
those of the program, the network is simulated. `pepperusher group-figures` prints the figures.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from time import process_time
from typing import NamedTuple

from pepperusher.group.messages import LOST, Broadcast
from pepperusher.rehearsal.group_model import SECOND, LinkProperties, Model

# Default time over which the traffic of the members is measured.
MEASURED_SPAN = 10 * SECOND
DETECTION_TIMEOUT = 120 * SECOND
# Larger groups start with complete member lists, since joining would take minutes in the simulation.
MAX_JOIN_SIZE = 300


class Row(NamedTuple):
    """Figures of one configuration. Times are in seconds: from a kill until the first and until all members find the
    member lost (median, and maximum over the runs), and until an update reaches 99% and all members. Then running
    members wrongly found lost and wrongly suspected per hour in the whole group, and bytes and processor time (us)
    of one member per second.
    """

    what: str
    first: float
    lost: float
    lost_most: float
    news_99: float
    news_all: float
    wrong_lost: float
    wrong: float
    bytes: float
    cpu: float


def introduced(model: Model) -> None:
    """Gives every member a complete member list with a confirmed record of each other member."""
    for member in model.ones.values():
        for other in model.ones.values():
            if other is not member:
                member.swim.members.merge(other.swim.own_record, model.now)
                known = member.swim.members.get(other.swim.own_record.name)
                assert known is not None
                known.mark_verified(other.swim.own_record.token)


def run_group(
    label: str,
    size: int,
    seed: int,
    link: LinkProperties,
    starved: int = 0,
    duty: float = 1.0,
    span: int = MEASURED_SPAN,
) -> tuple[float, float, float, float, int, int, float, float]:
    """Simulates one group: it joins, runs for `span`, gets a ban order at one member, and loses a member."""
    model = Model(seed, manner=link)
    model.turn = SECOND
    for number in range(size):
        model.add(f"m{number}", told=size)
    if size > MAX_JOIN_SIZE:
        introduced(model)
    else:
        joined = model.run(
            120 * SECOND,
            lambda: all(len(member.swim.members) == size - 1 for member in model.ones.values()),
            every=100_000,
        )
        assert joined, f"{label}: a group of {size} members did not join in time"
    model.run(10 * SECOND)
    for number in range(starved):
        model.starve(f"m{size - 1 - number}", duty)
    bytes_before = sum(member.sent_bytes for member in model.ones.values())
    measured_from, cpu_before = model.now, process_time()
    model.run(span)
    cpu_seconds = process_time() - cpu_before
    bytes_per_second = (
        (sum(member.sent_bytes for member in model.ones.values()) - bytes_before) / size / (span / SECOND)
    )
    wrong_changes = [line for line in model.book if line.at >= measured_from]
    event_at = model.now
    model.ones["m1"].swim.broadcast(Broadcast("ban", "x", True, event_at), event_at)

    def count_informed() -> int:
        return sum(member.swim.broadcasts.get("ban", "x") is not None for member in model.ones.values())

    model.run(60 * SECOND, lambda: count_informed() >= 0.99 * size, every=2_000)
    news_99 = model.now - event_at
    model.run(60 * SECOND, lambda: count_informed() == size, every=2_000)
    news_all = model.now - event_at
    model.run(2 * SECOND)
    wrong_changes = [line for line in model.book if line.at >= measured_from]
    hours = (model.now - measured_from) / 3600 / SECOND
    model.kill("m0")
    event_at = model.now

    def count_found_lost() -> int:
        return sum(
            (known := member.swim.members.get("m0")) is not None and known.health == LOST
            for name, member in model.ones.items()
            if name != "m0"
        )

    model.run(DETECTION_TIMEOUT, lambda: count_found_lost() > 0, every=10_000)
    first = model.now - event_at
    model.run(DETECTION_TIMEOUT, lambda: count_found_lost() == size - 1, every=10_000)
    lost = model.now - event_at
    return (
        first / SECOND,
        lost / SECOND,
        news_99 / SECOND,
        news_all / SECOND,
        round(sum(line.change.what == "lost" for line in wrong_changes) / hours),
        round(sum(line.change.what == "suspected" for line in wrong_changes) / hours),
        bytes_per_second,
        cpu_seconds * SECOND / size / (span / SECOND),
    )


def row(
    label: str,
    size: int,
    plays: int,
    link: LinkProperties = LinkProperties(),
    starved: int = 0,
    duty: float = 1.0,
    span: int = MEASURED_SPAN,
) -> Row:
    results = [run_group(label, size, seed, link, starved, duty, span) for seed in range(plays)]

    def median(column: int) -> float:
        return sorted(result[column] for result in results)[len(results) // 2]

    return Row(
        label,
        median(0),
        median(1),
        max(result[1] for result in results),
        median(2),
        max(result[3] for result in results),
        sum(result[4] for result in results) / plays,
        sum(result[5] for result in results) / plays,
        median(6),
        median(7),
    )


def rows(sizes: list[int], plays: int, say: Callable[[str], None]) -> Iterator[Row]:
    """Computes the figures of docs/results.md."""
    for size in sizes:
        yield row(f"{size}", size, plays if size <= 100 else 1, span=MEASURED_SPAN if size <= 200 else 3 * SECOND)
        say(f"{size} members simulated")
    for lost in (0.05, 0.1, 0.2, 0.3):
        yield row(f"40, {lost:.0%} lost", 40, plays, LinkProperties(lost=lost), span=60 * SECOND)
    say("packet loss simulated")
    for starved in (1, 4, 10):
        yield row(f"40, {starved} with 5% of a processor", 40, plays, starved=starved, duty=0.05, span=60 * SECOND)
    yield row("40, 4 with 5% and 10% lost", 40, plays, LinkProperties(lost=0.1), starved=4, duty=0.05, span=60 * SECOND)


def table(rows: list[Row]) -> str:
    lines = [
        "| members | first, lost | all, lost (most) | news to 99%, all | wrongly lost, suspected an hour | bytes/s | CPU us/s |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.what} | {row.first:.1f} s | {row.lost:.1f} s ({row.lost_most:.1f}) | {row.news_99:.2f}, {row.news_all:.2f} s"
            f" | {row.wrong_lost:.0f}, {row.wrong:.0f} | {row.bytes:.0f} | {row.cpu:.0f} |"
        )
    return "\n".join(lines)
