"""Tests of the admin interface: the answer to each call, and its effect."""

from __future__ import annotations

import asyncio
import subprocess
import sys

from pepperusher.console.admin_listener import CONNECTIONS_MAX
from pepperusher.backend_commands import NEVER, AdminCommand
from pepperusher.console.admin_commands import AdminCommands
from pepperusher.facade import Endpoint

from tests.scene import SECOND, TraceTestCase, ProxyTestCase

READY = b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n"


class Ordered(TraceTestCase):
    """The admin commands as a filter of the endpoint list, without a proxy."""

    def test_a_ban_stands_whatever_the_list_says(self) -> None:
        self.lines = []
        orders = AdminCommands(60 * SECOND)

        def entry(name: str, ready: bool = True, born: int = 0) -> Endpoint:
            return Endpoint(name, "", 0, 1.0, born, ready)

        def record(step: str, lines: list[Endpoint]) -> None:
            states = ", ".join(
                f"{changed.id} {'ready' if changed.ready else 'drained'} born {changed.started_at // SECOND}"
                for changed in lines
            )
            self.lines.append(f"{step}: {states or 'nothing'}")

        record("listed", orders.lines([entry("a"), entry("b")], True))
        record("a banned", orders.ban("a", True, 10 * SECOND))
        record("banned again", orders.ban("a", True, 11 * SECOND))
        record("listed again, restarted", orders.lines([entry("a", born=12 * SECOND)], False))
        record("gone", orders.lines([entry("a", False)], False))
        record("a put back while off the list", orders.ban("a", False, 20 * SECOND))
        record("banned off the list", orders.ban("a", True, 21 * SECOND))
        record("a whole list", orders.lines([entry("a", born=12 * SECOND), entry("b")], True))
        record("one call puts it back, cold from then on", orders.ban("a", False, 30 * SECOND))
        record("a whole list", orders.lines([entry("a", born=12 * SECOND), entry("b")], True))
        orders.forget(90 * SECOND)
        record("forgotten once it is warm", orders.lines([entry("a", born=12 * SECOND)], False))
        record("a later order of another's", orders.merge({"a": AdminCommand(True, 21 * SECOND)}, NEVER, 95 * SECOND))
        self.compare_trace("console_orders")

    def test_without_a_console_nothing_of_it_is_loaded(self) -> None:
        result = subprocess.run(
            [
                sys.executable,
                "-c",
                "import sys, pepperusher.__main__ as m;"
                "print([n for n in sys.modules if n.startswith('pepperusher.console') or 'configuration' in n.split('.')])",
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual("[]\n", result.stdout)


class Console(ProxyTestCase):
    async def call(self, case: str, path: str, method: str = "POST", extra_headers: str = "") -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_handlers.port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\n{extra_headers}\r\n".encode())
        answer = await self.read_response(reader)
        writer.close()
        if case:
            self.lines.append(f"{case} -> {answer}")
        return answer

    async def test_each_call_and_each_that_is_none(self) -> None:
        await self.open("a1", console="127.0.0.1:1")
        await self.call("ready", "/-/ready", "GET")
        await self.call("disable", "/-/backends/a1/disable")
        await self.call("disable again", "/-/backends/a1/disable")
        await self.call("enable", "/-/backends/a1/enable")
        await self.call("enable again", "/-/backends/a1/enable")
        await self.call("drain", "/-/drain")
        await self.call("drain again", "/-/drain")
        await self.call("ready for the console", "/-/ready", "GET")
        await self.call("resume", "/-/resume")
        await self.call("resume unasked", "/-/resume", extra_headers="Content-Length: 0\r\n")
        await self.call("nobody's id", "/-/backends/zz/disable")
        await self.call("nobody's id put back", "/-/backends/zz/enable")
        await self.call("an id that is no text", "/-/backends/%ff/disable")
        await self.call("no such call", "/-/backends/a1/drop")
        await self.call("a ticket", "/look/page")
        await self.call("by another method", "/-/drain", "GET")
        await self.call(
            "framed in two ways", "/-/drain", extra_headers="Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
        )
        await self.call("not even a head", "/-/drain", extra_headers="what is this\r\n")
        await self.call("a head without end", "/-/drain", extra_headers=f"X: {'x' * 60_000}\r\n")
        await self.send_request("ready for clients", READY)
        self.compare_trace("console_calls")

    async def test_nothing_goes_to_a_banned_backend(self) -> None:
        """A banned backend gets no request on a kept connection, nor when an update lists it again; a request already
        written may finish.
        """
        await self.open("a1", "b1", console="127.0.0.1:1")
        connection = await self.connect()
        for number in range(4):
            await self.send_request(f"look {number}", self.request("look", number), connection)
        self.fake_backends["a1"].behaviors = self.fake_backends["b1"].behaviors = ["slow"]
        under_way = asyncio.create_task(self.send_request("look 4", self.request("look", 4)))
        await self.wait_until(lambda: self.lines[-1].startswith("    "))
        del self.lines[:]
        banned = "a1" if not self.fake_backends["a1"].behaviors else "b1"
        other = "b1" if banned == "a1" else "a1"
        await self.call("out, while it has a ticket", f"/-/backends/{banned}/disable")
        await under_way
        self.fake_backends[other].behaviors = []
        self.endpoint_update(2, self.line("a1"), self.line("b1"), full=True)
        self.endpoint_update(3, dict(self.line(banned), started_ms=1))
        await asyncio.sleep(0.05)
        for number in range(5, 11):
            await self.send_request("look", self.request("look", number), connection)
        self.lines = [line for line in self.lines if "..." not in line]
        self.assertFalse([line for line in self.lines if f"    {banned} gets" in line])
        await self.call("the other out as well", f"/-/backends/{other}/disable")
        await self.send_request("look nowhere", self.request("look", 11))
        self.assertIn("503", self.lines[-1])
        await self.call("back", f"/-/backends/{banned}/enable")
        # The backend is cold, so it is used again within its warm-up budget: for some tickets, but not for all.
        number = 12
        async with asyncio.timeout(5):
            while f"200 '{banned} {number}'" not in self.lines[-1]:
                number += 1
                await self.send_request("look", self.request("look", number), connection)
                await asyncio.sleep(0.02)

    async def test_clients_are_sent_away_and_may_come_again(self) -> None:
        await self.open("a1", console="127.0.0.1:1")
        used, idle, silent = [await self.connect() for _ in range(3)]
        for number, at in enumerate((used, idle)):
            await self.send_request(f"look {number}", self.request("look", number), at)
        await self.call("drain", "/-/drain")
        await self.send_request("ready", READY)
        await self.send_request("asked once more", self.request("look", 2), used)
        self.lines.append(f"then: {await self.read_response(used[0])}")
        async with asyncio.timeout(2):
            for what, at in (("idle", idle), ("silent", silent)):
                self.lines.append(f"{what}: {await self.read_response(at[0])}")
        await self.send_request("come all the same", self.request("look", 3))
        await self.call("resume", "/-/resume")
        await self.send_request("ready", READY)
        again = await self.connect()
        await self.send_request("kept again", self.request("look", 4), again)
        await self.send_request("kept again", self.request("look", 5), again)
        self.compare_trace("console_drain")

    async def test_callers_that_say_nothing_keep_nobody_out(self) -> None:
        """Silent connections and half-sent calls hold every place of the listener; a further call is answered at once
        all the same.
        """
        await self.open("a1", console="127.0.0.1:1")
        held = [
            await asyncio.open_connection("127.0.0.1", self.admin_handlers.port) for _ in range(3 * CONNECTIONS_MAX)
        ]
        for _, writer in held[::2]:
            writer.write(b"GET /-/rea")
        async with asyncio.timeout(1):
            for _ in range(2 * CONNECTIONS_MAX):
                self.assertIn("200", await self.call("", "/-/ready", "GET"))
        self.assertLessEqual(len(self.admin_handlers._listener._open), 2 * CONNECTIONS_MAX)
