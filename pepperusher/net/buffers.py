"""Fixed-size buffers for the buffered parts of bodies, reused from a pool."""

from __future__ import annotations

from pepperusher.net.peer_memory import PeerMemory

# Up to MAX_HELD_BODY_BYTES of a body are buffered, in buffers of BUFFER_BYTES. Most bodies fit one buffer. With buffers of 64
# KiB, a few hundred callers that send only a part took half of a small proxy's memory.
MAX_HELD_BODY_BYTES = 64 * 1024
BUFFER_BYTES = 2 * 1024


class Body:
    """A body as it arrives. It takes buffers as it grows, and none before its first byte: most tickets have no body."""

    __slots__ = ("_pool", "_buffers", "_joined", "length")

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._buffers: list[bytearray] = []
        self._joined = b""
        self.length = 0

    def __len__(self) -> int:
        return self.length

    @property
    def full(self) -> bool:
        """Whether no more should be buffered: at the limit per body, or from its first byte on while the pool is
        exhausted.
        """
        return self.length > MAX_HELD_BODY_BYTES or self.length > 0 and self._pool.exhausted

    def add(self, data: bytes) -> None:
        """Appends data, in buffers from the pool."""
        while data:
            offset = self.length % BUFFER_BYTES
            if not offset:
                self._buffers.append(self._pool.take())
            part = data[: BUFFER_BYTES - offset]
            self._buffers[-1][offset : offset + len(part)] = part
            self.length += len(part)
            data = data[len(part) :]

    def contents(self) -> memoryview | bytes:
        """The whole body once it has arrived, valid until `release`. It is copied only where it spans several buffers,
        which are then returned, because many tickets may be in hand.
        """
        if len(self._buffers) == 1:
            return memoryview(self._buffers[0])[: self.length]
        if self._buffers:
            self._joined = b"".join(self._buffers)[: self.length]
            self._pool.adjust_lent(len(self._buffers))
            while self._buffers:
                self._pool.release(self._buffers.pop())
        return self._joined

    def release(self) -> None:
        while self._buffers:
            self._pool.release(self._buffers.pop())
        if self._joined:
            self._pool.adjust_lent(-len(self._joined) // BUFFER_BYTES)  # as many as it took, rounded up
            self._joined = b""
        self.length = 0


class Pool:
    """Lends buffers and keeps some spare ones. `max_bytes` limits what is lent, together with what was written and not
    yet taken by the kernel; beyond it each body takes only one buffer.
    """

    # Of all buffers that may be lent, one in so many is kept spare.
    SPARE_DIVISOR = 8

    def __init__(
        self, max_spare: int, max_bytes: int = 64 * 1024 * 1024, peer_memory: PeerMemory | None = None
    ) -> None:
        self.peer_memory = PeerMemory() if peer_memory is None else peer_memory
        self._spare: list[bytearray] = []  # reduced by take; at most max_spare
        self._max_spare = min(max_spare, max_bytes // BUFFER_BYTES // self.SPARE_DIVISOR)
        self._max_bytes = max_bytes
        self._lent = 0
        self.set_share(1.0)

    def set_share(self, share: float) -> None:
        """Sets this process's share of all limits; another process of the same proxy may hold the rest."""
        self._max_buffers = int(self._max_bytes * share) // BUFFER_BYTES
        self.peer_memory.set_share(share)

    @property
    def max_bytes(self) -> int:
        """The limit on lent buffers in bytes."""
        return self._max_buffers * BUFFER_BYTES

    @property
    def lent_bytes(self) -> int:
        """The size of all lent buffers, and of bodies that are held in one piece."""
        return self._lent * BUFFER_BYTES

    @property
    def exhausted(self) -> bool:
        """Whether as much is held as the limit allows."""
        return self._lent + self.peer_memory.unsent // BUFFER_BYTES >= self._max_buffers

    def take(self) -> bytearray:
        """Lends a buffer, a spare one if there is any."""
        self.adjust_lent(1)
        return self._spare.pop() if self._spare else bytearray(BUFFER_BYTES)

    def adjust_lent(self, buffers: int) -> None:
        """Accounts for a body that is held in one piece in place of buffers: adds so many to the lent ones, or removes
        them if negative.
        """
        self._lent += buffers
        self.peer_memory.bodies_exhausted = self.exhausted

    def release(self, buffer: bytearray) -> None:
        self.adjust_lent(-1)
        if len(self._spare) < self._max_spare:
            self._spare.append(buffer)
