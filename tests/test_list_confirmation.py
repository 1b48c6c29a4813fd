"""Unit tests of when an unconfirmed list is overdue and when it has expired."""

from __future__ import annotations

import unittest
from unittest import mock

from pepperusher.net.call_schedule import WATCH_SILENCE_TIMEOUT_S
from pepperusher.net.endpoint_metrics import EndpointMetrics
from pepperusher.net.list_confirmation import (
    EXPIRED_LIST_MAX_S, LOST_DEADLINE_S, RECONFIGURED_DEADLINE_S, SERIES_DEADLINE_S, TAKEN_OVER_DEADLINE_S, Cause, ListConfirmation,
)  # fmt: skip

MARGIN_S = 0.01


class Confirmation(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.logged: list[str] = []
        log = mock.Mock(say=self.logged.append)
        self.metrics = EndpointMetrics()
        self.confirmation = ListConfirmation(self.metrics, log)
        self.confirmation._now = lambda: self.now  # type: ignore[method-assign]

    def reconfigure(self, since: float | None = None, note_discovery_reachable: bool = True) -> None:
        self.confirmation.require_confirmation(
            Cause.RECONFIGURED, RECONFIGURED_DEADLINE_S, self.now if since is None else since
        )
        if note_discovery_reachable:
            self.confirmation.note_discovery_reachable()

    def lose(self) -> None:
        self.confirmation.require_confirmation(Cause.LOST, LOST_DEADLINE_S, self.now)

    def fall_silent(self, since: float, note_discovery_reachable: bool = True) -> None:
        """The silence is noticed now; the last message came at `since`."""
        self.confirmation.require_confirmation(Cause.SILENT, LOST_DEADLINE_S, since)
        if note_discovery_reachable:
            self.confirmation.note_discovery_reachable()

    def assert_expires_at(self, at: float) -> None:
        """Asserts that the list expires at that time and not before."""
        self.now = at - MARGIN_S
        self.assertFalse(self.confirmation.expired)
        self.now = at + MARGIN_S
        self.assertTrue(self.confirmation.expired)

    def assert_never_expires(self) -> None:
        for _ in range(100):
            self.now += 0.5
            self.assertFalse(self.confirmation.expired)
            _ = self.confirmation.overdue  # the metric is counted when the property is read

    def test_it_expires_at_the_end_of_the_term_of_a_new_configuration(self) -> None:
        self.reconfigure()
        self.assert_expires_at(100.0 + RECONFIGURED_DEADLINE_S)
        self.assertEqual((1, 1), (self.metrics.overdue, self.metrics.expired))
        self.confirmation.note_confirmed("call 1")
        self.assert_never_expires()
        self.assertEqual((1, 1), (self.metrics.overdue, self.metrics.expired))

    def test_the_last_of_a_row_counts_but_none_later_than_the_longest_term_after_the_first(self) -> None:
        for at in (0.0, 0.3, 0.7, 1.6):
            self.now = 100.0 + at
            self.reconfigure()
        self.assert_expires_at(101.6 + RECONFIGURED_DEADLINE_S)
        self.confirmation.note_confirmed("call 1")
        began = self.now
        for _ in range(5):
            self.reconfigure()
            self.now += 1.0
        self.assert_expires_at(began + SERIES_DEADLINE_S)

    def test_a_new_configuration_does_not_lift_what_has_expired(self) -> None:
        self.reconfigure()
        self.now += RECONFIGURED_DEADLINE_S + 1.0
        self.assertTrue(self.confirmation.expired)
        self.reconfigure(note_discovery_reachable=False)
        self.assertTrue(self.confirmation.expired, "no connection to the newest address yet")

    def test_a_word_within_the_term_does_not_end_it_where_discovery_is_lost_again(self) -> None:
        self.reconfigure()
        self.now = 101.0
        self.confirmation.note_confirmed("call 1")
        self.now = 101.5
        self.lose()
        self.assert_expires_at(100.0 + RECONFIGURED_DEADLINE_S)

    def test_a_watch_that_stood_to_the_end_of_the_term_ended_it(self) -> None:
        self.reconfigure()
        self.confirmation.note_confirmed("call 1")
        self.now = 100.5 + RECONFIGURED_DEADLINE_S
        self.lose()
        self.assert_never_expires()
        self.assertEqual(1, self.metrics.overdue)

    def test_a_watch_that_fell_silent_within_the_term_did_not(self) -> None:
        """The silence is noticed after the deadline, but the last message came before it."""
        self.reconfigure()
        self.confirmation.note_confirmed("call 1")
        self.now = 101.0 + RECONFIGURED_DEADLINE_S
        self.fall_silent(self.now - 2.5, note_discovery_reachable=False)
        self.assertTrue(self.confirmation.expired)

    def test_a_watch_that_fell_silent_expires_the_list_after_its_term_from_its_last_word(self) -> None:
        self.now = 103.0
        self.fall_silent(100.0)
        self.assert_expires_at(100.0 + LOST_DEADLINE_S)
        self.confirmation.note_confirmed("call 2")
        self.assert_never_expires()

    def test_a_silence_alone_expires_nothing_where_discovery_can_not_be_reached(self) -> None:
        """Also where discovery could be reached earlier, which says nothing about now."""
        self.confirmation.note_discovery_reachable()
        self.now = 103.0
        self.fall_silent(100.0, note_discovery_reachable=False)
        self.assert_never_expires()
        self.assertEqual((1, 0), (self.metrics.overdue, self.metrics.expired))

    def test_of_a_silence_and_a_new_configuration_the_sooner_end_counts(self) -> None:
        for signal_at, due in ((100.5, 100.5 + RECONFIGURED_DEADLINE_S), (104.0, 100.0 + SERIES_DEADLINE_S)):
            with self.subTest(signal_at=signal_at):
                self.setUp()
                self.now = 103.0
                self.fall_silent(100.0)
                self.now = max(self.now, signal_at)
                self.reconfigure(since=signal_at)
                self.assert_expires_at(due)

    def test_a_silence_does_not_put_off_the_end_of_a_term_that_runs(self) -> None:
        self.reconfigure()
        self.now = 100.2
        self.confirmation.note_confirmed("call 1")
        self.now = 103.2
        self.fall_silent(100.2)
        self.assert_expires_at(100.0 + RECONFIGURED_DEADLINE_S)

    def test_a_list_that_a_silence_has_expired_is_used_again_after_the_longest_time(self) -> None:
        self.now = 103.0
        self.fall_silent(100.0)
        self.now = 100.0 + LOST_DEADLINE_S + EXPIRED_LIST_MAX_S + MARGIN_S
        self.assertFalse(self.confirmation.expired)
        began = self.now
        self.reconfigure()
        self.assert_expires_at(began + RECONFIGURED_DEADLINE_S)

    def test_the_list_of_another_process_expires_at_the_end_of_a_term_there(self) -> None:
        for due in (101.0, 95.0):
            with self.subTest(due=due):
                self.setUp()
                self.confirmation.require_confirmation(Cause.TAKEN_OVER, TAKEN_OVER_DEADLINE_S, self.now)
                self.confirmation.expire_by(due)
                self.assertEqual(due, self.confirmation.handover_deadline)
                self.confirmation.note_discovery_reachable()
                self.now = max(self.now, due) + MARGIN_S
                self.assertTrue(self.confirmation.expired)
                self.confirmation.note_confirmed("call 1")
                self.assert_never_expires()

    def test_a_term_that_passed_beside_a_watch_that_stands_is_not_over_for_another_process(self) -> None:
        """Guards against a successor that refuses all by a deadline that had passed while the list was confirmed."""
        self.reconfigure()
        self.now = 103.0
        self.confirmation.note_confirmed("call 1")
        self.assertEqual(100.0 + RECONFIGURED_DEADLINE_S, self.confirmation.handover_deadline)
        self.now = 100.0 + RECONFIGURED_DEADLINE_S + MARGIN_S
        self.assertEqual(103.0 + WATCH_SILENCE_TIMEOUT_S, self.confirmation.handover_deadline)
        self.fall_silent(103.0)
        self.assertEqual(100.0 + RECONFIGURED_DEADLINE_S, self.confirmation.handover_deadline)

    def test_a_later_end_or_one_long_over_changes_nothing_for_the_list_of_another_process(self) -> None:
        for due in (103.0, 100.0 - EXPIRED_LIST_MAX_S - MARGIN_S):
            with self.subTest(due=due):
                self.setUp()
                self.confirmation.require_confirmation(Cause.TAKEN_OVER, TAKEN_OVER_DEADLINE_S, self.now)
                self.confirmation.note_discovery_reachable()
                self.confirmation.expire_by(due)
                self.assert_expires_at(100.0 + TAKEN_OVER_DEADLINE_S)

    def test_the_list_of_a_start_is_past_its_term_without_a_word_and_does_not_expire(self) -> None:
        """Guards against a process that serves by its initial list without any message of discovery and without being
        counted as overdue.
        """
        self.confirmation.require_confirmation(Cause.STARTED, LOST_DEADLINE_S, self.now)
        self.confirmation.note_discovery_reachable()
        self.now += LOST_DEADLINE_S - MARGIN_S
        self.assertFalse(self.confirmation.overdue)
        self.assertEqual([], self.logged)
        self.assert_never_expires()
        self.assertEqual((1, 0), (self.metrics.overdue, self.metrics.expired))
        self.confirmation.note_confirmed("call 1")
        self.assertIn("past its deadline", self.logged[-1])

    def test_a_term_begins_beside_a_watch_that_stands_and_counts_if_that_is_lost(self) -> None:
        self.confirmation.add_hard_deadline(RECONFIGURED_DEADLINE_S, 100.0)
        self.now = 102.0
        self.assertFalse(self.confirmation.expired)
        self.lose()
        self.assert_expires_at(100.0 + RECONFIGURED_DEADLINE_S)

    def test_it_never_expires_for_a_loss_alone(self) -> None:
        """The deadline of an outage is soft: it applies only while discovery can be reached."""
        self.lose()
        self.assert_never_expires()
        self.assertEqual((1, 0), (self.metrics.overdue, self.metrics.expired))

    def test_it_does_not_expire_while_discovery_can_not_be_reached_and_does_once_it_can(self) -> None:
        self.confirmation.note_discovery_reachable()
        self.reconfigure(note_discovery_reachable=False)
        self.now = 101.0 + RECONFIGURED_DEADLINE_S
        self.assertEqual((False, True), (self.confirmation.expired, self.confirmation.overdue))
        self.confirmation.note_discovery_reachable()
        self.assertTrue(self.confirmation.expired)

    def test_what_one_address_of_a_row_could_tell_counts_at_the_next(self) -> None:
        self.reconfigure()
        self.now += 1.0
        self.reconfigure(note_discovery_reachable=False)
        self.assert_expires_at(101.0 + RECONFIGURED_DEADLINE_S)

    def test_it_is_used_again_after_the_longest_time_and_expires_anew_with_a_new_configuration(self) -> None:
        self.reconfigure()
        self.now = 100.0 + RECONFIGURED_DEADLINE_S + EXPIRED_LIST_MAX_S + MARGIN_S
        self.assertEqual((False, True), (self.confirmation.expired, self.confirmation.overdue))
        began = self.now
        self.reconfigure()
        self.assert_expires_at(began + RECONFIGURED_DEADLINE_S)

    def test_a_signal_that_waited_counts_from_when_it_may_have_come(self) -> None:
        self.reconfigure(since=99.0)
        self.assert_expires_at(99.0 + RECONFIGURED_DEADLINE_S)
