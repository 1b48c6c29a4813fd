"""Defines a measurement of a cost by its size, and its results. This module does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from statistics import median
from typing import NamedTuple

import msgspec

from pepperusher.capacity.fit import FitCheck, Fit, Point, best_fit, check_fit, fit_curve

# How a value was obtained. A count is the same on every machine; processor time depends on the machine; elapsed time
# also depends on the other load of the machine during the measurement.
COUNTED, TIMED, CLOCKED = "counted", "timed", "clocked"


class Measure(NamedTuple):
    """A cost that grows with a size. `measure(size, seed)` returns its value in `unit`, and `per` names what the size
    counts. `held_out` is a size that is measured only to check the fit. Each size is measured `repeats` times and the
    median counts. `curve` is the curve that follows from the code, if that is known.
    """

    name: str
    role: str
    what: str
    per: str
    unit: str
    worth: str
    sizes: tuple[int, ...]
    held_out: int
    measure: Callable[[int, int], float]
    repeats: int = 1
    curve: str = ""


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a `Measure`, as stored in a file."""

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
    load: float | None = None  # load average of the machine over the last minute, at the end of the measurement
    curve: str = ""  # the curve that follows from the code, if known
    reference: int | None = None  # median time of the reference loop between the sizes, in us
    commit: str = ""
    command: str = ""

    def fit(self) -> Fit:
        """Fits the points. Counts get the curve with the smallest residual if that is clearly smaller than the line's.
        Times get a line, since noise can look like a curve. A curve that follows from the code overrides both.
        """
        points = [Point(*point) for point in self.points]
        if self.curve:
            return fit_curve(points, self.curve)
        return best_fit(points) if self.worth == COUNTED else fit_curve(points)

    def unreliable(self, cores: int) -> bool:
        """Returns whether this is an elapsed time measured while the load exceeded the cores or was not recorded, so
        that it may depend on other processes.
        """
        return self.worth == CLOCKED and (self.load is None or self.load > cores)

    def check(self) -> FitCheck:
        """Compares the fit with the value at the held-out size."""
        return check_fit(self.fit(), Point(*self.held_out))

    def value(self, size: float) -> float:
        """Returns the predicted value at a size, at least 0."""
        return max(0.0, self.fit().at(size))


class Single(msgspec.Struct, frozen=True, kw_only=True):
    """A value that does not depend on a size, such as the attempts of a chain with failing levels."""

    name: str
    what: str
    unit: str
    worth: str
    seed: int
    value: float
    load: float | None = None
    commit: str = ""
    command: str = ""

    def unreliable(self, cores: int) -> bool:
        """Returns whether this is an elapsed time measured while the load exceeded the cores or was not recorded."""
        return self.worth == CLOCKED and (self.load is None or self.load > cores)


class Book(msgspec.Struct, kw_only=True):
    """The results of one run, and the machine that it ran on."""

    commit: str
    command: str
    machine: str
    cores: int = 1
    measured: list[Measured] = []
    singles: list[Single] = []

    def find_measured(self, name: str) -> Measured | None:
        """Returns the result with this name, or None."""
        return next((measured for measured in self.measured if measured.name == name), None)

    def single(self, name: str) -> Single | None:
        """Returns the single value with this name, or None."""
        return next((single for single in self.singles if single.name == name), None)


def take_measurement(
    measure: Measure,
    seed: int,
    load: Callable[[], float] | None = None,
    say: Callable[[str], None] = lambda _: None,
    commit: str = "",
    command: str = "",
    reference_speed: Callable[[], float] | None = None,
) -> Measured:
    """Measures each size `repeats` times, each time with the next seed, and takes the medians. Each repeat goes through
    all sizes: if the repeats of one size followed each other, a machine that is slower for some seconds would distort
    the curve.
    """
    values_by_size: dict[int, list[float]] = {size: [] for size in (*measure.sizes, measure.held_out)}
    reference_times: list[float] = []
    for repeat in range(measure.repeats):
        for size, values in values_by_size.items():
            if reference_speed is not None:
                reference_times.append(reference_speed())
            values.append(measure.measure(size, seed + repeat))
            say(f"{measure.name} at {size}: {values[-1]:.6g} {measure.unit}")
    medians = [(float(size), float(median(values))) for size, values in values_by_size.items()]
    *points, held_out = medians
    return Measured(
        name=measure.name,
        role=measure.role,
        what=measure.what,
        per=measure.per,
        unit=measure.unit,
        worth=measure.worth,
        seed=seed,
        repeats=measure.repeats,
        points=points,
        held_out=held_out,
        load=None if load is None else round(load(), 1),
        curve=measure.curve,
        reference=round(median(reference_times)) if reference_times else None,
        commit=commit,
        command=command,
    )


def merge_books(before: Book, now: Book) -> Book:
    """Adds the results of `now` to `before`; they replace results with the same name."""
    measured_names = {item.name for item in now.measured}
    single_names = {item.name for item in now.singles}
    return Book(
        commit=now.commit,
        command=now.command,
        machine=now.machine,
        cores=now.cores,
        measured=[*(item for item in before.measured if item.name not in measured_names), *now.measured],
        singles=[*(item for item in before.singles if item.name not in single_names), *now.singles],
    )


def select_measures(measures: Iterable[Measure], prefixes: Sequence[str]) -> list[Measure]:
    """Returns the measures whose name begins with one of `prefixes`, or all if there are no prefixes."""
    return [
        measure for measure in measures if not prefixes or any(measure.name.startswith(prefix) for prefix in prefixes)
    ]
