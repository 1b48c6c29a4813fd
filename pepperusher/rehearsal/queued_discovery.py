"""A simulated discovery server that processes requests one after another from a queue, and can be made slow, full, down,
silent or unreachable.

All clients share one listener. The server also processes requests whose client has disconnected meanwhile, because it
notices that only when it writes the response."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque
from urllib.parse import parse_qs

HEARTBEAT_INTERVAL = 2.0
SERVICE_UNAVAILABLE = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
WATCH_STARTED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WORKING, REFUSING, SILENT, KEEPING = "well", "refusing", "silent", "keeping"


class QueuedDiscovery:
    """Processes each request in `seconds_per_request`. It answers 503 at once to requests beyond `queue` waiting ones, and to
    those that have waited `max_wait` seconds; the latter are still processed in their turn."""

    def __init__(self, backends: int, seconds_per_request: float, queue: int, max_wait: float | None = None) -> None:
        self.seconds_per_request, self.queue, self.max_wait = seconds_per_request, queue, max_wait
        self.mode = WORKING
        self.version = 1
        self.calls: list[float] = []  # arrival time of each request (event loop clock), cleared for each measurement
        self.refused = self.wasted = 0  # requests answered 503; requests processed after their client left
        self._changed = {number: 1 for number in range(backends)}
        self._draining: set[int] = set()
        self._waiting: deque[tuple[asyncio.StreamWriter, int | None]] = deque()
        # An entry of the following dict and set is removed when its connection ends.
        self._wait_timeouts: dict[asyncio.StreamWriter, asyncio.Timeout] = {}
        self._arrived = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._unserved_sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.address = ("127.0.0.1", 0)

    async def open(self) -> None:
        await self.recover()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._process_queue()), loop.create_task(self._send_heartbeats())]

    async def recover(self) -> None:
        """Makes the server reachable and working again."""
        for unserved in self._unserved_sockets:
            unserved.close()
        self._unserved_sockets.clear()
        self.mode = WORKING
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, *self.address, backlog=1024, reuse_address=True)
            self.address = self._server.sockets[0].getsockname()

    def down(self) -> None:
        """Simulates a dead process: open connections are reset, and new ones are refused."""
        assert self._server is not None
        self._server.close()
        self._server = None
        self.end_watches(list(self._open))
        self._waiting.clear()

    def unreachable(self) -> None:
        """Makes new connections time out: the backlog of the listener is full and never accepted from."""
        self.down()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(0)
        self._unserved_sockets.append(listener)
        for _ in range(2):
            pending = socket.socket()
            pending.setblocking(False)
            pending.connect_ex(self.address)
            self._unserved_sockets.append(pending)

    def end_watches(self, writers: list[asyncio.StreamWriter] | None = None) -> None:
        """Resets the given connections, or those of all open watches."""
        for writer in list(self._watches) if writers is None else writers:
            writer.transport.abort()
            self._watches.discard(writer)

    def mute_watches(self) -> None:
        """Stops sending on all open watches, without closing them."""
        self._watches.clear()

    def change(self) -> None:
        """Publishes a new version: one backend starts or stops draining."""
        self.version += 1
        number = self.version % len(self._changed)
        self._changed[number] = self.version
        self._draining ^= {number}
        for writer in self._watches:
            self._send_chunk(writer, self._line(self.version - 1))

    def close(self) -> None:
        if self._server is not None:
            self.down()
        for task in self._tasks:
            task.cancel()
        for unserved in self._unserved_sockets:
            unserved.close()

    def _line(self, after: int | None) -> bytes:
        servers = [
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
        return json.dumps({"version": self.version, "full": after is None, "servers": servers}).encode() + b"\n"

    @staticmethod
    def _send_chunk(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls.append(asyncio.get_running_loop().time())
            if self.mode == REFUSING or self.mode == WORKING and len(self._waiting) >= self.queue:
                self.refused += 1
                writer.write(SERVICE_UNAVAILABLE)
                return
            if self.mode == WORKING:
                after = parse_qs(head.split()[1].decode().partition("?")[2]).get("after")
                self._waiting.append((writer, int(after[0]) if after else None))
                self._arrived.set()
            try:
                async with asyncio.timeout(self.max_wait) as wait_timeout:
                    self._wait_timeouts[writer] = wait_timeout
                    await reader.read()  # returns when the client disconnects
            except TimeoutError:
                self.refused += 1
                writer.write(SERVICE_UNAVAILABLE)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._wait_timeouts.pop(writer, None)
            self._open.discard(writer)
            self._watches.discard(writer)
            writer.close()

    async def _process_queue(self) -> None:
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        while True:
            if not self._waiting:
                self._arrived.clear()
                await self._arrived.wait()
            free_at = max(free_at, loop.time()) + self.seconds_per_request
            await asyncio.sleep(free_at - loop.time())
            if self._waiting:
                writer, after = self._waiting.popleft()
                if writer in self._open and not writer.is_closing():
                    self._wait_timeouts[writer].reschedule(None)
                    writer.write(WATCH_STARTED)
                    self._send_chunk(writer, self._line(after))
                    self._watches.add(writer)
                else:
                    self.wasted += 1

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            for writer in self._watches:
                self._send_chunk(writer, b"\n")
