"""What is still to be passed on, each so many times and the least told first; free of I/O.

As in SWIM (Das, Gupta, Motivala 2002): told about log n times, everybody has heard it but for a vanishing
part; that part hears it from what fills the room left in later packets.
"""

from __future__ import annotations

from heapq import nsmallest
from itertools import count
from math import ceil, log2
from operator import itemgetter
from typing import NamedTuple

# Times log n; with 30% of all packets lost a few more are needed than the 2 that do where none is.
TOLD = 4
SAID, CHARGE, NOTICE = range(3)


def times(members: int) -> int:
    return TOLD * ceil(log2(members + 2))


class GossipItem(NamedTuple):
    told: int
    age: int  # rises: of two told alike the newer goes first
    key: tuple[int, str]
    sort: int
    part: bytes


class GossipQueue:
    """One for each thing, the newest; emptied by telling."""

    def __init__(self) -> None:
        self._of: dict[tuple[int, str], GossipItem] = {}
        self._ages = count(0, -1)

    def __len__(self) -> int:
        return len(self._of)

    def put(self, sort: int, of: str, part: bytes) -> None:
        self._of[sort, of] = GossipItem(0, next(self._ages), (sort, of), sort, part)

    def drop(self, sort: int, of: str) -> None:
        self._of.pop((sort, of), None)

    def pick(self, room: int, most: int, members: int) -> list[GossipItem]:
        """Those for one packet, within so many bytes; each counts as told."""
        made = []
        limit = times(members)
        for one in nsmallest(most, self._of.values(), key=itemgetter(0, 1)):
            if len(one.part) > room:
                continue
            room -= len(one.part)
            made.append(one)
            if one.told + 1 >= limit:
                del self._of[one.key]
            else:
                self._of[one.key] = one._replace(told=one.told + 1)
        return made
