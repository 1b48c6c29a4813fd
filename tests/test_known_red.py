"""What CI passes over, and what it does not."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.known_red import FILE, judge, parse

HERE = Path(__file__).parent.parent
TESTS = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert 0\n\n\ndef test_worse():\n    assert 0\n"
GOOD, BAD, WORSE = (f"test_sample.py::test_{name}" for name in ("good", "bad", "worse"))


class Lines(unittest.TestCase):
    def test_a_line_has_three_parts_and_there_are_three_at_most(self) -> None:
        self.assertEqual({"a::b": "slow (issue 4)"}, parse("\na::b | slow | issue 4\n"))
        for text, said in (
            ("a::b | slow\n", f"{FILE}:1: not a test"),
            ("a | b | c\na::b | | issue 4\n", f"{FILE}:2: not a test"),
            ("a | b | c | d\n", f"{FILE}:1: not a test"),
            ("a | b | c\na | d | e\n", f"{FILE}:2: a stands there twice"),
            ("".join(f"{name} | b | c\n" for name in "wxyz"), f"{FILE}: 4 tests, 3 at most"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ValueError, f"^{said}"):
                parse(text)

    def test_only_a_known_one_that_fails_is_passed_over(self) -> None:
        self.assertEqual([], judge(["b"], {"a"}, {"b"}))
        self.assertEqual(["failed: c"], judge(["b"], {"a"}, {"b", "c"}))
        self.assertEqual([f"{FILE}: b passes now: take its line out"], judge(["b"], {"b"}, set()))
        self.assertEqual([f"{FILE}: there is no test b in this run"], judge(["b"], {"a"}, set()))
        self.assertEqual([], judge(["b"], {"b"}, {"b"}))  # as where it passes and what it leaves does not


class Runs(unittest.TestCase):
    def run_on(self, red: str | None, *more: str, broken: bool = False) -> tuple[int, list[str]]:
        """Its exit status and what it printed, of a run over three tests of which two fail."""
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "pytest.ini").write_text("[pytest]\n")
            Path(folder, "test_sample.py").write_text(TESTS)
            if broken:
                Path(folder, "test_broken.py").write_text("import nothing_such\n")
            if red is not None:
                Path(folder, FILE).write_text(red)
            done = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pytest",
                    "-q",
                    "-p",
                    "no:cacheprovider",
                    "-p",
                    "tests.known_red",
                    *more,
                    "--rootdir",
                    folder,
                    "-c",
                    f"{folder}/pytest.ini",
                    folder,
                ],
                cwd=HERE,
                capture_output=True,
                text=True,
                timeout=100,
            )
            return done.returncode, (done.stdout + done.stderr).strip().splitlines()

    def test_known_ones_are_passed_over_and_said(self) -> None:
        for more in ((), ("-n", "2")):
            status, lines = self.run_on(f"{BAD} | no cure yet | issue 4\n{WORSE} | nor here | issue 5\n", *more)
            self.assertEqual(0, status, lines)
            self.assertIn(f"known red: {BAD}: failed: no cure yet (issue 4)", lines)
            self.assertRegex(lines[-1], "^2 failed, 1 passed in ")

    def test_all_else_fails(self) -> None:
        for red, said in (
            (f"{BAD} | no cure yet | issue 4\n", f"failed: {WORSE}"),
            (f"{BAD} | a | b\n{WORSE} | a | b\n{GOOD} | a | b\n", f"{FILE}: {GOOD} passes now: take its line out"),
            (
                f"{BAD} | a | b\n{WORSE} | a | b\ntest_none.py::x | a | b\n",
                f"{FILE}: there is no test test_none.py::x in this run",
            ),
        ):
            status, lines = self.run_on(red, "-n", "2")
            self.assertEqual(1, status, lines)
            self.assertIn(said, lines)
            self.assertRegex(lines[-1], "^2 failed, 1 passed in ")
        status, lines = self.run_on(f"{BAD}\n")
        self.assertEqual((4, True), (status, any(f"{FILE}:1: not a test" in line for line in lines)), lines)

    def test_without_the_file_pytest_judges_alone(self) -> None:
        self.assertEqual(1, self.run_on(None)[0])
        self.assertEqual(0, self.run_on(None, "-k", "good")[0])

    def test_no_test_and_no_module_are_no_pass(self) -> None:
        red = f"{BAD} | a | b\n{WORSE} | a | b\n"
        for more in ((), ("-n", "2")):
            self.assertNotEqual(0, self.run_on(None, "-k", "nothing", *more)[0])
            self.assertNotEqual(0, self.run_on("", "-k", "nothing", *more)[0])
            self.assertNotEqual(0, self.run_on(red, *more, broken=True)[0])
            self.assertNotEqual(0, self.run_on(red, "--continue-on-collection-errors", *more, broken=True)[0])


if __name__ == "__main__":
    unittest.main()
