"""How the memory that a process may use is divided between its connections and what it holds for them."""

from __future__ import annotations

from typing import NamedTuple

KILOBYTE = 1024
MEGABYTE = 1024 * KILOBYTE
# What the program itself takes before its first connection.
PROGRAM_BYTES = 16 * MEGABYTE
# A connection in use takes so much on average, with its parser, its tasks and the least that it may hold of its peer's
# data.
CONNECTION_BYTES = 14 * KILOBYTE
# Bodies and unsent data take at most this part of what is left, and so does data that was received and not parsed; the
# rest is for what is short-lived and for the allocator.
HELD_DIVISOR = 4
# Neither needs more than this part of the whole memory, or less than so many bytes.
MAX_HELD_DIVISOR = 8
MIN_HELD_BYTES = 256 * KILOBYTE


class MemoryLimits(NamedTuple):
    """The limits that follow from the memory and the descriptors of one process, in bytes."""

    bodies: int  # held bodies and unsent data
    received: int  # received and not yet parsed

    @classmethod
    def of(cls, process_bytes: int, descriptors: int) -> MemoryLimits:
        """Divides the memory of a process that may hold so many descriptors."""
        remaining = process_bytes - PROGRAM_BYTES - descriptors * CONNECTION_BYTES
        held = max(MIN_HELD_BYTES, min(remaining // HELD_DIVISOR, process_bytes // MAX_HELD_DIVISOR))
        return cls(held, held)
