"""During a move proxies of the old build and of the new stand before the same backends: a pool that asks for its list and
hears no reports, and proxies beside their clients, with reports. Each counts all of both in its group."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

from pepperusher import terms
from pepperusher.net import bootstrap
from pepperusher.net.proxy import Proxy
from pepperusher.policy import Balancer
from pepperusher.terms import DONE, TIMED_OUT, Backend, Ticket

from tests.crowd import STEP, Crowd
from tests.scene import SECOND, SETTINGS, TraceTestCase, ProxyTestCase, policy_settings

OLD, NEW = "old", "new"


class Greedy(Balancer):
    """Never refuses, whatever it predicts: what a kind that starves the other would be."""

    def _in_time(self, *given: object) -> bool:
        return True


class Mixed(Crowd):
    """`old` proxies of a pool and `new` ones beside their clients, which answers tell of the load."""

    def __init__(self, old: int, new: int, greedy: bool = False) -> None:
        super().__init__(old + new)
        self.kinds = [OLD] * old + [NEW] * new
        for at in range(old, old + new):
            changes = {
                "is_sidecar": True,
                "reported_by": terms.REPORTS_IN_RESPONSES,
                "group_size": old + new,
                "proxy_index": at,
                "seed": at,
            }
            self.grounds[at] = policy_settings(**changes)
            self.balancers[at] = (Greedy if greedy else Balancer)(self.grounds[at], self.now, lambda line: None)
        self.told: dict[str, int] = {}
        self.time: Counter[str] = Counter()  # of backends, by kind
        self.late: list[str] = []  # sent to after it was told to drain
        self.drains: set[str] = set()

    def list(self, *names: str, speed: float = 1.0, born: int = 0, ready: bool = True) -> None:
        super().list(*names, speed=speed, born=born, ready=ready)
        self.drains = self.drains | set(names) if not ready else self.drains - set(names)

    def play_evenly(self, seconds: float, rate: float, work: float) -> None:
        """Each kind is asked for half of `rate`, by as many tickets."""
        for step in range(round(seconds * SECOND / STEP)):
            self.now += STEP
            if step % 80 == 0:  # refreshed each 0.4 s
                self.told = {name: len(core.work) for name, core in self.cores.items()}
            for name, core in self.cores.items():
                for ticket in core.work:
                    self.time[self.kinds[self.out[ticket][0]]] += STEP / max(1, len(core.work))
                for ticket in core.turn(self.now):
                    self._end(name, ticket, DONE)
            for ticket, (_, until) in list(self.out.items()):
                if self.now >= until:
                    self._end(ticket.attempts[-1].backend.address, ticket, TIMED_OUT)
            for kind in (OLD, NEW):
                if self.chance.random() < rate / 2 * STEP / SECOND:
                    self._ask(kind, work)

    def _ask(self, kind: str, work: float) -> None:
        one = self.chance.choice([at for at, of in enumerate(self.kinds) if of == kind])
        ticket = Ticket(self.grounds[one].use_cases[0], None, self.now, self.now + 2 * SECOND)
        backend = self.balancers[one].choose_backend(ticket, self.now)
        self.tally[kind, "asked"] += 1
        if not isinstance(backend, Backend):
            self.tally[kind, "bounced"] += 1
            return
        if backend.address in self.drains:
            self.late.append(backend.address)
        core = self.cores[backend.address]
        core.work[ticket] = self.chance.expovariate(1 / work)
        core.sent.append(self.now)
        self.out[ticket] = one, self.now + self.balancers[one].wait_time(ticket, self.now)

    def _end(self, name: str, ticket: Ticket, how: int) -> None:
        one = self.out[ticket][0]
        if self.kinds[one] == NEW:
            self.balancers[one].record_load_report(
                ticket.attempts[-1].backend, {terms.LOAD_ACTIVE: self.told.get(name, 0)}, self.now
            )
        in_time = self.now - ticket.arrived_at <= ticket.use_case.latency_target
        self.tally[self.kinds[one], "in time" if how == DONE and in_time else "late"] += 1
        super()._end(name, ticket, how)

    def done(self, kind: str) -> float:
        return self.tally[kind, "in time"] / self.tally[kind, "asked"]

    def part_of_time(self, kind: str) -> float:
        return self.time[kind] / sum(self.time.values())


class Fair(TraceTestCase):
    # Of each kind's tickets, which come alike: how far what is done in time may lie apart, and a kind's part of the
    # backends' time from the half that it is asked for.
    DONE_APART = 0.12
    TIME_APART = 0.12

    def fair(self, crowd: Mixed) -> bool:
        return (
            abs(crowd.done(OLD) - crowd.done(NEW)) <= self.DONE_APART
            and abs(crowd.part_of_time(NEW) - 0.5) <= self.TIME_APART
        )

    def played(self, load: float, greedy: bool = False, old: int = 4, new: int = 12) -> Mixed:
        """Ten backends; one drains half-way, and one starts fresh."""
        crowd = Mixed(old, new, greedy)
        crowd.list(*(f"b{one}" for one in range(10)))
        work, rate = 0.06, load * 10 / 0.06
        crowd.play_evenly(8, rate, work)
        crowd.list("b0", ready=False)
        crowd.list("f0", born=crowd.now)
        crowd.play_evenly(8, rate, work)
        self.lines.append(
            f"load {load}, {old} old and {new} new{', these greedy' if greedy else ''}: in time of the old"
            f" {crowd.done(OLD):.2f}, of the new {crowd.done(NEW):.2f}; the new kind's part of the time"
            f" {crowd.part_of_time(NEW):.2f}; sent to what drains {len(crowd.late)}"
        )
        self.assertEqual(crowd.late, [])
        # What the rule allows a fresh one in any 2 s: three times its share of 0.4 and more, in tickets.
        sent = crowd.cores["f0"].sent
        most = max((sum(since <= at < since + 2 * SECOND for at in sent) for since in sent), default=0)
        self.assertLess(most, 3 * 0.4 * 2 / work)
        return crowd

    def test_neither_kind_starves_the_other_and_a_greedy_one_is_seen(self) -> None:
        self.lines = []
        for load in (0.5, 0.8, 1.2):
            self.assertTrue(self.fair(self.played(load)), self.lines[-1])
        for old, new in ((1, 15), (12, 4)):
            self.assertTrue(self.fair(self.played(0.8, old=old, new=new)), self.lines[-1])
        # The same measure turns a kind down that never refuses.
        self.assertFalse(self.fair(self.played(1.2, greedy=True)), self.lines[-1])
        self.compare_trace("mixed_fair")


class OnSockets(ProxyTestCase):
    async def test_one_of_each_kind_as_whole_proxies_before_the_same_backends(self) -> None:
        """Tickets of all kinds at both, one backend drained under way and one failing: an answer for each, an effect once."""
        await self.open("a1", "b1", "c1", settings={**SETTINGS, "group-size": 2, "discovery": "ask"})
        new = json.loads(self.given)
        new["name"], new["settings"] = (
            "p2",
            {
                **SETTINGS,
                "group-size": 2,
                "proxy_index": 1,
                "family": "mesh",
                "discovery": "push",
                "reporting": {"how": "piggyback", "names": ["active", "cpu"]},
            },
        )
        old, self.given = self.given, json.dumps(new)
        read = self.read_again()
        read.listen = ("127.0.0.1", 0)
        self.given = old
        second = Proxy(read, lambda before: before)
        second._log.say = lambda line, figures=None: None
        serving = asyncio.create_task(second.serve())
        await self.until(lambda: second.port and len(self.watches) == 2)
        for toy in self.fake_backends.values():
            toy.does = ["HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT active=1\r\nContent-Length: 2\r\n\r\nok"] * 300
        self.fake_backends["b1"].does[5:8] = ["HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"] * 3
        answers: Counter[tuple[int, str]] = Counter()
        at_drain: list[int] = []

        async def client(which: int, port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for number in range(60):
                use = ("look", "book", "pay")[number % 3]
                writer.write(self.request(use, 1000 * which + number, "x" * (use != "look")))
                answers[which, (await self.hear(reader)).split()[0]] += 1
                if number == 30 and which == 1:
                    for watch in (0, 1):
                        self.endpoint_update(2, self.line("c1", "draining"), watch=watch)
                    await asyncio.sleep(0.25)
                    at_drain.append(len(self.lines))
            writer.close()

        await asyncio.gather(client(1, self.proxy.port), client(2, second.port))
        second.stop()
        await asyncio.wait_for(serving, 10)
        for which in (1, 2):
            self.assertEqual(sum(answers[which, how] for how in ("200", "502", "503")), 60, answers)
            self.assertGreaterEqual(answers[which, "200"], 57, answers)
        self.assertFalse([line for line in self.lines[at_drain[0] :] if "c1 gets" in line])
        ran = Counter(line.split(" id ")[1].split()[0] for line in self.lines if "gets POST /pay" in line)
        self.assertEqual(set(ran.values()), {1})
