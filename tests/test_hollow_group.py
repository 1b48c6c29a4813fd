"""A group of hollow proxies, small: the checks of the scene that is played with hundreds, and what is
reckoned from its books.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pepperusher.rehearsal import hollow_group_statistics, hollow_group_scenarios
from pepperusher.rehearsal.hollow_statistics import Propagation, Row

SECOND = 1_000_000
WITHIN = 110.0
SIZE = 20
# Of the links, two regions are 60 ms apart there and back: an answer is waited for longer.
PERIOD, ANSWER = 200_000, 100_000
# The machine is busy with other tests: members that have no processor find nothing in time. Counts are not
# eased.
SLACK = 3.0


class Scene(unittest.TestCase):
    def test_all_join_and_nobody_is_lost_for_good(self) -> None:
        async def run(work: Path) -> list[dict[str, Any]]:
            async with asyncio.timeout(WITHIN):
                return await hollow_group_scenarios.run_scenario(
                    SIZE, 1, True, work, lambda line: None, period=PERIOD, within=ANSWER, slack=SLACK
                )

        with tempfile.TemporaryDirectory() as work:
            told = asyncio.run(run(Path(work)))
        steps = [step.__name__ for step in hollow_group_scenarios.STEPS]
        self.assertEqual([f"group: {name}" for name in [*steps, "state"]], [one["scene"] for one in told])
        for one in told:
            self.assertTrue(one["checks"], one["scene"])
            broken = [each for each in one["checks"] if not each["holds"]]
            self.assertEqual(one["verdict"], "passed", [one["scene"], broken])
        figures = {one["scene"].removeprefix("group: "): one["figures"] for one in told}
        # Each asked a member for its whole roll once, and each step was played.
        self.assertEqual(figures["join"]["streams"], SIZE)
        self.assertEqual(figures["state"]["after"]["members"], SIZE * (SIZE - 1))
        self.assertGreaterEqual(figures["stopped"]["stopped"], SIZE // 10)
        self.assertEqual(figures["zone"]["cut_off"], SIZE // 3)
        self.assertGreater(figures["losing"]["suspicions"], 0)
        self.assertGreaterEqual(figures["quiet"]["datagrams_a_period"], 1.5)


class Books(unittest.TestCase):
    def test_the_last_time_counts_and_who_says_nothing_had_it_throughout(self) -> None:
        rows: list[Row] = [
            (0, 0, [("there", 1, 1 * SECOND), ("not", 1, 2 * SECOND), ("there", 1, 5 * SECOND)]),
            (1, 0, [("there", 1, 2 * SECOND)]),
            (2, 0, []),
            (3, 0, [("there", 1, 9 * SECOND)]),
        ]
        told = hollow_group_statistics.last_occurrence_times(rows, "there", SECOND, {0, 1, 2})
        self.assertEqual(told, Propagation(1.0, 4.0, 4.0, 3, 3))

    def test_whom_nobody_has_books_of_leaves_all_open(self) -> None:
        told = hollow_group_statistics.last_occurrence_times([(0, 0, [])], "there", 0, {0, 1})
        self.assertEqual((told.all, told.had, told.of), (None, 1, 2))

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
