"""A pytest plugin that lets `make test` and CI pass although the known failing tests listed in KNOWN-RED.txt fail.

The listed tests still run, and their outcomes are printed. The failure of any other test fails the run. Each line of the file
is one entry: a test id, the command and the seed that show the failure, what was seen, and the number of the open issue,
separated by "|"; the file has at most eight entries. An entry may also name a case that is no test of the suite, such as a
script or a bench command: it is printed as not run. The plugin is loaded with `-p tests.known_red`. It evaluates the run after
the last test and prints before pytest's summary line, which stays the last.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import pytest

MAX_KNOWN_RED = 8
FILE = "KNOWN-RED.txt"
# What separates a file from a test in a test id; a name without it is a case that is no test of the suite.
TEST_ID_SEPARATOR = "::"


class Entry(NamedTuple):
    """One known failure."""

    name: str  # a test id, or the name of a case that is no test of the suite
    command: str  # the command that shows it, with its seed
    seen: str
    issue: int

    @property
    def is_test(self) -> bool:
        return TEST_ID_SEPARATOR in self.name

    def describe(self, outcome: str) -> str:
        """The line that is printed of it."""
        return f"known red: {self.name}: {outcome}: {self.seen} (issue {self.issue}; {self.command})"


def parse(text: str) -> list[Entry]:
    """Returns the entries. Raises ValueError with a one-line message if the text is invalid."""
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        entry = _parse_entry(f"{FILE}:{number}", line)
        if any(entry.name == earlier.name for earlier in entries):
            raise ValueError(f"{FILE}:{number}: {entry.name} stands there twice")
        entries.append(entry)
    if len(entries) > MAX_KNOWN_RED:
        raise ValueError(f"{FILE}: {len(entries)} entries, {MAX_KNOWN_RED} at most")
    return entries


def _parse_entry(place: str, line: str) -> Entry:
    """Returns the entry of one line. Raises ValueError with a message that begins with `place`."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(Entry._fields):
        raise ValueError(
            f"{place}: not a test, its command and seed, what was seen and its issue with a bar between them"
        )
    name, command, seen, issue = fields
    if not name or not command or not seen:
        raise ValueError(f"{place}: the test, its command and seed, or what was seen is empty")
    if not issue:
        raise ValueError(f"{place}: {name} has no issue")
    if not issue.isdecimal():
        raise ValueError(f"{place}: the issue of {name} is not the number of an issue: {issue}")
    return Entry(name, command, seen, int(issue))


def judge(known: Iterable[str], passed: set[str], failed: set[str]) -> list[str]:
    """Returns the reasons to fail the run, one line each, given the ids of the known failing tests. The list is empty if
    only these failed.

    A listed test that passes, or that is missing from the run, is also a reason, so that the file stays up to date.
    """
    problems = [f"{FILE}: {test} passes now: take its line out" for test in known if test in passed - failed]
    problems += [f"{FILE}: there is no test {test} in this run" for test in known if test not in passed | failed]
    return problems + [f"failed: {test}" for test in sorted(failed - set(known))]


class KnownRed:
    """Records the outcomes of a run and sets its exit status by `judge`."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.collection_errors = 0  # such as a test file that can't be imported

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.passed.add(report.nodeid)

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        self.collection_errors += report.failed

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        tests = [entry.name for entry in self.entries if entry.is_test]
        self.problems = judge(tests, self.passed, self.failed)
        if self.problems:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED
        elif exitstatus == pytest.ExitCode.TESTS_FAILED and self.failed and not self.collection_errors:
            session.exitstatus = pytest.ExitCode.OK

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for entry in self.entries:
            terminalreporter.write_line(entry.describe(self._outcome_of(entry)))
        for line in self.problems:
            terminalreporter.write_line(line)

    def _outcome_of(self, entry: Entry) -> str:
        """How the entry fared in this run."""
        if not entry.is_test:
            return "no test of the suite, not run"
        if entry.name in self.failed:
            return "failed"
        return "passed" if entry.name in self.passed else "did not run"


def pytest_configure(config: pytest.Config) -> None:
    path = Path(config.rootpath, FILE)
    if hasattr(config, "workerinput") or not path.exists():
        return  # a pytest-xdist worker only runs tests; the controller evaluates the run
    try:
        entries = parse(path.read_text())
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.pluginmanager.register(KnownRed(entries))
