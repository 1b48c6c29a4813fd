"""The endpoint list that discovery publishes over the course of a run: versions, delays, outages, and a list that
reverts to an older version; free of I/O.

Each change is published some time after it happens. A watch gets the changes after the version that it names; if that
version is newer than the current one, it gets the whole list.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from pepperusher.rehearsal.fleet_plan import FleetPlan
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.fault_schedule import Strike, FaultSchedule

READY, DRAINING, GONE = "ready", "draining", "gone"
# Number of changes that a "discovery-back" fault takes back.
REVERTED_CHANGES = 3


WATCHES_SILENT = "watches-silent"


class Change(NamedTuple):
    """One change of the list: from `notified_at` on (us after the start, negative before it) the list has the backend
    `id` at `place` in `state`. `born` is as in Life."""

    notified_at: int
    place: int
    id: str
    state: str
    born: int


def _publication_time(at: int, strikes: list[Strike], notice: int) -> int:
    """When discovery publishes a change that happens at `at`, after its delay `notice` and any "discovery-late" fault."""
    published_at = at + notice
    for strike in strikes:
        if strike.what == "discovery-late" and strike.at <= published_at < strike.until:
            published_at = strike.until
    return published_at


def changes(script: Script, line: FaultSchedule) -> list[Change]:
    """All changes of the list in the order in which they are published. Changes of one backend stay in the order in
    which they happen."""
    notice = script.discovery.notice
    crash_notice = script.discovery.silent or notice
    all_changes: list[Change] = []
    for life in line.lives:
        first_published = -1 if life.born < 0 else _publication_time(life.born, line.strikes, notice)
        published_at = first_published
        all_changes.append(Change(first_published, life.place, life.id, READY, life.born))
        for at, state in ((life.drains, DRAINING), (life.again, READY)):
            if at >= 0:
                published_at = max(published_at, _publication_time(at, line.strikes, notice))
                all_changes.append(Change(published_at, life.place, life.id, state, life.born))
        if life.ends >= 0:
            published_at = max(
                published_at, _publication_time(life.ends, line.strikes, notice if life.planned else crash_notice)
            )
            all_changes.append(Change(published_at, life.place, life.id, GONE, life.born))
    # The stable sort by time alone keeps simultaneous changes in the order of the lifetimes.
    return sorted(all_changes, key=lambda change: change.notified_at)


class EndpointHistory:
    """The list at any time. `version` is the number of changes published so far; a "discovery-back" fault reduces it."""

    def __init__(self, script: Script, plan: FleetPlan, line: FaultSchedule) -> None:
        self._changes = changes(script, line)
        self._places = plan.places
        self._tiers = [place.tier for place in plan.places]
        self._strikes = [
            strike for strike in line.strikes if strike.what.startswith("discovery") or strike.what == WATCHES_SILENT
        ]

    def version(self, now: int) -> int:
        """The version of the list at `now`. Each backend listed at the start counts as one change."""
        published = sum(1 for change in self._changes if change.notified_at <= now)
        for strike in self._strikes:
            if strike.what == "discovery-back" and strike.at <= now < strike.until:
                published = max(
                    1, sum(1 for change in self._changes if change.notified_at <= strike.at) - REVERTED_CHANGES
                )
        return published

    def _is_active(self, what: str, now: int) -> bool:
        return any(strike.what == what and strike.at <= now < strike.until for strike in self._strikes)

    def down(self, now: int) -> bool:
        """Whether discovery is down."""
        return self._is_active("discovery-down", now)

    def full(self, now: int) -> bool:
        """Whether discovery's request queue is full, so that requests wait and are then refused."""
        return self._is_active("discovery-full", now)

    def silent(self, now: int) -> bool:
        """Whether open watches receive nothing."""
        return self._is_active("discovery-silent", now)

    def fell_silent(self, opened: int, now: int) -> bool:
        """Whether a watch that was opened at `opened` has gone silent for good."""
        return any(strike.what == WATCHES_SILENT and opened < strike.at <= now for strike in self._strikes)

    def next_change(self, now: int) -> int | None:
        """When the list or the availability of discovery changes next; None if never."""
        times = [change.notified_at for change in self._changes if change.notified_at > now]
        times += [time for strike in self._strikes for time in (strike.at, strike.until) if time > now]
        return min(times, default=None)

    def entries(self, tier: int, version: int, after: int | None) -> tuple[bool, list[Change]]:
        """The update for a watcher of a tier that has the version `after` (None: no list yet): whether it is the whole
        list, and its entries.

        The whole list leaves out removed backends; an incremental update has the latest change of each backend.
        """
        whole = after is None or after <= 0 or after > version
        latest: dict[str, Change] = {}
        for change in self._changes[:version] if whole else self._changes[after:version]:
            if self._tiers[change.place] == tier:
                latest[change.id] = change
        if whole:
            return True, [change for change in latest.values() if change.state != GONE]
        return False, list(latest.values())

    def line(self, tier: int, version: int, after: int | None, began_ms: float) -> dict[str, Any]:
        """One message of discovery, in the form that is encoded as JSON. `began_ms` is the start of the run in Unix
        milliseconds."""
        whole, entries = self.entries(tier, version, after)
        servers = []
        for entry in entries:
            place = self._places[entry.place]
            servers.append(
                {
                    "id": entry.id,
                    "addr": f"{place.address[0]}:{place.address[1]}",
                    "zone": place.zone,
                    "kind": place.kind.name,
                    "cell": place.cell,
                    "state": entry.state,
                    "weight": 1.0,
                    "started_ms": round(began_ms + entry.born / 1000) if entry.born >= 0 else 0,
                }
            )
        return {"version": version, "full": whole, "servers": servers}
