"""A group's membership by its size, in virtual time: messages, bytes, state and processor time of one
member.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from time import process_time

from pepperusher.capacity.decisions import allocated_bytes
from pepperusher.group import broadcasts as group_broadcasts, membership as group_membership
from pepperusher.group.broadcasts import Broadcasts
from pepperusher.group.membership import Membership
from pepperusher.group.swim import Swim, SwimSettings
from pepperusher.group.wire import Wire
from pepperusher.group.messages import SENT_AWAY, SERVING, Broadcast, MemberRecord
from pepperusher.rehearsal.group_figures import introduced
from pepperusher.rehearsal.group_model import SECOND, Model

# As the own file has them where it says nothing.
PERIOD, WITHIN = 500_000, 150_000
SETTLES, SPAN, CHANGE = 2 * SECOND, 5 * SECOND, 5 * SECOND
START = 1_700_000_000 * SECOND


def said(number: int) -> MemberRecord:
    """One proxy's own word, with a name as fleets have them."""
    return MemberRecord(
        f"service-{number // 24:03d}-{number:05d}",
        f"10.{number >> 14}.{number >> 6 & 255}.{number & 63}",
        7946,
        START,
        Random(number).getrandbits(62),
        3,
        SERVING,
        False,
        0,
        number,
    )


class Spent:
    """What one group spent: a member a second at rest, and over a change."""

    def __init__(self, size: int, seed: int) -> None:
        model = Model(seed, PERIOD, WITHIN)
        model.turn = SECOND
        for number in range(size):
            model.add(f"service-{number // 24:03d}-{number:05d}", told=size)
        introduced(model)
        model.run(SETTLES)
        ones = model.ones.values()
        messages, sent = sum(one.sent for one in ones), sum(one.sent_bytes for one in ones)
        cpu = process_time()
        model.run(SPAN)
        seconds = SPAN / SECOND
        self.cpu = (process_time() - cpu) * 1e6 / size / seconds
        self.messages = (sum(one.sent for one in ones) - messages) / size / seconds
        self.bytes = (sum(one.sent_bytes for one in ones) - sent) / size / seconds
        messages, sent = sum(one.sent for one in ones), sum(one.sent_bytes for one in ones)
        next(iter(ones)).swim.set_phase(SENT_AWAY, model.now)
        model.run(CHANGE)
        rest = CHANGE / SECOND
        self.change_messages = (sum(one.sent for one in ones) - messages) / size - self.messages * rest
        self.change_bytes = (sum(one.sent_bytes for one in ones) - sent) / size - self.bytes * rest


# one play gives several figures; a run of sizes fills it, its end empties it
_SPENT: dict[tuple[int, int], Spent] = {}


def spent(name: str) -> Callable[[int, int], float]:
    def at(size: int, seed: int) -> float:
        if (size, seed) not in _SPENT:
            _SPENT[size, seed] = Spent(size, seed)
        return float(getattr(_SPENT[size, seed], name))

    return at


def state(size: int, _: int) -> float:
    """Bytes that one member holds of a group of so many."""

    def makes() -> object:
        roll = Membership(PERIOD)
        for number in range(size):
            roll.merge(said(number), START)
        return roll

    return allocated_bytes(makes)


def sync(size: int, seed: int) -> float:
    """Bytes that a newcomer is sent."""
    swim = Swim(
        said(0), SwimSettings(PERIOD, WITHIN, (), size, 60 * SECOND), Wire("measured, not a key"), Random(seed), START
    )
    for number in range(1, size):
        swim.members.merge(said(number), START)
    return float(sum(map(len, swim.full_state())))


def most_members() -> int:
    """How many names a roll takes, by filling it."""
    roll = Membership(PERIOD)
    number = 0
    while not roll.refused:
        roll.merge(said(number), START)
        number += 1
        assert number <= 2 * group_membership.MAX_MEMBERS
    return len(roll)


def most_notices() -> int:
    """How many things at once can be on, by filling them."""
    notices = Broadcasts(60 * SECOND)
    number = 0
    while not notices.refused:
        notices.merge(Broadcast("ban", f"service-{number:05d}", True, START), START)
        number += 1
        assert number <= 2 * group_broadcasts.MAX_BROADCASTS
    return len(notices)
