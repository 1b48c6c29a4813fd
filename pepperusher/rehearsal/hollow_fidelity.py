"""Compares complete and hollow proxies under the same churn: their control-plane traffic and their state, by kind."""

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
# Seconds between two changes, and the number of keepalive lines for each proxy in the quiet time after them.
CHANGE_INTERVAL_S = 0.2
QUIET_KEEPALIVES = 3
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
SETTLE_TIMEOUT_S = 30.0
# Two counts agree if they differ by at most this share of the larger one.
TOLERANCE = 0.10
MESSAGE_KINDS = ("calls", "lines", "empty lines")
BYTE_KINDS = ("bytes in", "bytes out")
STATE_KINDS = ("backends", "ready", "not closed", "requests", "changes")
MARKED_BACKEND = '\n[[backends]]\nid = "s0-7"\ndrain = true\n'
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")


class FidelityComparison(NamedTuple):
    kind: str
    whole: float
    hollow: float

    @property
    def agrees(self) -> bool:
        return abs(self.whole - self.hollow) <= TOLERANCE * max(self.whole, self.hollow)


class ServeProcess:
    """One complete proxy: a `serve` process, optionally with a group size `group` and an operator console."""

    def __init__(self, work: Path, index: int, group: int = 0, console: str = "", listen: str = "") -> None:
        self._work, self._index = work, index
        self._listen = listen or f"127.0.3.{index + 1}:7070"
        self._group_setting = {"group-size": group} if group else {}
        self._console_setting = {"console": console} if console else {}
        self._socket = work / f"w{index}.socket"
        self.process: asyncio.subprocess.Process

    async def start(self, discovery: list[Any], text: str = OWN) -> None:
        bootstrap_path, configuration_path = self._work / f"w{self._index}.json", self._work / f"w{self._index}.toml"
        bootstrap_path.write_text(
            json.dumps(
                {
                    "name": f"w{self._index}",
                    "listen": self._listen,
                    "discovery": f"{discovery[0]}:{discovery[1]}",
                    "seed": f"{self._index:x}",
                    "limits": {"sockets": 256, "memory_mb": 256},
                    "settings": {**SETTINGS, **self._group_setting, "zone": "z0", "ordinal": self._index},
                    **self._console_setting,
                }
            )
        )
        configuration_path.write_text(self.configuration_text(text))
        with open(self._work / f"w{self._index}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pepperusher",
                "serve",
                "--config",
                str(bootstrap_path),
                "--own",
                str(configuration_path),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment(),
                start_new_session=True,
                preexec_fn=with_parent,
            )

    def configuration_text(self, text: str) -> str:
        return f"{text}\n[control]\nsocket = {json.dumps(str(self._socket))}\n"

    def _ask(self, action: str, **arguments: Any) -> dict[str, Any] | None:
        try:
            return client.ask(str(self._socket), action, **arguments)
        except client.RefusedError:
            return None

    async def ask(self, action: str, **arguments: Any) -> dict[str, Any] | None:
        return await asyncio.to_thread(self._ask, action, **arguments)

    async def state(self) -> Counter[str]:
        """The state in the kinds of `Hollow.state`, as far as a complete proxy reports them."""
        backends, status = await self.ask("backends"), await self.ask("status")
        if backends is None or status is None:
            return Counter()
        rows = backends["backends"]
        return Counter(
            {
                "backends": len(rows),
                "ready": sum(1 for backend in rows if backend["ready"]),
                "not closed": sum(1 for backend in rows if backend["state"] != "closed"),
                "requests": status["in_hand"],
                "versions": len(status["versions"]),
                "changes": status["version"] - 1,
            }
        )

    def resource_use(self) -> tuple[float, float]:
        """Processor seconds so far and resident memory in MB."""
        stat_fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        resident_pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return (
            int(stat_fields[11]) + int(stat_fields[12])
        ) / CLOCK_TICKS_PER_S, resident_pages * PAGE_SIZE_BYTES / 2**20

    async def end(self) -> None:
        if hasattr(self, "process") and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def layout(size: int) -> Plan:
    """Two views with the same list of one service: the first for complete proxies, the second for hollow ones."""
    rows = [row(0, number, 0) for number in range(BACKENDS)]
    places = [Place(index, f"h{index}", 0, 0, 1, 0) for index in range(size)]
    return Plan([rows], [[0], [0]], places, [0])


def churn(seed: int) -> list[list[dict[str, Any]]]:
    """Changes of the endpoint list: one or several backends at once start to drain, disappear or are replaced."""
    random = Random(seed)
    changes: list[list[dict[str, Any]]] = []
    replacements: Counter[int] = Counter()
    state = ["ready"] * BACKENDS
    for _ in range(CHANGES):
        rows = []
        for number in random.sample(range(10, BACKENDS), random.choice((1, 1, 1, 3, 8))):
            next_state = {"ready": "draining", "draining": "gone", "gone": "ready"}[state[number]]
            if state[number] == "gone":
                replacements[number] += 1
            state[number] = next_state
            rows.append({**row(0, number, 0, next_state, replacements[number]), "new_in": [0, 1]})
        changes.append(rows)
    return changes


async def compare(size: int, seed: int, work: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Compares complete and hollow proxies that use discovery. Raises WorkerError if a process of the run failed,
    RuntimeError if a complete proxy did.
    """
    run = HollowRun(layout(size), seed, work, say)
    complete = [ServeProcess(work, index) for index in range(size)]
    try:
        await run.start_processes()
        await asyncio.gather(*(proxy.start(run.discovery_address(0, 0)) for proxy in complete))
        await run.start_proxies(run.plan.places)
        say(f"starting {size} complete and {size} hollow proxies")
        await _wait_until_ready(complete)
        if not await run.wait_until_versions({1: 1}, SETTLE_TIMEOUT_S):
            raise RuntimeError("hollow proxies did not receive the endpoint list in time")
        await _wait_until_watching(run, size)
        await run.discovery_counts()
        before = [proxy.resource_use() for proxy in complete]
        run.usage()
        began = time.monotonic()
        for number, rows in enumerate(churn(seed)):
            await run.change_backends(rows)
            await asyncio.sleep(CHANGE_INTERVAL_S)
            if number == CHANGES // 2:
                say("discovery becomes unavailable and available again")
                await run.set_discovery_down(True)
                await asyncio.sleep(2 * CHANGE_INTERVAL_S)
                await run.set_discovery_down(False)
        await run.wait_until_versions(await run.versions(), SETTLE_TIMEOUT_S)
        await _wait_until_watching(run, size)
        say("quiet time without changes")
        await _wait_until_watching(run, size, QUIET_KEEPALIVES * size)
        say("changing the configuration, with a mark on a backend")
        for proxy in complete:
            await proxy.ask("propose", text=proxy.configuration_text(OWN + MARKED_BACKEND), who="play", why="churn")
        answers = await run.ask_all("configure", name="own", text=OWN + MARKED_BACKEND)
        refusals = [refusal for answer in answers for refusal in answer["refused"]]
        counts = await run.discovery_counts_by_view()
        states: Counter[str] = Counter()
        for proxy in complete:
            states.update(await proxy.state())
        hollow_state = await run.proxy_state()
        processor_seconds = sum(proxy.resource_use()[0] - earlier[0] for proxy, earlier in zip(complete, before))
        usage = run.usage().get("proxies", {})
        seconds = time.monotonic() - began
    finally:
        await asyncio.gather(*(proxy.end() for proxy in complete))
        await run.end()
    comparisons = [
        FidelityComparison(kind, counts[0].get(kind, 0), counts[1].get(kind, 0))
        for kind in (*MESSAGE_KINDS, *BYTE_KINDS)
    ]
    comparisons += [FidelityComparison(kind, states[kind], hollow_state.get(kind, 0)) for kind in STATE_KINDS]
    return {
        "size": size,
        "seed": seed,
        "changes": CHANGES,
        "refused": refusals,
        "kinds": [{**comparison._asdict(), "agrees": comparison.agrees} for comparison in comparisons],
        "processor_seconds_each": {
            "whole": round(processor_seconds / size, 3),
            "hollow": round(usage.get("cores_mean", 0.0) * seconds / size, 4),
        },
        "memory_mb_each": {
            "whole": round(sum(earlier[1] for earlier in before) / size, 1),
            "hollow": round(usage.get("memory_mb", 0.0) / size, 2),
        },
        "verdict": "passed" if not refusals and all(comparison.agrees for comparison in comparisons) else "failed",
    }


async def _wait_until_watching(run: HollowRun, size: int, empty: int = 0) -> None:
    for view in (0, 1):
        if not await run.wait_until_watching(view, size, SETTLE_TIMEOUT_S, empty):
            raise RuntimeError("not all proxies watch discovery")


async def _wait_until_ready(complete: list[ServeProcess]) -> None:
    """Waits until each proxy has the endpoint list."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    for proxy in complete:
        while (await proxy.state())["ready"] < BACKENDS:
            if time.monotonic() > deadline or proxy.process.returncode is not None:
                raise RuntimeError(f"complete proxy was not ready within {READY_TIMEOUT_S:g} s")
            await asyncio.sleep(POLL_INTERVAL_S)


# The comparison with control machines: the number of configuration changes, and the compared counters of the
# machines. Those in START_KINDS also count the start of the proxies.
CONFIG_CHANGES = 4
CONTROL_MESSAGE_KINDS = ("accepted", "messages in", "messages out", "snapshots", "deltas", "in force")
START_KINDS = ("accepted", "snapshots")
CONTROL_BYTE_KINDS = ("bytes in", "bytes out")
# Heartbeats are sent at fixed intervals, so both kinds are counted over a span of the same length.
COUNTED_SPAN_S = 20.0
FAST_WATCH_CONFIGURATION = '[changes]\nwatch = "1s"\n'


async def compare_control(size: int, seed: int, work: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Compares complete and hollow proxies that use two control machines. They run one after the other, because a
    control machine counts the traffic of all connected proxies together.
    """
    counted = {}
    for kind in ("whole", "hollow"):
        folder = work / kind
        folder.mkdir()
        counted[kind] = await _count_control_traffic(kind, size, seed, folder, say)
    kinds = (*CONTROL_MESSAGE_KINDS, *CONTROL_BYTE_KINDS)
    comparisons = [FidelityComparison(kind, counted["whole"][kind], counted["hollow"][kind]) for kind in kinds]
    return {
        "size": size,
        "seed": seed,
        "changes": CONFIG_CHANGES,
        "refused": [],
        "kinds": [{**comparison._asdict(), "agrees": comparison.agrees} for comparison in comparisons],
        "verdict": "passed" if all(comparison.agrees for comparison in comparisons) else "failed",
    }


async def _count_control_traffic(
    kind: str, size: int, seed: int, work: Path, say: Callable[[str], None]
) -> Counter[str]:
    run = HollowRun(layout(size), seed, work, say, controls=2, names=[["config", "common"]])
    complete = [ServeProcess(work, index) for index in range(size if kind == "whole" else 0)]
    try:
        await run.start_processes()
        controls = run.controls
        assert controls is not None
        await controls.can_write()
        version = await controls.publish("config", "common", OWN.encode())
        await controls.wait_until_settled(READY_TIMEOUT_S)
        before = await controls.counter_sums()
        text = (
            f"{FAST_WATCH_CONFIGURATION}[distribution]\nmachines = {json.dumps(run.control_addresses(0))}\n"
            f'key_file = {json.dumps(str(work / "key"))}\nconfig = "common"\nregion = "r0"\n'
        )
        await asyncio.gather(*(proxy.start(run.discovery_address(0, 0), text) for proxy in complete))
        if not complete:
            await run.start_proxies(run.plan.places, BOTH)
        await _wait_until_in_force(run, complete, version)
        # Counting starts once all proxies are connected, so the duration of their start does not matter.
        connected, began = await controls.counter_sums(), time.monotonic()
        for number in range(CONFIG_CHANGES):
            await _wait_until_in_force(run, complete, version)
            mark = f'\n[[backends]]\nid = "s0-{number}"\nweight = 0.5\n'
            version = await controls.publish("config", "common", (OWN + mark).encode())
        await _wait_until_in_force(run, complete, version)
        say(f"{size} {kind} proxies have {CONFIG_CHANGES} changes in force")
        if (remaining := COUNTED_SPAN_S - (time.monotonic() - began)) < 0:
            raise RuntimeError(f"the changes took longer than the counted span of {COUNTED_SPAN_S:g} s")
        await asyncio.sleep(remaining)
        after = await controls.counter_sums()
        return Counter({kind: after[kind] - (before if kind in START_KINDS else connected)[kind] for kind in after})
    finally:
        await asyncio.gather(*(proxy.end() for proxy in complete))
        await run.end()


async def _wait_until_in_force(run: HollowRun, complete: list[ServeProcess], version: int) -> None:
    """Waits until this version is in force at all proxies. It asks the proxies, since a request to a control machine
    would change the compared counters.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    wanted = f"{version >> 53}.{version & (1 << 53) - 1}"
    if not complete and not await run.wait_until_resources({"config/common": version}, READY_TIMEOUT_S):
        raise RuntimeError("a change was not in force at all hollow proxies in time")
    for proxy in complete:
        while ((await proxy.ask("status") or {}).get("distribution") or {}).get("version") != wanted:
            if time.monotonic() > deadline or proxy.process.returncode is not None:
                raise RuntimeError("a change was not in force at all complete proxies in time")
            await asyncio.sleep(POLL_INTERVAL_S)
