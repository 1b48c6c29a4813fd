"""A process with 128 descriptors, clients that hold descriptors without using them, and a discovery that goes away,
comes back and goes away again.

Run as a program, this module prints the effect of each kind of idle client on the regular ones: `python -m
tests.test_descriptors`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import time
import unittest
from collections import Counter
from typing import NamedTuple
from unittest import mock

from pepperusher.rehearsal.ports import free_port
from tests.leavers import ProxyProcess, request
from tests.test_crossings import Crossing

DESCRIPTORS = 128
IDLE_CLIENTS = 200
OUTAGE_S = 3.0
READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n"
KINDS = ("silent", "asked once", "sent once", "half a head", "come again at once")


def limit_process_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


class Result(NamedTuple):
    """What one run of the scenario measured."""

    statuses: Counter[str]  # how requests of regular clients ended
    slowest_s: float  # the slowest answer, in seconds
    console_statuses: Counter[str]
    console_slowest_s: float
    call_delays: list[float]  # time until discovery was called, each time it came back
    most_descriptors: int  # most descriptors in use
    error_lines: list[str]
    counts: str  # the proxy's own counts by outcome; "moot" counts attempts for which no descriptor was left


class ScarceProxyProcess(ProxyProcess):
    """A proxy with few descriptors and a console, whose discovery can go away."""

    def __init__(self, kind: str) -> None:
        self.kind, self.console_port = kind, free_port()
        self.watch_writers: list[asyncio.StreamWriter] = []
        self.last_call_at = 0.0
        super().__init__(
            6,
            before_start=limit_process_descriptors,
            limits={"sockets": DESCRIPTORS},
            console=f"127.0.0.1:{self.console_port}",
        )

    async def _watched(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.last_call_at = time.monotonic()
        self.watch_writers.append(writer)
        await super()._watched(reader, writer)

    async def stop_discovery(self) -> None:
        """Makes discovery unreachable and ends its watches."""
        self.discovery.close()
        for writer in self.watch_writers:
            writer.transport.abort()
        self.watch_writers.clear()

    async def restart_discovery(self, port: int) -> None:
        self.discovery = await asyncio.start_server(self._watched, "127.0.0.1", port)

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def ask(port: int, request: bytes, timeout_s: float = 6.0) -> tuple[str, float]:
    """Sends one request on a connection of its own. Returns the status (or what happened instead) and how long it took."""
    began, writer = time.monotonic(), None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            result = (await reader.readuntil(b"\r\n")).split()[1].decode()
    except TimeoutError:
        result = "nothing"
    except (OSError, asyncio.IncompleteReadError) as error:
        result = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return result, time.monotonic() - began


async def run_scenario(kind: str, outage_s: float = OUTAGE_S) -> Result:
    """Runs idle clients of one kind, regular clients and console calls through three outages of discovery."""
    statuses, console_statuses, call_delays, error_lines = Counter[str](), Counter[str](), list[float](), list[str]()
    slowest_s = console_slowest_s = 0.0
    most_descriptors, request_number = 0, 0
    async with ScarceProxyProcess(kind) as proxy_process:
        for backend in proxy_process.backends:
            await backend.open()
        discovery_port = proxy_process.discovery.sockets[0].getsockname()[1]

        async def hold_connection(client_number: int) -> None:
            """One idle client that holds a connection, and connects again when it is closed."""
            attempt_number = 0
            while True:
                attempt_number += 1
                writer = None
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", proxy_process.port)
                    if kind == "asked once":
                        writer.write(READY_REQUEST)
                    elif kind == "sent once":
                        writer.write(request("look", f"s{client_number}-{attempt_number}"))
                    elif kind == "half a head":
                        writer.write(b"GET /look/page HTTP/1.1\r\nHost: p\r\n")
                    while await reader.read(4096):
                        pass
                if writer is not None:
                    writer.close()
                # Closed clients connect again, the eager ones at once, and those that send requests later, so that they
                # do not flood the proxy.
                await asyncio.sleep({"come again at once": 0.01, "sent once": 3.0}.get(kind, 0.5))

        async def send_requests(client_number: int) -> None:
            """One regular client."""
            nonlocal slowest_s, request_number
            while True:
                request_number += 1
                status, duration = await ask(proxy_process.port, request("look", f"u{request_number}"))
                statuses[status] += 1
                slowest_s = max(slowest_s, duration)
                await asyncio.sleep(0.1)

        async def poll_console() -> None:
            """Calls the console all the time."""
            nonlocal console_slowest_s, most_descriptors
            while True:
                status, duration = await ask(proxy_process.console_port, READY_REQUEST)
                console_statuses[status] += 1
                console_slowest_s = max(console_slowest_s, duration)
                most_descriptors = max(most_descriptors, proxy_process.descriptors)
                await asyncio.sleep(0.05)

        await proxy_process.stop_discovery()
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                *(hold_connection(client_number) for client_number in range(IDLE_CLIENTS)),
                *(send_requests(client_number) for client_number in range(5)),
                poll_console(),
            )
        ]
        for _ in range(2):
            await asyncio.sleep(outage_s)
            back_at = time.monotonic()
            await proxy_process.restart_discovery(discovery_port)
            with contextlib.suppress(TimeoutError):
                await proxy_process.wait_until(lambda: proxy_process.last_call_at > back_at, 12.0)
            call_delays.append(
                proxy_process.last_call_at - back_at if proxy_process.last_call_at > back_at else float("inf")
            )
            await asyncio.sleep(1.0)
            await proxy_process.stop_discovery()
        await asyncio.sleep(outage_s / 2)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Of the lines at the end, this one counts the outcomes of tickets.
        proxy_process.process.terminate()
        await asyncio.wait_for(proxy_process.process.wait(), 20)
        await proxy_process.log_reader
        counts = next(line for line in proxy_process.log_lines if "since the start" in line)
        error_lines = [
            line
            for line in proxy_process.log_lines
            if "accept failed" in line
            or "loop:" in line
            or "Too many" in line
            or "connection could not be set up" in line
        ]
    return Result(
        statuses, slowest_s, console_statuses, console_slowest_s, call_delays, most_descriptors, error_lines, counts
    )


class Whole(unittest.IsolatedAsyncioTestCase):
    async def run_and_check(self, kind: str) -> Result:
        """Runs a short scenario and checks what has to hold for every kind of client."""
        asyncio.get_running_loop().set_debug(False)
        async with asyncio.timeout(60):
            result = await run_scenario(kind, 1.0)
        self.assertEqual([], result.error_lines)
        self.assertLessEqual(result.most_descriptors, DESCRIPTORS)
        self.assertNotIn("moot", result.counts)
        # Discovery was called each time it came back, and the console answered all the time.
        self.assertEqual(2, sum(value < 12 for value in result.call_delays))
        self.assertEqual({"404"}, set(result.console_statuses))
        return result

    async def test_silent_clients_keep_nobody_out_while_discovery_is_away(self) -> None:
        result = await self.run_and_check("silent")
        self.assertGreater(result.statuses["200"], 10)
        self.assertNotIn("nothing", result.statuses)

    async def test_clients_that_stop_half_way_keep_nobody_out(self) -> None:
        """Such clients kept their descriptors for 2.4 s each, and no regular request was answered within 6 s."""
        result = await self.run_and_check("half a head")
        self.assertGreater(result.statuses["200"], 10)
        self.assertNotIn("nothing", result.statuses)


class Room(Crossing):
    @mock.patch("pepperusher.net.callers.NEW_CONNECTION_GRACE_US", 60_000_000)
    @mock.patch("pepperusher.net.callers.MIN_IDLE_US", 0)
    async def test_tickets_in_hand_have_room_before_those_that_are_new(self) -> None:
        """Fifty tickets at once need more descriptors than the reserve covers in one loop iteration: they were bounced
        for want of a descriptor, while silent clients kept theirs.
        """
        asyncio.get_running_loop().set_debug(False)
        names = [f"{letter}1" for letter in "abcdefghij"]
        await self.open(*names, limits={"sockets": DESCRIPTORS})
        budget = self.proxy._budget
        regular = [await self.connect() for _ in range(50)]
        # Makes the backends known, because a new backend gets few tickets at once; the connections of this phase are
        # closed.
        for round_number in range(1, 5):
            for number, (reader, writer) in enumerate(regular):
                writer.write(self.request("look", 100 * round_number + number))
                if number % 10 == 9:
                    for stream, _ in regular[number - 9 : number + 1]:
                        await self.read_response(stream)
        for connections in self.proxy._backends._connections_by_backend.values():
            self.proxy._backends._close_idle(connections)
        # One fewer than may be accepted: a descriptor is reserved for the next connection.
        silent_clients = [await self.connect() for _ in range(21)]
        await self.wait_until(lambda: self.proxy._callers.open == 71)
        await self.wait_until(lambda: budget.open == 72)
        self.assertGreater(50 + self.proxy._callers.open - budget.limit * 0.95, budget._reserve // 2)
        # All requests are in the kernel before the event loop runs again.
        for number, (_, writer) in enumerate(regular):
            writer.write(self.request("look", number))
        answers = [(await self.read_response(reader))[:3] for reader, _ in regular]
        # On a busy machine some requests time out, but none is refused for want of a descriptor.
        self.assertEqual(set(), set(answers) - {"200", "503", "504"})
        self.assertNotIn("moot", self.proxy._events.counts)
        self.assertLessEqual(budget.open, budget.limit)
        for _, writer in silent_clients:
            writer.close()

    async def test_whoever_stopped_half_way_is_answered_and_makes_room(self) -> None:
        """The oldest is closed first, and none whose client still sends."""
        asyncio.get_running_loop().set_debug(False)
        await self.open("a1", limits={"sockets": 64})
        sending = await self.connect()
        sending[1].write(b"GET /look/page HTTP/1.1\r\nHost: p\r\n")
        stalled = [await self.connect() for _ in range(40)]
        for _, writer in stalled:
            writer.write(b"GET /look/page HTTP/1.1\r\nHost: p\r\n")

        async def keep_sending() -> None:
            while True:
                sending[1].write(b"x")
                await asyncio.sleep(0.1)

        sending[1].write(b"X-Long: ")
        sending_task = asyncio.create_task(keep_sending())
        began = time.monotonic()
        await self.send_request("look 1", self.request("look", 1))
        self.assertIn("200", self.lines[-1])
        self.assertLess(time.monotonic() - began, 2.0)
        self.assertIn("408", await self.read_response(stalled[0][0]))
        sending_task.cancel()
        sending[1].write(b"\r\nRequest-Id: 2\r\n\r\n")
        self.assertIn("200", await self.read_response(sending[0]))
        for _, writer in stalled:
            writer.close()

    async def test_of_those_told_to_close_the_oldest_goes_first(self) -> None:
        await self.open("a1")
        connections = [mock.Mock(**{"transport.is_closing.return_value": False}) for _ in range(3)]
        callers = self.proxy._callers
        for connection in connections:
            callers._closing_connections[mock.Mock(connection=connection)] = None
        self.assertTrue(callers._close_one())
        self.assertEqual([1, 0, 0], [connection.abort.call_count for connection in connections])
        callers._closing_connections.clear()


def main() -> None:
    for kind in KINDS:
        result = asyncio.run(run_scenario(kind))
        print(
            f"{kind}: useful {dict(result.statuses)}, slowest {result.slowest_s:.3f} s; console {dict(result.console_statuses)}, slowest"
            f" {result.console_slowest_s:.3f} s; discovery called after {', '.join(f'{value:.2f}' for value in result.call_delays)} s;"
            f" descriptors {result.most_descriptors}; {len(result.error_lines)} lines {result.error_lines[:2]};"
            f" {result.counts.split('since the start: ')[1].strip()}",
            flush=True,
        )


if __name__ == "__main__":
    main()
