"""The control machines of a scale test: real control roles in processes of their own, struck as machines are."""

from __future__ import annotations

import asyncio
import json
import resource
import shutil
import signal
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from pepperusher.distribution import operator_client, version_records
from pepperusher.distribution.publisher import Rollout
from pepperusher.rehearsal.hollow import number_of
from pepperusher.rehearsal.hollow_plan import region_of
from pepperusher.rehearsal.worker import Worker
from pepperusher.store.disk import Disk

KEY = "a key of the scale tests, for all"
START_WITHIN = 60.0
# The origin begins to write once it has compared with half of the others.
WRITES_WITHIN = 30.0
AGAIN_EVERY = 0.1
ORIGIN = 0


class Controls:
    """`fronts` are, for each zone, the addresses by which the machines are reached from there."""

    def __init__(self, count: int, regions: int, zones: int, work: Path) -> None:
        self.count, self._regions, self._zones, self._work = count, regions, zones, work
        self.workers: list[Worker] = []
        self.addresses: list[tuple[str, int]] = []
        self.versions: dict[str, int] = {}  # by kind/name, the newest that was written
        self.bodies: dict[str, bytes] = {}
        (work / "key").write_text(KEY + "\n")

    def zone(self, number: int) -> int:
        """Each stands in a zone of its own, as far as there are so many."""
        return number % self._zones

    def folder(self, number: int) -> Path:
        return self._work / f"control-{number}"

    def write_file(self, number: int, peers: Sequence[tuple[str, int]]) -> None:
        at = [f"{host}:{port}" for host, port in peers]
        owner = number < self._regions
        self.folder(number).mkdir(exist_ok=True)
        zone, key = self.zone(number), json.dumps(str(self._work / "key"))
        lines = [
            f'name = "c{number}"',
            f'listen = "127.0.1.{number + 1}:0"',
            f"key_file = {key}",
            f"state_dir = {json.dumps(str(self.folder(number)))}",
            f'region = "r{region_of(zone)}"',
            f'zone = "z{zone}"',
            f"peers = {json.dumps(at)}",
            "epoch = 1",
            f"origin = {json.dumps(number == ORIGIN)}",
            f"owns_facts = {json.dumps(owner)}",
            "subscribers = 20000",
        ]
        (self._work / f"control-{number}.toml").write_text("\n".join(lines) + "\n")

    async def start(self, number: int) -> Worker:
        """One process in its place, listening."""
        worker = await Worker.start(
            "pepperusher",
            f"control {number}",
            self._work / f"control-{number}.log",
            "control",
            "--config",
            str(self._work / f"control-{number}.toml"),
        )
        port = (await worker.said("port", START_WITHIN))["port"]
        address = f"127.0.1.{number + 1}", port
        if number < len(self.workers):
            self.workers[number], self.addresses[number] = worker, address
        else:
            self.workers.append(worker)
            self.addresses.append(address)
        return worker

    async def kill(self, number: int) -> None:
        self.workers[number].signal(signal.SIGKILL)
        await self.workers[number].end()

    def freeze(self, number: int, on: bool) -> None:
        self.workers[number].signal(signal.SIGSTOP if on else signal.SIGCONT)

    def full_disk(self, number: int, on: bool) -> None:
        """No file of its process may grow: writes fail as on a full disk, with another number (EFBIG)."""
        most = 0 if on else resource.RLIM_INFINITY
        resource.prlimit(self.workers[number].pid, resource.RLIMIT_FSIZE, (most, resource.RLIM_INFINITY))

    def keep_disk(self, number: int) -> None:
        shutil.copytree(self.folder(number), self._work / f"old-{number}", dirs_exist_ok=True)

    def old_disk(self, number: int) -> None:
        """As from a backup; its process has ended."""
        shutil.rmtree(self.folder(number))
        shutil.copytree(self._work / f"old-{number}", self.folder(number))

    async def end(self) -> None:
        for worker in self.workers:
            worker.signal(signal.SIGCONT)
            worker.signal(signal.SIGTERM)
        await asyncio.gather(*(worker.end() for worker in self.workers))

    # --- what operators do --------------------------------------------------------------------------

    async def publish(self, kind: str, name: str, body: bytes) -> int:
        """The version as one number. Raises operate.NoAnswer where it is not taken."""
        writer = ORIGIN if kind == "config" else int(name.partition("/")[0].removeprefix("r"))
        version = await operator_client.publish(self.addresses[writer], KEY.encode(), kind, name, body)
        made = self.versions[f"{kind}/{name}"] = number_of(*version)
        self.bodies[f"{kind}/{name}"] = body
        return made

    async def can_write(self) -> None:
        """Waits until the origin does. Raises operate.NoAnswer."""
        async with asyncio.timeout(WRITES_WITHIN):
            while True:
                try:
                    await self.publish("config", "probe", b"")
                    return
                except operator_client.NoAnswerError as error:
                    if "begins to write" not in str(error):
                        raise
                await asyncio.sleep(AGAIN_EVERY)

    async def rollout(self, kind: str, name: str) -> Rollout:
        return await operator_client.rollout(self.addresses[ORIGIN], KEY.encode(), kind, name)

    async def settled(self, within: float) -> None:
        """Until all hold all that was written, and nothing is on its way. Raises TimeoutError."""
        async with asyncio.timeout(within):
            while not all(
                one.get("resources", 0) >= len(self.versions) and one.get("rolling") == 0
                for one in await self.figures()
            ):
                await asyncio.sleep(AGAIN_EVERY)

    async def kept(self, what: str, within: float) -> bool:
        """Until each machine has on its disk the newest of `what` that was written; False where not in time."""
        until = time.monotonic() + within
        while not all(self._kept(number, what) >= self.versions[what] for number in range(self.count)):
            if time.monotonic() >= until:
                return False
            await asyncio.sleep(AGAIN_EVERY)
        return True

    def _kept(self, number: int, what: str) -> int:
        """The version that this one's disk has, -1 for none; files are replaced whole, so its process may run."""
        made, _ = version_records.read(Disk(self.folder(number)))
        versions = [one.version for one, _, _ in made if f"{one.kind}/{one.name}" == what]
        return number_of(*versions[0]) if versions else -1

    async def sums(self) -> Counter[str]:
        """Counts of all together."""
        made: Counter[str] = Counter()
        for one in await self.figures():
            made.update({what: count for what, count in one.items() if isinstance(count, int)})
        return made

    async def figures(self) -> list[dict[str, Any]]:
        """Of each, with its counts; those that do not answer have none."""

        async def one(address: tuple[str, int]) -> dict[str, Any]:
            try:
                return dict(await operator_client.fetch_counters(address, KEY.encode()))
            except operator_client.NoAnswerError:
                return {}

        return list(await asyncio.gather(*map(one, self.addresses)))
