"""Rehearsals played on loopback: the hard cases, each caused, and the books, each rule broken on purpose."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pepperusher.rehearsal import rule_checker, run_controller, records

from tests.rehearsal_scene import WRONG, played, small


class Stalls(unittest.TestCase):
    """A stand-in that pauses for exactly 1 s under even load: times from the intended send are known
    beforehand."""

    PAUSE = {
        "faults": [{"what": "freeze", "at": "4s", "span": "1s"}],
        "span": "10s",
        "use_cases": [{"name": "look", "work": {"mean": 0}, "promised": "500ms", "outer": "2s"}],
        "tiers": [
            {
                "name": "desk",
                "proxies": 0,
                "kinds": [{"name": "std", "count": 1, "slots": 1000, "queue": 1000}],
            }
        ],
    }

    def test_a_pause_of_one_second_shows_in_full(self) -> None:
        """A tenth of all are due in the pause and wait for its rest: the 99th percentile waits for 0.9 s, and for as much longer as
        the stand-in woke late and worked at what had come, which its own records tell."""
        script = small(**self.PAUSE, load={"phases": [{"span": "10s", "rate": 200, "arrivals": "even"}]})
        with tempfile.TemporaryDirectory() as folder:
            figures = run_controller.rehearse(script, work=Path(folder)).figures
            kept = rule_checker.Records(
                record for path in Path(folder).glob("*.records") for record in records.read(path)
            )
        self.assertEqual(figures.wishes, 2000)
        worked_at = {sent.name: sent.ended for sent in kept.backend_attempts}
        waits = sorted(worked_at[one.name] - one.intended for one in kept.client_attempts)
        for part, least, delta in (("99", 900, 45), ("100", 1000, 50)):
            true = waits[-1 - round(len(waits) * (1 - int(part) / 100))] / 1000
            self.assertGreater(true, least - 10)
            self.assertAlmostEqual(figures.intended.percentiles[part] / 1000, true, delta=delta)

    def test_a_closed_loop_hides_it(self) -> None:
        """Four users ask as fast as they may, and of some thousand times four are long."""
        figures = played(**self.PAUSE, load={"phases": [], "users": 4}).figures
        self.assertGreater(figures.wishes, 1000)
        self.assertLess(figures.intended.percentiles["99"] / 1000, 450)

    def test_a_generator_that_stands_still_says_so(self) -> None:
        figures = played(
            span="5s",
            faults=[{"what": "pause-generator", "at": "2s", "span": "1s"}],
            load={"phases": [{"span": "5s", "rate": 60, "arrivals": "even"}]},
        ).figures
        longest = max(figures.stalls, key=lambda stall: stall[1] - stall[0])
        self.assertAlmostEqual((longest[1] - longest[0]) / 1000, 1000, delta=120)
        self.assertTrue({2, 3} <= set(figures.untrusted_seconds))
        self.assertGreaterEqual(figures.marked, 60)
        self.assertEqual(figures.wishes, 300)
        # What it measured meanwhile says more of itself than of the proxies, and is not in the trusted
        # figures.
        self.assertGreater(figures.intended.percentiles["100"], 900_000)
        self.assertLess(figures.trusted.percentiles["99"], 500_000)


class Rules(unittest.TestCase):
    """A plain proxy that keeps the rules, and the same with each of them broken."""

    DRAIN = {"faults": [{"what": "drain", "at": "500ms", "span": "3s", "names": ["desk-1"]}]}
    RETURN = {
        "faults": [{"what": "kill", "at": "300ms", "back": "500ms", "names": ["desk-1"]}],
        "rules": {"tip_for": "1s"},
        "tiers": [
            {
                "name": "desk",
                "cell": 2,
                "kinds": [
                    {
                        "name": "std",
                        "count": 4,
                        "cold_from": 0.1,
                        "warm_for": "4s",
                        "slots": 1000,
                        "queue": 1000,
                    }
                ],
            }
        ],
        "use_cases": [
            {"name": "look", "work": {"mean": "20ms", "spread": "fixed"}, "promised": "500ms", "outer": "1s"}
        ],
    }

    def broken(self, wrong: str, rule: str, **changes: object) -> list[rule_checker.Entry]:
        result = played(wrong, **changes)
        self.assertEqual([name for name, count in result.rules.items() if count], [rule], result.entries[:5])
        return result.entries

    def test_a_proxy_that_keeps_them_is_found_to(self) -> None:
        result = played("", **self.DRAIN)
        self.assertTrue(result.kept, result.entries)
        self.assertEqual(result.figures.ends, {"done": 240})

    def test_a_connection_ended_without_an_answer(self) -> None:
        entries = self.broken("loses", rule_checker.LOST_TICKET)
        self.assertTrue(all("connection ended without" in one.what for one in entries))
        self.assertTrue(entries[0].ticket.startswith("w"))

    def test_an_answer_that_no_backend_made(self) -> None:
        self.assertIn("no backend made", self.broken("invents", rule_checker.LOST_TICKET)[0].what)

    def test_two_answers(self) -> None:
        self.assertIn("more than one answer", self.broken("doubles", rule_checker.LOST_TICKET)[0].what)

    def test_no_answer(self) -> None:
        self.assertIn("no answer", self.broken("silent", rule_checker.LOST_TICKET)[0].what)

    def test_an_effect_twice(self) -> None:
        entries = self.broken("twice", rule_checker.TWICE)
        self.assertTrue(any("single-use" in one.what for one in entries))
        self.assertTrue(any("whose group alone" in one.what for one in entries))

    def test_two_attempts_at_once(self) -> None:
        entries = self.broken(
            "overlaps",
            rule_checker.TWICE,
            use_cases=[
                {
                    "name": "look",
                    "work": {"mean": "150ms", "spread": "fixed"},
                    "promised": "1s",
                    "outer": "2s",
                }
            ],
            load={"phases": [{"span": "4s", "rate": 4, "arrivals": "even"}]},
        )
        self.assertIn("still out", entries[0].what)

    def test_a_drain_not_kept(self) -> None:
        entries = self.broken("drains", rule_checker.DRAINS, **self.DRAIN)
        self.assertEqual({one.backend for one in entries}, {"desk-1"})

    def test_a_drain_not_kept_is_found_however_long_all_takes_to_stand(self) -> None:
        """The proxy's own start was dated from the making of the play, and so into it: by the books it was
        a new process then, to whom nobody had said anything of the drain."""
        stand = run_controller.RunController._start_proxies

        async def slowly(self: run_controller.RunController) -> None:
            await asyncio.sleep(0.55)
            await stand(self)

        with (
            mock.patch.object(run_controller.RunController, "_start_proxies", slowly),
            mock.patch.dict(os.environ, {"WRONG": "drains"}),
            tempfile.TemporaryDirectory() as work,
        ):
            result = run_controller.rehearse(small(**self.DRAIN), WRONG, Path(work))
            kept = list(records.read(Path(work) / "director.records"))
        [ran] = [one for one in kept if isinstance(one, records.ProxyRun)]
        self.assertEqual([name for name, count in result.rules.items() if count], [rule_checker.DRAINS])
        self.assertLess(ran.started, ran.ready)
        self.assertLess(ran.ready, 0)
        self.assertGreater(ran.ended, 4_000_000)

    def test_a_cold_backend_pushed_over(self) -> None:
        result = played("cold", **self.RETURN)
        self.assertEqual([one.backend for one in result.entries if one.rule == rule_checker.COLD], ["desk-1.1"])


class Traces(unittest.TestCase):
    def test_a_recorded_burst_is_played_whole_by_two_generators(self) -> None:
        """200 tickets of one instant and one a second later: all go out, each once, the last at its own time."""
        with tempfile.TemporaryDirectory() as folder:
            lines = [json.dumps({"time": 5, "use_case": "look", "work": 1})] * 200
            (Path(folder) / "trace").write_text("\n".join([*lines, json.dumps({"time": 7, "use_case": "look"})]))
            of = small(span="2s", load={"phases": [], "processes": 2, "trace": {"file": "trace", "speed": 2.0}})
            of.folder = folder
            result = run_controller.rehearse(of)
        self.assertTrue(result.kept, result.entries)
        self.assertEqual((result.figures.wishes, result.figures.tries), (201, 201))
        self.assertEqual([one.wishes for one in result.figures.seconds], [200, 1])


class Faults(unittest.TestCase):
    def test_a_proxy_killed_loses_what_rules_allow_and_no_more(self) -> None:
        result = played(
            faults=[{"what": "proxy-kill", "at": "1s", "back": "1s"}],
            load={"retries": 5, "patience": 0.4, "backoff": "200ms", "notice": "300ms"},
        )
        self.assertTrue(result.kept, result.entries)
        figures = result.figures
        # Some found nobody, and their tries count under their first.
        self.assertGreater(figures.ends.get("unreached", 0) + figures.ends.get("lost", 0), 0)
        self.assertEqual(figures.wishes, 240)
        self.assertEqual(sum(figures.ends.values()), figures.tries)
        self.assertGreater(figures.tries, 240)

    def test_all_that_can_befall_backends_at_once(self) -> None:
        """The real proxy keeps the rules through every fault of a backend, the second tier's included."""
        whats = ("freeze", "silent", "slow", "errors", "reset", "garble", "lost", "refuse", "half-answer")
        result = played(
            span="7s",
            tiers=[
                {
                    "name": "desk",
                    "work": 0.5,
                    "calls": 1.5,
                    "cell": 2,
                    "kinds": [{"name": "std", "count": 3}],
                },
                {"name": "ledger", "work": 0.5, "cell": 2, "kinds": [{"name": "std", "count": 6}]},
            ],
            faults=[
                *(
                    {"what": what, "at": f"{500 + 500 * turn}ms", "span": "600ms", "count": 1}
                    for turn, what in enumerate(whats)
                ),
                {"what": "restart", "at": "2s", "span": "500ms", "back": "700ms", "names": ["desk-2"]},
                {"what": "new-ids", "at": "3s", "tier": "ledger", "count": 1},
                {"what": "discovery-down", "at": "3500ms", "span": "800ms"},
                {"what": "discovery-moved", "at": "4800ms"},
            ],
            load={"phases": [{"span": "7s", "rate": 40}], "retries": 2, "patience": 0.5, "backoff": "50ms"},
        )
        self.assertTrue(result.kept, result.entries)
        self.assertGreater(result.figures.goodput, 0.4)
        self.assertGreater(result.figures.attempts, result.figures.tickets)


if __name__ == "__main__":
    unittest.main()
