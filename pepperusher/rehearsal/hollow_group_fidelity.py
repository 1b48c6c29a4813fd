"""A group of whole proxies and a group of hollow ones side by side under the same churn: datagrams, bytes and
streams between their members, and what these find and hold, by kind.

Both groups are counted by the same links, at the same moments; whatever happens, happens to both before
either goes on.
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
from pepperusher.rehearsal.hollow_fidelity import BACKENDS, WITHIN, FidelityComparison, ServeProcess
from pepperusher.rehearsal.hollow_group import kinds_of
from pepperusher.rehearsal.hollow_group_run import KEY, PERIOD, PORT, HollowGroupRun, host_of
from pepperusher.rehearsal.hollow_group_run import WITHIN as ANSWER
from pepperusher.rehearsal.hollow_plan import Place, Plan, row
from pepperusher.rehearsal.hollow_run import DISCOVERY, OWN
from pepperusher.rehearsal.loopback_networks import reserve_network
from pepperusher.rehearsal.worker import Worker

SEEDS = 3
# Who is struck: by number, of both groups the same. The hollow one that stands still has a process of its
# own.
TELLS, KILLED, STOPPED, LEAVES = 0, 1, 2, 3
LEAST = 5
BANNED = "s0-11"
# The others share so many processes: on a busy machine twenty of one process have a twentieth of what as many
# whole ones have, and begin behind them.
PROCESSES = 4
# Whole ones' hosts come after those of the hollow.
HOSTS_FROM = 1000
STEP_WITHIN = 90.0
LOOK_EVERY = 0.05
LOG_EVERY = 0.005
# Datagrams and bytes are counted from the first start; and apart the joining, once it has settled for so
# long, and a span in which nothing happens (s).
SETTLES, QUIET = 4.0, 10.0
TRAFFIC = {
    "came": "datagrams sent",
    "passed": "datagrams received",
    "came bytes": "bytes sent",
    "passed bytes": "bytes received",
    "streams": "streams",
    "stream bytes": "stream bytes",
}
FINDS = ("alive", "suspected", "lost", "gone", "doubled", "orders on", "share of", "reaches majority")


def layout(size: int) -> Plan:
    """Two views of one list: the first is for the whole ones."""
    rows = [row(0, number, 0) for number in range(BACKENDS)]
    places = [
        Place(index, f"m{index}", 0, 0, 1, PROCESSES if index == STOPPED else index % PROCESSES)
        for index in range(size)
    ]
    return Plan([rows], [[0], [0]], places, [0] * (PROCESSES + 1))


class Beside(HollowGroupRun):
    """The hollow ones' stand, and links for as many whole ones."""

    whole_ways: Worker

    async def stand(self) -> None:
        await super().stand()
        self.whole_ways = await self._start(
            "hollow_group_links", "ways 1", str(self._seed * 1000 + 1), f"127.{self._net}.0.11"
        )
        await self.whole_ways.said("standing", STEP_WITHIN)
        at = {str(one.number): [self.whole_host(one.number), PORT] for one in self.plan.places}
        self.whole_fronts = (await self._ask(self.whole_ways, "open", at=at, side=""))["fronts"]

    def whole_host(self, number: int) -> str:
        return host_of(self._net, HOSTS_FROM + number)

    def listen(self, number: int) -> str:
        return f"{self.whole_host(number)}:7070"

    def console(self, number: int) -> str:
        return f"{self.whole_host(number)}:7071"

    def own_of(self, number: int) -> str:
        """The own file of a whole one."""
        host, port = self.whole_fronts[str(number)]
        seeds = [":".join(map(str, self.whole_fronts[str(one)])) for one in self.seeds()]
        return (
            f'{OWN}\n[group]\nlisten = "{self.whole_host(number)}:{PORT}"\nadvertise = "{host}:{port}"\n'
            f'seeds = {json.dumps(seeds)}\nkey = "{KEY}"\n'
            f'period = "{self._period}us"\nwithin = "{self._within}us"\n'
        )

    async def counts_of(self, ways: Worker) -> Counter[str]:
        """What passed there so far."""
        return Counter((await self._ask(ways, "counts"))["counts"])

    async def end(self) -> None:
        await super().end()
        if hasattr(self, "whole_ways"):
            await self.whole_ways.end()


class WholeGroup:
    """The whole ones, asked what they find."""

    def __init__(self, play: Beside, work: Path, size: int) -> None:
        self._play, self._work, self._size = play, work, size
        self.ones = [
            ServeProcess(work, index, size, play.console(index) if index == TELLS else "", play.listen(index))
            for index in range(size)
        ]
        self.away: set[int] = set()

    def log(self, index: int) -> Path:
        return self._work / f"w{index}.log"

    async def view(self, index: int) -> dict[str, Any] | None:
        return await self.ones[index].ask("members")

    async def views(self) -> list[dict[str, Any]]:
        asked = [index for index in range(self._size) if index not in self.away]
        return [view for view in await asyncio.gather(*map(self.view, asked)) if view is not None]

    async def found(self, number: int, how: str) -> bool:
        """Whether each that runs finds this one so."""
        views = await self.views()
        return len(views) == self._size - len(self.away) and all(
            any(row["name"] == f"w{number}" and row["found"] == how for row in view["members"]) for view in views
        )

    async def all_there(self) -> bool:
        views = await self.views()
        return len(views) == self._size and all(
            sum(row["found"] == "alive" for row in view["members"]) == self._size - 1 for view in views
        )

    async def holds(self, backend: str) -> bool:
        views = await self.views()
        return all(any(key == backend and on for _, key, on, _ in view["orders"]) for view in views)

    async def ban(self, backend: str) -> None:
        """At the console of one. Raises RuntimeError where it is not taken."""
        host, _, port = self._play.console(TELLS).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"POST /-/backends/{backend}/disable HTTP/1.1\r\nHost: console\r\n\r\n".encode())
            if not (line := await reader.readline()).startswith(b"HTTP/1.1 200"):
                raise RuntimeError(f"a whole proxy did not take a ban: {line!r}")
        finally:
            writer.close()

    def signal(self, number: int, sign: int) -> None:
        self.ones[number].process.send_signal(sign)

    async def end(self) -> None:
        await asyncio.gather(*(one.end() for one in self.ones))


async def _until(what: str, *asks: Callable[[], Awaitable[bool]]) -> None:
    """Until each says so. Raises RuntimeError."""
    until = time.monotonic() + STEP_WITHIN
    for ask in asks:
        while not await ask():
            if time.monotonic() > until:
                raise RuntimeError(f"not within {STEP_WITHIN:g} s: {what}")
            await asyncio.sleep(LOOK_EVERY)


async def compare(
    size: int,
    seed: int,
    work: Path,
    say: Callable[[str], None],
    period: int = PERIOD,
    within: int = ANSWER,
    settles: float = SETTLES,
    quiet: float = QUIET,
) -> dict[str, Any]:
    """`size` of each, LEAST or more. Raises WorkerError where a process of the play's own failed,
    RuntimeError where a step did not come about in either group.
    """
    if size < LEAST:
        raise RuntimeError(f"a group's churn needs {LEAST} members or more")
    with reserve_network() as net:
        play = Beside(layout(size), seed, work, say, net, period, within)
        whole = WholeGroup(play, work, size)
        try:
            return await _played(play, whole, size, seed, settles, quiet, say)
        finally:
            await whole.end()
            await play.end()


async def _played(
    play: Beside,
    whole: WholeGroup,
    size: int,
    seed: int,
    settles: float,
    quiet: float,
    say: Callable[[str], None],
) -> dict[str, Any]:
    def running(number: int) -> Iterable[int]:
        return [one for one in range(size) if one != number and one not in whole.away]

    async def found(what: str, number: int, how: str) -> None:
        await _until(
            what,
            lambda: whole.found(number, how),
            lambda: play.found([f"m{number}"], how, 0.0, running(number)),
        )

    await play.stand()
    say(f"{size} whole and {size} hollow ones join")

    since: dict[str, list[float]] = {"whole": [], "hollow": []}  # when each became a member

    async def join(number: int) -> None:
        """A hollow one as soon as the whole one of its number is a member: their starts are the same herd."""
        await whole.ones[number].start(play.front(0, 0), play.own_of(number))
        await _member(whole, number)
        since["whole"].append(time.monotonic())
        await play.begin([play.plan.places[number]], DISCOVERY)
        since["hollow"].append(time.monotonic())

    await asyncio.gather(*map(join, range(size)))

    await _until("all know all", whole.all_there, lambda: play.all_there(0.0))
    say("all know all, and nothing happens for a while")
    starts = {kind: sum(times) / size for kind, times in since.items()}
    span = time.monotonic() - min(starts.values()) + settles

    async def rested(kind: str, ways: Worker) -> tuple[Counter[str], Counter[str]]:
        """What passed in the same span from the mean start of its members, and in the quiet one after it: the
        whole ones are up first, and would else be counted for longer.
        """
        await asyncio.sleep(starts[kind] + span - time.monotonic())
        joined = await play.counts_of(ways)
        await asyncio.sleep(quiet)
        return joined, await play.counts_of(ways) - joined

    spans = await asyncio.gather(rested("whole", play.whole_ways), rested("hollow", play.ways[0]))
    say("one is killed")
    await whole.ones[KILLED].end()
    await play.ask_all("kill", indices=[KILLED])
    whole.away.add(KILLED)
    await found("the killed one is lost at all", KILLED, "lost")
    say("one stands still and goes on")
    whole.signal(STOPPED, signal.SIGSTOP)
    play.freeze([PROCESSES], True)
    whole.away.add(STOPPED)
    await found("the stopped one is lost at all", STOPPED, "lost")
    whole.signal(STOPPED, signal.SIGCONT)
    play.freeze([PROCESSES], False)
    whole.away.discard(STOPPED)
    await _until(
        "the stopped one is found again",
        lambda: _found_again(whole, STOPPED),
        lambda: play.found([f"m{STOPPED}"], "alive", 0.0),
    )
    say("one leaves")
    whole.signal(LEAVES, signal.SIGTERM)
    await play.group("leave", indices=[LEAVES])
    whole.away.add(LEAVES)
    await found("the one that left is gone at all", LEAVES, "gone")
    say("a ban is told to all")
    await whole.ban(BANNED)
    at = await play.ban(TELLS, BANNED, True)
    await _until(
        "all hold the ban",
        lambda: whole.holds(BANNED),
        lambda: play.until("holds", 0.0, "holds", backend=BANNED, at=at, on=True),
    )
    await asyncio.sleep(settles)
    views, (hollow, kept) = await whole.views(), await play.kinds(finds=True)
    whole_all, hollow_all = await asyncio.gather(play.counts_of(play.whole_ways), play.counts_of(play.ways[0]))
    own, longest, _ = await play.group_traffic()
    finds: Counter[str] = Counter()
    for view in views:
        finds.update(kinds_of(view))
    (whole_joined, whole_quiet), (hollow_joined, hollow_quiet) = spans
    kinds = [
        FidelityComparison(label + name, of_whole[key], of_hollow[key])
        for label, of_whole, of_hollow in (
            ("join: ", whole_joined, hollow_joined),
            ("quiet: ", whole_quiet, hollow_quiet),
            ("", whole_all, hollow_all),
        )
        for key, name in TRAFFIC.items()
    ]
    kinds += [FidelityComparison(f"finds: {kind}", finds[kind], hollow[kind]) for kind in FINDS]
    return {
        "size": size,
        "seed": seed,
        "refused": [],
        "kinds": [{**one._asdict(), "agrees": one.agrees} for one in kinds],
        # The hollow ones count for themselves as well: what the scenes go by.
        "at_members": {
            "sent": own["datagrams out"],
            "received": own["datagrams in"],
            "bytes sent": own["bytes out"],
            "longest": longest,
        },
        "kept": dict(kept),
        "lost_under_way": {"whole": whole_all["lost"], "hollow": hollow_all["lost"]},
        "within": WITHIN,
        "verdict": "passed" if all(one.agrees for one in kinds) else "failed",
    }


async def _member(whole: WholeGroup, number: int) -> None:
    """Until it says in its log that it is in the group: to ask it would come too late by half a herd. Raises
    RuntimeError."""
    until = time.monotonic() + STEP_WITHIN
    while IN not in whole.log(number).read_text(errors="replace"):
        if time.monotonic() > until or whole.ones[number].process.returncode is not None:
            raise RuntimeError(f"w{number} did not become a member in {STEP_WITHIN:g} s")
        await asyncio.sleep(LOG_EVERY)


async def _found_again(whole: WholeGroup, number: int) -> bool:
    """By all others, and it finds them as they are."""
    views = await whole.views()
    return len(views) == len(whole.ones) - len(whole.away) and all(
        row["found"] == "alive"
        for view in views
        for row in view["members"]
        if row["name"] == f"w{number}" and row["found"] != "itself"
    )
