"""Calls and bytes that the watches of many proxies come to at one discovery: at a change, and as it returns.

The proxies' own watches (`net/discovery.py`) over sockets of this machine, all in this process; discovery is
a stand-in that works through calls in turn and answers 503 to those beyond its queue.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from pepperusher.capacity import fixtures
from pepperusher.capacity.decisions import watch_of
from pepperusher.net.discovery import Discovery

LISTED = 24
# The stand-in works through a call in so long, and has room for so many that wait. Slower than a real one,
# so that it and not this process's processor is what the watches wait for.
TAKES, QUEUE = 0.010, 32
AWAY = 3.0
# An empty line says so often that a watch lives.
BEAT = 1.0
WITHIN = 60.0
LOOK = 0.01


class StandIn:
    """Counts calls, those it turned away, and bytes out."""

    def __init__(self, entries: int, address: str = "") -> None:
        """Everybody on its list at one `address`, or each at its own."""
        self.calls = self.refused = self.bytes = 0
        self.port = 0
        self._servers = fixtures.endpoint_list(entries, address=address)["servers"]
        self._states = ["ready"] * entries
        self._version = 1
        self._watching: set[asyncio.StreamWriter] = set()  # emptied as it goes away
        self._waiting = 0
        self._turn = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._serving: set[asyncio.Task[None]] = set()  # emptied as they end

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", self.port, backlog=4096)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beating = asyncio.create_task(self._beat())

    async def away(self) -> None:
        """As a process that is killed: nobody listens, every watch is cut."""
        assert self._server is not None and self._beating is not None
        self._beating.cancel()
        self._server.close()
        for task in [*self._serving]:
            task.cancel()
        for writer in [*self._watching]:
            writer.transport.abort()
        self._watching.clear()
        self._waiting = 0
        await asyncio.sleep(0)

    @property
    def watching(self) -> int:
        return len(self._watching)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._serving.discard(task)
            self._watching.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.calls += 1
        if self._waiting >= QUEUE:
            self.refused += 1
            writer.write(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
            return
        self._waiting += 1
        try:
            async with self._turn:
                await asyncio.sleep(TAKES)
        finally:
            self._waiting -= 1
        servers = [{**one, "state": state} for one, state in zip(self._servers, self._states)]
        whole = fixtures.json_line({"version": self._version, "full": True, "servers": servers})
        self._send(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(whole))
        self._watching.add(writer)
        await reader.read()

    def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.bytes += len(data)
        writer.write(data)

    def change(self, number: int) -> None:
        """One backend drains, or is ready again: told to all who watch."""
        self._version += 1
        self._states[number] = "ready" if self._states[number] == "draining" else "draining"
        one = {**self._servers[number], "state": self._states[number]}
        text = fixtures.json_line({"version": self._version, "full": False, "servers": [one]})
        for writer in self._watching:
            self._send(writer, _chunk(text))

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            for writer in self._watching:
                writer.write(_chunk(b"\n"))  # not counted: it is there without any change


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class WatchCosts(NamedTuple):
    """Calls and bytes out of discovery: as all proxies start, at one change, as it returns; and how long
    until all were told.
    """

    start_calls: int
    start_bytes: int
    change_bytes: int
    return_calls: int
    return_bytes: int
    return_refused: int
    return_seconds: float


async def _until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(WITHIN):
        while not true():
            await asyncio.sleep(LOOK)


async def _play(watchers: int, seed: int) -> WatchCosts:
    discovery = StandIn(LISTED)
    await discovery.open()
    watches: list[Discovery] = []
    for number in range(watchers):
        one = watch_of(1_000, seed * 10_007 + number)
        one._source.address = ("127.0.0.1", discovery.port)
        watches.append(one)
    loop = asyncio.get_running_loop()
    try:
        for one in watches:
            one.start()
        await _until(lambda: discovery.watching == watchers)
        await _until(lambda: all(one.version == 1 for one in watches))
        start_calls, start_bytes = discovery.calls, discovery.bytes
        discovery.change(0)
        await _until(lambda: all(one.version == 2 for one in watches))
        change_bytes = discovery.bytes - start_bytes
        await discovery.away()
        await asyncio.sleep(AWAY)  # the length of the outage is what is played, nothing is waited for
        discovery.calls = discovery.bytes = discovery.refused = 0
        began = loop.time()
        await discovery.open()
        await _until(lambda: discovery.watching == watchers)
        return WatchCosts(
            start_calls,
            start_bytes,
            change_bytes,
            discovery.calls,
            discovery.bytes,
            discovery.refused,
            loop.time() - began,
        )
    finally:
        for one in watches:
            one.stop()
        await discovery.away()
        await asyncio.sleep(0)


_PLAYED: dict[tuple[int, int], WatchCosts] = {}  # one play gives several figures; as many as sizes are measured


def played(name: str) -> Callable[[int, int], float]:
    def at(size: int, seed: int) -> float:
        if (size, seed) not in _PLAYED:
            _PLAYED[size, seed] = asyncio.run(_play(size, seed))
        return float(getattr(_PLAYED[size, seed], name))

    return at
