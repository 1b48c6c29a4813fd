"""Log lines in a structured form by structlog, still printed to standard error under the same rate limit."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import structlog

BREAKER_LINE = re.compile(r"(\S+) (open|closed): (\d+) of (\d+) failed, run (\d+)$")


def _add_breaker_fields(_: object, __: str, record: dict[str, Any]) -> dict[str, Any]:
    """Splits the text of a breaker's change into fields: the balancing decisions log it as one line of text."""
    match = BREAKER_LINE.match(str(record["event"]))
    if match:
        record.update(
            event="breaker", id=match[1], state=match[2], failed=int(match[3]), of=int(match[4]), run=int(match[5])
        )
    return record


def formatter_of(form: str) -> Callable[[dict[str, Any]], str]:
    """Returns the formatter: "text" for key=value, "json" for one object per line."""
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.KeyValueRenderer(key_order=["time", "proxy", "event"])
    )

    def format_line(record: dict[str, Any]) -> str:
        return str(renderer(None, "", _add_breaker_fields(None, "", record)))

    return format_line
