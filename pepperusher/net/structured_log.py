"""Log lines in another form than plain, by structlog; still printed to standard error under the one rate
limit."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import structlog

BREAKER = re.compile(r"(\S+) (open|closed): (\d+) of (\d+) failed, run (\d+)$")


def _breaker(_: object, __: str, told: dict[str, Any]) -> dict[str, Any]:
    """A breaker's change has its counts by name: the decisions say them in one line of text."""
    read = BREAKER.match(str(told["event"]))
    if read:
        told.update(event="breaker", id=read[1], state=read[2], failed=int(read[3]), of=int(read[4]), run=int(read[5]))
    return told


def formatter_of(form: str) -> Callable[[dict[str, Any]], str]:
    """ "text" for key=value, "json" for an object a line."""
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.processors.KeyValueRenderer(key_order=["time", "proxy", "event"])
    )

    def formed(told: dict[str, Any]) -> str:
        return str(last(None, "", _breaker(None, "", told)))

    return formed
