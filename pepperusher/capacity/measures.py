"""What a measurement of growth is, and what it gave; free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from statistics import median
from typing import NamedTuple

import msgspec

from pepperusher.capacity.fit import Checked, Fit, Point, best, checked, fitted

# What a figure is worth: a count is the same on every machine; processor time is of this one; what was read
# off a clock is of this one and of all that others did on it meanwhile.
COUNTED, TIMED, CLOCKED = "counted", "timed", "clocked"


class Measure(NamedTuple):
    """One thing that grows: `at(size, seed)` gives its value in `unit`. `held_out` is a size for the check
    alone. `repeats` are taken at each size and their median counts. `curve` is the one that the code gives,
    where it gives one.
    """

    name: str
    role: str
    what: str
    per: str
    unit: str
    worth: str
    sizes: tuple[int, ...]
    held_out: int
    at: Callable[[int, int], float]
    repeats: int = 1
    curve: str = ""


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """As it is kept in a file."""

    name: str
    role: str
    what: str
    per: str
    unit: str
    worth: str
    seed: int
    repeats: int
    points: list[tuple[float, float]]
    held_out: tuple[float, float]
    load: float | None = None  # of the machine over a minute, as the measurement ended
    curve: str = ""  # as the code gives it
    reference: int | None = None  # the middle of what the reference loop took between the sizes, in us
    commit: str = ""
    command: str = ""

    def fit(self) -> Fit:
        """What is counted is fitted by the curve that leaves least, if that is clearly less than a line;
        what is timed by a line, since noise bends too, or by the curve that the code gives.
        """
        points = [Point(*one) for one in self.points]
        if self.curve:
            return fitted(points, self.curve)
        return best(points) if self.worth == COUNTED else fitted(points)

    def spoilt(self, cores: int) -> bool:
        """Read off a clock while more wanted to run than there are cores: it tells of those."""
        return self.worth == CLOCKED and (self.load is None or self.load > cores)

    def check(self) -> Checked:
        return checked(self.fit(), Point(*self.held_out))

    def value(self, size: float) -> float:
        """What it comes to at a size; never under nothing."""
        return max(0.0, self.fit().at(size))


class Single(msgspec.Struct, frozen=True, kw_only=True):
    """A figure at given settings that is no slope, such as attempts by levels that fail."""

    name: str
    what: str
    unit: str
    worth: str
    seed: int
    value: float
    load: float | None = None
    commit: str = ""
    command: str = ""

    def spoilt(self, cores: int) -> bool:
        return self.worth == CLOCKED and (self.load is None or self.load > cores)


class Book(msgspec.Struct, kw_only=True):
    """All that one run measured, and where."""

    commit: str
    command: str
    machine: str
    cores: int = 1
    measured: list[Measured] = []
    singles: list[Single] = []

    def of(self, name: str) -> Measured | None:
        return next((one for one in self.measured if one.name == name), None)

    def single(self, name: str) -> Single | None:
        return next((one for one in self.singles if one.name == name), None)


def taken(
    one: Measure,
    seed: int,
    load: Callable[[], float] | None = None,
    say: Callable[[str], None] = lambda _: None,
    commit: str = "",
    command: str = "",
    pace: Callable[[], float] | None = None,
) -> Measured:
    """Measures each size `repeats` times, each with the next seed; the median of them counts. All sizes in
    turn and then again: a machine that is slower for some seconds would else bend the curve.
    """
    made: dict[int, list[float]] = {size: [] for size in (*one.sizes, one.held_out)}
    paces: list[float] = []
    for place in range(one.repeats):
        for size, values in made.items():
            if pace is not None:
                paces.append(pace())
            values.append(one.at(size, seed + place))
            say(f"{one.name} at {size}: {values[-1]:.6g} {one.unit}")
    middles = [(float(size), float(median(values))) for size, values in made.items()]
    *points, held_out = middles
    return Measured(
        name=one.name,
        role=one.role,
        what=one.what,
        per=one.per,
        unit=one.unit,
        worth=one.worth,
        seed=seed,
        repeats=one.repeats,
        points=points,
        held_out=held_out,
        load=None if load is None else round(load(), 1),
        curve=one.curve,
        reference=round(median(paces)) if paces else None,
        commit=commit,
        command=command,
    )


def merged(before: Book, now: Book) -> Book:
    """What was measured again takes the place of what it was."""
    names = {one.name for one in now.measured}
    singles = {one.name for one in now.singles}
    return Book(
        commit=now.commit,
        command=now.command,
        machine=now.machine,
        cores=now.cores,
        measured=[*(one for one in before.measured if one.name not in names), *now.measured],
        singles=[*(one for one in before.singles if one.name not in singles), *now.singles],
    )


def only(measures: Iterable[Measure], names: Sequence[str]) -> list[Measure]:
    """Those whose name begins with one of `names`; all where there is none."""
    return [one for one in measures if not names or any(one.name.startswith(name) for name in names)]
