"""From one body to another: what to copy of the first, and what to put between; free of I/O.

Cut at the ends of lines and of JSON objects, so that both a file for people and a list in one line have
places to match. Linear in both, since it is worked out while others wait.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from pepperusher.distribution.messages import LONGEST_BODY

Op = tuple[int, int] | bytes
_PIECES = re.compile(rb"[^\n}]*[\n}]|[^\n}]+\Z")


class BadDelta(ValueError):
    """It does not fit."""


def made(base: bytes, new: bytes) -> list[Op]:
    """(place, length) copies of the base; bytes stand as they are."""
    places: dict[bytes, int] = {}
    at = 0
    for piece in _PIECES.findall(base):
        places.setdefault(piece, at)
        at += len(piece)
    ops: list[Op] = []
    fresh = bytearray()
    start = end = -1
    for piece in _PIECES.findall(new):
        # Behind the last copy first: a piece that stands many times goes on where the copy ended.
        where = end if end >= 0 and base.startswith(piece, end) else places.get(piece, -1)
        if where < 0:
            fresh += piece
            if end >= 0:
                ops.append((start, end - start))
                start = end = -1
            continue
        if fresh:
            ops.append(bytes(fresh))
            fresh.clear()
        if where == end:
            end += len(piece)
            continue
        if end >= 0:
            ops.append((start, end - start))
        start, end = where, where + len(piece)
    if end >= 0:
        ops.append((start, end - start))
    if fresh:
        ops.append(bytes(fresh))
    return ops


def size(ops: Iterable[Op]) -> int:
    return sum(len(op) + 5 if isinstance(op, bytes) else 11 for op in ops)


def joined(base: bytes, ops: Sequence[Op]) -> bytes:
    """Raises BadDelta."""
    whole = bytearray()
    for op in ops:
        if isinstance(op, bytes):
            whole += op
        else:
            at, length = op
            if at + length > len(base):
                raise BadDelta("copies beyond its base")
            whole += base[at : at + length]
        if len(whole) > LONGEST_BODY:
            raise BadDelta("longer than a body may be")
    return bytes(whole)
