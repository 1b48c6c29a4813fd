"""What open connections hold in memory for their peers, and how much of it the proxy reads at a time."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from pepperusher.net.turn_queue import TurnQueue

# The most that one read takes from the kernel, and the least that it may take while the limit of received bytes is
# reached: no peer is kept from sending, but a crowd of them is read in small pieces.
MAX_READ_BYTES = 128 * 1024
MIN_READ_BYTES = 2 * 1024
# One read takes at most this part of what is left, so that the first connections of a crowd leave room for the others.
READ_SHARE_DIVISOR = 16
# More received bytes than this make nothing faster, however much memory there is.
MAX_RECEIVED_BYTES = 16 * 1024 * 1024


class PeerMemory:
    """Counts the bytes that all connections of one proxy hold for their peers, and limits how much they read.

    One loop iteration reads from every connection that has data, before any of it is consumed. The sum is therefore
    limited where data is read: beyond the limit each connection adds MIN_READ_BYTES at most.
    """

    def __init__(self, max_received: int = MAX_RECEIVED_BYTES) -> None:
        self._max_of_process = min(max_received, MAX_RECEIVED_BYTES)
        self._max_received = self._max_of_process
        self.received = 0  # received and not yet parsed, including what was read ahead
        self.unsent = 0  # written and not yet taken by the kernel
        self.bodies_exhausted = False  # whether as much is held of bodies as their own limit allows

    def set_share(self, share: float) -> None:
        """Sets this process's share of the limit; another process of the same proxy may hold the rest."""
        self._max_received = int(self._max_of_process * share)

    @property
    def exhausted(self) -> bool:
        """Whether as much is held as the limits allow: each connection then holds one small read at a time."""
        return self.bodies_exhausted or self.received + self.unsent >= self._max_received

    def read_size(self) -> int:
        """How much the next read of a connection may take."""
        available = 0 if self.bodies_exhausted else self._max_received - self.received - self.unsent
        return max(MIN_READ_BYTES, min(MAX_READ_BYTES, available // READ_SHARE_DIVISOR))


class Connection(Protocol):
    """A connection, as far as its memory is concerned."""

    unread_bytes: int
    unsent_bytes: int

    @property
    def parser_bytes(self) -> int:
        """What the parser holds of messages that are not whole."""

    @property
    def read_ahead_bytes(self) -> int:
        """The part of `unread_bytes` that was read ahead of the reader."""


class HeldBytes(NamedTuple):
    """Bytes held for the peers of one side."""

    connections: int
    received: int  # not yet parsed, without those read ahead
    read_ahead: int
    unsent: int


class PeerConnections:
    """The open connections of one side of the proxy, such as the callers', and the memory that they count in."""

    def __init__(self, side: str, memory: PeerMemory, essential: bool = False) -> None:
        """`essential` connections are few, and are read at full speed however much is received on others."""
        self.side = side
        self.memory = memory
        self._essential = essential
        self.turns = TurnQueue()
        self._open: set[Connection] = set()  # removed as connections end

    def add(self, connection: Connection) -> None:
        self._open.add(connection)

    def remove(self, connection: Connection) -> None:
        self._open.discard(connection)

    @property
    def held_back(self) -> bool:
        """Whether these connections are read in small pieces for now."""
        return self.memory.exhausted and not self._essential

    def read_size(self) -> int:
        """How much the next read of one of the connections may take."""
        return MAX_READ_BYTES if self._essential else self.memory.read_size()

    def held_bytes(self) -> HeldBytes:
        """Sums up what all connections hold."""
        read_ahead = sum(connection.read_ahead_bytes for connection in self._open)
        received = sum(connection.unread_bytes + connection.parser_bytes for connection in self._open) - read_ahead
        unsent = sum(connection.unsent_bytes for connection in self._open)
        return HeldBytes(len(self._open), received, read_ahead, unsent)
