"""What a proxy keeps in its store, as tables in memory that records build up again; free of I/O.

Each table says what empties it and how large it may become. Times are us of Unix time, since they outlive the
process: a clock that goes back keeps a mark for longer, which is safe; one that goes forward forgets it
sooner by as much.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from typing import NamedTuple

import msgspec

# Kinds of records.
SENT, NEVER_RAN, BREAKER, LISTED, UNLISTED = 1, 2, 3, 4, 5
ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder().decode


class PastAttempt(NamedTuple):
    """One attempt of a mark: to whom, of which cell, when; `ran` is false once it is known never to have
    run."""

    backend: str
    cell: int
    sent: int
    ran: bool


class RequestMarks:
    """The attempts made for each referenced ticket, by use case and mark, until its group's memory has
    passed since the last. `most` marks at once; one more is turned away, for to forget one is to let it go
    out a fourth time."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._held: dict[tuple[str, str], list[PastAttempt]] = {}  # emptied by `sweep`, most at the most
        self._until: dict[tuple[str, str], int] = {}  # likewise
        self._ends: list[tuple[int, tuple[str, str]]] = []  # a heap, an entry an attempt; emptied by `sweep`

    def __len__(self) -> int:
        return len(self._held)

    def past(self, use_case: str, mark: str, now: int) -> list[PastAttempt]:
        self.sweep(now)
        return list(self._held.get((use_case, mark), ()))

    def room(self, use_case: str, mark: str, now: int) -> bool:
        """Whether this mark can be held: it is already, or there is room for one more."""
        self.sweep(now)
        return (use_case, mark) in self._held or len(self._held) < self._most

    def sent(self, use_case: str, mark: str, backend: str, cell: int, at: int, until: int) -> bytes:
        """One goes out now; the body of its record, which is to be on disk before the first byte is."""
        body = ENCODE((use_case, mark, backend, cell, at, until))
        self.take(SENT, body)
        return body

    def never_ran(self, use_case: str, mark: str, at: int) -> bytes:
        """The one sent at `at` is known never to have run."""
        body = ENCODE((use_case, mark, at))
        self.take(NEVER_RAN, body)
        return body

    def take(self, kind: int, body: bytes) -> None:
        """One record, as it was written."""
        if kind == SENT:
            use_case, mark, backend, cell, at, until = DECODE(body)
            key = (use_case, mark)
            # As it was then: what had been forgotten by this time is not taken up again from the log.
            self.sweep(at)
            held = self._held.setdefault(key, [])
            # Twice where a snapshot was taken between its writing and its place in the log.
            if not any(one.sent == at and one.backend == backend for one in held):
                held.append(PastAttempt(backend, cell, at, True))
            self._until[key] = max(until, self._until.get(key, 0))
            heappush(self._ends, (until, key))
        else:
            use_case, mark, at = DECODE(body)
            held = self._held.get((use_case, mark), [])
            for place, one in enumerate(held):
                if one.sent == at:
                    held[place] = one._replace(ran=False)

    def sweep(self, now: int) -> None:
        """Forgets what its group has forgotten."""
        while self._ends and self._ends[0][0] <= now:
            _, key = heappop(self._ends)
            if self._until.get(key, now + 1) <= now:
                self._held.pop(key, None)
                self._until.pop(key, None)

    def state(self, now: int) -> Iterator[tuple[int, bytes]]:
        """Records that build it up again."""
        for key, held in self._held.items():
            until = self._until[key]
            if until <= now:
                continue
            for one in held:
                yield SENT, ENCODE((*key, one.backend, one.cell, one.sent, until))
                if not one.ran:
                    yield NEVER_RAN, ENCODE((*key, one.sent))


class SeenBackend(NamedTuple):
    """A backend as the list last had it: where, and when that was last confirmed."""

    id: str
    address: str
    zone: str
    cell: int
    weight: float
    born: int
    confirmed: int


class ListedBackends:
    """The list of backends that are ready. One that drains or is gone leaves it at once; `most` at the most,
    the longest unconfirmed leaving first, since it is worth least at a start."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._held: dict[str, SeenBackend] = {}

    def seen(self, one: SeenBackend) -> bytes:
        body = ENCODE(one)
        self.take(LISTED, body)
        return body

    def gone(self, id: str) -> bytes:
        body = ENCODE(id)
        self.take(UNLISTED, body)
        return body

    def take(self, kind: int, body: bytes) -> None:
        if kind == UNLISTED:
            self._held.pop(DECODE(body), None)
            return
        one = SeenBackend(*DECODE(body))
        self._held.pop(one.id, None)
        self._held[one.id] = one
        if len(self._held) > self._most:
            del self._held[min(self._held.values(), key=lambda other: other.confirmed).id]

    def all(self) -> list[SeenBackend]:
        """The latest confirmed first."""
        return sorted(self._held.values(), key=lambda one: (-one.confirmed, one.id))

    def state(self) -> Iterator[tuple[int, bytes]]:
        return ((LISTED, ENCODE(one)) for one in self._held.values())


class BreakerStates:
    """Since when and till when a breaker is open, by backend. One that closed leaves it; one that has been
    past its end for `kept` tells nothing any more."""

    def __init__(self, kept: int) -> None:
        self._kept = kept
        self._held: dict[str, tuple[int, int]] = {}  # emptied as they close, and by `sweep`

    def turned(self, id: str, opened: int, until: int) -> bytes:
        """Open from `opened` to `until`; both 0 where it closed."""
        body = ENCODE((id, opened, until))
        self.take(BREAKER, body)
        return body

    def take(self, kind: int, body: bytes) -> None:
        id, opened, until = DECODE(body)
        if until:
            self._held[id] = (opened, until)
        else:
            self._held.pop(id, None)

    def open(self, now: int) -> dict[str, tuple[int, int]]:
        self.sweep(now)
        return dict(self._held)

    def sweep(self, now: int) -> None:
        for id in [id for id, (_, until) in self._held.items() if now - until >= self._kept]:
            del self._held[id]

    def state(self) -> Iterator[tuple[int, bytes]]:
        return ((BREAKER, ENCODE((id, opened, until))) for id, (opened, until) in self._held.items())


class Tables:
    """All of them, fed from a log and put into a snapshot."""

    def __init__(self, most_marks: int, most_listed: int, breakers_kept: int) -> None:
        self.marks = RequestMarks(most_marks)
        self.listed = ListedBackends(most_listed)
        self.breakers = BreakerStates(breakers_kept)
        self.unknown = 0  # records of kinds that a later program wrote

    def take(self, kind: int, body: bytes) -> None:
        if kind in (SENT, NEVER_RAN):
            self.marks.take(kind, body)
        elif kind in (LISTED, UNLISTED):
            self.listed.take(kind, body)
        elif kind == BREAKER:
            self.breakers.take(kind, body)
        else:
            self.unknown += 1

    def state(self, now: int) -> list[tuple[int, bytes]]:
        return [*self.marks.state(now), *self.listed.state(), *self.breakers.state()]
