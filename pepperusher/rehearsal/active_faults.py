"""What the timeline's strikes make of one backend at one time, and of each answer; free of I/O."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from pepperusher.rehearsal.fault_schedule import Strike

GOOD, ERROR, RESET, GARBLE, LOST, HALF = "good", "error", "reset", "garble", "lost", "half-answer"
# Which of several at once an answer comes to, worst last.
SPOILS = ("errors", "lost", "half-answer", "garble", "reset")
FATES = {"errors": ERROR, "lost": LOST, "half-answer": HALF, "garble": GARBLE, "reset": RESET}


class ActiveFaults(NamedTuple):
    """`idle_most` is for how long a kept connection lives (us, 0 for ever); `spoils` are (what, share, use
    case)."""

    frozen: bool = False
    silent: bool = False
    refuses: bool = False
    slower: float = 1.0
    idle_most: int = 0
    spoils: tuple[tuple[str, float, str | None], ...] = ()


def faults_at(strikes: list[Strike], place: int, now: int) -> ActiveFaults:
    """All that acts at a place at `now` (us after the start), together."""
    frozen = silent = refuses = False
    slower, idle_most = 1.0, 0
    spoils = []
    for one in strikes:
        if not one.at <= now < one.until or place not in one.targets:
            continue
        if one.what == "freeze":
            frozen = True
        elif one.what == "silent":
            silent = True
        elif one.what == "refuse":
            refuses = True
        elif one.what == "slow":
            slower *= one.by
        elif one.what == "idle-drop":
            most = round(one.by * 1e6)
            idle_most = min(idle_most, most) if idle_most else most
        elif one.what in FATES:
            spoils.append((one.what, one.by, one.use_case))
    spoils.sort(key=lambda spoil: SPOILS.index(spoil[0]))
    return ActiveFaults(frozen, silent, refuses, slower, idle_most, tuple(spoils))


def transition_times(strikes: list[Strike], place: int) -> list[int]:
    """When its weather changes."""
    return sorted({edge for one in strikes if place in one.targets for edge in (one.at, one.until) if edge >= 0})


def response_outcome(weather: ActiveFaults, use_case: str, chance: Random) -> str:
    """What becomes of one answer. One number is drawn for each trouble, so that others do not move."""
    made = GOOD
    for what, share, only in weather.spoils:
        struck = chance.random() < share
        if struck and only in (None, use_case):
            made = FATES[what]
    return made
