"""Races between two events. Each test makes the events meet, by waiting for an observable state or by making both ready
before the event loop runs.

docs/crossings.md lists the races with the reason for each outcome.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from unittest import mock

from pepperusher.net.callers import Callers
from pepperusher.net.extension import Extension
from pepperusher.net.exchange import Exchange
from pepperusher.net.body_streaming import ResponseForwarder
from pepperusher.net.connection import StreamConnection, connect
from pepperusher.net.peer_memory import PeerConnections
from pepperusher.net.message import Answer, Request, read_head
from pepperusher.rehearsal.ports import free_port

from tests.scene import SETTINGS, ProxyTestCase, configuration, reset_on_close

LIMITS = {**SETTINGS["policy-limits"]}
# Settings that forbid cancelling: attempts under way continue when their client leaves.
NO_CANCEL_SETTINGS = {**SETTINGS, "policy-limits": {**LIMITS, "cancel": False}}
PUSHED_LIST_SETTINGS = {**SETTINGS, "discovery": "push", "rules": {**SETTINGS["rules"], "stop-sending-within": 250.0}}
USE_CASES = ("look", "book", "pay")


class Crossing(ProxyTestCase):
    """Helpers for tests of races."""

    def connect_socket(self) -> socket.socket:
        """A client's socket outside the event loop: what it sends is in the kernel before the loop runs again."""
        client = socket.create_connection(("127.0.0.1", self.proxy.port), timeout=10)
        self.addCleanup(client.close)
        return client

    async def read_to_end(self, client: socket.socket) -> str:
        """Everything that a client receives until its connection ends, and how it ended."""
        received, error = await self.receive_until_closed(client)
        if isinstance(error, ConnectionResetError):
            return f"{received[9:12].decode()} reset"
        if error is not None:
            raise error
        return f"{received[9:12].decode()} end"

    async def open_idle_connections(self) -> None:
        """Keeps an idle connection at each backend, so that a request is sent in the same loop iteration in which its
        backend is chosen.
        """
        for number in range(len(self.fake_backends)):
            await self.send_request("look", self.request("look", 90 + number))
        await self.wait_until(
            lambda: all(connections.idle for connections in self.proxy._backends._connections_by_backend.values())
        )
        self.proxy._events.counts.clear()

    def backends_reached_by(self, number: int | str = "") -> list[str]:
        """The backends that received the request with this number, in order."""
        return [line.split()[0] for line in self.lines if " gets " in line and f"id {number}" in line]

    async def wait_for_backend_close(self) -> None:
        """Waits until a backend sees its connection closed."""
        await self.wait_until(lambda: any("connection is closed" in line for line in self.lines))


class ClientsThatLeave(Crossing):
    async def test_an_end_that_is_in_the_kernel_alone_keeps_the_ticket_from_going_out(self) -> None:
        """The end was read in the iteration after the request, when the ticket had already been sent."""
        await self.open("a1")
        await self.open_idle_connections()
        for number, use_case in enumerate(USE_CASES, 1):
            client = self.connect_socket()
            client.sendall(self.request(use_case, number))
            client.shutdown(socket.SHUT_WR)
            self.assertEqual("503 end", await self.read_to_end(client), use_case)
            self.assertEqual([], self.backends_reached_by(number))
        self.assertEqual(3, self.proxy._events.counts["left"])
        # It does not count against the backend.
        self.assertEqual(0, self.proxy._facade._backends["a1"].failures)

    async def test_one_that_left_while_the_process_stood_still_is_not_sent_on(self) -> None:
        await self.open("a1")
        await self.open_idle_connections()
        clients = [self.connect_socket() for _ in USE_CASES]
        await self.wait_until(lambda: self.proxy._callers.open == len(clients))
        for number, (client, use_case) in enumerate(zip(clients, USE_CASES), 1):
            client.sendall(self.request(use_case, number))
            client.shutdown(socket.SHUT_WR)
        time.sleep(0.4)  # blocks the whole event loop
        self.assertEqual(["503 end"] * 3, [await self.read_to_end(client) for client in clients])
        self.assertEqual(
            [], [self.backends_reached_by(number) for number in (1, 2, 3) if self.backends_reached_by(number)]
        )
        self.assertEqual({"left": 3}, self.proxy._events.counts)

    async def test_one_that_left_between_two_attempts_goes_out_once(self) -> None:
        """The client's end and the outcome of the first attempt arrive in one loop iteration. Where cancelling is
        forbidden, the end was read too late.
        """
        await self.open("a1", "b1", settings=NO_CANCEL_SETTINGS)
        pending_leavers: list[socket.socket] = []
        for fake_backend in self.fake_backends.values():

            async def answer_and_leave(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: object = fake_backend.answer
            ) -> bool:
                keeps_open = await answer(reader, writer)
                if pending_leavers:
                    pending_leavers.pop().shutdown(socket.SHUT_WR)
                return keeps_open

            fake_backend.answer = answer_and_leave
        await self.open_idle_connections()
        for number, (use_case, status) in enumerate((("look", "503"), ("book", "502"), ("pay", "502")), 7):
            client = self.connect_socket()
            for fake_backend in self.fake_backends.values():
                fake_backend.behaviors = ["HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"]
            del self.lines[:]
            pending_leavers.append(client)
            client.sendall(self.request(use_case, number))
            self.assertEqual(f"{status} end", await self.read_to_end(client), use_case)
            self.assertEqual(1, len(self.backends_reached_by(number)), use_case)
            self.assertEqual([], pending_leavers)

    async def test_what_is_not_written_whole_goes_no_further(self) -> None:
        """Where cancelling is forbidden, the rest of the request was written as the backend made room, long after its
        client had left.
        """
        await self.open("a1", settings=NO_CANCEL_SETTINGS)
        slow_backend = socket.socket()
        self.addCleanup(slow_backend.close)
        slow_backend.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        slow_backend.bind(("127.0.0.1", 0))
        slow_backend.listen()
        slow_backend.setblocking(False)
        self.proxy._backends._connections_by_backend["a1"].address = slow_backend.getsockname()

        async def connect_with_small_buffer(address: tuple[str, int], peers: PeerConnections) -> StreamConnection:
            connection = await connect(address, peers)
            connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return connection

        with mock.patch("pepperusher.net.backends.connect", connect_with_small_buffer):
            for number, use_case in ((1, "book"), (2, "pay")):
                client = self.connect_socket()
                client.sendall(self.request(use_case, number, "x" * 60_000))
                accepted, _ = await asyncio.get_running_loop().sock_accept(slow_backend)
                accepted.setblocking(False)
                bytes_received = len(await asyncio.get_running_loop().sock_recv(accepted, 1))
                client.shutdown(socket.SHUT_WR)
                self.assertEqual("503 end", await self.read_to_end(client), use_case)
                with contextlib.suppress(ConnectionResetError):
                    while data := await asyncio.get_running_loop().sock_recv(accepted, 65536):
                        bytes_received += len(data)
                accepted.close()
                self.assertLess(bytes_received, 60_000, use_case)
        # The attempts were given up because the client left, not because of a timeout.
        self.assertEqual({"moot": 2, "left": 2}, self.proxy._events.counts)

    async def test_an_end_is_noticed_while_nothing_more_is_read(self) -> None:
        """With more data pending than is buffered, the loop paused reading and did not report the end: the attempt
        continued and kept its descriptor and time.
        """
        for way in ("resets", "ends"):
            with self.subTest(way):
                await self.open("a1")
                self.fake_backends["a1"].behaviors = ["silent"]
                client = self.connect_socket()
                client.sendall(self.request("look", 1, left=30_000))
                await self.wait_until(lambda: self.backends_reached_by(1))
                caller = next(iter(self.proxy._callers._callers))
                client.setblocking(False)
                while caller.connection.transport.is_reading():
                    with contextlib.suppress(BlockingIOError):
                        client.send(b"GET /look/ahead HTTP/1.1\r\n" + b"x" * 8000)
                    await asyncio.sleep(0)
                if way == "resets":
                    reset_on_close(client)
                client.close()
                await self.wait_for_backend_close()
                await self.wait_until(lambda: not self.proxy._facade.open_tickets and not self.proxy._callers.open)
                self.assertEqual({}, self.proxy._callers._disconnect_watcher._watched)
                self.assertEqual({"called off": 1, "left": 1}, self.proxy._events.counts)
                await self.asyncTearDown()

    @mock.patch("pepperusher.net.disconnect_watcher.MAX_READ_AHEAD_BYTES", 0)
    async def test_reading_that_goes_on_is_no_longer_watched(self) -> None:
        """This applies where no data may be read ahead any more; before that there is nothing to watch for."""
        await self.open("a1")
        self.fake_backends["a1"].behaviors = ["slow"]
        client = self.connect_socket()
        client.sendall(self.request("pay", 1))
        await self.wait_until(lambda: self.backends_reached_by(1))
        caller = next(iter(self.proxy._callers._callers))
        pipelined = b"".join(self.request("pay", number, "x" * 4000) for number in range(2, 22))
        sending = asyncio.get_running_loop().run_in_executor(None, client.sendall, pipelined)
        await self.wait_until(lambda: not caller.connection.transport.is_reading())
        self.assertEqual([caller.connection], list(self.proxy._callers._disconnect_watcher._watched.values()))
        await sending
        await self.wait_until(lambda: self.proxy._events.counts.get("done") == 21)
        self.assertEqual({}, self.proxy._callers._disconnect_watcher._watched)

    async def test_whoever_ends_its_sending_alone_is_told_what_became_of_it(self) -> None:
        """Ending the sending direction counts as leaving, but a client that ended only that direction still gets an
        answer.
        """
        for settings, behaviour, expected_answers in (
            (SETTINGS, "silent", ("503 end", "502 end", "502 end")),
            (NO_CANCEL_SETTINGS, "slow", ("200 end",) * 3),
        ):
            await self.open("a1", settings=settings)
            self.fake_backends["a1"].behaviors = [behaviour] * 3
            for number, (use_case, status) in enumerate(zip(USE_CASES, expected_answers), 1):
                client = self.connect_socket()
                client.sendall(self.request(use_case, number))
                await self.wait_until(lambda: self.backends_reached_by(number))
                client.shutdown(socket.SHUT_WR)
                self.assertEqual(status, await self.read_to_end(client), f"{use_case} at one that is {behaviour}")
            await self.asyncTearDown()

    async def test_an_end_read_with_the_request_leaves_it_its_answer(self) -> None:
        """Such a client got no answer, though it might still read; a readiness probe gets its answer too."""
        await self.open("a1")
        for request, expected in (
            (self.request("pay", 1), "503 end"),
            (b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n", "200 end"),
        ):
            client = self.connect_socket()

            async def read_head_and_end(parser: object, connection: StreamConnection, *args: object) -> object:
                head = await read_head(parser, connection, *args)
                client.shutdown(socket.SHUT_WR)
                await self.wait_until(lambda: connection.peer_ended)
                return head

            with mock.patch("pepperusher.net.callers.read_head", read_head_and_end):
                client.sendall(request)
                self.assertEqual(expected, await self.read_to_end(client))
        self.assertEqual([], self.backends_reached_by())


class WrongInstants(Crossing):
    async def run_before_first_byte(self, action: object) -> None:
        """Runs `action` when a connection to a backend has just been set up, before its first byte is written."""
        connect = self.proxy._backends._connect

        async def connect_and_run(*args: object) -> object:
            connected = await connect(*args)
            self.proxy._backends._connect = connect
            result = action()
            if asyncio.iscoroutine(result):
                await result
            return connected

        self.proxy._backends._connect = connect_and_run

    async def test_a_connection_that_ended_before_its_first_byte_carried_nothing(self) -> None:
        """The request was written all the same, so its ticket counted as one that may have run, and a single-use ticket
        was scrapped.
        """
        await self.open("a1", "b1")

        async def close_backend_side() -> None:
            fake_backend = next(
                fake_backend for fake_backend in self.fake_backends.values() if fake_backend.connections
            )
            fake_backend.writers[-1].get_extra_info("socket").shutdown(socket.SHUT_RDWR)

        for number, use_case in enumerate(USE_CASES, 1):
            for fake_backend in self.fake_backends.values():
                fake_backend.connections = 0
            for connections in self.proxy._backends._connections_by_backend.values():
                self.proxy._backends._close_idle(connections)
            await self.run_before_first_byte(close_backend_side)
            await self.send_request(use_case, self.request(use_case, number))
            self.assertIn("-> 200", self.lines[-1])
            self.assertEqual(1, len(self.backends_reached_by(number)), use_case)

    async def test_what_is_given_up_before_its_first_byte_is_bounced(self) -> None:
        """At a stop the last attempts are given up as timed out; a ticket whose connection had just been set up was
        scrapped.
        """
        await self.open("a1")
        for number, use_case in enumerate(USE_CASES, 1):
            for connections in self.proxy._backends._connections_by_backend.values():
                self.proxy._backends._close_idle(connections)
            await self.run_before_first_byte(
                lambda: (
                    self.proxy._backends.give_up_all("timed out", "in a test"),
                    setattr(self.proxy._facade._balancer, "_max_attempts", 1),
                )
            )
            await self.send_request(use_case, self.request(use_case, number))
            self.assertIn("-> 503 'bounced'", self.lines[-1])
        self.assertEqual([], self.backends_reached_by())

    async def test_a_client_that_leaves_as_the_connection_comes_up_tells_nothing_of_the_backend(self) -> None:
        """Where cancelling is forbidden, the attempt counted as an unreachable backend, and five of them opened its
        breaker.
        """
        await self.open("a1", settings=NO_CANCEL_SETTINGS)
        for number in range(6):
            client = self.connect_socket()
            await self.run_before_first_byte(lambda: client.shutdown(socket.SHUT_WR))
            client.sendall(self.request("look", number))
            self.assertEqual("503 end", await self.read_to_end(client))
            for connections in self.proxy._backends._connections_by_backend.values():
                self.proxy._backends._close_idle(connections)
        self.assertEqual([], self.backends_reached_by())
        self.assertEqual(["closed"], [one["state"] for one in self.proxy._facade.backends()])

    async def test_a_backend_that_moved_has_nothing_sent_where_it_was(self) -> None:
        """Another process may listen at the old address by now. A connection in use during the move was kept for the
        new address.
        """
        await self.open("a1", "z1")
        self.endpoint_update(2, {**self.line("z1"), "state": "draining"})
        await self.wait_until(lambda: "z1" not in self.proxy._backends._connections_by_backend)
        moved = {**self.line("a1"), "addr": self.line("z1")["addr"]}
        self.fake_backends["a1"].behaviors = ["slow"]
        client = await self.connect()
        client[1].write(self.request("look", 1))
        await self.wait_until(lambda: self.backends_reached_by(1))
        self.endpoint_update(3, moved)
        await self.wait_until(lambda: self.proxy._discovery.version == 3)
        self.assertIn("200", await self.read_response(client[0]))
        await self.send_request("look 2", self.request("look", 2))
        self.assertEqual(["z1"], self.backends_reached_by(2))
        # Moves it back while a connection is being set up.
        for connections in self.proxy._backends._connections_by_backend.values():
            self.proxy._backends._close_idle(connections)

        async def move_back() -> None:
            self.endpoint_update(4, self.line("a1"))
            await self.wait_until(lambda: self.proxy._discovery.version == 4)

        await self.run_before_first_byte(move_back)
        await self.send_request("pay 3", self.request("pay", 3))
        self.assertEqual(["a1"], self.backends_reached_by(3))

    async def test_a_head_that_comes_with_its_time_out_has_its_answer(self) -> None:
        """The timer's rechecks went on after the head had cancelled the timer, and cut off an answer on its way. The
        client waits longer than the attempt may take, so it gets its answer within its own time.
        """
        await self.open("a1")

        async def answer_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = await reader.readexactly(
                int(head.lower().split("content-length: ")[1].split("\r\n")[0])
                if "content-length" in head.lower()
                else 0
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
            time.sleep(0.35)  # blocks the whole event loop, so that the head and the timeout are ready in one iteration
            await asyncio.sleep(0.05)
            writer.write(b"cd" + body[:0])
            return True

        self.fake_backends["a1"].answer = answer_slowly
        for number, use_case in enumerate(USE_CASES, 1):
            self.proxy._facade._balancer._max_attempts = 1
            with mock.patch.object(self.proxy._facade._balancer, "_attempt_timeout", lambda ticket, now: 300_000):
                await self.send_request(use_case, self.request(use_case, number))
            self.assertIn("-> 200 'abcd'", self.lines[-1], use_case)

    async def receive_long_answer(self, action: Callable[[Exchange], None]) -> bytes:
        """Returns everything that a client receives of an answer of 200 kB. `action` runs in the loop iteration in
        which the head arrives, before the head is read; the body follows later.
        """
        await self.open("a1")
        exchanges: list[Exchange] = []
        original_run, original_data_received = Exchange.run, StreamConnection.data_received

        async def run_recorded(
            exchange: Exchange, request: Request, forwarder: ResponseForwarder | None
        ) -> tuple[str, Answer | None]:
            exchanges.append(exchange)
            return await original_run(exchange, request, forwarder)

        def data_received(connection: StreamConnection, data: bytes) -> None:
            original_data_received(connection, data)
            if data.startswith(b"HTTP/1.1 200"):
                action(exchanges[-1])

        async def send_long_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"content-length: " in head.lower():
                await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.write(b"a" * 200_000)
            return True

        self.fake_backends["a1"].answer = send_long_answer
        self.proxy._facade._balancer._max_attempts = 1
        client = self.connect_socket()
        with (
            mock.patch.object(Exchange, "run", run_recorded),
            mock.patch.object(StreamConnection, "data_received", data_received),
        ):
            client.sendall(self.request("look", 1))
            client.setblocking(False)
            received = b""
            async with asyncio.timeout(10):
                while not received.endswith(b"a" * 200_000) and b"bounced" not in received:
                    part = await asyncio.get_running_loop().sock_recv(client, 65536)
                    received += part
                    if not part:
                        break
        return received

    async def test_a_head_that_comes_before_the_last_look_is_no_time_out(self) -> None:
        """The timer's last recheck was done before the reader had run: a long answer was started and cut off."""
        received = await self.receive_long_answer(lambda exchange: exchange._timer_fired("timed out", 0))
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received[:40])
        self.assertTrue(received.endswith(b"a" * 200_000), len(received))

    async def test_a_backend_that_speaks_and_is_not_read_has_its_time_out_all_the_same(self) -> None:
        """The backend reads nothing of the request, so its data stays unread. The timer rechecked for ever, and nothing
        gave the attempt up.
        """
        await self.open("a1")
        given_up: list[str] = []
        connection = mock.Mock(unread_bytes=5)
        attempt = mock.Mock(give_up=lambda outcome, reason: given_up.append(outcome))
        exchange = Exchange(connection, mock.Mock(), mock.Mock(), attempt, 1_000, 0.1, mock.Mock())
        exchange._timer_fired("timed out", 2)
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(["timed out"], given_up)

    async def test_what_is_given_up_as_its_head_comes_is_not_begun(self) -> None:
        """This happens when the process ends: the client gets an error instead of a part of an answer."""
        received = await self.receive_long_answer(lambda exchange: exchange._attempt.give_up("timed out", "in a test"))
        self.assertTrue(received.startswith(b"HTTP/1.1 503"), received[:40])
        self.assertTrue(received.endswith(b"bounced\n"), received[-40:])

    async def test_a_second_answer_is_not_taken_for_that_to_the_next_ticket(self) -> None:
        """The second answer came some milliseconds after the first, and on a connection that was reused at once it was
        delivered to another client.
        """
        await self.open("a1")
        self.proxy._backends._settle_time = 60_000_000
        fake_backend, previous_answer = self.fake_backends["a1"], b""

        async def answer_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
            nonlocal previous_answer
            head = (await reader.readuntil(b"\r\n\r\n")).decode().replace("request-id", "Request-Id")
            text = head.split("Request-Id: ")[1].split("\r\n")[0].encode()
            new_answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)
            # Sends the second answer to the previous request as soon as the next request has arrived.
            writer.write(previous_answer if reader is answer_twice.reader else new_answer)
            answer_twice.reader, previous_answer = reader, new_answer
            return True

        answer_twice.reader = None
        fake_backend.answer = answer_twice
        for number in (11, 12, 13):
            await self.send_request(f"pay {number}", self.request("pay", number))
            self.assertIn(f"-> 200 '{number}'", self.lines[-1])
        self.assertEqual(3, fake_backend.connections)
        # A connection is reused once its settle time is over.
        self.proxy._backends._settle_time = 0
        fake_backend.__dict__.pop("answer")
        await self.send_request("pay 14", self.request("pay", 14))
        self.assertEqual(3, fake_backend.connections)

    @mock.patch("pepperusher.net.backends.MAX_SETTLE_TIME_US", 60_000_000)
    async def test_how_late_a_second_answer_comes_is_learned(self) -> None:
        await self.open("a1")
        await self.send_request("look 1", self.request("look", 1))
        connections = self.proxy._backends._connections_by_backend["a1"]
        await self.wait_until(lambda: connections.idle)
        connections.idle[0].idle_since -= 80_000
        self.fake_backends["a1"].writers[-1].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await self.wait_until(lambda: not connections.idle)
        self.assertGreaterEqual(self.proxy._backends._settle_time, 160_000)


class Stops(Crossing):
    async def test_a_connection_that_comes_as_the_last_one_ends_is_answered(self) -> None:
        """The connection was in the kernel's queue when the proxy found that no connections were left, and was reset
        with its ticket.
        """
        await self.open("a1")
        client = None

        def count_open(callers: Callers) -> int:
            nonlocal client
            remaining = len(callers._serving)
            if not remaining and client is None and self.proxy.stopping:
                client = self.connect_socket()
                client.sendall(self.request("pay", 1))
            return remaining

        with mock.patch.object(Callers, "open", property(count_open)):
            self.proxy.stop()
            await self.wait_until(lambda: client is not None)
            client.setblocking(False)
            received = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 65536), 10)
            self.assertEqual(b"200", received[9:12])
            self.assertFalse(self.serving.done())  # otherwise the loop would have ended with the ticket unanswered
            client.close()
            await asyncio.wait_for(self.serving, 10)

    async def test_nobody_is_let_in_while_companions_end(self) -> None:
        """A ticket accepted at that time got no answer, because the event loop ended."""
        await self.open("a1")
        results = []

        class SlowExtension(Extension):
            async def stop(extension) -> None:
                for _ in range(3):
                    try:
                        self.connect_socket()
                        results.append("let in")
                    except ConnectionRefusedError:
                        results.append("refused")
                    await asyncio.sleep(0)

        self.proxy._extensions = [*self.proxy._extensions, SlowExtension()]
        self.proxy.stop()
        await asyncio.wait_for(self.serving, 10)
        self.assertEqual(["refused"] * 3, results)

    async def test_what_crosses_the_last_answer_does_not_reset_it(self) -> None:
        """The request was unread at the close and turned it into a reset, in which the previous answer may be lost."""
        await self.open("a1")
        client = self.connect_socket()
        original = self.proxy._callers._closes_with_answer

        def send_and_close(*args: object) -> bool:
            closes_now = original(*args)
            if closes_now:
                client.sendall(self.request("look", 2))
            return closes_now

        self.proxy._callers._closes_with_answer = send_and_close
        self.proxy._callers.close_after_answers()
        client.sendall(self.request("look", 1))
        self.assertEqual("200 end", await self.read_to_end(client))

    async def test_one_that_is_new_at_the_end_has_time_for_its_first_words(self) -> None:
        """A connection was accepted and closed at once, so its request met a closed connection and got no answer."""
        await self.open("a1")
        client = self.connect_socket()
        await self.wait_until(lambda: self.proxy._callers._idle)
        self.proxy._callers.close_after_answers()
        self.proxy._callers.close_idle()
        client.sendall(self.request("look", 1))
        self.assertEqual("200 end", await self.read_to_end(client))
        silent = self.connect_socket()
        await self.wait_until(lambda: self.proxy._callers._idle)
        next(iter(self.proxy._callers._idle)).waiting_since -= 250_000
        self.proxy._callers.close_idle()
        self.assertEqual(" end", await self.read_to_end(silent))

    @mock.patch("pepperusher.net.proxy.MAX_GRACE_S", 1.6)
    async def test_whatever_stage_a_ticket_is_at_when_the_end_comes_it_has_its_answer(self) -> None:
        """The tickets are half read, complete in the kernel, in the accept queue, pipelined, or at a backend that never
        answers. The proxy gets two stops with a new configuration in between, and bad input besides.
        """
        long_use_case = {"name": "file", "promised-time": 9000.0, "outer-limit": 9000.0, "effect": "side_effect"}
        await self.open("a1", settings={**SETTINGS, "use-cases": [*SETTINGS["use-cases"], long_use_case]})
        await self.open_idle_connections()
        half_sent, in_kernel, bad_client, open_client = (
            self.connect_socket(),
            self.connect_socket(),
            self.connect_socket(),
            self.connect_socket(),
        )
        hanging = self.connect_socket()
        self.fake_backends["a1"].behaviors = ["silent"]
        hanging.sendall(self.request("file", 1, left=9000))
        await self.wait_until(lambda: self.backends_reached_by(1))
        request = self.request("book", 2, "x" * 300)
        half_sent.sendall(request[:-100])
        await self.wait_until(
            lambda: sum(bool(caller.connection.bytes_received) for caller in self.proxy._callers._callers) == 2
        )
        in_kernel.sendall(self.request("look", 3) + self.request("pay", 4))
        bad_client.sendall(b"no request\r\n\r\n")
        self.proxy.stop()
        queued_client = self.connect_socket()
        queued_client.sendall(self.request("pay", 5))
        self.proxy.reload_configuration()
        self.proxy.stop()
        half_sent.sendall(request[-100:])
        loop = asyncio.get_running_loop()
        for client in (half_sent, in_kernel, queued_client, bad_client, open_client):
            client.setblocking(False)

        async def read_statuses(client: socket.socket, count: int) -> list[str]:
            received = b""
            async with asyncio.timeout(10):
                while received.count(b"HTTP/1.1 ") < count or not received.endswith(
                    (b"\n", b"2", b"3", b"4", b"5", b"6")
                ):
                    received += await loop.sock_recv(client, 65536)
            return [answer[:3].decode() for answer in received.split(b"HTTP/1.1 ")[1:]]

        self.assertEqual(["200"], await read_statuses(half_sent, 1))
        self.assertEqual(["200", "200"], await read_statuses(in_kernel, 2))
        self.assertEqual(["200"], await read_statuses(queued_client, 1))
        self.assertEqual(["400"], await read_statuses(bad_client, 1))
        open_client.sendall(self.request("look", 6))  # an open connection is still served
        self.assertEqual(["200"], await read_statuses(open_client, 1))
        self.assertEqual("504 end", await self.read_to_end(hanging))
        for client in (half_sent, in_kernel, queued_client, open_client):
            self.assertEqual(" end", await self.read_to_end(client))
        await asyncio.wait_for(self.serving, 10)
        self.assertEqual([1] * 6, [len(self.backends_reached_by(number)) for number in range(1, 7)])

    async def test_an_outcome_and_its_client_s_end_in_one_turn_are_told_once(self) -> None:
        """Both orders are tested: otherwise the attempt would be counted twice, or would stay in flight for ever."""
        for behaviour in ("ok", "break", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"):
            await self.open("a1")
            fake_backend = self.fake_backends["a1"]
            pending_leavers: list[socket.socket] = []

            async def answer_and_leave(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: object = fake_backend.answer
            ) -> bool:
                keeps_open = await answer(reader, writer)
                pending_leavers.pop().shutdown(socket.SHUT_WR)
                return keeps_open

            fake_backend.answer = answer_and_leave
            for number, use_case in enumerate(USE_CASES):
                fake_backend.behaviors = [behaviour]
                client = self.connect_socket()
                pending_leavers.append(client)
                client.sendall(self.request(use_case, number))
                self.assertIn(await self.read_to_end(client), ("200 end", "502 end", "503 end"))
                self.assertEqual(1, len(self.backends_reached_by(number)))
            self.assertEqual(0, self.proxy._facade.open_tickets)
            self.assertEqual(0, self.proxy._facade._backends["a1"].in_flight)
            self.assertNotIn("exceptions", self.proxy._events.counts)
            await self.asyncTearDown()


class WholeProgram(unittest.IsolatedAsyncioTestCase):
    async def test_sigterm_with_tickets_out_and_more_that_come(self) -> None:
        """Starts and ends the program as the platform does. Tickets in flight at SIGTERM, requests on connections that
        stay open, and new connections are all answered; the process exits with 0.
        """
        may_answer, request_ids = asyncio.Event(), []

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                    request_ids.append(head.split("request-id: ")[1].split("\r\n")[0])
                    await may_answer.wait()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            writer.close()

        server = await asyncio.start_server(backend, "127.0.0.1", 0)
        port = free_port()
        bootstrap = configuration(
            listen=f"127.0.0.1:{port}",
            known={
                "version": 1,
                "full": True,
                "servers": [{"id": "a1", "addr": f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "state": "ready"}],
            },
        )
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(bootstrap, file)
            file.flush()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "pepperusher",
                "serve",
                "--config",
                file.name,
                stderr=asyncio.subprocess.PIPE,
            )
            log_lines: list[str] = []

            async def until(text: str) -> None:
                async with asyncio.timeout(20):
                    while not log_lines or text not in log_lines[-1]:
                        log_lines.append((await process.stderr.readline()).decode())

            def request(number: int, use: str) -> bytes:
                return ProxyTestCase.request(None, use, number, left=8000)

            async def ask(number: int, use: str, streams: object = None) -> object:
                reader, writer = streams or await asyncio.open_connection("127.0.0.1", port)
                writer.write(request(number, use))
                return reader, writer

            try:
                await until("serving at")
                pending = [await ask(number, use) for number, use in enumerate(USE_CASES)]
                open_streams = await asyncio.open_connection("127.0.0.1", port)
                open_streams[1].write(b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n")
                self.assertIn(b"200", await asyncio.wait_for(open_streams[0].readuntil(b"ready\n"), 10))
                async with asyncio.timeout(10):
                    while len(request_ids) < 3:
                        await asyncio.sleep(0.005)
                process.terminate()
                await until("stopping")
                pending += [await ask(3, "pay", open_streams), await ask(4, "pay")]
                async with asyncio.timeout(10):
                    while len(request_ids) < 5:
                        await asyncio.sleep(0.005)
                may_answer.set()
                for reader, writer in pending:
                    self.assertIn(b" 200 ", await asyncio.wait_for(reader.readuntil(b"\r\n\r\nok"), 10))
                    writer.close()
                self.assertEqual(0, await asyncio.wait_for(process.wait(), 10))
                log_lines.append((await process.stderr.read()).decode())
                self.assertNotIn("Traceback", "".join(log_lines))
                self.assertEqual(["0", "1", "2", "3", "4"], sorted(request_ids))
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                server.close()


class Watches(Crossing):
    beats = False

    @property
    def discovery_port(self) -> int:
        return int(json.loads(self.given)["discovery"].split(":")[1])

    def send_on_watch(self, text: bytes, watch: int = -1) -> None:
        """Sends text on a watch of discovery, by default the last one."""
        self.watches[watch].write(b"%x\r\n%s\r\n" % (len(text), text))

    def ready_backends(self) -> list[str]:
        """The backends that the proxy knows as ready."""
        return sorted(one["id"] for one in self.proxy._facade.backends() if one["ready"])

    async def test_a_silence_is_over_in_time_wherever_it_begins(self) -> None:
        """An update missed in a silence counts as told 6 s after the last data. A silence in the middle of a line was
        detected after 10 s only.
        """
        text = json.dumps({"version": 2, "full": False, "servers": []}).encode()
        for case, first_data, repeated_data in (
            ("after a line", b"\n", b""),
            ("in a line", text[:20], b""),
            ("in a line, with a drip behind it", b"{", b" "),
            ("in an object of lines", b"{\n", b""),
            ("in a list without end", b"[\n", b"1,\n"),
        ):
            with self.subTest(case):
                await self.open("a1")
                began = time.monotonic()
                self.send_on_watch(first_data)
                while len(self.watches) == 1:
                    if repeated_data:
                        self.send_on_watch(repeated_data)
                    await asyncio.sleep(0.05)
                    self.assertLess(time.monotonic() - began, 4.4)
                await self.asyncTearDown()

    async def test_a_watch_that_lives_makes_the_asking_begin_anew(self) -> None:
        """With no news to send, the retry delay kept doubling from one lost watch to the next, even if they were weeks
        apart.
        """
        await self.open("a1")
        for asked in range(2, 5):
            self.watches[-1].close()
            await self.wait_until(lambda: len(self.watches) == asked)
            await self.wait_until(lambda: not self.proxy._discovery._lost)
            self.assertEqual(0, self.proxy._facade._balancer._list_backoff)

    async def test_versions_that_begin_anew_want_the_whole_list(self) -> None:
        """A discovery that restarted without state numbers its changes anew: drains before the restart were never
        received.
        """
        await self.open("a1", "b1")
        self.send_on_watch(
            json.dumps({"version": 40, "full": False, "servers": [self.line("b1", "draining")]}).encode() + b"\n"
        )
        await self.wait_until(lambda: self.ready_backends() == ["a1"])
        self.watches[-1].close()
        await self.wait_until(lambda: len(self.watches) == 2)
        self.send_on_watch(json.dumps({"version": 3, "full": False, "servers": [self.line("b1")]}).encode() + b"\n")
        await self.wait_until(lambda: len(self.watches) == 3)
        asked = [line.split()[3] for line in self.lines if line.startswith("discovery gets")]
        self.assertEqual(
            ["/v1/endpoints?watch=1&after=1", "/v1/endpoints?watch=1&after=40", "/v1/endpoints?watch=1"], asked
        )
        self.assertEqual(["a1"], self.ready_backends())
        self.send_on_watch(json.dumps({"version": 4, "full": True, "servers": [self.line("b1")]}).encode() + b"\n")
        await self.wait_until(lambda: self.ready_backends() == ["b1"])
        self.watches[-1].close()
        await self.wait_until(lambda: len(self.watches) == 4)
        self.assertIn("after=4 ", [line for line in self.lines if line.startswith("discovery gets")][-1])

    async def test_a_list_may_stand_in_several_lines(self) -> None:
        await self.open("a1", "b1")
        text = json.dumps({"version": 2, "full": False, "servers": [self.line("b1", "draining")]}, indent=2).encode()
        for part in text.splitlines(keepends=True):
            self.send_on_watch(part)
            await asyncio.sleep(0)
        self.assertEqual(["a1", "b1"], self.ready_backends())
        self.send_on_watch(b"\n\n")
        await self.wait_until(lambda: self.ready_backends() == ["a1"])
        # A truncated line followed by an empty line: it can never be completed.
        self.send_on_watch(text[:40] + b"\n\n")
        await self.wait_until(lambda: len(self.watches) == 2)
        self.assertEqual(1, sum("watch ended: BadList a line" in line for line in self.logged))

    async def test_where_lists_are_pushed_a_lost_watch_is_asked_for_within_the_grace(self) -> None:
        """A change known nearby counts at once, but the first retry delays were as long as in `ask` mode, up to
        seconds.
        """
        await self.open("a1", settings=PUSHED_LIST_SETTINGS)
        balancer = self.proxy._facade._balancer
        for _ in range(4):
            self.proxy._facade.endpoint_request_failed(0)
            self.assertLessEqual(balancer._list_request_at, 125_000)

    async def test_where_lists_are_pushed_clients_come_after_the_first_word(self) -> None:
        """The list in a new process's start configuration may be out of date, and a change known nearby counts from the
        first moment.
        """
        may_speak, call_received = asyncio.Event(), asyncio.Event()
        watched = self.serve_watch

        async def watched_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            call_received.set()
            await may_speak.wait()
            await watched(reader, writer)
            self.send_on_watch(
                json.dumps({"version": 2, "full": False, "servers": [self.line("a1", "draining")]}).encode() + b"\n"
            )

        self.serve_watch = watched_late
        with mock.patch.dict(PUSHED_LIST_SETTINGS["rules"], {"stop-sending-within": 9000.0}):
            opening = asyncio.create_task(self.open("a1", "b1", settings=PUSHED_LIST_SETTINGS))
            await asyncio.wait_for(call_received.wait(), 10)
            self.assertEqual(0, self.proxy.port)
            may_speak.set()
            await opening
        await self.wait_until(lambda: self.ready_backends() == ["b1"])
        for number in range(2):
            await self.send_request("pay", self.request("pay", number))
            self.assertEqual(["b1"], self.backends_reached_by(number))

    async def test_after_a_silence_the_next_call_goes_out_at_once(self) -> None:
        """The proxy waited as after a failed call, and longer each time, although the wait is part of what is left of
        the 6 s.
        """
        with mock.patch("pepperusher.net.call_schedule.WATCH_SILENCE_TIMEOUT_S", 0.05):
            await self.open("a1")
            balancer = self.proxy._facade._balancer
            balancer._list_backoff = 4_000_000
            await self.wait_until(lambda: len(self.watches) == 3)
        self.assertLessEqual(balancer._list_backoff, 4_000_000)
        self.assertEqual(0, sum("endpoint list unavailable" in line for line in self.logged))

    async def test_a_call_without_a_word_keeps_its_place_and_others_go_out_beside_it(self) -> None:
        """A call given up too soon loses its place in discovery's queue and starts over at the end. After a reset the
        next call is sent late; at most four are open, and the oldest of those is given up for a fifth.
        """
        await self.open("a1", "b1")
        calls: list[asyncio.StreamWriter] = []
        call_times: set[float] = set()
        ended_calls: list[int] = []
        ended_at_arrival: list[int] = []  # how many calls had ended when each call arrived

        async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            number = len(calls)
            calls.append(writer)
            call_times.add(self.proxy._discovery._source.schedule.asked_at)
            ended_at_arrival.append(len(ended_calls))
            await reader.readuntil(b"\r\n\r\n")
            await reader.read()  # until the proxy closes it
            ended_calls.append(number)
            writer.close()

        with mock.patch.multiple("pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=0.3):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(never_answer, "127.0.0.1", self.discovery_port)
            self.watches[-1].close()
            await self.wait_until(lambda: len(ended_calls) >= 3)
        # No further calls are sent from here on, however long the rest takes.
        with mock.patch("pepperusher.net.call_schedule.FIRST_ANSWER_TIMEOUT_S", 1000.0):
            await self.wait_until(lambda: len(calls) - len(ended_calls) == 4)
            # Each call that ended was the oldest, none ended before there were five, and no two were sent close
            # together.
            self.assertEqual(list(range(len(calls) - 4)), ended_calls)
            self.assertEqual([], [gone for number, gone in enumerate(ended_at_arrival) if gone > max(0, number - 3)])
            times = sorted(call_times)
            self.assertGreater(min(b - a for a, b in zip(times, times[1:])), 0.25)
            oldest, call_count = len(ended_calls), len(calls)
            calls[oldest].write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(calls[oldest])
            servers = [self.line("b1", "draining")]
            self.send_on_watch(json.dumps({"version": 2, "full": False, "servers": servers}).encode() + b"\n")
            await self.wait_until(lambda: self.ready_backends() == ["a1"])
            self.assertIs(self.proxy._discovery._source.watch, self.proxy._discovery._source.calls[0])
            self.assertEqual(1, len(self.proxy._discovery._source.calls))
            # The other calls are closed, and this one stays.
            await self.wait_until(lambda: set(range(call_count)) - set(ended_calls) == {oldest})
            self.assertEqual(call_count, len(calls))
        server.close()

    async def test_beside_a_call_another_goes_out_soon_after_a_silence_late_after_a_refusal(self) -> None:
        """After a silence the call is most likely lost. A discovery that refuses calls or resets its watches has too
        many callers: each further call lengthens the queue, which caused a drain to be broken on a simulated day.
        """
        await self.open("a1")
        call_times: list[float] = []  # when the proxy sent each, since this server may notice it late

        async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            call_times.append(max(call.asked_at for call in self.proxy._discovery._source.calls))
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                if len(call_times) == 4:
                    writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                await reader.read()  # until the proxy closes it
            writer.close()

        with mock.patch.multiple(
            "pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=4.0, WATCH_SILENCE_TIMEOUT_S=0.5
        ):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(never_answer, "127.0.0.1", self.discovery_port)
            self.send_on_watch(b"\n")  # the last data, with silence from here on
            await self.wait_until(lambda: len(call_times) == 4)
            self.assertTrue(any("silent" in line for line in self.logged))
            self.assertLess(call_times[3] - call_times[0], 4.0)
            # The fourth call was refused, and the three before it keep their places.
            await self.wait_until(lambda: len(call_times) == 5)
            self.assertGreater(call_times[4] - call_times[3], 3.9)
            self.assertEqual(4, len(self.proxy._discovery._source.calls))
            self.assertEqual(0, self.proxy._facade._balancer._list_backoff)
        server.close()

    async def test_after_a_call_that_was_kept_and_refused_the_wait_is_as_long_as_ever(self) -> None:
        """An overloaded discovery answers 503 to calls that waited too long. The retry delay ran from when the call was
        sent, so it was mostly over by then: calls so frequent caused a drain to be broken on a simulated day.
        """
        await self.open("a1")
        balancer = self.proxy._facade._balancer
        call_times: list[float] = []
        refused_at: list[float] = []

        async def refuse_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            call_times.append(time.monotonic())
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.4)  # its turn has not come
            balancer._list_backoff = 4_000_000  # as in a long outage
            refused_at.append(time.monotonic())
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        with mock.patch.multiple(
            "pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=0.5, WATCH_SILENCE_TIMEOUT_S=0.5
        ):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(refuse_slowly, "127.0.0.1", self.discovery_port)
            self.watches[-1].close()
            await self.wait_until(lambda: len(refused_at) == 1)
            await self.wait_until(lambda: len(call_times) == 2)
        # The longest delay is 2.5 s, and half of it is random.
        self.assertGreaterEqual(call_times[1] - refused_at[0], 1.24)
        server.close()

    async def test_of_two_calls_that_speak_one_is_the_watch_and_the_newer_word_stands(self) -> None:
        """Both calls answer in the same loop iteration, or one after the other in either order. Both lists count as
        told once they are written, and applying the older one would undo a drain.
        """
        await self.open("a1", "b1")
        calls: list[asyncio.StreamWriter] = []
        ended_calls: list[asyncio.StreamWriter] = []

        async def answer_later(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            calls.append(writer)
            with contextlib.suppress(OSError):
                await reader.read()  # until the proxy closes it
            ended_calls.append(writer)

        def line(version: int, state: str) -> bytes:
            servers = [self.line("a1"), self.line("b1", state)]
            text = json.dumps({"version": version, "full": True, "servers": servers}).encode() + b"\n"
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(text), text)

        with mock.patch.multiple("pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=0.3):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(answer_later, "127.0.0.1", self.discovery_port)
            open_watch: asyncio.StreamWriter = self.watches[-1]
            source = self.proxy._discovery._source
            for older, order in ((8, "both"), (18, "the older"), (28, "the newer")):
                with self.subTest(order):
                    open_watch.close()
                    calls.clear()
                    await self.wait_until(lambda: len(calls) == 2)
                    answers = [(calls[0], older, "ready"), (calls[1], older + 1, "draining")]
                    for call_writer, version, state in reversed(answers) if order == "the newer" else answers:
                        call_writer.write(line(version, state))
                        if order != "both":
                            await self.wait_until(lambda: source.version >= older)
                    await self.wait_until(
                        lambda: sum(call in ended_calls for call in calls) == 1
                    )  # the other one is closed
                    self.assertEqual((older + 1, 1), (source.version, len(source.calls)))
                    self.assertIs(source.calls[0], source.watch)
                    self.assertEqual(["a1"], self.ready_backends())
                    open_watch = next(call for call in calls if call not in ended_calls)
        server.close()
