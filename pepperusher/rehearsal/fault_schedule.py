"""What goes wrong when: the script's faults and those left to chance, as one line of time, free of I/O.

Worked out ahead from the script and its seed alone, so that every process of a rehearsal knows it, and the
same seed strikes the same backends at the same instants.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from pepperusher.rehearsal.fleet_plan import FleetPlan, Gate, Place
from pepperusher.rehearsal.script import BACKEND_FAULTS, LINK_FAULTS, PROXY_FAULTS, Chance, Fault, Script
from pepperusher.durations import Span

# A restart: so long after the drain the process goes, and so long after that the next one is up, unless the
# script says so itself.
DRAINED_FOR = 2_000_000
AWAY_FOR = 1_500_000
BY = {"slow": 3.0}


# `digest` hashes the reprs of Strike and Life, so the names of both classes and of their fields are part of stored digests.
class Strike(NamedTuple):
    """One trouble at one time: `at` until `until` (us after the start; the same where it is an instant).

    `targets` are numbers of places or of gates, as `what` has it, for a link the number of the fault in the script; `by` its
    strength, `use_case` the one it is held to.
    """

    at: int
    until: int
    what: str
    targets: tuple[int, ...]
    by: float
    use_case: str | None


class Life(NamedTuple):
    """One stay of a backend at a place: from `born` (-1: since long before the start) until `ends` (-1: to
    the end), under `id`. `drains` is when it began to drain and `again` when it was ready again, -1 for
    never; `planned` where its end was."""

    place: int
    id: str
    generation: int
    born: int
    drains: int
    again: int
    ends: int
    planned: bool


class FaultSchedule(NamedTuple):
    strikes: list[Strike]
    lives: list[Life]


def _of(script: Script, plan: FleetPlan, fault: Fault, chance: Random) -> tuple[int, ...]:
    """Whom it strikes, in the order of the script."""
    tiers = [tier.name for tier in script.tiers]
    if fault.what in PROXY_FAULTS:
        level = tiers.index(fault.tier) if fault.tier else 0
        left: list[Place] | list[Gate] = [
            gate
            for gate in plan.proxies
            if (gate.tier == level or fault.names)
            and fault.zone in (None, gate.zone)
            and (not fault.names or gate.name in fault.names)
        ]
    elif fault.what in BACKEND_FAULTS:
        left = [
            place
            for place in plan.places
            if (fault.tier is None or place.tier == tiers.index(fault.tier))
            and fault.zone in (None, place.zone)
            and fault.kind in (None, place.kind.name)
            and (not fault.names or place.name in fault.names)
        ]
    else:
        return ()
    numbers = [one.number for one in left]
    count = fault.count
    if fault.part is not None:
        count = max(1, round(fault.part * len(numbers)))
    if count is not None and count < len(numbers):
        numbers = sorted(chance.sample(numbers, count))
    return tuple(numbers)


def _drawn(chance: Chance, number: int, script: Script) -> Iterator[Fault]:
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


def _repeated(fault: Fault) -> Iterator[Fault]:
    for turn in range(fault.times):
        at = fault.at + turn * fault.every
        if not fault.flap:
            yield Fault(**{**_fields(fault), "at": Span(at)})
            continue
        # On for as long as off, from on.
        for begins in range(at, at + fault.span, 2 * fault.flap):
            yield Fault(
                **{
                    **_fields(fault),
                    "at": Span(begins),
                    "span": Span(min(fault.flap, at + fault.span - begins)),
                }
            )


def _fields(fault: Fault) -> dict[str, object]:
    return {name: getattr(fault, name) for name in fault.__struct_fields__}


def timeline(script: Script, plan: FleetPlan) -> FaultSchedule:
    """All strikes by time, and the lives that kills, restarts and new ids leave."""
    strikes: list[Strike] = []
    for number, fault in enumerate(script.faults):
        # Drawn once for all turns of a flap or repeat: a server that flaps is one server.
        targets = _of(script, plan, fault, Random(f"{script.seed}:fault:{number}"))
        if fault.what in LINK_FAULTS:
            targets = (number,)
        for one in _repeated(fault):
            strikes.extend(_struck(one, targets))
    for number, chance in enumerate(script.chances):
        for place, fault in enumerate(_drawn(chance, number, script)):
            strikes.extend(_struck(fault, _of(script, plan, fault, Random(f"{script.seed}:whom:{number}:{place}"))))
    strikes.sort(key=lambda one: (one.at, one.until, one.what, one.targets))
    strikes = [one for one in strikes if one.at < script.span]
    return FaultSchedule(strikes, _lives(strikes, plan))


def _struck(fault: Fault, targets: tuple[int, ...]) -> Iterator[Strike]:
    by = fault.by if fault.by is not None else BY.get(fault.what, 1.0)
    if fault.what == "restart":
        # One after another, as a release goes through a fleet.
        for turn, target in enumerate(targets):
            at = fault.at + turn * fault.apart
            goes = at + (fault.span or DRAINED_FOR)
            yield Strike(at, goes, "drain", (target,), 1.0, None)
            yield Strike(goes, goes + (fault.back or AWAY_FOR), "stop", (target,), by, None)
    elif fault.what in ("proxy-stop", "proxy-starve", "proxy-twin", "proxy-hand", "disk-full", "disk-gone"):
        # One after another where the script has them apart.
        for turn, target in enumerate(targets):
            at = fault.at + turn * fault.apart
            yield Strike(at, at + fault.span, fault.what, (target,), by, None)
    elif fault.what == "disk-old":
        yield Strike(fault.at, fault.at, fault.what, targets, by, None)
    elif fault.what in ("kill", "proxy-kill", "proxy-term"):
        for turn, target in enumerate(targets):
            at = fault.at + turn * fault.apart
            yield Strike(at, at + fault.back if fault.back else -1, fault.what, (target,), by, None)
    elif fault.what == "drain":
        yield Strike(fault.at, fault.at + fault.span if fault.span else -1, "drain", targets, by, None)
    else:
        yield Strike(fault.at, fault.at + fault.span, fault.what, targets, by, fault.use_case)


def _lives(strikes: list[Strike], plan: FleetPlan) -> list[Life]:
    """Who stands at each place from when to when. What strikes a place where nobody stands changes
    nothing."""
    lives: list[Life] = []
    for place in plan.places:
        generation, born, drains, again, away = 0, -1, -1, -1, -1
        for strike in strikes:
            if place.number not in strike.targets or strike.what not in ("drain", "stop", "kill", "new-ids"):
                continue
            if away != -1 and (away == -2 or strike.at < away):
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
            born = away = strike.at if strike.what == "new-ids" else strike.until
            if strike.what != "new-ids" and strike.until < 0:
                away = -2
        if away != -2:
            lives.append(Life(place.number, place.id_at(generation), generation, born, drains, again, -1, False))
    return sorted(lives, key=lambda one: (one.born, one.place))


def digest(line: FaultSchedule) -> str:
    """The same for the same troubles alone."""
    text = "\n".join(map(repr, [*line.strikes, *line.lives])).encode()
    return f"{len(line.strikes)}-{zlib.crc32(text):08x}"
