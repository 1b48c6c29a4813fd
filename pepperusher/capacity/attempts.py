"""Simulates retries along a chain of services, each with a proxy that may retry its calls: the real decisions in
virtual time.

The tree of attempts is walked depth first, one call of the client at a time, so the simulation does not include
how concurrent calls affect each other.
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

# How long a service takes for a call without its calls to other services, and how long the client waits.
SERVICE_US, CLIENT_TIMEOUT_US = 1_000, 2 * SECOND
BACKENDS = 24
# The simulation of a call ends after this many sends.
MAX_SENDS = 20_000


class ChainResult(NamedTuple):
    """Means for one call of the client: all sends, and the sends that reach the last service. `done` is the fraction
    of calls that succeeded, `most` the sends of the call with the most sends, `cut` the number of calls whose
    simulation ended early at MAX_SENDS.
    """

    sends: float
    last: float
    done: float
    most: int
    cut: int


class Chain:
    """A chain of services. The last `failing` services fail a `share` of their calls. A service whose own call
    failed answers `failure_reply`: `error`, or `full`, which means that it did nothing for the call. Each proxy makes
    at most `max_attempts` attempts, the client waits `timeout_us`, and each service takes `service_us`.
    """

    def __init__(self, depth: int, seed: int, failure_reply: str = "error", max_attempts: int = 3, timeout_us: int = CLIENT_TIMEOUT_US,
        promised_ms: float = 500.0) -> None:  # fmt: skip
        self.depth = depth
        self.failing, self.share = 0, 0.0
        self._hung_backends: dict[int, str] = {}  # by level, the address of the backend that answers no calls
        self.service_us, self._timeout_us = SERVICE_US, timeout_us
        self._failure_reply = failure_reply
        self._random = Random(seed).random
        self._now = NOW
        self.sends = [0] * depth
        self._last_backends = [""] * depth
        self._facades = []
        for level in range(depth):
            settings = fixtures.settings(BACKENDS * 4, promised_ms=promised_ms, max_attempts=max_attempts)
            settings["tiers"] = [f"tier-{number}" for number in range(depth)]
            settings["stage"] = level
            facade = Facade(read_settings(settings, seed + level), NOW, discard_line)
            facade.update_endpoints(parse_endpoint_update(fixtures.endpoint_list(BACKENDS)).entries, True, NOW)
            self._facades.append(facade)

    def call(self, level: int = 0, deadline: int | None = None) -> bool:
        """Simulates one call by the proxy of a level; returns whether it succeeded."""
        facade = self._facades[level]
        deadline = self._now + self._timeout_us if deadline is None else deadline
        ticket = facade.open_ticket("use-0", "", self._now, max(1, deadline - self._now), 0)
        step = facade.choose_backend(ticket, self._now)
        while step.action == SEND:
            self.sends[level] += 1
            self._last_backends[level] = step.backend
            attempt_deadline = min(deadline, self._now + step.wait)
            done = sum(self.sends) < MAX_SENDS and self._serve(level, step.backend, attempt_deadline)
            if self._now >= attempt_deadline:
                self._now = attempt_deadline
                outcome = "timed out"
            else:
                outcome = "done" if done else self._failure_reply if level < self.depth - 1 else "error"
            step = facade.report(ticket, outcome, self._now)
            if outcome == "done":
                facade.close_ticket(ticket, self._now)
                return True
        facade.close_ticket(ticket, self._now)
        return False

    def _serve(self, level: int, backend: str, deadline: int) -> bool:
        """Simulates one attempt at a backend; returns whether the backend answers with success before the deadline."""
        self._now = deadline if self._hung_backends.get(level) == backend else self._now + self.service_us
        if self._now >= deadline:
            return False
        if level + 1 < self.depth and not self.call(level + 1, deadline):
            return False
        return not (self.depth - 1 - level < self.failing and self._random() < self.share)

    def hang_last_backend(self, level: int) -> None:
        """From now on the backend that the proxy of this level called last answers no calls."""
        self._hung_backends[level] = self._last_backends[level]

    def usual_us(self, level: int) -> int:
        """Returns the usual call duration that the proxy of a level has learned, in us, or 0 if it knows none."""
        times: Any = self._facades[level].export_learned(self._now)["times"]
        return times["use-0"][0] if "use-0" in times else 0

    def warm(self, calls: int = 40) -> None:
        """Makes calls at each level, from the last to the first, so that every proxy learns the usual call duration."""
        for level in reversed(range(self.depth)):
            for _ in range(calls):
                self._now += 20_000
                self.sends = [0] * self.depth
                self.call(level)

    def play(self, calls: int) -> ChainResult:
        """Simulates `calls` calls of the client. Each starts 20 ms after the previous one ended."""
        sends = last = succeeded = max_sends = truncated = 0
        for _ in range(calls):
            self._now += 20_000
            self.sends = [0] * self.depth
            succeeded += self.call()
            call_sends = sum(self.sends)
            sends, last, max_sends = sends + call_sends, last + self.sends[-1], max(max_sends, call_sends)
            truncated += call_sends >= MAX_SENDS
        return ChainResult(sends / calls, last / calls, succeeded / calls, max_sends, truncated)


def failing_services(
    depth: int, failing: int, share: float, seed: int, failure_reply: str = "error", calls: int = 100
) -> tuple[ChainResult, ChainResult]:
    """Returns the results of the first 20 calls after the last `failing` services began to fail, and of the next
    `calls` calls.
    """
    chain = Chain(depth, seed, failure_reply)
    chain.warm()
    chain.play(100)
    chain.failing, chain.share = failing, share
    return chain.play(20), chain.play(calls)


def cold_chain(depth: int, seed: int, calls: int = 100) -> ChainResult:
    """Returns the result of the first calls along a chain whose proxies have not learned any call duration."""
    return Chain(depth, seed).play(calls)


def slowed_services(depth: int, factor: int, seed: int, max_attempts: int = 3, timeout_us: int = CLIENT_TIMEOUT_US, promised_ms: float = 500.0,
    calls: int = 100) -> tuple[ChainResult, ChainResult]:  # fmt: skip
    """Slows all services of a warmed chain by `factor`, none of them failing; returns the results of the first 20 calls
    and of the next `calls` calls.
    """
    chain = Chain(depth, seed, "error", max_attempts, timeout_us, promised_ms)
    chain.warm()
    chain.play(100)
    chain.service_us = factor * SERVICE_US
    return chain.play(20), chain.play(calls)


def hung_backends(
    depth: int, levels: Iterable[int], seed: int, calls: int = 200
) -> tuple[ChainResult, ChainResult, float]:
    """Hangs one of the 24 backends at each of `levels` of a warmed chain; returns the results of the first 20 calls and
    of the next `calls` calls, and the factor by which the usual call duration at the first level has grown by then.
    """
    chain = Chain(depth, seed)
    chain.warm()
    chain.play(100)
    usual_before = chain.usual_us(0)
    for level in levels:
        chain.hang_last_backend(level)
    return chain.play(20), chain.play(calls), chain.usual_us(0) / usual_before
