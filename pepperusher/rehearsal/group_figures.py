"""Figures of a group in virtual time, by size, loss and starvation. Simulated: the members are the program's
own, the network is the model's. `pepperusher group-figures` prints them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from time import process_time
from typing import NamedTuple

from pepperusher.group.messages import LOST, Broadcast
from pepperusher.rehearsal.group_model import SECOND, LinkProperties, Model

# A member's figures are taken over so long.
SPAN = 10 * SECOND
KILLED_WITHIN = 120 * SECOND
# Larger groups are played from where all have met: their meeting alone takes the model minutes.
MEETS = 300


class Row(NamedTuple):
    """Times in seconds: from a kill to the first and to all who find it lost (median and most over the
    plays), until news are with 99% and all; members wrongly lost and wrong suspicions an hour of the whole
    group; bytes and processor time (us) of one member a second.
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
    """All have met, and have had an answer of each other."""
    for one in model.ones.values():
        for other in model.ones.values():
            if other is not one:
                one.swim.members.merge(other.swim.own_record, model.now)
                known = one.swim.members.get(other.swim.own_record.name)
                assert known is not None
                known.mark_verified(other.swim.own_record.token)


def play(
    what: str, size: int, seed: int, manner: LinkProperties, starved: int = 0, duty: float = 1.0, span: int = SPAN
) -> tuple[float, float, float, float, int, int, float, float]:
    """One group that meets, runs for a while, is told something, and loses a member."""
    model = Model(seed, manner=manner)
    model.turn = SECOND
    for number in range(size):
        model.add(f"m{number}", told=size)
    if size > MEETS:
        introduced(model)
    else:
        met = model.run(
            120 * SECOND, lambda: all(len(one.swim.members) == size - 1 for one in model.ones.values()), every=100_000
        )
        assert met, f"{what}: a group of {size} did not meet"
    model.run(10 * SECOND)
    for number in range(starved):
        model.starve(f"m{size - 1 - number}", duty)
    sent = sum(one.sent_bytes for one in model.ones.values())
    began, cpu = model.now, process_time()
    model.run(span)
    taken = process_time() - cpu
    rate = (sum(one.sent_bytes for one in model.ones.values()) - sent) / size / (span / SECOND)
    wrong = [line for line in model.book if line.at >= began]
    at = model.now
    model.ones["m1"].swim.broadcast(Broadcast("ban", "x", True, at), at)

    def heard() -> int:
        return sum(one.swim.broadcasts.get("ban", "x") is not None for one in model.ones.values())

    model.run(60 * SECOND, lambda: heard() >= 0.99 * size, every=2_000)
    news_99 = model.now - at
    model.run(60 * SECOND, lambda: heard() == size, every=2_000)
    news_all = model.now - at
    model.run(2 * SECOND)
    wrong = [line for line in model.book if line.at >= began]
    hours = (model.now - began) / 3600 / SECOND
    model.kill("m0")
    at = model.now

    def found() -> int:
        return sum(
            (known := one.swim.members.get("m0")) is not None and known.health == LOST
            for name, one in model.ones.items()
            if name != "m0"
        )

    model.run(KILLED_WITHIN, lambda: found() > 0, every=10_000)
    first = model.now - at
    model.run(KILLED_WITHIN, lambda: found() == size - 1, every=10_000)
    lost = model.now - at
    return (
        first / SECOND,
        lost / SECOND,
        news_99 / SECOND,
        news_all / SECOND,
        round(sum(line.change.what == "lost" for line in wrong) / hours),
        round(sum(line.change.what == "suspected" for line in wrong) / hours),
        rate,
        taken * SECOND / size / (span / SECOND),
    )


def row(
    what: str,
    size: int,
    plays: int,
    manner: LinkProperties = LinkProperties(),
    starved: int = 0,
    duty: float = 1.0,
    span: int = SPAN,
) -> Row:
    made = [play(what, size, seed, manner, starved, duty, span) for seed in range(plays)]

    def middle(place: int) -> float:
        return sorted(one[place] for one in made)[len(made) // 2]

    return Row(
        what,
        middle(0),
        middle(1),
        max(one[1] for one in made),
        middle(2),
        max(one[3] for one in made),
        sum(one[4] for one in made) / plays,
        sum(one[5] for one in made) / plays,
        middle(6),
        middle(7),
    )


def rows(sizes: list[int], plays: int, say: Callable[[str], None]) -> Iterator[Row]:
    """The figures that docs/results.md has."""
    for size in sizes:
        yield row(f"{size}", size, plays if size <= 100 else 1, span=SPAN if size <= 200 else 3 * SECOND)
        say(f"{size} members are played")
    for lost in (0.05, 0.1, 0.2, 0.3):
        yield row(f"40, {lost:.0%} lost", 40, plays, LinkProperties(lost=lost), span=60 * SECOND)
    say("losses are played")
    for starved in (1, 4, 10):
        yield row(f"40, {starved} with 5% of a processor", 40, plays, starved=starved, duty=0.05, span=60 * SECOND)
    yield row("40, 4 with 5% and 10% lost", 40, plays, LinkProperties(lost=0.1), starved=4, duty=0.05, span=60 * SECOND)


def table(made: list[Row]) -> str:
    lines = [
        "| members | first, lost | all, lost (most) | news to 99%, all | wrongly lost, suspected an hour | bytes/s | CPU us/s |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for one in made:
        lines.append(
            f"| {one.what} | {one.first:.1f} s | {one.lost:.1f} s ({one.lost_most:.1f}) | {one.news_99:.2f}, {one.news_all:.2f} s"
            f" | {one.wrong_lost:.0f}, {one.wrong:.0f} | {one.bytes:.0f} | {one.cpu:.0f} |"
        )
    return "\n".join(lines)
