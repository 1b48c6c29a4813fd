"""Recorded tickets, imported: JSON lines, CSV and the common access log; the plan keeps every ticket and
their order.

A record tells when it came; use case, customer and work where it has them. What a record does not tell is
drawn from the script's seed. Bursts denser than the trace's clock share one instant and keep the order they
stand in.
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

# Host, identity, user, time, request line, status, size: the Common Log Format of the NCSA server; the
# combined one has more behind it.
ACCESS = re.compile(r'(\S+) (\S+) (\S+) \[([^\]]+)\] "((?:[^"\\]|\\.)*)" (\d{3}) (\S+)')
DAY = "%d/%b/%Y:%H:%M:%S %z"
COLUMNS = {"time": "time", "use_case": "use_case", "customer": "customer", "work": "work"}
LONGEST = 10_000_000


class Recorded(NamedTuple):
    """One record: `at` in seconds of the trace's own clock."""

    at: float
    use_case: str | None
    customer: str | None
    work: int | None


def _instant(given: Any) -> float:
    if isinstance(given, bool) or given is None:
        raise ValueError("has no time")
    try:
        at = float(given)
    except (TypeError, ValueError):
        try:
            at = datetime.fromisoformat(str(given)).timestamp()
        except ValueError:
            raise ValueError(f"time {given!r} is neither seconds nor ISO 8601") from None
    if not abs(at) < 1e12:
        raise ValueError(f"time {given!r} is out of any range")
    return at


def _record(of: dict[str, Any], columns: dict[str, str]) -> Recorded:
    def text(key: str) -> str | None:
        value = of.get(columns[key])
        return None if value in (None, "") else str(value)

    work = text("work")
    try:
        us = None if work is None else round(float(work) * 1000)
    except (ValueError, OverflowError):
        raise ValueError(f"work {work!r} is no number of milliseconds") from None
    if us is not None and not 0 <= us < 3_600_000_000:
        raise ValueError(f"work {work!r} is out of any range")
    return Recorded(_instant(of.get(columns["time"])), text("use_case"), text("customer"), us)


def _json(lines: Iterable[str], columns: dict[str, str]) -> Iterator[Recorded]:
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            of = json.loads(line)
            if not isinstance(of, dict):
                raise ValueError("is no object")
            yield _record(of, columns)
        except (ValueError, RecursionError) as error:
            raise ScriptError(f"line {number}: {error}") from None


def _csv(lines: Iterable[str], columns: dict[str, str]) -> Iterator[Recorded]:
    rows = csv.DictReader(lines, strict=True)
    try:
        if rows.fieldnames is None or columns["time"] not in rows.fieldnames:
            raise ScriptError(f"line 1: no column {columns['time']}")
        for row in rows:
            yield _record(row, columns)
    except (ValueError, csv.Error) as error:
        if isinstance(error, ScriptError):
            raise
        raise ScriptError(f"line {rows.line_num}: {error}") from None


def _access(lines: Iterable[str], columns: dict[str, str]) -> Iterator[Recorded]:
    """The use case is the first part of the path, the customer the user that was logged in."""
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        read = ACCESS.match(line)
        if read is None:
            raise ScriptError(f"line {number}: is not in the common log format")
        try:
            at = datetime.strptime(read[4], DAY).timestamp()
        except ValueError:
            raise ScriptError(f"line {number}: time {read[4]!r} is not in the common log format") from None
        asked = read[5].split(" ")
        path = asked[1] if len(asked) > 1 else "/"
        named = path.partition("?")[0].lstrip("/").partition("/")[0]
        yield Recorded(at, named or None, None if read[3] == "-" else read[3], None)


FORMS = {"json": _json, "csv": _csv, "access": _access}


def read(path: Path, form: str, columns: dict[str, str]) -> list[Recorded]:
    """All records. Raises ScriptError naming the file and the line."""
    unknown = set(columns) - set(COLUMNS)
    if unknown:
        raise ScriptError(f"load.trace.columns.{min(unknown)}: not known here, only {', '.join(COLUMNS)}")
    try:
        with open(path, encoding="utf-8", newline="" if form == "csv" else None) as file:
            records = list(FORMS[form](file, {**COLUMNS, **columns}))
    except OSError as error:
        raise ScriptError(f"load.trace.file: {path}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise ScriptError(f"load.trace.file: {path}: is not text in UTF-8") from None
    except ScriptError as error:
        raise ScriptError(f"load.trace.file: {path}: {error}") from None
    if not records:
        raise ScriptError(f"load.trace.file: {path}: holds no record")
    if len(records) > LONGEST:
        raise ScriptError(f"load.trace.file: {path}: over {LONGEST} records")
    return records


def planned(script: Script, records: list[Recorded]) -> list[Arrival]:
    """The trace's tickets up to the script's span, from the first on, `speed` times as fast.

    Sorted by time alone, and a sort that keeps the order of equals: a burst denser than the clock stays as
    recorded. Use cases that the script does not have are an error, since the fleet has no terms for them;
    customers that it does not have are none.
    """
    assert script.load.trace is not None
    speed = script.load.trace.speed
    chance = Random(f"{script.seed}:trace")
    mix = Mix(script)
    uses = {use.name: number for number, use in enumerate(script.use_cases)}
    customers = {one.name: number for number, one in enumerate(script.customers)}
    ordered = sorted(records, key=lambda one: one.at)
    first = ordered[0].at
    plan: list[Arrival] = []
    for one in ordered:
        at = round((one.at - first) * 1e6 / speed)
        if at >= script.span:
            break
        use, customer = mix.draw(chance)
        if one.use_case is not None:
            if one.use_case not in uses:
                raise ScriptError(f"load.trace.file: use case {one.use_case} is not in use_cases")
            use = uses[one.use_case]
        if one.customer is not None:
            customer = customers.get(one.customer, -1)
        work = work_of(script.use_cases[use], chance) if one.work is None else one.work
        plan.append(Arrival(at, use, customer, work, len(plan)))
    return plan


def plan_of(script: Script) -> list[Arrival]:
    """The plan of any open-loop script. Raises ScriptError."""
    trace = script.load.trace
    if trace is None:
        return arrivals.plan_arrivals(script)
    return planned(script, read(Path(script.folder) / trace.file, trace.form, trace.columns))
