"""Scenes at scale, small: the same checks as with 5,000, and slopes counted in messages and bytes."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pepperusher.rehearsal import hollow_scenarios

WITHIN = 110.0
# Resources that each proxy subscribes to: configuration for all and of its team, five lists.
NAMES = 7


def play(names: list[str], size: int, controls: int) -> dict[str, dict[str, Any]]:
    async def run(work: Path) -> list[dict[str, Any]]:
        async with asyncio.timeout(WITHIN):
            return await hollow_scenarios.run_scenarios(names, size, controls, 1, True, work, lambda line: None)

    with tempfile.TemporaryDirectory() as work:
        return {one["scene"]: one for one in asyncio.run(run(Path(work)))}


class Scale(unittest.TestCase):
    def hold(self, told: dict[str, dict[str, Any]], *names: str) -> None:
        self.assertEqual(set(told), {"start", *names})
        for name, one in told.items():
            self.assertTrue(one["checks"], name)
            self.assertEqual(one["verdict"], "passed", [each for each in one["checks"] if not each["holds"]])

    def slopes(self, told: dict[str, dict[str, Any]], size: int) -> None:
        """For each proxy so much, whatever the size."""
        start, change = told["start"]["figures"], told["change"]["figures"]
        # Each resource once to each, or twice: the second upstream is asked where the first is late.
        self.assertGreaterEqual(start["snapshots"], NAMES * size)
        self.assertLessEqual(start["snapshots"], 2 * NAMES * size)
        self.assertLessEqual(start["connects"], 3 * size)
        # One message with the change for each, beside beats of two upstreams and an offer by the second.
        self.assertEqual(change["deltas"] + change["snapshots"], size)
        self.assertLessEqual(change["messages_in"], (3 + 1.5 * (change["seconds"] + 1)) * size)
        spent = change["proxy_bytes_a_second"] * change["seconds"]
        self.assertLessEqual(spent, 2_000 + 300 * change["seconds"])

    def test_slopes_at_two_sizes_and_what_is_refused(self) -> None:
        few = play(["change"], 60, 3)
        self.hold(few, "change")
        self.slopes(few, 60)
        many = play(["change", "refused"], 200, 3)
        self.hold(many, "change", "refused")
        self.slopes(many, 200)

    def test_control_machines_and_a_region_lost_and_back_and_in_trouble(self) -> None:
        names = ["control-lost", "region", "troubled", "origin"]
        self.hold(play(names, 100, 3), *names)


if __name__ == "__main__":
    unittest.main()
