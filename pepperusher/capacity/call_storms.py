"""Simulates, in virtual time, the calls to one discovery server while many proxies start, or when it is available again
after an outage. The proxies use their real retry delays (`policy.endpoint_request_failed`); the server handles calls
one by one and rejects those that do not fit into its queue.
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

# How long discovery takes for a call, how many calls its queue holds, and how long a rejection takes to arrive.
CALL_US, QUEUE_LENGTH, ANSWER_DELAY_US = 4_000, 64, 500
OUTAGE_US, START_SPREAD_US = 3 * SECOND, SECOND


class Storm(NamedTuple):
    """The calls that reached discovery, and the seconds from its return, or from the start, until all proxies had an
    answer.
    """

    calls: int
    seconds: float


def storm(proxies: int, seed: int, after_outage: bool) -> Storm:
    """Simulates all proxies starting within a second or, with `after_outage`, a discovery that returns from an outage
    whose begin ended all watches at the same time.
    """
    random = Random(seed)
    facades = [
        Facade(fixtures.policy_settings(1_000, seed * 10_007 + number), NOW, discard_line) for number in range(proxies)
    ]
    available_at = NOW + OUTAGE_US if after_outage else NOW
    wakeups: list[tuple[int, int]] = []  # when a proxy may call next, and its number
    for number, facade in enumerate(facades):
        if after_outage:
            facade.endpoint_request_delay(NOW)  # the watch that the outage ended
            facade.endpoint_request_failed(NOW)
        heappush(wakeups, (NOW if after_outage else NOW + random.randrange(START_SPREAD_US), number))
    calls, free_at, last_answer = 0, available_at, available_at
    while wakeups:
        now, number = heappop(wakeups)
        facade = facades[number]
        wait = facade.endpoint_request_delay(now)
        if wait:
            heappush(wakeups, (now + wait, number))
            continue
        calls += now >= available_at
        if now < available_at or (free_at - now) // CALL_US >= QUEUE_LENGTH:
            facade.endpoint_request_failed(now + ANSWER_DELAY_US)
            heappush(wakeups, (now + ANSWER_DELAY_US, number))
            continue
        free_at = max(free_at, now) + CALL_US
        last_answer = free_at
    return Storm(calls, (last_answer - available_at) / SECOND)


# One simulation gives two values. The cache holds one entry for each size and seed measured.
_STORMS: dict[tuple[int, int, bool], Storm] = {}


def by_proxies(name: str, after_outage: bool) -> Callable[[int, int], float]:
    """Returns a measurement of the field `name` of `Storm`, by the number of proxies."""

    def measure(size: int, seed: int) -> float:
        key = size, seed, after_outage
        if key not in _STORMS:
            _STORMS[key] = storm(size, seed, after_outage)
        return float(getattr(_STORMS[key], name))

    return measure
