"""The files of a store: all that it asks of a file system, in one place, so that tests can put a failing one
there."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class FolderLockedError(OSError):
    """Another process has the folder."""


class Disk:
    """A folder. Every call may block and raises OSError; nothing lasts before `sync`, and no name before
    `sync_folder`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._open: dict[str, int] = {}  # as many as are written to; emptied by `close`
        self._lock = -1

    def lock(self) -> None:
        """One writer. Raises FolderLockedError."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = -1
            raise FolderLockedError(f"{self._folder}: another process has it open") from None

    def names(self) -> list[str]:
        return sorted(one.name for one in self._folder.iterdir() if one.is_file() and one.name != "lock")

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def _file(self, name: str) -> int:
        number = self._open.get(name)
        if number is None:
            number = self._open[name] = os.open(self._folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        return number

    def write(self, name: str, at: int, data: bytes) -> None:
        number, view = self._file(name), memoryview(data)
        while view:
            wrote = os.pwrite(number, view, at)
            at, view = at + wrote, view[wrote:]

    def cut(self, name: str, length: int) -> None:
        os.ftruncate(self._file(name), length)

    def sync(self, name: str) -> None:
        os.fdatasync(self._file(name))

    def rename(self, name: str, to: str) -> None:
        self.close(name)
        os.replace(self._folder / name, self._folder / to)

    def remove(self, name: str) -> None:
        self.close(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        number = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def close(self, name: str | None = None) -> None:
        """One file, or all and the lock."""
        for one in [name] if name is not None else list(self._open):
            number = self._open.pop(one, None)
            if number is not None:
                os.close(number)
        if name is None and self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
