"""The admin calls, parsed from a method and a path; free of I/O."""

from __future__ import annotations

import re
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

READY, BAN, UNBAN, DRAIN, RESUME = "ready", "ban", "lift", "drain", "resume"
FIXED_CALLS = {b"/-/ready": (b"GET", READY), b"/-/drain": (b"POST", DRAIN), b"/-/resume": (b"POST", RESUME)}
BACKEND_PATH = re.compile(rb"/-/backends/([^/]+)/(disable|enable)")
BACKEND_CALLS = {b"disable": BAN, b"enable": UNBAN}


class BadConsoleCall(Exception):
    """The request is not an admin call; the text is the answer's body."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class ConsoleCall(NamedTuple):
    """An admin call, and the backend that it concerns."""

    action: str
    backend: str = ""


def console_call_of(method: bytes, target: bytes) -> ConsoleCall:
    """Parses an admin call. Raises BadConsoleCall."""
    path = target.partition(b"?")[0]
    if (call := FIXED_CALLS.get(path)) is not None:
        expected_method, parsed = call[0], ConsoleCall(call[1])
    elif (match := BACKEND_PATH.fullmatch(path)) is not None:
        try:
            expected_method, parsed = b"POST", ConsoleCall(BACKEND_CALLS[match[2]], unquote_to_bytes(match[1]).decode())
        except UnicodeDecodeError:
            raise BadConsoleCall(400, "the backend's id is no text") from None
    else:
        raise BadConsoleCall(404, "no such call")
    if method != expected_method:
        raise BadConsoleCall(405, f"this call is a {expected_method.decode()}")
    return parsed
