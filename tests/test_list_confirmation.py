"""When a list that discovery has not confirmed is past its term, and when it has expired, by the module alone."""

from __future__ import annotations

import unittest
from unittest import mock

from pepperusher.net.endpoint_metrics import EndpointMetrics
from pepperusher.net.list_confirmation import (
    EXPIRED_MOST, LOST_TERM, RECONFIGURED_TERM, ROW_MOST, TAKEN_OVER_TERM, Cause, ListConfirmation,
)  # fmt: skip

A_MOMENT = 0.01


class Confirmation(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.logged: list[str] = []
        log = mock.Mock(say=self.logged.append)
        self.metrics = EndpointMetrics()
        self.confirmation = ListConfirmation(self.metrics, log)
        self.confirmation._now = lambda: self.now  # type: ignore[method-assign]

    def reconfigure(self, since: float | None = None, reached: bool = True) -> None:
        self.confirmation.expect(Cause.RECONFIGURED, RECONFIGURED_TERM, self.now if since is None else since)
        if reached:
            self.confirmation.reached()

    def lose(self) -> None:
        self.confirmation.expect(Cause.LOST, LOST_TERM, self.now)

    def fall_silent(self, since: float, reached: bool = True) -> None:
        """Noticed now; the last word came at `since`."""
        self.confirmation.expect(Cause.SILENT, LOST_TERM, since)
        if reached:
            self.confirmation.reached()

    def stands_until(self, at: float) -> None:
        """It has not expired up to that time, and has after it."""
        self.now = at - A_MOMENT
        self.assertFalse(self.confirmation.expired)
        self.now = at + A_MOMENT
        self.assertTrue(self.confirmation.expired)

    def never_expires(self) -> None:
        for _ in range(100):
            self.now += 0.5
            self.assertFalse(self.confirmation.expired)
            _ = self.confirmation.overdue  # counted as it is looked at

    def test_it_expires_at_the_end_of_the_term_of_a_new_configuration(self) -> None:
        self.reconfigure()
        self.stands_until(100.0 + RECONFIGURED_TERM)
        self.assertEqual((1, 1), (self.metrics.overdue, self.metrics.expired))
        self.confirmation.confirmed("call 1")
        self.never_expires()
        self.assertEqual((1, 1), (self.metrics.overdue, self.metrics.expired))

    def test_the_last_of_a_row_counts_but_none_later_than_the_longest_term_after_the_first(self) -> None:
        for at in (0.0, 0.3, 0.7, 1.6):
            self.now = 100.0 + at
            self.reconfigure()
        self.stands_until(101.6 + RECONFIGURED_TERM)
        self.confirmation.confirmed("call 1")
        began = self.now
        for _ in range(5):
            self.reconfigure()
            self.now += 1.0
        self.stands_until(began + ROW_MOST)

    def test_a_new_configuration_does_not_lift_what_has_expired(self) -> None:
        self.reconfigure()
        self.now += RECONFIGURED_TERM + 1.0
        self.assertTrue(self.confirmation.expired)
        self.reconfigure(reached=False)
        self.assertTrue(self.confirmation.expired, "no connection to the newest address yet")

    def test_a_word_within_the_term_does_not_end_it_where_discovery_is_lost_again(self) -> None:
        self.reconfigure()
        self.now = 101.0
        self.confirmation.confirmed("call 1")
        self.now = 101.5
        self.lose()
        self.stands_until(100.0 + RECONFIGURED_TERM)

    def test_a_watch_that_stood_to_the_end_of_the_term_ended_it(self) -> None:
        self.reconfigure()
        self.confirmation.confirmed("call 1")
        self.now = 100.5 + RECONFIGURED_TERM
        self.lose()
        self.never_expires()
        self.assertEqual(1, self.metrics.overdue)

    def test_a_watch_that_fell_silent_within_the_term_did_not(self) -> None:
        """It was noticed after the end only; its last word had come before that."""
        self.reconfigure()
        self.confirmation.confirmed("call 1")
        self.now = 101.0 + RECONFIGURED_TERM
        self.fall_silent(self.now - 2.5, reached=False)
        self.assertTrue(self.confirmation.expired)

    def test_a_watch_that_fell_silent_expires_the_list_after_its_term_from_its_last_word(self) -> None:
        self.now = 103.0
        self.fall_silent(100.0)
        self.stands_until(100.0 + LOST_TERM)
        self.confirmation.confirmed("call 2")
        self.never_expires()

    def test_a_silence_alone_expires_nothing_where_discovery_can_not_be_reached(self) -> None:
        """Also where it could be reached before: that says nothing of now."""
        self.confirmation.reached()
        self.now = 103.0
        self.fall_silent(100.0, reached=False)
        self.never_expires()
        self.assertEqual((1, 0), (self.metrics.overdue, self.metrics.expired))

    def test_of_a_silence_and_a_new_configuration_the_sooner_end_counts(self) -> None:
        for signal_at, due in ((100.5, 100.5 + RECONFIGURED_TERM), (104.0, 100.0 + ROW_MOST)):
            with self.subTest(signal_at=signal_at):
                self.setUp()
                self.now = 103.0
                self.fall_silent(100.0)
                self.now = max(self.now, signal_at)
                self.reconfigure(since=signal_at)
                self.stands_until(due)

    def test_a_silence_does_not_put_off_the_end_of_a_term_that_runs(self) -> None:
        self.reconfigure()
        self.now = 100.2
        self.confirmation.confirmed("call 1")
        self.now = 103.2
        self.fall_silent(100.2)
        self.stands_until(100.0 + RECONFIGURED_TERM)

    def test_a_list_that_a_silence_has_expired_is_used_again_after_the_longest_time(self) -> None:
        self.now = 103.0
        self.fall_silent(100.0)
        self.now = 100.0 + LOST_TERM + EXPIRED_MOST + A_MOMENT
        self.assertFalse(self.confirmation.expired)
        began = self.now
        self.reconfigure()
        self.stands_until(began + RECONFIGURED_TERM)

    def test_the_list_of_another_process_expires_at_the_end_of_a_term_there(self) -> None:
        for due in (101.0, 95.0):
            with self.subTest(due=due):
                self.setUp()
                self.confirmation.expect(Cause.TAKEN_OVER, TAKEN_OVER_TERM, self.now)
                self.confirmation.end_by(due)
                self.assertEqual(due, self.confirmation.hard_deadline)
                self.confirmation.reached()
                self.now = max(self.now, due) + A_MOMENT
                self.assertTrue(self.confirmation.expired)
                self.confirmation.confirmed("call 1")
                self.never_expires()

    def test_a_later_end_or_one_long_over_changes_nothing_for_the_list_of_another_process(self) -> None:
        for due in (103.0, 100.0 - EXPIRED_MOST - A_MOMENT):
            with self.subTest(due=due):
                self.setUp()
                self.confirmation.expect(Cause.TAKEN_OVER, TAKEN_OVER_TERM, self.now)
                self.confirmation.reached()
                self.confirmation.end_by(due)
                self.stands_until(100.0 + TAKEN_OVER_TERM)

    def test_the_list_of_a_start_is_past_its_term_without_a_word_and_does_not_expire(self) -> None:
        """It was not counted: a process that nobody had told went by its first list unnoticed."""
        self.confirmation.expect(Cause.STARTED, LOST_TERM, self.now)
        self.confirmation.reached()
        self.now += LOST_TERM - A_MOMENT
        self.assertFalse(self.confirmation.overdue)
        self.assertEqual([], self.logged)
        self.never_expires()
        self.assertEqual((1, 0), (self.metrics.overdue, self.metrics.expired))
        self.confirmation.confirmed("call 1")
        self.assertIn("past its term", self.logged[-1])

    def test_a_term_begins_beside_a_watch_that_stands_and_counts_if_that_is_lost(self) -> None:
        self.confirmation.keep_term(RECONFIGURED_TERM, 100.0)
        self.now = 102.0
        self.assertFalse(self.confirmation.expired)
        self.lose()
        self.stands_until(100.0 + RECONFIGURED_TERM)

    def test_it_never_expires_for_a_loss_alone(self) -> None:
        """That term runs only while discovery can be reached."""
        self.lose()
        self.never_expires()
        self.assertEqual((1, 0), (self.metrics.overdue, self.metrics.expired))

    def test_it_does_not_expire_while_discovery_can_not_be_reached_and_does_once_it_can(self) -> None:
        self.confirmation.reached()
        self.reconfigure(reached=False)
        self.now = 101.0 + RECONFIGURED_TERM
        self.assertEqual((False, True), (self.confirmation.expired, self.confirmation.overdue))
        self.confirmation.reached()
        self.assertTrue(self.confirmation.expired)

    def test_what_one_address_of_a_row_could_tell_counts_at_the_next(self) -> None:
        self.reconfigure()
        self.now += 1.0
        self.reconfigure(reached=False)
        self.stands_until(101.0 + RECONFIGURED_TERM)

    def test_it_is_used_again_after_the_longest_time_and_expires_anew_with_a_new_configuration(self) -> None:
        self.reconfigure()
        self.now = 100.0 + RECONFIGURED_TERM + EXPIRED_MOST + A_MOMENT
        self.assertEqual((False, True), (self.confirmation.expired, self.confirmation.overdue))
        began = self.now
        self.reconfigure()
        self.stands_until(began + RECONFIGURED_TERM)

    def test_a_signal_that_waited_counts_from_when_it_may_have_come(self) -> None:
        self.reconfigure(since=99.0)
        self.stands_until(99.0 + RECONFIGURED_TERM)
