"""What a folder of files comes to: a consistent prefix of all that was written, or a refusal; free of I/O.

Nothing that was acknowledged may be missing, and nothing may stand that was not written. So what is cut at
the end of the last segment after the last that was acknowledged is left out, and all else that is not whole
is refused by name.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import NamedTuple

from crc32c import crc32c

from pepperusher.store import frames
from pepperusher.store.frames import HEADER, Frame, FrameError

MANIFEST, TAIL = "manifest", "tail"
SEGMENT, SNAPSHOT = "log-", "snapshot-"


class RefusedError(ValueError):
    """A store that can't be opened without losing or inventing something; its text is one line with the
    file's name."""


class Manifest(NamedTuple):
    """Which snapshot holds everything up to `sequence` ("" for none), and the first segment after it."""

    snapshot: str
    sequence: int
    first: int


class Recovered(NamedTuple):
    """`state` is the snapshot's frames, `log` those after it. The next goes to segment `number`, after
    `length` bytes of it, as `sequence` + 1. `stale` are files that no manifest names any more, `cut` how many
    bytes at the end were none."""

    manifest: Manifest
    state: list[Frame]
    log: list[Frame]
    number: int
    length: int
    sequence: int
    stale: list[str]
    cut: int


def segment_name(number: int) -> str:
    return f"{SEGMENT}{number:08d}"


def snapshot_name(sequence: int) -> str:
    return f"{SNAPSHOT}{sequence:016d}"


def manifest_bytes(manifest: Manifest) -> bytes:
    body = json.dumps([frames.VERSION, *manifest]).encode()
    return body + f" {crc32c(body):08x}\n".encode()


def read_manifest(data: bytes) -> Manifest:
    """Raises RefusedError."""
    body, _, check = data.rstrip(b"\n").rpartition(b" ")
    try:
        if int(check, 16) != crc32c(body) or not data.endswith(b"\n") or len(check) != 8 or check.lower() != check:
            raise ValueError
        version, snapshot, sequence, first = json.loads(body)
    except ValueError:
        raise RefusedError(f"{MANIFEST}: can't be read") from None
    if version > frames.VERSION:
        raise RefusedError(f"{MANIFEST}: is of version {version}; this program reads up to {frames.VERSION}")
    return Manifest(snapshot, sequence, first)


def recover(files: Mapping[str, bytes]) -> Recovered | None:
    """From all files of the folder by name; None where there is no store yet. Raises RefusedError."""
    if MANIFEST not in files:
        left = sorted(name for name in files if name.startswith((SEGMENT, SNAPSHOT)) and not name.endswith(".new"))
        # A store is made with its first segment and its tail before its manifest names them.
        if left and (left != [segment_name(1)] or len(files[left[0]]) > HEADER.size):
            raise RefusedError(f"{MANIFEST}: is missing, and {left[0]} is there")
        return None
    manifest = read_manifest(files[MANIFEST])
    state = snapshot_of(files, manifest)
    log: list[Frame] = []
    sequence, number, cut, length = manifest.sequence, manifest.first, 0, 0
    acknowledged = frames.read_tail(files.get(TAIL, b""))
    while True:
        name = segment_name(number)
        if name not in files:
            raise RefusedError(f"{name}: is missing")
        data = files[name]
        last = segment_name(number + 1) not in files
        try:
            if frames.read_header(data)[1] != number:
                raise RefusedError(f"{name}: is another segment")
        except FrameError as error:
            if not (last and number > manifest.first and len(data) <= HEADER.size and sequence >= acknowledged):
                raise RefusedError(f"{name}: {error}") from None
            # The next segment was being begun, and nothing is in it.
            return _ended(manifest, state, log, number - 1, length, sequence, files, len(data))
        length = HEADER.size
        for end, one in frames.frames(data, HEADER.size):
            if one.sequence != sequence + 1:
                raise RefusedError(f"{name}: record {one.sequence} follows {sequence}")
            sequence, length = one.sequence, end
            log.append(one)
        cut = len(data) - length
        if cut and not last:
            raise RefusedError(f"{name}: can't be read from byte {length} on, and is not the last")
        if cut and (place := frames.sound_after(data, length + 1)) is not None:
            raise RefusedError(f"{name}: can't be read at byte {length}, and can again at {place}")
        if last:
            break
        number += 1
    if sequence < acknowledged:
        raise RefusedError(f"{name}: ends with record {sequence}, and {acknowledged} was acknowledged")
    return _ended(manifest, state, log, number, length, sequence, files, cut)


def _ended(
    manifest: Manifest,
    state: list[Frame],
    log: list[Frame],
    number: int,
    length: int,
    sequence: int,
    files: Mapping[str, bytes],
    cut: int,
) -> Recovered:
    used = {
        MANIFEST,
        TAIL,
        manifest.snapshot,
        *(segment_name(one) for one in range(manifest.first, number + 1)),
    }
    stale = sorted(
        name for name in files if name not in used and (name.startswith((SEGMENT, SNAPSHOT)) or name.endswith(".new"))
    )
    return Recovered(manifest, state, log, number, length, sequence, stale, cut)


def snapshot_of(files: Mapping[str, bytes], manifest: Manifest) -> list[Frame]:
    """A snapshot is groups numbered from 1, and a frame with their count at its end."""
    if not manifest.snapshot:
        return []
    data = files.get(manifest.snapshot)
    if data is None:
        raise RefusedError(f"{manifest.snapshot}: is missing")
    try:
        if frames.read_header(data)[1] != manifest.sequence:
            raise RefusedError(f"{manifest.snapshot}: is another snapshot")
    except FrameError as error:
        raise RefusedError(f"{manifest.snapshot}: {error}") from None
    made: list[Frame] = []
    end = HEADER.size
    for end, one in frames.frames(data, HEADER.size):
        made.append(one)
    whole = made and made[-1].kind == frames.END and made[-1].body == b"%d" % (len(made) - 1) and end == len(data)
    if not whole or any(one.sequence != place for place, one in enumerate(made, 1)):
        raise RefusedError(f"{manifest.snapshot}: is not whole")
    return made[:-1]
