"""Load reports that answers carry, out of their headers.

The operators' protocol page leaves the place open. Read is the header that Envoy and gRPC clients know from Open
Request Cost Aggregation: `endpoint-load-metrics: TEXT active=3,cpu=0.5`, or `JSON {"named_metrics": {"active": 3}}`.
Names are those of the settings, alone or behind `named_metrics.`. What can't be read is as if it were not there.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

HEADER = b"endpoint-load-metrics"
NAMED = "named_metrics"
LONGEST = 1024


def pairs_of(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, Any]]:
    """Names and values as they stand there, for `settings.load` to read; none for none."""
    return [
        pair
        for name, value in headers
        if name.lower() == HEADER and len(value) <= LONGEST
        for pair in _pairs(value.decode("latin-1"))
    ]


def without(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """What a client gets: how busy a backend is concerns nobody outside."""
    return [pair for pair in headers if pair[0].lower() != HEADER]


def _pairs(text: str) -> Iterator[tuple[str, Any]]:
    form, _, rest = text.strip().partition(" ")
    if form == "TEXT":
        for one in rest.split(","):
            name, equals, value = one.strip().partition("=")
            if equals:
                yield name.removeprefix(f"{NAMED}."), value
    elif form == "JSON":
        try:
            told = json.loads(rest)
        except (ValueError, RecursionError):
            return
        if isinstance(told, dict):
            named = told.pop(NAMED, None)
            yield from told.items()
            yield from named.items() if isinstance(named, dict) else ()
