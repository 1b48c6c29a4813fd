"""Notices that the process stood still, and lets nothing go out after that before the list was read.

Others may have been told meanwhile what holds for this process too: what discovery has written counts as told, read or not.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pepperusher.net import clock

# Microseconds from one look at the clock to the next.
PACE = 50_000
# Timers that did not run for so many microseconds belong to a process that was stopped, or had no processor.
STOOD = 300_000
# After that nothing goes out before the loop has come round so often, since sockets are read in one iteration and what
# they brought is taken in the next ones, and until discovery's connections hold nothing unread, for so many seconds.
READ_ITERATIONS = 5
READ_WITHIN = 0.1
# The lateness of timers is forgotten by this part with each look, by half in 7 s: a few times as long as a request
# lasts, since what runs late does so in spells.
FORGOTTEN = 200


class ProcessPause:
    """`unread` tells whether words of discovery wait in its connections; `noticed` is called once for each process pause."""

    def __init__(self, unread: Callable[[], bool], noticed: Callable[[], None]) -> None:
        self._unread = unread
        self._noticed = noticed
        self._looked_at = clock.now()
        self._reading: asyncio.Event | None = None  # while what waited is read
        self._reader: asyncio.Task[None] | None = None
        self.count = 0  # how often it stood still
        self.late = 0  # how late timers have run of late, in microseconds

    @property
    def unnoticed(self) -> bool:
        """Whether it stood still, and nobody has looked since."""
        return clock.now() - self._looked_at > STOOD

    @property
    def unwatched_for(self) -> float:
        """Seconds since the last look: whatever is due now may have been due so long."""
        return max(0, clock.now() - self._looked_at) / 1e6

    async def list_read(self) -> None:
        """Returns at once, but after a process pause: then once what waited was read, the list among it."""
        if self.unnoticed:
            self._notice()
        if self._reading is not None:
            await self._reading.wait()

    async def watch(self) -> None:
        """Looks at the clock for as long as the proxy lives."""
        while True:
            due = clock.now() + PACE
            await asyncio.sleep(PACE / 1e6)
            if self.unnoticed:
                # It was due just as the loop began to stand, and has its turn ahead of what waited: that would go unnoticed.
                self._notice()
            self._looked_at = clock.now()
            self.late = max(self._looked_at - due, self.late - self.late // FORGOTTEN)

    def _notice(self) -> None:
        self._looked_at = clock.now()
        self.count += 1
        self._noticed()
        if self._reading is None:
            self._reading = asyncio.Event()
            self._reader = asyncio.get_running_loop().create_task(self._read_on(self._reading))

    async def _read_on(self, reading: asyncio.Event) -> None:
        """Counted in iterations of the loop and not by the clock, which goes on while a busy machine gives it no turn."""
        try:
            for _ in range(READ_ITERATIONS):
                await asyncio.sleep(0)
            until = clock.now() + round(READ_WITHIN * 1e6)
            while self._unread() and clock.now() < until:
                await asyncio.sleep(0)
        finally:
            self._reading = None
            reading.set()
