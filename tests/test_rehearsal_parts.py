"""The parts of a rehearsal that decide without I/O: a backend's work, clients' manners, stalls, books,
comparisons."""

from __future__ import annotations

import gzip
import tempfile
import unittest
from pathlib import Path
from random import Random

import msgspec

from pepperusher.rehearsal import rule_checker, compare, page, records, results, text_report, tally
from pepperusher.rehearsal.engine import FULL, RUNS, WAITS, Engine, Job, Memory, parts_of
from pepperusher.rehearsal.client_behavior import RequestBehavior
from pepperusher.rehearsal.records import (
    ProxyPause,
    ProxyRun,
    BackendAttempt,
    Stall,
    BackendLifetimeRecord,
    StateNotification,
    ClientAttempt,
)
from pepperusher.rehearsal.script import Kind, Overload
from pepperusher.rehearsal.stalls import StallDetector, SleepMargin, Spans

from tests.rehearsal_scene import small
from tests.scene import TraceTestCase

MS = 1000


class Work(unittest.TestCase):
    def engine(self, **kind: object) -> Engine:
        return Engine(Kind(name="k", count=1, **kind), -(10**9), 0, 3.0, 1_000_000)  # type: ignore[arg-type]

    def ended(self, engine: Engine, until: int, step: int = 100) -> list[tuple[int, Job]]:
        return [(now, job) for now in range(step, until + step, step) for job in engine.advance(now)]

    def test_tickets_share_the_cores(self) -> None:
        """Two of 10 ms on one core end at 20 ms; a third of 5 ms that comes at 10 ms ends when it had 5 ms of
        a third."""
        engine = self.engine()
        first, second, third = (Job([part]) for part in (10 * MS, 10 * MS, 5 * MS))
        self.assertEqual((engine.offer(first, 0), engine.offer(second, 0)), (RUNS, RUNS))
        self.assertEqual(engine.advance(10 * MS), [])
        engine.offer(third, 0)
        ended = [(now, job) for now in range(10 * MS, 40 * MS, 100) for job in engine.advance(now)]
        self.assertEqual([(round(now / MS), job) for now, job in ended], [(25, first), (25, second), (25, third)])
        self.assertAlmostEqual(engine.worked, 25 * MS, delta=10)

    def test_more_cores_speed_and_a_slowing(self) -> None:
        engine = self.engine(cores=2, speed=2.0)
        jobs = [Job([10 * MS]) for _ in range(2)]
        for job in jobs:
            engine.offer(job, 0)
        engine.advance(2500)
        engine.slower = 2.0
        self.assertEqual([round(now / MS, 1) for now, _ in self.ended(engine, 20 * MS)], [7.5, 7.5])

    def test_a_freeze_stops_all_and_goes_on_after(self) -> None:
        engine = self.engine()
        engine.offer(Job([10 * MS]), 0)
        engine.advance(4 * MS)
        engine.frozen = True
        self.assertEqual((engine.advance(500 * MS), engine.due()), ([], None))
        engine.frozen = False
        self.assertEqual(engine.due(), 506 * MS + 1)
        self.assertEqual(len(engine.advance(506 * MS + 1)), 1)

    def test_slots_a_queue_and_a_slot_kept_while_it_calls(self) -> None:
        engine = self.engine(slots=1, queue=1)
        calls, waits, full = Job(parts_of(10 * MS, 1)), Job([1 * MS]), Job([1])
        self.assertEqual([engine.offer(job, 0) for job in (calls, waits, full)], [RUNS, WAITS, FULL])
        self.assertEqual(engine.advance(5 * MS + 1), [calls])
        self.assertEqual(engine.advance(50 * MS), [])
        engine.resume(calls)
        self.assertEqual(engine.advance(56 * MS), [calls])
        self.assertEqual(engine.leave(calls), [waits])
        self.assertEqual(engine.advance(58 * MS), [waits])
        self.assertEqual((engine.leave(waits), engine.in_hand), ([], 0))

    def test_what_is_stopped_frees_its_core_and_its_place(self) -> None:
        engine = self.engine(slots=1, queue=5)
        first, second, third = (Job([10 * MS]) for _ in range(3))
        for job in (first, second, third):
            engine.offer(job, 0)
        engine.advance(3 * MS)
        self.assertEqual(engine.leave(second), [])
        self.assertEqual(engine.leave(first), [third])
        self.assertAlmostEqual(first.done_work, 3 * MS, delta=2)
        self.assertEqual([job for _, job in self.ended(engine, 14 * MS)], [third])

    def test_a_cold_one_warms_and_is_pushed_over_by_a_multiple_for_long_enough(self) -> None:
        """It can do 0.1 to 1 of a second's work in a second: over three times that for a second and it
        falls."""
        for times, falls in ((2.8, False), (3.2, True)):
            engine = Engine(
                Kind(name="k", count=1, cold_from=0.1, warm_for=10_000_000, slots=9999), 0, 0, 3.0, 1_000_000
            )
            self.assertAlmostEqual(engine.warmth(5_000_000), 0.55)
            for now in range(0, 2_000_000, 10_000):
                engine.advance(now)
                work = round(10_000 * engine.warmth(now) * times)
                engine.offer(Job([work]), work)
            self.assertEqual(engine.fell >= 0, falls)
            if falls:
                self.assertAlmostEqual(engine.fell, 1_000_000, delta=100_001)
        warm = self.engine()
        for now in range(0, 3_000_000, 10_000):
            warm.advance(now)
            warm.offer(Job([100_000]), 100_000)
        self.assertEqual(warm.fell, -1)

    def test_overload_slows_until_it_has_rested(self) -> None:
        terms = Overload(at=3, after=50 * MS, slower=4.0, below=0.5, rest=100 * MS)  # type: ignore[arg-type]
        engine = self.engine(overload=terms)
        jobs = [Job([30 * MS]) for _ in range(4)]
        for job in jobs:
            engine.offer(job, 0)
        engine.advance(49 * MS)
        self.assertFalse(engine.overloaded)
        engine.advance(60 * MS)
        self.assertTrue(engine.overloaded)
        for now in range(60 * MS, 500 * MS, MS):
            for job in engine.advance(now):
                engine.leave(job)
        self.assertEqual(engine.in_hand, 0)
        self.assertFalse(engine.overloaded)

    def test_a_memory_of_marks_keeps_its_time_and_no_more(self) -> None:
        memory, job, other = Memory(), Job([]), Job([])
        self.assertEqual(memory.ask(1, "m", 100, job, 0), ("new", None))
        self.assertEqual(memory.ask(1, "m", 100, other, 50), ("under way", job))
        memory.over(1, "m", job, True)
        self.assertEqual(memory.ask(1, "m", 100, other, 99), ("done", None))
        self.assertEqual(memory.ask(1, "m", 100, other, 100)[0], "new")
        memory.over(1, "m", other, False)
        self.assertEqual(memory.ask(1, "m", 100, job, 101)[0], "new")
        for number in range(10_000):
            memory.ask(1, f"n{number}", 100, job, 1000 + number)
        self.assertLess(len(memory._known) + len(memory._since), 210)


class Clients(unittest.TestCase):
    def wish(self, use: int = 0, **load: object) -> RequestBehavior:
        of = small(load=load)
        return RequestBehavior(of.use_cases[use], of.load, of.seed, 3, 1_000_000)

    def test_tries_end_with_their_number_and_their_time(self) -> None:
        wish = self.wish(retries=2, patience=0.5, backoff="100ms")
        self.assertEqual((wish.timeout, wish.wait_time(50)), (1_000_000, 1_000_050))
        self.assertEqual(wish.next_attempt_time("left", 0, 2_000_000), 2_100_000)
        # What is left of the time in which it is wanted at all.
        self.assertEqual((wish.nth, wish.timeout), (1, 900_000))
        self.assertIsNone(wish.next_attempt_time("scrapped", 0, 2_950_000))
        self.assertEqual(wish.next_attempt_time("scrapped", 0, 2_500_000), 2_600_000)
        self.assertIsNone(wish.next_attempt_time("scrapped", 0, 2_650_000))
        self.assertIsNone(self.wish(retries=2).next_attempt_time("done", 0, 1_100_000))

    def test_advice_is_honoured_by_some(self) -> None:
        self.assertEqual(self.wish(retries=1, honours=1.0).next_attempt_time("bounced", 300_000, 1_100_000), 1_400_000)
        self.assertEqual(self.wish(retries=1, honours=0.0).next_attempt_time("bounced", 300_000, 1_100_000), 1_100_000)

    def test_single_use_is_asked_again_where_it_never_ran_alone(self) -> None:
        for how, again in (
            ("bounced", True),
            ("unreached", True),
            ("scrapped", False),
            ("left", False),
            ("lost", False),
        ):
            self.assertEqual(self.wish(2, retries=1).next_attempt_time(how, 0, 1_100_000) is not None, again, how)

    def test_some_leave_early_and_have_not_said_so(self) -> None:
        wish = self.wish(leave=1.0)
        self.assertLess(wish.wait_time(50), wish.timeout)
        self.assertEqual(wish.timeout, 2_000_000)


class Trust(unittest.TestCase):
    def test_a_heart_notes_what_came_late(self) -> None:
        heart = StallDetector(5, 20)
        self.assertEqual([heart.beat(now) for now in (0, 5, 12, 1000, 1005)], [None, None, None, (17, 1000), None])

    def test_spans_join_and_touch(self) -> None:
        spans = Spans([(2_500_000, 3_100_000), (100, 200), (150, 300)])
        self.assertEqual(spans.joined, [(100, 300), (2_500_000, 3_100_000)])
        self.assertEqual(
            [spans.overlaps(*one) for one in ((0, 99), (0, 100), (300, 400), (301, 400), (0, 9_000_000))],
            [False, True, True, False, True],
        )
        self.assertEqual(spans.seconds(), [0, 2, 3])

    def test_a_margin_follows_the_machine(self) -> None:
        margin = SleepMargin(1000, 8000)
        margin.woke(4000)
        self.assertEqual(margin.now, 5000)
        margin.woke(90_000)
        self.assertEqual(margin.now, 8000)
        for _ in range(1000):
            margin.woke(0)
        self.assertEqual(margin.now, 1000)


def a_try(**changes: object) -> ClientAttempt:
    given = {
        "name": "w1.0",
        "wish": "w1",
        "nth": 0,
        "mark": "",
        "use": 0,
        "customer": 0,
        "proxy": 0,
        "parent": "",
        "work": 5000,
        "intended": 0,
        "sent": 10,
        "written": 20,
        "ended": 50_000,
        "how": "done",
        "status": 200,
        "advice": 0,
        "fresh": True,
        "limit": 2_000_000,
        "crossed": -1,
    }
    return ClientAttempt(**{**given, **changes})  # type: ignore[arg-type]


def a_sent(**changes: object) -> BackendAttempt:
    given = {
        "name": "w1.0",
        "mark": "",
        "use": 0,
        "place": 0,
        "id": "desk-1",
        "tier": 0,
        "cell": 0,
        "first": 100,
        "last": 120,
        "begun": 130,
        "effect": 40_000,
        "ended": 40_000,
        "gone": -1,
        "repeat": False,
        "away": False,
        "answered": True,
        "fate": "good",
        "worked": 5000,
    }
    return BackendAttempt(**{**given, **changes})  # type: ignore[arg-type]


SCRIPT = small()
NEXT = {
    "place": 1,
    "id": "desk-2",
    "first": 60_000,
    "last": 60_010,
    "begun": 60_020,
    "effect": 90_000,
    "ended": 90_000,
}
FAR = {**NEXT, "place": 2, "id": "desk-3", "cell": 1}
REFERENCED = {"use": 1, "mark": "m1"}
DRAIN = StateNotification(0, "desk-1", "draining", 0)


class Books(TraceTestCase):
    """Each entry for and against, as small as it comes; printed and kept, to be read by people."""

    CASES = (
        ("a plain ticket", a_try(), a_sent()),
        ("served with nobody's answer", a_try()),
        ("served by one that was turned away", a_try(), a_sent(begun=-1, effect=-1, away=True)),
        ("strange or second answer", a_try(how="wrong"), a_sent()),
        ("connection ended", a_try(how="lost", status=0)),
        ("connection ended, never written whole", a_try(how="lost", status=0, written=-1)),
        (
            "connection ended, its proxy killed then",
            a_try(how="lost", status=0),
            ProxyRun(0, 9, -100, 0, -1, 49_000, 49_500, -9),
        ),
        (
            "connection ended, its proxy killed long after",
            a_try(how="lost", status=0),
            ProxyRun(0, 9, -100, 0, -1, 900_000, 900_500, -9),
        ),
        ("kept connection ended unread", a_try(crossed=50), a_sent()),
        ("kept connection ended after it was sent on", a_try(crossed=200), a_sent()),
        ("no answer in time", a_try(how="left", ended=2_050_020)),
        (
            "no answer in time, but nobody looked",
            a_try(how="left", ended=2_050_020),
            Stall(0, 2_000_000, 2_060_000),
        ),
        (
            "no answer in time, a short process pause long before",
            a_try(how="left", ended=2_050_020),
            Stall(0, 300_000, 360_000),
            ProxyPause(0, 1_000_000, 1_200_000),
        ),
        (
            "no answer in time, its proxy kept from running then",
            a_try(how="left", ended=2_050_020),
            ProxyPause(0, 1_000_000, 2_030_000),
        ),
        (
            "no answer in time, another proxy kept from running then",
            a_try(how="left", ended=2_050_020),
            ProxyPause(1, 1_000_000, 2_030_000),
        ),
        (
            "no answer in time, its proxy kept from running as it was sent",
            a_try(how="left", ended=2_050_020),
            ProxyPause(0, 0, 600_000),
        ),
        (
            "no answer in time, nobody looked for a part of what was left, and then long enough",
            a_try(how="left", ended=2_150_020),
            Stall(0, 1_990_000, 2_060_000),
        ),
        (
            "connection ended beside a process pause, sent on",
            a_try(how="lost", status=0, ended=500_000, fresh=False),
            a_sent(answered=False),
            Stall(0, 300_000, 360_000),
            ProxyPause(0, 300_000, 360_000),
        ),
        (
            "connection ended beside a process pause, a new one that had been read",
            a_try(how="lost", status=0, ended=500_000),
            Stall(0, 300_000, 360_000),
        ),
        (
            "kept connection ended unread, seen late",
            a_try(how="lost", status=0, ended=500_000, fresh=False),
            Stall(0, 300_000, 499_000),
        ),
        (
            "new connection ended before the rest was written",
            a_try(how="lost", status=0, written=400_000, ended=500_000),
            Stall(0, 100_000, 399_000),
        ),
        (
            "kept connection ended unread, nobody stood still",
            a_try(how="lost", status=0, ended=500_000, fresh=False),
        ),
        ("left early", a_try(how="left", ended=900_000)),
        ("replayable twice, one after the other", a_try(), a_sent(), a_sent(**NEXT)),
        ("two at once", a_try(), a_sent(ended=200_000), a_sent(**NEXT)),
        (
            "two at once, the first given up before",
            a_try(),
            a_sent(ended=200_000, gone=50_000),
            a_sent(**NEXT),
        ),
        (
            "four",
            a_try(),
            *(a_sent(first=at, last=at, begun=at, effect=at, ended=at) for at in (100, 200, 300, 400)),
        ),
        ("single-use begun twice", a_try(use=2), a_sent(use=2), a_sent(use=2, **NEXT)),
        (
            "single-use after one turned away",
            a_try(use=2),
            a_sent(use=2, begun=-1, effect=-1, away=True),
            a_sent(use=2, **NEXT),
        ),
        (
            "single-use bounced after it began",
            a_try(use=2, how="bounced", status=503),
            a_sent(use=2, effect=-1),
        ),
        (
            "referenced again in its cell, known",
            a_try(**REFERENCED),
            a_sent(**REFERENCED),
            a_sent(**REFERENCED, **{**NEXT, "effect": -1}, repeat=True),
        ),
        (
            "referenced again in another cell",
            a_try(**REFERENCED),
            a_sent(**REFERENCED),
            a_sent(**REFERENCED, **FAR),
        ),
        (
            "referenced in another cell, never begun before",
            a_try(**REFERENCED),
            a_sent(**REFERENCED, begun=-1, effect=-1, away=True),
            a_sent(**REFERENCED, **FAR),
        ),
        (
            "referenced again after it is forgotten",
            a_try(**REFERENCED),
            a_sent(**REFERENCED, effect=-1),
            a_sent(**REFERENCED, **{**NEXT, "first": 5_100_000, "last": 5_100_000}),
        ),
        ("sent within the grace", a_try(), a_sent(first=540_000), DRAIN),
        ("sent after the grace", a_try(), a_sent(first=560_000), DRAIN),
        (
            "sent after it was ready again",
            a_try(),
            a_sent(first=560_000),
            DRAIN,
            StateNotification(0, "desk-1", "ready", 300_000),
        ),
        (
            "told again at the end, and told first long ago",
            a_try(),
            a_sent(first=560_000),
            DRAIN,
            StateNotification(0, "desk-1", "gone", 559_000),
        ),
        ("told to another proxy", a_try(proxy=1), a_sent(first=560_000), DRAIN),
        (
            "told to the process before",
            a_try(),
            a_sent(first=560_000),
            DRAIN,
            ProxyRun(0, 9, 100_000, 200_000, -1, -1, 9_000_000, 0),
        ),
        ("pushed over", BackendLifetimeRecord(0, "desk-1.1", 100, -1, 700_000)),
        ("stood", BackendLifetimeRecord(0, "desk-1.1", 100, -1, -1)),
    )

    def test_what_is_held_against_a_proxy(self) -> None:
        self.lines = []
        for name, *made in self.CASES:
            book = rule_checker.check(SCRIPT, rule_checker.Records(made))
            self.lines.append(
                f"{name}: "
                + (
                    "; ".join(f"{one.rule}, {one.ticket} at {one.at} {one.backend}: {one.what}" for one in book.entries)
                    or "nothing"
                )
            )
        self.compare_trace("rehearsal_books")

    def test_work_wasted_and_living_on(self) -> None:
        """The client outside leaves at 50 ms; a call made for it two tiers down goes on till 90 ms."""
        usage = rule_checker.work_usage(
            SCRIPT,
            rule_checker.Records(
                [
                    a_try(how="left"),
                    a_sent(answered=False),
                    a_try(name="c1", parent="w1.0", how="done"),
                    a_sent(name="c1", tier=1, ended=90_000),
                    a_sent(**{**NEXT, "away": True, "begun": -1, "worked": 0}),
                ]
            ),
        )
        self.assertEqual((usage.tickets, usage.attempts, usage.rejected), (2, 3, 1))
        self.assertEqual((usage.work_done_us, usage.work_wasted_us, usage.outlived_client_us), (10_000, 5000, [40_000]))


class Figures(unittest.TestCase):
    def figures(self) -> tally.RunStatistics:
        made = []
        for number in range(400):
            at = number * 10_000
            late = 600_000 if number % 4 == 0 else 20_000
            made.append(
                a_try(
                    name=f"w{number}.0",
                    wish=f"w{number}",
                    intended=at,
                    sent=at + 100,
                    ended=at + late,
                    customer=number % 2,
                )
            )
        # Three tries of one client, the first of them at 1 s, count as one wish that took 1.2 s.
        for nth, how in enumerate(("bounced", "left", "done")):
            made.append(
                a_try(
                    name=f"x.{nth}",
                    wish="x",
                    nth=nth,
                    how=how,
                    use=1,
                    intended=1_000_000 + nth * 500_000,
                    sent=1_000_000 + nth * 500_000,
                    ended=1_200_000 + nth * 500_000,
                )
            )
        return tally.tally(SCRIPT, ["p1"], rule_checker.Records([*made, Stall(0, 2_000_000, 2_030_000)]))

    def test_tries_are_folded_into_the_first(self) -> None:
        figures = self.figures()
        self.assertEqual((figures.wishes, figures.tries, figures.failed), (401, 403, 0))
        self.assertEqual((figures.in_time, figures.late), (300, 101))
        self.assertEqual(figures.use_cases[1].wishes, 1)
        self.assertAlmostEqual(figures.intended.percentiles["100"], 1_200_000, delta=1200)
        self.assertEqual(figures.ends, {"bounced": 1, "done": 401, "left": 1})
        self.assertEqual(figures.untrusted_seconds, [2])
        # Due within the 30 ms; of the quick and of the late ones before, those still out; the one of three
        # tries.
        self.assertEqual(figures.marked, 4 + 2 + 15 + 1)

    def test_a_worst_window_is_found(self) -> None:
        made = [
            a_try(
                name=f"w{number}.0",
                wish=f"w{number}",
                intended=number * 10_000,
                sent=number * 10_000,
                ended=number * 10_000 + 9,
                how="scrapped" if 2_000_000 <= number * 10_000 < 3_000_000 else "done",
            )
            for number in range(400)
        ]
        figures = tally.tally(SCRIPT, ["p1"], rule_checker.Records(made))
        self.assertEqual((figures.worst_window, figures.worst_window_at), (0.0, 2_000_000))
        self.assertAlmostEqual(figures.goodput, 0.75)

    def result(self) -> results.Result:
        return results.Result(
            results.VERSION,
            "a <title>",
            "here",
            1,
            "2026-12-01",
            "0.4.0",
            4_000_000,
            "1-0",
            "0-0",
            {rule_checker.TWICE: 1},
            [rule_checker.Entry(rule_checker.TWICE, "w1.0", 5, "desk-1", "twice")],
            self.figures(),
            ["desk-1"],
            ["p1"],
        )

    def test_results_are_kept_and_read_and_what_is_none_is_said_so(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path, made = Path(folder) / "r.rehearsal", self.result()
            results.write(path, made)
            read = results.read(path)
            self.assertEqual(msgspec.json.encode(read), msgspec.json.encode(made))
            whole = tally.decode_histogram(read.figures.intended)
            self.assertEqual(whole.get_total_count(), 401)
            text = text_report.summary(read)
            self.assertIn("BROKEN 1 times", text)
            self.assertIn("w1.0 at desk-1", text)
            shown = page.html([read])
            self.assertIn("a &lt;title&gt;", shown)
            self.assertGreaterEqual(shown.count("<svg"), 4)
            self.assertNotIn(
                "http://",
                shown.replace("http://www.w3.org", "")
                .replace("http://creativecommons.org", "")
                .replace("http://purl.org", ""),
            )
            data = path.read_bytes()
            document = msgspec.json.decode(gzip.decompress(data))
            document["version"] = 1
            document["figures"]["transmissions"] = document["figures"].pop("attempts")
            path.write_bytes(gzip.compress(msgspec.json.encode(document)))
            self.assertEqual(msgspec.json.encode(results.read(path)), msgspec.json.encode(made))
            document["version"] = 0
            path.write_bytes(gzip.compress(msgspec.json.encode(document)))
            with self.assertRaisesRegex(results.ResultError, "not a result"):
                results.read(path)
            for broken, words in ((data[:-9], "not a result"), (b"{}", "not a result"), (b"", "not a result")):
                path.write_bytes(broken)
                with self.assertRaisesRegex(results.ResultError, words):
                    results.read(path)
            made.version = 99
            results.write(path, made)
            with self.assertRaisesRegex(results.ResultError, "written by a later release"):
                results.read(path)

    def test_records_are_read_to_the_last_whole_one(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x.records"
            writer = records.Writer(path)
            made = [a_try(), a_sent(), Stall(1, 2, 3)]
            for one in made:
                writer.add(one)
            writer.close()
            self.assertEqual(list(records.read(path)), made)
            data = path.read_bytes()
            for cut in range(len(data)):
                path.write_bytes(data[:cut])
                read = list(records.read(path))
                self.assertEqual(read, made[: len(read)])
                self.assertLess(len(read), 3)


class Comparisons(unittest.TestCase):
    def pairs(
        self, apart: float, noise: float, count: int = 12
    ) -> list[tuple[tally.RunStatistics, tally.RunStatistics]]:
        chance, made = Random(4), []
        for _ in range(count):
            base = Figures().figures()
            other = msgspec.structs.replace(base, goodput=base.goodput + apart + chance.gauss(0, noise))
            made.append((base, other))
        return made

    def test_what_is_noise_is_called_noise(self) -> None:
        verdicts = [compare.difference("goodput", self.pairs(apart, 0.05)).verdict for apart in (0.2, -0.2, 0.0)]
        self.assertEqual(verdicts, ["better", "worse", "noise"])
        self.assertEqual(compare.difference("goodput", self.pairs(0.5, 0.01, 3)).verdict, "too few")
        same = compare.difference("p99", self.pairs(0.5, 0.0))
        self.assertEqual((same.mean, same.verdict), (0.0, "noise"))

    def test_the_interval_holds_the_truth_as_often_as_it_says(self) -> None:
        """95 of 100 in the long run; with 15 pairs a bootstrap holds it a little less often."""
        chance = Random(8)
        held = 0
        for trial in range(300):
            low, high = compare.interval([chance.gauss(1.0, 2.0) for _ in range(15)], trial)
            held += low <= 1.0 <= high
        self.assertGreater(held, 255)
        self.assertLess(held, 295)


if __name__ == "__main__":
    unittest.main()
