"""The real `serve`, a process for each proxy: started, told of backends, signalled, watched and sampled."""

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
LOOK_EVERY = 0.02
SAMPLE_EVERY = 0.5
# A starved process has its processor and has it not, together for so long.
STARVED_TURN = 0.1
TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
# SIGKILL follows SIGTERM by the longest wait of any client, or this if that is shorter, and a moment more.
LONGEST_GRACE = 3_000_000
MOMENT = 700_000
BREAKER = re.compile(r"^[0-9.]+ [^:]+: (\S+) (open|closed): ")
EFFECT = {"replayable": "pure", "referenced": "token", "single-use": "side_effect"}


def settings(script: Script, gate: Gate) -> dict[str, Any]:
    """What a proxy of this place is told, as the platform's settings object (times in ms)."""
    rules = script.rules
    kinds = [kind for kind in script.tiers[gate.tier].kinds]
    cold = min((kind.cold_from for kind in kinds), default=1.0)
    offered = _rate(script)
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
                "effect": EFFECT[use.repeat],
                "key-scope": use.scope,
                "window": use.remembered / 1000,
                "importance": use.importance,
                "overdue-importance": use.late_share,
                "promised-time": use.promised / 1000,
                "outer-limit": use.outer / 1000,
            }
            for use in script.use_cases
        ],
        "customers": [{"name": one.name, "quota-rps": one.quota or one.share * offered} for one in script.customers],
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
            "cold-share": cold,
            "warm-after": max(kind.warm_for for kind in kinds) / 1000,
            "tip-multiple": rules.tip_multiple,
            "overload-for": rules.tip_for / 1000,
            "stop-sending-within": rules.drain_grace / 1000,
        },
        "family-info": {"passes-deadline": rules.passes_limit},
        "importance-by": "work",
    }


def _rate(script: Script) -> float:
    """A customer's share of 1 in tickets a second, where the script gives no quota: the highest rate of the
    load."""
    rates = [phase.rate for phase in script.load.phases] + script.load.day
    return max(rates, default=100.0) / max(1e-9, sum(one.share for one in script.customers))


def python_of(build: Path | None) -> str:
    own = build / ".venv" / "bin" / "python" if build else None
    return str(own) if own is not None and own.exists() else sys.executable


class Runner:
    """One proxy's place and the processes that stand there in turn."""

    def __init__(
        self,
        script: Script,
        gate: Gate,
        work: Path,
        build: Path | None,
        writer: Writer,
        start: Start,
        known: Callable[[Gate], dict[str, object]],
        found: Callable[[Gate, int], tuple[str, int]],
        grouping: GroupRun | None = None,
        twin: bool = False,
    ) -> None:
        self.gate = gate
        self._grouping = grouping
        self.seat = grouping.seat(gate, twin) if grouping is not None else gate.name
        self.believed: list[MembershipBelief] = []  # what it said that it finds, the oldest first
        self._script = script
        self._work = work
        self._build = build
        self._writer = writer
        self._start = start
        self._known = known
        self._found = found
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._times: dict[str, int] = {}  # on the clock: the rehearsal's start may be still to come
        self._stays = 0
        self.ready = False

    def _now(self) -> int:
        return clock() - self._start.at

    def write_configuration(self) -> Path:
        """The file as `serve` reads it; with a new discovery it is written anew before a SIGHUP."""
        gate, path = self.gate, self._work / f"{self.seat}.json"
        host, port = self._found(gate, self._now())
        told = {
            "name": gate.name,
            "listen": f"{gate.address[0]}:{gate.address[1]}",
            "discovery": f"{host}:{port}",
            "seed": f"{(self._script.seed * 7919 + gate.number * 31 + self._stays) & 0xFFFFFFFFFFFF:x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self._script.proxies.memory_mb,
                "sockets": self._script.proxies.sockets,
            },
            "known": self._known(gate),
            "settings": settings(self._script, gate),
        }
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(told))
        fresh.replace(path)
        return path

    async def run(self) -> None:
        """Starts a process; returns once it is ready, or raises RuntimeError. So it does where one stands already."""
        if self._process is not None:
            raise RuntimeError(f"{self.gate.name} was to be started while a process stands there")
        path = self.write_configuration()
        self._stays += 1
        flags = ["-O"] if self._script.proxies.optimised else []
        own = self._script.proxies.own
        more = []
        if own and self.gate.tier == 0:
            text = (Path(self._script.folder) / own).read_text()
            mine = self._work / f"{self.seat}.toml"
            mine.write_text(text.replace("HERE", str(self.folder())))
            more = ["--own", str(mine)]
        seen = environment(self._build)
        if self._grouping is not None:
            more = ["--own", str(self._grouping.write_own(self.gate, self.seat, self.folder()))]
        if self._script.proxies.console or self._grouping is not None:
            more += ["--console", f"{self.gate.address[0]}:{CONSOLE_PORT}"]
            seen["TMPDIR"] = str(self.folder())
        self._times = {"started": clock()}
        self._process = process = await asyncio.create_subprocess_exec(
            python_of(self._build),
            *flags,
            "-m",
            "pepperusher",
            "serve",
            "--config",
            str(path),
            *more,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=seen,
            cwd=self._work,
            start_new_session=True,
            preexec_fn=with_parent,
        )
        self._reading = asyncio.get_running_loop().create_task(self._read(process))
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not await self._is_ready():
                    if process.returncode is not None:
                        await self._gone()
                        raise RuntimeError(f"{self.gate.name} ended at its start: {self._last_line()}")
                    await asyncio.sleep(LOOK_EVERY)
        except TimeoutError:
            raise RuntimeError(f"{self.gate.name} was not ready in {READY_WITHIN:g} s") from None
        self._times["ready"] = clock()
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
        """Its log goes to a file; what it says of breakers goes to the records."""
        assert process.stderr is not None
        with open(self._work / f"{self.seat}.log", "ab") as log:
            async for line in process.stderr:
                log.write(line)
                log.flush()
                self._heard(line)
        status = await process.wait()
        times, self._times = self._times, {}
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

    def _heard(self, line: bytes) -> None:
        turn = BREAKER.match(line.decode("utf-8", "replace"))
        if turn:
            self._writer.add(BreakerChange(self.gate.number, self._now(), turn[1], turn[2]))
            return
        if self._grouping is None or not (told := parsed(line)):
            return
        if told.get("event") == "breaker":
            self._writer.add(BreakerChange(self.gate.number, self._now(), str(told.get("id")), str(told.get("state"))))
        elif (found := self._grouping.heard(self.gate, self.seat, told, self._start.at)) is not None:
            self.believed.append(found)
            self._writer.add(found)

    # --- for plays by hand ----------------------------------------------------------------------------

    @property
    def pid(self) -> int | None:
        return self._process.pid if self._process is not None and self._process.returncode is None else None

    async def ask(self, do: str, **said: Any) -> dict[str, Any]:
        """Over its control socket. Raises client.Refused."""
        assert self._grouping is not None
        return await asyncio.to_thread(client.ask, str(self._grouping.control(self.seat)), do, **said)

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """At its console: status and body; 0 where nobody answers."""
        try:
            reader, writer = await asyncio.open_connection(self.gate.address[0], CONSOLE_PORT)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
            said = (await reader.read()).decode()
            writer.close()
        except OSError:
            return 0, ""
        head, _, body = said.partition("\r\n\r\n")
        return int(head.split()[1]) if " " in head else 0, body.strip()

    # --- kept from running ----------------------------------------------------------------------------

    async def stopped(self, until: Callable[[], Awaitable[None]]) -> None:
        """Stands still (SIGSTOP) until `until` is over, and goes on."""
        at = self._now()
        self._signal(signal.SIGSTOP)
        try:
            await until()
        finally:
            self._signal(signal.SIGCONT)
            self._writer.add(ProxyPause(self.gate.number, at, self._now()))

    async def starved(self, part: float, until: int) -> None:
        """Has its processor for a part of the time, in short turns."""
        while self._now() < until:
            await asyncio.sleep(part * STARVED_TURN)
            await self.stopped(lambda: asyncio.sleep((1 - part) * STARVED_TURN))

    # --- its disk --------------------------------------------------------------------------------------

    def folder(self) -> Path:
        """What lasts of its seat, for one process in place of another and for a store."""
        lasting = self._work / f"{self.seat}.disk"
        lasting.mkdir(exist_ok=True)
        return lasting

    def full_disk(self, on: bool) -> None:
        """No file of its process may grow: writes fail as on a full disk, with another number (EFBIG). Its log is a pipe."""
        if self.pid is not None:
            most = 0 if on else resource.RLIM_INFINITY
            resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (most, resource.RLIM_INFINITY))

    def take_disk(self, away: bool) -> None:
        """Its folder is away, or back as it was; whatever was made in its place meanwhile goes."""
        here, aside = self.folder(), self._work / f"{self.seat}.aside"
        if away:
            here.rename(aside)
        else:
            shutil.rmtree(here, ignore_errors=True)
            aside.rename(here)

    def keep_disk(self) -> None:
        """As it is now, for `old_disk`."""
        shutil.copytree(self.folder(), self._work / f"{self.seat}.old", dirs_exist_ok=True)

    def old_disk(self) -> None:
        """Put back as it was kept: for a process that has ended, as from a backup of an hour before."""
        shutil.rmtree(self.folder(), ignore_errors=True)
        shutil.copytree(self._work / f"{self.seat}.old", self.folder(), dirs_exist_ok=True)

    def _last_line(self) -> str:
        lines = (self._work / f"{self.seat}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def hang_up(self) -> None:
        """A new configuration; nothing where no process has been ready, also where it was told to stop since."""
        if "ready" not in self._times:
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
        self._times["killed"] = clock()
        self.ready = False
        self._signal(signal.SIGKILL)
        await self._gone()

    async def terminate(self) -> None:
        """As a planned restart does: SIGTERM, and SIGKILL when the platform would."""
        if self._process is None:
            return
        self._times["told"] = clock()
        self.ready = False
        self._signal(signal.SIGTERM)
        longest = max(use.outer for use in self._script.use_cases)
        try:
            async with asyncio.timeout((min(longest, LONGEST_GRACE) + MOMENT) / 1e6):
                await self._gone()
        except TimeoutError:
            await self.kill()

    async def _gone(self) -> None:
        if self._reading is not None:
            await asyncio.shield(self._reading)

    def sample(self) -> None:
        process = self._process
        if process is None or process.returncode is not None:
            return
        try:
            stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        except (OSError, IndexError, ValueError):
            return
        cpu = (int(stat[11]) + int(stat[12])) * 1_000_000 // TICK
        self._writer.add(Sample(self.gate.number, self._now(), cpu, pages * PAGE // 1024, descriptors))
