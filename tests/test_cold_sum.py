"""Tests how many requests thirty proxies together send to a cold backend, in virtual time and with real processes. Each
window of the cold overload rule is checked against the limit N + 2 x root of N + 2."""

from __future__ import annotations

import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pepperusher.policy import Balancer
from pepperusher.rehearsal import cold_backend_sum, run_controller, records, script
from pepperusher.rehearsal.rule_checker import Records

PROXIES = 30


def reading(deployment: str, case: str, seeds: int = 2) -> cold_backend_sum.Reading:
    chosen_deployment = next(entry for entry in cold_backend_sum.DEPLOYMENTS if entry.name == deployment)
    chosen_case = next(entry for entry in cold_backend_sum.CASES if entry.name == case)
    return cold_backend_sum.combine(
        [cold_backend_sum.Model(chosen_deployment, chosen_case, PROXIES, seed).play() for seed in range(seeds)]
    )


class Sum(unittest.TestCase):
    def keeps(self, deployment: str, case: str) -> None:
        figures = reading(deployment, case)
        self.assertGreater(figures.windows, 30, "too few windows for a verdict")
        self.assertEqual(figures.over, 0, f"{case} at {deployment}: {figures}")
        # Below the limit by a margin for random variation: other seeds may come closer to the limit.
        self.assertLess(figures.worst, 0.9, f"{case} at {deployment}: {figures}")

    def test_the_last_one_left_is_not_sent_what_all_others_got(self) -> None:
        """When eleven of twelve backends end, three times as many proxies could send the load of all twelve to the one
        that is still listed."""
        for deployment in ("long-window", "low-multiple", "cold-start"):
            self.keeps(deployment, "single, others lost")

    def test_all_replaced_at_once_with_more_asked_than_all_can_do(self) -> None:
        self.keeps("cold-start", "replaced at once, load 1.3")
        self.keeps("low-multiple", "replaced in 2 s, load 1")

    def test_uneven_told_late_stale_and_restarted_proxies_together(self) -> None:
        """Two proxies get ten times the mean traffic, lists arrive up to 2 s apart, four proxies are stale, eight
        restart, and the load has a burst."""
        for cold_backends in ("single", "most", "all"):
            self.keeps("cold-start", f"{cold_backends}, all troubles")

    def test_every_proxy_started_anew_beside_cold_backends_alone(self) -> None:
        self.keeps("cold-start", "all, every proxy restarted")

    def test_without_the_allowance_it_is_far_over(self) -> None:
        """Without the balancer's limit for cold backends the same cases exceed the limit, so the tests above detect its
        absence."""
        with mock.patch.object(Balancer, "_within_cold_budget", return_value=True):
            for case in ("single, others lost", "replaced at once, load 1.3", "all, every proxy restarted"):
                figures = reading("cold-start", case, seeds=1)
                self.assertGreater(figures.over, 10, f"{case}: {figures}")
                self.assertGreater(figures.worst, 1.5, f"{case}: {figures}")

    def test_the_ramp_is_no_slower_than_it_is_said_to_be(self) -> None:
        """A proxy that sends nothing to cold backends would keep the limit too, so the sent share is checked as well."""
        figures = reading("long-window", "most at once", seeds=4)
        self.assertGreater(figures.first, 0.2, figures)
        self.assertGreater(figures.served, 0.75, figures)


class Processes(unittest.TestCase):
    """Thirty real proxies: two get ten times the mean traffic, endpoint lists arrive up to 400 ms apart, and two proxies
    restart with the initial list. One backend starts cold, then the others fail and start cold together."""

    SCENARIO = {
        "title": "thirty proxies",
        "seed": 5,
        "span": "8s",
        "window": "1s",
        "processes": 1,
        "use_cases": [
            {"name": "look", "work": {"mean": "80ms", "spread": "fixed"}, "promised": "1500ms", "outer": "3s"}
        ],
        "tiers": [
            {
                "name": "desk",
                "cell": 2,
                "proxies": 30,
                "kinds": [{"name": "std", "count": 6, "slots": 40, "queue": 40, "cold_from": 0.2, "warm_for": "16s"}],
            }
        ],
        "discovery": {"notice": "100ms", "spread": "400ms"},
        "rules": {"tip_multiple": 2.5, "tip_for": "1s"},
        "load": {"uneven": 10.0, "phases": [{"span": "8s", "rate": 110}]},
        "faults": [
            {"what": "kill", "at": "4s", "back": "300ms", "names": ["desk-1"]},
            {"what": "proxy-kill", "at": "4s", "back": "1s", "names": ["proxy-7", "proxy-8"]},
            {"what": "kill", "at": "4800ms", "back": "2200ms", "names": [f"desk-{number}" for number in range(2, 7)]},
        ],
    }

    def run_with(self, build: Path | None) -> tuple[cold_backend_sum.Reading, Records]:
        """Runs the scenario. It needs no time limit here: the controller waits no longer than the span of the scenario
        plus its limit for the start of processes."""
        scenario = script.build_script(self.SCENARIO)
        with tempfile.TemporaryDirectory() as spare:
            run_controller.rehearse(scenario, build, Path(spare))
            paths = sorted(Path(spare).glob("*.records"))
            all_records = Records(record for path in paths for record in records.read(path))
        return cold_backend_sum.combine(cold_backend_sum.readings_of_run(scenario, all_records)), all_records

    def test_the_sum_of_thirty_processes_is_within_the_budget(self) -> None:
        figures, all_records = self.run_with(None)
        sent = [sum(attempt.proxy == number for attempt in all_records.client_attempts) for number in range(PROXIES)]
        self.assertGreater(sorted(sent)[-2], 6 * sum(sent) / PROXIES, "traffic is not uneven")
        self.assertGreater(figures.windows, 10, "too few windows for a verdict")
        self.assertEqual(figures.over, 0, figures)
        self.assertLess(figures.worst, 0.9, figures)

    def test_without_the_allowance_they_push_it_over(self) -> None:
        with tempfile.TemporaryDirectory() as spare:
            build = Path(spare)
            shutil.copytree(
                Path(cold_backend_sum.__file__).parents[1],
                build / "pepperusher",
                ignore=shutil.ignore_patterns("__pycache__"),
            )
            with (build / "pepperusher" / "policy.py").open("a") as module:
                module.write("\n\nBalancer._within_cold_budget = lambda self, backend, now: True\n")
            figures, _ = self.run_with(build)
        self.assertGreater(figures.over, 3, figures)
        self.assertGreater(figures.worst, 1.2, figures)
