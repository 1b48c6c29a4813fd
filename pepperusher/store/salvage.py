"""What can be kept of a store that refuses: the longest prefix whose every group is sound, and what is dropped; free of I/O.

It never invents. Behind a flaw nothing is taken even where it is sound, since what it says may hang on what the flaw
held: an attempt that is known never to have run, say, whose sending is gone.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from pepperusher.store import frames, recovery
from pepperusher.store.frames import HEADER, Frame, FrameError
from pepperusher.store.recovery import MANIFEST, SEGMENT, SNAPSHOT, Manifest, RefusedError


class Salvaged(NamedTuple):
    """`groups` are those to keep, in order; `dropped` says in lines what is not, each naming a file."""

    groups: list[Frame]
    dropped: list[str]


def salvage(files: Mapping[str, bytes]) -> Salvaged:
    """Of any folder's files. Without a manifest that can be read the newest whole snapshot stands for one."""
    dropped: list[str] = []
    manifest = _manifest(files, dropped)
    groups: list[Frame] = []
    if manifest.snapshot:
        try:
            groups = recovery.snapshot_of(files, manifest)
        except RefusedError as error:
            dropped.append(f"{error}: all behind it is dropped too, since it stands on it")
            return Salvaged([], dropped)
    sequence, number = manifest.sequence, manifest.first
    while (name := recovery.segment_name(number)) in files:
        data = files[name]
        try:
            if frames.read_header(data)[1] != number:
                raise FrameError("is another segment")
        except FrameError as error:
            dropped.append(f"{name}: {error}")
            break
        end = HEADER.size
        for end, one in frames.frames(data, HEADER.size):
            if one.sequence != sequence + 1:
                dropped.append(f"{name}: group {one.sequence} follows {sequence}, and is dropped with all behind it")
                return Salvaged(groups, dropped + _behind(files, number))
            sequence = one.sequence
            groups.append(one)
        if end < len(data):
            sound = sum(1 for _ in _sound(data, end + 1))
            dropped.append(f"{name}: {len(data) - end} bytes from byte {end} on, {sound} sound groups among them")
            break
        number += 1
    dropped += _behind(files, number)
    if (known := frames.read_tail(files.get(recovery.TAIL, b""))) > sequence:
        dropped.append(
            f"{recovery.TAIL}: groups up to {known} were acknowledged, and {sequence} is the last that is kept"
        )
    return Salvaged(groups, dropped)


def _manifest(files: Mapping[str, bytes], dropped: list[str]) -> Manifest:
    try:
        return recovery.read_manifest(files[MANIFEST])
    except KeyError:
        dropped.append(f"{MANIFEST}: is missing")
    except RefusedError as error:
        dropped.append(str(error))
    for name in sorted((one for one in files if one.startswith(SNAPSHOT) and not one.endswith(".new")), reverse=True):
        sequence = int(name.removeprefix(SNAPSHOT)) if name.removeprefix(SNAPSHOT).isdecimal() else -1
        # Which segment follows it only the manifest said; the first there is that goes on from it will do.
        first = _first_after(files, sequence)
        if sequence >= 0 and first:
            return Manifest(name, sequence, first)
    return Manifest("", 0, 1)


def _first_after(files: Mapping[str, bytes], sequence: int) -> int:
    for name in sorted(one for one in files if one.startswith(SEGMENT)):
        found = frames.frame_at(files[name], HEADER.size)
        if found is not None and found[1].sequence == sequence + 1:
            return int(name.removeprefix(SEGMENT))
    return 0


def _behind(files: Mapping[str, bytes], number: int) -> list[str]:
    """The segments after one that was the last to be kept of."""
    later = sorted(name for name in files if name.startswith(SEGMENT) and name > recovery.segment_name(number))
    return [f"{name}: {len(files[name])} bytes, behind a flaw" for name in later]


def _sound(data: bytes, at: int) -> list[Frame]:
    made = []
    while (place := frames.sound_after(data, at)) is not None:
        found = frames.frame_at(data, place)
        assert found is not None
        at, one = found
        made.append(one)
    return made
