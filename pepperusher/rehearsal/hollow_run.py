"""Starts the processes of a scale test, injects faults, waits for the proxies and collects the measurements."""

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

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")
START_TIMEOUT_S = 120.0
ANSWER_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.2
SAMPLE_INTERVAL_S = 1.0
DISCOVERY_ZONE = 0
PUBLISH_BATCH = 16
# Limits the length of an order: it is one line, and a process reads lines of at most 64 kB.
START_BATCH = 40
# Source of the updates: discovery (endpoint lists), the control machines (lists and configuration), or both.
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
    """The body of an endpoint list resource."""
    return json.dumps({"version": 0, "full": True, "servers": rows}).encode()


class HollowRun:
    """The processes of one scale test. `progress` receives one line of text for each event."""

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
        self._progress = progress
        self._initial_configuration = own
        # Number of regions whose control machine owns endpoint lists; with fewer control machines than regions,
        # some regions have none.
        self.owner_regions = min(REGIONS, controls)
        self.controls = Controls(controls, self.owner_regions, max(plan.workers) + 1, work) if controls else None
        self._order_locks: dict[int, asyncio.Lock] = {}  # by process
        self._subscription_override = names  # subscriptions of every proxy, instead of those of the plan
        self._cache_directory = work / "kept" if keeps else None
        self.lacking_proxies: set[int] = set()  # numbers of the proxies whose settings lack a use case
        self.discovery: Worker
        self.zone_relays: list[Worker] = []
        self.workers: list[Worker] = []
        self._samples: list[tuple[float, dict[str, tuple[float, float]]]] = []
        self._sampling_task: asyncio.Task[None] | None = None
        self._process_names: dict[int, str] = {}  # names of the sampled processes, by process id
        self._relay_addresses: list[dict[str, Any]] = []
        self._activation_files = 0
        self.suspended: set[int] = set()  # numbers of the suspended workers
        self.killed: set[int] = set()  # numbers of the killed workers

    # --- start and end ------------------------------------------------------------------------------

    async def start_processes(self) -> None:
        """Starts every process but no proxy."""
        spec = self._work / "spec.json"
        spec.write_text(
            json.dumps(
                {
                    "services": self.plan.services,
                    "views": self.plan.views,
                    "settings": SETTINGS,
                    "own": self._initial_configuration,
                    "key": KEY,
                    "lacking": LACKING,
                }
            )
        )
        self.discovery = await self._start_process("hollow_discovery", "discovery 0", str(spec))
        listening = (await self.discovery.said("listening", START_TIMEOUT_S))["listening"]
        count = max(self.plan.workers) + 1
        self.zone_relays = [
            await self._start_process("hollow_links", f"links {zone}", str(self._seed * 1000 + zone))
            for zone in range(count)
        ]
        names = {f"view {view}": address for view, address in enumerate(listening)}
        for zone, worker in enumerate(self.zone_relays):
            await worker.said("standing", START_TIMEOUT_S)
            fronts = (await self._ask(worker, "open", names=list(names)))["fronts"]
            await self._ask(worker, "stands", at=names)
            self._relay_addresses.append(fronts)
        if self.controls is not None:
            await self._start_controls(self.controls)
        await self.set_normal_delays()
        self.workers = [
            await self._start_process("hollow", f"proxies {number}", str(number), str(spec))
            for number in range(len(self.plan.workers))
        ]
        for worker in self.workers:
            await worker.said("standing", START_TIMEOUT_S)
        self._sampling_task = asyncio.get_running_loop().create_task(self._sample_processes())

    async def _start_controls(self, controls: Controls) -> None:
        """Starts the control machines. Each reaches its peers by the relay addresses of its own zone; the relays then
        learn the addresses on which the machines listen."""
        names = [f"control {number}" for number in range(controls.count)]
        for zone, worker in enumerate(self.zone_relays):
            self._relay_addresses[zone].update((await self._ask(worker, "open", names=names))["fronts"])
        for number in range(controls.count):
            relays = self._relay_addresses[controls.zone(number)]
            controls.write_file(number, [tuple(relays[name]) for name in names if name != names[number]])
            await self.start_control(number)

    async def start_control(self, number: int) -> None:
        """Starts or restarts a control machine and directs the relays of every zone to it."""
        assert self.controls is not None
        worker = await self.controls.start(number)
        self._process_names[worker.pid] = f"control {number}"
        addresses = {f"control {number}": list(self.controls.addresses[number])}
        await asyncio.gather(*(self._ask(zone, "stands", at=addresses) for zone in self.zone_relays))

    async def publish_all(self) -> None:
        """Publishes the initial resources: the common configuration, one for each team, and every endpoint list."""
        assert self.controls is not None
        controls = self.controls
        await controls.can_write()
        rows = [("config", "common", (self._initial_configuration or "").encode())]
        rows += [("config", f"t{team}", b"# team %d\n" % team) for team in range(min(TEAMS, len(self.plan.places)))]
        rows += [
            ("endpoints", name, endpoint_list_body(endpoints))
            for name, endpoints in lists_of(self.plan, self.owner_regions).items()
        ]
        for start in range(0, len(rows), PUBLISH_BATCH):
            await asyncio.gather(*(controls.publish(*resource) for resource in rows[start : start + PUBLISH_BATCH]))
        self._progress(f"{len(rows)} resources are published")

    async def _start_process(self, module: str, name: str, *arguments: str) -> Worker:
        log = self._work / f"{name.replace(' ', '-')}.log"
        worker = await Worker.start(f"pepperusher.rehearsal.{module}", name, log, *arguments)
        self._process_names[worker.pid] = name
        return worker

    async def set_normal_delays(self) -> None:
        """Sets the links of each zone to their normal delay."""
        for zone, worker in enumerate(self.zone_relays):
            names_by_delay: dict[float, list[str]] = {}
            for name in self._relay_addresses[zone]:
                names_by_delay.setdefault(self._link_delay(zone, self._zone_of(name)), []).append(name)
            for delay, names in names_by_delay.items():
                await self._ask(worker, "shape", names=names, delay=delay / 1000)

    def _zone_of(self, name: str) -> int:
        kind, _, number = name.partition(" ")
        return DISCOVERY_ZONE if kind == "view" or self.controls is None else self.controls.zone(int(number))

    @staticmethod
    def _link_delay(zone: int, other: int) -> float:
        if zone == other:
            return WITHIN_ZONE
        return WITHIN_REGION if region_of(zone) == region_of(other) else BETWEEN

    async def end(self) -> None:
        if self._sampling_task is not None:
            self._sampling_task.cancel()
        for number in self.suspended:
            self.workers[number].signal(signal.SIGCONT)
        if self.controls is not None:
            await self.controls.end()
        processes = [*self.workers, *self.zone_relays, *([self.discovery] if hasattr(self, "discovery") else [])]
        await asyncio.gather(*(worker.end() for worker in processes))

    async def _ask(self, worker: Worker, action: str, **order: Any) -> dict[str, Any]:
        """Sends an order and returns the answer; only one order at a time is open for each process."""
        async with self._order_locks.setdefault(worker.pid, asyncio.Lock()):
            worker.tell(do=action, **order)
            return await worker.said("did", ANSWER_TIMEOUT_S)

    async def ask_all(self, action: str, **order: Any) -> list[dict[str, Any]]:
        """Sends an order to every process of proxies that is neither suspended nor killed."""
        return list(
            await asyncio.gather(
                *(
                    self._ask(worker, action, **order)
                    for number, worker in enumerate(self.workers)
                    if number not in self.suspended | self.killed
                )
            )
        )

    def _start_order(self, place: Place, lists: str) -> dict[str, Any]:
        relays = self._relay_addresses[place.zone]
        order = {
            "index": place.number,
            "name": place.name,
            "zone": f"z{place.zone}",
            "view": place.view,
            "region": f"r{place.region}",
            "discovery": relays[f"view {place.view}"],
            "watch": lists != CONTROL,
            "lacks": place.number in self.lacking_proxies,
        }
        if self.controls is not None and lists != DISCOVERY:
            order["upstreams"] = [
                [*relays[f"control {number}"], f"r{region_of(self.controls.zone(number))}"]
                for number in range(self.controls.count)
            ]
            # The client binds before it connects. One local address has 28,000 ports for all connections,
            # including recently closed ones, so each process gets its own.
            order["local"] = f"127.{10 + place.zone}.{place.worker}.1"
            order["names"] = self._subscription_override or names_of(place, self.plan, self.owner_regions)
            order["keep"] = None if self._cache_directory is None else str(self._cache_directory)
        return order

    async def start_proxies(self, places: Iterable[Place], lists: str = DISCOVERY, spread: float = 0.0) -> None:
        """Starts these proxies, with `spread` seconds between two starts in one process."""
        if self._cache_directory is not None:
            self._cache_directory.mkdir(exist_ok=True)
        orders_by_worker: dict[int, list[dict[str, Any]]] = {}
        for place in places:
            orders_by_worker.setdefault(place.worker, []).append(self._start_order(place, lists))

        async def start(number: int, orders: list[dict[str, Any]]) -> None:
            for first in range(0, len(orders), START_BATCH):
                batch = orders[first : first + START_BATCH]
                await self._ask(self.workers[number], "start", places=batch, spread=spread)

        await asyncio.gather(*(start(number, orders) for number, orders in orders_by_worker.items()))

    # --- observation ---------------------------------------------------------------------------

    async def versions(self) -> dict[int, int]:
        answer = await self._ask(self.discovery, "versions")
        return {int(view): version for view, version in answer["versions"].items()}

    async def wait_until_versions(self, versions: dict[int, int], within: float, spare: int = 0) -> bool:
        """Waits until all running proxies that can answer, except at most `spare` of them, have the versions of
        their views in force. Returns False if that takes longer than `within` seconds.
        """
        return await self._wait_until_in_force(
            {"versions": {str(view): version for view, version in versions.items()}}, within, spare
        )

    async def wait_until_resources(self, versions: dict[str, int], within: float, spare: int = 0) -> bool:
        """Like `wait_until_versions`, for the versions of resources by kind/name."""
        return await self._wait_until_in_force({"resources": versions}, within, spare)

    async def _wait_until_in_force(self, wanted: dict[str, Any], within: float, spare: int) -> bool:
        deadline = time.monotonic() + within
        while True:
            answers = await self.ask_all("behind", **wanted)
            behind, total = sum(answer["behind"] for answer in answers), sum(answer["of"] for answer in answers)
            if behind <= spare:
                return True
            if time.monotonic() >= deadline:
                self._progress(f"  {behind} of {total} proxies do not have the expected versions in force")
                return False
            await asyncio.sleep(POLL_INTERVAL_S)

    async def traffic(self) -> dict[str, Any]:
        """The control-plane traffic of the proxies since the last call."""
        total: Counter[str] = Counter()
        bytes_by_second: Counter[int] = Counter()
        connects_by_second: Counter[int] = Counter()
        max_bytes = max_age_us = 0
        for answer in await self.ask_all("traffic"):
            total.update(answer["counts"])
            max_bytes, max_age_us = max(max_bytes, answer["worst_one"]), max(max_age_us, answer["oldest_us"])
            for second, size, count in answer["seconds"]:
                bytes_by_second[second] += size
                connects_by_second[second] += count
        return {
            **total,
            "seconds": len(bytes_by_second),
            "worst second bytes": max(bytes_by_second.values(), default=0),
            "worst second connects": max(connects_by_second.values(), default=0),
            "worst second of one bytes": max_bytes,
            "oldest_s": round(max_age_us / 1e6, 1),
        }

    def resource_propagation(
        self, rows: list[Row], resource: str, version: int, changed_at: int, expected: set[int]
    ) -> Propagation:
        return hollow_statistics.propagation_times(
            rows, resource, {place.view: version for place in self.plan.places}, changed_at, expected
        )

    async def change_backends(self, rows: list[dict[str, Any]]) -> tuple[int, dict[int, int]]:
        """Changes backends at discovery. Returns the time of the change and the new version of each changed view."""
        answer = await self._ask(self.discovery, "change", rows=rows)
        return answer["at"], {int(view): version for view, version in answer["versions"].items()}

    async def activations(self) -> list[Row]:
        """When each version came into force at the proxies that can answer, since the last call."""
        self._activation_files += 1
        workers = [
            (number, worker) for number, worker in enumerate(self.workers) if number not in self.suspended | self.killed
        ]
        answers = await asyncio.gather(
            *(
                self._ask(worker, "books", path=str(self._work / f"books-{self._activation_files}-{number}"))
                for number, worker in workers
            )
        )
        rows: list[Row] = []
        for answer in answers:
            path = Path(answer["books"])
            rows += [
                (index, view, [(resource, version, at) for resource, version, at in activations])
                for index, view, activations in json.loads(path.read_text())
            ]
            path.unlink()
        return rows

    async def proxy_state(self) -> dict[str, int]:
        total: Counter[str] = Counter()
        for answer in await self.ask_all("state"):
            total.update(answer["state"])
            total["running"] += answer["running"]
            total["objects"] += answer["objects"]
        return dict(total)

    async def discovery_counts(self) -> dict[str, Any]:
        """The counters of discovery since the last call: sums and the highest values of one second."""
        answer = await self._ask(self.discovery, "counts")
        seconds = list(answer["seconds"].values())
        total: Counter[str] = Counter()
        for view in answer["views"]:
            total.update({key: value for key, value in view.items() if key != "servers"})
        return {
            **total,
            "seconds": len(seconds),
            **{
                f"worst second {key}": max((second.get(key, 0) for second in seconds), default=0)
                for key in ("calls", "lines", "out")
            },
        }

    async def discovery_counts_by_view(self) -> list[dict[str, int]]:
        answer = await self._ask(self.discovery, "counts")
        views: list[dict[str, int]] = answer["views"]
        return views

    async def wait_until_watching(self, view: int, watches: int, within: float, empty: int = 0) -> bool:
        """Waits until `watches` connections watch this view and `empty` keepalive lines were sent to it since the last
        count. Returns False on time-out."""
        deadline = time.monotonic() + within
        while time.monotonic() < deadline:
            answer = await self._ask(self.discovery, "watches")
            if answer["watches"][view] == watches and answer["empty"][view] >= empty:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def discovery_address(self, zone: int, view: int) -> list[Any]:
        """The relay address at which `zone` reaches discovery for this view."""
        address: list[Any] = self._relay_addresses[zone][f"view {view}"]
        return address

    def control_addresses(self, zone: int) -> list[str]:
        """The relay addresses at which `zone` reaches the control machines."""
        relays = [
            self._relay_addresses[zone][f"control {number}"]
            for number in range(self.controls.count if self.controls else 0)
        ]
        return [f"{host}:{port}" for host, port in relays]

    @staticmethod
    def list_propagation(
        rows: list[Row], versions: dict[int, int], changed_at: int, expected: set[int] | None = None
    ) -> Propagation:
        return hollow_statistics.propagation_times(rows, "list", versions, changed_at, expected)

    # --- faults -------------------------------------------------------------------------

    async def set_discovery_down(self, on: bool) -> None:
        """Makes discovery unavailable to all watchers, or available again."""
        await self._ask(self.discovery, "absent", on=on)

    async def cut(self, regions: set[int], on: bool) -> None:
        """Cuts these regions off from the control plane outside of them, or heals every cut."""
        for zone, worker in enumerate(self.zone_relays):
            if on:
                outside = [
                    name
                    for name in self._relay_addresses[zone]
                    if (region_of(self._zone_of(name)) in regions) != (region_of(zone) in regions)
                ]
                await self._ask(worker, "cut", names=outside)
            else:
                await self._ask(worker, "heal")
        if not on:
            await self.set_normal_delays()

    async def cut_control(self, number: int, direction: str) -> None:
        """Cuts one control machine off from every zone in one direction: `direction` is "out" for the traffic from the
        zones to the machine, "in" for the opposite direction."""
        await asyncio.gather(
            *(self._ask(zone, "cut", names=[f"control {number}"], way=direction) for zone in self.zone_relays)
        )

    async def heal(self) -> None:
        """Heals every cut and restores the normal delays."""
        await asyncio.gather(*(self._ask(zone, "heal") for zone in self.zone_relays))
        await self.set_normal_delays()

    async def slow_down(self, numbers: Iterable[int], loop_share: float, seconds: float) -> None:
        """Leaves these processes of proxies their event loop for the share `loop_share` of the time, for `seconds`."""
        await asyncio.gather(
            *(self._ask(self.workers[number], "slow", part=loop_share, seconds=seconds) for number in numbers)
        )

    def freeze(self, numbers: Iterable[int], on: bool) -> None:
        """Suspends or resumes processes of proxies."""
        for number in numbers:
            self.workers[number].signal(signal.SIGSTOP if on else signal.SIGCONT)
            (self.suspended.add if on else self.suspended.discard)(number)

    # --- processor and memory -----------------------------------------------------------------------

    async def _sample_processes(self) -> None:
        while True:
            usage: dict[str, tuple[float, float]] = {}
            for pid, name in self._process_names.items():
                try:
                    stat_fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
                    resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                except (OSError, IndexError, ValueError):
                    continue
                usage[name] = (
                    (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_S,
                    resident_pages * PAGE_SIZE_BYTES / 2**20,
                )
            self._samples.append((time.monotonic(), usage))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def usage(self) -> dict[str, dict[str, Any]]:
        """Processor and memory use by role since the last call."""
        samples, self._samples = self._samples, self._samples[-1:]
        return {role: usage.row() for role, usage in hollow_statistics.resource_usage(samples).items()}

    def memory(self) -> float:
        """Memory of all processes in MB, as the sum of their proportional set sizes (PSS): shared pages count once."""
        pss_kb = 0
        for pid in self._process_names:
            try:
                text = Path(f"/proc/{pid}/smaps_rollup").read_text()
            except OSError:
                continue
            pss_kb += next((int(line.split()[1]) for line in text.splitlines() if line.startswith("Pss:")), 0)
        return round(pss_kb / 1024, 1)
