"""A scene of proxy processes that are reconfigured by SIGHUP, with a fault-injecting proxy at each discovery address.

Discovery, the fault proxies, the backends and the clients run in the test's own process. Each backend records when a
request arrived and from which proxy, so that a test can check the drain rule.
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

from tests.scene import LONG_TIMEOUT_SETTINGS, configuration, memory_folder, own_address

HOST = "127.0.0.1"
# The rules checked on real sockets: a change at discovery counts as delivered 4 s after SIGHUP, 6 s after discovery
# could be reached, and 2 s after a successor process reported ready. A request sent later than GRACE after that,
# including slack for the sockets, violates the rule.
RECONFIGURED_TERM = 4.0
REACHED_TERM = 6.0
TAKEN_OVER_TERM = 2.0
GRACE = 0.5 + 0.05
# Time in seconds that a call waits in discovery's queue before it is refused.
QUEUE_PATIENCE = 3.0
# A replaced address accepts no new connections, and closes the open ones after this time.
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
    """A request that reached a backend: the time by the loop's clock, and the proxy that sent it."""

    at: float
    backend: str
    proxy: str


class Backend:
    """A backend that answers every request at once, draining or not."""

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
    """A discovery service, the same at every address: sends the full list, then each change."""

    def __init__(self, backends: list[Backend]) -> None:
        self.version = 1
        self._backends = {backend.name: backend for backend in backends}
        self._states = dict.fromkeys(self._backends, "ready")
        self._watches: set[asyncio.StreamWriter] = set()  # emptied as watches end

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
            pass  # asyncio's servers log a cancelled task as an error
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
    """A discovery address with fault injection.

    `refusing`: calls are answered 503 at once. `delay`: seconds between a call and its answer, as in a queue. `full`:
    the queue is longer than a call may wait, so that each call is refused after QUEUE_PATIENCE. `unanswered`,
    `cut_short`: this many of the next calls get no answer, and this many after these get a response head without any
    message. `replica`: the line that each call is answered with before its watch ends. `held`: discovery's data is held
    back until this is False again.
    """

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self.refusing = False
        self.delay = 0.0
        self.full = False
        self.unanswered = self.cut_short = 0
        self.replica: bytes | None = None
        self.held = False
        self.wrote_at = 0.0  # when it last forwarded data of discovery
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
            # The queue serves each call in turn, whether or not its caller still waits.
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
        """Resets every connection."""
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
    """A `serve` process, started as in production, and a client that sends it requests at a steady rate."""

    def __init__(self, folder: Path, number: int, group_size: int, discovery: str, known: dict[str, object]) -> None:
        self.name = f"p{number}"
        self._folder = folder
        self._listen = own_address()
        self._configuration = configuration(
            name=self.name, listen=self._listen, discovery=discovery, seed=f"{number + 1:x}", known=known,
            settings={**SETTINGS, "group-size": group_size, "ordinal": number})  # fmt: skip
        self._config = folder / f"{self.name}.json"
        self._config.write_text(json.dumps(self._configuration))
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
        """Starts a successor process, and terminates this one once the successor serves."""
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
        self._configuration["discovery"] = discovery
        self._config.write_text(json.dumps(self._configuration))
        self._process.send_signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    async def ready(self) -> None:
        while f"{self.name}: serving at" not in self.log:
            await asyncio.sleep(0.02)

    async def send_requests(self) -> None:
        """Sends requests one after another on one connection while `may_send` is set, and reconnects where an answer
        says that the connection closes.
        """
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
    """A scene of `PROXIES` processes that watch the first of `ADDRESSES` discovery addresses, four backends and steady
    requests.
    """

    PROXIES = 4
    ADDRESSES = 2

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.folder = Path(tempfile.mkdtemp(dir=memory_folder()))
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
        await asyncio.sleep(0.05)  # lets cancelled tasks end
        # A client that ended before it was cancelled has lost a request.
        self.assertTrue(all(isinstance(outcome, asyncio.CancelledError) for outcome in ended), ended)

    def now(self) -> float:
        return self.loop.time()

    async def until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.now()))

    def reconfigure_all(self, number: int) -> None:
        """Moves discovery from the previous address to this one."""
        for proxy in self.proxies:
            proxy.reconfigure(self.addresses[number].address)
        self.addresses[number - 1].retire()

    def sent_late(self, backend: str, told_at: float) -> dict[str, float]:
        """Returns how long after the grace following `told_at` each proxy still sent to that backend, in seconds."""
        late: dict[str, float] = {}
        for request in self.received:
            if request.backend == backend and request.at > told_at + GRACE:
                late[request.proxy] = round(request.at - told_at - GRACE, 2)
        return late

    def assert_drained(self, backend: str, told_at: float) -> None:
        """Asserts that no proxy sent to the backend after the grace, and that each went on sending to others."""
        late = self.sent_late(backend, told_at)
        if late:
            lines = [f"{proxy.name}:\n{proxy.log}" for proxy in self.proxies if proxy.name in late]
            self.fail(f"{backend} was sent requests after the grace, by so many seconds: {late}\n" + "\n".join(lines))
        sending = {request.proxy for request in self.received if request.at > told_at + GRACE}
        self.assertEqual({proxy.name for proxy in self.proxies}, sending)
