"""When which ticket is due: a plan worked out ahead from the script and its seed, free of I/O and of any
clock.

The same script gives the same plan to the byte, in every process. Between two changes of rate the rate is a
straight line, so each next arrival is found by solving for it and not by thinning: even arrivals and Poisson
ones differ only in how far apart they are in the integral of the rate (Lewis and Shedler 1979, inversion).
"""

from __future__ import annotations

import zlib
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from math import log, sqrt
from random import Random
from typing import NamedTuple

from pepperusher.rehearsal.script import Phase, Script, Surge, UseCase
from pepperusher.durations import Span


class Arrival(NamedTuple):
    """One first try: due `at` us after the start; `use` and `customer` are places in the script's lists
    (customer -1 is none), `work` the work drawn in us on a core of speed 1, `order` its place in the plan."""

    at: int
    use: int
    customer: int
    work: int
    order: int


class _Stretch(NamedTuple):
    """Part of a phase in which the rate is a line and the same surges act."""

    begins: int
    ends: int
    rate: float
    to: float
    arrivals: str
    burst: int
    surges: tuple[Surge, ...]


def phases_of(script: Script) -> list[Phase]:
    """The load's phases; a day's curve is laid over the whole span, straight between its figures."""
    day = script.load.day
    if not day:
        return script.load.phases
    if len(day) == 1:
        return [Phase(span=script.span, rate=day[0])]
    part = script.span // (len(day) - 1)
    return [Phase(span=Span(part), rate=rate, to=to) for rate, to in zip(day, day[1:])]


def _stretches(script: Script) -> Iterator[_Stretch]:
    surges = script.load.surges
    edges = sorted({surge.at for surge in surges} | {surge.at + surge.span for surge in surges})
    began = 0
    for phase in phases_of(script):
        ended = began + phase.span
        to = phase.rate if phase.to is None else phase.to
        cuts = [began, *(edge for edge in edges if began < edge < ended), ended]
        for begins, ends in zip(cuts, cuts[1:]):
            if begins >= script.span:
                return
            acting = tuple(one for one in surges if one.at <= begins < one.at + one.span)
            slope = (to - phase.rate) / phase.span
            last = min(ends, script.span)
            yield _Stretch(
                begins,
                last,
                phase.rate + slope * (begins - began),
                phase.rate + slope * (last - began),
                phase.arrivals,
                phase.burst,
                acting,
            )
        began = ended


class Mix:
    """Which use case and customer a ticket is of, by shares and the surges that act."""

    def __init__(self, script: Script, surges: tuple[Surge, ...] = ()) -> None:
        uses, customers = script.use_cases, script.customers
        whole = sum(use.share for use in uses) * (sum(one.share for one in customers) or 1.0)
        self._pairs: list[tuple[int, int]] = []
        weights = []
        for u, use in enumerate(uses):
            for c in range(len(customers)) or [-1]:
                weight = use.share * (customers[c].share if c >= 0 else 1.0)
                for surge in surges:
                    if surge.use_case in (None, use.name) and (
                        surge.customer is None or c >= 0 and surge.customer == customers[c].name
                    ):
                        weight *= surge.times
                self._pairs.append((u, c))
                weights.append(weight)
        self._cuts = list(accumulate(weights))
        self.times = self._cuts[-1] / whole if self._cuts else 0.0

    def draw(self, chance: Random) -> tuple[int, int]:
        at = bisect(self._cuts, chance.random() * self._cuts[-1])
        return self._pairs[min(at, len(self._pairs) - 1)]


def work_of(use: UseCase, chance: Random) -> int:
    """A ticket's work in us, at least 1 where there is any."""
    mean = use.work.mean
    if not mean or use.work.spread == "fixed":
        return int(mean)
    if use.work.spread == "exponential":
        return max(1, round(chance.expovariate(1.0) * mean))
    spread = sqrt(log(1.0 + use.work.cv**2))
    return max(1, round(mean * chance.lognormvariate(-spread * spread / 2, spread)))


def _times(stretch: _Stretch, times: float, owed: float, chance: Random) -> Iterator[tuple[int, float]]:
    """Instants within the stretch; `owed` is what the integral still has to gain to the next one. The last
    pair has
    -1 and what is owed after the stretch."""
    size = stretch.burst if stretch.arrivals == "bursts" else 1
    seconds = (stretch.ends - stretch.begins) / 1e6
    rate, to = stretch.rate * times / size, stretch.to * times / size
    slope = (to - rate) / seconds if seconds else 0.0
    whole = (rate + to) / 2 * seconds
    passed = 0.0
    while passed + owed < whole:
        passed += owed
        root = sqrt(max(0.0, rate * rate + 2 * slope * passed))
        at = 2 * passed / (rate + root) if rate + root > 0 else 0.0
        instant = min(stretch.ends - 1, stretch.begins + round(at * 1e6))
        for _ in range(size):
            yield instant, 0.0
        owed = 1.0 if stretch.arrivals == "even" else chance.expovariate(1.0)
    yield -1, owed - (whole - passed)


def plan_arrivals(script: Script) -> list[Arrival]:
    """Every first try of an open-loop script, in order. A trace is planned by `traces.planned` instead."""
    chance = Random(f"{script.seed}:arrivals")
    plan: list[Arrival] = []
    mixes: dict[tuple[Surge, ...], Mix] = {}  # one for each set of surges in the script
    owed: float | None = None
    for stretch in _stretches(script):
        mix = mixes.get(key := stretch.surges)
        if mix is None:
            mix = mixes[key] = Mix(script, key)
        if owed is None:
            owed = 0.5 if stretch.arrivals == "even" else chance.expovariate(1.0)
        for at, left in _times(stretch, mix.times, owed, chance):
            if at < 0:
                owed = left
                break
            use, customer = mix.draw(chance)
            plan.append(Arrival(at, use, customer, work_of(script.use_cases[use], chance), len(plan)))
    return plan


def digest(plan: list[Arrival]) -> str:
    """The same for the same plan alone."""
    check = 0
    for arrival in plan:
        check = zlib.crc32(b"%d %d %d %d\n" % arrival[:4], check)
    return f"{len(plan)}-{check:08x}"
