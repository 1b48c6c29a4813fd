"""The log on a disk: groups appended and acknowledged, segments, snapshots, compaction. Every call blocks.

The order of writes is what holds it together: a group is synced before the tail names it, a snapshot and the
segment after it are on disk before the manifest names them, and nothing is removed before the manifest that
no longer names it is.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pepperusher.store import frames, recovery
from pepperusher.store.disk import Disk
from pepperusher.store.frames import HEADER, SLOT, SLOTS
from pepperusher.store.recovery import (
    MANIFEST,
    TAIL,
    Manifest,
    Recovered,
    RefusedError,
    segment_name,
    snapshot_name,
)

SEGMENT_MOST = 8 * 1024 * 1024
# Of a snapshot, as one frame.
PART = 1 << 18


class Log:
    """`sync` off leaves it to the kernel when a group is on disk: what is acknowledged then outlives the
    process, and not the machine. A call that raised OSError leaves the log `broken`, since what of it is on
    disk is not known: an fsync that failed is not tried again, for the kernel may have dropped what it could
    not write."""

    def __init__(self, disk: Disk, sync: bool = True, segment_most: int = SEGMENT_MOST) -> None:
        self._disk = disk
        self._sync = sync
        self._segment_most = segment_most
        self.broken = False
        self._manifest = Manifest("", 0, 1)
        self._number = 1
        self._length = HEADER.size
        self.sequence = 0
        self._slot = 0

    @property
    def bytes_since(self) -> int:
        """Of log since the last snapshot, roughly: what compaction would save."""
        return (self._number - self._manifest.first) * self._segment_most + self._length

    def open(self) -> Recovered | None:
        """What was there, or None for a new one. Raises RefusedError, Taken, OSError."""
        self._disk.lock()
        found = recovery.recover({name: self._disk.read(name) for name in self._disk.names()})
        if found is None:
            self._begin()
            return None
        for name in found.stale:
            self._disk.remove(name)
        self._manifest, self._number, self._length = found.manifest, found.number, found.length
        self.sequence = found.sequence
        if found.cut and segment_name(self._number) not in found.stale:
            # What was cut off would stand behind what is written next.
            self._disk.cut(segment_name(self._number), self._length)
            self._disk.sync(segment_name(self._number))
        self._disk.sync_folder()
        return found

    def _begin(self) -> None:
        name = segment_name(1)
        self._disk.write(name, 0, frames.header(1))
        self._disk.cut(name, HEADER.size)
        self._disk.sync(name)
        self._disk.write(TAIL, 0, frames.slot(0) * SLOTS)
        self._disk.sync(TAIL)
        self._disk.sync_folder()
        self._write_manifest(self._manifest)

    def _write_manifest(self, manifest: Manifest) -> None:
        fresh = MANIFEST + ".new"
        data = recovery.manifest_bytes(manifest)
        self._disk.write(fresh, 0, data)
        self._disk.cut(fresh, len(data))
        self._disk.sync(fresh)
        self._disk.rename(fresh, MANIFEST)
        self._disk.sync_folder()
        self._manifest = manifest

    def append(self, records: Iterable[tuple[int, bytes]]) -> int:
        """A group of (kind, body); its sequence number. Once it returns, all of it is acknowledged."""
        if self.broken:
            raise OSError("the log is broken")
        try:
            return self._append(records)
        except OSError:
            self.broken = True
            raise

    def _append(self, records: Iterable[tuple[int, bytes]]) -> int:
        body = frames.packed(records)
        if not body:
            return self.sequence
        sequence = self.sequence + 1
        data = frames.frame(sequence, frames.GROUP, body)
        if self._length + len(data) > self._segment_most and self._length > HEADER.size:
            self._rotate()
        name = segment_name(self._number)
        self._disk.write(name, self._length, data)
        if self._sync:
            self._disk.sync(name)
        self._length += len(data)
        self.sequence = sequence
        # Not synced: it lasts with the next group at the latest, and till then only tells less than is there.
        self._slot = (self._slot + 1) % SLOTS
        self._disk.write(TAIL, self._slot * SLOT.size, frames.slot(sequence))
        return sequence

    def _rotate(self) -> None:
        name = segment_name(self._number + 1)
        self._disk.write(name, 0, frames.header(self._number + 1))
        self._disk.cut(name, HEADER.size)
        self._disk.sync(name)
        self._disk.sync_folder()
        self._disk.close(segment_name(self._number))
        self._number += 1
        self._length = HEADER.size

    def rotate(self) -> int:
        """A new segment, so that a snapshot of all before it can take their place; the sequence number it
        stands at."""
        if self.broken:
            raise OSError("the log is broken")
        try:
            if self._length > HEADER.size:
                self._rotate()
        except OSError:
            self.broken = True
            raise
        return self.sequence

    def write_snapshot(self, sequence: int, state: Iterable[tuple[int, bytes]]) -> str:
        """The state at `sequence`, as a file that nothing names yet. Touches nothing that `append` does."""
        name = snapshot_name(sequence)
        fresh = name + ".new"
        at, count = HEADER.size, 0
        self._disk.write(fresh, 0, frames.header(sequence))
        for group in _groups(state):
            count += 1
            data = frames.frame(count, frames.GROUP, group)
            self._disk.write(fresh, at, data)
            at += len(data)
        data = frames.frame(count + 1, frames.END, b"%d" % count)
        self._disk.write(fresh, at, data)
        self._disk.cut(fresh, at + len(data))
        self._disk.sync(fresh)
        self._disk.rename(fresh, name)
        self._disk.sync_folder()
        return name

    def take_snapshot(self, name: str, sequence: int, first: int) -> None:
        """From now on the snapshot stands for all before segment `first`."""
        before = self._manifest
        try:
            self._write_manifest(Manifest(name, sequence, first))
        except OSError:
            self.broken = True
            raise
        for number in range(before.first, first):
            self._disk.remove(segment_name(number))
        if before.snapshot and before.snapshot != name:
            self._disk.remove(before.snapshot)
        self._disk.sync_folder()

    @property
    def number(self) -> int:
        """Of the segment that is written to."""
        return self._number

    def close(self) -> None:
        """Syncs what is left to, and lets the folder go."""
        try:
            if not self.broken:
                self._disk.sync(segment_name(self._number))
                self._disk.sync(TAIL)
        finally:
            self._disk.close()


def _groups(state: Iterable[tuple[int, bytes]]) -> Iterator[bytes]:
    """Records as the bodies of frames, each well under the longest."""
    waiting: list[tuple[int, bytes]] = []
    size = 0
    for kind, body in state:
        waiting.append((kind, body))
        size += len(body) + frames.RECORD.size
        if size > PART:
            yield frames.packed(waiting)
            waiting, size = [], 0
    if waiting:
        yield frames.packed(waiting)


def replay(found: Recovered | None) -> Iterator[tuple[int, bytes]]:
    """All records, (kind, body), in their order: the snapshot's state, then the log."""
    for one in [] if found is None else [*found.state, *found.log]:
        yield from frames.unpacked(one.body)


__all__ = ["Log", "RefusedError", "replay"]
