"""Detects that the process was paused, and holds back requests after that until the endpoint list has been read.

Other proxies may have been told of a change meanwhile that applies to this one too: what discovery has written counts
as told, whether it was read or not.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pepperusher.net import clock

# Microseconds between two checks of the clock.
CHECK_INTERVAL_US = 50_000
# If timers did not run for this many microseconds, the process was stopped or had no CPU.
PAUSE_THRESHOLD_US = 300_000
# After a pause nothing is sent until the event loop has run READ_ITERATIONS times, since sockets are read in one
# iteration and their data is handled in the following ones, and until discovery's connections have no unread data, for
# at most READ_TIMEOUT_S.
READ_ITERATIONS = 5
READ_TIMEOUT_S = 0.1
# With each check the recorded lateness of timers drops by one part in this many, which halves it in 7 s. That is a few
# times as long as a request lasts, because lateness comes in bursts.
LATENESS_DECAY = 200


class ProcessPause:
    """Detects pauses of the process. `has_unread` says whether data of discovery waits on its connections; `on_pause` is
    called once for each pause.
    """

    def __init__(self, has_unread: Callable[[], bool], on_pause: Callable[[], None]) -> None:
        self._has_unread = has_unread
        self._on_pause = on_pause
        self._checked_at = clock.now()
        self._catching_up: asyncio.Event | None = None  # set while pending data is read
        self._catch_up_task: asyncio.Task[None] | None = None
        self.count = 0  # how many pauses there were
        self.lateness_us = 0  # recent lateness of timers in microseconds

    @property
    def unnoticed(self) -> bool:
        """Whether the process was paused and no check has noticed it yet."""
        return clock.now() - self._checked_at > PAUSE_THRESHOLD_US

    @property
    def seconds_since_check(self) -> float:
        """Seconds since the last check: an event that is due now may have been due for so long."""
        return max(0, clock.now() - self._checked_at) / 1e6

    async def wait_for_list(self) -> None:
        """Returns at once, except after a process pause: then once pending data, including the endpoint list, has been
        read.
        """
        if self.unnoticed:
            self._record_pause()
        if self._catching_up is not None:
            await self._catching_up.wait()

    async def watch(self) -> None:
        """Checks the clock for as long as the proxy runs."""
        while True:
            due = clock.now() + CHECK_INTERVAL_US
            await asyncio.sleep(CHECK_INTERVAL_US / 1e6)
            if self.unnoticed:
                # This timer was due just as the loop stopped, so it runs before the pending data is read; without this
                # check the pause would go unnoticed.
                self._record_pause()
            self._checked_at = clock.now()
            self.lateness_us = max(self._checked_at - due, self.lateness_us - self.lateness_us // LATENESS_DECAY)

    def _record_pause(self) -> None:
        """Counts the pause, reports it, and starts to catch up on pending data."""
        self._checked_at = clock.now()
        self.count += 1
        self._on_pause()
        if self._catching_up is None:
            self._catching_up = asyncio.Event()
            self._catch_up_task = asyncio.get_running_loop().create_task(self._catch_up(self._catching_up))

    async def _catch_up(self, caught_up: asyncio.Event) -> None:
        """Waits for loop iterations rather than for a time, because time passes while a busy machine does not run the
        loop.
        """
        try:
            for _ in range(READ_ITERATIONS):
                await asyncio.sleep(0)
            deadline = clock.now() + round(READ_TIMEOUT_S * 1e6)
            while self._has_unread() and clock.now() < deadline:
                await asyncio.sleep(0)
        finally:
            self._catching_up = None
            caught_up.set()
