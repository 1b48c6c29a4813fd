"""Admission control of a control machine: clients that sent their hello message are served at a limited rate, and the
others wait in a bounded queue; free of I/O.

Connections are accepted much faster than they are served. A connection that was only accepted costs little, and a
client that was accepted and told so waits here and does not try the other machines. A connection that was not accepted
makes the machine look unreachable.
"""

from __future__ import annotations

# The rate and burst of admissions: serving a hello message may cost several whole bodies.
ADMISSION_RATE_PER_S = 800.0
ADMISSION_BURST = 400.0


class Admission:
    """The queue of connections that sent their hello message and are not served yet, in order of arrival and by
    connection id; at most `capacity`.
    """

    def __init__(self, capacity: int, now: int) -> None:
        self._capacity = capacity
        self._queue: dict[int, None] = {}
        self._tokens, self._tokens_at = ADMISSION_BURST, now

    def __len__(self) -> int:
        return len(self._queue)

    def __contains__(self, id: int) -> bool:
        return id in self._queue

    def enqueue(self, id: int) -> bool:
        """Appends a connection to the queue; returns False if the queue is full."""
        if len(self._queue) >= self._capacity:
            return False
        self._queue[id] = None
        return True

    def discard(self, id: int) -> None:
        """Removes a connection that ended, if it is in the queue."""
        self._queue.pop(id, None)

    def take_due(self, now: int) -> list[int]:
        """Removes and returns the connections to be served now, in order of arrival. `now` is in us."""
        self._tokens = min(ADMISSION_BURST, self._tokens + ADMISSION_RATE_PER_S * (now - self._tokens_at) / 1e6)
        self._tokens_at = now
        count = min(len(self._queue), int(self._tokens))
        self._tokens -= count
        admitted = [id for id, _ in zip(self._queue, range(count))]
        for id in admitted:
            del self._queue[id]
        return admitted

    def next_due_in(self) -> float | None:
        """Seconds until the next connection is due; None if the queue is empty."""
        if not self._queue:
            return None
        return max(0.0, 1.0 - self._tokens) / ADMISSION_RATE_PER_S
