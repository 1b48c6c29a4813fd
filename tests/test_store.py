"""The store's log: cut at every byte, flipped at every bit, killed at every write; what was acknowledged is there or it refuses."""

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

SECTOR = 64
SMALL = 700  # bytes a segment: a few groups


class Killed(Exception):
    """The machine lost its power."""


class Crashing:
    """A disk in memory. `lasting` is what a loss of power leaves; what is written and not synced may be there, torn into
    sectors of which any may be missing, and so may names that are not."""

    def __init__(
        self, chance: Random, files: dict[str, bytes] | None = None, kill_at: int = -1, fail_at: int = -1
    ) -> None:
        self.lasting = dict(files or {})
        self._chance = chance
        self._now = {name: bytearray(data) for name, data in self.lasting.items()}
        # By name, of the writes since its last sync; and the names as the folder was last synced.
        self._pending: dict[str, list[tuple[int, bytes | int]]] = {}
        self._renames: list[tuple[str, str | None]] = []
        self._calls = 0
        self._kill_at, self._fail_at = kill_at, fail_at

    def _call(self) -> None:
        self._calls += 1
        if self._calls == self._kill_at:
            raise Killed
        if self._fail_at >= 0 and self._calls >= self._fail_at:
            raise OSError(28, "No space left on device")

    def lock(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self._now)

    def read(self, name: str) -> bytes:
        return bytes(self._now[name])

    @staticmethod
    def _written(data: bytearray, at: int, what: bytes | int) -> None:
        if isinstance(what, int):
            del data[what:]
            return
        if len(data) < at:
            data += bytes(at - len(data))
        data[at : at + len(what)] = what

    def write(self, name: str, at: int, data: bytes) -> None:
        self._call()
        self._written(self._now.setdefault(name, bytearray()), at, data)
        self._pending.setdefault(name, []).append((at, bytes(data)))

    def cut(self, name: str, length: int) -> None:
        self._call()
        self._written(self._now[name], 0, length)
        self._pending.setdefault(name, []).append((0, length))

    def sync(self, name: str) -> None:
        self._call()
        self.lasting[name] = bytes(self._now[name])
        self._pending.pop(name, None)

    def rename(self, name: str, to: str) -> None:
        self._call()
        self._now[to] = self._now.pop(name)
        self._renames.append((name, to))

    def remove(self, name: str) -> None:
        self._call()
        self._now.pop(name, None)
        self._pending.pop(name, None)
        self._renames.append((name, None))

    def sync_folder(self) -> None:
        self._call()
        for name, to in self._renames:
            self._take(self.lasting, name, to)
        self._renames = []

    @staticmethod
    def _take(files: dict[str, bytes], name: str, to: str | None) -> None:
        data = files.pop(name, None)
        if to is not None and data is not None:
            files[to] = data

    def close(self, name: str | None = None) -> None:
        pass

    def after_power(self) -> dict[str, bytes]:
        """What is there when it is back."""
        files = {name: bytearray(data) for name, data in self.lasting.items()}
        for name, writes in self._pending.items():
            for at, what in writes:
                if isinstance(what, int):
                    if self._chance.random() < 0.5:
                        self._written(files.setdefault(name, bytearray()), 0, what)
                    continue
                for begin in range(0, len(what), SECTOR):
                    if self._chance.random() < 0.6:
                        self._written(files.setdefault(name, bytearray()), at + begin, what[begin : begin + SECTOR])
        whole = {name: bytes(data) for name, data in files.items()}
        for name, to in self._renames:
            if self._chance.random() < 0.5:
                break  # in their order: a folder's journal has it so
            self._take(whole, name, to)
        return whole


class History:
    """What was asked of a log, and what it acknowledged. A record's body is its own number, so that order shows."""

    def __init__(self, chance: Random) -> None:
        self.chance = chance
        self.asked: list[bytes] = []
        self.acknowledged = 0

    def play(self, log: Log, steps: int) -> None:
        for _ in range(steps):
            if self.chance.random() < 0.85:
                group = [
                    b"%d-" % (len(self.asked) + place) + b"x" * self.chance.randint(0, 90)
                    for place in range(self.chance.randint(1, 4))
                ]
                self.asked += group
                log.append((1, body) for body in group)
                self.acknowledged = len(self.asked)
            else:
                sequence = log.rotate()
                name = log.write_snapshot(sequence, ((1, body) for body in self.asked[: self.acknowledged]))
                log.take_snapshot(name, sequence, log.number)

    def holds(self, bodies: list[bytes]) -> str:
        """What is wrong with these as a prefix of what was asked; "" where all is well."""
        if bodies != self.asked[: len(bodies)]:
            return "is no prefix of what was asked"
        if len(bodies) < self.acknowledged:
            return f"{self.acknowledged - len(bodies)} acknowledged records are gone"
        return ""


def bodies_of(log: Log) -> list[bytes]:
    return [body for _, body in replay(log.open())]


def files_of(seed: int = 1, steps: int = 25) -> tuple[dict[str, bytes], History]:
    """A store that was closed in order, of several segments and a snapshot."""
    disk, history = Crashing(Random(seed)), History(Random(seed))
    log = Log(disk, segment_most=SMALL)  # type: ignore[arg-type]
    log.open()
    history.play(log, steps)
    log.close()
    return dict(disk.lasting), history


class Damage(unittest.TestCase):
    def outcome(self, files: dict[str, bytes], history: History) -> str:
        try:
            found = recovery.recover(files)
        except RefusedError as refused:
            self.assertNotIn("\n", str(refused))
            return "refused"
        self.assertIsNotNone(found, "an empty store was found in place of one that held something")
        wrong = history.holds([body for _, body in replay(found)])
        self.assertEqual(wrong, "")
        return "whole"

    def test_a_store_is_recovered_as_it_was(self) -> None:
        files, history = files_of()
        self.assertGreater(len([name for name in files if name.startswith("log-")]), 1)
        self.assertTrue(any(name.startswith("snapshot-") for name in files))
        self.assertEqual(self.outcome(files, history), "whole")

    def test_every_file_cut_at_every_byte(self) -> None:
        files, history = files_of()
        seen = {"whole": 0, "refused": 0}
        for name, data in files.items():
            for length in range(len(data)):
                seen[self.outcome({**files, name: data[:length]}, history)] += 1
            seen[self.outcome({one: other for one, other in files.items() if one != name}, history)] += 1
        # The tail alone may be cut and nothing be missed.
        self.assertGreater(seen["refused"], 1000)
        self.assertLess(seen["whole"], 40)

    def test_every_single_bit_flipped(self) -> None:
        files, history = files_of()
        seen = {"whole": 0, "refused": 0}
        for name, data in files.items():
            for place in range(len(data)):
                for bit in range(8):
                    flipped = bytearray(data)
                    flipped[place] ^= 1 << bit
                    seen[self.outcome({**files, name: bytes(flipped)}, history)] += 1
        self.assertGreater(seen["refused"], 8000)
        self.assertLess(seen["whole"], 300)

    def test_what_was_never_acknowledged_may_be_cut_off(self) -> None:
        files, history = files_of()
        name = max(one for one in files if one.startswith("log-"))
        found = recovery.recover(files)
        last = frames.frame(found.sequence + 1, frames.GROUP, frames.packed([(1, b"%d-" % history.acknowledged)]))
        history.asked.append(b"%d-" % history.acknowledged)
        for length in range(len(last) + 1):
            torn = {**files, name: files[name] + last[:length]}
            self.assertEqual(self.outcome(torn, history), "whole")
            # And what is written next stands where the cut was.
            disk = Crashing(Random(1), torn)
            log = Log(disk, segment_most=SMALL)  # type: ignore[arg-type]
            kept = len(bodies_of(log))
            log.append([(1, b"next")])
            self.assertEqual([body for _, body in replay(recovery.recover(disk.lasting))][kept:], [b"next"])

    def test_files_of_another_store_or_program_are_refused(self) -> None:
        files, _ = files_of()
        other, _ = files_of(2)
        for damaged, words in (
            ({**files, "manifest": other["manifest"]}, "log|snapshot|record"),
            ({**files, "manifest": b"{}"}, "manifest: can't be read"),
            ({**files, "manifest": recovery.manifest_bytes(Manifest("", 0, 77))}, "log-00000077: is missing"),
        ):
            with self.assertRaisesRegex(RefusedError, words):
                recovery.recover(damaged)
        with self.assertRaisesRegex(frames.FrameError, "version 9"):
            begin = frames.HEADER.pack(frames.MAGIC, 9, 0, 1, 0)[:-4]
            frames.read_header(begin + frames.crc32c(begin).to_bytes(4, "little"))


class Crashes(unittest.TestCase):
    def test_power_lost_at_every_call(self) -> None:
        """Over appends, new segments, snapshots and manifests; what was not synced is there, torn or gone, by chance."""
        whole = 0
        for seed in range(6):
            kill_at = 0
            while True:
                kill_at += 1
                disk, history = (
                    Crashing(Random(seed * 1000 + kill_at), kill_at=kill_at),
                    History(Random(seed)),
                )
                log = Log(disk, segment_most=SMALL)  # type: ignore[arg-type]
                try:
                    log.open()
                    history.play(log, 30)
                except Killed:
                    pass
                else:
                    break
                files = disk.after_power()
                again = Crashing(Random(0), files)
                # One that never came to a manifest had nothing acknowledged.
                kept = bodies_of(Log(again, segment_most=SMALL))  # type: ignore[arg-type]
                self.assertEqual(history.holds(kept), "", f"seed {seed}, killed at call {kill_at}")
                whole += 1
        self.assertGreater(whole, 600)

    def test_power_lost_over_and_over(self) -> None:
        """Random histories on one store, each ended by a loss of power and gone on with, against a list in memory."""
        for seed in range(40):
            chance = Random(seed)
            history, files = History(chance), {}
            for _ in range(8):
                disk = Crashing(chance, files, kill_at=chance.randint(1, 90))
                log = Log(disk, segment_most=SMALL)  # type: ignore[arg-type]
                try:
                    kept = bodies_of(log)
                    self.assertEqual(history.holds(kept), "", f"seed {seed}")
                    history.asked = kept
                    history.acknowledged = len(kept)
                    history.play(log, 25)
                except Killed:
                    pass
                files = disk.after_power()

    def test_a_disk_that_fails_breaks_the_log_and_loses_nothing(self) -> None:
        for fail_at in range(1, 120):
            disk, history = Crashing(Random(fail_at), fail_at=fail_at), History(Random(3))
            log = Log(disk, segment_most=SMALL)  # type: ignore[arg-type]
            try:
                log.open()
                history.play(log, 30)
            except OSError as error:
                self.assertIn("No space left", str(error))
                if log.broken:
                    with self.assertRaisesRegex(OSError, "the log is broken"):
                        log.append([(1, b"more")])
            kept = bodies_of(Log(Crashing(Random(0), disk.after_power()), segment_most=SMALL))  # type: ignore[arg-type]
            self.assertEqual(history.holds(kept), "", f"failing from call {fail_at}")


class Held(unittest.TestCase):
    """The tables, against what was told them, through a snapshot and the log behind it."""

    def test_marks_count_until_they_are_forgotten_and_no_mark_is_forgotten_for_another(self) -> None:
        marks = RequestMarks(2)
        for at in (10, 20, 30):
            marks.sent("release", "m", f"b{at}", 4, at, at + 100)
        marks.never_ran("release", "m", 20)
        self.assertEqual(
            [(one.backend, one.ran) for one in marks.past("release", "m", 40)],
            [("b10", True), ("b20", False), ("b30", True)],
        )
        self.assertEqual(marks.past("submit", "m", 40), [])
        self.assertTrue(marks.room("submit", "n", 40))
        marks.sent("submit", "n", "b", 1, 50, 90)
        self.assertEqual(
            [marks.room("submit", "o", 89), marks.room("submit", "n", 89), marks.room("submit", "o", 91)],
            [False, True, True],
        )
        # Known until its last attempt is forgotten, not its first.
        self.assertEqual(len(marks.past("release", "m", 129)), 3)
        self.assertEqual(marks.past("release", "m", 130), [])
        self.assertEqual((len(marks), len(marks._ends), len(marks._until)), (0, 0, 0))

    def test_the_list_leaves_out_what_drains_and_forgets_what_is_oldest(self) -> None:
        listed = ListedBackends(2)
        for id, confirmed in (("a", 5), ("b", 9), ("c", 7)):
            listed.seen(SeenBackend(id, f"{id}:1", "z", 1, 1.0, 0, confirmed))
        self.assertEqual([one.id for one in listed.all()], ["b", "c"])
        listed.gone("b")
        self.assertEqual([one.id for one in listed.all()], ["c"])

    def test_breakers_are_known_while_they_tell_something(self) -> None:
        breakers = BreakerStates(100)
        breakers.turned("a", 10, 50)
        breakers.turned("b", 10, 50)
        breakers.turned("b", 0, 0)
        self.assertEqual(breakers.open(149), {"a": (10, 50)})
        self.assertEqual(breakers.open(150), {})

    def test_records_and_snapshots_build_the_same_tables(self) -> None:
        """A snapshot may hold more than the log had when it was begun, and the log then says that again."""
        for seed in range(20):
            chance, tables = Random(seed), Tables(1000, 50, 1000)
            records: list[tuple[int, bytes]] = []
            snapshot: list[tuple[int, bytes]] = []
            begun = 0
            for now in range(1, 400):
                turn = chance.random()
                mark = f"m{chance.randrange(30)}"
                if turn < 0.5:
                    records.append((SENT, tables.marks.sent("u", mark, "b", chance.randrange(3), now, now + 150)))
                elif turn < 0.6 and (past := tables.marks.past("u", mark, now)):
                    records.append((NEVER_RAN, tables.marks.never_ran("u", mark, past[-1].sent)))
                elif turn < 0.8:
                    records.append(
                        (
                            LISTED,
                            tables.listed.seen(SeenBackend(f"s{chance.randrange(60)}", "a:1", "z", 1, 1.0, 0, now)),
                        )
                    )
                elif turn < 0.9:
                    records.append(
                        (
                            BREAKER,
                            tables.breakers.turned(f"s{chance.randrange(9)}", now, chance.choice((0, now + 50))),
                        )
                    )
                if now == 180:
                    begun = len(records)
                if now == 200:
                    snapshot = tables.state(now)
            again = Tables(1000, 50, 1000)
            for kind, body in [*snapshot, *records[begun:]]:
                again.take(kind, body)
            again.take(99, b"of a later program")
            self.assertEqual(again.unknown, 1)
            for number in range(30):
                self.assertEqual(again.marks.past("u", f"m{number}", 400), tables.marks.past("u", f"m{number}", 400))
            self.assertEqual(sorted(again.listed.all()), sorted(tables.listed.all()))
            self.assertEqual(again.breakers.open(400), tables.breakers.open(400))


class Keeping(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.at = Path(folder.name) / "store"
        self.said: list[str] = []

    def keeper(self, disk: object, state: object = list, compact_at: int = 1 << 40) -> StoreWriter:
        log = Log(disk)  # type: ignore[arg-type]
        log.open()
        return StoreWriter(log, state, compact_at, lambda what, **why: self.said.append(f"{what} {why}"))  # type: ignore[arg-type]

    async def test_what_it_says_is_kept_is_there(self) -> None:
        class Slow(Disk):
            def sync(self, name: str) -> None:
                time.sleep(0.1)
                super().sync(name)

        keeper = self.keeper(Slow(self.at))
        ends = await asyncio.gather(*(keeper.put(1, b"%d" % number, 5.0) for number in range(2000)))
        self.assertEqual(set(ends), {KEPT})
        # Gathered while a group is written: far fewer groups than records.
        self.assertLess(keeper.groups, 100)
        await keeper.close()
        self.assertEqual(
            [body for _, body in replay(Log(Disk(self.at)).open())],
            [b"%d" % number for number in range(2000)],
        )

    async def test_it_compacts_under_way_and_stays_small(self) -> None:
        kept: dict[bytes, bytes] = {}
        keeper = self.keeper(Disk(self.at), lambda: [(1, body) for body in kept.values()], 40_000)
        for number in range(4000):
            body = b"%d:%d" % (number % 50, number) + b"x" * 40
            kept[body.split(b":")[0]] = body
            keeper.note(1, body)
            if number % 50 == 0:
                self.assertEqual(await keeper.put(1, body, 5.0), KEPT)
        await keeper.close()
        self.assertEqual(self.said, [])
        self.assertLess(sum(one.stat().st_size for one in self.at.iterdir()), 150_000)
        last = {body.split(b":")[0]: body for _, body in replay(Log(Disk(self.at)).open())}
        self.assertEqual(last, kept)

    async def test_a_slow_disk_is_late_and_holds_nobody_up(self) -> None:
        class Slow(Disk):
            def sync(self, name: str) -> None:
                time.sleep(0.15)
                super().sync(name)

        keeper = self.keeper(Slow(self.at))
        longest, going = 0.0, True

        async def turns() -> None:
            nonlocal longest
            while going:
                began = time.monotonic()
                await asyncio.sleep(0)
                longest = max(longest, time.monotonic() - began)

        turning = asyncio.create_task(turns())
        self.assertEqual(await keeper.put(1, b"a", 0.03), LATE)
        self.assertEqual(await keeper.put(1, b"b", 5.0), KEPT)
        going = False
        await turning
        self.assertLess(longest, 0.1)
        await keeper.close()
        self.assertEqual([body for _, body in replay(Log(Disk(self.at)).open())], [b"a", b"b"])

    async def test_a_disk_that_fails_turns_it_off_with_one_line_and_tells_all_who_wait(self) -> None:
        class Full(Disk):
            full = False

            def write(self, name: str, at: int, data: bytes) -> None:
                if self.full:
                    raise OSError(28, "No space left on device")
                super().write(name, at, data)

        disk = Full(self.at)
        keeper = self.keeper(disk)
        self.assertEqual(await keeper.put(1, b"a", 5.0), KEPT)
        disk.full = True
        ends = await asyncio.gather(*(keeper.put(1, b"b", 5.0) for _ in range(10)))
        self.assertEqual(set(ends), {OFF})
        self.assertTrue(keeper.off)
        self.assertEqual(len(self.said), 1)
        self.assertIn("No space left", self.said[0])
        self.assertEqual(await keeper.put(1, b"c", 5.0), OFF)
        await keeper.close()


class Mending(unittest.TestCase):
    def call(self, *words: str, ends: int = 0) -> str:
        done = CliRunner().invoke(main, ["store", *words])
        self.assertEqual(done.exit_code, ends, done.output)
        return done.output

    def test_what_is_salvaged_is_a_prefix_and_what_is_not_is_said(self) -> None:
        """One bit flipped anywhere: never a record that was not written, and never less than up to the flaw unsaid."""
        files, history = files_of()
        for name, data in files.items():
            for place in range(0, len(data), 3):
                flipped = bytearray(data)
                flipped[place] ^= 1 << place % 8
                damaged = {**files, name: bytes(flipped)}
                kept = salvage.salvage(damaged)
                bodies = [body for one in kept.groups for _, body in frames.unpacked(one.body)]
                self.assertEqual(bodies, history.asked[: len(bodies)], (name, place))
                if len(bodies) < len(history.asked):
                    self.assertTrue(kept.dropped, (name, place))
        self.assertEqual(salvage.salvage(files).dropped, [])

    def test_the_commands(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            at = Path(folder) / "store"
            log, marks = Log(Disk(at)), RequestMarks(1000)
            log.open()
            for number in range(300):
                # Long forgotten, but for the last ten.
                until = (1 << 60) if number >= 290 else 20
                log.append([(SENT, marks.sent("release", f"m{number}", "b", 1, number, until))])
            with self.assertRaises(AssertionError):
                self.call("compact", str(at))
            log.close()
            self.assertIn("sent       300", self.call("check", str(at)))
            self.assertEqual(len(self.call("dump", str(at)).splitlines()), 300)
            self.assertRegex(self.call("compact", str(at)), r"\d{5} bytes before, \d{3,4} now")
            self.assertIn("sent       10", self.call("check", str(at)))
            name = max(one.name for one in at.iterdir() if one.name.startswith("snapshot"))
            data = bytearray((at / name).read_bytes())
            data[40] ^= 1
            (at / name).write_bytes(data)
            self.assertIn(f"{name}: is not whole", self.call("check", str(at), ends=1))
            said = self.call("repair", str(at))
            self.assertIn("0 groups kept", said)
            self.assertIn(f"dropped: {name}: is not whole", said)
            self.assertIn("is there already", self.call("repair", str(at), ends=1))
            self.assertIn("sound", self.call("check", str(at) + ".repaired"))
            self.assertIn("holds no store", self.call("check", folder, ends=1))


class OnDisk(unittest.TestCase):
    def test_a_real_folder_one_writer_and_compaction(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            at, history = Path(folder) / "store", History(Random(4))
            log = Log(Disk(at), segment_most=SMALL)
            self.assertIsNone(log.open())
            with self.assertRaisesRegex(FolderLockedError, "another process"):
                Log(Disk(at)).open()
            history.play(log, 60)
            size = sum(one.stat().st_size for one in at.iterdir())
            self.assertLess(size, 3 * sum(len(body) + 30 for body in history.asked) + 2000)
            log.close()
            log = Log(Disk(at), sync=False, segment_most=SMALL)
            self.assertEqual(bodies_of(log), history.asked)
            history.play(log, 20)
            log.close()
            log = Log(Disk(at))
            self.assertEqual(bodies_of(log), history.asked)
            log.close()
            self.assertEqual([name for name in os.listdir(at) if name.endswith(".new")], [])

    def test_a_folder_that_may_not_be_written(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "file").write_text("x")
            with self.assertRaises(OSError):
                Log(Disk(Path(folder) / "file" / "store")).open()


if __name__ == "__main__":
    unittest.main()
