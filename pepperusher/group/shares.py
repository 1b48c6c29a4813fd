"""What follows from who is there, who is gone and who is silent; free of I/O. docs/group-design.md has the
table.

No bound rises because others are silent: a part grows by those alone who *said* that they send clients away
or left, each place of the tier counted once. So two halves of a partition do no more together than the whole
was allowed, whoever believes what of whom. The one exception is a proxy that starts or takes clients again
while others have not heard so: until they have, at most one part is used twice for each such proxy, as when
it is started without a group.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from pepperusher.group.membership import Membership
from pepperusher.group.messages import ALIVE, LEFT, MemberRecord

MAJORITY, PART, NOBODY = "majority", "part", "nobody"
# Where no more than one in so many answers, one in so many of the roll is taken to be there.
HARDLY = 8


class Reachability(NamedTuple):
    """How many of the roll, this proxy included, it takes to be there; how many are silent, gone, and never
    met.
    """

    word: str
    here: int
    silent: int
    gone: int
    never: int

    @property
    def may_order(self) -> bool:
        """What binds the whole group waits for this. Tickets never do."""
        return self.word == MAJORITY


def reach(told: int, me: MemberRecord, roll: Membership, answered: bool, hardly: bool = False) -> Reachability:
    """`told` is how many proxies the settings count in this tier. Unless anybody `answered` of late nobody is
    there, whatever it holds of them: it may just have gone on after it stood still. Where `hardly` anybody
    does, of those that it turns to by chance, hardly anybody is: the others are not suspected only since
    their turn has not come, or since too few are here to charge them.
    """
    here, silent, gone = 1, 0, 0
    met = 1
    for one in roll:
        met += one.said.tier == me.tier
        if one.said.phase == LEFT:
            gone += 1
        elif one.health == ALIVE and not one.said.doubled:
            here += 1
        else:
            silent += 1
    never = max(0, told - met)
    whole = here + silent + never
    if not answered:
        here, silent = 1, silent + here - 1
    elif hardly:
        reached = min(here - 1, max(1, (here - 1) // HARDLY))
        here, silent = 1 + reached, silent + here - 1 - reached
    if 2 * here > whole:
        word = MAJORITY
    else:
        word = PART if here > 1 else NOBODY
    return Reachability(word, here, silent, gone, never)


def size(told: int, me: MemberRecord, words: Iterable[MemberRecord]) -> int:
    """Of how many this proxy is one where they share: the settings' count, less the places whose last word
    was that they are gone. Never fewer than the places that are known to be held.
    """
    held: set[int] = {me.place}
    free: set[int] = set()
    for one in words:
        if one.tier == me.tier:
            (free if one.gone else held).add(one.place)
    places = held | free
    return max(told, len(places)) - len(free - held)
