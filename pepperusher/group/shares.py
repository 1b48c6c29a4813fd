"""How many members a proxy reaches, and how many share the limits with it. It does no I/O.
docs/group-design.md has the table.

No limit rises because other members are silent. A proxy's share grows only by members that *said* that they
send their clients away or have left, and each place of the tier counts once. So the two halves of a partition
together never use more than the whole group may, whatever each believes of the other. The one exception is
a proxy that starts or takes clients again before the others have heard of it: until they have, at most one
share is used twice per such proxy, as when it is started without a group.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from pepperusher.group.membership import Membership
from pepperusher.group.messages import ALIVE, LEFT, MemberRecord

MAJORITY, MINORITY, ISOLATED = "majority", "part", "nobody"
# If no more than one in this many contacted members answers, only one in this many alive members counts as
# reachable.
FEW_ANSWERS_DIVISOR = 8


class Reachability(NamedTuple):
    """How many members, this proxy included, it takes to be reachable (`here`), and how many are silent, gone
    and never met. `word` is MAJORITY, MINORITY or ISOLATED.
    """

    word: str
    here: int
    silent: int
    gone: int
    never: int

    @property
    def has_majority(self) -> bool:
        """Whether this proxy reaches a majority. Changes that bind the whole group require it; tickets never do."""
        return self.word == MAJORITY


def assess_reachability(
    configured_size: int, me: MemberRecord, membership: Membership, answered: bool, few_answer: bool = False
) -> Reachability:
    """`configured_size` is the number of proxies in this tier by the settings. If no member `answered` lately,
    none counts as reachable, whatever their recorded health: this process may just have resumed after a stall.
    If `few_answer` of the randomly probed members, only a few of the alive ones count: the others are not yet
    suspected merely because they have not been probed, or because too few members are left to accuse them.
    """
    here, silent, gone = 1, 0, 0
    met = 1
    for member in membership:
        met += member.record.tier == me.tier
        if member.record.phase == LEFT:
            gone += 1
        elif member.health == ALIVE and not member.record.is_duplicate:
            here += 1
        else:
            silent += 1
    never_met = max(0, configured_size - met)
    total = here + silent + never_met
    if not answered:
        here, silent = 1, silent + here - 1
    elif few_answer:
        reached = min(here - 1, max(1, (here - 1) // FEW_ANSWERS_DIVISOR))
        here, silent = 1 + reached, silent + here - 1 - reached
    if 2 * here > total:
        word = MAJORITY
    else:
        word = MINORITY if here > 1 else ISOLATED
    return Reachability(word, here, silent, gone, never_met)


def sharer_count(configured_size: int, me: MemberRecord, records: Iterable[MemberRecord]) -> int:
    """How many proxies share the limits: the configured number, less the places whose member is gone by its
    last record. It is never less than the number of places that are known to be held.
    """
    held_places: set[int] = {me.place}
    free_places: set[int] = set()
    for record in records:
        if record.tier == me.tier:
            (free_places if record.is_gone else held_places).add(record.place)
    places = held_places | free_places
    return max(configured_size, len(places)) - len(free_places - held_places)
