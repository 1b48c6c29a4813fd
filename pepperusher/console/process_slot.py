"""The files in $TMPDIR by which one process takes another's place: two locks, and a state beside each.

A lock goes with its holder, however that ends; a file stays, and may be of the day before.
"""

from __future__ import annotations

import fcntl
import os
import re
from pathlib import Path

from pepperusher.console.state import LONGEST, BadState, State, state_of, text_of


class ProcessSlot:
    """One lock, and the state that its holder alone writes."""

    def __init__(self, folder: Path, name: str) -> None:
        self._lock = os.open(folder / f"{name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        self._path = folder / f"{name}.state"
        self._beside = folder / f"{name}.state.new"
        self._read: tuple[int, int, int] | None = None
        self.held = False

    def take(self) -> bool:
        if not self.held:
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self.held = True
            except OSError:
                pass
        return self.held

    def give_up(self) -> None:
        """With its state, which else would be taken for that of whoever sits here next."""
        if self.held:
            self._path.unlink(missing_ok=True)
            fcntl.flock(self._lock, fcntl.LOCK_UN)
            self.held = False

    def beat(self) -> None:
        """Its holder's mark that it turns its loop."""
        try:
            os.utime(self._lock)
        except OSError:
            pass  # nobody is told, and whoever looks sees marks end as those of one that stands still

    def mark(self) -> int:
        """The last one; 0 where it can't be seen."""
        try:
            return os.fstat(self._lock).st_mtime_ns
        except OSError:
            return 0

    def taken(self) -> bool:
        """Whether somebody else holds it."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        fcntl.flock(self._lock, fcntl.LOCK_UN)
        return False

    def write(self, state: State) -> None:
        """For its holder alone. Renamed into place: whoever reads finds the old or the new whole. Raises
        OSError."""
        with open(self._beside, "w", encoding="utf-8") as file:
            file.write(text_of(state))
        os.replace(self._beside, self._path)

    def read(self) -> State | None:
        """What is new since it was last read, None where nothing is. Raises BadState."""
        try:
            with open(self._path, "rb") as file:
                stood = os.fstat(file.fileno())
                stamp = (stood.st_ino, stood.st_mtime_ns, stood.st_size)
                if stamp == self._read:
                    return None
                self._read = stamp
                text = file.read(LONGEST + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise BadState(f"can't be read: {error.strerror or error}") from None
        if len(text) > LONGEST:
            raise BadState("is too long")
        return state_of(text)

    def close(self) -> None:
        os.close(self._lock)


def process_slots(folder: str, proxy: str) -> tuple[ProcessSlot, ProcessSlot]:
    """Whoever reigns sits on the first, the next one on the second. Raises OSError."""
    name = "pepperusher." + re.sub(r"[^A-Za-z0-9_-]", lambda one: f"%{ord(one[0]):x}", proxy)[:100]
    first = ProcessSlot(Path(folder), name)
    try:
        return first, ProcessSlot(Path(folder), f"{name}.next")
    except OSError:
        first.close()
        raise
