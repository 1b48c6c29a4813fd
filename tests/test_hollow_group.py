"""Tests of the group scenario with a small group of hollow proxies, and of its statistics."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pepperusher.rehearsal import hollow_group_statistics, hollow_group_scenarios
from pepperusher.rehearsal.hollow_statistics import Propagation, Row

SECOND_US = 1_000_000
TIMEOUT_S = 110.0
SIZE = 20
# The round trip between two regions takes 60 ms, so members have to wait longer than that for an answer.
PERIOD_US, ANSWER_TIMEOUT_US = 200_000, 100_000
# Multiplies the time limits, since other tests compete for the processor and delay the members. The limits of counts
# stay the same.
TIME_LIMIT_FACTOR = 3.0


class Scene(unittest.TestCase):
    def test_all_join_and_nobody_is_lost_for_good(self) -> None:
        async def run(work: Path) -> list[dict[str, Any]]:
            async with asyncio.timeout(TIMEOUT_S):
                return await hollow_group_scenarios.run_scenario(
                    SIZE,
                    1,
                    True,
                    work,
                    lambda line: None,
                    period=PERIOD_US,
                    within=ANSWER_TIMEOUT_US,
                    slack=TIME_LIMIT_FACTOR,
                )

        with tempfile.TemporaryDirectory() as work:
            results = asyncio.run(run(Path(work)))
        steps = [step.__name__ for step in hollow_group_scenarios.STEPS]
        self.assertEqual([f"group: {name}" for name in [*steps, "state"]], [result["scene"] for result in results])
        for result in results:
            self.assertTrue(result["checks"], result["scene"])
            failed_checks = [check for check in result["checks"] if not check["holds"]]
            self.assertEqual(result["verdict"], "passed", [result["scene"], failed_checks])
        figures = {result["scene"].removeprefix("group: "): result["figures"] for result in results}
        # Each member fetched the complete member list once, and every step took place.
        self.assertEqual(figures["join"]["streams"], SIZE)
        self.assertEqual(figures["state"]["after"]["members"], SIZE * (SIZE - 1))
        self.assertGreaterEqual(figures["stopped"]["stopped"], SIZE // 10)
        self.assertEqual(figures["zone"]["cut_off"], SIZE // 3)
        self.assertGreater(figures["losing"]["suspicions"], 0)
        self.assertGreaterEqual(figures["quiet"]["datagrams_a_period"], 1.5)


class Books(unittest.TestCase):
    def test_the_last_time_counts_and_who_says_nothing_had_it_throughout(self) -> None:
        rows: list[Row] = [
            (0, 0, [("there", 1, 1 * SECOND_US), ("not", 1, 2 * SECOND_US), ("there", 1, 5 * SECOND_US)]),
            (1, 0, [("there", 1, 2 * SECOND_US)]),
            (2, 0, []),
            (3, 0, [("there", 1, 9 * SECOND_US)]),
        ]
        propagation = hollow_group_statistics.last_occurrence_times(rows, "there", SECOND_US, {0, 1, 2})
        self.assertEqual(propagation, Propagation(1.0, 4.0, 4.0, 3, 3))

    def test_whom_nobody_has_books_of_leaves_all_open(self) -> None:
        propagation = hollow_group_statistics.last_occurrence_times([(0, 0, [])], "there", 0, {0, 1})
        self.assertEqual((propagation.all, propagation.had, propagation.of), (None, 1, 2))

    def test_by_how_many_each_was_lost(self) -> None:
        rows: list[Row] = [
            (0, 0, [("lost p2", 1, 1), ("suspected p1", 1, 1)]),
            (1, 0, [("lost p2", 1, 1), ("order s0-0", 9, 1)]),
        ]
        self.assertEqual(hollow_group_statistics.count_observations(rows, "lost"), {"p2": 2})
        self.assertEqual(hollow_group_statistics.count_observations(rows, "suspected"), {"p1": 1})

    def test_silence_is_found_in_fifteen_periods_and_in_more_where_there_are_many(self) -> None:
        self.assertEqual(hollow_group_statistics.detection_time_limit(8, 500_000), 7.5)
        self.assertAlmostEqual(hollow_group_statistics.detection_time_limit(999, 500_000), 22.5)


if __name__ == "__main__":
    unittest.main()
