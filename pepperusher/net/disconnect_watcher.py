"""Detects the end of connections whose data is not needed yet: reads ahead up to a limit, and beyond it watches for the
end only.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Protocol

from pepperusher.net.peer_memory import MIN_READ_BYTES

# The most that is read ahead on one connection.
MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024


class Watched(Protocol):
    """A connection as the watcher uses it."""

    def fileno(self) -> int:
        """The descriptor, -1 once it is closed."""

    def on_hang_up(self) -> None:
        """Called once when the peer has ended the connection."""


class DisconnectWatcher:
    """Watches connections with much unread data for their end.

    The loop's own selector reports an end together with readable data, so not while reading is paused: a client that
    sent more than is buffered, and left, was still served. An end behind more data than the kernel buffers stays with
    the peer, where nothing shows it: therefore data is read ahead up to a limit.

    It uses one descriptor, opened when it is first needed. Where the platform has no epoll, such an end is noticed only
    when an attempt is about to be sent. `max_bytes` tells what all connections together may hold read ahead.
    """

    def __init__(self, max_bytes: Callable[[], int]) -> None:
        self._max_bytes = max_bytes
        self.read_ahead_bytes = 0  # bytes read ahead; reduced as they are consumed and as connections end
        self._poll: select.epoll | None = None
        self._watched: dict[int, Watched] = {}  # removed when they end, and when they are read from again

    def may_read_ahead(self, read_ahead: int) -> bool:
        """Whether a connection that has read `read_ahead` bytes ahead may continue."""
        return read_ahead < MAX_READ_AHEAD_BYTES and self.read_ahead_bytes < self._max_bytes()

    def read_size(self) -> int:
        """How much the next read of a connection that reads ahead may take. Many may read in one loop iteration, before
        `may_read_ahead` is asked again.
        """
        return max(MIN_READ_BYTES, self._max_bytes() - self.read_ahead_bytes)

    def watch(self, connection: Watched) -> None:
        """Watches a connection for its end, if the platform can."""
        descriptor = connection.fileno()
        if descriptor < 0 or descriptor in self._watched or not hasattr(select, "epoll"):
            return
        if self._poll is None:
            self._poll = select.epoll()
            asyncio.get_running_loop().add_reader(self._poll.fileno(), self._handle_ended)
        self._poll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        self._watched[descriptor] = connection

    def unwatch(self, connection: Watched) -> None:
        """Stops to watch a connection, if it is watched."""
        descriptor = connection.fileno()
        if self._watched.get(descriptor) is connection:
            del self._watched[descriptor]
            assert self._poll is not None
            self._poll.unregister(descriptor)

    def _handle_ended(self) -> None:
        """Reports the connections whose end epoll has found."""
        assert self._poll is not None
        for descriptor, _ in self._poll.poll(0):
            if (connection := self._watched.get(descriptor)) is not None:
                self.unwatch(connection)
                connection.on_hang_up()

    def close(self) -> None:
        if self._poll is not None:
            asyncio.get_running_loop().remove_reader(self._poll.fileno())
            self._poll.close()
            self._poll = None
            self._watched.clear()
