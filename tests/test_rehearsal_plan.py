"""What a rehearsal works out ahead: arrivals, traces, troubles, the list, and what is wrong with a file."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from pepperusher.rehearsal import arrivals, experiments, script, traces, fault_schedule, active_faults
from pepperusher.rehearsal.fleet_plan import FleetPlan
from pepperusher.rehearsal.endpoint_history import EndpointHistory
from pepperusher.rehearsal.script import ScriptError
from pepperusher.durations import said, span

from tests.rehearsal_scene import raw, small
from tests.scene import TraceTestCase

EXAMPLES = Path(__file__).parent.parent / "examples" / "rehearsals"


class Arrivals(unittest.TestCase):
    def test_the_same_seed_gives_the_same_plan_to_the_byte(self) -> None:
        """Of arrivals and of troubles; kept here, so that a later version that plans otherwise is seen."""
        found = {}
        for path in sorted(EXAMPLES.glob("*.toml")):
            of = script.read(path)
            line = fault_schedule.timeline(of, FleetPlan(of, 16))
            again = script.decode(script.encode(of))
            self.assertEqual(arrivals.plan_arrivals(of), arrivals.plan_arrivals(again))
            self.assertEqual(line, fault_schedule.timeline(again, FleetPlan(again, 99)))
            found[path.stem] = f"{arrivals.digest(arrivals.plan_arrivals(of))} {fault_schedule.digest(line)}"
        kept = Path(__file__).parent / "traces" / "rehearsal_plans.json"
        self.assertEqual(found, json.loads(kept.read_text()))

    def test_another_seed_gives_another(self) -> None:
        self.assertNotEqual(
            arrivals.plan_arrivals(small(load={"phases": [{"span": "4s", "rate": 60}]})),
            arrivals.plan_arrivals(small(seed=6, load={"phases": [{"span": "4s", "rate": 60}]})),
        )

    def test_even_arrivals_lie_where_the_integral_of_the_rate_has_them(self) -> None:
        """0 to 100 a second over 4 s: the n-th, from half, is due at sqrt(2 n / 25) s."""
        plan = arrivals.plan_arrivals(
            small(load={"phases": [{"span": "4s", "rate": 0, "to": 100, "arrivals": "even"}]})
        )
        self.assertEqual(len(plan), 200)
        for number in (0, 1, 50, 199):
            self.assertAlmostEqual(plan[number].at / 1e6, (2 * (number + 0.5) / 25) ** 0.5, places=5)

    def test_poisson_arrivals_come_as_often_as_told_and_unevenly(self) -> None:
        plan = arrivals.plan_arrivals(small(span="100s", load={"phases": [{"span": "100s", "rate": 100}]}))
        self.assertAlmostEqual(len(plan), 10_000, delta=400)
        apart = [b.at - a.at for a, b in zip(plan, plan[1:])]
        mean = sum(apart) / len(apart)
        spread = (sum((one - mean) ** 2 for one in apart) / len(apart)) ** 0.5
        self.assertAlmostEqual(spread / mean, 1.0, delta=0.05)

    def test_bursts_share_an_instant(self) -> None:
        phases = [{"span": "4s", "rate": 100, "arrivals": "bursts", "burst": 20}]
        plan = arrivals.plan_arrivals(small(load={"phases": phases}))
        self.assertEqual(len(plan) % 20, 0)
        self.assertEqual(len({one.at for one in plan}), len(plan) // 20)

    def test_a_surge_adds_its_customer_and_takes_from_nobody(self) -> None:
        calm = arrivals.plan_arrivals(small(span="60s", load={"phases": [{"span": "60s", "rate": 100}]}))
        plan = arrivals.plan_arrivals(
            small(
                span="60s",
                load={
                    "phases": [{"span": "60s", "rate": 100}],
                    "surges": [{"at": "20s", "span": "20s", "times": 5, "customer": "south"}],
                },
            )
        )
        north, south = (sum(1 for one in plan if one.customer == number and 20e6 <= one.at < 40e6) for number in (0, 1))
        self.assertAlmostEqual(south / north, 5.0, delta=0.6)
        self.assertAlmostEqual(north, sum(1 for one in calm if one.customer == 0 and 20e6 <= one.at < 40e6), delta=120)

    def test_a_days_curve_is_straight_between_its_figures(self) -> None:
        plan = arrivals.plan_arrivals(small(span="40s", load={"phases": [], "day": [0, 200, 0]}))
        self.assertAlmostEqual(len(plan), 4000, delta=200)
        self.assertAlmostEqual(sum(1 for one in plan if one.at < 10e6), 500, delta=80)


class Traces(unittest.TestCase):
    ACCESS = (
        '10.0.0.1 - north [10/Oct/2026:13:55:36 +0700] "GET /look/7?x=1 HTTP/1.1" 200 2326 "-" "agent"\n'
        '10.0.0.2 - - [10/Oct/2026:13:55:36 +0700] "POST /book HTTP/1.1" 503 12\n'
        '10.0.0.1 - south [10/Oct/2026:13:55:38 +0700] "GET /look HTTP/1.1" 200 -\n'
    )

    def planned(self, text: str, form: str, **changes: object) -> list[arrivals.Arrival]:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "trace").write_text(text)
            of = small(load={"phases": [], "trace": {"file": "trace", "form": form, **changes}})
            of.folder = folder
            return traces.plan_of(of)

    def test_each_form_is_read(self) -> None:
        plan = self.planned(self.ACCESS, "access")
        self.assertEqual(
            [(one.at, one.use, one.customer) for one in plan if one.order != 1],
            [(0, 0, 0), (2_000_000, 0, 1)],
        )
        self.assertEqual(plan[1].use, 1)
        plan = self.planned(
            '{"time": 5.25, "use_case": "pay", "customer": "south", "work": 12.5}\n\n{"time": 5}\n', "json"
        )
        self.assertEqual(plan[1][:4], (250_000, 2, 1, 12_500))
        plan = self.planned(
            "when,use_case,customer\n2026-10-10T13:55:36,look,north\n2026-10-10T13:55:37.5,book,nobody\n",
            "csv",
            columns={"time": "when"},
            speed=3,
        )
        self.assertEqual([one[:3] for one in plan], [(0, 0, 0), (500_000, 1, -1)])

    def test_a_burst_denser_than_the_clock_keeps_every_ticket_and_its_order(self) -> None:
        lines = [json.dumps({"time": 7, "work": number, "use_case": "look"}) for number in range(3000)]
        plan = self.planned("\n".join(lines), "json", speed=1000)
        self.assertEqual([one.work for one in plan], [1000 * number for number in range(3000)])
        self.assertEqual({one.at for one in plan}, {0})

    def test_what_is_wrong_is_said_with_its_line(self) -> None:
        for text, form, said_so in (
            ("{}\n", "json", "line 1: has no time"),
            ('{"time": 1}\nnone\n', "json", "line 2"),
            ("[1]", "json", "line 1: is no object"),
            ('{"time": "soon"}', "json", "neither seconds nor ISO"),
            ('{"time": 1, "work": "nan"}', "json", "no number of milliseconds"),
            ('{"time": 1, "use_case": "fly"}', "json", "fly"),
            ("a,b\n1,2\n", "csv", "no column time"),
            ("time,work\n1,much\n", "csv", "line 2: work 'much'"),
            ("what?\n", "access", "line 1: is not in the common log format"),
            ("", "json", "holds no record"),
            (self.ACCESS.replace("Oct", "Okt"), "access", "line 1: time"),
        ):
            with self.subTest(text=text), self.assertRaisesRegex(ScriptError, said_so):
                self.planned(text, form)


class Troubles(TraceTestCase):
    def test_what_strikes_whom_and_who_stands_where(self) -> None:
        of = small(
            span="20s",
            faults=[
                {"what": "freeze", "at": "1s", "span": "2s", "flap": "500ms", "count": 1},
                {"what": "restart", "at": "2s", "tier": "desk", "count": 2, "apart": "3s"},
                {"what": "kill", "at": "3s", "names": ["desk-4"]},
                {"what": "kill", "at": "4s", "names": ["desk-4"], "back": "1s"},
                {"what": "new-ids", "at": "9s", "count": 1},
                {"what": "drain", "at": "6s", "span": "1s", "names": ["desk-3"]},
                {
                    "what": "slow",
                    "at": "10s",
                    "span": "1s",
                    "every": "4s",
                    "times": 2,
                    "part": 0.5,
                    "by": 2.5,
                },
            ],
            chances=[{"every": "6s", "of": ["errors", "lost"], "part": 0.3}],
        )
        line = fault_schedule.timeline(of, FleetPlan(of, 16))
        self.lines = [
            f"{said(one.at)} to {said(one.until)}: {one.what} {one.targets} by {one.by:.2f}" for one in line.strikes
        ]
        self.lines += [
            f"{one.id} born {one.born} drains {one.drains} again {one.again} ends {one.ends}" for one in line.lives
        ]
        self.compare_trace("rehearsal_troubles")

    def test_weather_is_all_that_acts_together(self) -> None:
        strikes = [
            fault_schedule.Strike(0, 10, "slow", (1,), 2.0, None),
            fault_schedule.Strike(5, 10, "slow", (1, 2), 3.0, None),
            fault_schedule.Strike(0, 10, "errors", (1,), 1.0, "look"),
            fault_schedule.Strike(0, 10, "reset", (1,), 1.0, None),
            fault_schedule.Strike(4, 6, "freeze", (2,), 1.0, None),
        ]
        self.assertEqual(active_faults.faults_at(strikes, 1, 6).slower, 6.0)
        self.assertEqual([one[0] for one in active_faults.faults_at(strikes, 1, 0).spoils], ["errors", "reset"])
        self.assertEqual(
            (active_faults.faults_at(strikes, 2, 5).frozen, active_faults.faults_at(strikes, 2, 6).frozen),
            (True, False),
        )
        self.assertEqual(active_faults.transition_times(strikes, 2), [4, 5, 6, 10])

    def test_the_list_is_told_late_and_in_order_and_goes_back(self) -> None:
        of = small(
            span="20s",
            discovery={"notice": "100ms", "silent": "2s"},
            faults=[
                {"what": "kill", "at": "1s", "back": "500ms", "names": ["desk-1"]},
                {"what": "drain", "at": "4s", "span": "1s", "names": ["desk-2"]},
                {"what": "discovery-late", "at": "4s", "span": "3s"},
                {"what": "discovery-down", "at": "8s", "span": "1s"},
                {"what": "discovery-back", "at": "10s", "span": "2s"},
            ],
        )
        line = fault_schedule.timeline(of, FleetPlan(of, 16))
        roster = EndpointHistory(of, FleetPlan(of, 16), line)
        self.lines, at = [], -1
        while at is not None:
            version = roster.version(at)
            whole, entries = roster.entries(0, version, version - 1)
            self.lines.append(
                f"{said(at)}: {version}{' down' if roster.down(at) else ''} "
                + ", ".join(f"{one.id} {one.state}" for one in entries)
            )
            at = roster.next_change(at)
        self.lines.append(f"one that knows a later version is told all: {roster.entries(0, 4, 9)[0]}")
        self.compare_trace("rehearsal_roster")

    def test_watches_that_were_open_fall_silent_for_good(self) -> None:
        of = small(span="20s", faults=[{"what": "watches-silent", "at": "3s"}])
        line = fault_schedule.timeline(of, FleetPlan(of, 16))
        roster = EndpointHistory(of, FleetPlan(of, 16), line)
        self.assertEqual(3_000_000, roster.next_change(-1))
        self.assertFalse(roster.fell_silent(-1, 2_999_999))
        self.assertTrue(roster.fell_silent(-1, 3_000_000))
        self.assertTrue(roster.fell_silent(2_000_000, 19_000_000))
        self.assertFalse(roster.fell_silent(3_000_000, 19_000_000))


class Files(unittest.TestCase):
    """Each is refused in one line that names the key."""

    BROKEN = (
        ({"seeed": 1}, "seeed: not known here; did you mean seed"),
        ({"span": "4"}, "span: '4' is not a duration"),
        ({"span": "0s"}, "span: is not from"),
        ({"title": 7}, "title: expected `str`"),
        ({"warm_up": "5s"}, "warm_up"),
        ({"processes": 0}, "processes: is not from 1"),
        ({"use_cases": []}, "use_cases: there is none"),
        ({"tiers": []}, "tiers: there is none"),
        ({"customers": [{"name": "a"}, {"name": "a"}]}, "customers: a stands twice"),
        ({"customers": [{"name": "a b"}]}, "customers: 'a b' is no name"),
        (
            {"use_cases": [{"name": "x", "work": {"mean": 0}, "promised": "2s", "outer": "1s"}]},
            r"use_cases\[0\].promised",
        ),
        (
            {"use_cases": [{"name": "x", "work": {"meen": 0}, "promised": "1s", "outer": "1s"}]},
            r"use_cases\[0\].work.meen.*mean",
        ),
        (
            {
                "use_cases": [
                    {
                        "name": "x",
                        "work": {"mean": 0},
                        "promised": "1s",
                        "outer": "1s",
                        "repeat": "referenced",
                    }
                ]
            },
            r"use_cases\[0\].remembered: missing",
        ),
        (
            {"use_cases": [{"name": "x", "work": {"mean": 0}, "promised": "1s", "outer": "1s", "body": 9}]},
            "GET without one",
        ),
        ({"tiers": [{"name": "t", "kinds": []}]}, r"tiers\[0\].kinds: there is none"),
        (
            {"tiers": [{"name": "t", "calls": 2, "kinds": [{"name": "k", "count": 1}]}]},
            r"tiers\[0\].calls: the last",
        ),
        (
            {
                "tiers": [
                    {"name": "t", "kinds": [{"name": "k", "count": 1}]},
                    {"name": "u", "kinds": [{"name": "k", "count": 1}]},
                ]
            },
            r"tiers\[0\].calls: missing",
        ),
        ({"tiers": [{"name": "t", "kinds": [{"name": "k", "count": 9999}]}]}, "9999 backends are over"),
        (
            {"tiers": [{"name": "t", "kinds": [{"name": "k", "count": 1, "cold_from": 0.3}]}]},
            "warm_for: missing",
        ),
        (
            {"tiers": [{"name": "t", "kinds": [{"name": "k", "count": 1, "overload": {"at": 1}}]}]},
            "overload.after: missing",
        ),
        ({"load": {"phases": []}}, "load: needs exactly one"),
        ({"load": {"users": 3}}, "load: needs exactly one"),
        ({"load": {"phases": [{"span": "1s", "rate": -1}]}}, r"load.phases\[0\].rate"),
        ({"load": {"retries": 99}}, "load.retries"),
        ({"load": {"patience": 0}}, "load.patience"),
        (
            {"load": {"surges": [{"at": "1s", "span": "1s", "times": 2, "customer": "nort"}]}},
            r"load.surges\[0\].customer: there is no nort; did you mean north",
        ),
        ({"rules": {"most_attempts": 4}}, "rules.most_attempts: is not from 1 to 3"),
        ({"faults": [{"what": "frieze", "at": "1s"}]}, r"faults\[0\].what: invalid enum"),
        ({"faults": [{"what": "freeze", "at": "1s"}]}, r"faults\[0\].span: missing"),
        ({"faults": [{"what": "freeze", "at": "9s", "span": "1s"}]}, r"faults\[0\].at: is after the end"),
        (
            {"faults": [{"what": "kill", "at": "1s", "count": 1, "part": 0.5}]},
            r"faults\[0\].count: stands beside part",
        ),
        ({"faults": [{"what": "slow", "at": "1s", "span": "1s", "by": 0.5}]}, r"faults\[0\].by: is under 1"),
        ({"faults": [{"what": "kill", "at": "1s", "flap": "1s"}]}, r"faults\[0\].flap: kill cannot flap"),
        (
            {"faults": [{"what": "freeze", "at": "1s", "span": "1s", "tier": "dusk"}]},
            r"faults\[0\].tier: there is no dusk",
        ),
        ({"chances": [{"every": "1s", "of": []}]}, r"chances\[0\].of: names none"),
        (
            {
                "processes": 2,
                "use_cases": [
                    {
                        "name": "x",
                        "work": {"mean": 0},
                        "promised": "1s",
                        "outer": "1s",
                        "scope": "all",
                        "repeat": "referenced",
                        "remembered": "1s",
                    }
                ],
            },
            r"use_cases\[0\].scope",
        ),
    )

    def test_broken_scripts(self) -> None:
        for change, words in self.BROKEN:
            with self.subTest(change=change), self.assertRaisesRegex(ScriptError, words) as caught:
                script.build_script(raw(**change))
            self.assertNotIn("\n", str(caught.exception))

    def test_a_key_under_its_former_name_is_read(self) -> None:
        self.assertEqual(2, script.build_script(raw(rules={"most_transmissions": 2})).rules.most_attempts)
        with self.assertRaisesRegex(ScriptError, "rules.most_transmissions: not known here"):
            script.build_script(raw(rules={"most_transmissions": 2, "most_attempts": 2}))

    def test_broken_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x.toml"
            for text, words in (
                ("a = ", "x.toml: is not TOML"),
                ('like = "x.toml"', "like: comes back"),
                ("like = 3", "like: is no name"),
                ('like = "y.toml"', "y.toml: No such file"),
                ("\xff", "is not TOML"),
            ):
                path.write_text(text, encoding="latin-1")
                with self.subTest(text=text), self.assertRaisesRegex(ScriptError, words):
                    script.read(path)

    def test_an_experiments_file(self) -> None:
        base = {
            "title": "t",
            "rehearsals": [str(EXAMPLES / "calm-day.toml")],
            "seeds": [1, 2],
            "arms": [{"name": "a"}, {"name": "b", "set": {"load.retries": 0}}],
            "vary": {"load.phases.0.rate": [10, 20]},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x.toml"

            def of(**changes: object) -> experiments.Experiment:
                made = script.convert({**base, **changes}, experiments.Experiment)
                made.folder = folder
                experiments._check(made)
                return made

            plays = experiments.planned(of())
            self.assertEqual(len(plays), 8)
            self.assertEqual(plays, experiments.planned(of()))
            # Both arms of a pair one after the other, asked the same but for what the arm sets.
            for one, other in zip(plays[::2], plays[1::2]):
                self.assertEqual(one.pair, other.pair)
                self.assertEqual({one.arm.name, other.arm.name}, {"a", "b"})
                self.assertEqual(arrivals.plan_arrivals(one.script), arrivals.plan_arrivals(other.script))
            self.assertEqual({play.script.load.retries for play in plays if play.arm.name == "b"}, {0})
            for change, words in (
                ({"arms": [{"name": "a"}, {"name": "a"}]}, "a stands twice"),
                ({"seeds": []}, "seeds"),
                ({"arms": [{"name": "a", "build": "no"}]}, "no is no checkout"),
                ({"measures": ["luck"]}, r"measures\[0\]: luck is none of"),
                ({"vary": {"load.fases.0.rate": [1]}}, "vary.load.fases.0.rate: the script has no"),
                ({"vary": {"seed": []}}, "vary.seed: has no values"),
            ):
                with self.subTest(change=change), self.assertRaisesRegex(ScriptError, words):
                    experiments.planned(of(**change))
            self.assertFalse(path.exists())

    def test_spans(self) -> None:
        self.assertEqual(
            [span(text) for text in ("250ms", "1.5s", "2m", "7us", 0)],
            [250_000, 1_500_000, 120_000_000, 7, 0],
        )
        for text in ("1", 1, "1 d", "-1s", "1e3s", True, "25h", None):
            with self.subTest(text=text), self.assertRaises(ValueError):
                span(text)
        self.assertEqual([said(us) for us in (7, 1500, 2_500_000)], ["7 us", "1.5 ms", "2.5 s"])


if __name__ == "__main__":
    unittest.main()
