"""What a rehearsal computes before it starts: arrivals, traces, faults, the endpoint history, and errors in files."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from pepperusher.rehearsal import arrivals, experiments, script, traces, fault_schedule, active_faults
from pepperusher.rehearsal.fleet_plan import FleetPlan
from pepperusher.rehearsal.endpoint_history import EndpointHistory
from pepperusher.rehearsal.script import ScriptError
from pepperusher.durations import format_duration, span

from tests.rehearsal_scene import raw, small
from tests.scene import TraceTestCase

EXAMPLES = Path(__file__).parent.parent / "examples" / "rehearsals"


class Arrivals(unittest.TestCase):
    def test_the_same_seed_gives_the_same_plan_to_the_byte(self) -> None:
        """Compares the digests of arrivals and faults with recorded ones, so that a release that changes a plan is noticed."""
        digests = {}
        for path in sorted(EXAMPLES.glob("*.toml")):
            scenario = script.read(path)
            schedule = fault_schedule.timeline(scenario, FleetPlan(scenario, 16))
            decoded = script.decode(script.encode(scenario))
            self.assertEqual(arrivals.plan_arrivals(scenario), arrivals.plan_arrivals(decoded))
            self.assertEqual(schedule, fault_schedule.timeline(decoded, FleetPlan(decoded, 99)))
            digests[path.stem] = (
                f"{arrivals.digest(arrivals.plan_arrivals(scenario))} {fault_schedule.digest(schedule)}"
            )
        expected = Path(__file__).parent / "traces" / "rehearsal_plans.json"
        self.assertEqual(digests, json.loads(expected.read_text()))

    def test_another_seed_gives_another(self) -> None:
        self.assertNotEqual(
            arrivals.plan_arrivals(small(load={"phases": [{"span": "4s", "rate": 60}]})),
            arrivals.plan_arrivals(small(seed=6, load={"phases": [{"span": "4s", "rate": 60}]})),
        )

    def test_even_arrivals_lie_where_the_integral_of_the_rate_has_them(self) -> None:
        """With a rate from 0 to 100 per second over 4 s, the n-th arrival (n = 0.5, 1.5, ...) is due at sqrt(2 n / 25) s."""
        plan = arrivals.plan_arrivals(
            small(load={"phases": [{"span": "4s", "rate": 0, "to": 100, "arrivals": "even"}]})
        )
        self.assertEqual(len(plan), 200)
        for number in (0, 1, 50, 199):
            self.assertAlmostEqual(plan[number].at / 1e6, (2 * (number + 0.5) / 25) ** 0.5, places=5)

    def test_poisson_arrivals_come_as_often_as_told_and_unevenly(self) -> None:
        plan = arrivals.plan_arrivals(small(span="100s", load={"phases": [{"span": "100s", "rate": 100}]}))
        self.assertAlmostEqual(len(plan), 10_000, delta=400)
        gaps = [second.at - first.at for first, second in zip(plan, plan[1:])]
        mean = sum(gaps) / len(gaps)
        spread = (sum((gap - mean) ** 2 for gap in gaps) / len(gaps)) ** 0.5
        self.assertAlmostEqual(spread / mean, 1.0, delta=0.05)

    def test_bursts_share_an_instant(self) -> None:
        phases = [{"span": "4s", "rate": 100, "arrivals": "bursts", "burst": 20}]
        plan = arrivals.plan_arrivals(small(load={"phases": phases}))
        self.assertEqual(len(plan) % 20, 0)
        self.assertEqual(len({arrival.at for arrival in plan}), len(plan) // 20)

    def test_a_surge_adds_its_customer_and_takes_from_nobody(self) -> None:
        plan_without_surge = arrivals.plan_arrivals(small(span="60s", load={"phases": [{"span": "60s", "rate": 100}]}))
        plan = arrivals.plan_arrivals(
            small(
                span="60s",
                load={
                    "phases": [{"span": "60s", "rate": 100}],
                    "surges": [{"at": "20s", "span": "20s", "times": 5, "customer": "south"}],
                },
            )
        )
        north, south = (
            sum(1 for arrival in plan if arrival.customer == number and 20e6 <= arrival.at < 40e6) for number in (0, 1)
        )
        self.assertAlmostEqual(south / north, 5.0, delta=0.6)
        self.assertAlmostEqual(
            north,
            sum(1 for arrival in plan_without_surge if arrival.customer == 0 and 20e6 <= arrival.at < 40e6),
            delta=120,
        )

    def test_a_days_curve_is_straight_between_its_figures(self) -> None:
        plan = arrivals.plan_arrivals(small(span="40s", load={"phases": [], "day": [0, 200, 0]}))
        self.assertAlmostEqual(len(plan), 4000, delta=200)
        self.assertAlmostEqual(sum(1 for arrival in plan if arrival.at < 10e6), 500, delta=80)


class Traces(unittest.TestCase):
    ACCESS = (
        '10.0.0.1 - north [10/Oct/2026:13:55:36 +0700] "GET /look/7?x=1 HTTP/1.1" 200 2326 "-" "agent"\n'
        '10.0.0.2 - - [10/Oct/2026:13:55:36 +0700] "POST /book HTTP/1.1" 503 12\n'
        '10.0.0.1 - south [10/Oct/2026:13:55:38 +0700] "GET /look HTTP/1.1" 200 -\n'
    )

    def plan_of_trace(self, text: str, form: str, **changes: object) -> list[arrivals.Arrival]:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "trace").write_text(text)
            scenario = small(load={"phases": [], "trace": {"file": "trace", "form": form, **changes}})
            scenario.folder = folder
            return traces.plan_of(scenario)

    def test_each_form_is_read(self) -> None:
        plan = self.plan_of_trace(self.ACCESS, "access")
        self.assertEqual(
            [(arrival.at, arrival.use, arrival.customer) for arrival in plan if arrival.order != 1],
            [(0, 0, 0), (2_000_000, 0, 1)],
        )
        self.assertEqual(plan[1].use, 1)
        plan = self.plan_of_trace(
            '{"time": 5.25, "use_case": "pay", "customer": "south", "work": 12.5}\n\n{"time": 5}\n', "json"
        )
        self.assertEqual(plan[1][:4], (250_000, 2, 1, 12_500))
        plan = self.plan_of_trace(
            "when,use_case,customer\n2026-10-10T13:55:36,look,north\n2026-10-10T13:55:37.5,book,nobody\n",
            "csv",
            columns={"time": "when"},
            speed=3,
        )
        self.assertEqual([arrival[:3] for arrival in plan], [(0, 0, 0), (500_000, 1, -1)])

    def test_a_burst_denser_than_the_clock_keeps_every_ticket_and_its_order(self) -> None:
        lines = [json.dumps({"time": 7, "work": number, "use_case": "look"}) for number in range(3000)]
        plan = self.plan_of_trace("\n".join(lines), "json", speed=1000)
        self.assertEqual([arrival.work for arrival in plan], [1000 * number for number in range(3000)])
        self.assertEqual({arrival.at for arrival in plan}, {0})

    def test_what_is_wrong_is_said_with_its_line(self) -> None:
        for text, form, message in (
            ("{}\n", "json", "line 1: has no time"),
            ('{"time": 1}\nnone\n', "json", "line 2"),
            ("[1]", "json", "line 1: is not an object"),
            ('{"time": "soon"}', "json", "neither seconds nor ISO"),
            ('{"time": 1, "work": "nan"}', "json", "not a number of milliseconds"),
            ('{"time": 1, "use_case": "fly"}', "json", "fly"),
            ("a,b\n1,2\n", "csv", "no column time"),
            ("time,work\n1,much\n", "csv", "line 2: work 'much'"),
            ("what?\n", "access", "line 1: is not in the common log format"),
            ("", "json", "contains no records"),
            (self.ACCESS.replace("Oct", "Okt"), "access", "line 1: time"),
        ):
            with self.subTest(text=text), self.assertRaisesRegex(ScriptError, message):
                self.plan_of_trace(text, form)


class Troubles(TraceTestCase):
    def test_what_strikes_whom_and_who_stands_where(self) -> None:
        scenario = small(
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
        schedule = fault_schedule.timeline(scenario, FleetPlan(scenario, 16))
        self.lines = [
            f"{format_duration(one.at)} to {format_duration(one.until)}: {one.what} {one.targets} by {one.by:.2f}"
            for one in schedule.strikes
        ]
        self.lines += [
            f"{one.id} born {one.born} drains {one.drains} again {one.again} ends {one.ends}" for one in schedule.lives
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
        self.assertEqual([fault[0] for fault in active_faults.faults_at(strikes, 1, 0).spoils], ["errors", "reset"])
        self.assertEqual(
            (active_faults.faults_at(strikes, 2, 5).frozen, active_faults.faults_at(strikes, 2, 6).frozen),
            (True, False),
        )
        self.assertEqual(active_faults.transition_times(strikes, 2), [4, 5, 6, 10])

    def test_the_list_is_told_late_and_in_order_and_goes_back(self) -> None:
        scenario = small(
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
        schedule = fault_schedule.timeline(scenario, FleetPlan(scenario, 16))
        history = EndpointHistory(scenario, FleetPlan(scenario, 16), schedule)
        self.lines, at = [], -1
        while at is not None:
            version = history.version(at)
            is_full, entries = history.entries(0, version, version - 1)
            self.lines.append(
                f"{format_duration(at)}: {version}{' down' if history.down(at) else ''} "
                + ", ".join(f"{entry.id} {entry.state}" for entry in entries)
            )
            at = history.next_change(at)
        self.lines.append(f"a client with a later version gets a full list: {history.entries(0, 4, 9)[0]}")
        self.compare_trace("rehearsal_roster")

    def test_watches_that_were_open_fall_silent_for_good(self) -> None:
        scenario = small(span="20s", faults=[{"what": "watches-silent", "at": "3s"}])
        schedule = fault_schedule.timeline(scenario, FleetPlan(scenario, 16))
        history = EndpointHistory(scenario, FleetPlan(scenario, 16), schedule)
        self.assertEqual(3_000_000, history.next_change(-1))
        self.assertFalse(history.fell_silent(-1, 2_999_999))
        self.assertTrue(history.fell_silent(-1, 3_000_000))
        self.assertTrue(history.fell_silent(2_000_000, 19_000_000))
        self.assertFalse(history.fell_silent(3_000_000, 19_000_000))


class Files(unittest.TestCase):
    """Each invalid file is rejected with one line that names the key."""

    BROKEN = (
        ({"seeed": 1}, "seeed: not known here; did you mean seed"),
        ({"span": "4"}, "span: '4' is not a duration"),
        ({"span": "0s"}, "span: is not from"),
        ({"title": 7}, "title: expected `str`"),
        ({"warm_up": "5s"}, "warm_up"),
        ({"processes": 0}, "processes: is not from 1"),
        ({"use_cases": []}, "use_cases: is empty"),
        ({"tiers": []}, "tiers: is empty"),
        ({"customers": [{"name": "a"}, {"name": "a"}]}, "customers: a is listed twice"),
        ({"customers": [{"name": "a b"}]}, "customers: 'a b' is not a valid name"),
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
            "a GET, which has no body",
        ),
        ({"tiers": [{"name": "t", "kinds": []}]}, r"tiers\[0\].kinds: is empty"),
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
            r"faults\[0\].count: cannot be combined with part",
        ),
        ({"faults": [{"what": "slow", "at": "1s", "span": "1s", "by": 0.5}]}, r"faults\[0\].by: is under 1"),
        ({"faults": [{"what": "kill", "at": "1s", "flap": "1s"}]}, r"faults\[0\].flap: kill cannot flap"),
        (
            {"faults": [{"what": "freeze", "at": "1s", "span": "1s", "tier": "dusk"}]},
            r"faults\[0\].tier: there is no dusk",
        ),
        ({"chances": [{"every": "1s", "of": []}]}, r"chances\[0\].of: is empty"),
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
        for change, message in self.BROKEN:
            with self.subTest(change=change), self.assertRaisesRegex(ScriptError, message) as caught:
                script.build_script(raw(**change))
            self.assertNotIn("\n", str(caught.exception))

    def test_a_key_under_its_former_name_is_read(self) -> None:
        self.assertEqual(2, script.build_script(raw(rules={"most_transmissions": 2})).rules.most_attempts)
        with self.assertRaisesRegex(ScriptError, "rules.most_transmissions: not known here"):
            script.build_script(raw(rules={"most_transmissions": 2, "most_attempts": 2}))

    def test_broken_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x.toml"
            for text, message in (
                ("a = ", "x.toml: is not TOML"),
                ('like = "x.toml"', "like: circular reference"),
                ("like = 3", "like: is not a file name"),
                ('like = "y.toml"', "y.toml: No such file"),
                ("\xff", "is not TOML"),
            ):
                path.write_text(text, encoding="latin-1")
                with self.subTest(text=text), self.assertRaisesRegex(ScriptError, message):
                    script.read(path)

    def test_an_experiments_file(self) -> None:
        definition = {
            "title": "t",
            "rehearsals": [str(EXAMPLES / "calm-day.toml")],
            "seeds": [1, 2],
            "arms": [{"name": "a"}, {"name": "b", "set": {"load.retries": 0}}],
            "vary": {"load.phases.0.rate": [10, 20]},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "x.toml"

            def build_experiment(**changes: object) -> experiments.Experiment:
                experiment = script.convert({**definition, **changes}, experiments.Experiment)
                experiment.folder = folder
                experiments._check(experiment)
                return experiment

            runs = experiments.plan_runs(build_experiment())
            self.assertEqual(len(runs), 8)
            self.assertEqual(runs, experiments.plan_runs(build_experiment()))
            # The arms of a pair run one after another and differ only in what the arm sets.
            for run, other_run in zip(runs[::2], runs[1::2]):
                self.assertEqual(run.pair, other_run.pair)
                self.assertEqual({run.arm.name, other_run.arm.name}, {"a", "b"})
                self.assertEqual(arrivals.plan_arrivals(run.script), arrivals.plan_arrivals(other_run.script))
            self.assertEqual({run.script.load.retries for run in runs if run.arm.name == "b"}, {0})
            for change, message in (
                ({"arms": [{"name": "a"}, {"name": "a"}]}, "a is listed twice"),
                ({"seeds": []}, "seeds"),
                ({"arms": [{"name": "a", "build": "no"}]}, "no is not a checkout"),
                ({"measures": ["luck"]}, r"measures\[0\]: luck is not one of"),
                ({"vary": {"load.fases.0.rate": [1]}}, "vary.load.fases.0.rate: the script has no"),
                ({"vary": {"seed": []}}, "vary.seed: has no values"),
            ):
                with self.subTest(change=change), self.assertRaisesRegex(ScriptError, message):
                    experiments.plan_runs(build_experiment(**change))
            self.assertFalse(path.exists())

    def test_spans(self) -> None:
        self.assertEqual(
            [span(text) for text in ("250ms", "1.5s", "2m", "7us", 0)],
            [250_000, 1_500_000, 120_000_000, 7, 0],
        )
        for text in ("1", 1, "1 d", "-1s", "1e3s", True, "25h", None):
            with self.subTest(text=text), self.assertRaises(ValueError):
                span(text)
        self.assertEqual([format_duration(us) for us in (7, 1500, 2_500_000)], ["7 us", "1.5 ms", "2.5 s"])


if __name__ == "__main__":
    unittest.main()
