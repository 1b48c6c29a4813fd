"""During a migration, proxies of the old and the new deployment share the same backends.

The old ones are a pool that requests its endpoint list and receives no load reports; the new ones are sidecars with
load reports. Each counts all proxies of both kinds in its group size.
"""

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
    """A balancer that never refuses a ticket, whatever it predicts, and so starves the other kind."""

    def _predicted_in_time(self, *arguments: object) -> bool:
        return True


class Mixed(Crowd):
    """`old` proxies of a pool and `new` sidecars, which receive load reports with responses."""

    def __init__(self, old: int, new: int, greedy: bool = False) -> None:
        super().__init__(old + new)
        self.kinds = [OLD] * old + [NEW] * new
        for index in range(old, old + new):
            overrides = {
                "is_sidecar": True,
                "reported_by": terms.REPORTS_IN_RESPONSES,
                "group_size": old + new,
                "proxy_index": index,
                "seed": index,
            }
            self.settings[index] = policy_settings(**overrides)
            self.balancers[index] = (Greedy if greedy else Balancer)(self.settings[index], self.now, lambda line: None)
        self.reported_calls: dict[str, int] = {}
        self.busy_time: Counter[str] = Counter()  # time of the backends, by kind
        self.sent_while_draining: list[str] = []  # the backends of tickets that were sent after the drain had begun
        self.draining: set[str] = set()

    def list(self, *names: str, speed: float = 1.0, started_at: int = 0, ready: bool = True) -> None:
        super().list(*names, speed=speed, started_at=started_at, ready=ready)
        self.draining = self.draining | set(names) if not ready else self.draining - set(names)

    def run_evenly(self, seconds: float, rate: float, work: float) -> None:
        """Each kind receives half of `rate`."""
        for step in range(round(seconds * SECOND / STEP)):
            self.now += STEP
            if step % 80 == 0:  # refreshed every 0.4 s
                self.reported_calls = {name: len(simulated.work) for name, simulated in self.backends.items()}
            for name, simulated in self.backends.items():
                for ticket in simulated.work:
                    self.busy_time[self.kinds[self.in_flight[ticket][0]]] += STEP / max(1, len(simulated.work))
                for ticket in simulated.advance(self.now):
                    self._finish(name, ticket, DONE)
            for ticket, (_, timeout_at) in list(self.in_flight.items()):
                if self.now >= timeout_at:
                    self._finish(ticket.attempts[-1].backend.address, ticket, TIMED_OUT)
            for kind in (OLD, NEW):
                if self.rng.random() < rate / 2 * STEP / SECOND:
                    self._send_ticket(kind, work)

    def _send_ticket(self, kind: str, work: float) -> None:
        """Sends a ticket through a random proxy of this kind."""
        index = self.rng.choice(
            [candidate for candidate, candidate_kind in enumerate(self.kinds) if candidate_kind == kind]
        )
        ticket = Ticket(self.settings[index].use_cases[0], None, self.now, self.now + 2 * SECOND)
        backend = self.balancers[index].choose_backend(ticket, self.now)
        self.counts[kind, "requested"] += 1
        if not isinstance(backend, Backend):
            self.counts[kind, "bounced"] += 1
            return
        if backend.address in self.draining:
            self.sent_while_draining.append(backend.address)
        simulated = self.backends[backend.address]
        simulated.work[ticket] = self.rng.expovariate(1 / work)
        simulated.sent_times.append(self.now)
        self.in_flight[ticket] = index, self.now + self.balancers[index].wait_time(ticket, self.now)

    def _finish(self, name: str, ticket: Ticket, outcome: int) -> None:
        index = self.in_flight[ticket][0]
        if self.kinds[index] == NEW:
            self.balancers[index].record_load_report(
                ticket.attempts[-1].backend, {terms.LOAD_ACTIVE: self.reported_calls.get(name, 0)}, self.now
            )
        in_time = self.now - ticket.arrived_at <= ticket.use_case.latency_target
        self.counts[self.kinds[index], "in time" if outcome == DONE and in_time else "late"] += 1
        super()._finish(name, ticket, outcome)

    def share_in_time(self, kind: str) -> float:
        """Returns the share of a kind's tickets that finished in time."""
        return self.counts[kind, "in time"] / self.counts[kind, "requested"]

    def share_of_time(self, kind: str) -> float:
        """Returns a kind's share of the backends' busy time."""
        return self.busy_time[kind] / sum(self.busy_time.values())


class Fair(TraceTestCase):
    # Both kinds receive the same tickets: the largest difference between their shares finished in time, and the
    # largest deviation of a kind's part of the backends' time from one half.
    DONE_APART = 0.12
    TIME_APART = 0.12

    def is_fair(self, crowd: Mixed) -> bool:
        return (
            abs(crowd.share_in_time(OLD) - crowd.share_in_time(NEW)) <= self.DONE_APART
            and abs(crowd.share_of_time(NEW) - 0.5) <= self.TIME_APART
        )

    def run_load(self, load: float, greedy: bool = False, old: int = 4, new: int = 12) -> Mixed:
        """Runs ten backends; halfway one drains and another starts."""
        crowd = Mixed(old, new, greedy)
        crowd.list(*(f"b{number}" for number in range(10)))
        work_s, rate = 0.06, load * 10 / 0.06
        crowd.run_evenly(8, rate, work_s)
        crowd.list("b0", ready=False)
        crowd.list("f0", started_at=crowd.now)
        crowd.run_evenly(8, rate, work_s)
        self.lines.append(
            f"load {load}, {old} old and {new} new{', these greedy' if greedy else ''}: finished in time by old"
            f" {crowd.share_in_time(OLD):.2f}, by new {crowd.share_in_time(NEW):.2f}; the new kind's share of backend time"
            f" {crowd.share_of_time(NEW):.2f}; sent to draining backends {len(crowd.sent_while_draining)}"
        )
        self.assertEqual(crowd.sent_while_draining, [])
        # The calls that the cold-start rule allows a new backend in any 2 s: three times its share of 0.4.
        sent_times = crowd.backends["f0"].sent_times
        most = max(
            (
                sum(window_start <= sent_at < window_start + 2 * SECOND for sent_at in sent_times)
                for window_start in sent_times
            ),
            default=0,
        )
        self.assertLess(most, 3 * 0.4 * 2 / work_s)
        return crowd

    def test_neither_kind_starves_the_other_and_a_greedy_one_is_seen(self) -> None:
        self.lines = []
        for load in (0.5, 0.8, 1.2):
            self.assertTrue(self.is_fair(self.run_load(load)), self.lines[-1])
        for old, new in ((1, 15), (12, 4)):
            self.assertTrue(self.is_fair(self.run_load(0.8, old=old, new=new)), self.lines[-1])
        # The same check rejects a kind that never refuses a ticket.
        self.assertFalse(self.is_fair(self.run_load(1.2, greedy=True)), self.lines[-1])
        self.compare_trace("mixed_fair")


class OnSockets(ProxyTestCase):
    async def test_one_of_each_kind_as_whole_proxies_before_the_same_backends(self) -> None:
        """Tickets of all use cases at both proxies, with one backend drained and one failing meanwhile: each ticket
        gets an answer, and each side effect happens once."""
        await self.open("a1", "b1", "c1", settings={**SETTINGS, "group-size": 2, "discovery": "ask"})
        sidecar_configuration = json.loads(self.given)
        sidecar_configuration["name"], sidecar_configuration["settings"] = (
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
        old_configuration, self.given = self.given, json.dumps(sidecar_configuration)
        sidecar_bootstrap = self.reload_configuration()
        sidecar_bootstrap.listen = ("127.0.0.1", 0)
        self.given = old_configuration
        sidecar = Proxy(sidecar_bootstrap, lambda before: before)
        sidecar._log.say = lambda line, fields=None: None
        serving = asyncio.create_task(sidecar.serve())
        await self.wait_until(lambda: sidecar.port and len(self.watches) == 2)
        for backend in self.fake_backends.values():
            backend.behaviors = [
                "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT active=1\r\nContent-Length: 2\r\n\r\nok"
            ] * 300
        self.fake_backends["b1"].behaviors[5:8] = ["HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"] * 3
        answers: Counter[tuple[int, str]] = Counter()
        at_drain: list[int] = []

        async def client(number_: int, port: int) -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for number in range(60):
                use = ("look", "book", "pay")[number % 3]
                writer.write(self.request(use, 1000 * number_ + number, "x" * (use != "look")))
                answers[number_, (await self.read_response(reader)).split()[0]] += 1
                if number == 30 and number_ == 1:
                    for watch in (0, 1):
                        self.endpoint_update(2, self.line("c1", "draining"), watch=watch)
                    await asyncio.sleep(0.25)
                    at_drain.append(len(self.lines))
            writer.close()

        await asyncio.gather(client(1, self.proxy.port), client(2, sidecar.port))
        sidecar.stop()
        await asyncio.wait_for(serving, 10)
        for number_ in (1, 2):
            self.assertEqual(sum(answers[number_, how] for how in ("200", "502", "503")), 60, answers)
            self.assertGreaterEqual(answers[number_, "200"], 57, answers)
        self.assertFalse([line for line in self.lines[at_drain[0] :] if "c1 gets" in line])
        ran = Counter(line.split(" id ")[1].split()[0] for line in self.lines if "gets POST /pay" in line)
        self.assertEqual(set(ran.values()), {1})
