"""Many balancers that share a few backends, simulated in one thread and virtual time, for effects that one proxy alone
does not show.

A backend has one core, shared evenly by the calls it holds; `speed` is the work it does in a second, in seconds of
work. All randomness comes from the seed, and a balancer knows only what its interface tells it.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from pepperusher.policy import Balancer
from pepperusher.terms import DONE, TIMED_OUT, Backend, Listing, Ticket

from tests.scene import SECOND, policy_settings

STEP = 5_000


class SimulatedBackend:
    """The actual state of one backend, as opposed to what each proxy knows of it."""

    def __init__(self, speed: float, started_at: int, initial_share: float) -> None:
        self.speed = speed
        self.started_at = started_at
        self.initial_share = initial_share  # initial share of its speed; full speed after 10 s
        self.work: dict[Ticket, float] = {}
        self.sent_times: list[int] = []

    def advance(self, now: int) -> list[Ticket]:
        """Simulates one step and returns the finished tickets."""
        age = 1.0 if not self.started_at else min(1.0, (now - self.started_at) / (10 * SECOND))
        progress = (
            self.speed * (self.initial_share + (1 - self.initial_share) * age) * STEP / SECOND / max(1, len(self.work))
        )
        finished = []
        for ticket in self.work:
            self.work[ticket] -= progress
            if self.work[ticket] <= 0:
                finished.append(ticket)
        return finished


class Crowd:
    """Balancers, their common backends and the tickets in flight."""

    def __init__(self, proxies: int, **changes: object) -> None:
        self.now = 100 * SECOND
        self.rng = Random(5)
        self.settings = [
            policy_settings(group_size=proxies, proxy_index=index, seed=index, **changes) for index in range(proxies)
        ]
        self.balancers = [Balancer(settings, self.now, lambda line: None) for settings in self.settings]
        self.known_backends: list[dict[str, Backend]] = [{} for _ in self.balancers]
        self.backends: dict[str, SimulatedBackend] = {}
        # The balancer that sent it and the time at which its attempt times out.
        self.in_flight: dict[Ticket, tuple[int, int]] = {}
        self.counts: Counter[str] = Counter()

    def list(self, *names: str, speed: float = 1.0, started_at: int = 0, ready: bool = True) -> None:
        """Lists these backends at all balancers."""
        for name in names:
            self.backends.setdefault(name, SimulatedBackend(speed, started_at, 0.4))
        for balancer, known in zip(self.balancers, self.known_backends):
            listings = [
                Listing(known.setdefault(name, Backend(name)), "here", 0, 1.0, started_at, ready) for name in names
            ]
            balancer.update_endpoints(listings, False, self.now)

    def play(self, seconds: float, rate: float, work: float) -> None:
        """Runs `rate` tickets a second over all proxies, each of `work` seconds on average."""
        for _ in range(round(seconds * SECOND / STEP)):
            self.now += STEP
            for name, simulated in self.backends.items():
                for ticket in simulated.advance(self.now):
                    self._finish(name, ticket, DONE)
            for ticket, (_, timeout_at) in list(self.in_flight.items()):
                if self.now >= timeout_at:
                    self._finish(ticket.attempts[-1].backend.address, ticket, TIMED_OUT)
            if self.rng.random() < rate * STEP / SECOND:
                index = self.rng.randrange(len(self.balancers))
                use_case = self.settings[index].use_cases[0]
                ticket = Ticket(use_case, None, self.now, self.now + 2 * SECOND)
                backend = self.balancers[index].choose_backend(ticket, self.now)
                if not isinstance(backend, Backend):
                    self.counts["bounced"] += 1
                    continue
                simulated = self.backends[backend.address]
                simulated.work[ticket] = self.rng.expovariate(1 / work)
                simulated.sent_times.append(self.now)
                self.counts[backend.address] += 1
                self.in_flight[ticket] = index, self.now + self.balancers[index].wait_time(ticket, self.now)

    def _finish(self, name: str, ticket: Ticket, outcome: int) -> None:
        del self.backends[name].work[ticket]
        index, _ = self.in_flight.pop(ticket)
        self.counts["done" if outcome == DONE else "timed out"] += 1
        self.balancers[index].attempt_ended(ticket.attempts[-1], outcome, True, self.now)
