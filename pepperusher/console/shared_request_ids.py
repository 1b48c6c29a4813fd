"""The Request-Ids that two processes of one proxy tell each other while one replaces the other."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

# Ids beyond this are not told: a replacement lasts some seconds, and files count as memory.
FILE_MAX_BYTES = 1024 * 1024
SEPARATOR = b"\n"


class SharedRequestIds:
    """One process writes the ids of its requests to `own_path`, before they are sent on, and reads those of the other one
    from `other_path`. Raises OSError where its own file can't be opened.
    """

    def __init__(self, own_path: Path, other_path: Path) -> None:
        self._own = os.open(own_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_NOFOLLOW, 0o600)
        self._own_bytes = 0
        self._other_path = other_path
        self._other: int | None = None
        self._other_offset = 0

    def publish(self, request_ids: Iterable[bytes]) -> None:
        """Tells the other process of these ids, as far as the disk lets it: a request is served all the same. A client can't
        put the separator into one.
        """
        # A separator in front as well, since the write before may have been cut short.
        lines = b"".join(SEPARATOR + request_id + SEPARATOR for request_id in request_ids)
        if lines and self._own_bytes + len(lines) <= FILE_MAX_BYTES:
            try:
                self._own_bytes += os.write(self._own, lines)
            except OSError:
                pass

    def received(self) -> list[bytes]:
        """The ids that the other process has told since the last call."""
        try:
            if self._other is None:
                self._other = os.open(self._other_path, os.O_RDONLY)
            if os.fstat(self._other).st_size < self._other_offset:
                self._other_offset = 0  # yet another process has begun to write there
            text = os.pread(self._other, FILE_MAX_BYTES, self._other_offset)
        except OSError:
            return []  # the other process tells nothing
        end = text.rfind(SEPARATOR) + 1
        self._other_offset += end
        return [request_id for request_id in text[:end].split(SEPARATOR) if request_id]

    def close(self) -> None:
        os.close(self._own)
        if self._other is not None:
            os.close(self._other)
