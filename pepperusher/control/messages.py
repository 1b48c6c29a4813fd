"""The protocol of the control socket: one line of JSON in each direction; free of I/O.

A request is {"do": NAME, ...}; a response is {"ok": true, ...} or {"ok": false, "why": one line}. A long response is
split into several lines, each except the last with "more": true, so that it doesn't block the proxy's event loop.
"""

from __future__ import annotations

import json
from typing import Any

MAX_LINE_BYTES = 1024 * 1024
# Maximum number of rows in one line of a response.
ROWS = 100
COMMANDS = {
    "status": (),
    "history": (),
    "backends": (),
    "breakers": (),
    "tickets": (),
    "members": (),
    "forget": ("id",),
    "propose": ("text", "why", "who"),
    "confirm": ("number", "why", "who"),
    "undo": ("number", "why", "who"),
    "drain": ("id", "undo", "why", "who"),
}
PARAMETER_TYPES = {"text": str, "why": str, "who": str, "number": int, "id": str, "undo": bool}


class InvalidRequestError(ValueError):
    """An invalid request; its text is one line."""


def parse_request(line: bytes) -> tuple[str, dict[str, Any]]:
    """Parses a request to its command and parameters. Raises InvalidRequestError."""
    try:
        parameters = json.loads(line)
    except (ValueError, RecursionError):
        raise InvalidRequestError("is not JSON") from None
    if not isinstance(parameters, dict) or not isinstance(parameters.get("do"), str):
        raise InvalidRequestError('is not {"do": NAME, ...}')
    command = parameters.pop("do")
    if command not in COMMANDS:
        raise InvalidRequestError(f"{command[:40]!r} is not one of {', '.join(COMMANDS)}")
    for key, value in parameters.items():
        if key not in COMMANDS[command]:
            raise InvalidRequestError(f"{key[:40]!r} is not a parameter of {command}")
        if value is not None and (
            not isinstance(value, PARAMETER_TYPES[key]) or isinstance(value, bool) != (PARAMETER_TYPES[key] is bool)
        ):
            raise InvalidRequestError(f"{key} has the wrong type")
    return command, parameters


def encode_line(**fields: Any) -> bytes:
    """Encodes one line of a response."""
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def encode_error(reason: str) -> bytes:
    """Encodes an error response."""
    return encode_line(ok=False, why=" ".join(reason.split()))
