"""Discovery that works through calls in turn: slow, full, down, silent, out of reach, and back, as it is
told.

One listener for all that ask, as a crowd finds it. It also works through calls that were given up meanwhile:
whether one was is only seen when its answer is written."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque
from urllib.parse import parse_qs

EMPTY_EVERY = 2.0
REFUSED = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
BEGUN = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WELL, REFUSING, SILENT, KEEPING = "well", "refusing", "silent", "keeping"


class QueuedDiscovery:
    """`each` seconds for a call, and 503 for those beyond `queue` that wait, as for those that have waited
    `patience` seconds: at once, while the work for them is still done in its turn."""

    def __init__(self, backends: int, each: float, queue: int, patience: float | None = None) -> None:
        self.each, self.queue, self.patience = each, queue, patience
        self.manner = WELL
        self.version = 1
        self.calls: list[float] = []  # when each call came, by the loop's clock; one measurement long
        self.refused = self.in_vain = 0  # answered 503; worked through for nobody
        self._changed = {number: 1 for number in range(backends)}
        self._draining: set[int] = set()
        self._waiting: deque[tuple[asyncio.StreamWriter, int | None]] = deque()
        self._waits: dict[asyncio.StreamWriter, asyncio.Timeout] = {}  # emptied as connections end
        self._come = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()  # emptied as connections end
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._deaf: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.address = ("127.0.0.1", 0)

    async def open(self) -> None:
        await self.back()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._work()), loop.create_task(self._keep())]

    async def back(self) -> None:
        """Reached, and well, from here on."""
        for one in self._deaf:
            one.close()
        self._deaf.clear()
        self.manner = WELL
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, *self.address, backlog=1024, reuse_address=True)
            self.address = self._server.sockets[0].getsockname()

    def down(self) -> None:
        """Its process is gone: what is open is reset, and new connections are refused."""
        assert self._server is not None
        self._server.close()
        self._server = None
        self.end_watches(list(self._open))
        self._waiting.clear()

    def unreachable(self) -> None:
        """New connections never come up: a full backlog that nobody empties."""
        self.down()
        deaf = socket.socket()
        deaf.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        deaf.bind(self.address)
        deaf.listen(0)
        self._deaf.append(deaf)
        for _ in range(2):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(self.address)
            self._deaf.append(one)

    def end_watches(self, those: list[asyncio.StreamWriter] | None = None) -> None:
        for writer in list(self._watches) if those is None else those:
            writer.transport.abort()
            self._watches.discard(writer)

    def hush(self) -> None:
        """Open watches say nothing from here on, and stay open."""
        self._watches.clear()

    def change(self) -> None:
        """One backend more drains, or one fewer."""
        self.version += 1
        number = self.version % len(self._changed)
        self._changed[number] = self.version
        self._draining ^= {number}
        for writer in self._watches:
            self._say(writer, self._line(self.version - 1))

    def close(self) -> None:
        if self._server is not None:
            self.down()
        for task in self._tasks:
            task.cancel()
        for one in self._deaf:
            one.close()

    def _line(self, after: int | None) -> bytes:
        told = [
            {
                "id": f"b{number}",
                "addr": f"127.0.0.1:{2 + number}",
                "zone": "here",
                "cell": number,
                "weight": 1.0,
                "state": "draining" if number in self._draining else "ready",
                "started_ms": 0,
            }
            for number, version in self._changed.items()
            if after is None or version > after
        ]
        return json.dumps({"version": self.version, "full": after is None, "servers": told}).encode() + b"\n"

    @staticmethod
    def _say(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls.append(asyncio.get_running_loop().time())
            if self.manner == REFUSING or self.manner == WELL and len(self._waiting) >= self.queue:
                self.refused += 1
                writer.write(REFUSED)
                return
            if self.manner == WELL:
                after = parse_qs(head.split()[1].decode().partition("?")[2]).get("after")
                self._waiting.append((writer, int(after[0]) if after else None))
                self._come.set()
            try:
                async with asyncio.timeout(self.patience) as waits:
                    self._waits[writer] = waits
                    await reader.read()  # till it is left
            except TimeoutError:
                self.refused += 1
                writer.write(REFUSED)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._waits.pop(writer, None)
            self._open.discard(writer)
            self._watches.discard(writer)
            writer.close()

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        while True:
            if not self._waiting:
                self._come.clear()
                await self._come.wait()
            free_at = max(free_at, loop.time()) + self.each
            await asyncio.sleep(free_at - loop.time())
            if self._waiting:
                writer, after = self._waiting.popleft()
                if writer in self._open and not writer.is_closing():
                    self._waits[writer].reschedule(None)
                    writer.write(BEGUN)
                    self._say(writer, self._line(after))
                    self._watches.add(writer)
                else:
                    self.in_vain += 1

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(EMPTY_EVERY)
            for writer in self._watches:
                self._say(writer, b"\n")
