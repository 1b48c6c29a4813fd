"""The rehearsal commands as users call them, and that `serve` imports none of their modules."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from click.testing import CliRunner

from pepperusher.__main__ import main
from pepperusher.rehearsal import results

from tests.rehearsal_scene import WRONG

SCRIPT = """title = "short"
span = "2s"
[[use_cases]]
name = "look"
work = { mean = "2ms" }
promised = "500ms"
outer = "1s"
[[tiers]]
name = "desk"
kinds = [{ name = "std", count = 2 }]
[load]
phases = [{ span = "2s", rate = 50 }]
"""
EXPERIMENT = """title = "wrong against right"
rehearsals = ["short.toml"]
seeds = [1, 2]
[[arms]]
name = "right"
[[arms]]
name = "wrong"
build = "wrong"
"""


class Commands(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.directory = Path(self.folder.name)
        (self.directory / "short.toml").write_text(SCRIPT)
        (self.directory / "wrong").symlink_to(WRONG)

    def run_command(self, *arguments: str, exit_code: int = 0, **env: str) -> str:
        result = CliRunner().invoke(main, arguments, env=env)
        self.assertEqual(result.exit_code, exit_code, result.output)
        self.assertNotIn("Traceback", result.output)
        return result.output

    def test_rehearse_report_and_the_end_where_a_rule_is_broken(self) -> None:
        script, out, page = (
            str(self.directory / "short.toml"),
            self.directory / "r.rehearsal",
            self.directory / "r.html",
        )
        output = self.run_command("rehearse", script, "--out", str(out), "--report", str(page))
        self.assertRegex(output, r"no ticket lost +kept")
        self.assertIn("<svg", page.read_text())
        self.assertEqual(self.run_command("report", str(out)).splitlines()[:2], output.splitlines()[:2])
        output = self.run_command("rehearse", script, "--build", str(WRONG), exit_code=1, WRONG="invents")
        self.assertRegex(output, r"no ticket lost +BROKEN \d+ times\n +[\d.]+ m?s: w\d+\.0: answered 200 with what no")

    def test_an_experiment_goes_on_where_it_was_stopped(self) -> None:
        (self.directory / "x.toml").write_text(EXPERIMENT)
        out = self.directory / "results"
        output = self.run_command(
            "experiment",
            str(self.directory / "x.toml"),
            "--out",
            str(out),
            "--report",
            str(self.directory / "x.html"),
            exit_code=1,
            WRONG="doubles",
        )
        self.assertEqual(len(re.findall(r"\d of 4 played", output)), 4)
        self.assertRegex(output, r"wrong against right, 2 pairs")
        self.assertIn("4 rehearsals, 2 with a rule broken", output)
        self.assertIn("wrong against right", (self.directory / "x.html").read_text())
        kept = sorted(out.glob("*.rehearsal"))
        self.assertEqual(results.read(kept[-1]).parameters["arm"], "wrong")
        kept[0].unlink()
        output = self.run_command(
            "experiment", str(self.directory / "x.toml"), "--out", str(out), exit_code=1, WRONG="doubles"
        )
        self.assertEqual((output.count(" played:"), output.count(" kept:")), (1, 3))

    def test_the_load_alone_against_a_fleet_alone(self) -> None:
        script = str(self.directory / "short.toml")
        fleet = subprocess.Popen(
            [sys.executable, "-m", "pepperusher", "emulate", script],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        assert fleet.stdout is not None
        try:
            lines = []
            while "processes are ready" not in (line := fleet.stdout.readline()):
                self.assertTrue(line, "the fleet ended")
                lines.append(line)
            proxy = next(line.split()[2] for line in lines if line.startswith("proxy"))
            output = self.run_command("load", script, "--to", proxy)
            self.assertRegex(output, r"(\d+) requests: \1 in time \(100.00%\)")
        finally:
            fleet.send_signal(signal.SIGINT)
            rest, _ = fleet.communicate(timeout=20)
        self.assertIn("ended", rest)
        self.assertEqual(fleet.returncode, 0)

    def test_whatever_ends_a_rehearsal_nothing_of_it_is_left(self) -> None:
        for signal_number, exit_code in ((signal.SIGTERM, 1), (signal.SIGKILL, -signal.SIGKILL)):
            work = self.directory / f"work-{signal_number}"
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "pepperusher",
                    "rehearse",
                    str(self.directory / "short.toml"),
                    "--work",
                    str(work),
                    "--span",
                    "30s",
                ],
                stderr=subprocess.PIPE,
                text=True,
            )
            deadline = time.monotonic() + 20
            while not (work / "load-0.records").exists() or not (work / "p1.log").exists():
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.05)
            self.assertGreaterEqual(len(self.processes_with(str(work))), 3)
            process.send_signal(signal_number)
            _, output = process.communicate(timeout=20)
            self.assertEqual(process.returncode, exit_code, output)
            self.assertNotIn("Traceback", output)
            deadline = time.monotonic() + 5
            while self.processes_with(str(work)):
                self.assertLess(time.monotonic(), deadline, self.processes_with(str(work)))
                time.sleep(0.05)

    @staticmethod
    def processes_with(text: str) -> list[str]:
        """Returns the command lines of processes that contain a text, except rehearse commands themselves."""
        found = []
        for path in Path("/proc").glob("[0-9]*/cmdline"):
            try:
                line = path.read_bytes().replace(b"\0", b" ").decode(errors="replace")
            except OSError:
                continue
            if text in line and "rehearse" not in line.split(text)[0].split():
                found.append(line)
        return found

    def test_what_is_wrong_is_one_line(self) -> None:
        broken = self.directory / "broken.toml"
        broken.write_text(SCRIPT.replace("rate", "rite"))
        for arguments, message in (
            (
                ("rehearse", str(broken)),
                r"broken.toml: load.phases\[0\].rite: not known here; did you mean rate\?",
            ),
            (("rehearse", "none.toml"), "none.toml: No such file"),
            (("experiment", str(broken)), "span: not known here"),
            (("report", str(broken)), "is not a result of a rehearsal"),
            (("rehearse", str(self.directory / "short.toml"), "--span", "soon"), "--span: 'soon'"),
            (("load", str(self.directory / "short.toml"), "--to", "192.0.2.1:80"), "not an address of the loopback"),
            (("load", str(self.directory / "short.toml"), "--to", "here"), "is no address:port"),
        ):
            with self.subTest(words=arguments):
                output = self.run_command(*arguments, exit_code=1)
                self.assertRegex(output, rf"^Error: .*({message}).*\n$")

    def test_a_fleet_that_cannot_stand_says_why(self) -> None:
        with tempfile.TemporaryDirectory() as build:
            (Path(build) / "pepperusher").mkdir()
            (Path(build) / "pepperusher" / "__main__.py").write_text("raise SystemExit('no proxy today')")
            output = self.run_command("rehearse", str(self.directory / "short.toml"), "--build", build, exit_code=1)
        self.assertIn("Error: p1 exited before it was ready: no proxy today", output)

    def test_serve_carries_nothing_of_it(self) -> None:
        code = (
            "import sys, json; import pepperusher.__main__; from pepperusher.net import proxy;"
            "print(json.dumps(sorted(sys.modules)))"
        )
        modules = json.loads(
            subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
        )
        heavy = {"msgspec", "numpy", "hdrh", "matplotlib", "tomllib", "pepperusher.rehearsal"}
        self.assertEqual(heavy & set(modules), set())


if __name__ == "__main__":
    unittest.main()
