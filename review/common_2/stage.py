"""What the cases of this review share: stand-ins for discovery, backends and clients, proxies started as processes with
the commands of the deploy file, and the record of what happened.

Every address is a loopback address with a port that was free. Discovery and backends follow PROTOCOL.md; what a case
wants of them beyond that (a late answer, a reset, silence) is set on the object.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# A case that is not over by then could not run.
CASE_LIMIT_S = 110.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Reads one HTTP message that has a length or none; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Stage:
    """One play of a case: everything that was started, and the record."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.servers: list[asyncio.Server] = []
        self.servers_by_port: dict[int, asyncio.Server] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.proxies: list[Proxy] = []
        self._record = folder / "record.txt"
        self.deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        self.lines.append(line)
        print(line, flush=True)

    async def listen(
        self, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], port: int = 0
    ) -> int:
        async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            try:
                await serve(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(guarded, HOST, port, limit=1 << 20)
        self.servers.append(server)
        found: int = server.sockets[0].getsockname()[1]
        self.servers_by_port[found] = server
        return found

    async def close(self) -> None:
        """Ends every process that the case started, and everything that listens."""
        for proxy in self.proxies:
            await proxy.kill()
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for proxy in self.proxies:
            self.lines.append(f"---- log of {proxy.label}")
            self.lines += proxy.log_lines()
        self._record.write_text("\n".join(self.lines).replace(str(self.tmp), "TMP").replace(str(ROOT), ".") + "\n")
        shutil.rmtree(self.tmp, ignore_errors=True)


class Discovery:
    """The discovery service: the whole list, and watches that tell each change."""

    def __init__(self, stage: Stage) -> None:
        self._stage = stage
        self.version = 41
        self.servers: dict[str, dict[str, Any]] = {}
        self.port = 0
        self._watches: list[asyncio.Queue[bytes]] = []

    async def start(self) -> None:
        self.port = await self._stage.listen(self._serve)

    def add(self, backend: Backend, **more: Any) -> None:
        """Lists a backend before the proxies start."""
        self.servers[backend.id] = {
            "id": backend.id,
            "addr": f"{HOST}:{backend.port}",
            "zone": "ruang-kantor-pusat",
            "kind": "loket-baru",
            "cell": backend.cell,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
            **more,
        }

    def change(self, id: str, **more: Any) -> None:
        """Changes an entry and tells it on all watches."""
        self.version += 1
        entry = self.servers[id] = {**self.servers[id], **more}
        if entry["state"] == "gone":
            del self.servers[id]
        self._stage.note(f"discovery tells version {self.version}: {id} {more}")
        line = json.dumps({"version": self.version, "full": False, "servers": [entry]}).encode() + b"\n"
        for queue in self._watches:
            queue.put_nowait(line)

    def whole(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            target = message[0].split(" ")[1]
            whole = json.dumps(self.whole()).encode() + b"\n"
            if "watch=1" not in target:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole))
                await writer.drain()
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            queue: asyncio.Queue[bytes] = asyncio.Queue()
            self._watches.append(queue)
            line = whole
            try:
                while True:
                    writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                    await writer.drain()
                    try:
                        line = await asyncio.wait_for(queue.get(), 2.0)
                    except TimeoutError:
                        line = b"\n"
            finally:
                self._watches.remove(queue)


class Run:
    """One time that a backend began a request."""

    def __init__(self, backend: Backend, request_id: str, key: str, target: str) -> None:
        self.backend = backend
        self.request_id = request_id
        self.key = key
        self.target = target
        self.at = time.monotonic()


class Backend:
    """A backend. It answers 200 with a body that names the request after `work` seconds, unless `act` decides.

    `act` is called with each request and its writer, and returns True if it has dealt with it. The backends of one cell
    drop a repeat of a key for `window` seconds: they answer it and do not run it again.
    """

    def __init__(self, stage: Stage, id: str, cell: int = 0, work: float = 0.03, window: float = 0.0) -> None:
        self.stage = stage
        self.id = id
        self.cell = cell
        self.work = work
        self.window = window
        self.port = 0
        self.arrived: list[Run] = []
        self.runs: list[Run] = []
        self.act: Callable[[Run, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.remembered: dict[str, float] = {}  # shared by the backends of a cell
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.port = await self.stage.listen(self._serve, port)

    async def stop(self) -> None:
        """Ends the backend as a process that dies does: connections are reset, and new ones are refused."""
        server = self.stage.servers_by_port.pop(self.port)
        server.close()
        for writer in list(self._writers):
            reset(writer)
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            line, headers, body = message
            method, target, _ = line.split(" ", 2)
            request_id, key = headers.get("request-id", ""), headers.get("idempotency-key", "")
            if not request_id:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            run = Run(self, request_id, key, target)
            self.arrived.append(run)
            now = time.monotonic()
            repeat = bool(key) and now - self.remembered.get(key, -1e9) < self.window
            if not repeat:
                self.runs.append(run)
                if key:
                    self.remembered[key] = now
            self.stage.note(
                f"{self.id} (cell {self.cell}) {'drops' if repeat else 'runs'} {method} {target} "
                f"id {request_id} key {key or '-'}"
            )
            if self.act is not None and await self.act(run, writer):
                return
            if self.work:
                await asyncio.sleep(self.work)
            await self.answer(run, writer)

    async def answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        body = f"{run.backend.id} {run.request_id}".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()


class Proxy:
    """One proxy process, started with the command of the deploy file."""

    def __init__(
        self, stage: Stage, label: str, config: dict[str, Any], own: str | None = None, console: int = 0, tmp: str = "p"
    ) -> None:
        self.stage = stage
        self.label = label
        self.port = int(config["listen"].rpartition(":")[2])
        self.console = console
        self.config_path = stage.tmp / f"{config['name']}.json"
        # DEPLOY.md: the seed is new with each start.
        seed = f"{(len(stage.proxies) + 1) * 0x9E3779B97F4A7C15 % (1 << 64):016x}"
        self.config_path.write_text(json.dumps({**config, "seed": seed}))
        self.own_path = stage.tmp / f"{config['name']}.toml"
        self.has_own = own is not None
        if own is not None:
            self.own_path.write_text(own)
        self.folder = stage.tmp / tmp
        self.folder.mkdir(exist_ok=True)
        self.process: asyncio.subprocess.Process | None = None
        self._log = stage.tmp / f"{label}.log"
        stage.proxies.append(self)

    def log_lines(self) -> list[str]:
        return self._log.read_text(errors="replace").splitlines()[-60:] if self._log.exists() else []

    async def start(self) -> None:
        run = self.stage.deploy["run"]
        if self.has_own:
            run += f" --own {self.own_path}"
        environment = {
            **os.environ,
            "TMPDIR": str(self.folder),
            "BALANCER_CONFIG": str(self.config_path),
        }
        for name in ("BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONSOLE", "PEPPERUSHER_OWN"):
            environment.pop(name, None)
        if self.console:
            environment["BALANCER_CONSOLE"] = f"{HOST}:{self.console}"
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.stage.note(f"{self.label} started")

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.stage.note(f"{self.label} gets {number.name}")
            self.process.send_signal(number)

    async def ended(self, within: float) -> bool:
        """Whether the process ends within that time."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), within)
        except TimeoutError:
            return False
        self.stage.note(f"{self.label} has ended with {self.process.returncode}")
        return True

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def ready(self, within: float = 30.0) -> None:
        """Waits for the yes at /ready, on the clients' address."""
        await self._yes(self.port, "/ready", within)

    async def console_ready(self, within: float = 6.0) -> None:
        await self._yes(self.console, "/-/ready", within)

    async def _yes(self, port: int, target: str, within: float) -> None:
        deadline = time.monotonic() + within
        while time.monotonic() < deadline:
            if not self.alive:
                raise CannotRun(f"{self.label} ended before it was ready")
            answer = await call(port, f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode(), 1.0)
            if answer.status == 200:
                self.stage.note(f"{self.label} says yes at {target}")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.label} was not ready within {within} s")


async def ask(stage: Stage, port: int, request_id: str, request: bytes, within: float) -> Answer:
    """A client's request, with what was sent and answered in the record."""
    line = request.split(b"\r\n")[0].decode()
    stage.note(f"client sends {request_id}: {line}")
    answer = await call(port, request, within)
    stage.note(f"client is answered {request_id}: {answer}")
    return answer


class Answer:
    """What a client was answered. `status` is 0 without a whole answer; `why` says then what happened."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, why: str = "") -> None:
        self.status, self.headers, self.body, self.why = status, headers, body, why

    def __str__(self) -> str:
        return f"{self.status} {self.body.decode('latin-1').strip()[:60]!r}" if self.status else self.why


async def call(port: int, request: bytes, within: float) -> Answer:
    """One request on a connection of its own."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError as error:
        return Answer(0, {}, b"", f"refused: {type(error).__name__}")
    try:
        writer.write(request)
        message = await asyncio.wait_for(read_message(reader), within)
        if message is None:
            return Answer(0, {}, b"", "the connection ended with no whole answer")
        return Answer(int(message[0].split(" ")[1]), message[1], message[2])
    except TimeoutError:
        return Answer(0, {}, b"", "no answer in time")
    except OSError as error:
        return Answer(0, {}, b"", f"the connection broke: {type(error).__name__}")
    finally:
        writer.transport.abort()


def request_bytes(
    method: str, use_case: str, request_id: str, timeout_ms: int, key: str = "", body: bytes = b"", more: str = ""
) -> bytes:
    """A client's request in the form of PROTOCOL.md."""
    head = f"{method} /{use_case}/x HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {request_id}\r\n"
    head += f"Request-Class: {use_case}\r\nTenant: kopi-temanggung\r\nRequest-Timeout: {timeout_ms}m\r\n{more}"
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def use_case(name: str, effect: str, promised: float, outer: float, importance: float, window: float) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "key-scope": "cell",
        "window": window,
        "importance": importance,
        "promised-time": promised,
        "outer-limit": outer,
        "overdue-importance": 0.25,
        "stream": False,
    }


def settings(use_cases: list[dict[str, Any]] | None = None, **more: Any) -> dict[str, Any]:
    """Settings like those of a small deployment: the figures are those that the brief gives for semarang-main."""
    return {
        "group-size": 1,
        "ordinal": 0,
        "stage": 0,
        "tiers": ["loket"],
        "zone": "ruang-kantor-pusat",
        "zones": ["ruang-kantor-pusat"],
        "discovery": "ask",
        "family": "chain",
        "family-info": {"passes-deadline": True},
        "use-cases": use_cases
        or [
            use_case("cek-status", "pure", 750.0, 2000.0, 3.0, 5000.0),
            use_case("ajukan-faktur", "token", 1500.0, 4000.0, 2.0, 6000.0),
            use_case("cairkan-dana", "token", 2500.0, 6000.0, 5.0, 10000.0),
        ],
        "customers": [{"name": "kopi-temanggung", "quota-rps": 50.0}],
        "policy-limits": {
            "cancel": True,
            "connect-timeout": 250.0,
            "keepalive": 15000.0,
            "most-transmissions": 3,
            "parallel-tries": False,
            "may-probe": False,
            "retry-after": True,
            "max-retry-after": 1000.0,
        },
        "rules": {
            "answer-slack": 20.0,
            "ask-within": 10000.0,
            "cold-share": 0.34,
            "overload-for": 3000.0,
            "stop-sending-within": 500.0,
            "tip-multiple": 3.0,
            "warm-after": 8800.0,
        },
        **more,
    }


def configuration(discovery: Discovery, port: int, settings: dict[str, Any], name: str = "p1") -> dict[str, Any]:
    return {
        "name": name,
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": discovery.whole(),
        "settings": settings,
    }


def play(file: str, case: Callable[[Stage], Awaitable[int]]) -> None:
    """Plays a case and exits with its verdict."""

    async def run() -> int:
        stage = Stage(Path(file).resolve().parent)
        stage.note(f"TROUBLE={1 if stage.trouble else 0}")
        try:
            try:
                verdict = await asyncio.wait_for(case(stage), CASE_LIMIT_S)
            except Exception as error:  # whatever it was, it says nothing about the rule
                stage.note(f"could not run: {type(error).__name__}: {error}")
                verdict = COULD_NOT_RUN
            stage.note({HELD: "HELD", BROKEN: "BROKEN", COULD_NOT_RUN: "COULD NOT RUN"}[verdict])
        finally:
            await stage.close()
        return verdict

    try:
        verdict = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        verdict = COULD_NOT_RUN
    sys.exit(verdict)
