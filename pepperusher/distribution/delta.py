"""Deltas between two bodies: which ranges to copy from the base and which bytes to insert; free of I/O.

Bodies are split at the ends of lines and of JSON objects, so that both a file edited by people and a list in one line
have pieces that match. The time is linear in both bodies, since it is computed while other connections wait.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from pepperusher.distribution.messages import MAX_BODY_BYTES

Op = tuple[int, int] | bytes
_PIECES = re.compile(rb"[^\n}]*[\n}]|[^\n}]+\Z")


class BadDelta(ValueError):
    """The delta does not apply to this base."""


def make_delta(base: bytes, new: bytes) -> list[Op]:
    """Computes the delta: (offset, length) copies a range of the base, bytes are inserted as they are."""
    offsets: dict[bytes, int] = {}
    offset = 0
    for piece in _PIECES.findall(base):
        offsets.setdefault(piece, offset)
        offset += len(piece)
    ops: list[Op] = []
    inserted = bytearray()
    start = end = -1
    for piece in _PIECES.findall(new):
        # Continue the last copy if possible: of a piece that occurs many times, the occurrence after the last copy
        # matches.
        source = end if end >= 0 and base.startswith(piece, end) else offsets.get(piece, -1)
        if source < 0:
            inserted += piece
            if end >= 0:
                ops.append((start, end - start))
                start = end = -1
            continue
        if inserted:
            ops.append(bytes(inserted))
            inserted.clear()
        if source == end:
            end += len(piece)
            continue
        if end >= 0:
            ops.append((start, end - start))
        start, end = source, source + len(piece)
    if end >= 0:
        ops.append((start, end - start))
    if inserted:
        ops.append(bytes(inserted))
    return ops


def encoded_size(ops: Iterable[Op]) -> int:
    """An upper bound of the encoded size of a delta in bytes."""
    return sum(len(op) + 5 if isinstance(op, bytes) else 11 for op in ops)


def apply_delta(base: bytes, ops: Sequence[Op]) -> bytes:
    """Applies a delta to its base. Raises BadDelta."""
    whole = bytearray()
    for op in ops:
        if isinstance(op, bytes):
            whole += op
        else:
            offset, length = op
            if offset + length > len(base):
                raise BadDelta("copies a range beyond the end of its base")
            whole += base[offset : offset + length]
        if len(whole) > MAX_BODY_BYTES:
            raise BadDelta("the result exceeds the largest allowed body")
    return bytes(whole)
