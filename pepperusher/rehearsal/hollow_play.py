"""Stands a scale test up, strikes it, waits for what is observed at the proxies, and keeps its figures."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from pepperusher.rehearsal import hollow_books
from pepperusher.rehearsal.hollow_books import Reached, Row
from pepperusher.rehearsal.hollow_plan import (
    BETWEEN,
    SETTINGS,
    WITHIN_REGION,
    WITHIN_ZONE,
    Place,
    Plan,
    region_of,
)
from pepperusher.rehearsal.worker import Worker

TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
STAND_WITHIN = 120.0
ANSWER_WITHIN = 120.0
LOOK_EVERY = 0.2
SAMPLE_EVERY = 1.0
DISCOVERY_ZONE = 0

OWN = """
[weights]
gold = 2.0

[[routes]]
name = "look"
use_case = "look"
match = {path = "/look/{any*}"}
concurrency = {most = 100, queue = 50}
rate = {per_customer = 50.0, burst = 100.0}

[[routes]]
name = "rest"
"""


class Play:
    """`progress` is told what happens, a line at a time."""

    def __init__(
        self, plan: Plan, seed: int, work: Path, progress: Callable[[str], None], own: str | None = OWN
    ) -> None:
        self.plan = plan
        self._seed = seed
        self._work = work
        self._say = progress
        self._own = own
        self.discovery: Worker
        self.zones: list[Worker] = []
        self.workers: list[Worker] = []
        self._samples: list[tuple[float, dict[str, tuple[float, float]]]] = []
        self._sampling: asyncio.Task[None] | None = None
        self._names: dict[int, str] = {}  # of the processes that are sampled, by id
        self._fronts: list[dict[str, Any]] = []
        self._books = 0
        self.stopped: set[int] = set()  # workers that stand still
        self.gone: set[int] = set()  # and that were killed

    # --- start and end ------------------------------------------------------------------------------

    async def stand(self) -> None:
        """Every process up, no proxy begun."""
        spec = self._work / "spec.json"
        spec.write_text(
            json.dumps(
                {
                    "services": self.plan.services,
                    "views": self.plan.views,
                    "settings": SETTINGS,
                    "own": self._own,
                }
            )
        )
        self.discovery = await self._start("hollow_list", "discovery 0", str(spec))
        listening = (await self.discovery.said("listening", STAND_WITHIN))["listening"]
        count = max(self.plan.workers) + 1
        self.zones = [
            await self._start("hollow_links", f"links {zone}", str(self._seed * 1000 + zone))
            for zone in range(count)
        ]
        names = {f"view {view}": address for view, address in enumerate(listening)}
        for zone, worker in enumerate(self.zones):
            await worker.said("standing", STAND_WITHIN)
            fronts = (await self._ask(worker, "open", names=list(names)))["fronts"]
            await self._ask(worker, "stands", at=names)
            self._fronts.append(fronts)
        await self.shape()
        self.workers = [
            await self._start("hollow", f"proxies {number}", str(number), str(spec))
            for number in range(len(self.plan.workers))
        ]
        for worker in self.workers:
            await worker.said("standing", STAND_WITHIN)
        self._sampling = asyncio.get_running_loop().create_task(self._sample())

    async def _start(self, module: str, name: str, *arguments: str) -> Worker:
        log = self._work / f"{name.replace(' ', '-')}.log"
        worker = await Worker.start(f"pepperusher.rehearsal.{module}", name, log, *arguments)
        self._names[worker.pid] = name
        return worker

    async def shape(self) -> None:
        """Each zone's links to everything elsewhere as they are without trouble."""
        for zone, worker in enumerate(self.zones):
            delay = (
                WITHIN_ZONE
                if zone == DISCOVERY_ZONE
                else WITHIN_REGION if region_of(zone) == region_of(DISCOVERY_ZONE) else BETWEEN
            )
            await self._ask(worker, "shape", names=list(self._fronts[zone]), delay=delay / 1000)

    async def end(self) -> None:
        if self._sampling is not None:
            self._sampling.cancel()
        for number in self.stopped:
            self.workers[number].signal(signal.SIGCONT)
        everyone = [*self.workers, *self.zones, *([self.discovery] if hasattr(self, "discovery") else [])]
        await asyncio.gather(*(worker.end() for worker in everyone))

    @staticmethod
    async def _ask(worker: Worker, what: str, **order: Any) -> dict[str, Any]:
        worker.tell(do=what, **order)
        return await worker.said("did", ANSWER_WITHIN)

    async def ask_all(self, what: str, **order: Any) -> list[dict[str, Any]]:
        """Every process of proxies that can answer."""
        return list(
            await asyncio.gather(
                *(
                    self._ask(worker, what, **order)
                    for number, worker in enumerate(self.workers)
                    if number not in self.stopped | self.gone
                )
            )
        )

    async def begin(self, places: Iterable[Place], spread: float = 0.0) -> None:
        """These proxies start; `spread` seconds between two of one process."""
        dealt: dict[int, list[dict[str, Any]]] = {}
        for place in places:
            dealt.setdefault(place.worker, []).append(
                {
                    "index": place.number,
                    "name": place.name,
                    "zone": f"z{place.zone}",
                    "view": place.view,
                    "discovery": self._fronts[place.zone][f"view {place.view}"],
                }
            )
        await asyncio.gather(
            *(
                self._ask(self.workers[number], "start", places=those, spread=spread)
                for number, those in dealt.items()
            )
        )

    # --- what is observed ---------------------------------------------------------------------------

    async def versions(self) -> dict[int, int]:
        told = await self._ask(self.discovery, "versions")
        return {int(view): version for view, version in told["versions"].items()}

    async def until_in_force(self, versions: dict[int, int], within: float, spare: int = 0) -> bool:
        """Until all that run and can answer have these, but for `spare` of them; False where they have not
        in time."""
        until = time.monotonic() + within
        wanted = {str(view): version for view, version in versions.items()}
        while True:
            told = await self.ask_all("behind", versions=wanted)
            behind, of = sum(one["behind"] for one in told), sum(one["of"] for one in told)
            if behind <= spare:
                return True
            if time.monotonic() >= until:
                self._say(f"  {behind} of {of} have not the list")
                return False
            await asyncio.sleep(LOOK_EVERY)

    async def change(self, rows: list[dict[str, Any]]) -> tuple[int, dict[int, int]]:
        """At discovery; when, and what version each view has of it."""
        told = await self._ask(self.discovery, "change", rows=rows)
        return told["at"], {int(view): version for view, version in told["versions"].items()}

    async def books(self) -> list[Row]:
        """Since they were last asked for, of all that can answer."""
        self._books += 1
        asked = [
            (number, worker)
            for number, worker in enumerate(self.workers)
            if number not in self.stopped | self.gone
        ]
        told = await asyncio.gather(
            *(
                self._ask(worker, "books", path=str(self._work / f"books-{self._books}-{number}"))
                for number, worker in asked
            )
        )
        rows: list[Row] = []
        for one in told:
            path = Path(one["books"])
            rows += [
                (index, view, [(what, version, at) for what, version, at in books])
                for index, view, books in json.loads(path.read_text())
            ]
            path.unlink()
        return rows

    async def state(self) -> dict[str, int]:
        made: Counter[str] = Counter()
        for told in await self.ask_all("state"):
            made.update(told["state"])
            made["running"] += told["running"]
            made["objects"] += told["objects"]
        return dict(made)

    async def counts(self) -> dict[str, Any]:
        """Of discovery, since they were last asked for: sums, and the worst second."""
        told = await self._ask(self.discovery, "counts")
        seconds = list(told["seconds"].values())
        total: Counter[str] = Counter()
        for view in told["views"]:
            total.update({key: value for key, value in view.items() if key != "servers"})
        return {
            **total,
            "seconds": len(seconds),
            **{
                f"worst second {key}": max((one.get(key, 0) for one in seconds), default=0)
                for key in ("calls", "lines", "out")
            },
        }

    async def counts_by_view(self) -> list[dict[str, int]]:
        told = await self._ask(self.discovery, "counts")
        views: list[dict[str, int]] = told["views"]
        return views

    async def settled(self, view: int, watches: int, within: float, empty: int = 0) -> bool:
        """Until so many watch this view, and had so many empty lines since they were last counted."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            told = await self._ask(self.discovery, "watches")
            if told["watches"][view] == watches and told["empty"][view] >= empty:
                return True
            await asyncio.sleep(LOOK_EVERY)
        return False

    def front(self, zone: int, view: int) -> list[Any]:
        """Where discovery is reached from there."""
        address: list[Any] = self._fronts[zone][f"view {view}"]
        return address

    @staticmethod
    def reached(rows: list[Row], versions: dict[int, int], at: int, meant: set[int] | None = None) -> Reached:
        return hollow_books.reached(rows, "list", versions, at, meant)

    # --- what is done to it -------------------------------------------------------------------------

    async def away(self, on: bool) -> None:
        """Discovery is gone for whoever watches it, or back."""
        await self._ask(self.discovery, "absent", on=on)

    async def cut(self, zones: Iterable[int], on: bool) -> None:
        """These zones from all that control has outside of them."""
        for zone in zones:
            await self._ask(
                self.zones[zone], *(("cut",) if on else ("heal",)), names=list(self._fronts[zone])
            )
        if not on:
            await self.shape()

    def freeze(self, numbers: Iterable[int], on: bool) -> None:
        """Processes of proxies stand still, or go on."""
        for number in numbers:
            self.workers[number].signal(signal.SIGSTOP if on else signal.SIGCONT)
            (self.stopped.add if on else self.stopped.discard)(number)

    # --- processor and memory -----------------------------------------------------------------------

    async def _sample(self) -> None:
        while True:
            now: dict[str, tuple[float, float]] = {}
            for pid, name in self._names.items():
                try:
                    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
                    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                except (OSError, IndexError, ValueError):
                    continue
                now[name] = (int(stat[11]) + int(stat[12])) / TICK, pages * PAGE / 2**20
            self._samples.append((time.monotonic(), now))
            await asyncio.sleep(SAMPLE_EVERY)

    def use(self) -> dict[str, dict[str, Any]]:
        """By role, since it was last asked for."""
        samples, self._samples = self._samples, self._samples[-1:]
        return {role: use.row() for role, use in hollow_books.used(samples).items()}

    def memory(self) -> float:
        """MB of all processes together, what they share counted once for each part of it."""
        total = 0
        for pid in self._names:
            try:
                text = Path(f"/proc/{pid}/smaps_rollup").read_text()
            except OSError:
                continue
            total += next((int(line.split()[1]) for line in text.splitlines() if line.startswith("Pss:")), 0)
        return round(total / 1024, 1)
