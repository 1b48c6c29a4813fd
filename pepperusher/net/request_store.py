"""The request store of a proxy: the attempts of each referenced ticket, on disk before their first byte is sent.

Loaded only where the configuration file names a folder. It decides nothing: earlier attempts are given to the balancer
as attempts of the ticket, so their usual limits apply across restarts.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from pepperusher.net import clock
from pepperusher.configuration.tables import Store
from pepperusher.store.disk import Disk, FolderLockedError
from pepperusher.store.store_writer import KEPT, StoreWriter
from pepperusher.store.log import Log, replay
from pepperusher.store.recovery import RefusedError
from pepperusher.store.tables import NEVER_RAN, SENT, PastAttempt, Tables

# Outcomes that prove that an attempt never ran.
NEVER_RAN_OUTCOMES = ("unreached", "full", "moot")


class RequestStore:
    """Opened before the proxy serves. A store that cannot be opened is off, with one log line, and the proxy serves
    without it.
    """

    def __init__(self, settings: Store, say: Callable[..., None]) -> None:
        assert settings.folder is not None
        self._settings = settings
        self._say = say
        self._tables = Tables(settings.marks, 0, 0)
        self._writer: StoreWriter | None = None
        self._log: Log | None = Log(Disk(Path(settings.folder)), settings.sync)
        self.counts = {"kept": 0, "not kept": 0, "no room": 0}
        try:
            for kind, body in replay(self._log.open()):
                self._tables.take(kind, body)
        except (RefusedError, FolderLockedError, OSError) as error:
            self._log = None
            say("the store is off", folder=settings.folder, why=str(error))

    def start(self) -> None:
        if self._log is not None:
            self._writer = StoreWriter(self._log, self._state, self._settings.compact_at * 1024 * 1024, self._say)

    def _state(self) -> list[tuple[int, bytes]]:
        return self._tables.state(clock.now())

    async def stop(self) -> None:
        if self._writer is not None:
            await self._writer.close()

    @property
    def enabled(self) -> bool:
        """Whether attempts are being stored."""
        return self._writer is not None and not self._writer.off

    def attempts_of(self, use_case: str, idempotency_key: str) -> list[PastAttempt]:
        """The attempts sent under this idempotency key that are still remembered, the oldest first."""
        return self._tables.marks.past(use_case, idempotency_key, clock.now())

    async def record_attempt(
        self, use_case: str, idempotency_key: str, backend: str, cell: int, remember_for: int
    ) -> int | None:
        """Records an attempt before it is sent. Returns the time that identifies it, once it is on disk.

        None if it could not be stored: then it must not be sent, since after a crash nothing would show that it was.
        """
        now = clock.now()
        marks = self._tables.marks
        if self._writer is None or not marks.room(use_case, idempotency_key, now):
            self.counts["no room"] += 1
            return None
        record = marks.sent(use_case, idempotency_key, backend, cell, now, now + remember_for)
        if await self._writer.put(SENT, record, self._settings.wait / 1e6) != KEPT:
            self.counts["not kept"] += 1
            self.record_outcome(use_case, idempotency_key, now, "moot")
            return None
        self.counts["kept"] += 1
        return now

    def record_outcome(self, use_case: str, idempotency_key: str, sent_at: int, outcome: str) -> None:
        """Records how the attempt sent at `sent_at` ended."""
        if outcome in NEVER_RAN_OUTCOMES and self._writer is not None:
            self._writer.note(NEVER_RAN, self._tables.marks.never_ran(use_case, idempotency_key, sent_at))
