"""From when on a client's time may run while the rest of its request body is still on the way.

A client's time begins when it has written its last byte. While a backend reads slowly, that byte may wait in the client's
own kernel, where nothing shows it.
"""

from __future__ import annotations

# The most that a client's kernel takes from it ahead of what has arrived here (Linux: the maximum of tcp_wmem).
CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
# The times of an upload are recorded once for each of so many bytes.
MARK_BYTES = 512 * 1024


class UploadClock:
    """Bounds the time at which the client of one request wrote its last byte.

    Positions are bytes of the client's connection, and times are in microseconds.
    """

    __slots__ = ("_end", "_start", "_arrived", "_marks", "_unfinished_at")

    def __init__(self, arrived: int, end: int | None, now: int) -> None:
        """So much has arrived by now; `end` is the position behind the last byte, if it is known."""
        self._start = self._arrived = arrived
        self._end = end
        self._marks = [now]  # when so many times MARK_BYTES had arrived after the start
        self._unfinished_at = now

    def update(self, arrived: int, now: int) -> None:
        """Records how much has arrived at this machine, whether or not it has been read."""
        self._arrived = max(self._arrived, arrived)
        while self._start + len(self._marks) * MARK_BYTES <= self._arrived:
            self._marks.append(now)

    def client_unfinished(self, at: int) -> None:
        """Records that the client had not written its last byte by then: nothing was left to read, and more came."""
        self._unfinished_at = max(self._unfinished_at, at)

    def runs_since(self) -> int | None:
        """The earliest time at which the last byte may have been written; None if it can't have been by now."""
        end_at_least = self._arrived if self._end is None else self._end
        mark = max(0, end_at_least - CLIENT_SEND_BUFFER_BYTES - self._start) // MARK_BYTES
        if mark >= len(self._marks):
            return None
        return max(self._unfinished_at, self._marks[mark])
