"""Plans when each ticket is due, from the script and its seed; does no I/O and reads no clock.

The same script gives exactly the same plan in every process. The rate is piecewise linear, so arrivals are computed by
inversion of its integral rather than by thinning (Lewis and Shedler 1979). Even and Poisson arrivals differ only in the
distances between arrivals in terms of that integral.
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
    """The first attempt of one client request, due `at` us after the start.

    `use` and `customer` are indices into the script's lists (customer -1 is none), `work` is the drawn work in us on a core of
    speed 1, and `order` the index in the plan.
    """

    at: int
    use: int
    customer: int
    work: int
    order: int


class _RateSegment(NamedTuple):
    """Part of a phase in which the rate is linear and the same surges are active."""

    start: int
    end: int
    rate: float
    to: float
    arrivals: str
    burst: int
    surges: tuple[Surge, ...]


def _phases_of_load(script: Script) -> list[Phase]:
    """Returns the phases of the load; the rates of `load.day` become phases over the whole span, with linear interpolation."""
    day = script.load.day
    if not day:
        return script.load.phases
    if len(day) == 1:
        return [Phase(span=script.span, rate=day[0])]
    interval = script.span // (len(day) - 1)
    return [Phase(span=Span(interval), rate=rate, to=to) for rate, to in zip(day, day[1:])]


def _rate_segments(script: Script) -> Iterator[_RateSegment]:
    surges = script.load.surges
    surge_edges = sorted({surge.at for surge in surges} | {surge.at + surge.span for surge in surges})
    phase_start = 0
    for phase in _phases_of_load(script):
        phase_end = phase_start + phase.span
        to = phase.rate if phase.to is None else phase.to
        boundaries = [phase_start, *(edge for edge in surge_edges if phase_start < edge < phase_end), phase_end]
        for start, end in zip(boundaries, boundaries[1:]):
            if start >= script.span:
                return
            active_surges = tuple(surge for surge in surges if surge.at <= start < surge.at + surge.span)
            slope = (to - phase.rate) / phase.span
            segment_end = min(end, script.span)
            yield _RateSegment(
                start,
                segment_end,
                phase.rate + slope * (start - phase_start),
                phase.rate + slope * (segment_end - phase_start),
                phase.arrivals,
                phase.burst,
                active_surges,
            )
        phase_start = phase_end


class Mix:
    """Draws the use case and the customer of a ticket, by their shares and the active surges.

    `times` is the factor by which the surges raise the total rate.
    """

    def __init__(self, script: Script, surges: tuple[Surge, ...] = ()) -> None:
        uses, customers = script.use_cases, script.customers
        base_weight = sum(use.share for use in uses) * (sum(customer.share for customer in customers) or 1.0)
        self._choices: list[tuple[int, int]] = []
        weights = []
        for use_number, use in enumerate(uses):
            for customer_number in range(len(customers)) or [-1]:
                weight = use.share * (customers[customer_number].share if customer_number >= 0 else 1.0)
                for surge in surges:
                    if surge.use_case in (None, use.name) and (
                        surge.customer is None
                        or customer_number >= 0
                        and surge.customer == customers[customer_number].name
                    ):
                        weight *= surge.times
                self._choices.append((use_number, customer_number))
                weights.append(weight)
        self._cumulative_weights = list(accumulate(weights))
        self.times = self._cumulative_weights[-1] / base_weight if self._cumulative_weights else 0.0

    def draw(self, rng: Random) -> tuple[int, int]:
        index = bisect(self._cumulative_weights, rng.random() * self._cumulative_weights[-1])
        return self._choices[min(index, len(self._choices) - 1)]


def work_of(use: UseCase, rng: Random) -> int:
    """Draws the work of a ticket in us; it is at least 1 unless the mean is 0."""
    mean = use.work.mean
    if not mean or use.work.spread == "fixed":
        return int(mean)
    if use.work.spread == "exponential":
        return max(1, round(rng.expovariate(1.0) * mean))
    sigma = sqrt(log(1.0 + use.work.cv**2))
    return max(1, round(mean * rng.lognormvariate(-sigma * sigma / 2, sigma)))


def _arrival_times(
    segment: _RateSegment, multiplier: float, remaining: float, rng: Random
) -> Iterator[tuple[int, float]]:
    """Yields the arrival times within a segment, each with 0.0.

    `remaining` is the increase of the rate's integral until the first arrival. The last pair is -1 and the increase that
    remains for the next segment.
    """
    burst_size = segment.burst if segment.arrivals == "bursts" else 1
    seconds = (segment.end - segment.start) / 1e6
    rate, to = segment.rate * multiplier / burst_size, segment.to * multiplier / burst_size
    slope = (to - rate) / seconds if seconds else 0.0
    total = (rate + to) / 2 * seconds
    integral = 0.0
    while integral + remaining < total:
        integral += remaining
        rate_then = sqrt(max(0.0, rate * rate + 2 * slope * integral))
        seconds_in = 2 * integral / (rate + rate_then) if rate + rate_then > 0 else 0.0
        instant = min(segment.end - 1, segment.start + round(seconds_in * 1e6))
        for _ in range(burst_size):
            yield instant, 0.0
        remaining = 1.0 if segment.arrivals == "even" else rng.expovariate(1.0)
    yield -1, remaining - (total - integral)


def plan_arrivals(script: Script) -> list[Arrival]:
    """Plans the first attempts of an open-loop script, in order. Traces are planned by `traces.plan_trace` instead."""
    rng = Random(f"{script.seed}:arrivals")
    plan: list[Arrival] = []
    mixes: dict[tuple[Surge, ...], Mix] = {}  # by set of active surges
    remaining: float | None = None
    for segment in _rate_segments(script):
        mix = mixes.get(key := segment.surges)
        if mix is None:
            mix = mixes[key] = Mix(script, key)
        if remaining is None:
            remaining = 0.5 if segment.arrivals == "even" else rng.expovariate(1.0)
        for at, remainder in _arrival_times(segment, mix.times, remaining, rng):
            if at < 0:
                remaining = remainder
                break
            use, customer = mix.draw(rng)
            plan.append(Arrival(at, use, customer, work_of(script.use_cases[use], rng), len(plan)))
    return plan


def digest(plan: list[Arrival]) -> str:
    """Returns the length and a CRC-32 of a plan; equal plans have equal digests."""
    checksum = 0
    for arrival in plan:
        checksum = zlib.crc32(b"%d %d %d %d\n" % arrival[:4], checksum)
    return f"{len(plan)}-{checksum:08x}"
