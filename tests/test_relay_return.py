"""Discovery comes back to a crowd whose control machines lost it too: how many calls it has before all are told again, in
virtual time. A queue as docs/CAPACITY.md has it: 64 calls wait, more are refused at once."""

from __future__ import annotations

import heapq
import unittest
from collections import deque
from random import Random
from typing import Any

from pepperusher.distribution.endpoint_source import CONTROL, EndpointSource
from pepperusher.distribution.relay import PAUSE_LEAST, PAUSE_MOST
from pepperusher.distribution.messages import Version

SECOND = 1_000_000
ROOM = 64
# A proxy's own pauses after a call that was refused, as `policy.list_failed` has them.
LEAST, MOST = SECOND // 2, 2_500_000


class Return:
    """Away for `outage`, and back at `self.back` with something new."""

    def __init__(self, proxies: int, owners: int, outage: int, cost: int, seed: int) -> None:
        chance = self.chance = Random(seed)
        self.owners, self.cost = owners, cost
        gone = 10 * SECOND
        self.back = gone + outage
        self.queue: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self.count = 0
        self.free_at, self.starts = 0, deque[int]()
        self.calls = self.owner_calls = 0
        self.told_at: list[int | None] = [None] * proxies
        self.asks, self.watches, self.turns = [False] * proxies, [False] * proxies, [0] * proxies
        self.pauses, self.owner_pauses = [0] * proxies, [0] * owners
        self.sources = [EndpointSource(0, Random(seed * 100_000 + number), 1) for number in range(proxies)]
        # Discovery's words come every 2 s to each owner; the last of them is as long ago when it goes.
        for owner in range(owners):
            last = gone - chance.randrange(2 * SECOND)
            for number in range(owner, proxies, owners):
                source = self.sources[number]
                source.set_relayed_version(Version(1, 1), 1)
                source.confirm_relayed_version(Version(1, 1), last)
                self.at(source.step(last, False).wake_at, "wake", number)
                assert source.active == CONTROL
            self.at(gone, "owner calls", owner)

    def at(self, when: int, what: str, *of: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what, of))

    def taken(self, now: int, *who: Any) -> bool:
        """Whether the call waits: then it is worked through, whoever has left meanwhile."""
        while self.starts and self.starts[0] <= now:
            self.starts.popleft()
        if now < self.back or len(self.starts) >= ROOM:
            return False
        start = max(now, self.free_at)
        self.free_at = start + self.cost
        self.starts.append(start)
        self.at(self.free_at, *who)
        return True

    def look(self, now: int, number: int) -> None:
        step = self.sources[number].step(now, self.watches[number])
        if step.apply_relayed_list and self.told_at[number] is None and now > self.back:
            self.told_at[number] = now
        if step.watch_discovery != self.asks[number]:
            self.asks[number], self.watches[number] = step.watch_discovery, False
            self.turns[number] += 1
            self.pauses[number] = 0
            if step.watch_discovery:
                self.at(now, "calls", number, self.turns[number])
        if self.sources[number].active == CONTROL:
            self.at(step.wake_at, "wake", number)

    def run(self) -> None:
        chance = self.chance
        while self.queue and not all(self.told_at):
            now, _, what, of = heapq.heappop(self.queue)
            if now > self.back + 30 * SECOND:
                return
            number = of[0]
            if what == "wake":
                self.look(now, number)
            elif what == "calls" and self.asks[number] and self.turns[number] == of[1] and not self.watches[number]:
                self.calls += now >= self.back
                if not self.taken(now, "answered", *of):
                    self.pauses[number] = min(MOST, 2 * self.pauses[number] or LEAST)
                    self.at(now + int(self.pauses[number] * chance.uniform(0.5, 1.0)), "calls", *of)
            elif what == "answered" and self.asks[number] and self.turns[number] == of[1]:
                self.watches[number] = True
                self.sources[number].set_discovery_version(2, now)
                self.told_at[number] = self.told_at[number] or now
            elif what == "owner calls":
                self.owner_calls += now >= self.back
                if not self.taken(now, "owner told", number):
                    self.owner_pauses[number] = pause = min(PAUSE_MOST, 2 * self.owner_pauses[number] or PAUSE_LEAST)
                    self.at(now + chance.randrange(pause // 2, pause + 1), "owner calls", number)
            elif what == "owner told":
                for one in range(number, len(self.sources), self.owners):
                    self.at(now + 20_000 + chance.randrange(50_000), "word", one, now)
            elif what == "word":
                self.sources[number].set_relayed_version(Version(1, 2), 2)
                self.sources[number].confirm_relayed_version(Version(1, 2), of[1])
                self.look(now, number)


class Returns(unittest.TestCase):
    def test_all_are_told_in_time_by_fewer_calls_than_two_each(self) -> None:
        """A thousand at five times the cost a call, as 5,000 at 4 ms: 26 calls each where all watch discovery (docs/CAPACITY.md)."""
        for outage in (3, 10):
            for seed in range(3):
                with self.subTest(outage=outage, seed=seed):
                    play = Return(1_000, 4, outage * SECOND, 20_000, seed)
                    play.run()
                    self.assertTrue(all(play.told_at))
                    self.assertLess(max(one for one in play.told_at if one is not None) - play.back, 6 * SECOND)
                    self.assertLess(play.calls + play.owner_calls, 2 * 1_000)


if __name__ == "__main__":
    unittest.main()
