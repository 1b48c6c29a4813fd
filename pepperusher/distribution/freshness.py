"""How fresh each fact is: the owner's last confirmation as control machines pass it on; free of I/O.

A fact that does not change and a fact whose owner is cut off have the same version for a long time. So the owner sends
reports that its source confirmed this version at a given time of its own clock, and how long ago that was. Each machine
that passes a report on adds the time for which it held it, so that no clocks are compared.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from pepperusher.distribution.messages import MAX_RESOURCES, Version, FreshnessReport

# A record without a newer confirmation is of no use after this time and is removed.
RETENTION_US = 60_000_000


class FreshnessRecord(NamedTuple):
    """The newest confirmation of a fact. `stamp` is its time by the owner's clock, which orders confirmations;
    `confirmed_at` is the same moment by the local clock.
    """

    version: Version
    stamp: int
    confirmed_at: int
    received_at: int


class Freshness:
    """The newest confirmation of each fact."""

    def __init__(self) -> None:
        # By the name of the fact. MAX_RESOURCES at most, removed RETENTION_US after the report was received.
        self._records: dict[str, FreshnessRecord] = {}

    def record(self, report: FreshnessReport, now: int) -> bool:
        """Records a report and returns whether it is newer than the recorded one. Of one confirmation only the first
        report counts: a report that circulates among machines would otherwise seem younger each time, by its transit
        time.
        """
        version = Version(report.epoch, report.number)
        last = self._records.get(report.name)
        if last is not None and (version, report.stamp) <= (last.version, last.stamp):
            return False
        if last is None and len(self._records) >= MAX_RESOURCES:
            return False
        self._records[report.name] = FreshnessRecord(version, report.stamp, now - report.age_us, now)
        return True

    def record_own(self, name: str, version: Version, confirmed_at: int, now: int) -> None:
        """Records a confirmation by the owner itself. Its stamp is later than all earlier ones, even if the owner's
        clock was set back.
        """
        last = self._records.get(name)
        if last is not None and version < last.version:
            return
        stamp = max(confirmed_at, last.stamp + 1 if last is not None else 0)
        self._records[name] = FreshnessRecord(version, stamp, confirmed_at, now)

    def reports_for(self, names: Iterable[str], now: int) -> list[FreshnessReport]:
        """The reports to be passed on."""
        return [
            FreshnessReport(name, *record.version, record.stamp, max(0, now - record.confirmed_at))
            for name in names
            if (record := self._records.get(name)) is not None
        ]

    def get(self, name: str) -> FreshnessRecord | None:
        return self._records.get(name)

    @property
    def names(self) -> list[str]:
        return list(self._records)

    def remove_expired(self, now: int) -> None:
        """Removes facts without a recent confirmation."""
        for name in [name for name, record in self._records.items() if now - record.received_at >= RETENTION_US]:
            del self._records[name]
