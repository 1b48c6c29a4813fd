"""What a proxy has in force, in one file that is replaced whole; its time of change is when a control machine
last confirmed it.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from pepperusher.distribution.messages import (
    KINDS, LONGEST_BODY, MOST_NAMES, Key, Mark, Resource, digest_of, mark_of,
)  # fmt: skip

FORM = "pepperusher distribution 1"
LONGEST = MOST_NAMES * LONGEST_BODY


class _One(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    name: str
    mark: Mark
    body: bytes


class _Kept(msgspec.Struct, frozen=True, array_like=True):
    form: str
    resources: list[_One]


_decode = msgspec.msgpack.Decoder(_Kept).decode


def read(path: Path, names: set[Key]) -> tuple[list[Resource], int | None, str]:
    """What is whole of what is wanted, when it was last confirmed (us, Unix time), and what is wrong."""
    try:
        with open(path, "rb") as file:
            data = file.read(LONGEST + 1)
            confirmed_at = os.fstat(file.fileno()).st_mtime_ns // 1000
        kept = _decode(data)
    except FileNotFoundError:
        return [], None, ""
    except OSError as error:
        return [], None, error.strerror or str(error)
    except (msgspec.MsgspecError, RecursionError):
        return [], None, "it is damaged"
    if kept.form != FORM:
        return [], None, f"it is of form {kept.form[:40]!r}"
    made, wrong = [], ""
    for one in kept.resources:
        if (one.kind, one.name) not in names or one.kind not in KINDS:
            continue
        if digest_of(one.body) != one.mark.digest:
            wrong = f"{one.kind}/{one.name} is damaged"
            continue
        made.append(Resource(one.kind, one.name, one.mark.version, one.mark.digest, one.body, KINDS[one.kind]))
    return made, confirmed_at, wrong


def write(path: Path, held: list[Resource], confirmed_at: int) -> str:
    """Whole or not at all; what is wrong, or nothing. Blocks."""
    data = msgspec.msgpack.encode(_Kept(FORM, [_One(one.kind, one.name, mark_of(one), one.body) for one in held]))
    beside = path.with_name(f"{path.name}.new")
    try:
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            os.fdatasync(file.fileno())
        os.utime(beside, ns=(confirmed_at * 1000, confirmed_at * 1000))
        os.replace(beside, path)
    except OSError as error:
        return error.strerror or str(error)
    return ""


def touch(path: Path, confirmed_at: int) -> None:
    """It was confirmed again."""
    try:
        os.utime(path, ns=(confirmed_at * 1000, confirmed_at * 1000))
    except OSError:
        pass  # it is written soon, or can't be, which was said
