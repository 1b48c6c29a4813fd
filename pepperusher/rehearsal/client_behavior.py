"""The timeout and retry policy of a simulated client, free of I/O."""

from __future__ import annotations

from random import Random

from pepperusher.rehearsal.records import BOUNCED, DONE, NOBODY, UNREACHED
from pepperusher.rehearsal.script import Load, UseCase

# Outcomes after which no backend has executed the ticket; only after these may a single-use ticket be retried.
NOT_EXECUTED = (BOUNCED, UNREACHED, NOBODY)
# Minimum delay (us) before a retry after no proxy could be reached.
UNREACHED_BACKOFF = 50_000


class RequestBehavior:
    """The policy for one request over all its attempts. Its random numbers depend only on the seed of the script and on
    the request's position in the plan, so requests do not influence each other's draws."""

    __slots__ = ("use", "_load", "_random", "_intended", "nth", "timeout", "_disconnect_after")

    def __init__(self, use: UseCase, load: Load, seed: int, order: int, intended: int) -> None:
        self.use = use
        self._load = load
        self._random = Random(seed * 1_000_003 + order)
        self._intended = intended
        self.nth = 0
        self._draw_timeout(use.outer)

    def _draw_timeout(self, remaining: int) -> None:
        self.timeout = int(max(1, min(remaining, round(self.use.outer * self._load.patience))))
        self._disconnect_after = -1
        if self._load.leave and self._random.random() < self._load.leave:
            self._disconnect_after = max(1, round(self.timeout * self._random.random()))

    def wait_time(self, slack: int) -> int:
        """How long the client waits for the response (us): the timeout that it sent plus `slack`, so that a response
        just before the timeout still arrives. A client that disconnects early waits less."""
        return self._disconnect_after if self._disconnect_after >= 0 else self.timeout + slack

    @property
    def deadline(self) -> int:
        """When the client gives up on the request, including retries (clock)."""
        return self._intended + self.use.outer

    def next_attempt_time(self, how: str, advice: int, now: int) -> int | None:
        """When to send the next attempt, after one that ended with the outcome `how` and the Retry-After delay `advice`
        (us, 0 for none). None if there is no further attempt."""
        if how == DONE or self.nth >= self._load.retries:
            return None
        if self.use.repeat == "single-use" and how not in NOT_EXECUTED:
            return None
        delay = int(self._load.backoff)
        if how == NOBODY or how == UNREACHED:
            delay = max(delay, UNREACHED_BACKOFF)
        if advice and self._random.random() < self._load.honours:
            delay = max(delay, advice)
        if now + delay >= self.deadline:
            return None
        self.nth += 1
        self._draw_timeout(self.deadline - now - delay)
        return now + delay
