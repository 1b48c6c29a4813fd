"""One voter of a few that agree on a log; free of I/O.

Driven by now, messages in, and `on_disk`; what goes out stands in `out`, what must be written in `writes`.
Raft (Ongaro and Ousterhout 2014, Ongaro's thesis 2014): terms, votes, the log and its commit rule, snapshots,
voters changed one at a time and only after an entry of the leader's own term counts. From the thesis also
pre-votes, a leader that steps down without a majority, and voters that give no vote while they hear a leader,
from which the leader has its lease. Not taken: reads by a round of their own, and joint sets of voters.

Ours: who votes is called by a token of its disk. A voter that lost its disk so can't vote under its old name
with votes forgotten; it says that it has nothing, and the leader takes the old one out and the new one in. A
first start is a founding, by the first named alone, once all of them say that they have nothing; log places
begin at its Unix time in us, so that numbers taken from them rise over foundings too.
"""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from pepperusher.consensus.messages import (
    Append,
    AppendReply,
    VoteRequest,
    Base,
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

FOLLOWS, ASKS_FIRST, ASKS, LEADS = "follows", "asks whether to ask", "asks for votes", "leads"
# Entries in one message.
BATCH = 64
# Parts in a thousand by which the clocks of two voters may run apart. Beyond it a lease may overlap; numbers
# still hold.
DRIFT = 50


class Bounds(NamedTuple):
    """Times in microseconds: how often a leader speaks, and how long a voter waits for one before it asks for
    votes: from `least` to `most`, by chance.
    """

    beat: int
    least: int
    most: int


class Progress:
    """How far another is, as its leader knows."""

    __slots__ = ("next", "match", "round")

    def __init__(self, next: int) -> None:
        self.next = next
        self.match = 0
        self.round = 0


class RaftVoter:
    """`named` are the names of all voters as the own file has them. What was on disk is handed over at the
    start: `kept` and `base` are None for one that has nothing.
    """

    def __init__(
        self,
        me: str,
        named: tuple[str, ...],
        bounds: Bounds,
        chance: Random,
        now: int,
        started: int,
        kept: PersistentState | None = None,
        base: Base | None = None,
        entries: tuple[Entry, ...] = (),
    ) -> None:
        self.me = me
        self.named = tuple(sorted(named))
        self.bounds = bounds
        self.role = FOLLOWS
        self.leader = ""
        self.kept = kept or PersistentState(0, "")
        self.base = base
        self.entries = list(entries)
        self.commit = base.index if base is not None else 0
        self.out: list[OutgoingMessage] = []
        self.writes: list[Write] = []
        self.lease_until = 0  # by this one's clock; while it leads
        self._chance = chance
        self._started = started
        self._number = 0
        self._flushed = 0
        self._ends: list[tuple[int, int]] = []  # of each write that is out: its number, the last place after it
        self._on_disk = self.last  # how far the log is on disk
        # A leader may hold a lease on what it heard before it was restarted: it gives no vote before that is
        # over.
        self._heard_at = now
        self._elect_at = 0
        self._beat_at = now
        self._hello_at = now
        self._votes: set[str] = set()
        self._vote_write = 0
        self._round = 0
        self._sent_at: dict[int, int] = {}  # rounds whose answers may still come; emptied as a majority has answered
        self._heard_round = 0
        self._progress: dict[str, Progress] = {}  # of voters and those to be; emptied when it leads no more
        self._blank: dict[str, tuple[int, int]] = {}  # who said that it has nothing, when it started, when it said so
        self._wait_anew(now)

    # --- the log --------------------------------------------------------------------------------------

    @property
    def last(self) -> int:
        return (self.base.index if self.base is not None else 0) + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """None where the log does not reach, or no longer."""
        if self.base is None:
            return 0 if index == 0 else None
        if index == self.base.index:
            return self.base.term
        place = index - self.base.index - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else None

    def _voters_at(self) -> tuple[tuple[str, ...], int]:
        """Who votes, by the latest word in the log, counted yet or not; and where that stands."""
        for place in range(len(self.entries) - 1, -1, -1):
            if (voters := self.entries[place].voters) is not None:
                assert self.base is not None
                return voters, self.base.index + place + 1
        return (self.base.voters, self.base.index) if self.base is not None else ((), 0)

    @property
    def voters(self) -> tuple[str, ...]:
        return self._voters_at()[0]

    def _majority(self, those: set[str]) -> bool:
        voters = self.voters
        return 2 * len(those.intersection(voters)) > len(voters)

    def between(self, start: int, end: int) -> list[Entry]:
        """Entries from place `start` up to `end`, both included, as far as they are still here."""
        if self.base is None:
            return []
        return self.entries[max(0, start - self.base.index - 1) : max(0, end - self.base.index)]

    # --- writing and sending --------------------------------------------------------------------------

    def _write(
        self,
        kept: PersistentState | None = None,
        base: Base | None = None,
        start: int = 0,
        entries: tuple[Entry, ...] = (),
    ) -> int:
        self._number += 1
        self.writes.append(Write(self._number, kept, base, start, entries))
        self._ends.append((self._number, self.last))
        return self._number

    def _cut(self, last: int) -> None:
        """Places behind `last` hold other entries from now on: writes that are still out tell nothing of these."""
        self._on_disk = min(self._on_disk, last)
        self._ends = [(number, min(end, last)) for number, end in self._ends]

    def _keep(self, term: int, vote: str) -> int:
        self.kept = PersistentState(term, vote)
        return self._write(self.kept)

    def _send(self, to: str, message: Message) -> None:
        """After all that has been decided so far is on disk: nothing is said that a crash could take back."""
        self.out.append(OutgoingMessage(to, message, self._number))

    def on_disk(self, number: int, now: int) -> None:
        """All writes up to this one will outlive a crash."""
        self._flushed = max(self._flushed, number)
        while self._ends and self._ends[0][0] <= number:
            self._on_disk = self._ends.pop(0)[1]
        if self.role == ASKS and number >= self._vote_write:
            self._votes.add(self.me)
            self._count_votes(now)
        if self.role == LEADS:
            self._count_commit()

    # --- time -------------------------------------------------------------------------------------------

    def _wait_anew(self, now: int) -> None:
        span = self.bounds.most - self.bounds.least
        self._elect_at = now + self.bounds.least + (self._chance.randrange(span) if span else 0)

    def wake(self, now: int) -> int:
        """Does what is due; when it is to be woken next."""
        if self.base is None:
            return self._greet(now)
        if self.role == LEADS:
            if now - self._sent_at.get(self._heard_round, now) > self.bounds.least:
                # Whoever hears no majority serves nobody, and may be the only one that has not heard of the
                # next.
                self._follow(now, "")
            elif now >= self._beat_at:
                self._speak(now)
        elif self.me in self.voters and now >= self._elect_at:
            self._ask_first(now)
        if self.role == LEADS:
            return min(self._beat_at, self._sent_at.get(self._heard_round, now) + self.bounds.least + 1)
        return max(now + 1, self._elect_at)

    def _greet(self, now: int) -> int:
        """It has nothing. All that are named hear so; the first named founds once all of them have nothing."""
        if now >= self._hello_at:
            self._hello_at = now + self.bounds.beat
            for name in self.named:
                if name != name_of(self.me):
                    self._send(name, Hello(self.me, self._started))
        fresh = {by: started for by, (started, at) in self._blank.items() if now - at <= 3 * self.bounds.beat}
        by_name = {name_of(by): by for by in fresh}
        others = [name for name in self.named if name != name_of(self.me)]
        if (
            self.named
            and self.named[0] == name_of(self.me)
            and len(fresh) == len(others)
            and set(by_name) == set(others)
        ):
            self.base = Base(max([self._started, *fresh.values()]), 0, tuple(sorted([self.me, *fresh])))
            self.commit = self._on_disk = self.base.index
            self._write(self.kept, self.base)
            for by in fresh:
                self._send(by, Install(0, self.me, self.base, 0))
            self._wait_anew(now)
        return self._hello_at

    # --- elections --------------------------------------------------------------------------------------

    def _ask_first(self, now: int) -> None:
        """Whether others would give their vote: one that was cut off would else come back with a higher term
        and end what works.
        """
        self.role, self.leader = ASKS_FIRST, ""
        self._votes = {self.me}
        self._wait_anew(now)
        self._ask_all(self.kept.term + 1, True)
        self._count_votes(now)

    def _ask(self, now: int) -> None:
        self.role = ASKS
        self._votes = set()
        self._wait_anew(now)
        self._vote_write = self._keep(self.kept.term + 1, self.me)
        self._ask_all(self.kept.term, False)

    def _ask_all(self, term: int, pre: bool) -> None:
        last_term = self.term_at(self.last)
        assert last_term is not None
        for voter in self.voters:
            if voter != self.me:
                self._send(voter, VoteRequest(term, self.me, pre, self.last, last_term))

    def _count_votes(self, now: int) -> None:
        if not self._majority(self._votes):
            return
        if self.role == ASKS_FIRST:
            self._ask(now)
        elif self.role == ASKS:
            self._lead(now)

    def _lead(self, now: int) -> None:
        self.role, self.leader = LEADS, self.me
        self.lease_until = 0
        self._progress = {}
        self._sent_at = {}
        self._heard_round = self._round
        self._sent_at[self._round] = now
        # An entry of its own term: only by one of these does it learn what counts.
        self._put(Entry(self.kept.term))
        self._speak(now)

    def _follow(self, now: int, leader: str) -> None:
        self.role, self.leader = FOLLOWS, leader
        self.lease_until = 0
        self._progress.clear()
        self._sent_at.clear()
        self._wait_anew(now)

    def _later_term(self, term: int, now: int) -> None:
        if term > self.kept.term:
            self._keep(term, "")
            self._follow(now, "")

    # --- the leader ---------------------------------------------------------------------------------------

    def _put(self, entry: Entry) -> int:
        self.entries.append(entry)
        self._write(start=self.last, entries=(entry,))
        return self.last

    def propose(self, what: Any) -> int | None:
        """Where it will stand if it comes to count; None where this one does not lead."""
        return self._put(Entry(self.kept.term, None, what)) if self.role == LEADS else None

    @property
    def settled(self) -> bool:
        """Whether it leads, and an entry of its own term counts: before, it may not know all that does."""
        return self.role == LEADS and self.term_at(self.commit) == self.kept.term

    def may_answer(self, now: int) -> bool:
        """Whether nobody else can lead at this instant, as long as clocks run no further apart than DRIFT."""
        return self.settled and now < self.lease_until

    def change_voters(self, voters: tuple[str, ...]) -> bool:
        """One more or one less, once the last change counts. Whether it was put into the log."""
        before, at = self._voters_at()
        if not self.settled or at > self.commit or len(set(before) ^ set(voters)) != 1:
            return False
        self._put(Entry(self.kept.term, tuple(sorted(voters))))
        return True

    def _renew_voters(self, now: int) -> None:
        """One that is named and said that it has nothing takes its old one's place: out first, then brought
        up to date, then in.
        """
        for by, (_, at) in list(self._blank.items()):
            if now - at > 100 * self.bounds.beat:
                del self._blank[by]
                continue
            if by in self.voters or name_of(by) not in self.named:
                continue
            old = [voter for voter in self.voters if name_of(voter) == name_of(by)]
            if old:
                self.change_voters(tuple(voter for voter in self.voters if voter not in old))
                continue
            progress = self._progress.get(by)
            if progress is None:
                self._progress[by] = Progress(self.last + 1)
            elif progress.match >= self.commit:
                self.change_voters((*self.voters, by))
        for gone in [one for one in self._progress if one not in self.voters and one not in self._blank]:
            del self._progress[gone]

    def _speak(self, now: int) -> None:
        """To all, with what each has not yet; a new round."""
        self._beat_at = now + self.bounds.beat
        self._round += 1
        self._sent_at[self._round] = now
        self._renew_voters(now)
        for other in sorted({*self.voters, *self._progress} - {self.me}):
            self._feed(other)
        self._count_rounds()  # where it votes alone nobody answers

    def _feed(self, other: str) -> None:
        assert self.base is not None
        progress = self._progress.setdefault(other, Progress(self.last + 1))
        before = progress.next - 1
        before_term = self.term_at(before)
        if before < self.base.index or before_term is None:
            self._send(other, Install(self.kept.term, self.me, self.base, self._round))
            progress.next = self.base.index + 1
            return
        entries = tuple(self.between(progress.next, min(self.last, before + BATCH)))
        self._send(other, Append(self.kept.term, self.me, before, before_term, entries, self.commit, self._round))

    def _count_commit(self) -> None:
        voters = self.voters
        reached = sorted(
            (
                (self._on_disk if voter == self.me else self._progress[voter].match if voter in self._progress else 0)
                for voter in voters
            ),
            reverse=True,
        )
        index = reached[len(voters) // 2]
        if index > self.commit and self.term_at(index) == self.kept.term:
            self.commit = index
            if self.me not in voters and self._voters_at()[1] <= self.commit:
                self._follow(self._beat_at, "")

    def _count_rounds(self) -> None:
        voters = self.voters
        heard = sorted(
            (
                (self._round if voter == self.me else self._progress[voter].round if voter in self._progress else 0)
                for voter in voters
            ),
            reverse=True,
        )
        found = heard[len(voters) // 2]
        if found > self._heard_round and found in self._sent_at:
            self._heard_round = found
            # From when it was sent, not from when it was answered: those who heard it wait from then on or
            # later.
            self.lease_until = self._sent_at[found] + self.bounds.least * (1000 - DRIFT) // 1000
            for old in [one for one in self._sent_at if one < found]:
                del self._sent_at[old]

    def compact(self, index: int, table: Any) -> None:
        """All up to a place that counts is the table now."""
        assert self.base is not None and self.base.index <= index <= self.commit
        term = self.term_at(index)
        assert term is not None
        voters = self.base.voters
        for entry in self.between(self.base.index + 1, index):
            voters = entry.voters or voters
        left = self.between(index + 1, self.last)
        self.base, self.entries = Base(index, term, voters, table), left
        self._write(base=self.base, start=index + 1, entries=tuple(left))

    # --- what comes -----------------------------------------------------------------------------------------

    def receive(self, message: Message, now: int) -> None:
        if isinstance(message, Hello):
            self._greeted(message, now)
        elif self.base is None and not isinstance(message, Install | Append):
            return  # it has nothing to vote by
        elif isinstance(message, VoteRequest):
            self._asked(message, now)
        elif isinstance(message, VoteReply):
            self._voted(message, now)
        elif isinstance(message, Append):
            self._append(message, now)
        elif isinstance(message, Install):
            self._install(message, now)
        else:
            self._appended(message, now)

    def _greeted(self, hello: Hello, now: int) -> None:
        if name_of(hello.by) not in self.named or hello.by == self.me:
            return
        for old in [by for by in self._blank if name_of(by) == name_of(hello.by)]:
            del self._blank[old]
        self._blank[hello.by] = hello.started, now
        if self.base is not None and hello.by in self.base.voters and self.base.term == 0:
            # It was named in the founding and has not heard of it.
            self._send(hello.by, Install(0, self.me, self.base, 0))

    def _asked(self, ask: VoteRequest, now: int) -> None:
        if ask.by not in self.voters and self._voters_at()[1] <= self.commit:
            return  # one that was taken out
        heard = self.role == LEADS or now - self._heard_at < self.bounds.least
        last_term = self.term_at(self.last)
        assert last_term is not None
        as_new = (ask.last_term, ask.last) >= (last_term, self.last)
        if ask.pre:
            yes = not heard and as_new and ask.term > self.kept.term
            self._send(ask.by, VoteReply(ask.term if yes else self.kept.term, self.me, True, yes))
            return
        if heard and ask.term > self.kept.term:
            # Its leader counts on that: no term rises and no vote is given while one is heard.
            return
        self._later_term(ask.term, now)
        yes = ask.term == self.kept.term and as_new and self.kept.vote in ("", ask.by) and self.me in self.voters
        if yes and not self.kept.vote:
            self._keep(ask.term, ask.by)
            self._wait_anew(now)
        self._send(ask.by, VoteReply(self.kept.term, self.me, False, yes))

    def _voted(self, voted: VoteReply, now: int) -> None:
        if voted.pre and voted.yes:
            if self.role == ASKS_FIRST and voted.term == self.kept.term + 1:
                self._votes.add(voted.by)
                self._count_votes(now)
            return
        self._later_term(voted.term, now)
        if self.role == ASKS and voted.yes and not voted.pre and voted.term == self.kept.term:
            self._votes.add(voted.by)
            self._count_votes(now)

    def _heard(self, term: int, leader: str, now: int) -> None:
        """A leader of this term, or a later one's, speaks."""
        if term > self.kept.term:
            self._keep(term, "")
        self._follow(now, leader)
        self._heard_at = now

    def _append(self, append: Append, now: int) -> None:
        if append.term < self.kept.term:
            self._send(append.by, AppendReply(self.kept.term, self.me, False, self.last, append.round))
            return
        self._heard(append.term, append.by, now)
        if self.base is None:
            self._send(append.by, AppendReply(self.kept.term, self.me, False, 0, append.round))
            return
        before, entries = append.before, append.entries
        if before < self.base.index:
            # What its base holds counts, and so is the leader's.
            skipped = self.base.index - before
            before, entries = self.base.index, entries[skipped:]
        elif self.term_at(before) != append.before_term:
            self._send(append.by, AppendReply(self.kept.term, self.me, False, min(self.last, before - 1), append.round))
            return
        for place, entry in enumerate(entries):
            at = before + 1 + place
            if self.term_at(at) != entry.term:
                assert at > self.commit, "what counts is cut off"
                del self.entries[at - self.base.index - 1 :]
                self._cut(at - 1)
                self.entries += entries[place:]
                self._write(start=at, entries=tuple(entries[place:]))
                break
        match = max(before + len(entries), self.base.index)
        self.commit = max(self.commit, min(append.commit, match))
        self._send(append.by, AppendReply(self.kept.term, self.me, True, match, append.round))

    def _install(self, install: Install, now: int) -> None:
        if install.term == 0:
            if self.base is None and self.me in install.base.voters:
                self._stand_on(install.base)
                self._wait_anew(now)
            return
        if install.term < self.kept.term:
            self._send(install.by, AppendReply(self.kept.term, self.me, False, self.last, install.round))
            return
        self._heard(install.term, install.by, now)
        if self.base is None or install.base.index > self.commit:
            self._stand_on(install.base)
        self._send(install.by, AppendReply(self.kept.term, self.me, True, install.base.index, install.round))

    def _stand_on(self, base: Base) -> None:
        self.base, self.entries, self.commit = base, [], base.index
        self._cut(base.index)
        self._write(self.kept, base, base.index + 1)

    def _appended(self, answer: AppendReply, now: int) -> None:
        self._later_term(answer.term, now)
        if self.role != LEADS or answer.term != self.kept.term:
            return
        progress = self._progress.get(answer.by)
        if progress is None:
            return
        progress.round = max(progress.round, answer.round)
        if answer.ok:
            progress.match = max(progress.match, answer.match)
            progress.next = max(progress.next, progress.match + 1)
            self._count_commit()
        else:
            progress.next = max(1, min(progress.next - 1, answer.match + 1), progress.match + 1)
            if self.role == LEADS:
                self._feed(answer.by)
        if self.role == LEADS:
            self._count_rounds()
            if answer.ok and progress.next <= self.last:
                self._feed(answer.by)
