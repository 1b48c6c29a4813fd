"""Compares a group of complete proxies and a group of hollow proxies under the same churn: datagrams, bytes and
streams between their members, and the members' views, by kind.

The same kind of relays counts the traffic of both groups at the same times. Each fault reaches both groups before
the next step begins.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

from pepperusher.rehearsal.group_run import IN
from pepperusher.rehearsal.hollow_fidelity import BACKENDS, TOLERANCE, FidelityComparison, ServeProcess
from pepperusher.rehearsal.hollow_group import count_view
from pepperusher.rehearsal.hollow_group_run import KEY, PERIOD, PORT, HollowGroupRun, member_host
from pepperusher.rehearsal.hollow_group_run import ANSWER_TIMEOUT
from pepperusher.rehearsal.hollow_plan import Place, Plan, row
from pepperusher.rehearsal.hollow_run import DISCOVERY, OWN
from pepperusher.rehearsal.loopback_networks import reserve_network
from pepperusher.rehearsal.worker import Worker

SEEDS = 3
# Numbers of the members that take a ban, are killed, are suspended and leave, the same in both groups. The hollow
# member that is suspended has its own process.
BANNING, KILLED, STOPPED, LEAVING = 0, 1, 2, 3
MIN_SIZE = 5
BANNED = "s0-11"
# Number of processes for the other hollow members. With a single process on a busy machine, twenty hollow members
# would have a twentieth of the processor time of twenty complete proxies and would start later.
WORKER_COUNT = 4
# Host numbers of the complete proxies start after those of the hollow members.
FIRST_COMPLETE_HOST = 1000
STEP_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.05
LOG_POLL_INTERVAL_S = 0.005
# Traffic is counted in total, for the join phase including SETTLE_S after it, and for an idle span of QUIET_S.
SETTLE_S, QUIET_S = 4.0, 10.0
TRAFFIC_KINDS = {
    "came": "datagrams sent",
    "passed": "datagrams received",
    "came bytes": "bytes sent",
    "passed bytes": "bytes received",
    "streams": "streams",
    "stream bytes": "stream bytes",
}
VIEW_KINDS = ("alive", "suspected", "lost", "gone", "doubled", "orders on", "share of", "reaches majority")


def layout(size: int) -> Plan:
    """Two views with the same list: the first for complete proxies, the second for hollow ones."""
    rows = [row(0, number, 0) for number in range(BACKENDS)]
    places = [
        Place(index, f"m{index}", 0, 0, 1, WORKER_COUNT if index == STOPPED else index % WORKER_COUNT)
        for index in range(size)
    ]
    return Plan([rows], [[0], [0]], places, [0] * (WORKER_COUNT + 1))


class ComparisonRun(HollowGroupRun):
    """The run of the hollow group, with relays for the same number of complete proxies."""

    complete_relays: Worker

    async def start_processes(self) -> None:
        await super().start_processes()
        self.complete_relays = await self._start_process(
            "hollow_group_links", "ways 1", str(self._seed * 1000 + 1), f"127.{self._net}.0.11"
        )
        await self.complete_relays.said("standing", STEP_TIMEOUT_S)
        listen_addresses = {str(place.number): [self.complete_host(place.number), PORT] for place in self.plan.places}
        self.complete_addresses = (await self._ask(self.complete_relays, "open", at=listen_addresses, side=""))[
            "fronts"
        ]

    def complete_host(self, number: int) -> str:
        return member_host(self._net, FIRST_COMPLETE_HOST + number)

    def listen(self, number: int) -> str:
        return f"{self.complete_host(number)}:7070"

    def console(self, number: int) -> str:
        return f"{self.complete_host(number)}:7071"

    def configuration_text(self, number: int) -> str:
        """The configuration text of a complete proxy."""
        host, port = self.complete_addresses[str(number)]
        seeds = [":".join(map(str, self.complete_addresses[str(seed)])) for seed in self.seeds()]
        return (
            f'{OWN}\n[group]\nlisten = "{self.complete_host(number)}:{PORT}"\nadvertise = "{host}:{port}"\n'
            f'seeds = {json.dumps(seeds)}\nkey = "{KEY}"\n'
            f'period = "{self._period}us"\nwithin = "{self._within}us"\n'
        )

    async def relay_traffic(self, ways: Worker) -> Counter[str]:
        """The traffic through these relays so far."""
        return Counter((await self._ask(ways, "counts"))["counts"])

    async def end(self) -> None:
        await super().end()
        if hasattr(self, "whole_ways"):
            await self.complete_relays.end()


class CompleteGroup:
    """The group of complete proxies and the queries to its members."""

    def __init__(self, run: ComparisonRun, work: Path, size: int) -> None:
        self._run, self._work, self._size = run, work, size
        self.proxies = [
            ServeProcess(work, index, size, run.console(index) if index == BANNING else "", run.listen(index))
            for index in range(size)
        ]
        self.excluded: set[int] = set()

    def log(self, index: int) -> Path:
        return self._work / f"w{index}.log"

    async def view(self, index: int) -> dict[str, Any] | None:
        return await self.proxies[index].ask("members")

    async def views(self) -> list[dict[str, Any]]:
        indices = [index for index in range(self._size) if index not in self.excluded]
        return [view for view in await asyncio.gather(*map(self.view, indices)) if view is not None]

    async def all_find(self, number: int, state: str) -> bool:
        """Whether every running member finds member `number` in this state."""
        views = await self.views()
        return len(views) == self._size - len(self.excluded) and all(
            any(row["name"] == f"w{number}" and row["found"] == state for row in view["members"]) for view in views
        )

    async def all_alive(self) -> bool:
        views = await self.views()
        return len(views) == self._size and all(
            sum(row["found"] == "alive" for row in view["members"]) == self._size - 1 for view in views
        )

    async def all_have_ban(self, backend: str) -> bool:
        views = await self.views()
        return all(any(key == backend and on for _, key, on, _ in view["orders"]) for view in views)

    async def ban(self, backend: str) -> None:
        """Sets a ban at the console of one member. Raises RuntimeError if the call is refused."""
        host, _, port = self._run.console(BANNING).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"POST /-/backends/{backend}/disable HTTP/1.1\r\nHost: console\r\n\r\n".encode())
            if not (line := await reader.readline()).startswith(b"HTTP/1.1 200"):
                raise RuntimeError(f"complete proxy refused a ban: {line!r}")
        finally:
            writer.close()

    def signal(self, number: int, signal_number: int) -> None:
        self.proxies[number].process.send_signal(signal_number)

    async def end(self) -> None:
        await asyncio.gather(*(proxy.end() for proxy in self.proxies))


async def _wait_until(description: str, *conditions: Callable[[], Awaitable[bool]]) -> None:
    """Waits until every condition holds. Raises RuntimeError on time-out."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    for condition in conditions:
        while not await condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"condition not met within {STEP_TIMEOUT_S:g} s: {description}")
            await asyncio.sleep(POLL_INTERVAL_S)


async def compare(
    size: int,
    seed: int,
    work: Path,
    say: Callable[[str], None],
    period: int = PERIOD,
    within: int = ANSWER_TIMEOUT,
    settles: float = SETTLE_S,
    quiet: float = QUIET_S,
) -> dict[str, Any]:
    """Compares two groups of `size` members each, at least MIN_SIZE. Raises WorkerError if a process of the run failed,
    RuntimeError if a step did not complete in either group.
    """
    if size < MIN_SIZE:
        raise RuntimeError(f"the comparison needs at least {MIN_SIZE} members")
    with reserve_network() as net:
        run = ComparisonRun(layout(size), seed, work, say, net, period, within)
        complete = CompleteGroup(run, work, size)
        try:
            return await _run_comparison(run, complete, size, seed, settles, quiet, say)
        finally:
            await complete.end()
            await run.end()


async def _run_comparison(
    run: ComparisonRun,
    complete: CompleteGroup,
    size: int,
    seed: int,
    settles: float,
    quiet: float,
    say: Callable[[str], None],
) -> dict[str, Any]:
    def running(number: int) -> Iterable[int]:
        return [
            comparison for comparison in range(size) if comparison != number and comparison not in complete.excluded
        ]

    async def found(description: str, number: int, state: str) -> None:
        await _wait_until(
            description,
            lambda: complete.all_find(number, state),
            lambda: run.wait_until_found([f"m{number}"], state, 0.0, running(number)),
        )

    await run.start_processes()
    say(f"{size} complete and {size} hollow members join")

    start_times: dict[str, list[float]] = {"whole": [], "hollow": []}  # when each member joined

    async def join(number: int) -> None:
        """Starts a hollow member as soon as the complete proxy with its number is a member, so that both groups
        start at the same rate.
        """
        await complete.proxies[number].start(run.discovery_address(0, 0), run.configuration_text(number))
        await _wait_until_member(complete, number)
        start_times["whole"].append(time.monotonic())
        await run.start_proxies([run.plan.places[number]], DISCOVERY)
        start_times["hollow"].append(time.monotonic())

    await asyncio.gather(*map(join, range(size)))

    await _wait_until("all members know all others", complete.all_alive, lambda: run.wait_until_all_alive(0.0))
    say("all members know all others; idle span")
    mean_starts = {kind: sum(times) / size for kind, times in start_times.items()}
    span = time.monotonic() - min(mean_starts.values()) + settles

    async def count_spans(kind: str, relays: Worker) -> tuple[Counter[str], Counter[str]]:
        """The traffic of the join span and of the idle span after it. The join span begins at the mean start time of
        the group's members, since the complete proxies start first and would otherwise be counted for longer.
        """
        await asyncio.sleep(mean_starts[kind] + span - time.monotonic())
        join_traffic = await run.relay_traffic(relays)
        await asyncio.sleep(quiet)
        return join_traffic, await run.relay_traffic(relays) - join_traffic

    spans = await asyncio.gather(count_spans("whole", run.complete_relays), count_spans("hollow", run.relays[0]))
    say("a member is killed")
    await complete.proxies[KILLED].end()
    await run.ask_all("kill", indices=[KILLED])
    complete.excluded.add(KILLED)
    await found("every member finds the killed member lost", KILLED, "lost")
    say("a member is suspended and resumed")
    complete.signal(STOPPED, signal.SIGSTOP)
    run.freeze([WORKER_COUNT], True)
    complete.excluded.add(STOPPED)
    await found("every member finds the suspended member lost", STOPPED, "lost")
    complete.signal(STOPPED, signal.SIGCONT)
    run.freeze([WORKER_COUNT], False)
    complete.excluded.discard(STOPPED)
    await _wait_until(
        "every member finds the resumed member alive",
        lambda: _finds_resumed_member(complete, STOPPED),
        lambda: run.wait_until_found([f"m{STOPPED}"], "alive", 0.0),
    )
    say("a member leaves")
    complete.signal(LEAVING, signal.SIGTERM)
    await run.query_group("leave", indices=[LEAVING])
    complete.excluded.add(LEAVING)
    await found("every member finds the leaving member gone", LEAVING, "gone")
    say("a ban is set at one member")
    await complete.ban(BANNED)
    ordered_at = await run.ban(BANNING, BANNED, True)
    await _wait_until(
        "every member has the ban",
        lambda: complete.all_have_ban(BANNED),
        lambda: run.wait_for_all("holds", 0.0, "holds", backend=BANNED, at=ordered_at, on=True),
    )
    await asyncio.sleep(settles)
    views, (hollow_views, hollow_state) = await complete.views(), await run.views_and_state(finds=True)
    complete_total, hollow_total = await asyncio.gather(
        run.relay_traffic(run.complete_relays), run.relay_traffic(run.relays[0])
    )
    member_traffic, longest, _ = await run.group_traffic()
    complete_views: Counter[str] = Counter()
    for view in views:
        complete_views.update(count_view(view))
    (complete_joined, complete_quiet), (hollow_joined, hollow_quiet) = spans
    comparisons = [
        FidelityComparison(label + name, complete_counts[key], hollow_counts[key])
        for label, complete_counts, hollow_counts in (
            ("join: ", complete_joined, hollow_joined),
            ("quiet: ", complete_quiet, hollow_quiet),
            ("", complete_total, hollow_total),
        )
        for key, name in TRAFFIC_KINDS.items()
    ]
    comparisons += [
        FidelityComparison(f"finds: {kind}", complete_views[kind], hollow_views[kind]) for kind in VIEW_KINDS
    ]
    return {
        "size": size,
        "seed": seed,
        "refused": [],
        "kinds": [{**comparison._asdict(), "agrees": comparison.agrees} for comparison in comparisons],
        # The hollow members also count their own traffic; the scenarios use these counts.
        "at_members": {
            "sent": member_traffic["datagrams out"],
            "received": member_traffic["datagrams in"],
            "bytes sent": member_traffic["bytes out"],
            "longest": longest,
        },
        "kept": dict(hollow_state),
        "lost_under_way": {"whole": complete_total["lost"], "hollow": hollow_total["lost"]},
        "within": TOLERANCE,
        "verdict": "passed" if all(comparison.agrees for comparison in comparisons) else "failed",
    }


async def _wait_until_member(complete: CompleteGroup, number: int) -> None:
    """Waits until the log of a complete proxy says that it joined the group; a query would notice that too late, when
    many others have already started. Raises RuntimeError on time-out.
    """
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while IN not in complete.log(number).read_text(errors="replace"):
        if time.monotonic() > deadline or complete.proxies[number].process.returncode is not None:
            raise RuntimeError(f"w{number} did not become a member in {STEP_TIMEOUT_S:g} s")
        await asyncio.sleep(LOG_POLL_INTERVAL_S)


async def _finds_resumed_member(complete: CompleteGroup, number: int) -> bool:
    """Whether all other members find the resumed member alive."""
    views = await complete.views()
    return len(views) == len(complete.proxies) - len(complete.excluded) and all(
        row["found"] == "alive"
        for view in views
        for row in view["members"]
        if row["name"] == f"w{number}" and row["found"] != "itself"
    )
