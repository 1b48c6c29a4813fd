"""One clock for the whole proxy, in whole microseconds: it never jumps, and its zero is that of Unix time when the
process started.

A wall clock may be set while tickets are in hand. Start times that discovery reports are in Unix time, and are compared
with this clock directly.
"""

from __future__ import annotations

from time import monotonic_ns, time_ns

_OFFSET = time_ns() - monotonic_ns()


def now() -> int:
    """The time in microseconds."""
    return (monotonic_ns() + _OFFSET) // 1000
