"""Parses and formats durations; the program holds all durations in whole microseconds."""

from __future__ import annotations

import re
from typing import Any

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?(us|ms|s|m|h)")
MAX_DURATION_US = 24 * UNITS["h"]


class Span(int):
    """A duration in whole microseconds, written as a number and a unit: "250ms", "1.5s", "2m"."""


def span(text: Any) -> Span:
    """Parses a duration. Raises ValueError with a text of one line."""
    if isinstance(text, int) and text == 0 and not isinstance(text, bool):
        return Span(0)
    match = PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f'{text!r} is not a duration such as "250ms", "1.5s" or "2m"')
    microseconds = round(float(match[1]) * UNITS[match[2]])
    if microseconds > MAX_DURATION_US:
        raise ValueError(f"{text!r} is longer than a day")
    return Span(microseconds)


def written(us: int) -> str:
    """Formats a duration as `span` parses it, in the largest unit in which it is a whole number."""
    unit = next(unit for unit in ("h", "m", "s", "ms", "us") if us % UNITS[unit] == 0 and (us or unit == "s"))
    return f"{us // UNITS[unit]}{unit}"


def format_duration(us: float) -> str:
    """Formats a duration for display, with three significant digits."""
    for unit, size in (("us", 1), ("ms", 1_000), ("s", 1_000_000)):
        if abs(us) < 1000 * size or unit == "s":
            return f"{us / size:.3g} {unit}"
    raise AssertionError("unreachable")
