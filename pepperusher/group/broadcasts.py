"""The broadcasts that a member holds, such as bans: for each key the latest one received. It does no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

from pepperusher.group.messages import Broadcast

# The most broadcasts held at a time. Further ones are refused and counted.
MAX_BROADCASTS = 500
# A broadcast whose time is further ahead of this member's clock comes from a wrong clock. It would override
# all later broadcasts of its key, so it is refused.
MAX_CLOCK_SKEW_US = 3_600_000_000


class Broadcasts:
    """`retention` is how long a broadcast that is off is remembered. A member that was partitioned for less
    than that still learns that it is off. A broadcast that is on stays until it is switched off.
    """

    def __init__(self, retention: int) -> None:
        self._retention = retention
        self._broadcasts: dict[tuple[str, str], Broadcast] = {}
        self.refused = 0
        self.digest = 0

    def __iter__(self) -> Iterator[Broadcast]:
        return iter(self._broadcasts.values())

    def __len__(self) -> int:
        return len(self._broadcasts)

    def get(self, kind: str, key: str) -> Broadcast | None:
        return self._broadcasts.get((kind, key))

    def merge(self, broadcast: Broadcast, now: int) -> bool:
        """Merges a broadcast. False if it is not newer than the known one, or is refused."""
        known = self._broadcasts.get((broadcast.kind, broadcast.key))
        if known is not None and broadcast.precedence <= known.precedence:
            return False
        if not broadcast.on and now - broadcast.at >= self._retention:
            # It has been off for longer than the retention. If it were taken again, members would pass it
            # among each other for ever.
            return False
        if broadcast.at > now + MAX_CLOCK_SKEW_US or known is None and len(self._broadcasts) >= MAX_BROADCASTS:
            self.refused += 1
            return False
        self._broadcasts[broadcast.kind, broadcast.key] = broadcast
        self._update_digest()
        return True

    def expire(self, now: int) -> None:
        """Forgets broadcasts that have been off for longer than the retention."""
        expired = [
            key
            for key, broadcast in self._broadcasts.items()
            if not broadcast.on and now - broadcast.at >= self._retention
        ]
        for key in expired:
            del self._broadcasts[key]
        if expired:
            self._update_digest()

    def _update_digest(self) -> None:
        """Computes a digest of the broadcasts that are on, independent of their order. Those that are off are
        left out, because each member forgets them by its own clock.
        """
        digest = 0
        for broadcast in self._broadcasts.values():
            if broadcast.on:
                text = f"{broadcast.kind}\0{broadcast.key}\0{broadcast.at}".encode()
                digest ^= int.from_bytes(hashlib.blake2b(text, digest_size=8).digest()) >> 1
        self.digest = digest
