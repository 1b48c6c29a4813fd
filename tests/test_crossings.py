"""Where two events cross: each test makes them meet, by what it observes or by making both ready before the loop turns.

docs/crossings.md lists them with the reason for each outcome.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
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
from pepperusher.net.message import Answer, Request, read_head

from tests.scene import SETTINGS, ProxyTestCase, configuration

RESET = struct.pack("ii", 1, 0)
LIMITS = {**SETTINGS["policy-limits"]}
# Those who may not call work off: what is out stays out when its client leaves.
PATIENT = {**SETTINGS, "policy-limits": {**LIMITS, "cancel": False}}
PUSHED = {**SETTINGS, "discovery": "push", "rules": {**SETTINGS["rules"], "stop-sending-within": 250.0}}
KINDS = ("look", "book", "pay")


class Crossing(ProxyTestCase):
    def dial(self) -> socket.socket:
        """A client's connection outside the loop: what it does is with the kernel before the loop comes round."""
        made = socket.create_connection(("127.0.0.1", self.proxy.port), timeout=10)
        self.addCleanup(made.close)
        return made

    async def said(self, at: socket.socket) -> str:
        """All that a client hears till its connection ends, and how it ended."""
        heard, broke = await self.to_the_end(at)
        if isinstance(broke, ConnectionResetError):
            return f"{heard[9:12].decode()} reset"
        if broke is not None:
            raise broke
        return f"{heard[9:12].decode()} end"

    async def warm(self) -> None:
        """A connection kept at each backend: what goes out on one goes out in the turn in which it is decided."""
        for number in range(len(self.fake_backends)):
            await self.ask("look", self.request("look", 90 + number))
        await self.until(lambda: all(door.idle for door in self.proxy._backends._doors.values()))
        self.proxy._counts.clear()

    def got(self, number: int | str = "") -> list[str]:
        return [line.split()[0] for line in self.lines if " gets " in line and f"id {number}" in line]

    async def closed(self) -> None:
        await self.until(lambda: any("connection is closed" in line for line in self.lines))


class ClientsThatLeave(Crossing):
    async def test_an_end_that_is_in_the_kernel_alone_keeps_the_ticket_from_going_out(self) -> None:
        """Read behind the request, in the next turn of the loop, it was known when the ticket was out."""
        await self.open("a1")
        await self.warm()
        for number, use in enumerate(KINDS, 1):
            at = self.dial()
            at.sendall(self.request(use, number))
            at.shutdown(socket.SHUT_WR)
            self.assertEqual("503 end", await self.said(at), use)
            self.assertEqual([], self.got(number))
        self.assertEqual(3, self.proxy._counts["left"])
        # Nothing of it is held against the backend.
        self.assertEqual(0, self.proxy._facade._backends["a1"].failures)

    async def test_one_that_left_while_the_process_stood_still_is_not_sent_on(self) -> None:
        await self.open("a1")
        await self.warm()
        kept = [self.dial() for _ in KINDS]
        await self.until(lambda: self.proxy._callers.open == len(kept))
        for number, (at, use) in enumerate(zip(kept, KINDS), 1):
            at.sendall(self.request(use, number))
            at.shutdown(socket.SHUT_WR)
        time.sleep(0.4)  # the whole loop
        self.assertEqual(["503 end"] * 3, [await self.said(at) for at in kept])
        self.assertEqual([], [self.got(number) for number in (1, 2, 3) if self.got(number)])
        self.assertEqual({"left": 3}, self.proxy._counts)

    async def test_one_that_left_between_two_attempts_goes_out_once(self) -> None:
        """Its end and the outcome of the first come in one turn; where nothing is called off it was read later."""
        await self.open("a1", "b1", settings=PATIENT)
        leaver: list[socket.socket] = []
        for toy in self.fake_backends.values():

            async def leaves(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: object = toy.answer
            ) -> bool:
                goes_on = await answer(reader, writer)
                if leaver:
                    leaver.pop().shutdown(socket.SHUT_WR)
                return goes_on

            toy.answer = leaves
        await self.warm()
        for use, status in (("look", "503"), ("book", "502"), ("pay", "502")):
            at = self.dial()
            for toy in self.fake_backends.values():
                toy.does = ["HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"]
            del self.lines[:]
            leaver.append(at)
            at.sendall(self.request(use, 7))
            self.assertEqual(f"{status} end", await self.said(at), use)
            self.assertEqual(1, len(self.got(7)), use)
            self.assertEqual([], leaver)

    async def test_what_is_not_written_whole_goes_no_further(self) -> None:
        """Where nothing may be called off the rest went out as the backend made room, long after its client had left."""
        await self.open("a1", settings=PATIENT)
        slow = socket.socket()
        self.addCleanup(slow.close)
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        slow.bind(("127.0.0.1", 0))
        slow.listen()
        slow.setblocking(False)
        self.proxy._backends._doors["a1"].address = slow.getsockname()

        async def narrow(address: tuple[str, int]) -> StreamConnection:
            line = await connect(address)
            line.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return line

        with mock.patch("pepperusher.net.backends.connect", narrow):
            for number, use in ((1, "book"), (2, "pay")):
                at = self.dial()
                at.sendall(self.request(use, number, "x" * 60_000))
                taken, _ = await asyncio.get_running_loop().sock_accept(slow)
                taken.setblocking(False)
                came = len(await asyncio.get_running_loop().sock_recv(taken, 1))
                at.shutdown(socket.SHUT_WR)
                self.assertEqual("503 end", await self.said(at), use)
                with contextlib.suppress(ConnectionResetError):
                    while part := await asyncio.get_running_loop().sock_recv(taken, 65536):
                        came += len(part)
                taken.close()
                self.assertLess(came, 60_000, use)
        # Given up for the client's leaving, and not by its patience.
        self.assertEqual({"moot": 2, "left": 2}, self.proxy._counts)

    async def test_an_end_is_noticed_while_nothing_more_is_read(self) -> None:
        """With more sent ahead than is held, the loop reads no further and told of no end: what was out stayed out, and
        descriptors and time with it."""
        for how in ("resets", "ends"):
            with self.subTest(how):
                await self.open("a1")
                self.fake_backends["a1"].does = ["silent"]
                at = self.dial()
                at.sendall(self.request("look", 1, left=30_000))
                await self.until(lambda: self.got(1))
                caller = next(iter(self.proxy._callers._callers))
                at.setblocking(False)
                while caller.line.transport.is_reading():
                    with contextlib.suppress(BlockingIOError):
                        at.send(b"GET /look/ahead HTTP/1.1\r\n" + b"x" * 8000)
                    await asyncio.sleep(0)
                if how == "resets":
                    at.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                at.close()
                await self.closed()
                await self.until(lambda: not self.proxy._facade.open_tickets and not self.proxy._callers.open)
                self.assertEqual({}, self.proxy._callers._disconnect_watcher._watched)
                self.assertEqual({"called off": 1, "left": 1}, self.proxy._counts)
                await self.asyncTearDown()

    @mock.patch("pepperusher.net.disconnect_watcher.EACH", 0)
    async def test_reading_that_goes_on_is_no_longer_watched(self) -> None:
        """Where nothing more may be read ahead: until then there is nothing to watch for."""
        await self.open("a1")
        self.fake_backends["a1"].does = ["slow"]
        at = self.dial()
        at.sendall(self.request("pay", 1))
        await self.until(lambda: self.got(1))
        caller = next(iter(self.proxy._callers._callers))
        ahead = b"".join(self.request("pay", number, "x" * 4000) for number in range(2, 22))
        sending = asyncio.get_running_loop().run_in_executor(None, at.sendall, ahead)
        await self.until(lambda: not caller.line.transport.is_reading())
        self.assertEqual([caller.line], list(self.proxy._callers._disconnect_watcher._watched.values()))
        await sending
        await self.until(lambda: self.proxy._counts.get("done") == 21)
        self.assertEqual({}, self.proxy._callers._disconnect_watcher._watched)

    async def test_whoever_ends_its_sending_alone_is_told_what_became_of_it(self) -> None:
        """An end of sending counts as leaving, and where only that ended the client still hears its answer."""
        for settings, does, expected in (
            (SETTINGS, "silent", ("503 end", "502 end", "502 end")),
            (PATIENT, "slow", ("200 end",) * 3),
        ):
            await self.open("a1", settings=settings)
            self.fake_backends["a1"].does = [does] * 3
            for number, (use, status) in enumerate(zip(KINDS, expected), 1):
                at = self.dial()
                at.sendall(self.request(use, number))
                await self.until(lambda: self.got(number))
                at.shutdown(socket.SHUT_WR)
                self.assertEqual(status, await self.said(at), f"{use} at one that is {does}")
            await self.asyncTearDown()

    async def test_an_end_read_with_the_request_leaves_it_its_answer(self) -> None:
        """Nothing was said to it, though its client might have read on; and whoever asks how the proxy is hears that."""
        await self.open("a1")
        for sent, expected in (
            (self.request("pay", 1), "503 end"),
            (b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n", "200 end"),
        ):
            at = self.dial()

            async def ends_behind(parser: object, line: StreamConnection, *more: object) -> object:
                head = await read_head(parser, line, *more)
                at.shutdown(socket.SHUT_WR)
                await self.until(lambda: line.ended)
                return head

            with mock.patch("pepperusher.net.callers.read_head", ends_behind):
                at.sendall(sent)
                self.assertEqual(expected, await self.said(at))
        self.assertEqual([], self.got())


class WrongInstants(Crossing):
    async def met(self, does: object) -> None:
        """`does` happens when a connection to a backend has just come up, before its first byte."""
        connect = self.proxy._backends._connect

        async def meets(*given: object) -> object:
            made = await connect(*given)
            self.proxy._backends._connect = connect
            done = does()
            if asyncio.iscoroutine(done):
                await done
            return made

        self.proxy._backends._connect = meets

    async def test_a_connection_that_ended_before_its_first_byte_carried_nothing(self) -> None:
        """Written to all the same, its ticket counted as one that may have run: a single-use one was scrapped."""
        await self.open("a1", "b1")

        async def ends() -> None:
            toy = next(toy for toy in self.fake_backends.values() if toy.connections)
            toy.writers[-1].get_extra_info("socket").shutdown(socket.SHUT_RDWR)

        for number, use in enumerate(KINDS, 1):
            for toy in self.fake_backends.values():
                toy.connections = 0
            for door in self.proxy._backends._doors.values():
                self.proxy._backends._close_idle(door)
            await self.met(ends)
            await self.ask(use, self.request(use, number))
            self.assertIn("-> 200", self.lines[-1])
            self.assertEqual(1, len(self.got(number)), use)

    async def test_what_is_given_up_before_its_first_byte_is_bounced(self) -> None:
        """At a stop, the last are given up as timed out; one whose connection had just come up was scrapped for it."""
        await self.open("a1")
        for number, use in enumerate(KINDS, 1):
            for door in self.proxy._backends._doors.values():
                self.proxy._backends._close_idle(door)
            await self.met(
                lambda: (
                    self.proxy._backends.give_up_all("timed out"),
                    setattr(self.proxy._facade._balancer, "_most", 1),
                )
            )
            await self.ask(use, self.request(use, number))
            self.assertIn("-> 503 'bounced'", self.lines[-1])
        self.assertEqual([], self.got())

    async def test_a_client_that_leaves_as_the_connection_comes_up_tells_nothing_of_the_backend(self) -> None:
        """Where nothing may be called off it counted as a backend out of reach, and five of them opened its breaker."""
        await self.open("a1", settings=PATIENT)
        for number in range(6):
            at = self.dial()
            await self.met(lambda: at.shutdown(socket.SHUT_WR))
            at.sendall(self.request("look", number))
            self.assertEqual("503 end", await self.said(at))
            for door in self.proxy._backends._doors.values():
                self.proxy._backends._close_idle(door)
        self.assertEqual([], self.got())
        self.assertEqual(["closed"], [one["state"] for one in self.proxy._facade.backends()])

    async def test_a_backend_that_moved_has_nothing_sent_where_it_was(self) -> None:
        """Another may stand there by now. A connection in use meanwhile came back to those kept for the new address."""
        await self.open("a1", "z1")
        self.endpoint_update(2, {**self.line("z1"), "state": "draining"})
        await self.until(lambda: "z1" not in self.proxy._backends._doors)
        moved = {**self.line("a1"), "addr": self.line("z1")["addr"]}
        self.fake_backends["a1"].does = ["slow"]
        at = await self.connect()
        at[1].write(self.request("look", 1))
        await self.until(lambda: self.got(1))
        self.endpoint_update(3, moved)
        await self.until(lambda: self.proxy._discovery.version == 3)
        self.assertIn("200", await self.hear(at[0]))
        await self.ask("look 2", self.request("look", 2))
        self.assertEqual(["z1"], self.got(2))
        # And back, while a connection comes up.
        for door in self.proxy._backends._doors.values():
            self.proxy._backends._close_idle(door)

        async def moves() -> None:
            self.endpoint_update(4, self.line("a1"))
            await self.until(lambda: self.proxy._discovery.version == 4)

        await self.met(moves)
        await self.ask("pay 3", self.request("pay", 3))
        self.assertEqual(["a1"], self.got(3))

    async def test_a_head_that_comes_with_its_time_out_has_its_answer(self) -> None:
        """The timer's last looks went on after the head had called it off, and cut off an answer that was on its way. Its
        client waits longer than the attempt may take: at the end of its own time it has its answer."""
        await self.open("a1")

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = await reader.readexactly(
                int(head.lower().split("content-length: ")[1].split("\r\n")[0])
                if "content-length" in head.lower()
                else 0
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
            time.sleep(0.35)  # the whole loop: the head and the time-out are ready in one turn
            await asyncio.sleep(0.05)
            writer.write(b"cd" + body[:0])
            return True

        self.fake_backends["a1"].answer = late
        for number, use in enumerate(KINDS, 1):
            self.proxy._facade._balancer._most = 1
            with mock.patch.object(self.proxy._facade._balancer, "_patience", lambda ticket, now: 300_000):
                await self.ask(use, self.request(use, number))
            self.assertIn("-> 200 'abcd'", self.lines[-1], use)

    async def long_answer(self, then: Callable[[Exchange], None]) -> bytes:
        """All that a client hears of an answer of 200 kB; `then` is done in the turn in which its head comes, before that is
        read, and the rest follows later."""
        await self.open("a1")
        out: list[Exchange] = []
        run, came = Exchange.run, StreamConnection.data_received

        async def kept(
            exchange: Exchange, request: Request, onward: ResponseForwarder | None
        ) -> tuple[str, Answer | None]:
            out.append(exchange)
            return await run(exchange, request, onward)

        def received(line: StreamConnection, data: bytes) -> None:
            came(line, data)
            if data.startswith(b"HTTP/1.1 200"):
                then(out[-1])

        async def long(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"content-length: " in head.lower():
                await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.write(b"a" * 200_000)
            return True

        self.fake_backends["a1"].answer = long
        self.proxy._facade._balancer._most = 1
        at = self.dial()
        with mock.patch.object(Exchange, "run", kept), mock.patch.object(StreamConnection, "data_received", received):
            at.sendall(self.request("look", 1))
            at.setblocking(False)
            heard = b""
            async with asyncio.timeout(10):
                while not heard.endswith(b"a" * 200_000) and b"bounced" not in heard:
                    part = await asyncio.get_running_loop().sock_recv(at, 65536)
                    heard += part
                    if not part:
                        break
        return heard

    async def test_a_head_that_comes_before_the_last_look_is_no_time_out(self) -> None:
        """The looks after the timer were over, and its reader had not had its turn: a long answer was begun and cut off."""
        heard = await self.long_answer(lambda exchange: exchange._late("timed out", 0))
        self.assertTrue(heard.startswith(b"HTTP/1.1 200"), heard[:40])
        self.assertTrue(heard.endswith(b"a" * 200_000), len(heard))

    async def test_a_backend_that_speaks_and_is_not_read_has_its_time_out_all_the_same(self) -> None:
        """It takes nothing of the request, so that its words stay unread: looked at again for ever, nobody gave it up."""
        await self.open("a1")
        given_up: list[str] = []
        line = mock.Mock(unread=5)
        out = mock.Mock(give_up=given_up.append)
        exchange = Exchange(line, mock.Mock(), mock.Mock(), out, 1_000, 0.1, mock.Mock())
        exchange._late("timed out", 2)
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(["timed out"], given_up)

    async def test_what_is_given_up_as_its_head_comes_is_not_begun(self) -> None:
        """As at the end of a process: its client hears that it failed, and not a part of an answer."""
        heard = await self.long_answer(lambda exchange: exchange._out.give_up("timed out"))
        self.assertTrue(heard.startswith(b"HTTP/1.1 503"), heard[:40])
        self.assertTrue(heard.endswith(b"bounced\n"), heard[-40:])

    async def test_a_second_answer_is_not_taken_for_that_to_the_next_ticket(self) -> None:
        """It came some milliseconds after the first, and on a connection used again at once it was handed to another."""
        await self.open("a1")
        self.proxy._backends._settles = 60_000_000
        toy, twice = self.fake_backends["a1"], b""

        async def again(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
            nonlocal twice
            head = (await reader.readuntil(b"\r\n\r\n")).decode().replace("request-id", "Request-Id")
            text = head.split("Request-Id: ")[1].split("\r\n")[0].encode()
            made = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)
            # The second answer to the one before, as soon as the next request has come.
            writer.write(twice if reader is again.reader else made)
            again.reader, twice = reader, made
            return True

        again.reader = None
        toy.answer = again
        for number in (11, 12, 13):
            await self.ask(f"pay {number}", self.request("pay", number))
            self.assertIn(f"-> 200 '{number}'", self.lines[-1])
        self.assertEqual(3, toy.connections)
        # One that has settled is used again.
        self.proxy._backends._settles = 0
        toy.__dict__.pop("answer")
        await self.ask("pay 14", self.request("pay", 14))
        self.assertEqual(3, toy.connections)

    @mock.patch("pepperusher.net.backends.SETTLES_MOST", 60_000_000)
    async def test_how_late_a_second_answer_comes_is_learned(self) -> None:
        await self.open("a1")
        await self.ask("look 1", self.request("look", 1))
        door = self.proxy._backends._doors["a1"]
        await self.until(lambda: door.idle)
        door.idle[0].idle_since -= 80_000
        self.fake_backends["a1"].writers[-1].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await self.until(lambda: not door.idle)
        self.assertGreaterEqual(self.proxy._backends._settles, 160_000)


class Stops(Crossing):
    async def test_a_connection_that_comes_as_the_last_one_ends_is_answered(self) -> None:
        """It stood in the kernel's queue when the proxy saw that nobody was left, and was reset with its ticket."""
        await self.open("a1")
        at = None

        def none_left(callers: Callers) -> int:
            nonlocal at
            left = len(callers._serving)
            if not left and at is None and self.proxy.stopping:
                at = self.dial()
                at.sendall(self.request("pay", 1))
            return left

        with mock.patch.object(Callers, "open", property(none_left)):
            self.proxy.stop()
            await self.until(lambda: at is not None)
            at.setblocking(False)
            heard = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(at, 65536), 10)
            self.assertEqual(b"200", heard[9:12])
            self.assertFalse(self.serving.done())  # its loop would have ended under the ticket
            at.close()
            await asyncio.wait_for(self.serving, 10)

    async def test_nobody_is_let_in_while_companions_end(self) -> None:
        """A ticket let in then had no answer: the loop ended under it."""
        await self.open("a1")
        tried = []

        class Slow(Extension):
            async def stop(one) -> None:
                for _ in range(3):
                    try:
                        self.dial()
                        tried.append("let in")
                    except ConnectionRefusedError:
                        tried.append("refused")
                    await asyncio.sleep(0)

        self.proxy._extensions = [*self.proxy._extensions, Slow()]
        self.proxy.stop()
        await asyncio.wait_for(self.serving, 10)
        self.assertEqual(["refused"] * 3, tried)

    async def test_what_crosses_the_last_answer_does_not_reset_it(self) -> None:
        """Unread at the close, it turned the close into a reset, in which the answer before may be lost."""
        await self.open("a1")
        at = self.dial()
        closes = self.proxy._callers._closes

        def crosses(*given: object) -> bool:
            made = closes(*given)
            if made:
                at.sendall(self.request("look", 2))
            return made

        self.proxy._callers._closes = crosses
        self.proxy._callers.close_after_answers()
        at.sendall(self.request("look", 1))
        self.assertEqual("200 end", await self.said(at))

    async def test_one_that_is_new_at_the_end_has_time_for_its_first_words(self) -> None:
        """Let in and closed at once, its request met a closed connection and no answer."""
        await self.open("a1")
        at = self.dial()
        await self.until(lambda: self.proxy._callers._idle)
        self.proxy._callers.close_after_answers()
        self.proxy._callers.close_idle()
        at.sendall(self.request("look", 1))
        self.assertEqual("200 end", await self.said(at))
        shy = self.dial()
        await self.until(lambda: self.proxy._callers._idle)
        next(iter(self.proxy._callers._idle)).waiting_since -= 250_000
        self.proxy._callers.close_idle()
        self.assertEqual(" end", await self.said(shy))

    @mock.patch("pepperusher.net.proxy.MAX_GRACE_S", 1.6)
    async def test_whatever_stage_a_ticket_is_at_when_the_end_comes_it_has_its_answer(self) -> None:
        """Half read, whole in the kernel, in the accept queue, one behind another, out at one that hangs; told to end twice, with a
        new configuration in between, and with bad input beside it."""
        long = {"name": "file", "promised-time": 9000.0, "outer-limit": 9000.0, "effect": "side_effect"}
        await self.open("a1", settings={**SETTINGS, "use-cases": [*SETTINGS["use-cases"], long]})
        await self.warm()
        half, kernel, bad, kept = self.dial(), self.dial(), self.dial(), self.dial()
        hangs = self.dial()
        self.fake_backends["a1"].does = ["silent"]
        hangs.sendall(self.request("file", 1, left=9000))
        await self.until(lambda: self.got(1))
        sent = self.request("book", 2, "x" * 300)
        half.sendall(sent[:-100])
        await self.until(lambda: sum(bool(one.line.bytes_received) for one in self.proxy._callers._callers) == 2)
        kernel.sendall(self.request("look", 3) + self.request("pay", 4))
        bad.sendall(b"no request\r\n\r\n")
        self.proxy.stop()
        queued = self.dial()
        queued.sendall(self.request("pay", 5))
        self.proxy.reload_configuration()
        self.proxy.stop()
        half.sendall(sent[-100:])
        loop = asyncio.get_running_loop()
        for at in (half, kernel, queued, bad, kept):
            at.setblocking(False)

        async def answers(at: socket.socket, count: int) -> list[str]:
            heard = b""
            async with asyncio.timeout(10):
                while heard.count(b"HTTP/1.1 ") < count or not heard.endswith((b"\n", b"2", b"3", b"4", b"5", b"6")):
                    heard += await loop.sock_recv(at, 65536)
            return [part[:3].decode() for part in heard.split(b"HTTP/1.1 ")[1:]]

        self.assertEqual(["200"], await answers(half, 1))
        self.assertEqual(["200", "200"], await answers(kernel, 2))
        self.assertEqual(["200"], await answers(queued, 1))
        self.assertEqual(["400"], await answers(bad, 1))
        kept.sendall(self.request("look", 6))  # one that stays open is served on
        self.assertEqual(["200"], await answers(kept, 1))
        self.assertEqual("504 end", await self.said(hangs))
        for at in (half, kernel, queued, kept):
            self.assertEqual(" end", await self.said(at))
        await asyncio.wait_for(self.serving, 10)
        self.assertEqual([1] * 6, [len(self.got(number)) for number in range(1, 7)])

    async def test_an_outcome_and_its_client_s_end_in_one_turn_are_told_once(self) -> None:
        """Each order; the attempt would be counted twice, or never come off those in flight."""
        for does in ("ok", "break", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"):
            await self.open("a1")
            toy = self.fake_backends["a1"]
            leaver: list[socket.socket] = []

            async def leaves(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: object = toy.answer
            ) -> bool:
                goes_on = await answer(reader, writer)
                leaver.pop().shutdown(socket.SHUT_WR)
                return goes_on

            toy.answer = leaves
            for number, use in enumerate(KINDS):
                toy.does = [does]
                at = self.dial()
                leaver.append(at)
                at.sendall(self.request(use, number))
                self.assertIn(await self.said(at), ("200 end", "502 end", "503 end"))
                self.assertEqual(1, len(self.got(number)))
            self.assertEqual(0, self.proxy._facade.open_tickets)
            self.assertEqual(0, self.proxy._facade._backends["a1"].in_flight)
            self.assertNotIn("exceptions", self.proxy._counts)
            await self.asyncTearDown()


class WholeProgram(unittest.IsolatedAsyncioTestCase):
    async def test_sigterm_with_tickets_out_and_more_that_come(self) -> None:
        """As the platform starts and ends it. What is out at SIGTERM, what comes on a connection that stays open, and what
        connects then, are all answered; it ends by itself and with 0."""
        held, asked = asyncio.Event(), []

        async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                    asked.append(head.split("request-id: ")[1].split("\r\n")[0])
                    await held.wait()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            writer.close()

        server = await asyncio.start_server(backend, "127.0.0.1", 0)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        told = configuration(
            listen=f"127.0.0.1:{port}",
            known={
                "version": 1,
                "full": True,
                "servers": [{"id": "a1", "addr": f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "state": "ready"}],
            },
        )
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(told, file)
            file.flush()
            served = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "pepperusher",
                "serve",
                "--config",
                file.name,
                stderr=asyncio.subprocess.PIPE,
            )
            said: list[str] = []

            async def until(word: str) -> None:
                async with asyncio.timeout(20):
                    while not said or word not in said[-1]:
                        said.append((await served.stderr.readline()).decode())

            def request(number: int, use: str) -> bytes:
                return ProxyTestCase.request(None, use, number, left=8000)

            async def ask(number: int, use: str, at: object = None) -> object:
                reader, writer = at or await asyncio.open_connection("127.0.0.1", port)
                writer.write(request(number, use))
                return reader, writer

            try:
                await until("serving at")
                out = [await ask(number, use) for number, use in enumerate(KINDS)]
                kept = await asyncio.open_connection("127.0.0.1", port)
                kept[1].write(b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n")
                self.assertIn(b"200", await asyncio.wait_for(kept[0].readuntil(b"ready\n"), 10))
                async with asyncio.timeout(10):
                    while len(asked) < 3:
                        await asyncio.sleep(0.005)
                served.terminate()
                await until("stopping")
                out += [await ask(3, "pay", kept), await ask(4, "pay")]
                async with asyncio.timeout(10):
                    while len(asked) < 5:
                        await asyncio.sleep(0.005)
                held.set()
                for reader, writer in out:
                    self.assertIn(b" 200 ", await asyncio.wait_for(reader.readuntil(b"\r\n\r\nok"), 10))
                    writer.close()
                self.assertEqual(0, await asyncio.wait_for(served.wait(), 10))
                said.append((await served.stderr.read()).decode())
                self.assertNotIn("Traceback", "".join(said))
                self.assertEqual(["0", "1", "2", "3", "4"], sorted(asked))
            finally:
                if served.returncode is None:
                    served.kill()
                    await served.wait()
                server.close()


class Watches(Crossing):
    beats = False

    @property
    def discovery_port(self) -> int:
        return int(json.loads(self.given)["discovery"].split(":")[1])

    def tell(self, text: bytes, watch: int = -1) -> None:
        self.watches[watch].write(b"%x\r\n%s\r\n" % (len(text), text))

    def ready(self) -> list[str]:
        return sorted(one["id"] for one in self.proxy._facade.backends() if one["ready"])

    async def test_a_silence_is_over_in_time_wherever_it_begins(self) -> None:
        """What is missed counts as told 6 s after the last word. In the middle of a line 10 s were waited for."""
        text = json.dumps({"version": 2, "full": False, "servers": []}).encode()
        for what, before, drips in (
            ("after a line", b"\n", b""),
            ("in a line", text[:20], b""),
            ("in a line, with a drip behind it", b"{", b" "),
            ("in an object of lines", b"{\n", b""),
            ("in a list without end", b"[\n", b"1,\n"),
        ):
            with self.subTest(what):
                await self.open("a1")
                began = time.monotonic()
                self.tell(before)
                while len(self.watches) == 1:
                    if drips:
                        self.tell(drips)
                    await asyncio.sleep(0.05)
                    self.assertLess(time.monotonic() - began, 4.4)
                await self.asyncTearDown()

    async def test_a_watch_that_lives_makes_the_asking_begin_anew(self) -> None:
        """With nothing new to tell, the wait went on doubling from one lost watch to the next, weeks apart as well."""
        await self.open("a1")
        for asked in range(2, 5):
            self.watches[-1].close()
            await self.until(lambda: len(self.watches) == asked)
            await self.until(lambda: not self.proxy._discovery._lost)
            self.assertEqual(0, self.proxy._facade._balancer._ask_step)

    async def test_versions_that_begin_anew_want_the_whole_list(self) -> None:
        """A discovery back from nothing tells changes after a version of its own: drains before it were never heard of."""
        await self.open("a1", "b1")
        self.tell(json.dumps({"version": 40, "full": False, "servers": [self.line("b1", "draining")]}).encode() + b"\n")
        await self.until(lambda: self.ready() == ["a1"])
        self.watches[-1].close()
        await self.until(lambda: len(self.watches) == 2)
        self.tell(json.dumps({"version": 3, "full": False, "servers": [self.line("b1")]}).encode() + b"\n")
        await self.until(lambda: len(self.watches) == 3)
        asked = [line.split()[3] for line in self.lines if line.startswith("discovery gets")]
        self.assertEqual(
            ["/v1/endpoints?watch=1&after=1", "/v1/endpoints?watch=1&after=40", "/v1/endpoints?watch=1"], asked
        )
        self.assertEqual(["a1"], self.ready())
        self.tell(json.dumps({"version": 4, "full": True, "servers": [self.line("b1")]}).encode() + b"\n")
        await self.until(lambda: self.ready() == ["b1"])
        self.watches[-1].close()
        await self.until(lambda: len(self.watches) == 4)
        self.assertIn("after=4 ", [line for line in self.lines if line.startswith("discovery gets")][-1])

    async def test_a_list_may_stand_in_several_lines(self) -> None:
        await self.open("a1", "b1")
        text = json.dumps({"version": 2, "full": False, "servers": [self.line("b1", "draining")]}, indent=2).encode()
        for part in text.splitlines(keepends=True):
            self.tell(part)
            await asyncio.sleep(0)
        self.assertEqual(["a1", "b1"], self.ready())
        self.tell(b"\n\n")
        await self.until(lambda: self.ready() == ["a1"])
        # Cut short, and a sign of life behind it: that line is never whole.
        self.tell(text[:40] + b"\n\n")
        await self.until(lambda: len(self.watches) == 2)
        self.assertEqual(1, sum("watch ended: BadList a line" in line for line in self.logged))

    async def test_where_lists_are_pushed_a_lost_watch_is_asked_for_within_the_grace(self) -> None:
        """What is known nearby binds at once: the first waits were as long as where it is asked for, up to seconds."""
        await self.open("a1", settings=PUSHED)
        balancer = self.proxy._facade._balancer
        for _ in range(4):
            self.proxy._facade.endpoint_request_failed(0)
            self.assertLessEqual(balancer._ask_at, 125_000)

    async def test_where_lists_are_pushed_clients_come_after_the_first_word(self) -> None:
        """The list that a new process was told may be old, and what is known nearby binds from its first moment."""
        may_speak, asked = asyncio.Event(), asyncio.Event()
        watched = self.watched

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.set()
            await may_speak.wait()
            await watched(reader, writer)
            self.tell(
                json.dumps({"version": 2, "full": False, "servers": [self.line("a1", "draining")]}).encode() + b"\n"
            )

        self.watched = late
        with mock.patch.dict(PUSHED["rules"], {"stop-sending-within": 9000.0}):
            opening = asyncio.create_task(self.open("a1", "b1", settings=PUSHED))
            await asyncio.wait_for(asked.wait(), 10)
            self.assertEqual(0, self.proxy.port)
            may_speak.set()
            await opening
        await self.until(lambda: self.ready() == ["b1"])
        for number in range(2):
            await self.ask("pay", self.request("pay", number))
            self.assertEqual(["b1"], self.got(number))

    async def test_after_a_silence_the_next_call_goes_out_at_once(self) -> None:
        """It waited as after a call that failed, and longer after each: the wait is part of what is left of 6 s."""
        with mock.patch("pepperusher.net.call_schedule.WATCH_SILENCE_TIMEOUT_S", 0.05):
            await self.open("a1")
            balancer = self.proxy._facade._balancer
            balancer._ask_step = 4_000_000
            await self.until(lambda: len(self.watches) == 3)
        self.assertLessEqual(balancer._ask_step, 4_000_000)
        self.assertEqual(0, sum("endpoint list unavailable" in line for line in self.logged))

    async def test_a_call_without_a_word_keeps_its_place_and_others_go_out_beside_it(self) -> None:
        """Left too soon, a call that only waits in discovery's queue begins anew at its end for good. After a
        reset the next goes out late; four stand at the most, and of those the oldest goes."""
        await self.open("a1", "b1")
        calls: list[asyncio.StreamWriter] = []
        came: set[float] = set()
        ended: list[int] = []
        gone_by: list[int] = []  # how many had ended when each came

        async def mute(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            number = len(calls)
            calls.append(writer)
            came.add(self.proxy._discovery._source.schedule.asked_at)
            gone_by.append(len(ended))
            await reader.readuntil(b"\r\n\r\n")
            await reader.read()  # till it is left
            ended.append(number)
            writer.close()

        with mock.patch.multiple("pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=0.3):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(mute, "127.0.0.1", self.discovery_port)
            self.watches[-1].close()
            await self.until(lambda: len(ended) >= 3)
        # None goes out from here on, however long the rest takes.
        with mock.patch("pepperusher.net.call_schedule.FIRST_ANSWER_TIMEOUT_S", 1000.0):
            await self.until(lambda: len(calls) - len(ended) == 4)
            # Each that ended was the oldest, none before there were five, and no two went out close together.
            self.assertEqual(list(range(len(calls) - 4)), ended)
            self.assertEqual([], [gone for number, gone in enumerate(gone_by) if gone > max(0, number - 3)])
            times = sorted(came)
            self.assertGreater(min(b - a for a, b in zip(times, times[1:])), 0.25)
            oldest, asked = len(ended), len(calls)
            calls[oldest].write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(calls[oldest])
            servers = [self.line("b1", "draining")]
            self.tell(json.dumps({"version": 2, "full": False, "servers": servers}).encode() + b"\n")
            await self.until(lambda: self.ready() == ["a1"])
            self.assertIs(self.proxy._discovery._source.watch, self.proxy._discovery._source.calls[0])
            self.assertEqual(1, len(self.proxy._discovery._source.calls))
            # The others are left, and it stays.
            await self.until(lambda: set(range(asked)) - set(ended) == {oldest})
            self.assertEqual(asked, len(calls))
        server.close()

    async def test_beside_a_call_another_goes_out_soon_after_a_silence_late_after_a_refusal(self) -> None:
        """What was silent has most likely lost the call. One that refuses, or reset its watches, has too many
        callers: each call more makes the queue longer, and broke a drain on a day."""
        await self.open("a1")
        came: list[float] = []

        async def mute(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            came.append(time.monotonic())
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                if len(came) == 4:
                    writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                await reader.read()  # till it is left
            writer.close()

        with mock.patch.multiple(
            "pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=4.0, WATCH_SILENCE_TIMEOUT_S=0.5
        ):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(mute, "127.0.0.1", self.discovery_port)
            self.tell(b"\n")  # the last word, and silence from here on
            await self.until(lambda: len(came) == 4)
            self.assertTrue(any("silent" in line for line in self.logged))
            self.assertLess(came[3] - came[0], 4.0)
            # The fourth was refused, and the three before it keep their places.
            await self.until(lambda: len(came) == 5)
            self.assertGreater(came[4] - came[3], 3.9)
            self.assertEqual(4, len(self.proxy._discovery._source.calls))
            self.assertEqual(0, self.proxy._facade._balancer._ask_step)
        server.close()

    async def test_after_a_call_that_was_kept_and_refused_the_wait_is_as_long_as_ever(self) -> None:
        """A discovery with too many callers answers 503 to what waited too long. The wait counted from when
        the call went out was mostly over by then: asked so often, it broke a drain on a day."""
        await self.open("a1")
        balancer = self.proxy._facade._balancer
        came: list[float] = []
        refused: list[float] = []

        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            came.append(time.monotonic())
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.4)  # its turn has not come
            balancer._ask_step = 4_000_000  # as in an outage that is long
            refused.append(time.monotonic())
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        with mock.patch.multiple(
            "pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=0.5, WATCH_SILENCE_TIMEOUT_S=0.5
        ):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(slow, "127.0.0.1", self.discovery_port)
            self.watches[-1].close()
            await self.until(lambda: len(refused) == 1)
            await self.until(lambda: len(came) == 2)
        # The longest wait is 2.5 s, and half of it by chance.
        self.assertGreaterEqual(came[1] - refused[0], 1.24)
        server.close()

    async def test_of_two_calls_that_speak_one_is_the_watch_and_the_newer_word_stands(self) -> None:
        """In the very same turn of the loop, or one after the other, in either order: both count as told once they are
        written, and the older would lift a drain."""
        await self.open("a1", "b1")
        calls: list[asyncio.StreamWriter] = []
        ended: list[asyncio.StreamWriter] = []

        async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            calls.append(writer)
            with contextlib.suppress(OSError):
                await reader.read()  # till it is left
            ended.append(writer)

        def line(version: int, state: str) -> bytes:
            servers = [self.line("a1"), self.line("b1", state)]
            text = json.dumps({"version": version, "full": True, "servers": servers}).encode() + b"\n"
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(text), text)

        with mock.patch.multiple("pepperusher.net.call_schedule", FIRST_ANSWER_TIMEOUT_S=0.3):
            self.proxy._discovery._spread = 0.0
            self.server.close()
            server = await asyncio.start_server(late, "127.0.0.1", self.discovery_port)
            ends: asyncio.StreamWriter = self.watches[-1]
            source = self.proxy._discovery._source
            for older, first in ((8, "both"), (18, "the older"), (28, "the newer")):
                with self.subTest(first):
                    ends.close()
                    calls.clear()
                    await self.until(lambda: len(calls) == 2)
                    words = [(calls[0], older, "ready"), (calls[1], older + 1, "draining")]
                    for at, version, state in reversed(words) if first == "the newer" else words:
                        at.write(line(version, state))
                        if first != "both":
                            await self.until(lambda: source.version >= older)
                    await self.until(lambda: sum(call in ended for call in calls) == 1)  # one is left
                    self.assertEqual((older + 1, 1), (source.version, len(source.calls)))
                    self.assertIs(source.calls[0], source.watch)
                    self.assertEqual(["a1"], self.ready())
                    ends = next(call for call in calls if call not in ended)
        server.close()
