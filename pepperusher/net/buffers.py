"""Buffers of one size for what is held of bodies, used again from a pool."""

from __future__ import annotations

# Of a body so much is held, and one buffer. Most bodies take one; at 64 KiB each, those of a few hundred
# callers that
# send no more than a part were half of a small proxy's memory.
MAX_HELD_BODY_BYTES = 64 * 1024
SIZE = 4 * 1024


class Body:
    """One body as it comes in. It takes buffers as it grows, none before its first byte: most tickets have
    none."""

    __slots__ = ("_pool", "_buffers", "_joined", "length")

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._buffers: list[bytearray] = []
        self._joined = b""
        self.length = 0

    @property
    def full(self) -> bool:
        """Whether no more is to be held, or hardly more where all that is held together comes to its
        bound."""
        return self.length > MAX_HELD_BODY_BYTES or self.length > SIZE and self._pool.short

    def add(self, data: bytes) -> None:
        while data:
            at = self.length % SIZE
            if not at:
                self._buffers.append(self._pool.take())
            part = data[: SIZE - at]
            self._buffers[-1][at : at + len(part)] = part
            self.length += len(part)
            data = data[len(part) :]

    def contents(self) -> memoryview | bytes:
        """Once all of it has come. Copied only where it is in several, in place of them: many tickets may be
        in hand. Good
        until it is given back."""
        if len(self._buffers) == 1:
            return memoryview(self._buffers[0])[: self.length]
        if self._buffers:
            self._joined = b"".join(self._buffers)[: self.length]
            self._pool.count(len(self._buffers))
            while self._buffers:
                self._pool.give(self._buffers.pop())
        return self._joined

    def release(self) -> None:
        while self._buffers:
            self._pool.give(self._buffers.pop())
        if self._joined:
            self._pool.count(-len(self._joined) // SIZE)  # as many as it took, rounded up
            self._joined = b""
        self.length = 0


class Pool:
    """`most` is the bound in bytes on what is lent; beyond it bodies take one buffer each."""

    def __init__(self, most_spare: int, most: int = 64 * 1024 * 1024) -> None:
        self._spare: list[bytearray] = []  # emptied by take; holds most_spare at the most
        self._most_spare = most_spare
        self._most = most // SIZE
        self._lent = 0

    @property
    def most(self) -> int:
        """In bytes."""
        return self._most * SIZE

    @property
    def short(self) -> bool:
        return self._lent >= self._most

    def take(self) -> bytearray:
        self._lent += 1
        return self._spare.pop() if self._spare else bytearray(SIZE)

    def count(self, buffers: int) -> None:
        """Held as they were, in one piece: so many more, or less, are lent."""
        self._lent += buffers

    def give(self, buffer: bytearray) -> None:
        self._lent -= 1
        if len(self._spare) < self._most_spare:
            self._spare.append(buffer)
