"""Measures for how long the event loop of a test does not run, which on a busy machine is not the proxy's fault."""

from __future__ import annotations

import asyncio
import time

CHECK_INTERVAL_S = 0.001
# A check that runs later than this is a stall; less is the usual lateness of timers.
THRESHOLD_S = 0.005
# Stalls from this length on are kept one by one, for the message of a test that fails.
LONG_STALL_S = 0.1


class StallMeter:
    """Sums up the stalls of the running event loop from `start` until `stop`."""

    def __init__(self) -> None:
        self.long_stalls: list[tuple[float, float]] = []  # wall clock time at the end, and seconds
        self._total_s = 0.0
        self._due = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._due = time.monotonic() + CHECK_INTERVAL_S
        self._task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    @property
    def total_s(self) -> float:
        """The seconds of all stalls so far, with that one whose check is still due."""
        return self._total_s + self._current_stall()

    def _current_stall(self) -> float:
        late = time.monotonic() - self._due
        return late if late > THRESHOLD_S else 0.0

    async def _watch(self) -> None:
        while True:
            self._due = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            stall = self._current_stall()
            self._total_s += stall
            if stall > LONG_STALL_S:
                self.long_stalls.append((time.time(), stall))
