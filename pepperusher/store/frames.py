"""The binary format of the store's files; free of I/O.

A segment is a header followed by frames. A frame holds its length, a crc32c over everything else in it, a sequence
number (one above that of the frame before), a kind and a body. A group of records that is written together is one
frame. If it were two, a power loss could preserve the second without the first, which would look like corruption
amid acknowledged data. The tail file has two slots, written alternately, each with the last acknowledged
sequence number. A log that ends before that number has lost acknowledged data; a log that ends after it was
interrupted while it was written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from crc32c import crc32c

VERSION = 1
MAGIC = b"PPST"
HEADER = struct.Struct("<4sHHQI")  # magic, version, 0, number, crc32c of the fields before
FRAME_HEADER = struct.Struct("<II")  # length of the payload after these two fields, crc32c of length and payload
PAYLOAD_HEADER = struct.Struct("<QB")  # sequence number, kind
RECORD_HEADER = struct.Struct("<IB")  # length of the body, kind
SLOT = struct.Struct("<QI4x")  # sequence number, crc32c of it
SLOT_COUNT = 2
MAX_PAYLOAD_BYTES = 1 << 20
# Kinds of frames: the end of a snapshot, and a group of records.
END, GROUP = 0, 1


class FrameError(ValueError):
    """Bytes that don't have the store's file format; its text says what is wrong."""


class Frame(NamedTuple):
    sequence: int
    kind: int
    body: bytes


def encode_header(number: int) -> bytes:
    """Encodes the header of the segment `number`."""
    fields = HEADER.pack(MAGIC, VERSION, 0, number, 0)[:-4]
    return fields + struct.pack("<I", crc32c(fields))


def decode_header(data: bytes) -> tuple[int, int]:
    """Decodes a segment's header to its version and number. Raises FrameError."""
    if len(data) < HEADER.size:
        raise FrameError("is truncated within its header")
    magic, version, _, number, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or crc32c(data[: HEADER.size - 4]) != checksum:
        raise FrameError("has an invalid header")
    if version > VERSION:
        raise FrameError(f"has version {version}; this program supports up to {VERSION}")
    return version, number


def encode_frame(sequence: int, kind: int, body: bytes) -> bytes:
    """Encodes a frame. Raises FrameError if it is too long."""
    payload = PAYLOAD_HEADER.pack(sequence, kind) + body
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise FrameError(f"a frame of {len(payload)} bytes exceeds the maximum of {MAX_PAYLOAD_BYTES}")
    length = struct.pack("<I", len(payload))
    return length + struct.pack("<I", crc32c(length + payload)) + payload


def encode_records(records: Iterable[tuple[int, bytes]]) -> bytes:
    """Encodes a group of (kind, body) records as the body of one frame."""
    return b"".join(RECORD_HEADER.pack(len(body), kind) + body for kind, body in records)


def decode_records(body: bytes) -> Iterator[tuple[int, bytes]]:
    """Decodes the (kind, body) records of a group."""
    offset = 0
    while offset < len(body):
        length, kind = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        yield kind, body[offset : offset + length]
        offset += length


def iterate_frames(data: bytes, offset: int) -> Iterator[tuple[int, Frame]]:
    """Yields (end offset, frame) for the frames from `offset` on, up to the first incomplete or corrupt one."""
    while True:
        found = decode_frame(data, offset)
        if found is None:
            return
        offset, decoded = found
        yield offset, decoded


def decode_frame(data: bytes, offset: int) -> tuple[int, Frame] | None:
    """The end offset and the frame that begins at `offset`; None if no valid frame does."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    length, checksum = FRAME_HEADER.unpack_from(data, offset)
    payload_start = offset + FRAME_HEADER.size
    if not PAYLOAD_HEADER.size <= length <= MAX_PAYLOAD_BYTES or payload_start + length > len(data):
        return None
    payload = data[payload_start : payload_start + length]
    if crc32c(data[offset : offset + 4] + payload) != checksum:
        return None
    sequence, kind = PAYLOAD_HEADER.unpack_from(payload)
    return payload_start + length, Frame(sequence, kind, payload[PAYLOAD_HEADER.size :])


def find_valid_frame(data: bytes, offset: int) -> int | None:
    """The offset of the first valid frame at `offset` or later; None if there is none. No valid frame follows an
    interrupted write, whereas valid frames do follow corruption in the middle of a file."""
    for candidate in range(offset, len(data) - FRAME_HEADER.size - PAYLOAD_HEADER.size + 1):
        if decode_frame(data, candidate) is not None:
            return candidate
    return None


def encode_slot(sequence: int) -> bytes:
    """Encodes a slot of the tail file."""
    data = struct.pack("<Q", sequence)
    return SLOT.pack(sequence, crc32c(data))


def decode_tail(data: bytes) -> int:
    """The last sequence number recorded as acknowledged; 0 if no slot is readable."""
    acknowledged = 0
    for slot_index in range(SLOT_COUNT):
        slot_bytes = data[slot_index * SLOT.size : (slot_index + 1) * SLOT.size]
        if len(slot_bytes) == SLOT.size:
            sequence, checksum = SLOT.unpack(slot_bytes)
            if crc32c(slot_bytes[:8]) == checksum:
                acknowledged = max(acknowledged, sequence)
    return acknowledged
