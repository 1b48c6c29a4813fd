"""The load generator process: `python -m pepperusher.rehearsal.generator SCRIPT.json PROCESS WORK TARGETS`.

The load is open-loop: each first attempt is sent at its intended time, whatever the state of earlier ones. Each process
derives the arrival plan from the script and sends every `processes`-th ticket of it. TARGETS is a JSON list of proxies,
each with number, zone, host and port.
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
from pepperusher.rehearsal.caller import OutgoingTicket, Client, Reply
from pepperusher.rehearsal.client_behavior import RequestBehavior
from pepperusher.rehearsal.records import NOBODY, Stall, ClientAttempt, Writer
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.stalls import StallDetector, SleepMargin
from pepperusher.rehearsal.wire import Start, clock, relative_time
from pepperusher.rehearsal.worker import Orders

STALL_CHECK_INTERVAL = 5_000
FLUSH_EVERY = 0.25
# Event loop timers are rounded up to whole milliseconds, and a busy machine wakes the process later still. The
# generator therefore sleeps until a margin (us) before the intended time and polls for the rest. The margin adapts
# between these limits.
MIN_SLEEP_MARGIN, MAX_SLEEP_MARGIN = 1_300, 8_000
# Extra time (us) beyond the longest client time limit for the last tickets to finish.
FINISH_GRACE = 1_000_000


# With uneven traffic, one in this many proxies gets more than its share.
PROXIES_PER_BUSY_PROXY = 15


class Front:
    """Selects the proxy for each ticket: round-robin over the admitted proxies in the client's zone.

    With `uneven` above 1, one in PROXIES_PER_BUSY_PROXY gets `uneven` times the mean traffic. With probability `stays`
    a ticket goes to a proxy that is not admitted, over a connection that is still open.
    """

    def __init__(
        self, clients: list[tuple[str, Client]], uneven: float = 1.0, seed: int = 0, stays: float = 0.0
    ) -> None:
        self._clients = clients
        self._sticky_share = stays
        self._sticky_random = Random(f"{seed}:stays")
        busy_count = len(clients) // PROXIES_PER_BUSY_PROXY if uneven > 1.0 else 0
        other_weight = (len(clients) - uneven * busy_count) / (len(clients) - busy_count) if busy_count else 1.0
        self._weights = {
            id(client): uneven if index < busy_count else other_weight for index, (_, client) in enumerate(clients)
        }
        self._weighted_random = Random(f"{seed}:front") if busy_count else None
        self._admitted = list(clients)
        self._last_admitted = list(clients)
        self._next_index = 0

    def admit(self, numbers: set[int]) -> None:
        """Sets the proxies that clients may select."""
        self._admitted = [target for target in self._clients if target[1].proxy in numbers]
        if self._admitted:
            self._last_admitted = self._admitted

    def next(self, zone: str) -> Client | None:
        """The connections to the selected proxy; None if there is no proxy at all. If no proxy is admitted, the last
        admitted ones stay in use."""
        if self._sticky_share and self._sticky_random.random() < self._sticky_share:
            removed = [
                target for target in self._clients if target not in self._admitted and target[1].has_idle_connection
            ]
            if removed:
                return self._sticky_random.choice(removed)[1]
        candidates = self._admitted or self._last_admitted
        same_zone = [target for target in candidates if target[0] == zone] or candidates
        if not same_zone:
            return None
        if self._weighted_random is not None:
            return self._weighted_random.choices(same_zone, [self._weights[id(client)] for _, client in same_zone])[0][
                1
            ]
        self._next_index += 1
        return same_zone[self._next_index % len(same_zone)][1]


class Generator:
    """Sends the tickets of one load generator process and records their attempts."""

    def __init__(self, script: Script, process: int, front: Front, zones: list[str], writer: Writer) -> None:
        self._script = script
        self._process = process
        self._front = front
        self._zones = zones
        self._writer = writer
        self._start = Start()
        self._open_requests: set[asyncio.Task[None]] = set()  # an entry is removed when its request ends
        self._margin = SleepMargin(MIN_SLEEP_MARGIN, MAX_SLEEP_MARGIN)
        self.sent = 0

    def plan(self) -> list[Arrival]:
        """The arrivals that this process sends; empty for a closed-loop load."""
        if self._script.load.users:
            return []
        return traces.plan_of(self._script)[self._process :: self._script.load.processes]

    async def play(self, start: int, plan: list[Arrival]) -> None:
        """Sends all tickets; returns once all have ended, or after a time limit."""
        self._start.at = start
        loop = asyncio.get_running_loop()
        gc.collect()
        gc.freeze()
        # A garbage collection over tens of thousands of live objects would pause all clients for longer than a send
        # may be late. Without any collection, a script that opens a connection per ticket would leak memory.
        gc.set_threshold(20_000, 50, 1_000)
        if self._script.load.users:
            await self._run_closed_loop()
            return
        for arrival in plan:
            due = start + arrival.at
            while (left := due - clock()) > 0:
                if left <= self._margin.now:
                    await asyncio.sleep(0)
                    continue
                wake_at = due - self._margin.now
                await asyncio.sleep((wake_at - clock()) / 1e6)
                self._margin.record_wakeup(clock() - wake_at)
            request = loop.create_task(self._run_request(arrival, due))
            self._open_requests.add(request)
            request.add_done_callback(self._open_requests.discard)
            self.sent += 1
        if self._open_requests:
            await asyncio.wait(self._open_requests, timeout=(self._longest_time_limit() + FINISH_GRACE) / 1e6)

    def _longest_time_limit(self) -> int:
        return max(use.outer for use in self._script.use_cases)

    def _first_tier_share(self) -> float:
        """The share of a ticket's work that is done in the first tier, for the work hint."""
        return self._script.tiers[0].work

    async def _run_request(self, arrival: Arrival, due: int) -> None:
        use = self._script.use_cases[arrival.use]
        request = RequestBehavior(use, self._script.load, self._script.seed, arrival.order, due)
        intended: int | None = due
        zone = self._zones[arrival.order % len(self._zones)]
        while intended is not None:
            if (left := intended - clock()) > 0:
                await asyncio.sleep(left / 1e6)
            intended = await self._send_attempt(arrival, request, intended, zone)

    async def _send_attempt(self, arrival: Arrival, request: RequestBehavior, intended: int, zone: str) -> int | None:
        """Sends one attempt and records it; returns when the next attempt is due, None if there is none."""
        use, nth = request.use, request.nth
        customers = self._script.customers
        name = f"w{arrival.order}.{nth}"
        mark = f"m{arrival.order}" if use.repeat == "referenced" else ""
        hint = round(arrival.work * self._first_tier_share()) if self._script.load.hints else -1
        ticket = OutgoingTicket(
            name,
            use,
            customers[arrival.customer].name if arrival.customer >= 0 else "",
            arrival.work,
            request.timeout,
            mark,
            b"x" * use.body,
            hint,
            nth > 0,
        )
        client = self._front.next(zone)
        reply = (
            Reply(NOBODY) if client is None else await client.ask(ticket, request.wait_time(self._script.rules.slack))
        )
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
                relative_time(ticket.sent_at, start),
                relative_time(ticket.written_at, start),
                ended - start,
                reply.outcome,
                reply.status,
                reply.retry_after,
                ticket.on_new_connection,
                request.timeout,
                relative_time(ticket.resent_at, start),
            )
        )
        return request.next_attempt_time(reply.outcome, reply.retry_after, ended)

    async def _run_closed_loop(self) -> None:
        """Runs a closed-loop load: each user sends its next ticket once the last one has ended. It exists for
        comparison, since it hides stalls: during a stall no tickets are sent."""
        end_at = self._start.at + self._script.span
        mix = Mix(self._script)
        orders = iter(range(self._process, 1 << 60, self._script.load.processes))

        async def user(number: int) -> None:
            user_random = Random(f"{self._script.seed}:user:{number}")
            while (left := self._start.at - clock()) > 0:
                await asyncio.sleep(left / 1e6)
            while clock() < end_at:
                use, customer = mix.draw(user_random)
                due = clock()
                arrival = Arrival(
                    due - self._start.at,
                    use,
                    customer,
                    work_of(self._script.use_cases[use], user_random),
                    next(orders),
                )
                await self._run_request(arrival, due)

        await asyncio.gather(
            *(user(number) for number in range(self._process, self._script.load.users, self._script.load.processes))
        )

    async def beat(self) -> None:
        """Records stalls of the event loop of this process, and flushes the records regularly."""
        stall_detector = StallDetector(STALL_CHECK_INTERVAL, self._script.load.stall)
        since_flush = 0.0
        while True:
            stall = stall_detector.beat(clock())
            if stall is not None:
                self._writer.add(Stall(self._process, stall[0] - self._start.at, stall[1] - self._start.at))
            await asyncio.sleep(STALL_CHECK_INTERVAL / 1e6)
            since_flush += STALL_CHECK_INTERVAL / 1e6
            if since_flush >= FLUSH_EVERY:
                since_flush = 0.0
                self._writer.flush()


async def run(script: Script, process: int, work: Path, targets: list[dict[str, object]]) -> None:
    reuse_connections = script.load.connections == "kept"
    clients = [
        (
            str(target["zone"]),
            Client((str(target["host"]), int(str(target["port"]))), int(str(target["number"])), reuse_connections),
        )
        for target in targets
    ]
    front = Front(clients, script.load.uneven, script.seed, script.load.stays)
    writer = Writer(work / f"load-{process}.records")
    zones = sorted({zone for zone, _ in clients}) or [""]
    generator = Generator(script, process, front, zones, writer)
    orders = await Orders.open()
    plan = generator.plan()
    orders.say(planned=len(plan))
    play_task: asyncio.Task[None] | None = None
    stall_check_task: asyncio.Task[None] | None = None
    loop = asyncio.get_running_loop()

    def report_end(task: asyncio.Task[None]) -> None:
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
            stall_check_task = loop.create_task(generator.beat())
            stall_check_task.add_done_callback(report_end)
            play_task = loop.create_task(generator.play(order["start"], plan))
            play_task.add_done_callback(report_end)
    for task in (play_task, stall_check_task):
        if task is not None:
            task.cancel()
    writer.close()


def main() -> None:
    path, process, work, targets = sys.argv[1:]
    script = scripts.decode(Path(path).read_bytes())
    asyncio.run(run(script, int(process), Path(work), json.loads(targets)))


if __name__ == "__main__":
    main()
