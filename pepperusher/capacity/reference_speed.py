"""How fast a core of this machine is at the moment: the same loop of plain Python, timed again and again."""

from __future__ import annotations

from time import process_time

TURNS = 200_000


def reference() -> float:
    """Processor time of the loop in us. Where all cores are busy, those that share a core's parts slow each
    other, and processor time is longer for the same work: the load alone does not tell by how much.
    """
    began, total = process_time(), 0
    for number in range(TURNS):
        total += number % 7
    return (process_time() - began) * 1e6
