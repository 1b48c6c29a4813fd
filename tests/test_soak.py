"""The soak test: its runs depend on the seed alone, its rule checker applies the operators' terms, and a short one is run."""

from __future__ import annotations

import unittest

import pytest

from pepperusher.rehearsal import soak
from pepperusher.rehearsal.effective_changes import effective_notifications
from pepperusher.rehearsal.records import ProxyRun, Reconfiguration
from pepperusher.rehearsal.script import encode
from tests.rehearsal_scene import small

SPAN = 20_000_000
SEEDS_PLAYED = (54, 55, 56)


class Scripts(unittest.TestCase):
    def test_a_seed_gives_the_same_run_and_all_kinds_of_trouble_are_drawn(self) -> None:
        scripts = [soak.script_of(seed, SPAN) for seed in range(1, 201)]
        again = [soak.script_of(seed, SPAN) for seed in range(1, 201)]
        self.assertEqual([encode(script) for script in scripts], [encode(script) for script in again])
        kinds = {fault.what for script in scripts for fault in script.faults}
        expected = {"drain", "restart", "discovery-full", "discovery-down", "discovery-silent", "discovery-late", "discovery-moved", "watches-silent",
                  "proxy-hup", "proxy-term", "proxy-kill", "proxy-stop", "proxy-starve", "freeze"}  # fmt: skip
        self.assertLessEqual(expected, kinds)
        self.assertTrue(all(script.load.stays > 0 for script in scripts))
        for script in scripts:
            restarted_proxies = [
                name for fault in script.faults if fault.what in ("proxy-term", "proxy-kill") for name in fault.names
            ]
            self.assertEqual(
                len(restarted_proxies), len(set(restarted_proxies)), "two processes would run under one name"
            )
        with_surge = [script for script in scripts if script.load.surges]
        self.assertTrue(20 < len(with_surge) < 150, len(with_surge))


class Deemed(unittest.TestCase):
    """The proxy p1 and a backend that drains at 1 s, which discovery knows from 1.1 s on (its notice is 0.1 s)."""

    DRAIN = {"what": "drain", "at": "1s", "names": ["desk-1"]}

    def notification_times(self, signals: list[int], *faults: dict[str, object], started: int = -1) -> list[int]:
        script = small(span="20s", faults=[self.DRAIN, *faults])
        reconfigured = [Reconfiguration(0, at) for at in signals]
        return sorted(
            notification.at
            for notification in effective_notifications(
                script, reconfigured, [ProxyRun(0, 1, started, started, -1, -1, -1, 0)]
            )
        )

    def test_a_change_counts_six_seconds_after_discovery_has_it(self) -> None:
        self.assertEqual([7_100_000], self.notification_times([]))

    def test_it_counts_four_seconds_after_the_last_new_configuration_of_a_row(self) -> None:
        series = [1_200_000, 1_500_000, 1_900_000, 2_800_000]
        self.assertEqual([6_800_000, 7_100_000], self.notification_times(series))
        self.assertEqual(
            [7_100_000], self.notification_times([1_000_000]), "discovery did not have the change before the signal"
        )

    def test_the_six_seconds_run_from_when_discovery_can_be_reached(self) -> None:
        outage = {"what": "discovery-down", "at": "3s", "span": "4s"}
        second_outage = {"what": "discovery-full", "at": "9s", "span": "2s"}
        self.assertEqual([17_000_000], self.notification_times([], outage, second_outage))

    def test_it_counts_six_seconds_after_the_watch_fell_silent_that_missed_it(self) -> None:
        """The term applies even if discovery is full afterwards, but not if a proxy may have had no watch."""
        silence = {"what": "watches-silent", "at": "900ms"}
        full = {"what": "discovery-full", "at": "1500ms", "span": "8s"}
        self.assertEqual([6_900_000, 15_500_000], self.notification_times([], silence, full))
        self.assertEqual(
            [15_500_000],
            self.notification_times([], {**silence, "at": "1200ms"}, full),
            "the notification came before the watch fell silent",
        )
        self.assertEqual(
            [15_500_000],
            self.notification_times([], {**silence, "at": "500ms"}, full),
            "a new watch may have delivered the notification",
        )
        outage = {"what": "discovery-down", "at": "100ms", "span": "200ms"}
        self.assertEqual([7_100_000], self.notification_times([], outage, silence))
        self.assertEqual([], self.notification_times([], silence, started=1_500_000))

    def test_a_process_that_starts_within_a_term_is_not_held_to_it(self) -> None:
        self.assertEqual([], self.notification_times([1_200_000], started=5_000_000))


class Played(unittest.TestCase):
    @pytest.mark.timeout(240)
    def test_a_short_soak_breaks_no_rule(self) -> None:
        """Takes over a minute; larger soaks of 50 seeds and more are run by hand (`pepperusher soak`)."""
        for seed in SEEDS_PLAYED:
            with self.subTest(seed=seed):
                result = soak.run(seed, SPAN)
                self.assertTrue(result.kept, soak.line(result))
