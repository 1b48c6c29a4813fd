"""Tests of the plugin that tolerates known failing tests in CI (tests/known_red.py)."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.known_red import FILE, Entry, judge, parse

REPOSITORY = Path(__file__).parent.parent
TESTS = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert 0\n\n\ndef test_worse():\n    assert 0\n"
GOOD, BAD, WORSE = (f"test_sample.py::test_{name}" for name in ("good", "bad", "worse"))


class Lines(unittest.TestCase):
    def test_an_entry_has_four_fields_and_there_are_eight_at_most(self) -> None:
        self.assertEqual(
            [Entry("a::b", "pytest a, seed 7", "slow", 4), Entry("review/1", "sh run.sh", "hangs", 5)],
            parse("\na::b | pytest a, seed 7 | slow | 4\nreview/1 | sh run.sh | hangs | 5\n"),
        )
        self.assertEqual([True, False], [entry.is_test for entry in parse("a::b | c | d | 4\nreview/1 | c | d | 5\n")])
        for text, message in (
            ("a::b | slow\n", f"{FILE}:1: not a test"),
            ("a | b | c\n", f"{FILE}:1: not a test"),
            ("a | b | c | 1\na::b | c | 4\n", f"{FILE}:2: not a test"),
            ("a | b | c | 4 | e\n", f"{FILE}:1: not a test"),
            ("a | b | c | 1\n | b | c | 4\n", f"{FILE}:2: the test, its command and seed, or what was seen is empty"),
            ("a | | c | 4\n", f"{FILE}:1: the test, its command and seed, or what was seen is empty"),
            ("a | b | | 4\n", f"{FILE}:1: the test, its command and seed, or what was seen is empty"),
            ("a | b | c | \n", f"{FILE}:1: a has no issue$"),
            ("a | b | c | issue 4\n", f"{FILE}:1: the issue of a is not the number of an issue: issue 4$"),
            ("a | b | c | 4; review/1: d, issue 5\n", f"{FILE}:1: the issue of a is not the number of an issue: "),
            ("a | b | c | 1\na | d | e | 2\n", f"{FILE}:2: a stands there twice"),
            ("".join(f"{name} | b | c | 1\n" for name in "abcdefghi"), f"{FILE}: 9 entries, 8 at most"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ValueError, f"^{message}"):
                parse(text)

    def test_only_a_known_one_that_fails_is_passed_over(self) -> None:
        self.assertEqual([], judge(["b"], {"a"}, {"b"}))
        self.assertEqual(["failed: c"], judge(["b"], {"a"}, {"b", "c"}))
        self.assertEqual([f"{FILE}: b passes now: take its line out"], judge(["b"], {"b"}, set()))
        self.assertEqual([f"{FILE}: there is no test b in this run"], judge(["b"], {"a"}, set()))
        self.assertEqual([], judge(["b"], {"b"}, {"b"}))  # a test that passes and whose teardown fails counts as failed


class Runs(unittest.TestCase):
    def run_pytest(self, known_red: str | None, *options: str, broken: bool = False) -> tuple[int, list[str]]:
        """Runs pytest on three tests, of which two fail, and returns the exit status and the printed lines.

        `known_red` is the text of KNOWN-RED.txt, `broken` adds a test file that can't be imported.
        """
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "pytest.ini").write_text("[pytest]\n")
            Path(folder, "test_sample.py").write_text(TESTS)
            if broken:
                Path(folder, "test_broken.py").write_text("import nothing_such\n")
            if known_red is not None:
                Path(folder, FILE).write_text(known_red)
            process = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pytest",
                    "-q",
                    "-p",
                    "no:cacheprovider",
                    "-p",
                    "tests.known_red",
                    *options,
                    "--rootdir",
                    folder,
                    "-c",
                    f"{folder}/pytest.ini",
                    folder,
                ],
                cwd=REPOSITORY,
                capture_output=True,
                text=True,
                timeout=100,
            )
            return process.returncode, (process.stdout + process.stderr).strip().splitlines()

    def test_known_ones_are_passed_over_and_said(self) -> None:
        for options in ((), ("-n", "2")):
            status, lines = self.run_pytest(
                f"{BAD} | pytest | no cure yet | 4\n{WORSE} | pytest | nor here | 5\nreview/1 | sh it | hangs | 6\n",
                *options,
            )
            self.assertEqual(0, status, lines)
            self.assertIn(f"known red: {BAD}: failed: no cure yet (issue 4; pytest)", lines)
            self.assertIn("known red: review/1: no test of the suite, not run: hangs (issue 6; sh it)", lines)
            self.assertRegex(lines[-1], "^2 failed, 1 passed in ")

    def test_all_else_fails(self) -> None:
        for known_red, message in (
            (f"{BAD} | pytest | no cure yet | 4\n", f"failed: {WORSE}"),
            (
                f"{BAD} | a | b | 4\n{WORSE} | a | b | 4\n{GOOD} | a | b | 4\n",
                f"{FILE}: {GOOD} passes now: take its line out",
            ),
            (
                f"{BAD} | a | b | 4\n{WORSE} | a | b | 4\ntest_none.py::x | a | b | 4\n",
                f"{FILE}: there is no test test_none.py::x in this run",
            ),
        ):
            status, lines = self.run_pytest(known_red, "-n", "2")
            self.assertEqual(1, status, lines)
            self.assertIn(message, lines)
            self.assertRegex(lines[-1], "^2 failed, 1 passed in ")
        for known_red, message in (
            (f"{BAD}\n", f"{FILE}:1: not a test"),
            (f"{BAD} | a | b |\n", f"{FILE}:1: {BAD} has no issue"),
        ):
            status, lines = self.run_pytest(known_red)
            self.assertEqual((4, 1), (status, sum(message in line for line in lines)), lines)

    def test_without_the_file_pytest_judges_alone(self) -> None:
        self.assertEqual(1, self.run_pytest(None)[0])
        self.assertEqual(0, self.run_pytest(None, "-k", "good")[0])

    def test_no_test_and_no_module_are_no_pass(self) -> None:
        known_red = f"{BAD} | a | b | 4\n{WORSE} | a | b | 4\n"
        for options in ((), ("-n", "2")):
            self.assertNotEqual(0, self.run_pytest(None, "-k", "nothing", *options)[0])
            self.assertNotEqual(0, self.run_pytest("", "-k", "nothing", *options)[0])
            self.assertNotEqual(0, self.run_pytest(known_red, *options, broken=True)[0])
            self.assertNotEqual(
                0, self.run_pytest(known_red, "--continue-on-collection-errors", *options, broken=True)[0]
            )


if __name__ == "__main__":
    unittest.main()
