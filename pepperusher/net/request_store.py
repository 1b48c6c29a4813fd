"""The request store of a proxy: the attempts of each referenced ticket, on disk before their first byte is sent.

Loaded only where the configuration file names a folder. It decides nothing: earlier attempts are given to the balancer
as attempts of the ticket, so their usual limits apply across restarts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from operator import attrgetter
from pathlib import Path

from pepperusher.net import clock
from pepperusher.configuration.tables import Store
from pepperusher.store.disk import Disk, FolderLockedError
from pepperusher.store.store_writer import KEPT, StoreWriter
from pepperusher.store.log import Log, replay
from pepperusher.store.recovery import RefusedError
from pepperusher.store.tables import NEVER_RAN, SENT, PastAttempt, Tables

# How often a folder that another process holds is tried again.
FOLDER_RETRY_S = 0.05
# Records of the log that are applied in one turn of the event loop while the proxy serves.
RECORDS_PER_TURN = 500
# Outcomes that prove that an attempt never ran.
NEVER_RAN_OUTCOMES = ("unreached", "full", "moot")


class RequestStore:
    """Opened before the proxy serves. A store that cannot be opened is off, with one log line, and the proxy serves
    without it.

    While another process holds the folder, as the one that this process replaces does until it has ended, attempts are
    remembered in memory alone; they are written once the folder is free.
    """

    def __init__(self, settings: Store, say: Callable[..., None]) -> None:
        assert settings.folder is not None
        self._settings = settings
        self._say = say
        self._tables = Tables(settings.marks, 0, 0)
        self._writer: StoreWriter | None = None
        self._log: Log | None = None
        self._waits_for_folder = False
        self._wait_task: asyncio.Task[None] | None = None
        self.counts = {"kept": 0, "not kept": 0, "no room": 0}
        try:
            self._log, records = self._open()
            for kind, body in records:
                self._tables.take(kind, body)
        except FolderLockedError as error:
            self._waits_for_folder = True
            say("the store is not open yet", folder=settings.folder, why=str(error))
        except (RefusedError, OSError) as error:
            self._turn_off(error)

    def _open(self) -> tuple[Log, Iterator[tuple[int, bytes]]]:
        """Opens the log and returns it with its records. Raises RefusedError, FolderLockedError, OSError."""
        assert self._settings.folder is not None
        disk = Disk(Path(self._settings.folder))
        log = Log(disk, self._settings.sync)
        try:
            return log, replay(log.open())
        except (RefusedError, OSError):
            disk.close()
            raise

    def _turn_off(self, error: Exception) -> None:
        self._log = None
        self._waits_for_folder = False
        self._say("the store is off", folder=self._settings.folder, why=str(error))

    def start(self) -> None:
        if self._log is not None:
            self._start_writer(self._log)
        elif self._waits_for_folder:
            self._wait_task = asyncio.get_running_loop().create_task(self._wait_for_folder())

    def _start_writer(self, log: Log) -> None:
        self._writer = StoreWriter(log, self._state, self._settings.compact_at * 1024 * 1024, self._say)

    async def _wait_for_folder(self) -> None:
        """Opens the store as soon as the other process has left it, however that ended."""
        while self._waits_for_folder:
            await asyncio.sleep(FOLDER_RETRY_S)
            try:
                log, records = await asyncio.to_thread(self._open)
            except FolderLockedError:
                continue
            except (RefusedError, OSError) as error:
                self._turn_off(error)
                return
            unwritten = self._state()
            for number, (kind, body) in enumerate(records):
                self._tables.take(kind, body)
                if number % RECORDS_PER_TURN == 0:
                    await asyncio.sleep(0)
            self._start_writer(log)
            assert self._writer is not None
            for kind, body in unwritten:
                self._writer.note(kind, body)
            self._waits_for_folder = False
            self._say("the store is open", folder=self._settings.folder, remembered=len(unwritten))

    def _state(self) -> list[tuple[int, bytes]]:
        return self._tables.state(clock.now())

    async def stop(self) -> None:
        if self._wait_task is not None:
            self._wait_task.cancel()
        if self._writer is not None:
            await self._writer.close()

    @property
    def complete(self) -> bool:
        """Whether all earlier attempts are known, those of other processes too, and new ones are being stored."""
        return self._writer is not None and not self._writer.off

    @property
    def enabled(self) -> bool:
        """Whether attempts are being remembered."""
        return self.complete or self._waits_for_folder

    def attempts_of(self, use_case: str, idempotency_key: str) -> list[PastAttempt]:
        """The attempts sent under this idempotency key that are still remembered, the oldest first."""
        past = self._tables.marks.past(use_case, idempotency_key, clock.now())
        return sorted(past, key=attrgetter("sent"))

    async def record_attempt(
        self, use_case: str, idempotency_key: str, backend: str, cell: int, remember_for: int
    ) -> int | None:
        """Records an attempt before it is sent. Returns the time that identifies it, once it is on disk.

        None if it could not be stored: then it must not be sent, since after a crash nothing would show that it was.
        """
        now = clock.now()
        marks = self._tables.marks
        if not self.enabled or not marks.room(use_case, idempotency_key, now):
            self.counts["no room"] += 1
            return None
        record = marks.sent(use_case, idempotency_key, backend, cell, now, now + remember_for)
        if self._writer is None:
            return now  # written once the other process has left the folder
        if await self._writer.put(SENT, record, self._settings.wait / 1e6) != KEPT:
            self.counts["not kept"] += 1
            self.record_outcome(use_case, idempotency_key, now, "moot")
            return None
        self.counts["kept"] += 1
        return now

    def record_outcome(self, use_case: str, idempotency_key: str, sent_at: int, outcome: str) -> None:
        """Records how the attempt sent at `sent_at` ended."""
        if outcome not in NEVER_RAN_OUTCOMES:
            return
        record = self._tables.marks.never_ran(use_case, idempotency_key, sent_at)
        if self._writer is not None:
            self._writer.note(NEVER_RAN, record)
