"""Runs the scale test scenarios at small sizes, with the same checks as for 5,000 proxies, and limits the messages and
bytes per proxy.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pepperusher.rehearsal import hollow_scenarios

TIMEOUT_S = 110.0
# Resources that each proxy subscribes to: the common configuration, that of its team, and five endpoint lists.
RESOURCES_PER_PROXY = 7


def run_scenarios(names: list[str], size: int, controls: int) -> dict[str, dict[str, Any]]:
    async def run(work: Path) -> list[dict[str, Any]]:
        async with asyncio.timeout(TIMEOUT_S):
            return await hollow_scenarios.run_scenarios(names, size, controls, 1, True, work, lambda line: None)

    with tempfile.TemporaryDirectory() as work:
        return {result["scene"]: result for result in asyncio.run(run(Path(work)))}


class Scale(unittest.TestCase):
    def assert_passed(self, results: dict[str, dict[str, Any]], *names: str) -> None:
        self.assertEqual(set(results), {"start", *names})
        for name, result in results.items():
            self.assertTrue(result["checks"], name)
            self.assertEqual(result["verdict"], "passed", [check for check in result["checks"] if not check["holds"]])

    def assert_cost_per_proxy(self, results: dict[str, dict[str, Any]], size: int) -> None:
        """Checks the cost per proxy, which must not depend on the number of proxies."""
        start, change = results["start"]["figures"], results["change"]["figures"]
        # Each proxy gets each resource once, or twice if the first upstream is late and it asks the second.
        self.assertGreaterEqual(start["snapshots"], RESOURCES_PER_PROXY * size)
        self.assertLessEqual(start["snapshots"], 2 * RESOURCES_PER_PROXY * size)
        self.assertLessEqual(start["connects"], 3 * size)
        # Each proxy gets one message with the change, besides heartbeats of two upstreams and an offer by the second.
        self.assertEqual(change["deltas"] + change["snapshots"], size)
        self.assertLessEqual(change["messages_in"], (3 + 1.5 * (change["seconds"] + 1)) * size)
        bytes_spent = change["proxy_bytes_a_second"] * change["seconds"]
        self.assertLessEqual(bytes_spent, 2_000 + 300 * change["seconds"])

    def test_slopes_at_two_sizes_and_what_is_refused(self) -> None:
        small_results = run_scenarios(["change"], 60, 3)
        self.assert_passed(small_results, "change")
        self.assert_cost_per_proxy(small_results, 60)
        large_results = run_scenarios(["change", "refused"], 200, 3)
        self.assert_passed(large_results, "change", "refused")
        self.assert_cost_per_proxy(large_results, 200)

    def test_control_machines_and_a_region_lost_and_back_and_in_trouble(self) -> None:
        names = ["control-lost", "region", "troubled", "origin"]
        self.assert_passed(run_scenarios(names, 100, 3), *names)


if __name__ == "__main__":
    unittest.main()
