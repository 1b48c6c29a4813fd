"""What discovery tells: endpoint updates, read from JSON and checked."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from pepperusher.endpoint import Endpoint

# The address of an endpoint that is gone.
GONE = ("", 0)
DECODER = json.JSONDecoder()


class BadList(ValueError):
    """Not a list of backends; the text says what is wrong."""


class EndpointUpdate(NamedTuple):
    version: int
    whole: bool
    entries: list[Endpoint]
    addresses: list[tuple[str, int]]


def parse_address(text: Any) -> tuple[str, int]:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise BadList(f"{text!r} is not an address and port")
    return host.strip("[]"), int(port)


def format_address(address: tuple[str, int]) -> str:
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"


def parse_endpoint_update(told: Any) -> EndpointUpdate:
    if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
        raise BadList("is not an object with servers")
    entries, addresses = [], []
    for one in told["servers"]:
        if not isinstance(one, dict) or not isinstance(one.get("id"), str):
            raise BadList("has a server without an id")
        name = one["id"]
        weight, cell, started = one.get("weight", 1.0), one.get("cell", 0), one.get("started_ms", 0)
        for value, kind in ((weight, (int, float)), (cell, int), (started, (int, float))):
            if isinstance(value, bool) or not isinstance(value, kind) or not abs(value) < 1e15:
                raise BadList(f"{name}: {value!r} is not a number")
        gone = one.get("state") == "gone"
        addresses.append(GONE if gone else parse_address(one.get("addr")))
        entries.append(
            Endpoint(
                name,
                str(one.get("zone", "")),
                cell,
                weight if weight > 0 else 1.0,
                round(started * 1000),
                one.get("state") == "ready",
                str(one.get("kind", "")),
                gone,
            )
        )
    version = told.get("version", 0)
    if not isinstance(version, int):
        raise BadList("has a version that is not a number")
    return EndpointUpdate(version, told.get("full") is True, entries, addresses)


def merged(lines: Iterable[EndpointUpdate]) -> Iterator[EndpointUpdate]:
    """Changes that came at once, as one: each alone would lay the ring anew. A whole list stands by
    itself."""
    held: EndpointUpdate | None = None
    try:
        for update in lines:
            if held is not None and not update.whole and update.version >= held.version:
                held = EndpointUpdate(
                    update.version, held.whole, [*held.entries, *update.entries], [*held.addresses, *update.addresses]
                )
                continue
            if held is not None:
                yield held
            held = update
    except BadList:
        # What came whole before it counts.
        if held is not None:
            yield held
        raise
    if held is not None:
        yield held


def complete_objects(text: bytes | bytearray) -> tuple[list[Any], bytes, BadList | None]:
    """What stands whole in `text`, the rest that has no end yet, and what is wrong behind what came whole. An object may stand
    in several lines, none of them empty: an empty one says that the watch lives, and so that the object was cut short."""
    held, newline, rest = bytes(text).rpartition(b"\n")
    found: list[Any] = []
    try:
        told = held.decode()
        while told := told.lstrip():
            one, end = DECODER.raw_decode(told)
            found.append(one)
            told = told[end:]
    except ValueError as error:
        # At the end of a line no word is cut: what is only not whole yet fails behind all that has come.
        if isinstance(error, json.JSONDecodeError) and error.pos >= len(told.rstrip()) and "\n\n" not in told + "\n":
            return found, told.encode() + newline + rest, None
        return found, b"", BadList(f"a line {error}")
    return found, rest, None
