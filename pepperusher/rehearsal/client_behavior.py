"""How a client behaves from try to try, free of I/O: how long it waits, whether it asks again, and when."""

from __future__ import annotations

from random import Random

from pepperusher.rehearsal.records import BOUNCED, DONE, NOBODY, UNREACHED
from pepperusher.rehearsal.script import Load, UseCase

# Tries that certainly came to nothing: a single-use ticket may be asked again after these alone.
NEVER_RAN = (BOUNCED, UNREACHED, NOBODY)
# A client that finds nobody looks again after this, or after its own wait if that is longer.
LOOK_AGAIN = 50_000


class RequestBehavior:
    """What one client wants once, over all its tries. All chance is its own, from the script's seed and its
    place in the plan, so that what one client does never changes another's draws."""

    __slots__ = ("use", "_load", "_chance", "_intended", "nth", "timeout", "_leaves")

    def __init__(self, use: UseCase, load: Load, seed: int, order: int, intended: int) -> None:
        self.use = use
        self._load = load
        self._chance = Random(seed * 1_000_003 + order)
        self._intended = intended
        self.nth = 0
        self._draw(use.outer)

    def _draw(self, left: int) -> None:
        self.timeout = int(max(1, min(left, round(self.use.outer * self._load.patience))))
        self._leaves = -1
        if self._load.leave and self._chance.random() < self._load.leave:
            self._leaves = max(1, round(self.timeout * self._chance.random()))

    def wait_time(self, slack: int) -> int:
        """How long it waits on the socket: what it told and the rules' slack, so that an answer that comes
        just in time is seen; or less, where it is one that leaves before."""
        return self._leaves if self._leaves >= 0 else self.timeout + slack

    @property
    def deadline(self) -> int:
        """When it is no longer wanted at all."""
        return self._intended + self.use.outer

    def next_attempt_time(self, how: str, advice: int, now: int) -> int | None:
        """When to ask again after a try that ended `how`, with what was advised (us, 0 nothing); None for
        never."""
        if how == DONE or self.nth >= self._load.retries:
            return None
        if self.use.repeat == "single-use" and how not in NEVER_RAN:
            return None
        wait = int(self._load.backoff)
        if how == NOBODY or how == UNREACHED:
            wait = max(wait, LOOK_AGAIN)
        if advice and self._chance.random() < self._load.honours:
            wait = max(wait, advice)
        if now + wait >= self.deadline:
            return None
        self.nth += 1
        self._draw(self.deadline - now - wait)
        return now + wait
