"""What voters say to each other and write down, typed.

A voter is called by its name and a token of its disk: one that lost its disk has another token, and so is no
voter until it was taken out under the old one and in under the new.
"""

from __future__ import annotations

from typing import Any, NamedTuple

ID_SPLIT = "#"


def name_of(voter: str) -> str:
    return voter.partition(ID_SPLIT)[0]


class Entry(NamedTuple):
    """A place of the log: the term in which it was put there; other voters from here on, or what the duties'
    table reads.
    """

    term: int
    voters: tuple[str, ...] | None = None
    what: Any = None


class Base(NamedTuple):
    """What stands in place of all entries up to `index`: its term, who voted there, and the table as it was."""

    index: int
    term: int
    voters: tuple[str, ...]
    table: Any = None


class PersistentState(NamedTuple):
    """What a voter must not forget: its term, and for whom it voted in it ("" for nobody)."""

    term: int
    vote: str


class Write(NamedTuple):
    """To be on disk, in order: `number` is acknowledged by `on_disk`. Entries from `start` on replace what
    stood there.
    """

    number: int
    kept: PersistentState | None = None
    base: Base | None = None
    start: int = 0
    entries: tuple[Entry, ...] = ()


class VoteRequest(NamedTuple):
    """A vote is asked for; with `pre` only whether one would be given, and no term rises by it."""

    term: int
    by: str
    pre: bool
    last: int
    last_term: int


class VoteReply(NamedTuple):
    term: int
    by: str
    pre: bool
    yes: bool


class Append(NamedTuple):
    """The leader's entries behind `before`, whose term is `before_term`. `round` rises with each time that it
    is sent to all: an answer tells which of them was heard.
    """

    term: int
    by: str
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Install(NamedTuple):
    """The leader's base, for one that is behind it; of term 0 a founding, for those that it names and that
    have nothing.
    """

    term: int
    by: str
    base: Base
    round: int


class AppendReply(NamedTuple):
    """`match` is how far its log is the leader's, on disk; where `ok` is false, how far it is at the most."""

    term: int
    by: str
    ok: bool
    match: int
    round: int


class Hello(NamedTuple):
    """From one that has nothing on its disk, to all voters named in the own file; `started` is Unix time in
    us.
    """

    by: str
    started: int


Message = VoteRequest | VoteReply | Append | Install | AppendReply | Hello


class OutgoingMessage(NamedTuple):
    """A message, to go once write number `after` is on disk."""

    to: str
    message: Message
    after: int
