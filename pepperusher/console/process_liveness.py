"""Detects by its heartbeats whether another process of this proxy hangs; free of I/O.

A stopped or deadlocked process keeps its lock and its listener, and the kernel goes on handing it connections that
nobody answers. Its heartbeats are only compared with each other and never with a clock, so clock changes and clock
differences have no effect. A process is judged only if it says that it publishes heartbeats.
"""

from __future__ import annotations

# A process without a heartbeat for this long hangs, in microseconds. That is about twice the longest turn of the event
# loop under heavy load (0.16 s, docs/results.md).
HANG_AFTER_US = 300_000
# A process whose own checks are further apart than this was paused itself, and starts the observation anew.
LATE_CHECK_US = 120_000


class ProcessLiveness:
    """Judges by its heartbeats whether another process hangs. Times are microseconds of this process's clock."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forgets the observations, as another process may hold the slot from now on."""
        self._heartbeat = 0
        self._heartbeat_seen_at = 0  # when this heartbeat was first seen, or the observation began
        self._checked_at = 0
        self._hangs = False

    def hangs(self, heartbeat: int, now: int) -> bool:
        """Whether the other process hangs, given its last heartbeat as read at `now` (us)."""
        paused, self._checked_at = now - self._checked_at > LATE_CHECK_US, now
        if heartbeat != self._heartbeat:
            self._heartbeat, self._heartbeat_seen_at, self._hangs = heartbeat, now, False
        elif paused and not self._hangs:
            # A hang that was found lasts until a new heartbeat: on a busy machine a late check otherwise gave half of
            # the connections back to the hanging process.
            self._heartbeat_seen_at = now
        self._hangs = self._hangs or now - self._heartbeat_seen_at >= HANG_AFTER_US
        return self._hangs
