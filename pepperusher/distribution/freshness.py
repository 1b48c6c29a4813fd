"""How old the owner's word of each fact is, as it goes from machine to machine; free of I/O.

A fact that does not change and one whose owner is cut off look alike by their versions. So the owner says `ConsoleCall`:
of this version, and of this moment in its own time, so long ago. Each passes it on with the age grown by what it
lay there, so no clocks are compared.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from pepperusher.distribution.messages import MOST_RESOURCES, Version, FreshnessReport

# A word that nobody has said anything newer than for so long is of use to nobody.
KEPT = 60_000_000


class FreshnessRecord(NamedTuple):
    """`stamp` is the owner's time and orders its words; `told_at` is when that was, by the clock here."""

    version: Version
    stamp: int
    confirmed_at: int
    heard_at: int


class Freshness:
    def __init__(self) -> None:
        # By a fact's name, the newest word of it: MOST_RESOURCES at the most, emptied KEPT after it was heard.
        self._heard: dict[str, FreshnessRecord] = {}

    def record(self, word: FreshnessReport, now: int) -> bool:
        """Whether it is newer than what was heard. Of one moment the first hearing counts: passed round among
        machines a word would else get younger with each, by the time that it was on the way.
        """
        version = Version(word.epoch, word.number)
        last = self._heard.get(word.name)
        if last is not None and (version, word.stamp) <= (last.version, last.stamp):
            return False
        if last is None and len(self._heard) >= MOST_RESOURCES:
            return False
        self._heard[word.name] = FreshnessRecord(version, word.stamp, now - word.age, now)
        return True

    def own(self, name: str, version: Version, told_at: int, now: int) -> None:
        """The owner's own: of a later moment than all before it, also where its clock was set back."""
        last = self._heard.get(name)
        if last is not None and version < last.version:
            return
        stamp = max(told_at, last.stamp + 1 if last is not None else 0)
        self._heard[name] = FreshnessRecord(version, stamp, told_at, now)

    def of(self, names: Iterable[str], now: int) -> list[FreshnessReport]:
        """To be passed on."""
        return [
            FreshnessReport(name, *one.version, one.stamp, max(0, now - one.confirmed_at))
            for name in names
            if (one := self._heard.get(name)) is not None
        ]

    def get(self, name: str) -> FreshnessRecord | None:
        return self._heard.get(name)

    @property
    def names(self) -> list[str]:
        return list(self._heard)

    def forget(self, now: int) -> None:
        for name in [name for name, one in self._heard.items() if now - one.heard_at >= KEPT]:
            del self._heard[name]
