"""The schedule of all faults of a run, scripted and random, with the resulting lifetimes of backends; free of I/O.

It is computed from the script and its seed alone, so that every process of a rehearsal derives the same schedule, and
the same seed hits the same backends at the same times.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from pepperusher.rehearsal.fleet_plan import FleetPlan, Gate, Place
from pepperusher.rehearsal.script import BACKEND_FAULTS, LINK_FAULTS, PROXY_FAULTS, Chance, Fault, Script
from pepperusher.durations import Span

# Defaults for a restart, in us: how long the backend drains before its process ends, and how long after that the next
# process starts. The script may set both.
DEFAULT_DRAIN_TIME = 2_000_000
DEFAULT_RESTART_DELAY = 1_500_000
# Strength of a fault for which the script gives none; 1 for all others.
DEFAULT_STRENGTH = {"slow": 3.0}


# `digest` hashes the reprs of Strike and Life, so the names of both classes and of their fields are part of stored digests.
class Strike(NamedTuple):
    """One occurrence of a fault, active from `at` until `until` (us after the start; equal for a momentary fault, and
    `until` is -1 for one without an end).

    `what` is the kind of fault. `targets` are the numbers of the affected backend places or proxy gates, or for a link
    fault the number of the fault in the script. `by` is its strength, and `use_case` the only use case affected.
    """

    at: int
    until: int
    what: str
    targets: tuple[int, ...]
    by: float
    use_case: str | None


class Life(NamedTuple):
    """One lifetime of a backend at a place under one `id`: from `born` (-1: since long before the start) until `ends`
    (-1: it outlives the run). `drains` is when it starts to drain and `again` when it is ready again, -1 for never.
    `planned` is whether it ends by a planned stop rather than a failure."""

    place: int
    id: str
    generation: int
    born: int
    drains: int
    again: int
    ends: int
    planned: bool


class FaultSchedule(NamedTuple):
    """All faults and backend lifetimes of a run, both in order of time."""

    strikes: list[Strike]
    lives: list[Life]


def _select_targets(script: Script, plan: FleetPlan, fault: Fault, chance: Random) -> tuple[int, ...]:
    """The numbers of the backends or proxies that a fault affects, in the order of the script."""
    tiers = [tier.name for tier in script.tiers]
    if fault.what in PROXY_FAULTS:
        tier_index = tiers.index(fault.tier) if fault.tier else 0
        candidates: list[Place] | list[Gate] = [
            gate
            for gate in plan.proxies
            if (gate.tier == tier_index or fault.names)
            and fault.zone in (None, gate.zone)
            and (not fault.names or gate.name in fault.names)
        ]
    elif fault.what in BACKEND_FAULTS:
        candidates = [
            place
            for place in plan.places
            if (fault.tier is None or place.tier == tiers.index(fault.tier))
            and fault.zone in (None, place.zone)
            and fault.kind in (None, place.kind.name)
            and (not fault.names or place.name in fault.names)
        ]
    else:
        return ()
    numbers = [candidate.number for candidate in candidates]
    count = fault.count
    if fault.part is not None:
        count = max(1, round(fault.part * len(numbers)))
    if count is not None and count < len(numbers):
        numbers = sorted(chance.sample(numbers, count))
    return tuple(numbers)


def _random_faults(chance: Chance, number: int, script: Script) -> Iterator[Fault]:
    """The random faults of one of the script's chances: a Poisson process with exponential durations."""
    draw = Random(f"{script.seed}:chance:{number}")
    at = 0.0
    while (at := at + draw.expovariate(1.0) * chance.every) < script.span:
        what = draw.choice(chance.of)
        span = Span(max(1, round(draw.expovariate(1.0) * chance.span)))
        by = None
        if what == "slow":
            by = 1.0 + draw.random() * 2 * max(0.0, chance.by - 1.0)
        elif what in ("errors", "reset", "garble", "lost", "half-answer"):
            by = 0.3 + 0.7 * draw.random()
        yield Fault(what=what, at=Span(round(at)), span=span, tier=chance.tier, part=chance.part, by=by)


def _occurrences(fault: Fault) -> Iterator[Fault]:
    """The single occurrences of a fault that repeats or flaps."""
    for repetition in range(fault.times):
        at = fault.at + repetition * fault.every
        if not fault.flap:
            yield Fault(**{**_fields(fault), "at": Span(at)})
            continue
        # A flapping fault is on and off for equal times, and starts on.
        for on_at in range(at, at + fault.span, 2 * fault.flap):
            yield Fault(
                **{
                    **_fields(fault),
                    "at": Span(on_at),
                    "span": Span(min(fault.flap, at + fault.span - on_at)),
                }
            )


def _fields(fault: Fault) -> dict[str, object]:
    return {name: getattr(fault, name) for name in fault.__struct_fields__}


def timeline(script: Script, plan: FleetPlan) -> FaultSchedule:
    """The schedule of a run: all faults in order of time, and the backend lifetimes that result from kills, restarts and
    new ids."""
    strikes: list[Strike] = []
    for number, fault in enumerate(script.faults):
        # The targets are drawn once for all repetitions, so that the same backend flaps each time.
        targets = _select_targets(script, plan, fault, Random(f"{script.seed}:fault:{number}"))
        if fault.what in LINK_FAULTS:
            targets = (number,)
        for occurrence in _occurrences(fault):
            strikes.extend(_strikes_of(occurrence, targets))
    for number, chance in enumerate(script.chances):
        for index, fault in enumerate(_random_faults(chance, number, script)):
            strikes.extend(
                _strikes_of(fault, _select_targets(script, plan, fault, Random(f"{script.seed}:whom:{number}:{index}")))
            )
    strikes.sort(key=lambda strike: (strike.at, strike.until, strike.what, strike.targets))
    strikes = [strike for strike in strikes if strike.at < script.span]
    return FaultSchedule(strikes, _lifetimes(strikes, plan))


def _strikes_of(fault: Fault, targets: tuple[int, ...]) -> Iterator[Strike]:
    """The strikes of one occurrence of a fault."""
    by = fault.by if fault.by is not None else DEFAULT_STRENGTH.get(fault.what, 1.0)
    if fault.what == "restart":
        # The targets restart one after another, as in a rolling update.
        for position, target in enumerate(targets):
            at = fault.at + position * fault.apart
            stops_at = at + (fault.span or DEFAULT_DRAIN_TIME)
            yield Strike(at, stops_at, "drain", (target,), 1.0, None)
            yield Strike(stops_at, stops_at + (fault.back or DEFAULT_RESTART_DELAY), "stop", (target,), by, None)
    elif fault.what in ("proxy-stop", "proxy-starve", "proxy-twin", "proxy-hand", "disk-full", "disk-gone"):
        # The targets are hit one after another, `apart` from each other.
        for position, target in enumerate(targets):
            at = fault.at + position * fault.apart
            yield Strike(at, at + fault.span, fault.what, (target,), by, None)
    elif fault.what == "disk-old":
        yield Strike(fault.at, fault.at, fault.what, targets, by, None)
    elif fault.what in ("kill", "proxy-kill", "proxy-term"):
        for position, target in enumerate(targets):
            at = fault.at + position * fault.apart
            yield Strike(at, at + fault.back if fault.back else -1, fault.what, (target,), by, None)
    elif fault.what == "drain":
        yield Strike(fault.at, fault.at + fault.span if fault.span else -1, "drain", targets, by, None)
    else:
        yield Strike(fault.at, fault.at + fault.span, fault.what, targets, by, fault.use_case)


def _lifetimes(strikes: list[Strike], plan: FleetPlan) -> list[Life]:
    """The lifetimes of the backends at each place. Faults at a place without a running backend have no effect."""
    lives: list[Life] = []
    for place in plan.places:
        generation, born, drains, again, absent_until = 0, -1, -1, -1, -1
        for strike in strikes:
            if place.number not in strike.targets or strike.what not in ("drain", "stop", "kill", "new-ids"):
                continue
            if absent_until != -1 and (absent_until == -2 or strike.at < absent_until):
                continue
            if strike.what == "drain":
                if drains < 0:
                    drains, again = strike.at, strike.until
                continue
            lives.append(
                Life(
                    place.number,
                    place.id_at(generation),
                    generation,
                    born,
                    drains,
                    again if again < strike.at else -1,
                    strike.at,
                    strike.what == "stop",
                )
            )
            generation, drains, again = generation + 1, -1, -1
            born = absent_until = strike.at if strike.what == "new-ids" else strike.until
            if strike.what != "new-ids" and strike.until < 0:
                absent_until = -2
        if absent_until != -2:
            lives.append(Life(place.number, place.id_at(generation), generation, born, drains, again, -1, False))
    return sorted(lives, key=lambda life: (life.born, life.place))


def digest(line: FaultSchedule) -> str:
    """The number of faults and a checksum of the schedule, to tell whether two runs had the same faults."""
    text = "\n".join(map(repr, [*line.strikes, *line.lives])).encode()
    return f"{len(line.strikes)}-{zlib.crc32(text):08x}"
