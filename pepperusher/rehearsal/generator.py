"""The process that plays clients: `python -m pepperusher.rehearsal.generator SCRIPT.json PROCESS WORK
TARGETS`.

Open loop: each first try goes out at its intended time whatever became of those before. It works out the plan
for itself and plays each `processes`-th ticket of it. TARGETS is JSON, each with number, zone and address.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
from pathlib import Path
from random import Random

from pepperusher.rehearsal import script as scripts
from pepperusher.rehearsal import traces
from pepperusher.rehearsal.arrivals import Arrival, Mix, work_of
from pepperusher.rehearsal.caller import Asked, Client, Reply
from pepperusher.rehearsal.client_behavior import RequestBehavior
from pepperusher.rehearsal.records import NOBODY, Stall, ClientAttempt, Writer
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.stalls import StallDetector, SleepMargin
from pepperusher.rehearsal.wire import Start, clock, relative_time
from pepperusher.rehearsal.worker import Orders

BEAT = 5_000
FLUSH_EVERY = 0.25
# Timers of the loop are whole milliseconds of the kernel's, rounded up, and a busy machine wakes later still:
# it sleeps to between these short of a time, and goes round without sleeping for the rest.
COARSE, COARSEST = 1_300, 8_000
# After the last ticket was due, the longest that anything is waited for beyond the longest outer limit.
BEYOND = 1_000_000


# Of so many proxies one gets more than its part where traffic is uneven.
ONE_OF = 15


class Front:
    """Deals tickets out among the proxies of a client's zone that are in, in turn; those kept open go
    first. One of ONE_OF gets `uneven` times the mean."""

    def __init__(
        self, clients: list[tuple[str, Client]], uneven: float = 1.0, seed: int = 0, stays: float = 0.0
    ) -> None:
        self._clients = clients
        self._stays = stays
        self._staying = Random(f"{seed}:stays")
        busy = len(clients) // ONE_OF if uneven > 1.0 else 0
        rest = (len(clients) - uneven * busy) / (len(clients) - busy) if busy else 1.0
        self._weights = {id(one): uneven if place < busy else rest for place, (_, one) in enumerate(clients)}
        self._chance = Random(f"{seed}:front") if busy else None
        self._in = list(clients)
        self._last = list(clients)
        self._turn = 0

    def admit(self, numbers: set[int]) -> None:
        self._in = [one for one in self._clients if one[1].proxy in numbers]
        if self._in:
            self._last = self._in

    def next(self, zone: str) -> Client | None:
        """Where none is in, clients go on as they did; None where there never was one. Some stay with a proxy that is out,
        for as long as a connection to it is open."""
        if self._stays and self._staying.random() < self._stays:
            left = [one for one in self._clients if one not in self._in and one[1].rests]
            if left:
                return self._staying.choice(left)[1]
        those = self._in or self._last
        near = [one for one in those if one[0] == zone] or those
        if not near:
            return None
        if self._chance is not None:
            return self._chance.choices(near, [self._weights[id(one)] for _, one in near])[0][1]
        self._turn += 1
        return near[self._turn % len(near)][1]


class Generator:
    def __init__(self, script: Script, process: int, front: Front, zones: list[str], writer: Writer) -> None:
        self._script = script
        self._process = process
        self._front = front
        self._zones = zones
        self._writer = writer
        self._start = Start()
        self._open: set[asyncio.Task[None]] = set()  # emptied as wishes end
        self._margin = SleepMargin(COARSE, COARSEST)
        self.sent = 0

    def plan(self) -> list[Arrival]:
        if self._script.load.users:
            return []
        return traces.plan_of(self._script)[self._process :: self._script.load.processes]

    async def play(self, start: int, plan: list[Arrival]) -> None:
        self._start.at = start
        loop = asyncio.get_running_loop()
        gc.collect()
        gc.freeze()
        # A collection among tens of thousands of live objects stops all clients for longer than a send may be
        # late; none at all, and a script whose clients open a connection a ticket grows without end.
        gc.set_threshold(20_000, 50, 1_000)
        if self._script.load.users:
            await self._users()
            return
        for arrival in plan:
            due = start + arrival.at
            while (left := due - clock()) > 0:
                if left <= self._margin.now:
                    await asyncio.sleep(0)
                    continue
                wakes = due - self._margin.now
                await asyncio.sleep((wakes - clock()) / 1e6)
                self._margin.record_wakeup(clock() - wakes)
            wish = loop.create_task(self._wish(arrival, due))
            self._open.add(wish)
            wish.add_done_callback(self._open.discard)
            self.sent += 1
        if self._open:
            await asyncio.wait(self._open, timeout=(self._longest() + BEYOND) / 1e6)

    def _longest(self) -> int:
        return max(use.outer for use in self._script.use_cases)

    def _portion(self) -> float:
        """The part of a ticket's work that falls in the first tier, for the hint."""
        return self._script.tiers[0].work

    async def _wish(self, arrival: Arrival, due: int) -> None:
        use = self._script.use_cases[arrival.use]
        wish = RequestBehavior(use, self._script.load, self._script.seed, arrival.order, due)
        intended: int | None = due
        zone = self._zones[arrival.order % len(self._zones)]
        while intended is not None:
            if (left := intended - clock()) > 0:
                await asyncio.sleep(left / 1e6)
            intended = await self._try(arrival, wish, intended, zone)

    async def _try(self, arrival: Arrival, wish: RequestBehavior, intended: int, zone: str) -> int | None:
        """One try; when the next is to be."""
        use, nth = wish.use, wish.nth
        customers = self._script.customers
        name = f"w{arrival.order}.{nth}"
        mark = f"m{arrival.order}" if use.repeat == "referenced" else ""
        hint = round(arrival.work * self._portion()) if self._script.load.hints else -1
        asked = Asked(
            name,
            use,
            customers[arrival.customer].name if arrival.customer >= 0 else "",
            arrival.work,
            wish.timeout,
            mark,
            b"x" * use.body,
            hint,
            nth > 0,
        )
        client = self._front.next(zone)
        reply = Reply(NOBODY) if client is None else await client.ask(asked, wish.wait_time(self._script.rules.slack))
        ended = clock()
        start = self._start.at
        self._writer.add(
            ClientAttempt(
                name,
                f"w{arrival.order}",
                nth,
                mark,
                arrival.use,
                arrival.customer,
                client.proxy if client else -1,
                "",
                arrival.work,
                intended - start,
                relative_time(asked.sent, start),
                relative_time(asked.written, start),
                ended - start,
                reply.how,
                reply.status,
                reply.advice,
                asked.fresh,
                wish.timeout,
                relative_time(asked.crossed, start),
            )
        )
        return wish.next_attempt_time(reply.how, reply.advice, ended)

    async def _users(self) -> None:
        """Closed loop: so many users, each asking again when it has its answer. For comparison, since it
        hides a stall: while it lasts nobody asks."""
        ends = self._start.at + self._script.span
        mix = Mix(self._script)
        orders = iter(range(self._process, 1 << 60, self._script.load.processes))

        async def user(number: int) -> None:
            chance = Random(f"{self._script.seed}:user:{number}")
            while (left := self._start.at - clock()) > 0:
                await asyncio.sleep(left / 1e6)
            while clock() < ends:
                use, customer = mix.draw(chance)
                due = clock()
                arrival = Arrival(
                    due - self._start.at,
                    use,
                    customer,
                    work_of(self._script.use_cases[use], chance),
                    next(orders),
                )
                await self._wish(arrival, due)

        await asyncio.gather(
            *(user(number) for number in range(self._process, self._script.load.users, self._script.load.processes))
        )

    async def beat(self) -> None:
        heart = StallDetector(BEAT, self._script.load.stall)
        flushed = 0.0
        while True:
            stall = heart.beat(clock())
            if stall is not None:
                self._writer.add(Stall(self._process, stall[0] - self._start.at, stall[1] - self._start.at))
            await asyncio.sleep(BEAT / 1e6)
            flushed += BEAT / 1e6
            if flushed >= FLUSH_EVERY:
                flushed = 0.0
                self._writer.flush()


async def run(script: Script, process: int, work: Path, targets: list[dict[str, object]]) -> None:
    kept = script.load.connections == "kept"
    clients = [
        (str(one["zone"]), Client((str(one["host"]), int(str(one["port"]))), int(str(one["number"])), kept))
        for one in targets
    ]
    front = Front(clients, script.load.uneven, script.seed, script.load.stays)
    writer = Writer(work / f"load-{process}.records")
    zones = sorted({zone for zone, _ in clients}) or [""]
    generator = Generator(script, process, front, zones, writer)
    orders = await Orders.open()
    plan = generator.plan()
    orders.say(planned=len(plan))
    playing: asyncio.Task[None] | None = None
    beating: asyncio.Task[None] | None = None
    loop = asyncio.get_running_loop()

    def over(task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            orders.say(failed=f"{type(error).__name__}: {error}")
            return
        writer.flush()
        orders.say(over=True, sent=generator.sent)

    while (order := await orders.next()) is not None:
        if "admit" in order:
            front.admit(set(order["admit"]))
        if "start" in order:
            beating = loop.create_task(generator.beat())
            beating.add_done_callback(over)
            playing = loop.create_task(generator.play(order["start"], plan))
            playing.add_done_callback(over)
    for task in (playing, beating):
        if task is not None:
            task.cancel()
    writer.close()


def main() -> None:
    path, process, work, targets = sys.argv[1:]
    script = scripts.decode(Path(path).read_bytes())
    asyncio.run(run(script, int(process), Path(work), json.loads(targets)))


if __name__ == "__main__":
    main()
