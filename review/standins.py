"""Stand-ins for the review's cases: discovery, backends, clients and the platform that starts a proxy.

Everything listens on 127.0.0.1 at free ports. The proxy is started with the `run` command of deploy/balancer.toml, in a
private folder for its configuration, its log and $TMPDIR.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
STARTED_AT = time.monotonic()


def now() -> float:
    """Seconds since the script started."""
    return time.monotonic() - STARTED_AT


async def within_limit(case: Coroutine[Any, Any, int]) -> int:
    """Runs a case, and ends it with its processes before 120 s are over. Raises TimeoutError."""
    async with asyncio.timeout(100.0):
        return await case


def free_port() -> int:
    """A port on 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """The lines of record.txt, each with its time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def say(self, text: str) -> None:
        line = f"{now():8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Message:
    """A request as a stand-in read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Reads a start line and headers; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks. Raises IncompleteReadError or OSError where it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Reads a whole request; None where the connection ends before its last byte."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, OSError):
        return None
    method, target, _ = head[0].split(" ", 2)
    return Message(method, target, head[1], body)


def answer_bytes(status: int, body: bytes, *headers: str) -> bytes:
    """A whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class Discovery:
    """Discovery as PROTOCOL.md has it: the whole list, and watches with an empty line every 2 s."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._wake = asyncio.Event()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, name: str, address: str, state: str = "ready", cell: int = 0, zone: str = "a") -> None:
        """Lists a backend, or changes its entry."""
        self.version += 1
        self.entries[name] = {
            "id": name,
            "addr": address,
            "zone": zone,
            "kind": "std",
            "cell": cell,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }
        self._changed[name] = self.version
        self._wake.set()
        self._wake = asyncio.Event()

    def listed(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                if "watch=1" not in target:
                    writer.write(answer_bytes(200, json.dumps(self.listed()).encode()))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                after = -1
                for part in target.partition("?")[2].split("&"):
                    if part.startswith("after="):
                        after = int(part[6:])
                while True:
                    wake = self._wake
                    if after < 0:
                        line = json.dumps(self.listed())
                    else:
                        news = [entry for name, entry in self.entries.items() if self._changed[name] > after]
                        message = {"version": self.version, "full": False, "servers": news}
                        line = json.dumps(message) if news else ""
                    after = self.version
                    writer.write(f"{len(line) + 1:x}\r\n{line}\n\r\n".encode())
                    await writer.drain()
                    try:
                        await asyncio.wait_for(wake.wait(), 2.0)
                    except TimeoutError:
                        pass
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# What a backend does with a whole request: it writes an answer, or does not.
Handler = Callable[["Backend", Message, asyncio.StreamWriter], Awaitable[None]]


async def answer_at_once(backend: Backend, request: Message, writer: asyncio.StreamWriter) -> None:
    """A sound backend."""
    writer.write(answer_bytes(200, f"{backend.name} {request.id}".encode()))


class Backend:
    """A backend as PROTOCOL.md has it. `ran` has each request whose last byte came, with its time."""

    def __init__(self, name: str, record: Record, handler: Handler = answer_at_once) -> None:
        self.name, self.handler, self._record = name, handler, record
        self.port = 0
        self.ran: list[tuple[float, Message]] = []
        self.heads: list[tuple[float, str]] = []  # each request whose head came, with its time
        self.hangs = asyncio.Event()  # set while it reads and writes nothing
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def hang(self) -> None:
        while self.hangs.is_set():
            await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                began = now()
                self.heads.append((began, head[1].get("request-id", "")))
                await self.hang()
                try:
                    body = await read_body(reader, head[1])
                except (asyncio.IncompleteReadError, OSError):
                    self._record.say(f"{self.name}: {head[1].get('request-id')} broke off before its last byte")
                    return
                method, target, _ = head[0].split(" ", 2)
                request = Message(method, target, head[1], body)
                self.ran.append((now(), request))
                self._record.say(
                    f"{self.name}: got {request.id} {target} key {head[1].get('idempotency-key', '-')}"
                    f" body {len(body)}, told {head[1].get('request-timeout', '-')}"
                )
                await self.handler(self, request, writer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def use_case(name: str, effect: str, promised: float, limit: float, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "importance": 1.0,
        "overdue-importance": 0.2,
        "promised-time": promised,
        "outer-limit": limit,
        "key-scope": "cell",
        "window": 6000.0,
        "stream": False,
        **more,
    }


def settings(*use_cases: dict[str, Any], **limits: Any) -> dict[str, Any]:
    """Settings like those of the small deployment in sites/semarang-main.toml: asked lists, three attempts."""
    return {
        "group-size": 1,
        "ordinal": 0,
        "stage": 0,
        "tiers": ["front"],
        "zone": "a",
        "zones": ["a"],
        "family": "chain",
        "family-info": {"passes-deadline": True},
        "discovery": "ask",
        "importance-by": "request",
        "weights": "nominal",
        "shapes": ["std"],
        "reporting": {"how": "silent", "names": []},
        "use-cases": list(use_cases),
        "customers": [],
        "policy-limits": {
            "cancel": True,
            "connect-timeout": 250.0,
            "keepalive": 30000.0,
            "most-transmissions": 3,
            "parallel-tries": False,
            "retry-after": True,
            "max-retry-after": 2000.0,
            "may-probe": False,
            "max-streams": 1,
            **limits,
        },
        "rules": {
            "answer-slack": 20.0,
            "ask-within": 10000.0,
            "cold-share": 0.34,
            "warm-after": 8800.0,
            "tip-multiple": 3.0,
            "overload-for": 3000.0,
            "stop-sending-within": 500.0,
        },
    }


class Proxy:
    """The platform's side of one proxy: its folder, its configuration and its processes."""

    def __init__(self, record: Record, discovery: Discovery, proxy_settings: dict[str, Any], **limits: Any) -> None:
        self._record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.configuration: dict[str, Any] = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "known": None,
            "settings": proxy_settings,
        }
        self.environment: dict[str, str] = {}
        self.arguments = ""  # what is added to `run`
        self.processes: list[asyncio.subprocess.Process] = []
        (self.folder / "tmp").mkdir()

    def write_configuration(self) -> None:
        temporary = self.folder / "config.json.new"
        temporary.write_text(json.dumps(self.configuration))
        temporary.replace(self.folder / "config.json")

    async def start(self, **environment: str) -> asyncio.subprocess.Process:
        """Starts a process with the deploy file's `run`; the seed is new with each start."""
        self.configuration["seed"] = (
            f"{0x8C1F30D27A5BE964 + 0x9E3779B97F4A7C15 * len(self.processes) & (1 << 64) - 1:016x}"
        )
        self.write_configuration()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.folder / f"log-{len(self.processes) + 1}.txt").open("w")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f"{run} {self.arguments}",
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "TMPDIR": str(self.folder / "tmp"),
                "BALANCER_NAME": self.configuration["name"],
                "BALANCER_LISTEN": self.configuration["listen"],
                "BALANCER_DISCOVERY": self.configuration["discovery"],
                "BALANCER_CONFIG": str(self.folder / "config.json"),
                **self.environment,
                **environment,
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        self._record.say(f"platform: started process {len(self.processes)}")
        return process

    async def ready(self, within: float = 10.0) -> bool:
        """Waits until /ready says yes."""
        until = now() + within
        while now() < until:
            try:
                if (await call(self.port, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0))[0] == 200:
                    return True
            except (OSError, TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.05)
        return False

    def log(self) -> str:
        return "\n".join(path.read_text() for path in sorted(self.folder.glob("log-*.txt")))

    async def stop(self) -> None:
        """Ends all processes that were started here, and removes the folder."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Reads a whole answer. Raises EOFError where the connection ends before its last byte."""
    head = await read_head(reader)
    if head is None:
        raise EOFError("closed with no answer")
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, OSError):
        raise EOFError("the answer broke off") from None
    return int(head[0].split(" ")[1]), head[1], body


async def call(port: int, request: bytes, timeout: float) -> tuple[int, dict[str, str], bytes]:
    """Sends a request on a connection of its own and returns the answer. Raises EOFError, OSError, TimeoutError."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        async with asyncio.timeout(timeout):
            return await read_answer(reader)
    finally:
        writer.close()


def request_bytes(
    id: str, name: str, timeout_ms: int, key: str = "", body: bytes = b"", length: int | None = None
) -> bytes:
    """A request as PROTOCOL.md has it: GET, or POST with a body (and a key, if there is one)."""
    post = bool(key) or bool(body) or length is not None
    lines = [
        f"{'POST' if post else 'GET'} /{name} HTTP/1.1",
        "Host: backend.local",
        f"Request-Id: {id}",
        f"Request-Class: {name}",
        f"Request-Timeout: {timeout_ms}m",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if post:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class BackendProcess:
    """A backend of review/backend.py. `lines` has what it printed: (time as of `now`, words)."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self._record = name, record
        self.lines: list[tuple[float, list[str]]] = []
        self.address = ""
        self._process: asyncio.subprocess.Process
        self._reading: asyncio.Task[None]

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv/bin/python"),
            str(ROOT / "review/backend.py"),
            self.name,
            stdout=asyncio.subprocess.PIPE,
            env={"PATH": os.environ.get("PATH", ""), "PYTHONDONTWRITEBYTECODE": "1"},
        )
        assert self._process.stdout is not None
        self.address = f"127.0.0.1:{int(await self._process.stdout.readline())}"
        self._reading = asyncio.get_running_loop().create_task(self._read(self._process.stdout))

    async def _read(self, output: asyncio.StreamReader) -> None:
        while line := (await output.readline()).decode().split():
            at = float(line[0]) - STARTED_AT
            self.lines.append((at, line[2:]))
            self._record.say(f"at {at:.3f} {' '.join(line[1:])}")

    def times_of(self, what: str, request_id: str) -> list[float]:
        return [at for at, words in self.lines if words[:2] == [what, request_id]]

    def stand_still(self, on: bool) -> None:
        """Makes it hang, or go on."""
        self._process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)
        self._record.say(f"{self.name}: {'hangs' if on else 'goes on'}")

    async def stop(self) -> None:
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()
