"""Whole proxies as processes, told new configurations by SIGHUP, with a fault proxy at each address of discovery.

Discovery, the fault proxies, the backends and the clients stand in the test's own process. Each backend keeps when a
request reached it and from which proxy, so that a test can hold the drain rule against what was sent.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

from tests.scene import LONG_TIMEOUT_SETTINGS, configuration, own_address

HOST = "127.0.0.1"
# The rules on sockets: what discovery has counts as told so long after SIGHUP, 6 s after it could be reached
# whatever happens, and 2 s after a process that takes another's place has said that it is ready; a send is a break so long after that, with the sockets' slack.
RECONFIGURED_TERM = 4.0
REACHED_TERM = 6.0
TAKEN_OVER_TERM = 2.0
GRACE = 0.5 + 0.05
# So long a call waits in discovery's queue before it is refused.
QUEUE_PATIENCE = 3.0
# An address that was replaced takes no new connection, and ends those open after so long.
RETIRED_AFTER = 1.5
EMPTY_LINE_EVERY = 2.0
REQUEST_EVERY = 0.025
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
SETTINGS = {
    **LONG_TIMEOUT_SETTINGS,
    "discovery": "ask",
    "rules": {**LONG_TIMEOUT_SETTINGS["rules"], "stop-sending-within": 500.0},
}


@dataclass(frozen=True)
class Received:
    """A request as it reached a backend: when, by the loop's clock, and which proxy sent it."""

    at: float
    backend: str
    proxy: str


class Backend:
    """Answers every request at once, draining or not."""

    def __init__(self, name: str, received: list[Received]) -> None:
        self.name = name
        self._received = received

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port: int = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                proxy = head.decode().lower().partition("request-id: ")[2].partition("-")[0]
                self._received.append(Received(loop.time(), self.name, proxy))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def stop(self) -> None:
        self._server.close()


class Discovery:
    """One service, whatever address it is asked at: the list as it is now, then each change."""

    def __init__(self, backends: list[Backend]) -> None:
        self.version = 1
        self._backends = {backend.name: backend for backend in backends}
        self._states = dict.fromkeys(self._backends, "ready")
        self._watches: set[asyncio.StreamWriter] = set()  # emptied as they end

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port: int = self._server.sockets[0].getsockname()[1]

    def line(self, full: bool, *names: str) -> bytes:
        servers = [
            {"id": name, "addr": f"{HOST}:{backend.port}", "zone": "here", "cell": 1, "state": self._states[name],
             "weight": 1.0, "started_ms": 0}
            for name, backend in self._backends.items() if full or name in names
        ]  # fmt: skip
        return json.dumps({"version": self.version, "full": full, "servers": servers}).encode() + b"\n"

    def change(self, name: str, state: str) -> None:
        self.version += 1
        self._states[name] = state
        for writer in self._watches:
            self._write(writer, self.line(False, name))

    @staticmethod
    def _write(writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        beats = asyncio.create_task(self._beat(writer))
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(writer, self.line(True))
            self._watches.add(writer)
            await reader.read()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # as below
        finally:
            beats.cancel()
            self._watches.discard(writer)
            writer.close()

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(EMPTY_LINE_EVERY)
            self._write(writer, b"\n")

    def stop(self) -> None:
        self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


class FaultProxy:
    """An address of discovery. `refusing`: calls are answered 503 at once. `delay`: so many seconds pass between a call
    and its answer, as in a queue. `full`: its queue is longer than a call may wait, so that each is refused after
    QUEUE_PATIENCE. `unanswered`, `cut_short`: so many of the next calls get no answer at all, and so many after these the
    head of one that ends without a word. `replica`: the line that each call is answered with before its watch ends. `held`: what discovery
    says stops here until it is False again."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self.refusing = False
        self.delay = 0.0
        self.full = False
        self.unanswered = self.cut_short = 0
        self.replica: bytes | None = None
        self.held = False
        self.wrote_at = 0.0  # when it last passed on what discovery said
        self.calls: list[float] = []
        self._open: set[asyncio.StreamWriter] = set()  # emptied as connections end

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        onward: asyncio.StreamWriter | None = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls.append(asyncio.get_running_loop().time())
            if self.refusing:
                writer.write(REFUSAL)
                return
            if self.unanswered:
                self.unanswered -= 1
                await reader.read()
                return
            if self.cut_short:
                self.cut_short -= 1
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                return
            if self.replica is not None:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%s\r\n" % (len(self.replica), self.replica))
                return
            if await self._refused_by_queue():
                writer.write(REFUSAL)
                return
            # Worked through in its turn, whether or not its caller still waits.
            await asyncio.sleep(self.delay)
            answer, onward = await asyncio.open_connection(HOST, self._discovery.port)
            onward.write(head)
            while data := await answer.read(65536):
                while self.held:
                    await asyncio.sleep(0.01)
                writer.write(data)
                self.wrote_at = asyncio.get_running_loop().time()
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # asyncio's servers log a cancelled task as an error
        finally:
            self._open.discard(writer)
            writer.close()
            if onward is not None:
                onward.close()

    async def _refused_by_queue(self) -> bool:
        waits_until = asyncio.get_running_loop().time() + QUEUE_PATIENCE
        while self.full:
            if asyncio.get_running_loop().time() >= waits_until:
                return True
            await asyncio.sleep(0.01)
        return False

    def cut(self) -> None:
        """Every connection is reset."""
        for writer in list(self._open):
            writer.transport.abort()

    def retire(self) -> None:
        self._server.close()
        asyncio.get_running_loop().call_later(RETIRED_AFTER, self.cut)

    def stop(self) -> None:
        self.held = False
        self._server.close()
        self.cut()


class ProxyProcess:
    """`serve`, started as in service, and a client that asks it at a steady rate."""

    def __init__(self, folder: Path, number: int, of: int, discovery: str, known: dict[str, object]) -> None:
        self.name = f"p{number}"
        self._folder = folder
        self._listen = own_address()
        self._made = configuration(
            name=self.name, listen=self._listen, discovery=discovery, seed=f"{number + 1:x}", known=known,
            settings={**SETTINGS, "group-size": of, "ordinal": number})  # fmt: skip
        self._config = folder / f"{self.name}.json"
        self._config.write_text(json.dumps(self._made))
        self._sent = 0
        self.may_send = asyncio.Event()
        self.may_send.set()
        self.answers: list[bytes] = []  # status lines
        self._replaced: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self._process = await self._launch()

    async def _launch(self) -> asyncio.subprocess.Process:
        with open(self._folder / f"{self.name}.log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-O", "-m", "pepperusher", "serve", "--config", str(self._config),
                "--console", own_address(), env={**os.environ, "TMPDIR": str(self._folder)},
                stdout=log, stderr=log)  # fmt: skip

    async def replace(self) -> None:
        """Another process takes the place of this one, which is told to end once the other serves."""
        self._replaced = self._process
        serving = self.log.count(f"{self.name}: serving at")
        self._process = await self._launch()
        while self.log.count(f"{self.name}: serving at") == serving:
            await asyncio.sleep(0.02)
        self._replaced.terminate()

    @property
    def log(self) -> str:
        return (self._folder / f"{self.name}.log").read_text()

    def reconfigure(self, discovery: str) -> None:
        self._made["discovery"] = discovery
        self._config.write_text(json.dumps(self._made))
        self._process.send_signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    async def ready(self) -> None:
        while f"{self.name}: serving at" not in self.log:
            await asyncio.sleep(0.02)

    async def send_requests(self) -> None:
        """One after another on one connection, while `may_send` is set; on a new one where an answer says that it ends."""
        host, _, port = self._listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while True:
            await self.may_send.wait()
            self._sent += 1
            writer.write(
                f"GET /look/page HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {self.name}-{self._sent}\r\n"
                f"Request-Timeout: 2000m\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
            await reader.readexactly(length)
            self.answers.append(head.partition(b"\r\n")[0])
            if b"connection: close" in head.lower():
                writer.close()
                reader, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(REQUEST_EVERY)

    async def end(self) -> None:
        for process in filter(None, (self._process, self._replaced)):
            if process.returncode is None:
                process.kill()
            await process.wait()


class ReconfigurationScene(unittest.IsolatedAsyncioTestCase):
    """`PROXIES` processes that watch the first of `ADDRESSES` addresses, four backends, steady requests."""

    PROXIES = 4
    ADDRESSES = 2

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.received: list[Received] = []
        self.backends = [Backend(f"b{number}", self.received) for number in range(4)]
        await asyncio.gather(*(backend.start() for backend in self.backends))
        self.discovery = Discovery(self.backends)
        await self.discovery.start()
        self.addresses = [FaultProxy(self.discovery) for _ in range(self.ADDRESSES)]
        await asyncio.gather(*(address.start() for address in self.addresses))
        known = json.loads(self.discovery.line(True))
        self.proxies = [
            ProxyProcess(self.folder, number, self.PROXIES, self.addresses[0].address, known)
            for number in range(self.PROXIES)
        ]
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        async with asyncio.timeout(20):
            await asyncio.gather(*(proxy.ready() for proxy in self.proxies))
            while len(self.addresses[0].calls) < self.PROXIES:
                await asyncio.sleep(0.02)
        self.clients = [asyncio.create_task(proxy.send_requests()) for proxy in self.proxies]
        await asyncio.sleep(0.3)

    async def asyncTearDown(self) -> None:
        for client in self.clients:
            client.cancel()
        ended = await asyncio.gather(*self.clients, return_exceptions=True)
        await asyncio.gather(*(proxy.end() for proxy in self.proxies))
        for address in self.addresses:
            address.stop()
        self.discovery.stop()
        for backend in self.backends:
            backend.stop()
        await asyncio.sleep(0.05)  # what was cancelled ends
        # A client that ended by itself lost a request.
        self.assertTrue(all(isinstance(one, asyncio.CancelledError) for one in ended), ended)

    def now(self) -> float:
        return self.loop.time()

    async def until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.now()))

    def reconfigure_all(self, number: int) -> None:
        """Discovery moves from the address before to this one."""
        for proxy in self.proxies:
            proxy.reconfigure(self.addresses[number].address)
        self.addresses[number - 1].retire()

    def sent_late(self, backend: str, told_at: float) -> dict[str, float]:
        """How long after the grace that follows `told_at` each proxy still sent to that backend, in seconds."""
        late: dict[str, float] = {}
        for one in self.received:
            if one.backend == backend and one.at > told_at + GRACE:
                late[one.proxy] = round(one.at - told_at - GRACE, 2)
        return late

    def assert_drained(self, backend: str, told_at: float) -> None:
        """Nobody sent to it after the grace, and each was sending to others all the while."""
        late = self.sent_late(backend, told_at)
        if late:
            lines = [f"{proxy.name}:\n{proxy.log}" for proxy in self.proxies if proxy.name in late]
            self.fail(f"{backend} was sent requests after the grace, by so many seconds: {late}\n" + "\n".join(lines))
        sending = {one.proxy for one in self.received if one.at > told_at + GRACE}
        self.assertEqual({proxy.name for proxy in self.proxies}, sending)
