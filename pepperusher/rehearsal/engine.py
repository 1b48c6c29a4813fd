"""One backend's work as a model in real time, free of I/O: cores, slots, a queue, warming, overload and
tipping.

Work is in us on a core of speed 1. Tickets that run share the cores evenly (processor sharing), so one is
over when the share that each has had since the start, `_share`, reaches what it stood at when the work began
plus the work. A ticket that waits for a call to the next tier keeps its slot and leaves the cores. Whoever
holds the sockets says what time it is with each call, and asks `due` when to come again.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import Any

from pepperusher.rehearsal.script import Kind

# While a backend warms its speed goes up by steps of this, and so does what it is known to have been able to
# do.
STEP = 10_000
# What came and what could be done is counted by so much for the rule on cold backends.
BIN = 100_000

RUNS, WAITS, FULL = "runs", "waits", "full"


class Job:
    """One ticket's work here: the rest of it in `parts`, between which it calls the next tier."""

    __slots__ = (
        "parts",
        "need",
        "on_core",
        "in_slot",
        "waiting",
        "over",
        "began_at",
        "done_work",
        "since",
        "owner",
    )

    def __init__(self, parts: list[int], owner: Any = None) -> None:
        self.parts = parts
        self.owner = owner  # whoever answers for it; the model never looks at it
        self.need = 0.0
        self.on_core = False
        self.in_slot = False
        self.waiting = False
        self.over = False
        self.began_at = -1
        self.done_work = 0.0
        self.since = 0.0


class Engine:
    """`born` is when it started (us, any clock that only advances); one that is warm from the start is born
    long ago.

    `fell` is when it was pushed over, -1 while it stands: the most sent over `tip_for` was more than
    `tip_multiple` times what it could do in that time while it was cold.
    """

    def __init__(self, kind: Kind, born: int, now: int, tip_multiple: float, tip_for: int) -> None:
        self._kind = kind
        self._born = born
        self._tip_multiple = tip_multiple
        self._tip_bins = max(1, tip_for // BIN)
        self._at = now
        self._share = 0.0
        self._on_core: list[tuple[float, int, Job]] = []  # a heap; emptied as parts end, stopped ones as they surface
        self._running = 0
        self._slots = 0
        self._queue: deque[Job] = deque()  # emptied as slots come free
        self._order = 0
        self._bins: deque[list[float]] = deque()  # [came, could] by BIN, _tip_bins at the most
        self._bin_ends = now + BIN
        self._bins.append([0.0, 0.0])
        self._heavy_since = self._light_since = self._slowed_at = -1
        self.slower = 1.0
        self.frozen = False
        self.fell = -1
        self.worked = 0.0

    # --- what it can do ---------------------------------------------------------------------------

    def warmth(self, now: int) -> float:
        """The part of its speed that it has: from `cold_from` evenly up to 1."""
        age = now - self._born
        if age >= self._kind.warm_for or self._kind.cold_from >= 1.0:
            return 1.0
        return self._kind.cold_from + (1.0 - self._kind.cold_from) * max(0, age) / self._kind.warm_for

    def cold(self, now: int) -> bool:
        return self._kind.cold_from < 1.0 and now - self._born < self._kind.warm_for

    @property
    def overloaded(self) -> bool:
        return self._slowed_at >= 0

    @property
    def in_hand(self) -> int:
        return self._slots + len(self._queue)

    def _speed(self, now: int) -> float:
        if self.frozen or self.fell >= 0:
            return 0.0
        speed = self._kind.speed * self.warmth(now) / self.slower
        if self._slowed_at >= 0 and self._kind.overload is not None:
            speed /= self._kind.overload.slower
        return speed

    # --- time -------------------------------------------------------------------------------------

    def advance(self, now: int) -> list[Job]:
        """Brings the work up to `now`; the jobs whose part ended, in order. Each keeps its slot until
        `leave`."""
        ended: list[Job] = []
        while self._at < now:
            self._surface()
            speed = self._speed(self._at)
            step = min(now, self._bin_ends)
            if self.cold(self._at):
                step = min(step, self._at + STEP)
            rate = speed * min(1.0, self._kind.cores / self._running) if self._running else 0.0
            if rate > 0.0:
                first = self._on_core[0][0]
                step = min(step, max(self._at + 1, self._at + int((first - self._share) / rate) + 1))
            passed = step - self._at
            self._share += rate * passed
            self.worked += rate * passed * self._running
            # Frozen or not: a freeze is not what pushes it over, and neither is having had nothing to do.
            self._bins[-1][1] += self._kind.speed * self.warmth(self._at) / self.slower * self._kind.cores * passed
            self._at = step
            while self._on_core and self._on_core[0][0] <= self._share + 1e-6:
                job = heappop(self._on_core)[2]
                if job.on_core:
                    self._off(job)
                    ended.append(job)
            self._watch_load()
            if self._at >= self._bin_ends:
                self._turn_bin()
        return ended

    def _surface(self) -> None:
        while self._on_core and not self._on_core[0][2].on_core:
            heappop(self._on_core)

    def due(self) -> int | None:
        """When a part ends if nothing else comes; None if none is under way. Asked after `advance`."""
        self._surface()
        speed = self._speed(self._at)
        if not self._on_core or speed <= 0.0:
            return None
        left = max(0.0, self._on_core[0][0] - self._share)
        rate = speed * min(1.0, self._kind.cores / self._running)
        due = self._at + int(left / rate) + 1
        return min(due, self._at + STEP) if self.cold(self._at) else due

    def _turn_bin(self) -> None:
        self._bin_ends += BIN
        if self.cold(self._at) and self.fell < 0 and len(self._bins) >= self._tip_bins:
            came = sum(one[0] for one in self._bins)
            could = sum(one[1] for one in self._bins)
            if could > 0 and came > self._tip_multiple * could:
                self.fell = self._at
        while len(self._bins) >= self._tip_bins:
            self._bins.popleft()
        self._bins.append([0.0, 0.0])

    def _watch_load(self) -> None:
        terms = self._kind.overload
        if terms is None:
            return
        load = self.in_hand / self._kind.cores
        if self._slowed_at < 0:
            if load < terms.at:
                self._heavy_since = -1
            elif self._heavy_since < 0:
                self._heavy_since = self._at
            elif self._at - self._heavy_since >= terms.after:
                self._slowed_at, self._light_since = self._at, -1
            return
        if load > terms.below:
            self._light_since = -1
        elif self._light_since < 0:
            self._light_since = self._at
        if (
            self._at - self._slowed_at >= terms.most
            or self._light_since >= 0
            and self._at - self._light_since >= terms.rest
        ):
            self._slowed_at = self._heavy_since = -1

    # --- tickets ----------------------------------------------------------------------------------

    def offer(self, job: Job, came: int) -> str:
        """A ticket whose last byte is here; `came` is the work it brings, as the rule on cold backends counts
        it."""
        self._bins[-1][0] += came
        if self._slots < self._kind.slots * self._kind.cores:
            self._enter(job)
            how = RUNS
        elif len(self._queue) >= self._kind.queue * self._kind.cores:
            return FULL
        else:
            job.waiting = True
            self._queue.append(job)
            how = WAITS
        self._watch_load()
        return how

    def _enter(self, job: Job) -> None:
        job.waiting = False
        job.in_slot = True
        job.began_at = self._at
        self._slots += 1
        self.resume(job)

    def resume(self, job: Job) -> None:
        """Its next part goes on the cores."""
        work = job.parts.pop(0)
        job.need = self._share + work
        job.since = self._share
        job.on_core = True
        self._running += 1
        self._order += 1
        heappush(self._on_core, (job.need, self._order, job))

    def _off(self, job: Job) -> None:
        job.on_core = False
        self._running -= 1
        job.done_work += self._share - job.since

    def leave(self, job: Job) -> list[Job]:
        """It is over, done or stopped; who enters from the queue in its place."""
        if job.over:
            return []
        job.over = True
        if job.on_core:
            self._off(job)
        if job.waiting:
            self._queue.remove(job)
            job.waiting = False
        if not job.in_slot:
            return []
        job.in_slot = False
        self._slots -= 1
        entered = []
        while self._queue and self._slots < self._kind.slots * self._kind.cores:
            following = self._queue.popleft()
            self._enter(following)
            entered.append(following)
        self._watch_load()
        return entered


def parts_of(work: int, calls: int) -> list[int]:
    """A ticket's work in equal parts, one before each call and one after the last."""
    part, rest = divmod(work, calls + 1)
    return [part + (1 if turn < rest else 0) for turn in range(calls + 1)]


class Memory:
    """What one cell knows of marks against repeats: which work is under way and which has been done, for so
    long.

    `_since` is in the order of its times, so what is over is dropped from its front with every question; it
    holds no more than the marks of the longest time.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[int, str], tuple[int, Job | None]] = {}
        self._since: deque[tuple[int, tuple[int, str]]] = deque()

    def ask(self, use: int, mark: str, remembered: int, job: Job, now: int) -> tuple[str, Job | None]:
        """ "new" (and from now on known), "done", or "under way" with the job that does it."""
        while self._since and self._since[0][0] <= now:
            until, key = self._since.popleft()
            if key in self._known and self._known[key][0] == until:
                del self._known[key]
        key = (use, mark)
        known = self._known.get(key)
        if known is not None:
            return ("done", None) if known[1] is None else ("under way", known[1])
        until = now + remembered
        self._known[key] = (until, job)
        self._since.append((until, key))
        if len(self._since) > 1 and self._since[-2][0] > until:
            self._since = deque(sorted(self._since))
        return "new", None

    def over(self, use: int, mark: str, job: Job, done: bool) -> None:
        """The work is done, or was stopped and never took effect: then a repeat runs."""
        known = self._known.get((use, mark))
        if known is None or known[1] is not job:
            return
        if done:
            self._known[(use, mark)] = (known[0], None)
        else:
            del self._known[(use, mark)]
