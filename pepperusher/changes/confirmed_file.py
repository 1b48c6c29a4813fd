"""The last confirmed configuration on disk, a marker for an unconfirmed change, and the manual drains, each replaced
atomically and synced.

At startup the last confirmed configuration is used if the marker of an open change exists and the configuration file
still holds the text of that change: the proxy ended before the change was confirmed. A file that was edited since
then is newer and is used instead.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from pepperusher.backend_commands import AdminCommand, InvalidCommandError
from pepperusher.changes import manual_drains

CONFIRMED_FILE_NAME, OPEN_CHANGE_FILE_NAME, LOCK_NAME = "confirmed.toml", "open.json", "lock"
DRAINS_FILE_NAME = "drains.json"
# The number of the marker of a change that was undone.
UNDONE_NUMBER = "undone"
# Who set a drain that an earlier release stored, which did not tell.
EARLIER_RELEASE = "an earlier release"


class Begin(NamedTuple):
    """The configuration text to start with; `instead` says why it is not the text of the file, or is empty if it is."""

    text: str
    instead: str


def _replace(path: Path, data: bytes) -> None:
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync(path.parent)


def _sync(folder: Path) -> None:
    """Syncs a folder: a rename is durable only once its folder is synced."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class ConfirmedFile:
    """The state files in one folder, written by the process that holds its lock. Every call may block on the disk and raises
    OSError.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock: int | None = None

    @property
    def locked(self) -> bool:
        """Whether this process holds the lock."""
        return self._lock is not None

    def lock(self) -> bool:
        """Tries to lock the folder, which another process of the same proxy may hold. Returns whether this process holds it.
        The lock ends with its process.
        """
        if self._lock is None:
            self.folder.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(descriptor)
                return False
            self._lock = descriptor
        return True

    def unlock(self) -> None:
        """Leaves the folder to another process."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def begin(self, text: str) -> Begin:
        """Chooses the configuration to start with; `text` is the present text of the configuration file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        confirmed, marker = self._confirmed_text(), self._marker()
        if confirmed is None:
            return Begin(text, "")
        confirmed = self._split_drains(confirmed, text)[0]
        if marker.get("text") == text and confirmed != text:
            return Begin(confirmed, f"change {marker.get('number')} was not confirmed when the proxy ended")
        return Begin(text, "")

    def _confirmed_text(self) -> str | None:
        try:
            return (self.folder / CONFIRMED_FILE_NAME).read_text()
        except (FileNotFoundError, UnicodeDecodeError):
            return None

    def _marker(self) -> dict[str, Any]:
        """The marker of an open or undone change; empty without one."""
        try:
            marker = json.loads((self.folder / OPEN_CHANGE_FILE_NAME).read_text())
        except FileNotFoundError:
            return {}
        except ValueError:
            # An unreadable marker was still being written, so its change had not been applied yet.
            return {}
        return marker if isinstance(marker, dict) else {}

    def _split_drains(self, stored: str, text: str) -> tuple[str, list[str]]:
        """Takes the drains off a text that an earlier release stored. This release stores none in it."""
        if (self.folder / DRAINS_FILE_NAME).exists():
            return stored, []
        return manual_drains.split_drain_blocks(stored, text)

    def read_drains(self, text: str) -> dict[str, AdminCommand]:
        """The stored manual drains, also those of an earlier release, which count as set when their file was written;
        `text` is the present text of the configuration file. Raises InvalidCommandError.
        """
        try:
            return manual_drains.decode_drains((self.folder / DRAINS_FILE_NAME).read_text())
        except FileNotFoundError:
            pass
        except UnicodeDecodeError:
            raise InvalidCommandError("is not UTF-8") from None
        marker = self._marker()
        stored = {
            CONFIRMED_FILE_NAME: self._confirmed_text(),
            OPEN_CHANGE_FILE_NAME: None if marker.get("number") == UNDONE_NUMBER else marker.get("text"),
        }
        drains: dict[str, AdminCommand] = {}
        for name, stored_text in stored.items():
            if isinstance(stored_text, str):
                at = (self.folder / name).stat().st_mtime_ns // 1000
                command = AdminCommand(True, at, EARLIER_RELEASE, "found in the state folder")
                drains |= dict.fromkeys(self._split_drains(stored_text, text)[1], command)
        return drains

    def write_drains(self, drains: Mapping[str, AdminCommand]) -> None:
        """Stores the manual drains; called before one takes effect."""
        _replace(self.folder / DRAINS_FILE_NAME, manual_drains.encode_drains(drains))

    def open(self, number: int, text: str) -> None:
        """Writes the marker of a change; called before the change is applied."""
        _replace(self.folder / OPEN_CHANGE_FILE_NAME, json.dumps({"number": number, "text": text}).encode())

    def confirm(self, text: str) -> None:
        """Stores `text` as the confirmed configuration and removes the marker."""
        _replace(self.folder / CONFIRMED_FILE_NAME, text.encode())
        (self.folder / OPEN_CHANGE_FILE_NAME).unlink(missing_ok=True)
        _sync(self.folder)

    def undo(self, text: str) -> None:
        """Keeps a marker with the text that was undone, so that the next startup does not use it again."""
        _replace(self.folder / OPEN_CHANGE_FILE_NAME, json.dumps({"number": UNDONE_NUMBER, "text": text}).encode())

    def restore(self, text: str) -> None:
        """Writes the confirmed configuration again if the stored one differs: a confirmation that raced with an undo
        may have stored the undone text."""
        if not (self.folder / CONFIRMED_FILE_NAME).exists() or (self.folder / CONFIRMED_FILE_NAME).read_text() != text:
            _replace(self.folder / CONFIRMED_FILE_NAME, text.encode())
