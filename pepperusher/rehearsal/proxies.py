"""Runs the real `serve`, one process per proxy: configures, starts, signals, monitors and samples it."""

from __future__ import annotations

import asyncio
import json
import os
import re
import resource
import shutil
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import h11

from pepperusher.control import client
from pepperusher.rehearsal.fleet_plan import Gate
from pepperusher.rehearsal.group_run import GroupRun, parsed
from pepperusher.rehearsal.records import (
    MembershipBelief,
    ProxyPause,
    ProxyRun,
    Reconfiguration,
    Sample,
    BreakerChange,
    Writer,
)
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.wire import BrokenConnection, Start, clock, open_peer, relative_time
from pepperusher.rehearsal.worker import environment, with_parent

CONSOLE_PORT = 7072
READY_WITHIN = 20.0
READY_POLL_INTERVAL = 0.02
SAMPLE_EVERY = 0.5
# Period in seconds in which a CPU-starved process runs once and is suspended once.
STARVED_PERIOD = 0.1
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# SIGKILL follows SIGTERM after the longest client time limit, but at most LONGEST_GRACE, plus GRACE_MARGIN (us).
LONGEST_GRACE = 3_000_000
GRACE_MARGIN = 700_000
# The proxy's log line for a change of a breaker, in the plain text form of the log.
BREAKER_LINE = re.compile(r"^[0-9.]+ [^:]+: (\S+) (open|closed): ")
# Value of a use case's `repeat` in the script -> its `effect` in the proxy's settings.
EFFECT_OF_REPEAT = {"replayable": "pure", "referenced": "token", "single-use": "side_effect"}


def settings(script: Script, gate: Gate) -> dict[str, Any]:
    """The settings that a proxy of this gate gets from the platform (times in ms)."""
    rules = script.rules
    kinds = [kind for kind in script.tiers[gate.tier].kinds]
    cold_share = min((kind.cold_from for kind in kinds), default=1.0)
    quota_per_share = _default_quota(script)
    return {
        "group-size": gate.group,
        "ordinal": gate.ordinal,
        "stage": gate.tier,
        "tiers": [tier.name for tier in script.tiers],
        "zone": gate.zone,
        "zones": sorted({zone for tier in script.tiers for zone in tier.zones}),
        "use-cases": [
            {
                "name": use.name,
                "effect": EFFECT_OF_REPEAT[use.repeat],
                "key-scope": use.scope,
                "window": use.remembered / 1000,
                "importance": use.importance,
                "overdue-importance": use.late_share,
                "promised-time": use.promised / 1000,
                "outer-limit": use.outer / 1000,
            }
            for use in script.use_cases
        ],
        "customers": [
            {"name": customer.name, "quota-rps": customer.quota or customer.share * quota_per_share}
            for customer in script.customers
        ],
        "policy-limits": {
            "cancel": rules.cancel,
            "connect-timeout": rules.connect_within / 1000,
            "keepalive": min(kind.idle for kind in kinds) / 1000,
            "most-transmissions": rules.most_attempts,
            "retry-after": rules.advice,
            "max-retry-after": rules.longest_advice / 1000,
        },
        "rules": {
            "ask-within": rules.ask_within / 1000,
            "cold-share": cold_share,
            "warm-after": max(kind.warm_for for kind in kinds) / 1000,
            "tip-multiple": rules.tip_multiple,
            "overload-for": rules.tip_for / 1000,
            "stop-sending-within": rules.drain_grace / 1000,
        },
        "family-info": {"passes-deadline": rules.passes_limit},
        "importance-by": "work",
    }


def _default_quota(script: Script) -> float:
    """Tickets a second that a customer with share 1 may send where the script gives no quota: the highest rate of
    the load, divided by the sum of all shares."""
    rates = [phase.rate for phase in script.load.phases] + script.load.day
    return max(rates, default=100.0) / max(1e-9, sum(customer.share for customer in script.customers))


def python_of(build: Path | None) -> str:
    """The interpreter of the checkout `build`, or this process's where it has none."""
    own = build / ".venv" / "bin" / "python" if build else None
    return str(own) if own is not None and own.exists() else sys.executable


class Runner:
    """Runs the `serve` processes of one gate, one after another."""

    def __init__(
        self,
        script: Script,
        gate: Gate,
        work: Path,
        build: Path | None,
        writer: Writer,
        start: Start,
        known_backends: Callable[[Gate], dict[str, object]],
        discovery_address: Callable[[Gate, int], tuple[str, int]],
        grouping: GroupRun | None = None,
        twin: bool = False,
    ) -> None:
        self.gate = gate
        self._grouping = grouping
        self.instance_name = grouping.instance_name(gate, twin) if grouping is not None else gate.name
        self.believed: list[MembershipBelief] = []  # group membership as the proxy logged it, oldest first
        self._script = script
        self._work = work
        self._build = build
        self._writer = writer
        self._start = start
        self._known_backends = known_backends
        self._discovery_address = discovery_address
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        self._event_times: dict[str, int] = {}  # absolute clock times, as the start of the run may not be known yet
        self._start_count = 0
        self.ready = False

    def _now(self) -> int:
        return clock() - self._start.at

    def write_configuration(self) -> Path:
        """Writes the configuration file that `serve` reads, with the current discovery address."""
        gate, path = self.gate, self._work / f"{self.instance_name}.json"
        host, port = self._discovery_address(gate, self._now())
        configuration = {
            "name": gate.name,
            "listen": f"{gate.address[0]}:{gate.address[1]}",
            "discovery": f"{host}:{port}",
            "seed": f"{(self._script.seed * 7919 + gate.number * 31 + self._start_count) & 0xFFFFFFFFFFFF:x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self._script.proxies.memory_mb,
                "sockets": self._script.proxies.sockets,
            },
            "known": self._known_backends(gate),
            "settings": settings(self._script, gate),
        }
        new_file = path.with_suffix(".new")
        new_file.write_text(json.dumps(configuration))
        new_file.replace(path)
        return path

    async def run(self) -> None:
        """Starts a process and returns once it is ready. Raises RuntimeError if it does not become ready, or if a
        process is running already."""
        if self._process is not None:
            raise RuntimeError(f"{self.gate.name} cannot be started: its process is still running")
        path = self.write_configuration()
        self._start_count += 1
        interpreter_flags = ["-O"] if self._script.proxies.optimised else []
        own_settings = self._script.proxies.own
        options = []
        if own_settings and self.gate.tier == 0:
            text = (Path(self._script.folder) / own_settings).read_text()
            own_file = self._work / f"{self.instance_name}.toml"
            own_file.write_text(text.replace("HERE", str(self.folder())))
            options = ["--own", str(own_file)]
        process_environment = environment(self._build)
        if self._grouping is not None:
            options = ["--own", str(self._grouping.write_own(self.gate, self.instance_name, self.folder()))]
        if self._script.proxies.console or self._grouping is not None:
            options += ["--console", f"{self.gate.address[0]}:{CONSOLE_PORT}"]
            process_environment["TMPDIR"] = str(self.folder())
        self._event_times = {"started": clock()}
        self._process = process = await asyncio.create_subprocess_exec(
            python_of(self._build),
            *interpreter_flags,
            "-m",
            "pepperusher",
            "serve",
            "--config",
            str(path),
            *options,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=process_environment,
            cwd=self._work,
            start_new_session=True,
            preexec_fn=with_parent,
        )
        self._log_reader = asyncio.get_running_loop().create_task(self._read(process))
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not await self._is_ready():
                    if process.returncode is not None:
                        await self._wait_for_exit()
                        raise RuntimeError(f"{self.gate.name} exited before it was ready: {self._last_line()}")
                    await asyncio.sleep(READY_POLL_INTERVAL)
        except TimeoutError:
            raise RuntimeError(f"{self.gate.name} was not ready in {READY_WITHIN:g} s") from None
        self._event_times["ready"] = clock()
        self.ready = True

    async def _is_ready(self) -> bool:
        try:
            peer = await open_peer(self.gate.address)
        except OSError:
            return False
        try:
            peer.send(h11.Request(method="GET", target="/ready", headers=[("host", "proxy"), ("connection", "close")]))
            answer = await peer.receive()
            return answer is not None and isinstance(answer.head, h11.Response) and answer.head.status_code == 200
        except (BrokenConnection, OSError):
            return False
        finally:
            peer.abort()

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        """Copies the process's log to a file, and adds breaker changes and its exit to the records."""
        assert process.stderr is not None
        with open(self._work / f"{self.instance_name}.log", "ab") as log:
            async for line in process.stderr:
                log.write(line)
                log.flush()
                self._handle_log_line(line)
        status = await process.wait()
        times, self._event_times = self._event_times, {}
        if self._process is process:
            self._process, self.ready = None, False
        self._writer.add(
            ProxyRun(
                self.gate.number,
                process.pid,
                *(
                    relative_time(times.get(what, -1), self._start.at)
                    for what in ("started", "ready", "told", "killed")
                ),
                self._now(),
                status,
            )
        )

    def _handle_log_line(self, line: bytes) -> None:
        match = BREAKER_LINE.match(line.decode("utf-8", "replace"))
        if match:
            self._writer.add(BreakerChange(self.gate.number, self._now(), match[1], match[2]))
            return
        if self._grouping is None or not (entry := parsed(line)):
            return
        if entry.get("event") == "breaker":
            self._writer.add(
                BreakerChange(self.gate.number, self._now(), str(entry.get("id")), str(entry.get("state")))
            )
        elif (
            belief := self._grouping.handle_log_entry(self.gate, self.instance_name, entry, self._start.at)
        ) is not None:
            self.believed.append(belief)
            self._writer.add(belief)

    # --- control socket and console -------------------------------------------------------------------

    @property
    def pid(self) -> int | None:
        return self._process.pid if self._process is not None and self._process.returncode is None else None

    async def ask(self, do: str, **said: Any) -> dict[str, Any]:
        """Sends a command over the proxy's control socket. Raises client.Refused."""
        assert self._grouping is not None
        return await asyncio.to_thread(client.ask, str(self._grouping.control(self.instance_name)), do, **said)

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """Sends a request to the proxy's console; returns status and body, with status 0 if it does not answer."""
        try:
            reader, writer = await asyncio.open_connection(self.gate.address[0], CONSOLE_PORT)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
            response = (await reader.read()).decode()
            writer.close()
        except OSError:
            return 0, ""
        head, _, body = response.partition("\r\n\r\n")
        return int(head.split()[1]) if " " in head else 0, body.strip()

    # --- suspending the process -----------------------------------------------------------------------

    async def stopped(self, until: Callable[[], Awaitable[None]]) -> None:
        """Suspends the process (SIGSTOP) until the coroutine `until` returns, then resumes it (SIGCONT)."""
        stopped_at = self._now()
        self._signal(signal.SIGSTOP)
        try:
            await until()
        finally:
            self._signal(signal.SIGCONT)
            self._writer.add(ProxyPause(self.gate.number, stopped_at, self._now()))

    async def starved(self, part: float, until: int) -> None:
        """Lets the process run for the share `part` of each STARVED_PERIOD, until `until`."""
        while self._now() < until:
            await asyncio.sleep(part * STARVED_PERIOD)
            await self.stopped(lambda: asyncio.sleep((1 - part) * STARVED_PERIOD))

    # --- the proxy's disk ------------------------------------------------------------------------------

    def folder(self) -> Path:
        """The folder for the proxy's persistent data, which outlives its processes."""
        disk = self._work / f"{self.instance_name}.disk"
        disk.mkdir(exist_ok=True)
        return disk

    def full_disk(self, on: bool) -> None:
        """Simulates a full disk by a file size limit of 0: writes fail, with EFBIG instead of ENOSPC. The log is not
        affected, as it goes to a pipe."""
        if self.pid is not None:
            size_limit = 0 if on else resource.RLIM_INFINITY
            resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (size_limit, resource.RLIM_INFINITY))

    def take_disk(self, away: bool) -> None:
        """Moves the proxy's folder away, or back. Files that the proxy created at its path meanwhile are deleted."""
        disk, moved_disk = self.folder(), self._work / f"{self.instance_name}.aside"
        if away:
            disk.rename(moved_disk)
        else:
            shutil.rmtree(disk, ignore_errors=True)
            moved_disk.rename(disk)

    def keep_disk(self) -> None:
        """Copies the proxy's folder, for `old_disk` to restore."""
        shutil.copytree(self.folder(), self._work / f"{self.instance_name}.old", dirs_exist_ok=True)

    def old_disk(self) -> None:
        """Restores the copy made by `keep_disk`, like a restore from an old backup. The process has to have ended."""
        shutil.rmtree(self.folder(), ignore_errors=True)
        shutil.copytree(self._work / f"{self.instance_name}.old", self.folder(), dirs_exist_ok=True)

    def _last_line(self) -> str:
        lines = (self._work / f"{self.instance_name}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def reload(self) -> None:
        """Writes a new configuration and sends SIGHUP. Does nothing unless the current process has been ready."""
        if "ready" not in self._event_times:
            return
        self.write_configuration()
        self._writer.add(Reconfiguration(self.gate.number, self._now()))
        self._signal(signal.SIGHUP)

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        if self._process is None:
            return
        self._event_times["killed"] = clock()
        self.ready = False
        self._signal(signal.SIGKILL)
        await self._wait_for_exit()

    async def terminate(self) -> None:
        """Stops the process as a planned restart does: by SIGTERM, then by SIGKILL after the grace period."""
        if self._process is None:
            return
        self._event_times["told"] = clock()
        self.ready = False
        self._signal(signal.SIGTERM)
        longest = max(use.outer for use in self._script.use_cases)
        try:
            async with asyncio.timeout((min(longest, LONGEST_GRACE) + GRACE_MARGIN) / 1e6):
                await self._wait_for_exit()
        except TimeoutError:
            await self.kill()

    async def _wait_for_exit(self) -> None:
        if self._log_reader is not None:
            await asyncio.shield(self._log_reader)

    def sample(self) -> None:
        """Records CPU time, resident memory and open descriptors of the process."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        try:
            stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        except (OSError, IndexError, ValueError):
            return
        cpu = (int(stat[11]) + int(stat[12])) * 1_000_000 // TICKS_PER_SECOND
        self._writer.add(Sample(self.gate.number, self._now(), cpu, pages * PAGE_BYTES // 1024, descriptors))
