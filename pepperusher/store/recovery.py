"""Recovers a store from its files: a consistent prefix of all writes, or a refusal; free of I/O.

A recovered store contains every acknowledged record and none that was not written. So recovery drops an incomplete
write at the end of the last segment, after the last acknowledged group. Any other damage is refused with an error
that names the file.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import NamedTuple

from crc32c import crc32c

from pepperusher.store import frames
from pepperusher.store.frames import HEADER, Frame, FrameError

MANIFEST_FILE, TAIL_FILE = "manifest", "tail"
SEGMENT_PREFIX, SNAPSHOT_PREFIX = "log-", "snapshot-"


class RefusedError(ValueError):
    """A store that can't be opened without losing acknowledged records or accepting records that were never written.
    The text is one line with the name of the file."""


class Manifest(NamedTuple):
    """The snapshot that holds all records up to `sequence` ("" for none), and the first segment after it."""

    snapshot: str
    sequence: int
    first_segment: int


class Recovered(NamedTuple):
    """A recovered store. `state` are the frames of the snapshot, `log` the frames after it. The next frame goes to
    segment `segment_number` at offset `segment_length`, with the number `sequence` + 1. `stale` are files that the
    manifest doesn't refer to, `truncated_bytes` the length of the incomplete write that was dropped at the end."""

    manifest: Manifest
    state: list[Frame]
    log: list[Frame]
    segment_number: int
    segment_length: int
    sequence: int
    stale: list[str]
    truncated_bytes: int


def segment_name(number: int) -> str:
    return f"{SEGMENT_PREFIX}{number:08d}"


def snapshot_name(sequence: int) -> str:
    return f"{SNAPSHOT_PREFIX}{sequence:016d}"


def encode_manifest(manifest: Manifest) -> bytes:
    body = json.dumps([frames.VERSION, *manifest]).encode()
    return body + f" {crc32c(body):08x}\n".encode()


def decode_manifest(data: bytes) -> Manifest:
    """Decodes the manifest. Raises RefusedError."""
    body, _, checksum = data.rstrip(b"\n").rpartition(b" ")
    try:
        if (
            int(checksum, 16) != crc32c(body)
            or not data.endswith(b"\n")
            or len(checksum) != 8
            or checksum.lower() != checksum
        ):
            raise ValueError
        version, snapshot, sequence, first_segment = json.loads(body)
    except ValueError:
        raise RefusedError(f"{MANIFEST_FILE}: is corrupt") from None
    if version > frames.VERSION:
        raise RefusedError(f"{MANIFEST_FILE}: has version {version}; this program supports up to {frames.VERSION}")
    return Manifest(snapshot, sequence, first_segment)


def recover(files: Mapping[str, bytes]) -> Recovered | None:
    """Recovers from the contents of all files by name; None if there is no store yet. Raises RefusedError."""
    if MANIFEST_FILE not in files:
        remaining = sorted(
            name for name in files if name.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX)) and not name.endswith(".new")
        )
        # A new store writes its first segment and its tail before its manifest, so these may exist without one.
        if remaining and (remaining != [segment_name(1)] or len(files[remaining[0]]) > HEADER.size):
            raise RefusedError(f"{MANIFEST_FILE}: is missing, but {remaining[0]} exists")
        return None
    manifest = decode_manifest(files[MANIFEST_FILE])
    state = read_snapshot(files, manifest)
    log: list[Frame] = []
    sequence, number, truncated_bytes, length = manifest.sequence, manifest.first_segment, 0, 0
    acknowledged = frames.decode_tail(files.get(TAIL_FILE, b""))
    while True:
        name = segment_name(number)
        if name not in files:
            raise RefusedError(f"{name}: is missing")
        data = files[name]
        is_last_segment = segment_name(number + 1) not in files
        try:
            if frames.decode_header(data)[1] != number:
                raise RefusedError(f"{name}: has the number of another segment")
        except FrameError as error:
            if not (
                is_last_segment
                and number > manifest.first_segment
                and len(data) <= HEADER.size
                and sequence >= acknowledged
            ):
                raise RefusedError(f"{name}: {error}") from None
            # The crash happened while this segment was created, so it holds no frame yet.
            return _build_recovered(manifest, state, log, number - 1, length, sequence, files, len(data))
        length = HEADER.size
        for frame_end, frame in frames.iterate_frames(data, HEADER.size):
            if frame.sequence != sequence + 1:
                raise RefusedError(f"{name}: group {frame.sequence} follows {sequence}")
            sequence, length = frame.sequence, frame_end
            log.append(frame)
        truncated_bytes = len(data) - length
        if truncated_bytes and not is_last_segment:
            raise RefusedError(f"{name}: is corrupt from byte {length} on, and is not the last segment")
        if truncated_bytes and (valid_offset := frames.find_valid_frame(data, length + 1)) is not None:
            raise RefusedError(f"{name}: is corrupt at byte {length}, but valid again at byte {valid_offset}")
        if is_last_segment:
            break
        number += 1
    if sequence < acknowledged:
        raise RefusedError(f"{name}: ends with group {sequence}, but group {acknowledged} was acknowledged")
    return _build_recovered(manifest, state, log, number, length, sequence, files, truncated_bytes)


def _build_recovered(
    manifest: Manifest,
    state: list[Frame],
    log: list[Frame],
    number: int,
    length: int,
    sequence: int,
    files: Mapping[str, bytes],
    truncated_bytes: int,
) -> Recovered:
    used_names = {
        MANIFEST_FILE,
        TAIL_FILE,
        manifest.snapshot,
        *(segment_name(segment) for segment in range(manifest.first_segment, number + 1)),
    }
    stale = sorted(
        name
        for name in files
        if name not in used_names and (name.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX)) or name.endswith(".new"))
    )
    return Recovered(manifest, state, log, number, length, sequence, stale, truncated_bytes)


def read_snapshot(files: Mapping[str, bytes], manifest: Manifest) -> list[Frame]:
    """The frames of the snapshot: groups numbered from 1, then an end frame with their count, which is left out."""
    if not manifest.snapshot:
        return []
    data = files.get(manifest.snapshot)
    if data is None:
        raise RefusedError(f"{manifest.snapshot}: is missing")
    try:
        if frames.decode_header(data)[1] != manifest.sequence:
            raise RefusedError(f"{manifest.snapshot}: has the number of another snapshot")
    except FrameError as error:
        raise RefusedError(f"{manifest.snapshot}: {error}") from None
    snapshot_frames: list[Frame] = []
    end = HEADER.size
    for end, frame in frames.iterate_frames(data, HEADER.size):
        snapshot_frames.append(frame)
    is_complete = (
        snapshot_frames
        and snapshot_frames[-1].kind == frames.END
        and snapshot_frames[-1].body == b"%d" % (len(snapshot_frames) - 1)
        and end == len(data)
    )
    if not is_complete or any(frame.sequence != expected for expected, frame in enumerate(snapshot_frames, 1)):
        raise RefusedError(f"{manifest.snapshot}: is incomplete or corrupt")
    return snapshot_frames[:-1]
