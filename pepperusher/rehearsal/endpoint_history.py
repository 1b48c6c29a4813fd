"""The list of backends as discovery tells it: versions, lateness, outages, and a list that goes back; free of
I/O.

Each change is told some time after it is true. Whoever watches is told of changes after the version it names;
one that names a version from a later time than the list is at gets the whole list.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from pepperusher.rehearsal.fleet_plan import FleetPlan
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.fault_schedule import Strike, FaultSchedule

READY, DRAINING, GONE = "ready", "draining", "gone"
# How far a list goes back in version where it is made to, in changes.
BACK_BY = 3


WATCHES_SILENT = "watches-silent"


class Change(NamedTuple):
    """From `notified_at` on (us after the start, under 0 before it) the list has `id` at `place` in `state`; `born`
    as in Life."""

    notified_at: int
    place: int
    id: str
    state: str
    born: int


def _late(at: int, strikes: list[Strike], notice: int) -> int:
    told = at + notice
    for strike in strikes:
        if strike.what == "discovery-late" and strike.at <= told < strike.until:
            told = strike.until
    return told


def changes(script: Script, line: FaultSchedule) -> list[Change]:
    """All changes of the list in the order in which they are told; a backend's own stay in their order."""
    notice = script.discovery.notice
    silent = script.discovery.silent or notice
    made: list[Change] = []
    for life in line.lives:
        told = -1 if life.born < 0 else _late(life.born, line.strikes, notice)
        last = told
        made.append(Change(told, life.place, life.id, READY, life.born))
        for at, state in ((life.drains, DRAINING), (life.again, READY)):
            if at >= 0:
                last = max(last, _late(at, line.strikes, notice))
                made.append(Change(last, life.place, life.id, state, life.born))
        if life.ends >= 0:
            last = max(last, _late(life.ends, line.strikes, notice if life.planned else silent))
            made.append(Change(last, life.place, life.id, GONE, life.born))
    # By time alone, and stable: what is told at one instant stays in the order of lives.
    return sorted(made, key=lambda one: one.notified_at)


class EndpointHistory:
    """The list at any time. `version` counts changes told so far, and goes back where a strike makes it."""

    def __init__(self, script: Script, plan: FleetPlan, line: FaultSchedule) -> None:
        self._changes = changes(script, line)
        self._places = plan.places
        self._tiers = [place.tier for place in plan.places]
        self._strikes = [one for one in line.strikes if one.what.startswith("discovery") or one.what == WATCHES_SILENT]

    def version(self, now: int) -> int:
        """Version 1 is the list at the start."""
        told = sum(1 for one in self._changes if one.notified_at <= now)
        for strike in self._strikes:
            if strike.what == "discovery-back" and strike.at <= now < strike.until:
                told = max(1, sum(1 for one in self._changes if one.notified_at <= strike.at) - BACK_BY)
        return told

    def _struck(self, what: str, now: int) -> bool:
        return any(one.what == what and one.at <= now < one.until for one in self._strikes)

    def down(self, now: int) -> bool:
        return self._struck("discovery-down", now)

    def full(self, now: int) -> bool:
        """Whether the queue of calls is longer than one may wait in it."""
        return self._struck("discovery-full", now)

    def silent(self, now: int) -> bool:
        """Whether open watches say nothing."""
        return self._struck("discovery-silent", now)

    def fell_silent(self, opened: int, now: int) -> bool:
        """Whether a watch that was opened then says nothing more, for good."""
        return any(one.what == WATCHES_SILENT and opened < one.at <= now for one in self._strikes)

    def next_change(self, now: int) -> int | None:
        """When the list, or whether it can be had, next changes; None if never."""
        edges = [one.notified_at for one in self._changes if one.notified_at > now]
        edges += [edge for one in self._strikes for edge in (one.at, one.until) if edge > now]
        return min(edges, default=None)

    def entries(self, tier: int, version: int, after: int | None) -> tuple[bool, list[Change]]:
        """What to tell one that has `after` (None: nothing) of a tier: whether it is the whole list, and its
        lines.

        The whole list leaves out what is gone; changes bring the last word of each.
        """
        whole = after is None or after <= 0 or after > version
        last: dict[str, Change] = {}
        for one in self._changes[:version] if whole else self._changes[after:version]:
            if self._tiers[one.place] == tier:
                last[one.id] = one
        if whole:
            return True, [one for one in last.values() if one.state != GONE]
        return False, list(last.values())

    def line(self, tier: int, version: int, after: int | None, began_ms: float) -> dict[str, Any]:
        """One message of discovery's, ready to be put as JSON; `began_ms` is the start in Unix
        milliseconds."""
        whole, lines = self.entries(tier, version, after)
        servers = []
        for one in lines:
            place = self._places[one.place]
            servers.append(
                {
                    "id": one.id,
                    "addr": f"{place.address[0]}:{place.address[1]}",
                    "zone": place.zone,
                    "kind": place.kind.name,
                    "cell": place.cell,
                    "state": one.state,
                    "weight": 1.0,
                    "started_ms": round(began_ms + one.born / 1000) if one.born >= 0 else 0,
                }
            )
        return {"version": version, "full": whole, "servers": servers}
