"""Endpoint updates from discovery: parsed from JSON and validated."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from pepperusher.endpoint import Endpoint

# Placeholder address of an endpoint that is gone.
GONE = ("", 0)
DECODER = json.JSONDecoder()


class BadList(ValueError):
    """The input is not a valid endpoint list; the text says why."""


class EndpointUpdate(NamedTuple):
    """One message of discovery: a full list where `whole`, otherwise the entries that changed. `addresses` are parallel
    to `entries`.
    """

    version: int
    whole: bool
    entries: list[Endpoint]
    addresses: list[tuple[str, int]]


def parse_address(text: Any) -> tuple[str, int]:
    """Parses `host:port`; IPv6 hosts are in brackets. Raises BadList."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise BadList(f"{text!r} is not an address and port")
    return host.strip("[]"), int(port)


def format_address(address: tuple[str, int]) -> str:
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"


def parse_endpoint_update(document: Any) -> EndpointUpdate:
    """Validates a decoded JSON object as an endpoint update. Raises BadList."""
    if not isinstance(document, dict) or not isinstance(document.get("servers"), list):
        raise BadList("is not an object with a list of servers")
    entries, addresses = [], []
    for server in document["servers"]:
        if not isinstance(server, dict) or not isinstance(server.get("id"), str):
            raise BadList("has a server without an id")
        endpoint_id = server["id"]
        weight, cell, started = server.get("weight", 1.0), server.get("cell", 0), server.get("started_ms", 0)
        for value, kind in ((weight, (int, float)), (cell, int), (started, (int, float))):
            if isinstance(value, bool) or not isinstance(value, kind) or not abs(value) < 1e15:
                raise BadList(f"{endpoint_id}: {value!r} is not a number")
        gone = server.get("state") == "gone"
        addresses.append(GONE if gone else parse_address(server.get("addr")))
        entries.append(
            Endpoint(
                endpoint_id,
                str(server.get("zone", "")),
                cell,
                weight if weight > 0 else 1.0,
                round(started * 1000),
                server.get("state") == "ready",
                str(server.get("kind", "")),
                gone,
            )
        )
    version = document.get("version", 0)
    if not isinstance(version, int):
        raise BadList("has a version that is not a number")
    return EndpointUpdate(version, document.get("full") is True, entries, addresses)


def merge_updates(updates: Iterable[EndpointUpdate]) -> Iterator[EndpointUpdate]:
    """Merges consecutive incremental updates into one, as each update rebuilds the hash ring. A full list starts a new
    update.
    """
    pending: EndpointUpdate | None = None
    try:
        for update in updates:
            if pending is not None and not update.whole and update.version >= pending.version:
                pending = EndpointUpdate(
                    update.version,
                    pending.whole,
                    [*pending.entries, *update.entries],
                    [*pending.addresses, *update.addresses],
                )
                continue
            if pending is not None:
                yield pending
            pending = update
    except BadList:
        # The updates before the invalid one still apply.
        if pending is not None:
            yield pending
        raise
    if pending is not None:
        yield pending


def complete_objects(text: bytes | bytearray) -> tuple[list[Any], bytes, BadList | None]:
    """Splits received text into decoded JSON objects, the incomplete rest, and the error in what follows the objects,
    if any.

    An object may span several lines, none of them empty: an empty line is a heartbeat between objects, so one inside an
    object means that the object was truncated.
    """
    lines, newline, rest = bytes(text).rpartition(b"\n")
    objects: list[Any] = []
    try:
        remaining = lines.decode()
        while remaining := remaining.lstrip():
            decoded, end = DECODER.raw_decode(remaining)
            objects.append(decoded)
            remaining = remaining[end:]
    except ValueError as error:
        # Lines end between JSON tokens, so an object that is merely incomplete fails to decode at the very end of the
        # text.
        if (
            isinstance(error, json.JSONDecodeError)
            and error.pos >= len(remaining.rstrip())
            and "\n\n" not in remaining + "\n"
        ):
            return objects, remaining.encode() + newline + rest, None
        return objects, b"", BadList(f"a line {error}")
    return objects, rest, None
