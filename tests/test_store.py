"""Tests of the store: files truncated at every byte and flipped at every bit, crashes at every write. Recovery must
return every acknowledged record or refuse."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
import unittest
from pathlib import Path
from random import Random

from click.testing import CliRunner

from pepperusher.__main__ import main
from pepperusher.store import frames, recovery, salvage
from pepperusher.store.disk import Disk, FolderLockedError
from pepperusher.store.store_writer import KEPT, LATE, OFF, StoreWriter
from pepperusher.store.log import Log, replay
from pepperusher.store.recovery import Manifest, RefusedError
from pepperusher.store.tables import (
    BREAKER,
    LISTED,
    NEVER_RAN,
    SENT,
    BreakerStates,
    ListedBackends,
    RequestMarks,
    SeenBackend,
    Tables,
)

SECTOR_BYTES = 64
SMALL_SEGMENT_BYTES = 700  # bytes in a segment, enough for a few groups


class PowerLossError(Exception):
    """Simulates a power loss."""


class CrashingDisk:
    """A disk in memory that simulates power loss. `synced` holds the synced files. After a power loss, any sector
    of an unsynced write may be missing, and so may unsynced renames and removals."""

    def __init__(
        self, random: Random, files: dict[str, bytes] | None = None, kill_at: int = -1, fail_at: int = -1
    ) -> None:
        self.synced = dict(files or {})
        self._random = random
        self._contents = {name: bytearray(data) for name, data in self.synced.items()}
        # The writes to each file since its last sync, and the renames since the last sync of the folder.
        self._pending: dict[str, list[tuple[int, bytes | int]]] = {}
        self._renames: list[tuple[str, str | None]] = []
        self._calls = 0
        self._kill_at, self._fail_at = kill_at, fail_at

    def _count_call(self) -> None:
        self._calls += 1
        if self._calls == self._kill_at:
            raise PowerLossError
        if self._fail_at >= 0 and self._calls >= self._fail_at:
            raise OSError(28, "No space left on device")

    def lock(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self._contents)

    def read(self, name: str) -> bytes:
        return bytes(self._contents[name])

    @staticmethod
    def _apply(data: bytearray, offset: int, change: bytes | int) -> None:
        if isinstance(change, int):
            del data[change:]
            return
        if len(data) < offset:
            data += bytes(offset - len(data))
        data[offset : offset + len(change)] = change

    def write(self, name: str, offset: int, data: bytes) -> None:
        self._count_call()
        self._apply(self._contents.setdefault(name, bytearray()), offset, data)
        self._pending.setdefault(name, []).append((offset, bytes(data)))

    def cut(self, name: str, length: int) -> None:
        self._count_call()
        self._apply(self._contents[name], 0, length)
        self._pending.setdefault(name, []).append((0, length))

    def sync(self, name: str) -> None:
        self._count_call()
        self.synced[name] = bytes(self._contents[name])
        self._pending.pop(name, None)

    def rename(self, name: str, new_name: str) -> None:
        self._count_call()
        self._contents[new_name] = self._contents.pop(name)
        self._renames.append((name, new_name))

    def remove(self, name: str) -> None:
        self._count_call()
        self._contents.pop(name, None)
        self._pending.pop(name, None)
        self._renames.append((name, None))

    def sync_folder(self) -> None:
        self._count_call()
        for name, new_name in self._renames:
            self._move(self.synced, name, new_name)
        self._renames = []

    @staticmethod
    def _move(files: dict[str, bytes], name: str, new_name: str | None) -> None:
        data = files.pop(name, None)
        if new_name is not None and data is not None:
            files[new_name] = data

    def close(self, name: str | None = None) -> None:
        pass

    def files_after_power_loss(self) -> dict[str, bytes]:
        """The files that are left after the power loss."""
        files = {name: bytearray(data) for name, data in self.synced.items()}
        for name, writes in self._pending.items():
            for offset, change in writes:
                if isinstance(change, int):
                    if self._random.random() < 0.5:
                        self._apply(files.setdefault(name, bytearray()), 0, change)
                    continue
                for sector_start in range(0, len(change), SECTOR_BYTES):
                    if self._random.random() < 0.6:
                        self._apply(
                            files.setdefault(name, bytearray()),
                            offset + sector_start,
                            change[sector_start : sector_start + SECTOR_BYTES],
                        )
        files_by_name = {name: bytes(data) for name, data in files.items()}
        for name, new_name in self._renames:
            if self._random.random() < 0.5:
                break  # renames reach the disk in order, as a journaling file system guarantees
            self._move(files_by_name, name, new_name)
        return files_by_name


class History:
    """The records that were appended to a log, and how many it acknowledged. The body of a record contains its number,
    so that wrong order is detected."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.appended: list[bytes] = []
        self.acknowledged = 0

    def play(self, log: Log, steps: int) -> None:
        for _ in range(steps):
            if self.random.random() < 0.85:
                group = [
                    b"%d-" % (len(self.appended) + index) + b"x" * self.random.randint(0, 90)
                    for index in range(self.random.randint(1, 4))
                ]
                self.appended += group
                log.append((1, body) for body in group)
                self.acknowledged = len(self.appended)
            else:
                sequence = log.rotate()
                name = log.write_snapshot(sequence, ((1, body) for body in self.appended[: self.acknowledged]))
                log.commit_snapshot(name, sequence, log.number)

    def find_fault(self, bodies: list[bytes]) -> str:
        """What is wrong if these bodies are not a prefix of the appended ones with all acknowledged; "" if nothing
        is."""
        if bodies != self.appended[: len(bodies)]:
            return "is no prefix of the appended records"
        if len(bodies) < self.acknowledged:
            return f"{self.acknowledged - len(bodies)} acknowledged records are lost"
        return ""


def open_bodies(log: Log) -> list[bytes]:
    return [body for _, body in replay(log.open())]


def create_store_files(seed: int = 1, steps: int = 25) -> tuple[dict[str, bytes], History]:
    """The files of a cleanly closed store with several segments and a snapshot."""
    disk, history = CrashingDisk(Random(seed)), History(Random(seed))
    log = Log(disk, max_segment_bytes=SMALL_SEGMENT_BYTES)  # type: ignore[arg-type]
    log.open()
    history.play(log, steps)
    log.close()
    return dict(disk.synced), history


class Damage(unittest.TestCase):
    def recover(self, files: dict[str, bytes], history: History) -> str:
        try:
            recovered = recovery.recover(files)
        except RefusedError as refused:
            self.assertNotIn("\n", str(refused))
            return "refused"
        self.assertIsNotNone(recovered, "recovery found an empty store, but records were written")
        fault = history.find_fault([body for _, body in replay(recovered)])
        self.assertEqual(fault, "")
        return "recovered"

    def test_a_store_is_recovered_as_it_was(self) -> None:
        files, history = create_store_files()
        self.assertGreater(len([name for name in files if name.startswith("log-")]), 1)
        self.assertTrue(any(name.startswith("snapshot-") for name in files))
        self.assertEqual(self.recover(files, history), "recovered")

    def test_every_file_cut_at_every_byte(self) -> None:
        files, history = create_store_files()
        outcomes = {"recovered": 0, "refused": 0}
        for name, data in files.items():
            for length in range(len(data)):
                outcomes[self.recover({**files, name: data[:length]}, history)] += 1
            outcomes[
                self.recover(
                    {other_name: other_data for other_name, other_data in files.items() if other_name != name}, history
                )
            ] += 1
        # Only truncation of the tail file may go undetected.
        self.assertGreater(outcomes["refused"], 1000)
        self.assertLess(outcomes["recovered"], 40)

    def test_every_single_bit_flipped(self) -> None:
        files, history = create_store_files()
        outcomes = {"recovered": 0, "refused": 0}
        for name, data in files.items():
            for byte_index in range(len(data)):
                for bit in range(8):
                    flipped = bytearray(data)
                    flipped[byte_index] ^= 1 << bit
                    outcomes[self.recover({**files, name: bytes(flipped)}, history)] += 1
        self.assertGreater(outcomes["refused"], 8000)
        self.assertLess(outcomes["recovered"], 300)

    def test_what_was_never_acknowledged_may_be_cut_off(self) -> None:
        files, history = create_store_files()
        name = max(file_name for file_name in files if file_name.startswith("log-"))
        recovered = recovery.recover(files)
        unacknowledged_frame = frames.encode_frame(
            recovered.sequence + 1, frames.GROUP, frames.encode_records([(1, b"%d-" % history.acknowledged)])
        )
        history.appended.append(b"%d-" % history.acknowledged)
        for length in range(len(unacknowledged_frame) + 1):
            truncated_files = {**files, name: files[name] + unacknowledged_frame[:length]}
            self.assertEqual(self.recover(truncated_files, history), "recovered")
            # The next group is written at the end of the last valid one.
            disk = CrashingDisk(Random(1), truncated_files)
            log = Log(disk, max_segment_bytes=SMALL_SEGMENT_BYTES)  # type: ignore[arg-type]
            kept_count = len(open_bodies(log))
            log.append([(1, b"next")])
            self.assertEqual([body for _, body in replay(recovery.recover(disk.synced))][kept_count:], [b"next"])

    def test_files_of_another_store_or_program_are_refused(self) -> None:
        files, _ = create_store_files()
        other, _ = create_store_files(2)
        for damaged, words in (
            ({**files, "manifest": other["manifest"]}, "log|snapshot|group"),
            ({**files, "manifest": b"{}"}, "manifest: is corrupt"),
            ({**files, "manifest": recovery.encode_manifest(Manifest("", 0, 77))}, "log-00000077: is missing"),
        ):
            with self.assertRaisesRegex(RefusedError, words):
                recovery.recover(damaged)
        with self.assertRaisesRegex(frames.FrameError, "version 9"):
            begin = frames.HEADER.pack(frames.MAGIC, 9, 0, 1, 0)[:-4]
            frames.decode_header(begin + frames.crc32c(begin).to_bytes(4, "little"))


class Crashes(unittest.TestCase):
    def test_power_lost_at_every_call(self) -> None:
        """A power loss during appends, rotation, snapshots and manifest writes. Unsynced writes are complete,
        partial or missing, at random."""
        recovered_count = 0
        for seed in range(6):
            kill_at = 0
            while True:
                kill_at += 1
                disk, history = (
                    CrashingDisk(Random(seed * 1000 + kill_at), kill_at=kill_at),
                    History(Random(seed)),
                )
                log = Log(disk, max_segment_bytes=SMALL_SEGMENT_BYTES)  # type: ignore[arg-type]
                try:
                    log.open()
                    history.play(log, 30)
                except PowerLossError:
                    pass
                else:
                    break
                files = disk.files_after_power_loss()
                recovered_disk = CrashingDisk(Random(0), files)
                # A store without a manifest has acknowledged nothing.
                bodies = open_bodies(Log(recovered_disk, max_segment_bytes=SMALL_SEGMENT_BYTES))  # type: ignore[arg-type]
                self.assertEqual(history.find_fault(bodies), "", f"seed {seed}, killed at call {kill_at}")
                recovered_count += 1
        self.assertGreater(recovered_count, 600)

    def test_power_lost_over_and_over(self) -> None:
        """Random operations on one store, interrupted by repeated power losses, compared with a list in memory."""
        for seed in range(40):
            random = Random(seed)
            history, files = History(random), {}
            for _ in range(8):
                disk = CrashingDisk(random, files, kill_at=random.randint(1, 90))
                log = Log(disk, max_segment_bytes=SMALL_SEGMENT_BYTES)  # type: ignore[arg-type]
                try:
                    bodies = open_bodies(log)
                    self.assertEqual(history.find_fault(bodies), "", f"seed {seed}")
                    history.appended = bodies
                    history.acknowledged = len(bodies)
                    history.play(log, 25)
                except PowerLossError:
                    pass
                files = disk.files_after_power_loss()

    def test_a_disk_that_fails_breaks_the_log_and_loses_nothing(self) -> None:
        for fail_at in range(1, 120):
            disk, history = CrashingDisk(Random(fail_at), fail_at=fail_at), History(Random(3))
            log = Log(disk, max_segment_bytes=SMALL_SEGMENT_BYTES)  # type: ignore[arg-type]
            try:
                log.open()
                history.play(log, 30)
            except OSError as error:
                self.assertIn("No space left", str(error))
                if log.broken:
                    with self.assertRaisesRegex(OSError, "the log is broken"):
                        log.append([(1, b"more")])
            bodies = open_bodies(
                Log(
                    CrashingDisk(Random(0), disk.files_after_power_loss()),  # type: ignore[arg-type]
                    max_segment_bytes=SMALL_SEGMENT_BYTES,
                )
            )
            self.assertEqual(history.find_fault(bodies), "", f"failing from call {fail_at}")


class Held(unittest.TestCase):
    """Tests of the tables and of rebuilding them from a snapshot and the log after it."""

    def test_marks_count_until_they_are_forgotten_and_no_mark_is_forgotten_for_another(self) -> None:
        marks = RequestMarks(2)
        for sent_at in (10, 20, 30):
            marks.sent("release", "m", f"b{sent_at}", 4, sent_at, sent_at + 100)
        marks.never_ran("release", "m", 20)
        self.assertEqual(
            [(attempt.backend, attempt.ran) for attempt in marks.past("release", "m", 40)],
            [("b10", True), ("b20", False), ("b30", True)],
        )
        self.assertEqual(marks.past("submit", "m", 40), [])
        self.assertTrue(marks.room("submit", "n", 40))
        marks.sent("submit", "n", "b", 1, 50, 90)
        self.assertEqual(
            [marks.room("submit", "o", 89), marks.room("submit", "n", 89), marks.room("submit", "o", 91)],
            [False, True, True],
        )
        # A mark is kept until its last attempt expires, not its first.
        self.assertEqual(len(marks.past("release", "m", 129)), 3)
        self.assertEqual(marks.past("release", "m", 130), [])
        self.assertEqual((len(marks), len(marks._expiry_heap), len(marks._expiry)), (0, 0, 0))

    def test_the_list_leaves_out_what_drains_and_forgets_what_is_oldest(self) -> None:
        listed = ListedBackends(2)
        for id, confirmed in (("a", 5), ("b", 9), ("c", 7)):
            listed.record_listed(SeenBackend(id, f"{id}:1", "z", 1, 1.0, 0, confirmed))
        self.assertEqual([backend.id for backend in listed.all()], ["b", "c"])
        listed.record_unlisted("b")
        self.assertEqual([backend.id for backend in listed.all()], ["c"])

    def test_breakers_are_known_while_they_tell_something(self) -> None:
        breakers = BreakerStates(100)
        breakers.record_change("a", 10, 50)
        breakers.record_change("b", 10, 50)
        breakers.record_change("b", 0, 0)
        self.assertEqual(breakers.open_breakers(149), {"a": (10, 50)})
        self.assertEqual(breakers.open_breakers(150), {})

    def test_records_and_snapshots_build_the_same_tables(self) -> None:
        """A snapshot may include records that were appended after it began; recovery then applies them twice."""
        for seed in range(20):
            random, tables = Random(seed), Tables(1000, 50, 1000)
            records: list[tuple[int, bytes]] = []
            snapshot: list[tuple[int, bytes]] = []
            snapshot_start = 0
            for now in range(1, 400):
                choice = random.random()
                mark = f"m{random.randrange(30)}"
                if choice < 0.5:
                    records.append((SENT, tables.marks.sent("u", mark, "b", random.randrange(3), now, now + 150)))
                elif choice < 0.6 and (past := tables.marks.past("u", mark, now)):
                    records.append((NEVER_RAN, tables.marks.never_ran("u", mark, past[-1].sent)))
                elif choice < 0.8:
                    records.append(
                        (
                            LISTED,
                            tables.listed.record_listed(
                                SeenBackend(f"s{random.randrange(60)}", "a:1", "z", 1, 1.0, 0, now)
                            ),
                        )
                    )
                elif choice < 0.9:
                    records.append(
                        (
                            BREAKER,
                            tables.breakers.record_change(f"s{random.randrange(9)}", now, random.choice((0, now + 50))),
                        )
                    )
                if now == 180:
                    snapshot_start = len(records)
                if now == 200:
                    snapshot = tables.state(now)
            rebuilt_tables = Tables(1000, 50, 1000)
            for kind, body in [*snapshot, *records[snapshot_start:]]:
                rebuilt_tables.take(kind, body)
            rebuilt_tables.take(99, b"of a later program")
            self.assertEqual(rebuilt_tables.unknown, 1)
            for number in range(30):
                self.assertEqual(
                    rebuilt_tables.marks.past("u", f"m{number}", 400), tables.marks.past("u", f"m{number}", 400)
                )
            self.assertEqual(sorted(rebuilt_tables.listed.all()), sorted(tables.listed.all()))
            self.assertEqual(rebuilt_tables.breakers.open_breakers(400), tables.breakers.open_breakers(400))


class Keeping(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.at = Path(folder.name) / "store"
        self.log_lines: list[str] = []

    def create_writer(self, disk: object, state: object = list, compact_at: int = 1 << 40) -> StoreWriter:
        log = Log(disk)  # type: ignore[arg-type]
        log.open()
        return StoreWriter(
            log,
            state,  # type: ignore[arg-type]
            compact_at,
            lambda message, **fields: self.log_lines.append(f"{message} {fields}"),
        )

    async def test_what_it_says_is_kept_is_there(self) -> None:
        class Slow(Disk):
            def sync(self, name: str) -> None:
                time.sleep(0.1)
                super().sync(name)

        store_writer = self.create_writer(Slow(self.at))
        results = await asyncio.gather(*(store_writer.put(1, b"%d" % number, 5.0) for number in range(2000)))
        self.assertEqual(set(results), {KEPT})
        # Records are batched while a group is written, so there are far fewer groups than records.
        self.assertLess(store_writer.groups, 100)
        await store_writer.close()
        self.assertEqual(
            [body for _, body in replay(Log(Disk(self.at)).open())],
            [b"%d" % number for number in range(2000)],
        )

    async def test_it_compacts_under_way_and_stays_small(self) -> None:
        expected: dict[bytes, bytes] = {}
        store_writer = self.create_writer(Disk(self.at), lambda: [(1, body) for body in expected.values()], 40_000)
        for number in range(4000):
            body = b"%d:%d" % (number % 50, number) + b"x" * 40
            expected[body.split(b":")[0]] = body
            store_writer.note(1, body)
            if number % 50 == 0:
                self.assertEqual(await store_writer.put(1, body, 5.0), KEPT)
        await store_writer.close()
        self.assertEqual(self.log_lines, [])
        self.assertLess(sum(path.stat().st_size for path in self.at.iterdir()), 150_000)
        recovered = {body.split(b":")[0]: body for _, body in replay(Log(Disk(self.at)).open())}
        self.assertEqual(recovered, expected)

    async def test_a_slow_disk_is_late_and_holds_nobody_up(self) -> None:
        class Slow(Disk):
            def sync(self, name: str) -> None:
                time.sleep(0.15)
                super().sync(name)

        store_writer = self.create_writer(Slow(self.at))
        longest_delay, measuring = 0.0, True

        async def measure_loop_delay() -> None:
            nonlocal longest_delay
            while measuring:
                started_at = time.monotonic()
                await asyncio.sleep(0)
                longest_delay = max(longest_delay, time.monotonic() - started_at)

        measurement = asyncio.create_task(measure_loop_delay())
        self.assertEqual(await store_writer.put(1, b"a", 0.03), LATE)
        self.assertEqual(await store_writer.put(1, b"b", 5.0), KEPT)
        measuring = False
        await measurement
        self.assertLess(longest_delay, 0.1)
        await store_writer.close()
        self.assertEqual([body for _, body in replay(Log(Disk(self.at)).open())], [b"a", b"b"])

    async def test_a_disk_that_fails_turns_it_off_with_one_line_and_tells_all_who_wait(self) -> None:
        class Full(Disk):
            full = False

            def write(self, name: str, at: int, data: bytes) -> None:
                if self.full:
                    raise OSError(28, "No space left on device")
                super().write(name, at, data)

        disk = Full(self.at)
        store_writer = self.create_writer(disk)
        self.assertEqual(await store_writer.put(1, b"a", 5.0), KEPT)
        disk.full = True
        results = await asyncio.gather(*(store_writer.put(1, b"b", 5.0) for _ in range(10)))
        self.assertEqual(set(results), {OFF})
        self.assertTrue(store_writer.off)
        self.assertEqual(len(self.log_lines), 1)
        self.assertIn("No space left", self.log_lines[0])
        self.assertEqual(await store_writer.put(1, b"c", 5.0), OFF)
        await store_writer.close()


class Mending(unittest.TestCase):
    def call(self, *arguments: str, exit_code: int = 0) -> str:
        result = CliRunner().invoke(main, ["store", *arguments])
        self.assertEqual(result.exit_code, exit_code, result.output)
        return result.output

    def test_what_is_salvaged_is_a_prefix_and_what_is_not_is_said(self) -> None:
        """One flipped bit anywhere: salvaging yields only written records, and reports when it drops any."""
        files, history = create_store_files()
        for name, data in files.items():
            for byte_index in range(0, len(data), 3):
                flipped = bytearray(data)
                flipped[byte_index] ^= 1 << byte_index % 8
                damaged = {**files, name: bytes(flipped)}
                salvaged = salvage.salvage(damaged)
                bodies = [body for group in salvaged.groups for _, body in frames.decode_records(group.body)]
                self.assertEqual(bodies, history.appended[: len(bodies)], (name, byte_index))
                if len(bodies) < len(history.appended):
                    self.assertTrue(salvaged.dropped, (name, byte_index))
        self.assertEqual(salvage.salvage(files).dropped, [])

    def test_the_commands(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store_folder = Path(folder) / "store"
            log, marks = Log(Disk(store_folder)), RequestMarks(1000)
            log.open()
            for number in range(300):
                # All but the last ten have expired.
                until = (1 << 60) if number >= 290 else 20
                log.append([(SENT, marks.sent("release", f"m{number}", "b", 1, number, until))])
            with self.assertRaises(AssertionError):
                self.call("compact", str(store_folder))
            log.close()
            self.assertIn("sent       300", self.call("check", str(store_folder)))
            self.assertEqual(len(self.call("dump", str(store_folder)).splitlines()), 300)
            self.assertRegex(self.call("compact", str(store_folder)), r"\d{5} bytes before, \d{3,4} now")
            self.assertIn("sent       10", self.call("check", str(store_folder)))
            name = max(path.name for path in store_folder.iterdir() if path.name.startswith("snapshot"))
            data = bytearray((store_folder / name).read_bytes())
            data[40] ^= 1
            (store_folder / name).write_bytes(data)
            self.assertIn(f"{name}: is incomplete or corrupt", self.call("check", str(store_folder), exit_code=1))
            output = self.call("repair", str(store_folder))
            self.assertIn("0 groups kept", output)
            self.assertIn(f"dropped: {name}: is incomplete or corrupt", output)
            self.assertIn("already exists", self.call("repair", str(store_folder), exit_code=1))
            self.assertIn(": valid,", self.call("check", str(store_folder) + ".repaired"))
            self.assertIn("contains no store", self.call("check", folder, exit_code=1))


class OnDisk(unittest.TestCase):
    def test_a_real_folder_one_writer_and_compaction(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store_folder, history = Path(folder) / "store", History(Random(4))
            log = Log(Disk(store_folder), max_segment_bytes=SMALL_SEGMENT_BYTES)
            self.assertIsNone(log.open())
            with self.assertRaisesRegex(FolderLockedError, "another process"):
                Log(Disk(store_folder)).open()
            history.play(log, 60)
            size = sum(path.stat().st_size for path in store_folder.iterdir())
            self.assertLess(size, 3 * sum(len(body) + 30 for body in history.appended) + 2000)
            log.close()
            log = Log(Disk(store_folder), sync=False, max_segment_bytes=SMALL_SEGMENT_BYTES)
            self.assertEqual(open_bodies(log), history.appended)
            history.play(log, 20)
            log.close()
            log = Log(Disk(store_folder))
            self.assertEqual(open_bodies(log), history.appended)
            log.close()
            self.assertEqual([name for name in os.listdir(store_folder) if name.endswith(".new")], [])

    def test_a_folder_that_may_not_be_written(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "file").write_text("x")
            with self.assertRaises(OSError):
                Log(Disk(Path(folder) / "file" / "store")).open()


if __name__ == "__main__":
    unittest.main()
