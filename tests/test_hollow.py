"""Hollow proxies beside whole ones, and what is reckoned from their books."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from pepperusher.rehearsal import hollow_statistics, hollow_fidelity, hollow_group_fidelity, hollow_report
from pepperusher.rehearsal.hollow_statistics import Propagation, Row
from pepperusher.rehearsal.hollow_fidelity import FidelityComparison
from pepperusher.rehearsal.hollow_plan import SERVICES_PER_VIEW, VIEWS, ZONES, plan, sizes

SECOND = 1_000_000
WITHIN = 60.0


class Fidelity(unittest.TestCase):
    def test_whole_and_hollow_agree_in_messages_bytes_and_state(self) -> None:
        async def run(work: Path) -> dict[str, object]:
            async with asyncio.timeout(WITHIN):
                return await hollow_fidelity.compare(3, 5, work, lambda line: None)

        with tempfile.TemporaryDirectory() as work:
            told = asyncio.run(run(Path(work)))
        self.assertEqual(told["verdict"], "passed", told)
        whole = {one["kind"]: one["whole"] for one in told["kinds"]}  # type: ignore[attr-defined]
        # Each kind was played, or the two would agree in nothing.
        for kind in (
            "calls",
            "lines",
            "empty lines",
            "bytes in",
            "bytes out",
            "backends",
            "ready",
            "changes",
        ):
            self.assertGreater(whole[kind], 0, kind)

    def test_whole_and_hollow_groups_agree_in_datagrams_bytes_and_what_they_find(self) -> None:
        async def run(work: Path) -> dict[str, object]:
            async with asyncio.timeout(WITHIN):
                return await hollow_group_fidelity.compare(
                    6, 5, work, lambda line: None, period=200_000, within=60_000, settles=2.0, quiet=4.0
                )

        with tempfile.TemporaryDirectory() as work:
            told = asyncio.run(run(Path(work)))
        self.assertEqual(told["verdict"], "passed", told)
        kinds = {one["kind"]: one for one in told["kinds"]}  # type: ignore[attr-defined]
        for kind in ("datagrams sent", "join: streams", "join: stream bytes", "quiet: bytes sent"):
            self.assertGreater(kinds[kind]["whole"], 0, kind)
        # One was killed and one left, so four of six run, and find these two so; the place of who left is
        # free, and that of who is silent is not.
        for kind, many in (("alive", 12), ("lost", 4), ("gone", 4), ("orders on", 4), ("share of", 4 * 5)):
            for what in ("whole", "hollow"):
                self.assertEqual(kinds[f"finds: {kind}"][what], many, (kind, what))
        # What hollow members count themselves, by which scenes go, is what the links count, but for what went
        # out between the two looks.
        for kind, key in (("datagrams sent", "sent"), ("bytes sent", "bytes sent")):
            counted, seen = told["at_members"][key], kinds[kind]["hollow"]  # type: ignore[index]
            self.assertLessEqual(abs(counted - seen), 0.02 * seen, kind)

    def test_a_tenth_is_the_bound(self) -> None:
        self.assertTrue(FidelityComparison("lines", 100, 90).agrees)
        self.assertTrue(FidelityComparison("lines", 90, 100).agrees)
        self.assertFalse(FidelityComparison("lines", 100, 89).agrees)
        self.assertFalse(FidelityComparison("lines", 0, 1).agrees)
        self.assertTrue(FidelityComparison("lines", 0, 0).agrees)


class Books(unittest.TestCase):
    def test_in_force_at_half_at_nearly_all_and_at_all(self) -> None:
        rows: list[Row] = [(index, 0, [("list", 4, 0), ("list", 5, (index + 1) * SECOND)]) for index in range(200)]
        told = hollow_statistics.propagation_times(rows, "list", {0: 5}, 0)
        self.assertEqual(told, Propagation(100.0, 198.0, 200.0, 200, 200))

    def test_one_without_it_leaves_all_open(self) -> None:
        rows: list[Row] = [
            (0, 0, [("list", 5, SECOND)]),
            (1, 0, [("list", 4, SECOND)]),
            (2, 1, [("list", 9, SECOND)]),
        ]
        told = hollow_statistics.propagation_times(rows, "list", {0: 5}, 0)
        self.assertEqual((told.half, told.all, told.had, told.of), (1.0, None, 1, 2))

    def test_older_after_newer_is_counted(self) -> None:
        self.assertEqual(
            hollow_statistics.count_version_regressions([(0, 0, [("list", 2, 1), ("own", 1, 2), ("list", 1, 3)])]), 1
        )
        self.assertEqual(
            hollow_statistics.count_version_regressions([(0, 0, [("list", 2, 1), ("own", 1, 2), ("list", 2, 3)])]), 0
        )

    def test_processor_time_by_role_and_second(self) -> None:
        samples = [
            (0.0, {"proxies 0": (1.0, 10.0), "proxies 1": (1.0, 10.0)}),
            (1.0, {"proxies 0": (1.5, 12.0), "proxies 1": (1.25, 10.0)}),
            (2.0, {"proxies 0": (1.6, 12.0)}),
        ]
        use = hollow_statistics.resource_usage(samples)["proxies"]
        self.assertEqual((use.worst, use.mean, use.processes, use.memory), (0.75, 0.425, 2, 22.0))


class Report(unittest.TestCase):
    TOLD = {
        "scene": "zone <lost>",
        "verdict": "failed",
        "size": 40,
        "seed": 3,
        "seconds": 9.5,
        "checks": [{"what": "all have it", "holds": False, "seen": {"had": 39}}],
        "figures": {
            "bytes_out_a_second": 12.5,
            "lost": {"rack": {"50%_s": 1.5, "99%_s": 2.5, "all_s": None, "had": 39, "of": 40}},
        },
    }

    def test_every_spread_is_found_however_deep(self) -> None:
        self.assertEqual(
            list(hollow_report.spreads(self.TOLD["figures"])),  # type: ignore[arg-type]
            [hollow_report.Spread("lost: rack", (1.5, 2.5, None), 39, 40)],
        )

    def test_a_page_has_verdict_checks_and_plots_and_nothing_unescaped(self) -> None:
        with tempfile.TemporaryDirectory() as work:
            path = Path(work) / "page.html"
            hollow_report.write(path, [self.TOLD])
            text = path.read_text()
        self.assertIn('zone &lt;lost&gt;: <span class="broken">failed</span>', text)
        self.assertNotIn("<lost>", text)
        self.assertIn("DOES NOT HOLD", text)
        self.assertIn("39 of 40", text)
        self.assertEqual(text.count("<svg"), 2)
        for outside in ("src=", "<script", "<link"):
            self.assertNotIn(outside, text)


class Plans(unittest.TestCase):
    def test_services_of_the_target(self) -> None:
        made = sizes(5000, 210)
        self.assertEqual((sum(made), len(made)), (5000, 210))
        self.assertTrue(300 <= made[0] <= 500 and min(made) >= 1, made[:3])

    def test_all_have_a_place_and_the_same_seed_the_same(self) -> None:
        made = plan(500, 3, 2)
        self.assertEqual(made, plan(500, 3, 2))
        self.assertNotEqual(made.views, plan(500, 4, 2).views)
        self.assertEqual(len(made.views), VIEWS)
        self.assertTrue(all(len(set(view)) == SERVICES_PER_VIEW for view in made.views))
        self.assertEqual({one.zone for one in made.places}, set(range(ZONES)))
        self.assertEqual(sum(map(len, made.services)), 500)
        self.assertTrue(all(made.workers[one.worker] == one.zone for one in made.places))
