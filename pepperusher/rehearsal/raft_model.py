"""Model checker for the Raft voters: an exhaustive search of short histories and random walks through long ones.

The voters are those of the program (`consensus/raft.py`). The network keeps every sent message and may deliver any of
them at any time, repeatedly or never; that covers loss, duplication, delay and reordering. A crash happens before
the writes of a step are on disk and drops the messages that wait for those writes; a restarted voter has only the
contents of its disk. The model has no time: any voter may start an election and any leader may send at any moment.
Leases depend on time and are not checked here.
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
    """Limits of a search: terms, proposed entries, append rounds of leaders, crashes and visited states. With
    `asks_first` it includes pre-vote requests.
    """

    terms: int = 2
    entries: int = 1
    rounds: int = 3
    crashes: int = 1
    states: int = 60_000
    asks_first: bool = False


class Violation(NamedTuple):
    """A violated invariant and the steps that lead to it."""

    what: str
    steps: tuple[str, ...]


class SearchResult(NamedTuple):
    """The number of visited states, whether the search covered all states, and the violation if there was one."""

    states: int
    whole: bool
    wrong: Violation | None


class Disk(NamedTuple):
    """The persistent state of a voter."""

    kept: PersistentState
    base: LogSnapshot
    entries: tuple[Entry, ...]


class World:
    """One state of the model: voters, disks, every sent message, and all leaders and committed entries so far."""

    __slots__ = ("voters", "disks", "sent", "leaders", "committed", "proposed", "rounds", "crashes")

    def __init__(self, make: type[RaftVoter]) -> None:
        base = LogSnapshot(10, 0, NAMES)
        self.disks = {name: Disk(PersistentState(0, ""), base, ()) for name in NAMES}
        self.voters = {name: start_voter(make, name, self.disks[name]) for name in NAMES}
        # A dict keeps the order of sending. The order of a set differs between runs, so a seed would not reproduce
        # a walk.
        self.sent: dict[tuple[str, Message], None] = {}
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.proposed = self.rounds = self.crashes = 0

    def copy(self, changed_voter: str) -> World:
        copy: World = object.__new__(World)
        copy.voters = {**self.voters, changed_voter: clone_voter(self.voters[changed_voter])}
        copy.disks = dict(self.disks)
        copy.sent, copy.leaders, copy.committed = dict(self.sent), dict(self.leaders), dict(self.committed)
        copy.proposed, copy.rounds, copy.crashes = self.proposed, self.rounds, self.crashes
        return copy

    def state_key(self) -> Any:
        return (
            tuple(map(voter_state, self.voters.values())),
            tuple(self.disks.values()),
            frozenset(self.sent),
            tuple(sorted(self.leaders.items())),
            tuple(sorted(self.committed.items())),
            self.proposed,
            self.rounds,
            self.crashes,
        )


def start_voter(make: type[RaftVoter], name: str, disk: Disk) -> RaftVoter:
    voter = make(name, NAMES, ElectionTimings(1, 0, 0), Random(1), 0, 0, disk.kept, disk.base, disk.entries)
    voter._random = None  # type: ignore[assignment]
    return voter


def clone_voter(voter: RaftVoter) -> RaftVoter:
    clone = object.__new__(type(voter))
    clone.__dict__.update(voter.__dict__)
    for name, value in voter.__dict__.items():
        if isinstance(value, list | set | dict) and name != "_progress":
            clone.__dict__[name] = value.copy()
    clone._progress = {}
    for name, progress in voter._progress.items():
        progress_copy = Progress(progress.next)
        progress_copy.match, progress_copy.round = progress.match, progress.round
        clone._progress[name] = progress_copy
    return clone


def voter_state(voter: RaftVoter) -> Any:
    progress = tuple(sorted((name, peer.next, peer.match, peer.round) for name, peer in voter._progress.items()))
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
    """The disk after all pending writes of the voter."""
    persistent_state, base, entries = disk
    for write in voter.writes:
        persistent_state = write.kept or persistent_state
        if write.base is not None:
            base = write.base
            entries = write.entries if write.start else entries
        if write.start and write.base is None:
            entries = (*entries[: write.start - base.index - 1], *write.entries)
    return Disk(persistent_state, base, entries)


def steps(world: World, limits: Limits) -> Iterator[tuple[str, str, Callable[[RaftVoter], Any], dict[str, int]]]:
    """The possible next steps: description, name of the voter, action, and the counters that the step increments."""
    for name, voter in world.voters.items():
        if voter.role != LEADER and voter.persistent_state.term < limits.terms:
            # The vote request also comes without a pre-vote: pre-votes only prevent elections, so leaving them out
            # allows more histories.
            yield f"{name} asks for votes", name, lambda target: target._start_election(0), {}
            if limits.asks_first:
                yield f"{name} asks for pre-votes", name, lambda target: target._start_pre_vote(0), {}
        if voter.role == LEADER:
            if world.proposed < limits.entries:
                entry = f"x{world.proposed}"
                yield (
                    f"{name} proposes {entry}",
                    name,
                    lambda target, entry=entry: target.propose(entry),
                    {"proposed": 1},
                )
            if world.rounds < limits.rounds:
                yield f"{name} sends entries", name, lambda target: target._send_heartbeats(0), {"rounds": 1}
    for to, message in world.sent:
        yield f"{to} receives {message}", to, lambda target, message=message: target.receive(message, 0), {}


def apply_step(
    world: World,
    name: str,
    action: Callable[[RaftVoter], Any],
    counts: dict[str, int],
    make: type[RaftVoter],
    crash: bool,
    lag: bool = False,
) -> World:
    """The state after a step. With `lag` its writes stay pending, and so do the messages that wait for them."""
    result = world.copy(name)
    for count, increment in counts.items():
        setattr(result, count, getattr(result, count) + increment)
    voter = result.voters[name]
    action(voter)
    while True:
        if crash:
            # Messages that wait for a pending write are lost; messages that do not wait have already been sent.
            result.sent |= {
                (message.to, message.message): None for message in voter.outgoing if message.after <= voter._flushed
            }
            result.crashes += 1
            result.voters[name] = start_voter(make, name, result.disks[name])
            return result
        if lag:
            result.sent |= {
                (message.to, message.message): None for message in voter.outgoing if message.after <= voter._flushed
            }
            voter.outgoing = [message for message in voter.outgoing if message.after > voter._flushed]
            return result
        result.disks[name] = flushed(result.disks[name], voter)
        out, voter.outgoing, voter.writes = voter.outgoing, [], []
        result.sent |= {(message.to, message.message): None for message in out}
        if voter._number == voter._flushed:
            break
        voter.on_disk(voter._number, 0)
    return result


def check_invariants(world: World) -> str | None:
    """Checks the invariants: at most one leader in a term, at most one committed entry at an index, and a commit index
    within the voter's log. Returns a description of the violation, or None.
    """
    for name, voter in world.voters.items():
        if voter.role == LEADER:
            other = world.leaders.setdefault(voter.persistent_state.term, name)
            if other != name:
                return f"{other} and {name} are both leaders in term {voter.persistent_state.term}"
        assert voter.base is not None
        if voter.commit > voter.last_index:
            return f"{name} has a commit index beyond its log"
        for index, entry in enumerate(voter.between(voter.base.index + 1, voter.commit), voter.base.index + 1):
            committed = world.committed.setdefault(index, entry)
            if committed != entry:
                return f"{committed} was committed at index {index}, but {name} commits {entry}"
    return None


def explore(make: type[RaftVoter] = RaftVoter, limits: Limits = Limits()) -> SearchResult:
    """Searches all states breadth-first, so a violation is reported with the fewest steps."""
    start = World(make)
    seen = {hash(start.state_key())}
    waiting: deque[tuple[World, tuple[Any, ...] | None]] = deque([(start, None)])
    while waiting:
        world, path = waiting.popleft()
        for description, name, action, counts in steps(world, limits):
            for crash in (False, True) if world.crashes < limits.crashes else (False,):
                step_text = f"{description}, and crashes before the write is on disk" if crash else description
                try:
                    next_world = apply_step(world, name, action, counts, make, crash)
                    violation = check_invariants(next_world)
                except AssertionError as error:
                    violation, next_world = str(error) or "assertion failed", None
                if violation is not None:
                    return SearchResult(len(seen), False, Violation(violation, step_list((step_text, path))))
                assert next_world is not None
                key = hash(next_world.state_key())
                if key in seen:
                    continue
                if len(seen) >= limits.states:
                    return SearchResult(len(seen), False, None)
                seen.add(key)
                waiting.append((next_world, (step_text, path)))
    return SearchResult(len(seen), True, None)


def wander(
    make: type[RaftVoter] = RaftVoter, limits: Limits = Limits(), seed: int = 1, walks: int = 200, length: int = 120
) -> SearchResult:
    """Takes random walks, to find violations deeper than the exhaustive search can reach."""
    random = Random(seed)
    count = 0
    for _ in range(walks):
        world, path = World(make), None
        seen: set[str] = set()
        slow_voter = random.choice(("", *NAMES))  # the voter whose disk writes stay pending in most steps of this walk
        for _ in range(length):
            description, name, action, counts = draw_step(world, limits, seen, random)
            crash = world.crashes < limits.crashes and random.random() < 0.1
            lag = not crash and random.random() < (0.85 if name == slow_voter else 0.05)
            path = (description + (", and crashes" if crash else ", its disk writes stay pending" if lag else ""), path)
            count += 1
            try:
                world = apply_step(world, name, action, counts, make, crash, lag)
                violation = check_invariants(world)
            except AssertionError as error:
                violation = str(error) or "assertion failed"
            if violation is not None:
                return SearchResult(count, False, Violation(violation, step_list(path)))
    return SearchResult(count, False, None)


def draw_step(world: World, limits: Limits, seen: set[str], random: Random) -> Any:
    """Draws a random step: mostly a message not yet delivered, sometimes a repeated message, and rarely an election,
    since otherwise no leader would last long enough to reveal a fault.
    """
    local, undelivered, repeated = [], [], []
    for step in steps(world, limits):
        (local if step[1] + " receives" not in step[0] else repeated if step[0] in seen else undelivered).append(step)
    elections = [step for step in local if "asks" in step[0]]
    leader_actions = [step for step in local if "asks" not in step[0]]
    pools = [(undelivered, 0.62), (leader_actions, 0.26), (elections, 0.06), (repeated, 0.06)]
    pools = [(pool, weight) for pool, weight in pools if pool]
    pool = random.choices([step_pool for step_pool, _ in pools], [weight for _, weight in pools])[0]
    step = random.choice(pool)
    seen.add(step[0])
    return step


def step_list(path: Any) -> tuple[str, ...]:
    descriptions = []
    while path is not None:
        descriptions.append(path[0])
        path = path[1]
    return tuple(reversed(descriptions))
