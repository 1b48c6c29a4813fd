"""What a control machine keeps on its disk: one file a resource, replaced whole.

A machine that comes back with an old disk has older versions in it, and takes the newer from others; nothing
here can make anybody older.
"""

from __future__ import annotations

import hashlib

import msgspec

from pepperusher.distribution.messages import KINDS, Mark, Resource, digest_of, mark_of
from pepperusher.store.disk import Disk

FORM = "pepperusher control 1"
SUFFIX = ".resource"


class _Kept(msgspec.Struct, frozen=True, array_like=True):
    form: str
    kind: str
    name: str
    newest: Mark
    body: bytes
    halted: str
    steady: Mark | None
    steady_body: bytes


_decode = msgspec.msgpack.Decoder(_Kept).decode


def _file(kind: str, name: str) -> str:
    return hashlib.blake2b(f"{kind} {name}".encode(), digest_size=16).hexdigest() + SUFFIX


def read(disk: Disk) -> tuple[list[tuple[Resource, Resource | None, str]], list[str]]:
    """All that is whole, and what is wrong with the rest. Raises OSError."""
    made, wrong = [], []
    for file in disk.names():
        if not file.endswith(SUFFIX):
            continue
        try:
            kept = _decode(disk.read(file))
        except (msgspec.MsgspecError, RecursionError):
            wrong.append(f"{file}: damaged")
            continue
        sound = kept.form == FORM and kept.kind in KINDS and digest_of(kept.body) == kept.newest.digest
        if not sound or (kept.steady is not None and digest_of(kept.steady_body) != kept.steady.digest):
            wrong.append(f"{file}: damaged")
            continue
        fact = KINDS[kept.kind]
        newest = Resource(kept.kind, kept.name, kept.newest.version, kept.newest.digest, kept.body, fact)
        steady = None
        if kept.steady is not None:
            steady = Resource(kept.kind, kept.name, kept.steady.version, kept.steady.digest, kept.steady_body, fact)
        made.append((newest, steady, kept.halted))
    return made, wrong


def write(disk: Disk, newest: Resource, steady: Resource | None, halted: str) -> None:
    """Whole and lasting, or not at all. Raises OSError. Blocks."""
    data = msgspec.msgpack.encode(
        _Kept(FORM, newest.kind, newest.name, mark_of(newest), newest.body, halted,
              steady and mark_of(steady), steady.body if steady else b"")
    )  # fmt: skip
    file = _file(newest.kind, newest.name)
    beside = f"{file}.new"
    disk.cut(beside, 0)
    disk.write(beside, 0, data)
    disk.sync(beside)
    disk.rename(beside, file)
    disk.sync_folder()
