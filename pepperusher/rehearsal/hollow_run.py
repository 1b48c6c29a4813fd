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

from pepperusher.rehearsal import hollow_statistics
from pepperusher.rehearsal.hollow_statistics import Propagation, Row
from pepperusher.rehearsal.hollow_control import KEY, Controls
from pepperusher.rehearsal.hollow_plan import (
    BETWEEN,
    LACKING,
    REGIONS,
    SETTINGS,
    TEAMS,
    WITHIN_REGION,
    WITHIN_ZONE,
    Place,
    Plan,
    lists_of,
    names_of,
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
PUBLISHED_AT_ONCE = 16
# An order is a line, and a process reads lines of up to 64 kB.
PLACES_AT_ONCE = 40
# Who is listened to: discovery with its lists, control machines with lists and configuration, or both.
DISCOVERY, CONTROL, BOTH = "discovery", "control", "both"

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


def endpoint_list_body(rows: list[dict[str, Any]]) -> bytes:
    """A list as a resource."""
    return json.dumps({"version": 0, "full": True, "servers": rows}).encode()


class HollowRun:
    """`progress` is told what happens, a line at a time."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        work: Path,
        progress: Callable[[str], None],
        own: str | None = OWN,
        controls: int = 0,
        keeps: bool = False,
        names: list[list[str]] | None = None,
    ) -> None:
        self.plan = plan
        self._seed = seed
        self._work = work
        self._say = progress
        self._own = own
        # How many regions own a part of each list: with few control machines not all have one.
        self.parts = min(REGIONS, controls)
        self.controls = Controls(controls, self.parts, max(plan.workers) + 1, work) if controls else None
        self._turns: dict[int, asyncio.Lock] = {}  # by process
        self._names_of_all = names  # in place of what the plan has each subscribe to
        self._keep = work / "kept" if keeps else None
        self.lacking: set[int] = set()  # numbers of those whose settings lack a use case
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
                    "key": KEY,
                    "lacking": LACKING,
                }
            )
        )
        self.discovery = await self._start("hollow_discovery", "discovery 0", str(spec))
        listening = (await self.discovery.said("listening", STAND_WITHIN))["listening"]
        count = max(self.plan.workers) + 1
        self.zones = [
            await self._start("hollow_links", f"links {zone}", str(self._seed * 1000 + zone)) for zone in range(count)
        ]
        names = {f"view {view}": address for view, address in enumerate(listening)}
        for zone, worker in enumerate(self.zones):
            await worker.said("standing", STAND_WITHIN)
            fronts = (await self._ask(worker, "open", names=list(names)))["fronts"]
            await self._ask(worker, "stands", at=names)
            self._fronts.append(fronts)
        if self.controls is not None:
            await self._stand_controls(self.controls)
        await self.shape()
        self.workers = [
            await self._start("hollow", f"proxies {number}", str(number), str(spec))
            for number in range(len(self.plan.workers))
        ]
        for worker in self.workers:
            await worker.said("standing", STAND_WITHIN)
        self._sampling = asyncio.get_running_loop().create_task(self._sample())

    async def _stand_controls(self, controls: Controls) -> None:
        """Each is told the others by its own zone's fronts; then every zone where they really listen."""
        names = [f"control {number}" for number in range(controls.count)]
        for zone, worker in enumerate(self.zones):
            self._fronts[zone].update((await self._ask(worker, "open", names=names))["fronts"])
        for number in range(controls.count):
            near = self._fronts[controls.zone(number)]
            controls.write_file(number, [tuple(near[name]) for name in names if name != names[number]])
            await self.start_control(number)

    async def start_control(self, number: int) -> None:
        """Anew, or the first time."""
        assert self.controls is not None
        worker = await self.controls.start(number)
        self._names[worker.pid] = f"control {number}"
        at = {f"control {number}": list(self.controls.addresses[number])}
        await asyncio.gather(*(self._ask(zone, "stands", at=at) for zone in self.zones))

    async def publish_all(self) -> None:
        """What there is before any proxy is: configuration for all and for each team, and every list."""
        assert self.controls is not None
        controls = self.controls
        await controls.can_write()
        rows = [("config", "common", (self._own or "").encode())]
        rows += [("config", f"t{team}", b"# team %d\n" % team) for team in range(min(TEAMS, len(self.plan.places)))]
        rows += [
            ("endpoints", name, endpoint_list_body(those)) for name, those in lists_of(self.plan, self.parts).items()
        ]
        for start in range(0, len(rows), PUBLISHED_AT_ONCE):
            await asyncio.gather(*(controls.publish(*one) for one in rows[start : start + PUBLISHED_AT_ONCE]))
        self._say(f"{len(rows)} resources are written")

    async def _start(self, module: str, name: str, *arguments: str) -> Worker:
        log = self._work / f"{name.replace(' ', '-')}.log"
        worker = await Worker.start(f"pepperusher.rehearsal.{module}", name, log, *arguments)
        self._names[worker.pid] = name
        return worker

    async def shape(self) -> None:
        """Each zone's links to everything elsewhere as they are without trouble."""
        for zone, worker in enumerate(self.zones):
            there: dict[float, list[str]] = {}
            for name in self._fronts[zone]:
                there.setdefault(self._delay(zone, self._zone_of(name)), []).append(name)
            for delay, names in there.items():
                await self._ask(worker, "shape", names=names, delay=delay / 1000)

    def _zone_of(self, front: str) -> int:
        kind, _, number = front.partition(" ")
        return DISCOVERY_ZONE if kind == "view" or self.controls is None else self.controls.zone(int(number))

    @staticmethod
    def _delay(zone: int, other: int) -> float:
        if zone == other:
            return WITHIN_ZONE
        return WITHIN_REGION if region_of(zone) == region_of(other) else BETWEEN

    async def end(self) -> None:
        if self._sampling is not None:
            self._sampling.cancel()
        for number in self.stopped:
            self.workers[number].signal(signal.SIGCONT)
        if self.controls is not None:
            await self.controls.end()
        everyone = [*self.workers, *self.zones, *([self.discovery] if hasattr(self, "discovery") else [])]
        await asyncio.gather(*(worker.end() for worker in everyone))

    async def _ask(self, worker: Worker, what: str, **order: Any) -> dict[str, Any]:
        """One question at a time to each process."""
        async with self._turns.setdefault(worker.pid, asyncio.Lock()):
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

    def _order(self, place: Place, lists: str) -> dict[str, Any]:
        fronts = self._fronts[place.zone]
        told = {
            "index": place.number,
            "name": place.name,
            "zone": f"z{place.zone}",
            "view": place.view,
            "region": f"r{place.region}",
            "discovery": fronts[f"view {place.view}"],
            "watch": lists != CONTROL,
            "lacks": place.number in self.lacking,
        }
        if self.controls is not None and lists != DISCOVERY:
            told["upstreams"] = [
                [*fronts[f"control {number}"], f"r{region_of(self.controls.zone(number))}"]
                for number in range(self.controls.count)
            ]
            # The client binds before it connects, and one address has 28,000 ports for all its connections,
            # those just closed among them.
            told["local"] = f"127.{10 + place.zone}.{place.worker}.1"
            told["names"] = self._names_of_all or names_of(place, self.plan, self.parts)
            told["keep"] = None if self._keep is None else str(self._keep)
        return told

    async def begin(self, places: Iterable[Place], lists: str = DISCOVERY, spread: float = 0.0) -> None:
        """These proxies start; `spread` seconds between two of one process."""
        if self._keep is not None:
            self._keep.mkdir(exist_ok=True)
        dealt: dict[int, list[dict[str, Any]]] = {}
        for place in places:
            dealt.setdefault(place.worker, []).append(self._order(place, lists))

        async def start(number: int, those: list[dict[str, Any]]) -> None:
            for first in range(0, len(those), PLACES_AT_ONCE):
                part = those[first : first + PLACES_AT_ONCE]
                await self._ask(self.workers[number], "start", places=part, spread=spread)

        await asyncio.gather(*(start(number, those) for number, those in dealt.items()))

    # --- what is observed ---------------------------------------------------------------------------

    async def versions(self) -> dict[int, int]:
        told = await self._ask(self.discovery, "versions")
        return {int(view): version for view, version in told["versions"].items()}

    async def until_in_force(self, versions: dict[int, int], within: float, spare: int = 0) -> bool:
        """Until all that run and can answer have these views' versions, but for `spare` of them; False where
        they have not in time.
        """
        return await self._until({"versions": {str(view): one for view, one in versions.items()}}, within, spare)

    async def until_resources(self, versions: dict[str, int], within: float, spare: int = 0) -> bool:
        """The same for resources by kind/name."""
        return await self._until({"resources": versions}, within, spare)

    async def _until(self, wanted: dict[str, Any], within: float, spare: int) -> bool:
        until = time.monotonic() + within
        while True:
            told = await self.ask_all("behind", **wanted)
            behind, of = sum(one["behind"] for one in told), sum(one["of"] for one in told)
            if behind <= spare:
                return True
            if time.monotonic() >= until:
                self._say(f"  {behind} of {of} have not what they ought to")
                return False
            await asyncio.sleep(LOOK_EVERY)

    async def traffic(self) -> dict[str, Any]:
        """What control cost the proxies since this was last asked for."""
        total: Counter[str] = Counter()
        seconds: Counter[int] = Counter()
        connects: Counter[int] = Counter()
        worst = oldest = 0
        for told in await self.ask_all("traffic"):
            total.update(told["counts"])
            worst, oldest = max(worst, told["worst_one"]), max(oldest, told["oldest_us"])
            for second, size, many in told["seconds"]:
                seconds[second] += size
                connects[second] += many
        return {
            **total,
            "seconds": len(seconds),
            "worst second bytes": max(seconds.values(), default=0),
            "worst second connects": max(connects.values(), default=0),
            "worst second of one bytes": worst,
            "oldest_s": round(oldest / 1e6, 1),
        }

    def reached_resource(self, rows: list[Row], what: str, version: int, at: int, meant: set[int]) -> Propagation:
        return hollow_statistics.propagation_times(
            rows, what, {place.view: version for place in self.plan.places}, at, meant
        )

    async def change(self, rows: list[dict[str, Any]]) -> tuple[int, dict[int, int]]:
        """At discovery; when, and what version each view has of it."""
        told = await self._ask(self.discovery, "change", rows=rows)
        return told["at"], {int(view): version for view, version in told["versions"].items()}

    async def books(self) -> list[Row]:
        """Since they were last asked for, of all that can answer."""
        self._books += 1
        asked = [
            (number, worker) for number, worker in enumerate(self.workers) if number not in self.stopped | self.gone
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

    def machines(self, zone: int) -> list[str]:
        """Where the control machines are."""
        fronts = [
            self._fronts[zone][f"control {number}"] for number in range(self.controls.count if self.controls else 0)
        ]
        return [f"{host}:{port}" for host, port in fronts]

    @staticmethod
    def reached(rows: list[Row], versions: dict[int, int], at: int, meant: set[int] | None = None) -> Propagation:
        return hollow_statistics.propagation_times(rows, "list", versions, at, meant)

    # --- what is done to it -------------------------------------------------------------------------

    async def away(self, on: bool) -> None:
        """Discovery is gone for whoever watches it, or back."""
        await self._ask(self.discovery, "absent", on=on)

    async def cut(self, regions: set[int], on: bool) -> None:
        """These regions from all that control has outside of them, or healed."""
        for zone, worker in enumerate(self.zones):
            if on:
                far = [
                    name
                    for name in self._fronts[zone]
                    if (region_of(self._zone_of(name)) in regions) != (region_of(zone) in regions)
                ]
                await self._ask(worker, "cut", names=far)
            else:
                await self._ask(worker, "heal")
        if not on:
            await self.shape()

    async def cut_control(self, number: int, way: str) -> None:
        """One control machine from every zone: what they say ("out") or what they hear ("in") is lost."""
        await asyncio.gather(*(self._ask(zone, "cut", names=[f"control {number}"], way=way) for zone in self.zones))

    async def heal(self) -> None:
        """Every cut, and the links as they are without trouble."""
        await asyncio.gather(*(self._ask(zone, "heal") for zone in self.zones))
        await self.shape()

    async def slow(self, numbers: Iterable[int], part: float, seconds: float) -> None:
        """Processes of proxies have their loop for a part of the time."""
        await asyncio.gather(*(self._ask(self.workers[one], "slow", part=part, seconds=seconds) for one in numbers))

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
        return {role: use.row() for role, use in hollow_statistics.resource_usage(samples).items()}

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
