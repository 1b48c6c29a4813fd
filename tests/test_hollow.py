"""Tests of hollow proxies against complete ones, and of the statistics, report and layout of scale tests."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from pepperusher.rehearsal import hollow_statistics, hollow_fidelity, hollow_group_fidelity, hollow_report
from pepperusher.rehearsal.hollow_statistics import Propagation, Row
from pepperusher.rehearsal.hollow_fidelity import FidelityComparison
from pepperusher.rehearsal.hollow_plan import SERVICES_PER_VIEW, VIEWS, ZONES, plan, sizes

SECOND_US = 1_000_000
TIMEOUT_S = 60.0


class Fidelity(unittest.TestCase):
    def test_whole_and_hollow_agree_in_messages_bytes_and_state(self) -> None:
        async def run(work: Path) -> dict[str, object]:
            async with asyncio.timeout(TIMEOUT_S):
                return await hollow_fidelity.compare(3, 5, work, lambda line: None)

        with tempfile.TemporaryDirectory() as work:
            result = asyncio.run(run(Path(work)))
        self.assertEqual(result["verdict"], "passed", result)
        complete = {row["kind"]: row["whole"] for row in result["kinds"]}  # type: ignore[attr-defined]
        # Each kind has to occur: two counts of zero would agree without testing anything.
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
            self.assertGreater(complete[kind], 0, kind)

    def test_whole_and_hollow_groups_agree_in_datagrams_bytes_and_what_they_find(self) -> None:
        async def run(work: Path) -> dict[str, object]:
            async with asyncio.timeout(TIMEOUT_S):
                return await hollow_group_fidelity.compare(
                    6, 5, work, lambda line: None, period=200_000, within=60_000, settles=2.0, quiet=4.0
                )

        with tempfile.TemporaryDirectory() as work:
            result = asyncio.run(run(Path(work)))
        self.assertEqual(result["verdict"], "passed", result)
        kinds = {row["kind"]: row for row in result["kinds"]}  # type: ignore[attr-defined]
        for kind in ("datagrams sent", "join: streams", "join: stream bytes", "quiet: bytes sent"):
            self.assertGreater(kinds[kind]["whole"], 0, kind)
        # One member was killed and one left, so four of six run and find those two lost and gone. The share of the
        # member that left is free; the silent member keeps its share.
        for kind, count in (("alive", 12), ("lost", 4), ("gone", 4), ("orders on", 4), ("share of", 4 * 5)):
            for group in ("whole", "hollow"):
                self.assertEqual(kinds[f"finds: {kind}"][group], count, (kind, group))
        # The scenarios use the counts of the hollow members themselves. They match the counts of the relays, except
        # for datagrams sent between the two queries.
        for kind, key in (("datagrams sent", "sent"), ("bytes sent", "bytes sent")):
            counted, relayed = result["at_members"][key], kinds[kind]["hollow"]  # type: ignore[index]
            self.assertLessEqual(abs(counted - relayed), 0.02 * relayed, kind)

    def test_a_tenth_is_the_bound(self) -> None:
        self.assertTrue(FidelityComparison("lines", 100, 90).agrees)
        self.assertTrue(FidelityComparison("lines", 90, 100).agrees)
        self.assertFalse(FidelityComparison("lines", 100, 89).agrees)
        self.assertFalse(FidelityComparison("lines", 0, 1).agrees)
        self.assertTrue(FidelityComparison("lines", 0, 0).agrees)


class Books(unittest.TestCase):
    def test_in_force_at_half_at_nearly_all_and_at_all(self) -> None:
        rows: list[Row] = [(index, 0, [("list", 4, 0), ("list", 5, (index + 1) * SECOND_US)]) for index in range(200)]
        propagation = hollow_statistics.propagation_times(rows, "list", {0: 5}, 0)
        self.assertEqual(propagation, Propagation(100.0, 198.0, 200.0, 200, 200))

    def test_one_without_it_leaves_all_open(self) -> None:
        rows: list[Row] = [
            (0, 0, [("list", 5, SECOND_US)]),
            (1, 0, [("list", 4, SECOND_US)]),
            (2, 1, [("list", 9, SECOND_US)]),
        ]
        propagation = hollow_statistics.propagation_times(rows, "list", {0: 5}, 0)
        self.assertEqual((propagation.half, propagation.all, propagation.had, propagation.of), (1.0, None, 1, 2))

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
        usage = hollow_statistics.resource_usage(samples)["proxies"]
        self.assertEqual((usage.worst, usage.mean, usage.processes, usage.memory), (0.75, 0.425, 2, 22.0))


class Report(unittest.TestCase):
    RESULT = {
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
            list(hollow_report.spreads(self.RESULT["figures"])),  # type: ignore[arg-type]
            [hollow_report.Spread("lost: rack", (1.5, 2.5, None), 39, 40)],
        )

    def test_a_page_has_verdict_checks_and_plots_and_nothing_unescaped(self) -> None:
        with tempfile.TemporaryDirectory() as work:
            path = Path(work) / "page.html"
            hollow_report.write(path, [self.RESULT])
            text = path.read_text()
        self.assertIn('zone &lt;lost&gt;: <span class="broken">failed</span>', text)
        self.assertNotIn("<lost>", text)
        self.assertIn("DOES NOT HOLD", text)
        self.assertIn("39 of 40", text)
        self.assertEqual(text.count("<svg"), 2)
        for external_reference in ("src=", "<script", "<link"):
            self.assertNotIn(external_reference, text)


class Plans(unittest.TestCase):
    def test_services_of_the_target(self) -> None:
        service_sizes = sizes(5000, 210)
        self.assertEqual((sum(service_sizes), len(service_sizes)), (5000, 210))
        self.assertTrue(300 <= service_sizes[0] <= 500 and min(service_sizes) >= 1, service_sizes[:3])

    def test_all_have_a_place_and_the_same_seed_the_same(self) -> None:
        layout = plan(500, 3, 2)
        self.assertEqual(layout, plan(500, 3, 2))
        self.assertNotEqual(layout.views, plan(500, 4, 2).views)
        self.assertEqual(len(layout.views), VIEWS)
        self.assertTrue(all(len(set(view)) == SERVICES_PER_VIEW for view in layout.views))
        self.assertEqual({place.zone for place in layout.places}, set(range(ZONES)))
        self.assertEqual(sum(map(len, layout.services)), 500)
        self.assertTrue(all(layout.workers[place.worker] == place.zone for place in layout.places))
