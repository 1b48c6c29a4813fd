"""News for all that outlives the packet it came in: bans and the like, each the later of all that was told;
free of I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

from pepperusher.group.messages import Broadcast

# Things at once; one more is not taken, and counted.
MOST = 500
# Ahead of this member's clock by more, a time is a clock gone wrong, and would outlast all that is told after
# it.
AHEAD = 3_600_000_000


class Broadcasts:
    """`kept` is for how long one that is off is remembered: so long a member cut off still takes it back.
    Emptied by age; one that is on stays until it is off.
    """

    def __init__(self, kept: int) -> None:
        self._kept = kept
        self._of: dict[tuple[str, str], Broadcast] = {}
        self.refused = 0
        self.digest = 0

    def __iter__(self) -> Iterator[Broadcast]:
        return iter(self._of.values())

    def __len__(self) -> int:
        return len(self._of)

    def get(self, kind: str, key: str) -> Broadcast | None:
        return self._of.get((kind, key))

    def take(self, notice: Broadcast, now: int) -> bool:
        """Whether it is news."""
        known = self._of.get((notice.kind, notice.key))
        if known is not None and notice.rank <= known.rank:
            return False
        if not notice.on and now - notice.at >= self._kept:
            # Off for longer than it is remembered: whoever still tells it would tell it for ever.
            return False
        if notice.at > now + AHEAD or known is None and len(self._of) >= MOST:
            self.refused += 1
            return False
        self._of[notice.kind, notice.key] = notice
        self._count()
        return True

    def forget(self, now: int) -> None:
        old = [place for place, one in self._of.items() if not one.on and now - one.at >= self._kept]
        for place in old:
            del self._of[place]
        if old:
            self._count()

    def _count(self) -> None:
        """The same for the same notices that are on, in whatever order they came. Those that are off count as
        not there, since they are forgotten at each member by its own clock.
        """
        digest = 0
        for one in self._of.values():
            if one.on:
                text = f"{one.kind}\0{one.key}\0{one.at}".encode()
                digest ^= int.from_bytes(hashlib.blake2b(text, digest_size=8).digest()) >> 1
        self.digest = digest
