"""Measures many proxies on one discovery server: how late each receives a change after an outage of discovery, how many
requests that takes, and how soon new processes are ready.

A hollow client consists of the proxy's own Discovery, Facade and Backends without tickets; all run in one process,
against `queued_discovery.QueuedDiscovery`. Times are those of the clock of `steady_loop`, or real time for whole
processes. A client counts as notified once its load balancing has received the change."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, AsyncIterator, NamedTuple, TypeVar

from pepperusher.facade import Endpoint, Facade
from pepperusher.settings import read_settings
from pepperusher.net import clock
from pepperusher.net.backends import Backends
from pepperusher.net.budget import Budget
from pepperusher.net.buffers import Pool
from pepperusher.net.discovery import Discovery
from pepperusher.net.log import Log
from pepperusher.net.request_events import RequestEvents
from pepperusher.rehearsal.steady_loop import SteadyLoop
from pepperusher.rehearsal.queued_discovery import KEEPING, REFUSING, SILENT, QueuedDiscovery
from pepperusher.rehearsal.ports import free_port

CoroutineResult = TypeVar("CoroutineResult")
BACKENDS = 20
# Time limit in seconds for one step of a scenario, after which the scenario has failed.
STEP_TIME_LIMIT = 60.0
READY_POLL_INTERVAL = 0.05
# Seconds after which a request in the queue is refused, in the "keeping" scenario.
KEEPING_MAX_WAIT = 2.0
SETTINGS: dict[str, Any] = {
    "group-size": 1,
    "ordinal": 0,
    "stage": 0,
    "zone": "here",
    "zones": ["here"],
    "tiers": ["only"],
    "policy-limits": {
        "cancel": True,
        "connect-timeout": 500.0,
        "keepalive": 10_000.0,
        "most-transmissions": 3,
        "retry-after": True,
        "max-retry-after": 1000.0,
    },
    "rules": {
        "ask-within": 10_000.0,
        "cold-share": 0.2,
        "warm-after": 5000.0,
        "tip-multiple": 3.0,
        "overload-for": 2000.0,
        "stop-sending-within": 250.0,
    },
    "family-info": {"passes-deadline": True},
    "use-cases": [
        {"name": "look", "promised-time": 1000.0, "outer-limit": 2000.0, "importance": 1.0, "effect": "pure"}
    ],
}


class Figures(NamedTuple):
    """The result of one scenario. `lags` are the delays of notifications, or the times until ready (s). `calls` are the
    requests to discovery, `worst_second` the most in one second, `refused` those answered 503, and `in_vain` those
    processed after their client had left."""

    scene: str
    lags: list[float]
    unheard: int  # clients not notified, or not ready, within the scenario
    calls: int
    worst_second: int
    refused: int
    in_vain: int

    def row(self) -> str:
        """The result as a row of the Markdown table that HEAD begins."""
        lags = sorted(self.lags)
        quantiles = (0.5, 0.9, 0.99, 1.0)
        values = [lags[min(len(lags) - 1, int(part * len(lags)))] if lags else float("nan") for part in quantiles]
        return (
            f"| {self.scene} | {len(lags)} | {' | '.join(f'{value:.2f}' for value in values)} | {self.unheard}"
            f" | {self.calls} | {self.worst_second} | {self.refused} | {self.in_vain} |"
        )


HEAD = (
    "| scene | heard | p50 s | p90 s | p99 s | most s | never | calls | worst second | 503 | in vain |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


class DiscoveryClient:
    """One hollow proxy: it follows the endpoint list and receives no tickets."""

    def __init__(self, number: int, group_size: int, address: tuple[str, int], seed: int, ask_within: float) -> None:
        settings = {
            **SETTINGS,
            "group-size": group_size,
            "ordinal": number,
            "rules": {**SETTINGS["rules"], "ask-within": 1000 * ask_within},
        }
        log = Log(f"asker{number}")
        log.say = lambda line, fields=None: None  # type: ignore[method-assign]
        self.notified_at: dict[int, float] = {}  # version -> event loop time of its arrival
        policy_settings = read_settings(settings, seed * 1000 + number)
        self.facade = Facade(policy_settings, clock.now(), log.say)
        backends = Backends(Budget(1024), Pool(4, 1024 * 1024), 500_000, 10_000_000, RequestEvents(log))
        self.discovery = Discovery(address, self.facade, backends, log, [self._record_update], policy_settings.seed)

    def _record_update(self, entries: list[Endpoint], whole: bool) -> list[Endpoint]:
        if entries or whole:
            self.notified_at.setdefault(self.discovery.version, asyncio.get_running_loop().time())
        return entries


async def wait_until(condition: Callable[[], bool], limit: float = STEP_TIME_LIMIT) -> bool:
    """Polls until the condition holds; returns whether it did within `most` seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit
    while not condition():
        if loop.time() > end:
            return False
        await asyncio.sleep(0.01)
    return True


def _down(discovery_server: QueuedDiscovery) -> None:
    discovery_server.down()


def _refusing(discovery_server: QueuedDiscovery) -> None:
    discovery_server.mode = REFUSING
    discovery_server.end_watches()


def _silent(discovery_server: QueuedDiscovery) -> None:
    """Discovery accepts requests and never answers them, and sends nothing on open watches."""
    discovery_server.mode = SILENT
    discovery_server.mute_watches()


def _keeping(discovery_server: QueuedDiscovery) -> None:
    """Discovery queues requests and processes none, so each is refused when its waiting time is over."""
    discovery_server.mode = KEEPING
    discovery_server.end_watches()


def _watches_end(discovery_server: QueuedDiscovery) -> None:
    discovery_server.end_watches()


def _watches_silent(discovery_server: QueuedDiscovery) -> None:
    discovery_server.mute_watches()


# Scenario name -> the fault of discovery, and whether it lasts; a fault that does not last is over at once.
SCENES: dict[str, tuple[Callable[[QueuedDiscovery], None], bool]] = {
    "down": (_down, True),
    "refusing": (_refusing, True),
    "silent": (_silent, True),
    "unreachable": (QueuedDiscovery.unreachable, True),
    "watches-end": (_watches_end, False),
    "watches-silent": (_watches_silent, False),
}
# Also the scenario in which discovery gets more requests than it can process while their clients wait.
TROUBLES = {**SCENES, "keeping": (_keeping, True)}
STARTS = ("start-slow", "start-full", "start-back")


@asynccontextmanager
async def _running_clients(
    client_count: int, discovery_server: QueuedDiscovery, seed: int, ask_within: float = 10.0
) -> AsyncIterator[list[DiscoveryClient]]:
    await discovery_server.open()
    clients = [
        DiscoveryClient(number, client_count, discovery_server.address, seed, ask_within)
        for number in range(client_count)
    ]
    try:
        yield clients
    finally:
        for client in clients:
            if hasattr(client.discovery._source, "following"):
                client.discovery.stop()
        discovery_server.close()
        await asyncio.sleep(0.1)


def _make_figures(scene: str, discovery_server: QueuedDiscovery, lags: list[float], unheard: int) -> Figures:
    first = min(discovery_server.calls, default=0.0)
    seconds = Counter(int(at - first) for at in discovery_server.calls)
    return Figures(
        scene,
        lags,
        unheard,
        len(discovery_server.calls),
        max(seconds.values(), default=0),
        discovery_server.refused,
        discovery_server.wasted,
    )


async def notification_delays(
    scene: str,
    client_count: int,
    seconds_per_request: float,
    queue: int,
    trials: int,
    seed: int,
    ask_within: float = 10.0,
    spans: tuple[float, float] = (3.0, 20.0),
    limit: float = STEP_TIME_LIMIT,
    max_wait: float | None = None,
) -> Figures:
    """Measures how long after discovery has a change and is reachable again each client receives it. The change happens
    during a fault; there are `trials` faults of random length (`spans`, in seconds). `ask_within` is the time limit for
    requests in the settings, and `max_wait` the time after which a queued request is refused, both in seconds."""
    apply_fault, is_lasting = TROUBLES[scene]
    max_wait = KEEPING_MAX_WAIT if scene == "keeping" and max_wait is None else max_wait
    rng = Random(seed)
    discovery_server = QueuedDiscovery(BACKENDS, seconds_per_request, queue)
    delays: list[float] = []
    unheard = 0
    loop = asyncio.get_running_loop()
    async with _running_clients(client_count, discovery_server, seed, ask_within) as clients:
        for client in clients:
            client.discovery.start()
        for _ in range(trials):
            if not await wait_until(lambda: all(discovery_server.version in client.notified_at for client in clients)):
                raise TimeoutError("not all clients received the current endpoint list before the fault")
            await asyncio.sleep(3.0)  # parallel requests of the same client have ended by then
            discovery_server.max_wait = max_wait  # not set before, as every client has to receive the first list
            if _ == 0:
                discovery_server.calls.clear()
                discovery_server.refused = discovery_server.wasted = 0
            apply_fault(discovery_server)
            discovery_server.change()
            version = discovery_server.version
            if is_lasting:
                await asyncio.sleep(rng.uniform(*spans))
                await discovery_server.recover()
            reachable_at = loop.time()
            await wait_until(lambda: all(version in client.notified_at for client in clients), limit)
            delays += [
                client.notified_at[version] - reachable_at for client in clients if version in client.notified_at
            ]
            unheard += sum(version not in client.notified_at for client in clients)
        return _make_figures(scene, discovery_server, delays, unheard)


class ServeProcess:
    """A whole `serve` process, started without a saved endpoint list and polled for readiness."""

    def __init__(self, folder: Path, number: int, group_size: int, discovery: tuple[str, int], python: str) -> None:
        self._path = folder / f"{number}.json"
        self._python = python
        self._port = free_port()
        self._path.write_text(
            json.dumps(
                {
                    "name": f"p{number}",
                    "listen": f"127.0.0.1:{self._port}",
                    "discovery": f"{discovery[0]}:{discovery[1]}",
                    "seed": f"{number:x}",
                    "limits": {"sockets": 256},
                    "settings": {**SETTINGS, "group-size": group_size, "ordinal": number},
                }
            )
        )

    async def ready(self) -> None:
        """Starts the process, waits until it is ready, and kills it. Raises RuntimeError if it exits before."""
        process = await asyncio.create_subprocess_exec(
            self._python,
            "-m",
            "pepperusher",
            "serve",
            "--config",
            str(self._path),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            env=dict(os.environ),
        )
        try:
            while not await self._is_ready():
                if process.returncode is not None:
                    raise RuntimeError(f"a process exited before it was ready, with status {process.returncode}")
                await asyncio.sleep(READY_POLL_INTERVAL)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.transport.abort()


async def startup_times(
    scene: str, client_count: int, process_count: int, seconds_per_request: float, queue: int, seed: int
) -> Figures:
    """Measures the time from start to ready of `client_count` clients that all start at once without an endpoint list.
    `process_count` of them are processes, the others hollow. Discovery is slow (`seconds_per_request`), full (503 beyond
    `queue` waiting requests), or down for the first 5 s. Only the processes are measured if there are any, otherwise the
    hollow clients."""
    discovery_server = QueuedDiscovery(BACKENDS, seconds_per_request, queue if scene == "start-full" else 1_000_000)
    loop = asyncio.get_running_loop()
    durations: list[float] = []

    async def measure(ready: Awaitable[object]) -> None:
        started_at = loop.time()
        await ready
        durations.append(loop.time() - started_at)

    async with _running_clients(client_count - process_count, discovery_server, seed) as clients:
        if scene == "start-back":
            discovery_server.down()
        with tempfile.TemporaryDirectory() as folder:
            processes = [
                ServeProcess(Path(folder), number, client_count, discovery_server.address, sys.executable)
                for number in range(process_count)
            ]
            for client in clients:
                client.discovery.start()
            tasks = [loop.create_task(measure(process.ready())) for process in processes]
            if not process_count:
                tasks = [loop.create_task(measure(wait_until(partial(bool, client.notified_at)))) for client in clients]
            if scene == "start-back":
                await asyncio.sleep(5.0)
                await discovery_server.recover()
            _, missing = await asyncio.wait(tasks, timeout=STEP_TIME_LIMIT)
            for task in missing:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return _make_figures(scene, discovery_server, durations, len(missing))


def run_scenes(
    scenes: list[str],
    client_count: int,
    process_count: int,
    seconds_per_request: float,
    queue: int,
    trials: int,
    seed: int,
    ask_within: float,
) -> Iterator[Figures]:
    for scene in scenes:
        if scene in TROUBLES:
            yield run_on_steady_loop(
                notification_delays(scene, client_count, seconds_per_request, queue, trials, seed, ask_within)
            )
        elif process_count:
            yield asyncio.run(
                startup_times(scene, client_count, min(process_count, client_count), seconds_per_request, queue, seed)
            )
        else:
            yield run_on_steady_loop(startup_times(scene, client_count, 0, seconds_per_request, queue, seed))


def run_on_steady_loop(coroutine: Coroutine[Any, Any, CoroutineResult]) -> CoroutineResult:
    """Runs the coroutine on a clock that excludes the time in which this machine was busy."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        return runner.run(coroutine)
