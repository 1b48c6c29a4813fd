"""File-system operations of the store, all in one class, so that tests can replace it by one that fails."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class FolderLockedError(OSError):
    """Another process holds the lock of the folder."""


class Disk:
    """The files of one folder. Every call may block and raises OSError. Data is durable only after `sync`, file names
    only after `sync_folder`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._descriptors: dict[str, int] = {}  # open files by name; `close` removes them
        self._lock_descriptor = -1

    def lock(self) -> None:
        """Creates the folder and locks it for one writer. Raises FolderLockedError."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock_descriptor = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1
            raise FolderLockedError(f"{self._folder}: another process has it open") from None

    def names(self) -> list[str]:
        return sorted(path.name for path in self._folder.iterdir() if path.is_file() and path.name != "lock")

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def _open_file(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            descriptor = self._descriptors[name] = os.open(
                self._folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
        return descriptor

    def write(self, name: str, offset: int, data: bytes) -> None:
        descriptor, remaining = self._open_file(name), memoryview(data)
        while remaining:
            written_bytes = os.pwrite(descriptor, remaining, offset)
            offset, remaining = offset + written_bytes, remaining[written_bytes:]

    def cut(self, name: str, length: int) -> None:
        """Truncates a file."""
        os.ftruncate(self._open_file(name), length)

    def sync(self, name: str) -> None:
        os.fdatasync(self._open_file(name))

    def rename(self, name: str, new_name: str) -> None:
        self.close(name)
        os.replace(self._folder / name, self._folder / new_name)

    def remove(self, name: str) -> None:
        self.close(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, name: str | None = None) -> None:
        """Closes one file, or all files and the lock."""
        for open_name in [name] if name is not None else list(self._descriptors):
            descriptor = self._descriptors.pop(open_name, None)
            if descriptor is not None:
                os.close(descriptor)
        if name is None and self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1
