"""Files in $TMPDIR through which one process takes over from another: two locks, with a state file for each.

A lock is released when its holder ends, however it ends; a file remains, and may be days old.
"""

from __future__ import annotations

import fcntl
import os
import re
from pathlib import Path

from pepperusher.console.state import STATE_MAX_BYTES, BadState, State, decode_state, encode_state


class ProcessSlot:
    """One lock file, and a state file that only the lock's holder writes."""

    def __init__(self, folder: Path, name: str) -> None:
        self._lock = os.open(folder / f"{name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        self._path = folder / f"{name}.state"
        self._temporary_path = folder / f"{name}.state.new"
        self.request_ids_path = folder / f"{name}.ids"  # where its holder writes the ids of its requests
        self._last_read: tuple[int, int, int] | None = None
        self.held = False

    def take(self) -> bool:
        """Tries to lock the slot. Returns whether this process holds it."""
        if not self.held:
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self.held = True
            except OSError:
                pass
        return self.held

    def release(self) -> None:
        """Releases the lock and deletes the state, which would otherwise be attributed to the next holder."""
        if self.held:
            self._path.unlink(missing_ok=True)
            fcntl.flock(self._lock, fcntl.LOCK_UN)
            self.held = False

    def publish_heartbeat(self) -> None:
        """Publishes a heartbeat of the holder's event loop, as the modification time of the lock file."""
        try:
            os.utime(self._lock)
        except OSError:
            pass  # not reported: the other process sees the heartbeats stop, as if this one hung

    def last_heartbeat(self) -> int:
        """The time of the last heartbeat; 0 where it cannot be read."""
        try:
            return os.fstat(self._lock).st_mtime_ns
        except OSError:
            return 0

    def held_by_other(self) -> bool:
        """Whether another process holds the lock."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        fcntl.flock(self._lock, fcntl.LOCK_UN)
        return False

    def write(self, state: State) -> None:
        """Writes the state; only for the holder. The file is renamed into place, so a reader sees either the old or the
        new one. Raises OSError.
        """
        with open(self._temporary_path, "w", encoding="utf-8") as file:
            file.write(encode_state(state))
        os.replace(self._temporary_path, self._path)

    def read(self) -> State | None:
        """The state if it changed since the last read, otherwise None. Raises BadState."""
        try:
            with open(self._path, "rb") as file:
                status = os.fstat(file.fileno())
                stamp = (status.st_ino, status.st_mtime_ns, status.st_size)
                if stamp == self._last_read:
                    return None
                self._last_read = stamp
                text = file.read(STATE_MAX_BYTES + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise BadState(f"can't be read: {error.strerror or error}") from None
        if len(text) > STATE_MAX_BYTES:
            raise BadState("is too long")
        return decode_state(text)

    def close(self) -> None:
        os.close(self._lock)


def process_slots(folder: str, proxy: str) -> tuple[ProcessSlot, ProcessSlot]:
    """The slots of the active process and of its successor. Raises OSError."""
    name = "pepperusher." + re.sub(r"[^A-Za-z0-9_-]", lambda match: f"%{ord(match[0]):x}", proxy)[:100]
    first = ProcessSlot(Path(folder), name)
    try:
        return first, ProcessSlot(Path(folder), f"{name}.next")
    except OSError:
        first.close()
        raise
