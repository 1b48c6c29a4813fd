"""Whole and hollow proxies side by side under the same churn: what passed between them and control, and what
they hold, by kind."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from pepperusher.control import client
from pepperusher.rehearsal.hollow_plan import SETTINGS, Place, Plan, row
from pepperusher.rehearsal.hollow_run import BOTH, OWN, HollowRun
from pepperusher.rehearsal.worker import environment, with_parent

BACKENDS = 60
CHANGES = 30
# Between two changes; after them it is quiet until each has had so many empty lines.
APART = 0.2
QUIET_LINES = 3
READY_WITHIN = 60.0
LOOK_EVERY = 0.05
SETTLE_WITHIN = 30.0
# Kinds whose counts must agree within this part.
WITHIN = 0.10
MESSAGES = ("calls", "lines", "empty lines")
BYTES = ("bytes in", "bytes out")
STATE = ("backends", "ready", "not closed", "requests", "changes")
MARKED = '\n[[backends]]\nid = "s0-7"\ndrain = true\n'
TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class FidelityComparison(NamedTuple):
    kind: str
    whole: float
    hollow: float

    @property
    def agrees(self) -> bool:
        return abs(self.whole - self.hollow) <= WITHIN * max(self.whole, self.hollow)


class ServeProcess:
    """One `serve` process; of a group of `group` where there is one, and with a console if asked for."""

    def __init__(self, work: Path, index: int, group: int = 0, console: str = "", listen: str = "") -> None:
        self._work, self._index = work, index
        self._listen = listen or f"127.0.3.{index + 1}:7070"
        self._size = {"group-size": group} if group else {}
        self._console = {"console": console} if console else {}
        self._socket = work / f"w{index}.socket"
        self.process: asyncio.subprocess.Process

    async def start(self, discovery: list[Any], own: str = OWN) -> None:
        config, path = self._work / f"w{self._index}.json", self._work / f"w{self._index}.toml"
        config.write_text(
            json.dumps(
                {
                    "name": f"w{self._index}",
                    "listen": self._listen,
                    "discovery": f"{discovery[0]}:{discovery[1]}",
                    "seed": f"{self._index:x}",
                    "limits": {"sockets": 256, "memory_mb": 256},
                    "settings": {**SETTINGS, **self._size, "zone": "z0", "ordinal": self._index},
                    **self._console,
                }
            )
        )
        path.write_text(self.own(own))
        with open(self._work / f"w{self._index}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pepperusher",
                "serve",
                "--config",
                str(config),
                "--own",
                str(path),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment(),
                start_new_session=True,
                preexec_fn=with_parent,
            )

    def own(self, text: str) -> str:
        return f"{text}\n[control]\nsocket = {json.dumps(str(self._socket))}\n"

    def _ask(self, do: str, **said: Any) -> dict[str, Any] | None:
        try:
            return client.ask(str(self._socket), do, **said)
        except client.RefusedError:
            return None

    async def ask(self, do: str, **said: Any) -> dict[str, Any] | None:
        return await asyncio.to_thread(self._ask, do, **said)

    async def state(self) -> Counter[str]:
        """In the kinds of `Hollow.state`, as far as a whole one tells them."""
        backends, status = await self.ask("backends"), await self.ask("status")
        if backends is None or status is None:
            return Counter()
        rows = backends["backends"]
        return Counter(
            {
                "backends": len(rows),
                "ready": sum(1 for one in rows if one["ready"]),
                "not closed": sum(1 for one in rows if one["state"] != "closed"),
                "requests": status["in_hand"],
                "versions": len(status["versions"]),
                "changes": status["version"] - 1,
            }
        )

    def used(self) -> tuple[float, float]:
        """Processor seconds and MB so far."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return (int(stat[11]) + int(stat[12])) / TICK, pages * PAGE / 2**20

    async def end(self) -> None:
        if hasattr(self, "process") and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def layout(size: int) -> Plan:
    """Two views of one service with the same lists: the first is for the whole ones."""
    rows = [row(0, number, 0) for number in range(BACKENDS)]
    places = [Place(index, f"h{index}", 0, 0, 1, 0) for index in range(size)]
    return Plan([rows], [[0], [0]], places, [0])


def churn(seed: int) -> list[list[dict[str, Any]]]:
    """Changes of the list: drains, ends, returns, others in their place, several at once."""
    chance = Random(seed)
    made: list[list[dict[str, Any]]] = []
    turns: Counter[int] = Counter()
    state = ["ready"] * BACKENDS
    for _ in range(CHANGES):
        rows = []
        for number in chance.sample(range(10, BACKENDS), chance.choice((1, 1, 1, 3, 8))):
            follows = {"ready": "draining", "draining": "gone", "gone": "ready"}[state[number]]
            if state[number] == "gone":
                turns[number] += 1
            state[number] = follows
            rows.append({**row(0, number, 0, follows, turns[number]), "new_in": [0, 1]})
        made.append(rows)
    return made


async def compare(size: int, seed: int, work: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Raises WorkerError where a process of the play's own failed, RuntimeError where a whole proxy did."""
    play = HollowRun(layout(size), seed, work, say)
    whole = [ServeProcess(work, index) for index in range(size)]
    try:
        await play.stand()
        await asyncio.gather(*(one.start(play.front(0, 0)) for one in whole))
        await play.begin(play.plan.places)
        say(f"{size} whole and {size} hollow ones start")
        await _until_ready(whole)
        if not await play.until_in_force({1: 1}, SETTLE_WITHIN):
            raise RuntimeError("the hollow ones have no list")
        await _both_watch(play, size)
        await play.counts()
        before = [one.used() for one in whole]
        play.use()
        began = time.monotonic()
        for number, rows in enumerate(churn(seed)):
            await play.change(rows)
            await asyncio.sleep(APART)
            if number == CHANGES // 2:
                say("discovery goes away and comes back")
                await play.away(True)
                await asyncio.sleep(2 * APART)
                await play.away(False)
        await play.until_in_force(await play.versions(), SETTLE_WITHIN)
        await _both_watch(play, size)
        say("nothing changes for a while")
        await _both_watch(play, size, QUIET_LINES * size)
        say("a change of the own file, with a mark")
        for one in whole:
            await one.ask("propose", text=one.own(OWN + MARKED), who="play", why="churn")
        told = await play.ask_all("configure", name="own", text=OWN + MARKED)
        refused = [why for one in told for why in one["refused"]]
        counts = await play.counts_by_view()
        states: Counter[str] = Counter()
        for one in whole:
            states.update(await one.state())
        hollow = await play.state()
        spent = sum(one.used()[0] - was[0] for one, was in zip(whole, before))
        use = play.use().get("proxies", {})
        seconds = time.monotonic() - began
    finally:
        await asyncio.gather(*(one.end() for one in whole))
        await play.end()
    rows_ = [FidelityComparison(kind, counts[0].get(kind, 0), counts[1].get(kind, 0)) for kind in (*MESSAGES, *BYTES)]
    rows_ += [FidelityComparison(kind, states[kind], hollow.get(kind, 0)) for kind in STATE]
    return {
        "size": size,
        "seed": seed,
        "changes": CHANGES,
        "refused": refused,
        "kinds": [{**one._asdict(), "agrees": one.agrees} for one in rows_],
        "processor_seconds_each": {
            "whole": round(spent / size, 3),
            "hollow": round(use.get("cores_mean", 0.0) * seconds / size, 4),
        },
        "memory_mb_each": {
            "whole": round(sum(was[1] for was in before) / size, 1),
            "hollow": round(use.get("memory_mb", 0.0) / size, 2),
        },
        "verdict": "passed" if not refused and all(one.agrees for one in rows_) else "failed",
    }


async def _both_watch(play: HollowRun, size: int, empty: int = 0) -> None:
    for view in (0, 1):
        if not await play.settled(view, size, SETTLE_WITHIN, empty):
            raise RuntimeError("not all watch discovery")


async def _until_ready(whole: list[ServeProcess]) -> None:
    """Until each of them has the list."""
    until = time.monotonic() + READY_WITHIN
    for one in whole:
        while (await one.state())["ready"] < BACKENDS:
            if time.monotonic() > until or one.process.returncode is not None:
                raise RuntimeError(f"a whole proxy was not ready in {READY_WITHIN:g} s")
            await asyncio.sleep(LOOK_EVERY)


# What control machines carry in the second comparison, and how often it changes.
CONFIG_CHANGES = 4
CONTROL_MESSAGES = ("accepted", "messages in", "messages out", "snapshots", "deltas", "in force")
AT_START = ("accepted", "snapshots")
CONTROL_BYTES = ("bytes in", "bytes out")
# Beats come by the clock: both are counted over the same span, so many seconds.
COUNTED = 20.0
QUICK_WATCH = '[changes]\nwatch = "1s"\n'


async def compare_control(size: int, seed: int, work: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """The same for configuration from two control machines: first whole ones alone, then hollow ones alone,
    since a control machine counts for all that are connected to it.
    """
    counted = {}
    for kind in ("whole", "hollow"):
        folder = work / kind
        folder.mkdir()
        counted[kind] = await _counted(kind, size, seed, folder, say)
    kinds = (*CONTROL_MESSAGES, *CONTROL_BYTES)
    rows = [FidelityComparison(kind, counted["whole"][kind], counted["hollow"][kind]) for kind in kinds]
    return {
        "size": size,
        "seed": seed,
        "changes": CONFIG_CHANGES,
        "refused": [],
        "kinds": [{**one._asdict(), "agrees": one.agrees} for one in rows],
        "verdict": "passed" if all(one.agrees for one in rows) else "failed",
    }


async def _counted(kind: str, size: int, seed: int, work: Path, say: Callable[[str], None]) -> Counter[str]:
    play = HollowRun(layout(size), seed, work, say, controls=2, names=[["config", "common"]])
    whole = [ServeProcess(work, index) for index in range(size if kind == "whole" else 0)]
    try:
        await play.stand()
        controls = play.controls
        assert controls is not None
        await controls.can_write()
        version = await controls.publish("config", "common", OWN.encode())
        await controls.settled(READY_WITHIN)
        before = await controls.sums()
        said = (
            f"{QUICK_WATCH}[distribution]\nmachines = {json.dumps(play.machines(0))}\n"
            f'key_file = {json.dumps(str(work / "key"))}\nconfig = "common"\nregion = "r0"\n'
        )
        await asyncio.gather(*(one.start(play.front(0, 0), said) for one in whole))
        if not whole:
            await play.begin(play.plan.places, BOTH)
        await _in_force(play, whole, version)
        # From here on all are connected, however long their start took.
        connected, began = await controls.sums(), time.monotonic()
        for number in range(CONFIG_CHANGES):
            await _in_force(play, whole, version)
            mark = f'\n[[backends]]\nid = "s0-{number}"\nweight = 0.5\n'
            version = await controls.publish("config", "common", (OWN + mark).encode())
        await _in_force(play, whole, version)
        say(f"{size} {kind} ones have {CONFIG_CHANGES} changes in force")
        if (left := COUNTED - (time.monotonic() - began)) < 0:
            raise RuntimeError(f"the changes took longer than {COUNTED:g} s: nothing to compare")
        await asyncio.sleep(left)
        after = await controls.sums()
        return Counter({kind: after[kind] - (before if kind in AT_START else connected)[kind] for kind in after})
    finally:
        await asyncio.gather(*(one.end() for one in whole))
        await play.end()


async def _in_force(play: HollowRun, whole: list[ServeProcess], version: int) -> None:
    """Until this is in force at all, as they say: control machines are not asked, since that counts."""
    until = time.monotonic() + READY_WITHIN
    wanted = f"{version >> 53}.{version & (1 << 53) - 1}"
    if not whole and not await play.until_resources({"config/common": version}, READY_WITHIN):
        raise RuntimeError("a change was not in force at all hollow ones in time")
    for one in whole:
        while ((await one.ask("status") or {}).get("distribution") or {}).get("version") != wanted:
            if time.monotonic() > until or one.process.returncode is not None:
                raise RuntimeError("a change was not in force at all whole ones in time")
            await asyncio.sleep(LOOK_EVERY)
