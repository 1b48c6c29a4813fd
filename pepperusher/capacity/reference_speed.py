"""Measures the current speed of a core of this machine with a fixed loop of plain Python."""

from __future__ import annotations

from time import process_time

TURNS = 200_000


def reference_loop_us() -> float:
    """Returns the processor time of the loop in us. When all cores are busy, hardware threads that share a core slow
    each other down, so that the same work takes more processor time; the load average does not show by how much.
    """
    started, total = process_time(), 0
    for number in range(TURNS):
        total += number % 7
    return (process_time() - started) * 1e6
