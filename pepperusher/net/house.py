"""The proxy under its own file: admits tickets by their route, carries changes out, watches them, keeps the confirmed.

Loaded only where there is such a file. It decides nothing: `changes.standing` does.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from pepperusher.changes.kept import Kept
from pepperusher.changes.ledger import APPLIED, CONFIRMED, Change, LedgerError
from pepperusher.changes.standing import FULL, IN, LATE, RATE, WAITS, Pass, Standing
from pepperusher.facade import Entry
from pepperusher.net import clock
from pepperusher.own import reading
from pepperusher.own.reading import OwnError, Read
from pepperusher.terms import Ground

LOOK_EVERY = 0.1
# 429 tells a client that it is its own doing, 503 that it is not; both are bounces.
STATUS = {RATE: 429, FULL: 503, LATE: 503}
WHY = {RATE: "over its rate", FULL: "too many at once", LATE: "could not be in time"}


class House:
    """`path` is the file, `given` the command line's values; `say` takes a log line with its figures."""

    def __init__(self, path: Path, given: Mapping[str, Any], ground: Ground, say: Callable[..., None]) -> None:
        self._path = path
        self._given = dict(given)
        self._environment = reading.from_environment(os.environ)
        self._ground = ground
        self._say = say
        self._kept: Kept | None = None
        self._lines: Callable[[list[Entry]], None] = lambda _: None
        self._watching: asyncio.Task[None] | None = None
        # One carrying out of a change at a time: its writes are waited for.
        self._turn = asyncio.Lock()
        self._instead = ""
        self.standing = Standing(self._begin(), clock.now(), self._list_again, say)

    def _begin(self) -> Read:
        """What to start with. Raises OwnError, or OSError of the folder that is to last."""
        read = self._read()
        folder = read.own.changes.state
        if folder is None:
            return read
        self._kept = Kept(Path(folder))
        try:
            begin = self._kept.begin(read.text)
            if begin.instead:
                self._instead = begin.instead
                return self._parse(begin.text, "the last confirmed")
            self._kept.confirm(read.text)
        except OSError as error:
            # A disk that fails must not keep a proxy from serving; a restart then goes by the file.
            self._say("the folder for what is confirmed can't be used", folder=folder, why=error.strerror or str(error))
            self._kept = None
        return read

    def _read(self) -> Read:
        return reading.read(self._path, self._ground, self._environment, self._given)

    def _parse(self, text: str, source: str) -> Read:
        return reading.parse(text, source, self._ground, self._environment, self._given)

    def _list_again(self, lines: list[Entry]) -> None:
        self._lines(lines)

    def start(self, lines: Callable[[list[Entry]], None]) -> None:
        """`lines` takes changed lines of the list."""
        self._lines = lines
        if self._instead:
            self._say("started with the last confirmed file", why=self._instead)
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    def stop(self) -> None:
        if self._watching is not None:
            self._watching.cancel()

    # --- tickets ----------------------------------------------------------------------------------

    async def admit(self, made: Pass, on_leave: Callable[[Callable[[], None] | None], None]) -> bool:
        """Whether it may go in, waited for where it must be. `on_leave` takes what to do if the client leaves."""
        if made.how != WAITS or made.waiting is None:
            return made.how == IN
        told: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        def tell(how: str) -> None:
            self.standing.told(made, how, clock.now())
            if not told.done():
                told.set_result(how)

        def leave() -> None:
            if made.how == WAITS:
                self.standing.withdraw(made)
                made.how = "left"
                if not told.done():
                    told.set_result("left")

        made.waiting.tell = tell
        on_leave(leave)
        try:
            return await told == IN
        finally:
            on_leave(None)

    # --- changes ----------------------------------------------------------------------------------

    async def propose_file(self, who: str, why: str) -> Change:
        """As it stands now. Raises OwnError, LedgerError."""
        return await self._propose(await asyncio.to_thread(self._read), who, why)

    async def propose_text(self, text: str, who: str, why: str) -> Change:
        """Raises OwnError, LedgerError."""
        return await self._propose(await asyncio.to_thread(self._parse, text, "what is proposed"), who, why)

    async def _propose(self, read: Read, who: str, why: str) -> Change:
        change = self.standing.propose(read, who, why, clock.now())
        if change is self.standing.ledger.open:
            await self._carry_out(change)
        return change

    async def _carry_out(self, change: Change) -> None:
        """From proposed to applied. What must last is written before anything changes."""
        async with self._turn:
            if change.over:
                return
            if self._kept is not None:
                try:
                    await asyncio.to_thread(self._kept.open, change.number, change.what.text)
                except OSError as error:
                    self.standing.undo(change, "the proxy", f"its mark can't be written: {error.strerror or error}", clock.now())
                    return
            if change.over:
                # Undone by hand while its mark was written.
                await self._mark_undone(change)
                return
            self.standing.stage(change, clock.now())
            self.standing.apply(change, clock.now())

    async def confirm(self, number: int | None, who: str, why: str) -> Change:
        """Raises LedgerError."""
        change = self.standing.ledger.find(number)
        async with self._turn:
            if change.state != APPLIED:
                raise LedgerError(f"change {change.number} is {change.state}, and only an applied one can be confirmed")
            if self._kept is not None:
                try:
                    await asyncio.to_thread(self._kept.confirm, change.what.text)
                except OSError as error:
                    raise LedgerError(f"it can't be written: {error.strerror or error}") from None
            if change.state != APPLIED:
                raise LedgerError(f"change {change.number} was undone meanwhile")
            self.standing.confirm(change, who, why, clock.now())
        await self._next()
        return change

    async def undo(self, number: int | None, who: str, why: str) -> Change:
        """At once; what lasts is written after. Raises LedgerError."""
        change = self.standing.ledger.find(number)
        self.standing.undo(change, who, why, clock.now())
        async with self._turn:
            await self._mark_undone(change)
        await self._next()
        return change

    async def _mark_undone(self, change: Change) -> None:
        if self._kept is not None:
            try:
                await asyncio.to_thread(self._kept.undo, change.what.text)
                await asyncio.to_thread(self._kept.restore, self.standing.confirmed.read.text)
            except OSError as error:
                self._say("what was undone can't be written", why=error.strerror or str(error))

    async def _next(self) -> None:
        """The change that waited for this one, checked anew against what stands."""
        change = self.standing.ledger.next()
        while change is not None:
            try:
                change.what = await asyncio.to_thread(self._parse, change.what.text, "what is proposed")
                if change.what.digest == self.standing.version.read.digest:
                    raise LedgerError("it is what stands already")
                await self._carry_out(change)
                return
            except (OwnError, LedgerError) as error:
                self.standing.undo(change, "the proxy", str(error), clock.now())
                change = self.standing.ledger.next()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            try:
                now = clock.now()
                self.standing.sweep(now)
                due = self.standing.due(now)
                if due is not None:
                    change = self.standing.ledger.find(None)
                    if due[0] == CONFIRMED:
                        await self.confirm(change.number, "the proxy", due[1])
                    else:
                        await self.undo(change.number, "the proxy", due[1])
            except LedgerError as error:
                self._say("a change goes on", why=str(error))
            except Exception as error:   # without the watch a bad change would stand
                self._say("the watch on changes met an error", why=f"{type(error).__name__}: {error}")
