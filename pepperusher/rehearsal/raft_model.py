"""Histories of a few voters, the first states all and longer ones by chance: what may never be, never is.

The voters are the program's own (`consensus/raft.py`). A network that keeps all that was ever sent, and may
deliver any of it at any time, again or never, is loss, repeats, lateness and every order in one. A crash
comes before what a step wrote is on disk, and takes what it would have said with it; a restart knows its disk
alone. Time is left out here: anybody may ask for votes or speak at any moment; leases, which hang on time,
are not looked at here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

from pepperusher.consensus.raft import LEADER, RaftVoter, ElectionTimings, Progress
from pepperusher.consensus.messages import LogSnapshot, Entry, PersistentState, Message

NAMES = ("a", "b", "c")


class Limits(NamedTuple):
    """How far histories go: terms, entries proposed, times that a leader speaks, crashes, and states at the
    most.
    """

    terms: int = 2
    entries: int = 1
    rounds: int = 3
    crashes: int = 1
    states: int = 60_000
    asks_first: bool = False


class Violation(NamedTuple):
    """Something that may never be, and the steps that lead to it."""

    what: str
    steps: tuple[str, ...]


class SearchResult(NamedTuple):
    """How many states were looked at, whether that was all, and what was wrong, if anything."""

    states: int
    whole: bool
    wrong: Violation | None


class Disk(NamedTuple):
    kept: PersistentState
    base: LogSnapshot
    entries: tuple[Entry, ...]


class World:
    """One state: voters, disks, all that was sent, and what has ever counted or led."""

    __slots__ = ("voters", "disks", "sent", "led", "counted", "proposed", "rounds", "crashes")

    def __init__(self, make: type[RaftVoter]) -> None:
        base = LogSnapshot(10, 0, NAMES)
        self.disks = {name: Disk(PersistentState(0, ""), base, ()) for name in NAMES}
        self.voters = {name: started(make, name, self.disks[name]) for name in NAMES}
        # In the order of sending: a set's hangs on the run, and a seed would not play the same walk twice.
        self.sent: dict[tuple[str, Message], None] = {}
        self.led: dict[int, str] = {}
        self.counted: dict[int, Entry] = {}
        self.proposed = self.rounds = self.crashes = 0

    def copy(self, touched: str) -> World:
        made: World = object.__new__(World)
        made.voters = {**self.voters, touched: cloned(self.voters[touched])}
        made.disks = dict(self.disks)
        made.sent, made.led, made.counted = dict(self.sent), dict(self.led), dict(self.counted)
        made.proposed, made.rounds, made.crashes = self.proposed, self.rounds, self.crashes
        return made

    def frozen(self) -> Any:
        return (
            tuple(map(of_voter, self.voters.values())),
            tuple(self.disks.values()),
            frozenset(self.sent),
            tuple(sorted(self.led.items())),
            tuple(sorted(self.counted.items())),
            self.proposed,
            self.rounds,
            self.crashes,
        )


def started(make: type[RaftVoter], name: str, disk: Disk) -> RaftVoter:
    made = make(name, NAMES, ElectionTimings(1, 0, 0), Random(1), 0, 0, disk.kept, disk.base, disk.entries)
    made._random = None  # type: ignore[assignment]
    return made


def cloned(voter: RaftVoter) -> RaftVoter:
    made = object.__new__(type(voter))
    made.__dict__.update(voter.__dict__)
    for name, value in voter.__dict__.items():
        if isinstance(value, list | set | dict) and name != "_progress":
            made.__dict__[name] = value.copy()
    made._progress = {}
    for name, one in voter._progress.items():
        kept = Progress(one.next)
        kept.match, kept.round = one.match, one.round
        made._progress[name] = kept
    return made


def of_voter(voter: RaftVoter) -> Any:
    progress = tuple(sorted((name, one.next, one.match, one.round) for name, one in voter._progress.items()))
    return (
        voter.role,
        voter.leader,
        voter.persistent_state,
        voter.base,
        tuple(voter.entries),
        voter.commit,
        voter._durable_index,
        tuple(sorted(voter._votes)),
        progress,
        voter._round,
        voter._acked_round,
        voter._vote_write - voter._number,
    )


def flushed(disk: Disk, voter: RaftVoter) -> Disk:
    """The disk with all that the voter has handed to it."""
    kept, base, entries = disk
    for write in voter.writes:
        kept = write.kept or kept
        if write.base is not None:
            base = write.base
            entries = write.entries if write.start else entries
        if write.start and write.base is None:
            entries = (*entries[: write.start - base.index - 1], *write.entries)
    return Disk(kept, base, entries)


def steps(world: World, limits: Limits) -> Iterator[tuple[str, str, Callable[[RaftVoter], Any], dict[str, int]]]:
    """What may happen now: in words, to whom, what it does, and which counts it raises."""
    for name, voter in world.voters.items():
        if voter.role != LEADER and voter.persistent_state.term < limits.terms:
            # At once for votes too, though it would ask first: that only keeps elections away.
            yield f"{name} asks for votes", name, lambda one: one._start_election(0), {}
            if limits.asks_first:
                yield f"{name} asks first", name, lambda one: one._start_pre_vote(0), {}
        if voter.role == LEADER:
            if world.proposed < limits.entries:
                what = f"x{world.proposed}"
                yield f"{name} proposes {what}", name, lambda one, what=what: one.propose(what), {"proposed": 1}
            if world.rounds < limits.rounds:
                yield f"{name} speaks", name, lambda one: one._send_heartbeats(0), {"rounds": 1}
    for to, message in world.sent:
        yield f"{to} hears {message}", to, lambda one, message=message: one.receive(message, 0), {}


def after(
    world: World,
    name: str,
    does: Callable[[RaftVoter], Any],
    counts: dict[str, int],
    make: type[RaftVoter],
    crash: bool,
    lag: bool = False,
) -> World:
    """The world after a step. With `lag` the disk has not done what the step handed to it; what waits for that waits on."""
    made = world.copy(name)
    for count, by in counts.items():
        setattr(made, count, getattr(made, count) + by)
    voter = made.voters[name]
    does(voter)
    while True:
        if crash:
            # What was to be said only once it is on disk goes with it; what does not wait for the disk is out
            # already.
            made.sent |= {(one.to, one.message): None for one in voter.outgoing if one.after <= voter._flushed}
            made.crashes += 1
            made.voters[name] = started(make, name, made.disks[name])
            return made
        if lag:
            made.sent |= {(one.to, one.message): None for one in voter.outgoing if one.after <= voter._flushed}
            voter.outgoing = [one for one in voter.outgoing if one.after > voter._flushed]
            return made
        made.disks[name] = flushed(made.disks[name], voter)
        out, voter.outgoing, voter.writes = voter.outgoing, [], []
        made.sent |= {(one.to, one.message): None for one in out}
        if voter._number == voter._flushed:
            break
        voter.on_disk(voter._number, 0)
    return made


def look(world: World) -> str | None:
    """What may never be: two that lead in one term, two entries that count at one place, a disk behind what
    it counts.
    """
    for name, voter in world.voters.items():
        if voter.role == LEADER:
            other = world.led.setdefault(voter.persistent_state.term, name)
            if other != name:
                return f"{other} and {name} lead in term {voter.persistent_state.term}"
        assert voter.base is not None
        if voter.commit > voter.last_index:
            return f"{name} counts what it has not"
        for at, entry in enumerate(voter.between(voter.base.index + 1, voter.commit), voter.base.index + 1):
            before = world.counted.setdefault(at, entry)
            if before != entry:
                return f"at {at} {before} counted, and now {entry} at {name}"
    return None


def explore(make: type[RaftVoter] = RaftVoter, limits: Limits = Limits()) -> SearchResult:
    """Breadth first, so that the steps to what is wrong are the fewest."""
    first = World(make)
    seen = {hash(first.frozen())}
    waiting: deque[tuple[World, tuple[Any, ...] | None]] = deque([(first, None)])
    while waiting:
        world, way = waiting.popleft()
        for said, name, does, counts in steps(world, limits):
            for crash in (False, True) if world.crashes < limits.crashes else (False,):
                words = f"{said}, and crashes before it is on disk" if crash else said
                try:
                    made = after(world, name, does, counts, make, crash)
                    wrong = look(made)
                except AssertionError as error:
                    wrong, made = str(error) or "what must hold does not", None
                if wrong is not None:
                    return SearchResult(len(seen), False, Violation(wrong, spoken((words, way))))
                assert made is not None
                key = hash(made.frozen())
                if key in seen:
                    continue
                if len(seen) >= limits.states:
                    return SearchResult(len(seen), False, None)
                seen.add(key)
                waiting.append((made, (words, way)))
    return SearchResult(len(seen), True, None)


def wander(
    make: type[RaftVoter] = RaftVoter, limits: Limits = Limits(), seed: int = 1, walks: int = 200, length: int = 120
) -> SearchResult:
    """Long histories by chance beside it, for what lies deeper than all states can be looked at."""
    chance = Random(seed)
    count = 0
    for _ in range(walks):
        world, way = World(make), None
        heard: set[str] = set()
        slow = chance.choice(("", *NAMES))  # whose disk is late for most of this history
        for _ in range(length):
            said, name, does, counts = drawn(world, limits, heard, chance)
            crash = world.crashes < limits.crashes and chance.random() < 0.1
            lag = not crash and chance.random() < (0.85 if name == slow else 0.05)
            way = (said + (", and crashes" if crash else ", its disk is late" if lag else ""), way)
            count += 1
            try:
                world = after(world, name, does, counts, make, crash, lag)
                wrong = look(world)
            except AssertionError as error:
                wrong = str(error) or "what must hold does not"
            if wrong is not None:
                return SearchResult(count, False, Violation(wrong, spoken(way)))
    return SearchResult(count, False, None)


def drawn(world: World, limits: Limits, heard: set[str], chance: Random) -> Any:
    """A step by chance, as a history goes: mostly what was sent and not yet heard, now and then an old
    message again, and seldom one who asks for votes; else nobody would lead for long enough to do harm.
    """
    own, new, old = [], [], []
    for step in steps(world, limits):
        (own if step[1] + " hears" not in step[0] else old if step[0] in heard else new).append(step)
    asks = [step for step in own if "asks" in step[0]]
    acts = [step for step in own if "asks" not in step[0]]
    pools = [(new, 0.62), (acts, 0.26), (asks, 0.06), (old, 0.06)]
    pools = [(pool, weight) for pool, weight in pools if pool]
    pool = chance.choices([one for one, _ in pools], [weight for _, weight in pools])[0]
    step = chance.choice(pool)
    heard.add(step[0])
    return step


def spoken(way: Any) -> tuple[str, ...]:
    said = []
    while way is not None:
        said.append(way[0])
        way = way[1]
    return tuple(reversed(said))
