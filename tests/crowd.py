"""Many balancers before one small ground, in one thread and by one clock: what only a crowd shows.

A backend has a core, shared evenly by what it holds; `speed` is what it does of a second's work in a second. Nothing is
random but by the seed, and nothing is known to a balancer but what the interface tells it.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from pepperusher.policy import Balancer
from pepperusher.terms import DONE, TIMED_OUT, Backend, Listing, Ticket

from tests.scene import SECOND, policy_settings

STEP = 5_000


class Core:
    """One backend as it is, beside the many proxies' pictures of it."""

    def __init__(self, speed: float, born: int, cold: float) -> None:
        self.speed = speed
        self.born = born
        self.cold = cold  # the share it starts at; warm after 10 s
        self.work: dict[Ticket, float] = {}
        self.sent: list[int] = []

    def turn(self, now: int) -> list[Ticket]:
        age = 1.0 if not self.born else min(1.0, (now - self.born) / (10 * SECOND))
        each = self.speed * (self.cold + (1 - self.cold) * age) * STEP / SECOND / max(1, len(self.work))
        over = []
        for ticket in self.work:
            self.work[ticket] -= each
            if self.work[ticket] <= 0:
                over.append(ticket)
        return over


class Crowd:
    def __init__(self, proxies: int, **changes: object) -> None:
        self.now = 100 * SECOND
        self.chance = Random(5)
        self.grounds = [
            policy_settings(group_size=proxies, proxy_index=one, seed=one, **changes) for one in range(proxies)
        ]
        self.balancers = [Balancer(told, self.now, lambda line: None) for told in self.grounds]
        self.pictures: list[dict[str, Backend]] = [{} for _ in self.balancers]
        self.cores: dict[str, Core] = {}
        self.out: dict[Ticket, tuple[int, int]] = {}  # its balancer and when its patience ends
        self.tally: Counter[str] = Counter()

    def list(self, *names: str, speed: float = 1.0, born: int = 0, ready: bool = True) -> None:
        for name in names:
            self.cores.setdefault(name, Core(speed, born, 0.4))
        for balancer, picture in zip(self.balancers, self.pictures):
            lines = [Listing(picture.setdefault(name, Backend(name)), "here", 0, 1.0, born, ready) for name in names]
            balancer.update_endpoints(lines, False, self.now)

    def play(self, seconds: float, rate: float, work: float) -> None:
        """`rate` tickets a second over all proxies, each of `work` seconds on the mean."""
        for _ in range(round(seconds * SECOND / STEP)):
            self.now += STEP
            for name, core in self.cores.items():
                for ticket in core.turn(self.now):
                    self._end(name, ticket, DONE)
            for ticket, (_, until) in list(self.out.items()):
                if self.now >= until:
                    self._end(ticket.attempts[-1].backend.address, ticket, TIMED_OUT)
            if self.chance.random() < rate * STEP / SECOND:
                one = self.chance.randrange(len(self.balancers))
                use = self.grounds[one].use_cases[0]
                ticket = Ticket(use, None, self.now, self.now + 2 * SECOND)
                backend = self.balancers[one].choose_backend(ticket, self.now)
                if not isinstance(backend, Backend):
                    self.tally["bounced"] += 1
                    continue
                core = self.cores[backend.address]
                core.work[ticket] = self.chance.expovariate(1 / work)
                core.sent.append(self.now)
                self.tally[backend.address] += 1
                self.out[ticket] = one, self.now + self.balancers[one].wait_time(ticket, self.now)

    def _end(self, name: str, ticket: Ticket, how: int) -> None:
        del self.cores[name].work[ticket]
        one, _ = self.out.pop(ticket)
        self.tally["done" if how == DONE else "timed out"] += 1
        self.balancers[one].attempt_ended(ticket.attempts[-1], how, True, self.now)
