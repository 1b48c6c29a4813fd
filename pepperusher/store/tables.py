"""The tables that a proxy keeps in its store: held in memory, rebuilt by applying the log's records; free of I/O.

Each table documents when entries are removed and how many it holds. Times are Unix times in us, since they outlive the
process. If the clock is set back, a mark is kept for longer, which is safe; if it is set forward, the mark is removed
earlier by the same amount.
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
    """One attempt of the tickets with a mark: its backend and cell, and the time at which it was sent (us). `ran` is
    false once the attempt is known never to have run."""

    backend: str
    cell: int
    sent: int
    ran: bool


class RequestMarks:
    """The attempts of each referenced ticket, by use case and mark (the ticket's idempotency key).

    A mark is kept until the deduplication window of its group has passed since the last attempt. There are
    `max_entries` marks at most. When the table is full, new marks are rejected and none is evicted: a ticket whose
    mark is evicted could be sent a fourth time."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        # All three are emptied by `sweep`. The heap has an entry (expiry, key) for each attempt.
        self._attempts: dict[tuple[str, str], list[PastAttempt]] = {}
        self._expiry: dict[tuple[str, str], int] = {}
        self._expiry_heap: list[tuple[int, tuple[str, str]]] = []

    def __len__(self) -> int:
        return len(self._attempts)

    def past(self, use_case: str, mark: str, now: int) -> list[PastAttempt]:
        """The unexpired attempts for a mark, oldest first."""
        self.sweep(now)
        return list(self._attempts.get((use_case, mark), ()))

    def room(self, use_case: str, mark: str, now: int) -> bool:
        """Whether this mark can be stored: it is in the table already, or the table is not full."""
        self.sweep(now)
        return (use_case, mark) in self._attempts or len(self._attempts) < self._max_entries

    def sent(self, use_case: str, mark: str, backend: str, cell: int, sent_at: int, expires_at: int) -> bytes:
        """Records that an attempt is being sent. Returns the record's body, which has to be on disk before the first
        byte is sent."""
        body = ENCODE((use_case, mark, backend, cell, sent_at, expires_at))
        self.apply_record(SENT, body)
        return body

    def never_ran(self, use_case: str, mark: str, sent_at: int) -> bytes:
        """Records that the attempt sent at `sent_at` never ran. Returns the record's body."""
        body = ENCODE((use_case, mark, sent_at))
        self.apply_record(NEVER_RAN, body)
        return body

    def apply_record(self, kind: int, body: bytes) -> None:
        """Applies one record of the log or of a snapshot."""
        if kind == SENT:
            use_case, mark, backend, cell, sent_at, expires_at = DECODE(body)
            key = (use_case, mark)
            # Expires marks as of the time of the record, so that replaying the log doesn't revive expired ones.
            self.sweep(sent_at)
            attempts = self._attempts.setdefault(key, [])
            # A record is applied twice if the snapshot already included it when it was appended to the log.
            if not any(attempt.sent == sent_at and attempt.backend == backend for attempt in attempts):
                attempts.append(PastAttempt(backend, cell, sent_at, True))
            self._expiry[key] = max(expires_at, self._expiry.get(key, 0))
            heappush(self._expiry_heap, (expires_at, key))
        else:
            use_case, mark, sent_at = DECODE(body)
            attempts = self._attempts.get((use_case, mark), [])
            for index, attempt in enumerate(attempts):
                if attempt.sent == sent_at:
                    attempts[index] = attempt._replace(ran=False)

    def sweep(self, now: int) -> None:
        """Removes the marks whose deduplication window has passed."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, key = heappop(self._expiry_heap)
            if self._expiry.get(key, now + 1) <= now:
                self._attempts.pop(key, None)
                self._expiry.pop(key, None)

    def snapshot_records(self, now: int) -> Iterator[tuple[int, bytes]]:
        """Yields the records that rebuild the table."""
        for key, attempts in self._attempts.items():
            expires_at = self._expiry[key]
            if expires_at <= now:
                continue
            for attempt in attempts:
                yield SENT, ENCODE((*key, attempt.backend, attempt.cell, attempt.sent, expires_at))
                if not attempt.ran:
                    yield NEVER_RAN, ENCODE((*key, attempt.sent))


class SeenBackend(NamedTuple):
    """A backend as discovery last listed it; `confirmed` is when that was last confirmed (us)."""

    id: str
    address: str
    zone: str
    cell: int
    weight: float
    born: int
    confirmed: int


class ListedBackends:
    """The ready backends. A backend that drains or is removed leaves the table at once. There are `max_entries`
    backends at most; the one that was confirmed least recently is evicted first, since it is the least useful at
    startup."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._backends: dict[str, SeenBackend] = {}

    def record_listed(self, backend: SeenBackend) -> bytes:
        body = ENCODE(backend)
        self.apply_record(LISTED, body)
        return body

    def record_unlisted(self, id: str) -> bytes:
        body = ENCODE(id)
        self.apply_record(UNLISTED, body)
        return body

    def apply_record(self, kind: int, body: bytes) -> None:
        if kind == UNLISTED:
            self._backends.pop(DECODE(body), None)
            return
        backend = SeenBackend(*DECODE(body))
        self._backends.pop(backend.id, None)
        self._backends[backend.id] = backend
        if len(self._backends) > self._max_entries:
            del self._backends[min(self._backends.values(), key=lambda listed_backend: listed_backend.confirmed).id]

    def all(self) -> list[SeenBackend]:
        """The backends, the most recently confirmed first."""
        return sorted(self._backends.values(), key=lambda backend: (-backend.confirmed, backend.id))

    def snapshot_records(self) -> Iterator[tuple[int, bytes]]:
        return ((LISTED, ENCODE(backend)) for backend in self._backends.values())


class BreakerStates:
    """The opening and closing times of open breakers, by backend. An entry is removed when its breaker closes, or when
    its closing time is `retention` us in the past, after which it no longer matters."""

    def __init__(self, retention: int) -> None:
        self._retention = retention
        self._open_spans: dict[str, tuple[int, int]] = {}  # removed when a breaker closes, and by `sweep`

    def record_change(self, id: str, opened_at: int, closes_at: int) -> bytes:
        """Records that a breaker is open from `opened_at` to `closes_at`, or closed if both are 0. Returns the record's
        body."""
        body = ENCODE((id, opened_at, closes_at))
        self.apply_record(BREAKER, body)
        return body

    def apply_record(self, kind: int, body: bytes) -> None:
        id, opened_at, closes_at = DECODE(body)
        if closes_at:
            self._open_spans[id] = (opened_at, closes_at)
        else:
            self._open_spans.pop(id, None)

    def open_breakers(self, now: int) -> dict[str, tuple[int, int]]:
        self.sweep(now)
        return dict(self._open_spans)

    def sweep(self, now: int) -> None:
        for id in [id for id, (_, closes_at) in self._open_spans.items() if now - closes_at >= self._retention]:
            del self._open_spans[id]

    def snapshot_records(self) -> Iterator[tuple[int, bytes]]:
        return (
            (BREAKER, ENCODE((id, opened_at, closes_at))) for id, (opened_at, closes_at) in self._open_spans.items()
        )


class Tables:
    """All tables of the store."""

    def __init__(self, max_marks: int, max_listed: int, breaker_retention: int) -> None:
        self.marks = RequestMarks(max_marks)
        self.listed = ListedBackends(max_listed)
        self.breakers = BreakerStates(breaker_retention)
        self.unknown = 0  # count of records of unknown kinds, written by a later version of the program

    def take(self, kind: int, body: bytes) -> None:
        if kind in (SENT, NEVER_RAN):
            self.marks.apply_record(kind, body)
        elif kind in (LISTED, UNLISTED):
            self.listed.apply_record(kind, body)
        elif kind == BREAKER:
            self.breakers.apply_record(kind, body)
        else:
            self.unknown += 1

    def state(self, now: int) -> list[tuple[int, bytes]]:
        return [*self.marks.snapshot_records(now), *self.listed.snapshot_records(), *self.breakers.snapshot_records()]
