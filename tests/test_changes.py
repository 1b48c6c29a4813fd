"""Tests of configuration changes: the state machine, the error watch, endpoint overrides, the active configuration,
and the confirmed configuration on disk that a start uses."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from pepperusher.changes.confirmed_file import ConfirmedFile
from pepperusher.changes.transaction_log import CONFIRMED, ALLOWED_TRANSITIONS, UNDONE, TransactionLog, TransactionError
from pepperusher.changes.overlay import Overlay
from pepperusher.changes.active_configuration import FULL, ADMITTED, TOO_LATE, RATE, QUEUED, ActiveConfiguration
from pepperusher.changes.error_watch import Counts, ErrorWatch
from pepperusher.facade import Endpoint
from pepperusher.configuration import loader
from pepperusher.configuration.loader import Read

from tests.scene import SECOND, TraceTestCase

MS = 1000
WATCH = '[changes]\nwatch = "2s"\nleast = 20\n'


def parse_configuration(text: str) -> Read:
    return loader.parse(text)


def endpoint(id: str, ready: bool = True, weight: float = 1.0) -> Endpoint:
    return Endpoint(id, "here", 0, weight, 0, ready)


class Ledgers(unittest.TestCase):
    def test_only_lawful_moves(self) -> None:
        for path in (
            ("staged", "applied", "confirmed"),
            ("staged", "applied", "undone"),
            ("staged", "undone"),
            ("undone",),
        ):
            transaction_log = TransactionLog(5)
            change = transaction_log.propose("a", None, "who", "why", False, 0)
            for now, state in enumerate(path, 1):
                for forbidden in set(ALLOWED_TRANSITIONS) - set(ALLOWED_TRANSITIONS[change.state]):
                    with self.assertRaises(TransactionError):
                        transaction_log.move(change, forbidden, "who", "why", now)
                transaction_log.move(change, state, "who", "why", now)
            self.assertTrue(change.over)
            self.assertIsNone(transaction_log.open)
            self.assertEqual([step.state for step in change.steps], ["proposed", *path])
            self.assertEqual(change.reached_at("staged"), 1 if "staged" in path else -1)

    def test_a_second_is_refused_by_name_or_waits_and_is_never_merged(self) -> None:
        transaction_log = TransactionLog(3)
        first = transaction_log.propose("aaa", 1, "ops", "why", False, 0)
        with self.assertRaisesRegex(TransactionError, r"change 1 \(aaa\) of ops is proposed"):
            transaction_log.propose("bbb", 2, "other", "why", False, 1)
        second = transaction_log.propose("bbb", 2, "other", "why", True, 2)
        third = transaction_log.propose("ccc", 3, "other", "why", True, 2)
        with self.assertRaisesRegex(TransactionError, "waits for change 1"):
            transaction_log.move(second, "staged", "x", "y", 3)
        self.assertIsNone(transaction_log.next())
        transaction_log.move(second, UNDONE, "other", "thought better", 3)
        transaction_log.move(first, UNDONE, "ops", "no", 4)
        self.assertIs(transaction_log.next(), third)
        self.assertEqual([change.number for change in transaction_log.history], [2, 1, 3])
        with self.assertRaisesRegex(TransactionError, "no change 9"):
            transaction_log.find(9)
        for _ in range(8):
            transaction_log.propose("d", 4, "x", "y", True, 5)
        with self.assertRaisesRegex(TransactionError, "8 changes are queued already"):
            transaction_log.propose("e", 4, "x", "y", True, 5)

    def test_history_is_bounded(self) -> None:
        transaction_log = TransactionLog(3)
        for _ in range(10):
            transaction_log.move(transaction_log.propose("a", 1, "x", "y", False, 0), UNDONE, "x", "y", 0)
        self.assertEqual([change.number for change in transaction_log.history], [8, 9, 10])


class Tolls(unittest.TestCase):
    def find_harm_after(self, before: list[tuple[str, int]], since: list[tuple[str, int]]) -> str:
        error_watch = ErrorWatch(10 * SECOND)
        for outcome, latency in before:
            error_watch.add(1, outcome, latency, SECOND)
        error_watch.start_comparison(2, 10 * SECOND, 2 * SECOND)
        for outcome, latency in since:
            # A ticket of the previous version counts neither before nor since the change.
            error_watch.add(1, "scrapped", 1, 3 * SECOND)
            error_watch.add(2, outcome, latency, 3 * SECOND)
        return str(error_watch.find_harm(20, 0.05, 0.10, 2.0))

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
                self.assertTrue(
                    self.find_harm_after(good, since).startswith(verdict), self.find_harm_after(good, since)
                )
        # Errors that were there before the change don't count against it, and the latency of a fast service may
        # rise by a few milliseconds.
        self.assertEqual(self.find_harm_after([("scrapped", 1)] * 30 + good, [("scrapped", 1)] * 8 + good[:30]), "None")
        self.assertEqual(self.find_harm_after([("done", 1 * MS)] * 50, [("done", 9 * MS)] * 50), "None")

    def test_percentiles_are_right_to_their_bins_and_seconds_pass(self) -> None:
        counts = Counts()
        for latency in range(1000, 101_000, 100):
            counts.add("done", latency)
        for fraction, exact in ((0.5, 51_000), (0.9, 91_000), (0.99, 100_000)):
            self.assertAlmostEqual(counts.percentile(fraction) / exact, 1.0, delta=0.07)
        error_watch = ErrorWatch(10 * SECOND)
        for second in range(1000):
            error_watch.add(1, "done", 5, second * SECOND)
        self.assertLessEqual(len(error_watch._counts_by_second), 11)
        self.assertLessEqual(error_watch.recent_counts(999 * SECOND).total, 11)


class Overlays(unittest.TestCase):
    def test_marks_narrow_the_list_and_never_lift_what_discovery_told(self) -> None:
        overlay = Overlay()
        marks = parse_configuration(
            '[[backends]]\nid = "a"\ndrain = true\n[[backends]]\nid = "b"\nweight = 0.5\n'
        ).own.backends
        marked = {mark.id: mark for mark in marks}
        self.assertEqual(
            overlay.lines([endpoint("a"), endpoint("b", weight=2.0), endpoint("c")], True),
            [endpoint("a"), endpoint("b", weight=2.0), endpoint("c")],
        )
        self.assertEqual(overlay.set_marks(marked), [endpoint("a", ready=False), endpoint("b", weight=1.0)])
        # Discovery drains b while the overrides are in force. Removing the overrides lifts their drain of a, but not
        # discovery's drain of b.
        self.assertEqual(overlay.lines([endpoint("b", ready=False)], False), [endpoint("b", ready=False, weight=0.5)])
        self.assertEqual(overlay.set_marks({}), [endpoint("a")])
        self.assertEqual(overlay.unlisted_marks(marked), ["b"])
        # Discovery and the override both drain a; lifting only one of the drains doesn't make it ready.
        overlay.set_marks(marked)
        overlay.lines([endpoint("a", ready=False)], False)
        self.assertEqual(overlay.set_marks({}), [])
        self.assertEqual(overlay.lines([endpoint("a")], False), [endpoint("a")])


class Stands(TraceTestCase):
    def setUp(self) -> None:
        self.lines = []
        self.listed: list[Endpoint] = []

    def create_configuration(self, text: str) -> ActiveConfiguration:
        def say(event: str, **fields: object) -> None:
            self.lines.append(
                f"{event} " + " ".join(f"{key}={value}" for key, value in fields.items() if key not in ("name",))
            )

        return ActiveConfiguration(parse_configuration(text), 0, self.listed.extend, say)

    def request_admission(
        self,
        configuration: ActiveConfiguration,
        now: int,
        path: str = "/look/1",
        customer: str = "a",
        stated_timeout: int | None = None,
    ) -> object:
        return configuration.request_admission(
            "GET", path, "h", {}, path.split("/")[1], customer, stated_timeout, 2 * SECOND, now
        )

    def apply_change(self, configuration: ActiveConfiguration, text: str, now: int) -> object:
        change = configuration.propose(parse_configuration(text), "ops", "try it", now)
        configuration.stage(change, now)
        configuration.apply(change, now)
        return change

    def test_a_ticket_keeps_the_terms_it_began_with(self) -> None:
        configuration = self.create_configuration(WATCH + '[[routes]]\nname = "r"\ntime_out = "400ms"\n')
        before_change = self.request_admission(configuration, 0)
        change = self.apply_change(
            configuration, WATCH + '[[routes]]\nname = "r"\ntime_out = "200ms"\nattempts = 1\n', SECOND
        )
        under_change = self.request_admission(configuration, SECOND)
        configuration.undo(change, "ops", "no", 2 * SECOND)
        after_undo = self.request_admission(configuration, 2 * SECOND)
        self.assertEqual(
            [
                (admission.version.number, admission.terms.attempt_timeout(SECOND), admission.terms.max_attempts)
                for admission in (before_change, under_change, after_undo)
            ],
            [(1, 400 * MS, 3), (2, 200 * MS, 1), (3, 400 * MS, 3)],
        )
        self.assertEqual(sorted(configuration.versions), [1, 2, 3])
        for admission in (before_change, under_change, after_undo):
            configuration.finish(admission, "done", True, 3 * SECOND)
        # A version is removed when its last ticket ends.
        self.assertEqual(sorted(configuration.versions), [3])

    def test_harm_undoes_and_none_confirms(self) -> None:
        configuration = self.create_configuration(WATCH)
        for now in range(0, SECOND, 20 * MS):
            configuration.finish(self.request_admission(configuration, now), "done", True, now + 10 * MS)
        change = self.apply_change(configuration, WATCH + "[weights]\nx = 1\n", SECOND)
        for now in range(SECOND, 2 * SECOND, 20 * MS):
            configuration.finish(self.request_admission(configuration, now), "scrapped", True, now + 10 * MS)
        self.assertEqual(configuration.due(2 * SECOND), (UNDONE, "scrapped went from 0.0% to 100.0%"))
        configuration.undo(change, "the proxy", "harm", 2 * SECOND)
        self.assertEqual(configuration.version.read.text, WATCH)
        self.apply_change(configuration, WATCH + "[weights]\nx = 2\n", 10 * SECOND)
        self.assertIsNone(configuration.due(11 * SECOND))
        self.assertEqual(configuration.due(12 * SECOND)[0], CONFIRMED)

    def test_a_change_cannot_loosen_the_watch_that_it_is_under(self) -> None:
        configuration = self.create_configuration(WATCH)
        self.apply_change(configuration, '[changes]\nwatch = "1s"\nleast = 100000\nerrors = 1.0\nbounces = 1.0\n', 0)
        for now in range(0, SECOND, 20 * MS):
            configuration.finish(self.request_admission(configuration, now), "scrapped", True, now)
        self.assertEqual(configuration.due(SECOND)[0], UNDONE)
        by_hand = self.create_configuration(WATCH + 'confirm = "by hand"\n')
        self.apply_change(by_hand, WATCH, 0)
        self.assertEqual(by_hand.due(2 * SECOND), (UNDONE, "not confirmed manually in time"))

    def test_limits_are_told_from_one_another_and_live_on_over_versions(self) -> None:
        text = (
            WATCH
            + '[[routes]]\nname = "r"\nconcurrency = {{ most = {}, queue = 1 }}\nrate = {{ per_customer = 1, burst = {} }}\n'
        )
        configuration = self.create_configuration(text.format(1, 4))
        first, second, third = (self.request_admission(configuration, 0) for _ in range(3))
        self.assertEqual([admission.how for admission in (first, second, third)], [ADMITTED, QUEUED, FULL])
        second.waiting.on_decision = lambda decision: configuration.admission_decided(second, decision, SECOND)
        other = self.request_admission(configuration, 0, customer="b", stated_timeout=1 * MS)
        self.assertEqual(other.how, FULL)
        self.assertEqual([self.request_admission(configuration, 0).how for _ in range(2)], [FULL, RATE])
        self.assertEqual(self.request_admission(configuration, 0).advice, SECOND)
        # A higher limit admits the queued ticket, which keeps the version it arrived under.
        self.apply_change(configuration, text.format(2, 4), SECOND)
        self.assertEqual((second.how, second.version.number), (ADMITTED, 1))
        self.applied_none = configuration.undo(configuration.ledger.open, "ops", "no", SECOND)
        self.assertEqual(configuration.gates()[0]["inside"], 2)
        for admission in (first, second):
            configuration.finish(admission, "done", True, 2 * SECOND)
        self.assertEqual(configuration.gates()[0]["inside"], 0)
        late = self.request_admission(configuration, 9 * SECOND)
        configuration.finish(late, "done", True, 11 * SECOND)
        self.request_admission(configuration, 11 * SECOND, customer="c")
        self.assertEqual(
            self.request_admission(configuration, 11 * SECOND, customer="d", stated_timeout=500 * MS).how, TOO_LATE
        )
        self.compare_trace("changes_limits")

    def test_routes_that_go_let_those_inside_leave(self) -> None:
        configuration = self.create_configuration(
            WATCH + '[[routes]]\nname = "r"\nconcurrency = { most = 1, queue = 5 }\n'
        )
        admitted, queued = self.request_admission(configuration, 0), self.request_admission(configuration, 0)
        queued.waiting.on_decision = lambda decision: configuration.admission_decided(queued, decision, 0)
        self.apply_change(configuration, WATCH, 0)
        self.assertEqual(queued.how, ADMITTED)
        self.assertEqual(self.request_admission(configuration, 0).how, ADMITTED)
        configuration.finish(admitted, "done", True, SECOND)
        configuration.finish(queued, "left", False, SECOND)
        configuration.sweep(SECOND)
        self.assertEqual(configuration.gates(), [])

    def test_retries_are_narrowed_by_ends_and_by_budget(self) -> None:
        configuration = self.create_configuration(
            '[[routes]]\nname = "r"\nretry_on = ["full", "error"]\nretry_budget = { share = 0.5, floor = 0.0 }\n'
        )
        retried = self.request_admission(configuration, 0)
        for _ in range(4):
            configuration.record_first_attempt(self.request_admission(configuration, 0), 0)
        # A ticket counts toward the retry budget once, however many attempts it makes.
        first = self.request_admission(configuration, 0)
        for _ in range(9):
            configuration.record_first_attempt(first, 0)
        self.assertEqual(
            [
                configuration.retry_allowed(retried, outcome, 0)
                for outcome in ("timed out", "done", "full", "error", "error")
            ],
            [False, False, True, True, False],
        )
        without_budget = self.create_configuration("")
        self.assertTrue(without_budget.retry_allowed(self.request_admission(without_budget, 0), "reset", 0))

    def test_what_stands_already_is_no_change(self) -> None:
        with self.assertRaisesRegex(TransactionError, "is already in force"):
            self.create_configuration(WATCH).propose(parse_configuration(WATCH + "# as before\n"), "ops", "", 0)


class Disk(unittest.TestCase):
    def test_a_start_takes_the_last_confirmed_unless_the_file_is_newer(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            confirmed_file = ConfirmedFile(Path(folder) / "new" / "state")
            self.assertEqual(confirmed_file.begin("one").text, "one")
            confirmed_file.confirm("one")
            confirmed_file.open(1, "two")
            self.assertEqual(confirmed_file.begin("two"), ("one", "change 1 was not confirmed when the proxy ended"))
            self.assertEqual(confirmed_file.begin("three"), ("three", ""))
            confirmed_file.undo("two")
            self.assertEqual(confirmed_file.begin("two").text, "one")
            confirmed_file.confirm("two")
            self.assertEqual(confirmed_file.begin("two"), ("two", ""))

    def test_every_torn_mark_leaves_a_start(self) -> None:
        """The marker is replaced atomically. If a file system still leaves it truncated, the proxy must start
        nevertheless."""
        with tempfile.TemporaryDirectory() as folder:
            confirmed_file, marker = ConfirmedFile(Path(folder)), Path(folder) / "open.json"
            confirmed_file.confirm("one")
            confirmed_file.open(1, "two")
            data = marker.read_bytes()
            for cut in range(len(data)):
                marker.write_bytes(data[:cut])
                self.assertEqual(confirmed_file.begin("two").text, "two")
            for text in ("[]", "3", '{"text": 5}'):
                marker.write_text(text)
                self.assertEqual(confirmed_file.begin("two").text, "two")


if __name__ == "__main__":
    unittest.main()
