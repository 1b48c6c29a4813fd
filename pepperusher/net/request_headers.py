"""Reads and checks the headers of a client's request."""

from __future__ import annotations

import re
from collections.abc import Iterable


# Longest timeout that a client may give, in microseconds; a longer one is rejected as invalid.
MAX_TIMEOUT_US = 3600 * 1_000_000
MICROSECONDS_PER_UNIT = {b"m": 1000, b"u": 1}
DECIMAL_NUMBER = re.compile(rb"[0-9]{1,16}(\.[0-9]{1,16})?")
PROXY_HEADERS = frozenset(
    (b"host", b"request-id", b"request-class", b"tenant", b"request-timeout", b"work-hint", b"idempotency-key")
)


class BadRequest(Exception):
    """A request that cannot be served as it is; its client gets the reason, with `status`."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


def read_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Returns the headers that the proxy itself uses, by name. Raises BadRequest."""
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in PROXY_HEADERS:
            # A backend may use the other one of two.
            if name in values:
                raise BadRequest(f"two of {name.decode()}")
            values[name] = value
        elif name == b"connection":
            # Headers that Connection names are removed: without its Idempotency-Key the request would reach the backend
            # unprotected against repeats.
            if any(part.strip().lower() in PROXY_HEADERS for part in value.split(b",")):
                raise BadRequest("Connection names a header of the ticket")
    return values


def duration_of(name: str, text: bytes, unit_us: int, expected_form: str) -> int:
    """A duration in a header as microseconds; `unit_us` is what the number 1 stands for, `expected_form` is for the error
    text. Raises BadRequest.
    """
    # float() alone would also accept 1e3, 1_0 and nan.
    if not DECIMAL_NUMBER.fullmatch(text):
        raise BadRequest(f"{name} is not {expected_form}")
    duration = round(float(text) * unit_us)
    if duration > MAX_TIMEOUT_US:
        raise BadRequest(f"{name} is out of any range")
    return duration


def timeout_of(value: bytes) -> int:
    """The value of Request-Timeout in microseconds. Raises BadRequest."""
    expected_form = "a number and m or u"
    unit_us = MICROSECONDS_PER_UNIT.get(value[-1:])
    if unit_us is None:
        raise BadRequest(f"Request-Timeout is not {expected_form}")
    return duration_of("Request-Timeout", value[:-1], unit_us, expected_form)
