"""CI passes over the tests that KNOWN-RED.txt names, and over no others: they run all the same, and their verdicts are said.

A line is a test's id, its cause and its issue, with a bar between them; three lines at most. A pytest plugin, given to a run
with `-p tests.known_red`: it judges when all have run, before pytest's own last line, which stays the last.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

MOST = 3
FILE = "KNOWN-RED.txt"


def parse(text: str) -> dict[str, str]:
    """Causes and issues by test. Raises ValueError with one line that says what is wrong."""
    known = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE}:{number}: not a test, its cause and its issue with a bar between them")
        if parts[0] in known:
            raise ValueError(f"{FILE}:{number}: {parts[0]} stands there twice")
        known[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(known) > MOST:
        raise ValueError(f"{FILE}: {len(known)} tests, {MOST} at most")
    return known


def judge(known: Iterable[str], passed: set[str], failed: set[str]) -> list[str]:
    """What fails CI beside pytest's own verdict, a line each; empty where only known ones failed."""
    wrong = [f"{FILE}: {test} passes now: take its line out" for test in known if test in passed - failed]
    wrong += [f"{FILE}: there is no test {test} in this run" for test in known if test not in passed | failed]
    return wrong + [f"failed: {test}" for test in sorted(failed - set(known))]


class KnownRed:
    def __init__(self, known: dict[str, str]) -> None:
        self.known = known
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.other = 0  # what is no test's, as a file that can't be imported

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        self.other += report.failed

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        self.wrong = judge(self.known, self.passed, self.failed)
        if self.wrong:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED
        elif exitstatus == pytest.ExitCode.TESTS_FAILED and self.failed and not self.other:
            session.exitstatus = pytest.ExitCode.OK

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for test, why in self.known.items():
            how = "failed" if test in self.failed else "passed" if test in self.passed else "did not run"
            terminalreporter.write_line(f"known red: {test}: {how}: {why}")
        for line in self.wrong:
            terminalreporter.write_line(line)


def pytest_configure(config: pytest.Config) -> None:
    path = Path(config.rootpath, FILE)
    if hasattr(config, "workerinput") or not path.exists():
        return  # workers run, and the run's own process judges
    try:
        known = parse(path.read_text())
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.pluginmanager.register(KnownRed(known))
