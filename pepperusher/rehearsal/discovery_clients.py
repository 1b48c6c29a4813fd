"""A crowd that asks one discovery: how late each hears of a change after discovery is back, how many calls
that takes, and how soon new processes are ready.

Hollow askers are the proxy's own Discovery, Facade and Backends with no tickets, all in one process; the
discovery that they ask is `queued_discovery.QueuedDiscovery`. Times are those of `steady_loop`, and real where there are whole
processes. What an asker has is in force once the decisions were told of it."""

from __future__ import annotations

import asyncio
import json
import os
import socket
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
from pepperusher.rehearsal.steady_loop import SteadyLoop
from pepperusher.rehearsal.queued_discovery import KEEPING, REFUSING, SILENT, QueuedDiscovery

Made = TypeVar("Made")
BACKENDS = 20
# A scene that has not come to its end by then has failed.
MOST = 60.0
LOOK_EVERY = 0.05
# Seconds after which a call in the queue is refused, in the scene of that name.
PATIENCE = 2.0
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
    """Seconds: what was told late, or how long until ready. Calls came to discovery; those in its worst
    second, those it answered 503, and those that it worked through for nobody."""

    scene: str
    lags: list[float]
    unheard: int  # within the span of the scene
    calls: int
    worst_second: int
    refused: int
    in_vain: int

    def row(self) -> str:
        lags = sorted(self.lags)
        parts = (0.5, 0.9, 0.99, 1.0)
        at = [lags[min(len(lags) - 1, int(part * len(lags)))] if lags else float("nan") for part in parts]
        return (
            f"| {self.scene} | {len(lags)} | {' | '.join(f'{one:.2f}' for one in at)} | {self.unheard}"
            f" | {self.calls} | {self.worst_second} | {self.refused} | {self.in_vain} |"
        )


HEAD = (
    "| scene | heard | p50 s | p90 s | p99 s | most s | never | calls | worst second | 503 | in vain |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


class DiscoveryClient:
    """One hollow proxy: a list, and nobody who sends it a ticket."""

    def __init__(self, number: int, of: int, address: tuple[str, int], seed: int, ask_within: float) -> None:
        settings = {
            **SETTINGS,
            "group-size": of,
            "ordinal": number,
            "rules": {**SETTINGS["rules"], "ask-within": 1000 * ask_within},
        }
        log = Log(f"asker{number}")
        log.say = lambda line, fields=None: None  # type: ignore[method-assign]
        self.heard_at: dict[int, float] = {}  # by version, by the loop's clock; one measurement long
        told = read_settings(settings, seed * 1000 + number)
        self.facade = Facade(told, clock.now(), log.say)
        backends = Backends(Budget(1024), Pool(4, 1024 * 1024), 500_000, 10_000_000)
        self.discovery = Discovery(address, self.facade, backends, log, [self._narrow], told.seed)

    def _narrow(self, entries: list[Endpoint], whole: bool) -> list[Endpoint]:
        if entries or whole:
            self.heard_at.setdefault(self.discovery.version, asyncio.get_running_loop().time())
        return entries


async def wait_until(true: Callable[[], bool], most: float = MOST) -> bool:
    loop = asyncio.get_running_loop()
    end = loop.time() + most
    while not true():
        if loop.time() > end:
            return False
        await asyncio.sleep(0.01)
    return True


def _down(turns: QueuedDiscovery) -> None:
    turns.down()


def _refusing(turns: QueuedDiscovery) -> None:
    turns.manner = REFUSING
    turns.end_watches()


def _silent(turns: QueuedDiscovery) -> None:
    """It takes calls and never answers those, while open watches say nothing."""
    turns.manner = SILENT
    turns.hush()


def _keeping(turns: QueuedDiscovery) -> None:
    """Its process is up, takes calls into its queue and works none through: each is refused when its patience
    is over."""
    turns.manner = KEEPING
    turns.end_watches()


def _ended(turns: QueuedDiscovery) -> None:
    turns.end_watches()


def _hushed(turns: QueuedDiscovery) -> None:
    turns.hush()


# What befalls discovery, and whether it lasts; otherwise discovery is well at once.
SCENES: dict[str, tuple[Callable[[QueuedDiscovery], None], bool]] = {
    "down": (_down, True),
    "refusing": (_refusing, True),
    "silent": (_silent, True),
    "unreachable": (QueuedDiscovery.unreachable, True),
    "watches-end": (_ended, False),
    "watches-silent": (_hushed, False),
}
# The same, where more is asked of discovery than it can work through while anybody waits.
TROUBLES = {**SCENES, "keeping": (_keeping, True)}
STARTS = ("start-slow", "start-full", "start-back")


@asynccontextmanager
async def _crowd(
    askers: int, turns: QueuedDiscovery, seed: int, ask_within: float = 10.0
) -> AsyncIterator[list[DiscoveryClient]]:
    await turns.open()
    those = [DiscoveryClient(number, askers, turns.address, seed, ask_within) for number in range(askers)]
    try:
        yield those
    finally:
        for one in those:
            if hasattr(one.discovery._source, "following"):
                one.discovery.stop()
        turns.close()
        await asyncio.sleep(0.1)


def _figures(scene: str, turns: QueuedDiscovery, lags: list[float], unheard: int) -> Figures:
    first = min(turns.calls, default=0.0)
    seconds = Counter(int(at - first) for at in turns.calls)
    return Figures(
        scene, lags, unheard, len(turns.calls), max(seconds.values(), default=0), turns.refused, turns.in_vain
    )


async def notification_delays(
    scene: str,
    askers: int,
    each: float,
    queue: int,
    trials: int,
    seed: int,
    ask_within: float = 10.0,
    spans: tuple[float, float] = (3.0, 20.0),
    most: float = MOST,
    patience: float | None = None,
) -> Figures:
    """A change in the time of the trouble, told so much later than discovery had it and could be reached: for
    each asker and each of `trials` troubles of a length by chance. `each`, `ask_within` (the settings' time
    for asking) and `patience` (after which a call in the queue is refused) are seconds."""
    befalls, lasts = TROUBLES[scene]
    patience = PATIENCE if scene == "keeping" and patience is None else patience
    chance = Random(seed)
    turns = QueuedDiscovery(BACKENDS, each, queue)
    late: list[float] = []
    unheard = 0
    loop = asyncio.get_running_loop()
    async with _crowd(askers, turns, seed, ask_within) as those:
        for one in those:
            one.discovery.start()
        for _ in range(trials):
            if not await wait_until(lambda: all(turns.version in one.heard_at for one in those)):
                raise TimeoutError("the crowd was not told of the list as it is")
            await asyncio.sleep(3.0)  # calls beside the one that spoke are over
            turns.patience = patience  # not at the start, where all are to be told
            if _ == 0:
                turns.calls.clear()
                turns.refused = turns.in_vain = 0
            befalls(turns)
            turns.change()
            version = turns.version
            if lasts:
                await asyncio.sleep(chance.uniform(*spans))
                await turns.back()
            at = loop.time()
            await wait_until(lambda: all(version in one.heard_at for one in those), most)
            late += [one.heard_at[version] - at for one in those if version in one.heard_at]
            unheard += sum(version not in one.heard_at for one in those)
        return _figures(scene, turns, late, unheard)


class ServeProcess:
    """A process as an operator starts it, with no list of its own, asked whether it is ready."""

    def __init__(self, folder: Path, number: int, of: int, discovery: tuple[str, int], python: str) -> None:
        self._path = folder / f"{number}.json"
        self._python = python
        self._port = _free()
        self._path.write_text(
            json.dumps(
                {
                    "name": f"p{number}",
                    "listen": f"127.0.0.1:{self._port}",
                    "discovery": f"{discovery[0]}:{discovery[1]}",
                    "seed": f"{number:x}",
                    "limits": {"sockets": 256},
                    "settings": {**SETTINGS, "group-size": of, "ordinal": number},
                }
            )
        )

    async def ready(self) -> None:
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
                    raise RuntimeError(f"a process ended at its start with {process.returncode}")
                await asyncio.sleep(LOOK_EVERY)
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


def _free() -> int:
    """A port that the kernel gave and nobody holds now."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        port: int = one.getsockname()[1]
    return port


async def startup_times(scene: str, askers: int, whole: int, each: float, queue: int, seed: int) -> Figures:
    """How long until ready, each from its own start, of all that start at once without a list: `whole`
    processes and so many hollow ones that they are `askers` together. Discovery is slow (`each` seconds a
    call), full (503 beyond `queue`), or down and back after 5 s. Of processes where there are any, otherwise
    of the hollow ones."""
    turns = QueuedDiscovery(BACKENDS, each, queue if scene == "start-full" else 1_000_000)
    loop = asyncio.get_running_loop()
    took: list[float] = []

    async def timed(what: Awaitable[object]) -> None:
        began = loop.time()
        await what
        took.append(loop.time() - began)

    async with _crowd(askers - whole, turns, seed) as those:
        if scene == "start-back":
            turns.down()
        with tempfile.TemporaryDirectory() as folder:
            started = [
                ServeProcess(Path(folder), number, askers, turns.address, sys.executable) for number in range(whole)
            ]
            for one in those:
                one.discovery.start()
            tasks = [loop.create_task(timed(one.ready())) for one in started]
            if not whole:
                tasks = [loop.create_task(timed(wait_until(partial(bool, one.heard_at)))) for one in those]
            if scene == "start-back":
                await asyncio.sleep(5.0)
                await turns.back()
            _, missing = await asyncio.wait(tasks, timeout=MOST)
            for task in missing:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return _figures(scene, turns, took, len(missing))


def run_scenes(
    scenes: list[str], askers: int, whole: int, each: float, queue: int, trials: int, seed: int, ask_within: float
) -> Iterator[Figures]:
    for scene in scenes:
        if scene in TROUBLES:
            yield run_on_steady_loop(notification_delays(scene, askers, each, queue, trials, seed, ask_within))
        elif whole:
            yield asyncio.run(startup_times(scene, askers, min(whole, askers), each, queue, seed))
        else:
            yield run_on_steady_loop(startup_times(scene, askers, 0, each, queue, seed))


def run_on_steady_loop(what: Coroutine[Any, Any, Made]) -> Made:
    """By a clock that does not count what this machine is busy with."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        return runner.run(what)
