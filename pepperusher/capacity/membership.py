"""Measures the messages, bytes, state and processor time of one member of a group by the size of the group, in
virtual time.
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

# The defaults of the configuration file, in us.
PROBE_PERIOD, PROBE_TIMEOUT = 500_000, 150_000
SETTLE_US, REST_US, CHANGE_US = 2 * SECOND, 5 * SECOND, 5 * SECOND
START = 1_700_000_000 * SECOND


def member_record(number: int) -> MemberRecord:
    """Returns the record that a proxy announces about itself, with a name of realistic length."""
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


class GroupCosts:
    """The costs of one member in a group of `size`: a second at rest, and for one change."""

    def __init__(self, size: int, seed: int) -> None:
        model = Model(seed, PROBE_PERIOD, PROBE_TIMEOUT)
        model.turn = SECOND
        for number in range(size):
            model.add(f"service-{number // 24:03d}-{number:05d}", told=size)
        introduced(model)
        model.run(SETTLE_US)
        members = model.ones.values()
        messages, sent_bytes = sum(member.sent for member in members), sum(member.sent_bytes for member in members)
        cpu_before = process_time()
        model.run(REST_US)
        seconds = REST_US / SECOND
        self.cpu = (process_time() - cpu_before) * 1e6 / size / seconds
        self.messages = (sum(member.sent for member in members) - messages) / size / seconds
        self.bytes = (sum(member.sent_bytes for member in members) - sent_bytes) / size / seconds
        messages, sent_bytes = sum(member.sent for member in members), sum(member.sent_bytes for member in members)
        next(iter(members)).swim.set_phase(SENT_AWAY, model.now)
        model.run(CHANGE_US)
        change_s = CHANGE_US / SECOND
        self.change_messages = (sum(member.sent for member in members) - messages) / size - self.messages * change_s
        self.change_bytes = (sum(member.sent_bytes for member in members) - sent_bytes) / size - self.bytes * change_s


# One simulation gives several values. The cache holds one entry for each size and seed measured.
_COSTS: dict[tuple[int, int], GroupCosts] = {}


def by_members(name: str) -> Callable[[int, int], float]:
    """Returns a measurement of the attribute `name` of `GroupCosts`, by the size of the group."""

    def measure(size: int, seed: int) -> float:
        if (size, seed) not in _COSTS:
            _COSTS[size, seed] = GroupCosts(size, seed)
        return float(getattr(_COSTS[size, seed], name))

    return measure


def state(size: int, _: int) -> float:
    """Returns the bytes that one member holds about a group of `size`."""

    def create() -> object:
        membership = Membership(PROBE_PERIOD)
        for number in range(size):
            membership.merge(member_record(number), START)
        return membership

    return allocated_bytes(create)


def sync(size: int, seed: int) -> float:
    """Returns the bytes that a joining member is sent."""
    swim = Swim(
        member_record(0),
        SwimSettings(PROBE_PERIOD, PROBE_TIMEOUT, (), size, 60 * SECOND),
        Wire("measured, not a key"),
        Random(seed),
        START,
    )
    for number in range(1, size):
        swim.members.merge(member_record(number), START)
    return float(sum(map(len, swim.full_state())))


def most_members() -> int:
    """Returns how many members a membership table accepts, by filling one."""
    membership = Membership(PROBE_PERIOD)
    number = 0
    while not membership.refused:
        membership.merge(member_record(number), START)
        number += 1
        assert number <= 2 * group_membership.MAX_MEMBERS
    return len(membership)


def most_notices() -> int:
    """Returns how many notices can be active at the same time, by adding notices until one is refused."""
    notices = Broadcasts(60 * SECOND)
    number = 0
    while not notices.refused:
        notices.merge(Broadcast("ban", f"service-{number:05d}", True, START), START)
        number += 1
        assert number <= 2 * group_broadcasts.MAX_BROADCASTS
    return len(notices)
