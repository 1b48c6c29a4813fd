"""Measures the calls and bytes of many proxies' watches at one discovery server: at a change, and after an outage.

The real watches (`net/discovery.py`) run in this process over loopback sockets. Discovery is a stand-in that handles
calls one by one and answers 503 to those that do not fit into its queue.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from pepperusher.capacity import fixtures
from pepperusher.capacity.decisions import new_watch
from pepperusher.net.discovery import Discovery

LISTED = 24
# The stand-in takes this long for a call and queues this many calls. It is slower than a real server, so that the
# watches wait for it and not for the processor time of this process.
CALL_S, QUEUE_LENGTH = 0.010, 32
OUTAGE_S = 3.0
# The interval of the empty lines that keep a watch alive.
HEARTBEAT_S = 1.0
TIMEOUT_S = 60.0
POLL_S = 0.01


class StandInDiscovery:
    """A stand-in for discovery that counts calls, rejected calls and the bytes that it sends."""

    def __init__(self, entries: int, address: str = "") -> None:
        """All backends on the list have this `address` if given, else each has its own."""
        self.calls = self.refused = self.bytes = 0
        self.port = 0
        self._servers = fixtures.endpoint_list(entries, address=address)["servers"]
        self._states = ["ready"] * entries
        self._version = 1
        self._watching: set[asyncio.StreamWriter] = set()  # cleared by `stop`
        self._waiting = 0
        self._call_lock = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()  # each task removes itself when it ends

    async def open(self) -> None:
        """Starts to listen, on the same port as before after `stop`."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", self.port, backlog=4096)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Behaves like a killed process: closes the listening socket and resets all connections."""
        assert self._server is not None and self._heartbeats is not None
        self._heartbeats.cancel()
        self._server.close()
        for task in [*self._tasks]:
            task.cancel()
        for writer in [*self._watching]:
            writer.transport.abort()
        self._watching.clear()
        self._waiting = 0
        await asyncio.sleep(0)

    @property
    def watching(self) -> int:
        """Returns the number of watches."""
        return len(self._watching)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._watching.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.calls += 1
        if self._waiting >= QUEUE_LENGTH:
            self.refused += 1
            writer.write(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
            return
        self._waiting += 1
        try:
            async with self._call_lock:
                await asyncio.sleep(CALL_S)
        finally:
            self._waiting -= 1
        servers = [{**server, "state": state} for server, state in zip(self._servers, self._states)]
        endpoint_list = fixtures.json_line({"version": self._version, "full": True, "servers": servers})
        self._send(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(endpoint_list))
        self._watching.add(writer)
        await reader.read()

    def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.bytes += len(data)
        writer.write(data)

    def change(self, number: int) -> None:
        """Switches one backend between draining and ready and sends the change to all watches."""
        self._version += 1
        self._states[number] = "ready" if self._states[number] == "draining" else "draining"
        server = {**self._servers[number], "state": self._states[number]}
        text = fixtures.json_line({"version": self._version, "full": False, "servers": [server]})
        for writer in self._watching:
            self._send(writer, _chunk(text))

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in self._watching:
                writer.write(_chunk(b"\n"))  # not counted, since heartbeats do not depend on changes


def _chunk(data: bytes) -> bytes:
    """Returns an HTTP chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class WatchCosts(NamedTuple):
    """Calls to and bytes from discovery: while all proxies start, at one change, and after an outage, with the seconds
    from its end until all proxies watch again.
    """

    start_calls: int
    start_bytes: int
    change_bytes: int
    return_calls: int
    return_bytes: int
    return_refused: int
    return_seconds: float


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Polls until the condition is true. Raises TimeoutError after TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


async def _run(watchers: int, seed: int) -> WatchCosts:
    """Measures the watches of `watchers` proxies: start, one change, outage and return."""
    discovery = StandInDiscovery(LISTED)
    await discovery.open()
    watches: list[Discovery] = []
    for number in range(watchers):
        watch = new_watch(1_000, seed * 10_007 + number)
        watch._source.address = ("127.0.0.1", discovery.port)
        watches.append(watch)
    loop = asyncio.get_running_loop()
    try:
        for watch in watches:
            watch.start()
        await _wait_until(lambda: discovery.watching == watchers)
        await _wait_until(lambda: all(watch.version == 1 for watch in watches))
        start_calls, start_bytes = discovery.calls, discovery.bytes
        discovery.change(0)
        await _wait_until(lambda: all(watch.version == 2 for watch in watches))
        change_bytes = discovery.bytes - start_bytes
        await discovery.stop()
        await asyncio.sleep(OUTAGE_S)  # the duration of the outage, not a wait for an event
        discovery.calls = discovery.bytes = discovery.refused = 0
        started = loop.time()
        await discovery.open()
        await _wait_until(lambda: discovery.watching == watchers)
        return WatchCosts(
            start_calls,
            start_bytes,
            change_bytes,
            discovery.calls,
            discovery.bytes,
            discovery.refused,
            loop.time() - started,
        )
    finally:
        for watch in watches:
            watch.stop()
        await discovery.stop()
        await asyncio.sleep(0)


_RUNS: dict[tuple[int, int], WatchCosts] = {}  # one run gives several values; one entry for each size and seed


def by_proxies(name: str) -> Callable[[int, int], float]:
    """Returns a measurement of the field `name` of `WatchCosts`, by the number of proxies."""

    def measure(size: int, seed: int) -> float:
        if (size, seed) not in _RUNS:
            _RUNS[size, seed] = asyncio.run(_run(size, seed))
        return float(getattr(_RUNS[size, seed], name))

    return measure
