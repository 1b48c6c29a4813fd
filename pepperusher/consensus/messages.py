"""The messages that voters exchange, and the state that they write to disk.

The id of a voter is its name and a token of its disk. A voter that lost its disk gets a new token, so it has
no vote until the old id has been removed from the voters and the new one added.
"""

from __future__ import annotations

from typing import Any, NamedTuple

DISK_TOKEN_SEPARATOR = "#"


def name_of(voter: str) -> str:
    return voter.partition(DISK_TOKEN_SEPARATOR)[0]


class Entry(NamedTuple):
    """A log entry with the term in which the leader appended it. It holds either a new set of voters, which
    applies from here on, or a command for the state machine; an entry with neither only marks a new term.
    """

    term: int
    voters: tuple[str, ...] | None = None
    command: Any = None


class LogSnapshot(NamedTuple):
    """The snapshot that replaces all entries up to `index`: the term and voters there, and the state."""

    index: int
    term: int
    voters: tuple[str, ...]
    state: Any = None


class PersistentState(NamedTuple):
    """The term of a voter, and the candidate that it voted for in this term ("" for none)."""

    term: int
    vote: str


class Write(NamedTuple):
    """A write to disk. Writes are done in order, and `on_disk` acknowledges them by `number`. The entries
    replace the stored log from index `start` on.
    """

    number: int
    kept: PersistentState | None = None
    base: LogSnapshot | None = None
    start: int = 0
    entries: tuple[Entry, ...] = ()


class VoteRequest(NamedTuple):
    """Requests a vote. A pre-vote only asks whether the vote would be granted, and raises no term."""

    term: int
    candidate: str
    pre_vote: bool
    last_index: int
    last_term: int


class VoteReply(NamedTuple):
    term: int
    voter: str
    pre_vote: bool
    granted: bool


class Append(NamedTuple):
    """Raft's AppendEntries: the entries after `prev_index`, whose term is `prev_term`. `round` rises with each
    heartbeat; a reply repeats it, so the leader knows which heartbeat was received.
    """

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Install(NamedTuple):
    """Raft's InstallSnapshot, for a voter whose log ends before the leader's snapshot. With term 0 it bootstraps
    the group: it goes to the voters that it names, and these take it if their disks are empty.
    """

    term: int
    leader: str
    base: LogSnapshot
    round: int


class AppendReply(NamedTuple):
    """`match` is the index up to which the log on disk equals the leader's. If `success` is false, it is an upper
    bound of that index.
    """

    term: int
    follower: str
    success: bool
    match: int
    round: int


class Hello(NamedTuple):
    """Announces a voter whose disk is empty to all configured voters. `started_at` is Unix time in microseconds."""

    voter: str
    started_at: int


Message = VoteRequest | VoteReply | Append | Install | AppendReply | Hello


class OutgoingMessage(NamedTuple):
    """A message that may be sent once write number `after` is on disk."""

    to: str
    message: Message
    after: int
