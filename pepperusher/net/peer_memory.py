"""What open connections hold in memory for their peers, by side of the proxy."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Connection(Protocol):
    """A connection, as far as its memory is concerned."""

    unread_bytes: int

    @property
    def read_ahead_bytes(self) -> int:
        """The part of `unread_bytes` that was read ahead of the reader."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and that the kernel has not taken."""


class HeldBytes(NamedTuple):
    """Bytes held for the peers of one side."""

    connections: int
    received: int  # not yet consumed, without those read ahead
    read_ahead: int
    unsent: int


class PeerConnections:
    """The open connections of one side of the proxy, such as the callers'."""

    def __init__(self, side: str) -> None:
        self.side = side
        self._open: set[Connection] = set()  # removed as connections end

    def add(self, connection: Connection) -> None:
        self._open.add(connection)

    def remove(self, connection: Connection) -> None:
        self._open.discard(connection)

    def held_bytes(self) -> HeldBytes:
        """Sums up what all connections hold."""
        read_ahead = sum(connection.read_ahead_bytes for connection in self._open)
        received = sum(connection.unread_bytes for connection in self._open) - read_ahead
        unsent = sum(connection.unsent_bytes for connection in self._open)
        return HeldBytes(len(self._open), received, read_ahead, unsent)
