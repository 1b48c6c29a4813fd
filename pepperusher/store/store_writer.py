"""The log behind a thread, so that a slow disk holds no ticket's loop: groups gathered while the one before
is written.

`put` says when what it took is on disk. What is not within `bound` is late for whoever waits, and is written
all the same. A disk that fails ends the store with one line; all who wait are told so at once.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from time import monotonic

from pepperusher.store.log import Log

# A group is well under the longest frame.
GROUP = 1 << 18
KEPT, LATE, OFF = "kept", "late", "off"


class StoreWriter:
    """`state` gives the records of all tables, called on the loop; `say` a log line with its figures."""

    def __init__(
        self,
        log: Log,
        state: Callable[[], list[tuple[int, bytes]]],
        compact_at: int,
        say: Callable[..., None],
    ) -> None:
        self._log = log
        self._state = state
        self._compact_at = compact_at
        self._say = say
        self._loop = asyncio.get_running_loop()
        self._wake = threading.Condition()
        # What waits for the thread; emptied by it, and by the end of the store.
        self._waiting: list[tuple[int, bytes, asyncio.Future[bool] | None]] = []
        # What the thread is writing; emptied by it.
        self._writing: list[tuple[int, bytes, asyncio.Future[bool] | None]] = []
        self._snapshot: tuple[int, int, list[tuple[int, bytes]]] | None = None
        self._compacting = False
        self._closing = False
        self.off = False
        self.groups = 0
        self.records = 0
        self.longest = 0.0  # a group's writing, in seconds
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def note(self, kind: int, body: bytes) -> None:
        """Written with the next group; nobody waits for it."""
        self._add(kind, body, None)

    async def put(self, kind: int, body: bytes, bound: float) -> str:
        """KEPT once it is on disk, LATE if that took over `bound` seconds, OFF if there is no store any
        more."""
        if self.off:
            return OFF
        told: asyncio.Future[bool] = self._loop.create_future()
        self._add(kind, body, told)
        try:
            async with asyncio.timeout(bound):
                return KEPT if await told else OFF
        except TimeoutError:
            return LATE

    def _add(self, kind: int, body: bytes, told: asyncio.Future[bool] | None) -> None:
        if self.off:
            return
        with self._wake:
            self._waiting.append((kind, body, told))
            self._wake.notify()

    # --- the thread -------------------------------------------------------------------------------

    def _take(self) -> list[tuple[int, bytes, asyncio.Future[bool] | None]] | None:
        """The next group, waited for, maybe empty where a snapshot is to be written; None at the end."""
        with self._wake:
            while not self._waiting and not self._closing and self._snapshot is None:
                self._wake.wait()
            if not self._waiting and self._snapshot is None:
                return None
            size = place = 0
            while place < len(self._waiting) and size < GROUP:
                size += len(self._waiting[place][1])
                place += 1
            group, self._waiting = self._waiting[:place], self._waiting[place:]
            self._writing = group
            return group

    def _run(self) -> None:
        try:
            while (group := self._take()) is not None:
                began = monotonic()
                self._log.append((kind, body) for kind, body, _ in group)
                self.longest = max(self.longest, monotonic() - began)
                self.groups += 1
                self.records += len(group)
                self._writing = []
                self._loop.call_soon_threadsafe(self._told, [told for _, _, told in group if told is not None])
                if self._log.bytes_since >= self._compact_at and not self._compacting:
                    self._compacting = True
                    # The state is taken on the loop, where tables change; all before it is in segments before
                    # this one.
                    sequence, first = self._log.rotate(), self._log.number
                    self._loop.call_soon_threadsafe(self._take_state, sequence, first)
                with self._wake:
                    ready, self._snapshot = self._snapshot, None
                if ready is not None:
                    sequence, first, state = ready
                    self._log.take_snapshot(self._log.write_snapshot(sequence, state), sequence, first)
                    self._compacting = False
            self._log.close()
        except Exception as error:  # the disk's trouble is not the tickets'
            self._call(self._end, error)
        except BaseException as error:
            self._call(self._end, error)
            raise

    def _call(self, what: Callable[..., None], *given: object) -> None:
        try:
            self._loop.call_soon_threadsafe(what, *given)
        except RuntimeError:
            pass  # the loop has ended, and nobody is left to tell

    # --- the loop ---------------------------------------------------------------------------------

    @staticmethod
    def _told(those: list[asyncio.Future[bool]]) -> None:
        for told in those:
            if not told.done():
                told.set_result(True)

    def _take_state(self, sequence: int, first: int) -> None:
        """Tables hold more than `sequence` by now; the log after it says that again, which each table
        bears."""
        state = self._state()
        with self._wake:
            self._snapshot = (sequence, first, state)
            self._wake.notify()

    def _end(self, error: BaseException) -> None:
        self.off = True
        with self._wake:
            waiting, self._waiting, self._writing = self._writing + self._waiting, [], []
        for _, _, told in waiting:
            if told is not None and not told.done():
                told.set_result(False)
        self._say("the store is off", why=str(error) or type(error).__name__)

    async def close(self) -> None:
        """What waits is written, and the folder let go."""
        with self._wake:
            self._closing = True
            self._wake.notify()
        await asyncio.to_thread(self._thread.join)
