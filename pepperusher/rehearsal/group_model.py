"""Simulates a group in virtual time: the real members of `group/swim.py` on a simulated network, reproducible by seed.

It serves tests with hundreds of members or thousands of histories. Effects between real processes on a machine are
tested with complete proxies instead; figures from this model are called simulated.
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
    """Properties of a link: the share of datagrams that are lost or duplicated, and the delay and jitter in us."""

    lost: float = 0.0
    twice: float = 0.0
    delay: int = 300
    jitter: int = 400


class ObservedChange(NamedTuple):
    """A change that the member `by` observed, with the time."""

    at: int
    by: str
    change: Change


class ModelMember:
    """A member and the process around it."""

    def __init__(self, swim: Swim) -> None:
        self.swim = swim
        self.up = True
        self.stopped_until: int | None = None  # suspended until then; datagrams wait as in a socket buffer
        self.waiting: list[bytes] = []  # unread datagrams, at most BUFFERED
        self.duty = 1.0  # the share of time in which the process gets the processor
        self.turn_of = 0  # offset of its time slices if the share is less than 1
        self.sent = self.sent_bytes = 0


BUFFERED = 400
# Period in us of the time slices of a process with a share of the processor.
TIME_SLICE_PERIOD = 100_000


class Model:
    """A simulated group with its members, its links and a virtual clock in us."""

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
        # Tells whether the link from the first member to the second is cut.
        self.cut: Callable[[str, str], bool] = lambda _, __: False
        self.manners: dict[tuple[str, str], LinkProperties] = {}
        self.turn = TIME_SLICE_PERIOD
        self._heap: list[tuple[int, int, str, Any]] = []
        self._sequence = count()
        self._at: dict[tuple[str, int], str] = {}  # member names by address
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
        """Starts a member. If the name exists already, the member restarts without its state. `behind` is how far its
        clock is set back (us).
        """
        previous = self.ones.get(name)
        if address is None and previous is not None:
            previous.up = False  # its process ends; a duplicate name needs an explicit address
        if address is None:
            address = previous.swim.own_record.address if previous is not None else ("m", next(self._ports))
        other_addresses = [member.swim.own_record.address for member in self.ones.values() if member is not previous]
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
        settings = SwimSettings(self.period, self.within, tuple(other_addresses[:seeds]), told, 60 * SECOND)
        member = ModelMember(Swim(me, settings, self.wire, Random(self.chance.getrandbits(32)), self.now))
        self.ones[name] = member
        self._at[address] = name
        self._push(self.now, "wake", (name, member))
        return member

    def kill(self, name: str) -> None:
        self.ones[name].up = False

    def stop(self, name: str, span: int) -> None:
        """Suspends a member for `span` us, like SIGSTOP followed by SIGCONT."""
        self.ones[name].stopped_until = self.now + span
        self._push(self.now + span, "go on", (name, self.ones[name]))

    def starve(self, name: str, duty: float) -> None:
        self.ones[name].duty = duty
        self.ones[name].turn_of = self.chance.randrange(self.turn)

    def _push(self, due_at: int, kind: str, arguments: Any) -> None:
        heappush(self._heap, (due_at, next(self._sequence), kind, arguments))

    def _next_run_time(self, member: ModelMember) -> int:
        """The time at which the member next gets the processor."""
        if member.stopped_until is not None and self.now < member.stopped_until:
            return member.stopped_until
        if member.duty < 1.0:
            offset = (self.now + member.turn_of) % self.turn
            if offset >= member.duty * self.turn:
                return self.now + self.turn - offset
        return self.now

    def run(self, span: int, until: Callable[[], bool] | None = None, every: int = 20_000) -> bool:
        """Runs for `span` us, or until the condition `until` holds, which is checked every `every` us. Returns
        whether it held.
        """
        end, next_check = self.now + span, self.now
        while self._heap and self._heap[0][0] <= end:
            if until is not None and self._heap[0][0] >= next_check:
                if until():
                    return True
                next_check = self._heap[0][0] + every
            self.now, _, kind, arguments = heappop(self._heap)
            name, member = arguments[0], arguments[1]
            if not member.up:
                continue
            if kind == "wake":
                run_time = self._next_run_time(member)
                if run_time > self.now:
                    self._push(run_time, "wake", arguments)
                    continue
                self._read(member)
                due = member.swim.wake(self.now)
                self._send(name, member)
                self._push(due, "wake", arguments)
            elif kind == "go on":
                member.stopped_until = None
            elif kind == "come":
                if len(member.waiting) < BUFFERED:
                    member.waiting.append(arguments[2])
                run_time = self._next_run_time(member)
                if run_time > self.now:
                    self._push(run_time, "look", (name, member))
                else:
                    self._read(member)
                    self._send(name, member)
            elif kind == "look" and self._next_run_time(member) == self.now:
                self._read(member)
                self._send(name, member)
        self.now = max(self.now, end)
        return until is not None and until()

    def _read(self, member: ModelMember) -> None:
        datagrams, member.waiting = member.waiting, []
        for data in datagrams:
            member.swim.receive(data, self.now)

    def _send(self, name: str, member: ModelMember) -> None:
        swim = member.swim
        out, swim.outgoing = swim.outgoing, []
        for address, data in out:
            member.sent += 1
            member.sent_bytes += len(data)
            self.datagram(name, address, data)
        for change in swim.changes:
            self.book.append(ObservedChange(self.now, name, change))
        swim.changes.clear()
        if swim.sync_from is not None:
            self._stream(name, member, swim.sync_from)
            swim.sync_from = None

    def datagram(self, name: str, address: tuple[str, int], data: bytes) -> None:
        receiver = self._at.get(address)
        if receiver is None or self.cut(name, receiver):
            return
        link = self.manners.get((name, receiver), self.manner)
        for _ in range(2 if self.chance.random() < link.twice else 1):
            if self.chance.random() >= link.lost:
                self._push(
                    self.now + link.delay + self.chance.randrange(link.jitter + 1),
                    "come",
                    (receiver, self.ones[receiver], data),
                )

    def _stream(self, name: str, member: ModelMember, address: tuple[str, int]) -> None:
        receiver = self._at.get(address)
        if receiver is None or self.cut(name, receiver) or self.cut(receiver, name) or not self.ones[receiver].up:
            return
        for part in self.ones[receiver].swim.full_state():
            self._push(self.now + 2 * self.manner.delay, "come", (name, member, part))

    # --- queries of tests -----------------------------------------------------------------------------

    def finds(self, by: str) -> dict[str, tuple[int, int]]:
        """The view of member `by`: health and phase of every other member."""
        return {known.record.name: (known.health, known.record.phase) for known in self.ones[by].swim.members}

    def all_know(self, names: list[str], true: Callable[[Swim, str], bool]) -> bool:
        running = [name for name, member in self.ones.items() if member.up]
        return all(true(self.ones[by].swim, name) for by in running for name in names if name != by)
