"""Imports recorded tickets from JSON lines, CSV or the Common Log Format and plans their replay.

The plan keeps every ticket and the order of the tickets. A record has a time and optionally a use case, a customer and the
work; missing values are drawn at random from the script's seed. Tickets with equal timestamps are due at the same time, in
the order of the file.
"""

from __future__ import annotations

import csv
import json
import re
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from pepperusher.rehearsal import arrivals
from pepperusher.rehearsal.arrivals import Arrival, Mix, work_of
from pepperusher.rehearsal.script import Script, ScriptError

# Host, identity, user, time, request line, status and size: the Common Log Format of the NCSA server. The Combined Log
# Format has further fields after these, which are ignored.
ACCESS_LINE = re.compile(r'(\S+) (\S+) (\S+) \[([^\]]+)\] "((?:[^"\\]|\\.)*)" (\d{3}) (\S+)')
ACCESS_TIME_FORMAT = "%d/%b/%Y:%H:%M:%S %z"
DEFAULT_COLUMNS = {"time": "time", "use_case": "use_case", "customer": "customer", "work": "work"}
MAX_RECORDS = 10_000_000


class TraceRecord(NamedTuple):
    """One record of a trace; `at` is in seconds on the clock of the trace."""

    at: float
    use_case: str | None
    customer: str | None
    work: int | None


def _parse_time(value: Any) -> float:
    if isinstance(value, bool) or value is None:
        raise ValueError("has no time")
    try:
        at = float(value)
    except (TypeError, ValueError):
        try:
            at = datetime.fromisoformat(str(value)).timestamp()
        except ValueError:
            raise ValueError(f"time {value!r} is neither seconds nor ISO 8601") from None
    if not abs(at) < 1e12:
        raise ValueError(f"time {value!r} is out of range")
    return at


def _parse_record(record: dict[str, Any], columns: dict[str, str]) -> TraceRecord:
    def text(key: str) -> str | None:
        value = record.get(columns[key])
        return None if value in (None, "") else str(value)

    work = text("work")
    try:
        work_us = None if work is None else round(float(work) * 1000)
    except (ValueError, OverflowError):
        raise ValueError(f"work {work!r} is not a number of milliseconds") from None
    if work_us is not None and not 0 <= work_us < 3_600_000_000:
        raise ValueError(f"work {work!r} is out of range")
    return TraceRecord(_parse_time(record.get(columns["time"])), text("use_case"), text("customer"), work_us)


def _read_json(lines: Iterable[str], columns: dict[str, str]) -> Iterator[TraceRecord]:
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            record = json.loads(line)
            if not isinstance(record, dict):
                raise ValueError("is not an object")
            yield _parse_record(record, columns)
        except (ValueError, RecursionError) as error:
            raise ScriptError(f"line {number}: {error}") from None


def _read_csv(lines: Iterable[str], columns: dict[str, str]) -> Iterator[TraceRecord]:
    rows = csv.DictReader(lines, strict=True)
    try:
        if rows.fieldnames is None or columns["time"] not in rows.fieldnames:
            raise ScriptError(f"line 1: no column {columns['time']}")
        for row in rows:
            yield _parse_record(row, columns)
    except (ValueError, csv.Error) as error:
        if isinstance(error, ScriptError):
            raise
        raise ScriptError(f"line {rows.line_num}: {error}") from None


def _read_access_log(lines: Iterable[str], columns: dict[str, str]) -> Iterator[TraceRecord]:
    """Reads an access log: the use case is the first segment of the path, the customer the authenticated user."""
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        match = ACCESS_LINE.match(line)
        if match is None:
            raise ScriptError(f"line {number}: is not in the common log format")
        try:
            at = datetime.strptime(match[4], ACCESS_TIME_FORMAT).timestamp()
        except ValueError:
            raise ScriptError(f"line {number}: time {match[4]!r} is not in the common log format") from None
        request_line = match[5].split(" ")
        path = request_line[1] if len(request_line) > 1 else "/"
        use_case = path.partition("?")[0].lstrip("/").partition("/")[0]
        yield TraceRecord(at, use_case or None, None if match[3] == "-" else match[3], None)


READERS = {"json": _read_json, "csv": _read_csv, "access": _read_access_log}


def read(path: Path, form: str, columns: dict[str, str]) -> list[TraceRecord]:
    """Reads all records of a trace file. Raises ScriptError that names the file and the line."""
    unknown = set(columns) - set(DEFAULT_COLUMNS)
    if unknown:
        raise ScriptError(f"load.trace.columns.{min(unknown)}: unknown column; known are {', '.join(DEFAULT_COLUMNS)}")
    try:
        with open(path, encoding="utf-8", newline="" if form == "csv" else None) as file:
            records = list(READERS[form](file, {**DEFAULT_COLUMNS, **columns}))
    except OSError as error:
        raise ScriptError(f"load.trace.file: {path}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise ScriptError(f"load.trace.file: {path}: is not text in UTF-8") from None
    except ScriptError as error:
        raise ScriptError(f"load.trace.file: {path}: {error}") from None
    if not records:
        raise ScriptError(f"load.trace.file: {path}: contains no records")
    if len(records) > MAX_RECORDS:
        raise ScriptError(f"load.trace.file: {path}: contains more than {MAX_RECORDS} records")
    return records


def plan_trace(script: Script, records: list[TraceRecord]) -> list[Arrival]:
    """Plans the replay of a trace: its tickets from the first one to the script's span, `speed` times as fast.

    The sort by time is stable, so tickets with equal timestamps keep the order of the file. A use case that the script does
    not define is an error, since its requirements are unknown; an unknown customer counts as no customer.
    """
    assert script.load.trace is not None
    speed = script.load.trace.speed
    rng = Random(f"{script.seed}:trace")
    mix = Mix(script)
    use_case_numbers = {use_case.name: number for number, use_case in enumerate(script.use_cases)}
    customer_numbers = {customer.name: number for number, customer in enumerate(script.customers)}
    ordered = sorted(records, key=lambda record: record.at)
    first = ordered[0].at
    plan: list[Arrival] = []
    for record in ordered:
        at = round((record.at - first) * 1e6 / speed)
        if at >= script.span:
            break
        use_case, customer = mix.draw(rng)
        if record.use_case is not None:
            if record.use_case not in use_case_numbers:
                raise ScriptError(f"load.trace.file: use case {record.use_case} is not in use_cases")
            use_case = use_case_numbers[record.use_case]
        if record.customer is not None:
            customer = customer_numbers.get(record.customer, -1)
        work = work_of(script.use_cases[use_case], rng) if record.work is None else record.work
        plan.append(Arrival(at, use_case, customer, work, len(plan)))
    return plan


def plan_of(script: Script) -> list[Arrival]:
    """Returns the arrivals of an open-loop script, from its trace or its phases. Raises ScriptError."""
    trace = script.load.trace
    if trace is None:
        return arrivals.plan_arrivals(script)
    return plan_trace(script, read(Path(script.folder) / trace.file, trace.form, trace.columns))
