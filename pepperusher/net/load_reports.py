"""Load reports in the headers of backends' answers.

The operators' protocol page does not say where reports are carried. This reads the header that Envoy and gRPC clients
know from Open Request Cost Aggregation (ORCA): `endpoint-load-metrics: TEXT active=3,cpu=0.5`, or `JSON
{"named_metrics": {"active": 3}}`. Names are those in the settings, alone or with the prefix `named_metrics.`. A report
that cannot be read is ignored.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

REPORT_HEADER = b"endpoint-load-metrics"
NAMED_METRICS = "named_metrics"
MAX_HEADER_BYTES = 1024


def reported_metrics(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, Any]]:
    """Names and values as they are in the headers, for `settings.parse_load_report` to read; empty without a report."""
    return [
        pair
        for name, value in headers
        if name.lower() == REPORT_HEADER and len(value) <= MAX_HEADER_BYTES
        for pair in _parse_header(value.decode("latin-1"))
    ]


def without_reports(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """The headers that the client gets: the load of a backend is internal."""
    return [pair for pair in headers if pair[0].lower() != REPORT_HEADER]


def _parse_header(text: str) -> Iterator[tuple[str, Any]]:
    """The pairs in one header's value, in text or JSON form; nothing if it cannot be read."""
    form, _, content = text.strip().partition(" ")
    if form == "TEXT":
        for item in content.split(","):
            name, separator, value = item.strip().partition("=")
            if separator:
                yield name.removeprefix(f"{NAMED_METRICS}."), value
    elif form == "JSON":
        try:
            report = json.loads(content)
        except (ValueError, RecursionError):
            return
        if isinstance(report, dict):
            named_metrics = report.pop(NAMED_METRICS, None)
            yield from report.items()
            yield from named_metrics.items() if isinstance(named_metrics, dict) else ()
