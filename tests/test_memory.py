"""The memory of a proxy: what is logged of it, and that it stays under its limit, whatever its peers send or leave unread.

Run as a program, this module prints the peak of each crowd at each limit: `python -m tests.test_memory`.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import re
import socket
import tracemalloc
import unittest
import weakref
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from pepperusher.group.messages import WANTS_STATE
from pepperusher.net import backends, callers, memory_relief, memory_report
from pepperusher.net.buffers import BUFFER_BYTES, Pool
from pepperusher.net.callers import READ_AHEAD_DIVISOR
from pepperusher.net.connection import READER_LIMIT_BYTES, StreamConnection, wrap_socket
from pepperusher.net.memory_limits import MemoryLimits
from pepperusher.net.memory_relief import MemoryRelief
from pepperusher.net.memory_report import MemoryReport
from pepperusher.net.node import PART_LENGTH, Node
from pepperusher.net.peer_memory import (
    MAX_READ_BYTES,
    MAX_RECEIVED_BYTES,
    MIN_READ_BYTES,
    PeerConnections,
    PeerMemory,
)
from pepperusher.net.watch_stream import LINE_MAX_BYTES

from tests.leavers import ProxyProcess, request
from tests.scene import ProxyTestCase
from tests.test_descriptors import ask

MEGABYTE = 1024 * 1024
LIMIT_MB = 80


class FakeConnection:
    """A connection with these figures."""

    def __init__(self, unread_bytes: int, read_ahead_bytes: int, unsent_bytes: int) -> None:
        self.unread_bytes = unread_bytes
        self.parser_bytes = 0
        self.read_ahead_bytes = read_ahead_bytes
        self.unsent_bytes = unsent_bytes


class RecordingLog:
    """Keeps the lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def say(self, line: str) -> None:
        self.lines.append(line)


class Report(unittest.TestCase):
    def test_each_further_part_of_the_limit_is_logged_once_with_what_is_held(self) -> None:
        callers, log = PeerConnections("callers", PeerMemory()), RecordingLog()
        callers.add(FakeConnection(5 * MEGABYTE, 3 * MEGABYTE, 0))
        callers.add(FakeConnection(0, 0, MEGABYTE))
        pool = Pool(4)
        pool.take()
        report = MemoryReport(LIMIT_MB * MEGABYTE, pool, (callers,), log)  # type: ignore[arg-type]
        for own_mb in (15, 25, 29, 15, 28, 71):
            report.check(own_mb * MEGABYTE)
        held = f"bodies {BUFFER_BYTES // 1024}; 2 callers: received 2048, read ahead 3072, unsent 1024"
        self.assertEqual(
            [f"memory: {25 * 1024} of 81920 kB, {held}", f"memory: {71 * 1024} of 81920 kB, {held}"], log.lines
        )

    def test_a_process_knows_its_own_memory(self) -> None:
        own = memory_report.own_memory()
        assert own is not None
        self.assertGreater(own, MEGABYTE)


class Limits(unittest.TestCase):
    def test_connections_come_first_and_what_is_held_has_a_part_of_the_rest(self) -> None:
        for megabytes, descriptors, held_kilobytes in (
            (192, 1024, 24 * 1024),
            (64, 1024, 8 * 1024),
            (40, 192, 5 * 1024),
            (32, 1024, 512),
            (16, 1024, 256),
        ):
            limits = MemoryLimits.of(megabytes * MEGABYTE, descriptors)
            self.assertEqual((held_kilobytes * 1024,) * 2, tuple(limits))


class Relief(unittest.TestCase):
    # Guards against a process that keeps what it has freed until it passes its limit.
    def test_memory_is_given_back_near_the_limit_and_once_a_second_at_most(self) -> None:
        trimmed: list[int] = []
        relief = MemoryRelief(100 * MEGABYTE)
        with mock.patch.object(memory_relief, "_load_trim", return_value=trimmed.append):
            for own_mb, now in ((59, 10), (61, 20), (70, 20.5), (70, 21), (50, 23), (None, 24)):
                relief.relieve(None if own_mb is None else own_mb * MEGABYTE, int(now * 1e6))
        self.assertEqual([0, 0], trimmed)

    def test_a_platform_that_cannot_give_memory_back_collects_garbage_alone(self) -> None:
        relief = MemoryRelief(MEGABYTE)
        with mock.patch.object(memory_relief, "_load_trim", return_value=None):
            relief.relieve(MEGABYTE, 10**7)
        self.assertEqual(1, relief.count)


class Received(unittest.IsolatedAsyncioTestCase):
    async def test_connections_that_are_read_in_one_iteration_keep_within_the_limit_of_all(self) -> None:
        """Each of them received up to 256 KiB before any of it was consumed."""
        max_received, connection_count = 256 * 1024, 40
        memory = PeerMemory(max_received)
        peers = PeerConnections("callers", memory)
        pairs = [socket.socketpair() for _ in range(connection_count)]
        connections = []
        for far, near in pairs:
            self.addCleanup(far.close)
            far.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    far.send(bytes(MAX_READ_BYTES))
            near.setblocking(False)
            connections.append(await wrap_socket(near, peers))
        for _ in range(10):
            await asyncio.sleep(0)
            self.assertLessEqual(
                memory.received, max_received + connection_count * (2 * READER_LIMIT_BYTES + MIN_READ_BYTES)
            )
        self.assertGreaterEqual(memory.received, max_received)
        self.assertEqual(memory.received, peers.held_bytes().received)
        for connection in connections:
            self.assertTrue(await connection.read())  # none is kept from being read
            connection.abort()
        await asyncio.sleep(0.01)
        self.assertEqual((0, 0), (memory.received, peers.held_bytes().connections))

    async def test_what_a_peer_does_not_read_counts_until_the_connection_ends(self) -> None:
        memory = PeerMemory()
        pool = Pool(4, 1024 * 1024, memory)
        for case in ("reads", "goes"):
            far, near = socket.socketpair()
            near.setblocking(False)
            connection = await wrap_socket(near, PeerConnections("callers", memory))
            self.assertFalse(connection.send(bytes(4 * 1024 * 1024)))
            self.assertGreater(memory.unsent, 1024 * 1024)
            self.assertTrue(pool.exhausted)
            if case == "reads":
                reading = asyncio.get_running_loop().run_in_executor(None, far.makefile("rb").read, 4 * 1024 * 1024)
                self.assertTrue(await connection.flush())
                await reading
            far.close()
            await connection.read()
            connection.abort()
            await asyncio.sleep(0.01)
            self.assertEqual((0, False), (memory.unsent, pool.exhausted))


class Shared(ProxyTestCase):
    # Guards against two processes of one proxy that each take the memory of one, while one replaces the other.
    async def test_two_processes_share_the_memory_for_peers(self) -> None:
        await self.open("a1")
        pool, watcher = self.proxy._pool, self.proxy._callers._disconnect_watcher
        whole = pool.max_bytes
        for share in (0.5, 1.0):
            self.proxy.limit_share(share)
            self.assertEqual(whole * share, pool.max_bytes)
            self.assertEqual(MAX_RECEIVED_BYTES * share, pool.peer_memory._max_received)
            self.assertEqual(pool.max_bytes // READ_AHEAD_DIVISOR, watcher.read_size())


class Ended(ProxyTestCase):
    # Guards against a proxy that goes over its memory limit by what connections received that have ended: they stay in
    # memory until a garbage collection.
    async def test_what_ended_connections_received_is_let_go_without_a_collection(self) -> None:
        await self.open("a1")
        self.fake_backends["a1"].behaviors = ["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + "x" * 50_000]
        readers: list[weakref.ref[asyncio.StreamReader]] = []

        def recording(
            open_connection: Callable[..., Coroutine[Any, Any, StreamConnection]],
        ) -> Callable[..., Coroutine[Any, Any, StreamConnection]]:
            async def open_and_record(*arguments: object) -> StreamConnection:
                connection = await open_connection(*arguments)
                readers.append(weakref.ref(connection.reader))
                return connection

            return open_and_record

        gc.disable()
        self.addCleanup(gc.enable)
        with (
            mock.patch.object(callers, "wrap_socket", recording(callers.wrap_socket)),
            mock.patch.object(backends, "connect", recording(backends.connect)),
        ):
            for sent in (self.request("look", 1), b"GET / nonsense\r\n\r\n" + bytes(100_000)):
                reader, writer = await self.connect()
                writer.write(sent)
                await reader.readuntil(b"\r\n\r\n")
                writer.close()
            await self.wait_until(lambda: not self.proxy._callers.open)
            await self.wait_until(lambda: not self.proxy._backends.peers.held_bytes().connections)
        self.assertEqual([None] * 3, [reader() for reader in readers])


# Limits that the operators' pages name, in MB and descriptors: the most, half of it on days with less room, and those that
# their bench has given to proxies.
LIMITS = ((192, 1024), (96, 512), (80, 384), (64, 256), (40, 192))
# Of all descriptors, so many in ten are taken by a crowd: a little less than callers may have.
CROWD_TENTHS = 6
CROWD_STAYS_S = 3.0
# After the crowd an ordinary client is served within this time: breakers that it opened try again within some seconds.
RECOVERY_S = 10.0
LONG_BODY_BYTES = 4_000_000


def peak_memory(pid: int) -> int:
    """The most resident memory that a process had of its own, in bytes."""
    figures = {
        name: int(kilobytes) * 1024
        for name, kilobytes in re.findall(r"^(\w+):\s+(\d+) kB$", Path(f"/proc/{pid}/status").read_text(), re.MULTILINE)
    }
    return figures["VmHWM"] - figures["RssFile"] - figures["RssShmem"]


async def stop_half_way(client: socket.socket, number: int) -> None:
    """Sends the head and the first half of a long request."""
    head = request("book", f"half-{number}").replace(b"Content-Length: 0", b"Content-Length: %d" % LONG_BODY_BYTES)
    await asyncio.get_running_loop().sock_sendall(client, head + bytes(LONG_BODY_BYTES // 2))


async def ask_until_served(port: int) -> str:
    """How the last of several ordinary requests ends: the first that is served, or whichever RECOVERY_S ends."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RECOVERY_S
    status, number = "", 0
    while status != "200" and loop.time() < deadline:
        number += 1
        status, _ = await ask(port, request("look", f"ordinary-{number}"))
        await asyncio.sleep(0.1)
    return status


Client = Callable[[socket.socket, int], Coroutine[Any, Any, None]]


async def peak_under_crowd(memory_mb: int, descriptors: int, client: Client) -> tuple[int, str]:
    """Lets a crowd of clients loose on a proxy. Returns the proxy's peak memory, and how an ordinary request ends after it."""
    loop = asyncio.get_running_loop()

    async def stay(proxy_process: ProxyProcess, number: int) -> None:
        """One client of the crowd, until it is answered or closed."""
        with socket.socket() as crowd_socket, contextlib.suppress(OSError):
            crowd_socket.setblocking(False)
            await loop.sock_connect(crowd_socket, ("127.0.0.1", proxy_process.port))
            await client(crowd_socket, number)
            await loop.sock_recv(crowd_socket, 1)

    async with ProxyProcess(8, limits={"memory_mb": memory_mb, "sockets": descriptors}) as proxy_process:
        for backend in proxy_process.backends:
            await backend.open()
        staying = [
            asyncio.create_task(stay(proxy_process, number)) for number in range(descriptors * CROWD_TENTHS // 10)
        ]
        await asyncio.sleep(CROWD_STAYS_S)
        for task in staying:
            task.cancel()
        await asyncio.wait(staying)
        status = await ask_until_served(proxy_process.port)
        return peak_memory(proxy_process.process.pid), status


class Crowds(unittest.IsolatedAsyncioTestCase):
    """A proxy stays under each limit. The cases stand alone so that they run beside each other."""

    async def check(self, memory_mb: int, descriptors: int, client: Client) -> None:
        peak, status = await peak_under_crowd(memory_mb, descriptors, client)
        self.assertLess(peak, memory_mb * MEGABYTE)
        self.assertEqual("200", status)

    # Guards against a proxy that is killed for its memory because each of many connections received up to 256 KiB in one
    # iteration of the event loop (review/3).
    async def test_clients_that_stop_half_way_at_192_mb(self) -> None:
        await self.check(192, 1024, stop_half_way)

    async def test_clients_that_stop_half_way_at_96_mb(self) -> None:
        await self.check(96, 512, stop_half_way)

    async def test_clients_that_stop_half_way_at_80_mb(self) -> None:
        await self.check(80, 384, stop_half_way)

    async def test_clients_that_stop_half_way_at_64_mb(self) -> None:
        await self.check(64, 256, stop_half_way)

    async def test_clients_that_stop_half_way_at_40_mb(self) -> None:
        await self.check(40, 192, stop_half_way)


class GroupStream(unittest.IsolatedAsyncioTestCase):
    # Guards against a member of a group that keeps whatever a peer sends after it has been sent the member list.
    async def test_what_a_peer_sends_behind_its_request_is_not_kept(self) -> None:
        sent_bytes, chunk = 16 * MEGABYTE, bytes(64 * 1024)
        swim = SimpleNamespace(full_state=lambda: [b"state"])
        wire = SimpleNamespace(unpack=lambda data: SimpleNamespace(seq=WANTS_STATE))
        node = SimpleNamespace(_streams=0, swim=swim, _wire=wire)
        server = await asyncio.start_server(
            lambda reader, writer: Node._serve_stream(node, reader, writer), "127.0.0.1"
        )
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        self.addCleanup(tracemalloc.stop)
        tracemalloc.start()
        writer.write(PART_LENGTH.pack(len(b"hello")) + b"hello")
        for _ in range(sent_bytes // len(chunk)):
            writer.write(chunk)
            await writer.drain()
        writer.write_eof()
        self.assertEqual(PART_LENGTH.pack(len(b"state")) + b"state", await reader.read())
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, sent_bytes // 4)
        writer.close()


class LongLineProxyProcess(ProxyProcess):
    """A proxy whose discovery sends a line as long as the longest, which is no list."""

    watches = 0

    async def _watched(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.watches += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\n\r\n" % (LINE_MAX_BYTES, b"x" * (LINE_MAX_BYTES - 1)))
            await reader.read()


class DiscoveryLine(unittest.IsolatedAsyncioTestCase):
    # Guards against a proxy with little memory that goes over its limit by one line of discovery, whose longest length
    # did not depend on the memory.
    async def test_a_long_line_of_discovery_at_40_mb(self) -> None:
        async with LongLineProxyProcess(2, limits={"memory_mb": 40, "sockets": 192}) as proxy_process:
            for backend in proxy_process.backends:
                await backend.open()
            await proxy_process.wait_until(lambda: proxy_process.watches > 2, 30.0)
            status, _ = await ask(proxy_process.port, request("look", "ordinary"))
            self.assertLess(peak_memory(proxy_process.process.pid), 40 * MEGABYTE)
            self.assertEqual("200", status)


async def print_peaks() -> None:
    """Prints the peak of each crowd at each limit."""
    for client in (stop_half_way,):
        for memory_mb, descriptors in LIMITS:
            peak, status = await peak_under_crowd(memory_mb, descriptors, client)
            print(
                f"{client.__name__}: {peak / MEGABYTE:.1f} of {memory_mb} MB, {descriptors} descriptors, then {status}"
            )


if __name__ == "__main__":
    asyncio.run(print_peaks())
