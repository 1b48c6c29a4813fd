"""What the headers of a client's request tell, read and checked."""

from __future__ import annotations

import re

from pepperusher.net.message import Headers

# Sound limits of what a client may say, in microseconds; more is absurd.
LONGEST_WAIT = 3600 * 1_000_000
MICROSECONDS_OF = {b"m": 1000, b"u": 1}
NUMBER = re.compile(rb"[0-9]{1,16}(\.[0-9]{1,16})?")
READ = frozenset(
    (b"host", b"request-id", b"request-class", b"tenant", b"request-timeout", b"work-hint", b"idempotency-key")
)


class BadRequest(Exception):
    """A request that can't be served as it stands; its client is told why, with `status`."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


def read_headers(headers: Headers) -> dict[bytes, bytes]:
    """Those that the proxy goes by, each by name. Raises BadRequest."""
    read: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in READ:
            # A backend may go by the other of two.
            if name in read:
                raise BadRequest(f"two of {name.decode()}")
            read[name] = value
        elif name == b"connection":
            # Taken off for the connection's own, a mark against repeats would be gone from the requests sent on.
            if any(part.strip().lower() in READ for part in value.split(b",")):
                raise BadRequest("Connection names a header of the ticket")
    return read


def duration_of(name: str, number: bytes, unit: int, form: str) -> int:
    """A header's time in microseconds; `unit` is what 1 stands for, `form` is for the error. Raises BadRequest."""
    # Not by float() alone, which reads 1e3, 1_0 and nan.
    if not NUMBER.fullmatch(number):
        raise BadRequest(f"{name} is not {form}")
    duration = round(float(number) * unit)
    if duration > LONGEST_WAIT:
        raise BadRequest(f"{name} is out of any range")
    return duration


def timeout_of(given: bytes) -> int:
    """The value of Request-Timeout in microseconds. Raises BadRequest."""
    form = "a number and m or u"
    unit = MICROSECONDS_OF.get(given[-1:])
    if unit is None:
        raise BadRequest(f"Request-Timeout is not {form}")
    return duration_of("Request-Timeout", given[:-1], unit, form)
