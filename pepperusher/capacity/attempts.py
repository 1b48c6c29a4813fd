"""Attempts along a chain of services, each of whose proxies may send a call again: the real decisions, in
virtual time.

A tree that is walked depth first, one call from the top at a time: what several at once do to each other is
not in it.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any, NamedTuple

from pepperusher.capacity import fixtures
from pepperusher.capacity.decisions import NOW, discard_line
from pepperusher.capacity.fixtures import SECOND
from pepperusher.facade import SEND, Facade
from pepperusher.settings import read_settings
from pepperusher.net.endpoint_update import parse_endpoint_update

# A service's own work, and how long a client at the top waits.
WORK, WAITS = 1_000, 2 * SECOND
BACKENDS = 24
# A call from the top that has come to so many sends is not followed further.
MOST = 20_000


class ChainResult(NamedTuple):
    """For one call at the top: sends in all, and those that reach the last service. `done` is the part of
    the calls that were, `most` the sends of the worst of them, `cut` how many were not followed to their end.
    """

    sends: float
    last: float
    done: float
    most: int
    cut: int


class Chain:
    """`failing` counts the services from the last one upwards that fail a `share` of their calls. `passed`
    is what a service says whose own call failed: `error`, or `full`, which says that nothing was done. Each
    proxy makes `most` attempts; the client at the top `waits` so many us; `work` is what each service takes.
    """

    def __init__(self, depth: int, seed: int, passed: str = "error", most: int = 3, waits: int = WAITS,
        promised: float = 500.0) -> None:  # fmt: skip
        self.depth = depth
        self.failing, self.share = 0, 0.0
        self._hung: dict[int, str] = {}  # by level, the address of the one server that answers none
        self.work, self._waits = WORK, waits
        self._passed = passed
        self._chance = Random(seed).random
        self._now = NOW
        self.sends = [0] * depth
        self._spoke_to = [""] * depth
        self._facades = []
        for level in range(depth):
            told = fixtures.settings(BACKENDS * 4, promised=promised, most=most)
            told["tiers"] = [f"tier-{number}" for number in range(depth)]
            told["stage"] = level
            facade = Facade(read_settings(told, seed + level), NOW, discard_line)
            facade.update_endpoints(parse_endpoint_update(fixtures.endpoint_list(BACKENDS)).entries, True, NOW)
            self._facades.append(facade)

    def call(self, level: int = 0, until: int | None = None) -> bool:
        """One call by the proxies of a level; whether it was done."""
        facade = self._facades[level]
        until = self._now + self._waits if until is None else until
        ticket = facade.open_ticket("use-0", "", self._now, max(1, until - self._now), 0)
        step = facade.choose_backend(ticket, self._now)
        while step.action == SEND:
            self.sends[level] += 1
            self._spoke_to[level] = step.backend
            latest = min(until, self._now + step.wait)
            done = sum(self.sends) < MOST and self._serve(level, step.backend, latest)
            if self._now >= latest:
                self._now = latest
                how = "timed out"
            else:
                how = "done" if done else self._passed if level < self.depth - 1 else "error"
            step = facade.report(ticket, how, self._now)
            if how == "done":
                facade.close_ticket(ticket, self._now)
                return True
        facade.close_ticket(ticket, self._now)
        return False

    def _serve(self, level: int, backend: str, until: int) -> bool:
        self._now = until if self._hung.get(level) == backend else self._now + self.work
        if self._now >= until:
            return False
        if level + 1 < self.depth and not self.call(level + 1, until):
            return False
        return not (self.depth - 1 - level < self.failing and self._chance() < self.share)

    def hang(self, level: int) -> None:
        """The server that the proxy of this level spoke to last answers none from now on."""
        self._hung[level] = self._spoke_to[level]

    def usual(self, level: int) -> int:
        """What the proxy of a level has learned to be the usual time, in us."""
        times: Any = self._facades[level].export_learned(self._now)["times"]
        return times["use-0"][0] if "use-0" in times else 0

    def warm(self, calls: int = 40) -> None:
        """Each level has calls of its own, the last first: what is usual is known everywhere."""
        for level in reversed(range(self.depth)):
            for _ in range(calls):
                self._now += 20_000
                self.sends = [0] * self.depth
                self.call(level)

    def play(self, calls: int) -> ChainResult:
        """So many calls at the top, 20 ms apart or as they end."""
        sends = last = done = most = cut = 0
        for _ in range(calls):
            self._now += 20_000
            self.sends = [0] * self.depth
            done += self.call()
            came = sum(self.sends)
            sends, last, most = sends + came, last + self.sends[-1], max(most, came)
            cut += came >= MOST
        return ChainResult(sends / calls, last / calls, done / calls, most, cut)


def came(
    depth: int, failing: int, share: float, seed: int, passed: str = "error", calls: int = 100
) -> tuple[ChainResult, ChainResult]:
    """The first 20 calls after so many services began to fail, and the `calls` after those."""
    chain = Chain(depth, seed, passed)
    chain.warm()
    chain.play(100)
    chain.failing, chain.share = failing, share
    return chain.play(20), chain.play(calls)


def cold(depth: int, seed: int, calls: int = 100) -> ChainResult:
    """The first calls along a chain none of whose proxies knows yet how long a call takes."""
    return Chain(depth, seed).play(calls)


def slowed(depth: int, factor: int, seed: int, most: int = 3, waits: int = WAITS, promised: float = 500.0,
    calls: int = 100) -> tuple[ChainResult, ChainResult]:  # fmt: skip
    """A warmed chain whose services, none failing, take `factor` times as long from now on: the first 20
    calls and the `calls` after those.
    """
    chain = Chain(depth, seed, "error", most, waits, promised)
    chain.warm()
    chain.play(100)
    chain.work = factor * WORK
    return chain.play(20), chain.play(calls)


def hung(depth: int, levels: Iterable[int], seed: int, calls: int = 200) -> tuple[ChainResult, ChainResult, float]:
    """A warmed chain at some of whose levels one of the servers that the proxy there speaks to (of 24 listed)
    answers none from now on: the first 20 calls, the `calls` after those, and how many times what it was the
    usual time then is at the first level.
    """
    chain = Chain(depth, seed)
    chain.warm()
    chain.play(100)
    before = chain.usual(0)
    for level in levels:
        chain.hang(level)
    return chain.play(20), chain.play(calls), chain.usual(0) / before
