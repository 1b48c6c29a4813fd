"""How records lie in files; free of I/O.

A segment is a header and frames. A frame is its length, the crc32c of all else in it, a sequence number one
over the one before, a kind and a body. A group that is written at once is one frame: in two, the second could
last where power was lost and the first not, and that would look like a flaw in the middle of what was
acknowledged. The tail file has two slots written in turn, each the last sequence number that was
acknowledged: a log that ends before it has lost something, and one that ends after it was cut while it was
being written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from crc32c import crc32c

VERSION = 1
MAGIC = b"PPST"
HEADER = struct.Struct("<4sHHQI")  # magic, version, 0, number, crc32c of what is before it
FRAME = struct.Struct("<II")  # length of what follows the two, crc32c of length and what follows
LEAD = struct.Struct("<QB")  # sequence number, kind
RECORD = struct.Struct("<IB")  # length of the body, kind
SLOT = struct.Struct("<QI4x")  # sequence number, crc32c of it
SLOTS = 2
LONGEST = 1 << 20
# A frame's kinds: the end of a snapshot, and a group of records.
END, GROUP = 0, 1


class FrameError(ValueError):
    """Bytes that are no such file; its text says where."""


class Frame(NamedTuple):
    sequence: int
    kind: int
    body: bytes


def header(number: int) -> bytes:
    """Of the segment `number`."""
    begin = HEADER.pack(MAGIC, VERSION, 0, number, 0)[:-4]
    return begin + struct.pack("<I", crc32c(begin))


def read_header(data: bytes) -> tuple[int, int]:
    """The version and number of a segment. Raises FrameError."""
    if len(data) < HEADER.size:
        raise FrameError("ends within its header")
    magic, version, _, number, check = HEADER.unpack_from(data)
    if magic != MAGIC or crc32c(data[: HEADER.size - 4]) != check:
        raise FrameError("has a header that can't be read")
    if version > VERSION:
        raise FrameError(f"is of version {version}; this program reads up to {VERSION}")
    return version, number


def frame(sequence: int, kind: int, body: bytes) -> bytes:
    whole = LEAD.pack(sequence, kind) + body
    if len(whole) > LONGEST:
        raise FrameError(f"a record of {len(whole)} bytes is over {LONGEST}")
    length = struct.pack("<I", len(whole))
    return length + struct.pack("<I", crc32c(length + whole)) + whole


def packed(records: Iterable[tuple[int, bytes]]) -> bytes:
    """A group of (kind, body) as the body of one frame."""
    return b"".join(RECORD.pack(len(body), kind) + body for kind, body in records)


def unpacked(body: bytes) -> Iterator[tuple[int, bytes]]:
    """The records of a group."""
    at = 0
    while at < len(body):
        length, kind = RECORD.unpack_from(body, at)
        at += RECORD.size
        yield kind, body[at : at + length]
        at += length


def frames(data: bytes, at: int) -> Iterator[tuple[int, Frame]]:
    """(where it ends, the frame) from `at` to the first that is not whole and sound."""
    while True:
        found = frame_at(data, at)
        if found is None:
            return
        at, one = found
        yield at, one


def frame_at(data: bytes, at: int) -> tuple[int, Frame] | None:
    """The frame that begins at `at` and where it ends; None where none does."""
    if at + FRAME.size > len(data):
        return None
    length, check = FRAME.unpack_from(data, at)
    begin = at + FRAME.size
    if not LEAD.size <= length <= LONGEST or begin + length > len(data):
        return None
    whole = data[begin : begin + length]
    if crc32c(data[at : at + 4] + whole) != check:
        return None
    sequence, kind = LEAD.unpack_from(whole)
    return begin + length, Frame(sequence, kind, whole[LEAD.size :])


def sound_after(data: bytes, at: int) -> int | None:
    """Where a sound frame begins at `at` or behind it; None where none does. A cut has none behind it, and a
    flaw in the middle does."""
    for place in range(at, len(data) - FRAME.size - LEAD.size + 1):
        if frame_at(data, place) is not None:
            return place
    return None


def slot(sequence: int) -> bytes:
    data = struct.pack("<Q", sequence)
    return SLOT.pack(sequence, crc32c(data))


def read_tail(data: bytes) -> int:
    """The last sequence number known as acknowledged; 0 where no slot can be read."""
    known = 0
    for place in range(SLOTS):
        part = data[place * SLOT.size : (place + 1) * SLOT.size]
        if len(part) == SLOT.size:
            sequence, check = SLOT.unpack(part)
            if crc32c(part[:8]) == check:
                known = max(known, sequence)
    return known
