"""Discovery returns after an outage that its proxies and control machines had in common: how many calls it receives
until all proxies have its list, in virtual time. Its queue is that of docs/CAPACITY.md: 64 calls wait, more are
rejected immediately.
"""

from __future__ import annotations

import heapq
import unittest
from collections import deque
from random import Random
from typing import Any

from pepperusher.distribution.endpoint_source import CONTROL, EndpointSource
from pepperusher.distribution.relay import RETRY_MIN_US, RETRY_MAX_US
from pepperusher.distribution.messages import Version

SECOND_US = 1_000_000
QUEUE_CAPACITY = 64
# A proxy's own backoff after a rejected call, as in `policy.list_failed`.
PROXY_RETRY_MIN_US, PROXY_RETRY_MAX_US = SECOND_US // 2, 2_500_000


class ReturnSimulation:
    """Discovery is down for `outage` and returns at `return_at` with a new list."""

    def __init__(self, proxies: int, owners: int, outage: int, call_cost: int, seed: int) -> None:
        random = self.random = Random(seed)
        self.owners, self.call_cost = owners, call_cost
        outage_at = 10 * SECOND_US
        self.return_at = outage_at + outage
        self.events: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self.event_count = 0
        self.idle_at, self.queue_starts = 0, deque[int]()
        self.calls = self.owner_calls = 0
        self.updated_at: list[int | None] = [None] * proxies
        self.watching, self.established, self.watch_numbers = [False] * proxies, [False] * proxies, [0] * proxies
        self.delays, self.owner_delays = [0] * proxies, [0] * owners
        self.sources = [EndpointSource(0, Random(seed * 100_000 + number), 1) for number in range(proxies)]
        # Discovery sends a message to each owner every 2 s, so at the outage the last one is up to that old.
        for owner in range(owners):
            last_message_at = outage_at - random.randrange(2 * SECOND_US)
            for number in range(owner, proxies, owners):
                source = self.sources[number]
                source.set_relayed_version(Version(1, 1), 1)
                source.confirm_relayed_version(Version(1, 1), last_message_at)
                self.schedule(source.step(last_message_at, False).wake_at, "wake", number)
                assert source.active == CONTROL
            self.schedule(outage_at, "owner calls", owner)

    def schedule(self, when: int, event: str, *arguments: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, event, arguments))

    def enqueue_call(self, now: int, *answer: Any) -> bool:
        """Whether the call is queued. It is then processed even if its caller has left meanwhile."""
        while self.queue_starts and self.queue_starts[0] <= now:
            self.queue_starts.popleft()
        if now < self.return_at or len(self.queue_starts) >= QUEUE_CAPACITY:
            return False
        start = max(now, self.idle_at)
        self.idle_at = start + self.call_cost
        self.queue_starts.append(start)
        self.schedule(self.idle_at, *answer)
        return True

    def step_proxy(self, now: int, number: int) -> None:
        step = self.sources[number].step(now, self.established[number])
        if step.apply_relayed_list and self.updated_at[number] is None and now > self.return_at:
            self.updated_at[number] = now
        if step.watch_discovery != self.watching[number]:
            self.watching[number], self.established[number] = step.watch_discovery, False
            self.watch_numbers[number] += 1
            self.delays[number] = 0
            if step.watch_discovery:
                self.schedule(now, "calls", number, self.watch_numbers[number])
        if self.sources[number].active == CONTROL:
            self.schedule(step.wake_at, "wake", number)

    def run(self) -> None:
        random = self.random
        while self.events and not all(self.updated_at):
            now, _, event, arguments = heapq.heappop(self.events)
            if now > self.return_at + 30 * SECOND_US:
                return
            number = arguments[0]
            if event == "wake":
                self.step_proxy(now, number)
            elif (
                event == "calls"
                and self.watching[number]
                and self.watch_numbers[number] == arguments[1]
                and not self.established[number]
            ):
                self.calls += now >= self.return_at
                if not self.enqueue_call(now, "answered", *arguments):
                    self.delays[number] = min(PROXY_RETRY_MAX_US, 2 * self.delays[number] or PROXY_RETRY_MIN_US)
                    self.schedule(now + int(self.delays[number] * random.uniform(0.5, 1.0)), "calls", *arguments)
            elif event == "answered" and self.watching[number] and self.watch_numbers[number] == arguments[1]:
                self.established[number] = True
                self.sources[number].set_discovery_version(2, now)
                self.updated_at[number] = self.updated_at[number] or now
            elif event == "owner calls":
                self.owner_calls += now >= self.return_at
                if not self.enqueue_call(now, "owner told", number):
                    self.owner_delays[number] = delay = min(RETRY_MAX_US, 2 * self.owner_delays[number] or RETRY_MIN_US)
                    self.schedule(now + random.randrange(delay // 2, delay + 1), "owner calls", number)
            elif event == "owner told":
                for proxy in range(number, len(self.sources), self.owners):
                    self.schedule(now + 20_000 + random.randrange(50_000), "word", proxy, now)
            elif event == "word":
                self.sources[number].set_relayed_version(Version(1, 2), 2)
                self.sources[number].confirm_relayed_version(Version(1, 2), arguments[1])
                self.step_proxy(now, number)


class Returns(unittest.TestCase):
    def test_all_are_told_in_time_by_fewer_calls_than_two_each(self) -> None:
        """A thousand proxies at five times the cost of a call stand for 5,000 at 4 ms, where it takes 26 calls each if
        all watch discovery (docs/CAPACITY.md).
        """
        for outage in (3, 10):
            for seed in range(3):
                with self.subTest(outage=outage, seed=seed):
                    simulation = ReturnSimulation(1_000, 4, outage * SECOND_US, 20_000, seed)
                    simulation.run()
                    self.assertTrue(all(simulation.updated_at))
                    self.assertLess(
                        max(time for time in simulation.updated_at if time is not None) - simulation.return_at,
                        6 * SECOND_US,
                    )
                    self.assertLess(simulation.calls + simulation.owner_calls, 2 * 1_000)


if __name__ == "__main__":
    unittest.main()
