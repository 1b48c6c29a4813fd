"""One voter of a Raft group. It does no I/O.

The caller passes in the time, the received messages and the acknowledgements of writes (`on_disk`). Messages
to send are collected in `out`, and writes to be done in `writes`.

From Raft (Ongaro and Ousterhout 2014, Ongaro's thesis 2014): terms, votes, the log and its commit rule,
snapshots, and membership changes of one voter at a time, only after an entry of the leader's own term is
committed. From the thesis also pre-votes, a leader that steps down without a majority, and voters that refuse
their vote while they hear a leader; the last one gives the leader its lease. Reads by a heartbeat round of
their own and joint consensus are left out.

Two things differ from Raft. The id of a voter includes a token of its disk, so that a voter that lost its disk
and with it its votes cannot vote under its old id. It announces that its disk is empty, and the leader removes
the old id and adds the new one. The group is bootstrapped by the first configured voter alone, once all
configured voters have announced empty disks. Log indexes begin at the latest start time of these voters, in
Unix microseconds, so that numbers taken from them also rise when a group is bootstrapped anew.
"""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from pepperusher.consensus.messages import (
    Append,
    AppendReply,
    VoteRequest,
    LogSnapshot,
    Entry,
    Hello,
    Install,
    PersistentState,
    Message,
    OutgoingMessage,
    VoteReply,
    Write,
    name_of,
)

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follows", "asks whether to ask", "asks for votes", "leads"
MAX_ENTRIES_PER_MESSAGE = 64
# How much faster one voter's clock may run than another's. Beyond this, two leases may overlap; terms and log
# indexes stay correct.
MAX_CLOCK_DRIFT_PERMILLE = 50


class ElectionTimings(NamedTuple):
    """Times in microseconds: the interval of the leader's heartbeats, and the range from which a voter draws its
    random election timeout.
    """

    heartbeat: int
    min_election_timeout: int
    max_election_timeout: int


class Progress:
    """The leader's view of another voter's log: the next index to send, the highest index known to match, and
    the last heartbeat round that it replied to.
    """

    __slots__ = ("next", "match", "round")

    def __init__(self, next: int) -> None:
        self.next = next
        self.match = 0
        self.round = 0


class RaftVoter:
    """`configured_names` are the names of all voters in this voter's configuration. `kept`, `base` and `entries`
    are the state read from disk; the first two are None if the disk is empty.
    """

    def __init__(
        self,
        me: str,
        configured_names: tuple[str, ...],
        bounds: ElectionTimings,
        rng: Random,
        now: int,
        started_at: int,
        kept: PersistentState | None = None,
        base: LogSnapshot | None = None,
        entries: tuple[Entry, ...] = (),
    ) -> None:
        self.me = me
        self.configured_names = tuple(sorted(configured_names))
        self.bounds = bounds
        self.role = FOLLOWER
        self.leader = ""
        self.persistent_state = kept or PersistentState(0, "")
        self.base = base
        self.entries = list(entries)
        self.commit = base.index if base is not None else 0
        self.outgoing: list[OutgoingMessage] = []
        self.writes: list[Write] = []
        self.lease_until = 0  # by this voter's clock; only valid while it leads
        self._random = rng
        self._started_at = started_at
        self._number = 0  # of the last write that was queued
        self._flushed = 0  # number of the last write on disk
        self._write_ends: list[tuple[int, int]] = []  # of each pending write: its number, and the last index after it
        self._durable_index = self.last_index  # the last log index on disk
        # A leader may hold a lease because of a reply that this voter sent before its restart, so it grants no
        # vote until that lease is over.
        self._leader_heard_at = now
        self._election_at = 0
        self._heartbeat_at = now
        self._hello_at = now
        self._votes: set[str] = set()
        self._vote_write = 0  # number of the write with its vote for itself
        self._round = 0
        self._round_sent_at: dict[int, int] = {}  # of rounds since the last that a majority has replied to
        self._acked_round = 0  # the last heartbeat round that a majority has replied to
        self._progress: dict[str, Progress] = {}  # of voters and ids to be added; cleared when it stops leading
        # Voters that announced an empty disk: when each started, and when it last announced so.
        self._blank_voters: dict[str, tuple[int, int]] = {}
        self._reset_election_timer(now)

    # --- the log --------------------------------------------------------------------------------------

    @property
    def last_index(self) -> int:
        """The index of the last log entry."""
        return (self.base.index if self.base is not None else 0) + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index. None if the log ends before it or the snapshot has replaced it."""
        if self.base is None:
            return 0 if index == 0 else None
        if index == self.base.index:
            return self.base.term
        offset = index - self.base.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def _latest_voters(self) -> tuple[tuple[str, ...], int]:
        """The voters by the latest log entry that sets them, committed or not, and the index of that entry."""
        for offset in range(len(self.entries) - 1, -1, -1):
            if (voters := self.entries[offset].voters) is not None:
                assert self.base is not None
                return voters, self.base.index + offset + 1
        return (self.base.voters, self.base.index) if self.base is not None else ((), 0)

    @property
    def voters(self) -> tuple[str, ...]:
        return self._latest_voters()[0]

    def _is_majority(self, supporters: set[str]) -> bool:
        voters = self.voters
        return 2 * len(supporters.intersection(voters)) > len(voters)

    def between(self, start: int, end: int) -> list[Entry]:
        """The entries from index `start` to `end`, both included, as far as they are still in the log."""
        if self.base is None:
            return []
        return self.entries[max(0, start - self.base.index - 1) : max(0, end - self.base.index)]

    # --- writing and sending --------------------------------------------------------------------------

    def _queue_write(
        self,
        kept: PersistentState | None = None,
        base: LogSnapshot | None = None,
        start: int = 0,
        entries: tuple[Entry, ...] = (),
    ) -> int:
        """Queues a write to disk and returns its number."""
        self._number += 1
        self.writes.append(Write(self._number, kept, base, start, entries))
        self._write_ends.append((self._number, self.last_index))
        return self._number

    def _truncate_durable(self, last: int) -> None:
        """Notes that the entries after index `last` were replaced: pending writes no longer prove that what is
        there is on disk.
        """
        self._durable_index = min(self._durable_index, last)
        self._write_ends = [(number, min(end, last)) for number, end in self._write_ends]

    def _persist_state(self, term: int, vote: str) -> int:
        self.persistent_state = PersistentState(term, vote)
        return self._queue_write(self.persistent_state)

    def _send(self, to: str, message: Message) -> None:
        """Queues a message until all earlier writes are on disk, so that a crash cannot undo what it tells."""
        self.outgoing.append(OutgoingMessage(to, message, self._number))

    def on_disk(self, number: int, now: int) -> None:
        """Acknowledges that all writes up to this number are on disk."""
        self._flushed = max(self._flushed, number)
        while self._write_ends and self._write_ends[0][0] <= number:
            self._durable_index = self._write_ends.pop(0)[1]
        if self.role == CANDIDATE and number >= self._vote_write:
            self._votes.add(self.me)
            self._count_votes(now)
        if self.role == LEADER:
            self._advance_commit()

    # --- time -------------------------------------------------------------------------------------------

    def _reset_election_timer(self, now: int) -> None:
        span = self.bounds.max_election_timeout - self.bounds.min_election_timeout
        self._election_at = now + self.bounds.min_election_timeout + (self._random.randrange(span) if span else 0)

    def wake(self, now: int) -> int:
        """Does what is due and returns the time of the next wake-up."""
        if self.base is None:
            return self._bootstrap(now)
        if self.role == LEADER:
            if now - self._round_sent_at.get(self._acked_round, now) > self.bounds.min_election_timeout:
                # A leader that no majority replies to cannot commit anything, and a new leader may exist that it
                # has not heard of, so it steps down.
                self._become_follower(now, "")
            elif now >= self._heartbeat_at:
                self._send_heartbeats(now)
        elif self.me in self.voters and now >= self._election_at:
            self._start_pre_vote(now)
        if self.role == LEADER:
            return min(
                self._heartbeat_at,
                self._round_sent_at.get(self._acked_round, now) + self.bounds.min_election_timeout + 1,
            )
        return max(now + 1, self._election_at)

    def _bootstrap(self, now: int) -> int:
        """Announces the empty disk to all configured voters. Once all of them have announced theirs, the first
        configured voter bootstraps the group.
        """
        if now >= self._hello_at:
            self._hello_at = now + self.bounds.heartbeat
            for name in self.configured_names:
                if name != name_of(self.me):
                    self._send(name, Hello(self.me, self._started_at))
        blank = {
            voter: started_at
            for voter, (started_at, seen_at) in self._blank_voters.items()
            if now - seen_at <= 3 * self.bounds.heartbeat
        }
        voter_by_name = {name_of(voter): voter for voter in blank}
        other_names = [name for name in self.configured_names if name != name_of(self.me)]
        if (
            self.configured_names
            and self.configured_names[0] == name_of(self.me)
            and len(blank) == len(other_names)
            and set(voter_by_name) == set(other_names)
        ):
            self.base = LogSnapshot(max([self._started_at, *blank.values()]), 0, tuple(sorted([self.me, *blank])))
            self.commit = self._durable_index = self.base.index
            self._queue_write(self.persistent_state, self.base)
            for voter in blank:
                self._send(voter, Install(0, self.me, self.base, 0))
            self._reset_election_timer(now)
        return self._hello_at

    # --- elections --------------------------------------------------------------------------------------

    def _start_pre_vote(self, now: int) -> None:
        """Starts a pre-vote. Without it, a voter that was partitioned would return with a higher term and depose a
        working leader.
        """
        self.role, self.leader = PRE_CANDIDATE, ""
        self._votes = {self.me}
        self._reset_election_timer(now)
        self._request_votes(self.persistent_state.term + 1, True)
        self._count_votes(now)

    def _start_election(self, now: int) -> None:
        """Starts an election in a new term, with a vote for itself once that is on disk."""
        self.role = CANDIDATE
        self._votes = set()
        self._reset_election_timer(now)
        self._vote_write = self._persist_state(self.persistent_state.term + 1, self.me)
        self._request_votes(self.persistent_state.term, False)

    def _request_votes(self, term: int, pre: bool) -> None:
        last_term = self.term_at(self.last_index)
        assert last_term is not None
        for voter in self.voters:
            if voter != self.me:
                self._send(voter, VoteRequest(term, self.me, pre, self.last_index, last_term))

    def _count_votes(self, now: int) -> None:
        if not self._is_majority(self._votes):
            return
        if self.role == PRE_CANDIDATE:
            self._start_election(now)
        elif self.role == CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        """Takes over leadership and starts the first heartbeat round."""
        self.role, self.leader = LEADER, self.me
        self.lease_until = 0
        self._progress = {}
        self._round_sent_at = {}
        self._acked_round = self._round
        self._round_sent_at[self._round] = now
        # A leader learns what is committed only by committing an entry of its own term.
        self._append_entry(Entry(self.persistent_state.term))
        self._send_heartbeats(now)

    def _become_follower(self, now: int, leader: str) -> None:
        self.role, self.leader = FOLLOWER, leader
        self.lease_until = 0
        self._progress.clear()
        self._round_sent_at.clear()
        self._reset_election_timer(now)

    def _adopt_later_term(self, term: int, now: int) -> None:
        """Becomes a follower without a leader if the term is later than its own."""
        if term > self.persistent_state.term:
            self._persist_state(term, "")
            self._become_follower(now, "")

    # --- the leader ---------------------------------------------------------------------------------------

    def _append_entry(self, entry: Entry) -> int:
        self.entries.append(entry)
        self._queue_write(start=self.last_index, entries=(entry,))
        return self.last_index

    def propose(self, command: Any) -> int | None:
        """Appends a command and returns its log index; it is not committed yet. None if this voter does not lead."""
        return self._append_entry(Entry(self.persistent_state.term, None, command)) if self.role == LEADER else None

    @property
    def has_committed_in_term(self) -> bool:
        """Whether it leads and has committed an entry of its own term. Before that, it may not know of all
        committed entries.
        """
        return self.role == LEADER and self.term_at(self.commit) == self.persistent_state.term

    def holds_lease(self, now: int) -> bool:
        """Whether no other voter can lead now, provided that clocks drift by at most MAX_CLOCK_DRIFT_PERMILLE."""
        return self.has_committed_in_term and now < self.lease_until

    def change_voters(self, voters: tuple[str, ...]) -> bool:
        """Appends a change of the voters, which adds or removes exactly one. False if this voter may not do so now,
        for instance because the last change is not committed yet.
        """
        current, index = self._latest_voters()
        if not self.has_committed_in_term or index > self.commit or len(set(current) ^ set(voters)) != 1:
            return False
        self._append_entry(Entry(self.persistent_state.term, tuple(sorted(voters))))
        return True

    def _replace_blank_voters(self, now: int) -> None:
        """Replaces the old id of a configured voter that announced an empty disk: removes the old id, brings the
        new one up to date, then adds it to the voters.
        """
        for blank_voter, (_, seen_at) in list(self._blank_voters.items()):
            if now - seen_at > 100 * self.bounds.heartbeat:
                del self._blank_voters[blank_voter]
                continue
            if blank_voter in self.voters or name_of(blank_voter) not in self.configured_names:
                continue
            replaced = [voter for voter in self.voters if name_of(voter) == name_of(blank_voter)]
            if replaced:
                self.change_voters(tuple(voter for voter in self.voters if voter not in replaced))
                continue
            progress = self._progress.get(blank_voter)
            if progress is None:
                self._progress[blank_voter] = Progress(self.last_index + 1)
            elif progress.match >= self.commit:
                self.change_voters((*self.voters, blank_voter))
        for obsolete in [name for name in self._progress if name not in self.voters and name not in self._blank_voters]:
            del self._progress[obsolete]

    def _send_heartbeats(self, now: int) -> None:
        """Starts a new heartbeat round: sends every other voter the entries that it does not have yet."""
        self._heartbeat_at = now + self.bounds.heartbeat
        self._round += 1
        self._round_sent_at[self._round] = now
        self._replace_blank_voters(now)
        for peer in sorted({*self.voters, *self._progress} - {self.me}):
            self._replicate_to(peer)
        self._advance_lease()  # a sole voter gets no replies that would do it

    def _replicate_to(self, peer: str) -> None:
        """Sends a voter the entries that it lacks, or the snapshot if these are no longer in the log."""
        assert self.base is not None
        progress = self._progress.setdefault(peer, Progress(self.last_index + 1))
        prev_index = progress.next - 1
        prev_term = self.term_at(prev_index)
        if prev_index < self.base.index or prev_term is None:
            self._send(peer, Install(self.persistent_state.term, self.me, self.base, self._round))
            progress.next = self.base.index + 1
            return
        entries = tuple(self.between(progress.next, min(self.last_index, prev_index + MAX_ENTRIES_PER_MESSAGE)))
        self._send(
            peer, Append(self.persistent_state.term, self.me, prev_index, prev_term, entries, self.commit, self._round)
        )

    def _advance_commit(self) -> None:
        """Commits the highest index that a majority has on disk, provided that its entry is of this term."""
        voters = self.voters
        match_indexes = sorted(
            (
                (
                    self._durable_index
                    if voter == self.me
                    else self._progress[voter].match
                    if voter in self._progress
                    else 0
                )
                for voter in voters
            ),
            reverse=True,
        )
        index = match_indexes[len(voters) // 2]
        if index > self.commit and self.term_at(index) == self.persistent_state.term:
            self.commit = index
            if self.me not in voters and self._latest_voters()[1] <= self.commit:
                self._become_follower(self._heartbeat_at, "")

    def _advance_lease(self) -> None:
        """Extends the lease by the latest heartbeat round that a majority has replied to."""
        voters = self.voters
        acked_rounds = sorted(
            (
                (self._round if voter == self.me else self._progress[voter].round if voter in self._progress else 0)
                for voter in voters
            ),
            reverse=True,
        )
        majority_round = acked_rounds[len(voters) // 2]
        if majority_round > self._acked_round and majority_round in self._round_sent_at:
            self._acked_round = majority_round
            # The lease counts from when the round was sent, not from the replies: the voters' own waits began
            # at that time or later.
            self.lease_until = (
                self._round_sent_at[majority_round]
                + self.bounds.min_election_timeout * (1000 - MAX_CLOCK_DRIFT_PERMILLE) // 1000
            )
            for old_round in [sent_round for sent_round in self._round_sent_at if sent_round < majority_round]:
                del self._round_sent_at[old_round]

    def compact(self, index: int, state: Any) -> None:
        """Replaces all entries up to a committed index by a snapshot of the state."""
        assert self.base is not None and self.base.index <= index <= self.commit
        term = self.term_at(index)
        assert term is not None
        voters = self.base.voters
        for entry in self.between(self.base.index + 1, index):
            voters = entry.voters or voters
        remaining = self.between(index + 1, self.last_index)
        self.base, self.entries = LogSnapshot(index, term, voters, state), remaining
        self._queue_write(base=self.base, start=index + 1, entries=tuple(remaining))

    # --- received messages ----------------------------------------------------------------------------------

    def receive(self, message: Message, now: int) -> None:
        if isinstance(message, Hello):
            self._handle_hello(message, now)
        elif self.base is None and not isinstance(message, Install | Append):
            return  # its disk is empty, so it cannot vote
        elif isinstance(message, VoteRequest):
            self._handle_vote_request(message, now)
        elif isinstance(message, VoteReply):
            self._handle_vote_reply(message, now)
        elif isinstance(message, Append):
            self._handle_append(message, now)
        elif isinstance(message, Install):
            self._handle_install(message, now)
        else:
            self._handle_append_reply(message, now)

    def _handle_hello(self, hello: Hello, now: int) -> None:
        if name_of(hello.voter) not in self.configured_names or hello.voter == self.me:
            return
        for stale in [known for known in self._blank_voters if name_of(known) == name_of(hello.voter)]:
            del self._blank_voters[stale]
        self._blank_voters[hello.voter] = hello.started_at, now
        if self.base is not None and hello.voter in self.base.voters and self.base.term == 0:
            # The bootstrap named it as a voter, but the message did not reach it.
            self._send(hello.voter, Install(0, self.me, self.base, 0))

    def _handle_vote_request(self, request: VoteRequest, now: int) -> None:
        """Grants or refuses a vote or pre-vote by Raft's rules and the leader's lease."""
        if request.candidate not in self.voters and self._latest_voters()[1] <= self.commit:
            return  # the candidate was removed from the voters
        hears_leader = self.role == LEADER or now - self._leader_heard_at < self.bounds.min_election_timeout
        last_term = self.term_at(self.last_index)
        assert last_term is not None
        up_to_date = (request.last_term, request.last_index) >= (last_term, self.last_index)
        if request.pre_vote:
            granted = not hears_leader and up_to_date and request.term > self.persistent_state.term
            self._send(
                request.candidate,
                VoteReply(request.term if granted else self.persistent_state.term, self.me, True, granted),
            )
            return
        if hears_leader and request.term > self.persistent_state.term:
            # The leader's lease relies on this: while a leader is heard, no term rises and no vote is granted.
            return
        self._adopt_later_term(request.term, now)
        granted = (
            request.term == self.persistent_state.term
            and up_to_date
            and self.persistent_state.vote in ("", request.candidate)
            and self.me in self.voters
        )
        if granted and not self.persistent_state.vote:
            self._persist_state(request.term, request.candidate)
            self._reset_election_timer(now)
        self._send(request.candidate, VoteReply(self.persistent_state.term, self.me, False, granted))

    def _handle_vote_reply(self, reply: VoteReply, now: int) -> None:
        if reply.pre_vote and reply.granted:
            if self.role == PRE_CANDIDATE and reply.term == self.persistent_state.term + 1:
                self._votes.add(reply.voter)
                self._count_votes(now)
            return
        self._adopt_later_term(reply.term, now)
        if self.role == CANDIDATE and reply.granted and not reply.pre_vote and reply.term == self.persistent_state.term:
            self._votes.add(reply.voter)
            self._count_votes(now)

    def _accept_leader(self, term: int, leader: str, now: int) -> None:
        """Follows a leader of this term or a later one that has sent a message."""
        if term > self.persistent_state.term:
            self._persist_state(term, "")
        self._become_follower(now, leader)
        self._leader_heard_at = now

    def _handle_append(self, append: Append, now: int) -> None:
        """Appends the leader's entries, replacing conflicting ones, and replies."""
        if append.term < self.persistent_state.term:
            self._send(
                append.leader, AppendReply(self.persistent_state.term, self.me, False, self.last_index, append.round)
            )
            return
        self._accept_leader(append.term, append.leader, now)
        if self.base is None:
            self._send(append.leader, AppendReply(self.persistent_state.term, self.me, False, 0, append.round))
            return
        prev_index, entries = append.prev_index, append.entries
        if prev_index < self.base.index:
            # The entries in the snapshot are committed, so they equal the leader's.
            skipped = self.base.index - prev_index
            prev_index, entries = self.base.index, entries[skipped:]
        elif self.term_at(prev_index) != append.prev_term:
            self._send(
                append.leader,
                AppendReply(
                    self.persistent_state.term, self.me, False, min(self.last_index, prev_index - 1), append.round
                ),
            )
            return
        for offset, entry in enumerate(entries):
            index = prev_index + 1 + offset
            if self.term_at(index) != entry.term:
                assert index > self.commit, "a committed entry would be overwritten"
                del self.entries[index - self.base.index - 1 :]
                self._truncate_durable(index - 1)
                self.entries += entries[offset:]
                self._queue_write(start=index, entries=tuple(entries[offset:]))
                break
        match = max(prev_index + len(entries), self.base.index)
        self.commit = max(self.commit, min(append.commit, match))
        self._send(append.leader, AppendReply(self.persistent_state.term, self.me, True, match, append.round))

    def _handle_install(self, install: Install, now: int) -> None:
        if install.term == 0:
            if self.base is None and self.me in install.base.voters:
                self._install_base(install.base)
                self._reset_election_timer(now)
            return
        if install.term < self.persistent_state.term:
            self._send(
                install.leader, AppendReply(self.persistent_state.term, self.me, False, self.last_index, install.round)
            )
            return
        self._accept_leader(install.term, install.leader, now)
        if self.base is None or install.base.index > self.commit:
            self._install_base(install.base)
        self._send(
            install.leader, AppendReply(self.persistent_state.term, self.me, True, install.base.index, install.round)
        )

    def _install_base(self, base: LogSnapshot) -> None:
        """Replaces the whole log by a snapshot."""
        self.base, self.entries, self.commit = base, [], base.index
        self._truncate_durable(base.index)
        self._queue_write(self.persistent_state, base, base.index + 1)

    def _handle_append_reply(self, reply: AppendReply, now: int) -> None:
        self._adopt_later_term(reply.term, now)
        if self.role != LEADER or reply.term != self.persistent_state.term:
            return
        progress = self._progress.get(reply.follower)
        if progress is None:
            return
        progress.round = max(progress.round, reply.round)
        if reply.success:
            progress.match = max(progress.match, reply.match)
            progress.next = max(progress.next, progress.match + 1)
            self._advance_commit()
        else:
            progress.next = max(1, min(progress.next - 1, reply.match + 1), progress.match + 1)
            if self.role == LEADER:
                self._replicate_to(reply.follower)
        if self.role == LEADER:
            self._advance_lease()
            if reply.success and progress.next <= self.last_index:
                self._replicate_to(reply.follower)
