"""A process with 128 descriptors, clients that sit on them, and discovery away, back and away again.

Run as a program it prints what each kind of sitting client did to the useful ones: `python -m tests.test_descriptors`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
import time
import unittest
from collections import Counter
from typing import NamedTuple
from unittest import mock

from tests.leavers import Ground, request
from tests.test_crossings import Crossing

DESCRIPTORS = 128
SITTING = 200
SPELL = 3.0
READY = b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n"
KINDS = ("silent", "asked once", "sent once", "half a head", "come again at once")


def few() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


class Found(NamedTuple):
    asked: Counter[str]  # how useful requests ended
    slowest: float  # the answer that took longest, in seconds
    console: Counter[str]
    console_slowest: float
    called: list[float]  # each time discovery came back, how long until it was called
    most: int  # descriptors at the most
    said: list[str]
    counts: str  # the proxy's own, by outcome; "moot" is one for which no descriptor was left


class Scarce(Ground):
    """Its discovery can be away, and it has a console."""

    def __init__(self, kind: str) -> None:
        self.kind, self.console_port = kind, free_port()
        self.watchers: list[asyncio.StreamWriter] = []
        self.called_at = 0.0
        super().__init__(6, before=few, limits={"sockets": DESCRIPTORS}, console=f"127.0.0.1:{self.console_port}")

    async def _watched(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.called_at = time.monotonic()
        self.watchers.append(writer)
        await super()._watched(reader, writer)

    async def away(self) -> None:
        self.discovery.close()
        for writer in self.watchers:
            writer.transport.abort()
        self.watchers.clear()

    async def back(self, port: int) -> None:
        self.discovery = await asyncio.start_server(self._watched, "127.0.0.1", port)

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def ask(port: int, sent: bytes, within: float = 6.0) -> tuple[str, float]:
    """One request on a connection of its own; the status it had, or what came in place of that, and how long it took."""
    began, writer = time.monotonic(), None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            said = (await reader.readuntil(b"\r\n")).split()[1].decode()
    except TimeoutError:
        said = "nothing"
    except (OSError, asyncio.IncompleteReadError) as error:
        said = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return said, time.monotonic() - began


async def play(kind: str, spell: float = SPELL) -> Found:
    asked, console, called, said = Counter[str](), Counter[str](), list[float](), list[str]()
    slowest = console_slowest = 0.0
    most, number = 0, 0
    async with Scarce(kind) as ground:
        for one in ground.backends:
            await one.open()
        discovery = ground.discovery.sockets[0].getsockname()[1]

        async def sit(which: int) -> None:
            turn = 0
            while True:
                turn += 1
                writer = None
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", ground.port)
                    if kind == "asked once":
                        writer.write(READY)
                    elif kind == "sent once":
                        writer.write(request("look", f"s{which}-{turn}"))
                    elif kind == "half a head":
                        writer.write(b"GET /look/page HTTP/1.1\r\nHost: p\r\n")
                    while await reader.read(4096):
                        pass
                if writer is not None:
                    writer.close()
                # Whoever is closed comes again, the most eager at once, and those that ask later: they are no flood.
                await asyncio.sleep({"come again at once": 0.01, "sent once": 3.0}.get(kind, 0.5))

        async def usual(which: int) -> None:
            nonlocal slowest, number
            while True:
                number += 1
                status, took = await ask(ground.port, request("look", f"u{number}"))
                asked[status] += 1
                slowest = max(slowest, took)
                await asyncio.sleep(0.1)

        async def operates() -> None:
            nonlocal console_slowest, most
            while True:
                status, took = await ask(ground.console_port, READY)
                console[status] += 1
                console_slowest = max(console_slowest, took)
                most = max(most, ground.descriptors)
                await asyncio.sleep(0.05)

        await ground.away()
        working = [
            asyncio.create_task(one)
            for one in (*(sit(which) for which in range(SITTING)), *(usual(which) for which in range(5)), operates())
        ]
        for _ in range(2):
            await asyncio.sleep(spell)
            came = time.monotonic()
            await ground.back(discovery)
            with contextlib.suppress(TimeoutError):
                await ground.until(lambda: ground.called_at > came, 12.0)
            called.append(ground.called_at - came if ground.called_at > came else float("inf"))
            await asyncio.sleep(1.0)
            await ground.away()
        await asyncio.sleep(spell / 2)
        for task in working:
            task.cancel()
        await asyncio.gather(*working, return_exceptions=True)
        # Its last line but those of its end counts what became of tickets.
        ground.process.terminate()
        await asyncio.wait_for(ground.process.wait(), 20)
        await ground.reading
        counts = next(line for line in ground.said if "since the start" in line)
        said = [
            line
            for line in ground.said
            if "accept failed" in line or "loop:" in line or "Too many" in line or "connection was not taken" in line
        ]
    return Found(asked, slowest, console, console_slowest, called, most, said, counts)


class Whole(unittest.IsolatedAsyncioTestCase):
    async def found(self, kind: str) -> Found:
        asyncio.get_running_loop().set_debug(False)
        async with asyncio.timeout(60):
            found = await play(kind, 1.0)
        self.assertEqual([], found.said)
        self.assertLessEqual(found.most, DESCRIPTORS)
        self.assertNotIn("moot", found.counts)
        # Each time discovery came back it was called, and the console was there all the while.
        self.assertEqual(2, sum(one < 12 for one in found.called))
        self.assertEqual({"404"}, set(found.console))
        return found

    async def test_silent_clients_keep_nobody_out_while_discovery_is_away(self) -> None:
        found = await self.found("silent")
        self.assertGreater(found.asked["200"], 10)
        self.assertNotIn("nothing", found.asked)

    async def test_clients_that_stop_half_way_keep_nobody_out(self) -> None:
        """They kept their places for 2.4 s each: of the useful none was answered within 6 s."""
        found = await self.found("half a head")
        self.assertGreater(found.asked["200"], 10)
        self.assertNotIn("nothing", found.asked)


class Room(Crossing):
    @mock.patch("pepperusher.net.callers.SHY", 60_000_000)
    @mock.patch("pepperusher.net.callers.JUST_NOW", 0)
    async def test_tickets_in_hand_have_room_before_those_that_are_new(self) -> None:
        """Fifty at once, and more room to make than the reserve bears in one turn of the loop: they were bounced for want of
        a descriptor, beside silent clients that kept theirs."""
        asyncio.get_running_loop().set_debug(False)
        names = [f"{letter}1" for letter in "abcdefghij"]
        await self.open(*names, limits={"sockets": DESCRIPTORS})
        budget = self.proxy._budget
        usual = [await self.connect() for _ in range(50)]
        # No strangers to their backends, which give those few at once; and no connection of that time is left.
        for round_ in range(1, 5):
            for number, (reader, writer) in enumerate(usual):
                writer.write(self.request("look", 100 * round_ + number))
                if number % 10 == 9:
                    for one, _ in usual[number - 9 : number + 1]:
                        await self.hear(one)
        for door in self.proxy._backends._doors.values():
            self.proxy._backends._close_idle(door)
        # One fewer than are let in: a place is kept for the next.
        silent = [await self.connect() for _ in range(21)]
        await self.until(lambda: self.proxy._callers.open == 71)
        await self.until(lambda: budget.open == 72)
        self.assertGreater(50 + self.proxy._callers.open - budget.most * 0.95, budget._reserve // 2)
        # All that they send is with the kernel before the loop comes round.
        for number, (_, writer) in enumerate(usual):
            writer.write(self.request("look", number))
        said = [(await self.hear(reader))[:3] for reader, _ in usual]
        # On a busy machine some run out of patience; for want of a descriptor none is refused.
        self.assertEqual(set(), set(said) - {"200", "503", "504"})
        self.assertNotIn("moot", self.proxy._counts)
        self.assertLessEqual(budget.open, budget.most)
        for _, writer in silent:
            writer.close()

    async def test_whoever_stopped_half_way_is_answered_and_makes_room(self) -> None:
        """The oldest first, and none that goes on."""
        asyncio.get_running_loop().set_debug(False)
        await self.open("a1", limits={"sockets": 64})
        going = await self.connect()
        going[1].write(b"GET /look/page HTTP/1.1\r\nHost: p\r\n")
        half = [await self.connect() for _ in range(40)]
        for _, writer in half:
            writer.write(b"GET /look/page HTTP/1.1\r\nHost: p\r\n")

        async def goes_on() -> None:
            while True:
                going[1].write(b"x")
                await asyncio.sleep(0.1)

        going[1].write(b"X-Long: ")
        dripping = asyncio.create_task(goes_on())
        began = time.monotonic()
        await self.ask("look 1", self.request("look", 1))
        self.assertIn("200", self.lines[-1])
        self.assertLess(time.monotonic() - began, 2.0)
        self.assertIn("408", await self.hear(half[0][0]))
        dripping.cancel()
        going[1].write(b"\r\nRequest-Id: 2\r\n\r\n")
        self.assertIn("200", await self.hear(going[0]))
        for _, writer in half:
            writer.close()

    async def test_of_those_told_to_close_the_oldest_goes_first(self) -> None:
        await self.open("a1")
        lines = [mock.Mock(**{"transport.is_closing.return_value": False}) for _ in range(3)]
        callers = self.proxy._callers
        for line in lines:
            callers._ending[mock.Mock(line=line)] = None
        self.assertTrue(callers._close_oldest())
        self.assertEqual([1, 0, 0], [line.abort.call_count for line in lines])
        callers._ending.clear()


def main() -> None:
    for kind in KINDS:
        found = asyncio.run(play(kind))
        print(
            f"{kind}: useful {dict(found.asked)}, slowest {found.slowest:.3f} s; console {dict(found.console)}, slowest"
            f" {found.console_slowest:.3f} s; discovery called after {', '.join(f'{one:.2f}' for one in found.called)} s;"
            f" descriptors {found.most}; {len(found.said)} lines {found.said[:2]};"
            f" {found.counts.split('since the start: ')[1].strip()}",
            flush=True,
        )


if __name__ == "__main__":
    main()
