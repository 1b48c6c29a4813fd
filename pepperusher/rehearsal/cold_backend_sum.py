"""Simulates, in virtual time, how many requests all proxies together send to a cold backend, against the limit of the
cold overload rule. The balancing code is the program's own; backends, clients and discovery are models.
`pepperusher cold-figures` prints the figures.

A window begins with each request to a cold backend and has the length that the rule sets. N is the rule's multiple of
the backend's capacity at the begin of the window, which is the lowest within it. The limit is N + 2 x root of N + 2, to
allow for random variation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from heapq import heappop, heappush
from itertools import count
from math import ceil, sqrt
from random import Random
from typing import NamedTuple

from pepperusher import terms
from pepperusher.policy import Balancer
from pepperusher.rehearsal.rule_checker import Records
from pepperusher.rehearsal.script import Script
from pepperusher.terms import AGAIN, DONE, FULL, TIMED_OUT, UNREACHED, Backend, PolicySettings, Listing, Ticket, UseCase

SECOND = 1_000_000
STEP = 5_000
# Warm-up time (us) of the simulation, in which all proxies learn their rates.
LEARNING_TIME = 15 * SECOND
COLD_START_OFFSET = 3 * SECOND
MAX_NOTIFY_DELAY = 2 * SECOND
STALE_NOTIFY_DELAY = 6 * SECOND
# With uneven traffic, one proxy in 15 gets this many times the mean.
UNEVEN_FACTOR = 10.0
# Most requests that a backend executes at once; it rejects further ones.
MAX_CONCURRENT_REQUESTS = 40


class Deployment(NamedTuple):
    """The settings of a simulated deployment: the speed share of a cold backend, its warm-up time, the multiple and
    window of the cold overload rule, the mean work of a request, and the number of backends. Times in seconds."""

    name: str
    share: float
    warm: float
    multiple: float
    window: float
    work: float
    backends: int

    def allowed(self, age: float) -> float:
        """N of a window that begins when the backend has this age (s)."""
        speed_share = self.share + (1.0 - self.share) * min(1.0, max(0.0, age) / self.warm)
        return self.multiple * speed_share * self.window / self.work


class Case(NamedTuple):
    """One simulated scenario: how many backends start cold, over how many seconds (`spread`) their starts are
    distributed, and which disturbances there are."""

    name: str
    cold: float  # share of the backends that start cold; 0 means a single one
    spread: float = 0.0
    zones: int = 1
    uneven: bool = False
    late: bool = False
    stale: int = 0  # number of proxies that learn of the end and of the start STALE_NOTIFY_DELAY late
    restarted: int = 0
    burst: float = 1.0
    load: float = 0.7  # as a share of the capacity of the warm backends
    away: float = 3.0  # time from the end to the start (s); 0 if other backends replace the old ones
    slow: float = 1.0  # speed of the backends that start cold; the endpoint list does not show it
    lost: float = 0.0  # share of the other backends that end for good 1.5 s after the start


class Reading(NamedTuple):
    """The figures of one run or of several.

    `windows` are the evaluated windows and `over` those above the limit; `worst` is the highest ratio of a window's
    count to its limit, with the `count` and the N (`allowed`) of that window. The `by_work` fields are the same for the
    work of the requests instead of their count. `first` are the requests to a cold backend in its first window, as a
    share of N. `served` is the share of all requests after the start that succeeded in time.
    """

    windows: int
    over: int
    worst: float
    count: int
    allowed: float
    over_by_work: int
    worst_by_work: float
    first: float
    served: float


# One request at a backend: its time, whether its proxy knew of the backend's start, and its work (s).
ArrivedRequest = tuple[int, bool, float]


class Server:
    """One simulated backend: its requests share one core evenly."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.up, self.ready, self.born, self.speed = True, True, 0, 1.0
        self.work: dict[Ticket, float] = {}
        # The requests since the backend's last start.
        self.received: list[ArrivedRequest] = []


class Proxy:
    """One proxy: the program's balancer, and the backends that it knows."""

    def __init__(self, number: int, settings: PolicySettings, now: int) -> None:
        self.number, self.settings = number, settings
        self.balancer = Balancer(settings, now, lambda line: None)
        self.known: dict[str, Backend] = {}


class Model:
    """One run of a case in a deployment, with its virtual clock and event queue."""

    def __init__(self, deployment: Deployment, case: Case, proxies: int, seed: int) -> None:
        self.deployment, self.case = deployment, case
        self.now = 1_000 * SECOND
        self.rng = Random(f"{deployment.name}:{case.name}:{seed}")
        zones = [f"z{number}" for number in range(case.zones)]
        servers = [Server(f"b{number:02}", zones[number % len(zones)]) for number in range(deployment.backends)]
        self.servers = {server.name: server for server in servers}
        self.seed, self.zones = seed, zones
        self.proxies = [self._make_proxy(number, proxies) for number in range(proxies)]
        self.proxy_count = proxies
        busy = max(1, proxies // 15) if case.uneven else 0
        other_weight = (proxies - UNEVEN_FACTOR * busy) / (proxies - busy) if busy else 1.0
        self.weights = [UNEVEN_FACTOR if number < busy else other_weight for number in range(proxies)]
        self.rng.shuffle(self.weights)
        self.in_flight: dict[Ticket, tuple[Proxy, Server, int]] = {}
        self.tally: Counter[str] = Counter()
        self.events: list[tuple[int, int, Callable[[], None]]] = []  # a heap of (time, sequence number, event)
        self.order = count()
        self.rate = case.load * deployment.backends / deployment.work
        for proxy in self.proxies:
            self._notify(proxy, list(self.servers.values()))

    def _make_proxy(self, number: int, proxy_count: int) -> Proxy:
        settings, deployment = PolicySettings(), self.deployment
        latency_target = round(20 * deployment.work * SECOND)
        values = {
            "seed": self.seed * 1000 + number + self.now,
            "customers": [],
            "group_size": proxy_count,
            "proxy_index": number,
            "tier_index": 0,
            "last_tier": True,
            "zone": self.zones[number % len(self.zones)],
            "zones": self.zones,
            "most_attempts": 3,
            "cancel_allowed": True,
            "retry_after_allowed": False,
            "max_retry_after": 0,
            "polls_list": False,
            "ask_within": 10 * SECOND,
            "cold_share": deployment.share,
            "warm_after": round(deployment.warm * SECOND),
            "tip_multiple": deployment.multiple,
            "overload_for": round(deployment.window * SECOND),
            "forwards_deadline": True,
            "importance_by_work": False,
            "reported_by": terms.REPORTS_NONE,
            "is_sidecar": False,
            "only_drain_binds": False,
            "list_is_pushed": False,
            "drain_within": SECOND // 2,
            "use_cases": [UseCase("look", latency_target, 2 * latency_target, 1.0)],
        }
        for name, value in values.items():
            setattr(settings, name, value)
        return Proxy(number, settings, self.now)

    # --- events -----------------------------------------------------------------------------------

    def schedule(self, time: int, event: Callable[[], None]) -> None:
        heappush(self.events, (time, next(self.order), event))

    def _notify(self, proxy: Proxy, servers: list[Server]) -> None:
        lines = [
            Listing(
                proxy.known.setdefault(server.name, Backend(server.name)),
                server.zone,
                0,
                1.0,
                server.born,
                server.ready,
            )
            for server in servers
        ]
        proxy.balancer.update_endpoints(lines, False, self.now)

    def _notify_all(self, server: Server, stale: set[int]) -> None:
        """Notifies every proxy of the server's state, each with its own delay."""
        for proxy in self.proxies:
            wait = (
                STALE_NOTIFY_DELAY
                if proxy.number in stale
                else self.rng.random() * MAX_NOTIFY_DELAY
                if self.case.late
                else 0
            )
            self.schedule(
                self.now + int(wait), lambda number=proxy.number: self._notify(self.proxies[number], [server])
            )

    def _stop_server(self, server: Server, stale: set[int]) -> None:
        server.up = server.ready = False
        for ticket, (_, ticket_server, _) in list(self.in_flight.items()):
            if ticket_server is server:
                self._end_attempt(ticket, UNREACHED)
        server.work.clear()
        self._notify_all(server, stale)

    def _start_server(self, server: Server, stale: set[int]) -> None:
        server.up, server.ready, server.born = True, True, self.now
        server.received.clear()
        self._notify_all(server, stale)

    def _replace(self, olds: list[Server], stale: set[int]) -> None:
        """Starts a replacement for each of the old servers, which finish their requests and get no new ones."""
        for old in olds:
            old.ready = False
            new = self.servers[f"n{old.name}"]
            new.speed = self.case.slow
            self._start_server(new, stale)
            self._notify_all(old, stale)

    def _restart(self, number: int) -> None:
        old = self.proxies[number]
        for ticket, (proxy, server, _) in list(self.in_flight.items()):
            if proxy is old:
                del self.in_flight[ticket]
        self.proxies[number] = self._make_proxy(number, self.proxy_count)
        self._notify(self.proxies[number], list(self.servers.values()))

    def play(self) -> Reading:
        """Runs the case and returns the figures of its cold backends."""
        case, deployment = self.case, self.deployment
        cold = list(self.servers.values())
        if case.zones > 1:
            cold = [server for server in cold if server.zone == self.zones[0]]
        else:
            cold = cold[: max(1, ceil(case.cold * len(cold)))]
        stale = set(self.rng.sample(range(self.proxy_count), case.stale))
        start = self.now + LEARNING_TIME
        for index, server in enumerate(cold):
            change_at = start + COLD_START_OFFSET + int(case.spread * SECOND * index / len(cold))
            if not case.away:
                self.schedule(change_at, lambda old=server: self._replace([old], stale))
                continue
            server.speed = case.slow
            change_at -= int(case.away * SECOND)
            self.schedule(change_at, lambda server=server: self._stop_server(server, stale))
            self.schedule(change_at + int(case.away * SECOND), lambda server=server: self._start_server(server, stale))
        if not case.away:
            replacements = [Server(f"n{server.name}", server.zone) for server in cold]
            for server in replacements:
                server.up = server.ready = False
                self.servers[server.name] = server
        others = [server for server in self.servers.values() if server.ready and server not in cold]
        for server in others[: round(case.lost * len(others))]:
            self.schedule(
                start + COLD_START_OFFSET + 3 * SECOND // 2, lambda server=server: self._stop_server(server, stale)
            )
        for number in self.rng.sample(range(self.proxy_count), case.restarted):
            self.schedule(
                start + COLD_START_OFFSET + self.rng.randrange(3 * SECOND), lambda number=number: self._restart(number)
            )
        if case.burst != 1.0:
            self.schedule(start + COLD_START_OFFSET + SECOND, lambda: setattr(self, "rate", self.rate * case.burst))
        self._run_until(start + COLD_START_OFFSET)
        self.tally.clear()
        self._run_until(start + COLD_START_OFFSET + int((case.spread + min(deployment.warm, 10.0)) * SECOND))
        return self._evaluate(cold if case.away else replacements)

    # --- time and requests ------------------------------------------------------------------------

    def _run_until(self, until: int) -> None:
        next_request = self.now + self.rng.expovariate(self.rate) * SECOND
        while self.now < until:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heappop(self.events)[2]()
            for server in self.servers.values():
                if server.work:
                    self._advance_work(server)
            for ticket, (_, _, timeout_at) in list(self.in_flight.items()):
                if self.now >= timeout_at and ticket in self.in_flight:
                    self._end_attempt(ticket, TIMED_OUT)
            while next_request <= self.now:
                self._request(self.rng.choices(self.proxies, self.weights)[0])
                next_request += self.rng.expovariate(self.rate) * SECOND

    def _advance_work(self, server: Server) -> None:
        age = (self.now - server.born) / SECOND if server.born else self.deployment.warm
        share = self.deployment.share + (1.0 - self.deployment.share) * min(1.0, age / self.deployment.warm)
        done_work = server.speed * share * STEP / SECOND / len(server.work)
        for ticket in [ticket for ticket, remaining in server.work.items() if remaining <= done_work]:
            if ticket in self.in_flight:
                self._end_attempt(ticket, DONE)
            else:
                del server.work[ticket]
        for ticket in server.work:
            server.work[ticket] -= done_work

    def _request(self, proxy: Proxy) -> None:
        use = proxy.settings.use_cases[0]
        ticket = Ticket(use, None, self.now, self.now + use.outer_limit)
        self.tally["asked"] += 1
        self._dispatch(proxy, ticket)

    def _dispatch(self, proxy: Proxy, ticket: Ticket) -> None:
        chosen = proxy.balancer.choose_backend(ticket, self.now)
        if not isinstance(chosen, Backend):
            self.tally["rejected"] += 1
            return
        server = self.servers[chosen.address]
        self.in_flight[ticket] = proxy, server, self.now + proxy.balancer.wait_time(ticket, self.now)
        if not server.up:
            self._end_attempt(ticket, UNREACHED)
            return
        work = self.rng.expovariate(1.0 / self.deployment.work)
        server.received.append((self.now, chosen.started_at == server.born, work))
        if len(server.work) >= MAX_CONCURRENT_REQUESTS:
            self._end_attempt(ticket, FULL)
            return
        server.work[ticket] = work

    def _end_attempt(self, ticket: Ticket, outcome: int) -> None:
        proxy, server, _ = self.in_flight.pop(ticket)
        server.work.pop(ticket, None)
        if outcome == DONE:
            self.tally["done"] += self.now - ticket.arrived_at <= ticket.use_case.latency_target
        if proxy.balancer.attempt_ended(ticket.attempts[-1], outcome, outcome == DONE, self.now) == AGAIN:
            self._dispatch(proxy, ticket)

    def _evaluate(self, cold: list[Server]) -> Reading:
        served = self.tally["done"] / max(1, self.tally["asked"])
        return combine(
            [evaluate_windows(self.deployment, server.received, server.born, server.speed, served) for server in cold]
        )


def evaluate_windows(
    deployment: Deployment, received: list[ArrivedRequest], born: int, speed: float = 1.0, served: float = 0.0
) -> Reading:
    """Evaluates the windows of one backend from its start on. `received` are its requests in order of time, and `born` is
    its start in us."""
    window_us = deployment.window * SECOND
    windows = over = over_by_work = worst_count = end_index = 0
    worst = worst_by_work = allowed = 0.0
    first = sum(time < born + window_us for time, _, _ in received) / deployment.allowed(0.0)
    for start_index, (window_start, _, _) in enumerate(received):
        if window_start >= born + deployment.warm * SECOND:
            break
        while end_index < len(received) and received[end_index][0] < window_start + window_us:
            end_index += 1
        requests = received[start_index:end_index]
        # The rule counts a window only if over two thirds of its requests came from proxies that knew of the start.
        if 3 * sum(knew_of_start for _, knew_of_start, _ in requests) <= 2 * len(requests):
            continue
        windows += 1
        window_allowed = speed * deployment.allowed((window_start - born) / SECOND)
        limit = window_allowed + 2 * sqrt(window_allowed) + 2
        work = sum(request_work for _, _, request_work in requests) / deployment.work
        over, over_by_work = over + (len(requests) > limit), over_by_work + (work > limit)
        worst_by_work = max(worst_by_work, work / limit)
        if len(requests) / limit > worst:
            worst, worst_count, allowed = len(requests) / limit, len(requests), window_allowed
    return Reading(windows, over, worst, worst_count, allowed, over_by_work, worst_by_work, first, served)


def readings_of_run(script: Script, records: Records) -> list[Reading]:
    """The figures of a rehearsal with real processes, one for each cold start of a backend during the run. The script
    has to have one tier, one kind of backend, and one use case or the same mean work for all."""
    kind, rules = script.tiers[0].kinds[0], script.rules
    speed = kind.speed * kind.cores
    deployment = Deployment(
        script.title,
        kind.cold_from,
        kind.warm_for / SECOND,
        rules.tip_multiple,
        rules.tip_for / SECOND,
        script.use_cases[0].work.mean / SECOND,
        kind.count,
    )
    proxy_of_ticket = {attempt.name: attempt.proxy for attempt in records.client_attempts}
    readings = []
    for lifetime in records.backend_lifetimes:
        if lifetime.born < 0:
            continue
        notified_at: dict[int, int] = {}
        for notification in records.state_notifications:
            if notification.id == lifetime.id and notification.state == "ready" and notification.at >= lifetime.born:
                notified_at[notification.proxy] = min(
                    notification.at, notified_at.get(notification.proxy, notification.at)
                )
        end = lifetime.ends if lifetime.ends >= 0 else script.span + SECOND
        never = script.span * 2
        received = sorted(
            (
                attempt.first,
                attempt.first >= notified_at.get(proxy_of_ticket.get(attempt.name, -1), never),
                deployment.work,
            )
            for attempt in records.backend_attempts
            if attempt.id == lifetime.id and attempt.place == lifetime.place and lifetime.born <= attempt.first < end
        )
        readings.append(evaluate_windows(deployment, received, lifetime.born, speed))
    return readings


DEPLOYMENTS = [
    Deployment("long-window", 0.34, 8.8, 3.0, 3.0, 0.09, 12),
    Deployment("short-window", 0.31, 8.9, 3.0, 1.0, 0.06, 12),
    Deployment("low-multiple", 0.17, 22.0, 2.5, 1.5, 0.1, 12),
    Deployment("cold-start", 0.13, 24.0, 3.0, 2.0, 0.1, 12),
    Deployment("few-backends", 0.34, 8.8, 3.0, 1.0, 0.1, 5),
]
CASES = [
    Case("single", 0.0),
    Case("all at once", 1.0),
    Case("most at once", 0.6),
    Case("release in 7 s", 1.0, spread=7.0),
    Case("zone back", 0.5, zones=2),
    Case("single, uneven", 0.0, uneven=True),
    Case("all, uneven", 1.0, uneven=True),
    Case("single, told late", 0.0, late=True),
    Case("all, told late", 1.0, late=True),
    Case("single, restarted", 0.0, restarted=10),
    Case("all, restarted", 1.0, restarted=10),
    Case("all, every proxy restarted", 1.0, restarted=30),
    Case("single, stale", 0.0, stale=5),
    Case("all, stale", 1.0, stale=5),
    Case("single, burst", 0.0, burst=1.6),
    Case("most, burst", 0.6, burst=1.6),
    Case("single, all troubles", 0.0, uneven=True, late=True, restarted=8, stale=4, burst=1.6),
    Case("most, all troubles", 0.6, uneven=True, late=True, restarted=8, stale=4, burst=1.6),
    Case("all, all troubles", 1.0, uneven=True, late=True, restarted=8, stale=4, burst=1.6),
    Case("replaced at once", 1.0, away=0.0),
    Case("replaced at once, load 1", 1.0, away=0.0, load=1.0),
    Case("replaced at once, load 1.3", 1.0, away=0.0, load=1.3),
    Case("replaced in 2 s, load 1", 1.0, away=0.0, load=1.0, spread=2.0),
    Case("replaced in 7 s, load 1", 1.0, away=0.0, load=1.0, spread=7.0),
    Case("half replaced at once, load 1", 0.5, away=0.0, load=1.0),
    Case("short loss", 1.0, away=0.3),
    Case("short loss, 1 s apart", 1.0, away=0.3, spread=1.0),
    Case("single, others lost", 0.0, lost=1.0),
    Case("single, most others lost", 0.0, lost=0.6),
    Case("single, from quiet to burst", 0.0, load=0.15, burst=10.0),
    Case("most, from quiet to burst", 0.6, load=0.15, burst=10.0),
    Case("single, slow", 0.0, slow=0.6, load=0.9),
    Case("most, slow", 0.6, slow=0.6, load=0.9),
    Case("most, load 1.3", 0.6, load=1.3),
]


def combine(readings: list[Reading]) -> Reading:
    """Combines the figures of several runs."""
    worst = max(readings, key=lambda reading: reading.worst)
    return Reading(
        sum(reading.windows for reading in readings),
        sum(reading.over for reading in readings),
        worst.worst,
        worst.count,
        worst.allowed,
        sum(reading.over_by_work for reading in readings),
        max(reading.worst_by_work for reading in readings),
        sum(reading.first for reading in readings) / len(readings),
        sum(reading.served for reading in readings) / len(readings),
    )


def rows(proxies: int, seeds: Iterable[int], names: Sequence[str]) -> Iterator[tuple[Deployment, Case, Reading]]:
    """Runs each case in each of the named deployments and yields the figures."""
    for deployment in (deployment for deployment in DEPLOYMENTS if deployment.name in names):
        for case in CASES:
            if proxies >= max(case.restarted, case.stale):
                runs = [Model(deployment, case, proxies, seed).play() for seed in seeds]
                yield deployment, case, combine(runs)


HEAD = (
    "| deployment | case | windows | over | worst, of N + 2 x root of N + 2 | by work"
    " | first window, of N | served |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
)


def line(deployment: Deployment, case: Case, reading: Reading) -> str:
    """One row of the Markdown table that HEAD begins."""
    return (
        f"| {deployment.name} | {case.name} | {reading.windows} | {reading.over}"
        f" | {reading.worst:.2f} ({reading.count} of N {reading.allowed:.1f})"
        f" | {reading.over_by_work} over, {reading.worst_by_work:.2f} | {reading.first:.2f} | {reading.served:.3f} |"
    )
