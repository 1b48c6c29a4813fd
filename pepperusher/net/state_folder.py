"""The state folder of a proxy, which one of its processes holds at a time: stores the confirmed configuration, the marker of
an open change and the manual drains, and passes from a process to its successor.

A failing disk must not keep a proxy from serving: after a failure it goes on without the folder, and tries it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from pepperusher.backend_commands import AdminCommand, InvalidCommandError
from pepperusher.changes.active_configuration import ActiveConfiguration
from pepperusher.changes.confirmed_file import EARLIER_RELEASE, Begin, ConfirmedFile
from pepperusher.changes.manual_drains import DrainProposal
from pepperusher.changes.transaction_log import Change
from pepperusher.configuration.loader import ConfigurationError, Read
from pepperusher.net import clock

# How soon a folder that failed is tried again.
RETRY_S = 1.0


class StateFolder:
    """`begin` names the folder, if there is one, and `attach` what is in force; `change_lock` is held by whoever carries out
    a change. `validate` raises ConfigurationError for a stored configuration that does not fit the present settings.
    """

    def __init__(self, change_lock: asyncio.Lock, validate: Callable[[str], object], say: Callable[..., None]) -> None:
        self._change_lock = change_lock
        self._validate = validate
        self._say = say
        self._active: ActiveConfiguration
        self._initial_text = ""  # of the configuration file, as it was read at the start
        # The folder, once this process holds it; while another process of this proxy still does; while it cannot be used.
        self._held: ConfirmedFile | None = None
        self._awaited: ConfirmedFile | None = None
        self._failed: ConfirmedFile | None = None
        self._reopen_at = 0.0  # when a failed one is tried again, by the event loop's clock
        self._stored_drains: dict[str, AdminCommand] = {}  # the manual drains as the folder has them
        self._store_drains_at = 0.0  # when writing them is tried again, by the event loop's clock
        self._drains_problem = ""  # why they cannot be written, as it was last logged
        self._unstored_reason = ""  # why manual drains are not stored, as it was last logged
        self._unfit_reason = ""  # why the last confirmed file is not used, as it was last logged

    # --- start and end ------------------------------------------------------------------------------

    def begin(self, folder: str, text: str) -> Begin:
        """Reads the folder, and chooses the configuration to start with; `text` is that of the configuration file."""
        self._awaited, self._initial_text = ConfirmedFile(Path(folder)), text
        try:
            return self._choose_text(self._awaited)
        except OSError as error:
            self.give_up(error)
            return Begin(text, "")

    def _choose_text(self, file: ConfirmedFile) -> Begin:
        """Chooses between the configuration file and the last confirmed one, which was validated against the settings of its
        time: where it does not fit the present ones, the file counts. Raises OSError.
        """
        start = file.begin(self._initial_text)
        if not start.instead:
            return start
        try:
            self._validate(start.text)
        except ConfigurationError as error:
            self._log_unfit(str(error))
            return Begin(self._initial_text, "")
        return start

    def _log_unfit(self, reason: str) -> None:
        """Logs once why the last confirmed file is not used."""
        if reason != self._unfit_reason:
            self._unfit_reason = reason
            self._say("the last confirmed file is not used: it does not fit the settings", why=reason)

    def attach(self, active: ActiveConfiguration) -> None:
        """Puts the stored manual drains into force, also while another process of this proxy holds the folder."""
        self._active = active
        if self._awaited is None:
            return
        try:
            active.take_over_manual_drains(self._read_drains(self._awaited), clock.now())
        except OSError as error:
            self._say("the stored drains cannot be read yet", why=error.strerror or str(error))

    def prepare(self) -> None:
        """Takes the folder, unless the process that this one replaces still holds it."""
        if self._awaited is None:
            return
        try:
            if not self._awaited.lock():
                self._say("the state folder is held by another process")
                return
            start = self._choose_text(self._awaited)
            if start.text != self._active.confirmed.read.text:
                # The previous process decided a change and ended since the folder was read: followed once this one serves.
                self._awaited.unlock()
                return
            self._active.take_over_manual_drains(self._read_drains(self._awaited), clock.now())
            if not start.instead:
                self._awaited.confirm(start.text)
            self._awaited.write_drains(self._drains)
        except OSError as error:
            self.give_up(error)
            return
        self._stored_drains = self._drains
        self._held, self._awaited = self._awaited, None

    async def take_over(self) -> Begin | None:
        """Takes the folder once the previous process has left it. Returns what that process confirmed or undid since this one
        read the folder, which is to be followed. Raises OSError.
        """
        if self._awaited is None:
            return None
        async with self._change_lock:
            awaited = self._awaited
            if awaited is None:
                return None
            locked = await asyncio.to_thread(awaited.lock)
            await self._follow_drains(awaited)
            if not locked:
                return None
            start = await asyncio.to_thread(self._choose_text, awaited)
            confirmed = self._active.confirmed.read.text
            await self._write_all(awaited, confirm=start.text == confirmed and not start.instead)
            self._held, self._awaited = awaited, None
        self._say("the state folder is held by this process")
        return None if start.text == confirmed else start

    async def leave(self) -> None:
        """Leaves the folder to the successor, after what is being written."""
        async with self._change_lock:
            held, self._held = self._held, None
            self._failed = None
            if held is not None:
                await asyncio.to_thread(held.unlock)

    # --- failures -----------------------------------------------------------------------------------

    def give_up(self, error: OSError) -> None:
        """Goes on without the folder until it can be used; a restart meanwhile uses the configuration file as it is."""
        failed = self._held or self._awaited
        self._held = self._awaited = None
        if failed is not None:
            self._failed = failed
            failed.unlock()
            self._say(
                "the state folder cannot be used; confirmed files are not stored",
                folder=str(failed.folder),
                why=error.strerror or str(error),
            )

    async def reopen(self) -> None:
        """Tries to use the folder again after a failure."""
        failed, now = self._failed, asyncio.get_running_loop().time()
        if failed is None or now < self._reopen_at:
            return
        self._reopen_at = now + RETRY_S
        async with self._change_lock:
            try:
                if not await asyncio.to_thread(failed.lock):
                    return
                # Not over the marker of a change that nobody confirmed: the next start needs it.
                start = await asyncio.to_thread(self._choose_text, failed)
                await self._write_all(failed, confirm=not start.instead)
            except OSError:
                failed.unlock()
                return
            self._held, self._failed = failed, None
        self._say("the state folder can be used again", folder=str(failed.folder))

    async def _write_all(self, file: ConfirmedFile, confirm: bool) -> None:
        """Writes all that this process knows to a folder that it has just locked: the confirmed file if `confirm` is set, the
        marker of an open change, and the manual drains together with those found there. Raises OSError.
        """
        # First, since an earlier release stored them in the files that are written below.
        self._active.take_over_manual_drains(await asyncio.to_thread(self._read_drains, file), clock.now())
        if confirm:
            await asyncio.to_thread(file.confirm, self._active.confirmed.read.text)
        change = self._active.ledger.open
        if change is not None and isinstance(change.what, Read):
            await asyncio.to_thread(file.open, change.number, change.what.text)
        drains = self._drains
        await asyncio.to_thread(file.write_drains, drains)
        self._stored_drains = drains

    # --- changes: the caller holds the lock -----------------------------------------------------------

    async def write_open(self, change: Change) -> None:
        """Writes a change before it is applied. Raises OSError."""
        if isinstance(change.what, DrainProposal):
            await self._write_proposed_drain(change.what)
        elif self._held is not None:
            await asyncio.to_thread(self._held.open, change.number, change.what.text)

    async def write_confirmed(self, change: Change) -> None:
        """Stores the file of a change as the confirmed one. Raises OSError."""
        if self._held is not None and isinstance(change.what, Read):
            await asyncio.to_thread(self._held.confirm, change.what.text)

    async def write_undone(self, change: Change) -> None:
        """Records that a change was undone, and restores the last confirmed file. A failure is logged."""
        if self._held is None or not isinstance(change.what, Read):
            return
        try:
            await asyncio.to_thread(self._held.undo, change.what.text)
            await asyncio.to_thread(self._held.restore, self._active.confirmed.read.text)
        except OSError as error:
            self._say("an undone change cannot be written", why=error.strerror or str(error))

    # --- manual drains ------------------------------------------------------------------------------

    @property
    def _drains(self) -> dict[str, AdminCommand]:
        """A copy of the manual drains in force."""
        return dict(self._active.manual_drains.by_backend)

    def _read_drains(self, file: ConfirmedFile) -> dict[str, AdminCommand]:
        """The manual drains in the folder. Raises OSError, after which they must not be overwritten."""
        try:
            return file.read_drains(self._initial_text)
        except InvalidCommandError as error:
            self._say("the stored drains are ignored", why=str(error))
        return {}

    async def _follow_drains(self, awaited: ConfirmedFile) -> None:
        """Follows the manual drains of a predecessor that holds the folder, or held it until now. One of an earlier release
        that is no longer there has been lifted.
        """
        try:
            stored = await asyncio.to_thread(awaited.read_drains, self._initial_text)
        except (OSError, InvalidCommandError):
            return  # read again before anything is written
        drains = self._active.manual_drains
        lifted = {
            backend: drains.next_command(backend, False, clock.now(), EARLIER_RELEASE, "no longer in the state folder")
            for backend, command in drains.by_backend.items()
            if command.on and command.who == EARLIER_RELEASE and backend not in stored
        }
        self._active.take_over_manual_drains({**lifted, **stored}, clock.now())

    async def store_drains(self) -> None:
        """Writes the manual drains if the folder has others. A failure is logged once, and tried again."""
        now = asyncio.get_running_loop().time()
        if self._held is None or self._drains == self._stored_drains or now < self._store_drains_at:
            return
        async with self._change_lock:
            drains = self._drains
            if self._held is None or drains == self._stored_drains:
                return
            try:
                await asyncio.to_thread(self._held.write_drains, drains)
            except OSError as error:
                problem = error.strerror or str(error)
                if problem != self._drains_problem:
                    self._say("the manual drains cannot be written; tried again", why=problem)
                self._drains_problem, self._store_drains_at = problem, now + RETRY_S
                return
            self._stored_drains, self._drains_problem = drains, ""

    async def _write_proposed_drain(self, proposal: DrainProposal) -> None:
        """Writes a manual drain or its lift before it takes effect. Raises OSError."""
        if self._held is None:
            self._log_unstored()
            return
        # Not yet what is in force: `store_drains` compares the two once the change is over.
        self._stored_drains = {**self._drains, proposal.backend: proposal.command}
        await asyncio.to_thread(self._held.write_drains, self._stored_drains)

    def _log_unstored(self) -> None:
        """Logs once why a manual drain ends with this process."""
        if self._awaited is not None:
            return  # it is written once the previous process has left the folder
        reason = "changes.state names no folder" if self._failed is None else "the state folder cannot be used"
        if reason != self._unstored_reason:
            self._unstored_reason = reason
            self._say("manual drains are lost if this process is killed", why=reason)


__all__ = ["StateFolder"]
