"""The write-ahead log on disk: appending of record groups, segments, snapshots and compaction. Every call blocks.

Crash safety depends on the order of writes. A group is synced before the tail file records it as acknowledged. A
snapshot and the segment after it are on disk before the manifest refers to them. A file is removed only after a
manifest that no longer refers to it is on disk.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pepperusher.store import frames, recovery
from pepperusher.store.disk import Disk
from pepperusher.store.frames import HEADER, SLOT, SLOT_COUNT
from pepperusher.store.recovery import (
    MANIFEST_FILE,
    TAIL_FILE,
    Manifest,
    Recovered,
    RefusedError,
    segment_name,
    snapshot_name,
)

MAX_SEGMENT_BYTES = 8 * 1024 * 1024
# Approximate size of one frame of a snapshot.
SNAPSHOT_FRAME_BYTES = 1 << 18


class Log:
    """An append-only log. Without `sync` the kernel decides when a group reaches the disk: acknowledged groups then
    survive a crash of the process but not of the machine. A call that raises OSError leaves the log `broken`, because
    it is unknown which of its writes reached the disk. A failed fsync is not retried: the kernel may have dropped the
    pages that it could not write."""

    def __init__(self, disk: Disk, sync: bool = True, max_segment_bytes: int = MAX_SEGMENT_BYTES) -> None:
        self._disk = disk
        self._sync = sync
        self._max_segment_bytes = max_segment_bytes
        self.broken = False
        self._manifest = Manifest("", 0, 1)
        self._segment_number = 1
        self._segment_length = HEADER.size
        self.sequence = 0
        self._tail_slot = 0

    @property
    def log_bytes_since_snapshot(self) -> int:
        """Approximate size of the log since the last snapshot, which compaction would free."""
        return (self._segment_number - self._manifest.first_segment) * self._max_segment_bytes + self._segment_length

    def open(self) -> Recovered | None:
        """Returns the recovered content, or None for a new store. Raises RefusedError, FolderLockedError, OSError."""
        self._disk.lock()
        recovered = recovery.recover({name: self._disk.read(name) for name in self._disk.names()})
        if recovered is None:
            self._create()
            return None
        for name in recovered.stale:
            self._disk.remove(name)
        self._manifest, self._segment_number, self._segment_length = (
            recovered.manifest,
            recovered.segment_number,
            recovered.segment_length,
        )
        self.sequence = recovered.sequence
        if recovered.truncated_bytes and segment_name(self._segment_number) not in recovered.stale:
            # An incomplete frame at the end would otherwise remain after the next one that is written.
            self._disk.cut(segment_name(self._segment_number), self._segment_length)
            self._disk.sync(segment_name(self._segment_number))
        self._disk.sync_folder()
        return recovered

    def _create(self) -> None:
        name = segment_name(1)
        self._disk.write(name, 0, frames.encode_header(1))
        self._disk.cut(name, HEADER.size)
        self._disk.sync(name)
        self._disk.write(TAIL_FILE, 0, frames.encode_slot(0) * SLOT_COUNT)
        self._disk.sync(TAIL_FILE)
        self._disk.sync_folder()
        self._write_manifest(self._manifest)

    def _write_manifest(self, manifest: Manifest) -> None:
        temporary_name = MANIFEST_FILE + ".new"
        data = recovery.encode_manifest(manifest)
        self._disk.write(temporary_name, 0, data)
        self._disk.cut(temporary_name, len(data))
        self._disk.sync(temporary_name)
        self._disk.rename(temporary_name, MANIFEST_FILE)
        self._disk.sync_folder()
        self._manifest = manifest

    def append(self, records: Iterable[tuple[int, bytes]]) -> int:
        """Appends a group of (kind, body) records and returns its sequence number. On return the group is
        acknowledged."""
        if self.broken:
            raise OSError("the log is broken")
        try:
            return self._append(records)
        except OSError:
            self.broken = True
            raise

    def _append(self, records: Iterable[tuple[int, bytes]]) -> int:
        body = frames.encode_records(records)
        if not body:
            return self.sequence
        sequence = self.sequence + 1
        frame = frames.encode_frame(sequence, frames.GROUP, body)
        if self._segment_length + len(frame) > self._max_segment_bytes and self._segment_length > HEADER.size:
            self._rotate()
        name = segment_name(self._segment_number)
        self._disk.write(name, self._segment_length, frame)
        if self._sync:
            self._disk.sync(name)
        self._segment_length += len(frame)
        self.sequence = sequence
        # The tail is not synced here: until it reaches the disk it only understates what was acknowledged.
        self._tail_slot = (self._tail_slot + 1) % SLOT_COUNT
        self._disk.write(TAIL_FILE, self._tail_slot * SLOT.size, frames.encode_slot(sequence))
        return sequence

    def _rotate(self) -> None:
        name = segment_name(self._segment_number + 1)
        self._disk.write(name, 0, frames.encode_header(self._segment_number + 1))
        self._disk.cut(name, HEADER.size)
        self._disk.sync(name)
        self._disk.sync_folder()
        self._disk.close(segment_name(self._segment_number))
        self._segment_number += 1
        self._segment_length = HEADER.size

    def rotate(self) -> int:
        """Starts a new segment, so that a snapshot can replace all segments before it. Returns the sequence number of
        the last group before it."""
        if self.broken:
            raise OSError("the log is broken")
        try:
            if self._segment_length > HEADER.size:
                self._rotate()
        except OSError:
            self.broken = True
            raise
        return self.sequence

    def write_snapshot(self, sequence: int, state: Iterable[tuple[int, bytes]]) -> str:
        """Writes the state at `sequence` to a snapshot file that the manifest doesn't refer to yet. Shares no state
        with `append`."""
        name = snapshot_name(sequence)
        temporary_name = name + ".new"
        offset, count = HEADER.size, 0
        self._disk.write(temporary_name, 0, frames.encode_header(sequence))
        for group in _pack_groups(state):
            count += 1
            frame = frames.encode_frame(count, frames.GROUP, group)
            self._disk.write(temporary_name, offset, frame)
            offset += len(frame)
        frame = frames.encode_frame(count + 1, frames.END, b"%d" % count)
        self._disk.write(temporary_name, offset, frame)
        self._disk.cut(temporary_name, offset + len(frame))
        self._disk.sync(temporary_name)
        self._disk.rename(temporary_name, name)
        self._disk.sync_folder()
        return name

    def commit_snapshot(self, name: str, sequence: int, first_segment: int) -> None:
        """Makes the snapshot replace all segments before `first_segment`, and removes these."""
        previous = self._manifest
        try:
            self._write_manifest(Manifest(name, sequence, first_segment))
        except OSError:
            self.broken = True
            raise
        for number in range(previous.first_segment, first_segment):
            self._disk.remove(segment_name(number))
        if previous.snapshot and previous.snapshot != name:
            self._disk.remove(previous.snapshot)
        self._disk.sync_folder()

    @property
    def number(self) -> int:
        """Number of the segment that is written to."""
        return self._segment_number

    def close(self) -> None:
        """Syncs the last segment and the tail file, and unlocks the folder."""
        try:
            if not self.broken:
                self._disk.sync(segment_name(self._segment_number))
                self._disk.sync(TAIL_FILE)
        finally:
            self._disk.close()


def _pack_groups(state: Iterable[tuple[int, bytes]]) -> Iterator[bytes]:
    """Packs records into frame bodies, each well below the maximum length."""
    group: list[tuple[int, bytes]] = []
    size = 0
    for kind, body in state:
        group.append((kind, body))
        size += len(body) + frames.RECORD_HEADER.size
        if size > SNAPSHOT_FRAME_BYTES:
            yield frames.encode_records(group)
            group, size = [], 0
    if group:
        yield frames.encode_records(group)


def replay(recovered: Recovered | None) -> Iterator[tuple[int, bytes]]:
    """Yields all (kind, body) records in order: those of the snapshot, then those of the log."""
    for frame in [] if recovered is None else [*recovered.state, *recovered.log]:
        yield from frames.decode_records(frame.body)


__all__ = ["Log", "RefusedError", "replay"]
