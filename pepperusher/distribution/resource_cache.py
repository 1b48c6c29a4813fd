"""The cache of the resources that a proxy has in force: one file that is replaced atomically. Its modification time is
when a control machine last confirmed them.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from pepperusher.distribution.messages import (
    KIND_IS_FACT, MAX_BODY_BYTES, MAX_SUBSCRIPTIONS, Key, Mark, Resource, digest_of, mark_of,
)  # fmt: skip

FORMAT = "pepperusher distribution 1"
MAX_FILE_BYTES = MAX_SUBSCRIPTIONS * MAX_BODY_BYTES


class _CachedResource(msgspec.Struct, frozen=True, array_like=True):
    """One resource in the file."""

    kind: str
    name: str
    mark: Mark
    body: bytes


class _CacheFile(msgspec.Struct, frozen=True, array_like=True):
    """The content of the file."""

    format: str
    resources: list[_CachedResource]


_decode = msgspec.msgpack.Decoder(_CacheFile).decode


def read(path: Path, names: set[Key]) -> tuple[list[Resource], int | None, str]:
    """Returns the undamaged resources among `names`, when they were last confirmed (us, Unix time), and an error or an
    empty text.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
            confirmed_at = os.fstat(file.fileno()).st_mtime_ns // 1000
        cached_file = _decode(data)
    except FileNotFoundError:
        return [], None, ""
    except OSError as error:
        return [], None, error.strerror or str(error)
    except (msgspec.MsgspecError, RecursionError):
        return [], None, "it is damaged"
    if cached_file.format != FORMAT:
        return [], None, f"it has the unknown format {cached_file.format[:40]!r}"
    resources, problem = [], ""
    for cached in cached_file.resources:
        if (cached.kind, cached.name) not in names or cached.kind not in KIND_IS_FACT:
            continue
        if digest_of(cached.body) != cached.mark.digest:
            problem = f"{cached.kind}/{cached.name} is damaged"
            continue
        resources.append(
            Resource(
                cached.kind,
                cached.name,
                cached.mark.version,
                cached.mark.digest,
                cached.body,
                KIND_IS_FACT[cached.kind],
            )
        )
    return resources, confirmed_at, problem


def write(path: Path, resources: list[Resource], confirmed_at: int) -> str:
    """Writes the file atomically. Returns an error or an empty text. Blocks."""
    data = msgspec.msgpack.encode(
        _CacheFile(
            FORMAT,
            [_CachedResource(resource.kind, resource.name, mark_of(resource), resource.body) for resource in resources],
        )
    )
    # The process that this one replaces may write the same file at the same time.
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fdatasync(file.fileno())
        os.utime(temporary, ns=(confirmed_at * 1000, confirmed_at * 1000))
        os.replace(temporary, path)
    except OSError as error:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        return error.strerror or str(error)
    return ""


def touch(path: Path, confirmed_at: int) -> None:
    """Sets the time of the last confirmation."""
    try:
        os.utime(path, ns=(confirmed_at * 1000, confirmed_at * 1000))
    except OSError:
        pass  # the file is missing until the next write, or writing failed and was logged
