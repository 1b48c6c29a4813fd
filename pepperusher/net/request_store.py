"""The store beside the proxy: each referenced ticket's attempts, on disk before their first byte goes out.

Loaded only where the own file names a folder. It decides nothing: what was sent before is handed to the decisions as
attempts of the ticket, and their own rules then hold for a mark as for a ticket.
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

# What proves that an attempt never ran.
NEVER = ("unreached", "full", "moot")


class RequestStore:
    """Opened before anything is served; a store that can't be had is off, with one line, and the proxy serves on."""

    def __init__(self, said: Store, say: Callable[..., None]) -> None:
        assert said.folder is not None
        self._said = said
        self._say = say
        self._tables = Tables(said.marks, 0, 0)
        self._keeper: StoreWriter | None = None
        self._log: Log | None = Log(Disk(Path(said.folder)), said.sync)
        self.counts = {"kept": 0, "not kept": 0, "no room": 0}
        try:
            for kind, body in replay(self._log.open()):
                self._tables.take(kind, body)
        except (RefusedError, FolderLockedError, OSError) as error:
            self._log = None
            say("the store is off", folder=said.folder, why=str(error))

    def start(self) -> None:
        if self._log is not None:
            self._keeper = StoreWriter(self._log, self._state, self._said.compact_at * 1024 * 1024, self._say)

    def _state(self) -> list[tuple[int, bytes]]:
        return self._tables.state(clock.now())

    async def stop(self) -> None:
        if self._keeper is not None:
            await self._keeper.close()

    @property
    def enabled(self) -> bool:
        return self._keeper is not None and not self._keeper.off

    def attempts_of(self, use_case: str, mark: str) -> list[PastAttempt]:
        """What was sent under this mark and is not forgotten, the first first."""
        return self._tables.marks.past(use_case, mark, clock.now())

    async def record_attempt(self, use_case: str, mark: str, backend: str, cell: int, remembered: int) -> int | None:
        """One is about to go out; the time it is known by once it is on disk. None where it is not: then it may not go,
        since after a crash nobody would know of it."""
        now = clock.now()
        marks = self._tables.marks
        if self._keeper is None or not marks.room(use_case, mark, now):
            self.counts["no room"] += 1
            return None
        body = marks.sent(use_case, mark, backend, cell, now, now + remembered)
        if await self._keeper.put(SENT, body, self._said.wait / 1e6) != KEPT:
            self.counts["not kept"] += 1
            self.record_outcome(use_case, mark, now, "moot")
            return None
        self.counts["kept"] += 1
        return now

    def record_outcome(self, use_case: str, mark: str, at: int, how: str) -> None:
        """The one sent at `at` ended so."""
        if how in NEVER and self._keeper is not None:
            self._keeper.note(NEVER_RAN, self._tables.marks.never_ran(use_case, mark, at))
