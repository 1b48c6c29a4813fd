"""Whoever has left while it waited is not sent on, however much it sent before: crowds of such, and what is read ahead."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from unittest import mock

from pepperusher.net import disconnect_watcher
from pepperusher.net.connection import READ
from pepperusher.net.request_store import RequestStore

from tests.leavers import ENDS, ONE_AT_ONCE, Crowd, Ground, request
from tests.test_crossings import Crossing

RESET = struct.pack("ii", 1, 0)
# More than the reader and the kernel take: the end stays with the client until that is read.
MUCH = 400_000


class Crowds(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # it is times that these turn on

    def none_late(self, ground: Ground, cases: int) -> None:
        self.assertEqual(cases, len(ground.left))
        self.assertEqual({kind: [] for kind, _ in ground.left.values()}, ground.late())

    async def test_none_is_sent_on_between_attempts_or_after_standing_still(self) -> None:
        """Those with much behind were, up to 1.1 s after their client had gone."""
        crowd = Crowd()
        async with asyncio.timeout(30), Ground(24) as ground:
            for one in ground.backends:
                await one.open()
            for behind in (0, MUCH):
                for how in ENDS:
                    await asyncio.gather(
                        crowd.between(ground, how, f"between, {behind}", behind),
                        crowd.broken(ground, how, f"broken, {behind}", behind),
                    )
                    await crowd.still(ground, how, f"stood still, {behind}", behind)
                    await crowd.busy_between(ground, how, "busy")
            await ground.until(
                lambda: not any(ground.plan[name] and len(ground.began[name]) == 0 for name in ground.plan)
            )
            # As long as any backend takes to answer, and so to be followed by another.
            await asyncio.sleep(1.0)
            self.none_late(ground, 24)

    async def test_none_is_sent_on_when_its_connection_comes_up(self) -> None:
        """Those with much behind, or a body that flows, were, a second after their client had gone."""
        crowd = Crowd()
        async with asyncio.timeout(30), Ground(6) as ground:
            for one in ground.backends:
                one.hold()
            await asyncio.gather(
                *(
                    crowd.connecting(ground, how, f"{behind} behind, body {body}", behind, body)
                    for how in ENDS
                    for behind, body in ((0, 0), (MUCH, 0), (0, 2 * MUCH))
                )
            )
            # One that stays, and came last, is sent on once the kernel tries again.
            at = ground.dial()
            await asyncio.get_running_loop().sock_sendall(at, request("look", "stays"))
            await asyncio.sleep(0.05)
            for one in ground.backends:
                await one.open()
            await ground.until(lambda: ground.began["stays"])
            await asyncio.sleep(0.3)
            at.close()
            self.none_late(ground, 9)

    async def test_none_is_sent_on_out_of_the_gate(self) -> None:
        crowd = Crowd()
        async with asyncio.timeout(30), Ground(4, ONE_AT_ONCE) as ground:
            for one in ground.backends:
                await one.open()
            stay = await crowd.held(ground, 2)
            await ground.until(lambda: sum(map(len, ground.began.values())) == 1)
            await asyncio.gather(
                *(crowd.queued(ground, how, f"gate, {behind}", behind) for how in ENDS for behind in (0, MUCH))
            )
            await ground.until(lambda: sum(map(len, ground.began.values())) >= 2)
            await asyncio.sleep(0.8)
            self.none_late(ground, 6)
            for at in stay:
                at.close()


class ReadAhead(Crossing):
    async def much(self, first: int, requests: int, size: int) -> tuple[socket.socket, "asyncio.Future[None]"]:
        """A client with one request out at a slow backend, and more behind it than the reader takes."""
        asyncio.get_running_loop().set_debug(False)  # several times as slow
        self.fake_backends["a1"].does = ["slow"]
        at = self.dial()
        at.sendall(self.request("pay", first))
        await self.until(lambda: self.got(first))
        ahead = b"".join(self.request("pay", first + 1 + number, "x" * size, 9000) for number in range(requests))
        return at, asyncio.get_running_loop().run_in_executor(None, at.sendall, ahead)

    async def test_what_is_read_ahead_is_served_in_its_order_and_counted_down(self) -> None:
        """With room for all of it, for some, and for none."""
        for each in (disconnect_watcher.EACH, 100_000, 0):
            with self.subTest(each), mock.patch("pepperusher.net.disconnect_watcher.EACH", each):
                await self.open("a1")
                at, sending = await self.much(1, 40, 10_000)
                line = next(iter(self.proxy._callers._callers)).line
                if each:
                    await self.until(lambda: self.proxy._callers._disconnect_watcher.held)
                await sending
                await self.until(lambda: self.proxy._counts.get("done") == 41)
                self.assertEqual(
                    [f"{number}" for number in range(1, 42)],
                    [one.split(" id ")[1].split()[0] for one in self.lines if " id " in one],
                )
                watcher = self.proxy._callers._disconnect_watcher
                self.assertEqual((0, 0, True), (watcher.held, line.unread_bytes, line.transport.is_reading()))
                self.assertEqual({}, self.proxy._callers._disconnect_watcher._watched)
                await self.asyncTearDown()

    async def test_it_has_a_bound_for_each_and_for_all(self) -> None:
        """And what one holds is given back with its end, in order or not."""
        for how in ("ends", "resets"):
            with self.subTest(how), mock.patch("pepperusher.net.disconnect_watcher.EACH", 300_000):
                await self.open("a1", "b1", "c1")
                watch = self.proxy._callers._disconnect_watcher
                watch._most = 500_000
                for toy in self.fake_backends.values():
                    toy.does = ["silent"] * 3
                held = [self.dial() for _ in range(3)]
                for number, at in enumerate(held):
                    at.sendall(self.request("look", number, left=30_000))
                await self.until(lambda: len(self.got()) == 3)
                most = 0
                lines = [one.line for one in self.proxy._callers._callers]
                async with asyncio.timeout(20):
                    for at in held:
                        at.setblocking(False)
                    while any(line.transport.is_reading() for line in lines):
                        for at in held:
                            try:
                                at.send(b"GET /look/ahead HTTP/1.1\r\n" + b"x" * 8000)
                            except BlockingIOError:
                                pass
                        await asyncio.sleep(0)
                        most = max(most, watch.held)
                self.assertEqual(watch.held, sum(len(line._ahead) for line in lines))
                # Beyond its bound by what the loop reads at once, at the most.
                self.assertLess(max(len(line._ahead) for line in lines), 300_000 + 256 * 1024)
                self.assertLess(most, 500_000 + 2 * 256 * 1024)
                for at in held:
                    if how == "resets":
                        at.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    at.close()
                await self.until(lambda: not self.proxy._callers.open)
                self.assertEqual(0, watch.held)
                self.assertEqual({}, watch._watched)
                await self.asyncTearDown()

    async def test_an_end_behind_what_is_read_ahead_calls_off_what_is_out(self) -> None:
        """It never arrived: what was out stayed out, and the client's descriptor with it."""
        await self.open("a1")
        self.fake_backends["a1"].does = ["silent"]
        at = self.dial()
        at.sendall(self.request("look", 1, left=30_000))
        await self.until(lambda: self.got(1))
        at.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(at, b"GET /look/ahead HTTP/1.1\r\n" + b"x" * 1_000_000)
        at.close()
        await self.closed()
        await self.until(lambda: not self.proxy._callers.open)
        self.assertEqual({"called off": 1, "left": 1}, self.proxy._counts)

    async def test_a_body_that_flows_is_not_read_ahead_of_its_backend(self) -> None:
        """Nothing of it goes out again, and a slow backend would fill the memory of all."""
        await self.open("a1")

        async def stalls(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.lines.append((await reader.readuntil(b"\r\n\r\n")).decode()[:3])
            reader._transport.pause_reading()
            await stalled.wait()
            writer.close()

        stalled = asyncio.Event()
        server = await asyncio.start_server(stalls, "127.0.0.1", 0, limit=READ)
        self.fake_backends["a1"].port = server.sockets[0].getsockname()[1]
        self.endpoint_update(2, self.line("a1"))
        await self.until(lambda: self.proxy._discovery.version == 2)
        at = self.dial()
        at.setblocking(False)
        at.send(self.request("pay", 1, "x" * 20_000_000, left=8000)[:400])
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(at, b"x" * 20_000_000))
        await self.until(lambda: "POS" in self.lines)
        line = next(iter(self.proxy._callers._callers)).line
        # Read ahead it may have been before its first byte went out; that is used, and nothing more comes.
        await self.until(lambda: not line.transport.is_reading() and not line.may_read_ahead)
        self.assertLess(line.unread_bytes, disconnect_watcher.EACH)
        self.assertLess(line.bytes_received, 12_000_000)
        sending.cancel()
        stalled.set()
        at.close()
        server.close()


class Kept(Crossing):
    async def test_one_that_left_while_its_mark_was_written_is_not_sent_on(self) -> None:
        """Its end was in the kernel alone when the disk had it: the loop had not told of it."""
        await self.open("a1", own='[store]\nfolder = "HERE/store"\nwait = "1s"\n')
        await self.warm()
        at = self.dial()
        sending = RequestStore.record_attempt

        async def ends_behind(*given: object) -> object:
            kept = await sending(*given)  # type: ignore[arg-type]
            at.close()
            return kept

        with mock.patch.object(RequestStore, "record_attempt", ends_behind):
            at.sendall(self.request("book", 1))
            await self.until(lambda: self.proxy._counts.get("left"))
        self.assertEqual([], self.got(1))


if __name__ == "__main__":
    unittest.main()
