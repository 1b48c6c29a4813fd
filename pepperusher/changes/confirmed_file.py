"""The last confirmed file on disk, and the mark of a change that is not; each replaced at once, and synced.

At a start: while the mark of an open change stands and the file is still the one it proposed, the last
confirmed counts, since the proxy ended before that was confirmed. A file that was written since is the
operators' newer word, and counts.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import NamedTuple

CONFIRMED, OPEN = "confirmed.toml", "open.json"


class Begin(NamedTuple):
    """What to start from: a text, and why it is not the file's where it is not."""

    text: str
    instead: str


def _replace(path: Path, data: bytes) -> None:
    fresh = path.with_name(path.name + ".new")
    with open(fresh, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
    _sync(path.parent)


def _sync(folder: Path) -> None:
    """A rename lasts once its folder is on disk."""
    number = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


class ConfirmedFile:
    """A folder's. Every call may block for as long as the disk does, and raises OSError."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def begin(self, text: str) -> Begin:
        """`text` is what the file says now."""
        self._folder.mkdir(parents=True, exist_ok=True)
        try:
            confirmed = (self._folder / CONFIRMED).read_text()
            mark = json.loads((self._folder / OPEN).read_text())
        except FileNotFoundError:
            return Begin(text, "")
        except ValueError:
            # A mark that can't be read was being written: nothing was applied under it yet.
            mark = {}
        if isinstance(mark, dict) and mark.get("text") == text and confirmed != text:
            return Begin(confirmed, f"change {mark.get('number')} was not confirmed when the proxy ended")
        return Begin(text, "")

    def open(self, number: int, text: str) -> None:
        """Before a change is applied."""
        _replace(self._folder / OPEN, json.dumps({"number": number, "text": text}).encode())

    def confirm(self, text: str) -> None:
        _replace(self._folder / CONFIRMED, text.encode())
        (self._folder / OPEN).unlink(missing_ok=True)
        _sync(self._folder)

    def undo(self, text: str) -> None:
        """The mark stays with the file that was undone, so that a start does not take it up again."""
        _replace(self._folder / OPEN, json.dumps({"number": "undone", "text": text}).encode())

    def restore(self, text: str) -> None:
        """What is confirmed, as it was: a confirming that was overtaken by an undo may have written the
        other."""
        if not (self._folder / CONFIRMED).exists() or (self._folder / CONFIRMED).read_text() != text:
            _replace(self._folder / CONFIRMED, text.encode())
