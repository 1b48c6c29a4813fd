"""What is said over the control socket: one line of JSON each way; free of I/O.

A question is {"do": NAME, ...}; an answer {"ok": true, ...} or {"ok": false, "why": one line}. Long answers
come as several lines, each with "more": true but the last, so that no reading command holds the proxy up.
"""

from __future__ import annotations

import json
from typing import Any

LONGEST = 1024 * 1024
# Rows in one line of an answer.
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
FORMS = {"text": str, "why": str, "who": str, "number": int, "id": str, "undo": bool}


class BadQuestion(ValueError):
    """A line that is no question; its text is one line."""


def question(line: bytes) -> tuple[str, dict[str, Any]]:
    """The command and its words. Raises BadQuestion."""
    try:
        asked = json.loads(line)
    except (ValueError, RecursionError):
        raise BadQuestion("is not JSON") from None
    if not isinstance(asked, dict) or not isinstance(asked.get("do"), str):
        raise BadQuestion('is no {"do": NAME, ...}')
    command = asked.pop("do")
    if command not in COMMANDS:
        raise BadQuestion(f"{command[:40]!r} is none of {', '.join(COMMANDS)}")
    for key, value in asked.items():
        if key not in COMMANDS[command]:
            raise BadQuestion(f"{key[:40]!r} is no word of {command}")
        if value is not None and (not isinstance(value, FORMS[key]) or isinstance(value, bool) != (FORMS[key] is bool)):
            raise BadQuestion(f"{key} has the wrong form")
    return command, asked


def line(**told: Any) -> bytes:
    return json.dumps(told, separators=(",", ":")).encode() + b"\n"


def refused(why: str) -> bytes:
    return line(ok=False, why=" ".join(why.split()))
