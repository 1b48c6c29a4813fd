"""The parts of a rehearsal that do no I/O: the work of backends, the behaviour of clients, stalls, the rule checker, statistics
and comparisons."""

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

    def completed_jobs(self, engine: Engine, end: int, step: int = 100) -> list[tuple[int, Job]]:
        return [(now, job) for now in range(step, end + step, step) for job in engine.advance(now)]

    def test_tickets_share_the_cores(self) -> None:
        """Two jobs of 10 ms share a core and would end at 20 ms. A third job of 5 ms arrives at 10 ms; from then on each job gets a
        third of the core, so all of them end at 25 ms."""
        engine = self.engine()
        first, second, third = (Job([part]) for part in (10 * MS, 10 * MS, 5 * MS))
        self.assertEqual((engine.offer(first, 0), engine.offer(second, 0)), (RUNS, RUNS))
        self.assertEqual(engine.advance(10 * MS), [])
        engine.offer(third, 0)
        completed = [(now, job) for now in range(10 * MS, 40 * MS, 100) for job in engine.advance(now)]
        self.assertEqual([(round(now / MS), job) for now, job in completed], [(25, first), (25, second), (25, third)])
        self.assertAlmostEqual(engine.worked, 25 * MS, delta=10)

    def test_more_cores_speed_and_a_slowing(self) -> None:
        engine = self.engine(cores=2, speed=2.0)
        jobs = [Job([10 * MS]) for _ in range(2)]
        for job in jobs:
            engine.offer(job, 0)
        engine.advance(2500)
        engine.slower = 2.0
        self.assertEqual([round(now / MS, 1) for now, _ in self.completed_jobs(engine, 20 * MS)], [7.5, 7.5])

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
        self.assertEqual([job for _, job in self.completed_jobs(engine, 14 * MS)], [third])

    def test_a_cold_one_warms_and_is_pushed_over_by_a_multiple_for_long_enough(self) -> None:
        """The capacity rises from 0.1 to 1 during the warm-up; an offered load of over three times the capacity for a second
        pushes the backend over."""
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
        overload = Overload(at=3, after=50 * MS, slower=4.0, below=0.5, rest=100 * MS)  # type: ignore[arg-type]
        engine = self.engine(overload=overload)
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
        memory, job, other_job = Memory(), Job([]), Job([])
        self.assertEqual(memory.ask(1, "m", 100, job, 0), ("new", None))
        self.assertEqual(memory.ask(1, "m", 100, other_job, 50), ("under way", job))
        memory.over(1, "m", job, True)
        self.assertEqual(memory.ask(1, "m", 100, other_job, 99), ("done", None))
        self.assertEqual(memory.ask(1, "m", 100, other_job, 100)[0], "new")
        memory.over(1, "m", other_job, False)
        self.assertEqual(memory.ask(1, "m", 100, job, 101)[0], "new")
        for number in range(10_000):
            memory.ask(1, f"n{number}", 100, job, 1000 + number)
        self.assertLess(len(memory._known) + len(memory._since), 210)


class Clients(unittest.TestCase):
    def behavior(self, use: int = 0, **load: object) -> RequestBehavior:
        script = small(load=load)
        return RequestBehavior(script.use_cases[use], script.load, script.seed, 3, 1_000_000)

    def test_tries_end_with_their_number_and_their_time(self) -> None:
        behavior = self.behavior(retries=2, patience=0.5, backoff="100ms")
        self.assertEqual((behavior.timeout, behavior.wait_time(50)), (1_000_000, 1_000_050))
        self.assertEqual(behavior.next_attempt_time("left", 0, 2_000_000), 2_100_000)
        # The time-out is the time that remains until the deadline.
        self.assertEqual((behavior.nth, behavior.timeout), (1, 900_000))
        self.assertIsNone(behavior.next_attempt_time("scrapped", 0, 2_950_000))
        self.assertEqual(behavior.next_attempt_time("scrapped", 0, 2_500_000), 2_600_000)
        self.assertIsNone(behavior.next_attempt_time("scrapped", 0, 2_650_000))
        self.assertIsNone(self.behavior(retries=2).next_attempt_time("done", 0, 1_100_000))

    def test_advice_is_honoured_by_some(self) -> None:
        self.assertEqual(
            self.behavior(retries=1, honours=1.0).next_attempt_time("bounced", 300_000, 1_100_000), 1_400_000
        )
        self.assertEqual(
            self.behavior(retries=1, honours=0.0).next_attempt_time("bounced", 300_000, 1_100_000), 1_100_000
        )

    def test_single_use_is_asked_again_where_it_never_ran_alone(self) -> None:
        for outcome, retried in (
            ("bounced", True),
            ("unreached", True),
            ("scrapped", False),
            ("left", False),
            ("lost", False),
        ):
            self.assertEqual(
                self.behavior(2, retries=1).next_attempt_time(outcome, 0, 1_100_000) is not None, retried, outcome
            )

    def test_some_leave_early_and_have_not_said_so(self) -> None:
        behavior = self.behavior(leave=1.0)
        self.assertLess(behavior.wait_time(50), behavior.timeout)
        self.assertEqual(behavior.timeout, 2_000_000)


class Trust(unittest.TestCase):
    def test_a_heart_notes_what_came_late(self) -> None:
        detector = StallDetector(5, 20)
        self.assertEqual([detector.beat(now) for now in (0, 5, 12, 1000, 1005)], [None, None, None, (17, 1000), None])

    def test_spans_join_and_touch(self) -> None:
        spans = Spans([(2_500_000, 3_100_000), (100, 200), (150, 300)])
        self.assertEqual(spans.joined, [(100, 300), (2_500_000, 3_100_000)])
        self.assertEqual(
            [spans.overlaps(*span) for span in ((0, 99), (0, 100), (300, 400), (301, 400), (0, 9_000_000))],
            [False, True, True, False, True],
        )
        self.assertEqual(spans.seconds(), [0, 2, 3])

    def test_a_margin_follows_the_machine(self) -> None:
        margin = SleepMargin(1000, 8000)
        margin.record_wakeup(4000)
        self.assertEqual(margin.now, 5000)
        margin.record_wakeup(90_000)
        self.assertEqual(margin.now, 8000)
        for _ in range(1000):
            margin.record_wakeup(0)
        self.assertEqual(margin.now, 1000)


def client_attempt(**changes: object) -> ClientAttempt:
    defaults = {
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
    return ClientAttempt(**{**defaults, **changes})  # type: ignore[arg-type]


def backend_attempt(**changes: object) -> BackendAttempt:
    defaults = {
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
    return BackendAttempt(**{**defaults, **changes})  # type: ignore[arg-type]


SCRIPT = small()
SECOND_ATTEMPT = {
    "place": 1,
    "id": "desk-2",
    "first": 60_000,
    "last": 60_010,
    "begun": 60_020,
    "effect": 90_000,
    "ended": 90_000,
}
SECOND_ATTEMPT_IN_OTHER_CELL = {**SECOND_ATTEMPT, "place": 2, "id": "desk-3", "cell": 1}
REFERENCED = {"use": 1, "mark": "m1"}
DRAIN = StateNotification(0, "desk-1", "draining", 0)


class Books(TraceTestCase):
    """One minimal case for each branch of the rule checker; the entries are compared with a recorded trace."""

    CASES = (
        ("a plain ticket", client_attempt(), backend_attempt()),
        ("done without an attempt at a backend", client_attempt()),
        (
            "done although the only attempt was rejected",
            client_attempt(),
            backend_attempt(begun=-1, effect=-1, away=True),
        ),
        ("wrong or second answer", client_attempt(how="wrong"), backend_attempt()),
        ("connection ended", client_attempt(how="lost", status=0)),
        (
            "connection ended before the request was written completely",
            client_attempt(how="lost", status=0, written=-1),
        ),
        (
            "connection ended as its proxy was killed",
            client_attempt(how="lost", status=0),
            ProxyRun(0, 9, -100, 0, -1, 49_000, 49_500, -9),
        ),
        (
            "connection ended long before its proxy was killed",
            client_attempt(how="lost", status=0),
            ProxyRun(0, 9, -100, 0, -1, 900_000, 900_500, -9),
        ),
        ("reused connection ended before the request was read", client_attempt(crossed=50), backend_attempt()),
        ("reused connection ended after the ticket was forwarded", client_attempt(crossed=200), backend_attempt()),
        ("no answer in time", client_attempt(how="left", ended=2_050_020)),
        (
            "no answer in time, the generator stalled at the deadline",
            client_attempt(how="left", ended=2_050_020),
            Stall(0, 2_000_000, 2_060_000),
        ),
        (
            "no answer in time, a stall and a proxy pause long before the deadline",
            client_attempt(how="left", ended=2_050_020),
            Stall(0, 300_000, 360_000),
            ProxyPause(0, 1_000_000, 1_200_000),
        ),
        (
            "no answer in time, its proxy paused at the deadline",
            client_attempt(how="left", ended=2_050_020),
            ProxyPause(0, 1_000_000, 2_030_000),
        ),
        (
            "no answer in time, another proxy paused at the deadline",
            client_attempt(how="left", ended=2_050_020),
            ProxyPause(1, 1_000_000, 2_030_000),
        ),
        (
            "no answer in time, its proxy paused while it was sent",
            client_attempt(how="left", ended=2_050_020),
            ProxyPause(0, 0, 600_000),
        ),
        (
            "no answer in time, a stall at the deadline, overdue after it",
            client_attempt(how="left", ended=2_150_020),
            Stall(0, 1_990_000, 2_060_000),
        ),
        (
            "connection ended during a pause, the ticket was forwarded",
            client_attempt(how="lost", status=0, ended=500_000, fresh=False),
            backend_attempt(answered=False),
            Stall(0, 300_000, 360_000),
            ProxyPause(0, 300_000, 360_000),
        ),
        (
            "connection ended during a pause, a new connection that was already read",
            client_attempt(how="lost", status=0, ended=500_000),
            Stall(0, 300_000, 360_000),
        ),
        (
            "reused connection ended before the request was read, noticed late",
            client_attempt(how="lost", status=0, ended=500_000, fresh=False),
            Stall(0, 300_000, 499_000),
        ),
        (
            "new connection ended before the rest of the request was written",
            client_attempt(how="lost", status=0, written=400_000, ended=500_000),
            Stall(0, 100_000, 399_000),
        ),
        (
            "reused connection ended before the request was read, no pause or stall",
            client_attempt(how="lost", status=0, ended=500_000, fresh=False),
        ),
        ("client left early", client_attempt(how="left", ended=900_000)),
        (
            "replayable, two attempts in sequence",
            client_attempt(),
            backend_attempt(),
            backend_attempt(**SECOND_ATTEMPT),
        ),
        ("overlapping attempts", client_attempt(), backend_attempt(ended=200_000), backend_attempt(**SECOND_ATTEMPT)),
        (
            "overlapping attempts, the first abandoned before the second",
            client_attempt(),
            backend_attempt(ended=200_000, gone=50_000),
            backend_attempt(**SECOND_ATTEMPT),
        ),
        (
            "four attempts",
            client_attempt(),
            *(backend_attempt(first=at, last=at, begun=at, effect=at, ended=at) for at in (100, 200, 300, 400)),
        ),
        (
            "single-use begun twice",
            client_attempt(use=2),
            backend_attempt(use=2),
            backend_attempt(use=2, **SECOND_ATTEMPT),
        ),
        (
            "single-use after a rejected attempt",
            client_attempt(use=2),
            backend_attempt(use=2, begun=-1, effect=-1, away=True),
            backend_attempt(use=2, **SECOND_ATTEMPT),
        ),
        (
            "single-use rejected after it had begun",
            client_attempt(use=2, how="bounced", status=503),
            backend_attempt(use=2, effect=-1),
        ),
        (
            "referenced, repeated in the same cell and recognised",
            client_attempt(**REFERENCED),
            backend_attempt(**REFERENCED),
            backend_attempt(**REFERENCED, **{**SECOND_ATTEMPT, "effect": -1}, repeat=True),
        ),
        (
            "referenced, repeated in another cell",
            client_attempt(**REFERENCED),
            backend_attempt(**REFERENCED),
            backend_attempt(**REFERENCED, **SECOND_ATTEMPT_IN_OTHER_CELL),
        ),
        (
            "referenced, sent to another cell, first attempt never begun",
            client_attempt(**REFERENCED),
            backend_attempt(**REFERENCED, begun=-1, effect=-1, away=True),
            backend_attempt(**REFERENCED, **SECOND_ATTEMPT_IN_OTHER_CELL),
        ),
        (
            "referenced, repeated after it is forgotten",
            client_attempt(**REFERENCED),
            backend_attempt(**REFERENCED, effect=-1),
            backend_attempt(**REFERENCED, **{**SECOND_ATTEMPT, "first": 5_100_000, "last": 5_100_000}),
        ),
        ("sent within the grace period", client_attempt(), backend_attempt(first=540_000), DRAIN),
        ("sent after the grace period", client_attempt(), backend_attempt(first=560_000), DRAIN),
        (
            "sent after the backend was ready again",
            client_attempt(),
            backend_attempt(first=560_000),
            DRAIN,
            StateNotification(0, "desk-1", "ready", 300_000),
        ),
        (
            "notified again later, first notified before the grace period",
            client_attempt(),
            backend_attempt(first=560_000),
            DRAIN,
            StateNotification(0, "desk-1", "gone", 559_000),
        ),
        ("another proxy was notified", client_attempt(proxy=1), backend_attempt(first=560_000), DRAIN),
        (
            "the previous process was notified",
            client_attempt(),
            backend_attempt(first=560_000),
            DRAIN,
            ProxyRun(0, 9, 100_000, 200_000, -1, -1, 9_000_000, 0),
        ),
        ("cold backend pushed over", BackendLifetimeRecord(0, "desk-1.1", 100, -1, 700_000)),
        ("cold backend not pushed over", BackendLifetimeRecord(0, "desk-1.1", 100, -1, -1)),
    )

    def test_what_is_held_against_a_proxy(self) -> None:
        self.lines = []
        for name, *records_of_case in self.CASES:
            checker = rule_checker.check(SCRIPT, rule_checker.Records(records_of_case))
            self.lines.append(
                f"{name}: "
                + (
                    "; ".join(
                        f"{entry.rule}, {entry.ticket} at {entry.at} {entry.backend}: {entry.what}"
                        for entry in checker.entries
                    )
                    or "nothing"
                )
            )
        self.compare_trace("rehearsal_books")

    def test_work_wasted_and_living_on(self) -> None:
        """The external client leaves at 50 ms; a call to the second tier that was made for it goes on until 90 ms."""
        usage = rule_checker.work_usage(
            SCRIPT,
            rule_checker.Records(
                [
                    client_attempt(how="left"),
                    backend_attempt(answered=False),
                    client_attempt(name="c1", parent="w1.0", how="done"),
                    backend_attempt(name="c1", tier=1, ended=90_000),
                    backend_attempt(**{**SECOND_ATTEMPT, "away": True, "begun": -1, "worked": 0}),
                ]
            ),
        )
        self.assertEqual((usage.tickets, usage.attempts, usage.rejected), (2, 3, 1))
        self.assertEqual((usage.work_done_us, usage.work_wasted_us, usage.outlived_client_us), (10_000, 5000, [40_000]))


class Figures(unittest.TestCase):
    def figures(self) -> tally.RunStatistics:
        attempts = []
        for number in range(400):
            intended = number * 10_000
            latency = 600_000 if number % 4 == 0 else 20_000
            attempts.append(
                client_attempt(
                    name=f"w{number}.0",
                    wish=f"w{number}",
                    intended=intended,
                    sent=intended + 100,
                    ended=intended + latency,
                    customer=number % 2,
                )
            )
        # Three attempts of one client, the first of them at 1 s, count as one request with a latency of 1.2 s.
        for nth, outcome in enumerate(("bounced", "left", "done")):
            attempts.append(
                client_attempt(
                    name=f"x.{nth}",
                    wish="x",
                    nth=nth,
                    how=outcome,
                    use=1,
                    intended=1_000_000 + nth * 500_000,
                    sent=1_000_000 + nth * 500_000,
                    ended=1_200_000 + nth * 500_000,
                )
            )
        return tally.tally(SCRIPT, ["p1"], rule_checker.Records([*attempts, Stall(0, 2_000_000, 2_030_000)]))

    def test_tries_are_folded_into_the_first(self) -> None:
        figures = self.figures()
        self.assertEqual((figures.wishes, figures.tries, figures.failed), (401, 403, 0))
        self.assertEqual((figures.in_time, figures.late), (300, 101))
        self.assertEqual(figures.use_cases[1].wishes, 1)
        self.assertAlmostEqual(figures.intended.percentiles["100"], 1_200_000, delta=1200)
        self.assertEqual(figures.ends, {"bounced": 1, "done": 401, "left": 1})
        self.assertEqual(figures.untrusted_seconds, [2])
        # The requests due within the stall of 30 ms, the fast and the slow ones before it that were still open, and the request
        # with three attempts.
        self.assertEqual(figures.marked, 4 + 2 + 15 + 1)

    def test_a_worst_window_is_found(self) -> None:
        attempts = [
            client_attempt(
                name=f"w{number}.0",
                wish=f"w{number}",
                intended=number * 10_000,
                sent=number * 10_000,
                ended=number * 10_000 + 9,
                how="scrapped" if 2_000_000 <= number * 10_000 < 3_000_000 else "done",
            )
            for number in range(400)
        ]
        figures = tally.tally(SCRIPT, ["p1"], rule_checker.Records(attempts))
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
            path, written = Path(folder) / "r.rehearsal", self.result()
            results.write(path, written)
            read = results.read(path)
            self.assertEqual(msgspec.json.encode(read), msgspec.json.encode(written))
            histogram = tally.decode_histogram(read.figures.intended)
            self.assertEqual(histogram.get_total_count(), 401)
            text = text_report.summary(read)
            self.assertIn("BROKEN 1 times", text)
            self.assertIn("w1.0 at desk-1", text)
            html = page.html([read])
            self.assertIn("a &lt;title&gt;", html)
            self.assertGreaterEqual(html.count("<svg"), 4)
            self.assertNotIn(
                "http://",
                html.replace("http://www.w3.org", "")
                .replace("http://creativecommons.org", "")
                .replace("http://purl.org", ""),
            )
            data = path.read_bytes()
            document = msgspec.json.decode(gzip.decompress(data))
            document["version"] = 1
            document["figures"]["transmissions"] = document["figures"].pop("attempts")
            path.write_bytes(gzip.compress(msgspec.json.encode(document)))
            self.assertEqual(msgspec.json.encode(results.read(path)), msgspec.json.encode(written))
            document["version"] = 0
            path.write_bytes(gzip.compress(msgspec.json.encode(document)))
            with self.assertRaisesRegex(results.ResultError, "not a result"):
                results.read(path)
            for damaged, message in ((data[:-9], "not a result"), (b"{}", "not a result"), (b"", "not a result")):
                path.write_bytes(damaged)
                with self.assertRaisesRegex(results.ResultError, message):
                    results.read(path)
            written.version = 99
            results.write(path, written)
            with self.assertRaisesRegex(results.ResultError, "written by a later release"):
                results.read(path)

    def test_records_are_read_to_the_last_whole_one(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x.records"
            writer = records.Writer(path)
            written = [client_attempt(), backend_attempt(), Stall(1, 2, 3)]
            for record in written:
                writer.add(record)
            writer.close()
            self.assertEqual(list(records.read(path)), written)
            data = path.read_bytes()
            for length in range(len(data)):
                path.write_bytes(data[:length])
                read = list(records.read(path))
                self.assertEqual(read, written[: len(read)])
                self.assertLess(len(read), 3)


class Comparisons(unittest.TestCase):
    def pairs(
        self, difference: float, noise: float, pair_count: int = 12
    ) -> list[tuple[tally.RunStatistics, tally.RunStatistics]]:
        rng, pairs = Random(4), []
        for _ in range(pair_count):
            base = Figures().figures()
            other = msgspec.structs.replace(base, goodput=base.goodput + difference + rng.gauss(0, noise))
            pairs.append((base, other))
        return pairs

    def test_what_is_noise_is_called_noise(self) -> None:
        verdicts = [
            compare.difference("goodput", self.pairs(difference, 0.05)).verdict for difference in (0.2, -0.2, 0.0)
        ]
        self.assertEqual(verdicts, ["better", "worse", "noise"])
        self.assertEqual(compare.difference("goodput", self.pairs(0.5, 0.01, 3)).verdict, "too few")
        same = compare.difference("p99", self.pairs(0.5, 0.0))
        self.assertEqual((same.mean, same.verdict), (0.0, "noise"))

    def test_the_interval_holds_the_truth_as_often_as_it_says(self) -> None:
        """The nominal coverage is 95 %; with 15 pairs a bootstrap interval contains the mean a little less often."""
        rng = Random(8)
        covered = 0
        for trial in range(300):
            low, high = compare.interval([rng.gauss(1.0, 2.0) for _ in range(15)], trial)
            covered += low <= 1.0 <= high
        self.assertGreater(covered, 255)
        self.assertLess(covered, 295)


if __name__ == "__main__":
    unittest.main()
