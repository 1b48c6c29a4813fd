"""Whether the process that listens at a backend's address is still the one that discovery has told.

A process that has died may be replaced at its address by one of another backend before discovery tells it. What was begun at
the group of the old one must not be repeated at the new one, which doesn't recognize it.
"""

from __future__ import annotations

# Discovery has told of a change, or counts as having done so, within this many microseconds.
TOLD_WITHIN_US = 6_000_000


class ListeningProcess:
    """The process behind one address. Times are microseconds of the proxy's clock."""

    __slots__ = ("_ended_at",)

    def __init__(self) -> None:
        self._ended_at: int | None = None

    def note_end(self, now: int) -> None:
        """Records a sign that the process has ended: it reset a connection, or a new one was refused."""
        self._ended_at = now

    def may_be_untold(self, connected_at: int, now: int) -> bool:
        """Whether a connection that was established at `connected_at` may lead to a process that discovery has not told."""
        if self._ended_at is None:
            return False
        return connected_at >= self._ended_at and now - self._ended_at < TOLD_WITHIN_US
