"""Logs the memory of the process as it comes near its limit, with what is held for whom."""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

from pepperusher.net.buffers import Pool
from pepperusher.net.log import Log
from pepperusher.net.peer_memory import HeldBytes, PeerConnections

PROCESS_STATUS = Path("/proc/self/status")
OWN_MEMORY_LINE = re.compile(r"^RssAnon:\s+(\d+) kB$", re.MULTILINE)
KILOBYTE = 1024
# A line is logged each time the process uses a further one of so many parts of its limit.
PARTS_OF_LIMIT = 8


def own_memory() -> int | None:
    """Returns the process's own (anonymous) resident memory in bytes; None where the platform does not tell."""
    try:
        status = PROCESS_STATUS.read_text()
    except OSError:
        return None
    found = OWN_MEMORY_LINE.search(status)
    return None if found is None else int(found[1]) * KILOBYTE


class MemoryReport:
    """Logs one line for each further part of its limit that the process uses."""

    def __init__(self, limit: int, pool: Pool, sides: Sequence[PeerConnections], log: Log) -> None:
        self._limit = limit
        self._pool = pool
        self._sides = sides
        self._log = log
        self._most_parts = 1  # the most parts of the limit in use so far; the first is the program itself

    def check(self, own: int | None) -> None:
        """Logs the line if the process uses more parts of its limit than ever before; `own` is what it uses now."""
        if own is None:
            return
        parts = own * PARTS_OF_LIMIT // self._limit
        if parts > self._most_parts:
            self._most_parts = parts
            self._log.say(self.line(own))

    def line(self, own: int | None) -> str:
        """The memory of the process and what is held, in kB."""
        sides = ", ".join(_side_text(peers.side, peers.held_bytes()) for peers in self._sides)
        return (
            f"memory: {'?' if own is None else own // KILOBYTE} of {self._limit // KILOBYTE} kB,"
            f" bodies {self._pool.lent_bytes // KILOBYTE}; {sides}"
        )


def _side_text(side: str, held: HeldBytes) -> str:
    """The part of the line for one side."""
    return (
        f"{held.connections} {side}: received {held.received // KILOBYTE},"
        f" read ahead {held.read_ahead // KILOBYTE}, unsent {held.unsent // KILOBYTE}"
    )
