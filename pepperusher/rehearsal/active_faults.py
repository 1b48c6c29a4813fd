"""The faults that are active on one backend at one time, and their effect on each response; free of I/O."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from pepperusher.rehearsal.fault_schedule import Strike

GOOD, ERROR, RESET, GARBLE, LOST, HALF = "good", "error", "reset", "garble", "lost", "half-answer"
# Faults of responses, most severe last: of several active ones, the most severe that is drawn wins.
RESPONSE_FAULTS_BY_SEVERITY = ("errors", "lost", "half-answer", "garble", "reset")
OUTCOME_OF_FAULT = {"errors": ERROR, "lost": LOST, "half-answer": HALF, "garble": GARBLE, "reset": RESET}


class ActiveFaults(NamedTuple):
    """The combined faults of one backend.

    `slower` divides its speed. `idle_most` is the idle time (us) after which it resets a reused connection, 0 for no
    limit. `spoils` are the faults of responses, each with the share of responses that it hits and the use case that it
    is restricted to.
    """

    frozen: bool = False
    silent: bool = False
    refuses: bool = False
    slower: float = 1.0
    idle_most: int = 0
    spoils: tuple[tuple[str, float, str | None], ...] = ()


def faults_at(strikes: list[Strike], place: int, now: int) -> ActiveFaults:
    """Combines all faults that are active at a place at `now` (us after the start)."""
    frozen = silent = refuses = False
    slower, idle_most = 1.0, 0
    spoils = []
    for strike in strikes:
        if not strike.at <= now < strike.until or place not in strike.targets:
            continue
        if strike.what == "freeze":
            frozen = True
        elif strike.what == "silent":
            silent = True
        elif strike.what == "refuse":
            refuses = True
        elif strike.what == "slow":
            slower *= strike.by
        elif strike.what == "idle-drop":
            idle_timeout = round(strike.by * 1e6)
            idle_most = min(idle_most, idle_timeout) if idle_most else idle_timeout
        elif strike.what in OUTCOME_OF_FAULT:
            spoils.append((strike.what, strike.by, strike.use_case))
    spoils.sort(key=lambda spoil: RESPONSE_FAULTS_BY_SEVERITY.index(spoil[0]))
    return ActiveFaults(frozen, silent, refuses, slower, idle_most, tuple(spoils))


def transition_times(strikes: list[Strike], place: int) -> list[int]:
    """The times (us after the start) at which the active faults of a place change."""
    return sorted(
        {time for strike in strikes if place in strike.targets for time in (strike.at, strike.until) if time >= 0}
    )


def response_outcome(faults: ActiveFaults, use_case: str, chance: Random) -> str:
    """Draws the outcome of one response. Each active fault draws one random number, whether it applies to the use case
    or not, so that a fault restricted to one use case does not change the draws of the others."""
    outcome = GOOD
    for what, share, only_use_case in faults.spoils:
        drawn = chance.random() < share
        if drawn and only_use_case in (None, use_case):
            outcome = OUTCOME_OF_FAULT[what]
    return outcome
