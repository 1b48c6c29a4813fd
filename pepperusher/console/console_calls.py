"""The calls of the console, read from a method and a path; free of I/O."""

from __future__ import annotations

import re
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

READY, BAN, LIFT, DRAIN, RESUME = "ready", "ban", "lift", "drain", "resume"
CALLS = {b"/-/ready": (b"GET", READY), b"/-/drain": (b"POST", DRAIN), b"/-/resume": (b"POST", RESUME)}
BACKENDS = re.compile(rb"/-/backends/([^/]+)/(disable|enable)")
VERBS = {b"disable": BAN, b"enable": LIFT}


class BadConsoleCall(Exception):
    """No call of the console's; its text is the answer's one line."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class ConsoleCall(NamedTuple):
    what: str
    backend: str = ""


def console_call_of(method: bytes, target: bytes) -> ConsoleCall:
    path = target.partition(b"?")[0]
    if (call := CALLS.get(path)) is not None:
        wanted, word = call[0], ConsoleCall(call[1])
    elif (named := BACKENDS.fullmatch(path)) is not None:
        try:
            wanted, word = b"POST", ConsoleCall(VERBS[named[2]], unquote_to_bytes(named[1]).decode())
        except UnicodeDecodeError:
            raise BadConsoleCall(400, "the backend's id is no text") from None
    else:
        raise BadConsoleCall(404, "no such call")
    if method != wanted:
        raise BadConsoleCall(405, f"this call is a {wanted.decode()}")
    return word
