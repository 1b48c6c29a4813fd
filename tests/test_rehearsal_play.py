"""Tests of whole rehearsals on loopback: injected faults, and the rule checker against proxies that break one rule
each."""

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
    """A simulated backend freezes for exactly 1 s under a constant rate, so that the latencies from the intended send
    times are known in advance."""

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
        """A tenth of the requests are due during the pause and wait for its end, so the 99th percentile is 0.9 s. It may
        be longer by the time that the backend resumes late and works off the waiting requests; the backend's records
        have the true times."""
        script = small(**self.PAUSE, load={"phases": [{"span": "10s", "rate": 200, "arrivals": "even"}]})
        with tempfile.TemporaryDirectory() as folder:
            figures = run_controller.rehearse(script, work=Path(folder)).figures
            all_records = rule_checker.Records(
                record for path in Path(folder).glob("*.records") for record in records.read(path)
            )
        self.assertEqual(figures.wishes, 2000)
        ended_at = {attempt.name: attempt.ended for attempt in all_records.backend_attempts}
        latencies = sorted(ended_at[attempt.name] - attempt.intended for attempt in all_records.client_attempts)
        for percentile, minimum_ms, delta in (("99", 900, 45), ("100", 1000, 50)):
            expected_ms = latencies[-1 - round(len(latencies) * (1 - int(percentile) / 100))] / 1000
            self.assertGreater(expected_ms, minimum_ms - 10)
            self.assertAlmostEqual(figures.intended.percentiles[percentile] / 1000, expected_ms, delta=delta)

    def test_a_closed_loop_hides_it(self) -> None:
        """Four users send one request after another: only four of over a thousand requests meet the pause, so the 99th
        percentile does not show it."""
        figures = played(**self.PAUSE, load={"phases": [], "users": 4}).figures
        self.assertGreater(figures.wishes, 1000)
        self.assertLess(figures.intended.percentiles["99"] / 1000, 450)

    def test_a_generator_that_stands_still_says_so(self) -> None:
        rate_per_s = 60
        figures = played(
            span="5s",
            faults=[{"what": "pause-generator", "at": "2s", "span": "1s"}],
            load={"phases": [{"span": "5s", "rate": rate_per_s, "arrivals": "even"}]},
        ).figures
        longest = max(figures.stalls, key=lambda stall: stall[1] - stall[0])
        self.assertAlmostEqual((longest[1] - longest[0]) / 1000, 1000, delta=120)
        self.assertTrue({2, 3} <= set(figures.untrusted_seconds))
        # All that were due during the stall, which a busy machine may begin or end a little late.
        self.assertGreaterEqual(figures.marked, rate_per_s * (longest[1] - longest[0]) // 1_000_000)
        self.assertEqual(figures.wishes, 300)
        # Latencies measured while the load generator stalls are caused by the generator, not by the proxies, so the
        # trusted figures exclude them.
        self.assertGreater(figures.intended.percentiles["100"], 900_000)
        self.assertLess(figures.trusted.percentiles["99"], 500_000)


class Rules(unittest.TestCase):
    """Runs a minimal test proxy that keeps all rules, and variants that each break one of them."""

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
        """Runs a variant of the test proxy, checks that it breaks this rule alone, and returns the findings."""
        result = played(wrong, **changes)
        self.assertEqual([name for name, count in result.rules.items() if count], [rule], result.entries[:5])
        return result.entries

    def test_a_proxy_that_keeps_them_is_found_to(self) -> None:
        result = played("", **self.DRAIN)
        self.assertTrue(result.kept, result.entries)
        self.assertEqual(result.figures.ends, {"done": 240})

    def test_a_connection_ended_without_an_answer(self) -> None:
        entries = self.broken("loses", rule_checker.LOST_TICKET)
        self.assertTrue(all("connection ended without" in entry.what for entry in entries))
        self.assertTrue(entries[0].ticket.startswith("w"))

    def test_an_answer_that_no_backend_made(self) -> None:
        self.assertIn("no backend made", self.broken("invents", rule_checker.LOST_TICKET)[0].what)

    def test_two_answers(self) -> None:
        self.assertIn("more than one answer", self.broken("doubles", rule_checker.LOST_TICKET)[0].what)

    def test_no_answer(self) -> None:
        self.assertIn("no answer", self.broken("silent", rule_checker.LOST_TICKET)[0].what)

    def test_an_effect_twice(self) -> None:
        entries = self.broken("twice", rule_checker.TWICE)
        self.assertTrue(any("single-use" in entry.what for entry in entries))
        self.assertTrue(any("only its group recognises repeats" in entry.what for entry in entries))

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
        self.assertIn("still open", entries[0].what)

    def test_a_drain_not_kept(self) -> None:
        entries = self.broken("drains", rule_checker.DRAINS, **self.DRAIN)
        self.assertEqual({entry.backend for entry in entries}, {"desk-1"})

    def test_a_drain_not_kept_is_found_however_long_all_takes_to_stand(self) -> None:
        """Guards against wrong start times: the start of a proxy was dated relative to the creation of the run controller,
        and so fell into the run. The rule checker then took it for a new process that had not been notified of the
        drain."""
        start_proxies = run_controller.RunController._start_proxies

        async def start_late(self: run_controller.RunController) -> None:
            await asyncio.sleep(0.55)
            await start_proxies(self)

        with (
            mock.patch.object(run_controller.RunController, "_start_proxies", start_late),
            mock.patch.dict(os.environ, {"WRONG": "drains"}),
            tempfile.TemporaryDirectory() as work,
        ):
            result = run_controller.rehearse(small(**self.DRAIN), WRONG, Path(work))
            controller_records = list(records.read(Path(work) / "director.records"))
        [proxy_run] = [record for record in controller_records if isinstance(record, records.ProxyRun)]
        self.assertEqual([name for name, count in result.rules.items() if count], [rule_checker.DRAINS])
        self.assertLess(proxy_run.started, proxy_run.ready)
        self.assertLess(proxy_run.ready, 0)
        self.assertGreater(proxy_run.ended, 4_000_000)

    def test_a_cold_backend_pushed_over(self) -> None:
        result = played("cold", **self.RETURN)
        self.assertEqual([entry.backend for entry in result.entries if entry.rule == rule_checker.COLD], ["desk-1.1"])


class Traces(unittest.TestCase):
    def test_a_recorded_burst_is_played_whole_by_two_generators(self) -> None:
        """A trace with 200 tickets at one time and one a second later: each is sent once, the last at its own time."""
        with tempfile.TemporaryDirectory() as folder:
            lines = [json.dumps({"time": 5, "use_case": "look", "work": 1})] * 200
            (Path(folder) / "trace").write_text("\n".join([*lines, json.dumps({"time": 7, "use_case": "look"})]))
            script = small(span="2s", load={"phases": [], "processes": 2, "trace": {"file": "trace", "speed": 2.0}})
            script.folder = folder
            result = run_controller.rehearse(script)
        self.assertTrue(result.kept, result.entries)
        self.assertEqual((result.figures.wishes, result.figures.tries), (201, 201))
        self.assertEqual([second.wishes for second in result.figures.seconds], [200, 1])


class Faults(unittest.TestCase):
    def test_a_proxy_killed_loses_what_rules_allow_and_no_more(self) -> None:
        result = played(
            faults=[{"what": "proxy-kill", "at": "1s", "back": "1s"}],
            load={"retries": 5, "patience": 0.4, "backoff": "200ms", "notice": "300ms"},
        )
        self.assertTrue(result.kept, result.entries)
        figures = result.figures
        # Some requests reached no proxy at first; their retries are counted with the first attempt.
        self.assertGreater(figures.ends.get("unreached", 0) + figures.ends.get("lost", 0), 0)
        self.assertEqual(figures.wishes, 240)
        self.assertEqual(sum(figures.ends.values()), figures.tries)
        self.assertGreater(figures.tries, 240)

    def test_all_that_can_befall_backends_at_once(self) -> None:
        """The real proxy keeps the rules under every kind of backend fault, in the second tier too."""
        fault_kinds = ("freeze", "silent", "slow", "errors", "reset", "garble", "lost", "refuse", "half-answer")
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
                    {"what": kind, "at": f"{500 + 500 * index}ms", "span": "600ms", "count": 1}
                    for index, kind in enumerate(fault_kinds)
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
