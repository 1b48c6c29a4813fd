"""Endpoint changes that a proxy is deemed to know, by the operators' requirements, even if discovery did not notify it.

A change counts as told RECONFIGURED_TERM_US after a SIGHUP, SILENT_TERM_US after the start of a silent watch that missed it,
and REACHABLE_TERM_US after discovery has the change and is reachable, whether or not a notification arrived. A proxy process
that was started within a term is not held to it. Times are in us. Does no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from pepperusher.rehearsal.fleet_plan import FleetPlan
from pepperusher.rehearsal.records import ProxyRun, Reconfiguration, StateNotification
from pepperusher.rehearsal.endpoint_history import READY, WATCHES_SILENT, Change, changes
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.fault_schedule import Strike, timeline

RECONFIGURED_TERM_US = 4_000_000
REACHABLE_TERM_US = 6_000_000
SILENT_TERM_US = 6_000_000
# A proxy notices that a watch is silent 2.5 s after its last message, which may have come up to 2 s before the watch fell
# silent. A silent watch is therefore not replaced within MISSED_WITHIN_US. If discovery was unreachable within
# OUTAGE_RECOVERY_US before, a proxy may not have had a watch at all.
MISSED_WITHIN_US = 500_000
OUTAGE_RECOVERY_US = 8_000_000
# The faults during which discovery does not notify any proxy of a change.
DISCOVERY_OUTAGES = ("discovery-down", "discovery-full", "discovery-silent", "discovery-late")


def effective_notifications(
    script: Script, reconfigurations: list[Reconfiguration], runs: list[ProxyRun]
) -> list[StateNotification]:
    """Returns the deemed notifications: one for each proxy, each change to a state other than ready, and each term that applies."""
    plan = FleetPlan(script, 0)
    schedule = timeline(script, plan)
    unready_changes = [
        change for change in changes(script, schedule) if change.notified_at >= 0 and change.state != READY
    ]
    outages = [strike for strike in schedule.strikes if strike.what in DISCOVERY_OUTAGES]
    silent_watches = [
        strike.at
        for strike in schedule.strikes
        if strike.what == WATCHES_SILENT and _all_proxies_watched(strike.at, outages)
    ]
    signals_by_proxy: dict[int, list[int]] = defaultdict(list)
    for reconfiguration in sorted(reconfigurations, key=lambda reconfiguration: reconfiguration.at):
        signals_by_proxy[reconfiguration.proxy].append(reconfiguration.at)
    notifications = []
    for proxy in plan.proxies:
        starts = [run.started for run in runs if run.proxy == proxy.number]
        for change in unready_changes:
            if plan.places[change.place].tier != proxy.tier:
                continue
            notifications += [
                StateNotification(proxy.number, change.id, change.state, due)
                for since, due in _notification_terms(change, signals_by_proxy[proxy.number], silent_watches, outages)
                if not any(since < started <= due for started in starts)
            ]
    return notifications


def _all_proxies_watched(at: int, outages: list[Strike]) -> bool:
    """Whether every proxy surely had a watch at `at`, since there was no recent outage of discovery."""
    return not any(strike.at <= at and strike.until > at - OUTAGE_RECOVERY_US for strike in outages)


def _notification_terms(
    change: Change, signals: list[int], silent_watches: list[int], outages: list[Strike]
) -> Iterator[tuple[int, int]]:
    """Yields the start and the end of each term after which the proxy is deemed to know the change."""
    for signal, following in zip(signals, [*signals[1:], None]):
        # Of several signals in a row, each within a term of the one before, only the last one counts.
        if change.notified_at <= signal and (following is None or following - signal >= RECONFIGURED_TERM_US):
            yield signal, signal + RECONFIGURED_TERM_US
    for silent_at in silent_watches:
        if silent_at <= change.notified_at < silent_at + MISSED_WITHIN_US:
            yield silent_at, silent_at + SILENT_TERM_US
    reachable_at = _reachable_from(change.notified_at, outages)
    yield reachable_at, reachable_at + REACHABLE_TERM_US


def _reachable_from(at: int, outages: list[Strike]) -> int:
    """Returns the earliest time from `at` on from which discovery is reachable for a whole term."""
    for strike in sorted(outages, key=lambda strike: strike.at):
        if strike.at < at + REACHABLE_TERM_US and strike.until > at:
            at = strike.until
    return at
