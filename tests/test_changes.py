"""Changes as transactions, without I/O and on disk: one at a time, watched, confirmed or undone, and what a
start takes."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from pepperusher.changes.confirmed_file import ConfirmedFile as OnDisk
from pepperusher.changes.transaction_log import CONFIRMED, FOLLOWS, UNDONE, TransactionLog, TransactionError
from pepperusher.changes.overlay import Overlay
from pepperusher.changes.active_configuration import FULL, ADMITTED, TOO_LATE, RATE, QUEUED, ActiveConfiguration
from pepperusher.changes.error_watch import Counts, ErrorWatch
from pepperusher.facade import Endpoint
from pepperusher.configuration import loader
from pepperusher.configuration.loader import Read

from tests.scene import SECOND, TraceTestCase

MS = 1000
WATCH = '[changes]\nwatch = "2s"\nleast = 20\n'


def of(text: str) -> Read:
    return loader.parse(text)


def entry(id: str, ready: bool = True, weight: float = 1.0) -> Endpoint:
    return Endpoint(id, "here", 0, weight, 0, ready)


class Ledgers(unittest.TestCase):
    def test_only_lawful_moves(self) -> None:
        for way in (
            ("staged", "applied", "confirmed"),
            ("staged", "applied", "undone"),
            ("staged", "undone"),
            ("undone",),
        ):
            ledger = TransactionLog(5)
            change = ledger.propose("a", None, "who", "why", False, 0)
            for now, state in enumerate(way, 1):
                for wrong in set(FOLLOWS) - set(FOLLOWS[change.state]):
                    with self.assertRaises(TransactionError):
                        ledger.move(change, wrong, "who", "why", now)
                ledger.move(change, state, "who", "why", now)
            self.assertTrue(change.over)
            self.assertIsNone(ledger.open)
            self.assertEqual([step.state for step in change.steps], ["proposed", *way])
            self.assertEqual(change.at("staged"), 1 if "staged" in way else -1)

    def test_a_second_is_refused_by_name_or_waits_and_is_never_merged(self) -> None:
        ledger = TransactionLog(3)
        first = ledger.propose("aaa", 1, "ops", "why", False, 0)
        with self.assertRaisesRegex(TransactionError, r"change 1 \(aaa\) of ops is proposed"):
            ledger.propose("bbb", 2, "other", "why", False, 1)
        second = ledger.propose("bbb", 2, "other", "why", True, 2)
        third = ledger.propose("ccc", 3, "other", "why", True, 2)
        with self.assertRaisesRegex(TransactionError, "waits for change 1"):
            ledger.move(second, "staged", "x", "y", 3)
        self.assertIsNone(ledger.next())
        ledger.move(second, UNDONE, "other", "thought better", 3)
        ledger.move(first, UNDONE, "ops", "no", 4)
        self.assertIs(ledger.next(), third)
        self.assertEqual([change.number for change in ledger.history], [2, 1, 3])
        with self.assertRaisesRegex(TransactionError, "no change 9"):
            ledger.find(9)
        for _ in range(8):
            ledger.propose("d", 4, "x", "y", True, 5)
        with self.assertRaisesRegex(TransactionError, "8 changes wait already"):
            ledger.propose("e", 4, "x", "y", True, 5)

    def test_history_is_bounded(self) -> None:
        ledger = TransactionLog(3)
        for _ in range(10):
            ledger.move(ledger.propose("a", 1, "x", "y", False, 0), UNDONE, "x", "y", 0)
        self.assertEqual([change.number for change in ledger.history], [8, 9, 10])


class Tolls(unittest.TestCase):
    def judged(self, before: list[tuple[str, int]], since: list[tuple[str, int]]) -> str:
        toll = ErrorWatch(10 * SECOND)
        for how, took in before:
            toll.add(1, how, took, SECOND)
        toll.begin(2, 10 * SECOND, 2 * SECOND)
        for how, took in since:
            toll.add(1, "scrapped", 1, 3 * SECOND)  # of the version before: belongs to neither
            toll.add(2, how, took, 3 * SECOND)
        return str(toll.harm(20, 0.05, 0.10, 2.0))

    def test_what_rose_and_what_did_not(self) -> None:
        good = [("done", 50 * MS)] * 100
        for since, verdict in (
            (good, "None"),
            ([("scrapped", 1)] * 19, "None"),
            ([("scrapped", 1)] * 20, "scrapped went from 0.0% to 100.0%"),
            (good + [("scrapped", 1)] * 4, "None"),
            (good + [("scrapped", 1)] * 8, "scrapped went from 0.0% to 7.4%"),
            (good + [("bounced", 1)] * 9, "None"),
            (good + [("bounced", 1)] * 20, "bounced went from 0.0% to 16.7%"),
            ([("done", 90 * MS)] * 30, "None"),
            ([("done", 150 * MS)] * 30, "the 90th percentile went from"),
        ):
            with self.subTest(since=since[-1], count=len(since)):
                self.assertTrue(self.judged(good, since).startswith(verdict), self.judged(good, since))
        # Errors that were there before are not the change's doing, and a fast service may become slower by a
        # little.
        self.assertEqual(self.judged([("scrapped", 1)] * 30 + good, [("scrapped", 1)] * 8 + good[:30]), "None")
        self.assertEqual(self.judged([("done", 1 * MS)] * 50, [("done", 9 * MS)] * 50), "None")

    def test_percentiles_are_right_to_their_bins_and_seconds_pass(self) -> None:
        counts = Counts()
        for took in range(1000, 101_000, 100):
            counts.add("done", took)
        for part, true in ((0.5, 51_000), (0.9, 91_000), (0.99, 100_000)):
            self.assertAlmostEqual(counts.percentile(part) / true, 1.0, delta=0.07)
        toll = ErrorWatch(10 * SECOND)
        for second in range(1000):
            toll.add(1, "done", 5, second * SECOND)
        self.assertLessEqual(len(toll._seconds), 11)
        self.assertLessEqual(toll.lately(999 * SECOND).all, 11)


class Overlays(unittest.TestCase):
    def test_marks_narrow_the_list_and_never_lift_what_discovery_told(self) -> None:
        overlay = Overlay()
        marks = of('[[backends]]\nid = "a"\ndrain = true\n[[backends]]\nid = "b"\nweight = 0.5\n').own.backends
        marked = {mark.id: mark for mark in marks}
        self.assertEqual(
            overlay.lines([entry("a"), entry("b", weight=2.0), entry("c")], True),
            [entry("a"), entry("b", weight=2.0), entry("c")],
        )
        self.assertEqual(overlay.turn(marked), [entry("a", ready=False), entry("b", weight=1.0)])
        # Discovery drains b while the marks act; the marks' end lifts their own drain of a, and not
        # discovery's of b.
        self.assertEqual(overlay.lines([entry("b", ready=False)], False), [entry("b", ready=False, weight=0.5)])
        self.assertEqual(overlay.turn({}), [entry("a")])
        self.assertEqual(overlay.unknown(marked), ["b"])
        # Both drain a: neither alone makes it ready.
        overlay.turn(marked)
        overlay.lines([entry("a", ready=False)], False)
        self.assertEqual(overlay.turn({}), [])
        self.assertEqual(overlay.lines([entry("a")], False), [entry("a")])


class Stands(TraceTestCase):
    def setUp(self) -> None:
        self.lines = []
        self.listed: list[Endpoint] = []

    def standing(self, text: str) -> ActiveConfiguration:
        def say(what: str, **figures: object) -> None:
            self.lines.append(
                f"{what} " + " ".join(f"{key}={value}" for key, value in figures.items() if key not in ("name",))
            )

        return ActiveConfiguration(of(text), 0, self.listed.extend, say)

    def ask(
        self,
        standing: ActiveConfiguration,
        now: int,
        path: str = "/look/1",
        customer: str = "a",
        given: int | None = None,
    ) -> object:
        return standing.request_admission("GET", path, "h", {}, path.split("/")[1], customer, given, 2 * SECOND, now)

    def applied(self, standing: ActiveConfiguration, text: str, now: int) -> object:
        change = standing.propose(of(text), "ops", "try it", now)
        standing.stage(change, now)
        standing.apply(change, now)
        return change

    def test_a_ticket_keeps_the_terms_it_began_with(self) -> None:
        standing = self.standing(WATCH + '[[routes]]\nname = "r"\ntime_out = "400ms"\n')
        old = self.ask(standing, 0)
        change = self.applied(standing, WATCH + '[[routes]]\nname = "r"\ntime_out = "200ms"\nattempts = 1\n', SECOND)
        new = self.ask(standing, SECOND)
        standing.undo(change, "ops", "no", 2 * SECOND)
        after = self.ask(standing, 2 * SECOND)
        self.assertEqual(
            [
                (one.version.number, one.terms.attempt_timeout(SECOND), one.terms.max_attempts)
                for one in (old, new, after)
            ],
            [(1, 400 * MS, 3), (2, 200 * MS, 1), (3, 400 * MS, 3)],
        )
        self.assertEqual(sorted(standing.versions), [1, 2, 3])
        for one in (old, new, after):
            standing.finish(one, "done", True, 3 * SECOND)
        # A version goes with its last ticket.
        self.assertEqual(sorted(standing.versions), [3])

    def test_harm_undoes_and_none_confirms(self) -> None:
        standing = self.standing(WATCH)
        for now in range(0, SECOND, 20 * MS):
            standing.finish(self.ask(standing, now), "done", True, now + 10 * MS)
        change = self.applied(standing, WATCH + "[weights]\nx = 1\n", SECOND)
        for now in range(SECOND, 2 * SECOND, 20 * MS):
            standing.finish(self.ask(standing, now), "scrapped", True, now + 10 * MS)
        self.assertEqual(standing.due(2 * SECOND), (UNDONE, "scrapped went from 0.0% to 100.0%"))
        standing.undo(change, "the proxy", "harm", 2 * SECOND)
        self.assertEqual(standing.version.read.text, WATCH)
        self.applied(standing, WATCH + "[weights]\nx = 2\n", 10 * SECOND)
        self.assertIsNone(standing.due(11 * SECOND))
        self.assertEqual(standing.due(12 * SECOND)[0], CONFIRMED)

    def test_a_change_cannot_loosen_the_watch_that_it_is_under(self) -> None:
        standing = self.standing(WATCH)
        self.applied(standing, '[changes]\nwatch = "1s"\nleast = 100000\nerrors = 1.0\nbounces = 1.0\n', 0)
        for now in range(0, SECOND, 20 * MS):
            standing.finish(self.ask(standing, now), "scrapped", True, now)
        self.assertEqual(standing.due(SECOND)[0], UNDONE)
        by_hand = self.standing(WATCH + 'confirm = "by hand"\n')
        self.applied(by_hand, WATCH, 0)
        self.assertEqual(by_hand.due(2 * SECOND), (UNDONE, "not confirmed by hand in time"))

    def test_limits_are_told_from_one_another_and_live_on_over_versions(self) -> None:
        text = (
            WATCH
            + '[[routes]]\nname = "r"\nconcurrency = {{ most = {}, queue = 1 }}\nrate = {{ per_customer = 1, burst = {} }}\n'
        )
        standing = self.standing(text.format(1, 4))
        first, second, third = (self.ask(standing, 0) for _ in range(3))
        self.assertEqual([one.how for one in (first, second, third)], [ADMITTED, QUEUED, FULL])
        second.waiting.on_decision = lambda how: standing.admission_decided(second, how, SECOND)
        other = self.ask(standing, 0, customer="b", given=1 * MS)
        self.assertEqual(other.how, FULL)
        self.assertEqual([self.ask(standing, 0).how for _ in range(2)], [FULL, RATE])
        self.assertEqual(self.ask(standing, 0).advice, SECOND)
        # With more room the one that waits goes in under the terms it came with.
        self.applied(standing, text.format(2, 4), SECOND)
        self.assertEqual((second.how, second.version.number), (ADMITTED, 1))
        self.applied_none = standing.undo(standing.ledger.open, "ops", "no", SECOND)
        self.assertEqual(standing.gates()[0]["inside"], 2)
        for one in (first, second):
            standing.finish(one, "done", True, 2 * SECOND)
        self.assertEqual(standing.gates()[0]["inside"], 0)
        late = self.ask(standing, 9 * SECOND)
        standing.finish(late, "done", True, 11 * SECOND)
        self.ask(standing, 11 * SECOND, customer="c")
        self.assertEqual(self.ask(standing, 11 * SECOND, customer="d", given=500 * MS).how, TOO_LATE)
        self.compare_trace("changes_limits")

    def test_routes_that_go_let_those_inside_leave(self) -> None:
        standing = self.standing(WATCH + '[[routes]]\nname = "r"\nconcurrency = { most = 1, queue = 5 }\n')
        inside, waits = self.ask(standing, 0), self.ask(standing, 0)
        waits.waiting.on_decision = lambda how: standing.admission_decided(waits, how, 0)
        self.applied(standing, WATCH, 0)
        self.assertEqual(waits.how, ADMITTED)
        self.assertEqual(self.ask(standing, 0).how, ADMITTED)
        standing.finish(inside, "done", True, SECOND)
        standing.finish(waits, "left", False, SECOND)
        standing.sweep(SECOND)
        self.assertEqual(standing.gates(), [])

    def test_retries_are_narrowed_by_ends_and_by_budget(self) -> None:
        standing = self.standing(
            '[[routes]]\nname = "r"\nretry_on = ["full", "error"]\nretry_budget = { share = 0.5, floor = 0.0 }\n'
        )
        one = self.ask(standing, 0)
        for _ in range(4):
            standing.record_first_attempt(self.ask(standing, 0), 0)
        # Once a ticket, however often it goes out.
        first = self.ask(standing, 0)
        for _ in range(9):
            standing.record_first_attempt(first, 0)
        self.assertEqual(
            [standing.retry_allowed(one, how, 0) for how in ("timed out", "done", "full", "error", "error")],
            [False, False, True, True, False],
        )
        plain = self.standing("")
        self.assertTrue(plain.retry_allowed(self.ask(plain, 0), "reset", 0))

    def test_what_stands_already_is_no_change(self) -> None:
        with self.assertRaisesRegex(TransactionError, "what stands already"):
            self.standing(WATCH).propose(of(WATCH + "# as before\n"), "ops", "", 0)


class Disk(unittest.TestCase):
    def test_a_start_takes_the_last_confirmed_unless_the_file_is_newer(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            kept = OnDisk(Path(folder) / "new" / "state")
            self.assertEqual(kept.begin("one").text, "one")
            kept.confirm("one")
            kept.open(1, "two")
            self.assertEqual(kept.begin("two"), ("one", "change 1 was not confirmed when the proxy ended"))
            self.assertEqual(kept.begin("three"), ("three", ""))
            kept.undo("two")
            self.assertEqual(kept.begin("two").text, "one")
            kept.confirm("two")
            self.assertEqual(kept.begin("two"), ("two", ""))

    def test_every_torn_mark_leaves_a_start(self) -> None:
        """The mark is replaced whole; a file system that tears it all the same must not keep a proxy from
        starting."""
        with tempfile.TemporaryDirectory() as folder:
            kept, mark = OnDisk(Path(folder)), Path(folder) / "open.json"
            kept.confirm("one")
            kept.open(1, "two")
            data = mark.read_bytes()
            for cut in range(len(data)):
                mark.write_bytes(data[:cut])
                self.assertEqual(kept.begin("two").text, "two")
            for text in ("[]", "3", '{"text": 5}'):
                mark.write_text(text)
                self.assertEqual(kept.begin("two").text, "two")


if __name__ == "__main__":
    unittest.main()
