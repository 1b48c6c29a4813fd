"""Buffers of one size for bodies, used again from a pool."""

from __future__ import annotations

# A body at the most, and one buffer. Most bodies take one; at 64 KiB each, those of a few hundred callers that send no
# more than a part were half of a small proxy's memory.
MOST = 64 * 1024
SIZE = 4 * 1024


class TooLarge(Exception):
    """A body of more than may be."""


class Body:
    """One body as it comes in. It takes buffers as it grows, none before its first byte: most tickets have none."""

    __slots__ = ("_pool", "_buffers", "length")

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._buffers: list[bytearray] = []
        self.length = 0

    def add(self, data: bytes) -> None:
        if self.length + len(data) > MOST:
            raise TooLarge
        while data:
            at = self.length % SIZE
            if not at:
                self._buffers.append(self._pool.take())
            part = data[:SIZE - at]
            self._buffers[-1][at:at + len(part)] = part
            self.length += len(part)
            data = data[len(part):]

    def whole(self) -> memoryview | bytes:
        """Copied only where it is in several: many tickets may be in hand. Good until it is given back."""
        if len(self._buffers) == 1:
            return memoryview(self._buffers[0])[:self.length]
        return b"".join(self._buffers)[:self.length]

    def give_back(self) -> None:
        while self._buffers:
            self._pool.give(self._buffers.pop())
        self.length = 0


class Pool:
    def __init__(self, most_spare: int) -> None:
        self._spare: list[bytearray] = []   # emptied by take; holds most_spare at the most
        self._most_spare = most_spare

    def take(self) -> bytearray:
        return self._spare.pop() if self._spare else bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        if len(self._spare) < self._most_spare:
            self._spare.append(buffer)
