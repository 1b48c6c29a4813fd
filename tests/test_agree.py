"""Raft voters in random histories and in virtual time. Deliberate bugs check that the histories would reveal
each of them.
"""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from pepperusher.consensus.raft import CANDIDATE, FOLLOWER, LEADER, RaftVoter, ElectionTimings
from pepperusher.consensus.messages import (
    Append,
    AppendReply,
    VoteRequest,
    LogSnapshot,
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
    """Loses its vote at a restart."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.persistent_state = PersistentState(self.persistent_state.term, "")


class VotesTwice(RaftVoter):
    """Grants a second vote in a term."""

    def _handle_vote_request(self, request: VoteRequest, now: int) -> None:
        if not request.pre_vote and request.term == self.persistent_state.term and self.role == FOLLOWER:
            self.persistent_state = PersistentState(self.persistent_state.term, "")
        super()._handle_vote_request(request, now)


class VotesForAnOlderLog(RaftVoter):
    """Grants its vote to a candidate whose log is older than its own."""

    def _handle_vote_request(self, request: VoteRequest, now: int) -> None:
        super()._handle_vote_request(request._replace(last_index=99, last_term=99), now)


class CountsItsVoteBeforeTheDisk(RaftVoter):
    """Counts its vote for itself before the vote is on disk."""

    def _start_election(self, now: int) -> None:
        super()._start_election(now)
        self._votes.add(self.me)

    def _send(self, to: str, message: Message) -> None:
        self.outgoing.append(
            OutgoingMessage(
                to, message, self._flushed if isinstance(message, VoteRequest | VoteReply) else self._number
            )
        )


class AnswersBeforeTheDisk(RaftVoter):
    """Sends messages before the writes that they depend on are on disk."""

    def _send(self, to: str, message: Message) -> None:
        self.outgoing.append(OutgoingMessage(to, message, 0))


class AppendsWithoutALook(RaftVoter):
    """Appends entries without a check of the term of the previous one."""

    def _handle_append(self, append: Append, now: int) -> None:
        if append.term >= self.persistent_state.term and append.prev_index <= self.last_index:
            append = append._replace(prev_term=self.term_at(append.prev_index) or 0)
        super()._handle_append(append, now)


class KeepsWhatConflicts(RaftVoter):
    """Keeps entries that conflict with the leader's."""

    def _handle_append(self, append: Append, now: int) -> None:
        new_entries = tuple(
            entry for offset, entry in enumerate(append.entries) if append.prev_index + 1 + offset > self.last_index
        )
        known_count = len(append.entries) - len(new_entries)
        super()._handle_append(append._replace(entries=()), now)
        if (
            append.term >= self.persistent_state.term
            and new_entries
            and append.prev_index + known_count == self.last_index
        ):
            self.entries += new_entries
            self._queue_write(start=self.last_index - len(new_entries) + 1, entries=new_entries)
            self._send(
                append.leader, AppendReply(self.persistent_state.term, self.me, True, self.last_index, append.round)
            )


class CountsBeyondWhatIsTheLeaders(RaftVoter):
    """Commits entries that the leader has not confirmed to be equal to its own."""

    def _handle_append(self, append: Append, now: int) -> None:
        super()._handle_append(append, now)
        if append.term == self.persistent_state.term:
            self.commit = max(self.commit, min(append.commit, self.last_index))


class TakesAnswersToAskingFirstForVotes(RaftVoter):
    """Counts pre-votes as votes."""

    def _handle_vote_reply(self, reply: VoteReply, now: int) -> None:
        super()._handle_vote_reply(reply, now)
        if reply.pre_vote and reply.granted and self.role == CANDIDATE:
            self._votes.add(reply.voter)
            self._count_votes(now)


class CountsHalf(RaftVoter):
    """Takes one of three voters for a majority."""

    def _is_majority(self, supporters: set[str]) -> bool:
        return 2 * len(supporters.intersection(self.voters)) >= len(self.voters) - 1


class TakesVotesOfAnOlderTerm(RaftVoter):
    """Counts votes that were granted in an older term."""

    def _handle_vote_reply(self, reply: VoteReply, now: int) -> None:
        super()._handle_vote_reply(
            reply._replace(term=self.persistent_state.term) if reply.granted and not reply.pre_vote else reply, now
        )


class HearsAnOlderLeader(RaftVoter):
    """Accepts entries from the leader of an older term."""

    def _handle_append(self, append: Append, now: int) -> None:
        super()._handle_append(append._replace(term=max(append.term, self.persistent_state.term)), now)


class LogLostOverARestart(RaftVoter):
    """Loses its log at a restart."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.entries = []
        self._durable_index = self.last_index


class TermForgotten(RaftVoter):
    """Loses its term at a restart."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.persistent_state = PersistentState(0, "")


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
        """A write of entries 11 and 12 is acknowledged after others have replaced them. The voter must not take the
        new entries to be on disk.
        """
        voter = RaftVoter(
            "b",
            ("a", "b", "c"),
            ElectionTimings(1, 0, 0),
            Random(1),
            0,
            0,
            PersistentState(1, ""),
            LogSnapshot(10, 0, ("a", "b", "c")),
        )
        voter.receive(Append(1, "a", 10, 0, (Entry(1), Entry(1)), 10, 1), 0)
        late_write = voter.writes[-1].number
        voter.receive(Append(2, "c", 10, 0, (Entry(2), Entry(2)), 10, 1), 0)
        voter.on_disk(late_write, 0)
        self.assertEqual(10, voter._durable_index)
        voter.on_disk(voter.writes[-1].number, 0)
        self.assertEqual(12, voter._durable_index)


class Histories(unittest.TestCase):
    def test_nothing_that_may_never_be(self) -> None:
        self.assertIsNone(explore(limits=Limits(states=6_000)).wrong)
        result = wander(limits=DEEP, walks=300, length=100)
        self.assertIsNone(result.wrong, result)

    def test_each_bug_is_found(self) -> None:
        for bug in BUGS:
            with self.subTest(bug.__name__):
                with_pre_votes = bug is TakesAnswersToAskingFirstForVotes
                # Bugs that lose state at a restart show in elections, which short histories reach soonest.
                limits, length = (SHORT, 25) if bug in (ForgetsItsVote, TermForgotten) else (DEEP, 100)
                found = wander(
                    bug, limits._replace(asks_first=with_pre_votes), walks=20_000 // length * 25, length=length
                )
                self.assertIsNotNone(found.wrong, f"{found.states} steps")


class Played(unittest.TestCase):
    """Three voters with their own clocks and a lossy network, in virtual time."""

    def play(self, seed: int, loss: float = 0.0) -> Cluster:
        return Cluster(seed, loss)

    def test_founded_led_and_followed(self) -> None:
        """Three voters with empty disks bootstrap a group and elect a leader. The leader is killed, and another one
        follows within a few times the longest election timeout; committed entries stay.
        """
        cluster = self.play(1, 0.1)
        self.assertTrue(
            cluster.run(20 * SECOND, lambda: cluster.leader() is not None and cluster.leader().has_committed_in_term)
        )
        first = cluster.leader()
        index = first.propose("one")
        self.assertTrue(
            cluster.run(5 * SECOND, lambda: all(voter.commit >= index for voter in cluster.running.values()))
        )
        del cluster.running[first.me.partition("#")[0]]
        self.assertTrue(
            cluster.run(20 * SECOND, lambda: cluster.leader() is not None and cluster.leader().has_committed_in_term)
        )
        second = cluster.leader()
        self.assertGreater(second.persistent_state.term, first.persistent_state.term)
        self.assertEqual(["one"], [entry.command for entry in second.between(0, second.commit) if entry.command])
        self.assertGreater(second.propose("two"), index)

    def test_a_voter_that_lost_its_disk_votes_for_nothing_until_it_was_taken_in_again(self) -> None:
        cluster = self.play(2)
        self.assertTrue(
            cluster.run(20 * SECOND, lambda: cluster.leader() is not None and cluster.leader().has_committed_in_term)
        )
        name = next(name for name, voter in cluster.running.items() if voter.role != LEADER)
        old = cluster.running[name].me
        new = cluster.start(name)
        self.assertNotIn(new.me, cluster.leader().voters)
        self.assertEqual((None, ""), (new.base, new.persistent_state.vote))
        self.assertTrue(
            cluster.run(
                20 * SECOND,
                lambda: all(
                    new.me in voter.voters and old not in voter.voters and len(voter.voters) == 3
                    for voter in cluster.running.values()
                ),
            )
        )

    def test_two_never_answer_at_once_while_links_break_and_clocks_drift(self) -> None:
        """Never do two voters hold a lease at once. Forty histories of partitions, restarts and stalls check this at
        every step, with clocks that run up to 2% fast or slow.
        """
        for seed in range(40):
            cluster = Cluster(seed, 0.1, max_delay=60 if seed % 2 else 8)
            cluster.break_at_random = True
            cluster.run(
                30 * SECOND,
                lambda: sum(voter.holds_lease(cluster.clock(name)) for name, voter in cluster.running.items()) > 1,
            )
            self.assertLessEqual(cluster.max_lease_holders, 1, f"seed {seed}")

    def test_two_would_if_a_lease_began_with_the_answer(self) -> None:
        """Shows that the test above can fail. If the lease began when a reply arrives instead of when the round was
        sent, two voters would hold a lease at once.
        """

        class FromTheAnswer(RaftVoter):
            def _advance_lease(self) -> None:
                heard = self._acked_round
                super()._advance_lease()
                if self._acked_round > heard and self.role == LEADER:
                    self._round_sent_at[self._acked_round] = self.now
                    self.lease_until = self.now + self.bounds.min_election_timeout

            def receive(self, message: Message, now: int) -> None:
                self.now = now
                super().receive(message, now)

        for seed in range(300):
            cluster = Cluster(seed, 0.02, FromTheAnswer, max_delay=60)
            cluster.break_at_random = True
            cluster.run(30 * SECOND, lambda: cluster.max_lease_holders > 1)
            if cluster.max_lease_holders > 1:
                return
        self.fail("two never answered at once")


class Cluster:
    """Three voters with disks that write a little late, a network that loses and delays messages, and drifting
    clocks.
    """

    NAMES = ("a", "b", "c")

    def __init__(self, seed: int, loss: float, voter_type: type[RaftVoter] = RaftVoter, max_delay: int = 8) -> None:
        self.chance, self.loss, self.voter_type = Random(seed), loss, voter_type
        # One direction may be fast and the other slow. A lease that begins with the reply is then too long.
        self.max_delays = {(a, b): self.chance.choice((3, max_delay)) for a in self.NAMES for b in self.NAMES}
        self.now = 1_700_000_000 * SECOND
        self.rates = {name: self.chance.uniform(0.98, 1.02) for name in self.NAMES}
        self.started_at = self.now
        self.running: dict[str, RaftVoter] = {}
        self.disks: dict[str, raft_model.Disk | None] = dict.fromkeys(self.NAMES)
        self.voter_ids: dict[str, str] = {}
        self.due: dict[str, int] = {}
        self.paused_until: dict[str, int] = {}  # by name; a paused voter does nothing until then
        self.in_flight: list[tuple[int, str, str, Message]] = []
        self.partitioned: set[str] = set()
        self.break_at_random = False
        self.max_lease_holders = 0
        for name in self.NAMES:
            self.start(name)

    def clock(self, name: str) -> int:
        return self.started_at + round((self.now - self.started_at) * self.rates[name])

    def start(self, name: str, disk: raft_model.Disk | None = None) -> RaftVoter:
        """Starts a voter with the given disk, or with an empty one and a new id."""
        if disk is None:
            self.voter_ids[name] = f"{name}#{self.chance.getrandbits(32):x}"
        stored = (disk.kept, disk.base, disk.entries) if disk is not None else ()
        voter = self.voter_type(
            self.voter_ids[name],
            self.NAMES,
            ElectionTimings(50_000, 300_000, 600_000),
            Random(self.chance.getrandbits(32)),
            self.clock(name),
            self.clock(name),
            *stored,
        )
        self.running[name], self.disks[name], self.due[name] = voter, disk, self.now
        return voter

    def leader(self) -> Any:
        return next(
            (voter for voter in self.running.values() if voter.role == LEADER and voter.has_committed_in_term), None
        )

    def run(self, duration: int, condition: Any) -> bool:
        end = self.now + duration
        while self.now < end:
            self.now += 5_000
            if self.break_at_random and self.chance.random() < 0.01:
                self.inject_fault()
            for name in list(self.running):
                if self.paused_until.get(name, 0) > self.now:
                    continue
                self.turn(name)
            lease_holders = sum(voter.holds_lease(self.clock(name)) for name, voter in self.running.items())
            self.max_lease_holders = max(self.max_lease_holders, lease_holders)
            if condition():
                return True
        return False

    def turn(self, name: str) -> None:
        voter = self.running[name]
        for delivery in [delivery for delivery in self.in_flight if delivery[2] == name and delivery[0] <= self.now]:
            self.in_flight.remove(delivery)
            # A message to an earlier id of this voter, with another disk token, is dropped.
            if delivery[1] in (name, voter.me):
                voter.receive(delivery[3], self.clock(name))
        voter.wake(self.clock(name))
        # The disk writes before messages are sent.
        if voter.writes:
            previous = self.disks[name] or raft_model.Disk(PersistentState(0, ""), LogSnapshot(0, 0, ()), ())
            self.disks[name] = raft_model.flushed(previous, voter)
            number = voter.writes[-1].number
            voter.writes = []
            voter.on_disk(number, self.clock(name))
        out, voter.outgoing = voter.outgoing, []
        for sent in out:
            recipient_name = sent.to.partition("#")[0]
            if self.chance.random() >= self.loss and not {name, recipient_name} & self.partitioned:
                delay = self.chance.randrange(1, self.max_delays.get((name, recipient_name), 8)) * 5_000
                self.in_flight.append((self.now + delay, sent.to, recipient_name, sent.message))

    def inject_fault(self) -> None:
        fault, name = self.chance.randrange(4), self.chance.choice(self.NAMES)
        if fault == 0:
            self.partitioned = {name}
        elif fault == 1:
            self.partitioned = set()
        elif fault == 2:
            self.paused_until[name] = self.now + self.chance.randrange(100, 1500) * 1_000
        elif self.disks[name] is not None and self.disks[name].base.voters:  # type: ignore[union-attr]
            self.start(name, self.disks[name])
