"""Tickets of clients that left while they waited are not sent to a backend, however much the clients had sent before.
Tests with crowds of such clients, and tests of reading ahead.
"""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from pepperusher.net import disconnect_watcher
from pepperusher.net.connection import READ_BYTES
from pepperusher.net.request_store import RequestStore

from tests.leavers import LEAVING_WAYS, ONE_TICKET_AT_A_TIME, LeavingClients, ProxyProcess, request
from tests.scene import reset_on_close
from tests.test_crossings import Crossing

# More than the reader and the kernel buffer, so that the end stays with the client until that is read.
PIPELINED_BYTES = 400_000


class Crowds(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode would distort the times that the tests check

    def assert_none_late(self, proxy_process: ProxyProcess, cases: int) -> None:
        """Checks the number of cases, and that no attempt began after its client had left."""
        self.assertEqual(cases, len(proxy_process.left_at))
        self.assertEqual({case: [] for case, _ in proxy_process.left_at.values()}, proxy_process.late_attempts())

    async def test_none_is_sent_on_between_attempts_or_after_standing_still(self) -> None:
        """Tickets of clients with much pipelined data were sent up to 1.1 s after the clients had left."""
        clients = LeavingClients()
        async with asyncio.timeout(30), ProxyProcess(24) as proxy_process:
            for backend in proxy_process.backends:
                await backend.open()
            for pipelined_bytes in (0, PIPELINED_BYTES):
                for way in LEAVING_WAYS:
                    await asyncio.gather(
                        clients.leave_between_attempts(
                            proxy_process, way, f"between, {pipelined_bytes}", pipelined_bytes
                        ),
                        clients.leave_before_reset(proxy_process, way, f"broken, {pipelined_bytes}", pipelined_bytes),
                    )
                    await clients.leave_while_stopped(
                        proxy_process, way, f"stood still, {pipelined_bytes}", pipelined_bytes
                    )
                    await clients.leave_between_attempts_while_blocked(proxy_process, way, "busy")
            await proxy_process.wait_until(
                lambda: (
                    not any(
                        proxy_process.behaviour_plan[name] and len(proxy_process.attempt_times[name]) == 0
                        for name in proxy_process.behaviour_plan
                    )
                )
            )
            # As long as any backend takes to answer, after which another attempt might follow.
            await asyncio.sleep(1.0)
            self.assert_none_late(proxy_process, 24)

    async def test_none_is_sent_on_when_its_connection_comes_up(self) -> None:
        """Tickets of clients with much pipelined data, or with a streamed body, were sent one second after the clients
        had left.
        """
        clients = LeavingClients()
        async with asyncio.timeout(30), ProxyProcess(6) as proxy_process:
            for backend in proxy_process.backends:
                backend.fill_accept_queue()
            await asyncio.gather(
                *(
                    clients.leave_while_connecting(
                        proxy_process, way, f"{pipelined_bytes} behind, body {body}", pipelined_bytes, body
                    )
                    for way in LEAVING_WAYS
                    for pipelined_bytes, body in ((0, 0), (PIPELINED_BYTES, 0), (0, 2 * PIPELINED_BYTES))
                )
            )
            # The ticket of a client that stays, and arrived last, is sent once the kernel retries its connect.
            client = proxy_process.connect()
            await asyncio.get_running_loop().sock_sendall(client, request("look", "stays"))
            await asyncio.sleep(0.05)
            for backend in proxy_process.backends:
                await backend.open()
            await proxy_process.wait_until(lambda: proxy_process.attempt_times["stays"])
            await asyncio.sleep(0.3)
            client.close()
            self.assert_none_late(proxy_process, 9)

    async def test_none_is_sent_on_out_of_the_gate(self) -> None:
        clients = LeavingClients()
        async with asyncio.timeout(30), ProxyProcess(4, ONE_TICKET_AT_A_TIME) as proxy_process:
            for backend in proxy_process.backends:
                await backend.open()
            waiting = await clients.send_slow_tickets(proxy_process, 2)
            await proxy_process.wait_until(lambda: sum(map(len, proxy_process.attempt_times.values())) == 1)
            await asyncio.gather(
                *(
                    clients.leave_while_queued(proxy_process, way, f"gate, {pipelined_bytes}", pipelined_bytes)
                    for way in LEAVING_WAYS
                    for pipelined_bytes in (0, PIPELINED_BYTES)
                )
            )
            await proxy_process.wait_until(lambda: sum(map(len, proxy_process.attempt_times.values())) >= 2)
            await asyncio.sleep(0.8)
            self.assert_none_late(proxy_process, 6)
            for client in waiting:
                client.close()


class ReadAhead(Crossing):
    async def send_pipelined(
        self, first: int, requests: int, size: int
    ) -> tuple[socket.socket, "asyncio.Future[None]"]:
        """Returns a client with one request at a slow backend and more pipelined data than the reader accepts."""
        asyncio.get_running_loop().set_debug(False)  # debug mode is several times slower
        self.fake_backends["a1"].behaviors = ["slow"]
        client = self.connect_socket()
        client.sendall(self.request("pay", first))
        await self.wait_until(lambda: self.backends_reached_by(first))
        pipelined = b"".join(self.request("pay", first + 1 + number, "x" * size, 9000) for number in range(requests))
        return client, asyncio.get_running_loop().run_in_executor(None, client.sendall, pipelined)

    async def test_what_is_read_ahead_is_served_in_its_order_and_counted_down(self) -> None:
        """The read-ahead limit has room for all of the data, for some of it, or for none."""
        for limit in (disconnect_watcher.MAX_READ_AHEAD_BYTES, 100_000, 0):
            with self.subTest(limit), mock.patch("pepperusher.net.disconnect_watcher.MAX_READ_AHEAD_BYTES", limit):
                await self.open("a1")
                client, sending = await self.send_pipelined(1, 40, 10_000)
                connection = next(iter(self.proxy._callers._callers)).connection
                if limit:
                    await self.wait_until(lambda: self.proxy._callers._disconnect_watcher.read_ahead_bytes)
                await sending
                await self.wait_until(lambda: self.proxy._events.counts.get("done") == 41)
                self.assertEqual(
                    [f"{number}" for number in range(1, 42)],
                    [line.split(" id ")[1].split()[0] for line in self.lines if " id " in line],
                )
                watcher = self.proxy._callers._disconnect_watcher
                self.assertEqual(
                    (0, 0, True), (watcher.read_ahead_bytes, connection.unread_bytes, connection.transport.is_reading())
                )
                self.assertEqual({}, self.proxy._callers._disconnect_watcher._watched)
                await self.asyncTearDown()

    async def test_it_has_a_bound_for_each_and_for_all(self) -> None:
        """The bytes read ahead on a connection are released when it ends, by a close or by a reset."""
        for way in ("ends", "resets"):
            with self.subTest(way), mock.patch("pepperusher.net.disconnect_watcher.MAX_READ_AHEAD_BYTES", 300_000):
                await self.open("a1", "b1", "c1")
                watcher = self.proxy._callers._disconnect_watcher
                watcher._max_bytes = lambda: 500_000
                for fake_backend in self.fake_backends.values():
                    fake_backend.behaviors = ["silent"] * 3
                clients = [self.connect_socket() for _ in range(3)]
                for number, client in enumerate(clients):
                    client.sendall(self.request("look", number, left=30_000))
                await self.wait_until(lambda: len(self.backends_reached_by()) == 3)
                most_held = 0
                connections = [caller.connection for caller in self.proxy._callers._callers]
                async with asyncio.timeout(20):
                    for client in clients:
                        client.setblocking(False)
                    while any(connection.transport.is_reading() for connection in connections):
                        for client in clients:
                            try:
                                client.send(b"GET /look/ahead HTTP/1.1\r\n" + b"x" * 8000)
                            except BlockingIOError:
                                pass
                        await asyncio.sleep(0)
                        most_held = max(most_held, watcher.read_ahead_bytes)
                self.assertEqual(
                    watcher.read_ahead_bytes, sum(len(connection._read_ahead) for connection in connections)
                )
                # The limit may be exceeded by at most what the loop reads at once.
                self.assertLess(max(len(connection._read_ahead) for connection in connections), 300_000 + 256 * 1024)
                self.assertLess(most_held, 500_000 + 2 * 256 * 1024)
                for client in clients:
                    if way == "resets":
                        reset_on_close(client)
                    client.close()
                await self.wait_until(lambda: not self.proxy._callers.open)
                self.assertEqual(0, watcher.read_ahead_bytes)
                self.assertEqual({}, watcher._watched)
                await self.asyncTearDown()

    async def test_an_end_behind_what_is_read_ahead_calls_off_what_is_out(self) -> None:
        """The end never arrived: the attempt continued, and the client's descriptor stayed open."""
        await self.open("a1")
        self.fake_backends["a1"].behaviors = ["silent"]
        client = self.connect_socket()
        client.sendall(self.request("look", 1, left=30_000))
        await self.wait_until(lambda: self.backends_reached_by(1))
        client.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(client, b"GET /look/ahead HTTP/1.1\r\n" + b"x" * 1_000_000)
        client.close()
        await self.wait_for_backend_close()
        await self.wait_until(lambda: not self.proxy._callers.open)
        self.assertEqual({"called off": 1, "left": 1}, self.proxy._events.counts)

    async def test_a_body_that_flows_is_not_read_ahead_of_its_backend(self) -> None:
        """No part of a streamed body is sent again, and reading it ahead of a slow backend would fill the memory."""
        await self.open("a1")

        async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.lines.append((await reader.readuntil(b"\r\n\r\n")).decode()[:3])
            reader._transport.pause_reading()
            await may_end.wait()
            writer.close()

        may_end = asyncio.Event()
        server = await asyncio.start_server(stall, "127.0.0.1", 0, limit=READ_BYTES)
        self.fake_backends["a1"].port = server.sockets[0].getsockname()[1]
        self.endpoint_update(2, self.line("a1"))
        await self.wait_until(lambda: self.proxy._discovery.version == 2)
        client = self.connect_socket()
        client.setblocking(False)
        client.send(self.request("pay", 1, "x" * 20_000_000, left=8000)[:400])
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(client, b"x" * 20_000_000))
        await self.wait_until(lambda: "POS" in self.lines)
        connection = next(iter(self.proxy._callers._callers)).connection
        # Data may have been read ahead before the body's first byte was sent; that is used up, and no more is read
        # ahead.
        await self.wait_until(lambda: not connection.transport.is_reading() and not connection.may_read_ahead)
        self.assertLess(connection.unread_bytes, disconnect_watcher.MAX_READ_AHEAD_BYTES)
        self.assertLess(connection.bytes_received, 12_000_000)
        sending.cancel()
        may_end.set()
        client.close()
        server.close()


class Kept(Crossing):
    async def test_one_that_left_while_its_mark_was_written_is_not_sent_on(self) -> None:
        """The client's end was only in the kernel when the record was on disk: the event loop had not reported it."""
        await self.open("a1", own='[store]\nfolder = "HERE/store"\nwait = "1s"\n')
        await self.open_idle_connections()
        client = self.connect_socket()
        record_attempt = RequestStore.record_attempt

        async def record_and_leave(*args: object) -> object:
            record = await record_attempt(*args)  # type: ignore[arg-type]
            client.close()
            return record

        with mock.patch.object(RequestStore, "record_attempt", record_and_leave):
            client.sendall(self.request("book", 1))
            await self.wait_until(lambda: self.proxy._events.counts.get("left"))
        self.assertEqual([], self.backends_reached_by(1))


if __name__ == "__main__":
    unittest.main()
