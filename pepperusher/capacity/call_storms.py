"""Calls at one discovery as many proxies start, or as it returns, in virtual time: the decisions' own waits
(`policy.list_failed`), a discovery that works through calls in turn and turns away those beyond its queue.
Simulated.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from pepperusher.capacity import fixtures
from pepperusher.capacity.decisions import NOW, discard_line
from pepperusher.capacity.fixtures import SECOND
from pepperusher.facade import Facade

# A call takes so long at discovery, and so many wait; an answer is so long under way.
TAKES, QUEUE, UNDER_WAY = 4_000, 64, 500
AWAY, STARTED_WITHIN = 3 * SECOND, SECOND


class Storm(NamedTuple):
    """Calls that reached discovery, and how long (s) from its return, or from the start, until all were
    told.
    """

    calls: int
    seconds: float


def storm(proxies: int, seed: int, back: bool) -> Storm:
    """All start within a second; or discovery is `back` after it was away, at which all watches ended at
    once.
    """
    chance = Random(seed)
    facades = [
        Facade(fixtures.policy_settings(1_000, seed * 10_007 + number), NOW, discard_line) for number in range(proxies)
    ]
    opens = NOW + AWAY if back else NOW
    due: list[tuple[int, int]] = []  # when, and whose turn to ask it is
    for number, facade in enumerate(facades):
        if back:
            facade.endpoint_request_delay(NOW)  # the watch that it had
            facade.endpoint_request_failed(NOW)
        heappush(due, (NOW if back else NOW + chance.randrange(STARTED_WITHIN), number))
    calls, free_at, last = 0, opens, opens
    while due:
        now, number = heappop(due)
        facade = facades[number]
        wait = facade.endpoint_request_delay(now)
        if wait:
            heappush(due, (now + wait, number))
            continue
        calls += now >= opens
        if now < opens or (free_at - now) // TAKES >= QUEUE:
            facade.endpoint_request_failed(now + UNDER_WAY)
            heappush(due, (now + UNDER_WAY, number))
            continue
        free_at = max(free_at, now) + TAKES
        last = free_at
    return Storm(calls, (last - opens) / SECOND)


# One play gives two figures; as many as sizes are measured.
_PLAYED: dict[tuple[int, int, bool], Storm] = {}


def played(name: str, back: bool) -> Callable[[int, int], float]:
    def at(size: int, seed: int) -> float:
        key = size, seed, back
        if key not in _PLAYED:
            _PLAYED[key] = storm(size, seed, back)
        return float(getattr(_PLAYED[key], name))

    return at
