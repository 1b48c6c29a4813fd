"""Voters that agree: histories by chance and in virtual time, and bugs put in on purpose, each of which is
found.
"""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from pepperusher.consensus.raft import ASKS, FOLLOWS, LEADS, RaftVoter, Bounds
from pepperusher.consensus.messages import (
    Append,
    AppendReply,
    VoteRequest,
    Base,
    Entry,
    PersistentState,
    Message,
    OutgoingMessage,
    VoteReply,
)
from pepperusher.rehearsal import raft_model
from pepperusher.rehearsal.raft_model import Limits, explore, wander

SECOND = 1_000_000


class ForgetsItsVote(RaftVoter):
    """Over a restart."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.kept = PersistentState(self.kept.term, "")


class VotesTwice(RaftVoter):
    def _asked(self, ask: VoteRequest, now: int) -> None:
        if not ask.pre and ask.term == self.kept.term and self.role == FOLLOWS:
            self.kept = PersistentState(self.kept.term, "")
        super()._asked(ask, now)


class VotesForAnOlderLog(RaftVoter):
    def _asked(self, ask: VoteRequest, now: int) -> None:
        super()._asked(ask._replace(last=99, last_term=99), now)


class CountsItsVoteBeforeTheDisk(RaftVoter):
    def _ask(self, now: int) -> None:
        super()._ask(now)
        self._votes.add(self.me)

    def _send(self, to: str, message: Message) -> None:
        self.out.append(
            OutgoingMessage(
                to, message, self._flushed if isinstance(message, VoteRequest | VoteReply) else self._number
            )
        )


class AnswersBeforeTheDisk(RaftVoter):
    def _send(self, to: str, message: Message) -> None:
        self.out.append(OutgoingMessage(to, message, 0))


class AppendsWithoutALook(RaftVoter):
    """Whatever stands before."""

    def _append(self, append: Append, now: int) -> None:
        if append.term >= self.kept.term and append.before <= self.last:
            append = append._replace(before_term=self.term_at(append.before) or 0)
        super()._append(append, now)


class KeepsWhatConflicts(RaftVoter):
    def _append(self, append: Append, now: int) -> None:
        fresh = tuple(entry for place, entry in enumerate(append.entries) if append.before + 1 + place > self.last)
        has = len(append.entries) - len(fresh)
        super()._append(append._replace(entries=()), now)
        if append.term >= self.kept.term and fresh and append.before + has == self.last:
            self.entries += fresh
            self._write(start=self.last - len(fresh) + 1, entries=fresh)
            self._send(append.by, AppendReply(self.kept.term, self.me, True, self.last, append.round))


class CountsBeyondWhatIsTheLeaders(RaftVoter):
    def _append(self, append: Append, now: int) -> None:
        super()._append(append, now)
        if append.term == self.kept.term:
            self.commit = max(self.commit, min(append.commit, self.last))


class TakesAnswersToAskingFirstForVotes(RaftVoter):
    def _voted(self, voted: VoteReply, now: int) -> None:
        super()._voted(voted, now)
        if voted.pre and voted.yes and self.role == ASKS:
            self._votes.add(voted.by)
            self._count_votes(now)


class CountsHalf(RaftVoter):
    def _majority(self, those: set[str]) -> bool:
        return 2 * len(those.intersection(self.voters)) >= len(self.voters) - 1


class TakesVotesOfAnOlderTerm(RaftVoter):
    def _voted(self, voted: VoteReply, now: int) -> None:
        super()._voted(voted._replace(term=self.kept.term) if voted.yes and not voted.pre else voted, now)


class HearsAnOlderLeader(RaftVoter):
    def _append(self, append: Append, now: int) -> None:
        super()._append(append._replace(term=max(append.term, self.kept.term)), now)


class LogLostOverARestart(RaftVoter):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.entries = []
        self._on_disk = self.last


class TermForgotten(RaftVoter):
    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.kept = PersistentState(0, "")


SHORT = Limits(terms=2, entries=0, rounds=1, crashes=3)
DEEP = Limits(terms=4, entries=3, rounds=14, crashes=2)
BUGS: tuple[type[RaftVoter], ...] = (
    ForgetsItsVote,
    VotesTwice,
    VotesForAnOlderLog,
    CountsItsVoteBeforeTheDisk,
    AnswersBeforeTheDisk,
    AppendsWithoutALook,
    KeepsWhatConflicts,
    CountsBeyondWhatIsTheLeaders,
    TakesAnswersToAskingFirstForVotes,
    CountsHalf,
    TakesVotesOfAnOlderTerm,
    HearsAnOlderLeader,
    LogLostOverARestart,
    TermForgotten,
)


class Disks(unittest.TestCase):
    def test_a_late_write_tells_nothing_of_what_replaced_it(self) -> None:
        """A write of places 11 and 12 is acknowledged after others took their place: those are not on disk yet."""
        one = RaftVoter(
            "b", ("a", "b", "c"), Bounds(1, 0, 0), Random(1), 0, 0, PersistentState(1, ""), Base(10, 0, ("a", "b", "c"))
        )
        one.receive(Append(1, "a", 10, 0, (Entry(1), Entry(1)), 10, 1), 0)
        late = one.writes[-1].number
        one.receive(Append(2, "c", 10, 0, (Entry(2), Entry(2)), 10, 1), 0)
        one.on_disk(late, 0)
        self.assertEqual(10, one._on_disk)
        one.on_disk(one.writes[-1].number, 0)
        self.assertEqual(12, one._on_disk)


class Histories(unittest.TestCase):
    def test_nothing_that_may_never_be(self) -> None:
        self.assertIsNone(explore(limits=Limits(states=6_000)).wrong)
        found = wander(limits=DEEP, walks=300, length=100)
        self.assertIsNone(found.wrong, found)

    def test_each_bug_is_found(self) -> None:
        for bug in BUGS:
            with self.subTest(bug.__name__):
                first = bug is TakesAnswersToAskingFirstForVotes
                # What a restart forgets shows in elections, and in short histories soonest.
                limits, length = (SHORT, 25) if bug in (ForgetsItsVote, TermForgotten) else (DEEP, 100)
                found = wander(bug, limits._replace(asks_first=first), walks=20_000 // length * 25, length=length)
                self.assertIsNotNone(found.wrong, f"{found.states} steps")


class Played(unittest.TestCase):
    """Three with clocks and a network that loses, in virtual time."""

    def play(self, seed: int, lose: float = 0.0) -> Cluster:
        return Cluster(seed, lose)

    def test_founded_led_and_followed(self) -> None:
        """All have nothing; one leads, is killed, another leads within a few times the longest wait; what
        counted stays.
        """
        cluster = self.play(1, 0.1)
        self.assertTrue(cluster.run(20 * SECOND, lambda: cluster.leader() is not None and cluster.leader().settled))
        first = cluster.leader()
        at = first.propose("one")
        self.assertTrue(cluster.run(5 * SECOND, lambda: all(one.commit >= at for one in cluster.up.values())))
        del cluster.up[first.me.partition("#")[0]]
        self.assertTrue(cluster.run(20 * SECOND, lambda: cluster.leader() is not None and cluster.leader().settled))
        second = cluster.leader()
        self.assertGreater(second.kept.term, first.kept.term)
        self.assertEqual(["one"], [one.what for one in second.between(0, second.commit) if one.what])
        self.assertGreater(second.propose("two"), at)

    def test_a_voter_that_lost_its_disk_votes_for_nothing_until_it_was_taken_in_again(self) -> None:
        cluster = self.play(2)
        self.assertTrue(cluster.run(20 * SECOND, lambda: cluster.leader() is not None and cluster.leader().settled))
        name = next(name for name, one in cluster.up.items() if one.role != LEADS)
        old = cluster.up[name].me
        new = cluster.start(name)
        self.assertNotIn(new.me, cluster.leader().voters)
        self.assertEqual((None, ""), (new.base, new.kept.vote))
        self.assertTrue(
            cluster.run(
                20 * SECOND,
                lambda: all(
                    new.me in one.voters and old not in one.voters and len(one.voters) == 3
                    for one in cluster.up.values()
                ),
            )
        )

    def test_two_never_answer_at_once_while_links_break_and_clocks_drift(self) -> None:
        """By their leases, at every step of forty histories of cuts, kills and stops, with clocks 2% apart
        either way.
        """
        for seed in range(40):
            cluster = Cluster(seed, 0.1, late=60 if seed % 2 else 8)
            cluster.break_at_random = True
            cluster.run(
                30 * SECOND,
                lambda: sum(one.may_answer(cluster.clock(name)) for name, one in cluster.up.items()) > 1,
            )
            self.assertLessEqual(cluster.most_at_once, 1, f"seed {seed}")

    def test_two_would_if_a_lease_began_with_the_answer(self) -> None:
        """For the majority too by which a leader stays one."""

        class FromTheAnswer(RaftVoter):
            def _count_rounds(self) -> None:
                heard = self._heard_round
                super()._count_rounds()
                if self._heard_round > heard and self.role == LEADS:
                    self._sent_at[self._heard_round] = self.now
                    self.lease_until = self.now + self.bounds.least

            def receive(self, message: Message, now: int) -> None:
                self.now = now
                super().receive(message, now)

        for seed in range(300):
            cluster = Cluster(seed, 0.02, FromTheAnswer, late=60)
            cluster.break_at_random = True
            cluster.run(30 * SECOND, lambda: cluster.most_at_once > 1)
            if cluster.most_at_once > 1:
                return
        self.fail("two never answered at once")


class Cluster:
    """Three voters with disks that write a little late, links that lose and are late, and clocks that run
    apart.
    """

    NAMES = ("a", "b", "c")

    def __init__(self, seed: int, lose: float, make: type[RaftVoter] = RaftVoter, late: int = 8) -> None:
        self.chance, self.lose, self.make = Random(seed), lose, make
        # One way may be quick and the way back slow: a lease that begins with the answer is then too long.
        self.ways = {(a, b): self.chance.choice((3, late)) for a in self.NAMES for b in self.NAMES}
        self.now = 1_700_000_000 * SECOND
        self.rates = {name: self.chance.uniform(0.98, 1.02) for name in self.NAMES}
        self.began = self.now
        self.up: dict[str, RaftVoter] = {}
        self.disks: dict[str, raft_model.Disk | None] = dict.fromkeys(self.NAMES)
        self.ids: dict[str, str] = {}
        self.due: dict[str, int] = {}
        self.still: dict[str, int] = {}  # who stands still, and until when
        self.flying: list[tuple[int, str, str, Message]] = []
        self.cut: set[str] = set()
        self.break_at_random = False
        self.most_at_once = 0
        for name in self.NAMES:
            self.start(name)

    def clock(self, name: str) -> int:
        return self.began + round((self.now - self.began) * self.rates[name])

    def start(self, name: str, disk: raft_model.Disk | None = None) -> RaftVoter:
        """With a disk as it was, or with none."""
        if disk is None:
            self.ids[name] = f"{name}#{self.chance.getrandbits(32):x}"
        given = (disk.kept, disk.base, disk.entries) if disk is not None else ()
        made = self.make(
            self.ids[name],
            self.NAMES,
            Bounds(50_000, 300_000, 600_000),
            Random(self.chance.getrandbits(32)),
            self.clock(name),
            self.clock(name),
            *given,
        )
        self.up[name], self.disks[name], self.due[name] = made, disk, self.now
        return made

    def leader(self) -> Any:
        return next((one for one in self.up.values() if one.role == LEADS and one.settled), None)

    def run(self, span: int, until: Any) -> bool:
        end = self.now + span
        while self.now < end:
            self.now += 5_000
            if self.break_at_random and self.chance.random() < 0.01:
                self.harm()
            for name in list(self.up):
                if self.still.get(name, 0) > self.now:
                    continue
                self.turn(name)
            answering = sum(one.may_answer(self.clock(name)) for name, one in self.up.items())
            self.most_at_once = max(self.most_at_once, answering)
            if until():
                return True
        return False

    def turn(self, name: str) -> None:
        one = self.up[name]
        for flight in [flight for flight in self.flying if flight[2] == name and flight[0] <= self.now]:
            self.flying.remove(flight)
            # What was for one that stood here under another token is not for this one.
            if flight[1] in (name, one.me):
                one.receive(flight[3], self.clock(name))
        one.wake(self.clock(name))
        # Written before it is said.
        if one.writes:
            before = self.disks[name] or raft_model.Disk(PersistentState(0, ""), Base(0, 0, ()), ())
            self.disks[name] = raft_model.flushed(before, one)
            number = one.writes[-1].number
            one.writes = []
            one.on_disk(number, self.clock(name))
        out, one.out = one.out, []
        for sent in out:
            to = sent.to.partition("#")[0]
            if self.chance.random() >= self.lose and not {name, to} & self.cut:
                late = self.chance.randrange(1, self.ways.get((name, to), 8)) * 5_000
                self.flying.append((self.now + late, sent.to, to, sent.message))

    def harm(self) -> None:
        what, name = self.chance.randrange(4), self.chance.choice(self.NAMES)
        if what == 0:
            self.cut = {name}
        elif what == 1:
            self.cut = set()
        elif what == 2:
            self.still[name] = self.now + self.chance.randrange(100, 1500) * 1_000
        elif self.disks[name] is not None and self.disks[name].base.voters:  # type: ignore[union-attr]
            self.start(name, self.disks[name])
