"""Writes the log in a thread, so that a slow disk doesn't block the event loop. Records are batched into a group while
the group before is written.

`put` waits until its record is on disk, for at most `bound` seconds; after that it returns LATE, and the record is
still written. A disk error disables the store with one log line, and all waiting calls of `put` return OFF at once.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from time import monotonic

from pepperusher.store.log import Log

# A group is closed at this size, well below the maximum length of a frame.
MAX_GROUP_BYTES = 1 << 18
# Results of `put`.
KEPT, LATE, OFF = "kept", "late", "off"


class StoreWriter:
    """`state` returns the snapshot records of all tables and is called on the event loop; `say` writes a log line with
    its fields."""

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
        self._condition = threading.Condition()
        # Records that wait for the thread, which removes them; cleared when the store is disabled.
        self._waiting: list[tuple[int, bytes, asyncio.Future[bool] | None]] = []
        # Records that the thread is writing; the thread clears it.
        self._writing: list[tuple[int, bytes, asyncio.Future[bool] | None]] = []
        self._snapshot: tuple[int, int, list[tuple[int, bytes]]] | None = None
        self._compacting = False
        self._closing = False
        self.off = False
        self.groups = 0
        self.records = 0
        self.longest_write = 0.0  # duration of the longest write of a group, in seconds
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def note(self, kind: int, body: bytes) -> None:
        """Queues a record for the next group without waiting for it."""
        self._enqueue(kind, body, None)

    async def put(self, kind: int, body: bytes, bound: float) -> str:
        """Writes a record: KEPT once it is on disk, LATE if that takes over `bound` seconds, OFF if the store is
        disabled."""
        if self.off:
            return OFF
        written: asyncio.Future[bool] = self._loop.create_future()
        self._enqueue(kind, body, written)
        try:
            async with asyncio.timeout(bound):
                return KEPT if await written else OFF
        except TimeoutError:
            return LATE

    def _enqueue(self, kind: int, body: bytes, written: asyncio.Future[bool] | None) -> None:
        if self.off:
            return
        with self._condition:
            self._waiting.append((kind, body, written))
            self._condition.notify()

    # --- methods that run in the writer thread ----------------------------------------------------

    def _next_group(self) -> list[tuple[int, bytes, asyncio.Future[bool] | None]] | None:
        """Waits for the next group, which may be empty if a snapshot is to be written; None once the store closes."""
        with self._condition:
            while not self._waiting and not self._closing and self._snapshot is None:
                self._condition.wait()
            if not self._waiting and self._snapshot is None:
                return None
            size = count = 0
            while count < len(self._waiting) and size < MAX_GROUP_BYTES:
                size += len(self._waiting[count][1])
                count += 1
            group, self._waiting = self._waiting[:count], self._waiting[count:]
            self._writing = group
            return group

    def _run(self) -> None:
        try:
            while (group := self._next_group()) is not None:
                started_at = monotonic()
                self._log.append((kind, body) for kind, body, _ in group)
                self.longest_write = max(self.longest_write, monotonic() - started_at)
                self.groups += 1
                self.records += len(group)
                self._writing = []
                self._loop.call_soon_threadsafe(
                    self._notify_written, [written for _, _, written in group if written is not None]
                )
                if self._log.log_bytes_since_snapshot >= self._compact_at and not self._compacting:
                    self._compacting = True
                    # The state is copied on the event loop, where the tables change; it includes all records of the
                    # segments before the new one.
                    sequence, first_segment = self._log.rotate(), self._log.number
                    self._loop.call_soon_threadsafe(self._copy_state, sequence, first_segment)
                with self._condition:
                    snapshot, self._snapshot = self._snapshot, None
                if snapshot is not None:
                    sequence, first_segment, state = snapshot
                    self._log.commit_snapshot(self._log.write_snapshot(sequence, state), sequence, first_segment)
                    self._compacting = False
            self._log.close()
        except Exception as error:  # a disk error must not fail tickets
            self._call_on_loop(self._disable, error)
        except BaseException as error:
            self._call_on_loop(self._disable, error)
            raise

    def _call_on_loop(self, callback: Callable[..., None], *arguments: object) -> None:
        try:
            self._loop.call_soon_threadsafe(callback, *arguments)
        except RuntimeError:
            pass  # the event loop has closed, so no call waits any more

    # --- methods that run on the event loop -------------------------------------------------------

    @staticmethod
    def _notify_written(futures: list[asyncio.Future[bool]]) -> None:
        for written in futures:
            if not written.done():
                written.set_result(True)

    def _copy_state(self, sequence: int, first_segment: int) -> None:
        """Copies the tables for a snapshot at `sequence`. They may include later records, which recovery applies again
        from the log: applying a record twice is harmless."""
        state = self._state()
        with self._condition:
            self._snapshot = (sequence, first_segment, state)
            self._condition.notify()

    def _disable(self, error: BaseException) -> None:
        self.off = True
        with self._condition:
            waiting, self._waiting, self._writing = self._writing + self._waiting, [], []
        for _, _, written in waiting:
            if written is not None and not written.done():
                written.set_result(False)
        self._say("the store is off", why=str(error) or type(error).__name__)

    async def close(self) -> None:
        """Writes the queued records, stops the thread and unlocks the folder."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        await asyncio.to_thread(self._thread.join)
