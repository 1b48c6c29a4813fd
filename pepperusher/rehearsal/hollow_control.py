"""The control machines of a scale test: real control-plane processes, and the faults injected into them."""

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
START_TIMEOUT_S = 60.0
# The origin accepts writes only after it has compared its state with half of the other machines.
WRITE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
ORIGIN = 0
DISK_COUNTERS = ("disk", "unsaved", "write us", "peers connected", "versions", "ahead elsewhere", "rolling")


class Controls:
    """The processes of the control machines, their addresses and the newest versions published there."""

    def __init__(self, count: int, regions: int, zones: int, work: Path) -> None:
        self.count, self._regions, self._zones, self._work = count, regions, zones, work
        self.workers: list[Worker] = []
        self.addresses: list[tuple[str, int]] = []
        self.versions: dict[str, int] = {}  # by kind/name, the newest published version
        self.bodies: dict[str, bytes] = {}
        (work / "key").write_text(KEY + "\n")

    def zone(self, number: int) -> int:
        """Each machine has its own zone as long as there are enough zones."""
        return number % self._zones

    def folder(self, number: int) -> Path:
        return self._work / f"control-{number}"

    def write_file(self, number: int, peers: Sequence[tuple[str, int]]) -> None:
        peer_addresses = [f"{host}:{port}" for host, port in peers]
        owns_lists = number < self._regions
        self.folder(number).mkdir(exist_ok=True)
        zone, key = self.zone(number), json.dumps(str(self._work / "key"))
        lines = [
            f'name = "c{number}"',
            f'listen = "127.0.1.{number + 1}:0"',
            f"key_file = {key}",
            f"state_dir = {json.dumps(str(self.folder(number)))}",
            f'region = "r{region_of(zone)}"',
            f'zone = "z{zone}"',
            f"peers = {json.dumps(peer_addresses)}",
            "epoch = 1",
            f"origin = {json.dumps(number == ORIGIN)}",
            f"owns_facts = {json.dumps(owns_lists)}",
            "subscribers = 20000",
        ]
        (self._work / f"control-{number}.toml").write_text("\n".join(lines) + "\n")

    async def start(self, number: int) -> Worker:
        """Starts or restarts one machine and waits until it listens."""
        worker = await Worker.start(
            "pepperusher",
            f"control {number}",
            self._work / f"control-{number}.log",
            "control",
            "--config",
            str(self._work / f"control-{number}.toml"),
        )
        port = (await worker.said("port", START_TIMEOUT_S))["port"]
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

    def limit_disk(self, number: int, on: bool) -> None:
        """Sets the file size limit of the process to zero, so that writes fail as on a full disk, though with
        EFBIG instead of ENOSPC.
        """
        limit = 0 if on else resource.RLIM_INFINITY
        resource.prlimit(self.workers[number].pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def copy_disk(self, number: int) -> None:
        """Copies the state of a running machine, without files that are still being written: a rename may remove them
        before they are copied.
        """
        shutil.copytree(
            self.folder(number),
            self._work / f"old-{number}",
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns("*.new"),
        )

    def restore_disk(self, number: int) -> None:
        """Restores the copy of `copy_disk`, as from a backup; the process must not be running."""
        shutil.rmtree(self.folder(number))
        shutil.copytree(self._work / f"old-{number}", self.folder(number))

    async def end(self) -> None:
        for worker in self.workers:
            worker.signal(signal.SIGCONT)
            worker.signal(signal.SIGTERM)
        await asyncio.gather(*(worker.end() for worker in self.workers))

    # --- operator calls --------------------------------------------------------------------------

    async def publish(self, kind: str, name: str, body: bytes) -> int:
        """Publishes a resource. Returns its version as one number. Raises operator_client.NoAnswerError if refused."""
        writer = ORIGIN if kind == "config" else int(name.partition("/")[0].removeprefix("r"))
        version = await operator_client.publish(self.addresses[writer], KEY.encode(), kind, name, body)
        number = self.versions[f"{kind}/{name}"] = number_of(*version)
        self.bodies[f"{kind}/{name}"] = body
        return number

    async def can_write(self) -> None:
        """Waits until the origin accepts writes. Raises operator_client.NoAnswerError."""
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            while True:
                try:
                    await self.publish("config", "probe", b"")
                    return
                except operator_client.NoAnswerError as error:
                    if "begins to write" not in str(error):
                        raise
                await asyncio.sleep(POLL_INTERVAL_S)

    async def rollout(self, kind: str, name: str) -> Rollout:
        return await operator_client.rollout(self.addresses[ORIGIN], KEY.encode(), kind, name)

    async def wait_until_settled(self, within: float) -> None:
        """Waits until every machine has every published resource and no rollout is in progress. Raises TimeoutError."""
        async with asyncio.timeout(within):
            while not all(
                counters.get("resources", 0) >= len(self.versions) and counters.get("rolling") == 0
                for counters in await self.counters()
            ):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_on_disk(self, resource: str, within: float) -> bool:
        """Waits until every machine has the newest version of a resource on disk. Returns False on time-out."""
        deadline = time.monotonic() + within
        while not all(
            self._version_on_disk(number, resource) >= self.versions[resource] for number in range(self.count)
        ):
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def describe_disks(self, resource: str) -> list[dict[str, Any]]:
        """For each machine how far its disk is behind the newest version of a resource (0 if it is not, a version's number is
        a time in ms), and its counters that tell a slow disk from a version that did not come.
        """
        return [
            {
                "behind": self.versions[resource] - self._version_on_disk(number, resource),
                **{name: counters.get(name) for name in DISK_COUNTERS},
            }
            for number, counters in enumerate(await self.counters())
        ]

    def _version_on_disk(self, number: int, resource: str) -> int:
        """The version on the disk of one machine, or -1. Files are replaced atomically, so it may be running."""
        records, _ = version_records.read(Disk(self.folder(number)))
        versions = [record.version for record, _, _ in records if f"{record.kind}/{record.name}" == resource]
        return number_of(*versions[0]) if versions else -1

    async def counter_sums(self) -> Counter[str]:
        """The sums of the counters over all machines."""
        total: Counter[str] = Counter()
        for counters in await self.counters():
            total.update({counter: count for counter, count in counters.items() if isinstance(count, int)})
        return total

    async def counters(self) -> list[dict[str, Any]]:
        """The counters of each machine, empty for a machine that does not answer."""

        async def fetch(address: tuple[str, int]) -> dict[str, Any]:
            try:
                return dict(await operator_client.fetch_counters(address, KEY.encode()))
            except operator_client.NoAnswerError:
                return {}

        return list(await asyncio.gather(*map(fetch, self.addresses)))
