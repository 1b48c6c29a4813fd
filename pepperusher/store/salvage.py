"""Salvages a corrupt store: keeps the longest prefix of valid groups and lists what is dropped; free of I/O.

Salvaging never produces records that were not written. It drops all groups after the first corruption, even valid
ones, because they may depend on a corrupt record: for example a record that an attempt never ran, when the record that
the attempt was sent is lost.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from pepperusher.store import frames, recovery
from pepperusher.store.frames import HEADER, Frame, FrameError
from pepperusher.store.recovery import MANIFEST_FILE, SEGMENT_PREFIX, SNAPSHOT_PREFIX, Manifest, RefusedError


class Salvaged(NamedTuple):
    """`groups` are the groups to keep, in order; `dropped` describes the dropped data, a line with the file name
    each."""

    groups: list[Frame]
    dropped: list[str]


def salvage(files: Mapping[str, bytes]) -> Salvaged:
    """Salvages from a folder's files by name. If the manifest is unreadable, the newest snapshot replaces it."""
    dropped: list[str] = []
    manifest = _read_or_replace_manifest(files, dropped)
    groups: list[Frame] = []
    if manifest.snapshot:
        try:
            groups = recovery.read_snapshot(files, manifest)
        except RefusedError as error:
            dropped.append(f"{error}: all data after it is dropped too, since it depends on the snapshot")
            return Salvaged([], dropped)
    sequence, number = manifest.sequence, manifest.first_segment
    while (name := recovery.segment_name(number)) in files:
        data = files[name]
        try:
            if frames.decode_header(data)[1] != number:
                raise FrameError("has the number of another segment")
        except FrameError as error:
            dropped.append(f"{name}: {error}")
            break
        end = HEADER.size
        for end, frame in frames.iterate_frames(data, HEADER.size):
            if frame.sequence != sequence + 1:
                dropped.append(
                    f"{name}: group {frame.sequence} follows {sequence}, and is dropped with all data after it"
                )
                return Salvaged(groups, dropped + _later_segments(files, number))
            sequence = frame.sequence
            groups.append(frame)
        if end < len(data):
            valid_count = sum(1 for _ in _valid_frames(data, end + 1))
            dropped.append(
                f"{name}: {len(data) - end} bytes from byte {end} on, with {valid_count} valid groups among them"
            )
            break
        number += 1
    dropped += _later_segments(files, number)
    if (acknowledged := frames.decode_tail(files.get(recovery.TAIL_FILE, b""))) > sequence:
        dropped.append(
            f"{recovery.TAIL_FILE}: groups up to {acknowledged} were acknowledged,"
            f" but {sequence} is the last that is kept"
        )
    return Salvaged(groups, dropped)


def _read_or_replace_manifest(files: Mapping[str, bytes], dropped: list[str]) -> Manifest:
    try:
        return recovery.decode_manifest(files[MANIFEST_FILE])
    except KeyError:
        dropped.append(f"{MANIFEST_FILE}: is missing")
    except RefusedError as error:
        dropped.append(str(error))
    for name in sorted(
        (file_name for file_name in files if file_name.startswith(SNAPSHOT_PREFIX) and not file_name.endswith(".new")),
        reverse=True,
    ):
        sequence = int(name.removeprefix(SNAPSHOT_PREFIX)) if name.removeprefix(SNAPSHOT_PREFIX).isdecimal() else -1
        # Only the manifest holds the segment after the snapshot; the first segment that continues its sequence
        # replaces it.
        first_segment = _first_segment_after(files, sequence)
        if sequence >= 0 and first_segment:
            return Manifest(name, sequence, first_segment)
    return Manifest("", 0, 1)


def _first_segment_after(files: Mapping[str, bytes], sequence: int) -> int:
    for name in sorted(file_name for file_name in files if file_name.startswith(SEGMENT_PREFIX)):
        found = frames.decode_frame(files[name], HEADER.size)
        if found is not None and found[1].sequence == sequence + 1:
            return int(name.removeprefix(SEGMENT_PREFIX))
    return 0


def _later_segments(files: Mapping[str, bytes], number: int) -> list[str]:
    """Lines about the segments after `number`, the last segment from which groups are kept."""
    later = sorted(name for name in files if name.startswith(SEGMENT_PREFIX) and name > recovery.segment_name(number))
    return [f"{name}: {len(files[name])} bytes, after a corruption" for name in later]


def _valid_frames(data: bytes, offset: int) -> list[Frame]:
    valid_frames = []
    while (valid_offset := frames.find_valid_frame(data, offset)) is not None:
        found = frames.decode_frame(data, valid_offset)
        assert found is not None
        offset, frame = found
        valid_frames.append(frame)
    return valid_frames
