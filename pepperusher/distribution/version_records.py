"""The resources that a control machine keeps on its disk: one file for each resource, replaced atomically.

A machine restored from an outdated disk starts with older versions and receives the newer ones from other machines; it
cannot cause any machine or proxy to return to an older version.
"""

from __future__ import annotations

import hashlib

import msgspec

from pepperusher.distribution.messages import KIND_IS_FACT, Mark, Resource, digest_of, mark_of
from pepperusher.store.disk import Disk

FORMAT = "pepperusher control 1"
SUFFIX = ".resource"


class _ResourceFile(msgspec.Struct, frozen=True, array_like=True):
    """The content of one file."""

    format: str
    kind: str
    name: str
    newest: Mark
    body: bytes
    halted: str
    stable: Mark | None
    stable_body: bytes


_decode = msgspec.msgpack.Decoder(_ResourceFile).decode


def _file_name(kind: str, name: str) -> str:
    """The name of the file that holds a resource."""
    return hashlib.blake2b(f"{kind} {name}".encode(), digest_size=16).hexdigest() + SUFFIX


def read(disk: Disk) -> tuple[list[tuple[Resource, Resource | None, str]], list[str]]:
    """Returns all undamaged resources as (newest, stable, halt reason), and the errors of the others.
    Raises OSError.
    """
    resources, errors = [], []
    for file_name in disk.names():
        if not file_name.endswith(SUFFIX):
            continue
        try:
            stored = _decode(disk.read(file_name))
        except (msgspec.MsgspecError, RecursionError):
            errors.append(f"{file_name}: damaged")
            continue
        intact = (
            stored.format == FORMAT and stored.kind in KIND_IS_FACT and digest_of(stored.body) == stored.newest.digest
        )
        if not intact or (stored.stable is not None and digest_of(stored.stable_body) != stored.stable.digest):
            errors.append(f"{file_name}: damaged")
            continue
        fact = KIND_IS_FACT[stored.kind]
        newest = Resource(stored.kind, stored.name, stored.newest.version, stored.newest.digest, stored.body, fact)
        stable = None
        if stored.stable is not None:
            stable = Resource(
                stored.kind, stored.name, stored.stable.version, stored.stable.digest, stored.stable_body, fact
            )
        resources.append((newest, stable, stored.halted))
    return resources, errors


def write(disk: Disk, newest: Resource, stable: Resource | None, halted: str) -> None:
    """Writes a resource durably and atomically. Raises OSError. Blocks."""
    data = msgspec.msgpack.encode(
        _ResourceFile(FORMAT, newest.kind, newest.name, mark_of(newest), newest.body, halted,
              stable and mark_of(stable), stable.body if stable else b"")
    )  # fmt: skip
    file_name = _file_name(newest.kind, newest.name)
    temporary = f"{file_name}.new"
    disk.cut(temporary, 0)
    disk.write(temporary, 0, data)
    disk.sync(temporary)
    disk.rename(temporary, file_name)
    disk.sync_folder()
