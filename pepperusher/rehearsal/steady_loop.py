"""An event loop whose clock excludes the time in which the process or the machine is busy.

Its clock adds up the time spent waiting in the selector, each wait at most as long as requested. Neither the run time of
callbacks nor scheduling delays count. It is meant for simulations in which many clients share one process, while in
production each has a machine of its own. Real time advances at least as fast, and kernel timers follow real time.
"""

from __future__ import annotations

import asyncio
import selectors
import time


class WaitCountingSelector(selectors.DefaultSelector):
    """A selector that adds up its waiting time, in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.waited = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        started_at = time.monotonic()
        ready = super().select(timeout)
        elapsed = time.monotonic() - started_at
        self.waited += elapsed if timeout is None else min(elapsed, max(0.0, timeout))
        return ready


class SteadyLoop(asyncio.SelectorEventLoop):
    """An event loop with the clock described above."""

    def __init__(self) -> None:
        self._selector_clock = WaitCountingSelector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        return self._selector_clock.waited
