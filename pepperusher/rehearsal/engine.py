"""A real-time model, free of I/O, of how one backend executes tickets: cores, slots, a queue, warm-up, overload and
failure under cold load.

Work is measured in us on a core of speed 1. Running tickets share the cores evenly (processor sharing).
`_service_per_job` is the service that a job would have received if it had run since the engine's start; a part of a
job ends when that value has grown by the work of the part. A ticket that waits for a call to the next tier keeps its
slot and uses no core. The caller passes the current time to `advance`, and calls it again at the time that `due` gives.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import Any

from pepperusher.rehearsal.script import Kind

# Step in us in which a warming backend's speed rises, and with it the capacity that is counted for it.
STEP = 10_000
# Width in us of the bins that count offered work and capacity for the cold overload rule (`tip_multiple`).
BIN = 100_000

RUNS, WAITS, FULL = "runs", "waits", "full"


class Job:
    """The work of one ticket on this backend. `parts` is the work left, with a call to the next tier between parts."""

    __slots__ = (
        "parts",
        "service_end",
        "on_core",
        "in_slot",
        "waiting",
        "over",
        "began_at",
        "done_work",
        "service_start",
        "owner",
    )

    def __init__(self, parts: list[int], owner: Any = None) -> None:
        self.parts = parts
        self.owner = owner  # the object that handles the ticket; the model does not use it
        self.service_end = 0.0
        self.on_core = False
        self.in_slot = False
        self.waiting = False
        self.over = False
        self.began_at = -1
        self.done_work = 0.0
        self.service_start = 0.0


class Engine:
    """The execution model of one backend.

    `born` is the start time of the backend (us, any monotonic clock); for a backend that is warm from the start it
    lies further back than the warm-up time. `fell` is when the backend failed from load, -1 if it has not: that
    happens when a cold backend is offered more than `tip_multiple` times the work that it could do within `tip_for`.
    """

    def __init__(self, kind: Kind, born: int, now: int, tip_multiple: float, tip_for: int) -> None:
        self._kind = kind
        self._born = born
        self._tip_multiple = tip_multiple
        self._tip_bins = max(1, tip_for // BIN)
        self._advanced_to = now
        self._service_per_job = 0.0
        self._on_core: list[tuple[float, int, Job]] = []  # a heap; a stopped job is removed when it reaches the top
        self._running = 0
        self._slots_in_use = 0
        self._queue: deque[Job] = deque()  # an entry is removed when a slot is free
        self._sequence = 0
        self._bins: deque[list[float]] = deque()  # [offered work, capacity] per BIN, at most _tip_bins of them
        self._bin_ends = now + BIN
        self._bins.append([0.0, 0.0])
        self._overload_since = self._low_load_since = self._overloaded_at = -1
        self.slower = 1.0
        self.frozen = False
        self.fell = -1
        self.worked = 0.0

    # --- capacity ---------------------------------------------------------------------------------

    def warmth(self, now: int) -> float:
        """The share of full speed at `now`: rises linearly from `cold_from` to 1 over the warm-up time."""
        age = now - self._born
        if age >= self._kind.warm_for or self._kind.cold_from >= 1.0:
            return 1.0
        return self._kind.cold_from + (1.0 - self._kind.cold_from) * max(0, age) / self._kind.warm_for

    def cold(self, now: int) -> bool:
        return self._kind.cold_from < 1.0 and now - self._born < self._kind.warm_for

    @property
    def overloaded(self) -> bool:
        return self._overloaded_at >= 0

    @property
    def in_hand(self) -> int:
        """Tickets in slots and in the queue."""
        return self._slots_in_use + len(self._queue)

    def _speed(self, now: int) -> float:
        if self.frozen or self.fell >= 0:
            return 0.0
        speed = self._kind.speed * self.warmth(now) / self.slower
        if self._overloaded_at >= 0 and self._kind.overload is not None:
            speed /= self._kind.overload.slower
        return speed

    # --- time -------------------------------------------------------------------------------------

    def advance(self, now: int) -> list[Job]:
        """Advances the model to `now` and returns the jobs whose part ended, in order. Each keeps its slot until
        `leave`."""
        ended: list[Job] = []
        while self._advanced_to < now:
            self._drop_stopped_jobs()
            speed = self._speed(self._advanced_to)
            step = min(now, self._bin_ends)
            if self.cold(self._advanced_to):
                step = min(step, self._advanced_to + STEP)
            rate = speed * min(1.0, self._kind.cores / self._running) if self._running else 0.0
            if rate > 0.0:
                first = self._on_core[0][0]
                step = min(
                    step,
                    max(self._advanced_to + 1, self._advanced_to + int((first - self._service_per_job) / rate) + 1),
                )
            elapsed = step - self._advanced_to
            self._service_per_job += rate * elapsed
            self.worked += rate * elapsed * self._running
            # Capacity counts even while the backend is frozen or idle, as neither may trigger the overload rule.
            self._bins[-1][1] += (
                self._kind.speed * self.warmth(self._advanced_to) / self.slower * self._kind.cores * elapsed
            )
            self._advanced_to = step
            while self._on_core and self._on_core[0][0] <= self._service_per_job + 1e-6:
                job = heappop(self._on_core)[2]
                if job.on_core:
                    self._leave_core(job)
                    ended.append(job)
            self._update_overload()
            if self._advanced_to >= self._bin_ends:
                self._start_next_bin()
        return ended

    def _drop_stopped_jobs(self) -> None:
        while self._on_core and not self._on_core[0][2].on_core:
            heappop(self._on_core)

    def due(self) -> int | None:
        """When the next part ends if no other ticket arrives; None if none runs. Valid right after `advance`."""
        self._drop_stopped_jobs()
        speed = self._speed(self._advanced_to)
        if not self._on_core or speed <= 0.0:
            return None
        left = max(0.0, self._on_core[0][0] - self._service_per_job)
        rate = speed * min(1.0, self._kind.cores / self._running)
        due = self._advanced_to + int(left / rate) + 1
        return min(due, self._advanced_to + STEP) if self.cold(self._advanced_to) else due

    def _start_next_bin(self) -> None:
        self._bin_ends += BIN
        if self.cold(self._advanced_to) and self.fell < 0 and len(self._bins) >= self._tip_bins:
            offered_work = sum(counts[0] for counts in self._bins)
            capacity = sum(counts[1] for counts in self._bins)
            if capacity > 0 and offered_work > self._tip_multiple * capacity:
                self.fell = self._advanced_to
        while len(self._bins) >= self._tip_bins:
            self._bins.popleft()
        self._bins.append([0.0, 0.0])

    def _update_overload(self) -> None:
        overload_model = self._kind.overload
        if overload_model is None:
            return
        load = self.in_hand / self._kind.cores
        if self._overloaded_at < 0:
            if load < overload_model.at:
                self._overload_since = -1
            elif self._overload_since < 0:
                self._overload_since = self._advanced_to
            elif self._advanced_to - self._overload_since >= overload_model.after:
                self._overloaded_at, self._low_load_since = self._advanced_to, -1
            return
        if load > overload_model.below:
            self._low_load_since = -1
        elif self._low_load_since < 0:
            self._low_load_since = self._advanced_to
        if (
            self._advanced_to - self._overloaded_at >= overload_model.most
            or self._low_load_since >= 0
            and self._advanced_to - self._low_load_since >= overload_model.rest
        ):
            self._overloaded_at = self._overload_since = -1

    # --- tickets ----------------------------------------------------------------------------------

    def offer(self, job: Job, arrived_work: int) -> str:
        """Admits a ticket that has been read completely: it runs (RUNS), is queued (WAITS) or is rejected (FULL).
        `arrived_work` is the offered work that the cold overload rule counts."""
        self._bins[-1][0] += arrived_work
        if self._slots_in_use < self._kind.slots * self._kind.cores:
            self._start(job)
            outcome = RUNS
        elif len(self._queue) >= self._kind.queue * self._kind.cores:
            return FULL
        else:
            job.waiting = True
            self._queue.append(job)
            outcome = WAITS
        self._update_overload()
        return outcome

    def _start(self, job: Job) -> None:
        job.waiting = False
        job.in_slot = True
        job.began_at = self._advanced_to
        self._slots_in_use += 1
        self.resume(job)

    def resume(self, job: Job) -> None:
        """Starts the next part of a job on the cores."""
        work = job.parts.pop(0)
        job.service_end = self._service_per_job + work
        job.service_start = self._service_per_job
        job.on_core = True
        self._running += 1
        self._sequence += 1
        heappush(self._on_core, (job.service_end, self._sequence, job))

    def _leave_core(self, job: Job) -> None:
        job.on_core = False
        self._running -= 1
        job.done_work += self._service_per_job - job.service_start

    def leave(self, job: Job) -> list[Job]:
        """Removes a job that is done or stopped; returns the queued jobs that start in its place."""
        if job.over:
            return []
        job.over = True
        if job.on_core:
            self._leave_core(job)
        if job.waiting:
            self._queue.remove(job)
            job.waiting = False
        if not job.in_slot:
            return []
        job.in_slot = False
        self._slots_in_use -= 1
        started_jobs = []
        while self._queue and self._slots_in_use < self._kind.slots * self._kind.cores:
            next_job = self._queue.popleft()
            self._start(next_job)
            started_jobs.append(next_job)
        self._update_overload()
        return started_jobs


def parts_of(work: int, calls: int) -> list[int]:
    """Splits a ticket's work into equal parts: one before each call and one after the last."""
    part, remainder = divmod(work, calls + 1)
    return [part + (1 if index < remainder else 0) for index in range(calls + 1)]


class Memory:
    """The idempotency keys that one cell remembers, each with whether its work is in progress or done.

    `_since` is sorted by expiry time, so each lookup drops the expired keys from its front. It holds at most the
    keys that arrived within the longest retention time.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[int, str], tuple[int, Job | None]] = {}
        self._since: deque[tuple[int, tuple[int, str]]] = deque()

    def ask(self, use: int, mark: str, remembered: int, job: Job, now: int) -> tuple[str, Job | None]:
        """Looks up a key: "new" (and remembers it from now on), "done", or "under way" with the job that does the
        work."""
        while self._since and self._since[0][0] <= now:
            expires_at, key = self._since.popleft()
            if key in self._known and self._known[key][0] == expires_at:
                del self._known[key]
        key = (use, mark)
        entry = self._known.get(key)
        if entry is not None:
            return ("done", None) if entry[1] is None else ("under way", entry[1])
        expires_at = now + remembered
        self._known[key] = (expires_at, job)
        self._since.append((expires_at, key))
        if len(self._since) > 1 and self._since[-2][0] > expires_at:
            self._since = deque(sorted(self._since))
        return "new", None

    def over(self, use: int, mark: str, job: Job, done: bool) -> None:
        """Marks the work of a key as done, or forgets the key if the work was stopped, so that a repeat does it."""
        entry = self._known.get((use, mark))
        if entry is None or entry[1] is not job:
            return
        if done:
            self._known[(use, mark)] = (entry[0], None)
        else:
            del self._known[(use, mark)]
