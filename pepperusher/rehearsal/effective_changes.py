"""Changes that count as told although discovery did not write them, by the operators' terms; free of I/O.

What discovery has counts as told RECONFIGURED_TERM after a SIGHUP, SILENT_TERM after a watch fell silent that missed it, and
REACHED_TERM after discovery had it and could be reached, whether or not it came. A process that was started within a term is not held to it. Times are us.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from pepperusher.rehearsal.fleet_plan import FleetPlan
from pepperusher.rehearsal.records import ProxyRun, Reconfiguration, StateNotification
from pepperusher.rehearsal.endpoint_history import READY, WATCHES_SILENT, Change, changes
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.fault_schedule import Strike, timeline

RECONFIGURED_TERM = 4_000_000
REACHED_TERM = 6_000_000
SILENT_TERM = 6_000_000
# No watch that fell silent is replaced within the first figure: its last word may have come 2 s before, and silence is noticed
# 2.5 s after that. Had discovery been out of reach within the second before, a proxy may have had no watch.
MISSED_WITHIN = 500_000
WATCHED_AFTER = 8_000_000
# While one of these lasts discovery tells nobody of a change.
UNREACHED = ("discovery-down", "discovery-full", "discovery-silent", "discovery-late")


def effective_notifications(
    script: Script, reconfigured: list[Reconfiguration], ran: list[ProxyRun]
) -> list[StateNotification]:
    """One record for each proxy and change to another state than ready."""
    plan = FleetPlan(script, 0)
    line = timeline(script, plan)
    stops = [one for one in changes(script, line) if one.notified_at >= 0 and one.state != READY]
    unreached = [one for one in line.strikes if one.what in UNREACHED]
    silences = [one.at for one in line.strikes if one.what == WATCHES_SILENT and _all_watched(one.at, unreached)]
    signals: dict[int, list[int]] = defaultdict(list)
    for one in sorted(reconfigured, key=lambda one: one.at):
        signals[one.proxy].append(one.at)
    made = []
    for gate in plan.gates:
        starts = [one.started for one in ran if one.proxy == gate.number]
        for change in stops:
            if plan.places[change.place].tier != gate.tier:
                continue
            made += [
                StateNotification(gate.number, change.id, change.state, due)
                for since, due in _terms(change, signals[gate.number], silences, unreached)
                if not any(since < started <= due for started in starts)
            ]
    return made


def _all_watched(at: int, unreached: list[Strike]) -> bool:
    return not any(strike.at <= at and strike.until > at - WATCHED_AFTER for strike in unreached)


def _terms(
    change: Change, signals: list[int], silences: list[int], unreached: list[Strike]
) -> Iterator[tuple[int, int]]:
    """When each term that ends with this change began, and its end."""
    for signal, following in zip(signals, [*signals[1:], None]):
        # Of a row the last counts.
        if change.notified_at <= signal and (following is None or following - signal >= RECONFIGURED_TERM):
            yield signal, signal + RECONFIGURED_TERM
    for silence in silences:
        if silence <= change.notified_at < silence + MISSED_WITHIN:
            yield silence, silence + SILENT_TERM
    reached = _reached_from(change.notified_at, unreached)
    yield reached, reached + REACHED_TERM


def _reached_from(at: int, unreached: list[Strike]) -> int:
    """The first moment from which discovery could be reached for a whole term."""
    for strike in sorted(unreached, key=lambda one: one.at):
        if strike.at < at + REACHED_TERM and strike.until > at:
            at = strike.until
    return at
