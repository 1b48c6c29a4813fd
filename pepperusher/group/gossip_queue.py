"""The queue of gossip to be piggybacked on packets. Each item is sent a limited number of times, the least
sent first. It does no I/O.

As in SWIM (Das, Gupta, Motivala 2002), about log n transmissions reach all but a vanishing part of the group.
That part receives the news from the random items that fill the free space of later packets.
"""

from __future__ import annotations

from heapq import nsmallest
from itertools import count
from math import ceil, log2
from operator import itemgetter
from typing import NamedTuple

# Transmissions per item are this times log2 of the group size. 2 suffice without packet loss; with 30% of
# the packets lost a few more are needed.
RETRANSMIT_MULTIPLIER = 4
RECORD, SUSPICION, BROADCAST = range(3)


def retransmit_limit(members: int) -> int:
    return RETRANSMIT_MULTIPLIER * ceil(log2(members + 2))


class GossipItem(NamedTuple):
    transmissions: int
    sequence: int  # falls with each item, so that of two items sent equally often the newer goes first
    key: tuple[int, str]
    kind: int
    encoded: bytes


class GossipQueue:
    """Holds the newest item per kind and subject until it has been sent often enough."""

    def __init__(self) -> None:
        self._items: dict[tuple[int, str], GossipItem] = {}
        self._sequence = count(0, -1)

    def __len__(self) -> int:
        return len(self._items)

    def put(self, kind: int, subject: str, encoded: bytes) -> None:
        self._items[kind, subject] = GossipItem(0, next(self._sequence), (kind, subject), kind, encoded)

    def drop(self, kind: int, subject: str) -> None:
        self._items.pop((kind, subject), None)

    def pick(self, max_bytes: int, max_items: int, members: int) -> list[GossipItem]:
        """Picks the items for one packet and counts a transmission of each."""
        picked = []
        limit = retransmit_limit(members)
        for item in nsmallest(max_items, self._items.values(), key=itemgetter(0, 1)):
            if len(item.encoded) > max_bytes:
                continue
            max_bytes -= len(item.encoded)
            picked.append(item)
            if item.transmissions + 1 >= limit:
                del self._items[item.key]
            else:
                self._items[item.key] = item._replace(transmissions=item.transmissions + 1)
        return picked
