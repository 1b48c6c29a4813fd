"""The sum of all proxies at a cold backend, in virtual time: what each backend got in any window of the rule
on cold backends, against what the settings allow. Simulated: the decisions are the program's own, backends,
clients and discovery are the model's. `pepperusher cold-figures` prints the figures.

A window begins with a request at a cold backend and is as long as the rule's. N is the rule's multiple of
what the backend can do as it stands when the window begins, the least in it; chance has 2 x root of N + 2.
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
# Before anything happens all have learned their rates.
BEFORE = 15 * SECOND
AWAY = 3 * SECOND
TOLD_LATEST = 2 * SECOND
STALE_FOR = 6 * SECOND
# A tenth of the proxies have so many times the mean, as far as it goes round.
MANY_TIMES = 10.0
# A backend that holds so many takes no more.
HOLDS = 40


class Deployment(NamedTuple):
    """What settings may tell: the cold share, until when a backend is warm, the rule's multiple and window;
    beside them the mean work of a request (s) and how many backends there are. Times in seconds."""

    name: str
    share: float
    warm: float
    multiple: float
    window: float
    work: float
    backends: int

    def allowed(self, age: float) -> float:
        """N of a window that begins when a backend has this age (s)."""
        grown = self.share + (1.0 - self.share) * min(1.0, max(0.0, age) / self.warm)
        return self.multiple * grown * self.window / self.work


class Case(NamedTuple):
    """What happens: how many backends start cold, when each (s, over which they are spread), and what is
    uneven about the proxies."""

    name: str
    cold: float  # the part of the backends; 0 is a single one
    spread: float = 0.0
    zones: int = 1
    uneven: bool = False
    late: bool = False
    stale: int = 0  # proxies that are told neither of the end nor of the start till much later
    restarted: int = 0
    burst: float = 1.0
    load: float = 0.7  # of what the warm backends can do
    away: float = 3.0  # from the end to the start (s); 0 where others take their places
    slow: float = 1.0  # the speed of those that start cold, where no list tells it
    lost: float = 0.0  # the part of the others that is gone for good, 1.5 s after the start


class Reading(NamedTuple):
    """Of one run, or of several: windows that were judged, those over the limit, the worst count beside its N
    and limit, by count and by work; requests to cold backends in their first window as a part of N; the part
    of all requests that succeeded after the start."""

    windows: int
    over: int
    worst: float
    count: int
    allowed: float
    over_by_work: int
    worst_by_work: float
    first: float
    served: float


# A request as it came to a backend: when, whether its proxy had been told of the start, and its work (s).
Arrived = tuple[int, bool, float]


class Server:
    """One backend as it is: a core shared evenly by what it holds."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.up, self.ready, self.born, self.speed = True, True, 0, 1.0
        self.work: dict[Ticket, float] = {}
        # Since it started; emptied by a start.
        self.sent: list[Arrived] = []


class Proxy:
    """One balancer, and what it has been told of each backend."""

    def __init__(self, number: int, settings: PolicySettings, now: int) -> None:
        self.number, self.settings = number, settings
        self.balancer = Balancer(settings, now, lambda line: None)
        self.known: dict[str, Backend] = {}


class Model:
    def __init__(self, deployment: Deployment, case: Case, proxies: int, seed: int) -> None:
        self.deployment, self.case = deployment, case
        self.now = 1_000 * SECOND
        self.chance = Random(f"{deployment.name}:{case.name}:{seed}")
        zones = [f"z{one}" for one in range(case.zones)]
        servers = [Server(f"b{one:02}", zones[one % len(zones)]) for one in range(deployment.backends)]
        self.servers = {one.name: one for one in servers}
        self.seed, self.zones = seed, zones
        self.proxies = [self._proxy(one, proxies) for one in range(proxies)]
        self.size = proxies
        busy = max(1, proxies // 15) if case.uneven else 0
        rest = (proxies - MANY_TIMES * busy) / (proxies - busy) if busy else 1.0
        self.weights = [MANY_TIMES if one < busy else rest for one in range(proxies)]
        self.chance.shuffle(self.weights)
        self.out: dict[Ticket, tuple[Proxy, Server, int]] = {}
        self.tally: Counter[str] = Counter()
        self.due: list[tuple[int, int, Callable[[], None]]] = []  # a heap; emptied as the times come
        self.order = count()
        self.rate = case.load * deployment.backends / deployment.work
        for proxy in self.proxies:
            self._tell(proxy, list(self.servers.values()))

    def _proxy(self, number: int, size: int) -> Proxy:
        told, deployment = PolicySettings(), self.deployment
        most = round(20 * deployment.work * SECOND)
        given = {
            "seed": self.seed * 1000 + number + self.now,
            "customers": [],
            "group_size": size,
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
            "use_cases": [UseCase("look", most, 2 * most, 1.0)],
        }
        for name, value in given.items():
            setattr(told, name, value)
        return Proxy(number, told, self.now)

    # --- what happens -----------------------------------------------------------------------------

    def at(self, when: int, what: Callable[[], None]) -> None:
        heappush(self.due, (when, next(self.order), what))

    def _tell(self, proxy: Proxy, servers: list[Server]) -> None:
        lines = [
            Listing(proxy.known.setdefault(one.name, Backend(one.name)), one.zone, 0, 1.0, one.born, one.ready)
            for one in servers
        ]
        proxy.balancer.update_endpoints(lines, False, self.now)

    def _spoken(self, server: Server, stale: set[int]) -> None:
        """Every proxy is told how it stands now, each in its own time."""
        for proxy in self.proxies:
            wait = STALE_FOR if proxy.number in stale else self.chance.random() * TOLD_LATEST if self.case.late else 0
            self.at(self.now + int(wait), lambda number=proxy.number: self._tell(self.proxies[number], [server]))

    def _ends(self, server: Server, stale: set[int]) -> None:
        server.up = server.ready = False
        for ticket, (_, at, _) in list(self.out.items()):
            if at is server:
                self._over(ticket, UNREACHED)
        server.work.clear()
        self._spoken(server, stale)

    def _starts(self, server: Server, stale: set[int]) -> None:
        server.up, server.ready, server.born = True, True, self.now
        server.sent.clear()
        self._spoken(server, stale)

    def _replaced(self, olds: list[Server], stale: set[int]) -> None:
        """Others stand in their places; the old ones finish what they hold."""
        for old in olds:
            old.ready = False
            new = self.servers[f"n{old.name}"]
            new.speed = self.case.slow
            self._starts(new, stale)
            self._spoken(old, stale)

    def _restart(self, number: int) -> None:
        old = self.proxies[number]
        for ticket, (proxy, server, _) in list(self.out.items()):
            if proxy is old:
                del self.out[ticket]
        self.proxies[number] = self._proxy(number, self.size)
        self._tell(self.proxies[number], list(self.servers.values()))

    def play(self) -> Reading:
        case, deployment = self.case, self.deployment
        cold = list(self.servers.values())
        if case.zones > 1:
            cold = [one for one in cold if one.zone == self.zones[0]]
        else:
            cold = cold[: max(1, ceil(case.cold * len(cold)))]
        stale = set(self.chance.sample(range(self.size), case.stale))
        start = self.now + BEFORE
        for place, server in enumerate(cold):
            at = start + AWAY + int(case.spread * SECOND * place / len(cold))
            if not case.away:
                self.at(at, lambda one=server: self._replaced([one], stale))
                continue
            server.speed = case.slow
            at -= int(case.away * SECOND)
            self.at(at, lambda one=server: self._ends(one, stale))
            self.at(at + int(case.away * SECOND), lambda one=server: self._starts(one, stale))
        if not case.away:
            new = [Server(f"n{one.name}", one.zone) for one in cold]
            for one in new:
                one.up = one.ready = False
                self.servers[one.name] = one
        others = [one for one in self.servers.values() if one.ready and one not in cold]
        for server in others[: round(case.lost * len(others))]:
            self.at(start + AWAY + 3 * SECOND // 2, lambda one=server: self._ends(one, stale))
        for number in self.chance.sample(range(self.size), case.restarted):
            self.at(start + AWAY + self.chance.randrange(3 * SECOND), lambda one=number: self._restart(one))
        if case.burst != 1.0:
            self.at(start + AWAY + SECOND, lambda: setattr(self, "rate", self.rate * case.burst))
        self._run(start + AWAY)
        self.tally.clear()
        self._run(start + AWAY + int((case.spread + min(deployment.warm, 10.0)) * SECOND))
        return self._read(cold if case.away else new)

    # --- time and requests ------------------------------------------------------------------------

    def _run(self, until: int) -> None:
        following = self.now + self.chance.expovariate(self.rate) * SECOND
        while self.now < until:
            self.now += STEP
            while self.due and self.due[0][0] <= self.now:
                heappop(self.due)[2]()
            for server in self.servers.values():
                if server.work:
                    self._work(server)
            for ticket, (_, _, due) in list(self.out.items()):
                if self.now >= due and ticket in self.out:
                    self._over(ticket, TIMED_OUT)
            while following <= self.now:
                self._request(self.chance.choices(self.proxies, self.weights)[0])
                following += self.chance.expovariate(self.rate) * SECOND

    def _work(self, server: Server) -> None:
        age = (self.now - server.born) / SECOND if server.born else self.deployment.warm
        share = self.deployment.share + (1.0 - self.deployment.share) * min(1.0, age / self.deployment.warm)
        each = server.speed * share * STEP / SECOND / len(server.work)
        for ticket in [one for one, left in server.work.items() if left <= each]:
            if ticket in self.out:
                self._over(ticket, DONE)
            else:
                del server.work[ticket]
        for ticket in server.work:
            server.work[ticket] -= each

    def _request(self, proxy: Proxy) -> None:
        use = proxy.settings.use_cases[0]
        ticket = Ticket(use, None, self.now, self.now + use.outer_limit)
        self.tally["asked"] += 1
        self._place(proxy, ticket)

    def _place(self, proxy: Proxy, ticket: Ticket) -> None:
        where = proxy.balancer.choose_backend(ticket, self.now)
        if not isinstance(where, Backend):
            self.tally["rejected"] += 1
            return
        server = self.servers[where.address]
        self.out[ticket] = proxy, server, self.now + proxy.balancer.wait_time(ticket, self.now)
        if not server.up:
            self._over(ticket, UNREACHED)
            return
        work = self.chance.expovariate(1.0 / self.deployment.work)
        server.sent.append((self.now, where.started_at == server.born, work))
        if len(server.work) >= HOLDS:
            self._over(ticket, FULL)
            return
        server.work[ticket] = work

    def _over(self, ticket: Ticket, how: int) -> None:
        proxy, server, _ = self.out.pop(ticket)
        server.work.pop(ticket, None)
        if how == DONE:
            self.tally["done"] += self.now - ticket.arrived_at <= ticket.use_case.latency_target
        if proxy.balancer.attempt_ended(ticket.attempts[-1], how, how == DONE, self.now) == AGAIN:
            self._place(proxy, ticket)

    def _read(self, cold: list[Server]) -> Reading:
        served = self.tally["done"] / max(1, self.tally["asked"])
        return joined([read(self.deployment, one.sent, one.born, one.speed, served) for one in cold])


def read(deployment: Deployment, sent: list[Arrived], born: int, speed: float = 1.0, served: float = 0.0) -> Reading:
    """What came to one backend from its start on, in order of time, window by window; `born` in us."""
    span = deployment.window * SECOND
    windows = over = over_by_work = most_sent = ends = 0
    worst = worst_by_work = allowed = 0.0
    first = sum(at < born + span for at, _, _ in sent) / deployment.allowed(0.0)
    for begins, (since, _, _) in enumerate(sent):
        if since >= born + deployment.warm * SECOND:
            break
        while ends < len(sent) and sent[ends][0] < since + span:
            ends += 1
        got = sent[begins:ends]
        # As the rule has it: a fall counts where over two thirds came from those told of the start.
        if 3 * sum(told for _, told, _ in got) <= 2 * len(got):
            continue
        windows += 1
        may = speed * deployment.allowed((since - born) / SECOND)
        most = may + 2 * sqrt(may) + 2
        work = sum(one for _, _, one in got) / deployment.work
        over, over_by_work = over + (len(got) > most), over_by_work + (work > most)
        worst_by_work = max(worst_by_work, work / most)
        if len(got) / most > worst:
            worst, most_sent, allowed = len(got) / most, len(got), may
    return Reading(windows, over, worst, most_sent, allowed, over_by_work, worst_by_work, first, served)


def of_run(script: Script, records: Records) -> list[Reading]:
    """The same of a scenario run with whole processes, one for each start of a cold backend while it ran. The
    script has one tier, one kind of backend, and one mean work."""
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
    proxy = {one.name: one.proxy for one in records.client_attempts}
    readings = []
    for stood in records.backend_lifetimes:
        if stood.born < 0:
            continue
        told: dict[int, int] = {}
        for word in records.state_notifications:
            if word.id == stood.id and word.state == "ready" and word.at >= stood.born:
                told[word.proxy] = min(word.at, told.get(word.proxy, word.at))
        ends = stood.ends if stood.ends >= 0 else script.span + SECOND
        never = script.span * 2
        sent = sorted(
            (one.first, one.first >= told.get(proxy.get(one.name, -1), never), deployment.work)
            for one in records.backend_attempts
            if one.id == stood.id and one.place == stood.place and stood.born <= one.first < ends
        )
        readings.append(read(deployment, sent, stood.born, speed))
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


def joined(readings: list[Reading]) -> Reading:
    """Several runs as one."""
    worst = max(readings, key=lambda one: one.worst)
    return Reading(
        sum(one.windows for one in readings),
        sum(one.over for one in readings),
        worst.worst,
        worst.count,
        worst.allowed,
        sum(one.over_by_work for one in readings),
        max(one.worst_by_work for one in readings),
        sum(one.first for one in readings) / len(readings),
        sum(one.served for one in readings) / len(readings),
    )


def rows(proxies: int, seeds: Iterable[int], names: Sequence[str]) -> Iterator[tuple[Deployment, Case, Reading]]:
    """Each case at each of the deployments named, as it is read."""
    for deployment in (one for one in DEPLOYMENTS if one.name in names):
        for case in CASES:
            if proxies >= max(case.restarted, case.stale):
                runs = [Model(deployment, case, proxies, seed).play() for seed in seeds]
                yield deployment, case, joined(runs)


HEAD = (
    "| deployment | case | windows | over | worst, of N + 2 x root of N + 2 | by work"
    " | first window, of N | served |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
)


def line(deployment: Deployment, case: Case, got: Reading) -> str:
    return (
        f"| {deployment.name} | {case.name} | {got.windows} | {got.over}"
        f" | {got.worst:.2f} ({got.count} of N {got.allowed:.1f})"
        f" | {got.over_by_work} over, {got.worst_by_work:.2f} | {got.first:.2f} | {got.served:.3f} |"
    )
