"""Gives freed memory back to the system when the process uses much of its limit.

The C library keeps what was freed for later allocations. Each kind of load leaves gaps that another kind does not fit, so the
memory of the process would grow from one to the next.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

# Relief begins when the process uses this part of its limit.
RELIEF_SHARE = 0.6
# Times between two reliefs, and between two that also collect all garbage, in microseconds.
RELIEF_INTERVAL_US = 1_000_000
FULL_COLLECTION_INTERVAL_US = 10_000_000
# The generation that a cheap garbage collection includes: connections that have ended leave reference cycles there.
YOUNG_GENERATION = 1


def _load_trim() -> Callable[[int], object] | None:
    """The C library's function that gives free memory back, or None where it has none."""
    try:
        import ctypes  # only here: a process that never needs it saves the memory

        trim: Callable[[int], object] = ctypes.CDLL(None).malloc_trim
    except (ImportError, OSError, AttributeError):
        return None
    return trim


class MemoryRelief:
    """Relieves one process; `limit` is in bytes."""

    def __init__(self, limit: int) -> None:
        self._threshold = int(limit * RELIEF_SHARE)
        self._trim: Callable[[int], object] | None = None
        self._is_loaded = False
        self._relieved_at = 0
        self._collected_at = 0
        self.count = 0

    def relieve(self, own: int | None, now: int) -> None:
        """Gives memory back if the process uses `own` bytes and has not done so shortly before."""
        if own is None or own < self._threshold or now - self._relieved_at < RELIEF_INTERVAL_US:
            return
        self._relieved_at = now
        self.count += 1
        if now - self._collected_at >= FULL_COLLECTION_INTERVAL_US:
            self._collected_at = now
            gc.collect()
        else:
            gc.collect(YOUNG_GENERATION)
        if not self._is_loaded:
            self._is_loaded, self._trim = True, _load_trim()
        if self._trim is not None:
            self._trim(0)
