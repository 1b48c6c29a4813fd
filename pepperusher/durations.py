"""Spans of time as people write them in a file; inside all are whole microseconds."""

from __future__ import annotations

import re
from typing import Any

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
FORM = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(us|ms|s|m|h)")
LONGEST = 24 * UNITS["h"]


class Span(int):
    """A span of time in whole microseconds, written as a number and a unit: "250ms", "1.5s", "2m"."""


def span(text: Any) -> Span:
    """Raises ValueError with one line that says what is wrong."""
    if isinstance(text, int) and text == 0 and not isinstance(text, bool):
        return Span(0)
    read = FORM.fullmatch(text) if isinstance(text, str) else None
    if read is None:
        raise ValueError(f'{text!r} is no span of time such as "250ms", "1.5s" or "2m"')
    made = round(float(read[1]) * UNITS[read[2]])
    if made > LONGEST:
        raise ValueError(f"{text!r} is longer than a day")
    return Span(made)


def written(us: int) -> str:
    """A span as `span` reads it, in the largest unit that holds it whole."""
    unit = next(unit for unit in ("h", "m", "s", "ms", "us") if us % UNITS[unit] == 0 and (us or unit == "s"))
    return f"{us // UNITS[unit]}{unit}"


def format_duration(us: float) -> str:
    """A span as people read it, three figures."""
    for unit, size in (("us", 1), ("ms", 1_000), ("s", 1_000_000)):
        if abs(us) < 1000 * size or unit == "s":
            return f"{us / size:.3g} {unit}"
    raise AssertionError("unreachable")
