"""A group in virtual time: the very members of `group/swim.py` with a network of ours between them, all from
one seed.

For what takes hundreds of members or thousands of histories. What several processes do to each other on a
machine is played by `grounds.py` with whole ones; figures from here are called simulated.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from pepperusher.group.membership import Change
from pepperusher.group.swim import Swim, SwimSettings
from pepperusher.group.wire import Wire
from pepperusher.group.messages import SERVING, MemberRecord

SECOND = 1_000_000


class LinkProperties(NamedTuple):
    """What befalls a datagram between two: a share that is lost or comes twice, and its time under way."""

    lost: float = 0.0
    twice: float = 0.0
    delay: int = 300
    jitter: int = 400


class ObservedChange(NamedTuple):
    """A line of the book: when, who says, what of whom."""

    at: int
    by: str
    change: Change


class ModelMember:
    """A member and the process around it."""

    def __init__(self, swim: Swim) -> None:
        self.swim = swim
        self.up = True
        self.stopped_until: int | None = None  # stands still: what comes waits, as in a socket's buffer
        self.waiting: list[bytes] = []  # at most BUFFERED; emptied when it goes on
        self.duty = 1.0  # the part of its time in which it has its processor
        self.turn_of = 0  # where its turns begin, if it has only a part
        self.sent = self.sent_bytes = 0


BUFFERED = 400
# A process that has a part of its processor has it in turns this long.
TURN = 100_000


class Model:
    def __init__(
        self, seed: int, period: int = 200_000, within: int = 60_000, manner: LinkProperties = LinkProperties()
    ) -> None:
        self.chance = Random(seed)
        self.now = 1_700_000_000 * SECOND
        self.manner = manner
        self.period, self.within = period, within
        self.ones: dict[str, ModelMember] = {}
        self.book: list[ObservedChange] = []
        self.wire = Wire("the model's")
        # Whether nothing passes from one to the other.
        self.cut: Callable[[str, str], bool] = lambda _, __: False
        self.manners: dict[tuple[str, str], LinkProperties] = {}
        self.turn = TURN
        self._heap: list[tuple[int, int, str, Any]] = []
        self._order = count()
        self._at: dict[tuple[str, int], str] = {}
        self._ports = count(1)

    def address(self, name: str) -> tuple[str, int]:
        return self.ones[name].swim.own_record.address

    def add(
        self,
        name: str,
        seeds: int = 2,
        told: int = 0,
        tier: int = 0,
        place: int | None = None,
        behind: int = 0,
        address: tuple[str, int] | None = None,
    ) -> ModelMember:
        """A member that starts now; again under a name that was there, it has lost all that it knew. `behind`
        is how far its clock is set back.
        """
        old = self.ones.get(name)
        if address is None and old is not None:
            old.up = False  # its process ends: two of one name stand at two addresses
        if address is None:
            address = old.swim.own_record.address if old is not None else ("m", next(self._ports))
        others = [one.swim.own_record.address for one in self.ones.values() if one is not old]
        me = MemberRecord(
            name,
            address[0],
            address[1],
            self.now - behind,
            self.chance.getrandbits(62),
            0,
            SERVING,
            False,
            tier,
            len(self.ones) if place is None else place,
        )
        terms = SwimSettings(self.period, self.within, tuple(others[:seeds]), told, 60 * SECOND)
        one = ModelMember(Swim(me, terms, self.wire, Random(self.chance.getrandbits(32)), self.now))
        self.ones[name] = one
        self._at[address] = name
        self._push(self.now, "wake", (name, one))
        return one

    def kill(self, name: str) -> None:
        self.ones[name].up = False

    def stop(self, name: str, span: int) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        self.ones[name].stopped_until = self.now + span
        self._push(self.now + span, "go on", (name, self.ones[name]))

    def starve(self, name: str, duty: float) -> None:
        self.ones[name].duty = duty
        self.ones[name].turn_of = self.chance.randrange(self.turn)

    def _push(self, at: int, what: str, of: Any) -> None:
        heappush(self._heap, (at, next(self._order), what, of))

    def _turn(self, one: ModelMember) -> int:
        """When it next has its processor."""
        if one.stopped_until is not None and self.now < one.stopped_until:
            return one.stopped_until
        if one.duty < 1.0:
            at = (self.now + one.turn_of) % self.turn
            if at >= one.duty * self.turn:
                return self.now + self.turn - at
        return self.now

    def run(self, span: int, until: Callable[[], bool] | None = None, every: int = 20_000) -> bool:
        """Plays on for so long, or until something holds, which is looked at so often; whether it did."""
        end, look = self.now + span, self.now
        while self._heap and self._heap[0][0] <= end:
            if until is not None and self._heap[0][0] >= look:
                if until():
                    return True
                look = self._heap[0][0] + every
            self.now, _, what, of = heappop(self._heap)
            name, one = of[0], of[1]
            if not one.up:
                continue
            if what == "wake":
                turn = self._turn(one)
                if turn > self.now:
                    self._push(turn, "wake", of)
                    continue
                self._read(one)
                due = one.swim.wake(self.now)
                self._send(name, one)
                self._push(due, "wake", of)
            elif what == "go on":
                one.stopped_until = None
            elif what == "come":
                if len(one.waiting) < BUFFERED:
                    one.waiting.append(of[2])
                turn = self._turn(one)
                if turn > self.now:
                    self._push(turn, "look", (name, one))
                else:
                    self._read(one)
                    self._send(name, one)
            elif what == "look" and self._turn(one) == self.now:
                self._read(one)
                self._send(name, one)
        self.now = max(self.now, end)
        return until is not None and until()

    def _read(self, one: ModelMember) -> None:
        came, one.waiting = one.waiting, []
        for data in came:
            one.swim.receive(data, self.now)

    def _send(self, name: str, one: ModelMember) -> None:
        swim = one.swim
        out, swim.outgoing = swim.outgoing, []
        for address, data in out:
            one.sent += 1
            one.sent_bytes += len(data)
            self.datagram(name, address, data)
        for change in swim.changes:
            self.book.append(ObservedChange(self.now, name, change))
        swim.changes.clear()
        if swim.sync_from is not None:
            self._stream(name, one, swim.sync_from)
            swim.sync_from = None

    def datagram(self, name: str, address: tuple[str, int], data: bytes) -> None:
        to = self._at.get(address)
        if to is None or self.cut(name, to):
            return
        manner = self.manners.get((name, to), self.manner)
        for _ in range(2 if self.chance.random() < manner.twice else 1):
            if self.chance.random() >= manner.lost:
                self._push(
                    self.now + manner.delay + self.chance.randrange(manner.jitter + 1),
                    "come",
                    (to, self.ones[to], data),
                )

    def _stream(self, name: str, one: ModelMember, address: tuple[str, int]) -> None:
        to = self._at.get(address)
        if to is None or self.cut(name, to) or self.cut(to, name) or not self.ones[to].up:
            return
        for part in self.ones[to].swim.full_state():
            self._push(self.now + 2 * self.manner.delay, "come", (name, one, part))

    # --- what a test asks -----------------------------------------------------------------------------

    def finds(self, by: str) -> dict[str, tuple[int, int]]:
        """What a member finds of all others: health and phase."""
        return {one.record.name: (one.health, one.record.phase) for one in self.ones[by].swim.members}

    def all_know(self, names: list[str], true: Callable[[Swim, str], bool]) -> bool:
        up = [name for name, one in self.ones.items() if one.up]
        return all(true(self.ones[by].swim, name) for by in up for name in names if name != by)
